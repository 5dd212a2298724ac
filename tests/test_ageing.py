"""Ageing in the leader's scheduling rounds and in simulated days."""

from pathlib import Path
from typing import Any

import msgspec
import pytest
import trio
from conftest import job_body, settings_text
from days import play
from test_leader import NOW, LeaderHarness
from test_shard_owner import UID, ShardHarness

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
    """Settings with the property `ordering` and `changes` of other properties."""
    properties = msgspec.convert({"ordering": ordering, **changes}, Properties)
    return msgspec.structs.replace(settings, properties=properties)


@pytest.fixture
def harness(settings: Settings) -> LeaderHarness:
    return LeaderHarness(with_ordering(settings, "ageing", ageing_patience_leases=1.0))


def submit_urgent_jobs(
    harness: LeaderHarness, first: int = 100, jobs: int = 10, **changes: object
) -> None:
    for n in range(jobs):
        harness.job(
            f"wk-{first + n:06d}", urgency="high", pieces=8, cpus=1.0, memoryGb=1.0, **changes
        )


def submit_aged_job(harness: LeaderHarness, uid: str, age_s: float, **changes: object) -> None:
    record = job_record(parse_job(job_body(uid, **changes)), harness.now - age_s, False)
    harness.put(job_key(uid), record)


def test_aged_low_priority_job_starts_during_a_flood_of_urgent_jobs(harness: LeaderHarness) -> None:
    """An aged job of the lowest priority gets one task although urgent jobs could use the whole
    fleet. It gets no more than the reserved share, and nothing before it is due by age."""
    for n in range(4):
        harness.machine(f"m-{n}")
    submit_urgent_jobs(harness)
    submit_aged_job(
        harness, "wk-000001", 10.0, urgency="best_effort", pieces=20, cpus=2.0, crew="blue"
    )
    assert "wk-000001" not in harness.round()
    submit_aged_job(
        harness, "wk-000002", DAY_S, urgency="best_effort", pieces=20, cpus=2.0, crew="blue"
    )
    got = harness.round()
    assert got["wk-000002"] == 1  # it takes 2 of 16 CPUs; two tasks would exceed the ceiling
    assert sum(got.values()) == 14 + 1


def test_urgent_job_beyond_its_guarantee_goes_first_with_ageing(settings: Settings) -> None:
    """Under `settled`, routine jobs within their team's guarantee go before urgent jobs of a team
    over its own guarantee; with ageing, the urgent ones go first."""
    for ordering, first in (("settled", "wk-000001"), ("ageing", "wk-000002")):
        harness = LeaderHarness(with_ordering(settings, ordering))
        harness.machine("m-1")
        submit_aged_job(harness, "wk-000001", 5.0, crew="blue", pieces=4, cpus=2.0)
        harness.job("wk-000002", urgency="high", pieces=12, cpus=2.0)
        assert next(iter(harness.round())) == first, ordering


def test_an_aged_job_of_a_team_at_its_limit_blocks_nobody(harness: LeaderHarness) -> None:
    """An aged job that waits because of its team's limit must not delay other teams."""
    for n in range(12):
        harness.machine(f"m-{n}")
    harness.job("wk-000001", pieces=16, cpus=2.0)  # team red is at its limit
    harness.assign("wk-000001", 0, list(range(16)))
    submit_aged_job(harness, "wk-000002", DAY_S, pieces=4, cpus=2.0)
    submit_aged_job(
        harness, "wk-000003", 500.0, pieces=4, cpus=2.0, crew="blue", urgency="best_effort"
    )
    harness.job("wk-000004", pieces=4, cpus=2.0, crew="blue", urgency="critical")
    got = harness.round()
    assert "wk-000002" not in got
    assert next(iter(got)) == "wk-000003"
    assert got["wk-000004"] == 4


def add_busy_machine(harness: LeaderHarness, name: str, index: int, left_s: float) -> None:
    harness.machine(name, empty=False, tasks=[("wk-000001", [index, index + 1], left_s)])


@pytest.mark.parametrize(("waited_s", "reserved"), [(165.0, True), (185.0, False)])
def test_small_urgent_tasks_do_not_take_capacity_reserved_for_an_aged_one(
    harness: LeaderHarness, waited_s: float, reserved: bool
) -> None:
    """The aged task needs a whole machine, and each has three free CPUs that small urgent tasks
    would take again and again. The machine that is expected to be empty first is reserved for it;
    tasks that end before may still run there. If it does not start within the reservation, there
    is none for an equally long time."""
    refuse_all_rentals(harness)
    harness.job("wk-000001", pieces=2, cpus=1.0, crew="blue")
    harness.assign("wk-000001", 0, [0, 1])
    add_busy_machine(harness, "m-1", 0, 15.0)
    add_busy_machine(harness, "m-2", 1, 19.0)
    submit_aged_job(
        harness,
        "wk-000002",
        waited_s,
        pieces=1,
        cpus=4.0,
        crew="blue",
        urgency="best_effort",
        expectS=30.0,
    )
    harness.job("wk-000003", pieces=6, cpus=1.0, urgency="high", expectS=25.0)
    assert harness.round() == {"wk-000003": 3 if reserved else 6}
    harness.job("wk-000004", pieces=2, cpus=1.0, urgency="critical", expectS=10.0)
    assert harness.round()["wk-000004"] == 2


def refuse_all_rentals(harness: LeaderHarness) -> None:
    """Makes the cloud refuse rentals, so that only the present machines count."""
    for zone in ("a", "b"):
        for spot in (True, False):
            harness.leader.fleet.on_rental_refused(Rental("small", zone, spot, 1), harness.now)


