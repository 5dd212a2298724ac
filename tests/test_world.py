"""Whole controllers in the simulated installation, under faults drawn from seeds."""

import os
from pathlib import Path
from typing import Any

import msgspec
import pytest
import trio
import trio.testing
from conftest import job_body, settings_text
from days import play

from ryegauge.config import NextState, Settings, load
from ryegauge.coordination.node import Node
from ryegauge.emulator.versions import load_node_class
from ryegauge.emulator.workers import Attempt
from ryegauge.emulator.world import World


def controller_settings(tmp_path: Path, count: int, areas: str = "a") -> list[Settings]:
    """Settings of `count` controllers, spread over the areas."""
    result = []
    for n in range(count):
        path = tmp_path / f"{n}.toml"
        path.write_text(settings_text(n, count, areas))
        result.append(load(path))
    return result


@pytest.fixture
def controllers(tmp_path: Path) -> list[Settings]:
    """Settings of three controllers in one area."""
    return controller_settings(tmp_path, 3)


# Sweeps of both teams with different demands, a standing job and cancellations.
MIXED_JOBS: list[dict[str, Any]] = [
    {"pieces": 6, "delay": 1.0},
    {"pieces": 12, "cpus": 1.0, "urgency": "high", "delay": 5.0, "crew": "blue", "dueS": 60.0},
    {"pieces": 9, "delay": 12.0, "really": 15.0, "kit": "img-2"},
    {"pieces": 4, "delay": 20.0, "together": True, "crew": "blue"},
    {"pieces": 4, "delay": 25.0, "spread": True, "crew": "blue", "cancel_after": 40.0},
    {
        "pieces": 2,
        "delay": 8.0,
        "shape": "standing",
        "expectS": 0.0,
        "dueS": None,
        "loaners": False,
        "cpus": 1.0,
        "cancel_after": 60.0,
    },
    {"pieces": 16, "delay": 40.0, "cancel_after": 12.0, "really": 30.0},
    {"pieces": 5, "delay": 45.0, "builds": ["small"], "district": "b", "crew": "blue"},
    {"pieces": 20, "delay": 60.0, "cpus": 4.0, "really": 12.0},
]


# Pipelines: chains, a diamond, a job that two teams need, cancellations at the front and in the
# middle, final jobs that are submitted late. Names go by position: the first is wk-000001.
PIPELINE_JOBS: list[dict[str, Any]] = [
    {"pieces": 6, "delay": 20.0, "cpus": 1.0, "urgency": "best_effort", "dueS": None},
    {"pieces": 5, "delay": 20.0, "awaits": ["wk-000001"], "urgency": "best_effort", "dueS": None},
    {"pieces": 4, "delay": 20.0, "awaits": ["wk-000001"], "crew": "blue", "dueS": None},
    {"pieces": 2, "delay": 20.0, "awaits": ["wk-000002", "wk-000003"], "urgency": "high"},
    {"pieces": 2, "delay": 21.0, "awaits": ["wk-000004"], "late": True, "urgency": "high"},
    {"pieces": 8, "delay": 24.0, "really": 25.0, "cancel_after": 15.0},
    {"pieces": 3, "delay": 24.0, "awaits": ["wk-000006", "wk-000001"]},
    {"pieces": 3, "delay": 24.0, "awaits": ["wk-000007"], "crew": "blue"},
    {"pieces": 1, "delay": 24.0, "awaits": ["wk-000006"], "late": True},
    {"pieces": 4, "delay": 30.0, "cpus": 1.0},
    {"pieces": 4, "delay": 30.0, "awaits": ["wk-000010"], "cancel_after": 3.0},
    {
        "pieces": 4,
        "delay": 30.0,
        "awaits": ["wk-000010", "wk-000001"],
        "spread": True,
        "crew": "blue",
    },
    {"pieces": 20, "delay": 40.0, "cpus": 2.0, "really": 14.0},
    {
        "pieces": 2,
        "delay": 40.0,
        "awaits": ["wk-000013"],
        "shape": "standing",
        "expectS": 0.0,
        "dueS": None,
        "cpus": 1.0,
        "cancel_after": 50.0,
    },
    {"pieces": 3, "delay": 60.0, "awaits": ["wk-000012", "wk-000004", "wk-000012"]},
]


