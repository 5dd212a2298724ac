"""What a controller has to write so that the book holds what it knew before a loss.

Each controller puts back what it kept, one after the other, until the book lacks nothing of it.
Of a record that both have, the newer one counts, but what is done or cancelled stays so by
whoever knows it. Every write is guarded by what the book shows, so that none undoes another's.
"""

# kind: decisions

from collections.abc import Iterator
from typing import NamedTuple

from ryegauge.bookkeeping.jobbook import (
    Job,
    JobBook,
    Share,
    cancelled_record,
    final_key,
    job_key,
    share_key,
    value_bytes,
)
from ryegauge.bookkeeping.ranges import Ranges
from ryegauge.bookkeeping.state import Delete, Put, Write
from ryegauge.protocol.jobs import PRIORITIES, parse_job
from ryegauge.rebuilding.records import Kept, Known, stamp

# Bytes of a transaction that are used, of the 64 KiB that the service takes.
TXN_BYTES = 40_000

# What an outcome takes of a record beside the job's name: quotes, a count, commas.
OUTCOME_BYTES = 14

# Changes that every state service takes in a transaction, with the conditions for them.
LEAST_OPS = 4


class Limits(NamedTuple):
    ops: int  # changes of a transaction
    value_bytes: int


class _Of(NamedTuple):
    """What was kept of one job."""

    job: Known | None
    shares: dict[int, Share]  # their origins say how new they are
    pages: dict[str, Known]
    pieces: dict[str, Known]


def to_put_back(kept: Kept, book: JobBook, limits: Limits, name: str) -> list[Write]:
    """In order of worth; empty if the book lacks nothing. `name`: of this controller, for the
    names of new records."""
    jobs = _by_job(kept)
    writes = [*_cancellations(jobs, book, limits), *_types(kept, book)]
    missing, over = _missing(jobs, kept, book)
    for uid in missing:
        writes += _job(uid, jobs[uid], book)
    for uid, of in jobs.items():
        if (job := book.jobs.get(uid)) is not None and uid not in kept.finals:
            writes += _shares(job, of, book)
    writes += _outcomes(kept, book, over, limits, name)
    writes += _needed(kept, book)
    return [write for write in writes if not too_large(write, limits)]


def too_large(write: Write, limits: Limits) -> bool:
    """Whether it was recorded when larger values were allowed: it would be refused again and
    again, and keep everything else waiting."""
    return any(
        isinstance(change, Put) and value_bytes(change.value) > limits.value_bytes
        for change in write.changes
    )


def _by_job(kept: Kept) -> dict[str, _Of]:
    result: dict[str, _Of] = {}
    for key, known in kept.records.items():
        kind, uid, *rest = key.split("/")[1:]
        if kind not in ("j", "s", "w"):
            continue
        of = result.setdefault(uid, _Of(None, {}, {}, {}))
        if kind == "s":
            of.pages[key] = known
        elif kind == "w":
            of.pieces[key] = known
        elif rest:
            share = Share.from_record(known.value, known.version)
            share.origin = (known.era, known.version)
            of.shares[int(rest[0])] = share
        else:
            result[uid] = of._replace(job=known)
    return result


def _cancellations(jobs: dict[str, _Of], book: JobBook, limits: Limits) -> Iterator[Write]:
    for uid, of in jobs.items():
        job = book.jobs.get(uid)
        if of.job is not None and of.job.value.get("x") and job is not None and not job.cancelled:
            record = cancelled_record(job.spec, job.submitted_at, limits.value_bytes)
            yield Write({job_key(uid): job.version}, [Put(job_key(uid), record)])


def _types(kept: Kept, book: JobBook) -> Iterator[Write]:
    for key, known in kept.records.items():
        if key.startswith("r/c/") and key[4:] not in book.types:
            yield Write({key: 0}, [Put(key, known.value)])


def _missing(
    jobs: dict[str, _Of], kept: Kept, book: JobBook
) -> tuple[list[str], dict[str, tuple[str, int]]]:
    """Jobs that the book lacks, those with running tasks first, then by urgency; and the
    outcomes of those of which nothing else matters."""
    live: list[tuple[bool, int, float, str]] = []
    over: dict[str, tuple[str, int]] = {}
    for uid, of in jobs.items():
        if of.job is None or uid in book.jobs or uid in book.packed or uid in kept.finals:
            continue
        record = of.job.value
        job = Job(parse_job(record["s"]), record["at"], bool(record.get("x")), 0)
        job.shares.update(of.shares)
        for key, page in of.pages.items():
            _, _, _, part, number = key.split("/")
            job.seal(int(part), int(number), Ranges.from_flat(page.value["d"]))
        job.changed()
        if job.over and not job.allotted_count:
            over[uid] = (job.status, job.done_count)
        else:
            rank = PRIORITIES.index(job.spec.priority)
            live.append((not job.allotted_count, rank, job.submitted_at, uid))
    return [entry[3] for entry in sorted(live)], over


