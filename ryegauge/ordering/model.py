"""The interface of scheduling policies and the values they work on. Points in time are Unix times
in seconds; names that end in `_s` are durations in seconds."""

from collections.abc import Sequence
from typing import NamedTuple, Protocol


class WaitingJob(NamedTuple):
    """A job with open tasks that wait for nothing but capacity."""

    uid: str
    team: str
    # Index of its priority, or of the most urgent job that needs it; 0 is the most urgent.
    rank: int
    latest_finish: float  # latest finish that still meets its deadline
    submitted_at: float
    ready_at: float  # when the last job that it needs was done, else its submission
    within_guarantee: bool  # fits into its team's guarantee together with the team's earlier jobs
    open_task_count: int  # number of tasks neither done nor assigned to a shard
    served_task_count: int  # number of tasks done or assigned to a shard
    # The largest share of the fleet's CPUs, memory or GPUs that one task takes.
    weight: float
    cpus: float  # per task, as `gpus`
    gpus: float
    starts_together: bool = False  # all of its tasks start together
    standing: bool = False  # a service: its tasks never end by themselves
    zone_dependent: bool = False  # where a task may run depends on where the others run


class AssignedTasks(NamedTuple):
    """The tasks of one job that are assigned to shards, running or about to start."""

    rank: int  # as in WaitingJob, also `ready_at` and `weight`
    ready_at: float
    done_count: int  # number of the job's tasks that are done
    assigned_count: int  # number of its tasks that are assigned
    weight: float


class JobPosition(NamedTuple):
    """A position in the order of jobs. A job may have two: one for some of its tasks and a later
    one for the rest."""

    uid: str
    max_tasks: int | None = None  # maximum number of tasks at this position; None: all open ones
    # For how long capacity may be reserved for it if there is none now; 0: not at all.
    reserve_s: float = 0.0


class PreemptionRequest(NamedTuple):
    """A job that found no capacity, on whose behalf others might be preempted."""

    team: str
    rank: int
    # Within its team's guarantee, and has waited for longer than booting a machine takes.
    guaranteed: bool
    waited_s: float


class RunningTasks(NamedTuple):
    """Tasks of one job on one machine that might be preempted."""

    team: str
    rank: int
    within_guarantee: bool  # the job is within its team's guarantee
    team_over_guarantee: bool  # the team uses more than its guarantee
    recently_started: bool  # has just begun, and can still meet its deadline on a new machine
    elapsed_s: float
    left_s: float  # expected time until it ends
    is_protected_by_age: bool = False  # was given its capacity because of its age


class TeamHeadroom(NamedTuple):
    """What a team may still use within its limits."""

    cpus: float
    gpus: float

    def fits(self, job: WaitingJob, count: int) -> bool:
        """Whether `count` more tasks of the job are within the limits."""
        return job.cpus * count <= self.cpus + 1e-6 and job.gpus * count <= self.gpus + 1e-6

    def minus(self, job: WaitingJob, count: int) -> "TeamHeadroom":
        """What is left after `count` more tasks of the job."""
        return TeamHeadroom(self.cpus - job.cpus * count, self.gpus - job.gpus * count)


class Policy(Protocol):
    """Decides the order of jobs and which running tasks may be preempted."""

    # Whether tasks may be preempted that have run for a while; otherwise only recent ones.
    preempts_long_running: bool
    # Minimum time between preemptions, in multiples of the longest regular gap between reports.
    preemption_pause_reports: float
    # Whether the policy uses `AssignedTasks` and `WaitingJob.weight`. If so, the times at which
    # tasks end are recorded.
    uses_ageing: bool

    def order(
        self,
        waiting: Sequence[WaitingJob],
        assigned: Sequence[AssignedTasks],
        headroom: dict[str, TeamHeadroom],
        now: float,
    ) -> list[JobPosition]:
        """Returns the order in which the jobs get capacity, the first one first. `headroom` maps
        team names to what they may still use; it is not modified. `now` is a Unix time."""
        ...

    def may_request_preemption(self, request: PreemptionRequest, least_urgent_rank: int) -> bool:
        """Whether a job may have others preempted at all. `least_urgent_rank` is the rank of the
        least urgent live job."""
        ...

    def may_preempt(self, request: PreemptionRequest, running: RunningTasks) -> bool:
        """Whether these tasks may be preempted for this job."""
        ...

    def preemption_key(self, running: RunningTasks) -> tuple[float, ...]:
        """Sort key of tasks that may be preempted: the lowest is preempted first."""
        ...

    def is_protected_by_age(self, assigned: AssignedTasks, now: float) -> bool:
        """Whether a job holds no more tasks than its age entitles it to."""
        ...
