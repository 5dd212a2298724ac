# kind: decisions
"""Parses a message into a submission or a cancellation, or finds the reason why it is invalid.

The same message always yields the same submission with the same job uid, in every controller and
at any time: this keeps a redelivery from running twice. No I/O and no clock.
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

# The numbers of generated uids have 32 digits and begin with a 9, so that they cannot collide with
# the shorter ones of users.
UID_FIRST_DIGIT = "9"
UID_DIGITS = 32
READ_CHUNK_BYTES = 16 * 1024
# The window size that RFC 8878, section 3.1.1.1.2, recommends decoders to support at least.
MAX_ZSTD_WINDOW_BYTES = 8 * 1024 * 1024
# Fields of a submission that come from the binding, so that no message may set them.
BINDING_FIELDS = ("uid", "crew", "urgency", "duty")
# Fields of a submission that every message may omit, with the values that they get then.
OPTIONAL_FIELDS = {
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
    """The message submits this job."""

    identity: str
    spec: JobSpec


class Cancellation(NamedTuple):
    """The message cancels the job `uid`, which another message of the binding submits."""

    identity: str
    uid: str


class Never(NamedTuple):
    """The message can never run, like a request answered with 400 or 422. The reason is sent in a
    header of the dead letter."""

    identity: str
    reason: str


def identity_of(binding: Binding, properties: Basic.Properties, body: bytes) -> str:
    """Identifies a message within its binding: by its message id, else by its content and time
    window. The window is taken from the message's own timestamp, which redeliveries keep."""
    if properties.message_id:
        return f"id:{properties.message_id}"
    sent_at = properties.timestamp
    window = "" if sent_at is None else str(int(sent_at.timestamp()) // binding.window_s)
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
    """The uid of a message's job: the same in every controller and every version."""
    text = f"ryegauge queue {len(binding)} {binding} {identity}"
    digest = hashlib.sha256(text.encode()).digest()
    number = int.from_bytes(digest, "big") % 10 ** (UID_DIGITS - 1)
    return f"wk-{UID_FIRST_DIGIT}{number:0{UID_DIGITS - 1}d}"


def read(
    binding: Binding, properties: Basic.Properties, body: bytes
) -> Submission | Cancellation | Never:
    """Parses a message; never raises for what it contains."""
    identity = identity_of(binding, properties, body)
    try:
        raw = _decode(
            properties.content_type,
            _decompress(properties.content_encoding, body, binding.body_limit),
        )
        if not isinstance(raw, dict):
            raise Malformed("expected a map")
        if "cancel" in raw:
            return _parse_cancellation(binding, identity, raw)
        return Submission(identity, _parse_spec(binding, properties, identity, raw))
    except Malformed as error:
        return Never(identity, str(error))


def _parse_cancellation(binding: Binding, identity: str, raw: dict[str, Any]) -> Cancellation:
    name = raw["cancel"]
    if not isinstance(name, str) or not name or len(raw) > 1:
        raise Malformed("cancel: expected the id of a message, and no other field")
    return Cancellation(identity, uid_of(binding.name, f"id:{name}"))


def _parse_spec(
    binding: Binding, properties: Basic.Properties, identity: str, raw: dict[str, Any]
) -> JobSpec:
    for name in BINDING_FIELDS:
        if name in raw:
            raise Malformed(f"{name}: comes from the binding, not from the message")
    fields = {
        **OPTIONAL_FIELDS,
        **binding.defaults,
        **raw,
        "uid": uid_of(binding.name, identity),
        "crew": binding.team,
        "duty": binding.job_class,
        "urgency": binding.job_priority(properties.priority),
    }
    if fields["shape"] == "standing":
        raise Malformed("shape: a service never ends, and so never answers its message")
    awaits = fields.get("awaits")
    if awaits is not None:
        if not isinstance(awaits, list) or not all(isinstance(n, str) and n for n in awaits):
            raise Malformed("awaits: expected a list of message ids")
        fields["awaits"] = [uid_of(binding.name, f"id:{name}") for name in awaits]
    return parse_job(fields)


def _decompress(encoding: str | None, body: bytes, limit: int) -> bytes:
    """Decompresses a body; stops at the limit, so that a small body cannot expand into a large
    one in memory. Raises Malformed."""
    match (encoding or "identity").lower():
        case "identity":
            data = body
        case "gzip":
            decompressor = zlib.decompressobj(wbits=31)
            try:
                data = decompressor.decompress(body, limit + 1)
            except zlib.error as error:
                raise Malformed(f"content_encoding gzip: {error}") from None
            if not decompressor.eof and len(data) <= limit:
                raise Malformed("content_encoding gzip: cut short")
        case "zstd":
            data = _decompress_zstd(body, limit)
        case other:
            raise Malformed(f"content_encoding {other!r}: expected gzip or zstd")
    if len(data) > limit:
        raise Malformed(f"the body is longer than {limit} octets")
    return data


def _decompress_zstd(body: bytes, limit: int) -> bytes:
    """At most one byte more than the limit, which tells the caller that it is exceeded."""
    import zstandard

    chunks: list[bytes] = []
    size = 0
    try:
        with zstandard.ZstdDecompressor(max_window_size=MAX_ZSTD_WINDOW_BYTES).stream_reader(
            io.BytesIO(body)
        ) as reader:
            while size <= limit and (chunk := reader.read(min(READ_CHUNK_BYTES, limit + 1 - size))):
                chunks.append(chunk)
                size += len(chunk)
    except zstandard.ZstdError as error:
        raise Malformed(f"content_encoding zstd: {error}") from None
    return b"".join(chunks)


def _decode(content_type: str | None, data: bytes) -> Any:
    media_type = None if content_type is None else content_type.partition(";")[0].strip().lower()
    if media_type in JSON_TYPES:
        try:
            return msgspec.json.decode(data)
        except (msgspec.DecodeError, RecursionError) as error:
            raise Malformed(f"not JSON: {error}") from None
    if media_type in CBOR_TYPES:
        try:
            return decode(data)
        except Malformed as error:
            raise Malformed(f"not CBOR: {error}") from None
    raise Malformed(f"content_type {media_type!r}: expected application/json or application/cbor")
