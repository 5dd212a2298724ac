"""Ageing in the leader's rounds and in whole simulated days: the cases it is meant for."""

from pathlib import Path
from typing import Any

import msgspec
import pytest
import trio
from conftest import job_body, settings_text
from days import play
from test_leader import NOW, LeaderHarness
from test_part import UID, ShardHarness

from ryegauge.bookkeeping.state import Event
from ryegauge.bookkeeping.state_replica import StateReplica, assignment_key, job_key, job_record
from ryegauge.config import Properties, Settings, load
from ryegauge.emulator.fleet import FleetType
from ryegauge.emulator.world import World
from ryegauge.ordering import create_policy
from ryegauge.ordering.ageing import Ageing
from ryegauge.protocol.jobs import parse_job
from ryegauge.scheduling.planner import Rental

DAY_S = 24 * 3600.0


def with_ordering(settings: Settings, ordering: str, **changes: float) -> Settings:
    properties = msgspec.convert({"ordering": ordering, **changes}, Properties)
    return msgspec.structs.replace(settings, properties=properties)


@pytest.fixture
def lead(settings: Settings) -> LeaderHarness:
    return LeaderHarness(with_ordering(settings, "ageing", ageing_patience_leases=1.0))


def flood(lead: LeaderHarness, first: int = 100, jobs: int = 10, **changes: object) -> None:
    for n in range(jobs):
        lead.job(f"wk-{first + n:06d}", urgency="high", pieces=8, cpus=1.0, memoryGb=1.0, **changes)


def old_job(lead: LeaderHarness, uid: str, age_s: float, **changes: object) -> None:
    record = job_record(parse_job(job_body(uid, **changes)), lead.now - age_s, False)
    lead.put(job_key(uid), record)


def test_an_old_archive_job_under_a_flood_of_urgent_picks(lead: LeaderHarness) -> None:
    """It gets its first task although the urgent ones could take all; not more than that,
    and nothing before its patience is over."""
    for n in range(4):
        lead.machine(f"m-{n}")
    flood(lead)
    old_job(lead, "wk-000001", 10.0, urgency="best_effort", pieces=20, cpus=2.0, crew="blue")
    assert "wk-000001" not in lead.round()
    old_job(lead, "wk-000002", DAY_S, urgency="best_effort", pieces=20, cpus=2.0, crew="blue")
    got = lead.round()
    assert got["wk-000002"] == 1  # one of 2 CPUs, of 16; another would be above the ceiling
    assert sum(got.values()) == 14 + 1


def test_a_dimming_schedule_at_dusk_behind_a_week_of_backlog(settings: Settings) -> None:
    """Of the old order this was the fault: routine work within its team's guarantee went
    before urgent work that is beyond that of its own."""
    for ordering, first in (("settled", "wk-000001"), ("ageing", "wk-000002")):
        lead = LeaderHarness(with_ordering(settings, ordering))
        lead.machine("m-1")
        old_job(lead, "wk-000001", 5.0, crew="blue", pieces=4, cpus=2.0)
        lead.job("wk-000002", urgency="high", pieces=12, cpus=2.0)
        assert next(iter(lead.round())) == first, ordering


def test_an_aged_job_of_a_team_at_its_limit_blocks_nobody(lead: LeaderHarness) -> None:
    for n in range(12):
        lead.machine(f"m-{n}")
    lead.job("wk-000001", pieces=16, cpus=2.0)  # all that red may use
    lead.allot("wk-000001", 0, list(range(16)))
    old_job(lead, "wk-000002", DAY_S, pieces=4, cpus=2.0)
    old_job(lead, "wk-000003", 500.0, pieces=4, cpus=2.0, crew="blue", urgency="best_effort")
    lead.job("wk-000004", pieces=4, cpus=2.0, crew="blue", urgency="critical")
    got = lead.round()
    assert "wk-000002" not in got
    assert next(iter(got)) == "wk-000003"
    assert got["wk-000004"] == 4


