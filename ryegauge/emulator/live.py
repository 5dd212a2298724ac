"""A whole installation on real loopback sockets: state service, cloud, workers whose tasks
sleep or run a command, and controllers, all in one process."""

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
    name: str
    cpus: Positive = 8.0
    cpus_max: Positive = 32.0


class Emulation(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What `emulate` starts; every key may be left out."""

    controllers: Annotated[int, msgspec.Meta(ge=0, le=9)] = 1
    teams: tuple[EmulatedTeam, ...] = (
        EmulatedTeam("feed-ops"),
        EmulatedTeam("archive-keepers"),
    )
    types: tuple[FleetType, ...] = (
        FleetType("small", 4.0, 16.0, ["a"], 0.4, 0.1, 2.0, 20.0, 1.0, steady=2, spot=4),
        FleetType("large", 16.0, 64.0, ["a"], 1.4, 0.45, 3.0, 50.0, 1.0, steady=1, spot=1),
    )
    # Class of jobs -> command with its arguments; other classes sleep for `expectS`.
    commands: dict[str, list[str]] = {}
    # A sleeping task takes `expectS` times this.
    speed: Positive = 0.1
    report_s: Positive = 1.0
    lease_s: Positive = 10.0
    cancel_s: Positive = 35.0
    seed: int = 1


def bindings_of(queues_file: str, settings: Settings) -> "Queues":
    """Raises ConfigError, also if what queues need is not installed."""
    try:
        from ryegauge.queues import bindings
    except ImportError as error:
        raise ConfigError(f"queues need: pip install 'ryegauge[queues]' ({error})") from None
    return bindings.load(queues_file, settings)


def loopback(listen: str) -> tuple[str, int]:
    """Host and port; a stand-in is for this machine alone, and refuses any other address."""
    try:
        host, port = split_address(listen)
        address = ipaddress.ip_address(host)
    except ValueError as error:
        raise ConfigError(f"--listen: {error}") from None
    if not address.is_loopback:
        raise ConfigError(f"--listen: {host} is not a loopback address")
    return host, port


class Installation:
    """Addresses follow the first port: users' ports of the controllers, then (from +10)
    those of their peers, state service (+20) and cloud (+21), workers (from +30)."""

    def __init__(self, emulation: Emulation, listen: str, queues_file: str | None = None) -> None:
        """`queues_file` names bindings to be served; raises ConfigError."""
        self._emulation = emulation
        self._host, self._port = loopback(listen)
        self.rng = random.Random(emulation.seed)
        self.report_s, self.lease_s = emulation.report_s, emulation.lease_s
        count = max(1, emulation.controllers)
        self.controllers = {f"node-{n}": self._at(n) for n in range(count)}
        self.state = StateService()
        self.state.on_write.append(self._written)
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
            self._queues = bindings_of(queues_file, self.settings(0))
            host, self._broker_port, *_ = self._queues.bindings[0].brokers[0].address()
            loopback(f"{host}:{self._broker_port}")

    def _at(self, offset: int) -> str:
        return f"{self._host}:{self._port + offset}"

    def settings(self, n: int) -> Settings:
        """What the platform would hand to controller number `n`."""
        e = self._emulation
        names = list(self.controllers)
        return msgspec.convert(
            {
                "node_name": names[n],
                "area": "a",
                "listen": self._at(n),
                "mesh_addr": self._at(10 + n),
                "known": [
                    {"node_name": name, "area": "a", "peer_addr": self._at(10 + i)}
                    for i, name in enumerate(names)
                    if i != n
                ],
                "outside": {"state": self._at(20), "cloud": self._at(21)},
                "settings": {
                    "nodes": len(names),
                    "zones": ["a"],
                    "teams": [msgspec.to_builtins(team) for team in e.teams],
                    "workers": {
                        "report_s": e.report_s,
                        "lease_s": e.lease_s,
                        "cancel_s": e.cancel_s,
                    },
                    "state": {"rps": 200.0, "write_rps": 100.0, "value_kb": 16.0, "txn_ops": 12},
                    "cloud": {"rps": 10.0, "list_lag_s": e.report_s},
                },
            },
            Settings,
        )

    # -- surroundings of the workers -----------------------------------------------------

    def network_of(self, worker: str) -> Network:
        return self._network

    def _written(self, key: str, value: Any) -> None:
        """Users upload their jobs' descriptions to where workers fetch them; here they are
        taken from the records of the jobs."""
        match key.split("/"):
            case ["r", "j", uid]:
                self._specs.setdefault(uid, value["s"])

    def describe(self, uid: str) -> dict[str, Any] | None:
        return self._specs.get(uid)

    def began(self, worker: Worker, task: str) -> None:
        log.info("%s started on %s", task, worker.name)

    def ended(self, worker: Worker, task: str, cause: str) -> None:
        log.info("%s ended on %s: %s", task, worker.name, cause)

    def run_s(self, task: str, spec: dict[str, Any]) -> float:
        if spec["duty"] in self._emulation.commands or spec["shape"] == "standing":
            return 0.0
        return float(spec["expectS"]) * self._emulation.speed

    async def perform(self, task: str, spec: dict[str, Any], seconds: float) -> bool:
        command = self._emulation.commands.get(spec["duty"])
        if spec["shape"] == "standing" and command is None:
            await trio.sleep_forever()
        if command is None:
            await trio.sleep(seconds)
            return True
        # Killed with its scope, when the task is stopped or the emulator ends.
        try:
            done = await trio.run_process(
                command,
                check=False,
                stdin=subprocess.DEVNULL,
                env={**os.environ, "RYEGAUGE_TASK": task},
            )
        except OSError as error:
            log.warning("%s: %s: %s", task, command[0], error)
            return False
        return done.returncode == 0

    # -- running -------------------------------------------------------------------------

    def _rent(self, type_: FleetType, zone: str, spot: bool) -> str:
        self._machines += 1
        name = f"m-{self._machines:06d}"
        worker = Worker(self, name, type_, zone, spot, self._at(29 + self._machines))
        self.workers[name] = worker
        self.nursery.start_soon(worker.run)
        return name

    async def _serve(self, address: str, handler: Handler) -> None:
        await self._network.serve(
            address, handler, max_connections=256, idle_s=60.0, request_s=10.0
        )

    async def run(self) -> None:
        """Until cancelled. Raises OSError if a port is taken."""
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            nursery.start_soon(self._serve, self._at(20), self.state.handle)
            nursery.start_soon(self._serve, self._at(21), self.cloud.handle)
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