async def no_faults(world: World) -> None:
    """A script that injects nothing."""
    return


def test_all_jobs_finish_without_faults(controllers: list[Settings]) -> None:
    world = play(controllers, 1, MIXED_JOBS, no_faults, 150.0)
    assert world.checker.broken == []
    assert world.unfinished == set()
    assert world.checker.starts >= 70


def test_a_seed_determines_the_run(controllers: list[Settings]) -> None:
    days = [play(controllers, 5, MIXED_JOBS[:3], no_faults, 30.0) for _ in range(2)]
    assert days[0].checker.starts == days[1].checker.starts
    assert days[0].state.revision == days[1].state.revision


def with_next_state_limits(settings: list[Settings]) -> list[Settings]:
    """Settings that announce smaller limits of the state service."""
    next_limits = NextState(write_rps=28.0, value_kb=2.0, txn_ops=4)
    result = []
    for each in settings:
        state = msgspec.structs.replace(each.settings.state, next=next_limits)
        shared = msgspec.structs.replace(each.settings, state=state)
        result.append(msgspec.structs.replace(each, settings=shared))
    return result


def apply_next_state_limits(world: World) -> None:
    """The state service enforces the announced limits of sizes from now on."""
    world.state.value_kb, world.state.txn_ops = 2.0, 4


def test_pipelines_finish_without_faults(tmp_path: Path) -> None:
    """The smaller limits hold from the start; no transaction is rejected for its size."""

    async def apply_limits(world: World) -> None:
        apply_next_state_limits(world)

    world = play(
        with_next_state_limits(controller_settings(tmp_path, 5)),
        1,
        PIPELINE_JOBS,
        apply_limits,
        150.0,
    )
    assert world.checker.broken == []
    assert world.unfinished == set()
    ends = {uid: status for uid, status in world.checker.final.items() if status == "cancelled"}
    assert set(ends) == {f"wk-0000{n:02d}" for n in (6, 7, 8, 9, 11, 14)}
    assert world.state.rejected_transactions == 0


def test_jobs_may_need_archived_jobs(tmp_path: Path) -> None:
    """With memory for two jobs in the state replica, finished jobs are archived; jobs that are
    submitted later can still need them."""
    small = []
    for settings in with_next_state_limits(controller_settings(tmp_path, 3)):
        quota = msgspec.structs.replace(settings.settings.quota, memory_mb=0.2)
        shared = msgspec.structs.replace(settings.settings, quota=quota)
        small.append(msgspec.structs.replace(settings, settings=shared))

    async def script(world: World) -> None:
        apply_next_state_limits(world)
        await trio.sleep(95.0)
        world.crash(0, 2)

    late_jobs = [
        {"pieces": 2, "delay": 100.0, "awaits": ["wk-000001"]},
        {"pieces": 2, "delay": 100.0, "awaits": ["wk-000007", "wk-000001"]},
    ]
    world = play(small, 9, PIPELINE_JOBS + late_jobs, script, 200.0)
    assert world.checker.broken == []
    assert world.unfinished == set()
    assert world.checker.final["wk-000016"] == "done"
    assert world.checker.final["wk-000017"] == "cancelled"
    assert sum(key.startswith("f/") for key in world.state.data) >= 10
    records = {key for key in world.state.data if key.startswith(("r/j/", "r/s/", "r/o/"))}
    assert len({key.split("/")[2] for key in records}) <= 4


