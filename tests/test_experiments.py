"""Experiments: day files, reproducible results, and metrics."""

import json
from pathlib import Path

import msgspec
import pytest
from click.testing import CliRunner

from ryegauge.cli import main
from ryegauge.cli.experiment import DAYS_DIR
from ryegauge.config import ConfigError
from ryegauge.emulator.world import RecordedEvent, World
from ryegauge.experiments.day import load, submissions
from ryegauge.experiments.delays import compute_metrics
from ryegauge.experiments.play import DayResult, play
from ryegauge.experiments.served import least_served

SMALL_DAY = """
title = "a small day"
seconds = 60
[installation]
teams = [{ name = "red", cpus = 8, cpus_max = 16 }]
controllers = 1
[[types]]
name = "small"
cpus = 4
memory_gb = 16
zones = ["a"]
price = 0.4
spot_price = 0.1
boot_s = 5
spot = 2
[[arrivals]]
job_class = "pick"
team = "red"
priority = "high"
tasks = [1, 4]
run_s = [3, 6]
every_s = 8
[[arrivals]]
job_class = "old"
team = "red"
priority = "normal"
tasks = 12
run_s = 10
backlog = true
"""


@pytest.fixture
def small_day(tmp_path: Path) -> Path:
    path = tmp_path / "small.toml"
    path.write_text(SMALL_DAY)
    return path


@pytest.mark.parametrize(
    ("old", "new", "error"),
    [
        ("seconds = 60", "secnods = 60", "secnods"),
        ("tasks = 12", "tasks = 0", r"arrivals\[1\]"),
        ('team = "red"\npriority = "high"', 'team = "rad"\npriority = "high"', "no team 'rad'"),
        ("run_s = [3, 6]", "run_s = [6, 3]", r"arrivals\[0\]\.run_s"),
        ('priority = "high"', 'priority = "urgent"', "urgent"),
        ("[installation]", "[properties]\nageing_flor = 1\n[installation]", "ageing_flor"),
        ("title", "[title", "TOML"),
    ],
)
def test_an_error_in_a_day_file_names_its_place(
    small_day: Path, old: str, new: str, error: str
) -> None:
    assert old in SMALL_DAY
    small_day.write_text(SMALL_DAY.replace(old, new, 1))
    with pytest.raises(ConfigError, match=error):
        load(small_day)
    result = CliRunner().invoke(main, ["experiment", "ageing", "--day", str(small_day)])
    assert result.exit_code == 2


TROUBLE = """
[[troubles]]
at_s = 1
lasts_s = 2
kind = "late_writes"
part = 0.5
"""


@pytest.mark.parametrize(
    ("old", "new", "error"),
    [
        ("late_writes", "late_wrytes", r"troubles\[0\]\.kind"),
        ("part = 0.5", "part = 1.5", r"troubles\[0\]\.part"),
        ("part = 0.5", "part = -0.5", r"troubles\[0\]\.part"),
        ("lasts_s = 2", "lasts_s = -2", r"troubles\[0\]\.lasts_s"),
        ("part = 0.5", "count = -1", r"troubles\[0\]\.count"),
        ("part = 0.5", 'zone = "q"', r"troubles\[0\]\.zone: no zone 'q'"),
        ('"late_writes"', '"late_reports"\nat_once = true', r"troubles\[0\]\.at_once: only for"),
        ("part = 0.5", "for_next = true", r"troubles\[0\]\.for_next: only for late_reports"),
        ("part = 0.5", "hang_s = -1", r"troubles\[0\]\.hang_s"),
        ("late_writes", "cancel_now", r"troubles\[0\]\.count: cancel_now needs count"),
        ('"late_writes"\npart = 0.5', '"machines_mute"', r"troubles\[0\]\.count: machines_mute"),
        ('"late_writes"\npart = 0.5', '"cancel_at_end"', r"troubles\[0\]\.part: cancel_at_end"),
        ('"late_writes"\npart = 0.5', '"late_commands"', r"troubles\[0\]\.part: late_commands"),
        ('"late_writes"\npart = 0.5', '"command_copies"', r"troubles\[0\]\.part: command_copies"),
    ],
)
def test_an_error_in_a_trouble_names_its_place(
    small_day: Path, old: str, new: str, error: str
) -> None:
    small_day.write_text(SMALL_DAY + TROUBLE.replace(old, new, 1))
    with pytest.raises(ConfigError, match=error):
        load(small_day)
    result = CliRunner().invoke(main, ["experiment", "ageing", "--day", str(small_day)])
    assert result.exit_code == 2
    assert "troubles[0]" in result.output


