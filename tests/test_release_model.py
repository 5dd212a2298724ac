"""An explicit-state model of one task, its owner, a second controller, the worker and the cloud.

In every order of events, up to a bounded time, the task is started elsewhere only when it has
certainly ended; the real verdicts decide about the release. Seeded faults are found.
"""

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
    """The whole system at one moment; times are whole seconds."""

    now: int = 0
    power: bool = True
    cut: bool = False  # the machine is cut off from all controllers
    on: bool = True  # the task runs on the machine
    lease_from: int = 0
    report: int | None = None  # a report on its way: when it was sent
    answer: int | None = None  # an answer on its way: when the report to it was sent
    heard: int = 0  # when the owner last received a report
    # Probes without an answer, by the owner and by the second controller.
    asked: tuple[bool, bool] = (False, False)
    release: str = "none"  # none, sent, executed, answered or lost
    free: bool = False  # the owner may start it elsewhere
    elsewhere: bool = False  # it was started elsewhere


def severity(s: State) -> Severity:
    """The verdict's grade for the machine, by what the owner knows."""
    silent = float(s.now - s.heard)
    probes = [
        ProbeResult(by, ProbeOutcome.NO_CONNECTION, float(s.now))
        for by, asked in zip(("owner", "helper"), s.asked, strict=True)
        if asked
    ]
    # The owner hears few of its machines, so this one is lost only if others cannot reach it.
    return diagnose(Evidence(silent, silent, 99.0, probes, heard_share=0.0), LIMITS).severity


def steps(s: State, fault: str) -> Iterator[State]:
    """The states that can follow; `fault` names a seeded fault, none if it is empty."""
    if s.now < UNTIL:
        later = s._replace(now=s.now + 1)
        yield later._replace(on=s.on and later.now <= s.lease_from + LEASE)
    if s.power and not s.cut and s.report is None and s.answer is None:
        yield s._replace(report=s.now)
    if s.report is not None and not s.cut:  # delivered, perhaps late, or lost
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
    if s.release in ("sent", "lost"):  # an unanswered request may be executed late
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
    """The first state in which the task runs twice, if any, and the number of states reached."""
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
    """Faults: a machine counts as gone once its verdict is lost (`verdict`), once its release was
    requested (`sent`) or was not answered (`unanswered`); a lease is counted one second short
    (`early`)."""
    assert explore(fault)[0] is not None
