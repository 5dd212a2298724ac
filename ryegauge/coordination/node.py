"""One controller: starts its loops and handles the requests of workers."""

import logging
import random
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

import trio

from ryegauge.config import Settings
from ryegauge.coordination.cloud import CloudClient
from ryegauge.coordination.command_sender import CommandSender
from ryegauge.coordination.connection_limits import divide_connections
from ryegauge.coordination.job_api import JobApi
from ryegauge.coordination.leader import Leader
from ryegauge.coordination.leader_loops import LeaderLoops
from ryegauge.coordination.node_context import RETRYABLE_ERRORS, NodeContext
from ryegauge.coordination.outcome_writer import OutcomeWriter
from ryegauge.coordination.peer_messaging import PeerMessenger
from ryegauge.coordination.prober import Prober
from ryegauge.coordination.shard_owner import ShardOwner
from ryegauge.coordination.sharding import ShardMap
from ryegauge.protocol.cloud import MachineType, parse_reply
from ryegauge.protocol.peers import ForeignReportNotice, ShardOrders
from ryegauge.protocol.workers import parse_report, report_reply
from ryegauge.transport.http import Handler, Network, Reply, decode

if TYPE_CHECKING:
    from ryegauge.coordination.rebuild import Rebuild
    from ryegauge.coordination.snapshotting import Disk

log = logging.getLogger(__name__)

CHECKIN_PATH = "/checkin"
# Most machines of other shards that are reported in one view or message.
MAX_FOREIGN_REPORTS = 200


