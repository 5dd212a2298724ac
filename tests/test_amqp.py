"""The AMQP connection against a broker scripted by hand, broken and hostile peers."""

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
from ryegauge.amqp.frames import Cutter, FrameError


def wire(value: Any, channel: int = 0) -> bytes:
    return codec.marshal(value, channel)


def sent(connection: Connection) -> list[tuple[int, Any]]:
    """What the connection has to say, read with the codec alone."""
    data, found = connection.data_to_send(0.0), []
    while data:
        size, channel, value = codec.unmarshal(data)
        found.append((channel, value))
        data = data[size:]
    return found


START = wire(amqp.Connection.Start(0, 9, {}, "PLAIN AMQPLAIN", "en_US"))
TUNE = wire(amqp.Connection.Tune(10, 8192, 6))
OPEN_OK = wire(amqp.Connection.OpenOk())


def opened() -> Connection:
    connection = Connection("guest", "secret", heartbeat_s=10)
    events = connection.receive(START + TUNE + OPEN_OK, 0.0)
    assert events == [Opened()]
    sent(connection)
    return connection


def with_channel() -> tuple[Connection, int]:
    connection = opened()
    number = connection.open_channel()
    assert connection.receive(wire(amqp.Channel.OpenOk(), number), 0.0) == [ChannelOpened(number)]
    sent(connection)
    return connection, number


def delivery(number: int, tag: int, body: bytes, **properties: Any) -> bytes:
    data = wire(Basic.Deliver("me", tag, False, "ex", "key"), number)
    data += wire(ContentHeader(0, len(body), Basic.Properties(**properties)), number)
    for start in range(0, len(body), 5):
        data += wire(ContentBody(body[start : start + 5]), number)
    return data


def test_the_octets_of_the_specification() -> None:
    """Protocol header and frame layout by sections 4.2.2 and 4.2.3, not by the codec."""
    connection = Connection("u", "p")
    assert connection.data_to_send(0.0) == b"AMQP\x00\x00\x09\x01"
    connection, number = with_channel()
    connection.receive(delivery(number, 1, b"x"), 0.0)
    connection.ack(number, 1)
    expected = struct.pack(">BHIHHQBB", 1, number, 13, 60, 80, 1, 0, 0xCE)
    assert connection.data_to_send(0.0) == expected


def test_login_and_agreement_on_sizes() -> None:
    connection = Connection("guest", "secret", "/work", heartbeat_s=10)
    connection.data_to_send(0.0)
    connection.receive(START, 0.0)
    ((_, start_ok),) = sent(connection)
    assert (start_ok.mechanism, start_ok.response) == ("PLAIN", "\0guest\0secret")
    connection.receive(TUNE, 0.0)
    (_, tune_ok), (_, open_) = sent(connection)
    assert (tune_ok.channel_max, tune_ok.frame_max, tune_ok.heartbeat) == (10, 8192, 6)
    assert open_.virtual_host == "/work"
    assert connection.receive(OPEN_OK, 0.0) == [Opened()]


def test_a_refused_login_is_told_as_one() -> None:
    connection = Connection("guest", "wrong")
    connection.receive(START, 0.0)
    (closed,) = connection.on_stream_end()
    assert isinstance(closed, Closed)
    assert closed.code == 403
    assert "wrong" not in closed.text


@given(st.binary(max_size=60), st.lists(st.integers(1, 7), max_size=60))
def test_a_message_is_the_same_in_whatever_pieces_it_comes(body: bytes, cuts: list[int]) -> None:
    connection, number = with_channel()
    data = delivery(number, 7, body, message_id="m-1", headers={"a": 1})
    events: list[Event] = []
    for cut in cuts:
        events += connection.receive(data[:cut], 0.0)
        data = data[cut:]
    events += connection.receive(data, 0.0)
    (got,) = events
    assert isinstance(got, Delivery)
    assert (got.tag, got.body, got.properties.message_id) == (7, body, "m-1")
    assert connection.unsettled(number) == 1


def test_a_delivery_is_settled_once() -> None:
    """Found by reading the specification: a tag settled twice closes the channel, and all
    that is under way on it comes again."""
    connection, number = with_channel()
    connection.receive(delivery(number, 1, b"a") + delivery(number, 2, b"b"), 0.0)
    connection.ack(number, 1)
    connection.reject(number, 2, requeue=False)
    for tag in (1, 2, 3):
        with pytest.raises(InvalidStateError):
            connection.ack(number, tag)
    assert [(c, v.name) for c, v in sent(connection)] == [
        (number, "Basic.Ack"),
        (number, "Basic.Reject"),
    ]


def test_confirms_come_singly_and_together() -> None:
    connection, number = with_channel()
    connection.select_confirms(number)
    connection.receive(wire(amqp.Confirm.SelectOk(), number), 0.0)
    tags = [connection.publish(number, "", "q", b"z" * 9000, Basic.Properties()) for _ in range(5)]
    assert tags == [1, 2, 3, 4, 5]
    bodies = [v for _, v in sent(connection) if isinstance(v, ContentBody)]
    assert len(bodies) == 10  # frames of 8192 octets at most
    got = connection.receive(
        wire(Basic.Ack(2, False), number)
        + wire(Basic.Ack(3, True), number)
        + wire(Basic.Nack(5, False, False), number),
        0.0,
    )
    assert got == [
        Confirmed(number, (2,), True),
        Confirmed(number, (1, 3), True),
        Confirmed(number, (5,), False),
    ]
    returned = wire(Basic.Return(312, "NO_ROUTE", "", "q"), number)
    returned += wire(ContentHeader(0, 0, Basic.Properties(message_id="m")), number)
    (back,) = connection.receive(returned, 0.0)
    assert isinstance(back, Returned)
    assert back.code == 312
    (closed,) = connection.receive(wire(Basic.Ack(2, False), number), 0.0)
    assert isinstance(closed, Closed)


