"""Days on which the state service loses data: what is noticed, put back and lost for good."""

from collections.abc import Callable
from typing import Any, NamedTuple

import msgspec
import trio

from ryegauge.bookkeeping.epochs import EPOCH_KEY, RECOVERED, RESTORING
from ryegauge.emulator.disk import MemoryDisk
from ryegauge.emulator.versions import node_of
from ryegauge.emulator.world import World
from ryegauge.experiments.day import Arrivals, Day, Trouble
from ryegauge.experiments.play import play
from ryegauge.experiments.recovery import full_fleet
from ryegauge.experiments.served import least_served

AT_S = 120.0
DAY_S = 280.0
LATE_S = 90.0  # what was submitted later need not have been served by the end of the day

LOSSES: dict[str, list[Trouble]] = {
    "nothing": [],
    "back 3 s": [Trouble(AT_S, "state_back", 3.0)],
    "back 20 s": [Trouble(AT_S, "state_back", 20.0)],
    "back 20 s, no leases": [Trouble(AT_S, "state_back", 20.0, part=1.0)],
    "all": [Trouble(AT_S, "state_empty")],
    "half the records": [Trouble(AT_S, "state_records")],
    "back 3 s, twice": [Trouble(AT_S, "state_back", 3.0), Trouble(AT_S + 1.5, "state_back", 3.0)],
    "all, in an outage": [Trouble(AT_S - 10, "state_outage", 15.0), Trouble(AT_S, "state_empty")],
}
LIVES: dict[str, list[Trouble]] = {
    "all": [],
    "one": [Trouble(AT_S, "crash_but_one")],
    "none": [Trouble(AT_S, "crash_all")],
    "one that was away": [Trouble(AT_S - 10, "away", 20.0), Trouble(AT_S, "crash_but_one")],
}
# Seconds between two, the first of which is taken that long after the start.
SNAPSHOTS = {"none": 0.0, "fresh": 5.0, "a minute old": 60.0, "broken": 5.0}
MEANWHILE: dict[str, list[Trouble]] = {
    "nothing": [],
    "zone cut": [Trouble(AT_S, "zone_cut", 20.0)],
    "lost 40%": [Trouble(AT_S, "machines_lost", part=0.4)],
    "burst": [],
    "roll": [Trouble(AT_S, "roll", 40.0)],
}


class Cell(NamedTuple):
    loss: str
    lives: str
    snapshots: str
    meanwhile: str


def default_cells() -> list[Cell]:
    """Each kind of loss with whoever lives; then what snapshots change where nobody does, and
    what else may fail at that time."""
    cells = [Cell(loss, lives, "none", "nothing") for loss in LOSSES for lives in LIVES]
    cells += [
        Cell(loss, "none", snapshots, "nothing")
        for loss in ("back 20 s", "all", "half the records")
        for snapshots in list(SNAPSHOTS)[1:]
    ]
    cells += [
        Cell(loss, lives, "fresh", meanwhile)
        for loss in ("back 20 s", "all")
        for lives in ("all", "one", "none")
        for meanwhile in list(MEANWHILE)[1:]
    ]
    return cells


class Loss(NamedTuple):
    """Seconds count from the loss; infinite if not by the end of the day."""

    loss: str
    lives: str
    snapshots: str
    meanwhile: str
    version: str
    seed: int
    noticed_s: float  # until a new era began
    polled_s: float  # until a poll was answered in it
    placed_s: float  # until a task was started in it
    accepted_s: float  # until a submission was accepted in it
    durable_s: float  # until everything stood again
    running: int  # tasks on machines at the loss
    adopted: int  # of these: went on to their end, or are still there
    killed: int  # ended by command or by a lease
    again: int  # started once more
    jobs_lost: int  # accepted, not over, and not known any more at the end of the day
    changed: int  # jobs of which another outcome was told later
    broken: int
    requests: int  # to the state service, and changes, over the day
    changes: int
    served: float  # least share of the tasks of a class or a team
    least: str  # which one


def _day(machines: int, cell: Cell) -> Day:
    troubles = [*LOSSES[cell.loss], *LIVES[cell.lives], *MEANWHILE[cell.meanwhile]]
    day = full_fleet(machines, cell.loss, DAY_S, troubles)
    properties: dict[str, float | str] = {"rebuilding": "on"}
    if cell.snapshots != "none":
        properties["snapshots_every_s"] = SNAPSHOTS[cell.snapshots]
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
                from_s=AT_S - 2,
                count=40,
                deadline_s=90.0,
            ),
        ]
    return msgspec.structs.replace(day, properties=properties, arrivals=arrivals)


