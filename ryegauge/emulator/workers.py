"""A stand-in for a worker, after its protocol: reports, leases, commands, images, tasks.

It runs in simulated time and on real sockets alike: network, clock and luck come from its
`Surroundings`, which also say what a task is and what running it means.
"""

import random
from collections.abc import Awaitable
from dataclasses import dataclass, field
from typing import Any, Protocol

import trio

from ryegauge.emulator.fleet import FleetType
from ryegauge.transport.http import Malformed, Network, Reply, Unreachable, decode

ANSWER_S = 4.0
LEAST_GAP_S = 0.5


class Surroundings(Protocol):
    """What a worker stands in."""

    rng: random.Random
    nursery: trio.Nursery
    controllers: dict[str, str]  # name -> address for workers and users
    report_s: float
    lease_s: float
    results: set[str]  # tasks that have completed
    progress: dict[str, float]  # task -> seconds of its run that are saved

    def network_of(self, worker: str) -> Network: ...

    def describe(self, uid: str) -> dict[str, Any] | None:
        """The job as its user submitted it; None: no such job."""
        ...

    def began(self, worker: "Worker", task: str) -> None: ...

    def ended(self, worker: "Worker", task: str, cause: str) -> None: ...

    def perform(self, task: str, spec: dict[str, Any], seconds: float) -> Awaitable[bool]:
        """Runs a task for some of its time; whether it succeeded."""
        ...

    def run_s(self, task: str, spec: dict[str, Any]) -> float: ...


@dataclass
class Attempt:
    number: int
    state: str = "fetching"
    cause: str | None = None
    saved: bool = False
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)


