"""A simulated day with all faults seen in operation; the results are compared with the faults that
were injected."""

import logging
import re

import msgspec
import pytest

from ryegauge.cli.experiment import DAYS_DIR
from ryegauge.experiments.day import Day, load, submissions
from ryegauge.experiments.delays import compute_metrics
from ryegauge.experiments.play import play


def without_mistakes(day: Day) -> Day:
    """The day without jobs that always fail."""
    arrivals = [msgspec.structs.replace(a, mistaken=0.0) for a in day.arrivals]
    return msgspec.structs.replace(day, arrivals=arrivals)


@pytest.mark.parametrize(("seed", "with_mistakes"), [(1, True), (6, True), (2, False)])
def test_a_day_with_faults_and_failing_jobs(
    seed: int, with_mistakes: bool, caplog: pytest.LogCaptureFixture
) -> None:
    day = load(DAYS_DIR / "operations.toml")
    if not with_mistakes:
        day = without_mistakes(day)
    mistaken = {s.body["uid"] for s in submissions(day, seed) if s.mistaken}
    assert bool(mistaken) == with_mistakes
    with caplog.at_level(logging.INFO, "ryegauge"):
        day_result = play(day, "ageing", seed)
    results = compute_metrics(day, day_result)
    assert day_result.broken == []
    # Of every team, including guests, and of every job class.
    assert results.served > 0.9, results.least
    # Faults are attributed to exactly the failing jobs, and to no machine.
    logged_as_failing = set(re.findall(r"(wk-\d+) is in retry backoff", caplog.text))
    assert logged_as_failing == mistaken
    assert "to be given up" not in caplog.text
    failed: dict[str, int] = {}
    for e in day_result.recorded_events:
        if e.what == "ended" and e.detail == "error":
            failed[e.uid] = failed.get(e.uid, 0) + 1
    assert failed.keys() <= mistaken
    # One wave of its tasks for each owner during the day, and a few retries.
    assert all(n <= 60 for n in failed.values())
    # No loss of data is diagnosed while the state service keeps its data.
    assert "lost data" not in caplog.text
    # Apart from crashes of all controllers, an outage and boots, nothing delays urgent jobs: their
    # median delay is small, and none is left unserved.
    assert results.ranks["high"].median_s < 3.0
    assert results.ranks["high"].unserved == 0


def test_tiny_jobs_are_reported_done_soon_after_they_ran() -> None:
    """200 tiny jobs need three changes each. The state service leaves them about five changes per
    second besides those of urgent jobs."""
    day = load(DAYS_DIR / "operations.toml")
    limited_installation = msgspec.structs.replace(day.installation, write_rps=14.0)
    arrivals = [
        msgspec.structs.replace(a, from_s=60.0, until_s=90.0, every_s=0.15)
        if a.job_class == "flurry"
        else msgspec.structs.replace(a, every_s=4.0, mistaken=0.0)
        for a in day.arrivals
        if a.job_class != "sweep"
    ]
    day_result = play(
        msgspec.structs.replace(
            day, installation=limited_installation, arrivals=arrivals, troubles=[]
        ),
        "ageing",
        4,
    )
    assert day_result.broken == []
    done_at = {
        e.uid: e.at for e in day_result.recorded_events if e.what == "ended" and e.detail == "done"
    }
    reported_at = {e.uid: e.at for e in day_result.recorded_events if e.what == "final"}
    tiny = [uid for uid in done_at if day_result.bodies[uid]["duty"] == "flurry"]
    assert len(tiny) > 150
    delays_s = sorted(reported_at.get(uid, day.seconds) - done_at[uid] for uid in tiny)
    assert delays_s[len(delays_s) // 2] < 7.0  # was 10 s in an earlier version
    assert compute_metrics(day, day_result).ranks["high"].median_s < 1.0
