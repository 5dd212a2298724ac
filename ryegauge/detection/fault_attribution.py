"""Decides whether a failed task is its job's fault or its machine's, and when a failing job is
retried.

The owner of a shard keeps `FaultAttribution`, the leader `RetryBackoff`. No I/O; times are passed
in, in seconds.

A faulty machine fails tasks of every job; a failing job fails on every machine. So

- a job counts as failing once its tasks have failed on several machines that are not faulty
  themselves, and none of its tasks has ever succeeded;
- a machine counts as faulty once, since a task last succeeded there, several attempts failed on
  it of jobs that are certainly sound (some of their tasks have succeeded), even if all were
  attempts of one task. Otherwise, in a shard with a single machine, the last task of a job would
  be retried on a faulty one for good;
- a machine is suspected if several jobs failed there that have failed on no other machine, nor
  in another shard by the leader's list, and of which no task has succeeded. It gets no new tasks,
  but is not released for that: further attempts of those jobs elsewhere confirm or clear it.

If more than a certain share of a shard's machines look faulty at once, the cause is something
that they have in common, and none of them is released.
"""

# kind: decisions

import math
from collections.abc import Callable, Collection, Iterable
from typing import NamedTuple

# How many machines, jobs or attempts are evidence; a single failure may be chance.
MIN_EVIDENCE = 2
# Share of a shard's machines above which simultaneous faults are taken for a common cause.
COMMON_CAUSE_SHARE = 0.25


class FailingJob(NamedTuple):
    """A failing job, as the owner of a shard reports it."""

    uid: str
    machines: int  # machines on which its tasks failed
    failed_attempts: int  # failed attempts


class _JobFailures:
    """The failures of one job in this shard."""

    __slots__ = ("failed_attempts", "failed_on")

    def __init__(self) -> None:
        self.failed_on: set[str] = set()
        self.failed_attempts = 0


class FaultAttribution:
    """Tracks which tasks failed on which machines of one shard."""

    def __init__(self, has_done_tasks: Callable[[str], bool]) -> None:
        """`has_done_tasks`: whether any task of a job is known to have succeeded."""
        self._has_done_tasks = has_done_tasks
        self._jobs: dict[str, _JobFailures] = {}
        # Machine -> job -> its failed attempts there since a task last succeeded there.
        self._failures_since_success: dict[str, dict[str, int]] = {}
        self._failing_elsewhere: frozenset[str] = frozenset()

    def set_failing_elsewhere(self, uids: Collection[str]) -> bool:
        """Takes the leader's list of failing jobs, this shard's included; returns whether it has
        changed."""
        before, self._failing_elsewhere = self._failing_elsewhere, frozenset(uids)
        return before != self._failing_elsewhere

    def record_success(self, uid: str, machine: str) -> bool:
        """A task succeeded. Returns whether failures of its job or machine were cleared; nearly
        always there were none."""
        job = self._jobs.pop(uid, None)
        failures = self._failures_since_success.pop(machine, None)
        return job is not None or failures is not None

    def record_failure(self, uid: str, machine: str, machines_of_task: int) -> None:
        """A task failed. `machines_of_task`: the machines on which it has failed so far, this one
        included. A task that fails on many machines, of a job that is partly done, is at fault
        itself and does not count against the machine."""
        job = self._jobs.setdefault(uid, _JobFailures())
        job.failed_on.add(machine)
        job.failed_attempts += 1
        if machines_of_task <= MIN_EVIDENCE:
            failures = self._failures_since_success.setdefault(machine, {})
            failures[uid] = failures.get(uid, 0) + 1

    def keep(self, uids: Collection[str], machines: Collection[str]) -> None:
        """Forgets all other jobs and machines, which have ended or were removed."""
        self._jobs = {uid: job for uid, job in self._jobs.items() if uid in uids}
        self._failures_since_success = {
            name: {uid: failed_attempts for uid, failed_attempts in jobs.items() if uid in uids}
            for name, jobs in self._failures_since_success.items()
            if name in machines
        }

    def _looks_faulty(self, machine: str) -> bool:
        """Whether the machine counts as faulty or suspected."""
        return (
            self._sound_job_failures(machine) >= MIN_EVIDENCE
            or self._jobs_failing_only_here(machine) >= MIN_EVIDENCE
        )

    def _sound_job_failures(self, machine: str) -> int:
        """Failed attempts there of jobs that are certainly sound."""
        jobs = self._failures_since_success.get(machine, {})
        return sum(
            failed_attempts for uid, failed_attempts in jobs.items() if self._has_done_tasks(uid)
        )

    def _jobs_failing_only_here(self, machine: str) -> int:
        """How many jobs failed there, have so far failed nowhere else and never succeeded."""
        return sum(
            uid not in self._failing_elsewhere
            and not self._has_done_tasks(uid)
            and (job := self._jobs.get(uid)) is not None
            and job.failed_on == {machine}
            for uid in self._failures_since_success.get(machine, {})
        )

    def classify_machines(self, machines: int) -> tuple[set[str], set[str]]:
        """The faulty machines, which are to be released, and the suspected ones, in a shard with
        this number of machines. Both are empty if more than `COMMON_CAUSE_SHARE` of the machines,
        and more than one, look faulty at once.

        Suspected ones are kept: after all controllers had restarted, the first attempts of two
        failing jobs on the same good machine caused its release."""
        accused = {name for name in self._failures_since_success if self._looks_faulty(name)}
        if len(accused) > max(1, int(COMMON_CAUSE_SHARE * machines)):
            return set(), set()
        faulty = {name for name in accused if self._sound_job_failures(name) >= MIN_EVIDENCE}
        return faulty, accused - faulty

    def is_failing(self, uid: str) -> bool:
        """Whether a job fails on every machine, by the evidence of this shard alone. The leader's
        list does not count, since it is itself built from these answers."""
        job = self._jobs.get(uid)
        if job is None or len(job.failed_on) < MIN_EVIDENCE or self._has_done_tasks(uid):
            return False
        sound = sum(not self._looks_faulty(name) for name in job.failed_on)
        return sound >= MIN_EVIDENCE

    def failing_jobs(self) -> list[FailingJob]:
        """The failing jobs of this shard, to be reported to the leader."""
        return [
            FailingJob(uid, len(job.failed_on), job.failed_attempts)
            for uid, job in self._jobs.items()
            if self.is_failing(uid)
        ]


