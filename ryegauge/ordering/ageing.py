"""Policies that order jobs strictly by rank, without ageing (`Strict`) and with it (`Ageing`).

`Ageing` reserves a share of the fleet for aged tasks. Every task of a job has a *tag*, the time
at which it is due by age alone:

    tag(job, n) = ready_at + patience(rank) * (1 + n),   n = 0, 1, 2, ...
    patience(rank) = patience_s * factor ** rank

where n counts the job's tasks that are done or assigned to a shard. These are the tags of
start-time fair queueing with one task as the unit of service.

- Due tasks go first, in the order of their tags, as long as the assigned due tasks with earlier
  tags take less than the reserved share of the fleet. That share grows from the floor to the
  ceiling while the first waiting due task waits for another `patience(rank)`.
- Due tasks of the most urgent waiting rank keep their place in this order but do not count
  against the share, since there is no more urgent job that they could crowd out.
- Everything else goes strictly by rank.
- While urgent jobs wait whose weight is at least the ceiling (a burst), other aged tasks yield,
  each for at most one more `patience(rank)` after its tag.

The order follows from the replica and the time alone; the policy has no state. If a task is
preempted, n decreases again and the task has the same tag as before; done tasks stay counted.
"""

import heapq
import math
from collections.abc import Sequence

from ryegauge.ordering.model import (
    AssignedTasks,
    JobPosition,
    PreemptionRequest,
    RunningTasks,
    TeamHeadroom,
    WaitingJob,
)

EPSILON = 1e-9  # tolerance in sums of shares

# Jobs of ranks up to this one (0 critical, 1 high) are urgent: less urgent tasks are preempted
# for them.
MAX_URGENT_RANK = 1


def rank_sort_key(job: WaitingJob) -> tuple[int, bool, float, float, str]:
    """Sort key: by rank; within a rank, jobs within their team's guarantee first, then by
    latest finish, then by the time at which they became ready."""
    return (job.rank, not job.within_guarantee, job.latest_finish, job.ready_at, job.uid)


def _unit_size(job: WaitingJob) -> int:
    """Number of tasks that have to be placed together: all of a gang, else one."""
    return job.open_task_count if job.starts_together else 1


class Strict:
    """Orders by rank alone, so low-ranked jobs may wait forever. Baseline of the experiments.

    An urgent job that has waited for `stop_after_s` may preempt lower-ranked tasks. A job within
    its team's guarantee that has waited for longer than a boot takes may preempt tasks of its own
    or a lower rank that have just begun, if their team uses more than its guarantee."""

    preempts_long_running = True
    preemption_pause_reports = 2.0
    uses_ageing = False

    def __init__(self, stop_after_s: float) -> None:
        self._stop_after_s = stop_after_s

    def order(
        self,
        waiting: Sequence[WaitingJob],
        assigned: Sequence[AssignedTasks],
        headroom: dict[str, TeamHeadroom],
        now: float,
    ) -> list[JobPosition]:
        """All jobs by rank, see `rank_sort_key`."""
        return [JobPosition(job.uid) for job in sorted(waiting, key=rank_sort_key)]

    def may_request_preemption(self, request: PreemptionRequest, least_urgent_rank: int) -> bool:
        """Urgent jobs may once they have waited for `stop_after_s`, if there is any less urgent
        job; jobs that fit into their team's guarantee always may."""
        urgent = request.rank <= MAX_URGENT_RANK and least_urgent_rank > request.rank
        return request.guaranteed or (urgent and request.waited_s >= self._stop_after_s)

    def may_preempt(self, request: PreemptionRequest, running: RunningTasks) -> bool:
        """Urgent jobs preempt lower-ranked tasks, except those that are expected to end before a
        preemption would take effect. Jobs within a guarantee preempt recent tasks of teams over
        theirs, but none that are more urgent than they are: the order would give the freed
        capacity to the more urgent job again in every round."""
        if running.is_protected_by_age:
            return False
        if (
            request.rank <= MAX_URGENT_RANK
            and running.rank > request.rank
            and request.waited_s >= self._stop_after_s
            and running.left_s > self._stop_after_s
        ):
            return True
        return (
            request.guaranteed
            and running.recently_started
            and not running.within_guarantee
            and running.team_over_guarantee
            and running.team != request.team
            and running.rank >= request.rank
        )

    def preemption_key(self, running: RunningTasks) -> tuple[float, ...]:
        """The least urgent first, then jobs beyond their guarantee, then the youngest tasks."""
        return (-running.rank, running.within_guarantee, running.elapsed_s)

    def is_protected_by_age(self, assigned: AssignedTasks, now: float) -> bool:
        """Never: no task is due by age."""
        return False


