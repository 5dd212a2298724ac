"""One controller: starts its loops and handles the requests of workers."""

import logging
import random
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

import trio

from ryegauge.config import Settings
from ryegauge.coordination.cloud import CloudCalls
from ryegauge.coordination.commands import Commands
from ryegauge.coordination.desk import RETRY, Desk
from ryegauge.coordination.frontdoor import FrontDoor
from ryegauge.coordination.leader import Leader
from ryegauge.coordination.leading import Leading
from ryegauge.coordination.mesh import Mesh
from ryegauge.coordination.outcomes import Outcomes
from ryegauge.coordination.part import PartOwner
from ryegauge.coordination.parting import Parting
from ryegauge.coordination.probing import Probing
from ryegauge.coordination.sockets import sockets_of
from ryegauge.protocol.cloud import MachineType, parse
from ryegauge.protocol.peers import Elsewhere, PartOrders
from ryegauge.protocol.workers import parse_report, report_reply
from ryegauge.transport.http import Handler, Network, Reply, decode

if TYPE_CHECKING:
    from ryegauge.coordination.rebuild import Rebuild
    from ryegauge.coordination.snapshotting import Disk

log = logging.getLogger(__name__)

CHECKIN = "/checkin"
# Machines of other parts that one view or message reports at most.
MOST_OVERHEARD = 200


