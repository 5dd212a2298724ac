"""A small deployment on loopback addresses for the cases of this review.

The controllers are processes of the project, started with the commands of its deploy file. State
service, cloud and workers are the project's own stand-ins in this process; users are small ones
that follow the protocol. Everything that was sent, answered and run is written to a record.
"""

import os
import random
import shlex
import shutil
import subprocess
import sys
import tempfile
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
sys.path[:0] = [str(ROOT), str(ROOT / "target" / "deps")]

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2

try:
    import trio

    from ryegauge.emulator.cloud import Cloud
    from ryegauge.emulator.fleet import FleetType
    from ryegauge.emulator.state import StateService
    from ryegauge.emulator.workers import Worker
    from ryegauge.transport.http import Handler, Reply, TcpNetwork, Unreachable, decode
except ImportError as error:
    print(f"could not run: {error}")
    sys.exit(COULD_NOT_RUN)

USER_TIMEOUT_S = 5.0
POLL_TIMEOUT_S = 2.0
POLL_INTERVAL_S = 5.0
RETRY_S = 1.0
# Machines are up within two seconds here, which the protocol allows ("at times machines are up
# within a second or two"), so that a case fits into two minutes.
QUICK_BOOT_S = 1.0


class CouldNotRun(Exception):
    """The situation that a case needs did not arise."""


class Placement:
    """One run of a task: from when it has its image until it ends or its machine is gone."""

    def __init__(self, task: str, machine: str, started_at: float) -> None:
        self.task, self.machine, self.started_at = task, machine, started_at
        self.ended_at: float | None = None


class SmallWorker(Worker):
    """A worker as the protocol describes it. A higher token makes it report at most once in half
    of its lease."""

    token_reported_at = float("-inf")

    def _accept_token(self, token: int) -> None:
        if token <= self.token:
            return
        self.token = token
        now = trio.current_time()
        if now - self.token_reported_at >= self._environment.lease_s / 2:
            self.token_reported_at = now
            self.changed.set()


class SmallCloud(Cloud):
    """A cloud that may have fewer machines to give for a while."""

    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self.fewer: dict[tuple[str, bool], int] = {}  # (type, spot) -> machines rented at most

    def _handle_rental(self, raw: dict[str, Any]) -> Reply:
        kind = (raw["build"], raw["loaners"])
        if kind in self.fewer and raw["hire"] not in self.rentals:
            rented = sum(w.alive and (w.type.name, w.spot) == kind for w in self._workers.values())
            if rented >= self.fewer[kind]:
                return Reply(503, {"error": "no capacity"})
            raw = {**raw, "count": min(raw["count"], self.fewer[kind] - rented)}
        return super()._handle_rental(raw)


