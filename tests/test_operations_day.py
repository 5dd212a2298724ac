"""A day with all that operations met, scored against the injected truth."""

import logging
import re

import msgspec
import pytest

from ryegauge.cli.experiment import DAYS
from ryegauge.experiments.day import Day, load, submissions
from ryegauge.experiments.delays import figures
from ryegauge.experiments.play import play


def without_mistakes(day: Day) -> Day:
    arrivals = [msgspec.structs.replace(a, mistaken=0.0) for a in day.arrivals]
    return msgspec.structs.replace(day, arrivals=arrivals)


@pytest.mark.parametrize(("seed", "mistakes"), [(1, True), (6, True), (2, False)])
def test_everything_at_once(seed: int, mistakes: bool, caplog: pytest.LogCaptureFixture) -> None:
    day = load(DAYS / "operations.toml")
    if not mistakes:
        day = without_mistakes(day)
    mistaken = {s.body["uid"] for s in submissions(day, seed) if s.mistaken}
    assert bool(mistaken) == mistakes
    with caplog.at_level(logging.INFO, "ryegauge"):
        played = play(day, "ageing", seed)
    got = figures(day, played)
    assert played.broken == []
    # Guests too, and whatever the class.
    assert got.served > 0.9, got.least
    # Who is named is to blame: every mistaken job, and nothing and nobody else.
    named = set(re.findall(r"(wk-\d+) is held back", caplog.text))
    assert named == mistaken
    assert "to be given up" not in caplog.text
    failed: dict[str, int] = {}
    for e in played.happened:
        if e.what == "ended" and e.detail == "error":
            failed[e.uid] = failed.get(e.uid, 0) + 1
    assert failed.keys() <= mistaken
    # One wave of its tasks for each owner of the day, and a few tries.
    assert all(n <= 60 for n in failed.values())
    # A healthy service is not taken for one that has lost data.
    assert "lost data" not in caplog.text
    # Urgent work is not kept by all this: ends of all controllers, an outage and boots apart.
    assert got.ranks["high"].median_s < 3.0
    assert got.ranks["high"].unserved == 0


def test_tiny_jobs_are_done_soon_after_they_ran() -> None:
    """Five changes a second for three changes of each of 200 tiny jobs, beside urgent work."""
    day = load(DAYS / "operations.toml")
    few = msgspec.structs.replace(day.installation, write_rps=14.0)
    arrivals = [
        msgspec.structs.replace(a, from_s=60.0, until_s=90.0, every_s=0.15)
        if a.job_class == "flurry"
        else msgspec.structs.replace(a, every_s=4.0, mistaken=0.0)
        for a in day.arrivals
        if a.job_class != "sweep"
    ]
    played = play(
        msgspec.structs.replace(day, installation=few, arrivals=arrivals, troubles=[]), "ageing", 4
    )
    assert played.broken == []
    ran = {e.uid: e.at for e in played.happened if e.what == "ended" and e.detail == "done"}
    told = {e.uid: e.at for e in played.happened if e.what == "final"}
    tiny = [uid for uid in ran if played.bodies[uid]["duty"] == "flurry"]
    assert len(tiny) > 150
    late = sorted(told.get(uid, day.seconds) - ran[uid] for uid in tiny)
    assert late[len(late) // 2] < 7.0  # 10 s before
    assert figures(day, played).ranks["high"].median_s < 1.0
