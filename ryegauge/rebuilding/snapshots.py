"""Snapshots of what a controller knows: what they hold, and which of them can be used.

A file is a mark, a format number, a stream of CBOR values compressed with zstandard, and the
SHA-256 digest of all of that. It is made in pieces, so that a controller serves meanwhile.
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

MARK = b"ryegauge snapshot "
FORMAT = 1
SUFFIX = ".ryegauge"
DIGEST_BYTES = 32

# Records that go into one piece.
PIECE = 100


class Unusable(Exception):
    """Cut off, changed, of another format or of another fleet; the message says which."""


class SnapshotHeader(NamedTuple):
    fleet: str  # a digest of what makes the fleet this one
    node: str
    at: float  # time of day, in seconds
    epoch: int
    state_revision: int


class Snapshot(NamedTuple):
    header: SnapshotHeader
    known_state: KnownState


def fleet_of(settings: Settings) -> str:
    """The same for all controllers of a fleet, after a restart as well."""
    text = "\n".join([*settings.node_names, settings.outside.state])
    return hashlib.sha256(text.encode()).hexdigest()[:16]


def snapshot_name(header: SnapshotHeader) -> str:
    """File names in order of age."""
    return f"{round(1000 * header.at):015d}-{header.node}{SUFFIX}"


def encode_snapshot(header: SnapshotHeader, known_state: KnownState) -> Iterator[bytes]:
    """The file in pieces, each the work of a few milliseconds."""
    digest = hashlib.sha256()
    compressor = zstandard.ZstdCompressor(level=3).compressobj()

    def piece(data: bytes) -> bytes:
        digest.update(data)
        return data

    yield piece(MARK + bytes([FORMAT]))
    yield piece(compressor.compress(cbor2.dumps(list(header))))
    some: list[list[Any]] = []
    for key, known in known_state.records.items():
        some.append([key, *known])
        if len(some) == PIECE:
            yield piece(compressor.compress(cbor2.dumps(["records", some])))
            some = []
    yield piece(compressor.compress(cbor2.dumps(["records", some])))
    final_outcomes = [[uid, *outcome] for uid, outcome in known_state.final_outcomes.items()]
    for first in range(0, len(final_outcomes), 10 * PIECE):
        some = final_outcomes[first : first + 10 * PIECE]
        yield piece(compressor.compress(cbor2.dumps(["finals", some])))
    yield piece(compressor.flush())
    yield digest.digest()


def decoded(data: bytes, fleet: str | None = None) -> Snapshot:
    """Raises Unusable. `fleet`: the one that it must be of."""
    start = len(MARK) + 1
    if data[: len(MARK)] != MARK:
        raise Unusable("is not a snapshot")
    if len(data) < start + DIGEST_BYTES:
        raise Unusable("is cut off")
    if data[len(MARK)] != FORMAT:
        raise Unusable(f"has format {data[len(MARK)]}; this version reads {FORMAT}")
    body, digest = data[:-DIGEST_BYTES], data[-DIGEST_BYTES:]
    if hashlib.sha256(body).digest() != digest:
        raise Unusable("is cut off or changed: its digest is another")
    plain = io.BytesIO(zstandard.ZstdDecompressor().decompressobj().decompress(body[start:]))
    size = len(plain.getbuffer())
    header = SnapshotHeader(*cbor2.load(plain))
    if fleet is not None and header.fleet != fleet:
        raise Unusable(f"is of another fleet ({header.fleet}; this is {fleet})")
    records: dict[str, KnownRecord] = {}
    final_outcomes: dict[str, Any] = {}
    while plain.tell() < size:
        kind, entries = cbor2.load(plain)
        if kind == "records":
            records.update((key, KnownRecord(value, epoch, v)) for key, value, epoch, v in entries)
        elif kind == "finals":
            final_outcomes.update((uid, (status, done)) for uid, status, done in entries)
    return Snapshot(header, KnownState(records, final_outcomes, False))


def evidence_of_loss(snapshot: Snapshot, replica: StateReplica) -> str:
    """Why the book must have lost something that the snapshot has; empty if nothing says so.
    An older snapshot of a fleet that has lost nothing proves nothing."""
    header = snapshot.header
    if header.epoch > replica.epoch:
        return f"a snapshot is of era {header.epoch}"
    if header.epoch < replica.epoch:
        return ""  # what came after it has been looked at when that era began
    if header.state_revision > replica.state_revision:
        return f"a snapshot is of revision {header.state_revision}, after {replica.state_revision}"
    for key, known in snapshot.known_state.records.items():
        if not key.startswith("r/j/") or key.split("/")[2] not in replica.jobs:
            continue
        if known.epoch == replica.epoch and (replica.version_of(key) or 0) < known.version:
            return f"a snapshot has {key} of version {known.version}"
    return ""


def missing_jobs(snapshot: Snapshot, replica: StateReplica) -> Iterator[str]:
    """Jobs that are not in the book; unless they are over and have left it, they are lost."""
    known_state = snapshot.known_state
    jobs = (
        key[4:] for key in known_state.records if key.startswith("r/j/") and key.count("/") == 2
    )
    return (
        uid
        for uid in (*jobs, *known_state.final_outcomes)
        if uid not in replica.jobs and uid not in replica.restored_outcomes
    )


def snapshots_to_delete(names: Iterable[str], known_state: int) -> list[str]:
    """Files to be deleted: all of one controller but the newest."""
    return sorted(name for name in names if name.endswith(SUFFIX))[:-known_state]
