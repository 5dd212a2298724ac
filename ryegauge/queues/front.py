"""Consumes the configured queues: turns their messages into jobs (`answers` publishes replies).

All bindings of a broker are consumed by one controller (`consumer_election`). The order of the
steps is that of `lifecycle`. Durable are the job, the pending reply next to it, and what the
brokers keep; all state in memory may be lost at any moment.
"""

import logging
import random
from collections import Counter
from collections.abc import Awaitable, Callable

import trio
from pamqp.commands import Basic

from ryegauge.amqp.client import Connect, Session, connect_tcp, keep_connected
from ryegauge.amqp.connection import Delivery, Event
from ryegauge.bookkeeping.budget import RESERVE_DEFAULT
from ryegauge.bookkeeping.state import Gone, OutcomeUnknown, Put, Unavailable
from ryegauge.bookkeeping.state_replica import pending_reply_key, value_bytes
from ryegauge.coordination.job_api import JobApi
from ryegauge.coordination.leader_loops import JOBS_PER_MB
from ryegauge.coordination.node_context import NodeContext
from ryegauge.protocol.jobs import JobSpec
from ryegauge.queues.admission import AdaptiveRateLimiter, AdmissionGate
from ryegauge.queues.answers import PERSISTENT, Answers
from ryegauge.queues.binding_channel import BindingChannel
from ryegauge.queues.bindings import Binding, Queues
from ryegauge.queues.consumer_election import ConsumerElection
from ryegauge.queues.lifecycle import CONSUME_STEPS
from ryegauge.queues.messages import Cancellation, Never, Submission, read
from ryegauge.queues.meter import Meter
from ryegauge.transport.http import Reply

log = logging.getLogger(__name__)

# Queues stop recording when the state replica holds this share of the jobs that it may hold.
MAX_QUEUE_JOBS_SHARE = 0.5


