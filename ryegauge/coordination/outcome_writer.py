"""Writes the outcomes of tasks, as the owners of shards have seen them, to assignment records."""

import logging

import trio

from ryegauge.bookkeeping.budget import RESERVE_BACKGROUND, Budget
from ryegauge.bookkeeping.state import Delete, Put, Unavailable
from ryegauge.bookkeeping.state_replica import assignment_key, overflow_page_key, value_bytes
from ryegauge.coordination.assignment_updates import AssignmentUpdate
from ryegauge.coordination.membership import shard_key
from ryegauge.coordination.node_context import RETRYABLE_ERRORS, NodeContext
from ryegauge.coordination.shard_owner import ShardOwner
from ryegauge.ordering import create_policy

log = logging.getLogger(__name__)

# Report intervals between writes of outcomes that nobody waits for. The rate of changes is
# limited, each such write delays another change that assigns tasks, and a later write covers
# more tasks. The leader learns of the capacity freed meanwhile from the shard's views.
IDLE_WRITE_PAUSE_REPORTS = 2.0
# Share of this controller's rate of changes that outcomes of the lowest priority may take.
LOWEST_PRIORITY_SHARE = 1 / 3


class OutcomeWriter:
    """The loop that writes task outcomes for all shards that this controller owns."""

    def __init__(self, context: NodeContext) -> None:
        self._context = context
        self._records_end_times = create_policy(context.settings).uses_ageing
        self._wrote_at: dict[int, float] = {}  # when a shard's outcomes were last written
        # How many outcomes of the lowest priority may be written now.
        self._low_budget = Budget(LOWEST_PRIORITY_SHARE * context.state.writes.rate, 1.0)

    async def run(self) -> None:
        """Runs forever; writes nothing while the state service may have lost data."""
        while True:
            await trio.sleep(0.1)
            if not any(owner.pending_removal for owner in self._context.owned.values()):
                with trio.move_on_after(self._context.report_s / 2):
                    await self._context.work_available.wait()
            if self._context.data_loss_suspected():
                continue
            for shard, owner in list(self._context.owned.items()):
                await self._write_updates(shard, owner)

    async def _write_updates(self, shard: int, owner: ShardOwner) -> None:
        """Writes one transaction: the outcomes that somebody waits for and, as far as the
        budget is not needed otherwise, the rest. A job's tasks end one by one, and a write for
        each exceeds the rate limit of the state service."""
        updates = owner.pending(self._context.wall() if self._records_end_times else None)
        if not updates:
            return
        writes = self._context.state.writes
        now = trio.current_time()
        if (oversized := next((update for update in updates if update.pages), None)) is not None:
            await self._write_done_pages(shard, owner, oversized)
            return
        limits = self._context.settings.state_limits
        pause_s = IDLE_WRITE_PAUSE_REPORTS * self._context.report_s
        allowed_low = self._allowed_lowest_priority(updates, pause_s)
        urgent = (
            sum(update.awaited and not update.lowest_priority for update in updates) + allowed_low
        )
        if not urgent and now < self._wrote_at.get(shard, 0.0) + pause_s:
            return
        self._wrote_at[shard] = now
        count = max(
            min(urgent, max(1, int(writes.available()))), int(writes.available(RESERVE_BACKGROUND))
        )
        count = min(count, len(updates), limits.txn_ops)
        if count <= 0:
            return
        guards = {shard_key(shard): owner.token}
        changes: list[Put | Delete] = []
        low_count = 0
        for update in updates:
            uid, assignment = update.uid, update.assignment
            record = assignment.to_record()
            # An assignment recorded while larger values were allowed waits until enough of its
            # tasks have ended.
            if value_bytes(record) <= limits.value_bytes:
                guards[assignment_key(uid, shard)] = assignment.version
                changes.append(Put(assignment_key(uid, shard), record))
                low_count += update.awaited and update.lowest_priority
            if len(changes) == count:
                break
        if not changes:
            return
        try:
            self._context.announce_to_leader(
                await self._context.state.commit(guards, changes, timeout_s=1.0)
            )
            self._low_budget.try_take(float(low_count), reserve=0.0)
        except RETRYABLE_ERRORS as error:
            log.debug("writing outcomes of shard %d failed: %s", shard, error)
        try:
            await self._context.syncer.wait_for_read()
        except Unavailable as error:
            log.debug("reading after writing outcomes of shard %d failed: %s", shard, error)

    def _allowed_lowest_priority(self, updates: list[AssignmentUpdate], pause_s: float) -> int:
        """How many outcomes of the lowest priority may go into this transaction; they have a
        rate limit of their own. Many tiny jobs end one by one, and writing each at once used up
        the changes needed to assign urgent work. Giving them only what a transaction had left
        was two or three every second report interval: jobs with one task of 4 s were recorded
        as done after 180 s."""
        rate = LOWEST_PRIORITY_SHARE * self._context.state.writes.rate
        self._low_budget.resize(rate, rate * pause_s)
        waiting = sum(update.awaited and update.lowest_priority for update in updates)
        allowed = int(self._low_budget.available(0.0))
        batch = min(waiting, int(self._low_budget.burst / 2))
        return min(waiting, allowed) if allowed >= batch else 0

    async def _write_done_pages(
        self, shard: int, owner: ShardOwner, update: AssignmentUpdate
    ) -> None:
        """Copies done tasks of an assignment that has grown too large to overflow pages. Once
        those are in the replica, the next write of the assignment leaves the tasks out."""
        job = self._context.replica.jobs.get(update.uid)
        if job is None:
            return
        first_page = 1 + max((n for s, n in job.overflow_pages if s == shard), default=-1)
        guards = {shard_key(shard): owner.token}
        changes: list[Put | Delete] = []
        for page in update.pages[: self._context.settings.state_limits.txn_ops]:
            key = overflow_page_key(update.uid, shard, first_page + len(changes))
            guards[key] = 0
            changes.append(Put(key, {"d": page.flat()}))
        try:
            await self._context.state.commit(guards, changes, timeout_s=1.0)
        except RETRYABLE_ERRORS as error:
            log.debug("writing done tasks of %s in shard %d failed: %s", update.uid, shard, error)
        try:
            await self._context.syncer.wait_for_read()
        except Unavailable as error:
            log.debug("reading after writing done tasks failed: %s", error)
