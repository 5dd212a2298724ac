"""The ECPTR planner: which tasks run on which machines, what to rent and which machines are used.

Pure functions of a snapshot and the time. Algorithm names and abbreviations follow the ECPTR
paper: LTO is the latest time to turn to on-demand machines, EFT and LFT are the earliest and
latest finish time. A job is a set of independent tasks, so its critical path on a machine type
is its longest remaining task there plus the fetch of its image.
"""

import math
from bisect import insort
from collections.abc import Iterable
from copy import copy
from dataclasses import dataclass, field, replace
from itertools import groupby

from ryegauge.protocol.cloud import MachineType

EPSILON = 1e-6
# Speeds of machines of one type differ by up to this share, so smaller differences between
# expected completions mean nothing.
SPEED_TOLERANCE = 0.1


@dataclass(slots=True)
class MachineCapacity:
    """The free capacity of a machine that runs, boots or is about to be rented."""

    name: str
    type: MachineType
    zone: str
    spot: bool
    shard: int
    cpus: float
    memory_gb: float
    gpus: float
    images: set[str] = field(default_factory=set)
    available_in_s: float = 0.0  # expected seconds until it is up, 0 if it runs
    used: bool = False  # runs tasks, or the plan counts on it
    # What its tasks will free: (seconds until then, tasks; CPUs, GB and GPUs of each).
    ending_tasks: list[tuple[float, int, float, float, float]] = field(default_factory=list)
    # Seconds until it is reserved for a task that fits nowhere now; other tasks may run here
    # only if they end before.
    reserved_from_s: float = math.inf
    # What is free now or will be soon, less what waits for it: (CPUs, GB, GPUs).
    free_soon: tuple[float, float, float] | None = None

    def fits(self, demand: "Demand") -> int:
        """How many of the demand's tasks fit into what is free now."""
        return _count_fitting(demand, self.cpus, self.memory_gb, self.gpus)

    def occupy(self, demand: "Demand", count: int) -> None:
        """Subtracts `count` tasks of a demand; its image will be on the machine."""
        self.cpus -= demand.cpus * count
        self.memory_gb -= demand.memory_gb * count
        self.gpus -= demand.gpus * count
        if demand.image not in self.images:
            self.images = self.images | {demand.image}
        if self.free_soon is not None:
            c, m, g = self.free_soon
            self.free_soon = (
                c - demand.cpus * count,
                m - demand.memory_gb * count,
                g - demand.gpus * count,
            )
        self.used = True


def empty_machine_capacity(
    type_: MachineType, name: str, zone: str, spot: bool, shard: int = -1
) -> MachineCapacity:
    """The capacity of a machine without tasks."""
    return MachineCapacity(name, type_, zone, spot, shard, type_.cpus, type_.memory_gb, type_.gpus)


@dataclass(slots=True)
class Demand:
    """Open tasks of one job that wait for capacity; placing some of them lowers `count`."""

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
    # Time of day in seconds by which it has to be finished; infinite without any deadline.
    latest_finish: float
    types: frozenset[str] | None = None
    # Zone -> how many more tasks it may take, other zones none; None: any number in any zone.
    zones: dict[str, int] | None = None
    # All tasks have to run in one zone, which is not chosen yet.
    one_zone: bool = False
    # All tasks start at once, either all on spot machines or all on on-demand ones.
    gang: bool = False
    # Shards that tasks of the job are assigned to already.
    assigned_shards: frozenset[int] = frozenset()
    # CPUs of the larger tasks that exist, ascending: free capacity that one of them fits into
    # is broken up last.
    larger_sizes: tuple[float, ...] = ()
    # If it finds no capacity, machines that become free within so many seconds are reserved.
    reserve_within_s: float = 0.0
    due_by_age: bool = False  # comes first because of its job's age
    # If false, it only takes free capacity of running machines, and a later round places the rest:
    # no rental, no waiting for busy or booting machines, no reservation, and no entry in
    # `Plan.unplaced`.
    may_rent: bool = True

    def path_s(self, type_: MachineType, cached: bool = False) -> float:
        """The critical path on a machine type in seconds: the fetch of the image, unless it is
        cached, and the run time of a task."""
        fetch = 0.0 if cached or not self.image_gb else self.image_gb / type_.fetch_gb_per_s
        return self.run_s + fetch