def test_a_job_may_need_hundreds_of_jobs(tmp_path: Path) -> None:
    """The names of the needed jobs exceed the size of one record under the smaller limits."""
    answers: dict[str, Any] = {}

    async def script(world: World) -> None:
        await trio.sleep(25.0)
        apply_next_state_limits(world)
        names = [f"wk-{n:032d}" for n in range(200)]
        checker = world.checker
        for name in names:
            checker.specs[name] = {**job_body(name, pieces=1, cpus=0.1), "really": 3.0}
        async with trio.open_nursery() as nursery:

            async def submit(name: str) -> None:
                while name not in checker.accepted:
                    status, answer = await world.ask(
                        "POST", "/v1/jobs", job_body(name, pieces=1, cpus=0.1)
                    )
                    checker.answered(name, status, answer, "submit")
                    await trio.sleep(0.5)

            for name in names:
                nursery.start_soon(submit, name)
        body = job_body("wk-9999", awaits=names)
        checker.specs["wk-9999"] = {**body, "really": 3.0}
        while "wk-9999" not in checker.accepted:
            status, answer = await world.ask("POST", "/v1/jobs", body)
            checker.answered("wk-9999", status, answer, "submit")
            await trio.sleep(0.5)
        answers["first"] = answer
        answers["waits"] = (await world.ask("GET", "/v1/jobs/wk-9999"))[1]
        world.crash(0, 1, 2)
        while checker.final.get("wk-9999") is None:
            await trio.sleep(2.0)
            status, answer = await world.ask("GET", "/v1/jobs/wk-9999")
            checker.answered("wk-9999", status, answer, "poll")
        answers["again"] = await world.ask("POST", "/v1/jobs", body)

    world = play(with_next_state_limits(controller_settings(tmp_path, 3)), 2, [], script, 200.0)
    assert world.checker.broken == []
    assert answers["first"]["status"] == "queued"
    assert len(answers["waits"]["awaits"]) > 100
    assert any(key.startswith("r/w/wk-9999/") for key, _ in world.written)
    assert answers["again"][0] == 200
    assert answers["again"][1]["status"] == "done"


async def inject_random_faults(world: World) -> None:
    """Nine faults drawn from the seed, which may overlap."""
    rng = world.rng
    count = len(world.settings)
    hosts = {f"10.0.0.{n + 1}" for n in range(count)}

    async def inject_one() -> None:
        duration_s = rng.uniform(3.0, 25.0)
        affected = {rng.choice(sorted(hosts))}
        alive = sorted(w.name for w in world.workers.values() if w.alive and w.up)
        kind = rng.choice(
            [
                "crash",
                "crash",
                "crash_all",
                "crash_all_but_one",
                "peers_refuse",
                "state_outage",
                "state_outage",
                "controller_from_state",
                "controller_from_workers",
                "controller_from_peers",
                "controller_from_all",
                "machine_fails",
                "spot_notice",
                "machine_hangs",
                "machine_faulty",
                "machine_cut",
                "cloud_outage",
                "zone_cut",
            ]
        )
        hold = rng.random() < 0.6
        if kind == "crash":
            world.crash(rng.randrange(count))
        elif kind == "crash_all":
            world.crash(*range(count))
        elif kind == "crash_all_but_one":
            world.crash(*rng.sample(range(count), count - 1))
        elif kind == "zone_cut":
            with world.cut_zones(hold):
                await trio.sleep(duration_s)
        elif kind == "peers_refuse":
            with world.cut(hosts, hosts, hold=False):
                await trio.sleep(duration_s)
        elif kind == "state_outage":
            world.state.outage = True
            await trio.sleep(duration_s)
            world.state.end_outage()
        elif kind == "cloud_outage":
            world.cloud.outage = True
            await trio.sleep(duration_s)
            world.cloud.outage = False
        elif kind in (
            "controller_from_state",
            "controller_from_workers",
            "controller_from_peers",
            "controller_from_all",
        ):
            workers = set(world.workers)
            others = {
                "controller_from_state": {"10.2.0.1"},
                "controller_from_workers": workers,
                "controller_from_peers": hosts - affected,
                "controller_from_all": {"10.2.0.1", "10.2.0.2", "users"}
                | workers
                | (hosts - affected),
            }[kind]
            with world.cut(affected, others, hold):
                await trio.sleep(duration_s)
        elif alive:
            worker = world.workers[rng.choice(alive)]
            if kind == "machine_fails":
                worker.shut_down()
            elif kind == "spot_notice":
                worker.notice_at = trio.current_time() + 6.0
                worker.changed.set()
                await trio.sleep(6.0)
                worker.shut_down()
            elif kind == "machine_hangs":
                worker.hung_until = trio.current_time() + duration_s
            elif kind == "machine_faulty":
                worker.faulty = True
            else:
                with world.cut({worker.name}, hosts, hold):
                    await trio.sleep(duration_s)

    # Copies of direct commands, answered or late ones, arrive all along.
    with world.command_copies(0.3), world.late_commands(0.05):
        async with trio.open_nursery() as nursery:
            for _ in range(9):
                await trio.sleep(rng.uniform(1.0, 18.0))
                nursery.start_soon(inject_one)


