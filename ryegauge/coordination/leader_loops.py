"""The leader's loops: rounds, writing what they allot, and keeping the book small."""

import logging

import trio

from ryegauge.bookkeeping.budget import RESERVE_BACKGROUND, RESERVE_DEFAULT
from ryegauge.bookkeeping.state import Delete, OutcomeUnknown, Put, Unavailable
from ryegauge.bookkeeping.state_replica import (
    Assignment,
    archive_key,
    assignment_key,
    job_key,
    outcome_key,
)
from ryegauge.coordination import archive
from ryegauge.coordination.cloud import CloudClient
from ryegauge.coordination.leader import Leader
from ryegauge.coordination.membership import LEADER_KEY
from ryegauge.coordination.node_context import RETRYABLE_ERRORS, NodeContext

log = logging.getLogger(__name__)

# Jobs kept in the book, for each MB that a controller may use.
JOBS_PER_MB = 10

# Between rounds the leader does nothing for so many times as long as one took.
ROUND_SHARE = 6.0


class LeaderLoops:
    def __init__(self, context: NodeContext, cloud: CloudClient) -> None:
        self._context = context
        self._cloud = cloud
        # When the last transaction of ours was executed that the book may not show yet.
        self._wrote_at = float("-inf")

    async def run_rounds(self) -> None:
        async with trio.open_nursery() as nursery:
            while True:
                with trio.move_on_after(0.5):
                    await self._context.work_available.wait()
                # Reports and writes come in flocks; one round serves them all.
                await trio.sleep(0.05)
                leader = self._context.leader
                now = trio.current_time()
                if (
                    leader is None
                    or not self._context.controller_lease.valid(now)
                    or self._context.data_loss_suspected()
                ):
                    continue
                if self._context.syncer.last_read_sent_at < self._wrote_at:
                    # What was just allotted looks open in this book, and would be given to
                    # another part as well: nothing guards against that. (Found by the model
                    # of `tests/test_era_model.py`: the read after an allotment had failed.)
                    try:
                        await self._context.syncer.wait_for_read()
                    except Unavailable as error:
                        log.debug("reading after an allotment: %s", error)
                    continue
                wanted = leader.round(now, self._context.wall())
                took_s = trio.current_time() - now
                self._cloud.start(nursery, leader, wanted.rentals, wanted.releases, now)
                await self._write_assignments(leader, wanted.new_assignments)
                # Check-ins and renewals come first: rounds take a part of the time.
                await trio.sleep(min(ROUND_SHARE * took_s, self._context.report_s))

    async def _write_assignments(
        self, leader: Leader, new_assignments: dict[tuple[str, int], Assignment]
    ) -> None:
        """Writes as many as the budget has now, in order of precedence; what is left is
        decided anew, since more urgent work may have come by then."""
        limit = self._context.settings.state_limits.txn_ops
        todo = list(new_assignments.items())
        written, leader.backlog = 0, False
        while todo:
            count = max(1, min(limit, int(self._context.state.writes.available())))
            batch, todo = todo[:count], todo[count:]
            guards = {LEADER_KEY: leader.token}
            changes: list[Put | Delete] = []
            for (uid, shard), assignment in batch:
                job = self._context.replica.jobs.get(uid)
                if (
                    job is None
                    or job.is_terminal
                    or not job.ready
                    or not self._context.surely_unassigned(job)
                ):
                    continue
                guards[job_key(uid)] = job.version
                guards[assignment_key(uid, shard)] = assignment.version
                changes.append(Put(assignment_key(uid, shard), assignment.to_record()))
            if not changes:
                continue
            try:
                state_revision = await self._context.state.commit(guards, changes, timeout_s=1.0)
                self._wrote_at = trio.current_time()
                self._context.announce_to_owners(state_revision, {shard for (_, shard), _ in batch})
                leader.assigned({uid for (uid, _), _ in batch}, self._wrote_at)
                written += len(changes)
            except OutcomeUnknown:
                # It may still be executed. A new version of the leader's own record
                # makes sure that it is not executed after the next read.
                log.info("an allotment's outcome is unknown: fencing it off")
                await self._refence(leader)
                return
            except RETRYABLE_ERRORS as error:
                log.info("allotting %d shares failed: %s", len(changes), error)
                todo = []
            if self._context.state.writes.available() < 1.0:
                todo = []
            # What is left says how scarce changes are, whatever the next round decides.
            leader.backlog = len(new_assignments) - written > limit
            try:
                await self._context.syncer.wait_for_read()
            except Unavailable:
                return

    async def archive(self) -> None:
        """Keeps the book as small as wanted, and looks up what it lacks."""
        shared = self._context.settings.settings
        limit = int(JOBS_PER_MB * shared.quota.memory_mb)
        ops = self._context.settings.state_limits.txn_ops
        writes = self._context.state.writes
        while True:
            await trio.sleep(self._context.report_s)
            leader = self._context.leading()
            if leader is None or self._context.data_loss_suspected():
                continue
            try:
                await self._look_up(leader)
                for job in archive.jobs_to_archive(self._context.replica, limit):
                    # In a book that has moved on, another may need it by now.
                    if job.spec.uid not in self._context.replica.dependents:
                        guards, changes = archive.archive_job(job, shared.nodes)
                        if not writes.has(len(changes), self._spared(limit)):
                            break
                        await self._clear(leader, guards, changes, self._spared(limit))
                # Groups that fit into what may be taken of a full bucket.
                count = max(1, min(ops, int((1 - RESERVE_BACKGROUND) * writes.burst)))
                while (
                    changes := archive.records_to_delete(self._context.replica, count)
                ) and writes.has(len(changes), self._spared(limit)):
                    await self._clear(leader, {}, changes, self._spared(limit))
            except RETRYABLE_ERRORS as error:
                log.debug("archiving failed: %s", error)

    def _spared(self, limit: int) -> float:
        """What the archive leaves to others: it is last when changes are scarce, unless the
        book has become twice as large as wanted."""
        return (
            RESERVE_DEFAULT if len(self._context.replica.jobs) > 2 * limit else RESERVE_BACKGROUND
        )

    async def _clear(
        self,
        leader: Leader,
        guards: dict[str, int],
        changes: list[Put | Delete],
        reserve: float = RESERVE_DEFAULT,
    ) -> None:
        guards[LEADER_KEY] = leader.token
        self._context.announce_write(
            await self._context.state.commit(guards, changes, timeout_s=1.0, reserve=reserve)
        )
        await self._context.syncer.wait_for_read()

    async def _look_up(self, leader: Leader) -> None:
        """A job may be recorded, late, after one that it needs has left the book: the
        outcome of that one comes back, for those that read the book alone."""
        for uid in sorted(self._context.replica.unresolved_needs):
            found = await self._context.state.get(archive_key(uid), timeout_s=1.0)
            if found is not None:
                change = Put(outcome_key(uid), {"st": found[0]["st"]})
                await self._clear(leader, {outcome_key(uid): 0}, [change])

    async def _refence(self, leader: Leader) -> None:
        while self._context.leader is leader:
            try:
                await self._context.controller_lease.renew_leader(leader.token)
                await self._context.syncer.wait_for_read()
                return
            except RETRYABLE_ERRORS:
                await trio.sleep(self._context.report_s / 5)
                self._context.syncer.request_read()
