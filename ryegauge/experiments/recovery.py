"""Days on which much of a fleet is lost at once, and how long until its room is back."""

from typing import Any, NamedTuple

import trio
from hdrh.histogram import HdrHistogram

from ryegauge.emulator.fleet import FleetType
from ryegauge.emulator.network import Processors
from ryegauge.emulator.versions import node_of
from ryegauge.emulator.world import World
from ryegauge.experiments.day import Arrivals, Day, Installation, TeamSize, Trouble
from ryegauge.experiments.play import play
from ryegauge.experiments.served import LEAST, least_served

AT_S = 150.0  # when the trouble begins
DAY_S = 330.0
LATE_S = 120.0  # what was submitted later need not have been served by the end of the day
LEASE_S, REPORT_S = 14.0, 2.5
CPUS = 8.0  # of a machine

TROUBLES: dict[str, list[Trouble]] = {
    "nothing": [],
    "lost 10%": [Trouble(AT_S, "machines_lost", part=0.1)],
    "lost 40%": [Trouble(AT_S, "machines_lost", part=0.4)],
    "lost 80%": [Trouble(AT_S, "machines_lost", part=0.8)],
    "lost 40%, all controllers": [
        Trouble(AT_S, "machines_lost", part=0.4),
        Trouble(AT_S + 2, "crash_all"),
    ],
    "lost 40%, state outage": [
        Trouble(AT_S, "machines_lost", part=0.4),
        Trouble(AT_S - 5, "state_outage", 15.0),
    ],
    "all controllers": [Trouble(AT_S, "crash_all")],
    "hang under a lease": [Trouble(AT_S, "machines_hang", 0.7 * LEASE_S, part=0.4)],
    "hang over a lease": [Trouble(AT_S, "machines_hang", 1.6 * LEASE_S, part=0.4)],
    "rolling restart": [Trouble(AT_S, "machines_restart", 120.0, part=0.8)],
    "taken back": [Trouble(AT_S, "spot_taken", 10.0, part=0.5)],
    "owner deaf": [Trouble(AT_S, "owner_deaf", 25.0)],
    "zone cut": [Trouble(AT_S, "zone_cut", 1.5 * LEASE_S)],
    "lost 40%, slow boots": [
        Trouble(AT_S - 1, "boots", 90.0, times=4.0),
        Trouble(AT_S, "machines_lost", part=0.4),
    ],
    "lost 40%, lost boots": [
        Trouble(AT_S - 1, "boots", 90.0, part=0.33),
        Trouble(AT_S, "machines_lost", part=0.4),
    ],
    "silent for 70 s": [Trouble(AT_S, "away", 70.0)],
}


def day(machines: int, trouble: str) -> Day:
    return full_fleet(machines, trouble, DAY_S, TROUBLES[trouble])


