"""The assessment of silent machines, against a simple model that knows the true cause."""

import itertools
import math
from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ryegauge.detection.failure_diagnosis import (
    Cause,
    DetectionLimits,
    Evidence,
    ProbeOutcome,
    ProbeResult,
    Severity,
    cut_zones,
    diagnose,
)
from ryegauge.detection.last_heard import (
    ForeignReports,
    LastHeard,
    StallDetector,
    owner_unreachable,
)

LIMITS = DetectionLimits(gap_s=3.0, lease_s=14.0)
NEVER = math.inf

# The names in this model; the log shows the values of `Cause`.
TRUE_CAUSES = (
    "dead",
    "cut_off",
    "hung",
    "reclaimed",
    "owner_unreachable",
    "owner_stalled",
    "zone_cut",
)
ENDED = {"dead", "reclaimed"}
# The causes that may be named for a machine, by what is true of it; the first that applies.
ALLOWED_CAUSES = [
    ("owner_stalled", {Cause.OWNER_STALLED}),
    ("zone_cut", {Cause.ZONE_CUT, Cause.RECLAIMED}),
    ("reclaimed", {Cause.RECLAIMED}),
    ("cut_off", {Cause.DEAD_OR_CUT}),
    ("dead", {Cause.DEAD_OR_CUT}),
    ("hung", {Cause.HUNG}),
    ("owner_unreachable", {Cause.OWNER_UNREACHABLE}),
]


def evidence_of(truth: frozenset[str], after_s: float, helpers: bool = True) -> Evidence:
    """The simple model: what the controllers would see of a machine `after_s` seconds after all
    that is true began, with unlimited probes."""
    owner_stalled_s = after_s - 1.0 if "owner_stalled" in truth else 0.0
    unreachable = truth & {"dead", "cut_off", "reclaimed", "zone_cut"}

    def probe(by_owner: bool) -> ProbeOutcome:
        if unreachable or (by_owner and "owner_unreachable" in truth):
            return ProbeOutcome.NO_CONNECTION
        return ProbeOutcome.NO_ANSWER if "hung" in truth else ProbeOutcome.ANSWERED

    probes = []
    active_s = after_s - owner_stalled_s
    if active_s > 2 * LIMITS.gap_s:
        probes = [ProbeResult("owner", probe(True), 0.0)]
        if helpers:
            probes.append(ProbeResult("helper", probe(False), 0.0))
    # A live worker whose owner does not answer tries the next controller in five seconds.
    heard = "owner_unreachable" in truth and not unreachable and "hung" not in truth and helpers
    return Evidence(
        silent_s=active_s,
        total_silent_s=after_s,
        heard_elsewhere_s=1.0 if heard else NEVER,
        probes=probes,
        notice="reclaimed" in truth,
        stalled_s=owner_stalled_s,
        heard_share=0.0 if truth & {"owner_unreachable", "zone_cut"} else 0.9,
        zone_cut="zone_cut" in truth,
    )


def pairs() -> list[frozenset[str]]:
    """Every true cause alone, and every two together."""
    return [frozenset(p) for n in (1, 2) for p in itertools.combinations(TRUE_CAUSES, n)]


@pytest.mark.parametrize("helpers", [True, False])
def test_causes_alone_and_in_pairs_are_named(helpers: bool) -> None:
    """docs/experiments/recovery.md shows this table. An owner alone cannot tell a dead machine
    from one whose reports do not reach it, and the cause is undecided."""
    table = Counter[str]()
    for truth in pairs():
        cause = diagnose(evidence_of(truth, 11.0, helpers), LIMITS).cause
        allowed = next(causes for name, causes in ALLOWED_CAUSES if name in truth)
        undecided = cause in (Cause.UNDECIDED, Cause.NONE)
        table["right" if cause in allowed else "undecided" if undecided else "wrong"] += 1
    assert table["wrong"] == 0
    assert table["undecided"] == (0 if helpers else 9)
    assert sum(table.values()) == 28


@pytest.mark.parametrize("truth", pairs())
def test_no_machine_that_a_controller_hears_counts_as_lost(truth: frozenset[str]) -> None:
    for after_s in range(1, 14):
        severity = diagnose(evidence_of(truth, float(after_s)), LIMITS).severity
        if not truth & {"dead", "cut_off", "reclaimed"}:
            assert severity < Severity.LOST, (after_s, truth)
        if truth <= ENDED | {"owner_unreachable"} and truth & ENDED and after_s > 9:
            assert severity == Severity.LOST, (after_s, truth)


