"""Which jobs get capacity: their open tasks in order of precedence, within their teams' limits,
and the resulting assignments to shards. Pure functions of the replica."""

import math
from collections.abc import Callable
from typing import Any

from ryegauge.bookkeeping.ranges import Ranges
from ryegauge.bookkeeping.state_replica import Assignment, Job, StateReplica, max_range_bytes
from ryegauge.config import Team
from ryegauge.coordination.demands import make_demand, records_zones, task_sizes, zone_limits
from ryegauge.coordination.urgency import Urgencies
from ryegauge.detection.fault_attribution import RetryBackoff
from ryegauge.ordering.model import AssignedTasks, Policy, TeamHeadroom, WaitingJob
from ryegauge.protocol.jobs import JobSpec
from ryegauge.scheduling.estimates import Estimates
from ryegauge.scheduling.planner import EPSILON, Demand, MachineCapacity, Plan

# Size of an assignment's record without its ranges: field names, and zones if they are recorded.
RECORD_OVERHEAD_BYTES = 256


def within_guarantee(
    replica: StateReplica, teams: dict[str, Team], order: Callable[[Job], Any]
) -> set[str]:
    """UIDs of the jobs that fit into their team's guaranteed CPUs and GPUs together with the
    team's unfinished jobs before them in `order`.

    These need not wait for other teams. Jobs that still wait for their dependencies take up none
    of the guarantee."""
    unfinished = sorted((job for job in replica.live.values() if not job.is_terminal), key=order)
    cpus: dict[str, float] = {}
    gpus: dict[str, float] = {}
    covered: set[str] = set()
    for job in unfinished:
        spec = job.spec
        if (team := teams.get(spec.team)) is None:
            continue
        remaining = spec.tasks - job.done_count
        cpus[team.name] = cpus.get(team.name, 0.0) + remaining * spec.cpus
        gpus[team.name] = gpus.get(team.name, 0.0) + remaining * spec.gpus
        if cpus[team.name] <= team.cpus + EPSILON and gpus[team.name] <= team.gpus + EPSILON:
            covered.add(spec.uid)
    return covered


def ordered_demands(
    replica: StateReplica,
    teams: dict[str, Team],
    urgencies: Urgencies,
    estimates: Estimates,
    within_guarantee: set[str],
    policy: Policy,
    running: list[MachineCapacity],
    wall: float,
    retry_backoff: RetryBackoff,
    now: float,
) -> tuple[list[Demand], dict[str, Job]]:
    """Demands for the open tasks within their teams' limits, in the policy's order of
    precedence, and the jobs that they belong to, by UID.

    A job may occur twice, with some of its tasks and with the rest. A failing job occurs only
    when its retry is due, with a single task (a gang with all), and nothing is rented for it."""
    used_cpus: dict[str, float] = dict.fromkeys(teams, 0.0)
    used_gpus: dict[str, float] = dict.fromkeys(teams, 0.0)
    open_jobs: dict[str, Job] = {}
    for uid, job in replica.live.items():
        assigned_count = job.assigned_count
        name = job.spec.team
        used_cpus[name] = used_cpus.get(name, 0.0) + assigned_count * job.spec.cpus
        used_gpus[name] = used_gpus.get(name, 0.0) + assigned_count * job.spec.gpus
        if (
            not job.is_terminal
            and job.ready
            and job.open_tasks
            and name in teams
            and retry_backoff.wait_s(uid, now) <= 0
        ):
            open_jobs[uid] = job
    totals = FleetTotals(running) if policy.uses_ageing else None
    waiting: list[WaitingJob] = []
    for uid, job in open_jobs.items():
        finish, rank = urgencies.urgency_of(job)
        spec = job.spec
        open_count = len(job.open_tasks)
        waiting.append(
            WaitingJob(
                uid,
                spec.team,
                rank,
                finish,
                job.submitted_at,
                job.ready_at,
                uid in within_guarantee,
                open_count,
                job.done_count + job.assigned_count,
                0.0 if totals is None else totals.weight(spec),
                spec.cpus,
                spec.gpus,
                spec.kind == "gang" and open_count == spec.tasks,
                spec.kind == "standing",
                records_zones(spec),
            )
        )
    headroom = {
        name: TeamHeadroom(team.cpu_limit - used_cpus[name], team.gpu_limit - used_gpus[name])
        for name, team in teams.items()
    }
    assigned_tasks = [] if totals is None else finite_assigned_tasks(replica, urgencies, totals)
    demands: list[Demand] = []
    sizes = task_sizes(replica)
    remaining = {job.uid: job.open_task_count for job in waiting}
    retried: set[str] = set()
    for uid, max_tasks, reserve_within_s in policy.order(waiting, assigned_tasks, headroom, wall):
        job = open_jobs[uid]
        spec = job.spec
        team = teams[spec.team]
        count = remaining[uid] if max_tasks is None else min(remaining[uid], max_tasks)
        if uid in retry_backoff:
            if uid in retried:
                continue
            retried.add(uid)
            count = count if spec.kind == "gang" else 1
        count = _fitting_count(count, spec.cpus, team.cpu_limit - used_cpus[team.name])
        count = _fitting_count(count, spec.gpus, team.gpu_limit - used_gpus[team.name])
        zones = zone_limits(job)
        if count <= 0 or (spec.kind == "gang" and count < remaining[uid]):
            continue
        used_cpus[team.name] += count * spec.cpus
        used_gpus[team.name] += count * spec.gpus
        remaining[uid] -= count
        demand = make_demand(job, count, zones, estimates, urgencies.latest_finish(job), sizes)
        demand.reserve_within_s, demand.due_by_age = reserve_within_s, max_tasks is not None
        demand.may_rent = uid not in retry_backoff
        demands.append(demand)
    return demands, open_jobs