def busy(lead: LeaderHarness, name: str, index: int, left_s: float) -> None:
    lead.machine(name, empty=False, tasks=[("wk-000001", [index, index + 1], left_s)])


@pytest.mark.parametrize(("waited_s", "held"), [(165.0, True), (185.0, False)])
def test_small_urgent_tasks_do_not_nibble_an_aged_ones_machine_away(
    lead: LeaderHarness, waited_s: float, held: bool
) -> None:
    """It needs a whole machine; each has three free CPUs, which is never enough. The one
    that is drained first is held for it, and what ends before may still run there. After
    a while without success it is not held, for as long."""
    refuse_all(lead)
    lead.job("wk-000001", pieces=2, cpus=1.0, crew="blue")
    lead.allot("wk-000001", 0, [0, 1])
    busy(lead, "m-1", 0, 15.0)
    busy(lead, "m-2", 1, 19.0)
    old_job(
        lead,
        "wk-000002",
        waited_s,
        pieces=1,
        cpus=4.0,
        crew="blue",
        urgency="best_effort",
        expectS=30.0,
    )
    lead.job("wk-000003", pieces=6, cpus=1.0, urgency="high", expectS=25.0)
    assert lead.round() == {"wk-000003": 3 if held else 6}
    lead.job("wk-000004", pieces=2, cpus=1.0, urgency="critical", expectS=10.0)
    assert lead.round()["wk-000004"] == 2


def refuse_all(lead: LeaderHarness) -> None:
    for zone in ("a", "b"):
        for spot in (True, False):
            lead.leader.fleet.on_rental_refused(Rental("small", zone, spot, 1), lead.now)


def test_urgent_work_has_routine_work_stopped_but_not_aged_work(lead: LeaderHarness) -> None:
    lead.job("wk-000001", crew="blue", pieces=1, cpus=4.0)
    lead.allot("wk-000001", 0, [0])
    old_job(lead, "wk-000002", 65.0, crew="blue", pieces=1, cpus=4.0)
    lead.allot("wk-000002", 0, [0])
    lead.machine("m-1", empty=False, tasks=[("wk-000001", [0, 1], 12.0)])
    lead.machine("m-2", empty=False, tasks=[("wk-000002", [0, 1], 12.0)])
    lead.job("wk-000003", urgency="high", pieces=2, cpus=4.0)
    lead.round()
    assert lead.views() == []  # it has only just come
    lead.now += 2.0
    lead.round()
    assert lead.views() == [("m-1", "wk-000001", 1)]


def test_several_small_tasks_make_room_for_a_large_urgent_one(lead: LeaderHarness) -> None:
    """Found by thinking: only tasks at least as large as the waiting one were stopped, so
    that it waited for all small ones on a machine to end by themselves. Of two machines the
    one that loses less is taken, and no more is stopped there than is needed."""
    lead.job("wk-000001", crew="blue", pieces=4, cpus=1.0, expectS=30.0)
    lead.allot("wk-000001", 0, [0, 1, 2, 3])
    lead.job("wk-000002", crew="blue", pieces=3, cpus=1.0, expectS=30.0)
    lead.allot("wk-000002", 0, [0, 1, 2])
    lead.machine("m-1", empty=False, tasks=[("wk-000001", [0, 4], 5.0)])
    lead.machine("m-2", empty=False, tasks=[("wk-000002", [0, 3], 25.0)])
    lead.job("wk-000003", urgency="high", pieces=1, cpus=3.0)
    lead.now += 2.0
    lead.round()
    assert lead.views() == [("m-2", "wk-000002", 2)]


