"""The ECPTR planner: what runs where, what to rent and what to return.

Pure functions of a snapshot and the time. Task, machine and rental names follow the
paper: LTO is the latest time to turn to steady machines, EFT and LFT the earliest
and latest finish. Jobs here are sets of independent tasks, so the critical path of
a job is the longest remaining task on the type at hand, with its image fetch.
"""

import math
from bisect import insort
from collections.abc import Iterable
from copy import copy
from dataclasses import dataclass, field, replace
from itertools import groupby

from ryegauge.protocol.cloud import MachineType

EPSILON = 1e-6
# Speeds of machines of a type differ by up to this share; less says nothing.
SPEED_TOLERANCE = 0.1


@dataclass(slots=True)
class MachineCapacity:
    """A machine's free room; `ready_s` is 0 if it runs, else the time until it may."""

    name: str
    type: MachineType
    zone: str
    spot: bool
    shard: int
    cpus: float
    memory_gb: float
    gpus: float
    images: set[str] = field(default_factory=set)
    available_in_s: float = 0.0
    used: bool = False
    # What its tasks will free: (seconds until then, tasks, CPUs, GB, cards of each).
    busy: list[tuple[float, int, float, float, float]] = field(default_factory=list)
    # A task that fits nowhere now waits for room here until then.
    held_s: float = math.inf
    # Free room now and what comes free soon, less what waits for it: (CPUs, GB, cards).
    soon: tuple[float, float, float] | None = None

    def fits(self, need: "Demand") -> int:
        """How many of the need's tasks still fit."""
        return _fit(need, self.cpus, self.memory_gb, self.gpus)

    def take(self, need: "Demand", count: int) -> None:
        self.cpus -= need.cpus * count
        self.memory_gb -= need.memory_gb * count
        self.gpus -= need.gpus * count
        if need.image not in self.images:
            self.images = self.images | {need.image}
        if self.soon is not None:
            c, m, g = self.soon
            self.soon = (c - need.cpus * count, m - need.memory_gb * count, g - need.gpus * count)
        self.used = True


def unused_capacity(
    type_: MachineType, name: str, zone: str, spot: bool, shard: int = -1
) -> MachineCapacity:
    return MachineCapacity(name, type_, zone, spot, shard, type_.cpus, type_.memory_gb, type_.gpus)


@dataclass(slots=True)
class Demand:
    """Tasks of one job that wait for a place."""

    uid: str
    count: int
    cpus: float
    memory_gb: float
    gpus: float
    image: str
    image_gb: float
    allows_spot: bool
    service: bool
    run_s: float
    # Latest finish, in the clock of `now`; infinite without any deadline.
    latest_finish: float
    types: frozenset[str] | None = None
    # Zones allowed and how many tasks each may still take; None: any number anywhere.
    zones: dict[str, int] | None = None
    # All tasks in one zone, not yet chosen.
    one_zone: bool = False
    # Starts whole, on one pricing kind.
    gang: bool = False
    # Parts that hold tasks of the job already.
    shards: frozenset[int] = frozenset()
    # CPUs of larger tasks that are around, ascending: room that one of them fits into
    # is broken up last.
    larger: tuple[float, ...] = ()
    # If it finds no room, machines that come free within so long are held for it.
    hold_s: float = 0.0
    due: bool = False  # goes first for its age
    may_rent: bool = True  # if not, it takes running room or comes again later

    def path_s(self, type_: MachineType, cached: bool = False) -> float:
        """The critical path on a type: the fetch and the longest remaining task."""
        fetch = 0.0 if cached or not self.image_gb else self.image_gb / type_.fetch_gb_per_s
        return self.run_s + fetch


@dataclass(slots=True, frozen=True)
class Placement:
    uid: str
    count: int
    machine: str
    shard: int
    zone: str


@dataclass(slots=True, frozen=True)
class Rental:
    type: str
    zone: str
    spot: bool
    count: int