def test_heartbeats_go_both_ways() -> None:
    connection = opened()  # 6 s were agreed on
    assert connection.tick(2.9) == []
    assert sent(connection) == []
    connection.tick(3.0)
    assert connection.data_to_send(3.0) == wire(Heartbeat())
    connection.receive(wire(Heartbeat()), 5.0)
    assert connection.tick(17.0) == []
    (closed,) = connection.tick(17.1)
    assert closed == Closed(320, "no data received for 12 s")
    assert connection.receive(OPEN_OK, 18.0) == []


def test_a_channel_closed_by_the_broker_leaves_the_connection() -> None:
    connection, number = with_channel()
    assert connection.receive(wire(amqp.Channel.Close(404, "no queue", 50, 10), number), 0.0) == [
        ChannelClosed(number, 404, "no queue")
    ]
    assert [v.name for _, v in sent(connection)] == ["Channel.CloseOk"]
    with pytest.raises(InvalidStateError):
        connection.ack(number, 1)
    assert connection.open_channel() == number


def test_what_is_under_way_when_we_close_is_dropped() -> None:
    connection, number = with_channel()
    connection.close()
    assert connection.receive(delivery(number, 1, b"late"), 0.0) == []
    assert connection.receive(wire(amqp.Connection.CloseOk()), 0.0) == [Closed(0, "closed")]


BROKEN = {
    "another version": b"AMQP\x00\x00\x08\x00",
    "no frame type": b"\x05\x00\x00\x00\x00\x00\x00\xce",
    "too large": struct.pack(">BHI", 1, 0, 1 << 31),
    "no end": wire(amqp.Connection.Blocked("x"))[:-1] + b"\x00",
    "unknown method": struct.pack(">BHIHHB", 1, 0, 4, 999, 999, 0xCE),
    "cut method": struct.pack(">BHIHHB", 1, 1, 4, 60, 60, 0xCE),
    "body without method": wire(ContentBody(b"x"), 1),
    "closed channel": wire(amqp.Channel.OpenOk(), 9),
    "out of turn": TUNE,
    "heartbeat on a channel": b"\x08\x00\x01\x00\x00\x00\x00\xce",
    "method within a message": wire(Basic.Deliver("me", 1, False, "", ""), 1)
    + wire(Basic.Deliver("me", 2, False, "", ""), 1),
    "body beyond its size": wire(Basic.Deliver("me", 1, False, "", ""), 1)
    + wire(ContentHeader(0, 1, Basic.Properties()), 1)
    + wire(ContentBody(b"xx"), 1),
    "a message without bound": wire(Basic.Deliver("me", 1, False, "", ""), 1)
    + wire(ContentHeader(0, MAX_MESSAGE_BYTES + 1, Basic.Properties()), 1),
    "tags that go back": delivery(1, 2, b"a") + delivery(1, 2, b"b"),
}


@pytest.mark.parametrize("name", BROKEN)
def test_a_peer_that_breaks_the_protocol_ends_the_connection(name: str) -> None:
    connection, _ = with_channel()
    *_, last = connection.receive(BROKEN[name], 0.0)
    assert isinstance(last, Closed)
    assert last.code >= 300
    assert [v.name for _, v in sent(connection)][-1:] == ["Connection.Close"]
    assert connection.receive(START, 0.0) == connection.tick(99.0) == []


GOOD = [
    START,
    TUNE,
    OPEN_OK,
    wire(Heartbeat()),
    wire(amqp.Channel.OpenOk(), 1),
    delivery(1, 1, b"abcdefgh"),
    wire(amqp.Confirm.SelectOk(), 1),
    wire(amqp.Connection.Blocked("memory")),
    wire(amqp.Channel.Close(404, "x", 0, 0), 1),
    wire(Basic.ConsumeOk("me"), 1),
    wire(Basic.Nack(0, True, False), 1),
    wire(amqp.Connection.Close(320, "bye", 0, 0)),
]


@given(
    st.lists(st.one_of(st.sampled_from(GOOD), st.binary(max_size=40)), max_size=12),
    st.integers(0, 200),
    st.integers(0, 255),
    st.booleans(),
)
def test_no_bytes_make_it_raise_hang_or_grow(
    pieces: list[bytes], at: int, octet: int, logged_in: bool
) -> None:
    """Frames cut short, interleaved, repeated, with an octet turned: in the end there is
    either a connection that goes on, or one clean `Closed` and nothing after it."""
    connection = with_channel()[0] if logged_in else Connection("u", "p")
    data = bytearray(b"".join(pieces))
    if at < len(data):
        data[at] = octet
    events: list[Event] = []
    for start in range(0, len(data), 17):
        events += connection.receive(bytes(data[start : start + 17]), 0.0)
    closed = [event for event in events if isinstance(event, Closed)]
    assert len(closed) == connection.is_closed
    assert not closed or events[-1] is closed[0]
    if not closed:
        events += connection.on_stream_end()
        assert connection.is_closed


def test_no_more_than_a_frame_is_kept() -> None:
    cutter = Cutter()
    with pytest.raises(FrameError):
        cutter.feed(struct.pack(">BHI", 3, 1, 5000))
    cutter = Cutter()
    cutter.feed(struct.pack(">BHI", 3, 1, 4000) + b"x" * 3999)
    assert len(cutter._data) <= cutter.frame_max
