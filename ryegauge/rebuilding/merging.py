"""What a controller has to write so that the book holds what it knew before a loss.

Each controller puts back what it kept, one after the other, until the book lacks nothing of it.
Of a record that both have, the newer one counts, but what is done or cancelled stays so by
whoever knows it. Every write is guarded by what the book shows, so that none undoes another's.
"""

# kind: decisions

from collections.abc import Iterator
from typing import NamedTuple

from ryegauge.bookkeeping.ranges import Ranges
from ryegauge.bookkeeping.state import Delete, Put, Transaction
from ryegauge.bookkeeping.state_replica import (
    Assignment,
    Job,
    StateReplica,
    archive_key,
    assignment_key,
    cancelled_record,
    job_key,
    value_bytes,
)
from ryegauge.protocol.jobs import PRIORITIES, parse_job
from ryegauge.rebuilding.records import KnownRecord, KnownState, stamp

# Bytes of a transaction that are used, of the 64 KiB that the service takes.
TXN_BYTES = 40_000

# What an outcome takes of a record beside the job's name: quotes, a count, commas.
OUTCOME_BYTES = 14

# Changes that every state service takes in a transaction, with the conditions for them.
LEAST_OPS = 4


class Limits(NamedTuple):
    ops: int  # changes of a transaction
    value_bytes: int


class _Of(NamedTuple):
    """What was kept of one job."""

    job: KnownRecord | None
    assignments: dict[int, Assignment]  # their origins say how new they are
    pages: dict[str, KnownRecord]
    pieces: dict[str, KnownRecord]


def restore_writes(
    known_state: KnownState, replica: StateReplica, limits: Limits, name: str
) -> list[Transaction]:
    """In order of worth; empty if the book lacks nothing. `name`: of this controller, for the
    names of new records."""
    jobs = _by_job(known_state)
    writes = [*_cancellations(jobs, replica, limits), *_types(known_state, replica)]
    missing, over = _missing(jobs, known_state, replica)
    for uid in missing:
        writes += _job(uid, jobs[uid], replica)
    for uid, of in jobs.items():
        if (job := replica.jobs.get(uid)) is not None and uid not in known_state.final_outcomes:
            writes += _shares(job, of, replica)
    writes += _outcomes(known_state, replica, over, limits, name)
    writes += _needed(known_state, replica)
    return [write for write in writes if not too_large(write, limits)]


def too_large(write: Transaction, limits: Limits) -> bool:
    """Whether it was recorded when larger values were allowed: it would be refused again and
    again, and keep everything else waiting."""
    return any(
        isinstance(change, Put) and value_bytes(change.value) > limits.value_bytes
        for change in write.changes
    )


def _by_job(known_state: KnownState) -> dict[str, _Of]:
    result: dict[str, _Of] = {}
    for key, known in known_state.records.items():
        kind, uid, *rest = key.split("/")[1:]
        if kind not in ("j", "s", "w"):
            continue
        of = result.setdefault(uid, _Of(None, {}, {}, {}))
        if kind == "s":
            of.pages[key] = known
        elif kind == "w":
            of.pieces[key] = known
        elif rest:
            assignment = Assignment.from_record(known.value, known.version)
            assignment.origin = (known.epoch, known.version)
            of.assignments[int(rest[0])] = assignment
        else:
            result[uid] = of._replace(job=known)
    return result


def _cancellations(
    jobs: dict[str, _Of], replica: StateReplica, limits: Limits
) -> Iterator[Transaction]:
    for uid, of in jobs.items():
        job = replica.jobs.get(uid)
        if of.job is not None and of.job.value.get("x") and job is not None and not job.cancelled:
            record = cancelled_record(job.spec, job.submitted_at, limits.value_bytes)
            yield Transaction({job_key(uid): job.version}, [Put(job_key(uid), record)])


def _types(known_state: KnownState, replica: StateReplica) -> Iterator[Transaction]:
    for key, known in known_state.records.items():
        if key.startswith("r/c/") and key[4:] not in replica.types:
            yield Transaction({key: 0}, [Put(key, known.value)])


def _missing(
    jobs: dict[str, _Of], known_state: KnownState, replica: StateReplica
) -> tuple[list[str], dict[str, tuple[str, int]]]:
    """Jobs that the book lacks, those with running tasks first, then by urgency; and the
    outcomes of those of which nothing else matters."""
    live: list[tuple[bool, int, float, str]] = []
    over: dict[str, tuple[str, int]] = {}
    for uid, of in jobs.items():
        if (
            of.job is None
            or uid in replica.jobs
            or uid in replica.restored_outcomes
            or uid in known_state.final_outcomes
        ):
            continue
        record = of.job.value
        job = Job(parse_job(record["s"]), record["at"], bool(record.get("x")), 0)
        job.assignments.update(of.assignments)
        for key, page in of.pages.items():
            _, _, _, shard, number = key.split("/")
            job.set_overflow_page(int(shard), int(number), Ranges.from_flat(page.value["d"]))
        job.update_counts()
        if job.is_terminal and not job.assigned_count:
            over[uid] = (job.status, job.done_count)
        else:
            rank = PRIORITIES.index(job.spec.priority)
            live.append((not job.assigned_count, rank, job.submitted_at, uid))
    return [entry[3] for entry in sorted(live)], over


