"""The AMQP connection state machine against scripted, faulty and hostile brokers."""

import struct
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from pamqp import commands as amqp
from pamqp import frame as codec
from pamqp.body import ContentBody
from pamqp.commands import Basic
from pamqp.header import ContentHeader
from pamqp.heartbeat import Heartbeat

from ryegauge.amqp.connection import (
    MAX_MESSAGE_BYTES,
    ChannelClosed,
    ChannelOpened,
    Closed,
    Confirmed,
    Connection,
    Delivery,
    Event,
    InvalidStateError,
    Opened,
    Returned,
)
from ryegauge.amqp.frames import FrameDecoder, FrameError


def encode(value: Any, channel: int = 0) -> bytes:
    return codec.marshal(value, channel)


def take_sent(connection: Connection) -> list[tuple[int, Any]]:
    """The connection's pending output as (channel, value), decoded by pamqp alone."""
    data, frames = connection.data_to_send(0.0), []
    while data:
        size, channel, value = codec.unmarshal(data)
        frames.append((channel, value))
        data = data[size:]
    return frames


START_FRAME = encode(amqp.Connection.Start(0, 9, {}, "PLAIN AMQPLAIN", "en_US"))
TUNE_FRAME = encode(amqp.Connection.Tune(10, 8192, 6))
OPEN_OK_FRAME = encode(amqp.Connection.OpenOk())


def logged_in_connection() -> Connection:
    connection = Connection("guest", "secret", heartbeat_s=10)
    events = connection.receive(START_FRAME + TUNE_FRAME + OPEN_OK_FRAME, 0.0)
    assert events == [Opened()]
    take_sent(connection)
    return connection


def connection_with_channel() -> tuple[Connection, int]:
    connection = logged_in_connection()
    channel_id = connection.open_channel()
    assert connection.receive(encode(amqp.Channel.OpenOk(), channel_id), 0.0) == [
        ChannelOpened(channel_id)
    ]
    take_sent(connection)
    return connection, channel_id


def delivery_frames(channel_id: int, tag: int, body: bytes, **properties: Any) -> bytes:
    data = encode(Basic.Deliver("me", tag, False, "ex", "key"), channel_id)
    data += encode(ContentHeader(0, len(body), Basic.Properties(**properties)), channel_id)
    for start in range(0, len(body), 5):
        data += encode(ContentBody(body[start : start + 5]), channel_id)
    return data


def test_bytes_match_the_specification() -> None:
    """Protocol header and frame layout by sections 4.2.2 and 4.2.3, independent of pamqp."""
    connection = Connection("u", "p")
    assert connection.data_to_send(0.0) == b"AMQP\x00\x00\x09\x01"
    connection, channel_id = connection_with_channel()
    connection.receive(delivery_frames(channel_id, 1, b"x"), 0.0)
    connection.ack(channel_id, 1)
    expected = struct.pack(">BHIHHQBB", 1, channel_id, 13, 60, 80, 1, 0, 0xCE)
    assert connection.data_to_send(0.0) == expected


def test_login_negotiates_limits() -> None:
    connection = Connection("guest", "secret", "/work", heartbeat_s=10)
    connection.data_to_send(0.0)
    connection.receive(START_FRAME, 0.0)
    ((_, start_ok),) = take_sent(connection)
    assert (start_ok.mechanism, start_ok.response) == ("PLAIN", "\0guest\0secret")
    connection.receive(TUNE_FRAME, 0.0)
    (_, tune_ok), (_, open_) = take_sent(connection)
    assert (tune_ok.channel_max, tune_ok.frame_max, tune_ok.heartbeat) == (10, 8192, 6)
    assert open_.virtual_host == "/work"
    assert connection.receive(OPEN_OK_FRAME, 0.0) == [Opened()]


def test_stream_end_during_login_is_reported_as_refused() -> None:
    connection = Connection("guest", "wrong")
    connection.receive(START_FRAME, 0.0)
    (closed,) = connection.on_stream_end()
    assert isinstance(closed, Closed)
    assert closed.code == 403
    assert "wrong" not in closed.text


