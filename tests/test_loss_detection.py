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


class WatchedService:
    """A service whose changes are in `history`, and a replica of it with its loss detector."""

    def __init__(self) -> None:
        self.history: list[Event] = []
        self.replica = StateReplica()
        self.loss_detector = LossDetector(self.replica)
        self.full_read()

    def write(self, n: int) -> int:
        self.history.append(Event(job_key(f"wk-{n:06d}"), record(n), len(self.history) + 1))
        return len(self.history)

    def answer(self, since: int, up_to: int | None = None) -> tuple[list[Event], int]:
        up_to = len(self.history) if up_to is None else up_to
        return [e for e in self.history[:up_to] if e.version > since], up_to

    def read(self) -> None:
        events, state_revision = self.answer(self.loss_detector.begin_read())
        self.replica.apply(self.loss_detector.check_changes(events, state_revision), state_revision)

    def full_read(self) -> None:
        self.loss_detector.begin_read()
        last = {event.key: event for event in self.history}
        self.loss_detector.on_full_read(sorted(last.values()), len(self.history))
        self.replica.replace(sorted(last.values()), len(self.history))


@given(
    st.lists(
        st.sampled_from(["write", "begin", "answer", "confirm", "full_read", "fails"]), max_size=80
    )
)
def test_a_slow_service_is_never_suspected(steps: list[str]) -> None:
    """Reads may fail or return any revision between request and answer, confirmations may come
    late or never, and full reads may happen at any time."""
    watched = WatchedService()
    pending_read: tuple[int, int] | None = None  # revision asked for, and that of the answer
    unconfirmed: list[int] = []
    for step in steps:
        if step == "write":
            unconfirmed.append(watched.write(len(watched.history)))
        elif step == "begin" and pending_read is None:
            pending_read = (watched.loss_detector.begin_read(), len(watched.history))
        elif step == "answer" and pending_read is not None:
            events, state_revision = watched.answer(*pending_read)
            watched.replica.apply(
                watched.loss_detector.check_changes(events, state_revision), state_revision
            )
            pending_read = None
        elif step == "fails":
            pending_read = None
        elif step == "confirm" and unconfirmed:
            revision = unconfirmed.pop(0)
            watched.loss_detector.on_committed(
                revision, [Put(watched.history[revision - 1].key, None)]
            )
        elif step == "full_read" and pending_read is None:
            watched.full_read()
    watched.read()
    watched.read()
    assert watched.loss_detector.suspicions == 0
    assert watched.loss_detector.confirmed_loss is None


@given(before=st.integers(2, 12), reset_by=st.integers(1, 12), after=st.integers(0, 15))
def test_reset_service_is_detected_by_the_next_read(before: int, reset_by: int, after: int) -> None:
    """The service is reset by any number of revisions and may have grown past the replica since.
    The replica is not changed before a new epoch begins, and its records are copied then."""
    watched = WatchedService()
    for n in range(before):
        watched.write(n)
        watched.read()
    known = dict(watched.replica.jobs)
    del watched.history[max(0, before - reset_by) :]
    for n in range(after):
        watched.write(100 + n)
    with pytest.raises(ContradictoryAnswer):
        watched.read()
    assert watched.loss_detector.confirmed_loss is None
    with pytest.raises(ContradictoryAnswer):
        watched.read()
    assert watched.loss_detector.confirmed_loss is not None
    assert watched.loss_detector.confirmed_loss.kind == "history"
    assert watched.replica.jobs == known
    # Until an epoch begins, no read is accepted, whatever the service returns.
    with pytest.raises(ContradictoryAnswer):
        watched.full_read()
    watched.history.append(
        Event(EPOCH_KEY, {"e": 1, "s": 0, "k": "history"}, len(watched.history) + 1)
    )
    watched.full_read()
    assert watched.loss_detector.confirmed_loss is None
    assert watched.loss_detector.known_state is not None
    assert watched.loss_detector.known_state.saw_loss
    assert set(watched.loss_detector.known_state.records) == {job_key(uid) for uid in known}


