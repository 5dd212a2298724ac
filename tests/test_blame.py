"""Attribution of failures to jobs and machines, against a simple model and the injected faults."""

import random
from itertools import pairwise

import pytest

from ryegauge.detection.fault_attribution import (
    SEVERAL,
    SHARED_OUTAGE,
    FailingJob,
    FaultAttribution,
    RetryBackoff,
)

Event = tuple[str, int, str, bool, int]  # job, task, machine, done, machines of the task


class Plain:
    """The definitions, computed from scratch over all events."""

    def __init__(self, events: list[Event], elsewhere: set[str]) -> None:
        self.events = events
        self.elsewhere = elsewhere
        self.good = {uid for uid, _, _, done, _ in events if done}

    def failed_on(self, uid: str) -> set[str]:
        return {m for u, _, m, done, _ in self.events if u == uid and not done}

    def evidence(self, machine: str) -> tuple[bool, bool]:
        """Whether the machine is faulty, and whether it is suspected."""
        here = [e for e in self.events if e[2] == machine]
        last = max((i for i, e in enumerate(here) if e[3]), default=-1)
        since = [e for e in here[last + 1 :] if e[4] <= SEVERAL]
        others = [uid for uid, *_ in since if uid in self.good]
        alone = {
            uid
            for uid, *_ in since
            if uid not in self.good | self.elsewhere and self.failed_on(uid) == {machine}
        }
        return len(others) >= SEVERAL, len(alone) >= SEVERAL

    def mistaken(self, uid: str) -> bool:
        if uid in self.good:
            return False
        return sum(not any(self.evidence(m)) for m in self.failed_on(uid)) >= SEVERAL

    def accused(self, machines: list[str]) -> tuple[set[str], set[str]]:
        found = {m for m in machines if any(self.evidence(m))}
        if len(found) > max(1, int(SHARED_OUTAGE * len(machines))):
            return set(), set()
        faulty = {m for m in found if self.evidence(m)[0]}
        return faulty, found - faulty


@pytest.mark.parametrize("seed", range(12))
def test_blame_against_the_definitions_and_the_truth(seed: int) -> None:
    rng = random.Random(seed)
    machines = [f"m-{n}" for n in range(24)]
    jobs = [f"wk-{n}" for n in range(30)]
    bad_jobs = set(rng.sample(jobs, seed % 5))
    bad_machines = set(rng.sample(machines, seed % 4))
    events: list[Event] = []
    done: set[str] = set()
    failed: dict[tuple[str, int], set[str]] = {}
    blame = FaultAttribution(done.__contains__)
    given_up: set[str] = set()
    elsewhere: set[str] = set()
    for _ in range(700):
        if rng.random() < 0.05:  # the leader reports failures in other parts
            elsewhere = {uid for uid in bad_jobs if rng.random() < 0.5}
            blame.known(elsewhere)
        uid, task = rng.choice(jobs), rng.randrange(6)
        if blame.mistaken(uid) and rng.random() < 0.9:
            continue
        errors = failed.setdefault((uid, task), set())
        open_ = [m for m in machines if m not in given_up | errors] or machines
        machine = rng.choice(open_)
        good = uid not in bad_jobs and machine not in bad_machines
        if good:
            done.add(uid)
            blame.succeeded(uid, machine)
        else:
            errors.add(machine)
            blame.failed(uid, machine, len(errors))
        events.append((uid, task, machine, good, len(errors)))
        plain = Plain(events, elsewhere)
        assert blame.accused(len(machines)) == plain.accused(machines)
        assert blame.mistaken(uid) == plain.mistaken(uid)
        given_up |= blame.accused(len(machines))[0]
    assert given_up == bad_machines
    assert {uid for uid in jobs if blame.mistaken(uid)} == bad_jobs


def test_one_task_that_has_nowhere_else_to_go_accuses_its_machine() -> None:
    """In a part with a single machine that is faulty, the last task of a job was never done."""
    blame = FaultAttribution({"wk-1"}.__contains__)
    blame.failed("wk-1", "m-1", 1)
    assert blame.accused(1) == (set(), set())
    blame.failed("wk-1", "m-1", 1)
    assert blame.accused(1) == ({"m-1"}, set())


def test_tries_of_jobs_that_fail_in_other_parts_accuse_no_machine() -> None:
    """One task each of two failing jobs was retried here, on the same good machine."""
    blame = FaultAttribution(set().__contains__)
    assert blame.known({"wk-1", "wk-2"})
    blame.failed("wk-1", "m-1", 1)
    blame.failed("wk-2", "m-1", 1)
    assert blame.accused(20) == (set(), set())
    assert blame.known(())
    assert blame.accused(20) == (set(), {"m-1"})
    blame.failed("wk-2", "m-2", 2)  # a failure elsewhere clears the machine
    assert blame.accused(20) == (set(), set())


def test_a_shared_outage_gives_no_machine_up() -> None:
    done = {f"wk-{n}" for n in range(5)}
    blame = FaultAttribution(done.__contains__)
    machines = [f"m-{n}" for n in range(10)]
    for n, machine in enumerate(machines):
        for _ in range(3):
            blame.failed(f"wk-{n % 5}", machine, 1)
    assert blame.accused(len(machines)) == (set(), set())
    for machine in machines[2:]:
        blame.succeeded("wk-1", machine)
    assert blame.accused(len(machines)) == ({"m-0", "m-1"}, set())


def test_a_task_that_fails_everywhere_in_a_job_that_is_partly_done() -> None:
    blame = FaultAttribution({"wk-1"}.__contains__)
    for n in range(12):
        blame.failed("wk-1", f"m-{n}", n + 1)
        blame.failed("wk-1", f"m-{n}", n + 1)
    assert blame.accused(12) == ({"m-0", "m-1"}, set())  # only the first machines, not all
    assert not blame.mistaken("wk-1")


def test_tries_of_a_job_that_is_held_back() -> None:
    held = RetryBackoff(14.0, 112.0)
    assert held.on_failing([FailingJob("wk-1", 2, 5), FailingJob("wk-1", 1, 4)], 100.0) == [
        FailingJob("wk-1", 3, 9)
    ]
    assert held.on_failing([FailingJob("wk-1", 3, 9)], 110.0) == []
    now, tries = 100.0, []
    while now < 700.0:
        now += 0.5
        if held.wait_s("wk-1", now) <= 0:
            tries.append(now - 100.0)
            held.on_retry("wk-1", now)
    # The pauses grow up to the longest; the retries never stop.
    assert tries[:4] == [14.0, 42.0, 98.0, 210.0]
    assert {b - a for a, b in pairwise(tries[3:])} == {112.0}
    assert held.wait_s("wk-2", now) == 0.0
    held.keep(lambda uid: False)
    assert len(held) == 0
