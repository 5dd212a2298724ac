"""Adoption of unrecorded tasks: tasks that machines report and that no assignment holds, because
their record was lost. They are added to the shard's assignments instead of being killed."""

# kind: decisions

from collections.abc import Iterable
from typing import NamedTuple

from ryegauge.bookkeeping.ranges import Ranges
from ryegauge.bookkeeping.state import Put, Transaction
from ryegauge.bookkeeping.state_replica import Assignment, StateReplica, assignment_key, job_key


class UnrecordedTask(NamedTuple):
    """A task that a machine of the shard reports and that no assignment holds."""

    uid: str
    number: int
    zone: str  # as in assignments: empty unless the job records zones
    done: bool  # has ended successfully


def adoptable(replica: StateReplica, uid: str, index: int) -> bool:
    """Whether the replica has the job and its task is neither done nor held by a shard."""
    job = replica.jobs.get(uid)
    return job is not None and job.is_open(index)


def adoption_writes(
    replica: StateReplica, shard: int, shards: int, unrecorded: Iterable[UnrecordedTask]
) -> list[Transaction]:
    """Returns one transaction per job, which adds the unrecorded tasks to the shard's assignment.
    It is guarded by the assignments of all shards, including those that do not exist, so that no
    two shards can adopt the same task."""
    by_job: dict[str, list[UnrecordedTask]] = {}
    for stray in unrecorded:
        if adoptable(replica, stray.uid, stray.number):
            by_job.setdefault(stray.uid, []).append(stray)
    result: list[Transaction] = []
    for uid, some in by_job.items():
        job = replica.jobs[uid]
        old = job.assignments.get(shard)
        assignment = (
            Assignment({}, Ranges(), 0)
            if old is None
            else Assignment(dict(old.assigned), old.done, old.version, old.ended_at)
        )
        for stray in some:
            one = Ranges.of([stray.number])
            if stray.done:
                assignment.done = assignment.done | one
            else:
                assignment.assigned[stray.zone] = (
                    assignment.assigned.get(stray.zone, Ranges()) | one
                )
        guards = {job_key(uid): job.version}
        for other in range(shards):
            share_of = job.assignments.get(other)
            guards[assignment_key(uid, other)] = 0 if share_of is None else share_of.version
        result.append(
            Transaction(guards, [Put(assignment_key(uid, shard), assignment.to_record())])
        )
    return result
