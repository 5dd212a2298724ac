"""The free capacity of machines, as the leader knows it, and the demands to keep some of it for.
Pure functions."""

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
    empty_machine_capacity,
    needs_standby,
    place,
)


def running_capacity(
    replica: StateReplica,
    fleet: Fleet,
    views: dict[int, ShardState],
    estimates: Estimates,
    now: float,
) -> list[MachineCapacity]:
    """The free capacity of the machines that take tasks, by their owners' views, and of the
    machines of shards whose owner sends no views here."""
    expected_overrun_s: dict[tuple[str, float], float] = {}
    capacities: list[MachineCapacity] = []
    for shard, state in views.items():
        for name, observed in state.machines.items():
            view = observed.view
            type_ = fleet.types.get(view.type)
            if (
                type_ is None
                or not view.accepts_tasks
                or name in fleet.to_retire
                or name in fleet.released_at
            ):
                continue
            if not observed.jobs_known:
                # The replica may have lagged behind the view: look the jobs up again.
                observed = state.machines[name] = ObservedMachine(
                    view, observed.received_at, replica
                )
                if not observed.jobs_known:
                    continue  # runs tasks of an unknown job, so its free capacity is unknown
            capacity = MachineCapacity(
                name,
                type_,
                view.zone,
                view.spot,
                shard,
                type_.cpus - observed.cpus,
                type_.memory_gb - observed.memory_gb,
                type_.gpus - observed.gpus,
            )
            capacity.images = set(view.images)
            capacity.used = bool(view.tasks)
            for (
                job_class,
                estimate_s,
                ends_at,
                count,
                cpus,
                memory_gb,
                gpus,
            ) in observed.ending_tasks:
                kind = (job_class, estimate_s)
                if (overrun_s := expected_overrun_s.get(kind)) is None:
                    overrun_s = expected_overrun_s[kind] = estimates.expected_overrun_s(*kind)
                capacity.ending_tasks.append(
                    (max(overrun_s, ends_at - now), count, cpus, memory_gb, gpus)
                )
            capacities.append(capacity)
    return capacities + _unseen_machines(replica, fleet, views)


def _unseen_machines(
    replica: StateReplica, fleet: Fleet, views: dict[int, ShardState]
) -> list[MachineCapacity]:
    """Machines of shards whose owner is alive but sends no views here, as when controllers refuse
    each other's connections. Each counts as unused if the cloud lists it as running; the tasks
    that the replica shows for its shard are subtracted as in transit. An owner that finds no
    capacity for an assigned task returns it."""
    capacities: list[MachineCapacity] = []
    for machine in fleet.machines.values():
        if (
            machine.shard in views
            or machine.listed_running_since is None
            or machine.failed
            or machine.has_reclaim_notice
        ):
            continue
        owner = replica.shards.get(machine.shard)
        type_ = fleet.types.get(machine.type)
        if type_ is None or owner is None or owner.node not in replica.nodes:
            continue
        if machine.name in fleet.to_retire:
            continue
        capacity = empty_machine_capacity(
            type_, machine.name, machine.zone, machine.spot, machine.shard
        )
        capacity.used = True
        capacities.append(capacity)
    return capacities


def subtract_in_transit(
    replica: StateReplica,
    estimates: Estimates,
    running: list[MachineCapacity],
    views: dict[int, ShardState],
) -> None:
    """Subtracts the tasks that are assigned to a shard and not on any of its machines yet from the
    capacity of its machines. Tasks that have ended, though that is not recorded yet, take none."""
    placed_counts: dict[tuple[str, int], int] = {}
    for shard, state in views.items():
        for observed in state.machines.values():
            for job, count, _ in observed.tasks:
                key = (job.spec.uid, shard)
                placed_counts[key] = placed_counts.get(key, 0) + count
    by_shard: dict[int, list[MachineCapacity]] = {}
    for capacity in running:
        by_shard.setdefault(capacity.shard, []).append(capacity)
    sizes = task_sizes(replica)
    for uid, job in replica.live.items():
        if job.cancelled:
            continue
        for shard, assigned_count in job.assigned_by_shard.items():
            if shard not in by_shard:
                continue
            count = assigned_count - placed_counts.get((uid, shard), 0)
            if shard in views:
                count -= views[shard].pending_removal.get(uid, 0)
            if count > 0:
                demand = make_demand(job, count, None, estimates, math.inf, sizes)
                place(demand, by_shard[shard], on_demand_only=False)


def standby_demands(
    fleet: Fleet,
    views: dict[int, ShardState],
    urgencies: Urgencies,
    estimates: Estimates,
    now: float,
    wall: float,
) -> dict[str, list[Demand]]:
    """The tasks for which standby capacity is reserved, by machine: those of the one spot machine
    whose critical tasks have the most CPUs (see `reserve_standbys`).

    A task is critical if there is no time left to boot a replacement after a loss."""
    boot_s = min((t.boot_s for t in fleet.types.values()), default=0.0)
    fullest: tuple[float, str, list[tuple[Job, int]]] | None = None
    for state in views.values():
        for name, observed in state.machines.items():
            if not observed.view.spot:
                continue
            tasks: list[tuple[Job, int]] = []
            cpus = 0.0
            for job, count, ends_at in observed.tasks:
                finish = urgencies.latest_finish(job)
                if finish < wall or job.is_terminal or job.spec.kind == "standing":
                    continue
                if needs_standby(max(0.0, ends_at - now), boot_s, finish, wall):
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
    max_share: float,
) -> list[Demand]:
    """The tasks on machines that are probably lost, the most urgent first, as far as their CPUs
    stay within `max_share` of the fleet's. Replacement machines are rented for them before it is
    certain that they have to run again."""
    lost_tasks: dict[str, tuple[Job, int]] = {}
    fleet_cpus = 0.0
    for state in views.values():
        for name, observed in state.machines.items():
            type_ = fleet.types.get(observed.view.type)
            fleet_cpus += 0.0 if type_ is None else type_.cpus
            if name not in diagnoses or not worth_replacing(diagnoses[name]):
                continue
            for job, count, _ in observed.tasks:
                if not job.is_terminal and job.spec.kind == "sweep" and zone_limits(job) is None:
                    lost_tasks[job.spec.uid] = (
                        job,
                        lost_tasks.get(job.spec.uid, (job, 0))[1] + count,
                    )
    ordered = sorted(
        lost_tasks.values(),
        key=lambda entry: (*urgencies.urgency_of(entry[0])[::-1], entry[0].spec.uid),
    )
    demands: list[Demand] = []
    left_cpus = max_share * fleet_cpus
    for job, count in ordered:
        spec = job.spec
        count = min(count, int(left_cpus / spec.cpus) if spec.cpus > 0 else count)
        if count > 0:
            left_cpus -= count * spec.cpus
            demands.append(make_demand(job, count, None, estimates, urgencies.latest_finish(job)))
    return demands
