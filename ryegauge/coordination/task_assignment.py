"""Who gets room: jobs in their order of precedence, within their teams' limits, and what
their parts' shares become. Pure functions of the book."""

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

# What a share's record takes besides its ranges: names, and zones if they are tracked.
RECORD_BYTES = 256


def within_guarantee(
    replica: StateReplica, teams: dict[str, Team], order: Callable[[Job], Any]
) -> set[str]:
    """Jobs that fit into their team's guarantee together with those of the team's
    unfinished jobs that come earlier in the order: they need not wait for other
    teams. Jobs that wait for others hold no part of it."""
    unfinished = sorted((job for job in replica.live.values() if not job.is_terminal), key=order)
    cpus: dict[str, float] = {}
    gpus: dict[str, float] = {}
    within: set[str] = set()
    for job in unfinished:
        spec = job.spec
        if (team := teams.get(spec.team)) is None:
            continue
        left = spec.tasks - job.done_count
        cpus[team.name] = cpus.get(team.name, 0.0) + left * spec.cpus
        gpus[team.name] = gpus.get(team.name, 0.0) + left * spec.gpus
        if cpus[team.name] <= team.cpus + EPSILON and gpus[team.name] <= team.gpus + EPSILON:
            within.add(spec.uid)
    return within


def ordered_demands(
    replica: StateReplica,
    teams: dict[str, Team],
    urgencies: Urgencies,
    estimates: Estimates,
    within_guarantee: set[str],
    policy: Policy,
    running: list[MachineCapacity],
    wall: float,
    held: RetryBackoff,
    now: float,
) -> tuple[list[Demand], dict[str, Job]]:
    """Open tasks within their team's limits, in the policy's order of precedence. A job
    may come twice, with some of its tasks and with the rest. Of one that is held back a
    single task comes, or a gang, when its time has come; nothing is rented for it."""
    used_cpus: dict[str, float] = dict.fromkeys(teams, 0.0)
    used_gpus: dict[str, float] = dict.fromkeys(teams, 0.0)
    open_jobs: dict[str, Job] = {}
    for uid, job in replica.live.items():
        n = job.assigned_count
        name = job.spec.team
        used_cpus[name] = used_cpus.get(name, 0.0) + n * job.spec.cpus
        used_gpus[name] = used_gpus.get(name, 0.0) + n * job.spec.gpus
        if (
            not job.is_terminal
            and job.ready
            and job.open_tasks
            and name in teams
            and held.wait_s(uid, now) <= 0
        ):
            open_jobs[uid] = job
    fleet = FleetTotals(running) if policy.uses_ageing else None
    waiting: list[WaitingJob] = []
    for uid, job in open_jobs.items():
        finish, rank = urgencies.of(job)
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
                0.0 if fleet is None else fleet.weight(spec),
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
    holding = [] if fleet is None else holdings(replica, urgencies, fleet)
    needs: list[Demand] = []
    sizes = task_sizes(replica)
    left = {job.uid: job.open_task_count for job in waiting}
    probed: set[str] = set()
    for uid, most, hold_s in policy.order(waiting, holding, headroom, wall):
        job = open_jobs[uid]
        spec = job.spec
        team = teams[spec.team]
        count = left[uid] if most is None else min(left[uid], most)
        if uid in held:
            if uid in probed:
                continue
            probed.add(uid)
            count = count if spec.kind == "gang" else 1
        count = _within(count, spec.cpus, team.cpu_limit - used_cpus[team.name])
        count = _within(count, spec.gpus, team.gpu_limit - used_gpus[team.name])
        zones = zone_limits(job)
        if count <= 0 or (spec.kind == "gang" and count < left[uid]):
            continue
        used_cpus[team.name] += count * spec.cpus
        used_gpus[team.name] += count * spec.gpus
        left[uid] -= count
        need = make_demand(job, count, zones, estimates, urgencies.latest_finish(job), sizes)
        need.hold_s, need.due = hold_s, most is not None
        need.may_rent = uid not in held
        needs.append(need)
    return needs, open_jobs


def _within(count: int, each: float, free: float) -> int:
    """How many of so many tasks fit into what their team may still use."""
    if each <= 0 or free == math.inf:
        return count
    return min(count, int((free + EPSILON) // each))


class FleetTotals:
    """What all running machines have together."""

    def __init__(self, running: list[MachineCapacity]) -> None:
        self._cpus = sum(room.type.cpus for room in running)
        self._memory_gb = sum(room.type.memory_gb for room in running)
        self._gpus = sum(room.type.gpus for room in running)

    def weight(self, spec: JobSpec) -> float:
        """The largest share of any resource that one task takes; 1 while there is none."""
        return (
            max(
                shard / whole if whole > 0 else 1.0
                for shard, whole in (
                    (spec.cpus, self._cpus),
                    (spec.memory_gb, self._memory_gb),
                    (spec.gpus, self._gpus),
                )
                if shard > 0
            )
            if spec.cpus or spec.memory_gb or spec.gpus
            else 0.0
        )


def holdings(
    replica: StateReplica, urgencies: Urgencies, fleet: FleetTotals
) -> list[AssignedTasks]:
    """What counts against the share for aged work: tasks that end, of jobs that are not
    over. (Services hold their room for good and would close the share to all others.)"""
    return [
        AssignedTasks(
            urgencies.rank(job),
            job.ready_at,
            job.done_count,
            job.assigned_count,
            fleet.weight(job.spec),
        )
        for job in replica.live.values()
        if job.assigned_count and not job.is_terminal and job.spec.kind != "standing"
    ]


def assign_tasks(
    decided: Plan, jobs: dict[str, Job], value_bytes: int
) -> dict[tuple[str, int], Assignment]:
    """The shares as they should become, where the plan gives a part more of a job."""
    result: dict[tuple[str, int], Assignment] = {}
    taken: dict[str, Ranges] = {}
    for placement in decided.placements:
        job = jobs[placement.uid]
        rest = job.open_tasks - taken.get(placement.uid, Ranges())
        key = (placement.uid, placement.shard)
        assignment = result.get(key)
        held = assignment or job.assignments.get(placement.shard)
        tasks = rest.first(min(placement.count, _free_record_bytes(job, held, value_bytes)))
        if not tasks:
            continue
        taken[placement.uid] = taken.get(placement.uid, Ranges()) | tasks
        if assignment is None:
            old = job.assignments.get(placement.shard)
            assignment = (
                Assignment({}, Ranges(), 0)
                if old is None
                else Assignment(dict(old.assigned), old.done, old.version)
            )
            result[key] = assignment
        zone = placement.zone if records_zones(job.spec) else ""
        assignment.assigned[zone] = assignment.assigned.get(zone, Ranges()) | tasks
    return result


def _free_record_bytes(job: Job, assignment: Assignment | None, value_bytes: int) -> int:
    """How many more tasks a share may be given so that its record stays within what
    the state service takes, in whatever order they end: each may come to be a range
    of its own, among those that are held or among those that are done."""
    limit = value_bytes - RECORD_BYTES
    ranges = limit // max_range_bytes(job.spec.tasks)
    return ranges if assignment is None else ranges - assignment.count - len(assignment.done.spans)
