"""Whether a failed task is its job's fault or its machine's, and how a mistaken job is retried.

The owner of a part keeps `Blame`, the leader `HeldBack`. No I/O and no clock.

A machine that is at fault fails tasks of every job, a mistaken job fails on every machine. So

- a job is taken for mistaken once its tasks have failed on several machines that are not at
  fault themselves, and none of them was ever done;
- a machine is taken for faulty once, since a task last succeeded there, several tries failed on
  it of jobs that are not mistaken for certain (some of their tasks were done), be it of one task:
  where a part had no other machine, the last task of a job was tried on a bad one for good;
- one is suspected if several jobs failed there that have failed nowhere else, in no other part
  either by what the leader says, and of which nothing is done. It gets no more tasks, and is not
  given up for that: tried elsewhere, those jobs will accuse it or clear it.

If more machines than a share of a part's look like that at once, something that they have in
common is at fault: none of them is given up.
"""

# kind: decisions

import math
from collections.abc import Callable, Collection, Iterable
from typing import NamedTuple

# So many machines, or tasks, make a case. One may be bad luck.
SEVERAL = 2
# More of a part's machines than this are not faulty each by itself at the same time.
SHARED_OUTAGE = 0.25


class FailingJob(NamedTuple):
    """A job as an owner tells of it."""

    uid: str
    machines: int  # on which its tasks failed
    tries: int  # that failed


class _Job:
    __slots__ = ("failed_on", "tries")

    def __init__(self) -> None:
        self.failed_on: set[str] = set()
        self.tries = 0


class FaultAttribution:
    """What has failed where in one part, as its owner saw it."""

    def __init__(self, done: Callable[[str], bool]) -> None:
        """`done`: whether any task of a job was ever done, as far as is known."""
        self._done = done
        self._jobs: dict[str, _Job] = {}
        # Machine -> job -> how often its tasks failed there since one last succeeded there.
        self._since: dict[str, dict[str, int]] = {}
        self._elsewhere: frozenset[str] = frozenset()

    def known(self, mistaken: Collection[str]) -> bool:
        """Jobs that fail in other parts too; whether that is news."""
        before, self._elsewhere = self._elsewhere, frozenset(mistaken)
        return before != self._elsewhere

    def succeeded(self, uid: str, machine: str) -> bool:
        """Whether that changes anything: nearly always nothing had failed."""
        job = self._jobs.pop(uid, None)
        since = self._since.pop(machine, None)
        return job is not None or since is not None

    def failed(self, uid: str, machine: str, machines_of_task: int) -> None:
        """`machines_of_task`: on how many it has failed by now, with this one. A task that
        fails on many machines of a job that is partly done is at fault itself."""
        job = self._jobs.setdefault(uid, _Job())
        job.failed_on.add(machine)
        job.tries += 1
        if machines_of_task <= SEVERAL:
            since = self._since.setdefault(machine, {})
            since[uid] = since.get(uid, 0) + 1

    def keep(self, uids: Collection[str], machines: Collection[str]) -> None:
        """Forgets all others: jobs that are over, machines that are gone."""
        self._jobs = {uid: job for uid, job in self._jobs.items() if uid in uids}
        self._since = {
            name: {uid: tries for uid, tries in jobs.items() if uid in uids}
            for name, jobs in self._since.items()
            if name in machines
        }

    def _looks_faulty(self, machine: str) -> bool:
        return self._of_others(machine) >= SEVERAL or self._alone(machine) >= SEVERAL

    def _of_others(self, machine: str) -> int:
        """Tries that failed there, of jobs that are sound."""
        jobs = self._since.get(machine, {})
        return sum(tries for uid, tries in jobs.items() if self._done(uid))

    def _alone(self, machine: str) -> int:
        """Jobs that failed there and, so far, nowhere else."""
        return sum(
            uid not in self._elsewhere
            and not self._done(uid)
            and (job := self._jobs.get(uid)) is not None
            and job.failed_on == {machine}
            for uid in self._since.get(machine, {})
        )

    def accused(self, machines: int) -> tuple[set[str], set[str]]:
        """Machines of a part of so many: those that are to be given up, and those that are
        only suspected. (After all controllers had ended, the first tries of two mistaken jobs on
        the same good machine had it given up.)"""
        found = {name for name in self._since if self._looks_faulty(name)}
        if len(found) > max(1, int(SHARED_OUTAGE * machines)):
            return set(), set()
        faulty = {name for name in found if self._of_others(name) >= SEVERAL}
        return faulty, found - faulty

    def mistaken(self, uid: str) -> bool:
        """By this part's evidence alone, so that a leader's word does not prove itself."""
        job = self._jobs.get(uid)
        if job is None or len(job.failed_on) < SEVERAL or self._done(uid):
            return False
        sound = sum(not self._looks_faulty(name) for name in job.failed_on)
        return sound >= SEVERAL

    def failing(self) -> list[FailingJob]:
        return [
            FailingJob(uid, len(job.failed_on), job.tries)
            for uid, job in self._jobs.items()
            if self.mistaken(uid)
        ]


class _Held:
    __slots__ = ("machines", "probes", "tried_at", "tries")

    def __init__(self, now: float) -> None:
        self.tried_at = now
        self.machines = self.tries = self.probes = 0


class RetryBackoff:
    """Jobs taken for mistaken: one task of each is tried now and then, ever more seldom, since
    it may have been the machines' fault after all. They are never given up."""

    def __init__(self, first_s: float, longest_s: float) -> None:
        self._first_s, self._longest_s = first_s, longest_s
        self._jobs: dict[str, _Held] = {}

    def on_failing(self, failing: Iterable[FailingJob], now: float) -> list[FailingJob]:
        """What owners say of their parts; those that are held back from now on."""
        new: list[FailingJob] = []
        tries: dict[str, tuple[int, int]] = {}
        for uid, machines, count in failing:
            m, n = tries.get(uid, (0, 0))
            tries[uid] = m + machines, n + count
        for uid, (machines, count) in tries.items():
            held = self._jobs.get(uid)
            if held is None:
                held = self._jobs[uid] = _Held(now)
                new.append(FailingJob(uid, machines, count))
            if count > held.tries:
                held.tried_at = now
            held.machines, held.tries = max(held.machines, machines), max(held.tries, count)
        return new

    def keep(self, mistaken: Callable[[str], bool]) -> None:
        """Forgets jobs that are over or of which a task has succeeded."""
        self._jobs = {uid: held for uid, held in self._jobs.items() if mistaken(uid)}

    def __contains__(self, uid: object) -> bool:
        return uid in self._jobs

    def __len__(self) -> int:
        return len(self._jobs)

    def newest(self, most: int) -> list[str]:
        return list(self._jobs)[-most:]

    def wait_s(self, uid: str, now: float) -> float:
        """Until one of its tasks may be tried again; 0: now, also if it is not held back."""
        held = self._jobs.get(uid)
        if held is None:
            return 0.0
        return max(0.0, held.tried_at + self.pause_s(held.probes) - now)

    def pause_s(self, probes: int) -> float:
        return min(self._longest_s, self._first_s * math.pow(2.0, min(probes, 30)))

    def on_retry(self, uid: str, now: float) -> None:
        """One of its tasks is given to a part."""
        held = self._jobs.get(uid)
        if held is not None:
            held.tried_at, held.probes = now, held.probes + 1

    def describe(self, now: float) -> str:
        return ", ".join(
            f"{uid} (failed {held.tries} times on {held.machines} machines, none done, "
            f"next try in {self.wait_s(uid, now):.0f} s)"
            for uid, held in sorted(self._jobs.items())
        )
