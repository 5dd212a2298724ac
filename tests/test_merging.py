"""What several controllers put back after a loss, against a slow plain model that knows what
the state service had at each revision."""

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
from ryegauge.rebuilding.merging import Limits, grouped, restore_writes
from ryegauge.rebuilding.records import keep
from ryegauge.rebuilding.stages import complete, first_record, is_turn_to_restore, next_record

SHARDS = 2
TASKS = 4
LIMITS = Limits(4, 1024)


class Service:
    """Keys, values and versions; nothing else."""

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


def share(assigned: set[int], done: set[int]) -> dict[str, Any]:
    return {"t": {"": Ranges.of(assigned).flat()} if assigned else {}, "d": Ranges.of(done).flat()}


class History:
    """A plain model of what happens to three jobs, and the service at each revision."""

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
        over = bool(known[0].get("x")) or sum(len(d) for _, d in held.values()) == TASKS
        taken = set().union(*(t | d for t, d in held.values()))
        if kind == 0 and not over and task not in taken:
            self._commit([Put(assignment_key(uid(n), shard), share(mine | {task}, done))])
        elif kind == 1 and task in mine:
            self._commit([Put(assignment_key(uid(n), shard), share(mine - {task}, done | {task}))])
        elif kind == 2 and task in mine:
            self._commit([Put(assignment_key(uid(n), shard), share(mine - {task}, done))])
        elif kind == 3 and not over:
            self._commit([Put(key, {**known[0], "x": True})])
        elif kind == 4 and over and not any(t for t, _ in held.values()):
            status = "cancelled" if known[0].get("x") else "done"
            count = sum(len(d) for _, d in held.values())
            self._commit(
                [
                    Put(archive_key(uid(n)), {"st": status, "d": count}),
                    Delete(key),
                    *(Delete(assignment_key(uid(n), p)) for p in range(SHARDS)),
                ]
            )


def told(replica: StateReplica, service: Service, n: int) -> tuple[str, int] | None:
    """What a user would be told of a job's end."""
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
def test_whoever_puts_back_in_whatever_order(steps: list[tuple[int, ...]], data: Any) -> None:
    """The service went back to some revision or to nothing, or lost single records; any of
    the controllers that had read it up to others put back what they know, in any order, and
    some of them are cut off in the middle and begin again. The result is what the one who had
    read most knew."""
    history = History()
    for step in steps:
        history.step(*step)
    last = len(history.at) - 1
    went_back = data.draw(st.booleans(), label="went back, or lost records")
    revision = data.draw(st.integers(0, last), label="revision") if went_back else last
    stands = dict(history.at[revision])
    if not went_back:
        drops = data.draw(st.sets(st.sampled_from(sorted(stands) or ["-"])), label="lost")
        stands = {k: v for k, v in stands.items() if k not in drops or k.startswith("f/")}
    read = data.draw(st.lists(st.integers(revision, last), min_size=1, max_size=3), label="read")
    replicas = []
    for upto in read:
        replica = StateReplica()
        replica.max_final_outcomes = 100
        # One change after the other, as a controller sees them: so it knows what left.
        for at in range(1, upto + 1):
            before, after = history.at[at - 1], history.at[at]
            events = [Event(k, None, at) for k in before if k not in after]
            events += [Event(k, *after[k]) for k in after if before.get(k) != after[k]]
            replica.apply([e for e in events if e.key.startswith("r/")], at)
        replicas.append(replica)
    service = Service(stands, revision)
    assert service.write(
        Transaction({}, [Put(EPOCH_KEY, {"e": 1, "s": RESTORING, "k": "history"})])
    )
    for n in data.draw(st.permutations(range(len(replicas))), label="order"):
        known_state = keep(replicas[n], True)
        for turn in range(30):
            writes = restore_writes(known_state, service.replica(), LIMITS, f"node-{n}")
            if not writes:
                break
            for together in grouped(writes, LIMITS):
                # Changes to keys of one transaction are not more than it takes.
                assert len(together.changes) <= LIMITS.ops
                if turn == 0 and data.draw(st.booleans(), label="ends here"):
                    break
                if not service.write(together):
                    for write in writes:
                        service.write(write)
        else:
            pytest.fail("never done")
    result = service.replica()
    truth = Service(history.at[max(read)], max(read))
    expected = truth.replica()
    for n in range(3):
        end = told(expected, truth, n)
        assert told(result, service, n) == end
        if (job := expected.jobs.get(uid(n))) is not None and (end is None or job.assigned_count):
            got = result.jobs[uid(n)]
            assert got.done_count == job.done_count
            for shard in range(SHARDS):
                mine = job.assignments[shard].tasks if shard in job.assignments else Ranges()
                theirs = got.assignments[shard].tasks if shard in got.assignments else Ranges()
                assert theirs == mine, (n, shard)


