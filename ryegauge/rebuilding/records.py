"""What one controller knew of the state service before a loss, as records."""

# kind: decisions

from collections.abc import Iterator
from typing import Any, NamedTuple

from ryegauge.bookkeeping.jobbook import (
    Job,
    JobBook,
    Outcome,
    job_key,
    job_record,
    outcome_key,
    page_key,
    piece_key,
    share_key,
)


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
        """Two losses in a row: what was not put back in time still counts."""
        if older is None:
            return self
        finals = {**older.finals, **self.finals}
        records = {
            key: known for key, known in older.records.items()
            if not (key.startswith("r/j/") and key.split("/")[2] in finals)
        }
        return Kept({**records, **self.records}, finals, self.lived)


def _of_job(job: Job) -> Iterator[tuple[str, Any, int]]:
    uid = job.spec.uid
    yield (
        job_key(uid), job_record(job.spec, job.submitted_at, job.cancelled, job.pieces),
        job.version,
    )
    for part, share in job.shares.items():
        yield share_key(uid, part), share.to_record(), share.version
    for (part, number), tasks in job.sealed.items():
        yield page_key(uid, part, number), {"d": tasks.flat()}, 0


def keep(book: JobBook, lived: bool) -> Kept:
    """All that the book holds but roles, which are nobody's after a loss."""
    records: dict[str, Known] = {}
    for job in book.jobs.values():
        for key, value, version in _of_job(job):
            records[key] = Known(value, book.era, version)
    for uid, digest, number, names in book.pieces():
        records[piece_key(uid, digest, number)] = Known({"n": list(names)}, book.era, 0)
    for uid, outcome in book.outcomes.items():
        records[outcome_key(uid)] = Known({"st": outcome}, book.era, 0)
    for name, value in book.types.items():
        records[f"r/c/{name}"] = Known(value, book.era, 0)
    for uid, (value, version) in book.debts.items():
        records[f"r/q/{uid}"] = Known(value, book.era, version)
    return Kept(records, {**book.packed, **book.finals}, lived)
