"""Teams at their limits while jobs are cancelled and leaders change: the capacity of a cancelled
task counts until the task has certainly ended, and is used again soon after."""

from collections import Counter
from collections.abc import Callable
from contextlib import AbstractContextManager, nullcontext
from pathlib import Path
from typing import Any

import msgspec
import pytest
import trio
from days import Day, play
from test_handover import confirm, hosts
from test_late_writes import KINDS
from test_world import controller_settings

from ryegauge.emulator.fleet import SMALL_FLEET

# Team red may use 32 CPUs and blue 48. Half of each team's first jobs are cancelled; as many
# others wait for their capacity.
JOB_TEAMS = [crew for crew, cpus in (("red", 32), ("blue", 48)) for _ in range(cpus // 8)]
JOBS: list[dict[str, Any]] = [
    {
        "pieces": 8,
        "cpus": 1.0,
        "memoryGb": 1.0,
        "crew": crew,
        "really": really,
        "expectS": really,
        "delay": delay,
    }
    for really, delay in ((400.0, 0.0), (6.0, 40.0))
    for crew in JOB_TEAMS
]
# Spot machines only, so that no task waits for a cheaper machine: 84 CPUs.
FLEET = tuple(
    msgspec.structs.replace(type_, steady=0, spot=spot)
    for type_, spot in zip(SMALL_FLEET, (9, 3), strict=True)
)
UIDS = [f"wk-{n + 1:06d}" for n in range(len(JOB_TEAMS))]
CANCELLED, KEPT = UIDS[::2], set(UIDS[1::2])


def used_cpus(world: Day) -> dict[str, int]:
    tasks = {t for w in world.workers.values() if w.alive for t in w.active_tasks()}
    return dict(Counter(world.checker.specs[t.rpartition("/")[0]]["crew"] for t in tasks))


async def wait_until_full(world: Day) -> None:
    with trio.fail_after(70.0):
        while used_cpus(world) != {"red": 32, "blue": 48}:
            await trio.sleep(1.0)
    await trio.sleep(5.0)


async def wait_with_spare_machines(world: Day) -> None:
    """Waits until both teams are at their limits, then adds machines without a request: now only
    the limits keep the waiting jobs from running."""
    await wait_until_full(world)
    for zone in "ab" * 3:
        world.rent("small", zone, True)
    await trio.sleep(16.0)
    assert used_cpus(world) == {"red": 32, "blue": 48}


def crash_leader(world: Day) -> None:
    if (leader := world.leader_number) is not None:
        world.crash(leader)


def check_end(world: Day) -> None:
    """Checks the end of a day. Its last half minute was free of faults: by then no task that fits
    may still be waiting."""
    assert world.checker.broken == []
    assert set(world.checker.cancelled_at) == set(CANCELLED)
    assert world.unfinished == KEPT


def every_third_machine(world: Day) -> set[str]:
    """Of every third machine, those that are alive and have booted."""
    return {w.name for w in list(world.workers.values())[::3] if w.alive and w.up}


def hang(world: Day) -> AbstractContextManager[None]:
    for name in every_third_machine(world):
        world.workers[name].hung_until = trio.current_time() + 9.0
    return nullcontext()


def delay_assignment_writes(world: Day) -> AbstractContextManager[None]:
    world.network.may_write_late = KINDS["allotment"]
    return world.late_writes(0.5)


FAULTS: dict[str, Callable[[Day], AbstractContextManager[None]]] = {
    "held up": lambda world: world.cut(every_third_machine(world), hosts(world), hold=True),
    "cut off": lambda world: world.cut(every_third_machine(world), hosts(world), hold=False),
    "hung": hang,
    "inbound loss": lambda world: world.inbound_loss(every_third_machine(world)),
    "outbound loss": lambda world: world.outbound_loss(every_third_machine(world)),
    "late assignments": delay_assignment_writes,
    "lost answers": lambda world: world.late_writes(0.4, at_once=True),
}


@pytest.mark.parametrize("fault", FAULTS)
def test_jobs_cancelled_at_the_limit_while_the_leader_crashes(tmp_path: Path, fault: str) -> None:
    """Half of the jobs are cancelled just before the leader crashes, the others while its machines
    cannot be reached and another leader takes over."""

    async def script(world: Day) -> None:
        await wait_with_spare_machines(world)
        with FAULTS[fault](world):
            for uid in CANCELLED[::2]:
                world.nursery.start_soon(confirm, world, uid, 1)
            await trio.sleep(0.4)
            crash_leader(world)
            for uid in CANCELLED[1::2]:
                await trio.sleep(2.5)
                world.nursery.start_soon(confirm, world, uid, 2)
            await trio.sleep(4.0)

    check_end(play(controller_settings(tmp_path, 3), 31, JOBS, script, 86.0, FLEET))


@pytest.mark.parametrize("fault", ["held up", "late assignments"])
def test_jobs_cancelled_at_the_limit_while_ten_leaders_crash(tmp_path: Path, fault: str) -> None:
    """Ten leaders crash within two minutes, with repeated phases of faults."""

    async def script(world: Day) -> None:
        await wait_until_full(world)
        for n in range(10):
            with FAULTS[fault](world):
                if n % 2:
                    world.nursery.start_soon(confirm, world, CANCELLED[n // 2], n)
                await trio.sleep(0.5 + 0.6 * n)
                crash_leader(world)
                await trio.sleep(3.0)
            await trio.sleep(5.5 - 0.4 * n)

    world = play(controller_settings(tmp_path, 3), 32, JOBS, script, 135.0, FLEET)
    check_end(world)
    leaders = [value["o"] for key, value in world.written if key == "r/l"]
    assert len(leaders) >= 8


@pytest.mark.parametrize("seed", range(2))
def test_jobs_cancelled_while_the_state_service_refuses_the_leader_and_then_all(
    tmp_path: Path, seed: int
) -> None:
    """The jobs are cancelled one by one within a second. With the write of the last cancellation,
    before any other controller has read it, the state service fails for longer than
    `cancel_s`."""

    async def script(world: Day) -> None:
        await wait_until_full(world)
        leader = world.leader_number
        assert leader is not None
        last = f"r/j/{CANCELLED[-1]}"
        began = trio.Event()

        def written(key: str, value: Any) -> None:
            if key == last and value.get("x"):
                world.state.outage = True
                began.set()

        world.state.on_write.append(written)
        with world.refused_by_state(leader):
            for n, uid in enumerate(CANCELLED):
                world.nursery.start_soon(confirm, world, uid, leader + 1 + (n + seed) % 2)
                await trio.sleep(1.0 / len(CANCELLED))
            await began.wait()
            await trio.sleep(46.0)
            assert used_cpus(world) == {"red": 16, "blue": 24}
            world.state.end_outage()
            await trio.sleep(1.0)

    check_end(play(controller_settings(tmp_path, 3), 33 + seed, JOBS, script, 115.0, FLEET))
