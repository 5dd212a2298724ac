"""Splits a byte stream into frames with bounded buffering.

AMQP 0-9-1, sections 2.3.5 and 4.2: type, channel, size, payload, end octet. pamqp decodes the
payloads; whatever it raises on malformed input of a hostile or broken peer becomes a FrameError.
"""

import struct
from typing import NamedTuple

from pamqp import base
from pamqp import frame as codec
from pamqp.body import ContentBody
from pamqp.header import ContentHeader
from pamqp.heartbeat import Heartbeat

FRAME_PREFIX = struct.Struct(">BHI")
FRAME_END = 0xCE
FRAME_METHOD, FRAME_HEADER, FRAME_BODY, FRAME_HEARTBEAT = 1, 2, 3, 8
# The frame size that every peer has to accept, and the limit before negotiation (frame-min-size).
MIN_FRAME_LIMIT_BYTES = 4096
FRAME_OVERHEAD_BYTES = FRAME_PREFIX.size + 1


class FrameError(Exception):
    """The peer sent malformed frames or violated the protocol, which makes the connection
    unusable. `code` is the AMQP reply code to close it with."""

    def __init__(self, code: int, text: str) -> None:
        super().__init__(text)
        self.code = code


class Frame(NamedTuple):
    """A decoded frame; `value` is a method if it is neither content nor a heartbeat."""

    channel: int
    value: base.Frame | ContentHeader | ContentBody | Heartbeat


class FrameDecoder:
    """Incremental frame decoder; buffers less than one frame of at most `frame_max` bytes."""

    def __init__(self) -> None:
        self._data = bytearray()
        self.frame_max = MIN_FRAME_LIMIT_BYTES

    def feed(self, data: bytes) -> list[Frame]:
        """Appends bytes and returns the frames that are complete now; raises FrameError."""
        self._data += data
        frames: list[Frame] = []
        start = 0
        try:
            while (frame := self._decode_next(start)) is not None:
                size, value = frame
                start += size
                if value is not None:
                    frames.append(value)
        finally:
            del self._data[:start]
        return frames

    def _decode_next(self, start: int) -> tuple[int, Frame | None] | None:
        available = len(self._data) - start
        if available >= 4 and self._data[start : start + 4] == b"AMQP":
            # A broker that does not support 0-9-1 answers with a protocol header of its version.
            version = ".".join(str(n) for n in self._data[start + 5 : start + 8])
            raise FrameError(501, f"the broker speaks another version: {version}")
        if available < FRAME_PREFIX.size:
            return None
        frame_type, channel, size = FRAME_PREFIX.unpack_from(self._data, start)
        if frame_type not in (FRAME_METHOD, FRAME_HEADER, FRAME_BODY, FRAME_HEARTBEAT):
            raise FrameError(501, f"frame type {frame_type}")
        if size + FRAME_OVERHEAD_BYTES > self.frame_max:
            raise FrameError(
                501, f"a frame of {size + FRAME_OVERHEAD_BYTES} octets, {self.frame_max} agreed"
            )
        frame_bytes = size + FRAME_OVERHEAD_BYTES
        if available < frame_bytes:
            return None
        if self._data[start + frame_bytes - 1] != FRAME_END:
            raise FrameError(501, "a frame without its end octet")
        if frame_type == FRAME_HEARTBEAT:
            if channel or size:
                raise FrameError(501, "a heartbeat with channel or payload")
            return frame_bytes, Frame(0, Heartbeat())
        if frame_type == FRAME_BODY and not size:
            return frame_bytes, None  # allowed, carries no data
        frame_data = bytes(self._data[start : start + frame_bytes])
        try:
            consumed, channel_id, value = codec.unmarshal(frame_data)
        except Exception as error:  # pamqp raises many types on malformed input
            raise FrameError(502, f"a frame that cannot be read: {error}"[:200]) from None
        if consumed != frame_bytes or not isinstance(
            value, base.Frame | ContentHeader | ContentBody
        ):
            raise FrameError(502, "a frame that is longer than what it holds")
        return frame_bytes, Frame(channel_id, value)
