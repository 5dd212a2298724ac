# kind: decisions
"""One connection to a broker as a state machine: bytes and the time go in, events and bytes
come out (AMQP 0-9-1, section 2.2.4 and the method reference; publisher confirms and
connection.blocked as RabbitMQ's extensions define them).

No I/O and no clock. After a `Closed` event the object is of no further use: a new connection needs
a new object, since channels, delivery tags and confirms are only valid within a connection.
"""

from dataclasses import dataclass, field
from typing import Any, Literal, NamedTuple

from pamqp import commands as amqp
from pamqp import frame as codec
from pamqp.body import ContentBody
from pamqp.commands import Basic
from pamqp.header import ContentHeader, ProtocolHeader
from pamqp.heartbeat import Heartbeat

from ryegauge.amqp.frames import (
    FRAME_OVERHEAD_BYTES,
    MIN_FRAME_LIMIT_BYTES,
    Frame,
    FrameDecoder,
    FrameError,
)

# A larger message closes the connection, which bounds the memory that a message can take.
MAX_MESSAGE_BYTES = 4 * 1024 * 1024
MAX_CHANNELS = 255
MAX_FRAME_BYTES = 128 * 1024
# The connection is closed after this many heartbeat intervals without data (section 4.2.7).
MAX_SILENT_HEARTBEATS = 2.0

State = Literal["start", "tune", "open", "running", "closing", "closed"]
ChannelState = Literal["opening", "open"]


class Opened(NamedTuple):
    """The login has succeeded; channels can be opened."""


class ChannelOpened(NamedTuple):
    """The channel can be used."""

    channel: int


class ChannelClosed(NamedTuple):
    """The broker closed the channel; unacknowledged messages will be redelivered."""

    channel: int
    code: int
    text: str


class ConsumerStarted(NamedTuple):
    """The broker accepted a consumer; deliveries may follow."""

    channel: int
    consumer: str


class ConsumerCancelled(NamedTuple):
    """The broker cancelled the consumer: the queue was deleted, or its node failed."""

    channel: int
    consumer: str


class Delivery(NamedTuple):
    """A message for a consumer, to be acknowledged or rejected by its tag."""

    channel: int
    consumer: str
    tag: int
    redelivered: bool
    exchange: str
    routing_key: str
    properties: Basic.Properties
    body: bytes


class Confirmed(NamedTuple):
    """The broker has taken responsibility for published messages, or failed to (`good` false)."""

    channel: int
    tags: tuple[int, ...]
    acknowledged: bool


class Returned(NamedTuple):
    """A mandatory message is unroutable; its confirm follows."""

    channel: int
    code: int
    text: str
    routing_key: str
    properties: Basic.Properties


class Blocked(NamedTuple):
    """The broker accepts no messages for now."""

    reason: str


class Unblocked(NamedTuple):
    """The broker accepts messages again."""


class Done(NamedTuple):
    """The broker has completed the method of this name, such as `Basic.Cancel`."""

    channel: int
    method: str


class QueueCounts(NamedTuple):
    """The result of `declare`: messages ready for delivery, and consumers of the queue."""

    channel: int
    queue: str
    messages: int
    consumers: int


class Closed(NamedTuple):
    """The connection has ended; no event follows. `code` is 0 if this side asked for it, else an
    AMQP reply code."""

    code: int
    text: str


Event = (
    Opened
    | ChannelOpened
    | ChannelClosed
    | ConsumerStarted
    | ConsumerCancelled
    | Delivery
    | Confirmed
    | Returned
    | Blocked
    | Unblocked
    | QueueCounts
    | Done
    | Closed
)


class InvalidStateError(Exception):
    """The state of the connection or channel does not allow the operation."""


@dataclass(slots=True)
class _Content:
    """A partly received message: its method, then its header, then its body frames."""

    method: Basic.Deliver | Basic.Return
    header: ContentHeader | None = None
    parts: list[bytes] = field(default_factory=list)
    size: int = 0