class World:
    """The deployment: settings as in the site file of `sismotrame-sfax`, with a cloud of its
    own."""

    report_s, lease_s, cancel_s = 2.5, 14.0, 39.0
    first_machine = 231  # number in the name of the first machine
    new_machines_fail = False  # whether machines that are rented now fail every task
    zones = ("sfax-hall", "tunis-annex")
    areas = ("sfax-hall", "tunis-annex", "sfax-hall")  # of the controllers
    teams = (
        ("feed-ops", 72.0, 200.0),
        ("seismo-analysts", 40.0, 120.0),
        ("client-desk", 48.0, 96.0),
        ("archive-keepers", 120.0, 240.0),
        ("platform-crew", 96.0, 160.0),
    )

    def __init__(self, folder: Path, types: list[FleetType]) -> None:
        seed = os.environ.get("SEED", "1")
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.rng = random.Random(seed)
        self._record = (folder / "record.txt").open("w", encoding="utf-8")
        # An address of the loopback network for each run, so that all ports are free.
        self._host = "127." + ".".join(str(1 + octet % 250) for octet in os.urandom(3))
        self.controllers = {
            f"lamphouse-{n}": f"{self._host}:{8000 + n}" for n in range(len(self.areas))
        }
        self.workers: dict[str, SmallWorker] = {}
        self.cloud = SmallCloud(types, self.workers, self.rng, self._rent, list_lag_s=6.0)
        self.results: set[str] = set()
        self.progress: dict[str, float] = {}
        self.placements: list[Placement] = []
        self.answers: dict[str, dict[str, Any]] = {}  # job -> its latest answer
        self.rentals: list[tuple[float, dict[str, Any], int]] = []  # asked of the cloud
        self._specs: dict[str, dict[str, Any]] = {}
        self._run_s: dict[str, float] = {}
        self._network = TcpNetwork()
        self._processes: list[subprocess.Popen[bytes]] = []
        self._started_at = 0.0
        self.nursery: trio.Nursery

    # -- the record ---------------------------------------------------------------------------

    def note(self, text: str) -> None:
        """Writes a line to the record, with the seconds since the start."""
        print(f"{self.now:8.2f}  {text}", file=self._record, flush=True)

    @property
    def now(self) -> float:
        """Seconds since the start."""
        return trio.current_time() - self._started_at

    # -- environment of the workers -------------------------------------------------------------

    def network_of(self, worker: str) -> TcpNetwork:
        """The loopback network."""
        return self._network

    def job_spec(self, uid: str) -> dict[str, Any] | None:
        """The job as its user submitted it."""
        return self._specs.get(uid)

    def run_s(self, task: str, spec: dict[str, Any]) -> float:
        """Seconds that a task of the job runs."""
        return self._run_s[task.partition("/")[0]]

    async def execute(self, task: str, spec: dict[str, Any], seconds: float) -> bool:
        """Lets the time pass; a task of a service never ends by itself."""
        if spec["shape"] == "standing":
            await trio.sleep_forever()
        await trio.sleep(seconds)
        return True

    def on_task_started(self, worker: Worker, task: str) -> None:
        """Notes the start."""
        self.note(f"run: {task} starts on {worker.name}")
        self.placements.append(Placement(task, worker.name, self.now))

    def on_task_ended(self, worker: Worker, task: str, cause: str) -> None:
        """Notes the end."""
        self.note(f"run: {task} ends on {worker.name}: {cause}")
        for placement in self.placements:
            ran_there = (placement.task, placement.machine) == (task, worker.name)
            if ran_there and placement.ended_at is None:
                placement.ended_at = self.now

    def running(self, uid: str) -> dict[str, str]:
        """Task -> machine of the job's tasks that are on a machine now."""
        return {
            p.task: p.machine
            for p in self.placements
            if p.ended_at is None and p.task.startswith(f"{uid}/")
        }

    def _rent(self, type_: FleetType, zone: str, spot: bool) -> str:
        number = self.first_machine + len(self.workers)
        name = f"m-{number:06d}"
        worker = SmallWorker(self, name, type_, zone, spot, f"{self._host}:{9000 + number}")
        worker.boot_factor = QUICK_BOOT_S / type_.boot_s
        worker.faulty = self.new_machines_fail
        self.workers[name] = worker
        self.nursery.start_soon(worker.run)
        self.note(f"cloud: {name} is rented: {type_.name}, {zone}, {'spot' if spot else 'steady'}")
        return name

    def take_back(self, name: str) -> None:
        """The cloud takes a spot machine back without notice; it is not listed any more."""
        worker = self.workers[name]
        assert worker.spot, f"{name} is not a spot machine"
        self.note(f"cloud: {name} is taken back with {worker.active_tasks()}")
        for task in worker.active_tasks():
            self.on_task_ended(worker, task, "its machine is taken back")
        worker.shut_down()

    def stop_machine(self, name: str) -> None:
        """The machine stops with all that is on it."""
        worker = self.workers[name]
        self.note(f"TROUBLE: {name} stops with all that is on it: {worker.active_tasks()}")
        for task in worker.active_tasks():
            self.on_task_ended(worker, task, "its machine has stopped")
        worker.lost_at = trio.current_time()
        worker.shut_down()

    # -- the platform -------------------------------------------------------------------------

    async def _handle_cloud(self, method: str, target: str, body: bytes) -> Reply:
        reply = await self.cloud.handle(method, target, body)
        if method == "POST":
            request = decode(body)
            self.note(f"cloud: {method} {target} {request} -> {reply.status} {reply.body}")
            if target == "/hosts":
                self.rentals.append((self.now, request, reply.status))
        return reply

    async def _serve(self, port: int, handler: Handler) -> None:
        await self._network.serve(
            f"{self._host}:{port}", handler, max_connections=500, idle_s=120.0, request_s=10.0
        )

    def _settings(self, n: int) -> str:
        """The settings file of controller number `n`."""
        names = list(self.controllers)
        lines = [
            f'node_name = "{names[n]}"',
            f'area = "{self.areas[n]}"',
            f'listen = "{self.controllers[names[n]]}"',
            f'mesh_addr = "{self._host}:{8100 + n}"',
        ]
        for i, name in enumerate(names):
            if i != n:
                lines += [
                    "[[known]]",
                    f'node_name = "{name}"',
                    f'area = "{self.areas[i]}"',
                    f'peer_addr = "{self._host}:{8100 + i}"',
                ]
        lines += [
            "[outside]",
            f'cloud = "{self._host}:8443"',
            f'state = "{self._host}:2379"',
            "[settings]",
            f"nodes = {len(names)}",
            f"zones = [{', '.join(f'{zone!r}' for zone in self.zones)}]",
            "clock_error_ms = 5.0",
        ]
        for name, cpus, cpus_max in self.teams:
            lines += ["[[settings.teams]]", f'name = "{name}"', f"cpus = {cpus}"]
            lines += [f"cpus_max = {cpus_max}", "gpus = 0.0", "gpus_max = 0.0"]
        lines += [
            "[settings.workers]",
            f"report_s = {self.report_s}",
            f"lease_s = {self.lease_s}",
            "gang_wait_s = 50.0",
            "gang_peer_s = 4.0",
            f"cancel_s = {self.cancel_s}",
            "[settings.state]",
            "rps = 80.0",
            "write_rps = 20.0",
            "value_kb = 4.0",
            "txn_ops = 12",
            "[settings.cloud]",
            "rps = 5.0",
            "list_lag_s = 6.0",
            "[settings.quota]",
            "core_share = 0.54",
            "memory_mb = 266.0",
            "max_connections = 1500",
        ]
        return "\n".join(lines) + "\n"

    def _start_controller(self, n: int, folder: Path) -> None:
        path = folder / f"controller-{n}.toml"
        path.write_text(self._settings(n), encoding="utf-8")
        deploy = tomllib.loads((ROOT / "deploy" / "service.toml").read_text(encoding="utf-8"))
        with (folder / f"controller-{n}.log").open("ab") as log:
            process = subprocess.Popen(
                [*shlex.split(deploy["run"]), str(path)],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={**os.environ, "LOG_LEVEL": "info"},
            )
        self._processes.append(process)
        self.note(f"controller {n} is started")

    # -- users --------------------------------------------------------------------------------

    async def ask(self, method: str, path: str, body: Any, timeout_s: float) -> tuple[int, Any]:
        """One request of a user over a new connection to some controller; status 0: no answer."""
        address = self.rng.choice(list(self.controllers.values()))
        client = self._network.client(address, max_connections=1, idle_s=0.0)
        try:
            status, answer, _ = await client.request(method, path, body, timeout_s=timeout_s)
        except Unreachable:
            status, answer = 0, None
        finally:
            client.close()
        self.note(f"user: {method} {path} {body or ''} -> {status} {answer}")
        return status, answer

    async def submit(self, job: dict[str, Any], run_s: float) -> None:
        """Submits a job, whose tasks take `run_s` seconds, until it is accepted."""
        uid = job["uid"]
        self._specs[uid], self._run_s[uid] = job, run_s
        give_up_at = self.now + 60.0
        while self.now < give_up_at:
            status, answer = await self.ask("POST", "/v1/jobs", job, USER_TIMEOUT_S)
            if status in (200, 201):
                self.answers[uid] = answer
                self.nursery.start_soon(self._follow, uid)
                return
            if status in (400, 422):
                break
            await trio.sleep(RETRY_S)
        raise CouldNotRun(f"{uid} was not accepted")

    async def _follow(self, uid: str) -> None:
        """Polls a job until it is over."""
        while self.answers[uid]["status"] not in ("done", "cancelled"):
            await trio.sleep(POLL_INTERVAL_S)
            status, answer = await self.ask("GET", f"/v1/jobs/{uid}", None, POLL_TIMEOUT_S)
            if status == 200:
                self.answers[uid] = answer

    async def until(self, what: str, condition: Callable[[], bool], timeout_s: float) -> None:
        """Waits for what the case needs; raises CouldNotRun if it does not come in time."""
        give_up_at = self.now + timeout_s
        while not condition():
            if self.now > give_up_at:
                raise CouldNotRun(f"in {timeout_s:g} s not: {what}")
            await trio.sleep(0.1)
        self.note(f"case: {what}")

    async def sleep(self, seconds: float) -> None:
        """Waits."""
        await trio.sleep(seconds)

    # -- running ------------------------------------------------------------------------------

    async def _run(self, case: "Callable[[World], Any]", folder: Path) -> int:
        self._started_at = trio.current_time()
        state = StateService(value_kb=4.0, txn_ops=12, rps=80.0, write_rps=20.0)
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            nursery.start_soon(self._serve, 2379, state.handle)
            nursery.start_soon(self._serve, 8443, self._handle_cloud)
            nursery.start_soon(self.cloud.run)
            await trio.sleep(0.2)
            for n in range(len(self.areas)):
                self._start_controller(n, folder)
            try:
                with trio.fail_after(115.0):
                    result: int = await case(self)
            finally:
                for process in self._processes:
                    process.kill()
                nursery.cancel_scope.cancel()
        return result

    def play(self, case: "Callable[[World], Any]") -> int:
        """Plays a case; returns the exit status."""
        folder = Path(tempfile.mkdtemp())
        try:
            result = trio.run(self._run, case, folder)
        except BaseException as error:
            self._record.write(f"could not run: {error!r}\n")
            print(f"could not run: {error!r}")
            result = COULD_NOT_RUN
        finally:
            for process in self._processes:
                process.kill()
                process.wait()
            if "KEEP_LOGS" not in os.environ:
                shutil.rmtree(folder, ignore_errors=True)
        outcome = {HELD: "the rule held", BROKEN: "the rule was broken"}.get(
            result, "could not run"
        )
        self._record.write(f"{outcome}\n")
        self._record.close()
        print(outcome)
        return result


