"""Serves the queues that are bound: messages become jobs, and their ends answers.

Every controller takes messages; whoever leads answers for all. The order of steps is that of
`lifecycle`; what is durable is the job, the debt beside it, and what the brokers keep. All
that is held here in memory may be lost at any moment.
"""

import logging
import random
from collections.abc import Awaitable, Callable

import msgspec
import trio
from pamqp.commands import Basic

from ryegauge.amqp.client import Connect, Session, connect_tcp, keep_connected
from ryegauge.amqp.connection import (
    ChannelClosed,
    ChannelOpened,
    Closed,
    Confirmed,
    ConsumerCancelled,
    Delivery,
    Done,
    Event,
    Misuse,
    Opened,
    Returned,
)
from ryegauge.bookkeeping.jobbook import debt_key, final_key, value_bytes
from ryegauge.bookkeeping.state import Delete, Gone, Put, Unavailable, Unknown
from ryegauge.coordination.desk import RETRY, Desk
from ryegauge.coordination.frontdoor import FrontDoor
from ryegauge.coordination.leader import Leader
from ryegauge.coordination.terms import LEADER_KEY
from ryegauge.protocol.jobs import JobSpec
from ryegauge.queues.bindings import Binding, Queues
from ryegauge.queues.lifecycle import TAKE
from ryegauge.queues.messages import Cancellation, Never, Submission, read
from ryegauge.transport.http import Reply

log = logging.getLogger(__name__)

PERSISTENT = 2  # delivery mode


class Serving:
    """One binding over one connection: what is under way here ends with it."""

    def __init__(self, binding: Binding, session: Session, nursery: trio.Nursery,
                 take: Callable[["Serving", Delivery], Awaitable[None]]) -> None:
        self.binding = binding
        self._session = session
        self._nursery = nursery
        self._take = take
        self._channel = 0
        self.ready = False
        self._confirms: dict[int, tuple[trio.Event, list[bool]]] = {}

    def told(self, event: Event) -> None:
        protocol = self._session.protocol
        match event:
            case Opened():
                self._channel = protocol.open_channel()
            case ChannelOpened(channel=channel):
                protocol.select_confirms(channel)
            case Done(channel=channel, method="Confirm.Select"):
                protocol.prefetch(channel, self.binding.prefetch)
                protocol.consume(channel, self.binding.queue, f"ryegauge-{self.binding.name}")
                self.ready = True
                log.info("%s: taking from %s", self.binding.name, self.binding.queue)
            case Delivery():
                self._nursery.start_soon(self._take, self, event)
            case Confirmed(tags=tags, good=good):
                for tag in tags:
                    if (waiting := self._confirms.pop(tag, None)) is not None:
                        waiting[1].append(good)
                        waiting[0].set()
            case Returned(code=code, text=text, routing_key=key):
                log.warning("%s: nobody takes what goes to %r: %d %s",
                            self.binding.name, key, code, text)
            case ChannelClosed(code=code, text=text):
                log.warning("%s: the broker closed the channel: %d %s",
                            self.binding.name, code, text)
                self.ready = False
                protocol.close()
            case ConsumerCancelled():
                log.warning("%s: the broker no longer serves %s", self.binding.name,
                            self.binding.queue)
                self.ready = False
                protocol.close()
            case Closed():
                self.ready = False
                for done, _ in self._confirms.values():
                    done.set()

    async def publish(
        self, exchange: str, key: str, body: bytes, properties: Basic.Properties
    ) -> bool:
        """Whether the broker has confirmed it; if not, it may have it all the same."""
        if not self.ready:
            return False
        try:
            tag = self._session.protocol.publish(self._channel, exchange, key, body, properties)
        except Misuse:
            return False
        done, good = trio.Event(), list[bool]()
        self._confirms[tag] = (done, good)
        self._session.flush()
        await done.wait()
        return good == [True]

    def settle(self, delivery: Delivery, *, reject: bool = False) -> None:
        """The broker may forget the message. On a connection that has ended it is too late:
        it comes again."""
        try:
            if reject:
                self._session.protocol.reject(delivery.channel, delivery.tag, requeue=False)
            else:
                self._session.protocol.ack(delivery.channel, delivery.tag)
        except Misuse:
            return
        self._session.flush()


