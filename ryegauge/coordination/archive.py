"""What leaves the job book: jobs that are over, and records that belong to none.

Every controller holds the book in memory; the oldest jobs that are over move to records
of their own, which are read when asked for and kept for good. Decisions only: the
leader's loop in `leading` writes what is wanted here.
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
    """The job's record becomes its outcome. Its shares follow as orphans: with them a
    transaction could hold more than the service takes, and nobody reads them without
    the job. Guarded by all shares: while it is over, and none has a task."""
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
    """The oldest jobs that are over, as many as the book has too many, but none that
    another in the book needs: what is told of that one follows from them."""
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
    """Records without a job, and outcomes that no job in the book needs any more."""
    idle = [outcome_key(uid) for uid in book.outcomes if uid not in book.dependents]
    return [Delete(key) for key in sorted(book.orphans | set(idle))[:count]]
