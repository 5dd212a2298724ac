"""What one controller knew of the state service before a loss, as records."""

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
    """A record, and how new it is: by era, then by version. Version 0: of a record that never
    changes, its version was not kept."""

    value: Any
    era: int
    version: int


class Kept(NamedTuple):
    """`lived`: whether the controller itself saw that something was lost, so that it knows
    all that it had to do with before."""

    records: dict[str, Known]
    finals: dict[str, tuple[Outcome, int]]
    lived: bool

    def over(self, older: "Kept | None") -> "Kept":
        """With what an older one has beside it: of an earlier era, when there were two losses
        in a row, or of a snapshot. The newer record counts; what is over stays so."""
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
    """The newer of two records, with what never goes back of the other: the mark of a
    cancellation, tasks that are done. (Found by the model: after a second loss, the book that
    the first one had left hid a cancellation which had not been put back.)"""
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
    """How new a standing record is, by era and version. One that neither was put back nor
    written in this era is taken for one of the era before."""
    if origin is not None:
        return origin
    return (book.era if version > book.era_start else max(0, book.era - 1)), version


def _of_job(job: Job, book: JobBook) -> Iterator[tuple[str, Known]]:
    uid = job.spec.uid
    record = job_record(job.spec, job.submitted_at, job.cancelled, job.pieces)
    yield job_key(uid), Known(record, *stamp(job.version, None, book))
    for part, share in job.shares.items():
        known = Known(share.to_record(), *stamp(share.version, share.origin, book))
        yield share_key(uid, part), known
    for (part, number), tasks in job.sealed.items():
        yield page_key(uid, part, number), Known({"d": tasks.flat()}, 0, 0)


# Records that are nobody's after a loss: roles, enrolments, the era itself.
FLEETING = ("r/p/", "r/l", "r/n/", "r/e")


def keep(book: JobBook, lived: bool, written: Mapping[int, Iterable[Put]] | None = None) -> Kept:
    """All that the book holds but roles, and what is `written` but not read yet, by revision."""
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
