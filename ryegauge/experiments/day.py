"""A day of an experiment as data: installation, arrivals and troubles, from a TOML file."""

import random
from collections.abc import Iterator
from pathlib import Path
from typing import Annotated, Any, Literal, NamedTuple

import msgspec

from ryegauge.config import ConfigError, Properties, Settings, read_toml
from ryegauge.emulator.fleet import FleetType
from ryegauge.protocol.jobs import Kind, Priority

Amount = Annotated[float, msgspec.Meta(ge=0)]
Positive = Annotated[float, msgspec.Meta(gt=0)]
Count = Annotated[int, msgspec.Meta(ge=1)]
# A fixed figure, or bounds between which luck decides evenly.
Span = Positive | Annotated[list[float], msgspec.Meta(min_length=2, max_length=2)]
Number = Count | Annotated[list[int], msgspec.Meta(min_length=2, max_length=2)]


class TeamSize(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    name: str
    cpus: Amount
    cpus_max: Amount


class Installation(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    teams: list[TeamSize]
    controllers: Count = 3
    areas: tuple[str, ...] = ("a",)
    report_s: Positive = 1.0
    lease_s: Positive = 10.0
    cancel_s: Positive = 35.0
    rps: Positive = 200.0
    write_rps: Positive = 100.0
    value_kb: Positive = 16.0
    txn_ops: Count = 12
    list_lag_s: Positive = 4.0
    clock_error_ms: Amount = 5.0


class Arrivals(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Jobs of one class: `count` at `from_s`, or one every `every_s` on average."""

    job_class: str
    team: str
    priority: Priority
    tasks: Number
    run_s: Span
    cpus: Positive = 1.0
    memory_gb: Positive = 1.0
    kind: Kind = "sweep"
    image_gb: Amount = 0.5
    from_s: Amount = 0.0
    until_s: Amount | None = None
    every_s: Positive | None = None
    count: Count = 1
    deadline_s: Positive | None = None
    spot: bool = True
    one_zone: bool = False
    spread: bool = False
    # Left out where a day is played without what lies around already.
    backlog: bool = False
    # Of so many of them every task fails on every machine.
    mistaken: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.0
    # Their users cancel them after so long, if they are mistaken.
    cancelled_after_s: Positive | None = None


class Trouble(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    at_s: Amount
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
        "machines_deaf",
        "leader_refused",
        "leader_cut",
        "machines_mute",
        "cancel_now",
        "cancel_at_end",
        "odd_requests",
        "close_looks",
    ]
    lasts_s: Amount = 0.0
    # For `state_back`: how far; with `part` 1 without leases.
    # For `machines_*` and `spot_taken`: of those that are up; for `boots`: that never end; for
    # `late_writes` and `late_reports`: of transactions and reports; for `cancel_at_end`: of the
    # jobs that end.
    part: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.0
    # For `machines_deaf` and `machines_mute`, instead of `part`: so many of them, or all in a
    # zone; for `leader_refused` and `leader_cut`: so many controllers, the leader first; for
    # `cancel_now`: so many jobs.
    count: Annotated[int, msgspec.Meta(ge=0)] = 0
    zone: str = ""
    times: Positive = 1.0  # for `boots`: as long as usual; for `polls`: as often
    # For `clock`: by how much the controllers' times of day are wrong, at most.
    error_s: Amount = 0.0
    at_once: bool = False  # for `late_writes`: carried out at once, only the answer is lost
    for_next: bool = False  # for `late_reports`: the copies are kept for the next leader
    hang_s: Amount = 0.0  # for `cancel_now`: so long up to eight of the jobs' machines hang


# Keys of one kind only, and what a kind cannot do without.
ONLY_FOR = {"at_once": "late_writes", "for_next": "late_reports", "hang_s": "cancel_now"}
NEEDED = {
    "machines_mute": ("count", "part", "zone"),
    "cancel_now": ("count",),
    "cancel_at_end": ("part",),
}


class Day(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    title: str
    seconds: Positive
    installation: Installation
    types: list[FleetType]
    arrivals: list[Arrivals]
    troubles: list[Trouble] = []
    properties: dict[str, float | str] = {}


class Submission(NamedTuple):
    at_s: float
    run_s: float
    body: dict[str, Any]
    mistaken: bool = False
    cancel_after_s: float | None = None


def load(path: str | Path) -> Day:
    """A day that can be played; raises ConfigError with the file and the place in it."""
    day = read_toml(path, Day)
    try:
        msgspec.convert(day.properties, Properties)
    except msgspec.ValidationError as error:
        raise ConfigError(f"{path}: $.properties: {error}") from None
    zones = {zone for type_ in day.types for zone in type_.zones}
    for n, trouble in enumerate(day.troubles):
        if trouble.zone and trouble.zone not in zones:
            raise ConfigError(f"{path}: $.troubles[{n}].zone: no zone {trouble.zone!r}")
        for key, kind in ONLY_FOR.items():
            if getattr(trouble, key) and trouble.kind != kind:
                raise ConfigError(f"{path}: $.troubles[{n}].{key}: only for {kind}")
        needed = NEEDED.get(trouble.kind, ())
        if needed and not any(getattr(trouble, key) for key in needed):
            raise ConfigError(
                f"{path}: $.troubles[{n}].{needed[0]}: {trouble.kind} needs {' or '.join(needed)}"
            )
    known = {team.name for team in day.installation.teams}
    for n, arrivals in enumerate(day.arrivals):
        if arrivals.team not in known:
            raise ConfigError(f"{path}: $.arrivals[{n}].team: no team {arrivals.team!r}")
        for key in ("tasks", "run_s"):
            span = getattr(arrivals, key)
            if isinstance(span, list) and not 0 < span[0] <= span[1]:
                raise ConfigError(
                    f"{path}: $.arrivals[{n}].{key}: expected two positive numbers, "
                    f"the smaller first"
                )
    for name in day.properties:
        if name not in Properties.__struct_fields__:
            raise ConfigError(f"{path}: $.properties: {name}: unknown")
    return day


def settings_of(day: Day, ordering: str) -> list[Settings]:
    """What each controller would be handed by its platform."""
    inst = day.installation
    nodes = [
        {
            "node_name": f"node-{n}",
            "area": inst.areas[n % len(inst.areas)],
            "listen": f"10.0.0.{n + 1}:8080",
            "mesh_addr": f"10.0.0.{n + 1}:8081",
        }
        for n in range(inst.controllers)
    ]
    shared = {
        "nodes": inst.controllers,
        "zones": sorted(set(inst.areas)),
        "clock_error_ms": inst.clock_error_ms,
        "teams": [msgspec.to_builtins(team) for team in inst.teams],
        "workers": {
            "report_s": inst.report_s,
            "lease_s": inst.lease_s,
            "cancel_s": inst.cancel_s,
        },
        "state": {
            "rps": inst.rps,
            "write_rps": inst.write_rps,
            "value_kb": inst.value_kb,
            "txn_ops": inst.txn_ops,
        },
        "cloud": {"rps": 6.0, "list_lag_s": inst.list_lag_s},
    }
    properties = msgspec.convert({**day.properties, "ordering": ordering}, Properties)
    result: list[Settings] = []
    for node in nodes:
        known = [
            {"node_name": o["node_name"], "area": o["area"], "peer_addr": o["mesh_addr"]}
            for o in nodes
            if o is not node
        ]
        settings = msgspec.convert(
            {
                **node,
                "settings": shared,
                "known": known,
                "outside": {"cloud": "10.2.0.2:8443", "state": "10.2.0.1:2379"},
            },
            Settings,
        )
        result.append(msgspec.structs.replace(settings, properties=properties))
    return result


def _draw(rng: random.Random, span: Span) -> float:
    return span if isinstance(span, float | int) else rng.uniform(span[0], span[1])


def submissions(
    day: Day, seed: int, size: float = 1.0, backlog: bool = True
) -> Iterator[Submission]:
    """The jobs of a day, the same for the same seed; `size` scales how many there are, and
    without `backlog` those that are marked so are left out. Names come in order of arrival
    within each class."""
    number = 0
    for n, a in enumerate(day.arrivals):
        rng = random.Random(f"{seed}/{n}")
        at_s = a.from_s
        until_s = day.seconds if a.until_s is None else a.until_s
        times: list[float] = []
        if a.every_s is None:
            times = [at_s] * max(1, round(a.count * size))
        else:
            while (at_s := at_s + rng.expovariate(size / a.every_s)) < until_s:
                times.append(at_s)
        for at_s in times:
            number += 1
            if a.backlog and not backlog:
                # Counted and left out: the rest has the same luck and names. Found when the
                # baseline had other arrivals than the days that were held against it.
                continue
            tasks = a.tasks if isinstance(a.tasks, int) else rng.randint(*a.tasks)
            run_s = _draw(rng, a.run_s)
            mistaken = a.mistaken > 0 and rng.random() < a.mistaken
            yield Submission(
                at_s,
                run_s,
                {
                    "uid": f"wk-{(n + 1) * 1_000_000 + number:08d}",
                    "duty": a.job_class,
                    "crew": a.team,
                    "shape": a.kind,
                    "urgency": a.priority,
                    "pieces": tasks,
                    "cpus": a.cpus,
                    "cards": 0.0,
                    "memoryGb": a.memory_gb,
                    "kit": f"img-{a.job_class}",
                    "imageGb": a.image_gb,
                    "builds": None,
                    "district": None,
                    "together": a.one_zone,
                    "spread": a.spread,
                    "loaners": a.spot,
                    "expectS": run_s if a.kind == "sweep" else 0.0,
                    "waypointS": 0.0,
                    "stowS": 0.0,
                    "dueS": a.deadline_s,
                },
                mistaken,
                a.cancelled_after_s if mistaken else None,
            )
