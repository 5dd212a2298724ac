"""Teams that the settings name with zeros: nothing is guaranteed to them, nothing limits them."""

from pathlib import Path
from typing import Any

import msgspec
import trio
from days import play
from test_world import some_controllers

from ryegauge.config import Settings, Team
from ryegauge.emulator.world import World


def with_guest(tmp_path: Path, count: int = 3) -> list[Settings]:
    result = []
    for each in some_controllers(tmp_path, count):
        teams = [*each.settings.teams, Team("guest")]
        shared = msgspec.structs.replace(each.settings, teams=teams)
        result.append(msgspec.structs.replace(each, settings=shared))
    return result


GUESTS: list[dict[str, Any]] = [
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
    """On a recorded day all 587 submissions of a guest team, named with zeros, were answered
    422, since a limit of 0 was taken for a limit of nothing."""

    async def script(world: World) -> None:
        await trio.sleep(20.0)
        world.crash(0, 1)
        await trio.sleep(20.0)
        world.crash(2)

    world = play(with_guest(tmp_path), 3, GUESTS, script, 200.0)
    assert world.checker.broken == []
    assert world.unfinished == set()
    # Few run again: less than a tenth of what was submitted.
    assert world.checker.starts < 1.1 * sum(job["pieces"] for job in GUESTS)


def test_mistaken_jobs_beside_bad_machines(tmp_path: Path) -> None:
    """Three jobs that fail on every machine until they are cancelled, and two machines that
    fail every task: the jobs are tried ever more seldom, only the machines are given up."""
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
    for e in world.happened:
        if e.what == "ended" and e.detail == "error":
            failed[e.uid] = failed.get(e.uid, 0) + 1
    # A first wave of each, and a few tries: it was eight tasks every two seconds.
    mistaken = [failed.get(f"wk-00000{n}", 0) for n in (2, 3, 4)]
    assert min(mistaken) >= 2
    assert max(mistaken) < 40
    returned = {e.machine for e in world.happened if e.what == "returned"}
    assert faulty <= returned