class Worker:
    def __init__(
        self,
        around: Surroundings,
        name: str,
        type_: FleetType,
        zone: str,
        spot: bool,
        address: str,
    ) -> None:
        self._around, self.name, self.type = around, name, type_
        self.zone, self.spot, self.address = zone, spot, address
        self.since = trio.current_time()
        self.ended_at: float | None = None
        self.lost_at: float | None = None  # stopped by itself, and not yet returned
        self.alive, self.up, self.faulty = True, False, False
        self.boot_factor = 1.0  # infinite: never comes up
        self.released_busy = False  # returned to the cloud with tasks running on it
        self.session, self.seq, self.token = 1, 0, 0
        self.notice_at: float | None = None
        self.tasks: dict[str, Attempt] = {}
        self.images: dict[str, float] = {}  # name -> GB, the latest used is last
        self._fetches: dict[str, trio.Event] = {}
        self.hung_until = 0.0
        self.changed = trio.Event()
        self.lease_from = 0.0
        self.scope = trio.CancelScope()
        self._network = around.network_of(name)

    def on_machine(self) -> list[str]:
        return [t for t, a in self.tasks.items() if a.state in ("running", "flushing")]

    def die(self) -> None:
        if self.alive:
            self.ended_at = trio.current_time()
        self.alive = False
        self.scope.cancel()

    async def run(self) -> None:
        with self.scope:
            boot_s = self.type.boot_s * self._around.rng.uniform(0.3, 1.5)
            await trio.sleep(boot_s * self.boot_factor)
            self.up = True
            self.lease_from = trio.current_time()
            async with trio.open_nursery() as nursery:
                self.nursery = nursery
                nursery.start_soon(self._serve)
                nursery.start_soon(self._report_loop)
                nursery.start_soon(self._lease_loop)

    async def _serve(self) -> None:
        await self._network.serve(
            self.address,
            self.handle,
            max_connections=32,
            idle_s=4 * self._around.lease_s,
            request_s=self._around.lease_s,
        )

    async def _awake(self) -> None:
        while self.hung_until > trio.current_time():
            await trio.sleep_until(self.hung_until)

    async def _lease_loop(self) -> None:
        lease_s = self._around.lease_s
        while True:
            # A hanging machine may continue only within its lease.
            await trio.sleep_until(self.lease_from + lease_s + 0.001)
            if trio.current_time() > self.lease_from + lease_s:
                for task, attempt in self.tasks.items():
                    self._end(task, attempt, "lease")
                self.tasks.clear()
                self.session += 1
                self.lease_from = trio.current_time()
                self.changed.set()

    def report(self) -> dict[str, Any]:
        self.seq += 1
        left = None if self.notice_at is None else max(0.0, self.notice_at - trio.current_time())
        return {
            "host": self.name,
            "address": self.address,
            "build": self.type.name,
            "district": self.zone,
            "loaners": self.spot,
            "shift": self.session,
            "tally": self.seq,
            "baton": self.token,
            "warningS": left,
            "pieces": [
                {
                    "piece": t,
                    "try": a.number,
                    "status": a.state,
                    "cause": a.cause,
                    **({"saved": True} if a.saved else {}),
                }
                for t, a in self.tasks.items()
            ],
        }

    async def _report_loop(self) -> None:
        around, rng = self._around, self._around.rng
        names = list(around.controllers)
        node = rng.choice(names)
        callers = {
            name: self._network.client(address, max_connections=1, idle_s=4 * around.lease_s)
            for name, address in around.controllers.items()
        }
        while True:
            await self._awake()
            self.changed = trio.Event()
            sent_at, session = trio.current_time(), self.session
            body: Any = None
            try:
                status, body, _ = await callers[node].request(
                    "POST", "/checkin", self.report(), timeout_s=ANSWER_S
                )
            except Unreachable:
                status = 0
            await self._awake()
            foreman = body.get("foreman") if status == 421 and isinstance(body, dict) else None
            if status == 200:
                if body["baton"] >= self.token and session == self.session:
                    self._see(body["baton"])
                    self.lease_from = max(self.lease_from, sent_at)
                    self._obey(body["orders"])
                await trio.sleep(LEAST_GAP_S)
                pause_s = around.report_s * rng.uniform(0.75, 1.25) - LEAST_GAP_S
                with trio.move_on_after(max(0.0, pause_s)):
                    await self.changed.wait()
            elif foreman in callers and foreman != node:
                node = foreman
                await trio.sleep(rng.uniform(0, 0.5))
            else:
                node = names[(names.index(node) + 1) % len(names)]
                await trio.sleep(1.0)

    def _see(self, token: int) -> None:
        if token > self.token:
            self.token = token
            self.changed.set()

    async def handle(self, method: str, target: str, body: bytes) -> Reply:
        await self._awake()
        if not self.alive:  # it ended with the request on its way
            await trio.sleep_forever()
        if target == "/show":
            return Reply(200, self.report())
        raw = decode(body)
        if not isinstance(raw, dict) or "baton" not in raw or "shift" not in raw:
            raise Malformed("baton or shift is missing")
        if raw["baton"] < self.token or raw["shift"] != self.session:
            return Reply(409, self.report())
        self._see(raw["baton"])
        self._obey(raw["orders"])
        return Reply(200, self.report())

    def _obey(self, orders: list[dict[str, Any]]) -> None:
        for order in orders:
            task, number = order["piece"], order["try"]
            attempt = self.tasks.get(task)
            match order["verb"]:
                case "run":
                    if attempt is None:
                        self._start(task, Attempt(number))
                case "kill" if attempt is not None and attempt.number == number:
                    self._kill(task, attempt, order.get("leewayS", 0.0))
                case "forget" if attempt is not None and attempt.number == number:
                    if attempt.state == "ended":
                        del self.tasks[task]
            self.changed.set()

    def _start(self, task: str, attempt: Attempt) -> None:
        self.tasks[task] = attempt
        spec = self._around.describe(task.rpartition("/")[0])
        if spec is None:
            attempt.state, attempt.cause = "ended", "unknown"
        elif not self._has_room(task, spec):
            attempt.state, attempt.cause = "ended", "no_room"
        else:
            self.nursery.start_soon(self._run, task, attempt, spec)

    def _has_room(self, task: str, spec: dict[str, Any]) -> bool:
        cpus, memory_gb, cards = spec["cpus"], spec["memoryGb"], spec["cards"]
        for other, attempt in self.tasks.items():
            if other != task and attempt.state != "ended":
                it = self._around.describe(other.rpartition("/")[0]) or {}
                cpus += it.get("cpus", 0.0)
                memory_gb += it.get("memoryGb", 0.0)
                cards += it.get("cards", 0.0)
        t = self.type
        slack = 1e-6
        return bool(
            cpus <= t.cpus + slack and memory_gb <= t.memory_gb + slack and cards <= t.gpus + slack
        )

    def _kill(self, task: str, attempt: Attempt, leeway_s: float) -> None:
        if attempt.state == "ended" or (attempt.state == "flushing" and leeway_s > 0):
            return
        spec = self._around.describe(task.rpartition("/")[0]) or {}
        saves = spec.get("waypointS", 0.0) > 0 and leeway_s >= spec.get("stowS", 0.0)
        if attempt.state == "running" and saves:
            attempt.state = "flushing"
            self.nursery.start_soon(self._flush, task, attempt, spec["stowS"])
        else:
            self._end(task, attempt, "stopped")

    async def _flush(self, task: str, attempt: Attempt, stow_s: float) -> None:
        await trio.sleep(stow_s)
        if attempt.state == "flushing":
            attempt.saved = True
            self._end(task, attempt, "stopped")

    def _end(self, task: str, attempt: Attempt, cause: str) -> None:
        if attempt.state == "ended":
            return
        ran = attempt.state in ("running", "flushing")
        attempt.state, attempt.cause = "ended", cause
        attempt.scope.cancel()
        if ran:
            self._around.ended(self, task, cause)
        self.changed.set()

    async def _fetch(self, image: str, gb: float) -> None:
        """Once for all tasks that need it; the most recently used stay."""
        if (fetch := self._fetches.get(image)) is not None:
            await fetch.wait()
        elif image not in self.images:
            fetch = self._fetches[image] = trio.Event()
            try:
                await trio.sleep(gb / self.type.fetch_gb_per_s)
            finally:
                del self._fetches[image]
                fetch.set()
        self.images[image] = self.images.pop(image, gb)
        while sum(self.images.values()) > self.type.cache_gb and len(self.images) > 1:
            del self.images[next(iter(self.images))]

    async def _run(self, task: str, attempt: Attempt, spec: dict[str, Any]) -> None:
        session = self.session
        await self._fetch(spec["kit"], spec["imageGb"])
        await self._awake()

        def current() -> bool:
            mine = self.tasks.get(task) is attempt and self.session == session
            return self.alive and mine and attempt.state != "ended"

        if not current():
            return
        attempt.state = "running"
        self._around.began(self, task)
        self.changed.set()
        good = False
        with attempt.scope:
            if self.faulty or spec.get("broken"):
                await trio.sleep(LEAST_GAP_S)
            elif task in self._around.results:
                good = True
            else:
                good = await self._work(task, attempt, spec, current)
            await self._awake()
        if current() and attempt.state == "running":
            if good:
                self._around.results.add(task)
            self._end(task, attempt, "done" if good else "error")

    async def _work(self, task: str, attempt: Attempt, spec: dict[str, Any], current: Any) -> bool:
        """From the last checkpoint on; each one is kept outside of the machine."""
        around = self._around
        whole = around.run_s(task, spec)
        done = around.progress.get(task, 0.0)
        step = spec.get("waypointS") or whole
        good = True
        while good and (done < whole or not whole):
            part = min(step, whole - done)
            good = await around.perform(task, spec, part)
            done += part
            if not current():
                return False
            if spec.get("waypointS"):
                around.progress[task] = done
            if not whole:
                break
        return good
