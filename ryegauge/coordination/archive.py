"""Decides which jobs to archive and which records to delete.

Every controller holds the replica in memory, so the oldest jobs that are over are replaced by
outcome records outside it, which are read on demand and never deleted. Decisions only: the
leader's loop (`leader_loops`) commits them.
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


def archive_job(job: Job, shard_count: int) -> Transaction:
    """The transaction that replaces a job's record by its outcome, guarded by the job and all
    its assignments: it takes effect only if the job is still over and no shard holds a task of it.

    The assignment records are left and deleted later as orphans: with them the transaction could
    exceed the service's limit, and they are not read without the job."""
    uid = job.spec.uid
    view = job.view()
    guards = {job_key(uid): job.version}
    for shard in range(shard_count):
        assignment = job.assignments.get(shard)
        guards[assignment_key(uid, shard)] = 0 if assignment is None else assignment.version
    return Transaction(
        guards,
        [Put(archive_key(uid), {"st": view["status"], "d": view["done"]}), Delete(job_key(uid))],
    )


def jobs_to_archive(replica: StateReplica, limit: int) -> list[Job]:
    """The oldest jobs that are over, as many as the replica exceeds `limit` by. A job that
    another one in the replica needs stays, since the state of that one is derived from it."""
    excess = len(replica.jobs) - limit
    if excess <= 0:
        return []
    terminal_jobs = [
        job
        for uid, job in replica.jobs.items()
        if job.is_terminal and not job.assigned_count and uid not in replica.dependents
    ]
    terminal_jobs.sort(key=lambda job: job.submitted_at)
    return terminal_jobs[:excess]


def records_to_delete(replica: StateReplica, count: int) -> list[Put | Delete]:
    """Deletes of up to `count` records: those whose job has left the replica, and outcomes that
    no job in the replica needs any more."""
    unneeded_outcomes = [
        outcome_key(uid) for uid in replica.needed_outcomes if uid not in replica.dependents
    ]
    return [Delete(key) for key in sorted(replica.orphans | set(unneeded_outcomes))[:count]]
