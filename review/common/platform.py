"""Stand-ins for the platform: the cloud and its machines' workers, as PROTOCOL describes them.

Everything runs in one trio process on loopback sockets. The state service is the project's own
stand-in, `ryegauge.emulator.state.StateService`.
"""

import json
import random
from collections.abc import Callable
from typing import Any

import msgspec
import trio

from common.controllers import Deployment, free_addresses
from common.record import Record
from ryegauge.bookkeeping.budget import Budget
from ryegauge.emulator.state import StateService
from ryegauge.transport.http import Reply, TcpNetwork, Unreachable, decode

REPORT_TIMEOUT_S = 4.0
MIN_REPORT_GAP_S = 0.5


def json_bytes(body: object) -> int:
    """The size of a body as PROTOCOL counts it, in its JSON form."""
    return len(json.dumps(body, separators=(",", ":")))


class MachineType(msgspec.Struct, frozen=True, kw_only=True):
    """A machine type of the cloud, and how many machines of it the cloud has."""

    name: str
    cpus: float
    memory_gb: float
    boot_s: float = 2.0
    price: float = 1.2
    spot_price: float = 0.4
    fetch_gb_per_s: float = 1.0
    zones: tuple[str, ...] = ("curepipe-room",)
    spot: int = 4
    on_demand: int = 0

    def to_wire(self) -> dict[str, Any]:
        """The type as the catalogue shows it."""
        return {
            "label": self.name,
            "cpus": self.cpus,
            "cards": 0,
            "memoryGb": self.memory_gb,
            "cacheGb": 50,
            "fetchGbPerS": self.fetch_gb_per_s,
            "hourly": self.price,
            "lowPrice": self.spot_price,
            "startupS": self.boot_s,
            "districts": list(self.zones),
        }


class Attempt:
    """One attempt of a task on a machine; `state` and `cause` as in reports."""

    __slots__ = ("cause", "number", "scope", "state", "task")

    def __init__(self, task: str, number: int) -> None:
        self.task, self.number = task, number
        self.state, self.cause = "fetching", ""
        self.scope = trio.CancelScope()

    @property
    def on_machine(self) -> bool:
        """Whether the task counts as on its machine: from when it has its image to its exit."""
        return self.state in ("running", "flushing")