def _fitting_count(count: int, per_task: float, available: float) -> int:
    """How many of `count` tasks fit into what their team may still use of a resource."""
    if per_task <= 0 or available == math.inf:
        return count
    return min(count, int((available + EPSILON) // per_task))


class FleetTotals:
    """The total CPUs, memory and GPUs of all running machines."""

    def __init__(self, running: list[MachineCapacity]) -> None:
        self._cpus = sum(capacity.type.cpus for capacity in running)
        self._memory_gb = sum(capacity.type.memory_gb for capacity in running)
        self._gpus = sum(capacity.type.gpus for capacity in running)

    def weight(self, spec: JobSpec) -> float:
        """The largest share of any resource of the fleet that one task takes, 1.0 for a resource
        that the fleet does not have."""
        return (
            max(
                needed / total if total > 0 else 1.0
                for needed, total in (
                    (spec.cpus, self._cpus),
                    (spec.memory_gb, self._memory_gb),
                    (spec.gpus, self._gpus),
                )
                if needed > 0
            )
            if spec.cpus or spec.memory_gb or spec.gpus
            else 0.0
        )


def finite_assigned_tasks(
    replica: StateReplica, urgencies: Urgencies, totals: FleetTotals
) -> list[AssignedTasks]:
    """What counts against the share of the fleet reserved for aged jobs: the assigned tasks of
    unfinished jobs. Services are left out: they never end and would use up the share for good."""
    return [
        AssignedTasks(
            urgencies.rank(job),
            job.ready_at,
            job.done_count,
            job.assigned_count,
            totals.weight(job.spec),
        )
        for job in replica.live.values()
        if job.assigned_count and not job.is_terminal and job.spec.kind != "standing"
    ]


def assign_tasks(
    round_plan: Plan, jobs: dict[str, Job], value_bytes: int
) -> dict[tuple[str, int], Assignment]:
    """The new assignments, by (job UID, shard), where the plan gives a shard more tasks of a job.

    No assignment's record grows beyond `value_bytes`; tasks that do not fit stay open."""
    result: dict[tuple[str, int], Assignment] = {}
    newly_assigned: dict[str, Ranges] = {}
    for placement in round_plan.placements:
        job = jobs[placement.uid]
        open_tasks = job.open_tasks - newly_assigned.get(placement.uid, Ranges())
        key = (placement.uid, placement.shard)
        assignment = result.get(key)
        current = assignment or job.assignments.get(placement.shard)
        tasks = open_tasks.first(
            min(placement.count, _tasks_fitting_record(job, current, value_bytes))
        )
        if not tasks:
            continue
        newly_assigned[placement.uid] = newly_assigned.get(placement.uid, Ranges()) | tasks
        if assignment is None:
            previous = job.assignments.get(placement.shard)
            assignment = (
                Assignment({}, Ranges(), 0)
                if previous is None
                else Assignment(dict(previous.assigned), previous.done, previous.version)
            )
            result[key] = assignment
        zone = placement.zone if records_zones(job.spec) else ""
        assignment.assigned[zone] = assignment.assigned.get(zone, Ranges()) | tasks
    return result


def _tasks_fitting_record(job: Job, assignment: Assignment | None, value_bytes: int) -> int:
    """How many more tasks an assignment may get so that its record stays within `value_bytes`, the
    state service's limit, in whatever order the tasks end: each may become a range of its own,
    among the assigned or among the done ones."""
    limit = value_bytes - RECORD_OVERHEAD_BYTES
    ranges = limit // max_range_bytes(job.spec.tasks)
    return ranges if assignment is None else ranges - assignment.count - len(assignment.done.spans)
