"""Cancellations confirmed while another controller's replica is outdated: the state service does
not serve one controller, others confirm cancellations, then it serves nobody for longer than
`cancel_s`, while workers still report to the first controller."""

import os
import random
from contextlib import ExitStack
from pathlib import Path
from typing import Any

import pytest
import trio
import trio.testing
from conftest import job_body
from days import Day, play
from test_world import controller_settings

from ryegauge.bookkeeping.state import Event
from ryegauge.bookkeeping.state_replica import StateReplica, job_record
from ryegauge.bookkeeping.unsynced_cancellations import UnsyncedCancellations
from ryegauge.config import Settings
from ryegauge.coordination import peer_messaging
from ryegauge.coordination.node import Node
from ryegauge.coordination.node_context import NodeContext
from ryegauge.coordination.shard_owner import ShardOwner
from ryegauge.emulator.network import SimulatedNetwork
from ryegauge.emulator.world import World
from ryegauge.protocol.jobs import parse_job
from ryegauge.protocol.peers import (
    LeaseExtensionAnswer,
    LeaseExtensionRequest,
    parse_message,
    to_wire,
)

OptionalAnswer = LeaseExtensionAnswer | None
# For more seeds: RYEGAUGE_SEEDS=10 pytest tests/test_gap.py
SEEDS = range(1, 1 + int(os.environ.get("RYEGAUGE_SEEDS", "1")))
OUTAGE_S = 50.0
# wk-000001 runs everywhere; 2 is not cancelled; 3 and 4 are a pipeline whose first job runs.
JOBS: list[dict[str, Any]] = [
    {"pieces": 16, "cpus": 1.0, "really": 150.0},
    {"pieces": 8, "cpus": 1.0, "really": 110.0, "crew": "blue"},
    {"pieces": 6, "cpus": 1.0, "really": 150.0, "crew": "blue"},
    {"pieces": 2, "cpus": 1.0, "awaits": ["wk-000003"], "crew": "blue", "delay": 5.0},
]
CANCELLED = ["wk-000001", "wk-000003", "wk-000009"]


async def submit_or_cancel(world: World, n: int, uid: str, body: Any = None) -> str:
    """Submits `body` to controller `n`, or cancels the job if there is none. Returns the job's
    status, "" if it was refused."""
    target = "/v1/jobs" if body else f"/v1/jobs/{uid}/cancel"
    if not body:
        world.checker.cancel_requested.add(uid)
    status, answer, _ = await world.network.call(
        "users", world.settings[n].listen, "POST", target, body, 5.0
    )
    world.checker.answered(uid, status, answer, "submit" if body else "cancel")
    return str(answer["status"]) if status in (200, 201) else ""


async def confirm(world: World, n: int, scenario_name: str) -> None:
    """Cancels jobs at controllers other than `n` until that is confirmed. The last of them was
    submitted a moment ago, so that its tasks are being started."""
    writer, other_controller = (n + 1) % 5, (n + 2) % 5
    body = job_body("wk-000009", pieces=6, cpus=1.0, crew="blue", urgency="high", imageGb=1.0)
    world.checker.specs["wk-000009"] = {**body, "really": 150.0, "broken": False}
    assert await submit_or_cancel(world, writer, "wk-000009", body)
    await trio.sleep(0.3)
    if scenario_name == "found written":
        # The writer's commits get no answer; another controller's replica shows them.
        world.network.late_write_delay_s = (0.05, 0.1)
        async with trio.open_nursery() as nursery:
            with world.late_writes(1.0):
                for uid in CANCELLED:
                    nursery.start_soon(submit_or_cancel, world, writer, uid)
                await trio.sleep(0.3)
            nursery.cancel_scope.cancel()
        assert any(world.state.data[f"r/j/{uid}"][0].get("x") for uid in CANCELLED)
        writer = other_controller
    for uid in CANCELLED:
        while await submit_or_cancel(world, writer, uid) != "cancelled":
            await trio.sleep(0.05)  # the job's assignments keep changing
        assert uid in world.checker.cancelled_at
    if scenario_name == "writer ends":
        world.restart_s = 0.05
        world.crash(writer)
        await trio.sleep(1.0)


async def isolate_then_outage(world: World, role: str, scenario_name: str) -> None:
    """Isolates the leader or another controller while cancellations are confirmed, and begins an
    outage of the state service before its replica is read again."""
    leader = world.leader_number
    assert leader is not None
    n = (leader + 1) % 5 if role == "owner" else leader
    with ExitStack() as until_outage:
        # Also cut off from its peers, which would relay its reads, so that it stays outdated.
        until_outage.enter_context(world.cut_from_state_and_peers(n, hold=False))
        with world.refused_by_state(n):
            await confirm(world, n, scenario_name)
            world.state.outage = True
            until_outage.close()
            await trio.sleep(OUTAGE_S)
            world.state.end_outage()
            await trio.sleep(2.0)


SCENARIOS = ["written", "found written", "writer ends"]


