"""Machines whose reports reach no controller while direct commands reach them, and machines that
hang and resume: no lease is renewed there, nothing starts there, and cancelled tasks end in
time."""

from pathlib import Path

import msgspec
import pytest
import trio
from conftest import job_body
from days import Day, play
from test_leader import LeaderHarness, listed
from test_shard_owner import TOKEN, UID, ShardHarness
from test_world import controller_settings

from ryegauge.bookkeeping.state_replica import job_key, job_record
from ryegauge.config import Settings
from ryegauge.emulator.workers import Worker
from ryegauge.protocol.jobs import parse_job
from ryegauge.protocol.workers import Kill, Run
from ryegauge.scheduling.planner import Rental

LONG_JOB = {"pieces": 8, "delay": 1.0, "really": 35.0, "expectS": 35.0, "cpus": 1.0}
SHORT_JOBS = [
    {"pieces": 4, "delay": 31.0 + 4 * n, "really": 3.0, "cpus": 1.0, "crew": "blue"}
    for n in range(14)
]
FULL_FLEET_JOB = {"pieces": 24, "delay": 52.0, "really": 6.0, "cpus": 2.0, "crew": "blue"}


def test_a_direct_start_counts_until_the_lease_of_an_unreachable_machine_is_over(
    settings: Settings,
) -> None:
    """Its answers to direct commands renew no lease, and it gets no more tasks."""
    shard = ShardHarness(settings, [])
    shard.report()
    shard.assign([0])
    shard.tick(1.0)
    (request,) = shard.owner.take_direct_runs(shard.now, 10)
    (run,) = request.commands
    assert isinstance(run, Run)
    shard.owner.on_direct_answer(request)
    for n in range(4):
        shard.report((0, run.attempt, "running"), checkin=False)
        shard.assign([0, *range(1, n)])
        shard.tick(2.0)
        assert shard.owner.take_direct_runs(shard.now, 10) == []
    shard.report(machine="m-2", seq=shard.seq + 1)
    shard.tick(0.5)
    assert shard.owner.tasks[UID, 0].machine == "m-1"
    shard.tick(1.0)
    assert shard.owner.tasks[UID, 0].machine != "m-1"


@pytest.mark.parametrize("crashed", ["nobody", "leader", "owner"])
def test_a_day_with_unreachable_machines(tmp_path: Path, crashed: str) -> None:
    """The reports of machines are lost for longer than a lease, twice, the second time with hangs
    and cancellations, while the leader or their owner may crash. Those that recover are used
    again."""
    losses: list[tuple[float, float, set[str]]] = []

    async def script(world: Day) -> None:
        await trio.sleep(33.0)
        for n in range(2):
            machines = set(sorted(w.name for w in world.workers.values() if w.alive and w.up)[::2])
            began = trio.current_time()
            with world.outbound_loss(machines):
                await trio.sleep(2.0)
                if n:
                    await world.cancel_now(6, hang_s=8.0)
                leader = world.leader_number
                if crashed != "nobody" and leader is not None:
                    world.crash((leader + (crashed == "owner")) % 3)
                await trio.sleep(18.0)
            losses.append((began, trio.current_time(), machines))
            await trio.sleep(20.0)

    world = play(
        controller_settings(tmp_path, 3),
        4,
        [LONG_JOB, LONG_JOB, FULL_FLEET_JOB, *SHORT_JOBS],
        script,
        150.0,
    )
    assert world.checker.broken == []
    assert world.unfinished == set()
    starts = [(e.at, e.machine) for e in world.recorded_events if e.what == "started"]
    for began, ended, machines in losses:
        # A machine that reported just before may still be given a task, which fetches for 1 s.
        late = [at for at, name in starts if name in machines and began + 5.5 < at < ended]
        assert late == []
    _, ended, machines = losses[0]
    assert any(name in machines and at > ended for at, name in starts)