# A longer run with more seeds: RYEGAUGE_SEEDS=100 pytest tests/test_world.py
SEEDS = int(os.environ.get("RYEGAUGE_SEEDS", "4"))


@pytest.mark.parametrize("count", [3, 5])
@pytest.mark.parametrize("seed", range(SEEDS))
def test_rules_hold_under_combined_failures(tmp_path: Path, count: int, seed: int) -> None:
    areas = "ab" if seed % 2 else "a"
    world = play(
        controller_settings(tmp_path, count, areas), seed, MIXED_JOBS, inject_random_faults, 260.0
    )
    assert world.checker.broken == []
    assert world.unfinished == set()


@pytest.mark.parametrize("seed", range(SEEDS))
def test_rules_hold_for_pipelines_under_combined_failures(tmp_path: Path, seed: int) -> None:
    async def limit_state_service(world: World) -> None:
        world.nursery.start_soon(inject_random_faults, world)
        await trio.sleep(world.rng.uniform(20.0, 120.0))
        apply_next_state_limits(world)

    settings = with_next_state_limits(controller_settings(tmp_path, 5, "ab" if seed % 2 else "a"))
    world = play(settings, 100 + seed, PIPELINE_JOBS, limit_state_service, 280.0)
    assert world.checker.broken == []
    assert world.unfinished == set()


@pytest.mark.parametrize("seed", range(SEEDS))
def test_rules_hold_during_a_rolling_update(tmp_path: Path, seed: int) -> None:
    """Controllers of an older version are replaced one by one, while others crash and restart in
    the version that they have by then; pipelines are submitted once all are replaced."""

    async def roll(world: World) -> None:
        # Without another checkout, as in CI, this version replaces itself.
        old_node_class = load_node_class(os.environ.get("RYEGAUGE_PRODUCTION"))
        count = len(world.settings)
        world.node_factories = [old_node_class] * count
        world.restart_s = 0.1 if seed % 2 else world.restart_s  # restarts at once with odd seeds
        world.crash(*range(count))
        rng = world.rng
        await trio.sleep(30.0)
        for n in rng.sample(range(count), count):
            world.node_factories[n] = Node
            world.crash(n, *([rng.randrange(count)] if rng.random() < 0.5 else []))
            if rng.random() < 0.2:
                world.crash(*range(count))
            await trio.sleep(rng.uniform(2.0, 12.0))
        await trio.sleep(12.0)
        assert all(isinstance(node, Node) for node in world.nodes.values())
        apply_next_state_limits(world)

    later_jobs = [
        {
            **job,
            "delay": job["delay"] + 80.0,
            "awaits": [
                f"wk-{int(name[3:]) + len(MIXED_JOBS):06d}" for name in job.get("awaits", ())
            ],
        }
        for job in PIPELINE_JOBS
    ]
    settings = with_next_state_limits(controller_settings(tmp_path, 5, "ab" if seed % 2 else "a"))
    world = play(settings, 200 + seed, MIXED_JOBS + later_jobs, roll, 300.0)
    assert world.checker.broken == []
    assert world.unfinished == set()


def test_a_leader_without_peers_returns_no_busy_machine(tmp_path: Path) -> None:
    """A leader that heard from no other owner took their machines for ones that never booted,
    and returned them with the tasks that ran on them."""
    busy_machines: list[set[str]] = []

    async def refuse(world: World) -> None:
        hosts = {f"10.0.0.{n + 1}" for n in range(5)}
        await trio.sleep(30.0)
        with world.cut(hosts, hosts, hold=False):
            await trio.sleep(60.0)
            busy_machines.append({w.name for w in world.workers.values() if w.active_tasks()})
            world.crash(0)  # the new leader hears from no other owner either
            await trio.sleep(25.0)
            busy_machines.append({w.name for w in world.workers.values() if w.returned_while_busy})

    jobs = [{"pieces": 6, "delay": 1.0, "really": 100.0}, {"pieces": 4, "delay": 50.0}]
    world = play(controller_settings(tmp_path, 5), 1, jobs, refuse, 200.0)
    assert world.checker.broken == []
    assert world.unfinished == set()
    assert busy_machines[0]
    assert busy_machines[1] == set()


