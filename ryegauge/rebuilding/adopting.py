"""Tasks that machines report and no share holds: they are taken in, not killed."""

# kind: decisions

from collections.abc import Iterable
from typing import NamedTuple

from ryegauge.bookkeeping.ranges import Ranges
from ryegauge.bookkeeping.state import Put, Transaction
from ryegauge.bookkeeping.state_replica import Assignment, StateReplica, assignment_key, job_key


class UnrecordedTask(NamedTuple):
    uid: str
    number: int
    zone: str  # as shares name zones: empty where the job does not care
    done: bool  # it has ended, and is done


def adoptable(replica: StateReplica, uid: str, index: int) -> bool:
    job = replica.jobs.get(uid)
    return job is not None and job.is_open(index)


def adoption_writes(
    replica: StateReplica, shard: int, shards: int, unrecorded: Iterable[UnrecordedTask]
) -> list[Transaction]:
    """The part's shares with its strays. Guarded by the shares of all parts, also those that
    do not exist: so no other part can have taken it in."""
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
