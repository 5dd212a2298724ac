"""Machines that boot within two seconds and get tasks at once, while writes and the cloud's
answers lag and leaders crash; and jobs bound to one zone that lose their machines."""

from pathlib import Path
from typing import Any

import pytest
import trio
from days import Day, play
from test_leader import SMALL, LeaderHarness
from test_shard_owner import ShardHarness
from test_world import controller_settings

from ryegauge.config import Settings
from ryegauge.coordination.leader import Leader
from ryegauge.protocol.cloud import ListedMachine


def test_an_outdated_list_drops_no_machine(settings: Settings) -> None:
    """A machine missing from a list older than the previous one was dropped from the fleet and
    rented again; a spot machine also counted as reclaimed by the cloud."""
    harness = LeaderHarness(settings)
    new = ListedMachine("m-1", "small", "a", True, "starting", 1.0)
    harness.leader.on_machine_list([new], harness.now)
    harness.job("wk-000001", pieces=2)
    for _ in range(7):
        harness.now += 1.0
        harness.leader.on_machine_list([], harness.now)
        harness.round()
        assert harness.last_result.rentals == []
    harness.leader.on_machine_list([new], harness.now)
    harness.now += 8.5  # more than twice the list lag: it is gone
    harness.leader.on_machine_list([], harness.now)
    assert harness.leader.fleet.machines == {}
    harness.round()
    assert sum(r.count for r in harness.last_result.rentals) == 1


def test_a_machine_listed_as_starting_is_kept_until_its_owner_is_heard(settings: Settings) -> None:
    """Since the list lags, a machine that came up late may run tasks while it is still listed as
    starting. A new leader released it before it had a view from the owner."""
    harness = LeaderHarness(settings)
    harness.leader = Leader(10, harness.replica, settings, harness.now, {"small": SMALL})
    harness.leader.on_machine_list(
        [ListedMachine("m-1", "small", "a", True, "starting", 60.0)], harness.now
    )
    assert harness.leader.round(harness.now, harness.now).releases == []
    harness.machine("m-1", empty=False)
    harness.round()
    assert harness.last_result.releases == []
    del harness.machines["m-1"]
    harness.leader = Leader(11, harness.replica, settings, harness.now, {"small": SMALL})
    harness.leader.on_machine_list(
        [ListedMachine("m-1", "small", "a", True, "starting", 60.0)], harness.now
    )
    harness.round()
    assert harness.last_result.releases == ["m-1"]


def test_a_machine_that_reports_before_its_rental_is_answered(settings: Settings) -> None:
    """It belongs to the pending rental, but counted in addition to it: as long as the rental had
    no answer, tasks waited for machines that did not exist."""
    harness = LeaderHarness(settings)
    harness.job("wk-000001", pieces=2)
    harness.round()
    (rental,) = harness.last_result.rentals
    fleet = harness.leader.fleet
    fleet.on_rental_sent(rental, harness.now)
    harness.round()
    assert harness.last_result.rentals == []
    harness.machine("m-1", zone=rental.zone, spot=rental.spot)
    harness.job("wk-000002", pieces=2)
    assert sum(harness.round().values()) == 2
    assert sum(r.count for r in harness.last_result.rentals) == 1
    fleet.on_rental_granted(rental, ["m-1"], harness.now)
    assert fleet.machines["m-1"].has_reported
    assert fleet.starting_capacity(harness.now) == []


def test_new_machines_do_not_delay_conclusions_about_old_tasks(settings: Settings) -> None:
    """Each new machine reports once without the new owner's token. While new ones came every
    second, nothing was concluded about the tasks of the previous owner."""
    shard = ShardHarness(settings, [0])
    for n in range(13):
        shard.tick(1.0)
        shard.report(machine=f"m-{n}", seq=1, token=0)
        if n:
            shard.report(machine=f"m-{n - 1}", seq=2)
        shard.tick()
        assert (shard.phase(0) == "unseen") == (n < 10)


def longest_idle_s(world: Day, name: str) -> float:
    """The longest time in seconds for which a machine was charged and had no task."""
    worker = world.workers[name]
    end = last_event_at(world) if worker.ended_at is None else worker.ended_at
    longest, since, busy = 0.0, worker.since, 0
    for e in world.recorded_events:
        if e.machine == name and e.what in ("started", "ended"):
            if not busy:
                longest = max(longest, e.at - since)
            busy += 1 if e.what == "started" else -1
            since = e.at
    return max(longest, 0.0 if busy else end - since)


def last_event_at(world: Day) -> float:
    return max(e.at for e in world.recorded_events)


JOBS: list[dict[str, Any]] = [
    {
        "pieces": 4 + n % 5,
        "delay": 2.0 + 3.0 * n,
        "cpus": 1.0 + n % 3,
        "really": 6.0 + n % 7,
        "crew": ("red", "blue")[n % 2],
        **({"cancel_after": 5.0} if n % 4 == 3 else {}),
    }
    for n in range(18)
]


@pytest.mark.parametrize("seed", range(2))
def test_quick_boots_while_writes_lag_and_leaders_crash(tmp_path: Path, seed: int) -> None:
    async def script(world: Day) -> None:
        world.slow_zones, world.boot_factor = {"a", "b"}, 0.05
        world.network.max_answer_delay_s["10.2.0.2"] = (
            4.0  # many machines report before the cloud's answer
        )
        with world.late_writes(0.3), world.late_writes(0.2, at_once=True):
            for _ in range(4):
                await trio.sleep(15.0)
                leader = world.leader_number
                world.crash(*([] if leader is None else [leader]))
        del world.network.max_answer_delay_s["10.2.0.2"]

    world = play(controller_settings(tmp_path, 3), 60 + seed, JOBS, script, 190.0)
    assert world.checker.broken == []
    assert world.unfinished == set()
    assert [w.name for w in world.workers.values() if w.alive] == []
    # Unneeded machines are kept for the minute that is paid for anyway.
    assert max(longest_idle_s(world, name) for name in world.workers) < 90.0


@pytest.mark.parametrize("seed", range(2))
def test_jobs_bound_to_a_zone_lose_their_machines(tmp_path: Path, seed: int) -> None:
    zone_jobs: list[dict[str, Any]] = [
        {"pieces": 8, "delay": 1.0 + n, "cpus": 1.0, "really": 20.0, "crew": "blue", **constraints}
        for n, constraints in enumerate(
            [
                {"district": "b"},
                {"district": "b", "together": True},
                {"together": True},
                {"spread": True},
                {"district": "a", "loaners": False},
                {"district": "b", "builds": ["small"]},
            ]
        )
    ]

    async def script(world: Day) -> None:
        for n in range(4):
            await trio.sleep(14.0)
            busy = sorted(w.name for w in world.workers.values() if w.alive and w.active_tasks())
            for name in world.rng.sample(busy, len(busy) // 2):
                world.fail_machine(world.workers[name])
            if n % 2:
                world.crash(n % 3)

    world = play(controller_settings(tmp_path, 3), 80 + seed, zone_jobs, script, 140.0)
    assert world.checker.broken == []
    assert world.unfinished == set()
    assert sum(e.what == "lost" for e in world.recorded_events) >= 4
