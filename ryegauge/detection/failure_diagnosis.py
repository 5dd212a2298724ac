# kind: decisions
"""Diagnoses a silent machine from the evidence on it. Pure functions.

A diagnosis never ends a task: only a confirmed release or a lease that has certainly expired does
(`docs/safety.md`). It decides which steps are worth their cost.
"""

from collections.abc import Collection, Mapping
from enum import IntEnum, StrEnum
from typing import NamedTuple


class ProbeOutcome(StrEnum):
    """How a probe of a worker ended. The values are sent between controllers."""

    ANSWERED = "answered"
    REFUSED = "refused"  # its host answers, and nothing listens on the port
    RESET = "reset"  # the connection ended without an answer
    NO_ANSWER = "no_answer"  # connected, but no answer: it hangs or is overloaded
    NO_CONNECTION = "no_connection"  # dead, or cut off from the controller that probed


class ProbeResult(NamedTuple):
    """The result of one probe of a worker."""

    by: str  # the controller that probed
    outcome: ProbeOutcome
    at: float  # time of the probe, in seconds of the evaluating controller's clock

    @staticmethod
    def of(by: str, outcome: str, at: float) -> "ProbeResult | None":
        """None for an empty outcome, and for one that only a later version knows."""
        return ProbeResult(by, ProbeOutcome(outcome), at) if outcome in OUTCOMES else None


# The outcomes that this version knows, as sent between controllers.
OUTCOMES = frozenset(str(outcome) for outcome in ProbeOutcome)


class Severity(IntEnum):
    """How certain it is that a machine does not come back in time. Each level also allows the
    steps of those below it."""

    HEALTHY = 0
    SUSPECT = 1  # gets no new tasks and does not count as capacity
    MISSING = 2  # renting a replacement is worth its cost
    LOST = 3  # releasing it loses less than waiting for it
    EXPIRED = 4  # its lease has certainly expired: nothing runs there any more


class Cause(StrEnum):
    """The most likely cause of the silence. The values appear in the log."""

    NONE = "none"
    OWNER_STALLED = "owner_stalled"  # the owner's process stalled and read no reports
    OWNER_UNREACHABLE = "owner_unreachable"  # the machine lives; its reports do not reach its owner
    HUNG = "hung"
    RECLAIMED = "reclaimed"  # the cloud reclaimed the machine, after a notice
    ZONE_CUT = "zone_cut"  # almost no reports from its zone, and most from another zone
    DEAD_OR_CUT = "dead_or_cut"  # unreachable from enough controllers, or silent for long
    UNDECIDED = "undecided"


class Evidence(NamedTuple):
    """What the leader knows of one silent machine."""

    silent_s: float  # seconds since its last report, without those in which its owner stalled
    total_silent_s: float  # seconds since its last report
    heard_elsewhere_s: float  # seconds since another controller heard it; infinite if none did
    probes: Collection[ProbeResult] = ()  # since its last report
    notice: bool = False  # the cloud has announced that it reclaims the machine
    stalled_s: float = 0.0  # seconds in which its owner stalled since its last report
    heard_share: float = 1.0  # share of the shard's machines whose reports reach its owner
    zone_cut: bool = False  # its zone is one of `cut_zones`


class Diagnosis(NamedTuple):
    """How likely the loss of one machine is, and why it is silent."""

    severity: Severity
    cause: Cause
    # Most other machines of its shard report, so the cause concerns this machine alone.
    silent_alone: bool = True


# The diagnosis of a machine that is not silent.
HEALTHY = Diagnosis(Severity.HEALTHY, Cause.NONE)


def worth_replacing(diagnosis: Diagnosis) -> bool:
    """Whether to rent a replacement before the loss is certain. Not for a machine that hangs: it
    recovers before a replacement is up, or its lease ends soon. Replacing those rented 83
    machines for nothing in simulated days with hangs shorter than a lease."""
    return diagnosis.severity >= Severity.MISSING and diagnosis.cause not in (
        Cause.OWNER_UNREACHABLE,
        Cause.HUNG,
    )


class DetectionLimits(NamedTuple):
    """The durations that silence is compared with, in seconds, from the settings."""

    gap_s: float  # the longest ordinary pause between reports
    lease_s: float  # silence after which a worker's tasks have certainly ended