def _prepared(world: World, cell: Cell, records: int, checkout: str | None) -> None:
    world.state.history_s = 30.0
    world.state.revision = records
    for n in range(records):
        world.state.data[f"f/wk-9{n:07d}"] = ({"st": "done", "d": 1}, n + 1, None)
    if cell.snapshots != "none" and checkout is None:
        world.disks = {n: MemoryDisk() for n in range(len(world.settings))}


def measure(
    machines: int, records: int, cell: Cell, seed: int, version: str, checkout: str | None
) -> Loss:
    stages: dict[int, float] = {}  # of the last era: when each stage began
    first: dict[str, float] = {}  # first answer of each kind since the last era began
    answers: dict[str, tuple[float, int]] = {}
    running: set[tuple[str, str]] = set()
    worlds: list[World] = []

    def prepare(world: World) -> None:
        worlds.append(world)
        _prepared(world, cell, records, checkout)

        def written(key: str, value: Any) -> None:
            if key == EPOCH_KEY:
                stages[value["s"]] = trio.current_time()
                if value["s"] == RESTORING:
                    first.clear()

        world.state.on_write.append(written)
        answered: Callable[..., None] = world.checker.answered

        def heard(uid: str, status: int, body: Any, asked: str, sent: float | None = None) -> None:
            now = trio.current_time()
            answers[uid] = now, status
            if now >= AT_S and status in (200, 201):
                first.setdefault(asked, now)
            answered(uid, status, body, asked, sent)

        world.checker.answered = heard  # type: ignore[method-assign]

    def watch(world: World) -> None:
        now = trio.current_time()
        if now < AT_S:
            running.clear()
            for worker in world.workers.values():
                if worker.alive:
                    running.update((worker.name, task) for task in worker.on_machine())
            if cell.snapshots == "broken" and now > AT_S - 1:
                for disk in world.disks.values():
                    disk.files = {name: data[:-40] for name, data in disk.files.items()}

    program = node_of(checkout)
    day = _day(machines, cell)
    played = play(day, "settled", seed, program=program, watch=watch, prepare=prepare)
    (world,) = worlds
    noticed = stages.get(RESTORING, float("inf"))
    since = noticed if noticed < float("inf") else AT_S
    starts = [e for e in played.happened if e.what == "started" and e.at > since]
    ends = {
        (e.machine, e.task): e.detail for e in played.happened if e.what == "ended" and e.at > AT_S
    }
    lost_machines = {e.machine for e in played.happened if e.what in ("lost", "returned")}
    mine = {key for key in running if key[0] not in lost_machines}
    killed = {key for key in mine if ends.get(key) in ("lease", "stopped")}
    checker = world.checker
    forgotten = [
        uid
        for uid in checker.accepted
        if uid not in checker.final and answers.get(uid, (0.0, 0))[1] not in (200, 201)
    ]
    served, least = least_served(played.happened, played.bodies, DAY_S - LATE_S)
    again = {e.task for e in starts} & {task for _, task in mine}
    return Loss(
        cell.loss,
        cell.lives,
        cell.snapshots,
        cell.meanwhile,
        version,
        seed,
        round(noticed - AT_S, 2),
        round(first.get("poll", float("inf")) - AT_S, 2),
        round(min((e.at for e in starts), default=float("inf")) - AT_S, 2),
        round(first.get("submit", float("inf")) - AT_S, 2),
        round(stages.get(RECOVERED, float("inf")) - AT_S, 2),
        len(mine),
        len(mine) - len(killed),
        len(killed),
        len(again),
        len(forgotten),
        len({line.split()[2] for line in played.broken if "went_back" in line}),
        len(played.broken),
        world.state.requests,
        world.state.writes,
        served,
        least,
    )


def table(rows: list[Loss]) -> list[dict[str, Any]]:
    """Per cell and version: the worst times, sums of counts, the least served, over seeds."""
    result: list[dict[str, Any]] = []
    for key in dict.fromkeys(r[:5] for r in rows):
        some = [r for r in rows if r[:5] == key]
        entry: dict[str, Any] = dict(zip(Loss._fields[:5], key, strict=True))
        entry["days"] = len(some)
        for name in Loss._fields[6:20]:
            values = [getattr(r, name) for r in some]
            entry[name] = round(max(values), 2) if name.endswith("_s") else sum(values)
        entry["served"], entry["least"] = min((r.served, r.least) for r in some)
        result.append(entry)
    return result
