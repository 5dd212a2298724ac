"""Computes the writes that restore a controller's knowledge after a loss in the state service.

The controllers restore one after the other, each until the replica lacks nothing that it knew.
If both the controller and the replica have a record, the newer version wins; a task that either
records as done, or a job that either records as cancelled, stays so. Every write is guarded by
the versions in the replica, so that no controller overwrites what another one has restored.
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
from ryegauge.rebuilding.records import KnownRecord, KnownState, epoch_and_version

# Upper bound for the size of a transaction; the state service accepts 64 KiB.
MAX_TXN_BYTES = 40_000

# Bytes of an outcome in its record besides the job's name: quotes, task count, commas.
OUTCOME_OVERHEAD_BYTES = 14

# Changes, with their conditions, that every state service accepts in one transaction.
GUARANTEED_TXN_CHANGES = 4


class RestoreLimits(NamedTuple):
    """Limits of the state service for one transaction."""

    max_changes: int  # changes per transaction
    value_bytes: int  # size of a record's value


class _JobRecords(NamedTuple):
    """The known records of one job."""

    job: KnownRecord | None
    assignments: dict[int, Assignment]  # by shard; `origin` holds epoch and version before the loss
    pages: dict[str, KnownRecord]  # overflow pages of done tasks, by key
    pieces: dict[str, KnownRecord]  # records with names of needed jobs, by key


def restore_writes(
    known_state: KnownState, replica: StateReplica, limits: RestoreLimits, name: str
) -> list[Transaction]:
    """Returns the writes that the replica still lacks, the most important first; an empty list
    means that everything that fits the present limits is restored. `name` is this controller's
    name, which makes the keys of new records unique."""
    jobs = _group_by_job(known_state)
    writes = [
        *_cancellation_writes(jobs, replica, limits),
        *_machine_type_writes(known_state, replica),
    ]
    missing, ended = _missing_jobs(jobs, known_state, replica)
    for uid in missing:
        writes += _job_writes(uid, jobs[uid], replica)
    for uid, job_records in jobs.items():
        if (job := replica.jobs.get(uid)) is not None and uid not in known_state.final_outcomes:
            writes += _assignment_writes(job, job_records, replica)
    writes += _outcome_writes(known_state, replica, ended, limits, name)
    writes += _dependency_writes(known_state, replica)
    return [write for write in writes if not exceeds_value_limit(write, limits)]


def exceeds_value_limit(write: Transaction, limits: RestoreLimits) -> bool:
    """Whether a value exceeds the present limit, because it was recorded under a larger one.
    The service would refuse the write every time, and everything after it would wait."""
    return any(
        isinstance(change, Put) and value_bytes(change.value) > limits.value_bytes
        for change in write.changes
    )


def _group_by_job(known_state: KnownState) -> dict[str, _JobRecords]:
    """Groups the known records of jobs, assignments, overflow pages and needed names by job."""
    result: dict[str, _JobRecords] = {}
    for key, known in known_state.records.items():
        kind, uid, *rest = key.split("/")[1:]
        if kind not in ("j", "s", "w"):
            continue
        job_records = result.setdefault(uid, _JobRecords(None, {}, {}, {}))
        if kind == "s":
            job_records.pages[key] = known
        elif kind == "w":
            job_records.pieces[key] = known
        elif rest:
            assignment = Assignment.from_record(known.value, known.version)
            assignment.origin = (known.epoch, known.version)
            job_records.assignments[int(rest[0])] = assignment
        else:
            result[uid] = job_records._replace(job=known)
    return result


def _cancellation_writes(
    jobs: dict[str, _JobRecords], replica: StateReplica, limits: RestoreLimits
) -> Iterator[Transaction]:
    """Cancels jobs that are known as cancelled and that the replica shows as not cancelled."""
    for uid, job_records in jobs.items():
        job = replica.jobs.get(uid)
        if (
            job_records.job is not None
            and job_records.job.value.get("x")
            and job is not None
            and not job.cancelled
        ):
            record = cancelled_record(job.spec, job.submitted_at, limits.value_bytes)
            yield Transaction({job_key(uid): job.version}, [Put(job_key(uid), record)])


def _machine_type_writes(known_state: KnownState, replica: StateReplica) -> Iterator[Transaction]:
    """Restores the records of machine types."""
    for key, known in known_state.records.items():
        if key.startswith("r/c/") and key[4:] not in replica.types:
            yield Transaction({key: 0}, [Put(key, known.value)])


def _missing_jobs(
    jobs: dict[str, _JobRecords], known_state: KnownState, replica: StateReplica
) -> tuple[list[str], dict[str, tuple[str, int]]]:
    """Returns the jobs to restore that the replica lacks, those with assigned tasks first, then by
    priority; and the outcomes of jobs that have ended and have no assigned tasks, for which the
    outcome is enough."""
    live: list[tuple[bool, int, float, str]] = []
    ended: dict[str, tuple[str, int]] = {}
    for uid, job_records in jobs.items():
        if (
            job_records.job is None
            or uid in replica.jobs
            or uid in replica.restored_outcomes
            or uid in known_state.final_outcomes
        ):
            continue
        record = job_records.job.value
        job = Job(parse_job(record["s"]), record["at"], bool(record.get("x")), 0)
        job.assignments.update(job_records.assignments)
        for key, page in job_records.pages.items():
            _, _, _, shard, number = key.split("/")
            job.set_overflow_page(int(shard), int(number), Ranges.from_flat(page.value["d"]))
        job.update_counts()
        if job.is_terminal and not job.assigned_count:
            ended[uid] = (job.status, job.done_count)
        else:
            rank = PRIORITIES.index(job.spec.priority)
            live.append((not job.assigned_count, rank, job.submitted_at, uid))
    return [entry[3] for entry in sorted(live)], ended


def _job_writes(uid: str, job_records: _JobRecords, replica: StateReplica) -> Iterator[Transaction]:
    """Restores a job's record, preceded by the names of the jobs that it needs, its assignments
    and its overflow pages. The guard on its archive record keeps it from being restored if it
    has been archived meanwhile. Records that exist without their job are skipped here; the
    replica shows them under the job after the next full read."""
    assert job_records.job is not None
    for key, piece in job_records.pieces.items():
        yield Transaction({key: 0}, [Put(key, piece.value)])
    guards = {job_key(uid): 0, archive_key(uid): 0}
    changes: list[Put | Delete] = [Put(job_key(uid), job_records.job.value)]
    for shard, assignment in job_records.assignments.items():
        if (key := assignment_key(uid, shard)) not in replica.orphans and len(
            changes
        ) < GUARANTEED_TXN_CHANGES:
            guards[key] = 0
            changes.append(Put(key, assignment.to_record()))
    yield Transaction(guards, changes)
    for key, page in job_records.pages.items():
        if key not in replica.orphans:
            yield Transaction({key: 0}, [Put(key, page.value)])


def _assignment_writes(
    job: Job, job_records: _JobRecords, replica: StateReplica
) -> Iterator[Transaction]:
    """Updates the assignments of a job that the replica has."""
    uid = job.spec.uid
    for shard, assignment in merged_assignments(job, job_records.assignments, replica).items():
        key = assignment_key(uid, shard)
        yield Transaction(
            {job_key(uid): job.version, key: assignment.version}, [Put(key, assignment.to_record())]
        )


def _assignment_epoch_and_version(assignment: Assignment, replica: StateReplica) -> tuple[int, int]:
    """Epoch and version of an assignment, see `epoch_and_version`."""
    return epoch_and_version(assignment.version, assignment.origin, replica)


def merged_assignments(
    job: Job, old: dict[int, Assignment], replica: StateReplica
) -> dict[int, Assignment]:
    """Returns the assignments, by shard, that have to change to include `old`, those known before
    the loss. Of a shard's two assignments the newer one says which tasks are assigned, a task
    that is done in either is done, and no task is assigned to two shards."""
    newer = {
        shard: assignment
        for shard, assignment in old.items()
        if shard not in job.assignments
        or _assignment_epoch_and_version(assignment, replica)
        > _assignment_epoch_and_version(job.assignments[shard], replica)
    }
    held = Ranges()
    for shard, assignment in job.assignments.items():
        if shard not in newer:
            held = held | assignment.tasks
    done = job.overflow_tasks
    for assignment in (*job.assignments.values(), *old.values()):
        done = done | assignment.done
    result: dict[int, Assignment] = {}
    for shard, before_loss in old.items():
        current = job.assignments.get(shard)
        base = before_loss if shard in newer else job.assignments[shard]
        taken = done | held if shard in newer else done
        assigned = {zone: tasks - taken for zone, tasks in base.assigned.items()}
        done_in_shard = before_loss.done if current is None else current.done | before_loss.done
        assignment = Assignment(
            {zone: tasks for zone, tasks in assigned.items() if tasks},
            done_in_shard - job.overflow_tasks,
            0 if current is None else current.version,
            base.ended_at,
            base.origin,
        )
        if shard in newer:
            held = held | assignment.tasks
        unchanged = current is not None and (
            shard not in newer
            and assignment.tasks == current.tasks
            and assignment.done == current.done
        )
        if not unchanged and (current is not None or assignment.count or assignment.done):
            result[shard] = assignment
    return result


def _outcome_writes(
    known_state: KnownState,
    replica: StateReplica,
    ended: dict[str, tuple[str, int]],
    limits: RestoreLimits,
    name: str,
) -> Iterator[Transaction]:
    """Restores outcomes, many per record. A job with a known outcome that the replica still has
    came back from a revision before its end; the same transaction deletes its record."""
    remaining: dict[str, tuple[str, int]] = {
        uid: outcome
        for uid, outcome in known_state.final_outcomes.items()
        if uid not in replica.restored_outcomes
    }
    remaining.update(ended)
    number = 0
    while remaining:
        record: dict[str, dict[str, int]] = {}
        size = 30
        deletes: list[Delete] = []
        guards: dict[str, int] = {}
        while remaining and len(deletes) + 2 <= limits.max_changes:
            uid = next(iter(remaining))
            size += len(uid) + OUTCOME_OVERHEAD_BYTES
            if size > limits.value_bytes:
                break
            status, done = remaining.pop(uid)
            record.setdefault(status, {})[uid] = done
            if (job := replica.jobs.get(uid)) is not None:
                guards[job_key(uid)] = job.version
                deletes.append(Delete(job_key(uid)))
        while f"{name}-{replica.epoch}-{number}" in replica.restored_outcome_names:
            number += 1
        key = f"r/k/{name}-{replica.epoch}-{number}"
        number += 1
        guards[key] = 0
        yield Transaction(guards, [Put(key, record), *deletes])


def _dependency_writes(known_state: KnownState, replica: StateReplica) -> Iterator[Transaction]:
    """Restores outcomes that jobs in the replica wait for, and pending replies to queues."""
    for key, known in known_state.records.items():
        if (key.startswith("r/o/") and key[4:] in replica.unresolved_needs) or (
            key.startswith("r/q/") and key[4:] not in replica.pending_replies
        ):
            yield Transaction({key: 0}, [Put(key, known.value)])


def group_writes(writes: list[Transaction], limits: RestoreLimits) -> Iterator[Transaction]:
    """Combines writes into as few transactions as the limits on changes and size allow."""
    guards: dict[str, int] = {}
    changes: list[Put | Delete] = []
    size = 0
    for write in writes:
        added_bytes = sum(200 + value_bytes(c.value) for c in write.changes if isinstance(c, Put))
        if changes and (
            len(changes) + len(write.changes) > limits.max_changes
            or size + added_bytes > MAX_TXN_BYTES
        ):
            yield Transaction(guards, changes)
            guards, changes, size = {}, [], 0
        guards = {**guards, **write.guards}
        changes = [*changes, *write.changes]
        size += added_bytes
    if changes:
        yield Transaction(guards, changes)