def job(uid: str, **fields: Any) -> dict[str, Any]:
    """A job's description with ordinary values where none are given."""
    return {
        "uid": uid,
        "duty": "trace-archive",
        "crew": "platform-crew",
        "shape": "sweep",
        "urgency": "normal",
        "pieces": 1,
        "cpus": 1.0,
        "cards": 0.0,
        "memoryGb": 1.0,
        "kit": "img-07",
        "imageGb": 0.5,
        "builds": None,
        "district": None,
        "together": False,
        "spread": False,
        "loaners": False,
        "expectS": 0.0,
        "waypointS": 0.0,
        "stowS": 0.0,
        "dueS": None,
        **fields,
    }


def small_fleet(**capacity: int) -> list[FleetType]:
    """The machine types of the site file; `capacity` gives how many of each kind there are, as
    `medina_steady` or `medina_spot`."""
    both = list(World.zones)
    return [
        FleetType(
            "sahel-small", 4.0, 32.0, both, 0.31, 0.13, 25.0, 30.0, 1.0,
            steady=capacity.get("sahel_steady", 4), spot=capacity.get("sahel_spot", 8),
        ),
        FleetType(
            "medina-mid", 8.0, 32.0, both, 0.54, 0.21, 25.0, 30.0, 1.0,
            steady=capacity.get("medina_steady", 6), spot=capacity.get("medina_spot", 8),
        ),
        FleetType(
            "atlas-large", 32.0, 256.0, both, 2.5, 1.03, 35.0, 60.0, 1.0,
            steady=capacity.get("atlas_steady", 2), spot=capacity.get("atlas_spot", 4),
        ),
    ]  # fmt: skip
