"""A complete installation in simulated time: real controllers with an emulated state service,
cloud, workers, users and network, and a checker of the protocol's rules. Time is trio's
MockClock and all random numbers are seeded, so one seed always gives the same run.
"""

import math
import random
from collections.abc import Awaitable, Callable, Collection, Iterator, Sequence
from contextlib import AbstractContextManager, contextmanager
from typing import Any, NamedTuple

import trio
import trio.testing

from ryegauge.config import Settings
from ryegauge.coordination.node import Node
from ryegauge.emulator.cloud import Cloud
from ryegauge.emulator.disk import MemoryDisk
from ryegauge.emulator.fleet import SMALL_FLEET, FleetType
from ryegauge.emulator.network import CURRENT_HOST, NetworkCut, SimulatedNetwork
from ryegauge.emulator.rules import Checker
from ryegauge.emulator.state import StateService
from ryegauge.emulator.users import Users
from ryegauge.emulator.workers import Worker
from ryegauge.transport.http import Network, Unreachable

WALL_CLOCK_START_S = 1_700_000_000.0  # time of day at the simulation's start, Unix seconds
RESTART_S = 4.0  # from a controller's end until it is started again, by default

# Creates a controller from settings, network, clock and random number generator.
NodeFactory = Callable[..., Any]


class RecordedEvent(NamedTuple):
    """An event of a run: seconds since its start, kind, and the job, task or machine concerned."""

    at: float
    what: str
    uid: str = ""
    task: str = ""
    machine: str = ""
    detail: str = ""


