"""Room on machines, as the leader knows it, and what takes some of it. Pure functions."""

import math
from collections.abc import Mapping

from ryegauge.bookkeeping.state_replica import Job, StateReplica
from ryegauge.coordination.demands import make_demand, task_sizes, zone_limits
from ryegauge.coordination.fleet import Fleet
from ryegauge.coordination.shard_views import ObservedMachine, ShardState
from ryegauge.coordination.urgency import Urgencies
from ryegauge.detection.failure_diagnosis import Diagnosis, worth_replacing
from ryegauge.scheduling.estimates import Estimates
from ryegauge.scheduling.planner import (
    Demand,
    MachineCapacity,
    needs_standby,
    place,
    unused_capacity,
)


def running_capacity(
    replica: StateReplica,
    fleet: Fleet,
    views: dict[int, ShardState],
    estimates: Estimates,
    now: float,
) -> list[MachineCapacity]:
    """Free room on machines that take tasks, by what their owners have shown."""
    expected_overrun_s: dict[tuple[str, float], float] = {}
    rooms: list[MachineCapacity] = []
    for shard, state in views.items():
        for name, shown in state.machines.items():
            m = shown.view
            type_ = fleet.types.get(m.type)
            if type_ is None or not m.open or name in fleet.retire or name in fleet.gone:
                continue
            if not shown.known:
                # The book may have been behind the view.
                shown = state.machines[name] = ObservedMachine(m, shown.at, replica)
                if not shown.known:
                    continue  # something unknown runs here: leave it alone
            room = MachineCapacity(
                name,
                type_,
                m.zone,
                m.spot,
                shard,
                type_.cpus - shown.cpus,
                type_.memory_gb - shown.memory_gb,
                type_.gpus - shown.gpus,
            )
            room.images = set(m.images)
            room.used = bool(m.tasks)
            for job_class, estimate_s, until, n, cpus, memory_gb, gpus in shown.busy:
                kind = (job_class, estimate_s)
                if (least_s := expected_overrun_s.get(kind)) is None:
                    least_s = expected_overrun_s[kind] = estimates.expected_overrun_s(*kind)
                room.busy.append((max(least_s, until - now), n, cpus, memory_gb, gpus))
            rooms.append(room)
    return rooms + _out_of_sight(replica, fleet, views)


def _out_of_sight(
    replica: StateReplica, fleet: Fleet, views: dict[int, ShardState]
) -> list[MachineCapacity]:
    """Machines of parts whose owner lives but cannot be heard (controllers refuse
    each other's connections): whole, as far as the list says; what their parts
    hold by the book is counted as on its way. An owner without room hands back."""
    rooms: list[MachineCapacity] = []
    for r in fleet.machines.values():
        if r.shard in views or r.listed_running_since is None or r.failed or r.noticed:
            continue
        owner = replica.shards.get(r.shard)
        type_ = fleet.types.get(r.type)
        if type_ is None or owner is None or owner.node not in replica.nodes:
            continue
        if r.name in fleet.retire:
            continue
        room = unused_capacity(type_, r.name, r.zone, r.spot, r.shard)
        room.used = True
        rooms.append(room)
    return rooms


def subtract_in_transit(
    replica: StateReplica,
    estimates: Estimates,
    running: list[MachineCapacity],
    views: dict[int, ShardState],
) -> None:
    """What is allotted to a part and on none of its machines yet takes room there;
    what has ended and is not written yet does not."""
    placed: dict[tuple[str, int], int] = {}
    for shard, state in views.items():
        for shown in state.machines.values():
            for job, count, _ in shown.tasks:
                key = (job.spec.uid, shard)
                placed[key] = placed.get(key, 0) + count
    by_shard: dict[int, list[MachineCapacity]] = {}
    for room in running:
        by_shard.setdefault(room.shard, []).append(room)
    sizes = task_sizes(replica)
    for uid, job in replica.live.items():
        if job.cancelled:
            continue
        for shard, held in job.held.items():
            if shard not in by_shard:
                continue
            count = held - placed.get((uid, shard), 0)
            if shard in views:
                count -= views[shard].pending_removal.get(uid, 0)
            if count > 0:
                need = make_demand(job, count, None, estimates, math.inf, sizes)
                place(need, by_shard[shard], on_demand_only=False)


def standby_demands(
    fleet: Fleet,
    views: dict[int, ShardState],
    urgencies: Urgencies,
    estimates: Estimates,
    now: float,
    wall: float,
) -> dict[str, list[Demand]]:
    """The tasks that get a standby, of the spot machine that holds the most of them
    (what that one needs is held, see `hold_standbys`)."""
    boot_s = min((t.boot_s for t in fleet.types.values()), default=0.0)
    fullest: tuple[float, str, list[tuple[Job, int]]] | None = None
    for state in views.values():
        for name, shown in state.machines.items():
            if not shown.view.spot:
                continue
            tasks: list[tuple[Job, int]] = []
            cpus = 0.0
            for job, count, until in shown.tasks:
                finish = urgencies.latest_finish(job)
                if finish < wall or job.is_terminal or job.spec.kind == "standing":
                    continue
                if needs_standby(max(0.0, until - now), boot_s, finish, wall):
                    tasks.append((job, count))
                    cpus += job.spec.cpus * count
            if tasks and (fullest is None or (-cpus, name) < fullest[:2]):
                fullest = (-cpus, name, tasks)
    if fullest is None:
        return {}
    return {
        fullest[1]: [
            make_demand(job, count, None, estimates, urgencies.latest_finish(job))
            for job, count in fullest[2]
        ]
    }


def replacement_demands(
    fleet: Fleet,
    views: dict[int, ShardState],
    diagnoses: Mapping[str, Diagnosis],
    urgencies: Urgencies,
    estimates: Estimates,
    share: float,
) -> list[Demand]:
    """The tasks on machines that are most likely lost, the most urgent first, as far as their
    CPUs stay within a share of the fleet's: replacements for them are rented ahead."""
    lost: dict[str, tuple[Job, int]] = {}
    fleet_cpus = 0.0
    for state in views.values():
        for name, shown in state.machines.items():
            type_ = fleet.types.get(shown.view.type)
            fleet_cpus += 0.0 if type_ is None else type_.cpus
            if name not in diagnoses or not worth_replacing(diagnoses[name]):
                continue
            for job, count, _ in shown.tasks:
                if not job.is_terminal and job.spec.kind == "sweep" and zone_limits(job) is None:
                    lost[job.spec.uid] = (job, lost.get(job.spec.uid, (job, 0))[1] + count)
    ordered = sorted(
        lost.values(), key=lambda entry: (*urgencies.of(entry[0])[::-1], entry[0].spec.uid)
    )
    needs: list[Demand] = []
    left = share * fleet_cpus
    for job, count in ordered:
        spec = job.spec
        count = min(count, int(left / spec.cpus) if spec.cpus > 0 else count)
        if count > 0:
            left -= count * spec.cpus
            needs.append(make_demand(job, count, None, estimates, urgencies.latest_finish(job)))
    return needs
