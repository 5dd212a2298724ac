"""The planner against a slow plain model, and its choices one by one."""

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
    place,
    plan,
    unused_capacity,
)

SMALL = MachineType("small", 4.0, 16.0, 0.4, 20.0, ["a", "b"], spot_price=0.1, fetch_gb_per_s=0.5)
LARGE = MachineType("large", 16.0, 64.0, 1.2, 40.0, ["a"], spot_price=0.5, fetch_gb_per_s=0.5)
TYPES = {"small": SMALL, "large": LARGE}


def need(count: int = 1, **changes: object) -> Demand:
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


def room(
    name: str, type_: MachineType = SMALL, zone: str = "a", spot: bool = True
) -> MachineCapacity:
    return unused_capacity(type_, name, zone, spot, 0)


rooms_strategy = st.lists(
    st.tuples(
        st.sampled_from(["small", "large"]),
        st.sampled_from(["a", "b"]),
        st.booleans(),
        st.integers(0, 16),
        st.booleans(),
    ),
    max_size=6,
)
needs_strategy = st.lists(
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


@given(rooms_strategy, needs_strategy)
def test_placing_one_task_at_a_time_gives_the_same(
    machines: list[tuple[str, str, bool, int, bool]],
    wants: list[tuple[int, float, float, bool, str | None, bool, tuple[float, ...]]],
) -> None:
    """The plain model tries every machine anew for every single task: the earliest
    completion (within a tenth), then spot; of those, what larger tasks leave, then
    machines with the image, the smallest type, the fullest, the first."""
    rooms = []
    for i, (kind, zone, spot, used, cached) in enumerate(machines):
        r = room(f"m{i}", TYPES[kind], zone, spot)
        r.cpus -= min(used, r.cpus)
        if cached:
            r.images.add("i")
        rooms.append(r)
    plain = [[r.cpus, r.memory_gb, r.type, r.zone, r.spot, "i" in r.images] for r in rooms]
    for count, cpus, memory, allows_spot, zone, steady, sizes in wants:
        larger = tuple(size for size in sizes if size > cpus)
        n = need(
            count,
            cpus=cpus,
            memory_gb=memory,
            allows_spot=allows_spot,
            larger=larger,
            zones=None if zone is None else {zone: count},
        )
        got: dict[str, int] = {}
        for r, k in place(n, rooms, on_demand_only=steady):
            got[r.name] = got.get(r.name, 0) + k
        level = [
            ((30.0 if p[5] else 30.0 + 1.0 / p[2].fetch_gb_per_s) // 3.0, not p[4]) for p in plain
        ]
        order = sorted(
            range(len(plain)),
            key=lambda i: (level[i], not plain[i][5], plain[i][2].cpus, plain[i][0], i),
        )
        expected: dict[str, int] = {}
        for _ in range(count):
            choices = [
                (level[i], step, order.index(i))
                for i, (free, mem, _type, where, spot, _) in enumerate(plain)
                for step, whole in enumerate((*larger, math.inf))
                if free >= cpus
                and mem >= memory
                and (allows_spot or not spot)
                and not (steady and spot)
                and zone in (None, where)
                and free % whole >= cpus
            ]
            if choices:
                i = order[min(choices)[2]]
                plain[i][0] -= cpus
                plain[i][1] -= memory
                expected[f"m{i}"] = expected.get(f"m{i}", 0) + 1
        for name in expected:
            plain[int(name[1:])][5] = True
        assert got == expected
        assert n.count == count - sum(expected.values())
        assert all(r.cpus >= -1e-9 and r.memory_gb >= -1e-9 for r in rooms)


@pytest.mark.parametrize("seed", range(4))
def test_a_round_at_size_decides_as_one_that_tries_everything(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The plain model forgets which kinds of tasks have found no room, and tries all of
    some hundred machines for each of many jobs."""

    def a_round() -> tuple[object, ...]:
        rng = random.Random(seed)
        running, starting = [], []
        for i in range(300):
            r = room(f"m{i}", rng.choice([SMALL, LARGE]), rng.choice("ab"), rng.random() < 0.7)
            size = rng.choice([1.0, 2.0, 4.0])
            count = int(rng.randint(0, 9) / 8 * r.cpus // size)
            count = min(count, int(r.cpus // size))
            r.cpus -= count * size
            r.memory_gb -= count * size
            r.busy = [(rng.uniform(0.0, 60.0), 1, size, size, 0.0) for _ in range(count)]
            r.shard = i % 5
            if rng.random() < 0.1:
                r.busy, r.available_in_s = [], 12.0
                starting.append(r)
            else:
                running.append(r)
        needs = [
            need(
                rng.randint(1, 40),
                uid=f"wk-{i}",
                cpus=rng.choice([1.0, 2.0, 4.0, 8.0]),
                memory_gb=rng.choice([1.0, 8.0]),
                run_s=rng.choice([20.0, 30.0, 90.0]),
                allows_spot=rng.random() < 0.8,
                latest_finish=rng.uniform(20.0, 400.0),
                larger=rng.choice([(), (8.0,)]),
            )
            for i in range(60)
        ]
        refused = {("small", "a", True), ("large", "a", False)}
        result = plan(needs, running, starting, market(refused=refused), 0.0)
        return result.placements, result.rentals, result.unplaced, result.used

    decided = a_round()
    monkeypatch.setattr(ExhaustedKinds, "covers", lambda *_, **__: False)
    assert a_round() == decided


def test_small_tasks_leave_room_for_large_ones() -> None:
    """Found by measurement: with hundreds of CPUs free in pieces, tasks of 16 waited."""
    rooms = [room("m1", LARGE), room("m2", LARGE)]
    rooms[1].cpus = 14.0
    place(need(6, cpus=1.0, larger=(8.0,)), rooms, on_demand_only=False)
    assert [r.cpus for r in rooms] == [16.0, 8.0]
    place(need(10, cpus=1.0, larger=(8.0,)), rooms, on_demand_only=False)
    assert [r.cpus for r in rooms] == [14.0, 0.0]


def test_slack_ahead_takes_any_running_machine_then_new_spot() -> None:
    result = plan([need(4)], [room("m1")], [], market(), now=0.0)
    assert [(p.machine, p.count) for p in result.placements] == [("m1", 2)]
    assert [(r.type, r.spot, r.count) for r in result.rentals] == [("small", True, 1)]


@pytest.mark.parametrize(
    ("changes", "kind"),
    [
        ({"latest_finish": 60.0}, False),  # slack, but less than one boot
        ({"latest_finish": 20.0}, True),  # too late for any new machine: the cheap one
        ({"allows_spot": False}, False),
        ({"latest_finish": math.inf}, True),
    ],
)
def test_kind_of_a_new_machine(changes: dict[str, object], kind: bool) -> None:
    result = plan([need(1, **changes)], [], [], market(), now=0.0)
    assert [r.spot for r in result.rentals] == [kind]


def test_many_takebacks_turn_to_steady_machines() -> None:
    result = plan([need(1)], [], [], market(takeback_share=0.3), now=0.0)
    assert [r.spot for r in result.rentals] == [False]


def test_starting_machines_are_counted_on() -> None:
    result = plan([need(2)], [], [room("m-new")], market(), now=0.0)
    assert not result.rentals
    assert not result.placements
    assert result.used == {"m-new"}


def test_refused_types_are_passed_over() -> None:
    refused = {("small", "a", True), ("small", "b", True)}
    result = plan([need(1)], [], [], market(refused=refused), now=0.0)
    assert [(r.type, r.spot) for r in result.rentals] == [("large", True)]


def test_one_zone_and_zone_limits() -> None:
    rooms = [room("m1", zone="a"), room("m2", zone="b"), room("m3", LARGE, zone="a")]
    taken = place(need(5, one_zone=True), rooms, on_demand_only=False)
    assert {r.zone for r, _ in taken} == {"a"}
    rooms = [room("m1", zone="a"), room("m2", zone="b"), room("m3", LARGE, zone="a")]
    spread = place(need(5, zones={"a": 3, "b": 3}), rooms, on_demand_only=False)
    per_zone: dict[str, int] = {}
    for r, n in spread:
        per_zone[r.zone] = per_zone.get(r.zone, 0) + n
    assert per_zone == {"a": 3, "b": 2}


def test_standbys_hold_room_elsewhere_and_share_it() -> None:
    """What the fullest machine needs is held once, never on that machine, and a
    machine is rented if there is no room; nothing is placed."""
    critical = {"m1": [need(2)], "m2": [need(1)]}
    rooms = [room("m1"), room("m2")]
    rooms[1].cpus = 4.0
    result = plan([], rooms, [], market(), 0.0, critical)
    assert result.placements == []
    assert result.rentals == []
    assert result.used == {"m2"}
    assert rooms[0].cpus == 4.0
    critical = {"m1": [need(2)], "m2": [need(1)]}
    result = plan([], [room("m1")], [], market(), 0.0, critical)
    assert [(r.type, r.spot, r.count) for r in result.rentals] == [("small", True, 1)]


def test_tasks_wait_for_room_that_comes_before_a_new_machine() -> None:
    busy = room("m1")
    busy.cpus = 0.0
    busy.busy = [(5.0, 2, 2.0, 4.0, 0.0)]
    result = plan([need(3)], [busy], [], market(), 0.0)
    assert [(r.type, r.count) for r in result.rentals] == [("small", 1)]
    # What comes later in the order may use the machine only if it ends before.
    assert not place(need(1, run_s=30.0), [busy], on_demand_only=False)


def test_with_a_backlog_of_records_each_job_takes_one_part_first() -> None:
    """Found by measurement: jobs spread over all parts took two records for each few tasks,
    and hundreds of placed tasks waited for the state service's rate of changes. What is
    left over is placed as usual, so no room stays free that would be used without."""

    def machines(cpus: float) -> list[MachineCapacity]:
        rooms = [room(f"m-{shard}", LARGE) for shard in range(2)]
        for shard, each in enumerate(rooms):
            each.shard, each.cpus = shard, cpus
        return rooms

    for backlog, records in ((False, 3), (True, 2)):
        needs = [need(4, uid="wk-1"), need(4, uid="wk-2")]
        decided = plan(needs, machines(6.0), [], market(backlog=backlog), 0.0)
        assert sum(p.count for p in decided.placements) == 6
        assert len({(p.uid, p.shard) for p in decided.placements}) == records
    decided = plan([need(6, uid="wk-1")], machines(6.0), [], market(backlog=True), 0.0)
    assert sum(p.count for p in decided.placements) == 6
    assert decided.rentals == []
