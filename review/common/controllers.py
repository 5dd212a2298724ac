"""Starts controllers as separate processes, with the `run` line of the deploy file."""

import os
import random
import shlex
import signal
import socket
import subprocess
import tomllib
from pathlib import Path

import msgspec

from common.record import Record

ROOT = Path(__file__).resolve().parents[2]


class Team(msgspec.Struct, frozen=True):
    """A team in the settings."""

    name: str
    cpus: float
    cpus_max: float


class Deployment(msgspec.Struct, frozen=True, kw_only=True):
    """The settings of a small deployment."""

    nodes: int = 3
    zones: tuple[str, ...] = ("curepipe-room",)
    teams: tuple[Team, ...]
    report_s: float = 1.0
    lease_s: float = 10.0
    cancel_s: float = 35.0
    state_rps: float = 100.0
    state_write_rps: float = 40.0
    value_kb: float = 16.0
    txn_ops: int = 12
    # `state.next`: the limits that the state service will have: write_rps, value_kb, txn_ops.
    next_limits: tuple[float, float, int] | None = None
    cloud_rps: float = 6.0
    list_lag_s: float = 8.0
    memory_mb: float = 106.0
    max_connections: int = 600
    core_share: float = 0.36


# Below the ports that the system gives to outgoing connections, so that none of those takes a port
# between its choice and its use.
FIRST_PORT, LAST_PORT = 15_000, 32_000
_chosen_ports: set[int] = set()
_port_choice = random.Random()  # not seeded: several cases may run at a time


def free_addresses(count: int) -> list[str]:
    """Loopback addresses whose ports are free now, each chosen once."""
    addresses: list[str] = []
    while len(addresses) < count:
        port = _port_choice.randrange(FIRST_PORT, LAST_PORT)
        if port in _chosen_ports:
            continue
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        _chosen_ports.add(port)
        addresses.append(f"127.0.0.1:{port}")
    return addresses


class Controllers:
    """The controller processes of one deployment.

    `state_of` and `peers_of` may name other addresses (of proxies) by which a controller reaches
    the state service or a peer."""

    def __init__(
        self,
        deployment: Deployment,
        directory: Path,
        record: Record,
        state: str,
        cloud: str,
        state_of: dict[str, str] | None = None,
    ) -> None:
        self._deployment = deployment
        self._directory = directory
        self._record = record
        self.names = [f"node-{n}" for n in range(deployment.nodes)]
        addresses = free_addresses(2 * deployment.nodes)
        self.addresses = dict(zip(self.names, addresses[::2], strict=True))
        self.mesh = dict(zip(self.names, addresses[1::2], strict=True))
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        with (ROOT / "deploy/service.toml").open("rb") as file:
            self._command = shlex.split(tomllib.load(file)["run"])
        for n, name in enumerate(self.names):
            state_address = (state_of or {}).get(name, state)
            self._settings_file(name).write_text(self._settings(n, state_address, cloud))

    def _settings_file(self, name: str) -> Path:
        return self._directory / f"{name}.toml"

    def _zone(self, n: int) -> str:
        return self._deployment.zones[n % len(self._deployment.zones)]

    def _settings(self, n: int, state: str, cloud: str) -> str:
        d, name = self._deployment, self.names[n]
        lines = [
            f'node_name = "{name}"',
            f'area = "{self._zone(n)}"',
            f'listen = "{self.addresses[name]}"',
            f'mesh_addr = "{self.mesh[name]}"',
        ]
        for i, other in enumerate(self.names):
            if other != name:
                lines += ["[[known]]", f'node_name = "{other}"', f'area = "{self._zone(i)}"']
                lines += [f'peer_addr = "{self.mesh[other]}"']
        zones = ", ".join(f'"{zone}"' for zone in d.zones)
        lines += ["[outside]", f'cloud = "{cloud}"', f'state = "{state}"']
        lines += ["[settings]", f"nodes = {d.nodes}", f"zones = [{zones}]", "clock_error_ms = 5.0"]
        for team in d.teams:
            lines += ["[[settings.teams]]", f'name = "{team.name}"', f"cpus = {team.cpus}"]
            lines += [f"cpus_max = {team.cpus_max}", "gpus = 0.0", "gpus_max = 0.0"]
        if d.next_limits is not None:
            write_rps, value_kb, txn_ops = d.next_limits
            lines += ["[settings.state.next]", f"write_rps = {write_rps}"]
            lines += [f"value_kb = {value_kb}", f"txn_ops = {txn_ops}"]
        lines += [
            "[settings.workers]",
            f"report_s = {d.report_s}",
            f"lease_s = {d.lease_s}",
            "gang_wait_s = 50.0",
            "gang_peer_s = 4.0",
            f"cancel_s = {d.cancel_s}",
            "[settings.state]",
            f"rps = {d.state_rps}",
            f"write_rps = {d.state_write_rps}",
            f"value_kb = {d.value_kb}",
            f"txn_ops = {d.txn_ops}",
            "[settings.cloud]",
            f"rps = {d.cloud_rps}",
            f"list_lag_s = {d.list_lag_s}",
            "[settings.quota]",
            f"core_share = {d.core_share}",
            f"memory_mb = {d.memory_mb}",
            f"max_connections = {d.max_connections}",
        ]
        return "\n".join(lines) + "\n"

    def start(self, name: str) -> None:
        """Starts a controller; its log goes to a file beside its settings."""
        # Without what the case itself was started with, as operators start it.
        environment = {k: v for k, v in os.environ.items() if not k.startswith("PYTHON")}
        environment.setdefault("LOG_LEVEL", "info")
        with (self._directory / f"{name}.log").open("ab") as log:
            self._processes[name] = subprocess.Popen(
                [*self._command, str(self._settings_file(name))],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=environment,
            )
        self._record.note(f"started {name}, process {self._processes[name].pid}")

    def start_all(self) -> None:
        """Starts all controllers."""
        for name in self.names:
            self.start(name)

    def kill(self, name: str) -> None:
        """Ends a controller with SIGKILL and waits for its end."""
        process = self._processes.pop(name)
        process.kill()
        process.wait()
        self._record.note(f"killed {name}")

    def pause(self, name: str) -> None:
        """Stops a controller with SIGSTOP."""
        self._processes[name].send_signal(signal.SIGSTOP)
        self._record.note(f"stopped {name} (SIGSTOP)")

    def resume(self, name: str) -> None:
        """Lets a stopped controller go on."""
        self._processes[name].send_signal(signal.SIGCONT)
        self._record.note(f"continued {name} (SIGCONT)")

    def end_all(self) -> None:
        """Ends every controller that still runs."""
        for name in list(self._processes):
            self._processes[name].send_signal(signal.SIGCONT)
            self.kill(name)

    def ended(self) -> list[str]:
        """The controllers that have ended by themselves."""
        return [name for name, process in self._processes.items() if process.poll() is not None]

    def log(self, name: str) -> str:
        """What the controller has written to its log."""
        return (self._directory / f"{name}.log").read_text(errors="replace")
