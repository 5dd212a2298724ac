"""Decides which jobs to archive and which records to delete.

Every controller holds the replica in memory, so the oldest jobs that are over are replaced by
outcome records outside it, which are read on demand and never deleted. Decisions only: the
leader's loop (`leading`) commits them.
"""

from ryegauge.bookkeeping.jobbook import (
    Job,
    JobBook,
    final_key,
    job_key,
    outcome_key,
    share_key,
)
from ryegauge.bookkeeping.state import Delete, Put, Write


def move_out(job: Job, parts: int) -> Write:
    """The transaction that replaces a job's record by its outcome, guarded by the job and all
    its assignments: it takes effect only if the job is still over and no shard holds a task of it.

    The assignment records are left and deleted later as orphans: with them the transaction could
    exceed the service's limit, and they are not read without the job."""
    uid = job.spec.uid
    view = job.view()
    guards = {job_key(uid): job.version}
    for part in range(parts):
        share = job.shares.get(part)
        guards[share_key(uid, part)] = 0 if share is None else share.version
    return Write(
        guards,
        [Put(final_key(uid), {"st": view["status"], "d": view["done"]}), Delete(job_key(uid))],
    )


def to_move_out(book: JobBook, limit: int) -> list[Job]:
    """The oldest jobs that are over, as many as the replica exceeds `limit` by. A job that
    another one in the replica needs stays, since the state of that one is derived from it."""
    excess = len(book.jobs) - limit
    if excess <= 0:
        return []
    over = [
        job
        for uid, job in book.jobs.items()
        if job.over and not job.allotted_count and uid not in book.dependents
    ]
    over.sort(key=lambda job: job.submitted_at)
    return over[:excess]


def to_clear(book: JobBook, count: int) -> list[Put | Delete]:
    """Deletes of up to `count` records: those whose job has left the replica, and outcomes that
    no job in the replica needs any more."""
    idle = [outcome_key(uid) for uid in book.outcomes if uid not in book.dependents]
    return [Delete(key) for key in sorted(book.orphans | set(idle))[:count]]
