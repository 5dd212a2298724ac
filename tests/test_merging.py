"""Restores by several controllers after a loss, compared with a simple reference model that keeps
the state service's data at each revision; adoption of unrecorded tasks; stages of an epoch."""

from typing import Any

import pytest
from conftest import job_body
from hypothesis import given
from hypothesis import strategies as st

from ryegauge.bookkeeping.epochs import EPOCH_KEY, RECOVERED, RESTORING
from ryegauge.bookkeeping.ranges import Ranges
from ryegauge.bookkeeping.state import Delete, Event, Put, Transaction
from ryegauge.bookkeeping.state_replica import (
    StateReplica,
    archive_key,
    assignment_key,
    job_key,
    job_record,
)
from ryegauge.protocol.jobs import parse_job
from ryegauge.rebuilding import merging
from ryegauge.rebuilding.adopting import UnrecordedTask, adoption_writes
from ryegauge.rebuilding.merging import RestoreLimits, group_writes, restore_writes
from ryegauge.rebuilding.records import copy_known_state
from ryegauge.rebuilding.stages import (
    first_epoch_record,
    is_recovery_complete,
    is_turn_to_restore,
    next_epoch_record,
)

SHARDS = 2
TASKS = 4
LIMITS = RestoreLimits(4, 1024)


class Service:
    """A minimal state service: keys, values and versions, and guarded transactions."""

    def __init__(self, data: dict[str, tuple[Any, int]], revision: int) -> None:
        self.data, self.revision = dict(data), revision

    def version(self, key: str) -> int:
        return self.data[key][1] if key in self.data else 0

    def write(self, write: Transaction) -> bool:
        if any(self.version(key) != version for key, version in write.guards.items()):
            return False
        self.revision += 1
        for change in write.changes:
            if isinstance(change, Delete):
                self.data.pop(change.key, None)
            else:
                self.data[change.key] = (change.value, self.revision)
        return True

    def replica(self, max_final_outcomes: int = 0) -> StateReplica:
        replica = StateReplica()
        replica.max_final_outcomes = max_final_outcomes
        replica.replace(
            [Event(k, *v) for k, v in sorted(self.data.items()) if k.startswith("r/")],
            self.revision,
        )
        return replica


def uid(n: int) -> str:
    return f"wk-{n:06d}"


def assignment_record(assigned: set[int], done: set[int]) -> dict[str, Any]:
    return {"t": {"": Ranges.of(assigned).flat()} if assigned else {}, "d": Ranges.of(done).flat()}


class History:
    """Reference model: random steps of up to three jobs, with the service's data after each."""

    def __init__(self) -> None:
        self.service = Service({}, 0)
        self.at = [dict(self.service.data)]

    def _commit(self, changes: list[Put | Delete]) -> None:
        assert self.service.write(Transaction({}, changes))
        self.at.append(dict(self.service.data))

    def _held(self, n: int) -> dict[int, tuple[set[int], set[int]]]:
        result = {}
        for shard in range(SHARDS):
            record = self.service.data.get(assignment_key(uid(n), shard), ({"t": {}, "d": []}, 0))[
                0
            ]
            result[shard] = (
                set(Ranges.from_flat(record["t"].get("", []))),
                set(Ranges.from_flat(record["d"])),
            )
        return result

    def step(self, n: int, kind: int, shard: int, task: int) -> None:
        key = job_key(uid(n))
        known = self.service.data.get(key)
        if known is None:
            if archive_key(uid(n)) not in self.service.data:
                spec = parse_job(job_body(uid(n), pieces=TASKS))
                self._commit([Put(key, job_record(spec, 1.0 + n, False))])
            return
        held = self._held(n)
        mine, done = held[shard]
        ended = bool(known[0].get("x")) or sum(len(d) for _, d in held.values()) == TASKS
        taken = set().union(*(t | d for t, d in held.values()))
        if kind == 0 and not ended and task not in taken:
            self._commit(
                [Put(assignment_key(uid(n), shard), assignment_record(mine | {task}, done))]
            )
        elif kind == 1 and task in mine:
            self._commit(
                [
                    Put(
                        assignment_key(uid(n), shard),
                        assignment_record(mine - {task}, done | {task}),
                    )
                ]
            )
        elif kind == 2 and task in mine:
            self._commit(
                [Put(assignment_key(uid(n), shard), assignment_record(mine - {task}, done))]
            )
        elif kind == 3 and not ended:
            self._commit([Put(key, {**known[0], "x": True})])
        elif kind == 4 and ended and not any(t for t, _ in held.values()):
            status = "cancelled" if known[0].get("x") else "done"
            count = sum(len(d) for _, d in held.values())
            self._commit(
                [
                    Put(archive_key(uid(n)), {"st": status, "d": count}),
                    Delete(key),
                    *(Delete(assignment_key(uid(n), p)) for p in range(SHARDS)),
                ]
            )


