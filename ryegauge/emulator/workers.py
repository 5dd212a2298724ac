"""An emulator of a worker: reports, lease, commands, image cache and tasks.

It runs in simulated time and on real sockets alike: network and random numbers come from its
`WorkerEnvironment`, which also provides the jobs' specifications and executes tasks.
"""

import random
from collections.abc import Awaitable
from dataclasses import dataclass, field
from typing import Any, Protocol

import trio

from ryegauge.emulator.fleet import FleetType
from ryegauge.transport.http import Malformed, Network, Reply, Unreachable, decode

REPORT_TIMEOUT_S = 4.0
MIN_REPORT_GAP_S = 0.5  # between reports; also the time after which a broken task fails


class WorkerEnvironment(Protocol):
    """What a worker needs from the installation in which it runs."""

    rng: random.Random
    nursery: trio.Nursery
    controllers: dict[str, str]  # name -> address for users and workers
    report_s: float
    lease_s: float
    results: set[str]  # tasks that have completed
    progress: dict[str, float]  # task -> seconds of its run up to its last checkpoint

    def network_of(self, worker: str) -> Network:
        """The network as seen from the worker."""
        ...

    def job_spec(self, uid: str) -> dict[str, Any] | None:
        """The job's specification as submitted; None: no such job."""
        ...

    def on_task_started(self, worker: "Worker", task: str) -> None:
        """Called when a task begins to run, after its image is fetched."""
        ...

    def on_task_ended(self, worker: "Worker", task: str, cause: str) -> None:
        """Called when a task that ran has ended; `cause` as in reports."""
        ...

    def execute(self, task: str, spec: dict[str, Any], seconds: float) -> Awaitable[bool]:
        """Runs a task for some seconds of its time; whether it succeeded."""
        ...

    def run_s(self, task: str, spec: dict[str, Any]) -> float:
        """Seconds that the whole task runs; 0: `execute` decides."""
        ...


@dataclass
class Attempt:
    """One attempt of a task on this worker; `state` and `cause` as in reports, `saved`: a
    checkpoint was written when it was stopped, `scope`: cancels it."""

    number: int
    state: str = "fetching"
    cause: str | None = None
    saved: bool = False
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)


