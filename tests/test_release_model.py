"""An explicit-state model of one task between owner, helper, worker and cloud: under every
order of events (to a bounded time) it starts elsewhere only when it surely runs no more, with
the real verdicts deciding about the release. Seeded faults are found."""

from collections import deque
from collections.abc import Iterator
from typing import NamedTuple

import pytest

from ryegauge.detection.failure_diagnosis import (
    DetectionLimits,
    Evidence,
    ProbeOutcome,
    ProbeResult,
    Severity,
    diagnose,
)

LEASE, ANSWER, UNTIL = 3, 1, 8
LIMITS = DetectionLimits(gap_s=0.5, lease_s=float(LEASE))


class State(NamedTuple):
    now: int = 0
    power: bool = True
    cut: bool = False  # the machine from all controllers
    on: bool = True  # the task runs on the machine
    lease_from: int = 0
    report: int | None = None  # sent at, under way
    answer: int | None = None  # to the report sent at, under way
    heard: int = 0  # by the owner
    asked: tuple[bool, bool] = (False, False)  # in vain: by the owner, by a helper
    release: str = "none"  # sent, executed, answered, lost
    free: bool = False  # the owner lets it start elsewhere
    elsewhere: bool = False


def severity(s: State) -> Severity:
    silent = float(s.now - s.heard)
    probes = [
        ProbeResult(by, ProbeOutcome.NO_CONNECTION, float(s.now))
        for by, asked in zip(("owner", "helper"), s.asked, strict=True)
        if asked
    ]
    # The owner hears few of its machines: only others' word can call this one lost.
    return diagnose(Evidence(silent, silent, 99.0, probes, heard_share=0.0), LIMITS).severity


def steps(s: State, fault: str) -> Iterator[State]:
    if s.now < UNTIL:
        later = s._replace(now=s.now + 1)
        yield later._replace(on=s.on and later.now <= s.lease_from + LEASE)
    if s.power and not s.cut and s.report is None and s.answer is None:
        yield s._replace(report=s.now)
    if s.report is not None and not s.cut:  # delivered, late if it was held; or lost
        yield s._replace(report=None, answer=s.report, heard=s.now, asked=(False, False))
        yield s._replace(report=None)
    if s.answer is not None:
        yield s._replace(answer=None)
        if s.power and not s.cut and s.on and s.now <= s.answer + ANSWER:
            yield s._replace(answer=None, lease_from=max(s.lease_from, s.answer))
    yield s._replace(cut=not s.cut)
    if s.power:
        yield s._replace(power=False, on=False)
    if s.cut or not s.power:
        yield s._replace(asked=(True, s.asked[1]))
        yield s._replace(asked=(s.asked[0], True))
    if s.release == "none" and severity(s) >= Severity.LOST:
        yield s._replace(release="sent", free=s.free or fault == "sent")
    if s.release in ("sent", "lost"):  # a request without an answer may be executed late
        yield s._replace(
            release="executed" if s.release == "sent" else "lost", power=False, on=False
        )
        yield s._replace(release="lost", free=s.free or fault == "unanswered")
    if s.release == "executed":
        yield s._replace(release="answered", free=True)
    surely_over = s.now > s.heard + LEASE - (1 if fault == "early" else 0)
    if surely_over or (fault == "verdict" and severity(s) >= Severity.LOST):
        yield s._replace(free=True)
    if s.free and not s.elsewhere:
        yield s._replace(elsewhere=True)


def explore(fault: str) -> tuple[State | None, int]:
    """The first state in which the task runs twice, and how many states there are."""
    todo, seen = deque([State()]), {State()}
    while todo:
        state = todo.popleft()
        if state.elsewhere and state.on:
            return state, len(seen)
        for new in steps(state, fault):
            if new not in seen:
                seen.add(new)
                todo.append(new)
    return None, len(seen)


def test_a_task_starts_elsewhere_only_when_it_surely_runs_no_more() -> None:
    broken, states = explore("")
    assert broken is None
    assert states > 10_000


@pytest.mark.parametrize("fault", ["verdict", "sent", "unanswered", "early"])
def test_seeded_faults_are_found(fault: str) -> None:
    """verdict: a machine that is called lost counts as gone. sent: so does one whose return
    was asked for. unanswered: so does one whose return got no answer. early: the lease is
    counted short."""
    assert explore(fault)[0] is not None
