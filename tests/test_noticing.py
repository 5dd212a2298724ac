"""Loss detection: a slow service is never suspected, and a loss is found by the next read."""

from typing import Any

import pytest
from conftest import job_body
from hypothesis import given
from hypothesis import strategies as st

from ryegauge.bookkeeping.epochs import EPOCH_KEY
from ryegauge.bookkeeping.state import Event, Gone, Put, Unavailable
from ryegauge.bookkeeping.state_replica import StateReplica, job_key, job_record
from ryegauge.protocol.jobs import parse_job
from ryegauge.rebuilding.loss_detection import ContradictoryAnswer, LossDetector


def record(n: int) -> dict[str, Any]:
    return job_record(parse_job(job_body(f"wk-{n:06d}")), float(n), False)


class Watched:
    """A replica with its loss detector, read from `history`, the service's list of changes."""

    def __init__(self) -> None:
        self.history: list[Event] = []
        self.replica = StateReplica()
        self.loss_detector = LossDetector(self.replica)
        self.reread()

    def write(self, n: int) -> int:
        self.history.append(Event(job_key(f"wk-{n:06d}"), record(n), len(self.history) + 1))
        return len(self.history)

    def answer(self, since: int, upto: int | None = None) -> tuple[list[Event], int]:
        upto = len(self.history) if upto is None else upto
        return [e for e in self.history[:upto] if e.version > since], upto

    def read(self) -> None:
        events, state_revision = self.answer(self.loss_detector.begin())
        self.replica.apply(self.loss_detector.read(events, state_revision), state_revision)

    def reread(self) -> None:
        self.loss_detector.begin()
        last = {event.key: event for event in self.history}
        self.loss_detector.on_full_read(sorted(last.values()), len(self.history))
        self.replica.replace(sorted(last.values()), len(self.history))


@given(
    st.lists(
        st.sampled_from(["write", "begin", "answer", "confirm", "reread", "fails"]), max_size=80
    )
)
def test_a_slow_service_is_never_suspected(steps: list[str]) -> None:
    """Reads may fail or return any revision between request and answer, confirmations may come
    late or never, and full reads may happen at any time."""
    w = Watched()
    open_: tuple[int, int] | None = None  # since, and what was there when it was executed
    unconfirmed: list[int] = []
    for step in steps:
        if step == "write":
            unconfirmed.append(w.write(len(w.history)))
        elif step == "begin" and open_ is None:
            open_ = (w.loss_detector.begin(), len(w.history))
        elif step == "answer" and open_ is not None:
            events, state_revision = w.answer(*open_)
            w.replica.apply(w.loss_detector.read(events, state_revision), state_revision)
            open_ = None
        elif step == "fails":
            open_ = None
        elif step == "confirm" and unconfirmed:
            revision = unconfirmed.pop(0)
            w.loss_detector.on_committed(revision, [Put(w.history[revision - 1].key, None)])
        elif step == "reread" and open_ is None:
            w.reread()
    w.read()
    w.read()
    assert w.loss_detector.suspicions == 0
    assert w.loss_detector.confirmed_loss is None


@given(before=st.integers(2, 12), back=st.integers(1, 12), after=st.integers(0, 15))
def test_another_history_is_found_by_the_next_read(before: int, back: int, after: int) -> None:
    """The service is reset by any number of revisions and may have grown past the replica since.
    The replica is not changed before a new epoch begins, and its records are copied then."""
    w = Watched()
    for n in range(before):
        w.write(n)
        w.read()
    known = dict(w.replica.jobs)
    del w.history[max(0, before - back) :]
    for n in range(after):
        w.write(100 + n)
    with pytest.raises(ContradictoryAnswer):
        w.read()
    assert w.loss_detector.confirmed_loss is None
    with pytest.raises(ContradictoryAnswer):
        w.read()
    assert w.loss_detector.confirmed_loss is not None
    assert w.loss_detector.confirmed_loss.kind == "history"
    assert w.replica.jobs == known
    # Until an epoch begins, no read is accepted, whatever the service returns.
    with pytest.raises(ContradictoryAnswer):
        w.reread()
    w.history.append(Event(EPOCH_KEY, {"e": 1, "s": 0, "k": "history"}, len(w.history) + 1))
    w.reread()
    assert w.loss_detector.confirmed_loss is None
    assert w.loss_detector.known_state is not None
    assert w.loss_detector.known_state.saw_loss
    assert set(w.loss_detector.known_state.records) == {job_key(uid) for uid in known}


