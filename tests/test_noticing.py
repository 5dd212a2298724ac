"""That data was lost: never said of a slow service, always found by the next read."""

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
    """A book that is read from a list of changes, which is the service's history."""

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
    """Reads whose answers come late, fail or show any moment between, confirmations that come
    late or never, full reads at any time."""
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
    assert w.loss_detector.verdict is None


@given(before=st.integers(2, 12), back=st.integers(1, 12), after=st.integers(0, 15))
def test_another_history_is_found_by_the_next_read(before: int, back: int, after: int) -> None:
    """However far it went back and has grown since; the book holds what it held."""
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
    assert w.loss_detector.verdict is None
    with pytest.raises(ContradictoryAnswer):
        w.read()
    assert w.loss_detector.verdict is not None
    assert w.loss_detector.verdict.kind == "history"
    assert w.replica.jobs == known
    # Until an era begins nothing else is read, whatever the service shows.
    with pytest.raises(ContradictoryAnswer):
        w.reread()
    w.history.append(Event(EPOCH_KEY, {"e": 1, "s": 0, "k": "history"}, len(w.history) + 1))
    w.reread()
    assert w.loss_detector.verdict is None
    assert w.loss_detector.known_state is not None
    assert w.loss_detector.known_state.saw_loss
    assert set(w.loss_detector.known_state.records) == {job_key(uid) for uid in known}


def test_a_loss_behind_what_was_read_is_found_by_what_was_confirmed() -> None:
    """Found by the model: what was confirmed to a user and never read is known all the same."""
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
    assert w.loss_detector.verdict is not None
    w.history.append(Event(EPOCH_KEY, {"e": 1, "s": 0}, len(w.history) + 1))
    w.reread()
    assert w.loss_detector.known_state is not None
    assert job_key("wk-000002") in w.loss_detector.known_state.records


def test_one_odd_answer_is_no_verdict() -> None:
    w = Watched()
    for n in range(3):
        w.write(n)
        w.read()
    w.loss_detector.begin()
    with pytest.raises(Unavailable):
        w.loss_detector.read([], 1)  # of another service, or minutes old
    assert w.loss_detector.suspicion
    w.read()
    assert not w.loss_detector.suspicion
    assert w.loss_detector.verdict is None


def test_a_record_that_went_without_an_event() -> None:
    """A conflict that the next read does not explain; that record alone is read then."""
    w = Watched()
    w.write(1)
    w.read()
    key = job_key("wk-000001")

    def doubt() -> None:
        w.loss_detector.on_conflict({key: 1}, [key])
        with pytest.raises(ContradictoryAnswer):
            w.read()
        assert w.loss_detector.to_look == [key]
        with pytest.raises(ContradictoryAnswer):
            w.read()  # not decided before it was looked at
        assert w.loss_detector.verdict is None

    doubt()
    w.loss_detector.looked(key, 1)  # it is there: the conflict's answer was odd
    w.read()
    assert not w.loss_detector.suspicion
    doubt()
    w.loss_detector.looked(key, 0)
    with pytest.raises(ContradictoryAnswer):
        w.read()
    assert w.loss_detector.verdict is not None
    assert w.loss_detector.verdict.kind == "records"
    # One that has changed since is explained by the read.
    w = Watched()
    w.write(1)
    w.read()
    w.loss_detector.on_conflict({key: 1}, [key])
    w.write(1)
    w.read()
    assert not w.loss_detector.suspicion


def test_a_page_is_held_against_the_book() -> None:
    w = Watched()
    for n in range(4):
        w.write(n)
    w.read()
    page = list(w.history)
    assert w.loss_detector.odd(page, None, None, 4) == []
    assert w.loss_detector.odd(page[1:], None, None, 4) == [page[0].key]
    assert w.loss_detector.odd(page[1:], page[0].key, None, 4) == []
    assert w.loss_detector.odd(page[:2], None, page[1].key, 4) == []
    # What came after the page says nothing of it.
    assert w.loss_detector.odd(page[:3], None, None, 3) == []
    older = page[0]._replace(version=0)
    assert w.loss_detector.odd([older, *page[1:]], None, None, 4) == [page[0].key]


def test_an_era_is_read_anew_and_what_was_known_is_kept() -> None:
    w = Watched()
    w.write(1)
    w.read()
    w.history.append(Event(EPOCH_KEY, {"e": 1, "s": 0, "k": "records"}, 2))
    with pytest.raises(Gone):
        w.read()
    w.reread()
    assert w.loss_detector.known_state is not None
    assert not w.loss_detector.known_state.saw_loss  # another has seen it
    assert w.replica.epoch == 1