async def crash_during_outage(world: World) -> None:
    await trio.sleep(40.0)
    world.state.outage = True
    await trio.sleep(6.0)
    world.crash(0, 1, 2)
    await trio.sleep(6.0)
    world.state.end_outage()


def test_all_controllers_crash_during_a_state_outage(controllers: list[Settings]) -> None:
    world = play(controllers, 3, MIXED_JOBS, crash_during_outage, 170.0)
    assert world.checker.broken == []
    assert world.unfinished == set()


def lost_lease_count(world: World) -> int:
    """How often a worker's lease expired."""
    return sum(w.session - 1 for w in world.workers.values())


def test_tasks_survive_an_outage_longer_than_a_controller_lease(
    controllers: list[Settings],
) -> None:
    """With controller leases shorter than the outage every worker's lease expired. Now the
    controllers extend each other's authority while the state service answers nobody."""

    async def outage(world: World) -> None:
        await trio.sleep(40.0)
        world.state.outage = True
        await trio.sleep(30.0)
        world.state.end_outage()

    world = play(controllers, 2, MIXED_JOBS, outage, 170.0)
    assert world.checker.broken == []
    assert world.unfinished == set()
    assert lost_lease_count(world) == 0


def test_a_controller_cut_from_the_state_service_loses_no_worker(
    controllers: list[Settings],
) -> None:
    async def cut_off(world: World) -> None:
        # Its peers extend its authority.
        await trio.sleep(40.0)
        with world.cut({"10.0.0.1"}, {"10.2.0.1"}, hold=False):
            await trio.sleep(30.0)

    world = play(controllers, 4, MIXED_JOBS, cut_off, 170.0)
    assert world.checker.broken == []
    assert world.unfinished == set()
    assert lost_lease_count(world) == 0


def test_a_crashed_controllers_tasks_are_kept(controllers: list[Settings]) -> None:
    async def crash(world: World) -> None:
        await trio.sleep(45.0)
        world.crash(1)

    world = play(controllers, 6, MIXED_JOBS, crash, 120.0)
    assert world.checker.broken == []
    assert lost_lease_count(world) == 0


def test_answers_to_invalid_and_repeated_requests(controllers: list[Settings]) -> None:
    """400, 404, 422 and 503 are answered without delay; a known job is answered with its state even
    if the repeated submission is invalid, and never with an older state by another controller."""
    answers: dict[str, tuple[int, Any]] = {}
    durations_s: dict[str, float] = {}

    async def send_requests(world: World) -> None:
        await trio.sleep(30.0)

        async def ask(name: str, method: str, path: str, body: Any = None) -> None:
            sent_at = trio.current_time()
            answers[name] = await world.ask(method, path, body)
            durations_s[name] = trio.current_time() - sent_at

        jobs = "/v1/jobs"
        await ask("map", "POST", jobs, [1])
        await ask("missing", "POST", jobs, {"uid": "wk-777"})
        await ask("never", "POST", jobs, job_body("wk-778", cpus=99.0))
        await ask("known, malformed", "POST", jobs, {"uid": "wk-000001", "cpus": "x"})
        await ask("known, never", "POST", jobs, job_body("wk-000001", cpus=99.0))
        await ask("unknown", "GET", f"{jobs}/wk-779")
        await ask("cancel unknown", "POST", f"{jobs}/wk-779/cancel")
        await ask("cancel done", "POST", f"{jobs}/wk-000001/cancel")
        await ask("path", "GET", "/v2")
        await ask("awaits itself", "POST", jobs, job_body("wk-782", awaits=["wk-782"]))
        await ask("awaits unknown", "POST", jobs, job_body("wk-782", awaits=["wk-000001", "wk-7"]))
        await ask("awaits malformed", "POST", jobs, job_body("wk-782", awaits="wk-000001"))
        await ask("too long", "POST", jobs, job_body("wk-783", builds=["small", "x" * 20_000]))
        await ask("known, unknown needs", "POST", jobs, job_body("wk-000001", awaits=["wk-7"]))
        await ask("refused is unknown", "GET", f"{jobs}/wk-782")
        await ask("report", "POST", "/checkin", {"host": "m-1"})
        world.state.outage = True
        await ask("poll in outage", "GET", f"{jobs}/wk-000002")
        await ask("done, in outage", "GET", f"{jobs}/wk-000001")
        await ask("unknown in outage", "GET", f"{jobs}/wk-779")
        await ask("submit in outage", "POST", jobs, job_body("wk-780"))
        await ask("never in outage", "POST", jobs, job_body("wk-781", cpus=99.0))
        await ask("needs in outage", "POST", jobs, job_body("wk-782", awaits=["wk-7"]))

    long = {"pieces": 1, "delay": 1.0, "really": 90.0}
    world = play(controllers, 8, [*MIXED_JOBS[:1], long], send_requests, 45.0)
    assert world.checker.broken == []
    statuses = {name: status for name, (status, _) in answers.items()}
    assert statuses == {
        "map": 400,
        "missing": 400,
        "never": 422,
        "known, malformed": 200,
        "known, never": 200,
        "unknown": 404,
        "cancel unknown": 404,
        "cancel done": 200,
        "path": 404,
        "report": 400,
        "poll in outage": 503,
        "unknown in outage": 503,
        "done, in outage": 200,
        "submit in outage": 503,
        "never in outage": 503,
        "awaits itself": 422,
        "awaits unknown": 422,
        "awaits malformed": 400,
        "too long": 400,
        "known, unknown needs": 200,
        "refused is unknown": 404,
        "needs in outage": 503,
    }
    assert answers["cancel done"][1]["status"] == "done"
    assert max(durations_s.values()) < 2.0


