"""One binding over one connection to a broker: taking messages, settling them, publishing.
Whatever is under way ends with the connection."""

import logging
from collections.abc import Awaitable, Callable

import trio
from pamqp.commands import Basic

from ryegauge.amqp.client import Session
from ryegauge.amqp.connection import (
    ChannelClosed,
    ChannelOpened,
    Closed,
    Confirmed,
    ConsumerCancelled,
    Counted,
    Delivery,
    Done,
    Event,
    Misuse,
    Opened,
    Returned,
)
from ryegauge.queues.admission import Window
from ryegauge.queues.bindings import Binding
from ryegauge.queues.consuming import Consuming
from ryegauge.queues.meter import Meter

log = logging.getLogger(__name__)


class Serving:
    def __init__(
        self,
        binding: Binding,
        session: Session,
        nursery: trio.Nursery,
        take: Callable[["Serving", Delivery], Awaitable[None]],
        consuming: Consuming,
        meter: Meter,
    ) -> None:
        self.binding = binding
        self.meter = meter
        self.window = Window(binding.prefetch)
        self.ready = False  # answers can be published
        self._session = session
        self._nursery = nursery
        self._take = take
        self._consuming = consuming
        self._channel = 0
        self._taking = False  # subscribed, or about to be
        self._leaving = False  # the subscription's end is under way
        self._asked = 0  # the prefetch of the subscription
        self._subscribed = 0  # how often on this connection
        self._confirms: dict[int, tuple[trio.Event, list[bool]]] = {}
        self._returned: set[str] = set()  # ids of messages that no queue took
        self._in_hand: dict[int, Delivery] = {}

    def told(self, event: Event) -> None:
        protocol = self._session.protocol
        name = self.binding.name
        match event:
            case Opened():
                self._channel = protocol.open_channel()
            case ChannelOpened(channel=channel):
                protocol.select_confirms(channel)
            case Done(method="Confirm.Select"):
                self.ready = True
                self.meter.connections += 1
            case Done(method="Basic.Cancel"):
                self._leaving = False
                if self._taking:
                    self._subscribe()
            case Counted(messages=messages, consumers=consumers):
                self._consuming.counted(messages, consumers, self._taking, trio.current_time())
            case Delivery():
                self._in_hand[event.tag] = event
                self.meter.in_hand += 1
                self._nursery.start_soon(self._take, self, event)
            case Confirmed(tags=tags, good=good):
                for tag in tags:
                    if (waiting := self._confirms.pop(tag, None)) is not None:
                        waiting[1].append(good)
                        waiting[0].set()
            case Returned(code=code, text=text, routing_key=key, properties=properties):
                # Its confirm follows, which only says that the broker has dealt with it.
                self._returned.add(str(properties.message_id))
                log.warning("%s: nobody takes what goes to %r: %d %s", name, key, code, text)
            case ChannelClosed(code=code, text=text):
                log.warning("%s: the broker closed the channel: %d %s", name, code, text)
                self._give_up()
            case ConsumerCancelled():
                log.warning("%s: the broker no longer serves %s", name, self.binding.queue)
                self._give_up()
            case Closed():
                self.ready = False
                self.meter.window = 0
                for tag in list(self._in_hand):
                    self._done(tag)
                for done, _ in self._confirms.values():
                    done.set()

    def _give_up(self) -> None:
        """The channel is of no use any more; a new connection begins anew."""
        self.ready = False
        self._session.protocol.close()

    # -- taking ----------------------------------------------------------------------------

    def follow(self, takes: bool) -> None:
        """Subscribes or stops, as is wanted now, and asks for as much as the window says. A
        new prefetch counts for new consumers only, so for larger steps we subscribe anew."""
        if not self.ready or self._leaving:
            return
        size = self.window.size
        grown = size >= 2 * self._asked or size == self.binding.prefetch
        resize = self._taking and size != self._asked and (grown or 2 * size <= self._asked)
        try:
            if takes and not self._taking:
                self._taking = True
                log.info("%s: taking from %s", self.binding.name, self.binding.queue)
                self._subscribe()
            elif self._taking and (resize or not takes):
                if not takes:
                    self._taking = False
                    self.meter.window = 0
                    log.info("%s: another takes from %s", self.binding.name, self.binding.queue)
                self._leaving = True
                self._session.protocol.cancel(self._channel, self._consumer)
        except Misuse:
            return
        self._session.flush()

    def count(self) -> None:
        """Asks the broker for messages and consumers of the queue."""
        if self.ready:
            try:
                self._session.protocol.declare(self._channel, self.binding.queue, passive=True)
            except Misuse:
                return
            self._session.flush()

    def _subscribe(self) -> None:
        self._asked = self.meter.window = self.window.size
        self._subscribed += 1
        protocol = self._session.protocol
        protocol.prefetch(self._channel, self._asked)
        protocol.consume(self._channel, self.binding.queue, self._consumer)
        self._session.flush()

    @property
    def _consumer(self) -> str:
        return f"ryegauge-{self.binding.name}-{self._subscribed}"

    def _done(self, tag: int) -> None:
        if self._in_hand.pop(tag, None) is not None:
            self.meter.in_hand -= 1

    def settle(self, delivery: Delivery, *, reject: bool = False, requeue: bool = False) -> None:
        """The broker may forget the message, or (`requeue`) give it to another. On a
        connection that has ended it is too late: it comes again."""
        if self._in_hand.get(delivery.tag) is not delivery:
            return
        self._done(delivery.tag)
        try:
            if reject or requeue:
                self._session.protocol.reject(delivery.channel, delivery.tag, requeue=requeue)
            else:
                self._session.protocol.ack(delivery.channel, delivery.tag)
        except Misuse:
            return
        self._session.flush()

    # -- publishing ------------------------------------------------------------------------

    async def publish(
        self, exchange: str, key: str, body: bytes, properties: Basic.Properties
    ) -> bool | None:
        """Whether the broker has confirmed it; if not, it may have it all the same. None: it
        has, and no queue takes what goes there."""
        if not self.ready:
            return False
        try:
            tag = self._session.protocol.publish(self._channel, exchange, key, body, properties)
        except Misuse:
            return False
        name = str(properties.message_id)
        self._returned.discard(name)
        done, good = trio.Event(), list[bool]()
        self._confirms[tag] = (done, good)
        self._session.flush()
        await done.wait()
        if name in self._returned:
            self._returned.discard(name)
            return None
        return good == [True]
