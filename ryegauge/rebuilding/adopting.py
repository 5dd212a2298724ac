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


def can_adopt(replica: StateReplica, uid: str, index: int) -> bool:
    """Whether the replica has the job, the job is neither done nor cancelled, and its task is
    neither done nor assigned to a shard."""
    job = replica.jobs.get(uid)
    return job is not None and job.is_open(index)


def adoption_writes(
    replica: StateReplica, shard: int, shards: int, unrecorded: Iterable[UnrecordedTask]
) -> list[Transaction]:
    """Returns one transaction per job, which adds the unrecorded tasks to the shard's assignment.
    It is guarded by the assignments of all shards, including those that do not exist, so that no
    two shards can adopt the same task."""
    by_job: dict[str, list[UnrecordedTask]] = {}
    for task in unrecorded:
        if can_adopt(replica, task.uid, task.number):
            by_job.setdefault(task.uid, []).append(task)
    result: list[Transaction] = []
    for uid, tasks in by_job.items():
        job = replica.jobs[uid]
        current = job.assignments.get(shard)
        assignment = (
            Assignment({}, Ranges(), 0)
            if current is None
            else Assignment(dict(current.assigned), current.done, current.version, current.ended_at)
        )
        for task in tasks:
            task_range = Ranges.of([task.number])
            if task.done:
                assignment.done = assignment.done | task_range
            else:
                assignment.assigned[task.zone] = (
                    assignment.assigned.get(task.zone, Ranges()) | task_range
                )
        guards = {job_key(uid): job.version}
        for other_shard in range(shards):
            other_assignment = job.assignments.get(other_shard)
            guards[assignment_key(uid, other_shard)] = (
                0 if other_assignment is None else other_assignment.version
            )
        result.append(
            Transaction(guards, [Put(assignment_key(uid, shard), assignment.to_record())])
        )
    return result
