"""Loads and validates the settings file (TOML) and the operators' properties file."""

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
Fraction = Annotated[float, msgspec.Meta(ge=0, le=1)]

# Bytes. A job's record with names of ordinary length fits into a value of this size.
MIN_VALUE_BYTES = 950

# Monotonic clocks of two machines drift apart by at most this share (given by the protocol).
CLOCK_DRIFT = 0.0005


class ConfigError(Exception):
    """A settings or properties file is unusable; the message names the key and the reason."""


class Team(msgspec.Struct, frozen=True):
    """A team of users: guaranteed and maximum use of CPUs and GPUs."""

    name: str
    cpus: NonNegative = 0.0
    cpus_max: NonNegative = 0.0
    gpus: NonNegative = 0.0
    gpus_max: NonNegative = 0.0

    @property
    def cpu_limit(self) -> float:
        """CPUs that the team's tasks may use at any time; infinite if the settings say 0.

        Guest teams have zeros in the settings, and their jobs have to be accepted: with 0 as the
        limit, 587 of 872 submissions of a recorded day were answered with 422."""
        return self.cpus_max or math.inf

    @property
    def gpu_limit(self) -> float:
        """GPUs that the team's tasks may use at any time; infinite if the settings say 0."""
        return self.gpus_max or math.inf


class Objective(msgspec.Struct, frozen=True, rename={"job_class": "class"}):
    """A service level objective for a class of jobs."""

    kind: str
    share: float = 0.0
    job_class: str = ""
    within_s: float = 0.0
    times: float = 1.0


class Workers(msgspec.Struct, frozen=True):
    """How often workers report, how long they keep tasks without an answer, and within what time
    the tasks of a cancelled job must have ended."""

    report_s: Positive
    lease_s: Positive
    cancel_s: Positive


class NextState(msgspec.Struct, frozen=True):
    """Limits that the state service will switch to at an unannounced time."""

    rps: Positive | None = None
    write_rps: Positive | None = None
    value_kb: Positive | None = None
    txn_ops: Count | None = None


class State(msgspec.Struct, frozen=True):
    """Limits of the state service: requests and writes per second, KiB per value, and changes per
    transaction."""

    rps: Positive
    write_rps: Positive
    value_kb: Positive
    txn_ops: Count
    next: NextState | None = None

    @property
    def safe_limits(self) -> "State":
        """The smaller of the current and the next limits, which are safe at any time."""
        if self.next is None:
            return self
        names = ("rps", "write_rps", "value_kb", "txn_ops")
        next_limits = {n: v for n in names if (v := getattr(self.next, n)) is not None}
        smaller_limits = {n: min(v, getattr(self, n)) for n, v in next_limits.items()}
        return msgspec.structs.replace(self, next=None, **smaller_limits)

    @property
    def value_bytes(self) -> int:
        """Largest value to write, 5% below the limit since the service may count differently."""
        return int(0.95 * 1024 * self.value_kb)

    @property
    def max_conditions(self) -> int:
        """How many conditions a transaction may have."""
        return 4 * self.txn_ops


class Cloud(msgspec.Struct, frozen=True):
    """Limits of the cloud's API; its machine list may be outdated by `list_lag_s`."""

    rps: Positive
    list_lag_s: NonNegative = 0.0


class Quota(msgspec.Struct, frozen=True):
    """What a controller may use of its machine."""

    core_share: Positive = 1.0
    memory_mb: Positive = 256.0
    max_connections: Count = 1000


class SharedSettings(msgspec.Struct, frozen=True):
    """Settings that all controllers share; `nodes` is the number of controllers and of shards."""

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
    """Another controller, and the zone that it is in."""

    node_name: str
    peer_addr: str
    area: str = ""


class ExternalServices(msgspec.Struct, frozen=True):
    """Addresses of the services that a controller calls."""

    cloud: str
    state: str


class Properties(msgspec.Struct, frozen=True):
    """The operators' properties; docs/operations/ explains each."""

    takeback_threshold: Fraction = 0.6
    takeback_window_s: Positive = 30.0
    # How long a machine is kept idle, as a multiple of its nominal boot time.
    idle_boots: NonNegative = 0.5
    # How long a task waits for a busy machine before one is rented, also in boot times.
    patience_boots: NonNegative = 0.5
    # Minimum time billed for a machine; an idle machine is kept at least that long.
    paid_period_s: NonNegative = 60.0
    # Limit on capacity that is rented in advance for tasks on machines that are probably but not
    # certainly lost, as a share of the running fleet's CPUs; docs/operations/recovery.md.
    ahead_share: Fraction = 0.5
    # In which order jobs get capacity; docs/operations/priorities.md.
    ordering: Literal["settled", "ageing", "strict"] = "settled"
    # How long the first task of a critical job waits before its age counts, in leases, and the
    # factor on that for each step down in priority.
    ageing_patience_leases: Positive = 10.0
    ageing_rank_factor: Annotated[float, msgspec.Meta(ge=1)] = 2.0
    # Minimum and maximum share of the fleet that is reserved for aged work.
    ageing_floor: Fraction = 0.05
    ageing_ceiling: Fraction = 0.1
    # How long capacity is reserved for an aged task that fits on no machine, in leases.
    ageing_hold_leases: NonNegative = 10.0
    # How long urgent work waits before work of lower priority is preempted, in reports.
    ageing_stop_reports: NonNegative = 1.0
    # Whether to detect that the state service has lost data, and to restore it;
    # docs/operations/rebuilding.md.
    rebuilding: Literal["off", "on"] = "off"
    # Local directory for snapshots; empty: none are taken.
    snapshots_directory: str = ""
    snapshots_every_s: Positive = 30.0
    # File with the bindings of the queues to serve; empty: no queues are served.
    queues_file: str = ""
    # HOST:PORT where Prometheus can scrape the metrics of the queues; empty: not served.
    metrics_listen: str = ""


