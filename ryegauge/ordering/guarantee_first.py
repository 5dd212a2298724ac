"""The policy `settled`, the default: jobs within their team's guarantee go first, whatever their
priority.

There is no ageing. Preempting for every waiting job lost more work than it gained
(docs/design.md). So a job preempts tasks at least two priorities below its own, or, if it is
within its team's guarantee and has waited, tasks of teams over theirs; and only tasks that have
just begun are preempted.
"""

from collections.abc import Sequence

from ryegauge.ordering.model import (
    AssignedTasks,
    JobPosition,
    PreemptionRequest,
    RunningTasks,
    TeamHeadroom,
    WaitingJob,
)

# A job may preempt tasks whose priority is at least this many ranks below its own.
MIN_RANK_DISTANCE = 2


class GuaranteeFirst:
    """Guarantees first, then priority, then the latest finish."""

    preempts_long_running = False
    preemption_pause_reports = 1.0
    uses_ageing = False

    def order(
        self,
        waiting: Sequence[WaitingJob],
        assigned: Sequence[AssignedTasks],
        headroom: dict[str, TeamHeadroom],
        now: float,
    ) -> list[JobPosition]:
        """All jobs: guarantees first, then by rank, latest finish and submission."""
        ranked = sorted(
            waiting,
            key=lambda j: (not j.within_guarantee, j.rank, j.latest_finish, j.submitted_at, j.uid),
        )
        return [JobPosition(job.uid) for job in ranked]

    def may_request_preemption(self, request: PreemptionRequest, least_urgent_rank: int) -> bool:
        """Jobs that fit into their team's guarantee may, and those with a much less urgent live
        job."""
        return request.guaranteed or least_urgent_rank >= request.rank + MIN_RANK_DISTANCE

    def may_preempt(self, request: PreemptionRequest, running: RunningTasks) -> bool:
        """Preempts much less urgent tasks, and for a job that fits into its guarantee those of
        teams over theirs; never tasks within their team's guarantee."""
        less_urgent = running.rank >= request.rank + MIN_RANK_DISTANCE
        yields = request.guaranteed and running.team != request.team and running.team_over_guarantee
        return (less_urgent or yields) and not running.within_guarantee

    def preemption_key(self, running: RunningTasks) -> tuple[float, ...]:
        """The youngest first: it loses least."""
        return (running.elapsed_s,)

    def is_protected_by_age(self, assigned: AssignedTasks, now: float) -> bool:
        """Never: there is no ageing."""
        return False
