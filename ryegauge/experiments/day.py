"""The scenario of an experiment, called a day: installation, job arrivals and troubles.

A day is read from a TOML file. A trouble is a fault that is injected while the day is played.
"""

import random
from collections.abc import Iterator
from pathlib import Path
from typing import Annotated, Any, Literal, NamedTuple

import msgspec

from ryegauge.config import ConfigError, Properties, Settings, read_toml
from ryegauge.emulator.fleet import FleetType
from ryegauge.protocol.jobs import Kind, Priority

NonNegativeFloat = Annotated[float, msgspec.Meta(ge=0)]
PositiveFloat = Annotated[float, msgspec.Meta(gt=0)]
PositiveInt = Annotated[int, msgspec.Meta(ge=1)]
# A fixed value, or the bounds of a uniform distribution.
FloatOrRange = PositiveFloat | Annotated[list[float], msgspec.Meta(min_length=2, max_length=2)]
IntOrRange = PositiveInt | Annotated[list[int], msgspec.Meta(min_length=2, max_length=2)]


class TeamQuota(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A team with its guaranteed CPUs and the most that it may use."""

    name: str
    cpus: NonNegativeFloat
    cpus_max: NonNegativeFloat


class Installation(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The controllers of a day and the settings that they share.

    `areas` are the zones of the controllers, used in turn. `rps`, `write_rps`, `value_kb` and
    `txn_ops` are limits of the state service.
    """

    teams: list[TeamQuota]
    controllers: PositiveInt = 3
    areas: tuple[str, ...] = ("a",)
    report_s: PositiveFloat = 1.0
    lease_s: PositiveFloat = 10.0
    cancel_s: PositiveFloat = 35.0
    rps: PositiveFloat = 200.0
    write_rps: PositiveFloat = 100.0
    value_kb: PositiveFloat = 16.0
    txn_ops: PositiveInt = 12
    list_lag_s: PositiveFloat = 4.0
    clock_error_ms: NonNegativeFloat = 5.0


class Arrivals(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Jobs of one class: `count` at `from_s`, or one every `every_s` on average.

    With `every_s` they arrive as a Poisson process from `from_s` to `until_s`, by default the
    end of the day. Times are in seconds since the start of the day.
    """

    job_class: str
    team: str
    priority: Priority
    tasks: IntOrRange
    run_s: FloatOrRange
    cpus: PositiveFloat = 1.0
    memory_gb: PositiveFloat = 1.0
    kind: Kind = "sweep"
    image_gb: NonNegativeFloat = 0.5
    from_s: NonNegativeFloat = 0.0
    until_s: NonNegativeFloat | None = None
    every_s: PositiveFloat | None = None
    count: PositiveInt = 1
    deadline_s: PositiveFloat | None = None
    spot: bool = True
    one_zone: bool = False
    spread: bool = False
    # Left out when the day is played without its backlog.
    backlog: bool = False
    # Share of the jobs whose tasks fail on every machine.
    mistaken: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.0
    # Seconds from acceptance until the user cancels a mistaken job.
    cancelled_after_s: PositiveFloat | None = None


class Trouble(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A fault that begins `at_s` seconds into the day and, of most kinds, lasts `lasts_s`."""

    at_s: NonNegativeFloat
    kind: Literal[
        "crash_leader",
        "crash_all",
        "state_outage",
        "clock",
        "machines_lost",
        "machines_hang",
        "machines_restart",
        "spot_taken",
        "owner_deaf",
        "zone_cut",
        "crash_but_one",
        "away",
        "roll",
        "state_back",
        "state_empty",
        "state_records",
        "boots",
        "polls",
        "silent",
        "late_writes",
        "late_reports",
        "late_commands",
        "command_copies",
        "machines_deaf",
        "leader_refused",
        "leader_cut",
        "machines_mute",
        "cancel_now",
        "cancel_at_end",
        "odd_requests",
        "close_looks",
    ]
    lasts_s: NonNegativeFloat = 0.0
    # Share, for `machines_*` and `spot_taken`: of the machines that are up; for `boots`: of the
    # boots that never end; for `late_writes`: of transactions; for `late_reports`: of reports;
    # for `late_commands` and `command_copies`: of direct commands; for `cancel_at_end`: of the
    # jobs that end. For `state_back`, which rolls the data back by `lasts_s` seconds, 1 also
    # drops the leases.
    part: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.0
    # For `machines_deaf` and `machines_mute`, instead of `part`: number of machines, or 0 for all
    # in `zone`; for `leader_refused` and `leader_cut`: number of controllers, the leader first;
    # for `cancel_now`: number of jobs.
    count: Annotated[int, msgspec.Meta(ge=0)] = 0
    zone: str = ""
    times: PositiveFloat = 1.0  # factor, for `boots`: of boot times; for `polls`: of the poll rate
    # For `clock`: maximum error of the controllers' wall clocks.
    error_s: NonNegativeFloat = 0.0
    at_once: bool = False  # for `late_writes`: executed at once, only the response is lost
    for_next: bool = False  # for `late_reports`: the copies are kept for the next leader
    # For `cancel_now`: seconds that up to eight of the jobs' machines hang.
    hang_s: NonNegativeFloat = 0.0


# Key -> the only kind of trouble that has it.
KIND_SPECIFIC_KEYS = {"at_once": "late_writes", "for_next": "late_reports", "hang_s": "cancel_now"}
# Kind of trouble -> keys of which at least one has to be given.
REQUIRED_KEYS = {
    "machines_mute": ("count", "part", "zone"),
    "cancel_now": ("count",),
    "cancel_at_end": ("part",),
    "late_commands": ("part",),
    "command_copies": ("part",),
}


class Day(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A scenario of `seconds` of simulated time; all controllers have the same `properties`."""

    title: str
    seconds: PositiveFloat
    installation: Installation
    types: list[FleetType]
    arrivals: list[Arrivals]
    troubles: list[Trouble] = []
    properties: dict[str, float | str] = {}


class Submission(NamedTuple):
    """A job that a user submits `at_s` seconds into the day; times are in seconds."""

    at_s: float
    run_s: float  # actual run time of a task
    body: dict[str, Any]
    mistaken: bool = False  # every task fails on every machine
    cancel_after_s: float | None = None  # from acceptance until the user cancels it


def load(path: str | Path) -> Day:
    """Read and check a day; raises ConfigError that names the file and the place in it."""
    day = read_toml(path, Day)
    try:
        msgspec.convert(day.properties, Properties)
    except msgspec.ValidationError as error:
        raise ConfigError(f"{path}: $.properties: {error}") from None
    zones = {zone for machine_type in day.types for zone in machine_type.zones}
    for n, trouble in enumerate(day.troubles):
        if trouble.zone and trouble.zone not in zones:
            raise ConfigError(f"{path}: $.troubles[{n}].zone: no zone {trouble.zone!r}")
        for key, kind in KIND_SPECIFIC_KEYS.items():
            if getattr(trouble, key) and trouble.kind != kind:
                raise ConfigError(f"{path}: $.troubles[{n}].{key}: only for {kind}")
        required = REQUIRED_KEYS.get(trouble.kind, ())
        if required and not any(getattr(trouble, key) for key in required):
            raise ConfigError(
                f"{path}: $.troubles[{n}].{required[0]}: "
                f"{trouble.kind} needs {' or '.join(required)}"
            )
    team_names = {team.name for team in day.installation.teams}
    for n, arrivals in enumerate(day.arrivals):
        if arrivals.team not in team_names:
            raise ConfigError(f"{path}: $.arrivals[{n}].team: no team {arrivals.team!r}")
        for key in ("tasks", "run_s"):
            bounds = getattr(arrivals, key)
            if isinstance(bounds, list) and not 0 < bounds[0] <= bounds[1]:
                raise ConfigError(
                    f"{path}: $.arrivals[{n}].{key}: expected two positive numbers, "
                    f"the smaller first"
                )
    for name in day.properties:
        if name not in Properties.__struct_fields__:
            raise ConfigError(f"{path}: $.properties: {name}: unknown")
    return day


def controller_settings(day: Day, ordering: str) -> list[Settings]:
    """The settings of each controller, as the platform would provide them."""
    installation = day.installation
    nodes = [
        {
            "node_name": f"node-{n}",
            "area": installation.areas[n % len(installation.areas)],
            "listen": f"10.0.0.{n + 1}:8080",
            "mesh_addr": f"10.0.0.{n + 1}:8081",
        }
        for n in range(installation.controllers)
    ]
    shared = {
        "nodes": installation.controllers,
        "zones": sorted(set(installation.areas)),
        "clock_error_ms": installation.clock_error_ms,
        "teams": [msgspec.to_builtins(team) for team in installation.teams],
        "workers": {
            "report_s": installation.report_s,
            "lease_s": installation.lease_s,
            "cancel_s": installation.cancel_s,
        },
        "state": {
            "rps": installation.rps,
            "write_rps": installation.write_rps,
            "value_kb": installation.value_kb,
            "txn_ops": installation.txn_ops,
        },
        "cloud": {"rps": 6.0, "list_lag_s": installation.list_lag_s},
    }
    properties = msgspec.convert({**day.properties, "ordering": ordering}, Properties)
    result: list[Settings] = []
    for node in nodes:
        peers = [
            {
                "node_name": other["node_name"],
                "area": other["area"],
                "peer_addr": other["mesh_addr"],
            }
            for other in nodes
            if other is not node
        ]
        settings = msgspec.convert(
            {
                **node,
                "settings": shared,
                "known": peers,
                "outside": {"cloud": "10.2.0.2:8443", "state": "10.2.0.1:2379"},
            },
            Settings,
        )
        result.append(msgspec.structs.replace(settings, properties=properties))
    return result


def _draw(rng: random.Random, value: FloatOrRange) -> float:
    return value if isinstance(value, float | int) else rng.uniform(value[0], value[1])


def submissions(
    day: Day, seed: int, size: float = 1.0, backlog: bool = True
) -> Iterator[Submission]:
    """The jobs of a day, the same for the same seed.

    `size` scales their number. Without `backlog`, jobs that are marked as backlog are left out.
    Within a class, job names are in order of arrival.
    """
    number = 0
    for n, arrivals in enumerate(day.arrivals):
        rng = random.Random(f"{seed}/{n}")
        at_s = arrivals.from_s
        until_s = day.seconds if arrivals.until_s is None else arrivals.until_s
        times: list[float] = []
        if arrivals.every_s is None:
            times = [at_s] * max(1, round(arrivals.count * size))
        else:
            while (at_s := at_s + rng.expovariate(size / arrivals.every_s)) < until_s:
                times.append(at_s)
        for at_s in times:
            number += 1
            if arrivals.backlog and not backlog:
                # Skipped only after counting, so that all other jobs keep their random numbers
                # and names, and the baseline has the same arrivals as the days it is compared to.
                continue
            tasks = (
                arrivals.tasks if isinstance(arrivals.tasks, int) else rng.randint(*arrivals.tasks)
            )
            run_s = _draw(rng, arrivals.run_s)
            mistaken = arrivals.mistaken > 0 and rng.random() < arrivals.mistaken
            yield Submission(
                at_s,
                run_s,
                {
                    "uid": f"wk-{(n + 1) * 1_000_000 + number:08d}",
                    "duty": arrivals.job_class,
                    "crew": arrivals.team,
                    "shape": arrivals.kind,
                    "urgency": arrivals.priority,
                    "pieces": tasks,
                    "cpus": arrivals.cpus,
                    "cards": 0.0,
                    "memoryGb": arrivals.memory_gb,
                    "kit": f"img-{arrivals.job_class}",
                    "imageGb": arrivals.image_gb,
                    "builds": None,
                    "district": None,
                    "together": arrivals.one_zone,
                    "spread": arrivals.spread,
                    "loaners": arrivals.spot,
                    "expectS": run_s if arrivals.kind == "sweep" else 0.0,
                    "waypointS": 0.0,
                    "stowS": 0.0,
                    "dueS": arrivals.deadline_s,
                },
                mistaken,
                arrivals.cancelled_after_s if mistaken else None,
            )
