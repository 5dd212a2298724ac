"""Which machines of a shard get no tasks, since tasks failed there, and which jobs fail
everywhere."""

import logging
from collections.abc import Callable, Iterable

from ryegauge.bookkeeping.state_replica import StateReplica
from ryegauge.config import Settings
from ryegauge.coordination.owner_records import Machine, Task
from ryegauge.detection.fault_attribution import FailingJob, FaultAttribution

log = logging.getLogger(__name__)

# Longest pause, in leases, before a task that keeps failing is retried.
MAX_RETRY_PAUSE_LEASES = 4.0
MAX_FAILURES_COUNTED = 30  # for the pause, which doubles with each


class ShardFaults:
    """Collects the successes and failures of a shard's tasks. Times are in seconds of the
    controller's clock."""

    def __init__(
        self,
        replica: StateReplica,
        settings: Settings,
        machines: dict[str, Machine],
        now: float,
        on_change: Callable[[], None],
    ) -> None:
        """`machines` are those that the owner knows, by name; the owner keeps them current.
        `on_change` is called whenever the faulty or suspected machines change."""
        self._replica = replica
        self._workers = settings.settings.workers
        self._machines = machines
        self._on_change = on_change
        self._attribution = FaultAttribution(self._has_done_tasks)
        self.faulty: set[str] = set()  # machines that are to be released
        self.suspected: set[str] = set()  # machines that get no new tasks for now
        self._pruned_at = now

    def on_success(self, uid: str, machine: str) -> None:
        """A task of the job succeeded on the machine."""
        if self._attribution.record_success(uid, machine):
            self._classify_machines()

    def on_failure(self, task: Task, machine: str, now: float) -> None:
        """A task failed, by its own fault or its machine's. It is retried after growing pauses,
        on the same machine too. Without the pause, in a shard with a single machine, a task that
        fails everywhere was retried there every second and never seen to fail elsewhere."""
        task.failed_on.add(machine)
        task.failures += 1
        self._attribution.record_failure(task.key[0], machine, len(task.failed_on))
        self._classify_machines()
        report_s = self._workers.report_s
        pause_s = report_s * 2.0 ** min(task.failures, MAX_FAILURES_COUNTED) - report_s
        max_pause_s = MAX_RETRY_PAUSE_LEASES * self._workers.lease_s
        task.not_before = now + min(max_pause_s, pause_s)

    def on_failing_jobs(self, uids: Iterable[str]) -> None:
        """The newest failing jobs that the owners of any shards have reported to the leader."""
        if self._attribution.set_failing_elsewhere(frozenset(uids)):
            self._classify_machines()

    def is_failing(self, uid: str) -> bool:
        """Whether the job's tasks fail on sound machines too."""
        return self._attribution.is_failing(uid)

    def failing_jobs(self) -> list[FailingJob]:
        """The failing jobs."""
        return self._attribution.failing_jobs()

    def prune(self, now: float) -> None:
        """Once in a worker's lease, drops what is known of jobs and machines that are gone."""
        if now - self._pruned_at > self._workers.lease_s:
            self._pruned_at = now
            self._attribution.keep(self._replica.live, self._machines)
            self._classify_machines()

    def _has_done_tasks(self, uid: str) -> bool:
        """Whether any task of the job has succeeded, according to the replica."""
        job = self._replica.jobs.get(uid)
        return job is not None and job.done_count > 0

    def _classify_machines(self) -> None:
        """Updates which machines are faulty or suspected."""
        faulty, suspected = self._attribution.classify_machines(len(self._machines))
        if (faulty, suspected) == (self.faulty, self.suspected):
            return
        if new := faulty - self.faulty:
            log.info("faulty machines, to be given up: %s", ", ".join(sorted(new)))
        if new := suspected - self.suspected:
            log.info("suspected machines, no new tasks for now: %s", ", ".join(sorted(new)))
        self.faulty, self.suspected = faulty, suspected
        self._on_change()
