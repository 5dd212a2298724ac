"""Changes of owner and leader: while jobs are cancelled, while reports arrive late, and while jobs
run whose tasks end far apart."""

from collections import Counter
from collections.abc import Callable
from contextlib import AbstractContextManager, nullcontext
from pathlib import Path
from typing import Any

import msgspec
import pytest
import trio
from conftest import job_body
from days import Day, play
from test_shard_owner import TOKEN, TYPES, UID, ShardHarness, shard
from test_world import controller_settings

from ryegauge.bookkeeping.state_replica import assignment_key, job_key, job_record
from ryegauge.config import Settings
from ryegauge.coordination.shard_owner import ShardOwner
from ryegauge.coordination.sharding import ShardMap
from ryegauge.protocol.jobs import parse_job
from ryegauge.protocol.workers import Command, Kill, Report, Run, TaskReport

__all__ = ["shard"]  # a fixture

EARLIER_ATTEMPT = ((TOKEN - 9) << 20) + 1  # an attempt started by the earlier owner
EARLIER_TOKEN = TOKEN - 9


# -- late reports ---------------------------------------------------------------------------


def use_detecting_owner(shard: ShardHarness, settings: Settings, authority_ended_at: float) -> None:
    """Gives the shard an owner that looks for tasks whose records were lost."""
    shard.owner = ShardOwner(
        0, TOKEN, shard.replica, settings, lambda: TYPES, shard.now, authority_ended_at, True
    )
    shard.replica.on_job_changed.append(shard.owner.on_job_changed)


def test_a_report_delayed_for_longer_than_its_lease(settings: Settings) -> None:
    """A machine got an answer with this owner's token, and its next report was delayed until its
    lease had expired. The report must not make the machine count as present: its task, returned
    to the leader long before, would look like one whose record was lost, and a new epoch would
    begin."""
    shard = ShardHarness(settings, [0])
    use_detecting_owner(shard, settings, shard.now)
    shard.report((0, EARLIER_ATTEMPT, "running"), token=EARLIER_TOKEN, seq=1)
    shard.tick(11.0)
    assert shard.phase(0) == "pending_removal"
    shard.assign([])
    shard.report((0, EARLIER_ATTEMPT, "running"), seq=2)
    assert shard.owner.machines == {}
    assert shard.owner.unrecorded.found == {}
    shard.report(session=2, seq=3)
    assert shard.owner.machines["m-1"].token_confirmed


def test_a_lease_that_others_may_have_renewed(settings: Settings) -> None:
    """An earlier owner may answer until its authority ends, so silence here does not prove before
    then that the lease has expired."""
    shard = ShardHarness(settings, [0])
    use_detecting_owner(shard, settings, shard.now + 20.0)
    shard.report((0, EARLIER_ATTEMPT, "running"), token=EARLIER_TOKEN, seq=1)
    shard.tick(11.0)
    shard.report((0, EARLIER_ATTEMPT, "running"), seq=2)
    assert shard.phase(0) == "seen"


@pytest.mark.parametrize("state", ["fetching", "running", "ended"])
def test_old_reports_prove_nothing_to_a_new_owner(settings: Settings, state: str) -> None:
    """Reports of a released machine, of an earlier session and of an earlier attempt, before and
    after the first report under this owner's token."""
    shard = ShardHarness(settings, [0, 1, 2, 3])
    shard.report((0, 7, state), machine="m-9", token=EARLIER_TOKEN, seq=3)
    shard.report((1, 6, state), (2, 5, state), machine="m-2", token=EARLIER_TOKEN, seq=9)
    assert [shard.phase(i) for i in range(4)] == ["unseen"] * 4
    shard.report((1, 8, "running"), machine="m-2", session=2, seq=50)
    for session, seq, token in (
        (1, 10, EARLIER_TOKEN),
        (1, 48, TOKEN),
        (2, 49, EARLIER_TOKEN),
        (2, 49, TOKEN),
    ):
        old = shard.report(
            (1, 6, state),
            (1, 8, state),
            (2, 5, state),
            machine="m-2",
            session=session,
            seq=seq,
            token=token,
        )
        assert old == []
    assert [shard.phase(i) for i in range(4)] == ["unseen", "seen", "unseen", "unseen"]
    assert shard.owner.tasks[UID, 1].attempt == 8
    # The released machine holds up the barrier for a lease at most, however many duplicates come.
    for n in range(12):
        shard.tick(1.0)
        shard.report((1, 8, "running"), machine="m-2", session=2, seq=51 + n)
        shard.report((0, 7, state), machine="m-9", token=EARLIER_TOKEN, seq=3 - n % 3)
    assert "m-9" not in shard.owner.machines
    assert shard.phase(1) == "seen"
    assert "unseen" not in [shard.phase(i) for i in range(4)]


