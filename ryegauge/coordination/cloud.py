"""The leader's calls to the cloud: the catalogue, the list, rentals and returns."""

import logging

import msgspec
import trio

from ryegauge.bookkeeping.budget import Budget
from ryegauge.bookkeeping.state import Delete, Put
from ryegauge.bookkeeping.state_replica import value_bytes
from ryegauge.coordination.connection_limits import MAX_CLOUD_CONNECTIONS
from ryegauge.coordination.leader import Leader
from ryegauge.coordination.node_context import RETRYABLE_ERRORS, NodeContext
from ryegauge.protocol.cloud import (
    Catalog,
    ListedMachine,
    MachinePage,
    MachineType,
    RentalReply,
    parse_reply,
)
from ryegauge.scheduling.planner import Rental
from ryegauge.transport.http import Malformed, Unreachable

log = logging.getLogger(__name__)


class CloudClient:
    def __init__(self, context: NodeContext) -> None:
        self._context = context
        settings = context.settings
        self._cloud = context.network.client(
            settings.outside.cloud, max_connections=MAX_CLOUD_CONNECTIONS, idle_s=context.idle_s
        )
        # Only the leader calls the cloud; a new one may follow an old one closely.
        rps = settings.settings.cloud.rps
        self._cloud_budget = Budget(0.8 * rps, rps)
        self._releasing: set[str] = set()  # machines whose return is under way

    def start(
        self,
        nursery: trio.Nursery,
        leader: Leader,
        rentals: list[Rental],
        releases: list[str],
        now: float,
    ) -> None:
        """Calls take a while, and time out when the cloud is away: rounds go on meanwhile,
        and count what is under way."""
        names = [name for name in releases if name not in self._releasing]
        if names:
            self._releasing.update(names)
            nursery.start_soon(self._release, leader, names)
        for rental in rentals:
            self._start_rental(nursery, leader, rental, now)

    def _start_rental(
        self, nursery: trio.Nursery, leader: Leader, rental: Rental, now: float
    ) -> None:
        """In calls of at most fifty, within the cloud's rate; the rest comes next round."""
        left = rental.count
        while left > 0 and self._cloud_budget.try_take():
            some = Rental(rental.type, rental.zone, rental.spot, min(left, 50))
            left -= some.count
            leader.fleet.on_rental_sent(some, now)
            nursery.start_soon(self._rent, leader, some)

    async def _rent(self, leader: Leader, rental: Rental) -> None:
        body = {
            # Never used again, by us or another: a fresh random name.
            "hire": f"{self._context.settings.node_name}-{self._context.random_id(64)}",
            "build": rental.type,
            "district": rental.zone,
            "loaners": rental.spot,
            "count": rental.count,
        }
        try:
            status, answer, _ = await self._cloud.request(
                "POST", "/hosts", body, timeout_s=self._cloud_timeout_s
            )
        except Unreachable as error:
            log.info("renting %s: outcome unknown: %s", rental, error)
            return  # counted on until it shows in the list or surely does not
        now = trio.current_time()
        if status == 200:
            names = parse_reply(answer, RentalReply).machines
            log.info("rented %d of %s", len(names), rental)
            leader.fleet.rented(rental, names, now)
        elif status == 503 and isinstance(answer, dict) and answer.get("error") == "no capacity":
            leader.fleet.on_rental_refused(rental, now, settle=True)
        else:
            log.info("renting %s: status %d", rental, status)
            leader.fleet.on_rental_failed(rental)

    async def _release(self, leader: Leader, names: list[str]) -> None:
        try:
            await self._cloud_budget.take()
            status, _, _ = await self._cloud.request(
                "POST", "/hosts/release", {"hosts": names}, timeout_s=self._cloud_timeout_s
            )
        except Unreachable as error:
            log.info("releasing %s: outcome unknown: %s", names, error)
            return
        finally:
            self._releasing.difference_update(names)
        if status == 200:
            log.info("released %s", ", ".join(names))
            leader.fleet.released(names, trio.current_time())
        else:
            log.info("releasing %s: status %d", names, status)

    @property
    def _cloud_timeout_s(self) -> float:
        return max(3.0, self._context.settings.settings.workers.lease_s / 4)

    async def watch_catalog(self) -> None:
        """Prices for the leader; the types themselves for all, through the book."""
        read_for: Leader | None = None  # and not again for a while
        read_at = float("-inf")
        while True:
            leader = self._context.leading()
            now = trio.current_time()
            lasting_s = 2 * self._context.settings.settings.workers.lease_s
            pause = self._context.report_s / 10
            if leader is not None and (leader is not read_for or now > read_at + lasting_s):
                try:
                    await self._cloud_budget.take()
                    status, answer, _ = await self._cloud.request(
                        "GET", "/catalog", timeout_s=self._cloud_timeout_s
                    )
                    if status == 200:
                        types = {t.name: t for t in parse_reply(answer, Catalog).types}
                        if self._context.leader is not None:
                            self._context.leader.fleet.types = types
                        read_for, read_at = leader, now
                        await self._publish_types(types)
                except (Unreachable, Malformed, *RETRYABLE_ERRORS) as error:
                    log.info("reading the catalogue failed: %s", error)
                    pause = self._context.report_s
            await trio.sleep(pause)

    async def _publish_types(self, types: dict[str, MachineType]) -> None:
        """Written when types appear: prices move, but what fits where does not."""
        limits = self._context.settings.state_limits
        changes: list[Put | Delete] = []
        for name in sorted(types.keys() - self._context.replica.types.keys()):
            # What else the cloud says of a type may be more than a value holds.
            record = msgspec.to_builtins(types[name])
            if value_bytes(record) <= limits.value_bytes:
                changes.append(Put(f"r/c/{name}", record))
            else:
                log.error("machine type %s: its description is too long", name)
        for first in range(0, len(changes), limits.txn_ops):
            some = changes[first : first + limits.txn_ops]
            self._context.announce_write(await self._context.state.commit({}, some, timeout_s=1.0))

    async def watch_fleet(self) -> None:
        while True:
            await trio.sleep(max(1.0, self._context.settings.settings.cloud.list_lag_s / 4))
            leader = self._context.leading()
            if leader is None:
                continue
            try:
                machines = await self._list_machines()
            except (Unreachable, Malformed) as error:
                log.debug("listing machines failed: %s", error)
                continue
            if machines is not None:
                leader.on_machine_list(machines, trio.current_time())

    async def _list_machines(self) -> list[ListedMachine] | None:
        machines: list[ListedMachine] = []
        target = "/hosts?page=500"
        while True:
            await self._cloud_budget.take()
            status, answer, _ = await self._cloud.request(
                "GET", target, timeout_s=self._cloud_timeout_s
            )
            if status != 200:
                return None
            page = parse_reply(answer, MachinePage)
            machines += page.machines
            if not page.more or not page.machines:
                return machines
            target = f"/hosts?since={page.machines[-1].name}&page=500"
