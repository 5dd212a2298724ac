"""Derives the planner's demands, deadlines and zone limits from the jobs in the replica."""

import math

from ryegauge.bookkeeping.state_replica import Job, StateReplica
from ryegauge.config import Objective, Team
from ryegauge.protocol.cloud import MachineType
from ryegauge.protocol.jobs import JobSpec
from ryegauge.scheduling.estimates import Estimates
from ryegauge.scheduling.planner import EPSILON, Demand

# Tasks with more than this many times the CPUs count as another size.
MIN_SIZE_RATIO = 1.5


def make_demand(
    job: Job,
    count: int,
    zones: dict[str, int] | None,
    estimates: Estimates,
    latest_finish: float,
    sizes: tuple[float, ...] = (),
) -> Demand:
    """The demand of `count` open tasks of a job, with the allowed `zones` and the latest finish
    (Unix time in seconds). `sizes` are those of `task_sizes`."""
    spec = job.spec
    return Demand(
        uid=spec.uid,
        count=count,
        cpus=spec.cpus,
        memory_gb=spec.memory_gb,
        gpus=spec.gpus,
        image=spec.image,
        image_gb=spec.image_gb,
        allows_spot=spec.spot,
        service=spec.kind == "standing",
        # A gang starts as a whole; tasks lost after its start rejoin one by one.
        gang=spec.kind == "gang" and count == spec.tasks,
        run_s=estimates.run_s(spec.job_class, spec.estimate_s),
        latest_finish=latest_finish,
        types=None if spec.types is None else frozenset(spec.types),
        zones=zones,
        one_zone=spec.one_zone and zones is None,
        larger_sizes=tuple(size for size in sizes if size > spec.cpus + EPSILON),
        assigned_shards=frozenset(job.assigned_by_shard),
    )


def task_sizes(replica: StateReplica) -> tuple[float, ...]:
    """The CPUs per task that occur among unfinished jobs, ascending. Sizes of at most
    `MIN_SIZE_RATIO` times the last one kept are left out, so that there are few."""
    sizes: list[float] = []
    for cpus in sorted({job.spec.cpus for job in replica.live.values() if not job.is_terminal}):
        if not sizes or cpus > MIN_SIZE_RATIO * sizes[-1]:
            sizes.append(cpus)
    return tuple(sizes)


def latest_finish(job: Job, objectives: list[Objective], run_s: float) -> float:
    """When a job has to be finished at the latest, as Unix time in seconds; infinite if nothing
    says so.

    That is its own deadline, which counts from its submission. Without one it is the tightest
    objective in the settings for its class to be finished or started, which counts from when
    the job was ready: its submission, or the end of its last dependency if that was later.
    (The ECPTR paper knows only deadlines.)"""
    if job.spec.kind == "standing":
        return math.inf
    if job.spec.deadline_s is not None:
        return job.submitted_at + job.spec.deadline_s
    if not job.ready:
        return math.inf
    limits_s = [
        objective.within_s if objective.kind == "finished" else objective.within_s + run_s
        for objective in objectives
        if objective.kind in ("finished", "wait") and objective.job_class == job.spec.job_class
    ]
    return job.ready_at + min(limits_s, default=math.inf)


def zone_limits(job: Job) -> dict[str, int] | None:
    """The zones that further tasks of a job may use, with the number of tasks each; None: any.

    All assigned tasks count, since each may already be on a machine."""
    spec = job.spec
    if spec.zone is None and not spec.one_zone and not spec.spread:
        return None
    assigned_by_zone: dict[str, int] = {}
    for assignment in job.assignments.values():
        for zone, tasks in assignment.assigned.items():
            assigned_by_zone[zone] = assigned_by_zone.get(zone, 0) + len(tasks)
    limits = _ZoneLimits(spec.tasks if not spec.spread else (spec.tasks + 1) // 2)
    for zone, count in assigned_by_zone.items():
        limits[zone] = max(0, limits.default - count)
    if spec.zone is not None:
        return {spec.zone: limits[spec.zone]}
    if spec.one_zone:
        chosen_zone = next((zone for zone, count in assigned_by_zone.items() if count), None)
        return None if chosen_zone is None else {chosen_zone: limits[chosen_zone]}
    return limits


class _ZoneLimits(dict[str, int]):
    """Limits by zone; zones that are not named may take `default` tasks."""

    def __init__(self, default: int) -> None:
        super().__init__()
        self.default = default

    def __missing__(self, key: str) -> int:
        return self.default

    def get(self, key: str, default: object = None) -> int:
        return self[key]


def records_zones(spec: JobSpec) -> bool:
    """Whether the assignments of a job must record in which zone its tasks run."""
    return spec.zone is not None or spec.one_zone or spec.spread


def unrunnable_reason(
    spec: JobSpec, types: dict[str, MachineType], teams: dict[str, Team]
) -> str | None:
    """Why a job can never run, as text for the user (HTTP status 422), or None if it can."""
    team = teams.get(spec.team)
    if team is None:
        return "unknown team"
    copies = 1 if spec.kind == "sweep" else spec.tasks
    if spec.cpus * copies > team.cpu_limit + EPSILON:
        return "needs more CPUs than the team's limit"
    if spec.gpus * copies > team.gpu_limit + EPSILON:
        return "needs more cards than the team's limit"
    for type_ in types.values():
        if (
            (spec.types is None or type_.name in spec.types)
            and (spec.zone is None or spec.zone in type_.zones)
            and spec.cpus <= type_.cpus
            and spec.gpus <= type_.gpus
            and spec.memory_gb <= type_.memory_gb
        ):
            return None
    return "a task fits no allowed machine type"