def test_a_single_silent_machine_is_returned_in_the_end(settings: Settings) -> None:
    """A machine that answers probes and reports to no controller costs money and is of no use.
    If many do so at once they are kept, since they recover together."""
    harness = LeaderHarness(settings)
    names = [f"m-{i}" for i in range(60) if harness.shard_of(f"m-{i}") == 0][:12]
    for name in names:
        harness.machine(name, empty=False)
        harness.probe_outcomes[name] = "answered"
    harness.round()

    def silence(count: int, seconds: float) -> list[str]:
        harness.now += seconds
        for name in names[:count]:
            silent_s = harness.machines[name].silent_s + seconds
            harness.machine(name, empty=False, accepts_tasks=False, silent_s=silent_s)
        harness.round()
        return harness.last_result.releases

    assert silence(1, 11.0) == []
    assert silence(1, 19.0) == []
    assert silence(1, 1.0) == [names[0]]
    assert silence(6, 40.0) == []


def test_a_machine_that_answered_is_not_returned_when_its_owner_gives_it_up(
    settings: Settings,
) -> None:
    """The results of probing a machine were forgotten when its lease ended, until it was probed
    again; meanwhile it was returned if no more of its kind were available."""
    harness = LeaderHarness(settings)
    harness.leader.on_machine_list([listed("m-1")], harness.now)
    for silent_s in (0.0, 9.5):
        harness.machine("m-1", empty=False, silent_s=silent_s)
        harness.round()
        harness.probe_outcomes["m-1"] = "answered"
        harness.now += 1.5 if silent_s else 11.0
    harness.leader.fleet.on_rental_refused(Rental("small", "a", True, 1), harness.now)
    del harness.machines["m-1"]
    harness.round()
    assert harness.last_result.releases == []
    harness.now += 3.0  # probed again, without an answer
    harness.round()
    assert harness.last_result.releases == ["m-1"]


def test_an_answer_that_renews_a_lease_ends_what_was_cancelled(settings: Settings) -> None:
    """Also the answer to a report that is not processed otherwise: one from before the machine
    saw the token, and one overtaken by the answer to a direct command."""
    shard = ShardHarness(settings, [0, 1])
    shard.put(job_key("wk-000002"), job_record(parse_job(job_body("wk-000002")), 0.0, False))
    assert shard.report((0, 7, "running"), token=TOKEN - 1) == []
    shard.cancel()
    kill = Kill((UID, 0), 7, 0.0)
    assert shard.report((0, 7, "running"), (1, 8, "ended"), token=TOKEN - 1) == [kill]
    assert shard.phase(0) == "unseen"  # nothing is concluded
    assert shard.report((0, 7, "running")) == [kill]
    shard.report((0, 7, "running"), seq=shard.seq + 2, checkin=False)
    assert shard.report((0, 7, "running"), seq=shard.seq + 1) == [kill]


def test_a_machine_that_hangs_after_each_answer_keeps_nothing_cancelled(tmp_path: Path) -> None:
    """It hangs three times in a row, for almost a lease, while its shard changes owners in
    between; the answers in between must kill the cancelled task."""
    controllers = []
    for settings in controller_settings(tmp_path, 5):
        workers = msgspec.structs.replace(
            settings.settings.workers, report_s=2.5, lease_s=14.0, cancel_s=39.0
        )
        controllers.append(
            msgspec.structs.replace(
                settings, settings=msgspec.structs.replace(settings.settings, workers=workers)
            )
        )
    renewed: list[float] = []

    async def hang_when_answered(world: Day, worker: Worker) -> None:
        before = worker.lease_renewed_at
        while worker.lease_renewed_at == before:
            await trio.sleep(0.005)
        worker.hung_until = worker.lease_renewed_at + 13.4
        renewed.append(trio.current_time())

    async def script(world: Day) -> None:
        await trio.sleep(40.0)
        worker = next(w for w in world.workers.values() if w.alive and w.active_tasks())
        uid = worker.active_tasks()[0].rpartition("/")[0]
        await hang_when_answered(world, worker)
        world.checker.cancel_requested.add(uid)
        status = 0
        while status != 200:
            status, answer = await world.ask("POST", f"/v1/jobs/{uid}/cancel")
            world.checker.answered(uid, status, answer, "cancel")
        for _ in range(2):
            # All controllers crash, so its shard gets a new owner.
            world.crash(*range(5))
            await hang_when_answered(world, worker)
        await trio.sleep(20.0)

    world = play(controllers, 6, [{**LONG_JOB, "really": 120.0, "expectS": 120.0}], script, 110.0)
    assert world.checker.broken == []
    assert len(renewed) == 3
