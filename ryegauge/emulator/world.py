"""A whole installation in simulated time: state service, cloud, workers, users, a network
and a checker for every rule of the protocol, around real controllers. Time is trio's
MockClock, luck is seeded: the same seed gives the same day.
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
from ryegauge.emulator.network import HOST, Cut, SimulatedNetwork
from ryegauge.emulator.rules import Checker
from ryegauge.emulator.state import StateService
from ryegauge.emulator.users import Users
from ryegauge.emulator.workers import Worker
from ryegauge.transport.http import Network, Unreachable

WALL = 1_700_000_000.0
RESTART_S = 4.0  # after which a controller that ended is started again, as a rule

# Makes a controller of settings, network, clock and randomness.
Program = Callable[..., Any]


class Happened(NamedTuple):
    """Something worth keeping of a day: seconds since its begin, what, and of whom."""

    at: float
    what: str
    uid: str = ""
    task: str = ""
    machine: str = ""
    detail: str = ""


class World:
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
        # Small pages, so that there are several.
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
        self.state.on_write.append(self._written)
        self.checker = Checker(self)
        self.users = Users(self)
        self.results: set[str] = set()
        self.progress: dict[str, float] = {}
        self.began_at: dict[str, float] = {}  # tasks, on their present machines
        self.happened: list[Happened] = []
        self.scopes: list[trio.CancelScope] = [trio.CancelScope() for _ in settings]
        self.nodes: dict[int, Any] = {}
        # What runs as a controller; a roll replaces it, one after the other.
        self.programs: list[Program] = [Node for _ in settings]
        # Trouble with boots: where, times so much, and the share that never come up.
        self.slow_zones: set[str] = set()
        self.boot_factor, self.boot_fails = 1.0, 0.0
        self.asks_times = 1.0  # users ask so many times as often
        # How far each controller's time of day is from the true one, in seconds.
        # Since when there is no trouble any more.
        self.calm_since = math.inf
        self.disks: dict[int, MemoryDisk] = {}  # of controllers that have one
        self.wall_errors: list[float] = [0.0 for _ in settings]
        self.nursery: trio.Nursery
        self._poll_s, self._resubmits = poll_s, resubmits
        self.restart_s = restart_s
        self._machines = 0
        self._restarts = 0

    # -- surroundings of the workers -----------------------------------------------------

    def network_of(self, worker: str) -> Network:
        return self.network.at(worker)

    def describe(self, uid: str) -> dict[str, Any] | None:
        return self.checker.specs.get(uid)

    def began(self, worker: Worker, task: str) -> None:
        self.note("started", task=task, machine=worker.name)
        self.began_at[task] = trio.current_time()
        self.checker.started(worker, task)

    def ended(self, worker: Worker, task: str, cause: str) -> None:
        self.note("ended", task=task, machine=worker.name, detail=cause)
        if cause == "done":
            self.users.task_done(task)

    def run_s(self, task: str, spec: dict[str, Any]) -> float:
        seconds: float = spec["really"]
        return seconds

    async def perform(self, task: str, spec: dict[str, Any], seconds: float) -> bool:
        await trio.sleep(seconds)
        return True

    # -- machines and controllers --------------------------------------------------------

    def note(
        self, what: str, uid: str = "", task: str = "", machine: str = "", detail: str = ""
    ) -> None:
        uid = uid or task.rpartition("/")[0]
        self.happened.append(Happened(trio.current_time(), what, uid, task, machine, detail))

    def rent(self, label: str, zone: str, spot: bool) -> str:
        return self._rent(self._fleet[label], zone, spot)

    def _rent(self, type_: FleetType, zone: str, spot: bool) -> str:
        self._machines += 1
        name = f"m-{self._machines:06d}"
        worker = self.workers[name] = Worker(self, name, type_, zone, spot, f"{name}:9000")
        if zone in self.slow_zones:
            fails = self.rng.random() < self.boot_fails
            worker.boot_factor = math.inf if fails else self.boot_factor
        self.nursery.start_soon(self.workers[name].run)
        self.note("rented", machine=name)
        return name

    def _returned(self, worker: Worker) -> None:
        hung = worker.hung_until > trio.current_time()
        state = "lost" if not worker.alive else "hung" if hung else "alive"
        tasks = len(worker.on_machine()) if worker.alive else 0
        self.note("returned", machine=worker.name, detail=f"{state} {tasks}")

    def lose(self, worker: Worker) -> None:
        """A machine stops with all that is on it; it says nothing more, not even that."""
        self.network.gone.add(worker.name)
        self.note("lost", machine=worker.name, detail=str(len(worker.on_machine())))
        worker.lost_at = trio.current_time()
        worker.die()

    async def _node(self, n: int) -> None:
        """A controller that is started again whenever it ends."""
        host = self.settings[n].listen.partition(":")[0]
        HOST.set(host)
        while True:
            self._restarts += 1
            rng = random.Random(f"{n}-{self._restarts}")
            with trio.CancelScope() as self.scopes[n]:
                with_disk = {"disk": self.disks[n]} if n in self.disks else {}
                node = self.programs[n](
                    self.settings[n],
                    self.network.at(host),
                    lambda: WALL + trio.current_time() + self.wall_errors[n],
                    rng,
                    **with_disk,
                )
                self.nodes[n] = node
                await node.run()
            await trio.sleep(self.restart_s)

    def crash(self, *numbers: int) -> None:
        for n in numbers:
            self.note("crash", detail=str(n))
            self.scopes[n].cancel()

    @contextmanager
    def _during(self, cut: Cut) -> Iterator[None]:
        self.network.cuts.append(cut)
        try:
            yield
        finally:
            self.network.cuts.remove(cut)
            cut.over.set()

    def cut(self, one: set[str], two: set[str], hold: bool) -> AbstractContextManager[None]:
        return self._during(Cut((one, two), hold))

    def silence(self, hosts: set[str]) -> AbstractContextManager[None]:
        """Nothing comes from them, nothing reaches them and nothing refuses; what was sent
        meanwhile arrives when it is over."""

        class Alone(Cut):
            def parts(cut, a: str, b: str) -> bool:
                return (a in hosts) != (b in hosts)

        return self._during(Alone((hosts, set()), hold=True))

    @contextmanager
    def refused_by_state(self, *numbers: int) -> Iterator[None]:
        """The state service answers these controllers 503, and the others as usual."""
        service = self.settings[0].outside.state.partition(":")[0]
        pairs = {(self.host_of(n), service) for n in numbers}
        self.network.refused |= pairs
        try:
            yield
        finally:
            self.network.refused -= pairs

    @contextmanager
    def slow_state(self, most_s: float) -> Iterator[None]:
        """It carries out at once what it is asked, and answers late."""
        service = self.settings[0].outside.state.partition(":")[0]
        self.network.slow[service] = most_s
        try:
            yield
        finally:
            del self.network.slow[service]

    @contextmanager
    def deaf(self, machines: Collection[str]) -> Iterator[None]:
        """Their reports arrive; answers and direct commands to them are lost."""
        self.network.deaf |= set(machines)
        try:
            yield
        finally:
            self.network.deaf -= set(machines)

    @contextmanager
    def mute(self, machines: Collection[str]) -> Iterator[None]:
        """Their reports reach no controller; direct commands reach them and are answered."""
        self.network.mute |= set(machines)
        try:
            yield
        finally:
            self.network.mute -= set(machines)

    @contextmanager
    def late_writes(self, share: float, at_once: bool = False) -> Iterator[None]:
        """Transactions get no answer, and are carried out later; or `at_once`, and others read
        what they wrote."""
        name = "lost_writes" if at_once else "late_writes"
        setattr(self.network, name, share)
        try:
            yield
        finally:
            setattr(self.network, name, 0.0)

    @contextmanager
    def late_reports(self, share: float, for_next: bool = False) -> Iterator[None]:
        """Copies of reports arrive again, within two and a half leases; or, if they are kept
        `for_next`, at every controller once a new leader is on record."""
        name = "kept_reports" if for_next else "late_reports"
        setattr(self.network, name, share)
        self.network.copies_within_s = 2.5 * self.lease_s
        try:
            yield
        finally:
            setattr(self.network, name, 0.0)

    def _written(self, key: str, value: Any) -> None:
        if key == "r/l":  # its version is the leader's token: a new one with each write
            self.network.deliver_kept(self.controllers.values(), self.report_s)

    async def cancel_now(self, count: int, hang_s: float = 0.0) -> None:
        await self.users.cancel_now(count, hang_s)

    def cancel_at_end(self, share: float) -> AbstractContextManager[None]:
        return self.users.cancel_at_end(share)

    def odd_requests(self) -> AbstractContextManager[None]:
        return self.users.odd_requests()

    def close_looks(self) -> AbstractContextManager[None]:
        return self.users.close_looks()

    def cut_from_state_and_peers(self, n: int, hold: bool) -> AbstractContextManager[None]:
        """Workers and users still reach the controller."""
        service = self.settings[0].outside.state.partition(":")[0]
        others = {self.host_of(other) for other in range(len(self.settings)) if other != n}
        return self.cut({self.host_of(n)}, {service, *others}, hold)

    def host_of(self, n: int) -> str:
        return self.settings[n].listen.partition(":")[0]

    @property
    def leading(self) -> int | None:
        """Which controller leads, by the state service."""
        record = self.state.data.get("r/l")
        return None if record is None else self.names.index(record[0]["o"])

    def zone_of(self, host: str) -> str:
        if (worker := self.workers.get(host)) is not None:
            return worker.zone
        areas = (s.area for s in self.settings if s.listen.partition(":")[0] == host)
        return next(areas, "")

    def cut_zones(self, hold: bool) -> AbstractContextManager[None]:
        """Zones that cannot reach each other; what is regional reaches all."""

        class Zones(Cut):
            def parts(cut, a: str, b: str) -> bool:
                one, two = self.zone_of(a), self.zone_of(b)
                return bool(one and two) and one != two

        return self._during(Zones((set(), set()), hold))

    # -- users ---------------------------------------------------------------------------

    async def ask(
        self, method: str, path: str, body: Any = None, controller: int | None = None
    ) -> tuple[int, Any]:
        """One question, of that controller or of any; status 0: not answered."""
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
        """Submits until accepted, polls until over, cancels if told to. Waits before until
        those that the job needs are accepted, or, if it is to come late, are over."""
        checker, uid = self.checker, body["uid"]
        await trio.sleep(delay)
        for name in body.get("awaits") or ():
            while name not in (checker.final if late else checker.accepted):
                await trio.sleep(0.2)
        checker.specs[uid] = {**body, "really": really, "broken": broken}
        self.note("submitted", uid, detail=body["urgency"])
        while uid not in checker.accepted:
            await self.users.question(uid, "submit", body)
            if uid not in checker.accepted:
                await trio.sleep(1.0)
        self.note("accepted", uid)
        accepted_at = trio.current_time()
        while True:
            await trio.sleep(self.rng.uniform(*self._poll_s) / self.asks_times)
            if cancel_after is not None and trio.current_time() > accepted_at + cancel_after:
                checker.asked_to_cancel.add(uid)
                if checker.final.get(uid) is None:
                    await self.users.question(uid, "cancel")
            await self.users.question(uid, "poll")
            if not self._resubmits and uid in checker.final:
                return
            if self.rng.random() < self._resubmits:
                await self.users.question(uid, "submit", body)

    # -- a day ---------------------------------------------------------------------------

    async def _expire(self) -> None:
        while True:
            self.state.expire()
            if self.state.history_s:
                self.state.remember()
            await trio.sleep(0.5)

    async def play(
        self,
        jobs: Sequence[Callable[[], Awaitable[None]]],
        script: Callable[["World"], Awaitable[None]],
        seconds: float,
    ) -> None:
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
            nursery.start_soon(self._trouble, script)
            await trio.sleep(seconds)
            nursery.cancel_scope.cancel()

    async def _trouble(self, script: Callable[["World"], Awaitable[None]]) -> None:
        await script(self)
        self.calm_since = trio.current_time()

    @property
    def unfinished(self) -> set[str]:
        return {uid for uid in self.checker.specs if uid not in self.checker.final}


def run_simulated(main: Callable[[], Awaitable[None]], seed: int) -> None:
    """In simulated time, in the same order every time."""
    # What trio offers its own tests for this; there is no public way.
    internals: Any = trio._core._run
    internals._ALLOW_DETERMINISTIC_SCHEDULING = True
    internals._r.seed(seed)
    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