def test_an_unanswered_run_is_resolved_next_to_long_tasks(settings: Settings) -> None:
    """A direct `run` was lost and its task withdrawn. Without `run` and `kill` in order, only the
    end of the session or the machine's return would prove that it does not start. Neither comes
    while a service runs there, and the task would count against its team for good."""
    shard = ShardHarness(settings, [])
    service = shard.start(3)
    shard.report((3, service, "running"))
    shard.assign([0, 3])
    shard.tick()
    (request,) = shard.owner.take_direct_runs(shard.now, 10)
    (run,) = request.commands
    assert isinstance(run, Run)
    task = shard.owner.tasks[UID, 0]
    task.withdrawn = True  # only this one, as when it is evicted
    commands = shard.report((3, service, "running"))
    # In order, so that the worker knows the attempt and has ended it before it can start.
    assert commands == [Run(task.key, run.attempt), Kill(task.key, run.attempt, 0.0)]
    assert shard.report((3, service, "running")) == commands  # the answer may be lost
    shard.report((0, run.attempt, "ended"), (3, service, "running"), why="stopped")
    assert shard.phase(0) == "pending_removal"
    # The worker keeps the ended attempt, so that the delayed `run` has no effect.
    assert shard.report((0, run.attempt, "ended"), (3, service, "running"), why="stopped") == []


def test_an_unanswered_run_of_a_cancelled_job_is_never_repeated(settings: Settings) -> None:
    """A task of a cancelled job must not be started even to be killed at once. Its machine is
    returned instead, and a service there moves."""
    shard = ShardHarness(settings, [])
    shard.put(
        job_key("wk-000002"),
        job_record(
            parse_job(job_body("wk-000002", shape="standing", crew="red", cpus=1.0, memoryGb=1.0)),
            0.0,
            False,
        ),
    )
    shard.put(assignment_key("wk-000002", 0), {"t": {"": [0, 1]}, "d": []})

    def report(*tasks: TaskReport) -> list[Command]:
        shard.seq += 1
        message = Report("m-1", "small", "a", True, 1, shard.seq, TOKEN, "m:1", None, list(tasks))
        return shard.owner.on_report(message, shard.now)

    report()
    shard.tick()
    (service,) = report()
    running = TaskReport("wk-000002/0", service.attempt, "running")
    assert report(running) == []
    shard.assign([0])
    shard.tick()
    (request,) = shard.owner.take_direct_runs(shard.now, 10)
    (run,) = request.commands
    shard.cancel()
    assert run.task == (UID, 0)
    for _ in range(2):
        commands = report(running)
        assert not [c for c in commands if c.task == run.task]
    assert commands == [Kill(service.task, service.attempt, 0.0)]
    report(TaskReport("wk-000002/0", service.attempt, "ended", "stopped"))
    report()
    assert shard.owner.next_view("n", 1, shard.now).machines[0].empty


def test_an_owner_is_not_unreachable_before_workers_can_report(shard: ShardHarness) -> None:
    """No machine reports here within half a second of the claim, while three have just been
    redirected by other controllers. The shard must not be given up for that."""
    for age_s, expected in ((0.5, False), (1.2, False), (1.4, True)):
        now = shard.now + age_s
        for name in ("m-1", "m-2", "m-3"):
            shard.owner.silence.on_heard_elsewhere(name, now - 0.3)
        shard.owner.tick(now, now)
        assert shard.owner.silence.is_owner_unreachable(now) == expected
    shard.now += 2.0
    for name in ("m-1", "m-2", "m-3"):
        shard.report(machine=name)
    assert not shard.owner.silence.is_owner_unreachable(shard.now)