class Node:
    """One controller process: owner of parts, and leader when it is elected."""

    def __init__(
        self,
        settings: Settings,
        network: Network,
        wall: Callable[[], float],
        rng: random.Random,
        front: Callable[[Desk, FrontDoor], Awaitable[None]] | None = None,
        disk: "Disk | None" = None,
    ) -> None:
        """`wall` returns the wall-clock time in seconds. `front` is another source of jobs
        besides HTTP; it runs as a loop of the controller. `disk` holds snapshots, if any are
        taken."""
        self._desk = desk = Desk(settings, network, wall, rng)
        self._parting = Parting(settings)
        self._types: dict[str, MachineType] = {}
        self._front = FrontDoor(
            settings,
            desk.state,
            desk.book,
            desk.syncer,
            lambda: self._types,
            desk.wrote,
            desk.tell_leader,
            wall,
            rng.random,
        )
        self._other_front = front
        self._mesh = Mesh(desk, self._front)
        self._cloud = CloudCalls(desk)
        self._leading = Leading(desk, self._cloud)
        self._outcomes = Outcomes(desk)
        self._commands = Commands(desk)
        self._probing = Probing(desk, self._mesh)
        self._rebuild: Rebuild | None = None
        if settings.properties.rebuilding == "on":
            from ryegauge.coordination import rebuild

            self._rebuild = rebuild.Rebuild(desk, self._mesh, self._front, disk)
            desk.doubtful = self._rebuild.doubtful
        self._told_overheard = float("-inf")
        self._seen = 0  # revision of the book up to which the loops have been woken
        desk.book.on_job.append(self._on_job)
        desk.syncer.on_sync.append(self._on_sync)

    async def run(self) -> None:
        """Listens, then runs all loops until cancelled."""
        loops: list[Callable[[], Awaitable[None]]] = [
            self._desk.syncer.run,
            self._desk.term.run,
            self._front.write_submissions,
            self._own_parts,
            self._commands.push,
            self._outcomes.write,
            self._report_parts,
            self._hand_over,
            self._listen,
            self._probing.run,
            self._mesh.greet,
            self._mesh.ask_promises,
            self._mesh.probe_state,
            self._mesh.tell_peers,
            self._leading.lead,
            self._leading.archive,
            self._cloud.watch_catalog,
            self._cloud.watch_fleet,
        ]
        if self._rebuild is not None:
            loops.append(self._rebuild.run)
        if (other := self._other_front) is not None:
            loops.append(lambda: other(self._desk, self._front))
        settings = self._desk.settings
        log.info("%s is starting, one of %d", settings.node_name, settings.settings.nodes)
        async with trio.open_nursery() as nursery:
            # Listen first: this process claims what its predecessor held because that one has
            # ended, and being able to bind its addresses shows that it has.
            sockets = sockets_of(settings)
            for address, handler, most in (
                (settings.listen, self._handle_public, sockets.public),
                (settings.mesh_addr, self._mesh.handle, sockets.mesh),
            ):
                listening = trio.Event()
                nursery.start_soon(self._serve, address, handler, most, listening.set)
                await listening.wait()
            for loop in loops:
                nursery.start_soon(self._guarded, loop)

    async def _serve(
        self, address: str, handler: Handler, most: int, listening: Callable[[], None]
    ) -> None:
        await self._desk.network.serve(
            address,
            handler,
            max_connections=most,
            # Peers call less often than all others; a pause must not look like a lost connection.
            idle_s=2 * self._desk.idle_s,
            request_s=self._desk.settings.settings.workers.lease_s / 2,
            listening=listening,
            # Check-ins come first: a worker that is refused loses its lease, a user retries.
            first=CHECKIN.__eq__,
        )

    async def _guarded(self, loop: Callable[[], Awaitable[None]]) -> None:
        """Restarts a loop that fails, since a controller never ends by itself. A loop that
        returns has nothing to do and is not restarted: without peers, the loop that tells them
        of writes returns at once, and restarting it would keep the controller busy with nothing
        else."""
        while True:
            try:
                await loop()
                return
            except Exception:
                log.exception("a controller loop failed and is restarted")
                await trio.sleep(self._desk.report_s / 2)

    def _on_job(self, uid: str) -> None:
        """A job's records changed in the book."""
        for owner in self._desk.owned.values():
            owner.on_job(uid)

    def _on_sync(self) -> None:
        """The book was read: takes up the roles that it newly gives this controller, and drops
        those that it no longer gives."""
        now = trio.current_time()
        if self._desk.book.era != self._desk.term.era:
            self._desk.term.begin_era(self._desk.book.era, now)
        if len(self._types) != len(self._desk.book.types):
            self._types = {
                name: parse(record, MachineType) for name, record in self._desk.book.types.items()
            }
        for part in range(self._desk.settings.settings.nodes):
            token = self._desk.term.token_of(part)
            owner = self._desk.owned.get(part)
            if owner is not None and owner.token != token:
                log.info("no longer owning part %d under token %d", part, owner.token)
                del self._desk.owned[part]
                owner = None
            if owner is None and token is not None:
                log.info("owning part %d under token %d", part, token)
                self._desk.owned[part] = PartOwner(
                    part,
                    token,
                    self._desk.book,
                    self._desk.settings,
                    lambda: self._types,
                    now,
                    max(self._desk.term.settled_at, self._desk.term.promises_end_at),
                    self._rebuild is not None,
                )
        token = self._desk.term.leader_token
        live = len({*self._desk.book.nodes, self._desk.settings.node_name})
        self._desk.state.share(live, token is not None)
        former = self._desk.leader
        if former is not None and former.token != token:
            self._desk.leader = None
        if self._desk.leader is None and token is not None:
            log.info("leading under token %d", token)
            self._desk.leader = Leader(
                token,
                self._desk.book,
                self._desk.settings,
                now,
                self._types,
                former or self._desk.former,
            )
            self._desk.former = None
        if self._desk.book.ledger != self._seen:
            self._seen = self._desk.book.ledger
            self._desk.wake()

    async def _own_parts(self) -> None:
        """Lets the owners of parts act on changes, and at regular intervals."""
        while True:
            busy = any(owner.machines or owner.tasks for owner in self._desk.owned.values())
            with trio.move_on_after(0.25 if busy else self._desk.report_s / 2):
                await self._desk.changed.wait()
            now = trio.current_time()
            if not self._desk.term.valid(now):
                await trio.sleep(0.05)
                continue
            for owner in self._desk.owned.values():
                owner.tick(now, self._desk.wall())
            self._commands.placed.set()
            await trio.sleep(0.04)

    async def _report_parts(self) -> None:
        """Sends the leader views of this controller's parts and applies its orders."""
        while True:
            for owner in list(self._desk.owned.values()):
                now = trio.current_time()
                leader = self._desk.book.leader  # may have changed while a call to it hung
                if leader is None or not self._desk.term.valid(now):
                    continue
                # Machines of other parts that reported here are included once, in the first view.
                overheard = self._desk.overheard.since(self._told_overheard, now, MOST_OVERHEARD)
                view = owner.view(
                    self._desk.settings.node_name,
                    leader.token,
                    now,
                    [(name, ago_s) for name, _, ago_s in overheard],
                )
                orders: object = None
                if leader.node == self._desk.settings.node_name:
                    if self._desk.leader is not None:
                        orders = self._desk.leader.on_view(view, now)
                elif leader.node in self._mesh.peers:
                    orders = await self._mesh.ask(leader.node, view)
                if isinstance(orders, PartOrders):
                    self._told_overheard = now
                    owner.shown(view.seq, orders.resync)
                    owner.gone(orders.gone)
                    owner.retire(orders.retire)
                    owner.unheard(orders.unheard)
                    owner.held_back(orders.mistaken)
                    for machine, uid, count in orders.evict:
                        owner.evict(machine, uid, count)
            # Well below the interval after which the leader considers a part out of sight.
            with trio.move_on_after(self._desk.report_s / 2):
                await self._desk.changed.wait()
            await trio.sleep(self._desk.report_s / 8)

    async def _hand_over(self) -> None:
        """Hands parts over that other controllers should own."""
        while True:
            await trio.sleep(self._desk.report_s)
            for part, token in self._desk.term.surplus():
                owner = self._desk.owned.get(part)
                if owner is None or owner.leaving:
                    continue  # outcomes are written first
                await self._give_back(part, token)

    async def _give_back(self, part: int, token: int) -> None:
        """Gives a part up, so that another controller can take it over."""
        log.info("handing part %d over", part)
        del self._desk.owned[part]
        try:
            await self._desk.term.give_back(part, token)
        except RETRY as error:
            log.info("handing part %d over failed: %s", part, error)

    async def _listen(self) -> None:
        """Tells owners which of their workers reported here, and gives up a part whose workers
        report to others and not here: with this owner their leases would expire."""
        told = trio.current_time()
        while True:
            await trio.sleep(self._desk.report_s / 5)
            now = trio.current_time()
            by_node: dict[str, list[tuple[str, int, float]]] = {}
            for entry in self._desk.overheard.since(told, now, MOST_OVERHEARD):
                owner_of = self._desk.book.parts.get(entry[1])
                if (
                    owner_of is not None
                    and owner_of.node in self._mesh.peers
                    and not self._mesh.reach.silent(owner_of.node, now)
                ):
                    by_node.setdefault(owner_of.node, []).append(entry)
            told = now
            async with trio.open_nursery() as nursery:
                for node, entries in by_node.items():
                    message = Elsewhere(self._desk.settings.node_name, entries)
                    nursery.start_soon(self._mesh.tell, node, message)
            for part, owner in list(self._desk.owned.items()):
                if (
                    self._desk.term.valid(now)
                    and owner.deaf(now)
                    and self._desk.term.cannot_hear(part, now)
                ):
                    log.warning(
                        "giving part %d up: its workers report to other controllers, not here",
                        part,
                    )
                    self._probing.remember(part, owner)
                    # Outcomes that are not written yet stay in the workers' reports.
                    await self._give_back(part, owner.token)

    async def _handle_worker(self, body: bytes) -> Reply:
        """Answers a worker's check-in; 421 if this controller does not own its part."""
        report = parse_report(decode(body))
        now = trio.current_time()
        if self._rebuild is not None:
            self._rebuild.token_shown(report.token)
        part = self._parting.part_of(report.machine, report.zone)
        owner = self._desk.owned.get(part)
        if owner is None:
            self._desk.overheard.heard(report.machine, part, now)
            self._desk.term.hears(part, now)
            other = self._desk.book.parts.get(part)
            # A worker that has seen the owner's token was answered by it and has left it since.
            # Redirected to it, the worker would wait there for an answer while its lease runs
            # out; instead it tries the other controllers in turn, and finds the part's next
            # owner.
            left = other is not None and report.token >= other.token
            if other is not None and not left and other.node != self._desk.settings.node_name:
                return Reply(421, {"foreman": other.node})
            return Reply(421, {})
        if not self._desk.term.valid(now):
            return Reply(503, {"error": "no authority"})
        if report.token > owner.token:
            # Another controller has taken the part over; this one's authority has ended.
            self._desk.syncer.poke()
            return Reply(421, {})
        before = owner.revision
        commands = owner.on_report(report, now)
        if owner.revision != before:
            self._desk.wake()
        return Reply(200, report_reply(owner.token, commands))

    async def _handle_public(self, method: str, target: str, body: bytes) -> Reply:
        """Answers a request of a worker or a user; 503 to users until this controller is ready."""
        if method == "POST" and target == CHECKIN:
            return await self._handle_worker(body)
        if not self._desk.syncer.ready.is_set() or (
            self._rebuild is not None and not self._rebuild.open
        ):
            return Reply(503, {"error": "starting"}, 1.0)
        if target == "/healthz":
            return Reply(200, {"status": "ok"})
        return await self._front.handle(method, target, body)
