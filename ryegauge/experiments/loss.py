"""Days on which the state service loses data: what is detected, restored and lost for good."""

from collections.abc import Callable
from typing import Any, NamedTuple

import msgspec
import trio

from ryegauge.bookkeeping.epochs import EPOCH_KEY, RECOVERED, RESTORING
from ryegauge.emulator.disk import MemoryDisk
from ryegauge.emulator.versions import load_node_class
from ryegauge.emulator.world import World
from ryegauge.experiments.day import Arrivals, Day, Trouble
from ryegauge.experiments.play import play
from ryegauge.experiments.recovery import full_fleet
from ryegauge.experiments.served import least_served

LOSS_AT_S = 120.0
DAY_LENGTH_S = 280.0
# Jobs submitted within this time before the end of the day may be unserved when it ends.
UNSCORED_TAIL_S = 90.0

# The dimensions of a cell; their keys are the names that --cell takes.

# How data is lost.
LOSS_TROUBLES: dict[str, list[Trouble]] = {
    "nothing": [],
    "back 3 s": [Trouble(LOSS_AT_S, "state_back", 3.0)],
    "back 20 s": [Trouble(LOSS_AT_S, "state_back", 20.0)],
    "back 20 s, no leases": [Trouble(LOSS_AT_S, "state_back", 20.0, part=1.0)],
    "all": [Trouble(LOSS_AT_S, "state_empty")],
    "half the records": [Trouble(LOSS_AT_S, "state_records")],
    "back 3 s, twice": [
        Trouble(LOSS_AT_S, "state_back", 3.0),
        Trouble(LOSS_AT_S + 1.5, "state_back", 3.0),
    ],
    "all, in an outage": [
        Trouble(LOSS_AT_S - 10, "state_outage", 15.0),
        Trouble(LOSS_AT_S, "state_empty"),
    ],
}
# Which controllers live through the loss.
SURVIVOR_TROUBLES: dict[str, list[Trouble]] = {
    "all": [],
    "one": [Trouble(LOSS_AT_S, "crash_but_one")],
    "none": [Trouble(LOSS_AT_S, "crash_all")],
    "one that was away": [
        Trouble(LOSS_AT_S - 10, "away", 20.0),
        Trouble(LOSS_AT_S, "crash_but_one"),
    ],
}
# Seconds between two snapshots; the first is taken this long after the start.
SNAPSHOT_INTERVALS_S = {"none": 0.0, "fresh": 5.0, "a minute old": 60.0, "broken": 5.0}
# What else fails or happens at the time of the loss.
CONCURRENT_TROUBLES: dict[str, list[Trouble]] = {
    "nothing": [],
    "zone cut": [Trouble(LOSS_AT_S, "zone_cut", 20.0)],
    "lost 40%": [Trouble(LOSS_AT_S, "machines_lost", part=0.4)],
    "burst": [],
    "roll": [Trouble(LOSS_AT_S, "roll", 40.0)],
}


class Cell(NamedTuple):
    """One combination of loss, surviving controllers, snapshots and concurrent trouble."""

    loss: str
    lives: str
    snapshots: str
    meanwhile: str


def default_cells() -> list[Cell]:
    """The cells that are played when none is given.

    Every loss with every set of survivors; snapshots where no controller survives; and
    concurrent troubles with fresh snapshots.
    """
    cells = [
        Cell(loss, lives, "none", "nothing")
        for loss in LOSS_TROUBLES
        for lives in SURVIVOR_TROUBLES
    ]
    cells += [
        Cell(loss, "none", snapshots, "nothing")
        for loss in ("back 20 s", "all", "half the records")
        for snapshots in list(SNAPSHOT_INTERVALS_S)[1:]
    ]
    cells += [
        Cell(loss, lives, "fresh", meanwhile)
        for loss in ("back 20 s", "all")
        for lives in ("all", "one", "none")
        for meanwhile in list(CONCURRENT_TROUBLES)[1:]
    ]
    return cells


class LossMetrics(NamedTuple):
    """Metrics of one day with a loss; the field names are the columns of the report.

    Seconds count from the loss and are infinite for what had not happened by the end of the day.
    """

    loss: str
    lives: str
    snapshots: str
    meanwhile: str
    version: str
    seed: int
    noticed_s: float  # until a new epoch began
    polled_s: float  # until a poll was answered in it
    placed_s: float  # until a task was started in it
    accepted_s: float  # until a submission was accepted in it
    durable_s: float  # until recovery was complete
    running: int  # tasks on machines at the loss
    adopted: int  # of these, tasks that ran on to their end or still run
    killed: int  # of these, tasks ended by command or by a lease
    again: int  # of these, tasks that were started once more
    jobs_lost: int  # accepted, not over, and the last request about it not answered 200 or 201
    changed: int  # jobs that were reported with another outcome later
    broken: int  # violations of protocol rules
    requests: int  # requests to the state service over the day
    changes: int  # writes to the state service over the day
    served: float  # smallest share of tasks served of any class or team
    least: str  # name of that class or team


