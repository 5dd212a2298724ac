"""Teams without a guarantee and without a limit (zeros in the settings), and jobs and machines
that fail every task."""

from pathlib import Path
from typing import Any

import msgspec
import trio
from days import play
from test_world import controller_settings

from ryegauge.config import Settings, Team
from ryegauge.emulator.world import World


def with_guest(tmp_path: Path, count: int = 3) -> list[Settings]:
    """Settings of controllers with a team that has zeros for guarantee and limit."""
    result = []
    for each in controller_settings(tmp_path, count):
        teams = [*each.settings.teams, Team("guest")]
        shared = msgspec.structs.replace(each.settings, teams=teams)
        result.append(msgspec.structs.replace(each, settings=shared))
    return result


GUEST_JOBS: list[dict[str, Any]] = [
    {"pieces": 8, "delay": 1.0},
    {
        "pieces": 600,
        "delay": 3.0,
        "crew": "guest",
        "cpus": 0.25,
        "memoryGb": 0.5,
        "expectS": 4.0,
        "really": 4.0,
        "urgency": "best_effort",
        "dueS": None,
    },
    *(
        {
            "pieces": 1,
            "delay": 5.0 + n / 4,
            "crew": "guest",
            "cpus": 0.25,
            "memoryGb": 0.5,
            "expectS": 4.0,
            "really": 4.0,
            "urgency": "best_effort",
            "dueS": None,
        }
        for n in range(40)
    ),
    {"pieces": 10, "delay": 30.0, "crew": "blue", "urgency": "high", "dueS": 60.0},
]


def test_guests_are_served_while_owners_and_the_leader_end(tmp_path: Path) -> None:
    """A limit of 0 in the settings was taken to allow nothing, and all 587 submissions of a guest
    team in a recorded day were answered 422."""

    async def script(world: World) -> None:
        await trio.sleep(20.0)
        world.crash(0, 1)
        await trio.sleep(20.0)
        world.crash(2)

    world = play(with_guest(tmp_path), 3, GUEST_JOBS, script, 200.0)
    assert world.checker.broken == []
    assert world.unfinished == set()
    # Few tasks run again: less than a tenth of those submitted.
    assert world.checker.starts < 1.1 * sum(job["pieces"] for job in GUEST_JOBS)


def test_failing_jobs_next_to_faulty_machines(tmp_path: Path) -> None:
    """Three jobs that fail on every machine until they are cancelled, and two machines that fail
    every task. The jobs are retried with growing pauses, and only the machines are returned."""
    jobs: list[dict[str, Any]] = [
        {"pieces": 6, "delay": 1.0},
        {"pieces": 8, "delay": 4.0, "broken": True, "cancel_after": 100.0},
        {"pieces": 8, "delay": 8.0, "broken": True, "cancel_after": 100.0, "crew": "blue"},
        {"pieces": 1, "delay": 20.0, "broken": True, "cancel_after": 60.0},
        *(
            {"pieces": 4, "delay": 10.0 + 6 * n, "crew": "blue" if n % 2 else "red"}
            for n in range(16)
        ),
    ]
    faulty: set[str] = set()

    async def script(world: World) -> None:
        await trio.sleep(40.0)
        for worker in sorted(world.workers.values(), key=lambda w: w.name):
            if worker.alive and worker.up and len(faulty) < 2:
                worker.faulty = True
                faulty.add(worker.name)

    world = play(with_guest(tmp_path), 6, jobs, script, 260.0)
    assert world.checker.broken == []
    assert world.unfinished == set()
    assert {uid for uid, end in world.checker.final.items() if end == "cancelled"} == {
        "wk-000002",
        "wk-000003",
        "wk-000004",
    }
    failed: dict[str, int] = {}
    for e in world.recorded_events:
        if e.what == "ended" and e.detail == "error":
            failed[e.uid] = failed.get(e.uid, 0) + 1
    # The first attempts of each job and a few retries; without backoff all eight tasks of a job
    # failed every two seconds.
    failures = [failed.get(f"wk-00000{n}", 0) for n in (2, 3, 4)]
    assert min(failures) >= 2
    assert max(failures) < 40
    returned = {e.machine for e in world.recorded_events if e.what == "returned"}
    assert faulty <= returned