class QueueService:
    """Serves all bindings in one controller. `meters` is filled by binding name."""

    def __init__(
        self,
        context: NodeContext,
        api: JobApi,
        queues: Queues,
        rng: random.Random,
        connect: Connect = connect_tcp,
        meters: dict[str, Meter] | None = None,
    ) -> None:
        self._context = context
        self._job_api = api
        self._queues = queues
        self._rng = rng
        self._connect = connect
        self._channels: dict[str, BindingChannel] = {}
        self.meters = {} if meters is None else meters
        self._elections: dict[str, ConsumerElection] = {}
        for binding in queues.bindings:
            self.meters.setdefault(binding.name, Meter())
            brokers = " ".join(sorted(broker.url for broker in binding.brokers))
            self._elections[binding.name] = ConsumerElection(
                context.settings.node_name, brokers, context.settings.controller_lease_s
            )
        self._reply_publisher = Answers(context, self._channels, self.meters, queues.keep_answers_s)
        # A refused call is repeated after half a report interval, then after pauses that double
        # up to eight times that.
        self._min_pause_s = context.report_s / 2
        # How long a message waits for messages that it needs and that are not recorded yet. Also
        # how long a message is tried that cannot be recorded, before it is requeued for other
        # controllers.
        shared = context.settings.settings
        self._max_wait_s = 4 * shared.workers.lease_s
        self._gate = AdmissionGate(
            {b.name: b.weight for b in queues.bindings},
            context.settings.state_limits.txn_ops,
            self._may_enqueue,
            self._may_admit_next,
            context.report_s / 20,
        )
        self._rate_limiter = AdaptiveRateLimiter(
            context.settings.state_limits.write_rps / 2, trio.current_time()
        )
        self._max_replica_jobs = MAX_QUEUE_JOBS_SHARE * JOBS_PER_MB * shared.quota.memory_mb
        self._limits = {b.name: (b.team, b.job_class, b.open_jobs) for b in queues.bindings}
        self._open_jobs: Counter[tuple[str, str]] = Counter()
        self._counted_at = float("-inf")

    async def run(self) -> None:
        """Serves all bindings and publishes pending replies, until cancelled."""
        async with trio.open_nursery() as nursery:
            for binding in self._queues.bindings:
                nursery.start_soon(self._serve, binding)
            nursery.start_soon(self._reply_publisher.run)
            nursery.start_soon(self._update_consumers)

    async def _serve(self, binding: Binding) -> None:
        async with trio.open_nursery() as nursery:

            def serve(session: Session) -> Callable[[Event], None]:
                channel = BindingChannel(
                    binding,
                    session,
                    nursery,
                    self._handle_delivery,
                    self._elections[binding.name],
                    self.meters[binding.name],
                )
                self._channels[binding.name] = channel
                return channel.on_event

            await keep_connected(binding.brokers, serve, self._rng, self._connect)

    async def _update_consumers(self) -> None:
        """Subscribes and unsubscribes by the elections and adjusts prefetch counts. Requests the
        brokers' queue counts twice per controller lease."""
        counted_at = float("-inf")
        while True:
            await trio.sleep(self._min_pause_s / 2)
            now = trio.current_time()
            counts_due = now > counted_at + self._context.settings.controller_lease_s / 2
            if counts_due:
                counted_at = now
            live = self._context.replica.nodes
            for name, channel in self._channels.items():
                if counts_due and len(live) > 1:
                    channel.request_counts()
                channel.update_subscription(self._elections[name].should_consume(live, now))

    def _may_admit_next(self) -> bool:
        """Direct submissions take precedence: they get the write capacity while it is scarce."""
        state = self._context.state
        return state.writes.available(RESERVE_DEFAULT) > 0 and self._rate_limiter.try_acquire(
            state.rate_limited_writes, trio.current_time()
        )

    def _may_enqueue(self, binding: str) -> bool:
        """Keeps a queue from filling up the state replica or its team's limit; the remaining
        messages wait at the broker."""
        replica, now = self._context.replica, trio.current_time()
        if len(replica.live) + len(replica.waiting) >= self._max_replica_jobs:
            return False
        if now > self._counted_at + self._context.report_s / 4:
            self._counted_at = now
            self._open_jobs = Counter(
                (job.spec.team, job.spec.job_class)
                for job in replica.live.values()
                if not job.is_terminal
            )
        team, job_class, max_open_jobs = self._limits[binding]
        if self._open_jobs[team, job_class] >= max_open_jobs:
            return False
        self._open_jobs[team, job_class] += 1  # counted here until the next recount
        return True

    # -- message processing ----------------------------------------------------------------

    async def _handle_delivery(self, channel: BindingChannel, delivery: Delivery) -> None:
        started_at = trio.current_time()
        meter = channel.meter
        parsed = read(channel.binding, delivery.properties, delivery.body)
        match parsed:
            case Never(identity=identity, reason=reason):
                await self._dead_letter(channel, delivery, identity, reason)
            case Cancellation(identity=identity, uid=uid):
                reply = await self._call_until_final(channel, lambda: self._job_api.cancel(uid))
                if reply is None:
                    channel.settle(delivery, requeue=True)
                elif reply.status == 200:
                    meter.fates["cancelled"] += 1
                    channel.settle(delivery)
                else:
                    await self._dead_letter(channel, delivery, identity, "cancel: no such message")
            case Submission(identity=identity, spec=spec):
                await self._submit(channel, delivery, identity, spec)
        meter.settled += 1
        meter.record_s += trio.current_time() - started_at

    async def _submit(
        self, channel: BindingChannel, delivery: Delivery, identity: str, spec: JobSpec
    ) -> None:
        pending_reply = self._pending_reply(
            channel.binding, delivery.properties, identity, spec.uid
        )
        if (
            value_bytes([put.value for put in pending_reply])
            > self._context.settings.state_limits.value_bytes
        ):
            await self._dead_letter(channel, delivery, identity, "message_id or reply_to: too long")
            return
        acknowledged = False
        for step in CONSUME_STEPS[channel.binding.delivery]:
            if step == "ack":
                channel.settle(delivery)
                acknowledged = True
                continue
            reply = await self._call_until_final(
                channel,
                lambda: self._job_api.submit(spec, pending_reply),
                # A needed message may be at another consumer and not recorded yet.
                unknown_needs_s=self._max_wait_s if spec.needs else 0.0,
                may_requeue=not acknowledged,
            )
            if reply is None:
                channel.meter.fates["requeued"] += 1
                channel.settle(delivery, requeue=True)
                return
            if reply.status in (400, 422):
                error = reply.body.get("error", "") if isinstance(reply.body, dict) else ""
                await self._dead_letter(channel, delivery, identity, error)
                return
            if (known := self._context.replica.jobs.get(spec.uid)) is not None and (
                known.spec.team,
                known.spec.job_class,
            ) != (spec.team, spec.job_class):
                await self._dead_letter(channel, delivery, identity, "another job has its name")
                return
            channel.meter.fates["recorded" if reply.status == 201 else "known"] += 1

    def _pending_reply(
        self, binding: Binding, properties: Basic.Properties, identity: str, uid: str
    ) -> tuple[Put, ...]:
        """The record to be written with the job, if the message asks for a reply."""
        if not properties.reply_to:
            return ()
        record: dict[str, object] = {
            "b": binding.name,
            "m": identity,
            "r": properties.reply_to,
            "t": round(self._context.wall(), 3),
        }
        if properties.correlation_id:
            record["c"] = properties.correlation_id
        return (Put(pending_reply_key(uid), record),)

    async def _call_until_final(
        self,
        channel: BindingChannel,
        call: Callable[[], Awaitable[Reply]],
        unknown_needs_s: float = 0.0,
        may_requeue: bool = True,
    ) -> Reply | None:
        """Repeats the call until its reply is final. 422 is final only after `unknown_needs_s`.

        The message stays unacknowledged meanwhile, and the broker delivers no more than the
        prefetch window, so that memory stays bounded. Returns None after too many seconds without
        a final reply: the message should be requeued for a controller that may reach the state
        service. A message that was acknowledged already (`may_requeue` is false) exists nowhere
        else and is tried without a time limit.
        """
        started_at = trio.current_time()
        pause_s = self._min_pause_s
        while True:
            after_s = 0.0
            refused = True
            try:
                async with self._gate.admission(channel.binding.name):
                    reply = await call()
                unknown_need = (
                    reply.status == 422 and trio.current_time() < started_at + unknown_needs_s
                )
                refused = reply.status in (429, 503)
                if not refused and not unknown_need:
                    channel.window.on_recorded()
                    return reply
                after_s = reply.retry_after_s or 0.0
            except (Unavailable, OutcomeUnknown, Gone) as error:
                log.debug("state service unavailable, will retry the message: %s", error)
            if refused:
                channel.meter.retries += 1
                channel.window.on_refused()
                if (
                    may_requeue
                    and trio.current_time() > started_at + unknown_needs_s + self._max_wait_s
                ):
                    return None
            await trio.sleep(max(after_s, pause_s * self._rng.uniform(0.75, 1.25)))
            pause_s = min(2 * pause_s, 8 * self._min_pause_s)

    async def _dead_letter(
        self, channel: BindingChannel, delivery: Delivery, identity: str, reason: str
    ) -> None:
        """Publishes the message to the dead-letter exchange with the reason, and removes it from
        its queue once that is confirmed. Without an exchange the message is rejected."""
        binding = channel.binding
        log.info("%s: dead-lettering %s: %s", binding.name, identity, reason)
        channel.meter.fates["refused"] += 1
        if not binding.dead_letter_exchange:
            channel.settle(delivery, reject=True)
            return
        headers = dict(delivery.properties.headers or {})
        headers |= {"x-ryegauge-reason": reason[:500], "x-ryegauge-binding": binding.name}
        properties = Basic.Properties(
            content_type=delivery.properties.content_type,
            content_encoding=delivery.properties.content_encoding,
            headers=headers,
            delivery_mode=PERSISTENT,
            message_id=delivery.properties.message_id,
            correlation_id=delivery.properties.correlation_id,
        )
        confirmed = await channel.publish(
            binding.dead_letter_exchange, delivery.routing_key, delivery.body, properties
        )
        if confirmed is None:
            # The broker has dropped it: only the log lines remain.
            log.warning("%s: %s: dead letter unroutable, dropped", binding.name, identity)
        if confirmed is not False:
            channel.settle(delivery)


def front_of(
    queues: Queues,
    rng: random.Random,
    connect: Connect = connect_tcp,
    meters: dict[str, Meter] | None = None,
) -> Callable[[NodeContext, JobApi], Awaitable[None]]:
    """Returns the task that a controller runs in addition to its own loops."""

    async def run(context: NodeContext, api: JobApi) -> None:
        await QueueService(context, api, queues, rng, connect, meters).run()

    return run