@given(st.binary(max_size=60), st.lists(st.integers(1, 7), max_size=60))
def test_message_is_reassembled_from_any_chunks(body: bytes, chunk_sizes: list[int]) -> None:
    connection, channel_id = connection_with_channel()
    data = delivery_frames(channel_id, 7, body, message_id="m-1", headers={"a": 1})
    events: list[Event] = []
    for chunk_size in chunk_sizes:
        events += connection.receive(data[:chunk_size], 0.0)
        data = data[chunk_size:]
    events += connection.receive(data, 0.0)
    (received,) = events
    assert isinstance(received, Delivery)
    assert (received.tag, received.body, received.properties.message_id) == (7, body, "m-1")
    assert connection.unsettled_count(channel_id) == 1


def test_delivery_cannot_be_settled_twice() -> None:
    """By the specification, settling a tag twice closes the channel, and everything unsettled on
    it is redelivered."""
    connection, channel_id = connection_with_channel()
    connection.receive(
        delivery_frames(channel_id, 1, b"a") + delivery_frames(channel_id, 2, b"b"), 0.0
    )
    connection.ack(channel_id, 1)
    connection.reject(channel_id, 2, requeue=False)
    for tag in (1, 2, 3):
        with pytest.raises(InvalidStateError):
            connection.ack(channel_id, tag)
    assert [(c, v.name) for c, v in take_sent(connection)] == [
        (channel_id, "Basic.Ack"),
        (channel_id, "Basic.Reject"),
    ]


def test_single_and_multiple_confirms() -> None:
    connection, channel_id = connection_with_channel()
    connection.select_confirms(channel_id)
    connection.receive(encode(amqp.Confirm.SelectOk(), channel_id), 0.0)
    tags = [
        connection.publish(channel_id, "", "q", b"z" * 9000, Basic.Properties()) for _ in range(5)
    ]
    assert tags == [1, 2, 3, 4, 5]
    bodies = [v for _, v in take_sent(connection) if isinstance(v, ContentBody)]
    assert len(bodies) == 10  # 9000 octets in frames of at most 8192
    received = connection.receive(
        encode(Basic.Ack(2, False), channel_id)
        + encode(Basic.Ack(3, True), channel_id)
        + encode(Basic.Nack(5, False, False), channel_id),
        0.0,
    )
    assert received == [
        Confirmed(channel_id, (2,), True),
        Confirmed(channel_id, (1, 3), True),
        Confirmed(channel_id, (5,), False),
    ]
    returned = encode(Basic.Return(312, "NO_ROUTE", "", "q"), channel_id)
    returned += encode(ContentHeader(0, 0, Basic.Properties(message_id="m")), channel_id)
    (returned_event,) = connection.receive(returned, 0.0)
    assert isinstance(returned_event, Returned)
    assert returned_event.code == 312
    (closed,) = connection.receive(encode(Basic.Ack(2, False), channel_id), 0.0)
    assert isinstance(closed, Closed)


def test_heartbeats_are_sent_and_silence_is_detected() -> None:
    connection = logged_in_connection()  # negotiated heartbeat interval: 6 s
    assert connection.tick(2.9) == []
    assert take_sent(connection) == []
    connection.tick(3.0)
    assert connection.data_to_send(3.0) == encode(Heartbeat())
    connection.receive(encode(Heartbeat()), 5.0)
    assert connection.tick(17.0) == []
    (closed,) = connection.tick(17.1)
    assert closed == Closed(320, "no data received for 12 s")
    assert connection.receive(OPEN_OK_FRAME, 18.0) == []


def test_channel_close_by_the_broker_keeps_the_connection() -> None:
    connection, channel_id = connection_with_channel()
    assert connection.receive(
        encode(amqp.Channel.Close(404, "no queue", 50, 10), channel_id), 0.0
    ) == [ChannelClosed(channel_id, 404, "no queue")]
    assert [v.name for _, v in take_sent(connection)] == ["Channel.CloseOk"]
    with pytest.raises(InvalidStateError):
        connection.ack(channel_id, 1)
    assert connection.open_channel() == channel_id


def test_frames_received_while_closing_are_ignored() -> None:
    connection, channel_id = connection_with_channel()
    connection.close()
    assert connection.receive(delivery_frames(channel_id, 1, b"late"), 0.0) == []
    assert connection.receive(encode(amqp.Connection.CloseOk()), 0.0) == [Closed(0, "closed")]


