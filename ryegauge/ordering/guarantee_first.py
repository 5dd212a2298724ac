"""The order of old: work within its team's guarantee first, whatever its priority.

Nothing ages. Stopping others for whatever waits lost more than it gained
(docs/design.md): priority stops others from two steps down, a guarantee once its job has
waited, and only what has just begun is stopped.
"""

from collections.abc import Sequence

from ryegauge.ordering.model import (
    AssignedTasks,
    PreemptionRequest,
    QueueEntry,
    RunningTasks,
    TeamHeadroom,
    WaitingJob,
)

STEPS = 2


class GuaranteeFirst:
    preempts_long_running = False
    preemption_pause_reports = 1.0
    uses_ageing = False

    def order(
        self,
        waiting: Sequence[WaitingJob],
        holding: Sequence[AssignedTasks],
        headroom: dict[str, TeamHeadroom],
        now: float,
    ) -> list[QueueEntry]:
        ranked = sorted(
            waiting, key=lambda j: (not j.within_guarantee, j.rank, j.finish, j.submitted_at, j.uid)
        )
        return [QueueEntry(job.uid) for job in ranked]

    def may_request_preemption(self, claim: PreemptionRequest, lowest: int) -> bool:
        return claim.guaranteed or lowest >= claim.rank + STEPS

    def may_preempt(self, claim: PreemptionRequest, running: RunningTasks) -> bool:
        lower = running.rank >= claim.rank + STEPS
        yields = claim.guaranteed and running.team != claim.team and running.beyond
        return (lower or yields) and not running.within_guarantee

    def preemption_key(self, running: RunningTasks) -> tuple[float, ...]:
        return (running.elapsed_s,)

    def is_protected_by_age(self, holding: AssignedTasks, now: float) -> bool:
        return False