def _job(uid: str, of: _Of, book: JobBook) -> Iterator[Write]:
    """The record of a job, after the names of those that it needs, and its shares. It is not
    put back if it has left the book since. What stands there without the job is seen once the
    book is read anew."""
    assert of.job is not None
    for key, piece in of.pieces.items():
        yield Write({key: 0}, [Put(key, piece.value)])
    guards = {job_key(uid): 0, final_key(uid): 0}
    changes: list[Put | Delete] = [Put(job_key(uid), of.job.value)]
    for part, share in of.shares.items():
        if (key := share_key(uid, part)) not in book.orphans and len(changes) < LEAST_OPS:
            guards[key] = 0
            changes.append(Put(key, share.to_record()))
    yield Write(guards, changes)
    for key, page in of.pages.items():
        if key not in book.orphans:
            yield Write({key: 0}, [Put(key, page.value)])


def _shares(job: Job, of: _Of, book: JobBook) -> Iterator[Write]:
    uid = job.spec.uid
    for part, share in merged(job, of.shares, book).items():
        key = share_key(uid, part)
        yield Write({job_key(uid): job.version, key: share.version}, [Put(key, share.to_record())])


def _stamp(share: Share, book: JobBook) -> tuple[int, int]:
    return stamp(share.version, share.origin, book)


def merged(job: Job, old: dict[int, Share], book: JobBook) -> dict[int, Share]:
    """The parts' shares that have to change for what was known before: of what a part holds
    the newer record counts, what is done by either is done, and no task is in two parts."""
    newer = {
        part: share
        for part, share in old.items()
        if part not in job.shares or _stamp(share, book) > _stamp(job.shares[part], book)
    }
    held = Ranges()
    for part, share in job.shares.items():
        if part not in newer:
            held = held | share.tasks
    done = job.sealed_tasks
    for share in (*job.shares.values(), *old.values()):
        done = done | share.done
    result: dict[int, Share] = {}
    for part, was in old.items():
        now = job.shares.get(part)
        base = was if part in newer else job.shares[part]
        taken = done | held if part in newer else done
        allotted = {zone: tasks - taken for zone, tasks in base.allotted.items()}
        mine = was.done if now is None else now.done | was.done
        share = Share(
            {zone: tasks for zone, tasks in allotted.items() if tasks},
            mine - job.sealed_tasks,
            0 if now is None else now.version,
            base.ended_at,
            base.origin,
        )
        if part in newer:
            held = held | share.tasks
        same = now is not None and (
            part not in newer and share.tasks == now.tasks and share.done == now.done
        )
        if not same and (now is not None or share.count or share.done):
            result[part] = share
    return result


def _outcomes(
    kept: Kept, book: JobBook, over: dict[str, tuple[str, int]], limits: Limits, name: str
) -> Iterator[Write]:
    """Outcomes, many to a record. A job that stands in the book although it is over goes: its
    record came back from before its end."""
    left: dict[str, tuple[str, int]] = {
        uid: outcome for uid, outcome in kept.finals.items() if uid not in book.packed
    }
    left.update(over)
    number = 0
    while left:
        record: dict[str, dict[str, int]] = {}
        size = 30
        deletes: list[Delete] = []
        guards: dict[str, int] = {}
        while left and len(deletes) + 2 <= limits.ops:
            uid = next(iter(left))
            size += len(uid) + OUTCOME_BYTES
            if size > limits.value_bytes:
                break
            status, done = left.pop(uid)
            record.setdefault(status, {})[uid] = done
            if (job := book.jobs.get(uid)) is not None:
                guards[job_key(uid)] = job.version
                deletes.append(Delete(job_key(uid)))
        while f"{name}-{book.era}-{number}" in book.packs:
            number += 1
        key = f"r/k/{name}-{book.era}-{number}"
        number += 1
        guards[key] = 0
        yield Write(guards, [Put(key, record), *deletes])


def _needed(kept: Kept, book: JobBook) -> Iterator[Write]:
    """Outcomes that jobs in the book wait for, and answers that are owed to queues."""
    for key, known in kept.records.items():
        if (key.startswith("r/o/") and key[4:] in book.lost) or (
            key.startswith("r/q/") and key[4:] not in book.debts
        ):
            yield Write({key: 0}, [Put(key, known.value)])


def grouped(writes: list[Write], limits: Limits) -> Iterator[Write]:
    """As many together as a transaction takes, by number and by size."""
    guards: dict[str, int] = {}
    changes: list[Put | Delete] = []
    size = 0
    for write in writes:
        more = sum(200 + value_bytes(c.value) for c in write.changes if isinstance(c, Put))
        if changes and (len(changes) + len(write.changes) > limits.ops or size + more > TXN_BYTES):
            yield Write(guards, changes)
            guards, changes, size = {}, [], 0
        guards = {**guards, **write.guards}
        changes = [*changes, *write.changes]
        size += more
    if changes:
        yield Write(guards, changes)
