"""Tasks that machines report and no share holds: they are taken in, not killed."""

# kind: decisions

from collections.abc import Iterable
from typing import NamedTuple

from ryegauge.bookkeeping.jobbook import JobBook, Share, job_key, share_key
from ryegauge.bookkeeping.ranges import Ranges
from ryegauge.bookkeeping.state import Put, Write


class Stray(NamedTuple):
    uid: str
    number: int
    zone: str  # as shares name zones: empty where the job does not care
    done: bool  # it has ended, and is done


def adoptable(book: JobBook, uid: str, index: int) -> bool:
    job = book.jobs.get(uid)
    return job is not None and job.is_open(index)


def adopted(book: JobBook, part: int, parts: int, strays: Iterable[Stray]) -> list[Write]:
    """The part's shares with its strays. Guarded by the shares of all parts, also those that
    do not exist: so no other part can have taken it in."""
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
