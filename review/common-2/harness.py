"""A small deployment on loopback for the cases of the second review.

The controllers are started as separate processes with the command of `deploy/service.toml`.
State service, cloud and workers are the project's own stand-ins (`ryegauge.emulator`); they run
in the process of the case. Whatever is sent, answered and run is written to `record.txt`.
"""

import os
import random
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
sys.path[:0] = [str(ROOT), str(ROOT / "target" / "deps")]

import cbor2  # noqa: E402
import trio  # noqa: E402

from ryegauge.emulator.cloud import Cloud  # noqa: E402
from ryegauge.emulator.fleet import FleetType  # noqa: E402
from ryegauge.emulator.state import StateService  # noqa: E402
from ryegauge.emulator.workers import Worker  # noqa: E402
from ryegauge.transport.http import (  # noqa: E402
    Client,
    ConnectionReset,
    TcpNetwork,
    Unreachable,
)

# Exit codes of a case.
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
# Whole run of a case, in seconds; the pages of the review allow 120.
MAX_RUN_S = 117.0
# About how long machines boot, in seconds, whatever their type's nominal time (PROTOCOL: "at times
# machines are up within a second or two").
BOOT_S = 1.5
# Limit of a message's body (PROTOCOL: 64 KiB, also for responses to workers).
MAX_BODY_BYTES = 64 * 1024


class CouldNotRunError(Exception):
    """The case could not be set up."""


def free_ports(count: int) -> list[int]:
    """Ports that are free on the loopback address now, below those that outgoing connections get:
    one of these could be taken again before it is bound."""
    sockets: list[socket.socket] = []
    try:
        while len(sockets) < count:
            sock = socket.socket()
            try:
                sock.bind(("127.0.0.1", random.SystemRandom().randrange(12_000, 32_000)))
            except OSError:
                sock.close()
            else:
                sockets.append(sock)
        return [sock.getsockname()[1] for sock in sockets]
    finally:
        for sock in sockets:
            sock.close()


class LimitedClient:
    """A worker's client. An answer above the protocol's limit is no usable answer."""

    def __init__(self, client: Client, on_too_large: Callable[[int], None]) -> None:
        """`on_too_large` is called with the size of each answer above the limit."""
        self._client = client
        self._on_too_large = on_too_large

    async def request(
        self, method: str, target: str, body: Any = None, *, timeout_s: float
    ) -> tuple[int, Any, float | None]:
        """As `Client.request`."""
        status, answer, retry = await self._client.request(
            method, target, body, timeout_s=timeout_s
        )
        # Counted in the CBOR form, which is smaller than the JSON form that the page names.
        size = 0 if answer is None else len(cbor2.dumps(answer))
        if size > MAX_BODY_BYTES:
            self._on_too_large(size)
            raise ConnectionReset(f"answer of {size} bytes")
        return status, answer, retry

    def close(self) -> None:
        """Closes idle connections."""
        self._client.close()


class WorkerNetwork(TcpNetwork):
    """The loopback network as workers use it."""

    def __init__(self, on_too_large: Callable[[int], None]) -> None:
        """`on_too_large`: see LimitedClient."""
        self._on_too_large = on_too_large

    def client(self, address: str, *, max_connections: int, idle_s: float) -> Any:
        """See Network.client."""
        client = super().client(address, max_connections=max_connections, idle_s=idle_s)
        return LimitedClient(client, self._on_too_large)


