"""A complete installation on loopback sockets in one process: state service, cloud, workers
whose tasks sleep or run a command, and controllers."""

import ipaddress
import logging
import os
import random
import subprocess
import time
from collections import deque
from typing import TYPE_CHECKING, Annotated, Any

import msgspec
import trio

from ryegauge.config import ConfigError, Settings
from ryegauge.coordination.node import Node
from ryegauge.emulator.cloud import Cloud
from ryegauge.emulator.fleet import FleetType
from ryegauge.emulator.state import StateService
from ryegauge.emulator.workers import Worker
from ryegauge.transport.http import Handler, Network, TcpNetwork, split_address

if TYPE_CHECKING:
    from ryegauge.queues.bindings import Queues

log = logging.getLogger(__name__)

Positive = Annotated[float, msgspec.Meta(gt=0)]


class EmulatedTeam(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A team of the installation: its guaranteed cores and its limit."""

    name: str
    cpus: Positive = 8.0
    cpus_max: Positive = 32.0


class Emulation(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Configuration of the `emulate` command; every key has a default."""

    controllers: Annotated[int, msgspec.Meta(ge=0, le=9)] = 1
    teams: tuple[EmulatedTeam, ...] = (
        EmulatedTeam("feed-ops"),
        EmulatedTeam("archive-keepers"),
    )
    types: tuple[FleetType, ...] = (
        FleetType("small", 4.0, 16.0, ["a"], 0.4, 0.1, 2.0, 20.0, 1.0, steady=2, spot=4),
        FleetType("large", 16.0, 64.0, ["a"], 1.4, 0.45, 3.0, 50.0, 1.0, steady=1, spot=1),
    )
    # Job class -> command with its arguments; tasks of other classes sleep.
    commands: dict[str, list[str]] = {}
    # A task that sleeps takes this fraction of its job's `expectS`.
    speed: Positive = 0.1
    report_s: Positive = 1.0
    lease_s: Positive = 10.0
    cancel_s: Positive = 35.0
    seed: int = 1


def load_queues(queues_file: str, settings: Settings) -> "Queues":
    """Loads the queue bindings. Raises ConfigError if the file is invalid or the optional
    dependencies of queues are not installed."""
    try:
        from ryegauge.queues import bindings
    except ImportError as error:
        raise ConfigError(f"queues need: pip install 'ryegauge[queues]' ({error})") from None
    return bindings.load(queues_file, settings)


def parse_loopback_address(listen: str) -> tuple[str, int]:
    """Host and port of a loopback address. Raises ConfigError for any other address: the
    emulator must not be reachable from other machines."""
    try:
        host, port = split_address(listen)
        address = ipaddress.ip_address(host)
    except ValueError as error:
        raise ConfigError(f"--listen: {error}") from None
    if not address.is_loopback:
        raise ConfigError(f"--listen: {host} is not a loopback address")
    return host, port


class Installation:
    """The running installation, which is the environment of its workers.

    Ports are offsets from the port in `listen`: the controllers' ports for users and workers
    (from +0) and for peers (from +10), state service (+20), cloud (+21), workers (from +30).
    """

    def __init__(self, emulation: Emulation, listen: str, queues_file: str | None = None) -> None:
        """`queues_file`: bindings to be served, with an emulated broker. Raises ConfigError if
        `listen`, that file or its first broker's address cannot be used."""
        self._emulation = emulation
        self._host, self._port = parse_loopback_address(listen)
        self.rng = random.Random(emulation.seed)
        self.report_s, self.lease_s = emulation.report_s, emulation.lease_s
        count = max(1, emulation.controllers)
        self.controllers = {f"node-{n}": self._address(n) for n in range(count)}
        self.state = StateService()
        self.state.on_write.append(self._on_state_write)
        self.workers: dict[str, Worker] = {}
        self.cloud = Cloud(
            emulation.types, self.workers, self.rng, self._rent, list_lag_s=self.report_s
        )
        self.results: set[str] = set()
        self.progress: dict[str, float] = {}
        self.nursery: trio.Nursery
        self._network = TcpNetwork()
        self._specs: dict[str, dict[str, Any]] = {}
        self._machines = 0
        self._queues_file = queues_file
        if queues_file is not None:
            self._queues = load_queues(queues_file, self.settings(0))
            host, self._broker_port, *_ = self._queues.bindings[0].brokers[0].address()
            parse_loopback_address(f"{host}:{self._broker_port}")

    def _address(self, offset: int) -> str:
        return f"{self._host}:{self._port + offset}"

    def settings(self, n: int) -> Settings:
        """Settings of controller number `n`, as the platform would provide them."""
        emulation = self._emulation
        names = list(self.controllers)
        return msgspec.convert(
            {
                "node_name": names[n],
                "area": "a",
                "listen": self._address(n),
                "mesh_addr": self._address(10 + n),
                "known": [
                    {"node_name": name, "area": "a", "peer_addr": self._address(10 + i)}
                    for i, name in enumerate(names)
                    if i != n
                ],
                "outside": {"state": self._address(20), "cloud": self._address(21)},
                "settings": {
                    "nodes": len(names),
                    "zones": ["a"],
                    "teams": [msgspec.to_builtins(team) for team in emulation.teams],
                    "workers": {
                        "report_s": emulation.report_s,
                        "lease_s": emulation.lease_s,
                        "cancel_s": emulation.cancel_s,
                    },
                    "state": {"rps": 200.0, "write_rps": 100.0, "value_kb": 16.0, "txn_ops": 12},
                    "cloud": {"rps": 10.0, "list_lag_s": emulation.report_s},
                },
            },
            Settings,
        )

    # -- environment of the workers ------------------------------------------------------

    def network_of(self, worker: str) -> Network:
        """The loopback network, the same for every worker."""
        return self._network

    def _on_state_write(self, key: str, value: Any) -> None:
        """Remembers the specification in a job's record: there is no store to which users
        upload the descriptions that workers fetch."""
        match key.split("/"):
            case ["r", "j", uid]:
                self._specs.setdefault(uid, value["s"])

    def job_spec(self, uid: str) -> dict[str, Any] | None:
        """The job's specification from its record; None if none was written."""
        return self._specs.get(uid)

    def on_task_started(self, worker: Worker, task: str) -> None:
        """Logs the start."""
        log.info("%s started on %s", task, worker.name)

    def on_task_ended(self, worker: Worker, task: str, cause: str) -> None:
        """Logs the end and its cause."""
        log.info("%s ended on %s: %s", task, worker.name, cause)

    def run_s(self, task: str, spec: dict[str, Any]) -> float:
        """Seconds that the task sleeps; 0 if it runs a command or has no end."""
        if spec["duty"] in self._emulation.commands or spec["shape"] == "standing":
            return 0.0
        return float(spec["expectS"]) * self._emulation.speed

    async def execute(self, task: str, spec: dict[str, Any], seconds: float) -> bool:
        """Runs the command of the job's class, or sleeps; whether it succeeded."""
        command = self._emulation.commands.get(spec["duty"])
        if spec["shape"] == "standing" and command is None:
            await trio.sleep_forever()
        if command is None:
            await trio.sleep(seconds)
            return True
        # trio kills the process when the task is stopped or the emulator ends.
        try:
            process = await trio.run_process(
                command,
                check=False,
                stdin=subprocess.DEVNULL,
                env={**os.environ, "RYEGAUGE_TASK": task},
            )
        except OSError as error:
            log.warning("%s: cannot run %s: %s", task, command[0], error)
            return False
        return process.returncode == 0

    # -- running -------------------------------------------------------------------------

    def _rent(self, type_: FleetType, zone: str, spot: bool) -> str:
        self._machines += 1
        name = f"m-{self._machines:06d}"
        worker = Worker(self, name, type_, zone, spot, self._address(29 + self._machines))
        self.workers[name] = worker
        self.nursery.start_soon(worker.run)
        return name

    async def _serve(self, address: str, handler: Handler) -> None:
        await self._network.serve(
            address, handler, max_connections=256, idle_s=60.0, request_s=10.0
        )

    async def run(self) -> None:
        """Runs the installation until cancelled. Raises OSError if a port is taken."""
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            nursery.start_soon(self._serve, self._address(20), self.state.handle)
            nursery.start_soon(self._serve, self._address(21), self.cloud.handle)
            nursery.start_soon(self.cloud.run)
            front = None
            if self._queues_file is not None:
                from ryegauge.emulator.broker import Broker
                from ryegauge.queues.front import front_of

                broker = Broker(nursery, self.rng)
                for binding in self._queues.bindings:
                    broker.queues.setdefault(binding.queue, deque())
                listeners = await trio.open_tcp_listeners(self._broker_port, host=self._host)
                nursery.start_soon(trio.serve_listeners, broker.serve, listeners)
                front = front_of(self._queues, random.SystemRandom())
            for n in range(self._emulation.controllers):
                node = Node(
                    self.settings(n), self._network, time.time, random.SystemRandom(), front
                )
                nursery.start_soon(node.run)
