"""A stand-in for an AMQP 0-9-1 broker: direct exchange of that protocol's default kind (the
routing key names the queue), durable queues, prefetch, redelivery, confirms. In memory, but it
can be killed: connections end, and what was not acknowledged is delivered again."""

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

from ryegauge.amqp.frames import Cutter
from ryegauge.emulator.network import HOST

FRAME_MAX = 32 * 1024
HEARTBEAT_S = 10


@dataclass
class Message:
    key: str
    properties: Basic.Properties
    body: bytes
    redelivered: bool = False


@dataclass
class Consumer:
    link: "Link"
    channel: int
    tag: str
    queue: str

    @property
    def host(self) -> str:
        return self.link.host


class Broker:
    def __init__(self, nursery: trio.Nursery, rng: random.Random) -> None:
        self.nursery = nursery
        self.rng = rng
        self.queues: dict[str, deque[Message]] = {}
        self.consumers: list[Consumer] = []
        self.links: list[Link] = []
        self.up = True
        # Kills the connection after so many more frames from it; None: never.
        self.frames_left: int | None = None
        self.deliveries = 0
        self.unreachable: set[str] = set()  # hosts that get no connection
        self.refuse_keys: set[str] = set()  # routing keys that lead to no queue

    def put(self, key: str, properties: Basic.Properties, body: bytes) -> None:
        self.queues.setdefault(key, deque()).append(Message(key, properties, body))
        self.deal()

    async def connect(self, _: object = None) -> trio.abc.Stream:
        await trio.sleep(self.rng.uniform(0.001, 0.01))
        host = HOST.get()
        if not self.up or host in self.unreachable:
            raise ConnectionRefusedError("the broker is down")
        ours, theirs = trio.testing.memory_stream_pair()
        link = Link(self, theirs, host)
        self.links.append(link)
        self.nursery.start_soon(link.run)
        return ours

    async def serve(self, stream: trio.abc.Stream) -> None:
        """A connection from elsewhere, such as a real socket."""
        link = Link(self, stream, "")
        self.links.append(link)
        await link.run()

    def kill(self) -> None:
        """All connections end at once; durable queues stay."""
        self.up = False
        for link in list(self.links):
            link.end()

    def deal(self) -> None:
        """What can be delivered goes out, to the consumers of each queue in turn."""
        for _ in range(len(self.consumers)):
            consumer = self.consumers.pop(0)
            self.consumers.append(consumer)
            queue = self.queues.get(consumer.queue)
            while queue and consumer.link.wants(consumer.channel):
                consumer.link.deliver(consumer, queue.popleft())
                self.deliveries += 1
                if len(self.consumers) > 1:
                    break
        if any(self.queues.get(c.queue) and c.link.wants(c.channel) for c in self.consumers):
            self.deal()


@dataclass
class Channel:
    prefetch: int = 0
    tags: int = 0
    published: int = 0
    confirms: bool = False
    unsettled: dict[int, tuple[str, Message]] = field(default_factory=dict)
    publishing: Any = None
    header: ContentHeader | None = None
    parts: bytes = b""