@pytest.mark.parametrize("role", ["leader", "owner"])
@pytest.mark.parametrize("scenario_name", SCENARIOS)
@pytest.mark.parametrize("seed", SEEDS)
def test_confirmed_cancellations_stop_tasks_in_time(
    tmp_path: Path, role: str, scenario_name: str, seed: int
) -> None:
    """All tasks of jobs whose cancellation was confirmed stop within `cancel_s`."""
    isolated: list[bool] = []

    async def script(world: Day) -> None:
        await trio.sleep(45.0)
        assert len({t for w in world.workers.values() for t in w.active_tasks()}) > 25
        await isolate_then_outage(world, role, scenario_name)
        isolated.append(True)

    world = play(controller_settings(tmp_path, 5), seed, JOBS, script, 260.0)
    assert isolated
    assert world.checker.broken == []
    assert world.unfinished == set()
    # An expired lease ends no task of the job that was not cancelled, unless a controller crashes.
    lease_ends = [e for e in world.recorded_events if e.what == "ended" and e.detail == "lease"]
    assert scenario_name == "writer ends" or not [e for e in lease_ends if e.uid == "wk-000002"]


def job_event(uid: str, version: int, cancelled: bool) -> Event:
    """The record of a job with four tasks."""
    spec = parse_job(job_body(uid, pieces=4))
    return Event(f"r/j/{uid}", job_record(spec, 0.0, cancelled), version)


def test_reported_cancellation_applies_to_later_reads(settings: Settings) -> None:
    """A cancellation reported by a peer also applies to an assignment that is read later, and in
    a shard that is taken over later."""
    replica = StateReplica()
    replica.apply([job_event("wk-1", 3, False)], 3)
    unsynced = UnsyncedCancellations(replica)
    owner = ShardOwner(0, 2, replica, settings, dict, 10.0)
    replica.on_job_changed.append(owner.on_job_changed)
    assert unsynced.learn(["wk-1"], now=11.0) == ["wk-1"]
    assert unsynced.learn(["wk-1"], now=12.0) == []
    replica.apply([Event("r/j/wk-1/0", {"t": {"": [0, 4]}, "d": []}, 4)], 4)
    later_owner = ShardOwner(0, 9, replica, settings, dict, 13.0)
    for shard_owner in (owner, later_owner):
        assert [task.withdrawn for task in shard_owner.tasks.values()] == [True] * 4
    # A read that began before the report need not show the cancellation; a later one does.
    unsynced.discard_synced(11.5)
    assert replica.is_cancelled("wk-1")
    unsynced.discard_synced(12.5)
    assert not replica.is_cancelled("wk-1")


def test_reported_cancellations_are_those_after_the_revision() -> None:
    """Compared with a plain model, in which each revision cancels one job: the reported
    cancellations are those after the requester's revision."""
    replica = StateReplica()
    replica.apply([job_event(f"wk-{n}", n, n % 3 == 0) for n in range(1, 30)], 29)
    unsynced = UnsyncedCancellations(replica)
    unsynced.learn(["wk-50"], now=1.0)  # by a write of ours that no read has shown yet
    for state_revision in range(30):
        missing = {f"wk-{n}" for n in range(state_revision + 1, 30) if n % 3 == 0} | {"wk-50"}
        assert set(unsynced.cancellations_after(state_revision)) == missing


def test_incomplete_report_grants_no_extension(
    settings: Settings, monkeypatch: pytest.MonkeyPatch
) -> None:
    """No lease extension if there are too many cancellations for a message, or if nothing has
    been read since the start. Answers of an older version are never complete."""
    answers: list[LeaseExtensionAnswer] = []

    rng = random.Random(1)

    async def scenario() -> None:
        context = NodeContext(settings, SimulatedNetwork(None, rng).at("x"), lambda: 0.0, rng)
        api = type("JobApi", (), {})()
        messenger = peer_messaging.PeerMessenger(context, api)
        context.replica.apply([job_event(f"wk-{n}", n, True) for n in range(1, 9)], 8)
        context.replica.nodes["node-1"] = "i"
        context.state.failing_since = 0.0
        context.syncer.last_read_sent_at = 0.0

        async def request_extension(state_revision: int) -> None:
            request = to_wire(LeaseExtensionRequest("node-1", "i", [], state_revision))
            answers.append(messenger._grant_extension(parse_message(request)))  # type: ignore[arg-type]

        await request_extension(6)  # not read yet
        context.syncer.ready.set()
        await request_extension(6)
        monkeypatch.setattr(peer_messaging, "MAX_CANCELLED_NAMES_BYTES", 25)
        await request_extension(6)
        await request_extension(0)

    trio.run(scenario)
    assert [(a.granted, a.complete) for a in answers] == [
        (False, False),
        (True, True),
        (True, True),
        (False, False),
    ]
    assert [len(a.cancelled) for a in answers] == [2, 2, 2, 3]
    old_answer = parse_message(["vowed", True, "i", ["wk-1"]])
    assert isinstance(old_answer, LeaseExtensionAnswer)
    assert not old_answer.complete
    assert parse_message(["vow", "node-1", "i", []]) == LeaseExtensionRequest("node-1", "i", [], 0)