class Worker:
    """A machine with its worker, from its rental to its end."""

    def __init__(
        self,
        environment: WorkerEnvironment,
        name: str,
        type_: FleetType,
        zone: str,
        spot: bool,
        address: str,
    ) -> None:
        self._environment, self.name, self.type = environment, name, type_
        self.zone, self.spot, self.address = zone, spot, address
        self.since = trio.current_time()  # when it was rented
        self.ended_at: float | None = None
        self.lost_at: float | None = None  # when it failed; None: it did not, or it was released
        # Not stopped; has booted; fails every task.
        self.alive, self.up, self.faulty = True, False, False
        self.boot_factor = 1.0  # of the usual boot time; infinite: never boots
        self.returned_while_busy = False  # released to the cloud while tasks ran on it
        self.session, self.seq, self.token = 1, 0, 0
        self.notice_at: float | None = None
        self.attempts: dict[tuple[str, int], Attempt] = {}  # (task, attempt number) -> state
        self.images: dict[str, float] = {}  # cached, name -> GB, least recently used first
        self._fetches: dict[str, trio.Event] = {}
        self.hung_until = 0.0  # until then it neither sends nor answers
        self.changed = trio.Event()  # set when there is something new to report
        self.lease_renewed_at = 0.0  # start of the present lease
        self.scope = trio.CancelScope()
        self._network = environment.network_of(name)

    def active_tasks(self) -> list[str]:
        """Tasks that run or write a checkpoint now."""
        return [
            task for (task, _), a in self.attempts.items() if a.state in ("running", "flushing")
        ]

    def shut_down(self) -> None:
        """Stops the machine with everything on it."""
        if self.alive:
            self.ended_at = trio.current_time()
        self.alive = False
        self.scope.cancel()

    async def run(self) -> None:
        """Boots, then serves commands and reports until the machine stops."""
        with self.scope:
            boot_s = self.type.boot_s * self._environment.rng.uniform(0.3, 1.5)
            await trio.sleep(boot_s * self.boot_factor)
            self.up = True
            self.lease_renewed_at = trio.current_time()
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
            idle_s=4 * self._environment.lease_s,
            request_s=self._environment.lease_s,
        )

    async def _wait_while_hung(self) -> None:
        while self.hung_until > trio.current_time():
            await trio.sleep_until(self.hung_until)

    async def _lease_loop(self) -> None:
        lease_s = self._environment.lease_s
        while True:
            # Not delayed while the machine hangs: its tasks end with the lease.
            await trio.sleep_until(self.lease_renewed_at + lease_s + 0.001)
            if trio.current_time() > self.lease_renewed_at + lease_s:
                for (task, _), attempt in self.attempts.items():
                    self._end(task, attempt, "lease")
                self.attempts.clear()
                self.session += 1
                self.lease_renewed_at = trio.current_time()
                self.changed.set()

    def report(self) -> dict[str, Any]:
        """The next report, as it is sent to controllers."""
        self.seq += 1
        warning_s = (
            None if self.notice_at is None else max(0.0, self.notice_at - trio.current_time())
        )
        return {
            "host": self.name,
            "address": self.address,
            "build": self.type.name,
            "district": self.zone,
            "loaners": self.spot,
            "shift": self.session,
            "tally": self.seq,
            "baton": self.token,
            "warningS": warning_s,
            "pieces": [
                {
                    "piece": task,
                    "try": a.number,
                    "status": a.state,
                    "cause": a.cause,
                    **({"saved": True} if a.saved else {}),
                }
                for (task, _), a in self.attempts.items()
            ],
        }

    async def _report_loop(self) -> None:
        environment, rng = self._environment, self._environment.rng
        names = list(environment.controllers)
        controller = rng.choice(names)
        clients = {
            name: self._network.client(address, max_connections=1, idle_s=4 * environment.lease_s)
            for name, address in environment.controllers.items()
        }
        while True:
            await self._wait_while_hung()
            self.changed = trio.Event()
            sent_at, session = trio.current_time(), self.session
            body: Any = None
            try:
                status, body, _ = await clients[controller].request(
                    "POST", "/checkin", self.report(), timeout_s=REPORT_TIMEOUT_S
                )
            except Unreachable:
                status = 0
            await self._wait_while_hung()
            owner = body.get("foreman") if status == 421 and isinstance(body, dict) else None
            if status == 200:
                if body["baton"] >= self.token and session == self.session:
                    self._accept_token(body["baton"])
                    self.lease_renewed_at = max(self.lease_renewed_at, sent_at)
                    self._execute_orders(body["orders"])
                await trio.sleep(MIN_REPORT_GAP_S)
                pause_s = environment.report_s * rng.uniform(0.75, 1.25) - MIN_REPORT_GAP_S
                with trio.move_on_after(max(0.0, pause_s)):
                    await self.changed.wait()
            elif owner in clients and owner != controller:
                controller = owner
                await trio.sleep(rng.uniform(0, 0.5))
            else:
                controller = names[(names.index(controller) + 1) % len(names)]
                await trio.sleep(1.0)

    def _accept_token(self, token: int) -> None:
        if token > self.token:
            self.token = token
            self.changed.set()

    async def handle(self, method: str, target: str, body: bytes) -> Reply:
        """Answers a controller's request: `/show` or commands, which are refused with 409 if
        their token is outdated or their session is another. Raises Malformed."""
        await self._wait_while_hung()
        if not self.alive:  # it stopped while the request was in flight
            await trio.sleep_forever()
        if target == "/show":
            return Reply(200, self.report())
        raw = decode(body)
        if not isinstance(raw, dict) or "baton" not in raw or "shift" not in raw:
            raise Malformed("baton or shift is missing")
        if raw["baton"] < self.token or raw["shift"] != self.session:
            return Reply(409, self.report())
        self._accept_token(raw["baton"])
        self._execute_orders(raw["orders"])
        return Reply(200, self.report())

    def _execute_orders(self, orders: list[dict[str, Any]]) -> None:
        for order in orders:
            task, number = order["piece"], order["try"]
            attempt = self.attempts.get((task, number))
            match order["verb"]:
                case "run" if attempt is None:
                    self._start(task, Attempt(number))
                case "kill" if attempt is not None:
                    self._kill(task, attempt, order.get("leewayS", 0.0))
                case "forget" if attempt is not None and attempt.state == "ended":
                    del self.attempts[task, number]
            self.changed.set()

    def _start(self, task: str, attempt: Attempt) -> None:
        is_busy = any(
            other == task and held.state != "ended" for (other, _), held in self.attempts.items()
        )
        self.attempts[task, attempt.number] = attempt
        spec = self._environment.job_spec(task.rpartition("/")[0])
        if spec is None:
            attempt.state, attempt.cause = "ended", "unknown"
        elif is_busy:
            attempt.state, attempt.cause = "ended", "busy"
        elif not self._has_room(task, spec):
            attempt.state, attempt.cause = "ended", "no_room"
        else:
            self.nursery.start_soon(self._run, task, attempt, spec)

    def _has_room(self, task: str, spec: dict[str, Any]) -> bool:
        cpus, memory_gb, cards = spec["cpus"], spec["memoryGb"], spec["cards"]
        for (other, _), attempt in self.attempts.items():
            if other != task and attempt.state != "ended":
                other_spec = self._environment.job_spec(other.rpartition("/")[0]) or {}
                cpus += other_spec.get("cpus", 0.0)
                memory_gb += other_spec.get("memoryGb", 0.0)
                cards += other_spec.get("cards", 0.0)
        t = self.type
        tolerance = 1e-6
        return bool(
            cpus <= t.cpus + tolerance
            and memory_gb <= t.memory_gb + tolerance
            and cards <= t.gpus + tolerance
        )

    def _kill(self, task: str, attempt: Attempt, grace_s: float) -> None:
        if attempt.state == "ended" or (attempt.state == "flushing" and grace_s > 0):
            return
        spec = self._environment.job_spec(task.rpartition("/")[0]) or {}
        saves_checkpoint = spec.get("waypointS", 0.0) > 0 and grace_s >= spec.get("stowS", 0.0)
        if attempt.state == "running" and saves_checkpoint:
            attempt.state = "flushing"
            self.nursery.start_soon(self._flush, task, attempt, spec["stowS"])
        else:
            self._end(task, attempt, "stopped")

    async def _flush(self, task: str, attempt: Attempt, flush_s: float) -> None:
        await trio.sleep(flush_s)
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
            self._environment.on_task_ended(self, task, cause)
        self.changed.set()

    async def _fetch_image(self, image: str, gb: float) -> None:
        """Fetches an image once for all tasks that wait for it, and evicts the least recently
        used ones when the cache is full."""
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
        await self._fetch_image(spec["kit"], spec["imageGb"])
        await self._wait_while_hung()

        def is_current() -> bool:
            is_current_attempt = (
                self.attempts.get((task, attempt.number)) is attempt and self.session == session
            )
            return self.alive and is_current_attempt and attempt.state != "ended"

        if not is_current():
            return
        attempt.state = "running"
        self._environment.on_task_started(self, task)
        self.changed.set()
        succeeded = False
        with attempt.scope:
            if self.faulty or spec.get("broken"):
                await trio.sleep(MIN_REPORT_GAP_S)
            elif task in self._environment.results:
                succeeded = True
            else:
                succeeded = await self._run_from_checkpoint(task, attempt, spec, is_current)
            await self._wait_while_hung()
        if is_current() and attempt.state == "running":
            if succeeded:
                self._environment.results.add(task)
            self._end(task, attempt, "done" if succeeded else "error")

    async def _run_from_checkpoint(
        self, task: str, attempt: Attempt, spec: dict[str, Any], is_current: Any
    ) -> bool:
        """Runs the task from its last checkpoint; checkpoints survive the machine."""
        environment = self._environment
        total_s = environment.run_s(task, spec)
        done_s = environment.progress.get(task, 0.0)
        step_s = spec.get("waypointS") or total_s
        succeeded = True
        while succeeded and (done_s < total_s or not total_s):
            part_s = min(step_s, total_s - done_s)
            succeeded = await environment.execute(task, spec, part_s)
            done_s += part_s
            if not is_current():
                return False
            if spec.get("waypointS"):
                environment.progress[task] = done_s
            if not total_s:
                break
        return succeeded
