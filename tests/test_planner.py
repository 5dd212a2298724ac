"""The planner against a slow reference model, and its single decisions."""

import math
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ryegauge.protocol.cloud import MachineType
from ryegauge.scheduling.planner import (
    Demand,
    ExhaustedKinds,
    MachineCapacity,
    Market,
    empty_machine_capacity,
    place,
    plan,
)

SMALL = MachineType("small", 4.0, 16.0, 0.4, 20.0, ["a", "b"], spot_price=0.1, fetch_gb_per_s=0.5)
LARGE = MachineType("large", 16.0, 64.0, 1.2, 40.0, ["a"], spot_price=0.5, fetch_gb_per_s=0.5)
TYPES = {"small": SMALL, "large": LARGE}


def demand(count: int = 1, **changes: object) -> Demand:
    fields: dict[str, object] = {
        "uid": "wk-1",
        "count": count,
        "cpus": 2.0,
        "memory_gb": 4.0,
        "gpus": 0.0,
        "image": "i",
        "image_gb": 1.0,
        "allows_spot": True,
        "service": False,
        "run_s": 30.0,
        "latest_finish": 1000.0,
    }
    return Demand(**{**fields, **changes})  # type: ignore[arg-type]


def market(**changes: object) -> Market:
    fields: dict[str, object] = {
        "types": TYPES,
        "refused": set(),
        "takeback_share": 0.0,
        "takeback_threshold": 0.3,
    }
    return Market(**{**fields, **changes})  # type: ignore[arg-type]


def capacity(
    name: str, type_: MachineType = SMALL, zone: str = "a", spot: bool = True
) -> MachineCapacity:
    return empty_machine_capacity(type_, name, zone, spot, 0)


machines_strategy = st.lists(
    st.tuples(
        st.sampled_from(["small", "large"]),
        st.sampled_from(["a", "b"]),
        st.booleans(),
        st.integers(0, 16),
        st.booleans(),
    ),
    max_size=6,
)
demands_strategy = st.lists(
    st.tuples(
        st.integers(1, 9),
        st.sampled_from([1.0, 2.0, 3.0, 8.0]),
        st.sampled_from([1.0, 9.0]),
        st.booleans(),
        st.sampled_from([None, "a", "b"]),
        st.booleans(),
        st.sampled_from([(), (4.0,), (3.0, 8.0)]),
    ),
    max_size=4,
)


