"""Meetings of troubles: two or three at once, as the seed has it. The rules are the same, and once
it is over every job is answered for and runs."""

import os
from collections.abc import Awaitable, Callable
from contextlib import AbstractContextManager
from pathlib import Path
from typing import Any

import pytest
import trio
from days import Day, play
from test_rebuilding_days import rebuilding
from test_world import MIX, PIPES, some_controllers

from ryegauge.config import Settings

# More seeds for a longer look: RYEGAUGE_SEEDS=40 pytest tests/test_meetings.py
SEEDS = int(os.environ.get("RYEGAUGE_SEEDS", "3"))

JOBS: list[dict[str, Any]] = [
    *MIX,
    *PIPES,
    # Of two or three tasks that end far apart, so that leaders change in between.
    {"pieces": 3, "delay": 15.0, "cpus": 1.0, "really": 4.0, "apart": 40.0, "crew": "blue"},
    {"pieces": 2, "delay": 25.0, "cpus": 1.0, "really": 10.0, "apart": 60.0, "crew": "blue"},
    {"pieces": 2, "delay": 90.0, "cpus": 1.0, "really": 6.0, "apart": 50.0, "crew": "blue"},
    # Submitted and cancelled in the midst of it.
    *(
        {
            "pieces": 4,
            "delay": 36.0 + 9.0 * n,
            "cpus": 1.0,
            "really": 30.0,
            "crew": "blue",
            "cancel_after": 4.0 + n,
        }
        for n in range(8)
    ),
]


async def for_a_while(world: Day, trouble: AbstractContextManager[None]) -> None:
    with trouble:
        await trio.sleep(world.rng.uniform(10.0, 40.0))


def leader_of(world: Day) -> int:
    leader = world.leading
    return 0 if leader is None else leader


def up(world: Day, share: float) -> list[str]:
    names = sorted(w.name for w in world.workers.values() if w.alive and w.up)
    return world.rng.sample(names, round(share * len(names)))


async def slow_state(world: Day) -> None:
    await for_a_while(world, world.slow_state(world.rng.choice([0.5, 1.2, 3.0])))


async def refused_then_outage(world: Day) -> None:
    with world.refused_by_state(leader_of(world)):
        await trio.sleep(world.rng.uniform(0.0, 10.0))
        world.state.outage = True
        await trio.sleep(world.rng.uniform(36.0, 55.0))
        world.state.end_outage()
        await trio.sleep(2.0)


async def refused(world: Day) -> None:
    n = leader_of(world)
    await for_a_while(world, world.refused_by_state(n, *([(n + 1) % 5] * world.rng.randrange(2))))


async def late_reports(world: Day) -> None:
    await for_a_while(world, world.late_reports(0.5))


async def late_writes(world: Day) -> None:
    await for_a_while(world, world.late_writes(world.rng.choice([0.1, 0.4])))


async def deaf(world: Day) -> None:
    await for_a_while(world, world.deaf(up(world, world.rng.choice([0.2, 0.6]))))


async def leader_alone(world: Day) -> None:
    hold = world.rng.random() < 0.5
    await for_a_while(world, world.cut_from_state_and_peers(leader_of(world), hold))


async def over_and_back(world: Day) -> None:
    """Leaders end, all end, one is back within a second."""
    world.restart_s = world.rng.choice([0.05, 0.3, 0.8, 4.0])
    for numbers in ([leader_of(world)], range(5), [leader_of(world)]):
        world.crash(*numbers)
        await trio.sleep(world.rng.uniform(0.1, 5.0))


async def leader_ends_unseen(world: Day) -> None:
    """Machines cannot be reached, or do not hear the new one's answers."""
    some = set(up(world, 0.4))
    hosts = {world.host_of(n) for n in range(5)}
    cut = world.cut(some, hosts, hold=world.rng.random() < 0.5)
    with cut if world.rng.random() < 0.5 else world.deaf(some):
        world.crash(leader_of(world))
        await trio.sleep(world.rng.uniform(8.0, 35.0))


async def held_up(world: Day) -> None:
    """Commands and answers are held for seconds; then the machines go on."""
    hosts = {world.host_of(n) for n in range(5)}
    for _ in range(4):
        with world.cut(set(up(world, 0.5)), hosts, hold=True):
            await trio.sleep(world.rng.uniform(1.5, 7.0))
        for name in up(world, 0.3):
            world.workers[name].hung_until = trio.current_time() + world.rng.uniform(1.0, 8.0)
        await trio.sleep(world.rng.uniform(0.5, 2.0))


