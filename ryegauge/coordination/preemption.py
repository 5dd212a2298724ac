"""Decides which running tasks are evicted for which waiting jobs. No I/O and no clock."""

import logging
import math
from collections.abc import Collection
from dataclasses import dataclass

from ryegauge.bookkeeping.state_replica import Job, StateReplica
from ryegauge.config import Settings
from ryegauge.coordination.demands import zone_limits
from ryegauge.coordination.shard_views import ObservedMachine, ShardState
from ryegauge.coordination.urgency import Urgencies
from ryegauge.ordering.model import AssignedTasks, Policy, PreemptionRequest, RunningTasks
from ryegauge.protocol.cloud import MachineType
from ryegauge.protocol.peers import MachineView
from ryegauge.scheduling.estimates import Estimates
from ryegauge.scheduling.planner import EPSILON, Plan

log = logging.getLogger(__name__)

# A task counts as just begun during this first share of its run time.
RECENT_RUN_SHARE = 0.25
# A team's guarantee is enforced once its job has waited for this many boot times.
GUARANTEE_BOOTS = 2.0


@dataclass(slots=True)
class Victim:
    """Tasks of one job on one machine that may be evicted for others."""

    running: RunningTasks
    observed: ObservedMachine
    job: Job
    count: int

    @property
    def machine(self) -> MachineView:
        """The machine that the tasks run on."""
        return self.observed.view


def _sufficient_victims(
    job: Job, victims: list[Victim], type_: MachineType
) -> list[tuple[Victim, int]] | None:
    """The victims on one machine, in the given order, whose eviction frees enough for one task of
    a job, with how many tasks of each; None if all of them are not enough."""
    cpus = job.spec.cpus - (type_.cpus - victims[0].observed.cpus)
    memory_gb = job.spec.memory_gb - (type_.memory_gb - victims[0].observed.memory_gb)
    selection: list[tuple[Victim, int]] = []
    for victim in victims:
        if cpus <= EPSILON and memory_gb <= EPSILON:
            break
        spec = victim.job.spec
        needed = max(
            math.ceil((cpus - EPSILON) / spec.cpus) if spec.cpus > 0 else 0,
            math.ceil((memory_gb - EPSILON) / spec.memory_gb) if spec.memory_gb > 0 else 0,
        )
        evict_count = min(victim.count, needed)
        if evict_count > 0:
            selection.append((victim, evict_count))
            cpus -= evict_count * spec.cpus
            memory_gb -= evict_count * spec.memory_gb
    return selection if selection and cpus <= EPSILON and memory_gb <= EPSILON else None