class RoundCounted(Exception):
    """Ends the loop after one round."""


def test_only_complete_rounds_extend_authority(settings: Settings) -> None:
    """Only complete answers count, and their cancellations are taken in before authority is
    extended. A missing answer invalidates the round, but reported cancellations still apply."""
    rng = random.Random(1)
    counted_voters: list[dict[str, str]] = []

    async def scenario(answers: dict[str, OptionalAnswer]) -> None:
        context = NodeContext(settings, SimulatedNetwork(None, rng).at("x"), lambda: 0.0, rng)
        messenger = peer_messaging.PeerMessenger(context, type("JobApi", (), {})())
        context.replica.apply([job_event("wk-1", 3, False), job_event("wk-2", 4, False)], 4)
        context.replica.apply([Event("r/j/wk-1/0", {"t": {"": [0, 4]}, "d": []}, 5)], 5)
        owner = context.owned[0] = ShardOwner(0, 2, context.replica, settings, dict, 0.0)

        async def ask(name: str, message: object) -> OptionalAnswer:
            assert message.state_revision == 5  # type: ignore[attr-defined]
            return answers[name]

        def on_extensions_granted(requested_at: float, voters: dict[str, str], now: float) -> None:
            assert all(task.withdrawn for task in owner.tasks.values())
            counted_voters.append(voters)
            raise RoundCounted

        messenger.ask = ask  # type: ignore[assignment, method-assign]
        context.controller_lease.needs_lease_extensions = lambda now: True  # type: ignore[method-assign]
        context.controller_lease.on_extensions_granted = on_extensions_granted  # type: ignore[method-assign]
        with pytest.raises(RoundCounted):
            await messenger.request_lease_extensions()

    complete_answer = LeaseExtensionAnswer(True, "a", ["wk-1"], True)
    other_answers: list[OptionalAnswer] = [
        LeaseExtensionAnswer(True, "b", [], True),
        LeaseExtensionAnswer(True, "b", []),
        None,
        LeaseExtensionAnswer(False, "b", [], True),
    ]
    for other_answer in other_answers:
        clock = trio.testing.MockClock(autojump_threshold=0)
        trio.run(scenario, {"node-1": complete_answer, "node-2": other_answer}, clock=clock)
    assert counted_voters == [{"node-1": "a", "node-2": "b"}, *[{"node-1": "a"}] * 3]


def test_own_shards_stop_confirmed_cancellations_at_once(settings: Settings) -> None:
    """A cancellation confirmed here stops the tasks of our own shards at once, since the replica
    may not be updated for the length of an outage."""
    rng = random.Random(1)

    async def scenario() -> None:
        node = Node(settings, SimulatedNetwork(None, rng).at("x"), lambda: 0.0, rng)
        context = node._context
        context.replica.apply([job_event("wk-1", 3, False)], 3)
        context.replica.apply([Event("r/j/wk-1/0", {"t": {"": [0, 4]}, "d": []}, 5)], 5)
        owner = context.owned[0] = ShardOwner(0, 2, context.replica, settings, dict, 0.0)

        async def succeed(*_: object, **__: object) -> int:
            return 9

        context.syncer.wait_for_read = succeed  # type: ignore[assignment, method-assign]
        context.state.commit = succeed  # type: ignore[method-assign]
        reply = await node._job_api.cancel("wk-1")
        assert reply.body == {"uid": "wk-1", "status": "cancelled"}
        assert [task.withdrawn for task in owner.tasks.values()] == [True] * 4

    trio.run(scenario)


def test_extensions_count_after_an_expired_lease(tmp_path: Path) -> None:
    """A controller that lost its lease after its hello has another incarnation than in the hello.
    If the extensions that it grants did not count any more, all tasks on the other controllers'
    shards would end in the next outage, when their workers' leases expire."""
    expired: list[bool] = []

    async def script(world: Day) -> None:
        await trio.sleep(30.0)
        world.crash(1)
        await trio.sleep(20.0)
        old_incarnation = world.nodes[1]._context.controller_lease.incarnation
        with world.cut_from_state_and_peers(1, hold=False):
            await trio.sleep(20.0)
        await trio.sleep(10.0)
        expired.append(world.nodes[1]._context.controller_lease.incarnation != old_incarnation)
        world.record_event("outage")
        world.state.outage = True
        await trio.sleep(30.0)
        world.state.end_outage()

    world = play(controller_settings(tmp_path, 5), 5, JOBS, script, 330.0)
    assert expired == [True]
    assert world.checker.broken == []
    assert world.unfinished == set()
    outage_began_at = next(e.at for e in world.recorded_events if e.what == "outage")
    lease_ends = [
        e for e in world.recorded_events if e.at > outage_began_at and e.detail == "lease"
    ]
    assert lease_ends == []