async def outage(world: Day) -> None:
    world.state.outage = True
    await trio.sleep(world.rng.uniform(3.0, 30.0))
    world.state.end_outage()


async def mute(world: Day) -> None:
    await for_a_while(world, world.mute(up(world, world.rng.choice([0.2, 0.6]))))


async def lost_answers(world: Day) -> None:
    await for_a_while(world, world.late_writes(world.rng.choice([0.1, 0.4]), at_once=True))


async def reports_for_the_next(world: Day) -> None:
    with world.late_reports(0.5, for_next=True):
        await trio.sleep(world.rng.uniform(5.0, 20.0))
        world.crash(leader_of(world))
        await trio.sleep(world.rng.uniform(5.0, 20.0))


async def cancel_now(world: Day) -> None:
    """Twice, the machines of the second hang for less or more than `cancel_s`."""
    for hang_s in (0.0, world.rng.choice([5.0, 12.0, 40.0])):
        await world.cancel_now(3, hang_s)
        await trio.sleep(world.rng.uniform(2.0, 15.0))


async def cancel_at_end(world: Day) -> None:
    await for_a_while(world, world.cancel_at_end(0.5))


async def odd_requests(world: Day) -> None:
    await for_a_while(world, world.odd_requests())


async def close_looks(world: Day) -> None:
    await for_a_while(world, world.close_looks())


TROUBLES: list[Callable[[Day], Awaitable[None]]] = [
    slow_state,
    refused_then_outage,
    refused,
    late_reports,
    late_writes,
    deaf,
    leader_alone,
    over_and_back,
    leader_ends_unseen,
    held_up,
    outage,
    mute,
    lost_answers,
    reports_for_the_next,
    cancel_now,
    cancel_at_end,
    odd_requests,
    close_looks,
]


def meeting_of(seed: int) -> list[Callable[[Day], Awaitable[None]]]:
    """Pairs and triples; over the seeds every trouble comes with every other."""
    count = len(TROUBLES)
    first, apart = seed % count, 1 + seed // count % (count - 1)
    some = [TROUBLES[first], TROUBLES[(first + apart) % count]]
    return some + ([TROUBLES[(first + 2 * apart + 1) % count]] if seed % 2 else [])


@pytest.mark.parametrize("seed", range(SEEDS))
def test_rules_hold_when_troubles_meet(tmp_path: Path, seed: int) -> None:
    async def script(world: Day) -> None:
        await trio.sleep(30.0)
        for part in (seed, seed + 5, seed + 11):
            async with trio.open_nursery() as nursery:
                for trouble in meeting_of(part):
                    nursery.start_soon(trouble, world)
                    await trio.sleep(world.rng.uniform(0.0, 6.0))
            await trio.sleep(10.0)

    settings: list[Settings] = (
        rebuilding(tmp_path, 5)
        if seed % 3 == 0
        else some_controllers(tmp_path, 5, "ab" if seed % 3 == 1 else "a")
    )
    world = play(settings, 300 + seed, JOBS, script, 500.0)
    assert world.checker.broken == []
    assert world.troubles_ended_at < 330.0  # as much calm as ever after a meeting more
    assert world.unfinished == set()


@pytest.mark.parametrize("beside", [late_writes, slow_state, deaf, over_and_back])
def test_the_gap_twice_beside_another_trouble(
    tmp_path: Path, beside: Callable[[Day], Awaitable[None]]
) -> None:
    async def script(world: Day) -> None:
        await trio.sleep(40.0)
        for _ in range(2):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(beside, world)
                await trio.sleep(2.0)
                async with trio.open_nursery() as inner:
                    for refused_alone in (leader_of(world), (leader_of(world) + 1) % 5):
                        inner.start_soon(gap_again, world, refused_alone)

    world = play(some_controllers(tmp_path, 5), 11, JOBS, script, 420.0)
    assert world.checker.broken == []
    assert world.unfinished == set()


async def gap_again(world: Day, n: int) -> None:
    with world.refused_by_state(n):
        await trio.sleep(world.rng.uniform(0.5, 10.0))
        world.state.outage = True
        await trio.sleep(45.0)
        world.state.end_outage()