class Preemption:
    """Chooses evictions after each round and keeps them until they are sent to the owners."""

    def __init__(
        self, replica: StateReplica, settings: Settings, estimates: Estimates, policy: Policy
    ) -> None:
        self._policy = policy
        self._replica = replica
        self._settings = settings
        self._estimates = estimates
        self._teams = {team.name: team for team in settings.settings.teams}
        self._pending_evictions: list[tuple[str, str, int]] = []
        self._evicted_at = -math.inf

    def take_evictions(self, machines: Collection[str]) -> list[tuple[str, str, int]]:
        """The evictions chosen for these machines, as (machine, job UID, tasks). Each is
        returned once."""
        evictions = [entry for entry in self._pending_evictions if entry[0] in machines]
        self._pending_evictions = [
            entry for entry in self._pending_evictions if entry not in evictions
        ]
        return evictions

    def choose_evictions(
        self,
        round_plan: Plan,
        jobs: dict[str, Job],
        guaranteed_jobs: set[str],
        urgencies: Urgencies,
        types: dict[str, MachineType],
        views: dict[int, ShardState],
        now: float,
        wall: float,
    ) -> None:
        """Chooses evictions for the jobs that the plan could not place, as far as the ordering
        policy allows.

        A job within its team's guarantee that has waited for longer than boots explain may evict
        tasks that another team runs beyond its own guarantee; a higher priority may evict a
        lower one. No more is evicted than the waiting tasks need. The freed capacity shows in
        the next views; until then nothing further is evicted."""
        policy = self._policy
        if now - self._evicted_at < policy.preemption_pause_reports * self._settings.report_gap_s:
            return
        boot_s = max((t.boot_s for t in types.values()), default=0.0)
        rank_of = urgencies.rank
        lowest_rank = max((rank_of(job) for job in self._replica.live.values()), default=0)
        waiting: list[tuple[Job, int, PreemptionRequest]] = []
        for uid, count in round_plan.unplaced:
            job = jobs[uid]
            waited_s = wall - job.ready_at
            guaranteed = uid in guaranteed_jobs and waited_s > GUARANTEE_BOOTS * boot_s
            if zone_limits(job) is not None or job.spec.types is not None or job.spec.gpus:
                continue
            request = PreemptionRequest(job.spec.team, rank_of(job), guaranteed, waited_s)
            if policy.may_request_preemption(request, lowest_rank):
                waiting.append((job, count, request))
        if not waiting:
            return
        victims = self._find_victims(now, wall, views, urgencies, boot_s, guaranteed_jobs)
        for job, count, request in waiting:
            uid = job.spec.uid
            for victim in victims:
                if count <= 0:
                    break
                spec = victim.job.spec
                if (
                    victim.count <= 0
                    or victim.job is job
                    or (victim.machine.spot and not job.spec.spot)
                    or not policy.may_preempt(request, victim.running)
                ):
                    continue
                fits_per_victim = min(
                    (job.spec.cpus and spec.cpus / job.spec.cpus) or 1.0,
                    (job.spec.memory_gb and spec.memory_gb / job.spec.memory_gb) or 1.0,
                )
                if fits_per_victim < 1.0 or fits_per_victim > 2 * count:
                    continue  # one of its tasks frees too little, or far more than is needed
                evict_count = min(victim.count, math.ceil(count / int(fits_per_victim)))
                machine = victim.machine.name
                self._pending_evictions.append((machine, spec.uid, evict_count))
                victim.count -= evict_count
                count -= evict_count * int(fits_per_victim)
                self._evicted_at = now
                log.info(
                    "evicting %d tasks of %s on %s for %s", evict_count, spec.uid, machine, uid
                )
            if count > 0 and policy.preempts_long_running:
                self._evict_several(job, request, count, victims, types, now)

    def _evict_several(
        self,
        job: Job,
        request: PreemptionRequest,
        count: int,
        victims: list[Victim],
        types: dict[str, MachineType],
        now: float,
    ) -> None:
        """For tasks that are larger than each of those that may be evicted: evicts several on one
        machine, whose free capacity counts too. The machine that loses least CPU time comes
        first, one for each waiting task.

        Without this, small routine tasks that end one by one keep a large urgent task waiting
        until the longest of them has ended."""
        by_machine: dict[str, list[Victim]] = {}
        for victim in victims:
            if (
                victim.count > 0
                and victim.job is not job
                and not (victim.machine.spot and not job.spec.spot)
                and self._policy.may_preempt(request, victim.running)
            ):
                by_machine.setdefault(victim.machine.name, []).append(victim)
        selections: list[tuple[float, str, list[tuple[Victim, int]]]] = []
        for name, active_tasks in by_machine.items():
            type_ = types.get(active_tasks[0].machine.type)
            if (
                type_ is not None
                and (selection := _sufficient_victims(job, active_tasks, type_)) is not None
            ):
                lost_cpu_s = sum(
                    evict_count * victim.job.spec.cpus * max(0.0, victim.running.elapsed_s)
                    for victim, evict_count in selection
                )
                selections.append((lost_cpu_s, name, selection))
        selections.sort(key=lambda selection: selection[:2])
        for _, name, selection in selections[:count]:
            for victim, evict_count in selection:
                self._pending_evictions.append((name, victim.job.spec.uid, evict_count))
                victim.count -= evict_count
                log.info(
                    "evicting %d tasks of %s on %s for %s, together with others there",
                    evict_count,
                    victim.job.spec.uid,
                    name,
                    job.spec.uid,
                )
            self._evicted_at = now

    def _teams_beyond_guarantee(self) -> set[str]:
        """Teams whose assigned tasks use more CPUs than they are guaranteed."""
        used: dict[str, float] = {}
        for job in self._replica.live.values():
            team = job.spec.team
            used[team] = used.get(team, 0.0) + job.assigned_count * job.spec.cpus
        return {name for name, team in self._teams.items() if used.get(name, 0.0) > team.cpus}

    def _find_victims(
        self,
        now: float,
        wall: float,
        views: dict[int, ShardState],
        urgencies: Urgencies,
        boot_s: float,
        guaranteed_jobs: set[str],
    ) -> list[Victim]:
        """The tasks that may be evicted, in the policy's order: of sweeps only, and only those
        that have just begun and have time for another run, unless the policy evicts any."""
        policy = self._policy
        teams_beyond_guarantee = self._teams_beyond_guarantee()
        is_protected_by_age: dict[str, bool] = {}
        result: list[Victim] = []
        for state in views.values():
            for observed in state.machines.values():
                if not observed.view.accepts_tasks:
                    continue
                for job, count, ends_at in observed.tasks:
                    if job.is_terminal or job.spec.kind != "sweep":
                        continue
                    run_s = self._estimates.run_s(job.spec.job_class, job.spec.estimate_s)
                    left_s = max(0.0, ends_at - now)
                    elapsed_s = run_s - left_s
                    slack_s = urgencies.latest_finish(job) - wall - run_s
                    recent = elapsed_s < RECENT_RUN_SHARE * run_s and slack_s > boot_s
                    if not recent and not policy.preempts_long_running:
                        continue
                    uid, rank = job.spec.uid, urgencies.rank(job)
                    if policy.uses_ageing and uid not in is_protected_by_age:
                        assigned_tasks = AssignedTasks(
                            rank, job.ready_at, job.done_count, job.assigned_count, 0.0
                        )
                        is_protected_by_age[uid] = policy.is_protected_by_age(assigned_tasks, wall)
                    running = RunningTasks(
                        job.spec.team,
                        rank,
                        uid in guaranteed_jobs,
                        job.spec.team in teams_beyond_guarantee,
                        recent,
                        elapsed_s,
                        left_s,
                        is_protected_by_age.get(uid, False),
                    )
                    result.append(Victim(running, observed, job, count))
        result.sort(
            key=lambda victim: (
                *policy.preemption_key(victim.running),
                victim.machine.name,
                victim.job.spec.uid,
            )
        )
        return result