def outcome_of(replica: StateReplica, service: Service, n: int) -> tuple[str, int] | None:
    """The outcome that a user is told, with the number of done tasks; None before the end."""
    name = uid(n)
    if name in replica.jobs:
        job = replica.jobs[name]
        return (job.status, job.done_count) if job.is_terminal else None
    if name in replica.restored_outcomes:
        return replica.restored_outcomes[name]
    record = service.data.get(archive_key(name))
    return (record[0]["st"], record[0]["d"]) if record else None


STEPS = st.lists(
    st.tuples(st.integers(0, 2), st.integers(0, 4), st.integers(0, 1), st.integers(0, 3)),
    min_size=1,
    max_size=60,
)


@given(steps=STEPS, data=st.data())
def test_restores_in_any_order_yield_the_newest_known_state(
    steps: list[tuple[int, ...]], data: Any
) -> None:
    """The service is reset to an earlier revision, emptied, or loses single records. Controllers
    that had read up to different revisions restore what they know in any order, and some are
    interrupted and start again. The result must be what the one that had read most knew."""
    history = History()
    for step in steps:
        history.step(*step)
    last = len(history.at) - 1
    was_reset = data.draw(st.booleans(), label="reset, else records are lost")
    revision = data.draw(st.integers(0, last), label="revision") if was_reset else last
    service_data = dict(history.at[revision])
    if not was_reset:
        dropped_keys = data.draw(
            st.sets(st.sampled_from(sorted(service_data) or ["-"])), label="lost"
        )
        service_data = {
            k: v for k, v in service_data.items() if k not in dropped_keys or k.startswith("f/")
        }
    read = data.draw(st.lists(st.integers(revision, last), min_size=1, max_size=3), label="read")
    replicas = []
    for last_read in read:
        replica = StateReplica()
        replica.max_final_outcomes = 100
        # One revision after the other, as a controller reads them, so that it also knows the
        # jobs that were archived.
        for at in range(1, last_read + 1):
            before, after = history.at[at - 1], history.at[at]
            events = [Event(k, None, at) for k in before if k not in after]
            events += [Event(k, *after[k]) for k in after if before.get(k) != after[k]]
            replica.apply([e for e in events if e.key.startswith("r/")], at)
        replicas.append(replica)
    service = Service(service_data, revision)
    assert service.write(
        Transaction({}, [Put(EPOCH_KEY, {"e": 1, "s": RESTORING, "k": "history"})])
    )
    for n in data.draw(st.permutations(range(len(replicas))), label="order"):
        known_state = copy_known_state(replicas[n], True)
        for turn in range(30):
            writes = restore_writes(known_state, service.replica(), LIMITS, f"node-{n}")
            if not writes:
                break
            for transaction in group_writes(writes, LIMITS):
                # No transaction has more changes than the service accepts.
                assert len(transaction.changes) <= LIMITS.max_changes
                if turn == 0 and data.draw(st.booleans(), label="ends here"):
                    break
                if not service.write(transaction):
                    for write in writes:
                        service.write(write)
        else:
            pytest.fail("the restore does not end")
    result = service.replica()
    truth = Service(history.at[max(read)], max(read))
    expected = truth.replica()
    for n in range(3):
        end = outcome_of(expected, truth, n)
        assert outcome_of(result, service, n) == end
        if (job := expected.jobs.get(uid(n))) is not None and (end is None or job.assigned_count):
            got = result.jobs[uid(n)]
            assert got.done_count == job.done_count
            for shard in range(SHARDS):
                mine = job.assignments[shard].tasks if shard in job.assignments else Ranges()
                theirs = got.assignments[shard].tasks if shard in got.assignments else Ranges()
                assert theirs == mine, (n, shard)


