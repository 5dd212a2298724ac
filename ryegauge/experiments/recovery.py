"""Days on which much of a fleet is lost at once, and how long until its capacity is back."""

from typing import Any, NamedTuple

import trio
from hdrh.histogram import HdrHistogram

from ryegauge.emulator.fleet import FleetType
from ryegauge.emulator.network import ProcessorTimeMeter
from ryegauge.emulator.versions import load_node_class
from ryegauge.emulator.world import World
from ryegauge.experiments.day import Arrivals, Day, Installation, TeamQuota, Trouble
from ryegauge.experiments.play import play
from ryegauge.experiments.served import LEAST, least_served

TROUBLE_AT_S = 150.0  # when the trouble begins
DAY_LENGTH_S = 330.0
# Jobs submitted within this time before the end of the day may be unserved when it ends.
UNSCORED_TAIL_S = 120.0
LEASE_S, REPORT_S = 14.0, 2.5
CPUS_PER_MACHINE = 8.0

# By the name that --trouble takes.
TROUBLES: dict[str, list[Trouble]] = {
    "nothing": [],
    "lost 10%": [Trouble(TROUBLE_AT_S, "machines_lost", part=0.1)],
    "lost 40%": [Trouble(TROUBLE_AT_S, "machines_lost", part=0.4)],
    "lost 80%": [Trouble(TROUBLE_AT_S, "machines_lost", part=0.8)],
    "lost 40%, all controllers": [
        Trouble(TROUBLE_AT_S, "machines_lost", part=0.4),
        Trouble(TROUBLE_AT_S + 2, "crash_all"),
    ],
    "lost 40%, state outage": [
        Trouble(TROUBLE_AT_S, "machines_lost", part=0.4),
        Trouble(TROUBLE_AT_S - 5, "state_outage", 15.0),
    ],
    "all controllers": [Trouble(TROUBLE_AT_S, "crash_all")],
    "hang under a lease": [Trouble(TROUBLE_AT_S, "machines_hang", 0.7 * LEASE_S, part=0.4)],
    "hang over a lease": [Trouble(TROUBLE_AT_S, "machines_hang", 1.6 * LEASE_S, part=0.4)],
    "rolling restart": [Trouble(TROUBLE_AT_S, "machines_restart", 120.0, part=0.8)],
    "taken back": [Trouble(TROUBLE_AT_S, "spot_taken", 10.0, part=0.5)],
    "owner deaf": [Trouble(TROUBLE_AT_S, "owner_deaf", 25.0)],
    "zone cut": [Trouble(TROUBLE_AT_S, "zone_cut", 1.5 * LEASE_S)],
    "lost 40%, slow boots": [
        Trouble(TROUBLE_AT_S - 1, "boots", 90.0, times=4.0),
        Trouble(TROUBLE_AT_S, "machines_lost", part=0.4),
    ],
    "lost 40%, lost boots": [
        Trouble(TROUBLE_AT_S - 1, "boots", 90.0, part=0.33),
        Trouble(TROUBLE_AT_S, "machines_lost", part=0.4),
    ],
    "silent for 70 s": [Trouble(TROUBLE_AT_S, "away", 70.0)],
}


def recovery_day(machines: int, trouble: str) -> Day:
    """The day with a full fleet and one of TROUBLES."""
    return full_fleet(machines, trouble, DAY_LENGTH_S, TROUBLES[trouble])


