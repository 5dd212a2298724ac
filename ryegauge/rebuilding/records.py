"""The records that one controller knew before a loss in the state service."""

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
    """A record's value with its epoch and version; of two records the one with the higher epoch,
    then the higher version, is newer. The version is 0 for records that never change, whose
    versions the replica does not keep."""

    value: Any
    epoch: int
    version: int


class KnownState(NamedTuple):
    """Records, and outcomes with task counts of jobs that have left the replica.

    `saw_loss` is true if this controller detected the loss itself. It then knows everything that it
    took part in before the loss."""

    records: dict[str, KnownRecord]
    final_outcomes: dict[str, tuple[Outcome, int]]
    saw_loss: bool

    def with_older(self, older: "KnownState | None") -> "KnownState":
        """Returns this state completed by an older one: from an earlier epoch, if two losses
        followed each other, or from a snapshot. The newer record wins. Records of jobs with a
        known outcome are dropped."""
        if older is None:
            return self
        final_outcomes = {**older.final_outcomes, **self.final_outcomes}
        records = dict(older.records)
        for key, known in self.records.items():
            records[key] = _combine(known, records[key]) if key in records else known
        remaining = {
            key: known
            for key, known in records.items()
            if not (key.startswith(("r/j/", "r/s/")) and key.split("/")[2] in final_outcomes)
        }
        return KnownState(remaining, final_outcomes, self.saw_loss)


def _combine(first: KnownRecord, second: KnownRecord) -> KnownRecord:
    """Returns the newer of two records, with the facts of the older one that are never undone:
    a cancellation and done tasks. Without them, after a second loss, the incomplete replica left
    by the first one would hide a cancellation that had not been restored yet."""
    newer, older = (
        (first, second)
        if (first.epoch, first.version) >= (second.epoch, second.version)
        else (second, first)
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


def epoch_and_version(
    version: int, origin: tuple[int, int] | None, replica: StateReplica
) -> tuple[int, int]:
    """Returns epoch and version of a record in the replica. `origin` is that of a restored record,
    from before the loss. A record that was neither restored nor written in this epoch counts as
    one of the epoch before."""
    if origin is not None:
        return origin
    return (replica.epoch if version > replica.epoch_start else max(0, replica.epoch - 1)), version


def _job_records(job: Job, replica: StateReplica) -> Iterator[tuple[str, KnownRecord]]:
    """Records of a job, its assignments and its overflow pages, by key."""
    uid = job.spec.uid
    record = job_record(job.spec, job.submitted_at, job.cancelled, job.needs_reference)
    yield job_key(uid), KnownRecord(record, *epoch_and_version(job.version, None, replica))
    for shard, assignment in job.assignments.items():
        known = KnownRecord(
            assignment.to_record(),
            *epoch_and_version(assignment.version, assignment.origin, replica),
        )
        yield assignment_key(uid, shard), known
    for (shard, number), tasks in job.overflow_pages.items():
        yield overflow_page_key(uid, shard, number), KnownRecord({"d": tasks.flat()}, 0, 0)


# Keys that are not restored: roles, enrolments and the epoch itself are void after a loss.
NOT_RESTORED_PREFIXES = ("r/p/", "r/l", "r/n/", "r/e")


def copy_known_state(
    replica: StateReplica, saw_loss: bool, written: Mapping[int, Iterable[Put]] | None = None
) -> KnownState:
    """Copies everything in the replica except roles, and the `written` records, by revision, that
    were confirmed to this controller and not read yet. `saw_loss` is passed on to the result."""
    records: dict[str, KnownRecord] = {}
    for job in replica.jobs.values():
        records.update(_job_records(job, replica))
    for uid, digest, number, names in replica.needs_records():
        records[needs_piece_key(uid, digest, number)] = KnownRecord(
            {"n": list(names)}, replica.epoch, 0
        )
    for uid, outcome in replica.needed_outcomes.items():
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
            elif put.key.startswith("r/") and not put.key.startswith(
                (*NOT_RESTORED_PREFIXES, "r/k/")
            ):
                records[put.key] = KnownRecord(put.value, replica.epoch, revision)
    return KnownState(records, final_outcomes, saw_loss)
