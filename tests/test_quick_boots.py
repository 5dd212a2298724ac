"""Machines that are up within two seconds and get work at once, while writes and the cloud's
answers lag and the leader ends; and jobs bound to one zone that lose their machines."""

from pathlib import Path
from typing import Any

import pytest
import trio
from days import Day, play
from test_leader import SMALL, LeaderHarness
from test_part import ShardHarness
from test_world import some_controllers

from ryegauge.config import Settings
from ryegauge.coordination.leader import Leader
from ryegauge.protocol.cloud import ListedMachine


def test_a_list_older_than_the_one_before_drops_nothing(settings: Settings) -> None:
    """Found by reading: what had just been listed and was not up yet left the fleet, was rented
    again, and counted as taken by the cloud if it was a spot machine."""
    lead = LeaderHarness(settings)
    new = ListedMachine("m-1", "small", "a", True, "starting", 1.0)
    lead.leader.on_machine_list([new], lead.now)
    lead.job("wk-000001", pieces=2)
    for _ in range(7):
        lead.now += 1.0
        lead.leader.on_machine_list([], lead.now)
        lead.round()
        assert lead.last_result.rentals == []
    lead.leader.on_machine_list([new], lead.now)
    lead.now += 8.5  # twice the lag, and more: it is gone
    lead.leader.on_machine_list([], lead.now)
    assert lead.leader.fleet.machines == {}
    lead.round()
    assert sum(r.count for r in lead.last_result.rentals) == 1


def test_what_is_listed_as_starting_is_kept_until_its_owner_is_heard(settings: Settings) -> None:
    """Found by reading: the list lags, so a machine that came up late may run tasks while it is
    listed as starting; a new leader returned it before its owner had shown anything."""
    lead = LeaderHarness(settings)
    lead.leader = Leader(10, lead.replica, settings, lead.now, {"small": SMALL})
    lead.leader.on_machine_list(
        [ListedMachine("m-1", "small", "a", True, "starting", 60.0)], lead.now
    )
    assert lead.leader.round(lead.now, lead.now).releases == []
    lead.machine("m-1", empty=False)
    lead.round()
    assert lead.last_result.releases == []
    del lead.machines["m-1"]
    lead.leader = Leader(11, lead.replica, settings, lead.now, {"small": SMALL})
    lead.leader.on_machine_list(
        [ListedMachine("m-1", "small", "a", True, "starting", 60.0)], lead.now
    )
    lead.round()
    assert lead.last_result.releases == ["m-1"]


def test_a_machine_that_shows_itself_before_its_rental_is_answered(settings: Settings) -> None:
    """Found by reading: it is one of those that were asked for; as long as their request had no
    answer, work waited for as many besides it."""
    lead = LeaderHarness(settings)
    lead.job("wk-000001", pieces=2)
    lead.round()
    (rental,) = lead.last_result.rentals
    fleet = lead.leader.fleet
    fleet.on_rental_sent(rental, lead.now)
    lead.round()
    assert lead.last_result.rentals == []
    lead.machine("m-1", zone=rental.zone, spot=rental.spot)
    lead.job("wk-000002", pieces=2)
    assert sum(lead.round().values()) == 2
    assert sum(r.count for r in lead.last_result.rentals) == 1
    fleet.rented(rental, ["m-1"], lead.now)
    assert fleet.machines["m-1"].reported
    assert fleet.starting(lead.now) == []


def test_new_machines_do_not_hold_the_barrier(settings: Settings) -> None:
    """Found by reading: each is there without our token for a report, and while some came every
    second nothing was concluded of the tasks that the earlier owner had."""
    shard = ShardHarness(settings, [0])
    for n in range(13):
        shard.tick(1.0)
        shard.report(machine=f"m-{n}", seq=1, token=0)
        if n:
            shard.report(machine=f"m-{n - 1}", seq=2)
        shard.tick()
        assert (shard.phase(0) == "unseen") == (n < 10)


def unused_s(world: Day, name: str) -> float:
    """The longest time for which a machine was charged and had no task."""
    worker = world.workers[name]
    end = trio_end(world) if worker.ended_at is None else worker.ended_at
    longest, since, busy = 0.0, worker.since, 0
    for e in world.happened:
        if e.machine == name and e.what in ("started", "ended"):
            if not busy:
                longest = max(longest, e.at - since)
            busy += 1 if e.what == "started" else -1
            since = e.at
    return max(longest, 0.0 if busy else end - since)


def trio_end(world: Day) -> float:
    return max(e.at for e in world.happened)


WORK: list[dict[str, Any]] = [
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
def test_quick_boots_while_writes_lag_and_the_leader_ends(tmp_path: Path, seed: int) -> None:
    async def script(world: Day) -> None:
        world.slow_zones, world.boot_factor = {"a", "b"}, 0.05
        world.network.slow["10.2.0.2"] = 4.0  # many report before the cloud has answered
        with world.late_writes(0.3), world.late_writes(0.2, at_once=True):
            for _ in range(4):
                await trio.sleep(15.0)
                leader = world.leading
                world.crash(*([] if leader is None else [leader]))
        del world.network.slow["10.2.0.2"]

    world = play(some_controllers(tmp_path, 3), 60 + seed, WORK, script, 190.0)
    assert world.checker.broken == []
    assert world.unfinished == set()
    assert [w.name for w in world.workers.values() if w.alive] == []
    # What nobody needs is kept for the minute that it costs anyway.
    assert max(unused_s(world, name) for name in world.workers) < 90.0


@pytest.mark.parametrize("seed", range(2))
def test_jobs_bound_to_a_zone_lose_their_machines(tmp_path: Path, seed: int) -> None:
    bound: list[dict[str, Any]] = [
        {"pieces": 8, "delay": 1.0 + n, "cpus": 1.0, "really": 20.0, "crew": "blue", **place}
        for n, place in enumerate(
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
            busy = sorted(w.name for w in world.workers.values() if w.alive and w.on_machine())
            for name in world.rng.sample(busy, len(busy) // 2):
                world.lose(world.workers[name])
            if n % 2:
                world.crash(n % 3)

    world = play(some_controllers(tmp_path, 3), 80 + seed, bound, script, 140.0)
    assert world.checker.broken == []
    assert world.unfinished == set()
    assert sum(e.what == "lost" for e in world.happened) >= 4
