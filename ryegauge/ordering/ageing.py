"""Strict order by rank, beside a reserved share for aged work.

Every task of a job has a *tag*, the moment when it is due by age alone:

    tag(job, n) = ready_at + patience(rank) * (1 + n),   n = 0, 1, 2, ...
    patience(rank) = patience_s * factor ** rank

where n counts the job's tasks that are done or held by a part. Due tasks go first, in the
order of their tags, as long as what is held by due tasks with earlier tags stays below the
reserved share of the fleet; that share grows from the floor to the ceiling while the first
of them waits for another patience. Due tasks of the highest rank that waits keep their place
in this order, and are not counted: nobody above them could be crowded out. Everything else
goes strictly by rank. While a burst of urgent work waits, as much as the largest share or more,
other aged work yields, each task for at most one more patience after its tag.

All of it follows from the job book and the time of day: no record, no memory. A task that
was stopped lowers n again, so its tag is what it was; what is done stays counted. The
tags are those of start-time fair queueing with one task as the unit of service.
"""

import heapq
import math
from collections.abc import Sequence

from ryegauge.ordering.model import (
    AssignedTasks,
    PreemptionRequest,
    QueueEntry,
    RunningTasks,
    TeamHeadroom,
    WaitingJob,
)

EPSILON = 1e-9

# Jobs of these ranks (critical, high) have lower-ranked work stopped when they wait.
URGENT = 1


def by_rank(job: WaitingJob) -> tuple[int, bool, float, float, str]:
    """Rank alone decides between ranks. Among equals: a guarantee, then the latest finish,
    then who was ready first."""
    return (job.rank, not job.within_guarantee, job.finish, job.ready_at, job.uid)


def _unit(job: WaitingJob) -> int:
    """A gang is one unit: a part of it is of no use."""
    return job.open_task_count if job.whole else 1


class Strict:
    """By rank alone: routine work may wait forever. The baseline of the experiments."""

    preempts_long_running = True
    preemption_pause_reports = 2.0
    uses_ageing = False

    def __init__(self, stop_after_s: float) -> None:
        self._stop_after_s = stop_after_s

    def order(
        self,
        waiting: Sequence[WaitingJob],
        holding: Sequence[AssignedTasks],
        headroom: dict[str, TeamHeadroom],
        now: float,
    ) -> list[QueueEntry]:
        return [QueueEntry(job.uid) for job in sorted(waiting, key=by_rank)]

    def may_request_preemption(self, claim: PreemptionRequest, lowest: int) -> bool:
        urgent = claim.rank <= URGENT and lowest > claim.rank
        return claim.guaranteed or (urgent and claim.waited_s >= self._stop_after_s)

    def may_preempt(self, claim: PreemptionRequest, running: RunningTasks) -> bool:
        """Urgent work stops lower work, but not what ends sooner than a stop takes. A
        guarantee stops what others run beyond theirs if that has just begun, and does not
        go before it: else the room would go to the higher rank again, round after round."""
        if running.is_protected_by_age:
            return False
        if (
            claim.rank <= URGENT
            and running.rank > claim.rank
            and claim.waited_s >= self._stop_after_s
            and running.left_s > self._stop_after_s
        ):
            return True
        return (
            claim.guaranteed
            and running.recent
            and not running.within_guarantee
            and running.beyond
            and running.team != claim.team
            and running.rank >= claim.rank
        )

    def preemption_key(self, running: RunningTasks) -> tuple[float, ...]:
        return (-running.rank, running.within_guarantee, running.elapsed_s)

    def is_protected_by_age(self, holding: AssignedTasks, now: float) -> bool:
        return False


