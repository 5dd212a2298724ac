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
    {"pieces": 600, "delay": 3.0, "crew": "guest", "cpus": 0.25, "memoryGb": 0.5, "expectS": 4.0,
     "really": 4.0, "urgency": "best_effort", "dueS": None},
    *({"pieces": 1, "delay": 5.0 + n / 4, "crew": "guest", "cpus": 0.25, "memoryGb": 0.5,
       "expectS": 4.0, "really": 4.0, "urgency": "best_effort", "dueS": None} for n in range(40)),
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