PROTOCOL_VIOLATIONS = {
    "unsupported version": b"AMQP\x00\x00\x08\x00",
    "unknown frame type": b"\x05\x00\x00\x00\x00\x00\x00\xce",
    "frame too large": struct.pack(">BHI", 1, 0, 1 << 31),
    "no end octet": encode(amqp.Connection.Blocked("x"))[:-1] + b"\x00",
    "unknown method": struct.pack(">BHIHHB", 1, 0, 4, 999, 999, 0xCE),
    "truncated method": struct.pack(">BHIHHB", 1, 1, 4, 60, 60, 0xCE),
    "body without method": encode(ContentBody(b"x"), 1),
    "closed channel": encode(amqp.Channel.OpenOk(), 9),
    "unexpected method": TUNE_FRAME,
    "heartbeat on a channel": b"\x08\x00\x01\x00\x00\x00\x00\xce",
    "method within a message": encode(Basic.Deliver("me", 1, False, "", ""), 1)
    + encode(Basic.Deliver("me", 2, False, "", ""), 1),
    "body beyond its size": encode(Basic.Deliver("me", 1, False, "", ""), 1)
    + encode(ContentHeader(0, 1, Basic.Properties()), 1)
    + encode(ContentBody(b"xx"), 1),
    "message too large": encode(Basic.Deliver("me", 1, False, "", ""), 1)
    + encode(ContentHeader(0, MAX_MESSAGE_BYTES + 1, Basic.Properties()), 1),
    "decreasing delivery tags": delivery_frames(1, 2, b"a") + delivery_frames(1, 2, b"b"),
}


@pytest.mark.parametrize("name", PROTOCOL_VIOLATIONS)
def test_protocol_violation_closes_the_connection(name: str) -> None:
    connection, _ = connection_with_channel()
    *_, last = connection.receive(PROTOCOL_VIOLATIONS[name], 0.0)
    assert isinstance(last, Closed)
    assert last.code >= 300
    assert [v.name for _, v in take_sent(connection)][-1:] == ["Connection.Close"]
    assert connection.receive(START_FRAME, 0.0) == connection.tick(99.0) == []


VALID_FRAMES = [
    START_FRAME,
    TUNE_FRAME,
    OPEN_OK_FRAME,
    encode(Heartbeat()),
    encode(amqp.Channel.OpenOk(), 1),
    delivery_frames(1, 1, b"abcdefgh"),
    encode(amqp.Confirm.SelectOk(), 1),
    encode(amqp.Connection.Blocked("memory")),
    encode(amqp.Channel.Close(404, "x", 0, 0), 1),
    encode(Basic.ConsumeOk("me"), 1),
    encode(Basic.Nack(0, True, False), 1),
    encode(amqp.Connection.Close(320, "bye", 0, 0)),
]


@given(
    st.lists(st.one_of(st.sampled_from(VALID_FRAMES), st.binary(max_size=40)), max_size=12),
    st.integers(0, 200),
    st.integers(0, 255),
    st.booleans(),
)
def test_arbitrary_bytes_end_in_at_most_one_closed_event(
    chunks: list[bytes], position: int, new_octet: int, logged_in: bool
) -> None:
    """Truncated, interleaved, repeated frames and a changed octet: either the connection stays
    open, or there is exactly one `Closed` and no event after it."""
    connection = connection_with_channel()[0] if logged_in else Connection("u", "p")
    data = bytearray(b"".join(chunks))
    if position < len(data):
        data[position] = new_octet
    events: list[Event] = []
    for start in range(0, len(data), 17):
        events += connection.receive(bytes(data[start : start + 17]), 0.0)
    closed = [event for event in events if isinstance(event, Closed)]
    assert len(closed) == connection.is_closed
    assert not closed or events[-1] is closed[0]
    if not closed:
        events += connection.on_stream_end()
        assert connection.is_closed


def test_decoder_buffers_at_most_one_frame() -> None:
    decoder = FrameDecoder()
    with pytest.raises(FrameError):
        decoder.feed(struct.pack(">BHI", 3, 1, 5000))
    decoder = FrameDecoder()
    decoder.feed(struct.pack(">BHI", 3, 1, 4000) + b"x" * 3999)
    assert len(decoder._data) <= decoder.frame_max