# Multiples of the longest ordinary pause between two reports.
SUSPECT_GAPS = 2.0
NOTICED_GAPS = 2.0  # for a machine under notice, which is expected to disappear
LOST_GAPS = 3.0
# An owner that gets reports from a smaller share of its machines than this may itself be cut off.
MIN_HEARD_SHARE = 0.75
# Leases of silence up to which a machine that hangs, or whose zone is cut off, may still recover.
RECOVERY_LEASES = 3.0
# Controllers that must have failed to connect before a machine counts as unreachable.
MIN_FAILED_PROBERS = 2


def diagnose(evidence: Evidence, limits: DetectionLimits) -> Diagnosis:
    """How certain the loss of a silent machine is, and the most likely cause of its silence.

    More evidence that it lives never raises the severity; more evidence that it does not never
    lowers it. An owner that few of its machines report to cannot alone have them diagnosed as lost:
    other controllers must have failed to reach them too."""
    gap_s = limits.gap_s
    silent_alone = evidence.heard_share >= MIN_HEARD_SHARE
    lease_expired = evidence.total_silent_s > limits.lease_s
    if evidence.total_silent_s <= SUSPECT_GAPS * gap_s:
        return Diagnosis(Severity.HEALTHY, Cause.NONE, silent_alone)
    if evidence.silent_s <= SUSPECT_GAPS * gap_s:
        cause = Cause.OWNER_STALLED
        return Diagnosis(
            Severity.EXPIRED if lease_expired else Severity.HEALTHY, cause, silent_alone
        )
    outcomes = {probe.outcome for probe in evidence.probes}
    if ProbeOutcome.ANSWERED in outcomes or evidence.heard_elsewhere_s <= LOST_GAPS * gap_s:
        # It lives, and its tasks run on until its lease ends; its reports do not reach its owner.
        return Diagnosis(
            Severity.EXPIRED if lease_expired else Severity.SUSPECT,
            Cause.OWNER_UNREACHABLE,
            silent_alone,
        )
    cause = _cause(evidence, outcomes)
    if evidence.total_silent_s > RECOVERY_LEASES * limits.lease_s:
        cause = Cause.DEAD_OR_CUT
    if lease_expired:
        severity = Severity.EXPIRED
    elif cause in (Cause.HUNG, Cause.ZONE_CUT):
        # It may resume at any time within its lease, with all its tasks; the machines of a zone
        # come back together.
        severity = Severity.MISSING if evidence.silent_s > LOST_GAPS * gap_s else Severity.SUSPECT
    elif cause is Cause.RECLAIMED:
        severity = Severity.LOST if evidence.silent_s > NOTICED_GAPS * gap_s else Severity.SUSPECT
    elif evidence.silent_s <= LOST_GAPS * gap_s:
        severity = Severity.MISSING if cause is Cause.DEAD_OR_CUT else Severity.SUSPECT
    else:
        severity = Severity.LOST if cause is Cause.DEAD_OR_CUT or silent_alone else Severity.MISSING
    return Diagnosis(severity, cause, silent_alone)


def _cause(evidence: Evidence, outcomes: set[ProbeOutcome]) -> Cause:
    """The most likely cause, for a machine without evidence that it lives."""
    if outcomes & {ProbeOutcome.NO_ANSWER, ProbeOutcome.REFUSED, ProbeOutcome.RESET}:
        return Cause.HUNG
    if evidence.notice:
        return Cause.RECLAIMED
    if evidence.zone_cut:
        return Cause.ZONE_CUT
    failed_probers = {p.by for p in evidence.probes if p.outcome is ProbeOutcome.NO_CONNECTION}
    return Cause.DEAD_OR_CUT if len(failed_probers) >= MIN_FAILED_PROBERS else Cause.UNDECIDED


# A zone counts as cut off if at most this share of its machines reports, ...
CUT_ZONE_MAX_HEARD_SHARE = 0.05
# ... it has at least so many machines, and most machines of another zone report.
CUT_ZONE_MIN_MACHINES = 4


def cut_zones(zones: Mapping[str, tuple[int, int]]) -> set[str]:
    """The zones that seem cut off. `zones` has (machines heard, machines) for each. If most
    machines of no other zone report, there are none: the controllers may be cut off themselves."""
    heard_well = {
        zone for zone, (heard, total) in zones.items() if total and heard / total >= MIN_HEARD_SHARE
    }
    return {
        zone
        for zone, (heard, total) in zones.items()
        if heard_well
        and total >= CUT_ZONE_MIN_MACHINES
        and heard <= CUT_ZONE_MAX_HEARD_SHARE * total
    }