class Deployment:
    """A deployment, which is also the environment of its workers."""

    def __init__(
        self,
        folder: Path,
        fleet: tuple[FleetType, ...],
        teams: list[dict[str, Any]],
        *,
        controllers: int = 3,
        zones: tuple[str, ...] = ("a",),
        report_s: float = 1.0,
        lease_s: float = 10.0,
        cancel_s: float = 35.0,
        list_lag_s: float = 2.0,
        state: dict[str, Any] | None = None,
        quota: dict[str, Any] | None = None,
    ) -> None:
        """`folder` is that of the case. `state` and `quota`: tables of the settings file. The
        variable SEED decides when workers report and how much the cloud's list lags."""
        self.record_file = (folder / "record.txt").open("w", encoding="utf-8")
        self.temporary = Path(tempfile.mkdtemp(prefix="ryegauge-review-"))
        self.rng = random.Random(int(os.environ.get("SEED", "1")))
        self.report_s, self.lease_s, self.cancel_s = report_s, lease_s, cancel_s
        self.zones, self.teams, self.list_lag_s = zones, teams, list_lag_s
        self.state_limits = state or {
            "rps": 100.0,
            "write_rps": 40.0,
            "value_kb": 16.0,
            "txn_ops": 12,
        }
        self.quota = quota or {"core_share": 0.36, "memory_mb": 106.0, "max_connections": 600}
        names = [f"node-{n}" for n in range(controllers)]
        ports = free_ports(2 * controllers + 2)
        self.controllers = {
            n: f"127.0.0.1:{p}" for n, p in zip(names, ports[:controllers], strict=True)
        }
        self.mesh = {
            n: f"127.0.0.1:{p}"
            for n, p in zip(names, ports[controllers : 2 * controllers], strict=True)
        }
        self.state_address, self.cloud_address = (f"127.0.0.1:{p}" for p in ports[-2:])
        self.state_addresses = dict.fromkeys(names, self.state_address)
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.workers: dict[str, Worker] = {}
        self.results: set[str] = set()
        self.progress: dict[str, float] = {}
        self.specs: dict[str, dict[str, Any]] = {}
        self.running: dict[str, list[str]] = {}  # task -> machines that it is on
        self.starts: dict[str, int] = {}  # task -> how often it started
        self.too_large = 0  # answers to workers above the limit
        self.run_times: dict[str, Callable[[str], float]] = {}  # job -> run time of a task
        self.broken: set[str] = set()  # jobs whose tasks fail on every machine
        self.violations: list[str] = []
        self._network = TcpNetwork()
        self._worker_network = WorkerNetwork(self._on_too_large)
        self.nursery: trio.Nursery
        self._fleet = fleet
        self._machines = 0
        self.on_rented: Callable[[str], None] = lambda name: None  # called with each new machine

    # -- the record --------------------------------------------------------------------------

    def record(self, text: str) -> None:
        """Writes a line with the time since the start."""
        print(f"{trio.current_time() - self.began:8.3f} {text}", file=self.record_file, flush=True)

    def _on_too_large(self, size: int) -> None:
        self.too_large += 1
        self.record(f"an answer of {size} bytes to a worker is above the limit of 64 KiB")

    # -- environment of the workers ------------------------------------------------------------

    def network_of(self, worker: str) -> Any:
        """The loopback network, the same for every worker."""
        return self._worker_network

    def job_spec(self, uid: str) -> dict[str, Any] | None:
        """The job as its user uploaded it."""
        return self.specs.get(uid)

    def on_task_started(self, worker: Worker, task: str) -> None:
        """Records the start, and a task that is on another machine already."""
        others = [name for name in self.running.get(task, []) if self.workers[name].alive]
        if others:
            self.violations.append(f"ran_twice: {task} on {worker.name} and {others}")
            self.record(self.violations[-1])
        self.running[task] = [*others, worker.name]
        self.starts[task] = self.starts.get(task, 0) + 1
        self.record(f"{worker.name}: {task} starts")

    def on_task_ended(self, worker: Worker, task: str, cause: str) -> None:
        """Records the end and its cause."""
        self.running[task] = [n for n in self.running.get(task, []) if n != worker.name]
        self.record(f"{worker.name}: {task} ends: {cause}")

    def run_s(self, task: str, spec: dict[str, Any]) -> float:
        """Seconds that the task runs; 0 if it has no end."""
        if spec["shape"] == "standing":
            return 0.0
        uid = task.rpartition("/")[0]
        return self.run_times.get(uid, lambda _: float(spec["expectS"]))(task)

    async def execute(self, task: str, spec: dict[str, Any], seconds: float) -> bool:
        """Sleeps; whether the task succeeded."""
        if spec["shape"] == "standing":
            await trio.sleep_forever()
        if task.rpartition("/")[0] in self.broken:
            await trio.sleep(0.5)
            return False
        await trio.sleep(seconds)
        return True

    def _rent(self, type_: FleetType, zone: str, spot: bool) -> str:
        self._machines += 1
        name = f"m-{self._machines:06d}"
        (port,) = free_ports(1)
        worker = Worker(self, name, type_, zone, spot, f"127.0.0.1:{port}")
        worker.boot_factor = BOOT_S / type_.boot_s
        self.workers[name] = worker
        self.nursery.start_soon(worker.run)
        self.record(f"cloud: rents out {name}, {type_.name} in {zone}, spot: {spot}")
        self.on_rented(name)
        return name

    def _on_returned(self, worker: Worker) -> None:
        self.record(f"cloud: {worker.name} is returned, running {worker.active_tasks()}")

    # -- controllers ---------------------------------------------------------------------------

    def _settings(self, name: str) -> str:
        """The settings file of a controller."""
        names = list(self.controllers)
        zone_of = {n: self.zones[i % len(self.zones)] for i, n in enumerate(names)}

        def table(title: str, values: dict[str, Any]) -> str:
            lines = [f"{k} = {_toml(v)}" for k, v in values.items()]
            return "\n".join([title, *lines, ""])

        parts = [
            table(
                "",
                {
                    "node_name": name,
                    "area": zone_of[name],
                    "listen": self.controllers[name],
                    "mesh_addr": self.mesh[name],
                },
            )
        ]
        parts += [
            table(
                "[[known]]",
                {"node_name": n, "area": zone_of[n], "peer_addr": self.peer_address(name, n)},
            )
            for n in names
            if n != name
        ]
        parts.append(
            table("[outside]", {"cloud": self.cloud_address, "state": self.state_addresses[name]})
        )
        parts.append(
            table(
                "[settings]",
                {"nodes": len(names), "zones": list(self.zones), "clock_error_ms": 250.0},
            )
        )
        parts += [table("[[settings.teams]]", team) for team in self.teams]
        workers = {"report_s": self.report_s, "lease_s": self.lease_s, "cancel_s": self.cancel_s}
        parts.append(table("[settings.workers]", workers))
        parts.append(table("[settings.state]", self.state_limits))
        parts.append(table("[settings.cloud]", {"rps": 6.0, "list_lag_s": self.list_lag_s}))
        parts.append(table("[settings.quota]", self.quota))
        return "\n".join(parts)

    def peer_address(self, name: str, peer: str) -> str:
        """Where controller `name` reaches `peer`; a case may put a proxy in between."""
        return self.mesh[peer]

    def start_controller(self, name: str) -> None:
        """Starts a controller with the command of the deploy file."""
        config = self.temporary / f"{name}.toml"
        config.write_text(self._settings(name), encoding="utf-8")
        deploy = tomllib.loads((ROOT / "deploy" / "service.toml").read_text(encoding="utf-8"))
        command = [*shlex.split(deploy["run"]), str(config)]
        with (self.temporary / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                command,
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={
                    "LOG_LEVEL": "info",
                    **{k: v for k, v in os.environ.items() if k != "PYTHONPYCACHEPREFIX"},
                },
            )
        self.record(f"{name}: started as process {self.processes[name].pid}")

    def signal(self, name: str, number: int) -> None:
        """Sends a signal to a controller that this case started."""
        self.processes[name].send_signal(number)
        self.record(f"{name}: signal {number}")

    def dead_controllers(self) -> list[str]:
        """Controllers that have ended by themselves."""
        return [n for n, process in self.processes.items() if process.poll() is not None]

    # -- users ---------------------------------------------------------------------------------

    def job(self, number: int, **fields: Any) -> dict[str, Any]:
        """A job description with ordinary values; registers it for the workers."""
        spec = {
            "uid": f"wk-{number:06d}",
            "duty": "demo",
            "crew": self.teams[0]["name"],
            "shape": "sweep",
            "urgency": "normal",
            "pieces": 4,
            "cpus": 1.0,
            "cards": 0.0,
            "memoryGb": 1.0,
            "kit": "img-1",
            "imageGb": 0.5,
            "together": False,
            "spread": False,
            "loaners": True,
            "expectS": 5.0,
            "waypointS": 0.0,
            "stowS": 0.0,
            "dueS": 300.0,
            **fields,
        }
        self.specs[spec["uid"]] = spec
        return spec

    async def request(
        self, node: str, method: str, path: str, body: Any = None, timeout_s: float = 5.0
    ) -> tuple[int, Any]:
        """One user's request to a controller, over a connection of its own; status 0 without an
        answer."""
        host, _, port = self.controllers[node].rpartition(":")
        client = Client(host, int(port), max_connections=1, idle_s=1.0)
        try:
            status, answer, _ = await client.request(method, path, body, timeout_s=timeout_s)
        except Unreachable as error:
            status, answer = 0, str(error)
        finally:
            client.close()
        shown = body.get("uid", "") if isinstance(body, dict) else ""
        self.record(f"user: {method} {path} {shown} at {node}: {status} {answer}")
        return status, answer

    async def submit(self, spec: dict[str, Any], node: str | None = None) -> bool:
        """Submits a job, with repetitions for 60 s as the protocol describes; whether it was
        accepted."""
        names = list(self.controllers)
        give_up_at = trio.current_time() + 60.0
        attempt = 0
        while trio.current_time() < give_up_at:
            name = node or names[attempt % len(names)]
            attempt += 1
            status, _ = await self.request(name, "POST", "/v1/jobs", spec)
            if status in (200, 201):
                return True
            if status in (400, 422):
                return False
            await trio.sleep(1.0)
        return False

    async def poll(self, uid: str, node: str | None = None) -> str:
        """The job's status by the first controller that answers, or "" if none does."""
        for name in [node] if node else list(self.controllers):
            status, answer = await self.request(name, "GET", f"/v1/jobs/{uid}", timeout_s=2.0)
            if status == 200:
                return str(answer["status"])
            if status == 404:
                return "404"
        return ""

    async def wait_for(self, uid: str, wanted: set[str], within_s: float) -> str:
        """Polls until the job has one of the wanted states; returns the last state."""
        until = trio.current_time() + within_s
        state = ""
        while trio.current_time() < until:
            state = await self.poll(uid) or state
            if state in wanted:
                break
            await trio.sleep(1.0)
        return state

    async def wait_until_healthy(self, within_s: float = 20.0) -> None:
        """Waits until every controller answers. Raises CouldNotRunError."""
        until = trio.current_time() + within_s
        for name in self.controllers:
            while (await self.request(name, "GET", "/healthz", timeout_s=1.0))[0] != 200:
                if trio.current_time() > until:
                    raise CouldNotRunError(f"{name} does not become healthy")
                await trio.sleep(0.2)

    # -- running -------------------------------------------------------------------------------

    async def _serve(self, address: str, handler: Any) -> None:
        await self._network.serve(
            address, handler, max_connections=256, idle_s=60.0, request_s=10.0
        )

    async def run(self, case: Callable[["Deployment"], Awaitable[int]]) -> int:
        """Starts everything, runs the case and ends everything; returns the exit code."""
        self.began = trio.current_time()
        limits = {k: v for k, v in self.state_limits.items() if k != "next"}
        self.state = StateService(**limits)
        self.cloud = Cloud(
            self._fleet,
            self.workers,
            self.rng,
            self._rent,
            list_lag_s=self.list_lag_s,
            returned=self._on_returned,
        )
        result = COULD_NOT_RUN
        try:
            with trio.move_on_after(MAX_RUN_S):
                async with trio.open_nursery() as nursery:
                    self.nursery = nursery
                    nursery.start_soon(self._serve, self.state_address, self.state.handle)
                    nursery.start_soon(self._serve, self.cloud_address, self.cloud.handle)
                    nursery.start_soon(self.cloud.run)
                    for name in self.controllers:
                        self.start_controller(name)
                    try:
                        await self.wait_until_healthy()
                        result = await case(self)
                    except CouldNotRunError as error:
                        self.record(f"the case could not run: {error}")
                    nursery.cancel_scope.cancel()
        finally:
            for process in self.processes.values():
                process.kill()
                process.wait()
            self.record(f"result: {result}")
            self.record_file.close()
            if os.environ.get("KEEP_LOGS"):
                print(self.temporary)
            else:
                shutil.rmtree(self.temporary, ignore_errors=True)
        return result


def _toml(value: Any) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, str):
        return f'"{value}"'
    if isinstance(value, list):
        return "[" + ", ".join(_toml(v) for v in value) + "]"
    if isinstance(value, dict):
        return "{ " + ", ".join(f"{k} = {_toml(v)}" for k, v in value.items()) + " }"
    return str(value)


def trouble() -> bool:
    """Whether the disruption is to happen."""
    return os.environ.get("TROUBLE", "1") != "0"


def main(deployment: Deployment, case: Callable[[Deployment], Awaitable[int]]) -> None:
    """Runs the case and exits with its result. A request to end also ends the controllers."""
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    result = trio.run(deployment.run, case)
    print({HELD: "the rule held", BROKEN: "the rule was broken"}.get(result, "could not run"))
    sys.exit(result)