outcomes = st.lists(st.tuples(st.sampled_from("abc"), st.sampled_from(ProbeOutcome)), max_size=4)
evidence = st.builds(
    lambda silent, stalled, elsewhere, probes, notice, share, cut: Evidence(
        silent,
        silent + stalled,
        elsewhere,
        tuple(ProbeResult(*p, 0.0) for p in probes),
        notice,
        stalled,
        share,
        cut,
    ),
    st.floats(0, 60),
    st.floats(0, 30),
    st.sampled_from([1.0, 8.0, 10.0, 40.0, NEVER]),
    outcomes,
    st.booleans(),
    st.floats(0, 1),
    st.booleans(),
)
SIGNS_OF_LIFE = [
    ProbeOutcome.ANSWERED,
    ProbeOutcome.NO_ANSWER,
    ProbeOutcome.REFUSED,
    ProbeOutcome.RESET,
]


@given(evidence, st.sampled_from(SIGNS_OF_LIFE))
def test_a_sign_of_life_never_raises_the_severity(seen: Evidence, sign: ProbeOutcome) -> None:
    before = diagnose(seen, LIMITS).severity
    more = seen._replace(probes=(*seen.probes, ProbeResult("d", sign, 0.0)))
    assert diagnose(more, LIMITS).severity <= before
    assert diagnose(seen._replace(heard_elsewhere_s=0.0), LIMITS).severity <= before


@given(evidence, st.floats(0, 20))
def test_longer_silence_never_lowers_the_severity(seen: Evidence, more_s: float) -> None:
    later = seen._replace(
        silent_s=seen.silent_s + more_s, total_silent_s=seen.total_silent_s + more_s
    )
    assert diagnose(later, LIMITS).severity >= diagnose(seen, LIMITS).severity


@given(evidence)
def test_an_unreachable_owner_alone_cannot_call_a_machine_lost(seen: Evidence) -> None:
    """Few machines report to their owner, and no other controller has probed: until the lease has
    certainly expired nothing is released on its evidence, unless the cloud gave notice."""
    alone = seen._replace(
        probes=tuple(p for p in seen.probes if p.by == "a"), heard_share=0.5, notice=False
    )
    if alone.total_silent_s <= LIMITS.lease_s:
        assert diagnose(alone, LIMITS).severity < Severity.LOST


def test_zones_are_cut_only_if_another_is_heard() -> None:
    assert cut_zones({"a": (0, 40), "b": (90, 100)}) == {"a"}
    # With half of b silent the controllers may be cut off themselves.
    assert cut_zones({"a": (0, 40), "b": (50, 100)}) == set()
    assert cut_zones({"a": (0, 40)}) == set()
    assert cut_zones({"a": (0, 3), "b": (10, 10)}) == set()  # too few machines


def test_stalls_do_not_count_as_silence() -> None:
    """When a frozen controller resumes, all its machines look silent at once, with their reports
    waiting in its sockets. The time in which it was frozen must not count."""
    stall_detector = StallDetector(2.5, 0.0)
    last_heard = LastHeard(stall_detector)
    last_heard.on_report("m-1", 1.0)
    for at in (2.0, 3.0, 23.0):
        stall_detector.advance(at)
    assert last_heard.silent_s("m-1", 23.0) == 4.5
    assert stall_detector.stalled_s(1.0) == 17.5
    assert stall_detector.stalled_s(23.0) == 0.0
    assert last_heard.silent_s("m-2", 23.0) == NEVER


def test_foreign_reports_are_returned_once_and_expire() -> None:
    foreign_reports = ForeignReports(28.0)
    foreign_reports.on_report("m-1", 0, 1.0)
    foreign_reports.on_report("m-2", 0, 2.0)
    foreign_reports.on_report("m-1", 0, 5.0)
    assert foreign_reports.since(2.0, 6.0, 10) == [("m-1", 0, 1.0)]
    assert foreign_reports.since(0.0, 6.0, 10) == [("m-1", 0, 1.0), ("m-2", 0, 4.0)]
    assert foreign_reports.since(0.0, 6.0, 1) == [("m-1", 0, 1.0)]
    foreign_reports.on_report("m-3", 0, 31.0)
    assert foreign_reports.since(0.0, 31.0, 10) == [("m-3", 0, 0.0), ("m-1", 0, 26.0)]


def test_an_owner_is_unreachable_only_if_others_hear_its_machines() -> None:
    heard = {f"m-{n}": 90.0 for n in range(20)}
    elsewhere = {f"m-{n}": 96.0 for n in range(6)}
    assert owner_unreachable(heard, elsewhere, 3.0, 97.0)
    assert not owner_unreachable(heard, {}, 3.0, 97.0)  # they report to nobody: dead or cut off
    assert not owner_unreachable(heard, dict.fromkeys(list(elsewhere)[:4], 96.0), 3.0, 97.0)
    assert not owner_unreachable(heard, elsewhere, 3.0, 103.0)  # too long ago
    assert not owner_unreachable(
        {**heard, "m-9": 95.0, "m-8": 95.0, "m-7": 96.0}, elsewhere, 3.0, 97.0
    )
    assert not owner_unreachable({**heard, **dict.fromkeys(elsewhere, 96.5)}, elsewhere, 3.0, 97.0)
    assert owner_unreachable({}, elsewhere, 3.0, 97.0)  # took the shard over and never heard any