def test_each_trouble_of_a_day_takes_effect_and_ends(small_day: Path) -> None:
    """Each trouble shows in the state of the world while it lasts, alone, and not afterwards."""
    kinds = [
        "late_writes",
        "late_reports",
        "late_commands",
        "command_copies",
        "machines_deaf",
        "leader_refused",
        "leader_cut",
        "machines_mute",
        "cancel_at_end",
        "odd_requests",
        "close_looks",
        "lost_writes",
        "kept_reports",
    ]
    overrides = {
        "lost_writes": 'late_writes"\nat_once = true #"',
        "kept_reports": 'late_reports"\nfor_next = true #"',
    }
    small_day.write_text(
        SMALL_DAY
        + "".join(
            TROUBLE.replace("late_writes", overrides.get(kind, kind)).replace(
                "at_s = 1", f"at_s = {10 + 3.5 * n}"
            )
            for n, kind in enumerate(kinds)
        )
    )
    active: list[set[str]] = []

    def watch(world: World) -> None:
        net = world.network
        active.append(
            {
                name
                for name, is_active in {
                    "late_writes": net.late_writes == 0.5,
                    "late_reports": net.late_reports == 0.5,
                    "late_commands": net.late_commands == 0.5,
                    "command_copies": net.command_copies == 0.5,
                    "machines_deaf": net.inbound_loss,
                    "leader_refused": net.refused_routes,
                    "leader_cut": net.cuts,
                    "machines_mute": net.outbound_loss,
                    "cancel_at_end": world.users.cancel_share_at_end == 0.5,
                    "odd_requests": world.users.odd_requests_since is not None,
                    "close_looks": world.users.poll_bursts_active,
                    "lost_writes": net.lost_writes == 0.5,
                    "kept_reports": net.kept_reports == 0.5,
                }.items()
                if is_active
            }
        )

    day_result = play(load(small_day), "settled", 3, watch=watch)
    assert day_result.broken == []
    assert set().union(*active) == set(kinds)
    assert all(len(names) <= 1 for names in active)
    assert active[-1] == set()


def test_the_largest_jobs_of_a_class_are_scored_on_their_own() -> None:
    """Nine small jobs are served; the only large one is not, or starts too late.

    The share of the whole class stays above one half.
    """
    bodies = {
        f"wk-{n}": {"duty": "pick", "crew": "red", "pieces": 10 if n == 9 else 2} for n in range(10)
    }
    events = [RecordedEvent(0.0, "submitted", uid) for uid in bodies]
    small_jobs = [uid for uid in bodies if uid != "wk-9"]
    events += [RecordedEvent(9.0, "started", uid, f"{uid}/0") for uid in small_jobs]
    events += [
        RecordedEvent(20.0, "ended", uid, f"{uid}/{i}", detail="done")
        for uid in small_jobs
        for i in range(2)
    ]
    assert least_served(events, bodies, 300.0) == (0.0, "largest of pick")
    events += [RecordedEvent(300.0, "ended", "wk-9", f"wk-9/{i}", detail="done") for i in range(10)]
    late = [*events, RecordedEvent(241.0, "started", "wk-9", "wk-9/0")]
    assert least_served(late, bodies, 300.0) == (0.0, "largest of pick begun")
    in_time = [*events, RecordedEvent(239.0, "started", "wk-9", "wk-9/0")]
    assert least_served(in_time, bodies, 300.0)[0] == 1.0