@dataclass(slots=True)
class _Channel:
    state: ChannelState = "opening"
    content: _Content | None = None
    confirms: bool = False
    published_count: int = 0  # since confirms were selected; the last delivery tag for a confirm
    unconfirmed: dict[int, None] = field(default_factory=dict)
    # Tags of deliveries not yet acknowledged or rejected, in order.
    unsettled: dict[int, None] = field(default_factory=dict)
    last_tag: int = 0


class Connection:
    """The client side of a connection, with PLAIN authentication.

    `now` and all later times are seconds of one monotonic clock. Methods that take a channel id
    raise InvalidStateError unless that channel is open; what they send is fetched with
    `data_to_send`.
    """

    def __init__(
        self,
        user: str,
        password: str,
        vhost: str = "/",
        *,
        heartbeat_s: int = 10,
        now: float = 0.0,
        properties: dict[str, Any] | None = None,
    ) -> None:
        self._login_response = f"\0{user}\0{password}"
        self._vhost = vhost
        self._heartbeat_s = heartbeat_s
        self._properties = {
            "product": "ryegauge",
            "capabilities": {
                "publisher_confirms": True,
                "basic.nack": True,
                "connection.blocked": True,
                "consumer_cancel_notify": True,
                "authentication_failure_close": True,
            },
            **(properties or {}),
        }
        self.state: State = "start"
        self._decoder = FrameDecoder()
        self._send_buffer = bytearray(codec.marshal(ProtocolHeader(), 0))
        self._channels: dict[int, _Channel] = {}
        self._channel_max = 0
        self._frame_max = MIN_FRAME_LIMIT_BYTES
        self._received_at = self._sent_at = now
        self.blocked = False

    # -- bytes and time ------------------------------------------------------------------

    def data_to_send(self, now: float) -> bytes:
        """Returns and forgets the bytes to be sent; the caller has to send them in this order."""
        if not self._send_buffer:
            return b""
        data = bytes(self._send_buffer)
        self._send_buffer.clear()
        self._sent_at = now
        return data

    def receive(self, data: bytes, now: float) -> list[Event]:
        """Handles received bytes. Never raises for what a peer sends: a protocol violation ends in
        `Closed`, with the close method for the peer still to be sent."""
        if self.is_closed:
            return []
        self._received_at = now
        events: list[Event] = []
        try:
            for frame in self._decoder.feed(data):
                self._on_frame(frame, events)
                if self.is_closed:
                    break
        except FrameError as error:
            self._fail(error, events)
        return events

    def on_stream_end(self) -> list[Event]:
        """The stream has ended or failed."""
        if self.state == "closed":
            return []
        last_state = self.state
        self.state = "closed"
        if last_state in ("start", "tune"):
            # Brokers without authentication_failure_close close the stream without a reason when
            # they refuse a user.
            return [Closed(403, "the broker closed the connection during login")]
        requested = last_state == "closing"
        return [Closed(0 if requested else 320, "closed" if requested else "connection lost")]

    def tick(self, now: float) -> list[Event]:
        """Sends heartbeats and detects a silent peer. To be called every `tick_interval_s`."""
        interval_s = self._heartbeat_s
        if self.state == "closed" or not interval_s:
            return []
        if now - self._received_at > MAX_SILENT_HEARTBEATS * interval_s:
            self.state = "closed"
            return [Closed(320, f"no data received for {now - self._received_at:.0f} s")]
        if self.state == "running" and now - self._sent_at >= interval_s / 2:
            self._send_buffer += codec.marshal(Heartbeat(), 0)
        return []

    @property
    def is_closed(self) -> bool:
        """Whether the connection has ended."""
        return self.state == "closed"

    @property
    def tick_interval_s(self) -> float:
        """Seconds between calls of `tick`."""
        return self._heartbeat_s / 4 if self._heartbeat_s else 60.0

    # -- operations ----------------------------------------------------------------------

    def open_channel(self) -> int:
        """Opens a channel and returns its id; it can be used after `ChannelOpened`. Raises
        InvalidStateError if the connection is not open or has no free channel."""
        if self.state != "running":
            raise InvalidStateError(f"the connection is not open: {self.state}")
        channel_id = next(
            (n for n in range(1, self._channel_max + 1) if n not in self._channels), None
        )
        if channel_id is None:
            raise InvalidStateError(f"all {self._channel_max} channels are in use")
        self._channels[channel_id] = _Channel()
        self._send(channel_id, amqp.Channel.Open())
        return channel_id

    def prefetch(self, channel_id: int, count: int) -> None:
        """Limits the unsettled deliveries of each consumer started from now on; 0: no limit."""
        self._require_open_channel(channel_id)
        self._send(channel_id, Basic.Qos(0, count, False))

    def consume(self, channel_id: int, queue: str, consumer: str) -> None:
        """Starts a consumer, with `consumer` as its tag."""
        self._require_open_channel(channel_id)
        self._send(channel_id, Basic.Consume(0, queue, consumer, False, False, False, False, {}))

    def cancel(self, channel_id: int, consumer: str) -> None:
        """Stops the consumer with this tag."""
        self._require_open_channel(channel_id)
        self._send(channel_id, Basic.Cancel(consumer, False))

    def declare(self, channel_id: int, queue: str, *, passive: bool = False) -> None:
        """Declares a durable queue, or only requests its `QueueCounts` (`passive`). A passive
        declaration of a missing queue closes the channel."""
        self._require_open_channel(channel_id)
        self._send(channel_id, amqp.Queue.Declare(0, queue, passive, True, False, False, False, {}))

    def select_confirms(self, channel_id: int) -> None:
        """Enables publisher confirms on the channel."""
        self._require_open_channel(channel_id)
        self._send(channel_id, amqp.Confirm.Select(False))

    def ack(self, channel_id: int, tag: int) -> None:
        """Acknowledges a delivery; raises InvalidStateError if it is not unsettled."""
        self._settle(channel_id, tag)
        self._send(channel_id, Basic.Ack(tag, False))

    def reject(self, channel_id: int, tag: int, *, requeue: bool) -> None:
        """Rejects a delivery; raises InvalidStateError if it is not unsettled. Without `requeue`
        the broker drops the message or dead-letters it."""
        self._settle(channel_id, tag)
        self._send(channel_id, Basic.Reject(tag, requeue))

    def publish(
        self,
        channel_id: int,
        exchange: str,
        routing_key: str,
        body: bytes,
        properties: Basic.Properties,
        *,
        mandatory: bool = True,
    ) -> int:
        """Publishes a message; returns its delivery tag for `Confirmed`, or 0 without confirms."""
        channel = self._require_open_channel(channel_id)
        self._send(channel_id, Basic.Publish(0, exchange, routing_key, mandatory, False))
        self._send_buffer += codec.marshal(ContentHeader(0, len(body), properties), channel_id)
        chunk_bytes = self._frame_max - FRAME_OVERHEAD_BYTES
        for start in range(0, len(body), chunk_bytes):
            self._send_buffer += codec.marshal(
                ContentBody(body[start : start + chunk_bytes]), channel_id
            )
        if not channel.confirms:
            return 0
        channel.published_count += 1
        channel.unconfirmed[channel.published_count] = None
        return channel.published_count

    def close(self, code: int = 200, text: str = "done") -> None:
        """Starts to close the connection; `Closed` follows once the broker has agreed."""
        if self.state in ("closing", "closed"):
            return
        if self.state == "start":
            self.state = "closed"
            return
        self.state = "closing"
        self._send(0, amqp.Connection.Close(code, text, 0, 0))

    def unsettled_count(self, channel_id: int) -> int:
        """The number of deliveries on the channel that are not acknowledged or rejected."""
        return len(self._require_open_channel(channel_id).unsettled)

    # -- internals -----------------------------------------------------------------------

    def _require_open_channel(self, channel_id: int) -> _Channel:
        channel = self._channels.get(channel_id)
        if self.state != "running" or channel is None or channel.state != "open":
            raise InvalidStateError(f"channel {channel_id} is not open")
        return channel

    def _settle(self, channel_id: int, tag: int) -> None:
        """Marks a delivery as settled. Settling a tag twice, or one of an earlier connection,
        would make the broker close the channel and redeliver everything unsettled on it."""
        if self._require_open_channel(channel_id).unsettled.pop(tag, 0) is not None:
            raise InvalidStateError(f"no unsettled delivery {tag} on channel {channel_id}")

    def _send(self, channel: int, method: Any) -> None:
        self._send_buffer += codec.marshal(method, channel)

    def _fail(self, error: FrameError, events: list[Event]) -> None:
        """Ends the connection after a protocol error, with a close method for the broker unless
        the handshake has not begun or the connection is closing already."""
        if self.state not in ("start", "closing"):
            self._send(0, amqp.Connection.Close(error.code, str(error)[:200], 0, 0))
        self.state = "closed"
        events.append(Closed(error.code, str(error)))

    def _on_frame(self, frame: Frame, events: list[Event]) -> None:
        channel_id, value = frame
        if isinstance(value, Heartbeat):
            return
        if channel_id == 0:
            self._on_connection(value, events)
            return
        if self.state == "closing":
            return  # sent before the broker saw our close method
        channel = self._channels.get(channel_id)
        if self.state != "running" or channel is None:
            raise FrameError(504, f"a frame on channel {channel_id}, which is not open")
        if isinstance(value, ContentHeader | ContentBody):
            self._on_content(channel_id, channel, value, events)
        else:
            if channel.content is not None:
                raise FrameError(505, "a method in the middle of a message")
            self._on_channel(channel_id, channel, value, events)

    def _on_connection(self, value: Any, events: list[Event]) -> None:
        match value:
            case amqp.Connection.Close():
                self._send(0, amqp.Connection.CloseOk())
                self.state = "closed"
                events.append(Closed(value.reply_code or 320, str(value.reply_text)))
            case amqp.Connection.CloseOk() if self.state == "closing":
                self.state = "closed"
                events.append(Closed(0, "closed"))
            case _ if self.state == "closing":
                return
            case amqp.Connection.Start() if self.state == "start":
                if "PLAIN" not in str(value.mechanisms).split():
                    raise FrameError(530, f"no login that we know: {value.mechanisms}")
                self.state = "tune"
                self._send(
                    0,
                    amqp.Connection.StartOk(
                        self._properties, "PLAIN", self._login_response, "en_US"
                    ),
                )
            case amqp.Connection.Tune() if self.state == "tune":
                self._on_tune(value)
            case amqp.Connection.OpenOk() if self.state == "open":
                self.state = "running"
                events.append(Opened())
            case amqp.Connection.Blocked() if self.state == "running":
                self.blocked = True
                events.append(Blocked(str(value.reason)))
            case amqp.Connection.Unblocked() if self.state == "running":
                self.blocked = False
                events.append(Unblocked())
            case _:
                name = getattr(value, "name", type(value).__name__)
                raise FrameError(503, f"{name} while the connection is in state {self.state}")

    def _on_tune(self, value: amqp.Connection.Tune) -> None:
        """Negotiates the limits: the smaller of both sides' values, 0 from the broker meaning no
        limit."""

        def smaller(client_value: int, broker_value: int) -> int:
            return min(client_value, broker_value) if broker_value else client_value

        self._channel_max = smaller(MAX_CHANNELS, value.channel_max or 0)
        self._frame_max = smaller(MAX_FRAME_BYTES, value.frame_max or 0)
        if self._frame_max < MIN_FRAME_LIMIT_BYTES:
            raise FrameError(501, f"frames of at most {self._frame_max} octets are too small")
        self._decoder.frame_max = self._frame_max
        # A 0 from either side disables heartbeats, and with them the detection of a silent broker.
        broker_value = value.heartbeat or 0
        self._heartbeat_s = smaller(self._heartbeat_s, broker_value) if broker_value else 0
        self.state = "open"
        self._send(0, amqp.Connection.TuneOk(self._channel_max, self._frame_max, self._heartbeat_s))
        self._send(0, amqp.Connection.Open(self._vhost))

    def _on_channel(
        self, channel_id: int, channel: _Channel, value: Any, events: list[Event]
    ) -> None:
        match value:
            case amqp.Channel.Close():
                self._send(channel_id, amqp.Channel.CloseOk())
                del self._channels[channel_id]
                events.append(
                    ChannelClosed(channel_id, value.reply_code or 320, str(value.reply_text))
                )
            case amqp.Channel.OpenOk() if channel.state == "opening":
                channel.state = "open"
                events.append(ChannelOpened(channel_id))
            case _ if channel.state != "open":
                raise FrameError(503, f"{value.name} on channel {channel_id}, still opening")
            case Basic.Deliver() | Basic.Return():
                channel.content = _Content(value)
            case Basic.ConsumeOk():
                events.append(ConsumerStarted(channel_id, str(value.consumer_tag)))
            case Basic.Cancel():
                if not value.nowait:
                    self._send(channel_id, Basic.CancelOk(value.consumer_tag))
                events.append(ConsumerCancelled(channel_id, str(value.consumer_tag)))
            case Basic.Ack() | Basic.Nack():
                self._on_confirm(channel_id, channel, value, events)
            case amqp.Channel.Flow():
                self._send(channel_id, amqp.Channel.FlowOk(value.active))
                events.append(Unblocked() if value.active else Blocked("channel flow"))
            case amqp.Confirm.SelectOk():
                channel.confirms = True
                events.append(Done(channel_id, "Confirm.Select"))
            case amqp.Queue.DeclareOk():
                events.append(
                    QueueCounts(
                        channel_id,
                        str(value.queue),
                        value.message_count or 0,
                        value.consumer_count or 0,
                    )
                )
            case Basic.QosOk() | Basic.CancelOk():
                events.append(Done(channel_id, value.name.removesuffix("Ok")))
            case _:
                raise FrameError(503, f"{value.name} was not expected")

    def _on_confirm(
        self,
        channel_id: int,
        channel: _Channel,
        value: Basic.Ack | Basic.Nack,
        events: list[Event],
    ) -> None:
        delivery_tag = value.delivery_tag or 0
        if value.multiple:
            tags = tuple(n for n in channel.unconfirmed if n <= delivery_tag or not delivery_tag)
        else:
            tags = (delivery_tag,) if delivery_tag in channel.unconfirmed else ()
        if not tags:
            raise FrameError(506, f"a confirm for {delivery_tag}, which is not open")
        for tag in tags:
            del channel.unconfirmed[tag]
        events.append(Confirmed(channel_id, tags, isinstance(value, Basic.Ack)))

    def _on_content(
        self,
        channel_id: int,
        channel: _Channel,
        value: ContentHeader | ContentBody,
        events: list[Event],
    ) -> None:
        content = channel.content
        if content is None:
            raise FrameError(505, "a piece of a message without its method")
        if isinstance(value, ContentHeader):
            if content.header is not None:
                raise FrameError(505, "a second header of one message")
            if value.body_size > MAX_MESSAGE_BYTES:
                raise FrameError(311, f"a message of {value.body_size} octets")
            content.header = value
        else:
            if content.header is None:
                raise FrameError(505, "a body before its header")
            content.parts.append(value.value)
            content.size += len(value.value)
            if content.size > content.header.body_size:
                raise FrameError(501, "a body that is longer than its header says")
        if content.size < content.header.body_size:
            return
        channel.content = None
        if channel.state == "open":
            self._on_message(channel_id, channel, content, content.header, events)

    def _on_message(
        self,
        channel_id: int,
        channel: _Channel,
        content: _Content,
        header: ContentHeader,
        events: list[Event],
    ) -> None:
        method, body = content.method, b"".join(content.parts)
        if isinstance(method, Basic.Return):
            events.append(
                Returned(
                    channel_id,
                    method.reply_code or 0,
                    str(method.reply_text),
                    str(method.routing_key),
                    header.properties,
                )
            )
            return
        tag = method.delivery_tag or 0
        if tag <= channel.last_tag:
            raise FrameError(501, f"delivery {tag} after {channel.last_tag}")
        channel.last_tag = tag
        channel.unsettled[tag] = None
        events.append(
            Delivery(
                channel_id,
                str(method.consumer_tag),
                tag,
                bool(method.redelivered),
                str(method.exchange),
                str(method.routing_key),
                header.properties,
                body,
            )
        )