@pytest.mark.parametrize("by_version_alone", [False, True])
def test_restoring_an_older_replica_first_loses_no_task(
    by_version_alone: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The controller with the older replica restores first, so its old assignment gets a high
    version. If versions alone decided, the newer assignment would be dropped, and a running task
    would be in no assignment and be started a second time."""
    history = History()
    for step in [(0, 0, 0, 0), (0, 0, 0, 0), (0, 0, 0, 1), (0, 0, 0, 2)]:
        history.step(*step)
    service = Service({}, 50)
    service.write(Transaction({}, [Put(EPOCH_KEY, {"e": 1, "s": RESTORING})]))
    if by_version_alone:
        monkeypatch.setattr(
            merging, "_assignment_epoch_and_version", lambda assignment, _: (0, assignment.version)
        )
    for at in (2, 4):
        known_state = copy_known_state(Service(history.at[at], at).replica(), True)
        for _ in range(5):
            for write in restore_writes(known_state, service.replica(), LIMITS, f"node-{at}"):
                service.write(write)
    held = service.replica().jobs[uid(0)].assignments[0].tasks
    assert (held == Ranges.of([0, 1, 2])) == (not by_version_alone)


def test_second_loss_during_the_restore_keeps_unrestored_records() -> None:
    """A second loss during the restore after the first. The records known before the first one
    must still be restored, in an epoch after both."""
    history = History()
    for step in [(0, 0, 0, 0), (0, 0, 0, 0), (1, 0, 0, 0), (0, 0, 0, 1), (0, 1, 0, 0)]:
        history.step(*step)
    first = copy_known_state(history.service.replica(), True)
    empty = Service({}, 0)
    empty.write(Transaction({}, [Put(EPOCH_KEY, {"e": 1, "s": RESTORING})]))
    first_writes = restore_writes(first, empty.replica(), LIMITS, "a")[:1]
    assert all(empty.write(write) for write in first_writes)
    second = copy_known_state(empty.replica(), True).with_older(first)
    lost = Service({}, 0)
    record = first_epoch_record(None, 1, "history", "a")
    assert record is not None
    assert record["e"] == 2
    lost.write(Transaction({}, [Put(EPOCH_KEY, record)]))
    for _ in range(5):
        for write in restore_writes(second, lost.replica(), LIMITS, "a"):
            lost.write(write)
    replica = lost.replica()
    assert set(replica.jobs) == {uid(0), uid(1)}
    assert replica.jobs[uid(0)].done_count == 1
    assert replica.jobs[uid(0)].assignments[0].tasks == Ranges.of([1])
    # A controller that finds a later epoch than the one it knows begins none.
    assert first_epoch_record(record, 1, "history", "b") is None
    with pytest.raises(OverflowError):
        first_epoch_record(None, 255, "history", "b")


def test_oversized_record_does_not_block_the_restore() -> None:
    """A record larger than the present limit is skipped; the service would refuse it every time,
    and the records after it would never be restored."""
    history = History()
    history.step(0, 0, 0, 0)
    history.step(1, 0, 0, 0)
    known_state = copy_known_state(history.service.replica(), True)
    key = job_key(uid(0))
    large = {
        **known_state.records[key].value,
        "s": {**known_state.records[key].value["s"], "duty": "x" * 2000},
    }
    known_state.records[key] = known_state.records[key]._replace(value=large)
    service = Service({}, 50)
    service.write(Transaction({}, [Put(EPOCH_KEY, {"e": 1, "s": RESTORING})]))
    for _ in range(3):
        for write in restore_writes(known_state, service.replica(), LIMITS, "a"):
            assert service.write(write)
    assert restore_writes(known_state, service.replica(), LIMITS, "a") == []
    assert list(service.replica().jobs) == [uid(1)]


def test_unrecorded_task_is_adopted_once() -> None:
    """Two shards that report the same unrecorded task must not both adopt it."""
    history = History()
    for step in [(0, 0, 0, 0), (0, 0, 1, 3)]:
        history.step(*step)
    service = history.service
    service.write(Transaction({}, [Put(EPOCH_KEY, {"e": 1, "s": RESTORING})]))
    replica = service.replica()
    unrecorded = [
        UnrecordedTask(uid(0), 0, "", False),
        UnrecordedTask(uid(0), 1, "", True),
        UnrecordedTask(uid(0), 3, "", False),
        UnrecordedTask(uid(7), 0, "", False),
    ]
    (mine,) = adoption_writes(replica, 0, SHARDS, unrecorded)
    (theirs,) = adoption_writes(replica, 1, SHARDS, unrecorded[:1])
    assert service.write(mine)
    assert not service.write(theirs)  # the assignments that guard it have changed
    job = service.replica().jobs[uid(0)]
    assert job.assignments[0].tasks == Ranges.of([0])  # task 3 is held by the other shard
    assert job.assignments[0].done == Ranges.of([1])


def test_epoch_stages_wait_for_live_controllers() -> None:
    """When controllers restore, how long the others are waited for, and when the epoch may say
    that nothing is missing."""
    replica = StateReplica()
    names = ["a", "b", "c"]

    def epoch(kind: str, restored_nodes: dict[str, bool], live: list[str]) -> StateReplica:
        items = [Event(EPOCH_KEY, {"e": 1, "s": RESTORING, "k": kind}, 10)]
        for name in live:
            mark = {"b": [1, restored_nodes[name]]} if name in restored_nodes else {}
            items.append(Event(f"r/n/{name}", {"i": "1", **mark}, 11))
        replica.replace(items, 11)
        return replica

    def record(begun_s: float) -> Any:
        return next_epoch_record(replica, names, begun_s, 0.0, 15.0, 5.0)

    epoch("history", {"a": True, "b": True}, ["a", "b", "c"])
    assert record(10.0) is None  # c is live and has not restored
    turns = [is_turn_to_restore(replica, names, name, 1.0, 5.0) for name in names]
    assert turns == [True, True, True]
    epoch("history", {}, ["a", "c"])
    assert [is_turn_to_restore(replica, names, name, 1.0, 5.0) for name in names] == [
        True,
        False,
        False,
    ]
    assert [is_turn_to_restore(replica, names, name, 10.0, 5.0) for name in names] == [
        True,
        True,
        True,
    ]
    epoch("history", {"a": True, "b": True, "c": True}, names)
    assert record(0.5) == {"e": 1, "k": "history", "v": 10, "s": RECOVERED, "c": True}
    epoch("history", {"a": True, "b": True}, ["a", "b"])
    assert not is_recovery_complete(replica, names)
    assert record(4.0) is None  # c may still enroll
    assert record(5.0)["s"] != RECOVERED
    epoch("history", {"a": True}, ["a", "b"])
    assert record(19.0) is None
    # b is live but has not restored for four controller leases.
    assert record(20.0)["s"] != RECOVERED
    epoch("records", {"a": True, "b": False}, ["a", "b"])
    assert record(5.0)["c"]
    epoch("records", {"a": False, "b": False}, ["a", "b"])
    assert not record(5.0)["c"]
