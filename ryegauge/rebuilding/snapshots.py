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

from ryegauge.bookkeeping.jobbook import JobBook
from ryegauge.config import Settings
from ryegauge.rebuilding.records import Kept, Known

MARK = b"ryegauge snapshot "
FORMAT = 1
SUFFIX = ".ryegauge"
DIGEST_BYTES = 32

# Records that go into one piece.
PIECE = 100


class Unusable(Exception):
    """Cut off, changed, of another format or of another fleet; the message says which."""


class About(NamedTuple):
    fleet: str  # a digest of what makes the fleet this one
    node: str
    at: float  # time of day, in seconds
    era: int
    ledger: int


class Snapshot(NamedTuple):
    about: About
    kept: Kept


def fleet_of(settings: Settings) -> str:
    """The same for all controllers of a fleet, after a restart as well."""
    text = "\n".join([*settings.node_names, settings.outside.state])
    return hashlib.sha256(text.encode()).hexdigest()[:16]


def name_of(about: About) -> str:
    """File names in order of age."""
    return f"{round(1000 * about.at):015d}-{about.node}{SUFFIX}"


def encoded(about: About, kept: Kept) -> Iterator[bytes]:
    """The file in pieces, each the work of a few milliseconds."""
    digest = hashlib.sha256()
    compressor = zstandard.ZstdCompressor(level=3).compressobj()

    def piece(data: bytes) -> bytes:
        digest.update(data)
        return data

    yield piece(MARK + bytes([FORMAT]))
    yield piece(compressor.compress(cbor2.dumps(list(about))))
    some: list[list[Any]] = []
    for key, known in kept.records.items():
        some.append([key, *known])
        if len(some) == PIECE:
            yield piece(compressor.compress(cbor2.dumps(["records", some])))
            some = []
    yield piece(compressor.compress(cbor2.dumps(["records", some])))
    finals = [[uid, *outcome] for uid, outcome in kept.finals.items()]
    for first in range(0, len(finals), 10 * PIECE):
        some = finals[first : first + 10 * PIECE]
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
    about = About(*cbor2.load(plain))
    if fleet is not None and about.fleet != fleet:
        raise Unusable(f"is of another fleet ({about.fleet}; this is {fleet})")
    records: dict[str, Known] = {}
    finals: dict[str, Any] = {}
    while plain.tell() < size:
        kind, entries = cbor2.load(plain)
        if kind == "records":
            records.update((key, Known(value, era, v)) for key, value, era, v in entries)
        elif kind == "finals":
            finals.update((uid, (status, done)) for uid, status, done in entries)
    return Snapshot(about, Kept(records, finals, False))


def proof(snapshot: Snapshot, book: JobBook) -> str:
    """Why the book must have lost something that the snapshot has; empty if nothing says so.
    An older snapshot of a fleet that has lost nothing proves nothing."""
    about = snapshot.about
    if about.era > book.era:
        return f"a snapshot is of era {about.era}"
    if about.era < book.era:
        return ""  # what came after it has been looked at when that era began
    if about.ledger > book.ledger:
        return f"a snapshot is of revision {about.ledger}, after {book.ledger}"
    for key, known in snapshot.kept.records.items():
        if not key.startswith("r/j/") or key.split("/")[2] not in book.jobs:
            continue
        if known.era == book.era and (book.version_of(key) or 0) < known.version:
            return f"a snapshot has {key} of version {known.version}"
    return ""


def unaccounted(snapshot: Snapshot, book: JobBook) -> Iterator[str]:
    """Jobs that are not in the book; unless they are over and have left it, they are lost."""
    kept = snapshot.kept
    jobs = (key[4:] for key in kept.records if key.startswith("r/j/") and key.count("/") == 2)
    return (uid for uid in (*jobs, *kept.finals) if uid not in book.jobs and uid not in book.packed)


def outdated(names: Iterable[str], kept: int) -> list[str]:
    """Files to be deleted: all of one controller but the newest."""
    return sorted(name for name in names if name.endswith(SUFFIX))[:-kept]