class World:
    """The simulated installation, which is the environment of its workers, and the faults that
    scripts inject into it.

    `poll_s`: range of a user's pauses between polls; `resubmits`: probability that a user
    repeats a submission after a poll; `restart_s`: from a controller's end until its restart.
    """

    def __init__(
        self,
        settings: list[Settings],
        seed: int,
        *,
        fleet: tuple[FleetType, ...] = SMALL_FLEET,
        state: StateService | None = None,
        poll_s: tuple[float, float] = (1.0, 3.0),
        resubmits: float = 0.1,
        restart_s: float = RESTART_S,
    ) -> None:
        self.settings = settings
        shared = settings[0].settings
        self.names = settings[0].node_names
        self.controllers = {each.node_name: each.listen for each in settings}
        self.report_s, self.lease_s = shared.workers.report_s, shared.workers.lease_s
        self.rng = random.Random(seed)
        self.network = SimulatedNetwork(None, self.rng)
        # Pages of three items, so that lists take several requests.
        self.state = state or StateService(page=3)
        self.workers: dict[str, Worker] = {}
        self.cloud = Cloud(
            fleet,
            self.workers,
            self.rng,
            self._rent,
            list_lag_s=shared.cloud.list_lag_s,
            returned=self._returned,
        )
        self._fleet = {type_.name: type_ for type_ in fleet}
        self.state.on_write.append(self._on_state_write)
        self.checker = Checker(self)
        self.users = Users(self)
        self.results: set[str] = set()
        self.progress: dict[str, float] = {}
        self.began_at: dict[str, float] = {}  # task -> start of its latest attempt
        self.recorded_events: list[RecordedEvent] = []
        # Cancel scopes of the controllers that run now.
        self.scopes: list[trio.CancelScope] = [trio.CancelScope() for _ in settings]
        self.nodes: dict[int, Any] = {}
        # Factory of each controller; rolling updates replace them one by one.
        self.node_factories: list[NodeFactory] = [Node for _ in settings]
        # Zones where machines boot slowly, by which factor, and the share that never boots.
        self.slow_zones: set[str] = set()
        self.boot_factor, self.boot_failure_share = 1.0, 0.0
        self.poll_rate_factor = 1.0  # factor by which users poll more often
        self.troubles_ended_at = math.inf  # when the script ended
        self.snapshot_stores: dict[int, MemoryDisk] = {}  # snapshot directories, by controller
        # Error of each controller's time of day, in seconds.
        self.clock_errors_s: list[float] = [0.0 for _ in settings]
        self.nursery: trio.Nursery
        self._poll_s, self._resubmits = poll_s, resubmits
        self.restart_s = restart_s
        self._machines = 0
        self._restarts = 0

    # -- environment of the workers ------------------------------------------------------

    def network_of(self, worker: str) -> Network:
        """The simulated network as seen from the worker's host."""
        return self.network.at(worker)

    def job_spec(self, uid: str) -> dict[str, Any] | None:
        """The job as its user submitted it, with the emulator's own fields; None: no such job."""
        return self.checker.specs.get(uid)

    def on_task_started(self, worker: Worker, task: str) -> None:
        """Records the event and checks the rules of starts."""
        self.record_event("started", task=task, machine=worker.name)
        self.began_at[task] = trio.current_time()
        self.checker.on_task_started(worker, task)

    def on_task_ended(self, worker: Worker, task: str, cause: str) -> None:
        """Records the event; users may react to it."""
        self.record_event("ended", task=task, machine=worker.name, detail=cause)
        if cause == "done":
            self.users.task_done(task)

    def run_s(self, task: str, spec: dict[str, Any]) -> float:
        """Seconds that the task really runs, whatever its job expects."""
        seconds: float = spec["really"]
        return seconds

    async def execute(self, task: str, spec: dict[str, Any], seconds: float) -> bool:
        """Lets the time pass; always succeeds."""
        await trio.sleep(seconds)
        return True

    # -- machines and controllers --------------------------------------------------------

    def record_event(
        self, what: str, uid: str = "", task: str = "", machine: str = "", detail: str = ""
    ) -> None:
        """Records an event of this moment; a task's event also names its job."""
        uid = uid or task.rpartition("/")[0]
        self.recorded_events.append(
            RecordedEvent(trio.current_time(), what, uid, task, machine, detail)
        )

    def rent(self, label: str, zone: str, spot: bool) -> str:
        """Starts a machine of the type named `label` without the cloud's API; its name."""
        return self._rent(self._fleet[label], zone, spot)

    def _rent(self, type_: FleetType, zone: str, spot: bool) -> str:
        self._machines += 1
        name = f"m-{self._machines:06d}"
        worker = self.workers[name] = Worker(self, name, type_, zone, spot, f"{name}:9000")
        if zone in self.slow_zones:
            fails = self.rng.random() < self.boot_failure_share
            worker.boot_factor = math.inf if fails else self.boot_factor
        self.nursery.start_soon(self.workers[name].run)
        self.record_event("rented", machine=name)
        return name

    def _returned(self, worker: Worker) -> None:
        hung = worker.hung_until > trio.current_time()
        state = "lost" if not worker.alive else "hung" if hung else "alive"
        tasks = len(worker.active_tasks()) if worker.alive else 0
        self.record_event("returned", machine=worker.name, detail=f"{state} {tasks}")

    def fail_machine(self, worker: Worker) -> None:
        """A machine fails with everything on it, without a report; connections to it hang."""
        self.network.powered_off.add(worker.name)
        self.record_event("lost", machine=worker.name, detail=str(len(worker.active_tasks())))
        worker.lost_at = trio.current_time()
        worker.shut_down()

    async def _node(self, n: int) -> None:
        """Runs controller number `n`, and restarts it whenever it ends."""
        host = self.settings[n].listen.partition(":")[0]
        CURRENT_HOST.set(host)
        while True:
            self._restarts += 1
            rng = random.Random(f"{n}-{self._restarts}")
            with trio.CancelScope() as self.scopes[n]:
                with_disk = {"disk": self.snapshot_stores[n]} if n in self.snapshot_stores else {}
                node = self.node_factories[n](
                    self.settings[n],
                    self.network.at(host),
                    lambda: WALL_CLOCK_START_S + trio.current_time() + self.clock_errors_s[n],
                    rng,
                    **with_disk,
                )
                self.nodes[n] = node
                await node.run()
            await trio.sleep(self.restart_s)

    def crash(self, *numbers: int) -> None:
        """Stops these controllers at once; they restart after `restart_s`."""
        for n in numbers:
            self.record_event("crash", detail=str(n))
            self.scopes[n].cancel()

    @contextmanager
    def _with_cut(self, cut: NetworkCut) -> Iterator[None]:
        self.network.cuts.append(cut)
        try:
            yield
        finally:
            self.network.cuts.remove(cut)
            cut.healed.set()

    def cut(self, one: set[str], two: set[str], hold: bool) -> AbstractContextManager[None]:
        """Hosts of one set cannot reach those of the other. With `hold`, messages sent meanwhile
        arrive at the end; otherwise they are lost."""
        return self._with_cut(NetworkCut((one, two), hold))

    def isolate_hosts(self, hosts: set[str]) -> AbstractContextManager[None]:
        """Isolates these hosts from all others: connections hang instead of being refused, and
        messages sent meanwhile arrive at the end."""

        class HostCut(NetworkCut):
            def separates(cut, a: str, b: str) -> bool:
                return (a in hosts) != (b in hosts)

        return self._with_cut(HostCut((hosts, set()), hold=True))

    @contextmanager
    def refused_by_state(self, *numbers: int) -> Iterator[None]:
        """The state service answers these controllers 503, and others as usual."""
        service = self.settings[0].outside.state.partition(":")[0]
        pairs = {(self.host_of(n), service) for n in numbers}
        self.network.refused_routes |= pairs
        try:
            yield
        finally:
            self.network.refused_routes -= pairs

    @contextmanager
    def slow_state(self, max_delay_s: float) -> Iterator[None]:
        """The state service executes requests at once and delays each answer by up to
        `max_delay_s`."""
        service = self.settings[0].outside.state.partition(":")[0]
        self.network.max_answer_delay_s[service] = max_delay_s
        try:
            yield
        finally:
            del self.network.max_answer_delay_s[service]

    @contextmanager
    def inbound_loss(self, machines: Collection[str]) -> Iterator[None]:
        """Reports of these machines arrive; answers and commands to them are lost."""
        self.network.inbound_loss |= set(machines)
        try:
            yield
        finally:
            self.network.inbound_loss -= set(machines)

    @contextmanager
    def outbound_loss(self, machines: Collection[str]) -> Iterator[None]:
        """Reports of these machines reach no controller; commands reach them and are answered."""
        self.network.outbound_loss |= set(machines)
        try:
            yield
        finally:
            self.network.outbound_loss -= set(machines)

    @contextmanager
    def late_writes(self, share: float, at_once: bool = False) -> Iterator[None]:
        """A share of the transactions gets no answer. They are executed later, or, with
        `at_once`, immediately, so that other requests see their effect."""
        name = "lost_writes" if at_once else "late_writes"
        setattr(self.network, name, share)
        try:
            yield
        finally:
            setattr(self.network, name, 0.0)

    @contextmanager
    def late_reports(self, share: float, for_next: bool = False) -> Iterator[None]:
        """A share of the reports is delivered twice, the copy within 2.5 leases; or, with
        `for_next`, the copy reaches every controller once a new leader is on record."""
        name = "kept_reports" if for_next else "late_reports"
        setattr(self.network, name, share)
        self.network.max_copy_delay_s = 2.5 * self.lease_s
        try:
            yield
        finally:
            setattr(self.network, name, 0.0)

    @contextmanager
    def late_commands(self, share: float) -> Iterator[None]:
        """A share of the direct commands gets no answer and is executed 2 to 16 s later, if token
        and session still match."""
        self.network.late_commands = share
        try:
            yield
        finally:
            self.network.late_commands = 0.0

    @contextmanager
    def command_copies(self, share: float) -> Iterator[None]:
        """A share of the direct commands, answered or late ones, arrives a second time: from 2 s
        later to well after the bound of cancellations."""
        self.network.command_copies = share
        cancel_s = self.settings[0].settings.workers.cancel_s
        self.network.max_command_copy_delay_s = 1.5 * cancel_s
        try:
            yield
        finally:
            self.network.command_copies = 0.0

    def _on_state_write(self, key: str, value: Any) -> None:
        # The leader's record: its version is the leader's token, so each write begins a new
        # leadership.
        if key == "r/l":
            self.network.deliver_kept_reports(self.controllers.values(), self.report_s)

    async def cancel_now(self, count: int, hang_s: float = 0.0) -> None:
        """See `Users.cancel_now`."""
        await self.users.cancel_now(count, hang_s)

    def cancel_at_end(self, share: float) -> AbstractContextManager[None]:
        """See `Users.cancel_at_end`."""
        return self.users.cancel_at_end(share)

    def odd_requests(self) -> AbstractContextManager[None]:
        """See `Users.odd_requests`."""
        return self.users.odd_requests()

    def close_looks(self) -> AbstractContextManager[None]:
        """See `Users.close_looks`."""
        return self.users.close_looks()

    def cut_from_state_and_peers(self, n: int, hold: bool) -> AbstractContextManager[None]:
        """Cuts a controller from the state service and its peers; workers and users still
        reach it."""
        service = self.settings[0].outside.state.partition(":")[0]
        others = {self.host_of(other) for other in range(len(self.settings)) if other != n}
        return self.cut({self.host_of(n)}, {service, *others}, hold)

    def host_of(self, n: int) -> str:
        """Host of controller number `n`."""
        return self.settings[n].listen.partition(":")[0]

    @property
    def leader_number(self) -> int | None:
        """Number of the controller that leads according to the state service; None: no record."""
        record = self.state.data.get("r/l")
        return None if record is None else self.names.index(record[0]["o"])

    def zone_of(self, host: str) -> str:
        """Zone of a machine or area of a controller; empty for regional services and users."""
        if (worker := self.workers.get(host)) is not None:
            return worker.zone
        areas = (s.area for s in self.settings if s.listen.partition(":")[0] == host)
        return next(areas, "")

    def cut_zones(self, hold: bool) -> AbstractContextManager[None]:
        """Hosts of different zones cannot reach each other; regional services reach all."""

        class ZoneCut(NetworkCut):
            def separates(cut, a: str, b: str) -> bool:
                one, two = self.zone_of(a), self.zone_of(b)
                return bool(one and two) and one != two

        return self._with_cut(ZoneCut((set(), set()), hold))

    # -- users ---------------------------------------------------------------------------

    async def ask(
        self, method: str, path: str, body: Any = None, controller: int | None = None
    ) -> tuple[int, Any]:
        """Sends a user's request to a controller, or to a random one; returns status and body,
        status 0: not answered."""
        if controller is None:
            address = self.controllers[self.rng.choice(list(self.controllers))]
        else:
            address = self.settings[controller].listen
        try:
            status, answer, _ = await self.network.call("users", address, method, path, body, 5.0)
        except Unreachable:
            return 0, None
        return status, answer

    async def user(
        self,
        body: dict[str, Any],
        *,
        delay: float = 0.0,
        really: float = 8.0,
        broken: bool = False,
        late: bool = False,
        cancel_after: float | None = None,
    ) -> None:
        """A user with one job: submits until it is accepted, then polls until it is final; if the
        world's `resubmits` is not 0, it polls and resubmits until the run ends. Before, it waits
        until the needed jobs are accepted, or, if `late`, final.

        `really`: seconds that each task runs; `broken`: every attempt fails; `cancel_after`:
        seconds from acceptance to cancellation.
        """
        checker, uid = self.checker, body["uid"]
        await trio.sleep(delay)
        for name in body.get("awaits") or ():
            while name not in (checker.final if late else checker.accepted):
                await trio.sleep(0.2)
        checker.specs[uid] = {**body, "really": really, "broken": broken}
        self.record_event("submitted", uid, detail=body["urgency"])
        while uid not in checker.accepted:
            await self.users.ask_and_check(uid, "submit", body)
            if uid not in checker.accepted:
                await trio.sleep(1.0)
        self.record_event("accepted", uid)
        accepted_at = trio.current_time()
        while True:
            await trio.sleep(self.rng.uniform(*self._poll_s) / self.poll_rate_factor)
            if cancel_after is not None and trio.current_time() > accepted_at + cancel_after:
                checker.cancel_requested.add(uid)
                if checker.final.get(uid) is None:
                    await self.users.ask_and_check(uid, "cancel")
            await self.users.ask_and_check(uid, "poll")
            if not self._resubmits and uid in checker.final:
                return
            if self.rng.random() < self._resubmits:
                await self.users.ask_and_check(uid, "submit", body)

    # -- running -------------------------------------------------------------------------

    async def _expire(self) -> None:
        while True:
            self.state.expire()
            if self.state.history_s:
                self.state.record_history()
            await trio.sleep(0.5)

    async def play(
        self,
        jobs: Sequence[Callable[[], Awaitable[None]]],
        script: Callable[["World"], Awaitable[None]],
        seconds: float,
    ) -> None:
        """Runs the installation with these users' jobs and the script of faults for `seconds`."""
        outside = self.settings[0].outside
        async with trio.open_nursery() as nursery:
            self.nursery = self.network.nursery = nursery
            self.network.handlers[outside.state] = self.state.handle
            self.network.handlers[outside.cloud] = self.cloud.handle
            nursery.start_soon(self.cloud.run)
            nursery.start_soon(self._expire)
            nursery.start_soon(self.checker.watch)
            for n in range(len(self.settings)):
                nursery.start_soon(self._node, n)
            for job in jobs:
                nursery.start_soon(job)
            nursery.start_soon(self._run_script, script)
            await trio.sleep(seconds)
            nursery.cancel_scope.cancel()

    async def _run_script(self, script: Callable[["World"], Awaitable[None]]) -> None:
        await script(self)
        self.troubles_ended_at = trio.current_time()

    @property
    def unfinished(self) -> set[str]:
        """Submitted jobs of which no user was told that they are done or cancelled."""
        return {uid for uid in self.checker.specs if uid not in self.checker.final}


def run_simulated(main: Callable[[], Awaitable[None]], seed: int) -> None:
    """Runs `main` in simulated time; tasks are scheduled in the same order for the same seed."""
    # trio has no public interface for this; its own tests use these two.
    internals: Any = trio._core._run
    internals._ALLOW_DETERMINISTIC_SCHEDULING = True
    internals._r.seed(seed)
    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
