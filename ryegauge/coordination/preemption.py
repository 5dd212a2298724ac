"""Which running work is stopped for which waiting work. No I/O and no clock."""

import logging
import math
from collections.abc import Collection
from dataclasses import dataclass

from ryegauge.bookkeeping.jobbook import Job, JobBook
from ryegauge.config import Settings
from ryegauge.coordination.needs import zone_limits
from ryegauge.coordination.urgency import Urgencies
from ryegauge.coordination.views import PartState
from ryegauge.protocol.peers import MachineView
from ryegauge.scheduling.estimates import Estimates
from ryegauge.scheduling.planner import Plan

log = logging.getLogger(__name__)

# A task is stopped for others only in this first share of its run.
PREEMPT_SHARE = 0.25
# Stopping others at once, for whatever waits, lost more than it gained
# (docs/design.md): priority stops others from two steps down, and a guarantee is
# enforced once its job has waited for so many boots.
PREEMPT_STEPS = 2
PREEMPT_BOOTS = 2.0


@dataclass(slots=True)
class Victim:
    """Tasks of one job on one machine that may be stopped for others."""

    elapsed_s: float
    machine: MachineView
    job: Job
    count: int


class Preemption:
    def __init__(self, book: JobBook, settings: Settings, estimates: Estimates) -> None:
        self._book = book
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
        self, decided: Plan, jobs: dict[str, Job], within: set[str], urgencies: Urgencies,
        boot_s: float, views: dict[int, PartState], now: float, wall: float,
    ) -> None:
        """Makes room for what goes first: work within its team's guarantee that has
        waited for longer than boots explain may stop work that another team runs beyond
        its own; much higher priority may stop lower.

        Only tasks that have just begun are stopped, so that little is lost, of jobs that
        still have time for another run on a new machine, and no more than the waiting
        ones need. The room shows in the next views; until then no
        further task is stopped."""
        if now - self._evicted_at < self._settings.report_gap_s:
            return
        rank_of = urgencies.rank
        lowest = max((rank_of(job) for job in self._book.live.values()), default=0)
        waiting: list[tuple[Job, int, int, bool]] = []
        for uid, count in decided.unplaced:
            job = jobs[uid]
            rank = rank_of(job)
            patient = wall - job.ready_at <= PREEMPT_BOOTS * boot_s
            claims = uid in within and not patient
            if zone_limits(job) is not None or job.spec.types is not None or job.spec.gpus:
                continue
            if claims or lowest >= rank + PREEMPT_STEPS:
                waiting.append((job, count, rank, claims))
        if not waiting:
            return
        beyond = self._beyond_guarantee()
        victims = self._victims(now, wall, views, urgencies, boot_s)
        for job, count, rank, claims in waiting:
            uid = job.spec.uid
            for victim in victims:
                if count <= 0:
                    break
                spec = victim.job.spec
                if (
                    victim.count <= 0
                    or victim.job is job
                    or (victim.machine.spot and not job.spec.spot)
                ):
                    continue
                lower = rank_of(victim.job) >= rank + PREEMPT_STEPS
                yields = claims and spec.team != job.spec.team and spec.team in beyond
                if not (lower or yields) or spec.uid in within:
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

    def _beyond_guarantee(self) -> set[str]:
        used: dict[str, float] = {}
        for job in self._book.live.values():
            team = job.spec.team
            used[team] = used.get(team, 0.0) + job.allotted_count * job.spec.cpus
        return {name for name, team in self._teams.items() if used.get(name, 0.0) > team.cpus}

    def _victims(
        self, now: float, wall: float, views: dict[int, PartState], urgencies: Urgencies,
        boot_s: float,
    ) -> list[Victim]:
        """What has just begun and has slack for a boot and a run, the shortest run first."""
        result: list[Victim] = []
        for state in views.values():
            for shown in state.machines.values():
                if not shown.view.open:
                    continue
                for job, count, until in shown.tasks:
                    if job.over or job.spec.kind != "sweep":
                        continue
                    run_s = self._estimates.run_s(job.spec.job_class, job.spec.estimate_s)
                    elapsed = run_s - max(0.0, until - now)
                    slack = urgencies.latest_finish(job) - wall - run_s
                    if elapsed < PREEMPT_SHARE * run_s and slack > boot_s:
                        result.append(Victim(elapsed, shown.view, job, count))
        result.sort(key=lambda v: (v.elapsed_s, v.machine.name, v.job.spec.uid))
        return result
