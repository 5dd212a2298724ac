"""Which running work is stopped for which waiting work. No I/O and no clock."""

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

# A task has just begun in this first share of its run.
RECENT_SHARE = 0.25
# A guarantee is enforced once its job has waited for so many boots.
GUARANTEE_BOOTS = 2.0


@dataclass(slots=True)
class Victim:
    """Tasks of one job on one machine that may be stopped for others."""

    running: RunningTasks
    shown: ObservedMachine
    job: Job
    count: int

    @property
    def machine(self) -> MachineView:
        return self.shown.view


def _fewest(job: Job, victims: list[Victim], type_: MachineType) -> list[tuple[Victim, int]] | None:
    """The victims on one machine, in their order, that make room for one task of a job."""
    cpus = job.spec.cpus - (type_.cpus - victims[0].shown.cpus)
    memory_gb = job.spec.memory_gb - (type_.memory_gb - victims[0].shown.memory_gb)
    way: list[tuple[Victim, int]] = []
    for victim in victims:
        if cpus <= EPSILON and memory_gb <= EPSILON:
            break
        spec = victim.job.spec
        wanted = max(
            math.ceil((cpus - EPSILON) / spec.cpus) if spec.cpus > 0 else 0,
            math.ceil((memory_gb - EPSILON) / spec.memory_gb) if spec.memory_gb > 0 else 0,
        )
        stop = min(victim.count, wanted)
        if stop > 0:
            way.append((victim, stop))
            cpus -= stop * spec.cpus
            memory_gb -= stop * spec.memory_gb
    return way if way and cpus <= EPSILON and memory_gb <= EPSILON else None


