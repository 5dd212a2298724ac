# kind: decisions
"""What the evidence on one silent machine amounts to. Pure functions.

A verdict never ends a task: only a release that was answered, or a lease that has surely run
out, does (`docs/safety.md`). It says which steps are worth their cost.
"""

from collections.abc import Collection, Mapping
from enum import IntEnum, StrEnum
from typing import NamedTuple


class Outcome(StrEnum):
    """What became of an attempt to ask a worker for its report."""

    ANSWERED = "answered"
    REFUSED = "refused"  # its host answers, nobody listens there
    RESET = "reset"  # the connection ended without an answer
    NO_ANSWER = "no_answer"  # connected, and nothing more: it hangs, or drowns
    NO_CONNECTION = "no_connection"  # dead, or cut off from whoever asked


class Probe(NamedTuple):
    by: str  # the controller that asked
    outcome: Outcome
    at: float  # when it was asked, in the judge's clock

    @staticmethod
    def of(by: str, outcome: str, at: float) -> "Probe | None":
        """None for an outcome that was not had, or that only a later version knows."""
        return Probe(by, Outcome(outcome), at) if outcome in OUTCOMES else None


OUTCOMES = frozenset(str(outcome) for outcome in Outcome)


class Grade(IntEnum):
    """How sure it is that a machine does not come back in time; each grade allows the steps
    of those below it."""

    WELL = 0
    SUSPECT = 1  # no new tasks, not counted as room
    MISSED = 2  # replacements are worth asking for
    LOST = 3  # releasing it loses less than waiting for it
    OVER = 4  # its lease has surely run out: nothing runs there any more


class Cause(StrEnum):
    """What explains the silence best."""

    NONE = "none"
    OWNER_STOOD_STILL = "owner_stood_still"
    OWNER_DEAF = "owner_deaf"  # it lives, as others know
    HUNG = "hung"
    TAKEN = "taken"  # after a notice of the cloud
    ZONE_CUT = "zone_cut"  # nothing of its zone is heard, and most of another is
    DEAD_OR_CUT = "dead_or_cut"  # unreachable for all that were asked
    UNDECIDED = "undecided"


class Evidence(NamedTuple):
    """On one machine, gathered by its owner or the leader."""

    silent_s: float  # seconds without a word, while somebody listened
    waited_s: float  # the same by the clock alone
    elsewhere_s: float  # since another controller heard it; infinite if none did
    probes: Collection[Probe] = ()  # newer than its last word
    notice: bool = False
    stood_still_s: float = 0.0  # of the owner, since the machine's last word
    # Of the part's machines that this listener should hear: how many it does.
    heard_share: float = 1.0
    zone_cut: bool = False  # `cut_zones` has its zone


class Verdict(NamedTuple):
    grade: Grade
    cause: Cause
    # Most others of its part are heard: its silence is its own, not one that many share.
    isolated: bool = True


WELL = Verdict(Grade.WELL, Cause.NONE)


def worth_replacing(verdict: Verdict) -> bool:
    """Whether to ask for a replacement while it is not yet certain. Not for one that hangs:
    it is back before a replacement is up, or its lease ends soon. (Found by days of hangs
    under a lease: 83 machines were rented for nothing.)"""
    return verdict.grade >= Grade.MISSED and verdict.cause not in (Cause.OWNER_DEAF, Cause.HUNG)


class Limits(NamedTuple):
    """In seconds, all from the settings."""

    gap_s: float  # the longest ordinary pause between reports
    lease_s: float  # after which a silent worker's tasks are surely gone


# Multiples of the longest ordinary pause between two reports.
SUSPECT_GAPS = 2.0
NOTICED_GAPS = 2.0  # a machine under notice is expected to go
LOST_GAPS = 3.0
# An owner that hears fewer of its machines than this may itself be cut off.
HEARING_SHARE = 0.75
# What may come back (it hangs, its zone is cut off) is hoped for that long.
HOPE_LEASES = 3.0
# So many controllers must have asked in vain before silence counts without the others.
ASKED = 2


def judge(evidence: Evidence, limits: Limits) -> Verdict:
    """The grade of a machine and the cause that explains its silence best.

    More evidence that it lives never raises the grade; more that it does not, never lowers
    it. One listener alone, if it hears few of its machines, cannot call them lost: that
    takes others that did not hear or reach them either."""
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
        # It lives, and its tasks run on until its lease ends; its owner cannot hear it.
        return Verdict(Grade.OVER if over else Grade.SUSPECT, Cause.OWNER_DEAF, isolated)
    cause = _cause(evidence, outcomes)
    if evidence.waited_s > HOPE_LEASES * limits.lease_s:
        cause = Cause.DEAD_OR_CUT
    if over:
        grade = Grade.OVER
    elif cause in (Cause.HUNG, Cause.ZONE_CUT):
        # It may go on at any time within its lease, with all its tasks; those of a zone come
        # back together.
        grade = Grade.MISSED if evidence.silent_s > LOST_GAPS * gap_s else Grade.SUSPECT
    elif cause is Cause.TAKEN:
        grade = Grade.LOST if evidence.silent_s > NOTICED_GAPS * gap_s else Grade.SUSPECT
    elif evidence.silent_s <= LOST_GAPS * gap_s:
        grade = Grade.MISSED if cause is Cause.DEAD_OR_CUT else Grade.SUSPECT
    else:
        grade = Grade.LOST if cause is Cause.DEAD_OR_CUT or isolated else Grade.MISSED
    return Verdict(grade, cause, isolated)


def _cause(evidence: Evidence, outcomes: set[Outcome]) -> Cause:
    if outcomes & {Outcome.NO_ANSWER, Outcome.REFUSED, Outcome.RESET}:
        return Cause.HUNG
    if evidence.notice:
        return Cause.TAKEN
    if evidence.zone_cut:
        return Cause.ZONE_CUT
    asked = {p.by for p in evidence.probes if p.outcome is Outcome.NO_CONNECTION}
    return Cause.DEAD_OR_CUT if len(asked) >= ASKED else Cause.UNDECIDED


# So few of a zone's machines heard, of at least so many, while another zone is heard well.
CUT_SHARE = 0.05
CUT_LEAST = 4


def cut_zones(zones: Mapping[str, tuple[int, int]]) -> set[str]:
    """The zones that nothing is heard of, by (machines heard, machines) of each. With no
    other zone that is heard well, the listeners may as well be cut off themselves."""
    well = {z for z, (heard, of) in zones.items() if of and heard / of >= HEARING_SHARE}
    return {
        z
        for z, (heard, of) in zones.items()
        if well and of >= CUT_LEAST and heard <= CUT_SHARE * of
    }