class Worker:
    """A machine's worker: reports, lease, commands, image cache and tasks."""

    def __init__(
        self, platform: "Platform", name: str, type_: MachineType, zone: str, spot: bool
    ) -> None:
        self._platform = platform
        self.name, self.type, self.zone, self.spot = name, type_, zone, spot
        self.address = free_addresses(1)[0]
        self.rented_at = trio.current_time()
        self.up = False
        self.shift, self.tally, self.baton = 1, 0, 0
        self.attempts: dict[tuple[str, int], Attempt] = {}
        self.notice_at: float | None = None
        self._images: set[str] = set()
        self._changed = trio.Event()
        self._lease_from = 0.0
        self._nursery: trio.Nursery
        self.scope = trio.CancelScope()
        # Called with the body of each request to `/commands` that was carried out.
        self.on_commands: Callable[[Worker, Any], None] = lambda worker, body: None
        self.largest_report = self.largest_response = self.largest_commands = 0  # JSON bytes
        self.refused_reports = 0  # answered with a status other than 200 and 421
        self.lease_ends = 0

    # -- reports -----------------------------------------------------------------------

    def report(self) -> dict[str, Any]:
        """The next report."""
        self.tally += 1
        pieces = []
        for attempt in self.attempts.values():
            entry: dict[str, Any] = {
                "piece": attempt.task,
                "try": attempt.number,
                "status": attempt.state,
            }
            if attempt.state == "ended":
                entry["cause"] = attempt.cause
            pieces.append(entry)
        body: dict[str, Any] = {
            "host": self.name,
            "address": self.address,
            "build": self.type.name,
            "district": self.zone,
            "loaners": self.spot,
            "shift": self.shift,
            "tally": self.tally,
            "baton": self.baton,
            "pieces": pieces,
        }
        if self.notice_at is not None:
            body["warningS"] = max(0.0, self.notice_at - trio.current_time())
        self.largest_report = max(self.largest_report, json_bytes(body))
        return body

    def give_notice(self, seconds: float) -> None:
        """The cloud will take the machine back in so many seconds."""
        self.notice_at = trio.current_time() + seconds
        self._platform.record.note(f"{self.name}: notice, taken back in {seconds:g} s")
        self._mark_changed()

    def _mark_changed(self) -> None:
        self._changed.set()

    async def _report_loop(self) -> None:
        platform, record = self._platform, self._platform.record
        names = list(platform.controllers)
        clients = {
            name: platform.network.client(address, max_connections=1, idle_s=60.0)
            for name, address in platform.controllers.items()
        }
        current = random.choice(names)
        while True:
            self._changed = trio.Event()
            sent_at, shift = trio.current_time(), self.shift
            try:
                status, body, _ = await clients[current].request(
                    "POST", "/checkin", self.report(), timeout_s=REPORT_TIMEOUT_S
                )
            except Unreachable:
                status, body = 0, None
            if status == 200 and isinstance(body, dict):
                self.largest_response = max(self.largest_response, json_bytes(body))
                if body.get("baton", -1) >= self.baton and shift == self.shift:
                    self._lease_from = max(self._lease_from, sent_at)
                    self._take_baton(body["baton"])
                    self._execute(body["orders"], f"answer of {current}")
                await trio.sleep_until(sent_at + MIN_REPORT_GAP_S)
                pause_s = platform.deployment.report_s * random.uniform(0.75, 1.25)
                with trio.move_on_at(sent_at + max(MIN_REPORT_GAP_S, pause_s)):
                    await self._changed.wait()
                continue
            if status not in (0, 200, 421):
                self.refused_reports += 1
                if self.refused_reports <= 20:
                    record.note(f"{self.name}: {current} answered its report with {status}: {body}")
            foreman = body.get("foreman") if status == 421 and isinstance(body, dict) else None
            if foreman in clients and foreman != current:
                current = foreman
                await trio.sleep(random.uniform(0.0, 0.5))
            else:
                current = names[(names.index(current) + 1) % len(names)]
                await trio.sleep(1.0)

    async def _lease_loop(self) -> None:
        lease_s = self._platform.deployment.lease_s
        while True:
            await trio.sleep_until(self._lease_from + lease_s + 0.001)
            if trio.current_time() <= self._lease_from + lease_s:
                continue
            held = [a for a in self.attempts.values() if a.state != "ended"]
            for attempt in held:
                self._end(attempt, "lease", quiet=len(held) > 20)
            if held:
                self.lease_ends += 1
                self._platform.record.note(
                    f"{self.name}: lease of session {self.shift} ran out, {len(held)} tasks killed"
                )
            self.attempts.clear()
            self.shift += 1
            self._lease_from = trio.current_time()
            self._mark_changed()

    # -- commands ----------------------------------------------------------------------

    def _take_baton(self, baton: int) -> None:
        if baton > self.baton:
            self.baton = baton
            self._mark_changed()

    async def handle(self, method: str, target: str, body: bytes) -> Reply:
        """Answers `/commands` and `/show`."""
        if target == "/show":
            return Reply(200, self.report())
        return self.commands(decode(body), "direct command")

    def commands(self, raw: Any, how: str) -> Reply:
        """Carries out the body of a request to `/commands`, however it came here."""
        self.largest_commands = max(self.largest_commands, json_bytes(raw))
        if not isinstance(raw, dict) or "baton" not in raw or "shift" not in raw:
            return Reply(400, {"error": "baton or shift is missing"})
        if raw["baton"] < self.baton or raw["shift"] != self.shift:
            self._platform.record.note(f"{self.name}: {how} refused with 409")
            return Reply(409, self.report())
        self._take_baton(raw["baton"])
        self._execute(raw["orders"], how)
        self.on_commands(self, raw)
        return Reply(200, self.report())

    def _execute(self, orders: list[dict[str, Any]], how: str) -> None:
        quiet = len(orders) > 20
        if quiet:
            self._platform.record.note(f"{self.name}: {len(orders)} orders by {how}")
        for order in orders:
            task, number = order["piece"], order["try"]
            if not quiet:
                self._platform.record.note(f"{self.name}: {order['verb']} {task} {number} by {how}")
            attempt = self.attempts.get((task, number))
            match order["verb"]:
                case "run" if attempt is None:
                    self._run(task, number)
                case "kill" if attempt is not None:
                    self._end(attempt, "stopped")
                case "forget" if attempt is not None and attempt.state == "ended":
                    del self.attempts[task, number]
            self._mark_changed()

    # -- tasks -------------------------------------------------------------------------

    def _run(self, task: str, number: int) -> None:
        spec = self._platform.jobs.get(task.rpartition("/")[0])
        others = [a for a in self.attempts.values() if a.state != "ended"]
        attempt = self.attempts[task, number] = Attempt(task, number)
        if spec is None:
            attempt.state, attempt.cause = "ended", "unknown"
        elif any(other.task == task for other in others):
            attempt.state, attempt.cause = "ended", "busy"
        elif not self._has_room(spec, others):
            attempt.state, attempt.cause = "ended", "no_room"
        else:
            self._nursery.start_soon(self._live, attempt, spec)

    def _has_room(self, spec: dict[str, Any], others: list[Attempt]) -> bool:
        cpus, memory_gb = spec["cpus"], spec["memoryGb"]
        for other in others:
            other_spec = self._platform.jobs[other.task.rpartition("/")[0]]
            cpus += other_spec["cpus"]
            memory_gb += other_spec["memoryGb"]
        return bool(cpus <= self.type.cpus + 1e-6 and memory_gb <= self.type.memory_gb + 1e-6)

    async def _live(self, attempt: Attempt, spec: dict[str, Any]) -> None:
        with attempt.scope:
            if spec["kit"] not in self._images:
                await trio.sleep(spec["imageGb"] / self.type.fetch_gb_per_s)
                self._images.add(spec["kit"])
            else:
                await trio.lowlevel.checkpoint()
            if attempt.state != "fetching":
                return
            attempt.state = "running"
            self._platform.on_start(self, attempt)
            self._mark_changed()
            if attempt.task not in self._platform.results:
                await trio.sleep(self._platform.run_s(spec))
            self._platform.results.add(attempt.task)
            self._end(attempt, "done")

    def _end(self, attempt: Attempt, cause: str, quiet: bool = False) -> None:
        if attempt.state == "ended":
            return
        ran = attempt.on_machine
        attempt.state, attempt.cause = "ended", cause
        if cause != "done":
            attempt.scope.cancel()
        if ran:
            self._platform.on_end(self, attempt, quiet)
        self._mark_changed()

    # -- the machine's life -------------------------------------------------------------

    async def run(self) -> None:
        """Boots, then reports and serves until the machine is gone."""
        with self.scope:
            await trio.sleep(self.type.boot_s)
            self.up = True
            self._lease_from = trio.current_time()
            self._platform.record.note(f"{self.name}: up, {self.type.name}, {self.address}")
            async with trio.open_nursery() as self._nursery:
                self._nursery.start_soon(serve, self._platform.network, self.address, self.handle)
                self._nursery.start_soon(self._report_loop)
                self._nursery.start_soon(self._lease_loop)

    def take_away(self) -> None:
        """Ends the machine with all that is on it."""
        for attempt in list(self.attempts.values()):
            self._end(attempt, "machine gone")
        self.scope.cancel()