@dataclass(slots=True, frozen=True)
class Placement:
    """Tasks of a job that the plan puts on a running machine."""

    uid: str
    count: int
    machine: str
    shard: int
    zone: str


@dataclass(slots=True, frozen=True)
class Rental:
    """Machines of one type, zone and pricing to be rented."""

    type: str
    zone: str
    spot: bool
    count: int


@dataclass(slots=True)
class Plan:
    """The decisions of one planning round."""

    placements: list[Placement] = field(default_factory=list)
    rentals: list[Rental] = field(default_factory=list)
    # Demands without capacity on running machines, in order of precedence: (job UID, tasks).
    unplaced: list[tuple[str, int]] = field(default_factory=list)
    # Machines that run tasks or that the plan counts on, including those that still boot.
    used: set[str] = field(default_factory=set)
    # Unplaced tasks that wait for a busy machine, and those that wait for a booting one.
    waiting_for_busy: int = 0
    waiting_for_boot: int = 0
    rented_ahead: int = 0  # machines rented for tasks that are probably lost with their machines


def _count_fitting(demand: Demand, cpus: float, memory_gb: float, gpus: float) -> int:
    n = math.inf
    if demand.cpus > 0:
        n = min(n, (cpus + EPSILON) // demand.cpus)
    if demand.memory_gb > 0:
        n = min(n, (memory_gb + EPSILON) // demand.memory_gb)
    if demand.gpus > 0:
        n = min(n, (gpus + EPSILON) // demand.gpus)
    return int(min(n, demand.count))


def may_run_on(demand: Demand, type_name: str, zone: str, spot: bool) -> bool:
    """Whether the demand's tasks may run on such a machine, whatever is free there."""
    return (
        (demand.types is None or type_name in demand.types)
        and (demand.zones is None or demand.zones.get(zone, 0) > 0)
        and (demand.allows_spot or not spot)
    )


def latest_on_demand_start(demand: Demand, types: Iterable[MachineType]) -> float:
    """LTO = D - CP: when to turn to on-demand machines at the latest, with the critical path on
    the slowest allowed type (Algorithm 1, line 8)."""
    paths = [demand.path_s(t) for t in types if demand.types is None or t.name in demand.types]
    return demand.latest_finish - max(paths, default=demand.run_s)


def place(
    demand: Demand, machines: list[MachineCapacity], *, on_demand_only: bool
) -> list[tuple[MachineCapacity, int]]:
    """Places as much of the demand as fits (FindFreeSlot and FindRunningVM); returns the machines
    taken and the number of tasks on each.

    The earliest completion comes first. Machines of one type differ in speed by a tenth, so
    completions within a tenth of the path count as equal. Among equals the order is:

    - spot machines, so that the more expensive on-demand ones become idle and are released;
    - capacity that larger tasks cannot use;
    - machines that have the image;
    - the smallest machine types;
    - few shards, since each shard's assignment of a job is a record of its own;
    - the fullest machines, so that others become idle.
    """
    if demand.count <= 0:
        return []
    step_s = SPEED_TOLERANCE * demand.run_s
    placed: list[tuple[MachineCapacity, int]] = []
    cpus, run_s = demand.cpus - EPSILON, demand.run_s
    memory_gb = demand.memory_gb - EPSILON
    fitting = [
        machine
        for machine in machines
        if machine.cpus >= cpus
        and machine.memory_gb >= memory_gb
        and run_s <= machine.reserved_from_s
        and not (on_demand_only and machine.spot)
        and may_run_on(demand, machine.type.name, machine.zone, machine.spot)
        and machine.fits(demand) > 0
    ]
    if demand.one_zone and fitting:
        zone = _best_zone(demand, fitting)
        fitting = [machine for machine in fitting if machine.zone == zone]
    shard_ranks = _rank_shards(demand, fitting)
    candidates = [
        (
            _completion_steps(demand, machine, step_s),
            not machine.spot,
            demand.image not in machine.images,
            machine.type.cpus,
            shard_ranks[machine.shard],
            machine.cpus,
            i,
            machine,
        )
        for i, machine in enumerate(fitting)
    ]
    candidates.sort(key=lambda c: c[:7])
    groups = groupby(candidates, key=lambda c: c[:2])
    for _, group in groups:
        equal_machines = [c[7] for c in group]
        # First the capacity that larger tasks could not use anyway.
        for slot_cpus in (*demand.larger_sizes, 0.0):
            for machine in equal_machines:
                if demand.count <= 0:
                    return placed
                if (count := _place_on(demand, machine, slot_cpus)) > 0:
                    placed.append((machine, count))
    return placed


def _place_on(demand: Demand, machine: MachineCapacity, slot_cpus: float) -> int:
    """Places what fits and returns the number of tasks. If `slot_cpus` is not 0, only capacity is
    used that tasks of so many CPUs leave over."""
    taken = machine.fits(demand)
    if slot_cpus and demand.cpus > 0:
        taken = min(taken, int((machine.cpus % slot_cpus + EPSILON) // demand.cpus))
    if demand.zones is not None:
        taken = min(taken, demand.zones.get(machine.zone, 0))
    if taken <= 0:
        return 0
    machine.occupy(demand, taken)
    demand.count -= taken
    if demand.zones is not None:
        demand.zones[machine.zone] -= taken
    if demand.one_zone:
        demand.one_zone = False
        demand.zones = {machine.zone: demand.count}
    return taken


def _rank_shards(demand: Demand, machines: list[MachineCapacity]) -> dict[int, int]:
    """The rank of each shard for a demand, chosen so that few shards get tasks of its job: first
    shards that already have some, then the one with the least capacity that fits all, then
    those with the most."""
    fitting: dict[int, int] = {}
    for machine in machines:
        fitting[machine.shard] = fitting.get(machine.shard, 0) + machine.fits(demand)
    ordered = sorted(
        fitting,
        key=lambda shard: (
            shard not in demand.assigned_shards,
            fitting[shard] < demand.count,
            fitting[shard] if fitting[shard] >= demand.count else -fitting[shard],
            shard,
        ),
    )
    return {shard: rank for rank, shard in enumerate(ordered)}


def _completion_steps(demand: Demand, machine: MachineCapacity, step_s: float) -> float:
    """The expected time until a task completes on a machine, in steps of `step_s` seconds."""
    path = machine.available_in_s + demand.path_s(machine.type, demand.image in machine.images)
    return path if step_s <= 0 else path // step_s


def place_gang(
    demand: Demand, machines: list[MachineCapacity], *, on_demand_only: bool
) -> list[tuple[MachineCapacity, int]]:
    """Places all tasks of a gang on machines of one pricing, spot first, or none of them."""
    for spot in (False,) if on_demand_only else (True, False):
        same_pricing = [machine for machine in machines if machine.spot == spot]
        trial = replace(demand, zones=None if demand.zones is None else copy(demand.zones))
        place(trial, [replace(machine) for machine in same_pricing], on_demand_only=False)
        if trial.count <= 0:
            return place(demand, same_pricing, on_demand_only=False)
    return []


def _best_zone(demand: Demand, machines: list[MachineCapacity]) -> str:
    """The zone that fits most of the demand's tasks."""
    fitting: dict[str, int] = {}
    for machine in machines:
        fitting[machine.zone] = fitting.get(machine.zone, 0) + machine.fits(demand)
    return max(sorted(fitting), key=lambda zone: fitting[zone])


@dataclass(slots=True)
class Market:
    """What can be rented, and how often spot machines were reclaimed."""

    types: dict[str, MachineType]
    # (type, zone, spot) that the cloud has refused a short while ago.
    refused: set[tuple[str, str, bool]]
    takeback_share: float
    takeback_threshold: float
    # How long tasks wait for a busy machine rather than for a new one, in boot times.
    patience_boots: float = 0.5
    # More was placed in the last round than could be recorded.
    backlog: bool = False
    # (type, zone, spot) -> expected boot time in seconds; for others the nominal time counts.
    boots: dict[tuple[str, str, bool], float] = field(default_factory=dict)

    def boot_s(self, type_: MachineType, zone: str, spot: bool) -> float:
        """The expected boot time of such a machine in seconds."""
        return self.boots.get((type_.name, zone, spot), type_.boot_s)

    @property
    def longest_boot_s(self) -> float:
        """The longest expected boot time of all types, each in its fastest zone and pricing."""
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
    """Whether a task needs standby capacity: EFT plus one boot time reaches LFT, so after the
    loss of its machine there is no time to boot a replacement."""
    return now + run_left_s + boot_s >= latest_finish


def reserve_standbys(
    critical_demands: dict[str, list[Demand]],
    running: list[MachineCapacity],
    booting: list[MachineCapacity],
) -> list[Demand]:
    """Reserves capacity for the tasks that would have no time for a new machine, on other
    running machines, else on booting ones; returns the demands that found too little.

    Nothing runs on it: a task must not run twice at the same time. Machines are assumed to be
    lost one at a time, so all can share the same standby capacity (backup overloading): it is
    reserved for the machine whose critical tasks need the most."""
    if not critical_demands:
        return []
    name = max(
        sorted(critical_demands),
        key=lambda machine_name: sum(
            critical.cpus * critical.count for critical in critical_demands[machine_name]
        ),
    )
    other_machines = [machine for machine in (*running, *booting) if machine.name != name]
    for demand in critical_demands[name]:
        place(demand, other_machines, on_demand_only=False)
    return [demand for demand in critical_demands[name] if demand.count > 0]


class ExhaustedKinds:
    """The kinds of demands for which a round has found no capacity left.

    Capacity only shrinks within a round, so a demand whose tasks are as large and run as long
    need not search again. Without this a round with many jobs waiting for a full fleet would
    try every machine for each of them."""

    def __init__(self) -> None:
        self._kinds: dict[tuple[object, ...], list[tuple[float, float, float, float]]] = {}

    @staticmethod
    def _kind(demand: Demand, on_demand_only: bool) -> tuple[object, ...] | None:
        if demand.gang or demand.one_zone or demand.zones is not None:
            return None  # its limits differ from those of all other demands
        return (on_demand_only, demand.allows_spot, demand.types)

    def record_search(self, demand: Demand, on_demand_only: bool = False) -> None:
        """Records that a demand has just searched: if tasks are left, nothing fits them."""
        kind = self._kind(demand, on_demand_only)
        if kind is not None and demand.count > 0:
            size = (demand.cpus, demand.memory_gb, demand.gpus, demand.run_s)
            self._kinds.setdefault(kind, []).append(size)

    def is_exhausted(self, demand: Demand, on_demand_only: bool = False) -> bool:
        """Whether it is known that none of the demand's tasks fit."""
        kind = self._kind(demand, on_demand_only)
        return kind is not None and any(
            c <= demand.cpus and m <= demand.memory_gb and g <= demand.gpus and r <= demand.run_s
            for c, m, g, r in self._kinds.get(kind, ())
        )

    def forget(self) -> None:
        """Clears all kinds, since capacity was added."""
        self._kinds.clear()


def _place_in_single_shards(
    demands: list[Demand], running: list[MachineCapacity], market: Market, now: float, result: Plan
) -> None:
    """Places each demand in a single shard first, the one that can take most of it.

    A shard's assignment of a job is a record. If many records have to be written for few tasks
    each, machines stay idle while tasks wait for their assignment to be written."""
    by_shard: dict[int, list[MachineCapacity]] = {}
    for machine in running:
        if machine.cpus > EPSILON:
            by_shard.setdefault(machine.shard, []).append(machine)
    for demand in demands:
        if demand.gang or demand.service:
            continue
        late = latest_on_demand_start(demand, market.types.values()) <= now
        best: tuple[int, bool, int] | None = None
        for shard, machines in by_shard.items():
            fits = sum(
                machine.fits(demand)
                for machine in machines
                if machine.cpus + EPSILON >= demand.cpus
                and may_run_on(demand, machine.type.name, machine.zone, machine.spot)
            )
            if fits > 0:
                key = (min(fits, demand.count), shard in demand.assigned_shards, -shard)
                best = key if best is None else max(best, key)
        if best is None:
            continue
        machines = by_shard[-best[2]]
        taken = place(demand, machines, on_demand_only=True) if late else []
        for machine, count in taken + place(demand, machines, on_demand_only=False):
            result.placements.append(
                Placement(demand.uid, count, machine.name, machine.shard, machine.zone)
            )


def plan(
    demands: list[Demand],
    running: list[MachineCapacity],
    starting: list[MachineCapacity],
    market: Market,
    now: float,
    critical_demands: dict[str, list[Demand]] | None = None,
    lost_demands: Iterable[Demand] = (),
) -> Plan:
    """Plans one round; `demands` come in their order of precedence and `now` is the Unix time.

    `critical_demands` are those that standby capacity is reserved for, by machine. `lost_demands`
    are the tasks on machines that are probably lost: they are not placed, but machines are rented
    in advance for what finds no capacity."""
    result = Plan()
    rented: dict[tuple[str, str, bool], int] = {}
    booting = list(starting)
    exhausted_now, exhausted_soon, exhausted_booting = (
        ExhaustedKinds(),
        ExhaustedKinds(),
        ExhaustedKinds(),
    )
    boot_s = market.longest_boot_s
    if market.backlog:
        _place_in_single_shards(demands, running, market, now, result)
    for demand in demands:
        if demand.count <= 0:
            continue
        slack_s = latest_on_demand_start(demand, market.types.values()) - now
        before_lto = slack_s > 0 and not demand.service
        place_tasks = place_gang if demand.gang else place
        placed: list[tuple[MachineCapacity, int]] = []
        if not before_lto and not exhausted_now.is_exhausted(demand, on_demand_only=True):
            placed = place_tasks(demand, running, on_demand_only=True)
            exhausted_now.record_search(demand, on_demand_only=True)
        if demand.count > 0 and not demand.service and not exhausted_now.is_exhausted(demand):
            # After the LTO this is the paper's exception "late on spot": if no on-demand
            # capacity is free, a running spot machine still finishes sooner than a machine
            # that would have to be waited for.
            placed += place_tasks(demand, running, on_demand_only=False)
            exhausted_now.record_search(demand)
        for machine, count in placed:
            result.placements.append(
                Placement(demand.uid, count, machine.name, machine.shard, machine.zone)
            )
        if demand.count <= 0 or not demand.may_rent:
            continue
        result.unplaced.append((demand.uid, demand.count))
        spot = (
            before_lto
            and demand.allows_spot
            and slack_s - boot_s > 0
            and market.takeback_share < market.takeback_threshold
        )
        if (
            not spot
            and demand.allows_spot
            and not demand.service
            and not _meets_deadline(demand, market, now)
        ):
            # The paper's exception "no type in time": no new machine of any type meets the
            # deadline, so an on-demand one would cost more and finish no earlier.
            spot = market.takeback_share < market.takeback_threshold
        count_before = demand.count
        if not exhausted_soon.is_exhausted(demand):
            queue_on_busy_machines(
                demand, running, market.patience_boots * boot_s, on_demand_only=False
            )
            exhausted_soon.record_search(demand)
        result.waiting_for_busy += count_before - demand.count
        count_before = demand.count
        # Machines on their way were rented for earlier demands; the rest of them is free.
        if not exhausted_booting.is_exhausted(demand, on_demand_only=not spot):
            place_tasks(demand, booting, on_demand_only=not spot)
            exhausted_booting.record_search(demand, on_demand_only=not spot)
        result.waiting_for_boot += count_before - demand.count
        if _rent(demand, market, spot, now, booting, rented):
            exhausted_booting.forget()
        if demand.count > 0 and demand.reserve_within_s > 0:
            reserve_capacity(demand, running, demand.reserve_within_s)
    for demand in lost_demands:
        place(demand, running, on_demand_only=False)
        place(demand, booting, on_demand_only=False)
        rented_before = sum(rented.values())
        spot = demand.allows_spot and market.takeback_share < market.takeback_threshold
        _rent(demand, market, spot, now, booting, rented)
        result.rented_ahead += sum(rented.values()) - rented_before
    for demand in reserve_standbys(critical_demands or {}, running, booting):
        _rent(demand, market, True, now, booting, rented)
    result.rentals = [Rental(t, z, s, n) for (t, z, s), n in rented.items()]
    result.used = {machine.name for machine in (*running, *booting) if machine.used}
    return result


def queue_on_busy_machines(
    demand: Demand, machines: list[MachineCapacity], horizon_s: float, *, on_demand_only: bool
) -> None:
    """FindRunningVM for machines that are busy now: tasks that a running machine can take within
    `horizon_s`, normally a part of a boot time, wait for it instead of a rental, which would not
    be up sooner. The machine is reserved for them: later demands may use it only if they end
    before."""
    if not demand.count or demand.gang:
        return
    openings: list[tuple[float, int, MachineCapacity]] = []
    for i, machine in enumerate(machines):
        if not machine.ending_tasks:
            continue
        if machine.free_soon is None:
            machine.ending_tasks.sort()
            machine.free_soon = _free_within(machine, horizon_s)
        if (
            machine.free_soon[0] + EPSILON < demand.cpus
            or machine.free_soon[1] + EPSILON < demand.memory_gb
            or machine.free_soon[2] + EPSILON < demand.gpus
            or (on_demand_only and machine.spot)
            or not may_run_on(demand, machine.type.name, machine.zone, machine.spot)
        ):
            continue
        cpus, memory_gb, gpus, fitting = machine.cpus, machine.memory_gb, machine.gpus, 0
        for left_s, count, c, m, g in machine.ending_tasks:
            if left_s > horizon_s:
                break
            cpus, memory_gb, gpus = cpus + count * c, memory_gb + count * m, gpus + count * g
            added = _count_fitting(demand, cpus, memory_gb, gpus) - fitting
            if added > 0:
                openings += [(left_s, i, machine)] * added
                fitting += added
    openings.sort(key=lambda w: w[:2])
    for left_s, _, machine in openings[: demand.count]:
        # Take what will be free there, so that it is not given away twice.
        insort(machine.ending_tasks, (left_s, -1, demand.cpus, demand.memory_gb, demand.gpus))
        machine.free_soon = (
            None
            if machine.free_soon is None
            else (
                machine.free_soon[0] - demand.cpus,
                machine.free_soon[1] - demand.memory_gb,
                machine.free_soon[2] - demand.gpus,
            )
        )
        machine.reserved_from_s = min(machine.reserved_from_s, left_s)
        machine.used = True
        demand.count -= 1


def reserve_capacity(demand: Demand, machines: list[MachineCapacity], horizon_s: float) -> None:
    """Reserves machines for tasks that no rental can help and that would never fit anywhere as
    long as smaller tasks keep taking what becomes free.

    Those machines are reserved that are expected to fit such a task earliest, within
    `horizon_s`; until then only tasks that end before may run there. For a gang, capacity is
    reserved for all tasks or for none."""
    openings: list[tuple[float, str, int, MachineCapacity]] = []
    for machine in machines:
        if not may_run_on(demand, machine.type.name, machine.zone, machine.spot):
            continue
        machine.ending_tasks.sort()
        cpus, memory_gb, gpus, fitting = machine.cpus, machine.memory_gb, machine.gpus, 0
        for left_s, count, c, m, g in [(0.0, 0, 0.0, 0.0, 0.0), *machine.ending_tasks]:
            if left_s > horizon_s:
                break
            cpus, memory_gb, gpus = cpus + count * c, memory_gb + count * m, gpus + count * g
            added = _count_fitting(demand, cpus, memory_gb, gpus) - fitting
            if added > 0:
                openings.append((left_s, machine.name, added, machine))
                fitting += added
    if demand.one_zone and openings:
        zone = _best_zone(
            demand,
            [opening[3] for opening in openings if opening[2] >= demand.count] or [openings[0][3]],
        )
        openings = [opening for opening in openings if opening[3].zone == zone]
    openings.sort(key=lambda opening: opening[:2])
    if demand.gang and sum(opening[2] for opening in openings) < demand.count:
        return
    for left_s, _, added, machine in openings:
        if demand.count <= 0:
            return
        taken = min(added, demand.count)
        # Take what will be free there, so that it is not given away twice.
        insort(machine.ending_tasks, (left_s, -taken, demand.cpus, demand.memory_gb, demand.gpus))
        machine.free_soon = None
        machine.reserved_from_s = min(machine.reserved_from_s, left_s)
        machine.used = True
        demand.count -= taken


def _free_within(machine: MachineCapacity, horizon_s: float) -> tuple[float, float, float]:
    """The (CPUs, GB, GPUs) that are free on a machine within `horizon_s`."""
    cpus, memory_gb, gpus = machine.cpus, machine.memory_gb, machine.gpus
    for left_s, count, c, m, g in machine.ending_tasks:
        if left_s > horizon_s:
            break
        cpus, memory_gb, gpus = cpus + count * c, memory_gb + count * m, gpus + count * g
    return cpus, memory_gb, gpus


def _meets_deadline(demand: Demand, market: Market, now: float) -> bool:
    """Whether some on-demand machine rented now would meet the deadline (Algorithm 3)."""
    return any(
        now + market.boot_s(t, z, False) + demand.path_s(t) <= demand.latest_finish
        and _count_fitting(demand, t.cpus, t.memory_gb, t.gpus) > 0
        and may_run_on(demand, t.name, z, False)
        and (t.name, z, False) not in market.refused
        for t in market.types.values()
        for z in t.zones
    )


def _rent(
    demand: Demand,
    market: Market,
    spot: bool,
    now: float,
    booting: list[MachineCapacity],
    rented: dict[tuple[str, str, bool], int],
) -> bool:
    """Rents machines for the rest of a demand and adds them to `booting`, so that later demands
    can use what they leave free. Returns whether any were rented."""
    count_before = len(booting)
    while demand.count > 0:
        choice = _choose_type(demand, market, spot, now)
        if choice is None:
            break
        type_, zone = choice
        key = (type_.name, zone, spot)
        # As many as the demand fills; for the rest the choice is made again.
        filled = demand.count // max(
            1, _count_fitting(demand, type_.cpus, type_.memory_gb, type_.gpus)
        )
        for _ in range(max(1, filled)):
            rented[key] = rented.get(key, 0) + 1
            machine = empty_machine_capacity(type_, f"new-{len(booting)}", zone, spot)
            machine.available_in_s = market.boot_s(type_, zone, spot)
            booting.append(machine)
            if not place(demand, [machine], on_demand_only=False):
                return True
    return len(booting) > count_before


def _choose_type(
    demand: Demand, market: Market, spot: bool, now: float
) -> tuple[MachineType, str] | None:
    """FindCostPerfEffectiveVM: the type and zone with the lowest product of path time and price
    for all waiting tasks, among those that meet the deadline, else among all; None if nothing
    suitable can be rented."""
    best: tuple[tuple[bool, float, float, str, str], MachineType, str] | None = None
    for type_ in market.types.values():
        fitting = _count_fitting(demand, type_.cpus, type_.memory_gb, type_.gpus)
        if fitting <= 0:
            continue
        for zone in type_.zones:
            if (type_.name, zone, spot) in market.refused:
                continue
            if not may_run_on(demand, type_.name, zone, spot):
                continue
            path_s = market.boot_s(type_, zone, spot) + demand.path_s(type_)
            late = now + path_s > demand.latest_finish
            machine_count = math.ceil(demand.count / fitting)
            cost = machine_count * type_.hourly_price(spot) * path_s
            key = (late, cost, path_s, type_.name, zone)
            if best is None or key < best[0]:
                best = (key, type_, zone)
    return None if best is None else (best[1], best[2])
