"""The platform's settings file (TOML) and the operators' properties, both checked."""

import math
import os
import tomllib
from pathlib import Path
from typing import Annotated, Any, Literal, TypeVar

import msgspec

from ryegauge.transport.http import split_address

T = TypeVar("T")

Positive = Annotated[float, msgspec.Meta(gt=0)]
NonNegative = Annotated[float, msgspec.Meta(ge=0)]
Count = Annotated[int, msgspec.Meta(ge=1)]
Assignment = Annotated[float, msgspec.Meta(ge=0, le=1)]

# A value that a job's record fits into with names of ordinary length.
LEAST_VALUE = 950

# Steady clocks of two machines drift apart by at most this much (protocol).
CLOCK_DRIFT = 0.0005


class ConfigError(Exception):
    """A settings or properties file that cannot be used; says which key and why."""


class Team(msgspec.Struct, frozen=True):
    name: str
    cpus: NonNegative = 0.0
    cpus_max: NonNegative = 0.0
    gpus: NonNegative = 0.0
    gpus_max: NonNegative = 0.0

    @property
    def cpu_limit(self) -> float:
        """What its tasks may use at any time. 0 in the settings means that there is no such
        limit: guests are named with zeros and have their jobs accepted. (Taken for a limit of
        nothing, 587 of 872 submissions of a recorded day were answered 422.)"""
        return self.cpus_max or math.inf

    @property
    def gpu_limit(self) -> float:
        return self.gpus_max or math.inf


class Objective(msgspec.Struct, frozen=True, rename={"job_class": "class"}):
    kind: str
    share: float = 0.0
    job_class: str = ""
    within_s: float = 0.0
    times: float = 1.0


class Workers(msgspec.Struct, frozen=True):
    report_s: Positive
    lease_s: Positive
    cancel_s: Positive


class NextState(msgspec.Struct, frozen=True):
    """Limits that the state service will have from some moment that nobody announces."""

    rps: Positive | None = None
    write_rps: Positive | None = None
    value_kb: Positive | None = None
    txn_ops: Count | None = None


class State(msgspec.Struct, frozen=True):
    rps: Positive
    write_rps: Positive
    value_kb: Positive
    txn_ops: Count
    next: NextState | None = None

    @property
    def safe(self) -> "State":
        """The smaller of the present and the coming limits: within both at any time."""
        if self.next is None:
            return self
        names = ("rps", "write_rps", "value_kb", "txn_ops")
        coming = {n: v for n in names if (v := getattr(self.next, n)) is not None}
        least = {n: min(v, getattr(self, n)) for n, v in coming.items()}
        return msgspec.structs.replace(self, next=None, **least)

    @property
    def value_bytes(self) -> int:
        """What a value may take, with something to spare for how the service counts."""
        return int(0.95 * 1024 * self.value_kb)

    @property
    def max_conditions(self) -> int:
        return 4 * self.txn_ops


class Cloud(msgspec.Struct, frozen=True):
    rps: Positive
    list_lag_s: NonNegative = 0.0


class Quota(msgspec.Struct, frozen=True):
    core_share: Positive = 1.0
    memory_mb: Positive = 256.0
    max_connections: Count = 1000


class Shared(msgspec.Struct, frozen=True):
    nodes: Count
    zones: list[str]
    teams: list[Team]
    workers: Workers
    state: State
    cloud: Cloud
    clock_error_ms: NonNegative = 0.0
    objectives: list[Objective] = []
    quota: Quota = Quota()


class Peer(msgspec.Struct, frozen=True):
    node_name: str
    peer_addr: str
    area: str = ""


class Outside(msgspec.Struct, frozen=True):
    cloud: str
    state: str


