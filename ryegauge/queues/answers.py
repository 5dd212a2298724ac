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

from ryegauge.bookkeeping.jobbook import debt_key, final_key
from ryegauge.bookkeeping.state import Delete
from ryegauge.coordination.desk import RETRY, Desk
from ryegauge.coordination.leader import Leader
from ryegauge.coordination.terms import LEADER_KEY
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
        desk: Desk,
        serving: Mapping[str, Serving],
        meters: Mapping[str, Meter],
        keep_s: float,
    ) -> None:
        self._desk = desk
        self._serving = serving
        self._meters = meters
        self._keep_s = keep_s
        self._under_way: set[str] = set()
        self._paid: set[str] = set()  # confirmed, and the debt still to be deleted
        self._later: dict[str, tuple[float, float]] = {}  # job -> (not before, pause)

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(self._desk.report_s / 4)
                leader = self._desk.leading()
                if leader is None:
                    continue
                now = trio.current_time()
                debts = self._desk.book.debts
                self._paid &= debts.keys()
                self._later = {u: later for u, later in self._later.items() if u in debts}
                for uid, (debt, _) in list(debts.items()):
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
            entry = self._desk.book.debts.get(uid)
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
            guards = {LEADER_KEY: leader.token, debt_key(uid): version}
            await self._desk.state.commit(guards, [Delete(debt_key(uid))], timeout_s=1.0)
            if serving is not None:
                serving.meter.answers[status if paid else "undeliverable"] += 1
            await self._desk.syncer.fresh()
        except RETRY as error:
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
            at = debt["t"] = self._desk.wall()
        return self._desk.wall() - float(at) > self._keep_s

    def _put_off(self, uid: str) -> None:
        _, pause_s = self._later.get(uid, (0.0, 0.0))
        report_s = self._desk.report_s
        pause_s = min(max(report_s, 2 * pause_s), MOST_REPORTS * report_s)
        self._later[uid] = (trio.current_time() + pause_s, pause_s)

    async def _final(self, uid: str) -> tuple[str, int] | None:
        """How the job has ended, durably; None while it has not."""
        book = self._desk.book
        if (job := book.jobs.get(uid)) is not None:
            return (job.status, job.done_count) if job.over else None
        if (packed := book.packed.get(uid)) is not None:
            return packed  # put back after a loss: it has no record of its own
        found = await self._desk.state.get(final_key(uid), timeout_s=1.0)
        return None if found is None else (found[0]["st"], found[0]["d"])
