"""Attribution of failures to jobs and machines, against a simple model and the injected faults."""

import random
from itertools import pairwise

import pytest

from ryegauge.detection.fault_attribution import (
    COMMON_CAUSE_SHARE,
    MIN_EVIDENCE,
    FailingJob,
    FaultAttribution,
    RetryBackoff,
)

Event = tuple[str, int, str, bool, int]  # job, task, machine, done, machines of the task


class Model:
    """The definitions, computed from scratch over all events."""

    def __init__(self, events: list[Event], elsewhere: set[str]) -> None:
        self.events = events
        self.elsewhere = elsewhere
        self.good = {uid for uid, _, _, done, _ in events if done}

    def failed_on(self, uid: str) -> set[str]:
        """The machines on which the job's tasks failed."""
        return {m for u, _, m, done, _ in self.events if u == uid and not done}

    def evidence(self, machine: str) -> tuple[bool, bool]:
        """Whether the machine is faulty, and whether it is suspected."""
        here = [e for e in self.events if e[2] == machine]
        last = max((i for i, e in enumerate(here) if e[3]), default=-1)
        since = [e for e in here[last + 1 :] if e[4] <= MIN_EVIDENCE]
        of_sound_jobs = [uid for uid, *_ in since if uid in self.good]
        failing_only_here = {
            uid
            for uid, *_ in since
            if uid not in self.good | self.elsewhere and self.failed_on(uid) == {machine}
        }
        return len(of_sound_jobs) >= MIN_EVIDENCE, len(failing_only_here) >= MIN_EVIDENCE

    def is_failing(self, uid: str) -> bool:
        """Whether the job fails on several machines that are not accused themselves."""
        if uid in self.good:
            return False
        return sum(not any(self.evidence(m)) for m in self.failed_on(uid)) >= MIN_EVIDENCE

    def classify_machines(self, machines: list[str]) -> tuple[set[str], set[str]]:
        """The faulty machines and the suspected ones."""
        accused = {m for m in machines if any(self.evidence(m))}
        if len(accused) > max(1, int(COMMON_CAUSE_SHARE * len(machines))):
            return set(), set()
        faulty = {m for m in accused if self.evidence(m)[0]}
        return faulty, accused - faulty


@pytest.mark.parametrize("seed", range(12))
def test_fault_attribution_against_the_definitions_and_the_truth(seed: int) -> None:
    rng = random.Random(seed)
    machines = [f"m-{n}" for n in range(24)]
    jobs = [f"wk-{n}" for n in range(30)]
    bad_jobs = set(rng.sample(jobs, seed % 5))
    bad_machines = set(rng.sample(machines, seed % 4))
    events: list[Event] = []
    done: set[str] = set()
    failed: dict[tuple[str, int], set[str]] = {}
    faults = FaultAttribution(done.__contains__)
    returned: set[str] = set()
    elsewhere: set[str] = set()
    for _ in range(700):
        if rng.random() < 0.05:  # the leader reports failures in other shards
            elsewhere = {uid for uid in bad_jobs if rng.random() < 0.5}
            faults.set_failing_elsewhere(elsewhere)
        uid, task = rng.choice(jobs), rng.randrange(6)
        if faults.is_failing(uid) and rng.random() < 0.9:
            continue
        failed_machines = failed.setdefault((uid, task), set())
        candidates = [m for m in machines if m not in returned | failed_machines] or machines
        machine = rng.choice(candidates)
        good = uid not in bad_jobs and machine not in bad_machines
        if good:
            done.add(uid)
            faults.record_success(uid, machine)
        else:
            failed_machines.add(machine)
            faults.record_failure(uid, machine, len(failed_machines))
        events.append((uid, task, machine, good, len(failed_machines)))
        model = Model(events, elsewhere)
        assert faults.classify_machines(len(machines)) == model.classify_machines(machines)
        assert faults.is_failing(uid) == model.is_failing(uid)
        returned |= faults.classify_machines(len(machines))[0]
    assert returned == bad_machines
    assert {uid for uid in jobs if faults.is_failing(uid)} == bad_jobs


def test_one_task_that_has_nowhere_else_to_go_accuses_its_machine() -> None:
    """In a shard with a single machine that is faulty, the last task of a job was never done."""
    faults = FaultAttribution({"wk-1"}.__contains__)
    faults.record_failure("wk-1", "m-1", 1)
    assert faults.classify_machines(1) == (set(), set())
    faults.record_failure("wk-1", "m-1", 1)
    assert faults.classify_machines(1) == ({"m-1"}, set())


def test_failures_of_jobs_that_fail_in_other_shards_accuse_no_machine() -> None:
    """One task each of two failing jobs was retried here, on the same good machine."""
    faults = FaultAttribution(set().__contains__)
    assert faults.set_failing_elsewhere({"wk-1", "wk-2"})
    faults.record_failure("wk-1", "m-1", 1)
    faults.record_failure("wk-2", "m-1", 1)
    assert faults.classify_machines(20) == (set(), set())
    assert faults.set_failing_elsewhere(())
    assert faults.classify_machines(20) == (set(), {"m-1"})
    faults.record_failure("wk-2", "m-2", 2)  # a failure elsewhere clears the machine
    assert faults.classify_machines(20) == (set(), set())


def test_a_common_cause_accuses_no_machine() -> None:
    done = {f"wk-{n}" for n in range(5)}
    faults = FaultAttribution(done.__contains__)
    machines = [f"m-{n}" for n in range(10)]
    for n, machine in enumerate(machines):
        for _ in range(3):
            faults.record_failure(f"wk-{n % 5}", machine, 1)
    assert faults.classify_machines(len(machines)) == (set(), set())
    for machine in machines[2:]:
        faults.record_success("wk-1", machine)
    assert faults.classify_machines(len(machines)) == ({"m-0", "m-1"}, set())


def test_a_task_that_fails_everywhere_in_a_job_that_is_partly_done() -> None:
    faults = FaultAttribution({"wk-1"}.__contains__)
    for n in range(12):
        faults.record_failure("wk-1", f"m-{n}", n + 1)
        faults.record_failure("wk-1", f"m-{n}", n + 1)
    # The first two machines are accused, by bad luck, but never the whole fleet.
    assert faults.classify_machines(12) == ({"m-0", "m-1"}, set())
    assert not faults.is_failing("wk-1")


def test_retries_of_a_failing_job() -> None:
    backoff = RetryBackoff(14.0, 112.0)
    assert backoff.on_failing([FailingJob("wk-1", 2, 5), FailingJob("wk-1", 1, 4)], 100.0) == [
        FailingJob("wk-1", 3, 9)
    ]
    assert backoff.on_failing([FailingJob("wk-1", 3, 9)], 110.0) == []
    now, tries = 100.0, []
    while now < 700.0:
        now += 0.5
        if backoff.wait_s("wk-1", now) <= 0:
            tries.append(now - 100.0)
            backoff.on_retry("wk-1", now)
    # The pauses grow up to the longest; the retries never stop.
    assert tries[:4] == [14.0, 42.0, 98.0, 210.0]
    assert {b - a for a, b in pairwise(tries[3:])} == {112.0}
    assert backoff.wait_s("wk-2", now) == 0.0
    backoff.keep(lambda uid: False)
    assert len(backoff) == 0
