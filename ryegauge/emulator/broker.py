"""An in-memory AMQP 0-9-1 broker: the default direct exchange (the routing key names the queue),
durable queues, prefetch, redelivery and publisher confirms. It can be killed: its connections
close, and unacknowledged messages are delivered again."""

import random
from collections import deque
from dataclasses import dataclass, field
from typing import Any

import trio
import trio.testing
from pamqp import commands as amqp
from pamqp import frame as codec
from pamqp.body import ContentBody
from pamqp.commands import Basic
from pamqp.header import ContentHeader, ProtocolHeader
from pamqp.heartbeat import Heartbeat

from ryegauge.amqp.frames import FrameDecoder
from ryegauge.emulator.network import CURRENT_HOST

FRAME_MAX = 32 * 1024  # bytes, offered to clients
HEARTBEAT_S = 10


@dataclass
class Message:
    """A message in a queue, or delivered and not yet acknowledged."""

    key: str
    properties: Basic.Properties
    body: bytes
    redelivered: bool = False


@dataclass
class Consumer:
    """A consumer of one queue, on one channel of a connection."""

    connection: "BrokerConnection"
    channel: int
    tag: str
    queue: str

    @property
    def host(self) -> str:
        """Host of the client; empty for a real socket."""
        return self.connection.host


class Broker:
    """The broker: its queues, consumers and connections, and the faults injected into it."""

    def __init__(self, nursery: trio.Nursery, rng: random.Random) -> None:
        self.nursery = nursery
        self.rng = rng
        self.queues: dict[str, deque[Message]] = {}
        self.consumers: list[Consumer] = []
        self.client_connections: list[BrokerConnection] = []
        self.up = True
        # Closes the connection that sends a frame once this many more were received; None: never.
        self.frames_until_close: int | None = None
        self.deliveries = 0
        self.unreachable: set[str] = set()  # hosts whose connections are refused
        self.unroutable_keys: set[str] = set()  # routing keys that are returned as unroutable

    def put(self, key: str, properties: Basic.Properties, body: bytes) -> None:
        """Appends a message to the queue named `key`, which is created if missing."""
        self.queues.setdefault(key, deque()).append(Message(key, properties, body))
        self.dispatch()

    async def connect(self, _: object = None) -> trio.abc.Stream:
        """Client end of a new in-memory connection from the calling task's host. Raises
        ConnectionRefusedError if the broker is down or unreachable from that host."""
        await trio.sleep(self.rng.uniform(0.001, 0.01))
        host = CURRENT_HOST.get()
        if not self.up or host in self.unreachable:
            raise ConnectionRefusedError("the broker is down")
        client_end, broker_end = trio.testing.memory_stream_pair()
        connection = BrokerConnection(self, broker_end, host)
        self.client_connections.append(connection)
        self.nursery.start_soon(connection.run)
        return client_end

    async def serve(self, stream: trio.abc.Stream) -> None:
        """Serves a connection that was accepted elsewhere, such as a real socket, until it
        closes."""
        connection = BrokerConnection(self, stream, "")
        self.client_connections.append(connection)
        await connection.run()

    def kill(self) -> None:
        """Stops the broker: all connections close at once, durable queues stay."""
        self.up = False
        for connection in list(self.client_connections):
            connection.end()

    def dispatch(self) -> None:
        """Delivers all messages that the prefetch limits allow, round-robin over consumers."""
        for _ in range(len(self.consumers)):
            consumer = self.consumers.pop(0)
            self.consumers.append(consumer)
            queue = self.queues.get(consumer.queue)
            while queue and consumer.connection.can_deliver(consumer.channel):
                consumer.connection.deliver(consumer, queue.popleft())
                self.deliveries += 1
                if len(self.consumers) > 1:
                    break
        if any(
            self.queues.get(c.queue) and c.connection.can_deliver(c.channel) for c in self.consumers
        ):
            self.dispatch()