async def serve(network: TcpNetwork, address: str, handler: Callable[..., Any]) -> None:
    """Serves an address until cancelled."""
    await network.serve(address, handler, max_connections=400, idle_s=120.0, request_s=10.0)


def _run_s(spec: dict[str, Any]) -> float:
    """How long a task runs: as its owner expects; a replica of a service, without end."""
    return float("inf") if spec["shape"] == "standing" else float(spec["expectS"])


class Platform:
    """The state service, the cloud and its machines, with checks of what runs on them."""

    def __init__(self, deployment: Deployment, types: list[MachineType], record: Record) -> None:
        self.deployment, self.record = deployment, record
        self.types = {type_.name: type_ for type_ in types}
        self.network = TcpNetwork()
        self.state = StateService(
            value_kb=deployment.value_kb,
            txn_ops=deployment.txn_ops,
            rps=deployment.state_rps,
            write_rps=deployment.state_write_rps,
        )
        self.state_address, self.cloud_address = free_addresses(2)
        self.controllers: dict[str, str] = {}  # name -> address; set before machines are up
        self.jobs: dict[str, dict[str, Any]] = {}  # submitted descriptions
        self.workers: dict[str, Worker] = {}
        self.results: set[str] = set()  # tasks that have completed
        self.starts: dict[str, int] = {}  # task -> how often it started
        self.on_new_worker: Callable[[Worker], None] = lambda worker: None
        self.run_s: Callable[[dict[str, Any]], float] = _run_s
        # Called with each start, after the check of `ran_twice`.
        self.on_started: Callable[[Worker, str], None] = lambda worker, task: None
        self._hires: dict[str, list[str]] = {}
        self._count = 0
        self.quiet = False  # do not record each start and end
        self._nursery: trio.Nursery

    def lower_limits(self) -> None:
        """The state service changes to the limits of `state.next`, without notice."""
        assert self.deployment.next_limits is not None
        write_rps, value_kb, txn_ops = self.deployment.next_limits
        self.state.value_kb, self.state.txn_ops = value_kb, txn_ops
        self.state._change_budget = Budget(write_rps, write_rps)
        self.record.note(f"state service: {value_kb} KiB a value, {txn_ops} changes a transaction")

    # -- checks ------------------------------------------------------------------------

    def on_start(self, worker: Worker, attempt: Attempt) -> None:
        """A task starts on a machine: checks that it is on no other one."""
        if not self.quiet:
            self.record.note(f"{worker.name}: START {attempt.task} {attempt.number}")
        self.starts[attempt.task] = self.starts.get(attempt.task, 0) + 1
        for other in self.workers.values():
            if other is not worker and any(
                a.task == attempt.task and a.on_machine for a in other.attempts.values()
            ):
                self.record.violation(
                    f"ran_twice: {attempt.task} starts on {worker.name} while it is on {other.name}"
                )
        self.on_started(worker, attempt.task)

    def on_end(self, worker: Worker, attempt: Attempt, quiet: bool) -> None:
        """A task has ended on a machine."""
        if not (quiet or self.quiet):
            self.record.note(f"{worker.name}: END {attempt.task} {attempt.number} {attempt.cause}")

    def machines_of(self, task: str) -> list[Worker]:
        """The machines on which a task is now."""
        return [
            worker
            for worker in self.workers.values()
            if any(a.task == task and a.on_machine for a in worker.attempts.values())
        ]

    # -- the cloud ---------------------------------------------------------------------

    async def handle_cloud(self, method: str, target: str, body: bytes) -> Reply:
        """Answers a request to the cloud's interface."""
        if target == "/catalog":
            return Reply(200, {"builds": [type_.to_wire() for type_ in self.types.values()]})
        if method == "POST" and target == "/hosts":
            return self._hire(decode(body))
        if method == "POST" and target == "/hosts/release":
            for name in decode(body)["hosts"]:
                if (worker := self.workers.pop(name, None)) is not None:
                    self.record.note(f"cloud: {name} released")
                    worker.take_away()
            return Reply(200, {})
        if method == "GET" and target.startswith("/hosts"):
            return self._list(target)
        return Reply(400, {"error": "malformed"})

    def _hire(self, raw: dict[str, Any]) -> Reply:
        if raw["hire"] in self._hires:
            return Reply(200, {"hosts": self._hires[raw["hire"]]})
        type_, spot, zone = self.types[raw["build"]], bool(raw["loaners"]), raw["district"]
        held = sum(
            w.type is type_ and w.spot == spot and w.zone == zone for w in self.workers.values()
        )
        count = min(raw["count"], (type_.spot if spot else type_.on_demand) - held)
        if count <= 0:
            return Reply(503, {"error": "no capacity"})
        names = []
        for _ in range(count):
            self._count += 1
            name = f"m-{self._count:06d}"
            worker = self.workers[name] = Worker(self, name, type_, zone, spot)
            self.on_new_worker(worker)
            self._nursery.start_soon(worker.run)
            names.append(name)
        self._hires[raw["hire"]] = names
        self.record.note(f"cloud: rented {', '.join(names)} ({type_.name}, spot {spot})")
        return Reply(200, {"hosts": names})

    def _list(self, target: str) -> Reply:
        since = target.partition("since=")[2].partition("&")[0]
        now, lag_s = trio.current_time(), self.deployment.list_lag_s
        hosts = [
            {
                "uid": w.name,
                "address": w.address,
                "build": w.type.name,
                "district": w.zone,
                "loaners": w.spot,
                "status": "running" if w.up else "starting",
                "heldS": now - lag_s - w.rented_at,
            }
            for w in sorted(self.workers.values(), key=lambda w: w.name)
            if w.name > since and now - w.rented_at >= lag_s
        ]
        return Reply(200, {"hosts": hosts, "hasNext": False})

    async def run(self) -> None:
        """Serves the state service and the cloud until cancelled."""
        async with trio.open_nursery() as self._nursery:
            self._nursery.start_soon(serve, self.network, self.state_address, self.state.handle)
            self._nursery.start_soon(serve, self.network, self.cloud_address, self.handle_cloud)
            await trio.sleep_forever()