class Ageing(Strict):
    """Strict order with a reserved share for aged tasks; see the module for the rules.

    `patience_s` is the waiting time after which the first task of a job of rank 0 is due, and
    `factor` its growth per rank. `floor` and `ceiling` bound the reserved share of the fleet.
    Capacity is reserved for a due task for at most `reserve_s` at a time.
    """

    uses_ageing = True

    def __init__(
        self,
        *,
        patience_s: float,
        factor: float,
        floor: float,
        ceiling: float,
        reserve_s: float,
        stop_after_s: float,
    ) -> None:
        super().__init__(stop_after_s)
        self._patience_s = patience_s
        self._factor = factor
        self._floor = floor
        self._ceiling = ceiling
        self._reserve_s = reserve_s

    def patience_s(self, rank: int) -> float:
        """Waiting time of a job of this rank per due task, in seconds."""
        return self._patience_s * self._factor**rank

    def tag(self, ready_at: float, rank: int, n: int) -> float:
        """Unix time at which the job's task after `n` others is due by age."""
        return ready_at + self.patience_s(rank) * (1 + n)

    def due_count(self, ready_at: float, rank: int, now: float) -> int:
        """Number of a job's tasks that are due by age; 0 if `now` is before `ready_at`, as it
        may be since clocks differ."""
        return max(0, math.floor((now - ready_at) / self.patience_s(rank)))

    def is_protected_by_age(self, assigned: AssignedTasks, now: float) -> bool:
        """Whether all tasks that the job was given so far are due by age."""
        due_count = self.due_count(assigned.ready_at, assigned.rank, now)
        return 0 < assigned.done_count + assigned.assigned_count <= due_count

    def order(
        self,
        waiting: Sequence[WaitingJob],
        assigned: Sequence[AssignedTasks],
        headroom: dict[str, TeamHeadroom],
        now: float,
    ) -> list[JobPosition]:
        """Due tasks by tag, within the reserved share; then all jobs by rank. See the module."""
        # Tasks of a large burst of urgent jobs become due as well. If they counted, they would
        # use up the share before older jobs, although the whole fleet is open to them anyway.
        placeable = [
            j for j in waiting if j.team in headroom and headroom[j.team].fits(j, _unit_size(j))
        ]
        top_rank = min((j.rank for j in placeable), default=0)
        urgent = sum(j.weight * j.open_task_count for j in placeable if j.rank <= MAX_URGENT_RANK)
        burst = top_rank <= MAX_URGENT_RANK and urgent >= self._ceiling
        due_entries = self._due_entries(waiting, assigned, headroom, now, top_rank, burst)
        entries = [
            JobPosition(
                job.uid, count, self._reservation_left_s(job, now) if job.rank > top_rank else 0.0
            )
            for job, count in due_entries.values()
        ]
        for job in sorted(waiting, key=rank_sort_key):
            count = due_entries[job.uid][1] if job.uid in due_entries else 0
            # Where the rest may run depends on where these run, so it waits for the next round.
            if count < job.open_task_count and not (count and job.zone_dependent):
                entries.append(JobPosition(job.uid))
        return entries

    def _due_entries(
        self,
        waiting: Sequence[WaitingJob],
        assigned: Sequence[AssignedTasks],
        headroom: dict[str, TeamHeadroom],
        now: float,
        top_rank: int,
        burst: bool = False,
    ) -> dict[str, tuple[WaitingJob, int]]:
        """Returns how many tasks of which jobs go before everything else, by job and in the
        order of their tags. `top_rank` is the most urgent rank of jobs within their team's limits,
        and `burst` says whether many urgent jobs wait."""
        heap = [
            (self.tag(job.ready_at, job.rank, job.served_task_count), job.uid, job)
            for job in waiting
            if self.due_count(job.ready_at, job.rank, now) > job.served_task_count
        ]
        if not heap:
            return {}
        heapq.heapify(heap)
        remaining_headroom = dict(headroom)
        assigned_due = self._assigned_due_tasks([h for h in assigned if h.rank > top_rank], now)
        selected: dict[str, tuple[WaitingJob, int]] = {}
        share: float | None = None
        used, i = 0.0, 0
        while heap:
            tag, uid, job = heapq.heappop(heap)
            if burst and job.rank > top_rank and now - tag < self.patience_s(job.rank):
                continue  # its later tasks yield as well
            count = _unit_size(job)
            team_headroom = remaining_headroom.get(job.team)
            if team_headroom is None or not team_headroom.fits(job, count):
                # It waits because of its team's limit and must not delay other teams.
                continue
            if share is None and job.rank > top_rank:
                overdue = (now - tag) / self.patience_s(job.rank)
                share = self._floor + (self._ceiling - self._floor) * min(1.0, overdue)
            while i < len(assigned_due) and assigned_due[i][0] <= tag:
                used += assigned_due[i][1]
                i += 1
            if share is not None and job.rank > top_rank:
                weight = job.weight * count
                if used > EPSILON and used + weight > share + EPSILON:
                    # Stop here: otherwise smaller tasks could overtake it every round.
                    break
                used += weight
            remaining_headroom[job.team] = team_headroom.minus(job, count)
            task_count = (selected[uid][1] if uid in selected else 0) + count
            selected[uid] = (job, task_count)
            next_tag = self.tag(job.ready_at, job.rank, job.served_task_count + task_count)
            if task_count < job.open_task_count and next_tag <= now:
                heapq.heappush(heap, (next_tag, uid, job))
        return selected

    def _assigned_due_tasks(
        self, assigned: Sequence[AssignedTasks], now: float
    ) -> list[tuple[float, float]]:
        """Returns (tag, weight) of the tasks that are assigned and due, the earliest tag first.
        An assigned task with a later tag than a waiting one has overtaken it, so it does not
        count against that one's share."""
        result: list[tuple[float, float]] = []
        for h in assigned:
            last = min(h.done_count + h.assigned_count, self.due_count(h.ready_at, h.rank, now))
            for n in range(h.done_count, last):
                result.append((self.tag(h.ready_at, h.rank, n), h.weight))
        result.sort()
        return result

    def _reservation_left_s(self, job: WaitingJob, now: float) -> float:
        """For how long capacity may still be reserved for the job's next task. Periods of
        `reserve_s` with and without a reservation alternate: run time estimates may be wrong, and a
        machine on which tasks do not end must not stay half empty forever."""
        if self._reserve_s <= 0:
            return 0.0
        overdue = now - self.tag(job.ready_at, job.rank, job.served_task_count)
        phase = overdue % (2 * self._reserve_s)
        return max(0.0, self._reserve_s - phase)