def test_lost_unread_commit_is_detected() -> None:
    """A write that was confirmed and not read yet is lost, while the revision that was read last
    is still there. The loss must be found, and the write must be among the known records."""
    watched = WatchedService()
    watched.write(1)
    watched.read()
    revision = watched.write(2)
    watched.loss_detector.on_committed(revision, [Put(job_key("wk-000002"), record(2))])
    del watched.history[-1]
    watched.write(3)
    watched.write(4)
    for _ in range(2):
        with pytest.raises(ContradictoryAnswer):
            watched.read()
    assert watched.loss_detector.confirmed_loss is not None
    watched.history.append(Event(EPOCH_KEY, {"e": 1, "s": 0}, len(watched.history) + 1))
    watched.full_read()
    assert watched.loss_detector.known_state is not None
    assert job_key("wk-000002") in watched.loss_detector.known_state.records


def test_single_contradictory_answer_confirms_no_loss() -> None:
    """A single contradictory answer raises a suspicion that the next good read clears."""
    watched = WatchedService()
    for n in range(3):
        watched.write(n)
        watched.read()
    watched.loss_detector.begin_read()
    with pytest.raises(Unavailable):
        watched.loss_detector.check_changes([], 1)  # from another service, or minutes old
    assert watched.loss_detector.suspicion
    watched.read()
    assert not watched.loss_detector.suspicion
    assert watched.loss_detector.confirmed_loss is None


def test_record_lost_without_an_event_is_detected() -> None:
    """A guard fails on a record that no read shows as changed. Before this counts as a loss, the
    record is read alone."""
    watched = WatchedService()
    watched.write(1)
    watched.read()
    key = job_key("wk-000001")

    def raise_suspicion() -> None:
        watched.loss_detector.on_conflict({key: 1}, [key])
        with pytest.raises(ContradictoryAnswer):
            watched.read()
        assert watched.loss_detector.keys_to_check == [key]
        with pytest.raises(ContradictoryAnswer):
            watched.read()  # not decided before the record has been read alone
        assert watched.loss_detector.confirmed_loss is None

    raise_suspicion()
    # The record is there: the refused transaction was misleading.
    watched.loss_detector.on_record_read(key, 1)
    watched.read()
    assert not watched.loss_detector.suspicion
    raise_suspicion()
    watched.loss_detector.on_record_read(key, 0)
    with pytest.raises(ContradictoryAnswer):
        watched.read()
    assert watched.loss_detector.confirmed_loss is not None
    assert watched.loss_detector.confirmed_loss.kind == "records"
    # A record that has really changed: the read shows it and nothing is suspected.
    watched = WatchedService()
    watched.write(1)
    watched.read()
    watched.loss_detector.on_conflict({key: 1}, [key])
    watched.write(1)
    watched.read()
    assert not watched.loss_detector.suspicion


def test_page_is_compared_with_the_replica() -> None:
    """A page of records is compared with the replica only within its keys and its revision."""
    watched = WatchedService()
    for n in range(4):
        watched.write(n)
    watched.read()
    page = list(watched.history)
    assert watched.loss_detector.mismatched_keys(page, None, None, 4) == []
    assert watched.loss_detector.mismatched_keys(page[1:], None, None, 4) == [page[0].key]
    assert watched.loss_detector.mismatched_keys(page[1:], page[0].key, None, 4) == []
    assert watched.loss_detector.mismatched_keys(page[:2], None, page[1].key, 4) == []
    # Records written after the page's revision need not be in it.
    assert watched.loss_detector.mismatched_keys(page[:3], None, None, 3) == []
    older = page[0]._replace(version=0)
    assert watched.loss_detector.mismatched_keys([older, *page[1:]], None, None, 4) == [page[0].key]


def test_new_epoch_needs_a_full_read_and_keeps_the_known_state() -> None:
    """An epoch begun by another controller leads to a full read after the replica was copied."""
    watched = WatchedService()
    watched.write(1)
    watched.read()
    watched.history.append(Event(EPOCH_KEY, {"e": 1, "s": 0, "k": "records"}, 2))
    with pytest.raises(Gone):
        watched.read()
    watched.full_read()
    assert watched.loss_detector.known_state is not None
    assert not watched.loss_detector.known_state.saw_loss  # another controller saw the loss
    assert watched.replica.epoch == 1