@dataclass(slots=True)
class Plan:
    placements: list[Placement] = field(default_factory=list)
    rentals: list[Rental] = field(default_factory=list)
    # What found no room on running machines, in order: (job, tasks).
    unplaced: list[tuple[str, int]] = field(default_factory=list)
    # Machines that the plan counts on, starting ones included.
    used: set[str] = field(default_factory=set)
    # Of the unplaced tasks: those that wait for a busy machine, and for one that boots.
    waiting_for_busy: int = 0
    waiting_for_boot: int = 0
    ahead: int = 0  # machines rented for tasks that are most likely lost


def _fit(need: Demand, cpus: float, memory_gb: float, gpus: float) -> int:
    n = math.inf
    if need.cpus > 0:
        n = min(n, (cpus + EPSILON) // need.cpus)
    if need.memory_gb > 0:
        n = min(n, (memory_gb + EPSILON) // need.memory_gb)
    if need.gpus > 0:
        n = min(n, (gpus + EPSILON) // need.gpus)
    return int(min(n, need.count))


def allowed(need: Demand, type_name: str, zone: str, spot: bool) -> bool:
    return (
        (need.types is None or type_name in need.types)
        and (need.zones is None or need.zones.get(zone, 0) > 0)
        and (need.allows_spot or not spot)
    )


def latest_on_demand_start(need: Demand, types: Iterable[MachineType]) -> float:
    """LTO = D - CP, with the path on the slowest allowed type (Algorithm 1, line 8)."""
    paths = [need.path_s(t) for t in types if need.types is None or t.name in need.types]
    return need.latest_finish - max(paths, default=need.run_s)


def place(
    need: Demand, rooms: list[MachineCapacity], *, on_demand_only: bool
) -> list[tuple[MachineCapacity, int]]:
    """Takes room for as much of the need as fits (FindFreeSlot and FindRunningVM).

    The earliest completion comes first. Machines of a type differ in speed by a tenth,
    so completions within a tenth of the path count as equal; of those, a spot machine,
    so that the dearer steady ones run empty and are returned; of these, room that larger
    tasks cannot use, machines that have the image, the smallest, few parts, since each
    part's share of a job is a record of its own, and the fullest, so that others run
    empty.
    """
    if need.count <= 0:
        return []
    grain = SPEED_TOLERANCE * need.run_s
    taken: list[tuple[MachineCapacity, int]] = []
    cpus, run_s = need.cpus - EPSILON, need.run_s
    memory_gb = need.memory_gb - EPSILON
    fitting = [
        room
        for room in rooms
        if room.cpus >= cpus
        and room.memory_gb >= memory_gb
        and run_s <= room.held_s
        and not (on_demand_only and room.spot)
        and allowed(need, room.type.name, room.zone, room.spot)
        and room.fits(need) > 0
    ]
    if need.one_zone and fitting:
        zone = _best_zone(need, fitting)
        fitting = [room for room in fitting if room.zone == zone]
    ranks = _shard_ranks(need, fitting)
    candidates = [
        (
            _completion(need, room, grain),
            not room.spot,
            need.image not in room.images,
            room.type.cpus,
            ranks[room.shard],
            room.cpus,
            i,
            room,
        )
        for i, room in enumerate(fitting)
    ]
    candidates.sort(key=lambda c: c[:7])
    alike = groupby(candidates, key=lambda c: c[:2])
    for _, group in alike:
        equal = [c[7] for c in group]
        # First what larger tasks could not use anyway.
        for whole in (*need.larger, 0.0):
            for room in equal:
                if need.count <= 0:
                    return taken
                if (n := _take(need, room, whole)) > 0:
                    taken.append((room, n))
    return taken


def _take(need: Demand, room: MachineCapacity, whole: float) -> int:
    """Takes what fits; with `whole`, only what is left beside tasks of so many CPUs."""
    n = room.fits(need)
    if whole and need.cpus > 0:
        n = min(n, int((room.cpus % whole + EPSILON) // need.cpus))
    if need.zones is not None:
        n = min(n, need.zones.get(room.zone, 0))
    if n <= 0:
        return 0
    room.take(need, n)
    need.count -= n
    if need.zones is not None:
        need.zones[room.zone] -= n
    if need.one_zone:
        need.one_zone = False
        need.zones = {room.zone: need.count}
    return n


def _shard_ranks(need: Demand, rooms: list[MachineCapacity]) -> dict[int, int]:
    """Parts in the order in which a need should take them, so that its job ends up in
    few: those that hold some of it, then the smallest that fits all, then the roomiest."""
    fitting: dict[int, int] = {}
    for room in rooms:
        fitting[room.shard] = fitting.get(room.shard, 0) + room.fits(need)
    ordered = sorted(
        fitting,
        key=lambda shard: (
            shard not in need.shards,
            fitting[shard] < need.count,
            fitting[shard] if fitting[shard] >= need.count else -fitting[shard],
            shard,
        ),
    )
    return {shard: rank for rank, shard in enumerate(ordered)}


def _completion(need: Demand, room: MachineCapacity, grain: float) -> float:
    path = room.available_in_s + need.path_s(room.type, need.image in room.images)
    return path if grain <= 0 else path // grain


def place_gang(
    need: Demand, rooms: list[MachineCapacity], *, on_demand_only: bool
) -> list[tuple[MachineCapacity, int]]:
    """All tasks at once on machines of one pricing kind, or none."""
    for spot in (False,) if on_demand_only else (True, False):
        kind = [room for room in rooms if room.spot == spot]
        trial = replace(need, zones=None if need.zones is None else copy(need.zones))
        place(trial, [replace(room) for room in kind], on_demand_only=False)
        if trial.count <= 0:
            return place(need, kind, on_demand_only=False)
    return []


def _best_zone(need: Demand, rooms: list[MachineCapacity]) -> str:
    fitting: dict[str, int] = {}
    for room in rooms:
        fitting[room.zone] = fitting.get(room.zone, 0) + room.fits(need)
    return max(sorted(fitting), key=lambda zone: fitting[zone])


@dataclass(slots=True)
class Market:
    """What can be rented and how the spot machines have fared."""

    types: dict[str, MachineType]
    # (type, zone, spot) refused of late.
    refused: set[tuple[str, str, bool]]
    takeback_share: float
    takeback_threshold: float
    # How long tasks wait for a busy machine instead of a new one, in boots.
    patience: float = 0.5
    # More was placed in the last round than could be recorded.
    backlog: bool = False
    # (type, zone, spot) -> what boots are expected to take; else the nominal time.
    boots: dict[tuple[str, str, bool], float] = field(default_factory=dict)

    def boot_s(self, type_: MachineType, zone: str, spot: bool) -> float:
        return self.boots.get((type_.name, zone, spot), type_.boot_s)

    @property
    def longest_boot_s(self) -> float:
        """Of all types, each where and how it is had soonest."""
        return max(
            (
                min(
                    (self.boot_s(t, z, s) for z in t.zones for s in (False, True)), default=t.boot_s
                )
                for t in self.types.values()
            ),
            default=0.0,
        )


def needs_standby(run_left_s: float, boot_s: float, latest_finish: float, now: float) -> bool:
    """EFT + one boot reaches LFT: there is no time for a new machine after a loss."""
    return now + run_left_s + boot_s >= latest_finish


def reserve_standbys(
    critical: dict[str, list[Demand]], running: list[MachineCapacity], coming: list[MachineCapacity]
) -> list[Demand]:
    """Holds room for the tasks without time for a new machine, on running machines that
    do not hold them, else on starting ones; returns what found none.

    Room is held, nothing runs there: two runs of a task at once would break a rule.
    One machine is taken at a time, so its standbys' room serves those of the others
    (backup overloading): what the fullest machine needs is held."""
    if not critical:
        return []
    name = max(sorted(critical), key=lambda m: sum(n.cpus * n.count for n in critical[m]))
    others = [room for room in (*running, *coming) if room.name != name]
    for need in critical[name]:
        place(need, others, on_demand_only=False)
    return [need for need in critical[name] if need.count > 0]


class ExhaustedKinds:
    """Kinds of tasks for which a round has found no room left. Room only shrinks within
    a round, so what asks for as much and runs as long need not look again: with many
    jobs waiting for a full fleet, a round would else try every machine for each."""

    def __init__(self) -> None:
        self._kinds: dict[tuple[object, ...], list[tuple[float, float, float, float]]] = {}

    @staticmethod
    def _kind(need: Demand, steady: bool) -> tuple[object, ...] | None:
        if need.gang or need.one_zone or need.zones is not None:
            return None  # limits of its own
        return (steady, need.allows_spot, need.types)

    def note(self, need: Demand, steady: bool = False) -> None:
        """The need has just looked; if some of it is left, the room is used up."""
        kind = self._kind(need, steady)
        if kind is not None and need.count > 0:
            size = (need.cpus, need.memory_gb, need.gpus, need.run_s)
            self._kinds.setdefault(kind, []).append(size)

    def covers(self, need: Demand, steady: bool = False) -> bool:
        kind = self._kind(need, steady)
        return kind is not None and any(
            c <= need.cpus and m <= need.memory_gb and g <= need.gpus and r <= need.run_s
            for c, m, g, r in self._kinds.get(kind, ())
        )

    def forget(self) -> None:
        self._kinds.clear()


def _place_by_shard(
    needs: list[Demand], running: list[MachineCapacity], market: Market, now: float, result: Plan
) -> None:
    """Each need takes room in one part first, the one that can take the most of it: a part's
    share of a job is a record, and with many records to write for few tasks each, machines
    stand idle beside tasks that wait for being recorded."""
    by_shard: dict[int, list[MachineCapacity]] = {}
    for room in running:
        if room.cpus > EPSILON:
            by_shard.setdefault(room.shard, []).append(room)
    for need in needs:
        if need.gang or need.service:
            continue
        late = latest_on_demand_start(need, market.types.values()) <= now
        best: tuple[int, bool, int] | None = None
        for shard, rooms in by_shard.items():
            fits = sum(
                room.fits(need)
                for room in rooms
                if room.cpus + EPSILON >= need.cpus
                and allowed(need, room.type.name, room.zone, room.spot)
            )
            if fits > 0:
                key = (min(fits, need.count), shard in need.shards, -shard)
                best = key if best is None else max(best, key)
        if best is None:
            continue
        rooms = by_shard[-best[2]]
        taken = place(need, rooms, on_demand_only=True) if late else []
        for room, count in taken + place(need, rooms, on_demand_only=False):
            result.placements.append(Placement(need.uid, count, room.name, room.shard, room.zone))


def plan(
    needs: list[Demand],
    running: list[MachineCapacity],
    starting: list[MachineCapacity],
    market: Market,
    now: float,
    critical: dict[str, list[Demand]] | None = None,
    missed: Iterable[Demand] = (),
) -> Plan:
    """One round, needs in their order of precedence. Of `missed`, tasks on machines that are
    most likely lost, nothing is placed: what they will need is rented ahead."""
    result = Plan()
    rented: dict[tuple[str, str, bool], int] = {}
    coming = list(starting)
    now_full, soon_full, coming_full = ExhaustedKinds(), ExhaustedKinds(), ExhaustedKinds()
    boot_s = market.longest_boot_s
    if market.backlog:
        _place_by_shard(needs, running, market, now, result)
    for need in needs:
        if need.count <= 0:
            continue
        slack = latest_on_demand_start(need, market.types.values()) - now
        ahead = slack > 0 and not need.service
        put = place_gang if need.gang else place
        taken: list[tuple[MachineCapacity, int]] = []
        if not ahead and not now_full.covers(need, steady=True):
            taken = put(need, running, on_demand_only=True)
            now_full.note(need, steady=True)
        if need.count > 0 and not need.service and not now_full.covers(need):
            # Past the point this is the exception "late on spot": with no steady room
            # free, a running spot machine still finishes sooner than waiting for one.
            taken += put(need, running, on_demand_only=False)
            now_full.note(need)
        for room, count in taken:
            result.placements.append(Placement(need.uid, count, room.name, room.shard, room.zone))
        if need.count <= 0 or not need.may_rent:
            continue
        result.unplaced.append((need.uid, need.count))
        spot = (
            ahead
            and need.allows_spot
            and slack - boot_s > 0
            and market.takeback_share < market.takeback_threshold
        )
        if not spot and need.allows_spot and not need.service and not _in_time(need, market, now):
            # Exception "no type in time": no new machine of any type meets the deadline,
            # so a steady one would be dearer and no earlier.
            spot = market.takeback_share < market.takeback_threshold
        left = need.count
        if not soon_full.covers(need):
            queue_on_busy_machines(need, running, market.patience * boot_s, on_demand_only=False)
            soon_full.note(need)
        result.waiting_for_busy += left - need.count
        left = need.count
        # What is on its way already is rented for someone; room that is left serves.
        if not coming_full.covers(need, steady=not spot):
            put(need, coming, on_demand_only=not spot)
            coming_full.note(need, steady=not spot)
        result.waiting_for_boot += left - need.count
        if _rent(need, market, spot, now, coming, rented):
            coming_full.forget()
        if need.count > 0 and need.hold_s > 0:
            reserve_capacity(need, running, need.hold_s)
    for need in missed:
        place(need, running, on_demand_only=False)
        place(need, coming, on_demand_only=False)
        before = sum(rented.values())
        spot = need.allows_spot and market.takeback_share < market.takeback_threshold
        _rent(need, market, spot, now, coming, rented)
        result.ahead += sum(rented.values()) - before
    for need in reserve_standbys(critical or {}, running, coming):
        _rent(need, market, True, now, coming, rented)
    result.rentals = [Rental(t, z, s, n) for (t, z, s), n in rented.items()]
    result.used = {room.name for room in (*running, *coming) if room.used}
    return result


def queue_on_busy_machines(
    need: Demand, rooms: list[MachineCapacity], horizon_s: float, *, on_demand_only: bool
) -> None:
    """FindRunningVM for machines that are busy now: tasks that a running machine can
    take before a rented one would be up wait for it instead. The machine is held for
    them: tasks that come later in the order may use it only if they end before."""
    if not need.count or need.gang:
        return
    waits: list[tuple[float, int, MachineCapacity]] = []
    for i, room in enumerate(rooms):
        if not room.busy:
            continue
        if room.soon is None:
            room.busy.sort()
            room.soon = _soon(room, horizon_s)
        if (
            room.soon[0] + EPSILON < need.cpus
            or room.soon[1] + EPSILON < need.memory_gb
            or room.soon[2] + EPSILON < need.gpus
            or (on_demand_only and room.spot)
            or not allowed(need, room.type.name, room.zone, room.spot)
        ):
            continue
        cpus, memory_gb, gpus, fits = room.cpus, room.memory_gb, room.gpus, 0
        for left_s, count, c, m, g in room.busy:
            if left_s > horizon_s:
                break
            cpus, memory_gb, gpus = cpus + count * c, memory_gb + count * m, gpus + count * g
            more = _fit(need, cpus, memory_gb, gpus) - fits
            if more > 0:
                waits += [(left_s, i, room)] * more
                fits += more
    waits.sort(key=lambda w: w[:2])
    for left_s, _, room in waits[: need.count]:
        # Not more than once: what waits here has taken what will be free.
        insort(room.busy, (left_s, -1, need.cpus, need.memory_gb, need.gpus))
        room.soon = (
            None
            if room.soon is None
            else (room.soon[0] - need.cpus, room.soon[1] - need.memory_gb, room.soon[2] - need.gpus)
        )
        room.held_s = min(room.held_s, left_s)
        room.used = True
        need.count -= 1


def reserve_capacity(need: Demand, rooms: list[MachineCapacity], horizon_s: float) -> None:
    """Holds machines for tasks that no rental can help and that small ones would keep from
    ever fitting: those that have room for one earliest, by what their tasks are expected to
    take, within the horizon. Until then only what ends before runs there. A gang is held
    for whole or not at all."""
    found: list[tuple[float, str, int, MachineCapacity]] = []
    for room in rooms:
        if not allowed(need, room.type.name, room.zone, room.spot):
            continue
        room.busy.sort()
        cpus, memory_gb, gpus, fits = room.cpus, room.memory_gb, room.gpus, 0
        for left_s, count, c, m, g in [(0.0, 0, 0.0, 0.0, 0.0), *room.busy]:
            if left_s > horizon_s:
                break
            cpus, memory_gb, gpus = cpus + count * c, memory_gb + count * m, gpus + count * g
            more = _fit(need, cpus, memory_gb, gpus) - fits
            if more > 0:
                found.append((left_s, room.name, more, room))
                fits += more
    if need.one_zone and found:
        zone = _best_zone(need, [f[3] for f in found if f[2] >= need.count] or [found[0][3]])
        found = [f for f in found if f[3].zone == zone]
    found.sort(key=lambda f: f[:2])
    if need.gang and sum(f[2] for f in found) < need.count:
        return
    for left_s, _, more, room in found:
        if need.count <= 0:
            return
        n = min(more, need.count)
        # What waits here has taken what will be free.
        insort(room.busy, (left_s, -n, need.cpus, need.memory_gb, need.gpus))
        room.soon = None
        room.held_s = min(room.held_s, left_s)
        room.used = True
        need.count -= n


def _soon(room: MachineCapacity, horizon_s: float) -> tuple[float, float, float]:
    cpus, memory_gb, gpus = room.cpus, room.memory_gb, room.gpus
    for left_s, count, c, m, g in room.busy:
        if left_s > horizon_s:
            break
        cpus, memory_gb, gpus = cpus + count * c, memory_gb + count * m, gpus + count * g
    return cpus, memory_gb, gpus


def _in_time(need: Demand, market: Market, now: float) -> bool:
    """Whether some steady machine rented now would meet the deadline (Algorithm 3)."""
    return any(
        now + market.boot_s(t, z, False) + need.path_s(t) <= need.latest_finish
        and _fit(need, t.cpus, t.memory_gb, t.gpus) > 0
        and allowed(need, t.name, z, False)
        and (t.name, z, False) not in market.refused
        for t in market.types.values()
        for z in t.zones
    )


def _rent(
    need: Demand,
    market: Market,
    spot: bool,
    now: float,
    coming: list[MachineCapacity],
    rented: dict[tuple[str, str, bool], int],
) -> bool:
    """New machines for what is left of a need; their spare room serves later needs.
    Whether any are wanted."""
    before = len(coming)
    while need.count > 0:
        room_type = _choose(need, market, spot, now)
        if room_type is None:
            break
        type_, zone = room_type
        key = (type_.name, zone, spot)
        # As many as the need fills, then the choice is made anew for the rest.
        full = need.count // max(1, _fit(need, type_.cpus, type_.memory_gb, type_.gpus))
        for _ in range(max(1, full)):
            rented[key] = rented.get(key, 0) + 1
            room = unused_capacity(type_, f"new-{len(coming)}", zone, spot)
            room.available_in_s = market.boot_s(type_, zone, spot)
            coming.append(room)
            if not place(need, [room], on_demand_only=False):
                return True
    return len(coming) > before


def _choose(need: Demand, market: Market, spot: bool, now: float) -> tuple[MachineType, str] | None:
    """FindCostPerfEffectiveVM: of the types that meet the deadline (all, if none
    does), the lowest path time times price for all the tasks that wait."""
    best: tuple[tuple[bool, float, float, str, str], MachineType, str] | None = None
    for type_ in market.types.values():
        n = _fit(need, type_.cpus, type_.memory_gb, type_.gpus)
        if n <= 0:
            continue
        for zone in type_.zones:
            if (type_.name, zone, spot) in market.refused:
                continue
            if not allowed(need, type_.name, zone, spot):
                continue
            path = market.boot_s(type_, zone, spot) + need.path_s(type_)
            late = now + path > need.latest_finish
            machines = math.ceil(need.count / n)
            cost = machines * type_.hourly_price(spot) * path
            key = (late, cost, path, type_.name, zone)
            if best is None or key < best[0]:
                best = (key, type_, zone)
    return None if best is None else (best[1], best[2])