class _RetryState:
    """The retry state of one failing job."""

    __slots__ = ("failed_attempts", "last_try_at", "machines", "retries")

    def __init__(self, now: float) -> None:
        self.last_try_at = now
        self.machines = self.failed_attempts = self.retries = 0


class RetryBackoff:
    """Failing jobs: a single task of each is retried, with exponentially growing pauses, since
    the machines may have been at fault after all. Retries never stop while the job is open."""

    def __init__(self, first_s: float, longest_s: float) -> None:
        """`first_s`: the pause before the first retry. `longest_s`: the longest pause."""
        self._first_s, self._longest_s = first_s, longest_s
        self._jobs: dict[str, _RetryState] = {}

    def on_failing(self, failing_jobs: Iterable[FailingJob], now: float) -> list[FailingJob]:
        """Takes what owners report of their shards; returns the jobs that newly enter backoff."""
        newly_failing: list[FailingJob] = []
        totals: dict[str, tuple[int, int]] = {}
        for uid, machines, count in failing_jobs:
            machine_sum, attempt_sum = totals.get(uid, (0, 0))
            totals[uid] = machine_sum + machines, attempt_sum + count
        for uid, (machines, count) in totals.items():
            state = self._jobs.get(uid)
            if state is None:
                state = self._jobs[uid] = _RetryState(now)
                newly_failing.append(FailingJob(uid, machines, count))
            if count > state.failed_attempts:
                state.last_try_at = now
            state.machines, state.failed_attempts = (
                max(state.machines, machines),
                max(state.failed_attempts, count),
            )
        return newly_failing

    def keep(self, is_failing: Callable[[str], bool]) -> None:
        """Forgets the jobs for which `is_failing` is false: those that have ended or of which a
        task has succeeded."""
        self._jobs = {uid: state for uid, state in self._jobs.items() if is_failing(uid)}

    def __contains__(self, uid: object) -> bool:
        return uid in self._jobs

    def __len__(self) -> int:
        return len(self._jobs)

    def newest(self, limit: int) -> list[str]:
        """At most `limit` jobs, those that entered backoff last."""
        return list(self._jobs)[-limit:]

    def wait_s(self, uid: str, now: float) -> float:
        """Seconds until one of its tasks may be retried; 0 also for a job not in backoff."""
        state = self._jobs.get(uid)
        if state is None:
            return 0.0
        return max(0.0, state.last_try_at + self.pause_s(state.retries) - now)

    def pause_s(self, retries: int) -> float:
        """The pause in seconds after so many retries."""
        return min(self._longest_s, self._first_s * math.pow(2.0, min(retries, 30)))

    def on_retry(self, uid: str, now: float) -> None:
        """One of its tasks was assigned to a shard, which counts as a retry."""
        state = self._jobs.get(uid)
        if state is not None:
            state.last_try_at, state.retries = now, state.retries + 1

    def describe(self, now: float) -> str:
        """All failing jobs, for the log."""
        return ", ".join(
            f"{uid} (failed {state.failed_attempts} times on {state.machines} machines, none done, "
            f"next retry in {self.wait_s(uid, now):.0f} s)"
            for uid, state in sorted(self._jobs.items())
        )