@pytest.mark.parametrize("by_version_alone", [False, True])
def test_the_older_book_comes_first(
    by_version_alone: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """What it puts back has a high version and is old all the same: by the version alone, a
    task would be in no share, and given away while it runs."""
    history = History()
    for step in [(0, 0, 0, 0), (0, 0, 0, 0), (0, 0, 0, 1), (0, 0, 0, 2)]:
        history.step(*step)
    service = Service({}, 50)
    service.write(Transaction({}, [Put(EPOCH_KEY, {"e": 1, "s": RESTORING})]))
    if by_version_alone:
        monkeypatch.setattr(merging, "_stamp", lambda share, replica: (0, share.version))
    for at in (2, 4):
        known_state = keep(Service(history.at[at], at).replica(), True)
        for _ in range(5):
            for write in restore_writes(known_state, service.replica(), LIMITS, f"node-{at}"):
                service.write(write)
    held = service.replica().jobs[uid(0)].assignments[0].tasks
    assert (held == Ranges.of([0, 1, 2])) == (not by_version_alone)


def test_two_losses_in_a_row_keep_what_was_not_put_back() -> None:
    """A second loss while the first was being put back: what the first book had still counts,
    and the era is above both."""
    history = History()
    for step in [(0, 0, 0, 0), (0, 0, 0, 0), (1, 0, 0, 0), (0, 0, 0, 1), (0, 1, 0, 0)]:
        history.step(*step)
    first = keep(history.service.replica(), True)
    empty = Service({}, 0)
    empty.write(Transaction({}, [Put(EPOCH_KEY, {"e": 1, "s": RESTORING})]))
    half = restore_writes(first, empty.replica(), LIMITS, "a")[:1]
    assert all(empty.write(write) for write in half)
    second = keep(empty.replica(), True).over(first)
    lost = Service({}, 0)
    record = first_record(None, 1, "history", "a")
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
    # Whoever finds an era above the one that it knows begins none.
    assert first_record(record, 1, "history", "b") is None
    with pytest.raises(OverflowError):
        first_record(None, 255, "history", "b")


def test_what_does_not_fit_any_more_keeps_nothing_waiting() -> None:
    history = History()
    history.step(0, 0, 0, 0)
    history.step(1, 0, 0, 0)
    known_state = keep(history.service.replica(), True)
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


def test_tasks_that_run_are_taken_in_once() -> None:
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
    assert not service.write(theirs)  # its shares are others by now
    job = service.replica().jobs[uid(0)]
    assert job.assignments[0].tasks == Ranges.of([0])  # 3 is the other part's
    assert job.assignments[0].done == Ranges.of([1])


def test_an_era_ends_when_all_that_live_have_put_back() -> None:
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
        return next_record(replica, names, begun_s, 0.0, 15.0, 5.0)

    epoch("history", {"a": True, "b": True}, ["a", "b", "c"])
    assert record(10.0) is None  # one that lives has not
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
    assert not complete(replica, names)
    assert record(4.0) is None  # the third may be about to come
    assert record(5.0)["s"] != RECOVERED
    epoch("history", {"a": True}, ["a", "b"])
    assert record(19.0) is None
    assert record(20.0)["s"] != RECOVERED  # the second is there, and does nothing for four terms
    epoch("records", {"a": True, "b": False}, ["a", "b"])
    assert record(5.0)["c"]
    epoch("records", {"a": False, "b": False}, ["a", "b"])
    assert not record(5.0)["c"]
