"""Copies of direct commands, answered or late ones, arrive at any later time while the worker's
token and session still match. None starts a task beside another attempt of it, or a task that its
owner has given up."""

from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest
import trio
from days import Day, play
from test_world import controller_settings

LONG_JOBS: list[dict[str, Any]] = [
    {
        "pieces": 6,
        "delay": 1.0 + n,
        "cpus": 1.0,
        "memoryGb": 1.0,
        "really": 70.0,
        "expectS": 70.0,
        "crew": crew,
    }
    for n in range(3)
    for crew in ("red", "blue")
]
SHORT_JOBS: list[dict[str, Any]] = [
    {"pieces": 3, "delay": 30.0 + 4.0 * n, "cpus": 1.0, "memoryGb": 1.0, "really": 5.0}
    for n in range(24)
]
# Cancelled while they run, with some of the copies later than `cancel_s`.
CANCELLED_JOBS: list[dict[str, Any]] = [
    {
        "pieces": 2,
        "delay": 26.0 + 3.0 * n,
        "cpus": 1.0,
        "memoryGb": 1.0,
        "really": 70.0,
        "crew": "blue",
        "cancel_after": 2.0,
    }
    for n in range(24)
]


def machines_in_use(world: Day) -> list[str]:
    """Machines on which tasks run."""
    return sorted(w.name for w in world.workers.values() if w.alive and w.active_tasks())


async def give_notices(world: Day) -> None:
    """One machine after the other gets a notice, and its tasks move; it is not taken back."""
    for _ in range(12):
        for name in world.rng.sample(machines_in_use(world), min(2, len(machines_in_use(world)))):
            world.workers[name].notice_at = trio.current_time() + 40.0
            world.workers[name].changed.set()
        await trio.sleep(8.0)


async def fail_tasks(world: Day) -> None:
    """One machine after the other fails all its tasks for some seconds, and is sound again."""
    for _ in range(12):
        names = world.rng.sample(machines_in_use(world), min(2, len(machines_in_use(world))))
        for name in names:
            world.workers[name].faulty = True
            for task in world.workers[name].active_tasks():
                for (held, _), attempt in list(world.workers[name].attempts.items()):
                    if held == task:
                        world.workers[name]._end(task, attempt, "error")
        await trio.sleep(6.0)
        for name in names:
            world.workers[name].faulty = False
        await trio.sleep(2.0)


async def evict_tasks(world: Day) -> None:
    """Owners are told to stop tasks in favour of others, again and again."""
    for _ in range(16):
        for node in world.nodes.values():
            for owner in node._context.owned.values():
                for machine in list(owner.machines.values()):
                    for uid in sorted({key[0] for key in machine.tasks})[:1]:
                        owner.evict(machine.name, uid, 2)
        await trio.sleep(6.0)


async def cancel_jobs(world: Day) -> None:
    """Users cancel jobs one after the other, while the copies of their starts are under way."""
    for _ in range(6):
        await world.cancel_now(2)
        await trio.sleep(10.0)


async def change_owners(world: Day) -> None:
    """Tasks move while the owners crash, one after the other and all at once."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(give_notices, world)
        for numbers in ([0], [1], [2], [0, 1, 2], [1]):
            await trio.sleep(17.0)
            world.crash(*numbers)


async def state_outages(world: Day) -> None:
    """Tasks move while the state service is out, so that its revision stands still."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(give_notices, world)
        for _ in range(3):
            await trio.sleep(10.0)
            world.state.outage = True
            await trio.sleep(16.0)
            world.state.end_outage()


ENDINGS: list[Callable[[Day], Awaitable[None]]] = [
    give_notices,
    fail_tasks,
    evict_tasks,
    cancel_jobs,
    change_owners,
    state_outages,
]


@pytest.mark.parametrize("late", [False, True], ids=["answered", "late"])
@pytest.mark.parametrize("end", ENDINGS, ids=lambda end: end.__name__)
def test_copies_of_direct_commands_start_nothing(
    tmp_path: Path, end: Callable[[Day], Awaitable[None]], late: bool
) -> None:
    """Guards against a late copy of an answered direct `run` that started a task beside its next
    attempt, since its first attempt had been forgotten under the same token (review/1)."""

    async def script(world: Day) -> None:
        with world.command_copies(1.0), world.late_commands(0.3 if late else 0.0):
            await trio.sleep(25.0)
            await end(world)

    jobs = LONG_JOBS + SHORT_JOBS + CANCELLED_JOBS
    world = play(controller_settings(tmp_path, 3), 7, jobs, script, 450.0)
    assert world.checker.broken == []
    assert world.unfinished == set()