def _build_day(machines: int, cell: Cell) -> Day:
    troubles = [
        *LOSS_TROUBLES[cell.loss],
        *SURVIVOR_TROUBLES[cell.lives],
        *CONCURRENT_TROUBLES[cell.meanwhile],
    ]
    day = full_fleet(machines, cell.loss, DAY_LENGTH_S, troubles)
    properties: dict[str, float | str] = {"rebuilding": "on"}
    if cell.snapshots != "none":
        properties["snapshots_every_s"] = SNAPSHOT_INTERVALS_S[cell.snapshots]
    arrivals = day.arrivals
    if cell.meanwhile == "burst":
        arrivals = [
            *arrivals,
            Arrivals(
                "pick",
                "picks",
                "high",
                max(1, machines // 40),
                [20, 40],
                cpus=2,
                memory_gb=4,
                from_s=LOSS_AT_S - 2,
                count=40,
                deadline_s=90.0,
            ),
        ]
    return msgspec.structs.replace(day, properties=properties, arrivals=arrivals)


def _prepare_world(world: World, cell: Cell, records: int, checkout: str | None) -> None:
    world.state.history_s = 30.0
    world.state.revision = records
    for n in range(records):
        world.state.data[f"f/wk-9{n:07d}"] = ({"st": "done", "d": 1}, n + 1, None)
    if cell.snapshots != "none" and checkout is None:
        world.snapshot_stores = {n: MemoryDisk() for n in range(len(world.settings))}


def measure(
    machines: int, records: int, cell: Cell, seed: int, version: str, checkout: str | None
) -> LossMetrics:
    """Play the day of a cell and measure how the controllers recovered.

    `machines` is the approximate size of the fleet, `records` the number of archived outcomes
    that the state service holds at the start. `checkout` is the directory of another version of
    the controllers, None for this one; `version` is its label in the result.
    """
    stage_began_at: dict[int, float] = {}  # recovery stages of the latest epoch
    first_answer_at: dict[str, float] = {}  # by kind of request, since the latest epoch began
    last_answers: dict[str, tuple[float, int]] = {}  # job -> (time, status) of the last answer
    running: set[tuple[str, str]] = set()  # (machine, task) just before the loss
    worlds: list[World] = []

    def prepare(world: World) -> None:
        worlds.append(world)
        _prepare_world(world, cell, records, checkout)

        def on_state_write(key: str, value: Any) -> None:
            if key == EPOCH_KEY:
                stage_began_at[value["s"]] = trio.current_time()
                if value["s"] == RESTORING:
                    first_answer_at.clear()

        world.state.on_write.append(on_state_write)
        check_answer: Callable[..., None] = world.checker.answered

        def on_answer(
            uid: str, status: int, body: Any, action: str, sent: float | None = None
        ) -> None:
            now = trio.current_time()
            last_answers[uid] = now, status
            if now >= LOSS_AT_S and status in (200, 201):
                first_answer_at.setdefault(action, now)
            check_answer(uid, status, body, action, sent)

        world.checker.answered = on_answer  # type: ignore[method-assign]

    def watch(world: World) -> None:
        now = trio.current_time()
        if now < LOSS_AT_S:
            running.clear()
            for worker in world.workers.values():
                if worker.alive:
                    running.update((worker.name, task) for task in worker.active_tasks())
            if cell.snapshots == "broken" and now > LOSS_AT_S - 1:
                for disk in world.snapshot_stores.values():
                    disk.files = {name: data[:-40] for name, data in disk.files.items()}

    program = load_node_class(checkout)
    day = _build_day(machines, cell)
    day_result = play(day, "settled", seed, program=program, watch=watch, prepare=prepare)
    (world,) = worlds
    detected_at = stage_began_at.get(RESTORING, float("inf"))
    since = detected_at if detected_at < float("inf") else LOSS_AT_S
    starts = [e for e in day_result.recorded_events if e.what == "started" and e.at > since]
    ends = {
        (e.machine, e.task): e.detail
        for e in day_result.recorded_events
        if e.what == "ended" and e.at > LOSS_AT_S
    }
    lost_machines = {
        e.machine for e in day_result.recorded_events if e.what in ("lost", "returned")
    }
    tracked = {key for key in running if key[0] not in lost_machines}
    killed = {key for key in tracked if ends.get(key) in ("lease", "stopped")}
    checker = world.checker
    lost_jobs = [
        uid
        for uid in checker.accepted
        if uid not in checker.final and last_answers.get(uid, (0.0, 0))[1] not in (200, 201)
    ]
    served, least = least_served(
        day_result.recorded_events, day_result.bodies, DAY_LENGTH_S - UNSCORED_TAIL_S
    )
    restarted = {e.task for e in starts} & {task for _, task in tracked}
    return LossMetrics(
        cell.loss,
        cell.lives,
        cell.snapshots,
        cell.meanwhile,
        version,
        seed,
        round(detected_at - LOSS_AT_S, 2),
        round(first_answer_at.get("poll", float("inf")) - LOSS_AT_S, 2),
        round(min((e.at for e in starts), default=float("inf")) - LOSS_AT_S, 2),
        round(first_answer_at.get("submit", float("inf")) - LOSS_AT_S, 2),
        round(stage_began_at.get(RECOVERED, float("inf")) - LOSS_AT_S, 2),
        len(tracked),
        len(tracked) - len(killed),
        len(killed),
        len(restarted),
        len(lost_jobs),
        len({line.split()[2] for line in day_result.broken if "went_back" in line}),
        len(day_result.broken),
        world.state.requests,
        world.state.writes,
        served,
        least,
    )


def summarize(rows: list[LossMetrics]) -> list[dict[str, Any]]:
    """One row per cell and version over all seeds: maxima of times, sums of counts, and the
    smallest share of tasks served."""
    result: list[dict[str, Any]] = []
    for key in dict.fromkeys(r[:5] for r in rows):
        same_cell = [r for r in rows if r[:5] == key]
        entry: dict[str, Any] = dict(zip(LossMetrics._fields[:5], key, strict=True))
        entry["days"] = len(same_cell)
        for name in LossMetrics._fields[6:20]:
            values = [getattr(r, name) for r in same_cell]
            entry[name] = round(max(values), 2) if name.endswith("_s") else sum(values)
        entry["served"], entry["least"] = min((r.served, r.least) for r in same_cell)
        result.append(entry)
    return result
