"""Snapshots of what a controller knows: the file format, and what a snapshot says about a loss.

A file consists of a magic string, a format number, a stream of CBOR values compressed with
zstandard, and the SHA-256 digest of all of that. It is encoded in chunks, so that the controller
can serve requests in between.
"""

# kind: decisions

import hashlib
import io
from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple

import cbor2
import zstandard

from ryegauge.bookkeeping.state_replica import StateReplica
from ryegauge.config import Settings
from ryegauge.rebuilding.records import KnownRecord, KnownState

MAGIC = b"ryegauge snapshot "  # first bytes of a file
FORMAT_NUMBER = 1  # the byte after MAGIC
SUFFIX = ".ryegauge"  # of file names
DIGEST_BYTES = 32  # SHA-256, at the end of a file

# Records per chunk.
RECORDS_PER_CHUNK = 100


class Unusable(Exception):
    """The file is truncated, corrupted, or of another format or fleet; the message says which."""


class SnapshotHeader(NamedTuple):
    """The header of a snapshot. The order of the fields is part of the file format."""

    fleet: str  # identifies the fleet, see `fleet_of`
    node: str  # the controller that took it
    taken_at: float  # Unix time in seconds
    epoch: int
    state_revision: int  # revision of the state service


class Snapshot(NamedTuple):
    """The content of a snapshot file."""

    header: SnapshotHeader
    known_state: KnownState


def fleet_of(settings: Settings) -> str:
    """Returns an identifier of the fleet: a digest of its controllers' names and the address of
    its state service, so it is the same on all of its controllers and after restarts."""
    text = "\n".join([*settings.node_names, settings.outside.state])
    return hashlib.sha256(text.encode()).hexdigest()[:16]


def snapshot_name(header: SnapshotHeader) -> str:
    """Returns the file name of a snapshot. Names sort by the time at which it was taken."""
    return f"{round(1000 * header.taken_at):015d}-{header.node}{SUFFIX}"


def encode_snapshot(header: SnapshotHeader, known_state: KnownState) -> Iterator[bytes]:
    """Yields the file in chunks, each of which takes a few milliseconds to make."""
    digest = hashlib.sha256()
    compressor = zstandard.ZstdCompressor(level=3).compressobj()

    def hashed(data: bytes) -> bytes:
        digest.update(data)
        return data

    yield hashed(MAGIC + bytes([FORMAT_NUMBER]))
    yield hashed(compressor.compress(cbor2.dumps(list(header))))
    batch: list[list[Any]] = []
    for key, known in known_state.records.items():
        batch.append([key, *known])
        if len(batch) == RECORDS_PER_CHUNK:
            yield hashed(compressor.compress(cbor2.dumps(["records", batch])))
            batch = []
    yield hashed(compressor.compress(cbor2.dumps(["records", batch])))
    final_outcomes = [[uid, *outcome] for uid, outcome in known_state.final_outcomes.items()]
    for first in range(0, len(final_outcomes), 10 * RECORDS_PER_CHUNK):
        batch = final_outcomes[first : first + 10 * RECORDS_PER_CHUNK]
        yield hashed(compressor.compress(cbor2.dumps(["finals", batch])))
    yield hashed(compressor.flush())
    yield digest.digest()


def decoded(data: bytes, fleet: str | None = None) -> Snapshot:
    """Reads a snapshot file. Raises Unusable, also if `fleet` is given and it is of another."""
    start = len(MAGIC) + 1
    if data[: len(MAGIC)] != MAGIC:
        raise Unusable("is not a snapshot")
    if len(data) < start + DIGEST_BYTES:
        raise Unusable("is truncated")
    if data[len(MAGIC)] != FORMAT_NUMBER:
        raise Unusable(f"has format {data[len(MAGIC)]}; this version reads {FORMAT_NUMBER}")
    body, digest = data[:-DIGEST_BYTES], data[-DIGEST_BYTES:]
    if hashlib.sha256(body).digest() != digest:
        raise Unusable("is truncated or corrupted: the digest does not match")
    decompressed = io.BytesIO(zstandard.ZstdDecompressor().decompressobj().decompress(body[start:]))
    size = len(decompressed.getbuffer())
    header = SnapshotHeader(*cbor2.load(decompressed))
    if fleet is not None and header.fleet != fleet:
        raise Unusable(f"is of another fleet ({header.fleet}; this is {fleet})")
    records: dict[str, KnownRecord] = {}
    final_outcomes: dict[str, Any] = {}
    while decompressed.tell() < size:
        kind, entries = cbor2.load(decompressed)
        if kind == "records":
            records.update((key, KnownRecord(value, epoch, v)) for key, value, epoch, v in entries)
        elif kind == "finals":
            final_outcomes.update((uid, (status, done)) for uid, status, done in entries)
    return Snapshot(header, KnownState(records, final_outcomes, False))


def evidence_of_loss(snapshot: Snapshot, replica: StateReplica) -> str:
    """Says why the state service must have lost data that the snapshot has; empty if the
    snapshot does not show a loss. A snapshot is normally older than the replica, so what it lacks
    or has in an older version shows nothing."""
    header = snapshot.header
    if header.epoch > replica.epoch:
        return f"a snapshot is of epoch {header.epoch}, the state service of epoch {replica.epoch}"
    if header.epoch < replica.epoch:
        return ""  # losses after it were dealt with when the present epoch began
    if header.state_revision > replica.state_revision:
        return (
            f"a snapshot is of revision {header.state_revision}, "
            f"the state service of {replica.state_revision}"
        )
    for key, known in snapshot.known_state.records.items():
        if not key.startswith("r/j/") or key.split("/")[2] not in replica.jobs:
            continue
        if known.epoch == replica.epoch and (replica.version_of(key) or 0) < known.version:
            return f"a snapshot has {key} in a later version: {known.version}"
    return ""


def missing_jobs(snapshot: Snapshot, replica: StateReplica) -> Iterator[str]:
    """Yields the jobs of a snapshot that are not in the replica. They are lost unless they have
    ended and been archived meanwhile."""
    known_state = snapshot.known_state
    jobs = (
        key[4:] for key in known_state.records if key.startswith("r/j/") and key.count("/") == 2
    )
    return (
        uid
        for uid in (*jobs, *known_state.final_outcomes)
        if uid not in replica.jobs and uid not in replica.restored_outcomes
    )


def snapshots_to_delete(names: Iterable[str], keep_count: int) -> list[str]:
    """Returns the files to delete out of one controller's: all but the `keep_count` newest."""
    return sorted(name for name in names if name.endswith(SUFFIX))[:-keep_count]
