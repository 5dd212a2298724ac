# kind: decisions
"""What the evidence on one silent machine amounts to. Pure functions.

A verdict never ends a task: only a release that was answered, or a lease that has surely run
out, does (`docs/safety.md`). It says which steps are worth their cost.
"""

from collections.abc import Collection, Mapping
from enum import IntEnum, StrEnum
from typing import NamedTuple


class ProbeOutcome(StrEnum):
    """What became of an attempt to ask a worker for its report."""

    ANSWERED = "answered"
    REFUSED = "refused"  # its host answers, nobody listens there
    RESET = "reset"  # the connection ended without an answer
    NO_ANSWER = "no_answer"  # connected, and nothing more: it hangs, or drowns
    NO_CONNECTION = "no_connection"  # dead, or cut off from whoever asked


class ProbeResult(NamedTuple):
    by: str  # the controller that asked
    outcome: ProbeOutcome
    at: float  # when it was asked, in the judge's clock

    @staticmethod
    def of(by: str, outcome: str, at: float) -> "ProbeResult | None":
        """None for an outcome that was not had, or that only a later version knows."""
        return ProbeResult(by, ProbeOutcome(outcome), at) if outcome in OUTCOMES else None


OUTCOMES = frozenset(str(outcome) for outcome in ProbeOutcome)


class Severity(IntEnum):
    """How sure it is that a machine does not come back in time; each grade allows the steps
    of those below it."""

    HEALTHY = 0
    SUSPECT = 1  # no new tasks, not counted as room
    MISSING = 2  # replacements are worth asking for
    LOST = 3  # releasing it loses less than waiting for it
    EXPIRED = 4  # its lease has surely run out: nothing runs there any more


class Cause(StrEnum):
    """What explains the silence best."""

    NONE = "none"
    OWNER_STALLED = "owner_stood_still"
    OWNER_UNREACHABLE = "owner_deaf"  # it lives, as others know
    HUNG = "hung"
    RECLAIMED = "taken"  # after a notice of the cloud
    ZONE_CUT = "zone_cut"  # nothing of its zone is heard, and most of another is
    DEAD_OR_CUT = "dead_or_cut"  # unreachable for all that were asked
    UNDECIDED = "undecided"


class Evidence(NamedTuple):
    """On one machine, gathered by its owner or the leader."""

    silent_s: float  # seconds without a word, while somebody listened
    waited_s: float  # the same by the clock alone
    elsewhere_s: float  # since another controller heard it; infinite if none did
    probes: Collection[ProbeResult] = ()  # newer than its last word
    notice: bool = False
    stalled_s: float = 0.0  # of the owner, since the machine's last word
    # Of the part's machines that this listener should hear: how many it does.
    heard_share: float = 1.0
    zone_cut: bool = False  # `cut_zones` has its zone


class Diagnosis(NamedTuple):
    severity: Severity
    cause: Cause
    # Most others of its part are heard: its silence is its own, not one that many share.
    silent_alone: bool = True


HEALTHY = Diagnosis(Severity.HEALTHY, Cause.NONE)


def worth_replacing(diagnosis: Diagnosis) -> bool:
    """Whether to ask for a replacement while it is not yet certain. Not for one that hangs:
    it is back before a replacement is up, or its lease ends soon. (Found by days of hangs
    under a lease: 83 machines were rented for nothing.)"""
    return diagnosis.severity >= Severity.MISSING and diagnosis.cause not in (
        Cause.OWNER_UNREACHABLE,
        Cause.HUNG,
    )


class DetectionLimits(NamedTuple):
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
RECOVERY_LEASES = 3.0
# So many controllers must have asked in vain before silence counts without the others.
ASKED = 2


def diagnose(evidence: Evidence, limits: DetectionLimits) -> Diagnosis:
    """The grade of a machine and the cause that explains its silence best.

    More evidence that it lives never raises the grade; more that it does not, never lowers
    it. One listener alone, if it hears few of its machines, cannot call them lost: that
    takes others that did not hear or reach them either."""
    gap_s = limits.gap_s
    silent_alone = evidence.heard_share >= HEARING_SHARE
    over = evidence.waited_s > limits.lease_s
    if evidence.waited_s <= SUSPECT_GAPS * gap_s:
        return Diagnosis(Severity.HEALTHY, Cause.NONE, silent_alone)
    if evidence.silent_s <= SUSPECT_GAPS * gap_s:
        cause = Cause.OWNER_STALLED
        return Diagnosis(Severity.EXPIRED if over else Severity.HEALTHY, cause, silent_alone)
    outcomes = {probe.outcome for probe in evidence.probes}
    if ProbeOutcome.ANSWERED in outcomes or evidence.elsewhere_s <= LOST_GAPS * gap_s:
        # It lives, and its tasks run on until its lease ends; its owner cannot hear it.
        return Diagnosis(
            Severity.EXPIRED if over else Severity.SUSPECT, Cause.OWNER_UNREACHABLE, silent_alone
        )
    cause = _cause(evidence, outcomes)
    if evidence.waited_s > RECOVERY_LEASES * limits.lease_s:
        cause = Cause.DEAD_OR_CUT
    if over:
        severity = Severity.EXPIRED
    elif cause in (Cause.HUNG, Cause.ZONE_CUT):
        # It may go on at any time within its lease, with all its tasks; those of a zone come
        # back together.
        severity = Severity.MISSING if evidence.silent_s > LOST_GAPS * gap_s else Severity.SUSPECT
    elif cause is Cause.RECLAIMED:
        severity = Severity.LOST if evidence.silent_s > NOTICED_GAPS * gap_s else Severity.SUSPECT
    elif evidence.silent_s <= LOST_GAPS * gap_s:
        severity = Severity.MISSING if cause is Cause.DEAD_OR_CUT else Severity.SUSPECT
    else:
        severity = Severity.LOST if cause is Cause.DEAD_OR_CUT or silent_alone else Severity.MISSING
    return Diagnosis(severity, cause, silent_alone)


def _cause(evidence: Evidence, outcomes: set[ProbeOutcome]) -> Cause:
    if outcomes & {ProbeOutcome.NO_ANSWER, ProbeOutcome.REFUSED, ProbeOutcome.RESET}:
        return Cause.HUNG
    if evidence.notice:
        return Cause.RECLAIMED
    if evidence.zone_cut:
        return Cause.ZONE_CUT
    asked = {p.by for p in evidence.probes if p.outcome is ProbeOutcome.NO_CONNECTION}
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