class QueueFront:
    def __init__(
        self, desk: Desk, front: FrontDoor, queues: Queues, rng: random.Random,
        connect: Connect = connect_tcp,
    ) -> None:
        self._desk = desk
        self._front = front
        self._queues = queues
        self._rng = rng
        self._connect = connect
        self._serving: dict[str, Serving] = {}
        self._answering: set[str] = set()
        # A refused submission is tried again after a report, then after twice that, and so on.
        self._least_pause_s = desk.report_s / 2
        self._needs_s = 4 * desk.settings.settings.workers.lease_s

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            for binding in self._queues.bindings:
                nursery.start_soon(self._serve, binding)
            nursery.start_soon(self._answer_all)

    async def _serve(self, binding: Binding) -> None:
        async with trio.open_nursery() as nursery:

            def serve(session: Session) -> Callable[[Event], None]:
                serving = Serving(binding, session, nursery, self._take)
                self._serving[binding.name] = serving
                return serving.told

            await keep_connected(binding.brokers, serve, self._rng, self._connect)

    # -- from message to job ---------------------------------------------------------------

    async def _take(self, serving: Serving, delivery: Delivery) -> None:
        binding = serving.binding
        meaning = read(binding, delivery.properties, delivery.body)
        match meaning:
            case Never(identity=identity, reason=reason):
                await self._refuse(serving, delivery, identity, reason)
            case Cancellation(identity=identity, uid=uid):
                reply = await self._persist(lambda: self._front.cancel(uid))
                if reply.status == 200:
                    serving.settle(delivery)
                else:
                    await self._refuse(serving, delivery, identity, "cancel: no such message")
            case Submission(identity=identity, spec=spec):
                await self._submit(serving, delivery, identity, spec)

    async def _submit(
        self, serving: Serving, delivery: Delivery, identity: str, spec: JobSpec
    ) -> None:
        debt = self._debt(serving.binding, delivery.properties, identity, spec.uid)
        if value_bytes([put.value for put in debt]) > self._desk.settings.state_limits.value_bytes:
            await self._refuse(serving, delivery, identity, "message_id or reply_to: too long")
            return
        reply = Reply(0)
        for step in TAKE[serving.binding.delivery]:
            if step == "ack":
                serving.settle(delivery)
            else:
                reply = await self._persist(
                    lambda: self._front.submit(spec, debt),
                    # Another consumer may have the message that it names, not yet recorded.
                    unknown_s=self._needs_s if spec.needs else 0.0,
                )
                if reply.status in (400, 422):
                    why = reply.body.get("error", "") if isinstance(reply.body, dict) else ""
                    await self._refuse(serving, delivery, identity, why)
                    return
                if (known := self._desk.book.jobs.get(spec.uid)) is not None and (
                    known.spec.team, known.spec.job_class
                ) != (spec.team, spec.job_class):
                    await self._refuse(serving, delivery, identity, "another job has its name")
                    return

    def _debt(
        self, binding: Binding, properties: Basic.Properties, identity: str, uid: str
    ) -> tuple[Put, ...]:
        if not properties.reply_to:
            return ()
        record = {"b": binding.name, "m": identity, "r": properties.reply_to}
        if properties.correlation_id:
            record["c"] = properties.correlation_id
        return (Put(debt_key(uid), record),)

    async def _persist(
        self, ask: Callable[[], Awaitable[Reply]], unknown_s: float = 0.0
    ) -> Reply:
        """Until it is answered for good; 422 counts as that only after `unknown_s`. The
        message stays with its broker meanwhile, and the broker gives us no more than the
        prefetch limit: nothing piles up here."""
        until = trio.current_time() + unknown_s
        pause_s = self._least_pause_s
        while True:
            after_s = 0.0
            try:
                reply = await ask()
                early = reply.status == 422 and trio.current_time() < until
                if reply.status not in (429, 503) and not early:
                    return reply
                after_s = reply.retry_after_s or 0.0
            except (Unavailable, Unknown, Gone) as error:
                log.debug("a message has to wait: %s", error)
            await trio.sleep(max(after_s, pause_s * self._rng.uniform(0.75, 1.25)))
            pause_s = min(2 * pause_s, 8 * self._least_pause_s)

    async def _refuse(
        self, serving: Serving, delivery: Delivery, identity: str, reason: str
    ) -> None:
        """To the dead-letter exchange with the reason, and only then off the queue."""
        binding = serving.binding
        log.info("%s: %s can never run: %s", binding.name, identity, reason)
        if not binding.dead_letter_exchange:
            serving.settle(delivery, reject=True)
            return
        headers = dict(delivery.properties.headers or {})
        headers |= {"x-ryegauge-reason": reason[:500], "x-ryegauge-binding": binding.name}
        properties = Basic.Properties(
            content_type=delivery.properties.content_type,
            content_encoding=delivery.properties.content_encoding, headers=headers,
            delivery_mode=PERSISTENT, message_id=delivery.properties.message_id,
            correlation_id=delivery.properties.correlation_id,
        )
        if await serving.publish(
            binding.dead_letter_exchange, delivery.routing_key, delivery.body, properties
        ):
            serving.settle(delivery)

    # -- from the end of a job to its answer -------------------------------------------------

    async def _answer_all(self) -> None:
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(self._desk.report_s / 4)
                leader = self._desk.leading()
                if leader is None:
                    continue
                for uid, (debt, _) in list(self._desk.book.debts.items()):
                    serving = self._serving.get(debt["b"])
                    if uid not in self._answering and serving is not None and serving.ready:
                        self._answering.add(uid)
                        nursery.start_soon(self._answer, leader, serving, uid)

    async def _answer(self, leader: Leader, serving: Serving, uid: str) -> None:
        try:
            if (final := await self._final(uid)) is None:
                return
            entry = self._desk.book.debts.get(uid)
            if entry is None:
                return
            debt, version = entry
            status, done = final
            body = msgspec.json.encode({"uid": uid, "status": status, "done": done})
            properties = Basic.Properties(
                content_type="application/json", delivery_mode=PERSISTENT,
                message_id=f"{uid}/{status}", headers={"x-ryegauge-message": debt["m"]},
                correlation_id=debt.get("c") or debt["m"].removeprefix("id:"),
            )
            exchange = serving.binding.reply_exchange
            if not await serving.publish(exchange, debt["r"], body, properties):
                return
            guards = {LEADER_KEY: leader.token, debt_key(uid): version}
            await self._desk.state.commit(guards, [Delete(debt_key(uid))], timeout_s=1.0)
            await self._desk.syncer.fresh()
        except RETRY as error:
            log.debug("%s: answering again later: %s", uid, error)
        finally:
            self._answering.discard(uid)

    async def _final(self, uid: str) -> tuple[str, int] | None:
        """How the job has ended, durably; None while it has not."""
        book = self._desk.book
        if (job := book.jobs.get(uid)) is not None:
            return (job.status, job.done_count) if job.over else None
        found = await self._desk.state.get(final_key(uid), timeout_s=1.0)
        return None if found is None else (found[0]["st"], found[0]["d"])


def front_of(
    queues: Queues, rng: random.Random, connect: Connect = connect_tcp
) -> Callable[[Desk, FrontDoor], Awaitable[None]]:
    """What a controller runs beside its own loops."""

    async def run(desk: Desk, front: FrontDoor) -> None:
        await QueueFront(desk, front, queues, rng, connect).run()

    return run
