"""What leaves the job book: jobs that are over, and records that belong to none.

Every controller holds the book in memory; the oldest jobs that are over move to records
of their own, which are read when asked for and kept for good. Decisions only: the
leader's loop in `leading` writes what is wanted here.
"""

from ryegauge.bookkeeping.state import Delete, Put, Transaction
from ryegauge.bookkeeping.state_replica import (
    Job,
    StateReplica,
    archive_key,
    assignment_key,
    job_key,
    outcome_key,
)


def archive_job(job: Job, shards: int) -> Transaction:
    """The job's record becomes its outcome. Its shares follow as orphans: with them a
    transaction could hold more than the service takes, and nobody reads them without
    the job. Guarded by all shares: while it is over, and none has a task."""
    uid = job.spec.uid
    view = job.view()
    guards = {job_key(uid): job.version}
    for shard in range(shards):
        assignment = job.assignments.get(shard)
        guards[assignment_key(uid, shard)] = 0 if assignment is None else assignment.version
    return Transaction(
        guards,
        [Put(archive_key(uid), {"st": view["status"], "d": view["done"]}), Delete(job_key(uid))],
    )


def jobs_to_archive(replica: StateReplica, limit: int) -> list[Job]:
    """The oldest jobs that are over, as many as the book has too many, but none that
    another in the book needs: what is told of that one follows from them."""
    excess = len(replica.jobs) - limit
    if excess <= 0:
        return []
    over = [
        job
        for uid, job in replica.jobs.items()
        if job.is_terminal and not job.assigned_count and uid not in replica.dependents
    ]
    over.sort(key=lambda job: job.submitted_at)
    return over[:excess]


def records_to_delete(replica: StateReplica, count: int) -> list[Put | Delete]:
    """Records without a job, and outcomes that no job in the book needs any more."""
    idle = [outcome_key(uid) for uid in replica.outcomes if uid not in replica.dependents]
    return [Delete(key) for key in sorted(replica.orphans | set(idle))[:count]]
