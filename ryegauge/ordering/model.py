"""What a policy is asked with and what it says. Times are seconds of the time of day."""

from collections.abc import Sequence
from typing import NamedTuple, Protocol


class WaitingJob(NamedTuple):
    """A job with open tasks that wait for nothing but room."""

    uid: str
    team: str
    rank: int  # of its priority or of any job that needs it; the most urgent is 0
    finish: float  # latest finish
    submitted_at: float
    ready_at: float  # when the last job that it needs was done, else its submission
    within_guarantee: bool  # fits into its team's guarantee with the team's earlier jobs
    open_task_count: int  # tasks neither done nor held by a part
    served: int  # tasks done or held by a part
    # The largest share of the fleet's CPUs, memory or cards that one task takes.
    weight: float
    cpus: float  # of one task, as `gpus`
    gpus: float
    whole: bool = False  # all of its tasks start together
    standing: bool = False
    zoned: bool = False  # where a task may run depends on where the others are


class AssignedTasks(NamedTuple):
    """Tasks of one job that parts hold: running, or on their way."""

    rank: int
    ready_at: float
    done: int
    held: int
    weight: float


class QueueEntry(NamedTuple):
    """A job's turn. The same job may come twice: for some of its tasks, then the rest."""

    uid: str
    most: int | None = None  # tasks at most in this turn; None: all that are open
    # If it finds no room, some may be held free for it for so long; 0: none.
    hold_s: float = 0.0


class PreemptionRequest(NamedTuple):
    """A job that found no room, as far as it may ask for others to be stopped."""

    team: str
    rank: int
    # Within its team's guarantee, and has waited for longer than boots explain.
    guaranteed: bool
    waited_s: float


class RunningTasks(NamedTuple):
    """Tasks of one job on one machine that might be stopped for others."""

    team: str
    rank: int
    within_guarantee: bool
    beyond: bool  # its team uses more than its guarantee
    recent: bool  # has just begun, and has slack for another run on a new machine
    elapsed_s: float
    left_s: float
    is_protected_by_age: bool = False  # was given its room for its age


class TeamHeadroom(NamedTuple):
    """What a team may still use."""

    cpus: float
    gpus: float

    def fits(self, job: WaitingJob, count: int) -> bool:
        return job.cpus * count <= self.cpus + 1e-6 and job.gpus * count <= self.gpus + 1e-6

    def less(self, job: WaitingJob, count: int) -> "TeamHeadroom":
        return TeamHeadroom(self.cpus - job.cpus * count, self.gpus - job.gpus * count)


class Policy(Protocol):
    # Whether work that is well under way may be stopped too.
    preempts_long_running: bool
    # Pause between stops for others, in the longest ordinary pauses between reports.
    preemption_pause_reports: float
    # Whether `Holding` and `Waiting.weight` are looked at, and ends are recorded.
    uses_ageing: bool

    def order(
        self,
        waiting: Sequence[WaitingJob],
        holding: Sequence[AssignedTasks],
        headroom: dict[str, TeamHeadroom],
        now: float,
    ) -> list[QueueEntry]:
        """Turns, the first goes first. `spare` is by team and is left as it is."""
        ...

    def may_request_preemption(self, claim: PreemptionRequest, lowest: int) -> bool:
        """Whether a job may have others stopped at all; `lowest` is the rank of the least
        urgent job there is."""
        ...

    def may_preempt(self, claim: PreemptionRequest, running: RunningTasks) -> bool: ...

    def preemption_key(self, running: RunningTasks) -> tuple[float, ...]:
        """The lowest is stopped first."""
        ...

    def is_protected_by_age(self, holding: AssignedTasks, now: float) -> bool:
        """Whether a job holds no more than its age gives it a right to."""
        ...