def test_a_delayed_run_of_a_cancelled_job_empties_its_machine(settings: Settings) -> None:
    """Next to running tasks the machine was returned only after them, and the delayed `run` could
    arrive later than `cancel_s`. So they are moved, unless an answer comes in time."""
    for answered in (True, False):
        shard = ShardHarness(settings, [])
        shard.put(
            job_key("wk-000002"),
            job_record(
                parse_job(job_body("wk-000002", crew="red", cpus=1.0, memoryGb=1.0)), 0.0, False
            ),
        )
        shard.put(assignment_key("wk-000002", 0), {"t": {"": [0, 1]}, "d": []})
        message = Report("m-1", "small", "a", True, 1, 0, TOKEN, "m:1")

        def report(
            *tasks: TaskReport, shard: ShardHarness = shard, message: Report = message
        ) -> list[Command]:
            shard.seq += 1
            next_message = msgspec.structs.replace(message, seq=shard.seq, tasks=list(tasks))
            return shard.owner.on_report(next_message, shard.now)

        report()
        shard.tick()
        (other,) = report()
        running = TaskReport("wk-000002/0", other.attempt, "running")
        report(running)
        shard.assign([0])
        shard.tick()
        (request,) = shard.owner.take_direct_runs(shard.now, 10)
        shard.cancel()
        kills = []
        for n in range(12):
            shard.now += 1.0
            if answered and n == 3:
                shard.owner.on_direct_answer(request)
            kills.append(report(running))
        first_kill = next((n for n, commands in enumerate(kills) if commands), None)
        assert first_kill == (None if answered else 6)
        assert answered or kills[6] == [Kill(other.task, other.attempt, 0.0)]


# -- cancellations --------------------------------------------------------------------------

SINGLE_TASK_JOBS: list[dict[str, Any]] = [
    {"pieces": 1, "cpus": 1.0, "memoryGb": 1.0, "really": 300.0, "crew": crew}
    for _ in range(9)
    for crew in ("red", "blue")
]


async def confirm(world: Day, uid: str, n: int) -> None:
    """Asks controller `n`, then the next ones in turn, until one confirms the cancellation."""
    world.checker.cancel_requested.add(uid)
    while await world.users.ask_and_check(uid, "cancel", controller=n % len(world.settings)) != 200:
        n += 1
        await trio.sleep(0.1)


async def cancel_all_along(world: Day, uids: list[str], seconds: float) -> None:
    """Cancels the jobs over `seconds`, each at another controller first."""
    for n, uid in enumerate(uids):
        world.nursery.start_soon(confirm, world, uid, n)
        await trio.sleep(seconds / len(uids))


def hosts(world: Day) -> set[str]:
    """The hosts of all controllers."""
    return {world.host_of(n) for n in range(len(world.settings))}


def cut_from_state(world: Day, n: int) -> AbstractContextManager[None]:
    """Cuts controller `n` off from the state service and its peers, not from workers."""
    return world.cut_from_state_and_peers(n, hold=True)


def cut_from_workers(world: Day, n: int) -> AbstractContextManager[None]:
    """Cuts controller `n` off from all workers."""
    return world.cut({world.host_of(n)}, set(world.workers), hold=False)


def owner_of_busiest_shard(world: Day) -> int:
    """The controller that owns the shard with most tasks on its machines."""
    shard_map = ShardMap(world.settings[0])
    tasks: Counter[int] = Counter()
    for worker in world.workers.values():
        tasks[shard_map.shard_of(worker.name, worker.zone)] += len(worker.active_tasks())
    shard, _ = tasks.most_common(1)[0]
    return world.names.index(world.state.data[f"r/p/{shard}"][0]["o"])


# Fault of the owner (None: a crash), seconds until a crashed one restarts, number of crashes.
CHANGES: dict[str, tuple[Callable[[Day, int], AbstractContextManager[None]] | None, float, int]] = {
    "restarts and gets its shard back": (None, 4.0, 1),
    "back at once": (None, 0.05, 3),
    "its successor crashes too": (None, 9.0, 2),
    "reports do not arrive": (cut_from_workers, 4.0, 1),
    "only commands get through": (cut_from_state, 4.0, 1),
}


@pytest.mark.parametrize("how", CHANGES)
def test_cancellations_while_a_shard_changes_owner(tmp_path: Path, how: str) -> None:
    """Jobs are cancelled before, during and after the change of owner, and the cancellations are
    confirmed by the old owner, the new one and others."""
    fault, restart_s, times = CHANGES[how]
    claims: list[int] = []

    async def script(world: Day) -> None:
        world.restart_s = restart_s
        await trio.sleep(32.0)
        assert len({t for w in world.workers.values() for t in w.active_tasks()}) == len(
            SINGLE_TASK_JOBS
        )
        before = len(world.written)
        world.nursery.start_soon(cancel_all_along, world, sorted(world.checker.accepted), 20.0)
        await trio.sleep(3.0)
        owner = owner_of_busiest_shard(world)
        for n in range(times) if fault is None else ():
            world.crash((owner + n) % 3)
            await trio.sleep(4.0)
        with nullcontext() if fault is None else fault(world, owner):
            await trio.sleep(44.0 if fault is cut_from_state else 14.0)
        claims.extend(key.startswith("r/p/") for key, _ in world.written[before:])

    world = play(controller_settings(tmp_path, 3), 21, SINGLE_TASK_JOBS, script, 94.0)
    assert sum(claims) >= 1
    assert world.checker.broken == []
    assert len(world.checker.cancelled_at) == len(SINGLE_TASK_JOBS)
    assert not [t for w in world.workers.values() if w.alive for t in w.active_tasks()]


