"""An explicit-state model of one task, its owner, a second controller, the worker and the cloud.

In every order of events, up to a bounded time, the task is started elsewhere only when it has
certainly ended; the real diagnosis decides about the release. Seeded faults are found.
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

LEASE_S, ANSWER_VALID_S, END_S = 3, 1, 8
LIMITS = DetectionLimits(gap_s=0.5, lease_s=float(LEASE_S))


class State(NamedTuple):
    """The whole system at one moment; times are whole seconds."""

    now: int = 0
    power: bool = True
    cut_off: bool = False  # from all controllers
    running: bool = True  # the task runs on the machine
    lease_start: int = 0
    report_sent_at: int | None = None  # a report on its way: when it was sent
    answered_report_at: int | None = None  # an answer on its way: when the report to it was sent
    last_report_at: int = 0  # when the owner last received a report
    # Probes without an answer, by the owner and by the second controller.
    failed_probes: tuple[bool, bool] = (False, False)
    release_state: str = "none"  # none, sent, executed, answered or lost
    may_restart: bool = False  # the owner may start it elsewhere
    restarted: bool = False  # it was started elsewhere


def severity(state: State) -> Severity:
    """The severity of the machine's silence, by what the owner knows."""
    silent_s = float(state.now - state.last_report_at)
    probes = [
        ProbeResult(by, ProbeOutcome.NO_CONNECTION, float(state.now))
        for by, failed in zip(("owner", "peer"), state.failed_probes, strict=True)
        if failed
    ]
    # Few machines report to the owner, so this one is lost only if others cannot reach it.
    return diagnose(Evidence(silent_s, silent_s, 99.0, probes, heard_share=0.0), LIMITS).severity


def steps(state: State, fault: str) -> Iterator[State]:
    """The states that can follow; `fault` names a seeded fault, none if it is empty."""
    if state.now < END_S:
        later = state._replace(now=state.now + 1)
        yield later._replace(running=state.running and later.now <= state.lease_start + LEASE_S)
    if (
        state.power
        and not state.cut_off
        and state.report_sent_at is None
        and state.answered_report_at is None
    ):
        yield state._replace(report_sent_at=state.now)
    if state.report_sent_at is not None and not state.cut_off:  # delivered, perhaps late, or lost
        yield state._replace(
            report_sent_at=None,
            answered_report_at=state.report_sent_at,
            last_report_at=state.now,
            failed_probes=(False, False),
        )
        yield state._replace(report_sent_at=None)
    if state.answered_report_at is not None:
        yield state._replace(answered_report_at=None)
        if (
            state.power
            and not state.cut_off
            and state.running
            and state.now <= state.answered_report_at + ANSWER_VALID_S
        ):
            yield state._replace(
                answered_report_at=None,
                lease_start=max(state.lease_start, state.answered_report_at),
            )
    yield state._replace(cut_off=not state.cut_off)
    if state.power:
        yield state._replace(power=False, running=False)
    if state.cut_off or not state.power:
        yield state._replace(failed_probes=(True, state.failed_probes[1]))
        yield state._replace(failed_probes=(state.failed_probes[0], True))
    if state.release_state == "none" and severity(state) >= Severity.LOST:
        yield state._replace(release_state="sent", may_restart=state.may_restart or fault == "sent")
    if state.release_state in ("sent", "lost"):  # an unanswered request may be executed late
        yield state._replace(
            release_state="executed" if state.release_state == "sent" else "lost",
            power=False,
            running=False,
        )
        yield state._replace(
            release_state="lost", may_restart=state.may_restart or fault == "unanswered"
        )
    if state.release_state == "executed":
        yield state._replace(release_state="answered", may_restart=True)
    surely_over = state.now > state.last_report_at + LEASE_S - (1 if fault == "early" else 0)
    if surely_over or (fault == "diagnosis" and severity(state) >= Severity.LOST):
        yield state._replace(may_restart=True)
    if state.may_restart and not state.restarted:
        yield state._replace(restarted=True)


def explore(fault: str) -> tuple[State | None, int]:
    """The first state in which the task runs twice, if any, and the number of states reached."""
    queue, seen = deque([State()]), {State()}
    while queue:
        state = queue.popleft()
        if state.restarted and state.running:
            return state, len(seen)
        for new in steps(state, fault):
            if new not in seen:
                seen.add(new)
                queue.append(new)
    return None, len(seen)


def test_a_task_starts_elsewhere_only_after_it_has_certainly_ended() -> None:
    violation, states = explore("")
    assert violation is None
    assert states > 10_000


@pytest.mark.parametrize("fault", ["diagnosis", "sent", "unanswered", "early"])
def test_seeded_faults_are_found(fault: str) -> None:
    """Faults: a machine counts as gone once its diagnosis is severe enough (`diagnosis`), once its
    release was requested (`sent`) or was not answered (`unanswered`); a lease is counted one
    second short (`early`)."""
    assert explore(fault)[0] is not None