class Link:
    """One client's connection, seen from the broker."""

    def __init__(self, broker: Broker, stream: trio.abc.Stream, host: str) -> None:
        self._broker = broker
        self.host = host  # of the client, in simulated time
        self._stream = stream
        self._out = bytearray()
        self._wake = trio.Event()
        self._scope = trio.CancelScope()
        self.channels: dict[int, Channel] = {}

    def wants(self, number: int) -> bool:
        channel = self.channels.get(number)
        return channel is not None and (
            not channel.prefetch or len(channel.unsettled) < channel.prefetch
        )

    def deliver(self, consumer: Consumer, message: Message) -> None:
        channel = self.channels[consumer.channel]
        channel.tags += 1
        channel.unsettled[channel.tags] = (consumer.queue, message)
        self._send(
            consumer.channel,
            Basic.Deliver(consumer.tag, channel.tags, message.redelivered, "", message.key),
        )
        self._send(consumer.channel, ContentHeader(0, len(message.body), message.properties))
        for start in range(0, len(message.body), FRAME_MAX - 8):
            self._send(consumer.channel, ContentBody(message.body[start : start + FRAME_MAX - 8]))

    def end(self) -> None:
        self._scope.cancel()
        if self not in self._broker.links:
            return
        self._broker.links.remove(self)
        self._broker.consumers = [c for c in self._broker.consumers if c.link is not self]
        for channel in self.channels.values():
            for queue, message in reversed(channel.unsettled.values()):
                message.redelivered = True
                self._broker.queues.setdefault(queue, deque()).appendleft(message)
        self.channels.clear()
        self._broker.deal()

    async def run(self) -> None:
        cutter = Cutter()
        cutter.frame_max = 128 * 1024
        greeted = False
        try:
            with self._scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._write)
                    while True:
                        # A client that ends without a word is missed by its heartbeats, or
                        # what it holds would never come again.
                        data = b""
                        with trio.move_on_after(2 * HEARTBEAT_S):
                            data = bytes(await self._stream.receive_some(64 * 1024))
                        if not data:
                            break
                        if not greeted:
                            assert data[:8] == codec.marshal(ProtocolHeader(), 0)
                            greeted, data = True, data[8:]
                            self._send(0, amqp.Connection.Start(0, 9, {}, "PLAIN", "en_US"))
                        for number, value in cutter.feed(data):
                            self._count()
                            self._on(number, value)
                    nursery.cancel_scope.cancel()
        except* trio.BrokenResourceError:
            pass  # the connection is lost, as it was meant to be
        finally:
            self.end()
            await trio.aclose_forcefully(self._stream)

    def _count(self) -> None:
        left = self._broker.frames_left
        if left is not None:
            self._broker.frames_left = left - 1
            if left <= 0:
                self._broker.frames_left = None
                raise trio.BrokenResourceError

    async def _write(self) -> None:
        while True:
            if not self._out:
                self._wake = trio.Event()
                with trio.move_on_after(HEARTBEAT_S / 2):
                    await self._wake.wait()
                if not self._out:
                    self._send(0, Heartbeat())
            data = bytes(self._out)
            self._out.clear()
            await trio.sleep(self._broker.rng.uniform(0.0005, 0.003))
            try:
                await self._stream.send_all(data)
            except trio.BrokenResourceError:
                self._scope.cancel()
                return

    def _send(self, channel: int, value: Any) -> None:
        self._out += codec.marshal(value, channel)
        self._wake.set()

    def _on(self, number: int, value: Any) -> None:
        channel = self.channels.get(number)
        match value:
            case amqp.Connection.StartOk():
                self._send(0, amqp.Connection.Tune(64, FRAME_MAX, HEARTBEAT_S))
            case amqp.Connection.Open():
                self._send(0, amqp.Connection.OpenOk())
            case amqp.Connection.Close():
                self._send(0, amqp.Connection.CloseOk())
            case amqp.Channel.Open():
                self.channels[number] = Channel()
                self._send(number, amqp.Channel.OpenOk())
            case _ if channel is not None:
                self._on_channel(number, channel, value)

    def _on_channel(self, number: int, channel: Channel, value: Any) -> None:
        match value:
            case amqp.Confirm.Select():
                channel.confirms = True
                self._send(number, amqp.Confirm.SelectOk())
            case Basic.Qos():
                channel.prefetch = value.prefetch_count
                self._send(number, Basic.QosOk())
            case Basic.Consume():
                self._send(number, Basic.ConsumeOk(value.consumer_tag))
                self._broker.consumers.append(
                    Consumer(self, number, str(value.consumer_tag), str(value.queue))
                )
                self._broker.deal()
            case amqp.Queue.Declare():
                queue = str(value.queue)
                if value.passive and queue not in self._broker.queues:
                    self.channels.pop(number, None)
                    self._send(number, amqp.Channel.Close(404, "no such queue", 50, 10))
                    return
                waiting = self._broker.queues.setdefault(queue, deque())
                consumers = sum(c.queue == queue for c in self._broker.consumers)
                self._send(number, amqp.Queue.DeclareOk(queue, len(waiting), consumers))
            case Basic.Cancel():
                self._broker.consumers = [
                    c
                    for c in self._broker.consumers
                    if (c.link, c.channel, c.tag) != (self, number, str(value.consumer_tag))
                ]
                self._send(number, Basic.CancelOk(value.consumer_tag))
            case Basic.Ack():
                channel.unsettled.pop(value.delivery_tag or 0, None)
                self._broker.deal()
            case Basic.Reject():
                entry = channel.unsettled.pop(value.delivery_tag or 0, None)
                if entry is not None and value.requeue:
                    entry[1].redelivered = True
                    self._broker.queues.setdefault(entry[0], deque()).append(entry[1])
                self._broker.deal()
            case Basic.Publish():
                channel.publishing, channel.header, channel.parts = value, None, b""
            case ContentHeader():
                channel.header = value
                self._published(number, channel)
            case ContentBody():
                channel.parts += value.value
                self._published(number, channel)

    def _published(self, number: int, channel: Channel) -> None:
        header = channel.header
        if header is None or len(channel.parts) < header.body_size:
            return
        key = str(channel.publishing.routing_key)
        if key in self._broker.refuse_keys:
            self._send(number, Basic.Return(312, "no route", "", key))
            self._send(number, ContentHeader(0, len(channel.parts), header.properties))
            if channel.parts:
                self._send(number, ContentBody(channel.parts))
        else:
            name = channel.publishing.exchange + key
            self._broker.put(name, header.properties, channel.parts)
        channel.published += 1
        if channel.confirms:
            self._send(number, Basic.Ack(channel.published, False))