def test_a_loss_behind_what_was_read_is_found_by_what_was_confirmed() -> None:
    """A write that was confirmed and not read yet is lost, while the revision that was read last
    is still there. The loss must be found, and the write must be among the known records."""
    w = Watched()
    w.write(1)
    w.read()
    revision = w.write(2)
    w.loss_detector.on_committed(revision, [Put(job_key("wk-000002"), record(2))])
    del w.history[-1]
    w.write(3)
    w.write(4)
    for _ in range(2):
        with pytest.raises(ContradictoryAnswer):
            w.read()
    assert w.loss_detector.confirmed_loss is not None
    w.history.append(Event(EPOCH_KEY, {"e": 1, "s": 0}, len(w.history) + 1))
    w.reread()
    assert w.loss_detector.known_state is not None
    assert job_key("wk-000002") in w.loss_detector.known_state.records


def test_one_odd_answer_is_no_verdict() -> None:
    """A single contradictory answer raises a suspicion that the next good read clears."""
    w = Watched()
    for n in range(3):
        w.write(n)
        w.read()
    w.loss_detector.begin()
    with pytest.raises(Unavailable):
        w.loss_detector.read([], 1)  # from another service, or minutes old
    assert w.loss_detector.suspicion
    w.read()
    assert not w.loss_detector.suspicion
    assert w.loss_detector.confirmed_loss is None


def test_a_record_that_went_without_an_event() -> None:
    """A guard fails on a record that no read shows as changed. Before this counts as a loss, the
    record is read alone."""
    w = Watched()
    w.write(1)
    w.read()
    key = job_key("wk-000001")

    def raise_suspicion() -> None:
        w.loss_detector.on_conflict({key: 1}, [key])
        with pytest.raises(ContradictoryAnswer):
            w.read()
        assert w.loss_detector.keys_to_check == [key]
        with pytest.raises(ContradictoryAnswer):
            w.read()  # not decided before the record has been read alone
        assert w.loss_detector.confirmed_loss is None

    raise_suspicion()
    w.loss_detector.on_record_read(
        key, 1
    )  # the record is there: the refused transaction was misleading
    w.read()
    assert not w.loss_detector.suspicion
    raise_suspicion()
    w.loss_detector.on_record_read(key, 0)
    with pytest.raises(ContradictoryAnswer):
        w.read()
    assert w.loss_detector.confirmed_loss is not None
    assert w.loss_detector.confirmed_loss.kind == "records"
    # A record that has really changed: the read shows it and nothing is suspected.
    w = Watched()
    w.write(1)
    w.read()
    w.loss_detector.on_conflict({key: 1}, [key])
    w.write(1)
    w.read()
    assert not w.loss_detector.suspicion


def test_a_page_is_held_against_the_book() -> None:
    """A page of records is compared with the replica only within its keys and its revision."""
    w = Watched()
    for n in range(4):
        w.write(n)
    w.read()
    page = list(w.history)
    assert w.loss_detector.mismatched_keys(page, None, None, 4) == []
    assert w.loss_detector.mismatched_keys(page[1:], None, None, 4) == [page[0].key]
    assert w.loss_detector.mismatched_keys(page[1:], page[0].key, None, 4) == []
    assert w.loss_detector.mismatched_keys(page[:2], None, page[1].key, 4) == []
    # Records written after the page's revision need not be in it.
    assert w.loss_detector.mismatched_keys(page[:3], None, None, 3) == []
    older = page[0]._replace(version=0)
    assert w.loss_detector.mismatched_keys([older, *page[1:]], None, None, 4) == [page[0].key]


def test_an_era_is_read_anew_and_what_was_known_is_kept() -> None:
    """An epoch begun by another controller leads to a full read after the replica was copied."""
    w = Watched()
    w.write(1)
    w.read()
    w.history.append(Event(EPOCH_KEY, {"e": 1, "s": 0, "k": "records"}, 2))
    with pytest.raises(Gone):
        w.read()
    w.reread()
    assert w.loss_detector.known_state is not None
    assert not w.loss_detector.known_state.saw_loss  # another controller saw the loss
    assert w.replica.epoch == 1
