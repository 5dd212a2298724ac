"""Absences longer than a lease, and many changes of leader: all controllers down, a zone cut off
with its own controller, an outage of the state service, slow links with more work than capacity."""

from pathlib import Path
from typing import Any

import trio
from days import Day, play
from test_handover import cancel_all_along
from test_meetings import leader_of
from test_world import controller_settings

# The second of each pair is cancelled. Half of them run for longer than any fault here.
JOBS: list[dict[str, Any]] = [
    {"pieces": 4, "cpus": 1.0, "memoryGb": 1.0, "really": really, "crew": crew}
    for really in (18.0, 70.0)
    for crew in ("red", "blue")
    for _ in range(4)
]
CANCELLED = [f"wk-{n + 1:06d}" for n in range(1, len(JOBS), 2)]
LATER_JOBS = [
    {"pieces": 3, "cpus": 1.0, "delay": 45.0 + 4.0 * n, "really": 5.0, "crew": "blue"}
    for n in range(6)
]


def running(world: Day) -> set[str]:
    """The tasks on live machines."""
    return {task for w in world.workers.values() if w.alive for task in w.active_tasks()}


def test_all_controllers_are_away_for_longer_than_a_lease(tmp_path: Path) -> None:
    """Twice; the second time during an outage of the state service, with cancellations confirmed
    just before. No running task is forgotten, and none is started a second time beside it."""
    running_counts: list[int] = []

    async def script(world: Day) -> None:
        await trio.sleep(32.0)
        running_counts.append(len(running(world)))
        world.restart_s = 0.9 * world.lease_s
        world.crash(*range(5))
        await trio.sleep(20.0)
        world.restart_s = 1.6 * world.lease_s
        await cancel_all_along(world, CANCELLED, 4.0)
        world.state.outage = True
        await trio.sleep(1.0)
        world.crash(*range(5))
        await trio.sleep(1.2 * world.lease_s)
        world.state.end_outage()
        await trio.sleep(12.0)

    world = play(controller_settings(tmp_path, 5), 51, [*JOBS, *LATER_JOBS], script, 180.0)
    assert running_counts[0] > 20
    assert world.checker.broken == []
    assert world.unfinished == set()
    assert sum(w.session - 1 for w in world.workers.values()) > 0


def test_a_zone_with_a_controller_is_cut_off_for_longer_than_a_lease(tmp_path: Path) -> None:
    """Cut off from everything outside, including the state service and the cloud. The controller
    inside answers the zone's machines as long as it has authority; jobs that are cancelled outside
    meanwhile end there in time."""
    tasks_inside: list[set[str]] = []

    async def script(world: Day) -> None:
        await trio.sleep(32.0)
        names = {w.name for w in world.workers.values() if w.zone == "b"}
        names |= {world.host_of(n) for n in (1, 3)}
        rest = {world.host_of(n) for n in (0, 2, 4)} | {"users"}
        rest |= {
            s.partition(":")[0]
            for s in (world.settings[0].outside.state, world.settings[0].outside.cloud)
        }
        rest |= {w.name for w in world.workers.values() if w.zone == "a"}
        tasks_inside.append(
            {t for w in world.workers.values() if w.zone == "b" for t in w.active_tasks()}
        )
        with world.cut(names, rest, hold=True):
            await trio.sleep(1.0)
            await cancel_all_along(world, CANCELLED, 6.0)
            await trio.sleep(4.4 * world.lease_s)

    jobs_by_zone = [{**job, "district": "ab"[n // 2 % 2]} for n, job in enumerate(JOBS)]
    world = play(
        controller_settings(tmp_path, 5, "ab"), 52, [*jobs_by_zone, *LATER_JOBS], script, 200.0
    )
    assert len(tasks_inside[0]) > 4
    assert world.checker.broken == []
    assert world.unfinished == set()
    assert len(world.checker.cancelled_at) > len(CANCELLED) / 2


def test_ten_leaders_in_two_minutes_also_inside_an_outage(tmp_path: Path) -> None:
    """The leader crashes ten times, about every ten seconds, while jobs are cancelled. Two outages
    of the state service, with three crashes each, come between."""
    leaders: list[str] = []

    async def script(world: Day) -> None:
        world.restart_s = 1.5
        await trio.sleep(32.0)
        world.nursery.start_soon(cancel_all_along, world, CANCELLED, 100.0)
        for n in range(10):
            world.crash(leader_of(world))
            await trio.sleep(9.0 + n % 3)
            if n in (3, 7):
                world.state.outage = True
                for _ in range(3):
                    world.crash(leader_of(world))
                    await trio.sleep(3.0)
                world.state.end_outage()
                await trio.sleep(3.0)
        leaders.extend(value["o"] for key, value in world.written if key == "r/l")

    world = play(controller_settings(tmp_path, 5), 53, [*JOBS, *LATER_JOBS], script, 250.0)
    assert len(leaders) >= 10
    assert world.checker.broken == []
    assert world.unfinished == set()


def test_more_work_than_room_over_slow_links(tmp_path: Path) -> None:
    """Answers of workers and controllers take up to a quarter of a lease, and the leader crashes.
    Urgent jobs still start before others."""
    jobs: list[dict[str, Any]] = [
        {
            "pieces": 8,
            "cpus": 2.0,
            "memoryGb": 1.0,
            "really": 9.0,
            "delay": 1.5 * n,
            "crew": ("red", "blue")[n % 2],
            "urgency": ("best_effort", "high", "normal")[n % 3],
            **({"cancel_after": 6.0} if n % 5 == 4 else {}),
        }
        for n in range(24)
    ]

    async def script(world: Day) -> None:
        world.network.max_answer_delay_s |= {
            world.host_of(n): 0.25 * world.lease_s for n in range(3)
        }
        for _ in range(3):
            await trio.sleep(25.0)
            world.network.max_answer_delay_s |= dict.fromkeys(world.workers, 0.25 * world.lease_s)
            world.crash(leader_of(world))
        await trio.sleep(15.0)
        world.network.max_answer_delay_s.clear()

    world = play(controller_settings(tmp_path, 3), 54, jobs, script, 220.0)
    assert world.checker.broken == []
    assert world.unfinished == set()
    started_at = {e.uid: e.at for e in reversed(world.recorded_events) if e.what == "started"}
    submitted = {e.uid: (e.at, e.detail) for e in world.recorded_events if e.what == "submitted"}
    waits_s: dict[str, list[float]] = {}
    for uid, at in started_at.items():
        waits_s.setdefault(submitted[uid][1], []).append(at - submitted[uid][0])
    mean_s = {urgency: sum(times) / len(times) for urgency, times in waits_s.items()}
    assert mean_s["high"] < mean_s["best_effort"]
