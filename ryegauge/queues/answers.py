"""Answers that are owed for messages whose jobs are over. Whoever leads gives them.

A debt is a record beside its job (`r/q/JOB`); it goes once the broker has confirmed the answer,
or by a stated rule: a debt whose binding is no longer configured, or whose answers no queue
takes, is dropped when it is `keep_answers_s` old. The job and its outcome are kept for good.
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
from ryegauge.queues.meter import Meter
from ryegauge.queues.serving import Serving

log = logging.getLogger(__name__)

PERSISTENT = 2  # delivery mode
# A debt that could not be paid is tried again after a report, then twice that, and so on up
# to so many reports.
MOST_REPORTS = 32.0


class Answers:
    def __init__(
        self,
        context: NodeContext,
        serving: Mapping[str, Serving],
        meters: Mapping[str, Meter],
        keep_s: float,
    ) -> None:
        self._context = context
        self._serving = serving
        self._meters = meters
        self._keep_s = keep_s
        self._under_way: set[str] = set()
        self._paid: set[str] = set()  # confirmed, and the debt still to be deleted
        self._later: dict[str, tuple[float, float]] = {}  # job -> (not before, pause)

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(self._context.report_s / 4)
                leader = self._context.leading()
                if leader is None:
                    continue
                now = trio.current_time()
                pending_replies = self._context.replica.pending_replies
                self._paid &= pending_replies.keys()
                self._later = {u: later for u, later in self._later.items() if u in pending_replies}
                for uid, (debt, _) in list(pending_replies.items()):
                    if uid in self._under_way or self._later.get(uid, (0.0, 0.0))[0] > now:
                        continue
                    serving = self._serving.get(debt["b"])
                    if debt["b"] in self._meters and (serving is None or not serving.ready):
                        continue  # its broker is away
                    self._under_way.add(uid)
                    nursery.start_soon(self._pay, leader, serving, uid)

    async def _pay(self, leader: Leader, serving: Serving | None, uid: str) -> None:
        try:
            if (final := await self._final(uid)) is None:
                return
            entry = self._context.replica.pending_replies.get(uid)
            if entry is None:
                return
            debt, version = entry
            status, done = final
            paid: bool | None = uid in self._paid
            if serving is None and not paid:
                paid = None
            elif serving is not None and not paid:
                paid = await self._tell(serving, uid, debt, status, done)
            if paid is None:
                if not self._is_old(debt):
                    self._put_off(uid)
                    return
                log.warning("%s: its answer to %r is given up: nobody takes it", uid, debt["r"])
            if paid is False:
                return
            if paid:
                # While the state service is away it is not told again and again.
                self._paid.add(uid)
            guards = {LEADER_KEY: leader.token, pending_reply_key(uid): version}
            await self._context.state.commit(
                guards, [Delete(pending_reply_key(uid))], timeout_s=1.0
            )
            if serving is not None:
                serving.meter.answers[status if paid else "undeliverable"] += 1
            await self._context.syncer.wait_for_read()
        except RETRYABLE_ERRORS as error:
            log.debug("%s: answering again later: %s", uid, error)
        finally:
            self._under_way.discard(uid)

    async def _tell(
        self, serving: Serving, uid: str, debt: dict[str, str], status: str, done: int
    ) -> bool | None:
        body = msgspec.json.encode({"uid": uid, "status": status, "done": done})
        properties = Basic.Properties(
            content_type="application/json",
            delivery_mode=PERSISTENT,
            message_id=f"{uid}/{status}",
            headers={"x-ryegauge-message": debt["m"]},
            correlation_id=debt.get("c") or debt["m"].removeprefix("id:"),
        )
        return await serving.publish(serving.binding.reply_exchange, debt["r"], body, properties)

    def _is_old(self, debt: dict[str, object]) -> bool:
        """Debts of versions before carry no date; they count from when they are first seen to
        be unpayable."""
        at = debt.get("t")
        if not isinstance(at, int | float):
            at = debt["t"] = self._context.wall()
        return self._context.wall() - float(at) > self._keep_s

    def _put_off(self, uid: str) -> None:
        _, pause_s = self._later.get(uid, (0.0, 0.0))
        report_s = self._context.report_s
        pause_s = min(max(report_s, 2 * pause_s), MOST_REPORTS * report_s)
        self._later[uid] = (trio.current_time() + pause_s, pause_s)

    async def _final(self, uid: str) -> tuple[str, int] | None:
        """How the job has ended, durably; None while it has not."""
        replica = self._context.replica
        if (job := replica.jobs.get(uid)) is not None:
            return (job.status, job.done_count) if job.is_terminal else None
        if (restored_outcomes := replica.restored_outcomes.get(uid)) is not None:
            return restored_outcomes  # put back after a loss: it has no record of its own
        found = await self._context.state.get(archive_key(uid), timeout_s=1.0)
        return None if found is None else (found[0]["st"], found[0]["d"])