def test_archived_jobs_are_still_answered(controllers: list[Settings]) -> None:
    """With memory for two jobs in the state replica, finished jobs are archived, and users go on
    to poll, resubmit and cancel them."""
    small = []
    for settings in controllers:
        quota = msgspec.structs.replace(settings.settings.quota, memory_mb=0.2)
        shared = msgspec.structs.replace(settings.settings, quota=quota)
        small.append(msgspec.structs.replace(settings, settings=shared))

    async def crash(world: World) -> None:
        await trio.sleep(100.0)
        world.crash(0, 2)

    world = play(small, 9, MIXED_JOBS, crash, 170.0)
    assert world.checker.broken == []
    assert world.unfinished == set()
    assert sum(key.startswith("f/") for key in world.state.data) >= 5


def test_zones_cut_apart_keep_their_tasks(tmp_path: Path) -> None:
    """Half of the machines belonged to an owner in the other zone, and their leases expired when
    the zones could not reach each other."""

    async def cut(world: World) -> None:
        await trio.sleep(40.0)
        with world.cut_zones(hold=False):
            await trio.sleep(25.0)

    jobs = [
        {"pieces": 9, "delay": 1.0, "really": 60.0, "cpus": 4.0},
        {"pieces": 6, "delay": 45.0, "crew": "blue"},
    ]
    world = play(controller_settings(tmp_path, 5, "ab"), 3, jobs, cut, 170.0)
    assert world.checker.broken == []
    assert world.unfinished == set()
    assert lost_lease_count(world) == 0


def test_a_new_leader_assigns_tasks_during_a_cloud_outage(
    controllers: list[Settings],
) -> None:
    """A new leader waited for the cloud's catalogue and assigned no task before it had it."""

    async def cloud_outage(world: World) -> None:
        await trio.sleep(35.0)
        world.cloud.outage = True
        leader = world.state.data["r/l"][0]["o"]
        world.crash(world.names.index(leader))
        await trio.sleep(45.0)
        assert "wk-000002" in world.checker.final
        world.cloud.outage = False

    jobs = [
        {"pieces": 4, "delay": 1.0, "really": 40.0, "cpus": 1.0},
        {"pieces": 2, "delay": 45.0, "really": 5.0, "cpus": 1.0, "expectS": 5.0},
    ]
    world = play(controllers, 3, jobs, cloud_outage, 120.0)
    assert world.checker.broken == []
    assert world.unfinished == set()