def test_built_in_days_load_and_draw_reproducible_jobs() -> None:
    days = {path.stem: load(path) for path in DAYS_DIR.glob("*.toml")}
    assert {"dusk", "flood4", "flood10", "dusk-troubles"} <= set(days)
    for day in days.values():
        jobs = list(submissions(day, 3))
        assert jobs == list(submissions(day, 3))
        assert jobs != list(submissions(day, 4))
        assert len({s.body["uid"] for s in jobs}) == len(jobs)
        # Leaving the backlog out does not change the random numbers of the other jobs.
        without_backlog = list(submissions(day, 3, backlog=False))
        assert without_backlog == [s for s in jobs if s.body["urgency"] == "high"]
        assert 20 < len(without_backlog) < len(jobs)


def test_the_same_seed_gives_the_same_metrics_and_files(small_day: Path, tmp_path: Path) -> None:
    def run_experiment(seed: int, out: Path) -> str:
        result = CliRunner().invoke(
            main,
            [
                "experiment",
                "ageing",
                "--day",
                str(small_day),
                "--seed",
                str(seed),
                "--json",
                "--processes",
                "1",
                "--out",
                str(out),
            ],
        )
        assert result.exit_code == 0, result.output
        return result.stdout

    first = run_experiment(1, tmp_path / "a")
    assert first == run_experiment(1, tmp_path / "b")
    assert first != run_experiment(2, tmp_path / "c")
    events = [(tmp_path / name / "small.parquet").read_bytes() for name in "ab"]
    assert events[0] == events[1]
    assert (tmp_path / "a" / "small.png").read_bytes()[:4] == b"\x89PNG"
    rows = json.loads(first)["small"]["delays"]
    assert {row["policy"] for row in rows} == {"strict, no backlog", "settled", "strict", "ageing"}
    assert all(row["jobs"] > 0 for row in rows if row["priority"] == "high")


def test_inversions_and_unserved_jobs_are_counted(small_day: Path) -> None:
    """A hand-written day: an urgent job waits from second 10 to 29.

    The start of a normal job at 20 is an inversion. Not inversions are a start at 11, which was
    decided before the urgent job was known; the start of a smaller task, whose capacity would not
    have sufficed; and a start that is due by age.
    """
    day = load(small_day)
    day = msgspec.structs.replace(day, properties={"ageing_patience_leases": 1.0})
    body_by_priority = {s.body["urgency"]: s.body for s in submissions(day, 1)}
    high, low = body_by_priority["high"], {**body_by_priority["normal"], "pieces": 50}
    bodies = {
        "h": high,
        "low": low,
        "tiny": {**low, "cpus": 0.5},
        "old": low,
        "never": low,
    }
    events = [
        RecordedEvent(0.0, "submitted", "old"),
        RecordedEvent(9.0, "submitted", "low"),
        RecordedEvent(9.0, "submitted", "tiny"),
        RecordedEvent(9.0, "submitted", "never"),
        RecordedEvent(10.0, "submitted", "h"),
        RecordedEvent(11.0, "started", "low", "low/0"),
        RecordedEvent(20.0, "started", "low", "low/1"),
        RecordedEvent(20.5, "started", "tiny", "tiny/0"),
        RecordedEvent(25.0, "ended", "low", "low/1", "m", "done"),
        RecordedEvent(29.0, "started", "h", "h/0"),
        RecordedEvent(45.0, "started", "old", "old/0"),
    ]
    day_result = DayResult(1, "settled", 60.0, events, bodies, [], 1.0, 0)
    metrics = compute_metrics(day, day_result)
    assert metrics.inversions == 1
    assert metrics.aged_starts == 1
    assert metrics.ranks["normal"].unserved == 1
    assert metrics.ranks["high"].worst_s == 19.0
    assert metrics.ranks["normal"].worst_s == 51.0
    assert metrics.lost == 0
    # Of the four normal jobs with 50 tasks each, one task was done; of the urgent job none.
    assert (metrics.served, metrics.least) == (0.0, f"class {high['duty']}")