def test_a_new_leader_orders_as_the_old_one_did(settings: Settings) -> None:
    """Of pipelines too: when a stage became ready stands in the record of the one before,
    so that a book that was read anew says the same as one that saw it happen."""
    wall = [NOW]
    replica = StateReplica(lambda: wall[0])
    records: dict[str, tuple[Any, int]] = {}

    def put(key: str, value: Any) -> None:
        revision = replica.state_revision + 1
        records[key] = (value, revision)
        replica.apply([Event(key, value, revision)], revision)

    for n, (at, needs) in enumerate(
        [(NOW - 900, []), (NOW - 900, ["wk-000000"]), (NOW - 400, []), (NOW - 300, ["wk-000000"])]
    ):
        spec = parse_job(job_body(f"wk-{n:06d}", awaits=needs))
        put(job_key(spec.uid), job_record(spec, at, False))
    put(assignment_key("wk-000000", 0), {"t": {}, "d": [0, 3], "e": NOW - 250.0})
    wall[0] = NOW + 77.0  # this controller learns of it late
    put(assignment_key("wk-000000", 1), {"t": {}, "d": [3, 4], "e": NOW - 200.0})
    again = StateReplica(lambda: NOW + 500.0)
    again.replace(
        [Event(k, v, version) for k, (v, version) in records.items()], replica.state_revision
    )
    for each in (replica, again):
        assert [each.jobs[f"wk-{n:06d}"].ready_at for n in (1, 2, 3)] == [
            NOW - 200.0,
            NOW - 400.0,
            NOW - 200.0,
        ]


def test_ends_are_dated_only_where_work_ages(settings: Settings) -> None:
    """Records stay as they were while nothing ages: no byte more is written."""
    for wall, expected in ((None, False), (NOW, True)):
        shard = ShardHarness(settings, [0, 1, 2, 3])
        shard.report(*((i, 1, "running") for i in range(4)))
        shard.report(*((i, 1, "ended") for i in range(4)))
        (pending,) = shard.owner.pending(wall)
        assert pending.uid == UID
        assert ("e" in pending.assignment.to_record()) == expected


def test_properties_choose_the_policy(settings: Settings) -> None:
    assert not create_policy(settings).uses_ageing
    chosen = create_policy(with_ordering(settings, "ageing", ageing_rank_factor=3.0))
    assert isinstance(chosen, Ageing)
    assert chosen.patience_s(2) == 10.0 * settings.settings.workers.lease_s * 9


# -- whole days ------------------------------------------------------------------------------


def some(tmp_path: Path, ordering: str) -> list[Settings]:
    result = []
    for n in range(3):
        path = tmp_path / f"{n}.toml"
        path.write_text(settings_text(n))
        result.append(with_ordering(load(path), ordering, ageing_patience_leases=1.0))
    return result


def first_start(world: World, uid: str) -> float:
    return next(
        (e.at for e in world.happened if e.what == "started" and e.uid == uid), float("inf")
    )


FLOOD: list[dict[str, Any]] = [
    {
        "pieces": 12,
        "cpus": 4.0,
        "urgency": "best_effort",
        "crew": "blue",
        "really": 10.0,
        "expectS": 10.0,
        "dueS": None,
        "delay": 1.0,
    },
    *(
        {
            "pieces": 10,
            "cpus": 1.0,
            "urgency": "high",
            "really": 8.0,
            "expectS": 8.0,
            "delay": 3.0 + 2.0 * n,
        }
        for n in range(100)
    ),
]


@pytest.mark.parametrize("ordering", ["strict", "ageing"])
def test_a_flood_with_the_leader_ending_and_all_restarting(tmp_path: Path, ordering: str) -> None:
    """An old archive job is served in the middle of the flood if work ages, and only then:
    by strict order it has nothing before the flood is over."""

    async def ends(world: World) -> None:
        await trio.sleep(45.0)
        leader = world.state.data["r/l"][0]["o"]
        world.crash(world.names.index(leader))
        await trio.sleep(25.0)
        world.crash(0, 1, 2)

    fleet = (FleetType("small", 4.0, 16.0, ["a"], 0.4, 0.1, 10.0, steady=1, spot=3),)
    world = play(some(tmp_path, ordering), 5, FLOOD, ends, 225.0, fleet)
    assert world.checker.broken == []
    # Patience is 10 s times 8, and it yields to the flood for as long; then what is in
    # flight, a recovery, and one run.
    assert (first_start(world, "wk-000001") < 1.0 + 160.0 + 30.0) == (ordering == "ageing")