def test_urgent_job_preempts_routine_but_not_aged_tasks(harness: LeaderHarness) -> None:
    """An urgent job preempts a routine task, but not one that runs because of its age."""
    harness.job("wk-000001", crew="blue", pieces=1, cpus=4.0)
    harness.assign("wk-000001", 0, [0])
    submit_aged_job(harness, "wk-000002", 65.0, crew="blue", pieces=1, cpus=4.0)
    harness.assign("wk-000002", 0, [0])
    harness.machine("m-1", empty=False, tasks=[("wk-000001", [0, 1], 12.0)])
    harness.machine("m-2", empty=False, tasks=[("wk-000002", [0, 1], 12.0)])
    harness.job("wk-000003", urgency="high", pieces=2, cpus=4.0)
    harness.round()
    assert harness.views() == []  # the urgent job has not waited long enough
    harness.now += 2.0
    harness.round()
    assert harness.views() == [("m-1", "wk-000001", 1)]


def test_several_small_tasks_are_preempted_for_a_large_urgent_one(harness: LeaderHarness) -> None:
    """If only tasks at least as large as the waiting one could be preempted, it would wait until
    all small tasks on a machine have ended. Several are preempted on the machine that loses the
    least run time, and no more of them than needed."""
    harness.job("wk-000001", crew="blue", pieces=4, cpus=1.0, expectS=30.0)
    harness.assign("wk-000001", 0, [0, 1, 2, 3])
    harness.job("wk-000002", crew="blue", pieces=3, cpus=1.0, expectS=30.0)
    harness.assign("wk-000002", 0, [0, 1, 2])
    harness.machine("m-1", empty=False, tasks=[("wk-000001", [0, 4], 5.0)])
    harness.machine("m-2", empty=False, tasks=[("wk-000002", [0, 3], 25.0)])
    harness.job("wk-000003", urgency="high", pieces=1, cpus=3.0)
    harness.now += 2.0
    harness.round()
    assert harness.views() == [("m-2", "wk-000002", 2)]


def test_a_full_read_gives_the_same_ready_times(settings: Settings) -> None:
    """The time at which a pipeline's job became ready is stored in the records of the jobs that it
    needs. So a replica after a full read has the same times, and the same order, as one that has
    read each change."""
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
    wall[0] = NOW + 77.0  # this controller reads it late
    put(assignment_key("wk-000000", 1), {"t": {}, "d": [3, 4], "e": NOW - 200.0})
    reread_replica = StateReplica(lambda: NOW + 500.0)
    reread_replica.replace(
        [Event(k, v, version) for k, (v, version) in records.items()], replica.state_revision
    )
    for each in (replica, reread_replica):
        assert [each.jobs[f"wk-{n:06d}"].ready_at for n in (1, 2, 3)] == [
            NOW - 200.0,
            NOW - 400.0,
            NOW - 200.0,
        ]


def test_task_end_times_are_recorded_only_with_ageing(settings: Settings) -> None:
    """The time of a task's end is only written if the policy uses ageing: without it, records
    must not grow."""
    for wall, expected in ((None, False), (NOW, True)):
        shard = ShardHarness(settings, [0, 1, 2, 3])
        shard.report(*((i, 1, "running") for i in range(4)))
        shard.report(*((i, 1, "ended") for i in range(4)))
        (pending,) = shard.owner.pending(wall)
        assert pending.uid == UID
        assert ("e" in pending.assignment.to_record()) == expected


def test_properties_choose_the_policy(settings: Settings) -> None:
    assert not create_policy(settings).uses_ageing
    policy = create_policy(with_ordering(settings, "ageing", ageing_rank_factor=3.0))
    assert isinstance(policy, Ageing)
    assert policy.patience_s(2) == 10.0 * settings.settings.workers.lease_s * 9


# -- simulated days --------------------------------------------------------------------------


def controller_settings(tmp_path: Path, ordering: str) -> list[Settings]:
    result = []
    for n in range(3):
        path = tmp_path / f"{n}.toml"
        path.write_text(settings_text(n))
        result.append(with_ordering(load(path), ordering, ageing_patience_leases=1.0))
    return result


def first_start(world: World, uid: str) -> float:
    """When the first task of a job started; infinity if none did."""
    return next(
        (e.at for e in world.recorded_events if e.what == "started" and e.uid == uid), float("inf")
    )


FLOOD_JOBS: list[dict[str, Any]] = [
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
def test_flood_of_urgent_jobs_with_a_leader_crash_and_a_restart_of_all(
    tmp_path: Path, ordering: str
) -> None:
    """A low-priority job starts in the middle of a flood of urgent jobs with ageing, but only
    after the flood with the strict order. The leader crashes during the flood, and later all
    controllers restart."""

    async def script(world: World) -> None:
        await trio.sleep(45.0)
        leader = world.state.data["r/l"][0]["o"]
        world.crash(world.names.index(leader))
        await trio.sleep(25.0)
        world.crash(0, 1, 2)

    fleet = (FleetType("small", 4.0, 16.0, ["a"], 0.4, 0.1, 10.0, steady=1, spot=3),)
    world = play(controller_settings(tmp_path, ordering), 5, FLOOD_JOBS, script, 225.0, fleet)
    assert world.checker.broken == []
    # The job is due after 10 s times 8 and yields to the flood for as long. The rest is for
    # running tasks, the recovery after the crash, and one run.
    assert (first_start(world, "wk-000001") < 1.0 + 160.0 + 30.0) == (ordering == "ageing")
