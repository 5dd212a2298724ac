"""The leader's background loops: planning rounds, writing assignments, archiving old jobs."""

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

# Jobs kept in the replica per MB of memory that a controller may use.
JOBS_PER_MB = 10

# After a round the leader pauses for this many times the round's duration, so that planning takes
# a seventh of the controller's time. The pause is at most a report interval: rounds longer than a
# sixth of that take a larger share.
PAUSE_PER_ROUND_TIME = 6.0


class LeaderLoops:
    """Runs on every controller and acts while this controller is the leader."""

    def __init__(self, context: NodeContext, cloud: CloudClient) -> None:
        self._context = context
        self._cloud = cloud
        # When this controller's last assignment was committed; the replica may not show it yet.
        self._last_commit_at = float("-inf")

    async def run_rounds(self) -> None:
        """Plans rounds and carries out what they decide; never returns."""
        async with trio.open_nursery() as nursery:
            while True:
                with trio.move_on_after(0.5):
                    await self._context.work_available.wait()
                # Reports and writes arrive in bursts; one round covers a whole burst.
                await trio.sleep(0.05)
                leader = self._context.leader
                now = trio.current_time()
                if (
                    leader is None
                    or not self._context.controller_lease.valid(now)
                    or self._context.data_loss_suspected()
                ):
                    continue
                if self._context.syncer.last_read_sent_at < self._last_commit_at:
                    # In this replica the tasks just assigned still look open and would be
                    # assigned to another shard as well, which no guard prevents. That happens
                    # if the read after an assignment fails (see `tests/test_epoch_model.py`).
                    try:
                        await self._context.syncer.wait_for_read()
                    except Unavailable as error:
                        log.debug("reading the state service after an assignment failed: %s", error)
                    continue
                decisions = leader.round(now, self._context.wall())
                took_s = trio.current_time() - now
                self._cloud.start_calls(nursery, leader, decisions.rentals, decisions.releases, now)
                await self._write_assignments(leader, decisions.new_assignments)
                # Leave most of the time to check-ins and lease renewals.
                await trio.sleep(min(PAUSE_PER_ROUND_TIME * took_s, self._context.report_s))

    async def _write_assignments(
        self, leader: Leader, new_assignments: dict[tuple[str, int], Assignment]
    ) -> None:
        """Writes as many assignments as the write budget allows now, in order of precedence.

        The rest is left to the next round, since more urgent work may have arrived by then."""
        limit = self._context.settings.state_limits.txn_ops
        remaining = list(new_assignments.items())
        written, leader.backlog = 0, False
        while remaining:
            count = max(1, min(limit, int(self._context.state.writes.available())))
            batch, remaining = remaining[:count], remaining[count:]
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
                self._last_commit_at = trio.current_time()
                self._context.announce_to_owners(state_revision, {shard for (_, shard), _ in batch})
                leader.on_assigned({uid for (uid, _), _ in batch}, self._last_commit_at)
                written += len(changes)
            except OutcomeUnknown:
                # The transaction may still be executed. It is guarded by the version of the
                # leader's record: a new version prevents execution after the next read.
                log.info("the outcome of an assignment is unknown: fencing it off")
                await self._renew_leader_record(leader)
                return
            except RETRYABLE_ERRORS as error:
                log.info("writing %d assignments failed: %s", len(changes), error)
                remaining = []
            if self._context.state.writes.available() < 1.0:
                remaining = []
            # A large rest shows that writes are scarce, whatever the next round decides.
            leader.backlog = len(new_assignments) - written > limit
            try:
                await self._context.syncer.wait_for_read()
            except Unavailable:
                return

    async def archive(self) -> None:
        """Moves finished jobs out of the replica, deletes records that are no longer needed and
        looks up the outcomes that the replica lacks; never returns."""
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
                await self._restore_outcomes(leader)
                for job in archive.jobs_to_archive(self._context.replica, limit):
                    # The replica is re-read between the transactions of this loop: by now another
                    # job may depend on this one.
                    if job.spec.uid not in self._context.replica.dependents:
                        guards, changes = archive.archive_job(job, shared.nodes)
                        if not writes.has(len(changes), self._background_reserve(limit)):
                            break
                        await self._commit(leader, guards, changes, self._background_reserve(limit))
                # Groups that fit between the background reserve and a full token bucket: a larger
                # one would be let through only when the bucket is full.
                count = max(1, min(ops, int((1 - RESERVE_BACKGROUND) * writes.burst)))
                while (
                    changes := archive.records_to_delete(self._context.replica, count)
                ) and writes.has(len(changes), self._background_reserve(limit)):
                    await self._commit(leader, {}, changes, self._background_reserve(limit))
            except RETRYABLE_ERRORS as error:
                log.debug("archiving failed: %s", error)

    def _background_reserve(self, limit: int) -> float:
        """The share of the write budget that archiving leaves to others: it comes last when
        writes are scarce, unless the replica is more than twice as large as its limit."""
        return (
            RESERVE_DEFAULT if len(self._context.replica.jobs) > 2 * limit else RESERVE_BACKGROUND
        )

    async def _commit(
        self,
        leader: Leader,
        guards: dict[str, int],
        changes: list[Put | Delete],
        reserve: float = RESERVE_DEFAULT,
    ) -> None:
        """Commits changes, guarded by the leader's record, and waits until they have been read."""
        guards[LEADER_KEY] = leader.token
        self._context.announce_write(
            await self._context.state.commit(guards, changes, timeout_s=1.0, reserve=reserve)
        )
        await self._context.syncer.wait_for_read()

    async def _restore_outcomes(self, leader: Leader) -> None:
        """Records missing outcomes of archived jobs again, so that all replicas have them.

        A job may be recorded late, after a job that it depends on has left the replica; whoever
        reads only the replica needs that job's outcome."""
        for uid in sorted(self._context.replica.unresolved_needs):
            archived = await self._context.state.get(archive_key(uid), timeout_s=1.0)
            if archived is not None:
                change = Put(outcome_key(uid), {"st": archived[0]["st"]})
                await self._commit(leader, {outcome_key(uid): 0}, [change])

    async def _renew_leader_record(self, leader: Leader) -> None:
        """Renews the leader's record and reads the state service again; retries while this is the
        leader."""
        while self._context.leader is leader:
            try:
                await self._context.controller_lease.renew_leader(leader.token)
                await self._context.syncer.wait_for_read()
                return
            except RETRYABLE_ERRORS:
                await trio.sleep(self._context.report_s / 5)
                self._context.syncer.request_read()
