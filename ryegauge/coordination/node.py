"""One controller: the loops that bring what is towards what is wanted."""

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

CHECKIN = "/checkin"
# Machines of others that are told of in one view.
MOST_OVERHEARD = 200


class Node:
    def __init__(
        self,
        settings: Settings,
        network: Network,
        wall: Callable[[], float],
        rng: random.Random,
        front: Callable[[NodeContext, JobApi], Awaitable[None]] | None = None,
        disk: "Disk | None" = None,
    ) -> None:
        """`front` is what else takes jobs, beside HTTP; it runs as a loop of the controller.
        `disk` is where snapshots are, if they are taken."""
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
        self._other_front = front
        self._peer_messenger = PeerMessenger(context, self._job_api)
        self._cloud = CloudClient(context)
        self._leading = LeaderLoops(context, self._cloud)
        self._outcomes = OutcomeWriter(context)
        self._commands = CommandSender(context)
        self._probing = Prober(context, self._peer_messenger)
        self._rebuild: Rebuild | None = None
        if settings.properties.rebuilding == "on":
            from ryegauge.coordination import rebuild

            self._rebuild = rebuild.Rebuild(context, self._peer_messenger, self._job_api, disk)
            context.data_loss_suspected = self._rebuild.data_loss_suspected
        self._told_overheard = float("-inf")
        self._seen = 0  # revision up to which everybody here has been woken
        context.replica.on_job.append(self._on_job)
        context.syncer.on_sync.append(self._on_sync)

    async def run(self) -> None:
        loops: list[Callable[[], Awaitable[None]]] = [
            self._context.syncer.run,
            self._context.controller_lease.run,
            self._job_api.write_submissions,
            self._own_shards,
            self._commands.push,
            self._outcomes.write,
            self._report_shards,
            self._hand_over,
            self._listen,
            self._probing.run,
            self._peer_messenger.send_hellos,
            self._peer_messenger.request_lease_extensions,
            self._peer_messenger.probe_state,
            self._peer_messenger.announce_to_peers,
            self._leading.run_rounds,
            self._leading.archive,
            self._cloud.watch_catalog,
            self._cloud.watch_fleet,
        ]
        if self._rebuild is not None:
            loops.append(self._rebuild.run)
        if (other := self._other_front) is not None:
            loops.append(lambda: other(self._context, self._job_api))
        settings = self._context.settings
        log.info("%s is starting, one of %d", settings.node_name, settings.settings.nodes)
        async with trio.open_nursery() as nursery:
            # First: what our predecessor held is claimed since it has ended, and whose
            # addresses are ours has ended.
            sockets = divide_connections(settings)
            for address, handler, most in (
                (settings.listen, self._handle_public, sockets.public),
                (settings.mesh_addr, self._peer_messenger.handle, sockets.inbound_peers),
            ):
                listening = trio.Event()
                nursery.start_soon(self._serve, address, handler, most, listening.set)
                await listening.wait()
            for loop in loops:
                nursery.start_soon(self._guarded, loop)

    async def _serve(
        self, address: str, handler: Handler, most: int, listening: Callable[[], None]
    ) -> None:
        await self._context.network.serve(
            address,
            handler,
            max_connections=most,
            # Peers call less often than anybody; a pause must not look like a loss.
            idle_s=2 * self._context.idle_s,
            request_s=self._context.settings.settings.workers.lease_s / 2,
            listening=listening,
            # A worker that is turned away loses its lease, a user asks again.
            first=CHECKIN.__eq__,
        )

    async def _guarded(self, loop: Callable[[], Awaitable[None]]) -> None:
        """A controller never ends by itself: a loop that fails begins again. One that ends
        has nothing to do: without peers there is nobody to tell, and a controller that was
        alone began that loop again and again, and did nothing else."""
        while True:
            try:
                await loop()
                return
            except Exception:
                log.exception("a loop failed and begins again")
                await trio.sleep(self._context.report_s / 2)

    def _on_job(self, uid: str) -> None:
        for owner in self._context.owned.values():
            owner.on_job(uid)

    def _on_sync(self) -> None:
        """The roles that the book gives us, under tokens not yet acted upon."""
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
                log.info("part %d is no longer ours under token %d", shard, owner.token)
                del self._context.owned[shard]
                owner = None
            if owner is None and token is not None:
                log.info("owning part %d under token %d", shard, token)
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
        if self._context.replica.state_revision != self._seen:
            self._seen = self._context.replica.state_revision
            self._context.wake()

    async def _own_shards(self) -> None:
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
            self._commands.placed.set()
            await trio.sleep(0.04)

    async def _report_shards(self) -> None:
        """Shows the leader our parts and takes its orders."""
        while True:
            for owner in list(self._context.owned.values()):
                now = trio.current_time()
                leader = self._context.replica.leader  # it may have changed while one hung
                if leader is None or not self._context.controller_lease.valid(now):
                    continue
                # What we overheard goes along once, with whichever part comes first.
                foreign_reports = self._context.foreign_reports.since(
                    self._told_overheard, now, MOST_OVERHEARD
                )
                view = owner.view(
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
                    self._told_overheard = now
                    owner.shown(view.seq, orders.resync)
                    owner.gone(orders.gone)
                    owner.retire(orders.retire)
                    owner.unreported(orders.unreported)
                    owner.held_back(orders.failing_jobs)
                    for machine, uid, count in orders.evict:
                        owner.evict(machine, uid, count)
            # Well within what the leader takes for a part out of sight.
            with trio.move_on_after(self._context.report_s / 2):
                await self._context.work_available.wait()
            await trio.sleep(self._context.report_s / 8)

    async def _hand_over(self) -> None:
        while True:
            await trio.sleep(self._context.report_s)
            for shard, token in self._context.controller_lease.surplus_shards():
                owner = self._context.owned.get(shard)
                if owner is None or owner.pending_removal:
                    continue  # what is over is written first
                await self._give_back(shard, token)

    async def _give_back(self, shard: int, token: int) -> None:
        log.info("handing part %d over", shard)
        del self._context.owned[shard]
        try:
            await self._context.controller_lease.release_shard(shard, token)
        except RETRYABLE_ERRORS as error:
            log.info("handing part %d over: %s", shard, error)

    async def _listen(self) -> None:
        """Tells owners of their workers that report here, and gives up a part whose workers
        report to others and not to us: their leases would run out between them and us."""
        told = trio.current_time()
        while True:
            await trio.sleep(self._context.report_s / 5)
            now = trio.current_time()
            by_node: dict[str, list[tuple[str, int, float]]] = {}
            for entry in self._context.foreign_reports.since(told, now, MOST_OVERHEARD):
                owner_of = self._context.replica.shards.get(entry[1])
                if (
                    owner_of is not None
                    and owner_of.node in self._peer_messenger.peers
                    and not self._peer_messenger.reachability.silent(owner_of.node, now)
                ):
                    by_node.setdefault(owner_of.node, []).append(entry)
            told = now
            async with trio.open_nursery() as nursery:
                for node, entries in by_node.items():
                    message = ForeignReportNotice(self._context.settings.node_name, entries)
                    nursery.start_soon(self._peer_messenger.tell, node, message)
            for shard, owner in list(self._context.owned.items()):
                if (
                    self._context.controller_lease.valid(now)
                    and owner.deaf(now)
                    and self._context.controller_lease.on_workers_unreachable(shard, now)
                ):
                    log.warning("part %d: its workers report to others and not here", shard)
                    self._probing.remember(shard, owner)
                    # What is over and not written stays in the workers' reports.
                    await self._give_back(shard, owner.token)

    async def _handle_worker(self, body: bytes) -> Reply:
        report = parse_report(decode(body))
        now = trio.current_time()
        if self._rebuild is not None:
            self._rebuild.on_worker_token(report.token)
        shard = self._shard_map.shard_of(report.machine, report.zone)
        owner = self._context.owned.get(shard)
        if owner is None:
            self._context.foreign_reports.heard(report.machine, shard, now)
            self._context.controller_lease.on_workers_reachable(shard, now)
            other = self._context.replica.shards.get(shard)
            # A worker that has seen the owner's token was answered by it and has left it since:
            # sent back, it would wait there for an answer again while its lease runs out. It
            # tries the other controllers in turn, and finds whoever takes the part over.
            left = other is not None and report.token >= other.token
            if other is not None and not left and other.node != self._context.settings.node_name:
                return Reply(421, {"foreman": other.node})
            return Reply(421, {})
        if not self._context.controller_lease.valid(now):
            return Reply(503, {"error": "no authority"})
        if report.token > owner.token:
            # Somebody else has taken the part over: nothing of ours counts there.
            self._context.syncer.request_read()
            return Reply(421, {})
        before = owner.revision
        commands = owner.on_report(report, now)
        if owner.revision != before:
            self._context.wake()
        return Reply(200, report_reply(owner.token, commands))

    async def _handle_public(self, method: str, target: str, body: bytes) -> Reply:
        if method == "POST" and target == CHECKIN:
            return await self._handle_worker(body)
        if not self._context.syncer.ready.is_set() or (
            self._rebuild is not None and not self._rebuild.open
        ):
            return Reply(503, {"error": "starting"}, 1.0)
        if target == "/healthz":
            return Reply(200, {"status": "ok"})
        return await self._job_api.handle(method, target, body)
