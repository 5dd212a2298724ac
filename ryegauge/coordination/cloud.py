"""The leader's calls to the cloud's API: the catalogue of machine types, the list of machines,
rentals and releases."""

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
    """Calls the cloud within its rate limit, and only while this controller is the leader."""

    def __init__(self, context: NodeContext) -> None:
        self._context = context
        settings = context.settings
        self._client = context.network.client(
            settings.outside.cloud, max_connections=MAX_CLOUD_CONNECTIONS, idle_s=context.idle_s
        )
        # Only the leader calls the cloud, so it may use nearly the whole rate. Not all of it: a
        # new leader may start calling while the calls of the old one still count.
        rps = settings.settings.cloud.rps
        self._rate_budget = Budget(0.8 * rps, rps)
        self._releasing: set[str] = set()  # machines whose release is under way

    def start_calls(
        self,
        nursery: trio.Nursery,
        leader: Leader,
        rentals: list[Rental],
        releases: list[str],
        now: float,
    ) -> None:
        """Starts the calls for these rentals and releases in the background.

        Calls take a while and time out if the cloud is unreachable; rounds go on meanwhile and
        count the requests under way."""
        names = [name for name in releases if name not in self._releasing]
        if names:
            self._releasing.update(names)
            nursery.start_soon(self._release, leader, names)
        for rental in rentals:
            self._start_rental(nursery, leader, rental, now)

    def _start_rental(
        self, nursery: trio.Nursery, leader: Leader, rental: Rental, now: float
    ) -> None:
        """Requests machines in calls of at most 50 each, as far as the cloud's rate allows; the
        next round plans the rest again."""
        remaining = rental.count
        while remaining > 0 and self._rate_budget.try_take():
            batch = Rental(rental.type, rental.zone, rental.spot, min(remaining, 50))
            remaining -= batch.count
            leader.fleet.on_rental_sent(batch, now)
            nursery.start_soon(self._rent, leader, batch)

    async def _rent(self, leader: Leader, rental: Rental) -> None:
        body = {
            # Identifies the request to the cloud; must never be used twice, by any controller.
            "hire": f"{self._context.settings.node_name}-{self._context.random_id(64)}",
            "build": rental.type,
            "district": rental.zone,
            "loaners": rental.spot,
            "count": rental.count,
        }
        try:
            status, answer, _ = await self._client.request(
                "POST", "/hosts", body, timeout_s=self._timeout_s
            )
        except Unreachable as error:
            log.info("renting %s: no answer, so the outcome is unknown: %s", rental, error)
            return  # its machines are expected until they are listed or certainly do not exist
        now = trio.current_time()
        if status == 200:
            names = parse_reply(answer, RentalReply).machines
            log.info("rented %d of %s", len(names), rental)
            leader.fleet.on_rental_granted(rental, names, now)
        elif status == 503 and isinstance(answer, dict) and answer.get("error") == "no capacity":
            leader.fleet.on_rental_refused(rental, now, drop_pending=True)
        else:
            log.info("renting %s failed: the cloud answered with status %d", rental, status)
            leader.fleet.on_rental_failed(rental)

    async def _release(self, leader: Leader, names: list[str]) -> None:
        try:
            await self._rate_budget.take()
            status, _, _ = await self._client.request(
                "POST", "/hosts/release", {"hosts": names}, timeout_s=self._timeout_s
            )
        except Unreachable as error:
            log.info("releasing %s: no answer, so the outcome is unknown: %s", names, error)
            return
        finally:
            self._releasing.difference_update(names)
        if status == 200:
            log.info("released %s", ", ".join(names))
            leader.fleet.on_released(names, trio.current_time())
        else:
            log.info("releasing %s failed: the cloud answered with status %d", names, status)

    @property
    def _timeout_s(self) -> float:
        return max(3.0, self._context.settings.settings.workers.lease_s / 4)

    async def watch_catalog(self) -> None:
        """Reads the catalogue for the leader, who needs its prices, and records the machine
        types in the state service, for all controllers; never returns."""
        read_for_leader: Leader | None = None  # it was read for this leader, at `read_at`
        read_at = float("-inf")
        while True:
            leader = self._context.leading()
            now = trio.current_time()
            reread_after_s = 2 * self._context.settings.settings.workers.lease_s
            pause_s = self._context.report_s / 10
            if leader is not None and (
                leader is not read_for_leader or now > read_at + reread_after_s
            ):
                try:
                    await self._rate_budget.take()
                    status, answer, _ = await self._client.request(
                        "GET", "/catalog", timeout_s=self._timeout_s
                    )
                    if status == 200:
                        types = {t.name: t for t in parse_reply(answer, Catalog).types}
                        if self._context.leader is not None:
                            self._context.leader.fleet.types = types
                        read_for_leader, read_at = leader, now
                        await self._publish_types(types)
                except (Unreachable, Malformed, *RETRYABLE_ERRORS) as error:
                    log.info("reading the catalogue failed: %s", error)
                    pause_s = self._context.report_s
            await trio.sleep(pause_s)

    async def _publish_types(self, types: dict[str, MachineType]) -> None:
        """Records new machine types in the state service. Known ones are not written again: prices
        change, but what fits on a type does not."""
        limits = self._context.settings.state_limits
        changes: list[Put | Delete] = []
        for name in sorted(types.keys() - self._context.replica.types.keys()):
            # The cloud's description may be larger than a value in the state service may be.
            record = msgspec.to_builtins(types[name])
            if value_bytes(record) <= limits.value_bytes:
                changes.append(Put(f"r/c/{name}", record))
            else:
                log.error("machine type %s is not recorded: its description is too large", name)
        for offset in range(0, len(changes), limits.txn_ops):
            batch = changes[offset : offset + limits.txn_ops]
            self._context.announce_write(await self._context.state.commit({}, batch, timeout_s=1.0))

    async def watch_fleet(self) -> None:
        """Reads the list of machines for the leader, four times per list lag but at most once a
        second; never returns."""
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
        """The complete list, read page by page; None if the cloud answers with an error."""
        machines: list[ListedMachine] = []
        target = "/hosts?page=500"
        while True:
            await self._rate_budget.take()
            status, answer, _ = await self._client.request("GET", target, timeout_s=self._timeout_s)
            if status != 200:
                return None
            page = parse_reply(answer, MachinePage)
            machines += page.machines
            if not page.more or not page.machines:
                return machines
            target = f"/hosts?since={page.machines[-1].name}&page=500"
