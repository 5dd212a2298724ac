"""Serves the queues that are bound: messages become jobs (`answers` gives their ends).

Of all bindings of a broker one controller takes the messages (`consuming`). The order of steps
is that of `lifecycle`; what is durable is the job, the debt beside it, and what the brokers
keep. All that is held here in memory may be lost at any moment.
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
from ryegauge.queues.admission import Gate, Pace
from ryegauge.queues.answers import PERSISTENT, Answers
from ryegauge.queues.bindings import Binding, Queues
from ryegauge.queues.consuming import Consuming
from ryegauge.queues.lifecycle import TAKE
from ryegauge.queues.messages import Cancellation, Never, Submission, read
from ryegauge.queues.meter import Meter
from ryegauge.queues.serving import Serving
from ryegauge.transport.http import Reply

log = logging.getLogger(__name__)

# Of the jobs that a controller's book may hold, those that queues may fill.
QUEUES_SHARE = 0.5


class QueueFront:
    def __init__(
        self,
        context: NodeContext,
        front: JobApi,
        queues: Queues,
        rng: random.Random,
        connect: Connect = connect_tcp,
        meters: dict[str, Meter] | None = None,
    ) -> None:
        self._context = context
        self._front = front
        self._queues = queues
        self._rng = rng
        self._connect = connect
        self._serving: dict[str, Serving] = {}
        self.meters = {} if meters is None else meters
        self._consuming: dict[str, Consuming] = {}
        for binding in queues.bindings:
            self.meters.setdefault(binding.name, Meter())
            brokers = " ".join(sorted(broker.url for broker in binding.brokers))
            self._consuming[binding.name] = Consuming(
                context.settings.node_name, brokers, context.settings.controller_lease_s
            )
        self._answers = Answers(context, self._serving, self.meters, queues.keep_answers_s)
        # A refused submission is tried again after half a report, then after twice that, ...
        self._least_pause_s = context.report_s / 2
        # One that names a message not yet recorded waits so long for it; one that can't be
        # recorded goes back for others after as long.
        shared = context.settings.settings
        self._needs_s = 4 * shared.workers.lease_s
        self._gate = Gate(
            {b.name: b.weight for b in queues.bindings},
            context.settings.state_limits.txn_ops,
            self._has_room,
            self._next_may,
            context.report_s / 20,
        )
        self._pace = Pace(context.settings.state_limits.write_rps / 2, trio.current_time())
        self._jobs_most = QUEUES_SHARE * JOBS_PER_MB * shared.quota.memory_mb
        self._limits = {b.name: (b.team, b.job_class, b.open_jobs) for b in queues.bindings}
        self._open_jobs: Counter[tuple[str, str]] = Counter()
        self._counted_at = float("-inf")

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            for binding in self._queues.bindings:
                nursery.start_soon(self._serve, binding)
            nursery.start_soon(self._answers.run)
            nursery.start_soon(self._follow)

    async def _serve(self, binding: Binding) -> None:
        async with trio.open_nursery() as nursery:

            def serve(session: Session) -> Callable[[Event], None]:
                serving = Serving(
                    binding,
                    session,
                    nursery,
                    self._take,
                    self._consuming[binding.name],
                    self.meters[binding.name],
                )
                self._serving[binding.name] = serving
                return serving.told

            await keep_connected(binding.brokers, serve, self._rng, self._connect)

    async def _follow(self) -> None:
        """Who takes, and how much at once. The broker's counts are asked for twice a term."""
        asked_at = float("-inf")
        while True:
            await trio.sleep(self._least_pause_s / 2)
            now = trio.current_time()
            ask = now > asked_at + self._context.settings.controller_lease_s / 2
            if ask:
                asked_at = now
            live = self._context.replica.nodes
            for name, serving in self._serving.items():
                if ask and len(live) > 1:
                    serving.count()
                serving.follow(self._consuming[name].takes(live, now))

    def _next_may(self) -> bool:
        """Users who submit directly go first: to them belongs what of the changes is scarce."""
        state = self._context.state
        return state.writes.available(RESERVE_DEFAULT) > 0 and self._pace.take(
            state.rate_limited_writes, trio.current_time()
        )

    def _has_room(self, binding: str) -> bool:
        """A queue fills neither the book nor its team's part of it: what is left waits at
        the broker."""
        replica, now = self._context.replica, trio.current_time()
        if len(replica.live) + len(replica.waiting) >= self._jobs_most:
            return False
        if now > self._counted_at + self._context.report_s / 4:
            self._counted_at = now
            self._open_jobs = Counter(
                (job.spec.team, job.spec.job_class)
                for job in replica.live.values()
                if not job.is_terminal
            )
        team, job_class, most = self._limits[binding]
        if self._open_jobs[team, job_class] >= most:
            return False
        self._open_jobs[team, job_class] += 1  # until they are counted anew
        return True

    # -- from message to job ---------------------------------------------------------------

    async def _take(self, serving: Serving, delivery: Delivery) -> None:
        began = trio.current_time()
        meter = serving.meter
        meaning = read(serving.binding, delivery.properties, delivery.body)
        match meaning:
            case Never(identity=identity, reason=reason):
                await self._refuse(serving, delivery, identity, reason)
            case Cancellation(identity=identity, uid=uid):
                reply = await self._persist(serving, lambda: self._front.cancel(uid))
                if reply is None:
                    serving.settle(delivery, requeue=True)
                elif reply.status == 200:
                    meter.fates["cancelled"] += 1
                    serving.settle(delivery)
                else:
                    await self._refuse(serving, delivery, identity, "cancel: no such message")
            case Submission(identity=identity, spec=spec):
                await self._submit(serving, delivery, identity, spec)
        meter.settled += 1
        meter.record_s += trio.current_time() - began

    async def _submit(
        self, serving: Serving, delivery: Delivery, identity: str, spec: JobSpec
    ) -> None:
        debt = self._debt(serving.binding, delivery.properties, identity, spec.uid)
        if (
            value_bytes([put.value for put in debt])
            > self._context.settings.state_limits.value_bytes
        ):
            await self._refuse(serving, delivery, identity, "message_id or reply_to: too long")
            return
        acked = False
        for step in TAKE[serving.binding.delivery]:
            if step == "ack":
                serving.settle(delivery)
                acked = True
                continue
            reply = await self._persist(
                serving,
                lambda: self._front.submit(spec, debt),
                # Another consumer may have the message that it names, not yet recorded.
                unknown_s=self._needs_s if spec.needs else 0.0,
                may_requeue=not acked,
            )
            if reply is None:
                serving.meter.fates["requeued"] += 1
                serving.settle(delivery, requeue=True)
                return
            if reply.status in (400, 422):
                why = reply.body.get("error", "") if isinstance(reply.body, dict) else ""
                await self._refuse(serving, delivery, identity, why)
                return
            if (known := self._context.replica.jobs.get(spec.uid)) is not None and (
                known.spec.team,
                known.spec.job_class,
            ) != (spec.team, spec.job_class):
                await self._refuse(serving, delivery, identity, "another job has its name")
                return
            serving.meter.fates["recorded" if reply.status == 201 else "known"] += 1

    def _debt(
        self, binding: Binding, properties: Basic.Properties, identity: str, uid: str
    ) -> tuple[Put, ...]:
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

    async def _persist(
        self,
        serving: Serving,
        ask: Callable[[], Awaitable[Reply]],
        unknown_s: float = 0.0,
        may_requeue: bool = True,
    ) -> Reply | None:
        """Until it is answered for good; 422 counts as that only after `unknown_s`. The
        message stays with its broker meanwhile, and the broker gives us no more than the
        window: nothing piles up here. None: not for so long that another should try, who may
        reach the state service; what was acknowledged before (`may_requeue` false) has no other."""
        began = trio.current_time()
        pause_s = self._least_pause_s
        while True:
            after_s = 0.0
            refused = True
            try:
                async with self._gate.turn(serving.binding.name):
                    reply = await ask()
                early = reply.status == 422 and trio.current_time() < began + unknown_s
                refused = reply.status in (429, 503)
                if not refused and not early:
                    serving.window.recorded()
                    return reply
                after_s = reply.retry_after_s or 0.0
            except (Unavailable, OutcomeUnknown, Gone) as error:
                log.debug("a message has to wait: %s", error)
            if refused:
                serving.meter.retries += 1
                serving.window.refused()
                if may_requeue and trio.current_time() > began + unknown_s + self._needs_s:
                    return None
            await trio.sleep(max(after_s, pause_s * self._rng.uniform(0.75, 1.25)))
            pause_s = min(2 * pause_s, 8 * self._least_pause_s)

    async def _refuse(
        self, serving: Serving, delivery: Delivery, identity: str, reason: str
    ) -> None:
        """To the dead-letter exchange with the reason, and only then off the queue."""
        binding = serving.binding
        log.info("%s: %s can never run: %s", binding.name, identity, reason)
        serving.meter.fates["refused"] += 1
        if not binding.dead_letter_exchange:
            serving.settle(delivery, reject=True)
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
        taken = await serving.publish(
            binding.dead_letter_exchange, delivery.routing_key, delivery.body, properties
        )
        if taken is None:
            # Dropped by the broker: the log above is all that is left of it.
            log.warning("%s: %s: no queue takes dead letters", binding.name, identity)
        if taken is not False:
            serving.settle(delivery)


def front_of(
    queues: Queues,
    rng: random.Random,
    connect: Connect = connect_tcp,
    meters: dict[str, Meter] | None = None,
) -> Callable[[NodeContext, JobApi], Awaitable[None]]:
    """What a controller runs beside its own loops."""

    async def run(context: NodeContext, front: JobApi) -> None:
        await QueueFront(context, front, queues, rng, connect, meters).run()

    return run
