"""Cutting a stream of bytes into frames, with bounds on what is kept of it.

AMQP 0-9-1, sections 2.3.5 and 4.2: type, channel, size, payload, end octet. The payloads are
pamqp's; that a hostile or broken peer can make it raise anything at all is caught here.
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
# What a peer may send before the sizes are agreed on (frame-min-size).
MIN_FRAME_LIMIT_BYTES = 4096
FRAME_OVERHEAD_BYTES = FRAME_PREFIX.size + 1


class FrameError(Exception):
    """The peer's bytes are no frames, or break what was agreed on. The connection is of no
    use any more. `code` is the reply code to close it with."""

    def __init__(self, code: int, text: str) -> None:
        super().__init__(text)
        self.code = code


class Frame(NamedTuple):
    channel: int
    value: base.Frame | ContentHeader | ContentBody | Heartbeat


class Cutter:
    """Takes bytes in any pieces; keeps at most one frame's worth."""

    def __init__(self) -> None:
        self._data = bytearray()
        self.frame_max = MIN_FRAME_LIMIT_BYTES

    def feed(self, data: bytes) -> list[Frame]:
        """All frames that are complete now; raises FrameError."""
        self._data += data
        frames: list[Frame] = []
        start = 0
        try:
            while (frame := self._next(start)) is not None:
                size, value = frame
                start += size
                if value is not None:
                    frames.append(value)
        finally:
            del self._data[:start]
        return frames

    def _next(self, start: int) -> tuple[int, Frame | None] | None:
        available = len(self._data) - start
        if available >= 4 and self._data[start : start + 4] == b"AMQP":
            # A server that does not speak 0-9-1 answers with the version that it does.
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
            return frame_bytes, None  # allowed, and says nothing
        frame_data = bytes(self._data[start : start + frame_bytes])
        try:
            consumed, number, value = codec.unmarshal(frame_data)
        except Exception as error:  # pamqp lets many kinds through on hostile input
            raise FrameError(502, f"a frame that cannot be read: {error}"[:200]) from None
        if consumed != frame_bytes or not isinstance(
            value, base.Frame | ContentHeader | ContentBody
        ):
            raise FrameError(502, "a frame that is longer than what it holds")
        return frame_bytes, Frame(number, value)
