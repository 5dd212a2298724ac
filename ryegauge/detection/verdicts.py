# kind: decisions
"""Assesses the evidence on one silent machine. Pure functions.

A verdict never ends a task: only a confirmed release or a lease that has certainly expired does
(`docs/safety.md`). A verdict decides which steps are worth their cost.
"""

from collections.abc import Collection, Mapping
from enum import IntEnum, StrEnum
from typing import NamedTuple


class Outcome(StrEnum):
    """How a probe of a worker ended. The values are sent between controllers."""

    ANSWERED = "answered"
    REFUSED = "refused"  # its host answers, and nothing listens on the port
    RESET = "reset"  # the connection ended without an answer
    NO_ANSWER = "no_answer"  # connected, but no answer: it hangs or is overloaded
    NO_CONNECTION = "no_connection"  # dead, or cut off from the controller that probed


class Probe(NamedTuple):
    """The result of one probe of a worker."""

    by: str  # the controller that probed
    outcome: Outcome
    at: float  # time of the probe, in seconds of the evaluating controller's clock

    @staticmethod
    def of(by: str, outcome: str, at: float) -> "Probe | None":
        """None for an empty outcome, and for one that only a later version knows."""
        return Probe(by, Outcome(outcome), at) if outcome in OUTCOMES else None


OUTCOMES = frozenset(str(outcome) for outcome in Outcome)


class Grade(IntEnum):
    """How certain it is that a machine does not come back in time. Each level also allows the
    steps of those below it."""

    WELL = 0
    SUSPECT = 1  # gets no new tasks and does not count as capacity
    MISSED = 2  # renting a replacement is worth its cost
    LOST = 3  # releasing it loses less than waiting for it
    OVER = 4  # its lease has certainly expired: nothing runs there any more


class Cause(StrEnum):
    """The most likely cause of the silence. The values appear in the log."""

    NONE = "none"
    OWNER_STOOD_STILL = "owner_stood_still"  # the owner's process stalled and read no reports
    OWNER_DEAF = "owner_deaf"  # the machine lives; its reports do not reach its owner
    HUNG = "hung"
    TAKEN = "taken"  # reclaimed by the cloud after a notice
    ZONE_CUT = "zone_cut"  # almost no reports from its zone, and most from another zone
    DEAD_OR_CUT = "dead_or_cut"  # unreachable from enough controllers
    UNDECIDED = "undecided"


class Evidence(NamedTuple):
    """What the leader knows of one silent machine."""

    silent_s: float  # seconds since its last report, without those in which its owner stalled
    waited_s: float  # seconds since its last report
    elsewhere_s: float  # seconds since another controller heard it; infinite if none did
    probes: Collection[Probe] = ()  # since its last report
    notice: bool = False  # the cloud has announced that it reclaims the machine
    stood_still_s: float = 0.0  # seconds in which its owner stalled since its last report
    heard_share: float = 1.0  # share of the part's machines that its owner hears
    zone_cut: bool = False  # its zone is one of `cut_zones`


class Verdict(NamedTuple):
    """The assessment of one machine."""

    grade: Grade
    cause: Cause
    # Most other machines of its part are heard, so the cause concerns this machine alone.
    isolated: bool = True


WELL = Verdict(Grade.WELL, Cause.NONE)


def worth_replacing(verdict: Verdict) -> bool:
    """Whether to rent a replacement before the loss is certain. Not for a machine that hangs: it
    recovers before a replacement is up, or its lease ends soon. Replacing those rented 83
    machines for nothing in simulated days with hangs shorter than a lease."""
    return verdict.grade >= Grade.MISSED and verdict.cause not in (Cause.OWNER_DEAF, Cause.HUNG)


class Limits(NamedTuple):
    """The durations that silence is compared with, in seconds, from the settings."""

    gap_s: float  # the longest ordinary pause between reports
    lease_s: float  # silence after which a worker's tasks have certainly ended


