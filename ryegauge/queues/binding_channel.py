"""One binding on one connection to a broker: consuming, settling and publishing messages.

All work in progress ends with the connection.
"""

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
    Delivery,
    Done,
    Event,
    InvalidStateError,
    Opened,
    QueueCounts,
    Returned,
)
from ryegauge.queues.admission import PrefetchWindow
from ryegauge.queues.bindings import Binding
from ryegauge.queues.consumer_election import ConsumerElection
from ryegauge.queues.meter import Meter

log = logging.getLogger(__name__)


class BindingChannel:
    """The AMQP channel of a binding. `handle_delivery` runs in `nursery`, once per delivery."""

    def __init__(
        self,
        binding: Binding,
        session: Session,
        nursery: trio.Nursery,
        handle_delivery: Callable[["BindingChannel", Delivery], Awaitable[None]],
        election: ConsumerElection,
        meter: Meter,
    ) -> None:
        self.binding = binding
        self.meter = meter
        self.window = PrefetchWindow(binding.prefetch)
        self.ready = False  # can subscribe and publish
        self._session = session
        self._nursery = nursery
        self._handle_delivery = handle_delivery
        self._election = election
        self._channel = 0
        self._subscribed = False  # subscribed, or about to be
        self._cancelling = False  # a subscription is cancelled, the broker's answer is pending
        self._prefetch = 0  # of the present subscription
        self._subscription_count = 0  # on this connection
        self._pending_confirms: dict[int, tuple[trio.Event, list[bool]]] = {}
        self._returned_ids: set[str] = set()  # ids of unroutable messages
        self._in_hand: dict[int, Delivery] = {}

    def on_event(self, event: Event) -> None:
        """Handles an event of the connection."""
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
                self._cancelling = False
                if self._subscribed:
                    self._subscribe()
            case QueueCounts(messages=messages, consumers=consumers):
                self._election.on_counts(messages, consumers, self._subscribed, trio.current_time())
            case Delivery():
                self._in_hand[event.tag] = event
                self.meter.in_hand += 1
                self._nursery.start_soon(self._handle_delivery, self, event)
            case Confirmed(tags=tags, acknowledged=acknowledged):
                for tag in tags:
                    if (pending := self._pending_confirms.pop(tag, None)) is not None:
                        pending[1].append(acknowledged)
                        pending[0].set()
            case Returned(code=code, text=text, routing_key=key, properties=properties):
                # A confirm follows, which only means that the broker has processed the message.
                self._returned_ids.add(str(properties.message_id))
                log.warning("%s: message to %r is unroutable: %d %s", name, key, code, text)
            case ChannelClosed(code=code, text=text):
                log.warning("%s: the broker closed the channel: %d %s", name, code, text)
                self._abandon()
            case ConsumerCancelled():
                log.warning("%s: the broker cancelled the consumer of %s", name, self.binding.queue)
                self._abandon()
            case Closed():
                self.ready = False
                self.meter.window = 0
                for tag in list(self._in_hand):
                    self._remove_delivery(tag)
                for done, _ in self._pending_confirms.values():
                    done.set()

    def _abandon(self) -> None:
        """Closes the connection, since the channel is unusable; a new connection replaces it."""
        self.ready = False
        self._session.protocol.close()

    # -- consuming -------------------------------------------------------------------------

    def update_subscription(self, consume_now: bool) -> None:
        """Subscribes or unsubscribes, and follows the prefetch window.

        A new prefetch count applies to new consumers only. The subscription is therefore renewed
        once the window has halved or doubled, or is back at its full size; until then smaller
        changes are not applied."""
        if not self.ready or self._cancelling:
            return
        size = self.window.size
        grown = size >= 2 * self._prefetch or size == self.binding.prefetch
        resize = (
            self._subscribed and size != self._prefetch and (grown or 2 * size <= self._prefetch)
        )
        try:
            if consume_now and not self._subscribed:
                self._subscribed = True
                log.info("%s: consuming from %s", self.binding.name, self.binding.queue)
                self._subscribe()
            elif self._subscribed and (resize or not consume_now):
                if not consume_now:
                    self._subscribed = False
                    self.meter.window = 0
                    log.info("%s: stopped consuming from %s", self.binding.name, self.binding.queue)
                self._cancelling = True
                self._session.protocol.cancel(self._channel, self._consumer_tag)
        except InvalidStateError:
            return
        self._session.flush()

    def request_counts(self) -> None:
        """Asks the broker how many messages and consumers the queue has."""
        if self.ready:
            try:
                self._session.protocol.declare(self._channel, self.binding.queue, passive=True)
            except InvalidStateError:
                return
            self._session.flush()

    def _subscribe(self) -> None:
        self._prefetch = self.meter.window = self.window.size
        self._subscription_count += 1
        protocol = self._session.protocol
        protocol.prefetch(self._channel, self._prefetch)
        protocol.consume(self._channel, self.binding.queue, self._consumer_tag)
        self._session.flush()

    @property
    def _consumer_tag(self) -> str:
        return f"ryegauge-{self.binding.name}-{self._subscription_count}"

    def _remove_delivery(self, tag: int) -> None:
        if self._in_hand.pop(tag, None) is not None:
            self.meter.in_hand -= 1

    def settle(self, delivery: Delivery, *, reject: bool = False, requeue: bool = False) -> None:
        """Acknowledges the message, rejects it, or requeues it for another consumer. No effect
        after the connection has ended: the broker redelivers the message then."""
        if self._in_hand.get(delivery.tag) is not delivery:
            return
        self._remove_delivery(delivery.tag)
        try:
            if reject or requeue:
                self._session.protocol.reject(delivery.channel, delivery.tag, requeue=requeue)
            else:
                self._session.protocol.ack(delivery.channel, delivery.tag)
        except InvalidStateError:
            return
        self._session.flush()

    # -- publishing ------------------------------------------------------------------------

    async def publish(
        self, exchange: str, key: str, body: bytes, properties: Basic.Properties
    ) -> bool | None:
        """Publishes a message and waits for its confirm.

        Returns True if the broker confirmed it, None if it confirmed it but no queue accepts it,
        False if there was no confirm: the broker may have the message nevertheless.
        """
        if not self.ready:
            return False
        try:
            tag = self._session.protocol.publish(self._channel, exchange, key, body, properties)
        except InvalidStateError:
            return False
        name = str(properties.message_id)
        self._returned_ids.discard(name)
        done, results = trio.Event(), list[bool]()
        self._pending_confirms[tag] = (done, results)
        self._session.flush()
        await done.wait()
        if name in self._returned_ids:
            self._returned_ids.discard(name)
            return None
        return results == [True]