class Node:
    """One controller process: owner of shards, and leader when it is elected."""

    def __init__(
        self,
        settings: Settings,
        network: Network,
        wall: Callable[[], float],
        rng: random.Random,
        front: Callable[[NodeContext, JobApi], Awaitable[None]] | None = None,
        disk: "Disk | None" = None,
    ) -> None:
        """`wall` returns the wall-clock time in seconds. `front` is another source of jobs
        besides HTTP; it runs as a loop of the controller. `disk` holds snapshots, if any are
        taken."""
        self._context = context = NodeContext(settings, network, wall, rng)
        self._shard_map = ShardMap(settings)
        self._types: dict[str, MachineType] = {}
        self._job_api = JobApi(
            settings,
            context.state,
            context.replica,
            context.syncer,
            lambda: self._types,
            context.announce_write,
            context.announce_to_leader,
            wall,
            rng.random,
        )
        self._extra_source = front
        self._peer_messenger = PeerMessenger(context, self._job_api)
        self._cloud_client = CloudClient(context)
        self._leader_loops = LeaderLoops(context, self._cloud_client)
        self._outcome_writer = OutcomeWriter(context)
        self._command_sender = CommandSender(context)
        self._prober = Prober(context, self._peer_messenger)
        self._rebuild: Rebuild | None = None
        if settings.properties.rebuilding == "on":
            from ryegauge.coordination import rebuild

            self._rebuild = rebuild.Rebuild(context, self._peer_messenger, self._job_api, disk)
            context.data_loss_suspected = self._rebuild.data_loss_suspected
        self._foreign_reports_sent_at = float("-inf")
        self._woken_revision = 0  # revision of the replica up to which the loops have been woken
        context.replica.on_job_changed.append(self._on_job)
        context.syncer.on_sync.append(self._on_sync)

    async def run(self) -> None:
        """Listens, then runs all loops until cancelled."""
        loops: list[Callable[[], Awaitable[None]]] = [
            self._context.syncer.run,
            self._context.controller_lease.run,
            self._job_api.write_submissions,
            self._tick_owners,
            self._command_sender.run,
            self._outcome_writer.run,
            self._exchange_views,
            self._hand_over,
            self._exchange_foreign_reports,
            self._prober.run,
            self._peer_messenger.send_hellos,
            self._peer_messenger.request_lease_extensions,
            self._peer_messenger.probe_state,
            self._peer_messenger.announce_to_peers,
            self._leader_loops.run_rounds,
            self._leader_loops.archive,
            self._cloud_client.watch_catalog,
            self._cloud_client.watch_fleet,
        ]
        if self._rebuild is not None:
            loops.append(self._rebuild.run)
        if (extra_source := self._extra_source) is not None:
            loops.append(lambda: extra_source(self._context, self._job_api))
        settings = self._context.settings
        log.info("%s is starting, one of %d", settings.node_name, settings.settings.nodes)
        async with trio.open_nursery() as nursery:
            # Listen first: this process claims what its predecessor held because that one has
            # ended, and being able to bind its addresses shows that it has.
            limits = divide_connections(settings)
            for address, handler, limit in (
                (settings.listen, self._handle_public, limits.public),
                (settings.mesh_addr, self._peer_messenger.handle, limits.inbound_peers),
            ):
                listening = trio.Event()
                nursery.start_soon(self._serve, address, handler, limit, listening.set)
                await listening.wait()
            for loop in loops:
                nursery.start_soon(self._run_restarting, loop)

    async def _serve(
        self, address: str, handler: Handler, limit: int, listening: Callable[[], None]
    ) -> None:
        """Serves one address, with at most `limit` connections; calls `listening` once bound."""
        await self._context.network.serve(
            address,
            handler,
            max_connections=limit,
            # Peers call less often than all others; a pause must not look like a lost connection.
            idle_s=2 * self._context.idle_s,
            request_s=self._context.settings.settings.workers.lease_s / 2,
            listening=listening,
            # Check-ins come first: a worker that is refused loses its lease, a user retries.
            first=CHECKIN_PATH.__eq__,
        )

    async def _run_restarting(self, loop: Callable[[], Awaitable[None]]) -> None:
        """Restarts a loop that fails, since a controller never ends by itself. A loop that
        returns has nothing to do and is not restarted: without peers, the loop that notifies them
        of writes returns at once, and restarting it would keep the controller busy with nothing
        else."""
        while True:
            try:
                await loop()
                return
            except Exception:
                log.exception("a controller loop failed and is restarted")
                await trio.sleep(self._context.report_s / 2)

    def _on_job(self, uid: str) -> None:
        """A job's records changed in the replica."""
        for owner in self._context.owned.values():
            owner.on_job_changed(uid)

    def _on_sync(self) -> None:
        """The replica was updated: takes up the roles that it newly gives this controller, and
        drops those that it no longer gives."""
        now = trio.current_time()
        if self._context.replica.epoch != self._context.controller_lease.epoch:
            self._context.controller_lease.begin_epoch(self._context.replica.epoch, now)
        if len(self._types) != len(self._context.replica.types):
            self._types = {
                name: parse_reply(record, MachineType)
                for name, record in self._context.replica.types.items()
            }
        for shard in range(self._context.settings.settings.nodes):
            token = self._context.controller_lease.shard_token(shard)
            owner = self._context.owned.get(shard)
            if owner is not None and owner.token != token:
                log.info("no longer owning shard %d under token %d", shard, owner.token)
                del self._context.owned[shard]
                owner = None
            if owner is None and token is not None:
                log.info("owning shard %d under token %d", shard, token)
                self._context.owned[shard] = ShardOwner(
                    shard,
                    token,
                    self._context.replica,
                    self._context.settings,
                    lambda: self._types,
                    now,
                    max(
                        self._context.controller_lease.old_authority_ends_at,
                        self._context.controller_lease.extensions_end_at,
                    ),
                    self._rebuild is not None,
                )
        token = self._context.controller_lease.leader_token
        live = len({*self._context.replica.nodes, self._context.settings.node_name})
        self._context.state.resize_budgets(live, token is not None)
        previous_leader = self._context.leader
        if previous_leader is not None and previous_leader.token != token:
            self._context.leader = None
        if self._context.leader is None and token is not None:
            log.info("leading under token %d", token)
            self._context.leader = Leader(
                token,
                self._context.replica,
                self._context.settings,
                now,
                self._types,
                previous_leader or self._context.previous_leader,
            )
            self._context.previous_leader = None
        if self._context.replica.state_revision != self._woken_revision:
            self._woken_revision = self._context.replica.state_revision
            self._context.wake()

    async def _tick_owners(self) -> None:
        """Lets the owners of shards act on changes, and at regular intervals."""
        while True:
            busy = any(owner.machines or owner.tasks for owner in self._context.owned.values())
            with trio.move_on_after(0.25 if busy else self._context.report_s / 2):
                await self._context.work_available.wait()
            now = trio.current_time()
            if not self._context.controller_lease.valid(now):
                await trio.sleep(0.05)
                continue
            for owner in self._context.owned.values():
                owner.tick(now, self._context.wall())
            self._command_sender.tasks_placed.set()
            await trio.sleep(0.04)

    async def _exchange_views(self) -> None:
        """Sends the leader views of this controller's shards and applies its orders."""
        while True:
            for owner in list(self._context.owned.values()):
                now = trio.current_time()
                leader = self._context.replica.leader  # may have changed while a call to it hung
                if leader is None or not self._context.controller_lease.valid(now):
                    continue
                # Machines of other shards that reported here are included once, in the first view.
                foreign_reports = self._context.foreign_reports.since(
                    self._foreign_reports_sent_at, now, MAX_FOREIGN_REPORTS
                )
                view = owner.next_view(
                    self._context.settings.node_name,
                    leader.token,
                    now,
                    [(name, ago_s) for name, _, ago_s in foreign_reports],
                )
                orders: object = None
                if leader.node == self._context.settings.node_name:
                    if self._context.leader is not None:
                        orders = self._context.leader.on_shard_view(view, now)
                elif leader.node in self._peer_messenger.peers:
                    orders = await self._peer_messenger.ask(leader.node, view)
                if isinstance(orders, ShardOrders):
                    self._foreign_reports_sent_at = now
                    owner.on_view_answer(view.seq, orders.resync)
                    owner.on_released(orders.gone)
                    owner.retire(orders.retire)
                    owner.silence.on_unreported(orders.unreported)
                    owner.faults.on_failing_jobs(orders.failing_jobs)
                    for machine, uid, count in orders.evict:
                        owner.evict(machine, uid, count)
            # Well below the interval after which the leader considers a shard out of sight.
            with trio.move_on_after(self._context.report_s / 2):
                await self._context.work_available.wait()
            await trio.sleep(self._context.report_s / 8)

    async def _hand_over(self) -> None:
        """Hands shards over that other controllers should own."""
        while True:
            await trio.sleep(self._context.report_s)
            for shard, token in self._context.controller_lease.surplus_shards():
                owner = self._context.owned.get(shard)
                if owner is None or owner.pending_removal:
                    continue  # outcomes are written first
                await self._release_shard(shard, token)

    async def _release_shard(self, shard: int, token: int) -> None:
        """Gives a shard up, so that another controller can take it over."""
        log.info("handing shard %d over", shard)
        del self._context.owned[shard]
        try:
            await self._context.controller_lease.release_shard(shard, token)
        except RETRYABLE_ERRORS as error:
            log.info("handing shard %d over failed: %s", shard, error)

    async def _exchange_foreign_reports(self) -> None:
        """Tells owners which of their workers reported here, and gives up a shard whose workers
        report to others and not here: with this owner their leases would expire."""
        sent_until = trio.current_time()
        while True:
            await trio.sleep(self._context.report_s / 5)
            now = trio.current_time()
            by_node: dict[str, list[tuple[str, int, float]]] = {}
            for entry in self._context.foreign_reports.since(sent_until, now, MAX_FOREIGN_REPORTS):
                role_holder = self._context.replica.shards.get(entry[1])
                if (
                    role_holder is not None
                    and role_holder.node in self._peer_messenger.peers
                    and not self._peer_messenger.reachability.is_silent(role_holder.node, now)
                ):
                    by_node.setdefault(role_holder.node, []).append(entry)
            sent_until = now
            async with trio.open_nursery() as nursery:
                for node, entries in by_node.items():
                    message = ForeignReportNotice(self._context.settings.node_name, entries)
                    nursery.start_soon(self._peer_messenger.tell, node, message)
            for shard, owner in list(self._context.owned.items()):
                if (
                    self._context.controller_lease.valid(now)
                    and owner.silence.is_owner_unreachable(now)
                    and self._context.controller_lease.on_workers_unreachable(shard, now)
                ):
                    log.warning(
                        "giving shard %d up: its workers report to other controllers, not here",
                        shard,
                    )
                    self._prober.remember_workers(shard, owner)
                    # Outcomes that are not written yet stay in the workers' reports.
                    await self._release_shard(shard, owner.token)

    async def _handle_checkin(self, body: bytes) -> Reply:
        """Answers a worker's check-in; 421 if this controller does not own its shard."""
        report = parse_report(decode(body))
        now = trio.current_time()
        if self._rebuild is not None:
            self._rebuild.on_worker_token(report.token)
        shard = self._shard_map.shard_of(report.machine, report.zone)
        owner = self._context.owned.get(shard)
        if owner is None:
            self._context.foreign_reports.on_report(report.machine, shard, now)
            self._context.controller_lease.on_workers_reachable(shard, now)
            role_holder = self._context.replica.shards.get(shard)
            # A worker that has seen the owner's token was answered by it and has left it since.
            # Redirected to it, the worker would wait there for an answer while its lease runs
            # out; instead it tries the other controllers in turn, and finds the shard's next
            # owner.
            has_left_owner = role_holder is not None and report.token >= role_holder.token
            if (
                role_holder is not None
                and not has_left_owner
                and role_holder.node != self._context.settings.node_name
            ):
                return Reply(421, {"foreman": role_holder.node})
            return Reply(421, {})
        if not self._context.controller_lease.valid(now):
            return Reply(503, {"error": "no authority"})
        if owner.tokens.is_superseded_by(report.token):
            # The worker has seen a newer token, so it rejects this owner's commands.
            self._context.syncer.request_read()
            return Reply(421, {})
        revision_before = owner.revision
        commands = owner.on_report(report, now)
        if owner.revision != revision_before:
            self._context.wake()
        return Reply(200, report_reply(owner.command_token(report.machine), commands))

    async def _handle_public(self, method: str, target: str, body: bytes) -> Reply:
        """Answers a request of a worker or a user; 503 to users until this controller is ready."""
        if method == "POST" and target == CHECKIN_PATH:
            return await self._handle_checkin(body)
        if not self._context.syncer.ready.is_set() or (
            self._rebuild is not None and not self._rebuild.answers_users
        ):
            return Reply(503, {"error": "starting"}, 1.0)
        if target == "/healthz":
            return Reply(200, {"status": "ok"})
        return await self._job_api.handle(method, target, body)