# Properties that are text; all others are numbers.
TEXT_PROPERTIES = ("ordering", "rebuilding", "snapshots_directory", "queues_file", "metrics_listen")


class Settings(msgspec.Struct, frozen=True):
    """The settings of one controller; addresses are HOST:PORT, `area` is its zone."""

    node_name: str
    area: str
    listen: str
    mesh_addr: str
    outside: ExternalServices
    settings: SharedSettings
    known: list[Peer] = []
    properties: Properties = Properties()

    @property
    def node_names(self) -> list[str]:
        """The names of all controllers, this one included, sorted."""
        return sorted({self.node_name, *(peer.node_name for peer in self.known)})

    @property
    def state_limits(self) -> State:
        """The limits of the state service that are safe at any time."""
        return self.settings.state.safe_limits

    @property
    def report_gap_s(self) -> float:
        """The longest ordinary interval between two reports of a worker."""
        return self.settings.workers.report_s * 1.25

    @property
    def max_lease_s(self) -> float:
        """Time after the arrival of a worker's report by which the worker's lease has certainly
        expired."""
        return self.settings.workers.lease_s * (1 + 4 * CLOCK_DRIFT) + 0.1

    @property
    def controller_lease_s(self) -> float:
        """How long a controller's lease lasts after its renewal.

        An isolated controller may go on answering its workers until its lease expires, and the
        workers keep their tasks for a worker's lease after that. Both together, with the reports
        before and after and clock drift, must fit into `cancel_s`.
        """
        workers = self.settings.workers
        available_s = (
            workers.cancel_s * (1 - 4 * CLOCK_DRIFT) - workers.lease_s - 2 * self.report_gap_s
        )
        # At most half a worker's lease: the tasks of a controller that stops outlive its lease, so
        # another controller can take them over.
        return min(0.5 * workers.lease_s, 0.9 * available_s)


def read_toml(path: str | Path, type_: type[T], ignored_table: str = "") -> T:
    """Reads a TOML file as a value of type `type_`, ignoring the top-level table
    `ignored_table`.

    Raises ConfigError naming the invalid key."""
    try:
        raw = tomllib.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        raise ConfigError(f"{path}: cannot be read: {error.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise ConfigError(f"{path}: not TOML: {error}") from None
    raw.pop(ignored_table, None)
    try:
        return msgspec.convert(raw, type_)
    except msgspec.ValidationError as error:
        raise ConfigError(f"{path}: {error}") from None


def load(path: str | Path, properties: str | Path | None = None) -> Settings:
    """Loads and validates the settings; raises ConfigError naming the invalid key.

    The properties come from the file `properties`, or else from that in RYEGAUGE_PROPERTIES."""
    settings = read_toml(path, Settings, ignored_table="properties")
    _validate(settings, str(path))
    properties = properties or os.environ.get("RYEGAUGE_PROPERTIES")
    if properties:
        settings = msgspec.structs.replace(settings, properties=load_properties(properties))
    return settings


def _validate(settings: Settings, path: str) -> None:
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
        # A cancellation needs one condition for the job and one for each shard's assignment.
        raise ConfigError(
            f"{path}: settings.state.txn_ops: {limits.txn_ops} allows {limits.max_conditions} "
            f"conditions; expected at least one more than settings.nodes "
            f"({settings.settings.nodes})"
        )
    if limits.value_bytes < MIN_VALUE_BYTES:
        raise ConfigError(
            f"{path}: settings.state.value_kb: {limits.value_kb:g}; "
            f"expected at least {MIN_VALUE_BYTES / 1024:g}"
        )
    workers = settings.settings.workers
    if settings.controller_lease_s < 2 * workers.report_s or settings.controller_lease_s < 0.1:
        raise ConfigError(
            f"{path}: settings.workers.cancel_s: {workers.cancel_s:g} is too short for a "
            f"controller's lease; expected more than lease_s ({workers.lease_s:g}) and five "
            f"reports ({workers.report_s:g} each) together"
        )


def load_properties(path: str | Path) -> Properties:
    """Loads and validates a Java properties file, with lines like `takeback.threshold = 0.3`.

    Raises ConfigError naming the invalid key."""
    import javaproperties

    try:
        with open(path, encoding="utf-8") as file:
            entries = javaproperties.load(file)
    except OSError as error:
        raise ConfigError(f"{path}: cannot be read: {error.strerror}") from None
    except (ValueError, UnicodeDecodeError) as error:
        raise ConfigError(f"{path}: not a properties file: {error}") from None
    names_by_key = {name.replace("_", "."): name for name in Properties.__struct_fields__}
    values: dict[str, Any] = {}
    for key, text in entries.items():
        if key not in names_by_key:
            raise ConfigError(
                f"{path}: {key}: unknown; expected one of {', '.join(sorted(names_by_key))}"
            )
        if names_by_key[key] in TEXT_PROPERTIES:
            values[names_by_key[key]] = text
            continue
        try:
            values[names_by_key[key]] = float(text)
        except ValueError:
            raise ConfigError(f"{path}: {key}: expected a number, got {text!r}") from None
    try:
        properties = msgspec.convert(values, Properties)
    except msgspec.ValidationError as error:
        message = str(error)
        for key, name in names_by_key.items():
            message = message.replace(f"$.{name}", key)
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
