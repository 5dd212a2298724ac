"""Publishes the replies to messages whose jobs have ended. Runs on the leader only.

A pending reply is a record next to its job (`r/q/JOB`). It is deleted once the broker has
confirmed the reply. A pending reply whose binding is no longer configured, or whose reply is
unroutable, is dropped when it is `keep_answers_s` old. The job and its outcome are kept forever.
"""

import logging
from collections.abc import Mapping

import msgspec
import trio
from pamqp.commands import Basic

from ryegauge.bookkeeping.state import Delete
from ryegauge.bookkeeping.state_replica import archive_key, pending_reply_key
from ryegauge.coordination.leader import Leader
from ryegauge.coordination.membership import LEADER_KEY
from ryegauge.coordination.node_context import RETRYABLE_ERRORS, NodeContext
from ryegauge.queues.binding_channel import BindingChannel
from ryegauge.queues.meter import Meter

log = logging.getLogger(__name__)

PERSISTENT = 2  # AMQP delivery mode
# A reply that could not be delivered is retried after one report interval, and then after pauses
# that double up to this many report intervals.
MAX_PAUSE_REPORTS = 32.0


class Answers:
    """Publishes pending replies while this controller leads.

    `channels` and `meters` are by binding name; `max_age_s` is `keep_answers_s` of the settings.
    """

    def __init__(
        self,
        context: NodeContext,
        channels: Mapping[str, BindingChannel],
        meters: Mapping[str, Meter],
        max_age_s: float,
    ) -> None:
        self._context = context
        self._channels = channels
        self._meters = meters
        self._max_age_s = max_age_s
        self._in_progress: set[str] = set()
        self._confirmed: set[str] = set()  # confirmed by the broker, record not yet deleted
        self._backoff: dict[str, tuple[float, float]] = {}  # uid -> (retry not before, pause in s)

    async def run(self) -> None:
        """Looks for replies that are due, four times per report interval, until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(self._context.report_s / 4)
                leader = self._context.leading()
                if leader is None:
                    continue
                now = trio.current_time()
                pending_replies = self._context.replica.pending_replies
                self._confirmed &= pending_replies.keys()
                self._backoff = {
                    u: backoff for u, backoff in self._backoff.items() if u in pending_replies
                }
                for uid, (pending_reply, _) in list(pending_replies.items()):
                    if uid in self._in_progress or self._backoff.get(uid, (0.0, 0.0))[0] > now:
                        continue
                    channel = self._channels.get(pending_reply["b"])
                    if pending_reply["b"] in self._meters and (
                        channel is None or not channel.ready
                    ):
                        continue  # its broker is not connected
                    self._in_progress.add(uid)
                    nursery.start_soon(self._settle, leader, channel, uid)

    async def _settle(self, leader: Leader, channel: BindingChannel | None, uid: str) -> None:
        try:
            if (final_status := await self._final_status(uid)) is None:
                return
            entry = self._context.replica.pending_replies.get(uid)
            if entry is None:
                return
            pending_reply, version = entry
            status, done_count = final_status
            confirmed: bool | None = uid in self._confirmed
            if channel is None and not confirmed:
                confirmed = None
            elif channel is not None and not confirmed:
                confirmed = await self._publish(channel, uid, pending_reply, status, done_count)
            if confirmed is None:
                if not self._is_expired(pending_reply):
                    self._back_off(uid)
                    return
                log.warning(
                    "%s: dropping the reply to %r: undeliverable and expired",
                    uid,
                    pending_reply["r"],
                )
            if confirmed is False:
                return
            if confirmed:
                # Not published again if the record cannot be deleted: the state service may be
                # unavailable.
                self._confirmed.add(uid)
            guards = {LEADER_KEY: leader.token, pending_reply_key(uid): version}
            await self._context.state.commit(
                guards, [Delete(pending_reply_key(uid))], timeout_s=1.0
            )
            if channel is not None:
                channel.meter.answers[status if confirmed else "undeliverable"] += 1
            await self._context.syncer.wait_for_read()
        except RETRYABLE_ERRORS as error:
            log.debug("%s: will retry the reply: %s", uid, error)
        finally:
            self._in_progress.discard(uid)

    async def _publish(
        self,
        channel: BindingChannel,
        uid: str,
        pending_reply: dict[str, str],
        status: str,
        done_count: int,
    ) -> bool | None:
        """The result of `BindingChannel.publish`."""
        body = msgspec.json.encode({"uid": uid, "status": status, "done": done_count})
        properties = Basic.Properties(
            content_type="application/json",
            delivery_mode=PERSISTENT,
            message_id=f"{uid}/{status}",
            headers={"x-ryegauge-message": pending_reply["m"]},
            correlation_id=pending_reply.get("c") or pending_reply["m"].removeprefix("id:"),
        )
        return await channel.publish(
            channel.binding.reply_exchange, pending_reply["r"], body, properties
        )

    def _is_expired(self, pending_reply: dict[str, object]) -> bool:
        """Records written by earlier versions have no timestamp: their age counts from when
        they are first found to be undeliverable."""
        at = pending_reply.get("t")
        if not isinstance(at, int | float):
            at = pending_reply["t"] = self._context.wall()
        return self._context.wall() - float(at) > self._max_age_s

    def _back_off(self, uid: str) -> None:
        _, pause_s = self._backoff.get(uid, (0.0, 0.0))
        report_s = self._context.report_s
        pause_s = min(max(report_s, 2 * pause_s), MAX_PAUSE_REPORTS * report_s)
        self._backoff[uid] = (trio.current_time() + pause_s, pause_s)

    async def _final_status(self, uid: str) -> tuple[str, int] | None:
        """(status, number of done tasks) once the end of the job is durable; None before."""
        replica = self._context.replica
        if (job := replica.jobs.get(uid)) is not None:
            return (job.status, job.done_count) if job.is_terminal else None
        if (outcome := replica.restored_outcomes.get(uid)) is not None:
            return outcome  # restored after a data loss, without a record of its own
        found = await self._context.state.get(archive_key(uid), timeout_s=1.0)
        return None if found is None else (found[0]["st"], found[0]["d"])