@given(machines_strategy, demands_strategy)
def test_place_agrees_with_placing_one_task_at_a_time(
    machines: list[tuple[str, str, bool, int, bool]],
    requests: list[tuple[int, float, float, bool, str | None, bool, tuple[float, ...]]],
) -> None:
    """The reference model tries every machine again for every single task: the earliest
    completion (within a tenth), then spot; among those, capacity that larger tasks leave over,
    then machines with the image, the smallest type, the fullest, the first."""
    capacities = []
    for i, (kind, zone, spot, used, cached) in enumerate(machines):
        machine = capacity(f"m{i}", TYPES[kind], zone, spot)
        machine.cpus -= min(used, machine.cpus)
        if cached:
            machine.images.add("i")
        capacities.append(machine)
    reference = [
        [
            machine.cpus,
            machine.memory_gb,
            machine.type,
            machine.zone,
            machine.spot,
            "i" in machine.images,
        ]
        for machine in capacities
    ]
    for count, cpus, memory_gb, allows_spot, zone, on_demand_only, task_sizes in requests:
        larger_sizes = tuple(size for size in task_sizes if size > cpus)
        requested = demand(
            count,
            cpus=cpus,
            memory_gb=memory_gb,
            allows_spot=allows_spot,
            larger_sizes=larger_sizes,
            zones=None if zone is None else {zone: count},
        )
        got: dict[str, int] = {}
        for machine, placed in place(requested, capacities, on_demand_only=on_demand_only):
            got[machine.name] = got.get(machine.name, 0) + placed
        level = [
            ((30.0 if p[5] else 30.0 + 1.0 / p[2].fetch_gb_per_s) // 3.0, not p[4])
            for p in reference
        ]
        order = sorted(
            range(len(reference)),
            key=lambda i: (level[i], not reference[i][5], reference[i][2].cpus, reference[i][0], i),
        )
        expected: dict[str, int] = {}
        for _ in range(count):
            choices = [
                (level[i], step, order.index(i))
                for i, (free, free_memory_gb, _type, machine_zone, spot, _) in enumerate(reference)
                for step, slot_cpus in enumerate((*larger_sizes, math.inf))
                if free >= cpus
                and free_memory_gb >= memory_gb
                and (allows_spot or not spot)
                and not (on_demand_only and spot)
                and zone in (None, machine_zone)
                and free % slot_cpus >= cpus
            ]
            if choices:
                i = order[min(choices)[2]]
                reference[i][0] -= cpus
                reference[i][1] -= memory_gb
                expected[f"m{i}"] = expected.get(f"m{i}", 0) + 1
        for name in expected:
            reference[int(name[1:])][5] = True
        assert got == expected
        assert requested.count == count - sum(expected.values())
        assert all(machine.cpus >= -1e-9 and machine.memory_gb >= -1e-9 for machine in capacities)


@pytest.mark.parametrize("seed", range(4))
def test_exhausted_kinds_do_not_change_a_large_plan(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Remembering which kinds of demands found no capacity must not change the plan: the
    reference tries all of 300 machines for each of 60 jobs."""

    def plan_round() -> tuple[object, ...]:
        rng = random.Random(seed)
        running, starting = [], []
        for i in range(300):
            machine = capacity(
                f"m{i}", rng.choice([SMALL, LARGE]), rng.choice("ab"), rng.random() < 0.7
            )
            size = rng.choice([1.0, 2.0, 4.0])
            count = int(rng.randint(0, 9) / 8 * machine.cpus // size)
            count = min(count, int(machine.cpus // size))
            machine.cpus -= count * size
            machine.memory_gb -= count * size
            machine.ending_tasks = [
                (rng.uniform(0.0, 60.0), 1, size, size, 0.0) for _ in range(count)
            ]
            machine.shard = i % 5
            if rng.random() < 0.1:
                machine.ending_tasks, machine.available_in_s = [], 12.0
                starting.append(machine)
            else:
                running.append(machine)
        demands = [
            demand(
                rng.randint(1, 40),
                uid=f"wk-{i}",
                cpus=rng.choice([1.0, 2.0, 4.0, 8.0]),
                memory_gb=rng.choice([1.0, 8.0]),
                run_s=rng.choice([20.0, 30.0, 90.0]),
                allows_spot=rng.random() < 0.8,
                latest_finish=rng.uniform(20.0, 400.0),
                larger_sizes=rng.choice([(), (8.0,)]),
            )
            for i in range(60)
        ]
        refused = {("small", "a", True), ("large", "a", False)}
        result = plan(demands, running, starting, market(refused=refused), 0.0)
        return result.placements, result.rentals, result.unplaced, result.used

    expected = plan_round()
    monkeypatch.setattr(ExhaustedKinds, "is_exhausted", lambda *_, **__: False)
    assert plan_round() == expected


def test_small_tasks_leave_capacity_for_large_ones() -> None:
    """Small tasks fragmented the free capacity: hundreds of CPUs were free, and tasks with 16
    CPUs had to wait."""
    capacities = [capacity("m1", LARGE), capacity("m2", LARGE)]
    capacities[1].cpus = 14.0
    place(demand(6, cpus=1.0, larger_sizes=(8.0,)), capacities, on_demand_only=False)
    assert [r.cpus for r in capacities] == [16.0, 8.0]
    place(demand(10, cpus=1.0, larger_sizes=(8.0,)), capacities, on_demand_only=False)
    assert [r.cpus for r in capacities] == [14.0, 0.0]


def test_with_slack_running_machines_come_first_then_new_spot_ones() -> None:
    result = plan([demand(4)], [capacity("m1")], [], market(), now=0.0)
    assert [(p.machine, p.count) for p in result.placements] == [("m1", 2)]
    assert [(r.type, r.spot, r.count) for r in result.rentals] == [("small", True, 1)]


@pytest.mark.parametrize(
    ("changes", "spot"),
    [
        ({"latest_finish": 60.0}, False),  # slack, but less than one boot
        ({"latest_finish": 20.0}, True),  # too late on any new machine, so the cheaper one
        ({"allows_spot": False}, False),
        ({"latest_finish": math.inf}, True),
    ],
)
def test_pricing_of_a_new_machine(changes: dict[str, object], spot: bool) -> None:
    result = plan([demand(1, **changes)], [], [], market(), now=0.0)
    assert [r.spot for r in result.rentals] == [spot]


def test_many_reclaimed_spot_machines_lead_to_on_demand_ones() -> None:
    result = plan([demand(1)], [], [], market(takeback_share=0.3), now=0.0)
    assert [r.spot for r in result.rentals] == [False]


def test_booting_machines_are_counted() -> None:
    result = plan([demand(2)], [], [capacity("m-new")], market(), now=0.0)
    assert not result.rentals
    assert not result.placements
    assert result.used == {"m-new"}


def test_refused_types_are_not_rented() -> None:
    refused = {("small", "a", True), ("small", "b", True)}
    result = plan([demand(1)], [], [], market(refused=refused), now=0.0)
    assert [(r.type, r.spot) for r in result.rentals] == [("large", True)]


def test_one_zone_and_zone_limits() -> None:
    capacities = [
        capacity("m1", zone="a"),
        capacity("m2", zone="b"),
        capacity("m3", LARGE, zone="a"),
    ]
    taken = place(demand(5, one_zone=True), capacities, on_demand_only=False)
    assert {r.zone for r, _ in taken} == {"a"}
    capacities = [
        capacity("m1", zone="a"),
        capacity("m2", zone="b"),
        capacity("m3", LARGE, zone="a"),
    ]
    spread = place(demand(5, zones={"a": 3, "b": 3}), capacities, on_demand_only=False)
    per_zone: dict[str, int] = {}
    for r, n in spread:
        per_zone[r.zone] = per_zone.get(r.zone, 0) + n
    assert per_zone == {"a": 3, "b": 2}


def test_standby_capacity_is_reserved_elsewhere_and_shared() -> None:
    """Standby capacity for the machine with the most critical tasks is reserved once, never on
    that machine itself; without free capacity a machine is rented. Nothing is placed."""
    critical = {"m1": [demand(2)], "m2": [demand(1)]}
    capacities = [capacity("m1"), capacity("m2")]
    capacities[1].cpus = 4.0
    result = plan([], capacities, [], market(), 0.0, critical)
    assert result.placements == []
    assert result.rentals == []
    assert result.used == {"m2"}
    assert capacities[0].cpus == 4.0
    critical = {"m1": [demand(2)], "m2": [demand(1)]}
    result = plan([], [capacity("m1")], [], market(), 0.0, critical)
    assert [(r.type, r.spot, r.count) for r in result.rentals] == [("small", True, 1)]


def test_tasks_wait_for_a_busy_machine_that_is_free_before_a_new_one() -> None:
    busy = capacity("m1")
    busy.cpus = 0.0
    busy.ending_tasks = [(5.0, 2, 2.0, 4.0, 0.0)]
    result = plan([demand(3)], [busy], [], market(), 0.0)
    assert [(r.type, r.count) for r in result.rentals] == [("small", 1)]
    # Later demands may use the machine only if they end before.
    assert not place(demand(1, run_s=30.0), [busy], on_demand_only=False)


def test_with_a_write_backlog_each_job_uses_one_shard_first() -> None:
    """Jobs spread over all shards take one record in each of them for a few tasks, and hundreds of
    placed tasks waited for the state service's write rate. Tasks that do not fit into one
    shard are placed as usual, so that no capacity stays unused."""

    def machines(cpus: float) -> list[MachineCapacity]:
        capacities = [capacity(f"m-{shard}", LARGE) for shard in range(2)]
        for shard, machine in enumerate(capacities):
            machine.shard, machine.cpus = shard, cpus
        return capacities

    for backlog, record_count in ((False, 3), (True, 2)):
        demands = [demand(4, uid="wk-1"), demand(4, uid="wk-2")]
        decided = plan(demands, machines(6.0), [], market(backlog=backlog), 0.0)
        assert sum(p.count for p in decided.placements) == 6
        assert len({(p.uid, p.shard) for p in decided.placements}) == record_count
    decided = plan([demand(6, uid="wk-1")], machines(6.0), [], market(backlog=True), 0.0)
    assert sum(p.count for p in decided.placements) == 6
    assert decided.rentals == []
