"""What one controller knew of the state service before a loss, as records."""

# kind: decisions

from collections.abc import Iterable, Iterator, Mapping
from typing import Any, NamedTuple

from ryegauge.bookkeeping.ranges import Ranges
from ryegauge.bookkeeping.state import Put
from ryegauge.bookkeeping.state_replica import (
    Assignment,
    Job,
    Outcome,
    StateReplica,
    assignment_key,
    job_key,
    job_record,
    needs_piece_key,
    outcome_key,
    overflow_page_key,
)


class KnownRecord(NamedTuple):
    """A record, and how new it is: by era, then by version. Version 0: of a record that never
    changes, its version was not kept."""

    value: Any
    epoch: int
    version: int


class KnownState(NamedTuple):
    """`lived`: whether the controller itself saw that something was lost, so that it knows
    all that it had to do with before."""

    records: dict[str, KnownRecord]
    final_outcomes: dict[str, tuple[Outcome, int]]
    saw_loss: bool

    def over(self, older: "KnownState | None") -> "KnownState":
        """With what an older one has beside it: of an earlier era, when there were two losses
        in a row, or of a snapshot. The newer record counts; what is over stays so."""
        if older is None:
            return self
        final_outcomes = {**older.final_outcomes, **self.final_outcomes}
        records = dict(older.records)
        for key, known in self.records.items():
            records[key] = _both(known, records[key]) if key in records else known
        left = {
            key: known
            for key, known in records.items()
            if not (key.startswith(("r/j/", "r/s/")) and key.split("/")[2] in final_outcomes)
        }
        return KnownState(left, final_outcomes, self.saw_loss)


def _both(one: KnownRecord, two: KnownRecord) -> KnownRecord:
    """The newer of two records, with what never goes back of the other: the mark of a
    cancellation, tasks that are done. (Found by the model: after a second loss, the book that
    the first one had left hid a cancellation which had not been put back.)"""
    newer, older = (
        (one, two) if (one.epoch, one.version) >= (two.epoch, two.version) else (two, one)
    )
    if not isinstance(newer.value, dict) or not isinstance(older.value, dict):
        return newer
    if older.value.get("x") and not newer.value.get("x"):
        return KnownRecord(older.value, newer.epoch, newer.version)
    if older.value.get("d") and "t" in newer.value and isinstance(older.value["d"], list):
        assignment = Assignment.from_record(newer.value, newer.version)
        assignment.done = assignment.done | Ranges.from_flat(older.value["d"])
        assignment.assigned = {
            zone: tasks - assignment.done for zone, tasks in assignment.assigned.items()
        }
        return newer._replace(value=assignment.to_record())
    return newer


def stamp(version: int, origin: tuple[int, int] | None, replica: StateReplica) -> tuple[int, int]:
    """How new a standing record is, by era and version. One that neither was put back nor
    written in this era is taken for one of the era before."""
    if origin is not None:
        return origin
    return (replica.epoch if version > replica.epoch_start else max(0, replica.epoch - 1)), version


def _of_job(job: Job, replica: StateReplica) -> Iterator[tuple[str, KnownRecord]]:
    uid = job.spec.uid
    record = job_record(job.spec, job.submitted_at, job.cancelled, job.pieces)
    yield job_key(uid), KnownRecord(record, *stamp(job.version, None, replica))
    for shard, assignment in job.assignments.items():
        known = KnownRecord(
            assignment.to_record(), *stamp(assignment.version, assignment.origin, replica)
        )
        yield assignment_key(uid, shard), known
    for (shard, number), tasks in job.overflow_pages.items():
        yield overflow_page_key(uid, shard, number), KnownRecord({"d": tasks.flat()}, 0, 0)


# Records that are nobody's after a loss: roles, enrolments, the era itself.
FLEETING = ("r/p/", "r/l", "r/n/", "r/e")


def keep(
    replica: StateReplica, saw_loss: bool, written: Mapping[int, Iterable[Put]] | None = None
) -> KnownState:
    """All that the book holds but roles, and what is `written` but not read yet, by revision."""
    records: dict[str, KnownRecord] = {}
    for job in replica.jobs.values():
        records.update(_of_job(job, replica))
    for uid, digest, number, names in replica.pieces():
        records[needs_piece_key(uid, digest, number)] = KnownRecord(
            {"n": list(names)}, replica.epoch, 0
        )
    for uid, outcome in replica.outcomes.items():
        records[outcome_key(uid)] = KnownRecord({"st": outcome}, replica.epoch, 0)
    for name, value in replica.types.items():
        records[f"r/c/{name}"] = KnownRecord(value, replica.epoch, 0)
    for uid, (value, version) in replica.pending_replies.items():
        records[f"r/q/{uid}"] = KnownRecord(value, replica.epoch, version)
    final_outcomes = {**replica.restored_outcomes, **replica.final_outcomes}
    for revision, puts in sorted((written or {}).items()):
        for put in puts:
            if put.key.startswith("f/"):
                final_outcomes[put.key[2:]] = (put.value["st"], put.value["d"])
            elif put.key.startswith("r/") and not put.key.startswith((*FLEETING, "r/k/")):
                records[put.key] = KnownRecord(put.value, replica.epoch, revision)
    return KnownState(records, final_outcomes, saw_loss)