def test_an_owner_that_cannot_reach_workers_releases_its_shard(tmp_path: Path) -> None:
    """A controller that lost only the connections to its workers kept its shard, so its peers
    redirected the workers to it and all their leases expired."""

    async def cut_from_workers(world: World) -> None:
        await trio.sleep(40.0)
        with world.cut({"10.0.0.2"}, set(world.workers), hold=False):
            await trio.sleep(25.0)

    jobs = [{"pieces": 8, "delay": 1.0, "really": 80.0, "cpus": 4.0}]
    controllers = []
    for settings in controller_settings(tmp_path, 3, "a"):
        workers = msgspec.structs.replace(settings.settings.workers, lease_s=14.0, cancel_s=40.0)
        controllers.append(
            msgspec.structs.replace(
                settings, settings=msgspec.structs.replace(settings.settings, workers=workers)
            )
        )
    world = play(controllers, 3, jobs, cut_from_workers, 150.0)
    assert world.checker.broken == []
    assert world.unfinished == set()
    assert lost_lease_count(world) == 0


# -- the checker -------------------------------------------------------------------------


@pytest.mark.parametrize(
    "rule",
    [
        "ran_twice",
        "quota",
        "wrong_place",
        "ran_cancelled",
        "forgotten",
        "invented",
        "not_done",
        "went_back",
        "too_early",
        "orphaned",
        "forgotten unanswered",
    ],
)
def test_the_checker_detects_each_violation(controllers: list[Settings], rule: str) -> None:
    """Each rule is violated by hand, and the checker reports exactly that rule."""

    async def scenario() -> list[str]:
        world = World(controllers, 0)
        checker = world.checker
        async with trio.open_nursery() as nursery:
            world.nursery = world.network.nursery = nursery
            for _ in range(2):
                world.rent("large", "a", True)
            one, two = world.workers.values()
            spec = {
                "crew": "red",
                "cpus": 2.0,
                "pieces": 4,
                "builds": None,
                "district": None,
                "loaners": True,
                "together": False,
                "spread": False,
            }
            checker.specs["wk-1"] = spec
            checker.specs["wk-2"] = {**spec, "awaits": ["wk-1"]}
            one.attempts["wk-1/0", 1] = Attempt(1, "running")
            checker.on_task_started(one, "wk-1/0")
            assert checker.broken == []
            match rule:
                case "ran_twice":
                    two.attempts["wk-1/0", 2] = Attempt(2, "running")
                    checker.on_task_started(two, "wk-1/0")
                case "quota":
                    spec["cpus"] = 40.0
                    checker.on_task_started(one, "wk-1/0")
                case "wrong_place":
                    spec["district"] = "b"
                    checker.on_task_started(one, "wk-1/0")
                case "ran_cancelled":
                    checker.cancelled_at["wk-1"] = trio.current_time()
                    await trio.sleep(36.0)
                    checker.check_cancelled("wk-1/0")
                case "forgotten":
                    checker.answered("wk-1", 201, {"status": "queued"}, "submit")
                    checker.answered("wk-1", 404, None, "poll")
                case "forgotten unanswered":
                    world.troubles_ended_at = 0.0
                    checker.answered("wk-1", 201, {"status": "queued"}, "submit")
                    for status in (503, 200, 0, 429, 503):  # the second restarts the time limit
                        checker.answered("wk-1", status, {"status": "queued"}, "poll")
                        await trio.sleep(37.0)
                        assert checker.broken == []
                    checker.answered("wk-1", 503, None, "poll")
                case "invented":
                    checker.answered("wk-9", 200, {"status": "queued"}, "poll")
                case "not_done":
                    checker.answered("wk-1", 200, {"status": "done"}, "poll")
                case "too_early":
                    one.attempts["wk-2/0", 1] = Attempt(1, "running")
                    checker.on_task_started(one, "wk-2/0")
                case "orphaned":
                    checker.cancelled_at["wk-1"] = trio.current_time()
                    checker.answered("wk-2", 200, {"status": "queued"}, "poll")
                    await trio.sleep(36.0)
                    checker.answered("wk-2", 200, {"status": "queued"}, "poll")
                case "went_back":
                    world.results = {f"wk-1/{i}" for i in range(4)}
                    checker.answered("wk-1", 200, {"status": "done"}, "poll")
                    checker.answered("wk-1", 200, {"status": "running"}, "poll")
            nursery.cancel_scope.cancel()
        return checker.broken

    broken = trio.run(scenario, clock=trio.testing.MockClock(autojump_threshold=0))
    assert [line.split()[1].rstrip(":") for line in broken] == [rule.split()[0]]
