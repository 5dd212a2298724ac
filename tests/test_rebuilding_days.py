"""Days on which the state service loses data, with controllers that go on or end as well."""

from collections.abc import Callable
from pathlib import Path

import msgspec
import pytest
import trio
from days import play
from test_world import MIX, some_controllers

from ryegauge.config import Settings
from ryegauge.emulator.disk import MemoryDisk
from ryegauge.emulator.state import StateService
from ryegauge.emulator.world import World


def rebuilding(tmp_path: Path, count: int = 3) -> list[Settings]:
    return [
        msgspec.structs.replace(
            each, properties=msgspec.structs.replace(each.properties, rebuilding="on")
        )
        for each in some_controllers(tmp_path, count)
    ]


LOSSES: dict[str, Callable[[StateService], None]] = {
    "back 3 s": lambda state: state.go_back(3.0),
    "back 20 s": lambda state: state.go_back(20.0),
    "back 20 s, no leases": lambda state: state.go_back(20.0, leases=False),
    "all": lambda state: state.lose_all(),
    "records": lambda state: state.lose_records("r/j/"),
}


def lose(world: World, kind: str) -> None:
    LOSSES[kind](world.state)


# The last was found by a longer look: between two reads an owner placed tasks of a cancelled job,
# which the service had as it was before, and its team went over its limit.
DAYS = [(kind, 3, 2, ends) for kind in LOSSES for ends in ((), (0, 1))] + [("back 20 s", 5, 11, ())]


@pytest.mark.parametrize(("kind", "count", "seed", "ends"), DAYS)
def test_one_that_lives_is_enough(
    tmp_path: Path, kind: str, count: int, seed: int, ends: tuple[int, ...]
) -> None:
    async def script(world: World) -> None:
        world.state.history_s = 30.0
        await trio.sleep(62.0)
        lose(world, kind)
        world.crash(*ends)

    world = play(rebuilding(tmp_path, count), seed, MIX, script, 220.0)
    assert world.checker.broken == []
    assert world.unfinished == set()


def test_it_goes_on_where_it_was(tmp_path: Path) -> None:
    """Most controllers end while they put back; then the service goes back once more."""

    async def script(world: World) -> None:
        world.state.history_s = 30.0
        await trio.sleep(62.0)
        lose(world, "back 20 s")
        await trio.sleep(0.6)
        world.crash(0, 1, 2, 3)
        await trio.sleep(8.0)
        world.state.go_back(3.0)
        await trio.sleep(0.9)
        world.state.go_back(2.0)

    world = play(rebuilding(tmp_path, 5), 12, MIX, script, 220.0)
    assert world.checker.broken == []
    assert world.unfinished == set()
    assert world.state.data["r/e"][0]["e"] >= 3


@pytest.mark.parametrize("kind", ["back 20 s", "all", "records"])
def test_snapshots_are_enough_when_all_end(tmp_path: Path, kind: str) -> None:
    """Fresh ones, and beside them one that is cut off and one of another fleet."""

    async def script(world: World) -> None:
        world.state.history_s = 30.0
        disks = [MemoryDisk() for _ in world.settings]
        world.disks.update(enumerate(disks))
        world.crash(0, 1, 2)
        await trio.sleep(62.0)
        lose(world, kind)
        world.crash(0, 1, 2)
        newest = max(disks[0].files)
        disks[0].files[f"9{newest[1:]}"] = disks[0].files[newest][:-7]
        disks[1].files[f"9{newest[1:]}"] = b"something else"

    settings = [
        msgspec.structs.replace(
            each, properties=msgspec.structs.replace(each.properties, snapshots_every_s=2.0)
        )
        for each in rebuilding(tmp_path)
    ]
    world = play(settings, 13, MIX, script, 220.0)
    assert world.checker.broken == []
    assert world.unfinished == set()
    assert all(3 <= len(disk.files) <= 5 for disk in world.disks.values())


def test_tasks_that_run_are_adopted_if_nothing_else_is_left(tmp_path: Path) -> None:
    """All end, no snapshot, and the service has the job but not the share: its tasks go on
    where they are, and nothing runs twice or beyond the team's limit."""
    ran: list[int] = []

    async def script(world: World) -> None:
        world.state.history_s = 30.0
        await trio.sleep(40.0)
        ran.append(sum(len(w.on_machine()) for w in world.workers.values() if w.alive))
        assignments = [k for k in world.state.data if k.startswith("r/j/") and k.count("/") == 3]
        for key in assignments:
            del world.state.data[key]
        world.crash(0, 1, 2)

    jobs = [{"pieces": 6, "delay": 1.0, "really": 90.0}]
    world = play(rebuilding(tmp_path), 3, jobs, script, 150.0)
    assert world.checker.broken == []
    assert world.unfinished == set()
    assert ran == [6]
    assert world.checker.starts == 6  # none began anew


def test_what_nobody_knows_is_not_said_to_be_unknown(tmp_path: Path) -> None:
    """Everything is lost, with all who knew: 503 from the moment that a worker shows it, no 404
    for a job that was accepted, and the log says so."""

    async def script(world: World) -> None:
        await trio.sleep(30.0)
        world.state.lose_all()
        world.crash(0, 1, 2)

    jobs = [{"pieces": 6, "delay": 1.0, "really": 90.0}]
    settings = rebuilding(tmp_path)
    world = play(settings, 3, jobs, script, 60.0)
    assert world.checker.broken == []
    assert world.state.data["r/e"][0]["c"] is False