class Properties(msgspec.Struct, frozen=True):
    """The operators' own settings; docs/operations/ explains each."""

    takeback_threshold: Assignment = 0.6
    takeback_window_s: Positive = 30.0
    # How long a machine may stand idle, as a multiple of its nominal boot time.
    idle_boots: NonNegative = 0.5
    # How long a task waits for a busy machine rather than have one rented, likewise.
    patience_boots: NonNegative = 0.5
    # What deleting a machine costs at least; an idle one is kept that long.
    paid_period_s: NonNegative = 60.0
    # How much is rented ahead for tasks on machines that are most likely lost, before that is
    # sure: CPUs, as a share of the running fleet's. docs/operations/recovery.md.
    ahead_share: Assignment = 0.5
    # In which order jobs get room; docs/operations/priorities.md.
    ordering: Literal["settled", "ageing", "strict"] = "settled"
    # How long the first task of a critical job waits before its age counts, in leases,
    # and by how much longer that is with each step down in priority.
    ageing_patience_leases: Positive = 10.0
    ageing_rank_factor: Annotated[float, msgspec.Meta(ge=1)] = 2.0
    # Share of the fleet reserved for aged work: at least, and at most.
    ageing_floor: Assignment = 0.05
    ageing_ceiling: Assignment = 0.1
    # How long room is held free for an aged task that fits nowhere, in leases.
    ageing_hold_leases: NonNegative = 10.0
    # How long urgent work waits before lower work is stopped for it, in reports.
    ageing_stop_reports: NonNegative = 1.0
    # Whether to notice that the state service has lost data, and to put it back;
    # docs/operations/rebuilding.md.
    rebuilding: Literal["off", "on"] = "off"
    # Where snapshots are kept, a directory of this machine; none are taken if it is empty.
    snapshots_directory: str = ""
    snapshots_every_s: Positive = 30.0
    # The file that names the queues to be served; none are if it is empty.
    queues_file: str = ""
    # HOST:PORT where a Prometheus server may ask for figures of the queues; "": nowhere.
    metrics_listen: str = ""


# Properties that are not numbers.
TEXTS = ("ordering", "rebuilding", "snapshots_directory", "queues_file", "metrics_listen")


class Settings(msgspec.Struct, frozen=True):
    node_name: str
    area: str
    listen: str
    mesh_addr: str
    outside: Outside
    settings: Shared
    known: list[Peer] = []
    properties: Properties = Properties()

    @property
    def node_names(self) -> list[str]:
        return sorted({self.node_name, *(peer.node_name for peer in self.known)})

    @property
    def state_limits(self) -> State:
        return self.settings.state.safe

    @property
    def report_gap_s(self) -> float:
        """The longest ordinary pause between a worker's reports."""
        return self.settings.workers.report_s * 1.25

    @property
    def max_lease_s(self) -> float:
        """A worker's lease has run out, for certain, this long after its report came in."""
        return self.settings.workers.lease_s * (1 + 4 * CLOCK_DRIFT) + 0.1

    @property
    def controller_lease_s(self) -> float:
        """How long authority lasts past the renewal that obtained it.

        A controller that nobody can reach may go on answering its workers for a
        term, and they keep their tasks for a lease after that; both together,
        with the reports around them and drift, must fit into `cancel_s`.
        """
        w = self.settings.workers
        spare = w.cancel_s * (1 - 4 * CLOCK_DRIFT) - w.lease_s - 2 * self.report_gap_s
        # Half a lease: the tasks of a controller that ends outlive its term, so that
        # another can take them over.
        return min(0.5 * w.lease_s, 0.9 * spare)