def full_fleet(machines: int, title: str, seconds: float, troubles: list[Trouble]) -> Day:
    """Five controllers in two zones and a fleet of one type that is about full. Jobs grow
    with the fleet, not in number, as the state service's rate does not grow either."""
    cpus = CPUS * machines
    type_ = FleetType(
        "mid",
        CPUS,
        32.0,
        ["a", "b"],
        0.54,
        0.21,
        25.0,
        60.0,
        0.5,
        steady=machines // 4,
        spot=machines,
    )
    each = max(1, machines // 30)
    teams = [TeamSize(name, 0.4 * cpus, 0.8 * cpus) for name in ("picks", "archive")]
    arrivals = [
        Arrivals(
            "archive",
            "archive",
            "normal",
            [each, 3 * each],
            [60, 120],
            cpus=4,
            memory_gb=8,
            every_s=3.2,
        ),
        Arrivals(
            "archive", "archive", "normal", 2 * each, [60, 120], cpus=4, memory_gb=8, count=30
        ),
        Arrivals(
            "pick",
            "picks",
            "high",
            [each // 2 + 1, 2 * each],
            [20, 40],
            cpus=2,
            memory_gb=4,
            every_s=3.0,
            deadline_s=90.0,
        ),
    ]
    inst = Installation(
        teams,
        5,
        ("a", "b"),
        REPORT_S,
        LEASE_S,
        39.0,
        rps=90.0,
        write_rps=25.0,
        value_kb=4.0,
        list_lag_s=6.0,
    )
    return Day(title, seconds, inst, [type_], arrivals, troubles)


class Recovery(NamedTuple):
    """Seconds count from the trouble; infinite if not by the end of the day."""

    trouble: str
    version: str
    seed: int
    asked_s: float  # until as many machines were rented as half of those that were lost
    back_s: float  # until the CPUs that report are 95% of what they were
    returned_alive: int  # machines that ran tasks for a controller when they were returned
    spare: int  # rented after the trouble and not used by any task
    urgent_median_s: float  # of the picks submitted in the minute after: to the first task
    urgent_worst_s: float
    # From the end of all controllers, in order: first answer to a worker, first job accepted,
    # first task started, 95% of the workers answered. 0 if they did not all end.
    answered_s: float
    accepted_s: float
    started_s: float
    renewed_s: float
    core: float  # of a core of this machine, that the busiest controller took on average
    killed: int  # tasks that a lease ended
    avoidable: int  # of these, on machines that a controller could have answered in time
    broken: int
    served: float  # least share of the tasks of a class or a team
    least: str  # which one


def measure(machines: int, trouble: str, seed: int, version: str, checkout: str | None) -> Recovery:
    cpus_at: list[tuple[float, float]] = []
    served: list[float] = []  # when some controller could have answered workers
    began: set[str] = set()

    processors = Processors()
    renewed: list[tuple[float, int, int]] = []  # (when, answered since the ends, workers)
    troubles = {t.kind: t.at_s for t in TROUBLES[trouble]}
    all_ended = "crash_all" in troubles
    ended = troubles.get("crash_all", AT_S)

    def watch(world: World) -> None:
        if not cpus_at:
            trio.lowlevel.add_instrument(processors)
        now = trio.current_time()
        reporting = [
            w
            for w in world.workers.values()
            if w.alive and w.up and now - w.lease_from < 3 * REPORT_S
        ]
        cpus_at.append((now, sum(w.type.cpus for w in reporting)))
        live = [w for w in world.workers.values() if w.alive and w.up]
        renewed.append((now, sum(w.lease_from > ended for w in live), len(live)))
        began.update(w.name for w in world.workers.values() if w.tasks)
        up = sum(not scope.cancel_called for scope in world.scopes)
        if up and not world.state.outage:
            served.append(now)

    played = play(day(machines, trouble), "settled", seed, program=node_of(checkout), watch=watch)
    events = [e for e in played.happened if e.at >= AT_S]
    rented = [e for e in events if e.what == "rented"]
    lost = sum(e.what == "lost" for e in events if e.at < AT_S + 5)
    before = max((c for at, c in cpus_at if at < AT_S), default=0.0)
    fell = next((at for at, c in cpus_at if at > AT_S and c < 0.95 * before), None)
    back = [at for at, c in cpus_at if fell is not None and at > fell and c >= 0.95 * before]
    half = max(1, lost // 2)
    returned = [e.detail.split() for e in events if e.what == "returned"]
    killed = [e for e in events if e.what == "ended" and e.detail == "lease"]
    troubled = {e.machine for e in events if e.what in ("hung", "lost")}
    avoidable = sum(
        e.machine not in troubled
        and "zone_cut" not in troubles
        and sum(e.at - LEASE_S < at < e.at for at in served) > LEASE_S / 2 + 2 * REPORT_S
        for e in killed
    )

    def after(what: str) -> float:
        return next(
            (e.at - ended for e in played.happened if e.what == what and e.at > ended + 1),
            float("inf"),
        )

    def answered(least: float) -> float:
        return next(
            (at - ended for at, n, of in renewed if n > 0 and n >= least * of), float("inf")
        )

    recovered = [
        round(s, 1) if all_ended else 0.0
        for s in (answered(0.0), after("accepted"), after("started"), answered(0.95))
    ]
    first: dict[str, float] = {}
    ready: dict[str, float] = {}
    for e in played.happened:
        if e.what == "submitted" and e.detail == "high":
            ready[e.uid] = e.at
        elif e.what == "started":
            first.setdefault(e.uid, e.at)
    histogram = HdrHistogram(1, 3_600_000, 3)
    for uid, at in ready.items():
        if AT_S <= at < AT_S + 60:
            histogram.record_value(max(1, round(1000 * (first.get(uid, DAY_S) - at))))
    return Recovery(
        trouble,
        version,
        seed,
        round(rented[half - 1].at - AT_S, 1) if lost and len(rented) >= half else float("inf"),
        0.0 if fell is None else round(back[0] - AT_S, 1) if back else float("inf"),
        sum(state == "alive" and tasks != "0" for state, tasks in returned),
        sum(e.machine not in began for e in rented),
        histogram.get_value_at_percentile(50) / 1000,
        histogram.get_max_value() / 1000,
        recovered[0],
        recovered[1],
        recovered[2],
        recovered[3],
        round(max(processors.seconds.get(f"10.0.0.{n}", 0.0) for n in range(1, 6)) / DAY_S, 3),
        len(killed),
        avoidable,
        len(played.broken),
        *least_served(played.happened, played.bodies, DAY_S - LATE_S),
    )


def table(rows: list[Recovery]) -> list[dict[str, Any]]:
    """Per trouble and version: medians of times, sums of counts, over all seeds."""
    result: list[dict[str, Any]] = []
    for key in dict.fromkeys((r.trouble, r.version) for r in rows):
        some = [r for r in rows if (r.trouble, r.version) == key]
        entry: dict[str, Any] = {"trouble": key[0], "version": key[1], "days": len(some)}
        for name in Recovery._fields[3:-2]:
            values = sorted(getattr(r, name) for r in some)
            timed = name.endswith("_s") or name == "core"
            entry[name] = values[len(values) // 2] if timed else sum(values)
        entry["served"], entry["least"] = min((r.served, r.least) for r in some)
        entry["failed"] = sum(r.served < LEAST for r in some)
        result.append(entry)
    return result