@dataclass
class Channel:
    """State of one channel; `unsettled`: delivery tag -> (queue, message)."""

    prefetch: int = 0
    last_delivery_tag: int = 0
    publish_count: int = 0
    confirms: bool = False
    unacknowledged: dict[int, tuple[str, Message]] = field(default_factory=dict)
    pending_publish: Any = None
    header: ContentHeader | None = None
    received_body: bytes = b""


class BrokerConnection:
    """One client's connection, on the broker's side."""

    def __init__(self, broker: Broker, stream: trio.abc.Stream, host: str) -> None:
        self._broker = broker
        self.host = host  # of the client; empty for a real socket
        self._stream = stream
        self._send_buffer = bytearray()
        self._data_to_send = trio.Event()
        self._scope = trio.CancelScope()
        self.channels: dict[int, Channel] = {}

    def can_deliver(self, channel_number: int) -> bool:
        """Whether the channel is open and below its prefetch limit."""
        channel = self.channels.get(channel_number)
        return channel is not None and (
            not channel.prefetch or len(channel.unacknowledged) < channel.prefetch
        )

    def deliver(self, consumer: Consumer, message: Message) -> None:
        """Sends the message to the consumer; it stays unacknowledged until acked or rejected."""
        channel = self.channels[consumer.channel]
        channel.last_delivery_tag += 1
        channel.unacknowledged[channel.last_delivery_tag] = (consumer.queue, message)
        self._send(
            consumer.channel,
            Basic.Deliver(
                consumer.tag, channel.last_delivery_tag, message.redelivered, "", message.key
            ),
        )
        self._send(consumer.channel, ContentHeader(0, len(message.body), message.properties))
        for start in range(0, len(message.body), FRAME_MAX - 8):
            self._send(consumer.channel, ContentBody(message.body[start : start + FRAME_MAX - 8]))

    def end(self) -> None:
        """Closes the connection; its unacknowledged messages return to the head of their queues."""
        self._scope.cancel()
        if self not in self._broker.client_connections:
            return
        self._broker.client_connections.remove(self)
        self._broker.consumers = [c for c in self._broker.consumers if c.connection is not self]
        for channel in self.channels.values():
            for queue, message in reversed(channel.unacknowledged.values()):
                message.redelivered = True
                self._broker.queues.setdefault(queue, deque()).appendleft(message)
        self.channels.clear()
        self._broker.dispatch()

    async def run(self) -> None:
        """Serves the connection until it is closed or its heartbeats are missed."""
        frame_reader = FrameDecoder()
        frame_reader.frame_max = 128 * 1024
        protocol_header_received = False
        try:
            with self._scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._write)
                    while True:
                        # A client that vanishes without closing the connection is detected by
                        # missing heartbeats; otherwise its messages would never be redelivered.
                        data = b""
                        with trio.move_on_after(2 * HEARTBEAT_S):
                            data = bytes(await self._stream.receive_some(64 * 1024))
                        if not data:
                            break
                        if not protocol_header_received:
                            assert data[:8] == codec.marshal(ProtocolHeader(), 0)
                            protocol_header_received, data = True, data[8:]
                            self._send(0, amqp.Connection.Start(0, 9, {}, "PLAIN", "en_US"))
                        for channel_number, value in frame_reader.feed(data):
                            self._count_frame()
                            self._handle_method(channel_number, value)
                    nursery.cancel_scope.cancel()
        except* trio.BrokenResourceError:
            pass  # the connection broke: by the client or by an injected fault
        finally:
            self.end()
            await trio.aclose_forcefully(self._stream)

    def _count_frame(self) -> None:
        remaining = self._broker.frames_until_close
        if remaining is not None:
            self._broker.frames_until_close = remaining - 1
            if remaining <= 0:
                self._broker.frames_until_close = None
                raise trio.BrokenResourceError

    async def _write(self) -> None:
        while True:
            if not self._send_buffer:
                self._data_to_send = trio.Event()
                with trio.move_on_after(HEARTBEAT_S / 2):
                    await self._data_to_send.wait()
                if not self._send_buffer:
                    self._send(0, Heartbeat())
            data = bytes(self._send_buffer)
            self._send_buffer.clear()
            await trio.sleep(self._broker.rng.uniform(0.0005, 0.003))
            try:
                await self._stream.send_all(data)
            except trio.BrokenResourceError:
                self._scope.cancel()
                return

    def _send(self, channel: int, value: Any) -> None:
        self._send_buffer += codec.marshal(value, channel)
        self._data_to_send.set()

    def _handle_method(self, channel_number: int, value: Any) -> None:
        channel = self.channels.get(channel_number)
        match value:
            case amqp.Connection.StartOk():
                self._send(0, amqp.Connection.Tune(64, FRAME_MAX, HEARTBEAT_S))
            case amqp.Connection.Open():
                self._send(0, amqp.Connection.OpenOk())
            case amqp.Connection.Close():
                self._send(0, amqp.Connection.CloseOk())
            case amqp.Channel.Open():
                self.channels[channel_number] = Channel()
                self._send(channel_number, amqp.Channel.OpenOk())
            case _ if channel is not None:
                self._handle_channel_method(channel_number, channel, value)

    def _handle_channel_method(self, channel_number: int, channel: Channel, value: Any) -> None:
        match value:
            case amqp.Confirm.Select():
                channel.confirms = True
                self._send(channel_number, amqp.Confirm.SelectOk())
            case Basic.Qos():
                channel.prefetch = value.prefetch_count
                self._send(channel_number, Basic.QosOk())
            case Basic.Consume():
                self._send(channel_number, Basic.ConsumeOk(value.consumer_tag))
                self._broker.consumers.append(
                    Consumer(self, channel_number, str(value.consumer_tag), str(value.queue))
                )
                self._broker.dispatch()
            case amqp.Queue.Declare():
                queue = str(value.queue)
                if value.passive and queue not in self._broker.queues:
                    self.channels.pop(channel_number, None)
                    self._send(channel_number, amqp.Channel.Close(404, "no such queue", 50, 10))
                    return
                messages = self._broker.queues.setdefault(queue, deque())
                consumers = sum(c.queue == queue for c in self._broker.consumers)
                self._send(channel_number, amqp.Queue.DeclareOk(queue, len(messages), consumers))
            case Basic.Cancel():
                self._broker.consumers = [
                    c
                    for c in self._broker.consumers
                    if (c.connection, c.channel, c.tag)
                    != (self, channel_number, str(value.consumer_tag))
                ]
                self._send(channel_number, Basic.CancelOk(value.consumer_tag))
            case Basic.Ack():
                channel.unacknowledged.pop(value.delivery_tag or 0, None)
                self._broker.dispatch()
            case Basic.Reject():
                entry = channel.unacknowledged.pop(value.delivery_tag or 0, None)
                if entry is not None and value.requeue:
                    entry[1].redelivered = True
                    self._broker.queues.setdefault(entry[0], deque()).append(entry[1])
                self._broker.dispatch()
            case Basic.Publish():
                channel.pending_publish, channel.header, channel.received_body = value, None, b""
            case ContentHeader():
                channel.header = value
                self._finish_publish(channel_number, channel)
            case ContentBody():
                channel.received_body += value.value
                self._finish_publish(channel_number, channel)

    def _finish_publish(self, channel_number: int, channel: Channel) -> None:
        header = channel.header
        if header is None or len(channel.received_body) < header.body_size:
            return
        key = str(channel.pending_publish.routing_key)
        if key in self._broker.unroutable_keys:
            self._send(channel_number, Basic.Return(312, "no route", "", key))
            self._send(
                channel_number, ContentHeader(0, len(channel.received_body), header.properties)
            )
            if channel.received_body:
                self._send(channel_number, ContentBody(channel.received_body))
        else:
            name = channel.pending_publish.exchange + key
            self._broker.put(name, header.properties, channel.received_body)
        channel.publish_count += 1
        if channel.confirms:
            self._send(channel_number, Basic.Ack(channel.publish_count, False))
