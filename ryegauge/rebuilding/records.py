"""The records that one controller knew before a loss in the state service."""

# kind: decisions

from collections.abc import Iterable, Iterator, Mapping
from typing import Any, NamedTuple

from ryegauge.bookkeeping.jobbook import (
    Job,
    JobBook,
    Outcome,
    Share,
    job_key,
    job_record,
    outcome_key,
    page_key,
    piece_key,
    share_key,
)
from ryegauge.bookkeeping.ranges import Ranges
from ryegauge.bookkeeping.state import Put


class Known(NamedTuple):
    """A record's value with its age: epochs are compared first, then versions. The version is 0
    for records that never change, whose versions the job book does not keep."""

    value: Any
    era: int
    version: int


class Kept(NamedTuple):
    """Records, and outcomes with task counts of jobs that have left the book.

    `lived` is true if this controller detected the loss itself. It then knows everything that it
    took part in before the loss."""

    records: dict[str, Known]
    finals: dict[str, tuple[Outcome, int]]
    lived: bool

    def over(self, older: "Kept | None") -> "Kept":
        """Returns this state completed by an older one: from an earlier epoch, if two losses
        followed each other, or from a snapshot. The newer record wins. Records of jobs with a
        known outcome are dropped."""
        if older is None:
            return self
        finals = {**older.finals, **self.finals}
        records = dict(older.records)
        for key, known in self.records.items():
            records[key] = _both(known, records[key]) if key in records else known
        left = {
            key: known
            for key, known in records.items()
            if not (key.startswith(("r/j/", "r/s/")) and key.split("/")[2] in finals)
        }
        return Kept(left, finals, self.lived)


def _both(one: Known, two: Known) -> Known:
    """Returns the newer of two records, with the facts of the older one that are never undone:
    a cancellation and done tasks. Without them, after a second loss, the incomplete book left
    by the first one would hide a cancellation that had not been restored yet."""
    newer, older = (one, two) if (one.era, one.version) >= (two.era, two.version) else (two, one)
    if not isinstance(newer.value, dict) or not isinstance(older.value, dict):
        return newer
    if older.value.get("x") and not newer.value.get("x"):
        return Known(older.value, newer.era, newer.version)
    if older.value.get("d") and "t" in newer.value and isinstance(older.value["d"], list):
        share = Share.from_record(newer.value, newer.version)
        share.done = share.done | Ranges.from_flat(older.value["d"])
        share.allotted = {zone: tasks - share.done for zone, tasks in share.allotted.items()}
        return newer._replace(value=share.to_record())
    return newer


def stamp(version: int, origin: tuple[int, int] | None, book: JobBook) -> tuple[int, int]:
    """Returns epoch and version of a record in the book. `origin` is that of a restored record,
    from before the loss. A record that was neither restored nor written in this epoch counts as
    one of the epoch before."""
    if origin is not None:
        return origin
    return (book.era if version > book.era_start else max(0, book.era - 1)), version


def _of_job(job: Job, book: JobBook) -> Iterator[tuple[str, Known]]:
    """Records of a job, its shares and its pages, by key."""
    uid = job.spec.uid
    record = job_record(job.spec, job.submitted_at, job.cancelled, job.pieces)
    yield job_key(uid), Known(record, *stamp(job.version, None, book))
    for part, share in job.shares.items():
        known = Known(share.to_record(), *stamp(share.version, share.origin, book))
        yield share_key(uid, part), known
    for (part, number), tasks in job.sealed.items():
        yield page_key(uid, part, number), Known({"d": tasks.flat()}, 0, 0)


# Keys that are not restored: roles, enrolments and the epoch itself are void after a loss.
FLEETING = ("r/p/", "r/l", "r/n/", "r/e")


def keep(book: JobBook, lived: bool, written: Mapping[int, Iterable[Put]] | None = None) -> Kept:
    """Copies everything in the book except roles, and the `written` records, by revision, that
    were confirmed to this controller and not read yet. `lived` is passed on to the result."""
    records: dict[str, Known] = {}
    for job in book.jobs.values():
        records.update(_of_job(job, book))
    for uid, digest, number, names in book.pieces():
        records[piece_key(uid, digest, number)] = Known({"n": list(names)}, book.era, 0)
    for uid, outcome in book.outcomes.items():
        records[outcome_key(uid)] = Known({"st": outcome}, book.era, 0)
    for name, value in book.types.items():
        records[f"r/c/{name}"] = Known(value, book.era, 0)
    for uid, (value, version) in book.debts.items():
        records[f"r/q/{uid}"] = Known(value, book.era, version)
    finals = {**book.packed, **book.finals}
    for revision, puts in sorted((written or {}).items()):
        for put in puts:
            if put.key.startswith("f/"):
                finals[put.key[2:]] = (put.value["st"], put.value["d"])
            elif put.key.startswith("r/") and not put.key.startswith((*FLEETING, "r/k/")):
                records[put.key] = Known(put.value, book.era, revision)
    return Kept(records, finals, lived)
