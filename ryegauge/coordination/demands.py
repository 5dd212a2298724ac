"""From jobs in the book to the planner's needs."""

import math

from ryegauge.bookkeeping.state_replica import Job, StateReplica
from ryegauge.config import Objective, Team
from ryegauge.protocol.cloud import MachineType
from ryegauge.protocol.jobs import JobSpec
from ryegauge.scheduling.estimates import Estimates
from ryegauge.scheduling.planner import EPSILON, Demand

# Tasks count as of another size from so many times the CPUs.
SIZE_STEP = 1.5


def make_demand(
    job: Job,
    count: int,
    zones: dict[str, int] | None,
    estimates: Estimates,
    latest: float,
    sizes: tuple[float, ...] = (),
) -> Demand:
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
        # Its tasks start together; those of a started gang join one by one.
        gang=spec.kind == "gang" and count == spec.tasks,
        run_s=estimates.run_s(spec.job_class, spec.estimate_s),
        latest_finish=latest,
        types=None if spec.types is None else frozenset(spec.types),
        zones=zones,
        one_zone=spec.one_zone and zones is None,
        larger=tuple(size for size in sizes if size > spec.cpus + EPSILON),
        shards=frozenset(job.held),
    )


def task_sizes(replica: StateReplica) -> tuple[float, ...]:
    """CPUs of the tasks of jobs that are under way, ascending; of many only some, each
    well above the next smaller one."""
    sizes: list[float] = []
    for cpus in sorted({job.spec.cpus for job in replica.live.values() if not job.is_terminal}):
        if not sizes or cpus > SIZE_STEP * sizes[-1]:
            sizes.append(cpus)
    return tuple(sizes)


def latest_finish(job: Job, objectives: list[Objective], run_s: float) -> float:
    """By the job's own deadline, which counts from its submission, or for classes without
    one by the tightest time that the settings want them finished or started in, which
    counts from when it waits for no other job (the paper knows only deadlines)."""
    if job.spec.kind == "standing":
        return math.inf
    if job.spec.deadline_s is not None:
        return job.submitted_at + job.spec.deadline_s
    if not job.ready:
        return math.inf
    within = [
        o.within_s if o.kind == "finished" else o.within_s + run_s
        for o in objectives
        if o.kind in ("finished", "wait") and o.job_class == job.spec.job_class
    ]
    return job.ready_at + min(within, default=math.inf)


def zone_limits(job: Job) -> dict[str, int] | None:
    """The zones that further tasks of a job may take, with how many each; None: any.

    Everything allotted counts, since it may be on a machine."""
    spec = job.spec
    if spec.zone is None and not spec.one_zone and not spec.spread:
        return None
    live: dict[str, int] = {}
    for assignment in job.assignments.values():
        for zone, tasks in assignment.assigned.items():
            live[zone] = live.get(zone, 0) + len(tasks)
    limits = _Limits(spec.tasks if not spec.spread else (spec.tasks + 1) // 2)
    for zone, count in live.items():
        limits[zone] = max(0, limits.default - count)
    if spec.zone is not None:
        return {spec.zone: limits[spec.zone]}
    if spec.one_zone:
        chosen = next((zone for zone, count in live.items() if count), None)
        return None if chosen is None else {chosen: limits[chosen]}
    return limits


class _Limits(dict[str, int]):
    """Zones not named may take `default` tasks."""

    def __init__(self, default: int) -> None:
        super().__init__()
        self.default = default

    def __missing__(self, key: str) -> int:
        return self.default

    def get(self, key: str, default: object = None) -> int:
        return self[key]


def records_zones(spec: JobSpec) -> bool:
    """Whether allotments of the job must say in which zone they run."""
    return spec.zone is not None or spec.one_zone or spec.spread


def unrunnable_reason(
    spec: JobSpec, types: dict[str, MachineType], teams: dict[str, Team]
) -> str | None:
    """Why a job can never run (422), or None."""
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