class Ageing(Strict):
    uses_ageing = True

    def __init__(
        self,
        *,
        patience_s: float,
        factor: float,
        floor: float,
        ceiling: float,
        hold_s: float,
        stop_after_s: float,
    ) -> None:
        super().__init__(stop_after_s)
        self._patience_s = patience_s
        self._factor = factor
        self._floor = floor
        self._ceiling = ceiling
        self._hold_s = hold_s

    def patience_s(self, rank: int) -> float:
        return self._patience_s * self._factor**rank

    def tag(self, ready_at: float, rank: int, n: int) -> float:
        return ready_at + self.patience_s(rank) * (1 + n)

    def due(self, ready_at: float, rank: int, now: float) -> int:
        """How many of a job's tasks are due by age; 0 if the clock stands before it."""
        return max(0, math.floor((now - ready_at) / self.patience_s(rank)))

    def is_protected_by_age(self, holding: AssignedTasks, now: float) -> bool:
        due = self.due(holding.ready_at, holding.rank, now)
        return 0 < holding.done + holding.held <= due

    def order(
        self,
        waiting: Sequence[WaitingJob],
        holding: Sequence[AssignedTasks],
        headroom: dict[str, TeamHeadroom],
        now: float,
    ) -> list[QueueEntry]:
        # Urgent work in a flood comes to be due as well. Counted, it would use the share up
        # before older work, although it has all of the fleet besides.
        able = [j for j in waiting if j.team in headroom and headroom[j.team].fits(j, _unit(j))]
        top = min((j.rank for j in able), default=0)
        urgent = sum(j.weight * j.open_task_count for j in able if j.rank <= URGENT)
        burst = top <= URGENT and urgent >= self._ceiling
        first = self._aged_first(waiting, holding, headroom, now, top, burst)
        turns = [
            QueueEntry(job.uid, count, self._hold_left_s(job, now) if job.rank > top else 0.0)
            for job, count in first.values()
        ]
        for job in sorted(waiting, key=by_rank):
            count = first[job.uid][1] if job.uid in first else 0
            # Where the rest may run depends on where these go: it follows next round.
            if count < job.open_task_count and not (count and job.zoned):
                turns.append(QueueEntry(job.uid))
        return turns

    def _aged_first(
        self,
        waiting: Sequence[WaitingJob],
        holding: Sequence[AssignedTasks],
        headroom: dict[str, TeamHeadroom],
        now: float,
        top: int,
        burst: bool = False,
    ) -> dict[str, tuple[WaitingJob, int]]:
        """Tasks that go before everything else, by job, in the order of their tags."""
        heap = [
            (self.tag(job.ready_at, job.rank, job.served), job.uid, job)
            for job in waiting
            if self.due(job.ready_at, job.rank, now) > job.served
        ]
        if not heap:
            return {}
        heapq.heapify(heap)
        left = dict(headroom)
        held = self._due_held([h for h in holding if h.rank > top], now)
        chosen: dict[str, tuple[WaitingJob, int]] = {}
        share: float | None = None
        used, i = 0.0, 0
        while heap:
            tag, uid, job = heapq.heappop(heap)
            if burst and job.rank > top and now - tag < self.patience_s(job.rank):
                continue  # so are its later tasks
            count = _unit(job)
            room = left.get(job.team)
            if room is None or not room.fits(job, count):
                # Its team's limit keeps it waiting: that is not for others to wait for.
                continue
            if share is None and job.rank > top:
                overdue = (now - tag) / self.patience_s(job.rank)
                share = self._floor + (self._ceiling - self._floor) * min(1.0, overdue)
            while i < len(held) and held[i][0] <= tag:
                used += held[i][1]
                i += 1
            if share is not None and job.rank > top:
                weight = job.weight * count
                if used > EPSILON and used + weight > share + EPSILON:
                    # A smaller one behind must not overtake it again and again.
                    break
                used += weight
            left[job.team] = room.less(job, count)
            taken = (chosen[uid][1] if uid in chosen else 0) + count
            chosen[uid] = (job, taken)
            following = self.tag(job.ready_at, job.rank, job.served + taken)
            if taken < job.open_task_count and following <= now:
                heapq.heappush(heap, (following, uid, job))
        return chosen

    def _due_held(self, holding: Sequence[AssignedTasks], now: float) -> list[tuple[float, float]]:
        """(tag, weight) of the tasks that are held and due, the earliest tag first. What
        holds room with a later tag than one that waits has overtaken it, and counts
        against nobody who came before."""
        result: list[tuple[float, float]] = []
        for h in holding:
            last = min(h.done + h.held, self.due(h.ready_at, h.rank, now))
            for n in range(h.done, last):
                result.append((self.tag(h.ready_at, h.rank, n), h.weight))
        result.sort()
        return result

    def _hold_left_s(self, job: WaitingJob, now: float) -> float:
        """Room is held for a bounded time, then for as long not: estimates may be wrong,
        and a machine that never comes free must not stand half empty for good."""
        if self._hold_s <= 0:
            return 0.0
        overdue = now - self.tag(job.ready_at, job.rank, job.served)
        phase = overdue % (2 * self._hold_s)
        return max(0.0, self._hold_s - phase)
