"""Days on which the state service loses data, with controllers that go on or end as well."""

from pathlib import Path

import msgspec
import pytest
import trio
from days import play
from test_world import MIX, some_controllers

from ryegauge.config import Settings
from ryegauge.emulator.world import World


def rebuilding(tmp_path: Path, count: int = 3) -> list[Settings]:
    return [
        msgspec.structs.replace(
            each, properties=msgspec.structs.replace(each.properties, rebuilding="on")
        )
        for each in some_controllers(tmp_path, count)
    ]


def lose(world: World, kind: str) -> None:
    match kind:
        case "back 3 s":
            world.state.go_back(3.0)
        case "back 20 s":
            world.state.go_back(20.0)
        case "back 20 s, no leases":
            world.state.go_back(20.0, leases=False)
        case "all":
            world.state.lose_all()
        case "records":
            world.state.lose_records("r/j/")


KINDS = ["back 3 s", "back 20 s", "back 20 s, no leases", "all", "records"]


@pytest.mark.parametrize("kind", KINDS)
def test_controllers_that_live_put_everything_back(tmp_path: Path, kind: str) -> None:
    async def script(world: World) -> None:
        world.state.history_s = 30.0
        await trio.sleep(62.0)
        lose(world, kind)

    world = play(rebuilding(tmp_path), 1, MIX, script, 220.0)
    assert world.checker.broken == []
    assert world.unfinished == set()


def test_nobody_acts_by_a_book_that_came_back(tmp_path: Path) -> None:
    """Found by this day: between two reads the owner placed tasks of a cancelled job, which the
    service had as it was before, and its team went over its limit."""
    async def script(world: World) -> None:
        world.state.history_s = 30.0
        await trio.sleep(62.0)
        lose(world, "back 20 s")

    world = play(rebuilding(tmp_path, 5), 11, MIX, script, 120.0)
    assert world.checker.broken == []


@pytest.mark.parametrize("kind", KINDS)
def test_one_that_lives_is_enough(tmp_path: Path, kind: str) -> None:
    async def script(world: World) -> None:
        world.state.history_s = 30.0
        await trio.sleep(62.0)
        lose(world, kind)
        world.crash(0, 1)

    world = play(rebuilding(tmp_path), 2, MIX, script, 220.0)
    assert world.checker.broken == []
    assert world.unfinished == set()
