# kind: decisions
"""From a message to a submission, or to the reason why it can never be one.

The same message always makes the same submission under the same name, whoever reads it and
whenever: that is what keeps a redelivery from running twice. Nothing here has I/O or a clock.
"""

import hashlib
import io
import zlib
from typing import Any, NamedTuple

import msgspec
from pamqp.commands import Basic

from ryegauge.protocol.jobs import JobSpec, parse_job
from ryegauge.queues.bindings import Binding
from ryegauge.transport.http import Malformed, decode

# Names made here are 32 digits and begin with this one; users' own shorter names can't clash.
FIRST_DIGIT = "9"
DIGITS = 32
CHUNK = 16 * 1024
# What decoders are asked to support at least (RFC 8878, section 3.1.1.1.2).
WINDOW_MAX = 8 * 1024 * 1024
# Fields of a submission that no message may set, and those that it may leave out.
FROM_BINDING = ("uid", "crew", "urgency", "duty")
LEFT_OUT = {
    "shape": "sweep",
    "cards": 0.0,
    "together": False,
    "spread": False,
    "loaners": True,
    "waypointS": 0.0,
    "stowS": 0.0,
    "imageGb": 0.0,
}
JSON_TYPES = ("application/json", "text/json", None, "")
CBOR_TYPES = ("application/cbor",)


class Submission(NamedTuple):
    """Run this job."""

    identity: str
    spec: JobSpec


class Cancellation(NamedTuple):
    """End the job that another message of the binding has made."""

    identity: str
    uid: str


class Never(NamedTuple):
    """Of no use to anybody, as 400 and 422 are for users: the reason for its headers."""

    identity: str
    reason: str


def identity_of(binding: Binding, properties: Basic.Properties, body: bytes) -> str:
    """What tells a message from others: its id, else its content within a window. The window
    is that of the message's own timestamp: a redelivery has the same one, at any time."""
    if properties.message_id:
        return f"id:{properties.message_id}"
    at = properties.timestamp
    window = "" if at is None else str(int(at.timestamp()) // binding.window_s)
    digest = hashlib.sha256(
        b"\0".join(
            (
                str(properties.content_type or "").encode(),
                str(properties.content_encoding or "").encode(),
                window.encode(),
                body,
            )
        )
    ).hexdigest()
    return f"digest:{digest}"


def uid_of(binding: str, identity: str) -> str:
    """The name of a message's job: the same in every controller and version."""
    text = f"ryegauge queue {len(binding)} {binding} {identity}"
    digest = hashlib.sha256(text.encode()).digest()
    number = int.from_bytes(digest, "big") % 10 ** (DIGITS - 1)
    return f"wk-{FIRST_DIGIT}{number:0{DIGITS - 1}d}"


def read(
    binding: Binding, properties: Basic.Properties, body: bytes
) -> Submission | Cancellation | Never:
    identity = identity_of(binding, properties, body)
    try:
        raw = _decode(
            properties.content_type, _unpack(properties.content_encoding, body, binding.body_limit)
        )
        if not isinstance(raw, dict):
            raise Malformed("expected a map")
        if "cancel" in raw:
            return _cancellation(binding, identity, raw)
        return Submission(identity, _spec(binding, properties, identity, raw))
    except Malformed as error:
        return Never(identity, str(error))


def _cancellation(binding: Binding, identity: str, raw: dict[str, Any]) -> Cancellation:
    name = raw["cancel"]
    if not isinstance(name, str) or not name or len(raw) > 1:
        raise Malformed("cancel: expected the id of a message, and no other field")
    return Cancellation(identity, uid_of(binding.name, f"id:{name}"))


def _spec(
    binding: Binding, properties: Basic.Properties, identity: str, raw: dict[str, Any]
) -> JobSpec:
    for name in FROM_BINDING:
        if name in raw:
            raise Malformed(f"{name}: comes from the binding, not from the message")
    whole = {
        **LEFT_OUT,
        **binding.defaults,
        **raw,
        "uid": uid_of(binding.name, identity),
        "crew": binding.team,
        "duty": binding.job_class,
        "urgency": binding.priority(properties.priority),
    }
    if whole["shape"] == "standing":
        raise Malformed("shape: a service never ends, and so never answers its message")
    awaits = whole.get("awaits")
    if awaits is not None:
        if not isinstance(awaits, list) or not all(isinstance(n, str) and n for n in awaits):
            raise Malformed("awaits: expected a list of message ids")
        whole["awaits"] = [uid_of(binding.name, f"id:{name}") for name in awaits]
    return parse_job(whole)


def _unpack(encoding: str | None, body: bytes, limit: int) -> bytes:
    """Within the limit, however small what is packed: it is read only that far."""
    match (encoding or "identity").lower():
        case "identity":
            data = body
        case "gzip":
            unpacker = zlib.decompressobj(wbits=31)
            try:
                data = unpacker.decompress(body, limit + 1)
            except zlib.error as error:
                raise Malformed(f"content_encoding gzip: {error}") from None
            if not unpacker.eof and len(data) <= limit:
                raise Malformed("content_encoding gzip: cut short")
        case "zstd":
            data = _unpack_zstd(body, limit)
        case other:
            raise Malformed(f"content_encoding {other!r}: expected gzip or zstd")
    if len(data) > limit:
        raise Malformed(f"the body is longer than {limit} octets")
    return data


def _unpack_zstd(body: bytes, limit: int) -> bytes:
    import zstandard

    parts: list[bytes] = []
    size = 0
    try:
        with zstandard.ZstdDecompressor(max_window_size=WINDOW_MAX).stream_reader(
            io.BytesIO(body)
        ) as reader:
            while size <= limit and (part := reader.read(min(CHUNK, limit + 1 - size))):
                parts.append(part)
                size += len(part)
    except zstandard.ZstdError as error:
        raise Malformed(f"content_encoding zstd: {error}") from None
    return b"".join(parts)


def _decode(content_type: str | None, data: bytes) -> Any:
    kind = None if content_type is None else content_type.partition(";")[0].strip().lower()
    if kind in JSON_TYPES:
        try:
            return msgspec.json.decode(data)
        except (msgspec.DecodeError, RecursionError) as error:
            raise Malformed(f"not JSON: {error}") from None
    if kind in CBOR_TYPES:
        try:
            return decode(data)
        except Malformed as error:
            raise Malformed(f"not CBOR: {error}") from None
    raise Malformed(f"content_type {kind!r}: expected application/json or application/cbor")