def full_fleet(machines: int, title: str, seconds: float, troubles: list[Trouble]) -> Day:
    """A day with five controllers in two zones and a nearly full fleet of one machine type.

    The size of jobs grows with the fleet and their number does not, as the request rate of the
    state service does not grow either.
    """
    cpus = CPUS_PER_MACHINE * machines
    machine_type = FleetType(
        "mid",
        CPUS_PER_MACHINE,
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
    job_tasks = max(1, machines // 30)
    teams = [TeamQuota(name, 0.4 * cpus, 0.8 * cpus) for name in ("picks", "archive")]
    arrivals = [
        Arrivals(
            "archive",
            "archive",
            "normal",
            [job_tasks, 3 * job_tasks],
            [60, 120],
            cpus=4,
            memory_gb=8,
            every_s=3.2,
        ),
        Arrivals(
            "archive", "archive", "normal", 2 * job_tasks, [60, 120], cpus=4, memory_gb=8, count=30
        ),
        Arrivals(
            "pick",
            "picks",
            "high",
            [job_tasks // 2 + 1, 2 * job_tasks],
            [20, 40],
            cpus=2,
            memory_gb=4,
            every_s=3.0,
            deadline_s=90.0,
        ),
    ]
    installation = Installation(
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
    return Day(title, seconds, installation, [machine_type], arrivals, troubles)


class RecoveryMetrics(NamedTuple):
    """Metrics of one day; the field names are the columns of the report.

    Seconds count from the trouble and are infinite for what had not happened by the end of the day.
    """

    trouble: str
    version: str
    seed: int
    asked_s: float  # until rentals reached half the number of lost machines
    back_s: float  # until reporting machines had 95% of the CPUs from before
    returned_alive: int  # machines that were returned to the cloud while they ran tasks
    spare: int  # machines rented after the trouble on which no task ever ran
    # From submission to the first task, of picks submitted in the minute after the trouble.
    urgent_median_s: float
    urgent_worst_s: float
    # From the crash of all controllers until the first answer to a worker, the first job accepted,
    # the first task started and 95% of the workers answered. 0 if they did not all crash.
    answered_s: float
    accepted_s: float
    started_s: float
    renewed_s: float
    core: float  # average load of the busiest controller, as a share of a core of this machine
    killed: int  # tasks that ended because their lease ran out
    avoidable: int  # of these, tasks on machines that a controller could have answered in time
    broken: int  # violations of protocol rules
    served: float  # smallest share of tasks served of any class or team
    least: str  # name of that class or team


def measure(
    machines: int, trouble: str, seed: int, version: str, checkout: str | None
) -> RecoveryMetrics:
    """Play one day and measure its recovery.

    `machines` is the approximate size of the fleet. `checkout` is the directory of another version
    of the controllers, None for this one; `version` is its label in the result.
    """
    cpus_at: list[tuple[float, float]] = []  # (time, CPUs of machines that report)
    answerable_at: list[float] = []  # samples at which some controller could answer workers
    used_machines: set[str] = set()

    processors = ProcessorTimeMeter()
    # (time, workers answered since the crash of all controllers, workers)
    renewed: list[tuple[float, int, int]] = []
    trouble_at = {t.kind: t.at_s for t in TROUBLES[trouble]}
    all_crashed = "crash_all" in trouble_at
    crashed_at = trouble_at.get("crash_all", TROUBLE_AT_S)

    def watch(world: World) -> None:
        if not cpus_at:
            trio.lowlevel.add_instrument(processors)
        now = trio.current_time()
        reporting = [
            w
            for w in world.workers.values()
            if w.alive and w.up and now - w.lease_renewed_at < 3 * REPORT_S
        ]
        cpus_at.append((now, sum(w.type.cpus for w in reporting)))
        live = [w for w in world.workers.values() if w.alive and w.up]
        renewed.append((now, sum(w.lease_renewed_at > crashed_at for w in live), len(live)))
        used_machines.update(w.name for w in world.workers.values() if w.attempts)
        up = sum(not scope.cancel_called for scope in world.scopes)
        if up and not world.state.outage:
            answerable_at.append(now)

    day_result = play(
        recovery_day(machines, trouble),
        "settled",
        seed,
        program=load_node_class(checkout),
        watch=watch,
    )
    events = [e for e in day_result.recorded_events if e.at >= TROUBLE_AT_S]
    rented = [e for e in events if e.what == "rented"]
    lost = sum(e.what == "lost" for e in events if e.at < TROUBLE_AT_S + 5)
    cpus_before = max((c for at, c in cpus_at if at < TROUBLE_AT_S), default=0.0)
    fell_at = next((at for at, c in cpus_at if at > TROUBLE_AT_S and c < 0.95 * cpus_before), None)
    recovered_at = [
        at for at, c in cpus_at if fell_at is not None and at > fell_at and c >= 0.95 * cpus_before
    ]
    half_of_lost = max(1, lost // 2)
    returned = [e.detail.split() for e in events if e.what == "returned"]
    killed = [e for e in events if e.what == "ended" and e.detail == "lease"]
    troubled = {e.machine for e in events if e.what in ("hung", "lost")}
    avoidable = sum(
        e.machine not in troubled
        and "zone_cut" not in trouble_at
        and sum(e.at - LEASE_S < at < e.at for at in answerable_at) > LEASE_S / 2 + 2 * REPORT_S
        for e in killed
    )

    def seconds_until_first(what: str) -> float:
        return next(
            (
                e.at - crashed_at
                for e in day_result.recorded_events
                if e.what == what and e.at > crashed_at + 1
            ),
            float("inf"),
        )

    def seconds_until_answered(min_share: float) -> float:
        return next(
            (
                at - crashed_at
                for at, answered, workers in renewed
                if answered > 0 and answered >= min_share * workers
            ),
            float("inf"),
        )

    controllers_back_s = [
        round(s, 1) if all_crashed else 0.0
        for s in (
            seconds_until_answered(0.0),
            seconds_until_first("accepted"),
            seconds_until_first("started"),
            seconds_until_answered(0.95),
        )
    ]
    first_start_at: dict[str, float] = {}
    urgent_submitted_at: dict[str, float] = {}
    for e in day_result.recorded_events:
        if e.what == "submitted" and e.detail == "high":
            urgent_submitted_at[e.uid] = e.at
        elif e.what == "started":
            first_start_at.setdefault(e.uid, e.at)
    histogram = HdrHistogram(1, 3_600_000, 3)
    for uid, at in urgent_submitted_at.items():
        if TROUBLE_AT_S <= at < TROUBLE_AT_S + 60:
            histogram.record_value(
                max(1, round(1000 * (first_start_at.get(uid, DAY_LENGTH_S) - at)))
            )
    return RecoveryMetrics(
        trouble,
        version,
        seed,
        round(rented[half_of_lost - 1].at - TROUBLE_AT_S, 1)
        if lost and len(rented) >= half_of_lost
        else float("inf"),
        0.0
        if fell_at is None
        else round(recovered_at[0] - TROUBLE_AT_S, 1)
        if recovered_at
        else float("inf"),
        sum(state == "alive" and tasks != "0" for state, tasks in returned),
        sum(e.machine not in used_machines for e in rented),
        histogram.get_value_at_percentile(50) / 1000,
        histogram.get_max_value() / 1000,
        controllers_back_s[0],
        controllers_back_s[1],
        controllers_back_s[2],
        controllers_back_s[3],
        round(
            max(processors.seconds.get(f"10.0.0.{n}", 0.0) for n in range(1, 6)) / DAY_LENGTH_S, 3
        ),
        len(killed),
        avoidable,
        len(day_result.broken),
        *least_served(
            day_result.recorded_events, day_result.bodies, DAY_LENGTH_S - UNSCORED_TAIL_S
        ),
    )


def summarize(rows: list[RecoveryMetrics]) -> list[dict[str, Any]]:
    """One row per trouble and version over all seeds: medians of times and `core`, sums of
    counts, the smallest share of tasks served, and the number of days below LEAST."""
    result: list[dict[str, Any]] = []
    for key in dict.fromkeys((r.trouble, r.version) for r in rows):
        same_case = [r for r in rows if (r.trouble, r.version) == key]
        entry: dict[str, Any] = {"trouble": key[0], "version": key[1], "days": len(same_case)}
        for name in RecoveryMetrics._fields[3:-2]:
            values = sorted(getattr(r, name) for r in same_case)
            timed = name.endswith("_s") or name == "core"
            entry[name] = values[len(values) // 2] if timed else sum(values)
        entry["served"], entry["least"] = min((r.served, r.least) for r in same_case)
        entry["failed"] = sum(r.served < LEAST for r in same_case)
        result.append(entry)
    return result
