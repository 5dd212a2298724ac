"""How urgent the jobs in the book are, over the pipelines that they belong to."""

from collections.abc import Iterable

from ryegauge.bookkeeping.state_replica import Job, StateReplica
from ryegauge.config import Settings
from ryegauge.coordination.demands import latest_finish
from ryegauge.protocol.cloud import MachineType
from ryegauge.protocol.jobs import PRIORITIES
from ryegauge.scheduling.estimates import Estimates
from ryegauge.scheduling.pipelines import Urgency, propagate_back


class Urgencies:
    """Of one round: what has been worked out is kept."""

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
        # From the last end of a stage to the first start of the next: the end is
        # reported, written, read, and the start allotted and sent.
        self._handover_s = settings.report_gap_s
        self._known: dict[str, Urgency] = {}

    def of(self, job: Job) -> Urgency:
        uid = job.spec.uid
        if (known := self._known.get(uid)) is not None:
            return known
        return propagate_back(uid, self._own, self._after, self._path_s, self._known)

    def latest_finish(self, job: Job) -> float:
        return self.of(job).latest_finish

    def rank(self, job: Job) -> int:
        return self.of(job).rank

    def _own(self, uid: str) -> Urgency:
        job = self._replica.jobs[uid]
        finish = latest_finish(job, self._objectives, self._run_s(job))
        return Urgency(finish, PRIORITIES.index(job.spec.priority))

    def _after(self, uid: str) -> Iterable[str]:
        jobs = self._replica.jobs
        return (n for n in self._replica.dependents.get(uid, ()) if not jobs[n].is_terminal)

    def _run_s(self, job: Job) -> float:
        return self._estimates.run_s(job.spec.job_class, job.spec.estimate_s)

    def _path_s(self, uid: str) -> float:
        job = self._replica.jobs[uid]
        return self._run_s(job) + job.spec.image_gb / self._fetch_gb_per_s + self._handover_s
