"""Adoption of unrecorded tasks: tasks that machines report and that no share holds, because
their record was lost. They are added to the part's shares instead of being killed."""

# kind: decisions

from collections.abc import Iterable
from typing import NamedTuple

from ryegauge.bookkeeping.jobbook import JobBook, Share, job_key, share_key
from ryegauge.bookkeeping.ranges import Ranges
from ryegauge.bookkeeping.state import Put, Write


class Stray(NamedTuple):
    """A task that a machine of the part reports and that no share holds."""

    uid: str
    number: int
    zone: str  # as in shares: empty unless the job records zones
    done: bool  # has ended successfully


def adoptable(book: JobBook, uid: str, index: int) -> bool:
    """Whether the book has the job and its task is neither done nor held by a part."""
    job = book.jobs.get(uid)
    return job is not None and job.is_open(index)


def adopted(book: JobBook, part: int, parts: int, strays: Iterable[Stray]) -> list[Write]:
    """Returns writes, one per job, that add the unrecorded tasks to the part's share. Each is
    guarded by the shares of all parts, including those that do not exist, so that no two parts
    can adopt the same task."""
    by_job: dict[str, list[Stray]] = {}
    for stray in strays:
        if adoptable(book, stray.uid, stray.number):
            by_job.setdefault(stray.uid, []).append(stray)
    result: list[Write] = []
    for uid, some in by_job.items():
        job = book.jobs[uid]
        old = job.shares.get(part)
        share = (
            Share({}, Ranges(), 0)
            if old is None
            else Share(dict(old.allotted), old.done, old.version, old.ended_at)
        )
        for stray in some:
            one = Ranges.of([stray.number])
            if stray.done:
                share.done = share.done | one
            else:
                share.allotted[stray.zone] = share.allotted.get(stray.zone, Ranges()) | one
        guards = {job_key(uid): job.version}
        for other in range(parts):
            share_of = job.shares.get(other)
            guards[share_key(uid, other)] = 0 if share_of is None else share_of.version
        result.append(Write(guards, [Put(share_key(uid, part), share.to_record())]))
    return result
