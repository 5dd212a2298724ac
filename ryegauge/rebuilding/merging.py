"""Computes the writes that restore a controller's knowledge after a loss in the state service.

The controllers restore one after the other, each until the job book lacks nothing that it knew.
If both the controller and the book have a record, the newer version wins; a task that either
records as done, or a job that either records as cancelled, stays so. Every write is guarded by
the versions in the book, so that no controller overwrites what another one has restored.
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

# Upper bound for the size of a transaction; the state service accepts 64 KiB.
TXN_BYTES = 40_000

# Bytes of an outcome in its record besides the job's name: quotes, task count, commas.
OUTCOME_BYTES = 14

# Changes, with their conditions, that every state service accepts in one transaction.
LEAST_OPS = 4


class Limits(NamedTuple):
    """Limits of the state service for one transaction."""

    ops: int  # changes per transaction
    value_bytes: int  # size of a record's value


class _Of(NamedTuple):
    """The known records of one job."""

    job: Known | None
    shares: dict[int, Share]  # by part; `origin` holds epoch and version before the loss
    pages: dict[str, Known]  # records of sealed done tasks, by key
    pieces: dict[str, Known]  # records with names of needed jobs, by key


def to_put_back(kept: Kept, book: JobBook, limits: Limits, name: str) -> list[Write]:
    """Returns the writes that the book still lacks, the most important first; an empty list
    means that everything is restored. `name` is this controller's name, which makes the keys
    of new records unique."""
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
    """Whether a value exceeds the present limit, because it was recorded under a larger one.
    The service would refuse the write every time, and everything after it would wait."""
    return any(
        isinstance(change, Put) and value_bytes(change.value) > limits.value_bytes
        for change in write.changes
    )


def _by_job(kept: Kept) -> dict[str, _Of]:
    """Groups the known records of jobs, shares, pages and needed names by job."""
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
    """Cancels jobs that are known as cancelled and that the book shows as not cancelled."""
    for uid, of in jobs.items():
        job = book.jobs.get(uid)
        if of.job is not None and of.job.value.get("x") and job is not None and not job.cancelled:
            record = cancelled_record(job.spec, job.submitted_at, limits.value_bytes)
            yield Write({job_key(uid): job.version}, [Put(job_key(uid), record)])


def _types(kept: Kept, book: JobBook) -> Iterator[Write]:
    """Restores the records of machine types."""
    for key, known in kept.records.items():
        if key.startswith("r/c/") and key[4:] not in book.types:
            yield Write({key: 0}, [Put(key, known.value)])


def _missing(
    jobs: dict[str, _Of], kept: Kept, book: JobBook
) -> tuple[list[str], dict[str, tuple[str, int]]]:
    """Returns the jobs to restore that the book lacks, those with assigned tasks first, then by
    priority; and the outcomes of jobs that have ended and have no assigned tasks, for which the
    outcome is enough."""
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
    """Restores a job's record, preceded by the names of the jobs that it needs, and its shares.
    The guard on its final record keeps it from being restored if it has been archived
    meanwhile. Records that exist without their job are skipped here; the book shows them
    under the job after the next full read."""
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
    """Updates the shares of a job that the book has."""
    uid = job.spec.uid
    for part, share in merged(job, of.shares, book).items():
        key = share_key(uid, part)
        yield Write({job_key(uid): job.version, key: share.version}, [Put(key, share.to_record())])


def _stamp(share: Share, book: JobBook) -> tuple[int, int]:
    """Epoch and version of a share, see `stamp`."""
    return stamp(share.version, share.origin, book)


def merged(job: Job, old: dict[int, Share], book: JobBook) -> dict[int, Share]:
    """Returns the shares, by part, that have to change to include `old`, those known before the
    loss. Of a part's two shares the newer one says which tasks are assigned, a task that is
    done in either is done, and no task is assigned to two parts."""
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
    """Restores outcomes, many per record. A job with a known outcome that the book still has
    came back from a revision before its end; the same transaction deletes its record."""
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
    """Restores outcomes that jobs in the book wait for, and replies owed to queues."""
    for key, known in kept.records.items():
        if (key.startswith("r/o/") and key[4:] in book.lost) or (
            key.startswith("r/q/") and key[4:] not in book.debts
        ):
            yield Write({key: 0}, [Put(key, known.value)])


def grouped(writes: list[Write], limits: Limits) -> Iterator[Write]:
    """Combines writes into as few transactions as the limits on changes and size allow."""
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
