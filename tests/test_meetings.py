"""Two or three overlapping faults, selected by the seed. No rule is violated, and once the faults
have ended every job gets a final status."""

import os
from collections.abc import Awaitable, Callable
from contextlib import AbstractContextManager
from pathlib import Path
from typing import Any

import pytest
import trio
from days import Day, play
from test_rebuilding_days import rebuilding
from test_world import MIXED_JOBS, PIPELINE_JOBS, controller_settings

from ryegauge.config import Settings

# A longer run with more seeds: RYEGAUGE_SEEDS=40 pytest tests/test_meetings.py
SEEDS = int(os.environ.get("RYEGAUGE_SEEDS", "3"))

JOBS: list[dict[str, Any]] = [
    *MIXED_JOBS,
    *PIPELINE_JOBS,
    # Jobs of two or three tasks that end far apart, so that leaders change in between.
    {"pieces": 3, "delay": 15.0, "cpus": 1.0, "really": 4.0, "apart": 40.0, "crew": "blue"},
    {"pieces": 2, "delay": 25.0, "cpus": 1.0, "really": 10.0, "apart": 60.0, "crew": "blue"},
    {"pieces": 2, "delay": 90.0, "cpus": 1.0, "really": 6.0, "apart": 50.0, "crew": "blue"},
    # Jobs that are submitted and cancelled during the faults.
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


async def keep_for_a_while(world: Day, fault: AbstractContextManager[None]) -> None:
    """Keeps the fault for 10 to 40 s."""
    with fault:
        await trio.sleep(world.rng.uniform(10.0, 40.0))


def leader_of(world: Day) -> int:
    """Number of the leader; 0 if none is on record."""
    leader = world.leader_number
    return 0 if leader is None else leader


def sample_booted(world: Day, share: float) -> list[str]:
    """A random share of the machines that have booted."""
    names = sorted(w.name for w in world.workers.values() if w.alive and w.up)
    return world.rng.sample(names, round(share * len(names)))


async def slow_state(world: Day) -> None:
    await keep_for_a_while(world, world.slow_state(world.rng.choice([0.5, 1.2, 3.0])))


async def refused_then_outage(world: Day) -> None:
    with world.refused_by_state(leader_of(world)):
        await trio.sleep(world.rng.uniform(0.0, 10.0))
        world.state.outage = True
        await trio.sleep(world.rng.uniform(36.0, 55.0))
        world.state.end_outage()
        await trio.sleep(2.0)


async def controllers_refused(world: Day) -> None:
    n = leader_of(world)
    await keep_for_a_while(
        world, world.refused_by_state(n, *([(n + 1) % 5] * world.rng.randrange(2)))
    )


async def late_reports(world: Day) -> None:
    await keep_for_a_while(world, world.late_reports(0.5))


async def late_commands(world: Day) -> None:
    await keep_for_a_while(world, world.late_commands(world.rng.choice([0.2, 0.6])))


async def late_writes(world: Day) -> None:
    await keep_for_a_while(world, world.late_writes(world.rng.choice([0.1, 0.4])))


async def machines_deaf(world: Day) -> None:
    await keep_for_a_while(
        world, world.inbound_loss(sample_booted(world, world.rng.choice([0.2, 0.6])))
    )


async def leader_cut(world: Day) -> None:
    hold = world.rng.random() < 0.5
    await keep_for_a_while(world, world.cut_from_state_and_peers(leader_of(world), hold))


async def repeated_crashes(world: Day) -> None:
    """The leader crashes, then all controllers, then the leader; restarts may take less than a
    second."""
    world.restart_s = world.rng.choice([0.05, 0.3, 0.8, 4.0])
    for numbers in ([leader_of(world)], range(5), [leader_of(world)]):
        world.crash(*numbers)
        await trio.sleep(world.rng.uniform(0.1, 5.0))


async def leader_crash_during_machine_fault(world: Day) -> None:
    """The leader crashes while some machines are cut from all controllers or get no answers."""
    affected = set(sample_booted(world, 0.4))
    hosts = {world.host_of(n) for n in range(5)}
    cut = world.cut(affected, hosts, hold=world.rng.random() < 0.5)
    with cut if world.rng.random() < 0.5 else world.inbound_loss(affected):
        world.crash(leader_of(world))
        await trio.sleep(world.rng.uniform(8.0, 35.0))


async def delayed_messages_and_hangs(world: Day) -> None:
    """Messages to and from half of the machines are delayed by seconds, then some machines hang."""
    hosts = {world.host_of(n) for n in range(5)}
    for _ in range(4):
        with world.cut(set(sample_booted(world, 0.5)), hosts, hold=True):
            await trio.sleep(world.rng.uniform(1.5, 7.0))
        for name in sample_booted(world, 0.3):
            world.workers[name].hung_until = trio.current_time() + world.rng.uniform(1.0, 8.0)
        await trio.sleep(world.rng.uniform(0.5, 2.0))


async def outage(world: Day) -> None:
    world.state.outage = True
    await trio.sleep(world.rng.uniform(3.0, 30.0))
    world.state.end_outage()


async def machines_mute(world: Day) -> None:
    await keep_for_a_while(
        world, world.outbound_loss(sample_booted(world, world.rng.choice([0.2, 0.6])))
    )


async def lost_write_answers(world: Day) -> None:
    await keep_for_a_while(world, world.late_writes(world.rng.choice([0.1, 0.4]), at_once=True))


async def old_reports_for_the_next_leader(world: Day) -> None:
    with world.late_reports(0.5, for_next=True):
        await trio.sleep(world.rng.uniform(5.0, 20.0))
        world.crash(leader_of(world))
        await trio.sleep(world.rng.uniform(5.0, 20.0))


async def cancel_now(world: Day) -> None:
    """Two bursts of cancellations; in the second, machines hang for less or more than
    `cancel_s`."""
    for hang_s in (0.0, world.rng.choice([5.0, 12.0, 40.0])):
        await world.cancel_now(3, hang_s)
        await trio.sleep(world.rng.uniform(2.0, 15.0))


async def cancel_at_end(world: Day) -> None:
    await keep_for_a_while(world, world.cancel_at_end(0.5))


async def odd_requests(world: Day) -> None:
    await keep_for_a_while(world, world.odd_requests())


async def close_looks(world: Day) -> None:
    await keep_for_a_while(world, world.close_looks())


FAULTS: list[Callable[[Day], Awaitable[None]]] = [
    slow_state,
    refused_then_outage,
    controllers_refused,
    late_reports,
    late_writes,
    machines_deaf,
    leader_cut,
    repeated_crashes,
    leader_crash_during_machine_fault,
    delayed_messages_and_hangs,
    outage,
    machines_mute,
    lost_write_answers,
    old_reports_for_the_next_leader,
    cancel_now,
    cancel_at_end,
    odd_requests,
    close_looks,
    late_commands,
]


def select_faults(seed: int) -> list[Callable[[Day], Awaitable[None]]]:
    """Two or three faults; over all seeds each is combined with each other."""
    count = len(FAULTS)
    first, distance = seed % count, 1 + seed // count % (count - 1)
    pair = [FAULTS[first], FAULTS[(first + distance) % count]]
    return pair + ([FAULTS[(first + 2 * distance + 1) % count]] if seed % 2 else [])


@pytest.mark.parametrize("seed", range(SEEDS))
def test_rules_hold_under_overlapping_faults(tmp_path: Path, seed: int) -> None:
    async def script(world: Day) -> None:
        # Copies of direct commands, answered or late ones, arrive all along.
        with world.command_copies(0.3):
            await trio.sleep(30.0)
            for selection in (seed, seed + 5, seed + 11):
                async with trio.open_nursery() as nursery:
                    for fault in select_faults(selection):
                        nursery.start_soon(fault, world)
                        await trio.sleep(world.rng.uniform(0.0, 6.0))
                await trio.sleep(10.0)

    settings: list[Settings] = (
        rebuilding(tmp_path, 5)
        if seed % 3 == 0
        else controller_settings(tmp_path, 5, "ab" if seed % 3 == 1 else "a")
    )
    world = play(settings, 300 + seed, JOBS, script, 500.0)
    assert world.checker.broken == []
    assert world.troubles_ended_at < 330.0  # enough time without faults remains
    assert world.unfinished == set()


@pytest.mark.parametrize("other_fault", [late_writes, slow_state, machines_deaf, repeated_crashes])
def test_refusals_before_outages_with_another_fault(
    tmp_path: Path, other_fault: Callable[[Day], Awaitable[None]]
) -> None:
    async def script(world: Day) -> None:
        await trio.sleep(40.0)
        for _ in range(2):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(other_fault, world)
                await trio.sleep(2.0)
                async with trio.open_nursery() as inner:
                    for refused_number in (leader_of(world), (leader_of(world) + 1) % 5):
                        inner.start_soon(refused_before_outage, world, refused_number)

    world = play(controller_settings(tmp_path, 5), 11, JOBS, script, 420.0)
    assert world.checker.broken == []
    assert world.unfinished == set()


async def refused_before_outage(world: Day, n: int) -> None:
    """The state service refuses one controller, and a moment later answers nobody."""
    with world.refused_by_state(n):
        await trio.sleep(world.rng.uniform(0.5, 10.0))
        world.state.outage = True
        await trio.sleep(45.0)
        world.state.end_outage()
