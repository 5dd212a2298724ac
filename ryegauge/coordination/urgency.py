"""How urgent the jobs in the replica are, taking into account the jobs that depend on them."""

from collections.abc import Iterable

from ryegauge.bookkeeping.state_replica import Job, StateReplica
from ryegauge.config import Settings
from ryegauge.coordination.demands import latest_finish
from ryegauge.protocol.cloud import MachineType
from ryegauge.protocol.jobs import PRIORITIES
from ryegauge.scheduling.estimates import Estimates
from ryegauge.scheduling.pipelines import Urgency, propagate_back


class Urgencies:
    """The urgencies of jobs within one planning round; each is computed once."""

    def __init__(
        self,
        replica: StateReplica,
        settings: Settings,
        estimates: Estimates,
        types: Iterable[MachineType],
    ) -> None:
        self._replica = replica
        self._objectives = settings.settings.objectives
        self._estimates = estimates
        self._fetch_gb_per_s = min((t.fetch_gb_per_s for t in types), default=1.0)
        # Time from the last end in a stage to the first start in the next: the end is reported,
        # written and read, the new tasks are assigned, and their start is sent.
        self._handover_s = settings.report_gap_s
        self._computed: dict[str, Urgency] = {}

    def urgency_of(self, job: Job) -> Urgency:
        """The latest finish and the rank of a job, its own or those that its dependents impose."""
        uid = job.spec.uid
        if (computed := self._computed.get(uid)) is not None:
            return computed
        return propagate_back(
            uid, self._own_urgency, self._dependents, self._path_s, self._computed
        )

    def latest_finish(self, job: Job) -> float:
        """When the job has to be finished at the latest, as Unix time in seconds."""
        return self.urgency_of(job).latest_finish

    def rank(self, job: Job) -> int:
        """The rank of the job's priority or of its most urgent dependent's; 0 is most urgent."""
        return self.urgency_of(job).rank

    def _own_urgency(self, uid: str) -> Urgency:
        job = self._replica.jobs[uid]
        finish = latest_finish(job, self._objectives, self._run_s(job))
        return Urgency(finish, PRIORITIES.index(job.spec.priority))

    def _dependents(self, uid: str) -> Iterable[str]:
        jobs = self._replica.jobs
        return (
            name for name in self._replica.dependents.get(uid, ()) if not jobs[name].is_terminal
        )

    def _run_s(self, job: Job) -> float:
        return self._estimates.run_s(job.spec.job_class, job.spec.estimate_s)

    def _path_s(self, uid: str) -> float:
        job = self._replica.jobs[uid]
        return self._run_s(job) + job.spec.image_gb / self._fetch_gb_per_s + self._handover_s