def _job(uid: str, of: _Of, replica: StateReplica) -> Iterator[Transaction]:
    """The record of a job, after the names of those that it needs, and its shares. It is not
    put back if it has left the book since. What stands there without the job is seen once the
    book is read anew."""
    assert of.job is not None
    for key, piece in of.pieces.items():
        yield Transaction({key: 0}, [Put(key, piece.value)])
    guards = {job_key(uid): 0, archive_key(uid): 0}
    changes: list[Put | Delete] = [Put(job_key(uid), of.job.value)]
    for shard, assignment in of.assignments.items():
        if (key := assignment_key(uid, shard)) not in replica.orphans and len(changes) < LEAST_OPS:
            guards[key] = 0
            changes.append(Put(key, assignment.to_record()))
    yield Transaction(guards, changes)
    for key, page in of.pages.items():
        if key not in replica.orphans:
            yield Transaction({key: 0}, [Put(key, page.value)])


def _shares(job: Job, of: _Of, replica: StateReplica) -> Iterator[Transaction]:
    uid = job.spec.uid
    for shard, assignment in merged(job, of.assignments, replica).items():
        key = assignment_key(uid, shard)
        yield Transaction(
            {job_key(uid): job.version, key: assignment.version}, [Put(key, assignment.to_record())]
        )


def _stamp(assignment: Assignment, replica: StateReplica) -> tuple[int, int]:
    return stamp(assignment.version, assignment.origin, replica)


def merged(job: Job, old: dict[int, Assignment], replica: StateReplica) -> dict[int, Assignment]:
    """The parts' shares that have to change for what was known before: of what a part holds
    the newer record counts, what is done by either is done, and no task is in two parts."""
    newer = {
        shard: assignment
        for shard, assignment in old.items()
        if shard not in job.assignments
        or _stamp(assignment, replica) > _stamp(job.assignments[shard], replica)
    }
    held = Ranges()
    for shard, assignment in job.assignments.items():
        if shard not in newer:
            held = held | assignment.tasks
    done = job.overflow_tasks
    for assignment in (*job.assignments.values(), *old.values()):
        done = done | assignment.done
    result: dict[int, Assignment] = {}
    for shard, was in old.items():
        now = job.assignments.get(shard)
        base = was if shard in newer else job.assignments[shard]
        taken = done | held if shard in newer else done
        assigned = {zone: tasks - taken for zone, tasks in base.assigned.items()}
        mine = was.done if now is None else now.done | was.done
        assignment = Assignment(
            {zone: tasks for zone, tasks in assigned.items() if tasks},
            mine - job.overflow_tasks,
            0 if now is None else now.version,
            base.ended_at,
            base.origin,
        )
        if shard in newer:
            held = held | assignment.tasks
        same = now is not None and (
            shard not in newer and assignment.tasks == now.tasks and assignment.done == now.done
        )
        if not same and (now is not None or assignment.count or assignment.done):
            result[shard] = assignment
    return result


def _outcomes(
    known_state: KnownState,
    replica: StateReplica,
    over: dict[str, tuple[str, int]],
    limits: Limits,
    name: str,
) -> Iterator[Transaction]:
    """Outcomes, many to a record. A job that stands in the book although it is over goes: its
    record came back from before its end."""
    left: dict[str, tuple[str, int]] = {
        uid: outcome
        for uid, outcome in known_state.final_outcomes.items()
        if uid not in replica.restored_outcomes
    }
    left.update(over)
    number = 0
    while left:
        record: dict[str, dict[str, int]] = {}
        size = 30
        deletes: list[Delete] = []
        guards: dict[str, int] = {}
        while left and len(deletes) + 2 <= limits.ops:
            uid = next(iter(left))
            size += len(uid) + OUTCOME_BYTES
            if size > limits.value_bytes:
                break
            status, done = left.pop(uid)
            record.setdefault(status, {})[uid] = done
            if (job := replica.jobs.get(uid)) is not None:
                guards[job_key(uid)] = job.version
                deletes.append(Delete(job_key(uid)))
        while f"{name}-{replica.epoch}-{number}" in replica.restored_outcome_keys:
            number += 1
        key = f"r/k/{name}-{replica.epoch}-{number}"
        number += 1
        guards[key] = 0
        yield Transaction(guards, [Put(key, record), *deletes])


def _needed(known_state: KnownState, replica: StateReplica) -> Iterator[Transaction]:
    """Outcomes that jobs in the book wait for, and answers that are owed to queues."""
    for key, known in known_state.records.items():
        if (key.startswith("r/o/") and key[4:] in replica.unresolved_needs) or (
            key.startswith("r/q/") and key[4:] not in replica.pending_replies
        ):
            yield Transaction({key: 0}, [Put(key, known.value)])


def grouped(writes: list[Transaction], limits: Limits) -> Iterator[Transaction]:
    """As many together as a transaction takes, by number and by size."""
    guards: dict[str, int] = {}
    changes: list[Put | Delete] = []
    size = 0
    for write in writes:
        more = sum(200 + value_bytes(c.value) for c in write.changes if isinstance(c, Put))
        if changes and (len(changes) + len(write.changes) > limits.ops or size + more > TXN_BYTES):
            yield Transaction(guards, changes)
            guards, changes, size = {}, [], 0
        guards = {**guards, **write.guards}
        changes = [*changes, *write.changes]
        size += more
    if changes:
        yield Transaction(guards, changes)