class Preemption:
    def __init__(
        self, replica: StateReplica, settings: Settings, estimates: Estimates, policy: Policy
    ) -> None:
        self._policy = policy
        self._replica = replica
        self._settings = settings
        self._estimates = estimates
        self._teams = {team.name: team for team in settings.settings.teams}
        self._evict: list[tuple[str, str, int]] = []
        self._evicted_at = -math.inf

    def orders(self, machines: Collection[str]) -> list[tuple[str, str, int]]:
        """(machine, job, tasks) to be stopped on some machines; told once."""
        told = [entry for entry in self._evict if entry[0] in machines]
        self._evict = [entry for entry in self._evict if entry not in told]
        return told

    def decide(
        self,
        decided: Plan,
        jobs: dict[str, Job],
        within: set[str],
        urgencies: Urgencies,
        types: dict[str, MachineType],
        views: dict[int, ShardState],
        now: float,
        wall: float,
    ) -> None:
        """Makes room for what goes first, as far as the policy allows: work within its
        team's guarantee that has waited for longer than boots explain may stop work that
        another team runs beyond its own; higher priority may stop lower. No more is
        stopped than the waiting ones need. The room shows in the next views; until then
        no further task is stopped."""
        policy = self._policy
        if now - self._evicted_at < policy.preemption_pause_reports * self._settings.report_gap_s:
            return
        boot_s = max((t.boot_s for t in types.values()), default=0.0)
        rank_of = urgencies.rank
        lowest = max((rank_of(job) for job in self._replica.live.values()), default=0)
        waiting: list[tuple[Job, int, PreemptionRequest]] = []
        for uid, count in decided.unplaced:
            job = jobs[uid]
            waited_s = wall - job.ready_at
            guaranteed = uid in within and waited_s > GUARANTEE_BOOTS * boot_s
            if zone_limits(job) is not None or job.spec.types is not None or job.spec.gpus:
                continue
            claim = PreemptionRequest(job.spec.team, rank_of(job), guaranteed, waited_s)
            if policy.may_request_preemption(claim, lowest):
                waiting.append((job, count, claim))
        if not waiting:
            return
        victims = self._victims(now, wall, views, urgencies, boot_s, within)
        for job, count, claim in waiting:
            uid = job.spec.uid
            for victim in victims:
                if count <= 0:
                    break
                spec = victim.job.spec
                if (
                    victim.count <= 0
                    or victim.job is job
                    or (victim.machine.spot and not job.spec.spot)
                    or not policy.may_preempt(claim, victim.running)
                ):
                    continue
                each = min(
                    (job.spec.cpus and spec.cpus / job.spec.cpus) or 1.0,
                    (job.spec.memory_gb and spec.memory_gb / job.spec.memory_gb) or 1.0,
                )
                if each < 1.0 or each > 2 * count:
                    continue  # frees too little, or stops far more than is needed
                stop = min(victim.count, math.ceil(count / int(each)))
                machine = victim.machine.name
                self._evict.append((machine, spec.uid, stop))
                victim.count -= stop
                count -= stop * int(each)
                self._evicted_at = now
                log.info("stopping %d of %s on %s for %s", stop, spec.uid, machine, uid)
            if count > 0 and policy.preempts_long_running:
                self._stop_several(job, claim, count, victims, types, now)

    def _stop_several(
        self,
        job: Job,
        claim: PreemptionRequest,
        count: int,
        victims: list[Victim],
        types: dict[str, MachineType],
        now: float,
    ) -> None:
        """For tasks that are larger than each of those that may be stopped: several on one
        machine, together with its free room. Of all machines the one that loses least comes
        first, until the waiting tasks have room. Without this, small routine tasks that end
        one by one keep a large urgent one waiting for as long as the longest of them."""
        by_machine: dict[str, list[Victim]] = {}
        for victim in victims:
            if (
                victim.count > 0
                and victim.job is not job
                and not (victim.machine.spot and not job.spec.spot)
                and self._policy.may_preempt(claim, victim.running)
            ):
                by_machine.setdefault(victim.machine.name, []).append(victim)
        ways: list[tuple[float, str, list[tuple[Victim, int]]]] = []
        for name, some in by_machine.items():
            type_ = types.get(some[0].machine.type)
            if type_ is not None and (way := _fewest(job, some, type_)) is not None:
                lost_cpu_s = sum(
                    n * v.job.spec.cpus * max(0.0, v.running.elapsed_s) for v, n in way
                )
                ways.append((lost_cpu_s, name, way))
        ways.sort(key=lambda way: way[:2])
        for _, name, way in ways[:count]:
            for victim, stop in way:
                self._evict.append((name, victim.job.spec.uid, stop))
                victim.count -= stop
                log.info(
                    "stopping %d of %s on %s for %s, beside others",
                    stop,
                    victim.job.spec.uid,
                    name,
                    job.spec.uid,
                )
            self._evicted_at = now

    def _beyond_guarantee(self) -> set[str]:
        used: dict[str, float] = {}
        for job in self._replica.live.values():
            team = job.spec.team
            used[team] = used.get(team, 0.0) + job.assigned_count * job.spec.cpus
        return {name for name, team in self._teams.items() if used.get(name, 0.0) > team.cpus}

    def _victims(
        self,
        now: float,
        wall: float,
        views: dict[int, ShardState],
        urgencies: Urgencies,
        boot_s: float,
        within: set[str],
    ) -> list[Victim]:
        """What may be stopped, in the policy's order."""
        policy = self._policy
        beyond = self._beyond_guarantee()
        is_protected_by_age: dict[str, bool] = {}
        result: list[Victim] = []
        for state in views.values():
            for shown in state.machines.values():
                if not shown.view.open:
                    continue
                for job, count, until in shown.tasks:
                    if job.is_terminal or job.spec.kind != "sweep":
                        continue
                    run_s = self._estimates.run_s(job.spec.job_class, job.spec.estimate_s)
                    left_s = max(0.0, until - now)
                    elapsed = run_s - left_s
                    slack = urgencies.latest_finish(job) - wall - run_s
                    recent = elapsed < RECENT_SHARE * run_s and slack > boot_s
                    if not recent and not policy.preempts_long_running:
                        continue
                    uid, rank = job.spec.uid, urgencies.rank(job)
                    if policy.uses_ageing and uid not in is_protected_by_age:
                        held = AssignedTasks(
                            rank, job.ready_at, job.done_count, job.assigned_count, 0.0
                        )
                        is_protected_by_age[uid] = policy.is_protected_by_age(held, wall)
                    running = RunningTasks(
                        job.spec.team,
                        rank,
                        uid in within,
                        job.spec.team in beyond,
                        recent,
                        elapsed,
                        left_s,
                        is_protected_by_age.get(uid, False),
                    )
                    result.append(Victim(running, shown, job, count))
        result.sort(
            key=lambda v: (*policy.preemption_key(v.running), v.machine.name, v.job.spec.uid)
        )
        return result