# Multiples of the longest ordinary pause between two reports.
SUSPECT_GAPS = 2.0
NOTICED_GAPS = 2.0  # for a machine under notice, which is expected to disappear
LOST_GAPS = 3.0
# An owner that hears a smaller share of its machines than this may itself be cut off.
HEARING_SHARE = 0.75
# Leases of silence up to which a machine that hangs, or whose zone is cut off, may still recover.
HOPE_LEASES = 3.0
# Controllers that must have failed to connect before a machine counts as unreachable.
ASKED = 2


def judge(evidence: Evidence, limits: Limits) -> Verdict:
    """How certain the loss of a silent machine is, and the most likely cause of its silence.

    More evidence that it lives never raises the level; more evidence that it does not never
    lowers it. An owner that hears few of its machines cannot alone cause them to be graded as
    lost: other controllers must have failed to reach them too."""
    gap_s = limits.gap_s
    isolated = evidence.heard_share >= HEARING_SHARE
    over = evidence.waited_s > limits.lease_s
    if evidence.waited_s <= SUSPECT_GAPS * gap_s:
        return Verdict(Grade.WELL, Cause.NONE, isolated)
    if evidence.silent_s <= SUSPECT_GAPS * gap_s:
        cause = Cause.OWNER_STOOD_STILL
        return Verdict(Grade.OVER if over else Grade.WELL, cause, isolated)
    outcomes = {probe.outcome for probe in evidence.probes}
    if Outcome.ANSWERED in outcomes or evidence.elsewhere_s <= LOST_GAPS * gap_s:
        # It lives, and its tasks run on until its lease ends; its reports do not reach its owner.
        return Verdict(Grade.OVER if over else Grade.SUSPECT, Cause.OWNER_DEAF, isolated)
    cause = _cause(evidence, outcomes)
    if evidence.waited_s > HOPE_LEASES * limits.lease_s:
        cause = Cause.DEAD_OR_CUT
    if over:
        grade = Grade.OVER
    elif cause in (Cause.HUNG, Cause.ZONE_CUT):
        # It may resume at any time within its lease, with all its tasks; the machines of a zone
        # come back together.
        grade = Grade.MISSED if evidence.silent_s > LOST_GAPS * gap_s else Grade.SUSPECT
    elif cause is Cause.TAKEN:
        grade = Grade.LOST if evidence.silent_s > NOTICED_GAPS * gap_s else Grade.SUSPECT
    elif evidence.silent_s <= LOST_GAPS * gap_s:
        grade = Grade.MISSED if cause is Cause.DEAD_OR_CUT else Grade.SUSPECT
    else:
        grade = Grade.LOST if cause is Cause.DEAD_OR_CUT or isolated else Grade.MISSED
    return Verdict(grade, cause, isolated)


def _cause(evidence: Evidence, outcomes: set[Outcome]) -> Cause:
    """The most likely cause, for a machine without evidence that it lives."""
    if outcomes & {Outcome.NO_ANSWER, Outcome.REFUSED, Outcome.RESET}:
        return Cause.HUNG
    if evidence.notice:
        return Cause.TAKEN
    if evidence.zone_cut:
        return Cause.ZONE_CUT
    asked = {p.by for p in evidence.probes if p.outcome is Outcome.NO_CONNECTION}
    return Cause.DEAD_OR_CUT if len(asked) >= ASKED else Cause.UNDECIDED


# A zone counts as cut off if at most this share of its machines is heard, ...
CUT_SHARE = 0.05
# ... it has at least so many machines, and another zone is heard well.
CUT_LEAST = 4


def cut_zones(zones: Mapping[str, tuple[int, int]]) -> set[str]:
    """The zones that seem cut off. `zones` has (machines heard, machines) for each. If no other
    zone is heard well, there are none: the controllers may be cut off themselves."""
    well = {z for z, (heard, of) in zones.items() if of and heard / of >= HEARING_SHARE}
    return {
        z
        for z, (heard, of) in zones.items()
        if well and of >= CUT_LEAST and heard <= CUT_SHARE * of
    }