def read_toml(path: str | Path, kind: type[T], without: str = "") -> T:
    """What a TOML file holds, checked; raises ConfigError with the place at fault. The
    table `without` is left out."""
    try:
        raw = tomllib.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        raise ConfigError(f"{path}: cannot be read: {error.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise ConfigError(f"{path}: not TOML: {error}") from None
    raw.pop(without, None)
    try:
        return msgspec.convert(raw, kind)
    except msgspec.ValidationError as error:
        raise ConfigError(f"{path}: {error}") from None


def load(path: str | Path, properties: str | Path | None = None) -> Settings:
    """Reads and checks the settings; raises ConfigError with the key at fault."""
    settings = read_toml(path, Settings, without="properties")
    _check(settings, str(path))
    properties = properties or os.environ.get("RYEGAUGE_PROPERTIES")
    if properties:
        settings = msgspec.structs.replace(settings, properties=load_properties(properties))
    return settings


def _check(settings: Settings, path: str) -> None:
    addresses = {
        "listen": settings.listen,
        "mesh_addr": settings.mesh_addr,
        "outside.cloud": settings.outside.cloud,
        "outside.state": settings.outside.state,
    }
    for peer in settings.known:
        addresses[f"known.peer_addr ({peer.node_name})"] = peer.peer_addr
    for key, text in addresses.items():
        try:
            split_address(text)
        except ValueError as error:
            raise ConfigError(f"{path}: {key}: {error}") from None
    for team in settings.settings.teams:
        if team.cpus > team.cpu_limit or team.gpus > team.gpu_limit:
            raise ConfigError(
                f"{path}: settings.teams ({team.name}): the guarantee must not exceed the maximum"
            )
    limits = settings.state_limits
    if settings.settings.nodes + 1 > limits.max_conditions:
        # A cancellation names a condition for the job and for each part's share of it.
        raise ConfigError(
            f"{path}: settings.state.txn_ops: {limits.txn_ops} allows {limits.max_conditions} "
            f"conditions; expected at least one more than settings.nodes "
            f"({settings.settings.nodes})"
        )
    if limits.value_bytes < LEAST_VALUE:
        raise ConfigError(
            f"{path}: settings.state.value_kb: {limits.value_kb:g}; "
            f"expected at least {LEAST_VALUE / 1024:g}"
        )
    w = settings.settings.workers
    if settings.controller_lease_s < 2 * w.report_s or settings.controller_lease_s < 0.1:
        raise ConfigError(
            f"{path}: settings.workers.cancel_s: {w.cancel_s:g} leaves no room for a term of "
            f"authority; expected more than lease_s ({w.lease_s:g}) and five reports "
            f"({w.report_s:g} each) together"
        )


def load_properties(path: str | Path) -> Properties:
    """Java-style properties: `takeback.threshold = 0.3` and so on."""
    import javaproperties

    try:
        with open(path, encoding="utf-8") as file:
            pairs = javaproperties.load(file)
    except OSError as error:
        raise ConfigError(f"{path}: cannot be read: {error.strerror}") from None
    except (ValueError, UnicodeDecodeError) as error:
        raise ConfigError(f"{path}: not a properties file: {error}") from None
    known = {name.replace("_", "."): name for name in Properties.__struct_fields__}
    values: dict[str, Any] = {}
    for key, text in pairs.items():
        if key not in known:
            raise ConfigError(f"{path}: {key}: unknown; expected one of {', '.join(sorted(known))}")
        if known[key] in TEXTS:
            values[known[key]] = text
            continue
        try:
            values[known[key]] = float(text)
        except ValueError:
            raise ConfigError(f"{path}: {key}: expected a number, got {text!r}") from None
    try:
        properties = msgspec.convert(values, Properties)
    except msgspec.ValidationError as error:
        message = str(error)
        for dotted, name in known.items():
            message = message.replace(f"$.{name}", dotted)
        raise ConfigError(f"{path}: {message}") from None
    if properties.metrics_listen:
        try:
            split_address(properties.metrics_listen)
        except ValueError as error:
            raise ConfigError(f"{path}: metrics.listen: {error}") from None
    if properties.snapshots_directory and properties.rebuilding != "on":
        raise ConfigError(f"{path}: snapshots.directory: needs rebuilding = on")
    if properties.ageing_floor > properties.ageing_ceiling:
        raise ConfigError(
            f"{path}: ageing.floor: {properties.ageing_floor:g}; expected at most "
            f"ageing.ceiling ({properties.ageing_ceiling:g})"
        )
    return properties