# -- reports for the next leader ---------------------------------------------------------------

MIXED_JOBS: list[dict[str, Any]] = [
    *(
        {"pieces": 4, "cpus": 1.0, "memoryGb": 1.0, "really": 40.0, "crew": crew}
        for _ in range(4)
        for crew in ("red", "blue")
    ),
    *(
        {"pieces": 4, "cpus": 1.0, "memoryGb": 1.0, "crew": crew, "delay": 36.0}
        for crew in ("red", "blue")
    ),
]


@pytest.mark.parametrize("held_s", [0.0, 14.0])
def test_old_reports_reach_all_as_a_leader_begins(tmp_path: Path, held_s: float) -> None:
    """Delayed reports arrive when the new leader is recorded, or once it has acted, while some of
    the machines are lost."""
    held_reports: list[int] = []
    claims: list[str] = []

    async def script(world: Day) -> None:
        world.restart_s = 9.0
        await trio.sleep(30.0)
        with world.late_reports(1.0, for_next=True):
            await trio.sleep(5.0)
        if held_s:
            world.state.on_write.remove(world._on_state_write)
        for worker in [w for w in world.workers.values() if w.active_tasks()][::4]:
            world.fail_machine(worker)
        leader, before = world.leader_number, len(world.written)
        assert leader is not None
        held_reports.append(len(world.network._report_copies))
        world.crash(leader)
        await trio.sleep(8.0)
        assert world.leader_number not in (leader, None)
        held_reports.append(len(world.network._report_copies))
        await trio.sleep(max(0.0, held_s - 8.0))
        world._on_state_write("r/l", None)
        await confirm(world, "wk-000001", 1)
        await trio.sleep(10.0)
        claims.extend(key for key, _ in world.written[before:] if key.startswith("r/p/"))

    world = play(controller_settings(tmp_path, 3), 22, MIXED_JOBS, script, 135.0)
    assert held_reports[0] > 3
    assert held_reports[1] == (held_reports[0] if held_s else 0)
    assert world.checker.broken == []
    assert world.unfinished == set()
    # One takeover and one return to the home controller: late reports make no owner give a shard
    # up.
    assert len(claims) == 2


# -- tasks that end far apart ---------------------------------------------------------------------


def test_tasks_that_end_far_apart_across_changes_of_leader(tmp_path: Path) -> None:
    """Each task runs once, and its job is done soon after the last has ended, whoever leads."""
    jobs: list[dict[str, Any]] = [
        {
            "pieces": pieces,
            "cpus": 1.0,
            "really": 12.0 + 3 * n,
            "apart": 23.0 + n,
            "crew": crew,
            "delay": 2.0 * n,
        }
        for n, (pieces, crew) in enumerate([(2, "red"), (3, "blue"), (3, "red"), (2, "blue")] * 2)
    ]
    leaders: list[int] = []

    async def script(world: Day) -> None:
        world.restart_s = 9.0
        await trio.sleep(35.0)
        for _ in range(4):
            leader = world.leader_number
            assert leader is not None
            leaders.append(leader)
            world.crash(leader)
            await trio.sleep(14.0)

    world = play(controller_settings(tmp_path, 3), 23, jobs, script, 130.0)
    assert len(set(leaders)) > 1
    assert world.checker.broken == []
    assert world.unfinished == set()
    started = [event.task for event in world.recorded_events if event.what == "started"]
    assert sorted(started) == sorted(
        f"wk-{n + 1:06d}/{i}" for n, job in enumerate(jobs) for i in range(job["pieces"])
    )
    ended = {e.uid: e.at for e in world.recorded_events if e.what == "ended"}
    final = {e.uid: e.at for e in world.recorded_events if e.what == "final"}
    assert max(final[uid] - at for uid, at in ended.items()) < 15.0
