"""The gap between a confirmation and whoever commands by an older book: the state service refuses
one controller alone, others confirm cancellations, then it answers nobody for longer than
`cancel_s`, while workers go on reporting to the one that was refused."""

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
from test_world import some_controllers

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

Answer = LeaseExtensionAnswer | None
# More for a longer look: RYEGAUGE_SEEDS=10 pytest tests/test_gap.py
SEEDS = range(1, 1 + int(os.environ.get("RYEGAUGE_SEEDS", "1")))
OUTAGE_S = 50.0
# wk-000001: running everywhere; 2: not cancelled; 3 and 4: a pipeline, its first job running.
JOBS: list[dict[str, Any]] = [
    {"pieces": 16, "cpus": 1.0, "really": 150.0},
    {"pieces": 8, "cpus": 1.0, "really": 110.0, "crew": "blue"},
    {"pieces": 6, "cpus": 1.0, "really": 150.0, "crew": "blue"},
    {"pieces": 2, "cpus": 1.0, "awaits": ["wk-000003"], "crew": "blue", "delay": 5.0},
]
CANCELLED = ["wk-000001", "wk-000003", "wk-000009"]


async def ask(world: World, n: int, uid: str, body: Any = None) -> str:
    """Of one controller: a submission with a body, else a cancellation."""
    target = "/v1/jobs" if body else f"/v1/jobs/{uid}/cancel"
    if not body:
        world.checker.asked_to_cancel.add(uid)
    status, answer, _ = await world.network.call(
        "users", world.settings[n].listen, "POST", target, body, 5.0
    )
    world.checker.answered(uid, status, answer, "submit" if body else "cancel")
    return str(answer["status"]) if status in (200, 201) else ""


async def confirm(world: World, n: int, how: str) -> None:
    """Users are told of cancellations, by others than controller `n`; the last is of a job that
    was submitted a moment ago, so that its starts are under way."""
    writer, teller = (n + 1) % 5, (n + 2) % 5
    body = job_body("wk-000009", pieces=6, cpus=1.0, crew="blue", urgency="high", imageGb=1.0)
    world.checker.specs["wk-000009"] = {**body, "really": 150.0, "broken": False}
    assert await ask(world, writer, "wk-000009", body)
    await trio.sleep(0.3)
    if how == "found written":
        # The writer hears nothing of its writes; another one's book shows them.
        world.network.late_writes_s = (0.05, 0.1)
        async with trio.open_nursery() as nursery:
            with world.late_writes(1.0):
                for uid in CANCELLED:
                    nursery.start_soon(ask, world, writer, uid)
                await trio.sleep(0.3)
            nursery.cancel_scope.cancel()
        assert any(world.state.data[f"r/j/{uid}"][0].get("x") for uid in CANCELLED)
        writer = teller
    for uid in CANCELLED:
        while await ask(world, writer, uid) != "cancelled":
            await trio.sleep(0.05)  # its shares have changed meanwhile
        assert uid in world.checker.cancelled_at
    if how == "writer ends":
        world.restart_s = 0.05
        world.crash(writer)
        await trio.sleep(1.0)


async def gap(world: World, who: str, how: str) -> None:
    leader = world.leading
    assert leader is not None
    n = (leader + 1) % 5 if who == "owner" else leader
    with ExitStack() as until_outage:
        # Its peers would carry its reads: cut off from them too, it is surely behind.
        until_outage.enter_context(world.cut_from_state_and_peers(n, hold=False))
        with world.refused_by_state(n):
            await confirm(world, n, how)
            world.state.outage = True
            until_outage.close()
            await trio.sleep(OUTAGE_S)
            world.state.end_outage()
            await trio.sleep(2.0)


HOWS = ["written", "found written", "writer ends"]


@pytest.mark.parametrize("who", ["leader", "owner"])
@pytest.mark.parametrize("how", HOWS)
@pytest.mark.parametrize("seed", SEEDS)
def test_what_was_confirmed_is_gone_in_time(tmp_path: Path, who: str, how: str, seed: int) -> None:
    behind: list[bool] = []

    async def script(world: Day) -> None:
        await trio.sleep(45.0)
        assert len({t for w in world.workers.values() for t in w.on_machine()}) > 25
        await gap(world, who, how)
        behind.append(True)

    world = play(some_controllers(tmp_path, 5), seed, JOBS, script, 260.0)
    assert behind
    assert world.checker.broken == []
    assert world.unfinished == set()
    # Whoever was not cancelled keeps its tasks, as long as nobody ends.
    kills = [e for e in world.happened if e.what == "ended" and e.detail == "lease"]
    assert how == "writer ends" or not [e for e in kills if e.uid == "wk-000002"]


def job_event(uid: str, version: int, cancelled: bool) -> Event:
    spec = parse_job(job_body(uid, pieces=4))
    return Event(f"r/j/{uid}", job_record(spec, 0.0, cancelled), version)


def test_what_is_named_holds_for_what_is_read_later(settings: Settings) -> None:
    """A share that is read, or a part that is taken, after a peer has named the job."""
    replica = StateReplica()
    replica.apply([job_event("wk-1", 3, False)], 3)
    ahead = UnsyncedCancellations(replica)
    owner = ShardOwner(0, 2, replica, settings, dict, 10.0)
    replica.on_job.append(owner.on_job)
    assert ahead.learn(["wk-1"], now=11.0) == ["wk-1"]
    assert ahead.learn(["wk-1"], now=12.0) == []
    replica.apply([Event("r/j/wk-1/0", {"t": {"": [0, 4]}, "d": []}, 4)], 4)
    late = ShardOwner(0, 9, replica, settings, dict, 13.0)
    for shard in (owner, late):
        assert [task.withdrawn for task in shard.tasks.values()] == [True] * 4
    # A read that began before proves nothing; one that began after has it in the book.
    ahead.read(11.5)
    assert replica.is_cancelled("wk-1")
    ahead.read(12.5)
    assert not replica.is_cancelled("wk-1")


def test_names_are_those_that_a_book_may_lack() -> None:
    """Compared with a plain model: each revision cancels one job; whatever the asker has read,
    what it lacks is named."""
    replica = StateReplica()
    replica.apply([job_event(f"wk-{n}", n, n % 3 == 0) for n in range(1, 30)], 29)
    ahead = UnsyncedCancellations(replica)
    ahead.learn(["wk-50"], now=1.0)  # by a write of ours that no read has shown yet
    for state_revision in range(30):
        lacks = {f"wk-{n}" for n in range(state_revision + 1, 30) if n % 3 == 0} | {"wk-50"}
        assert set(ahead.newer_than(state_revision)) == lacks


def test_who_cannot_name_all_gives_no_promise(
    settings: Settings, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Too many for a message; started anew and not read since; a peer of a version before."""
    answers: list[LeaseExtensionAnswer] = []

    luck = random.Random(1)

    async def scenario() -> None:
        context = NodeContext(settings, SimulatedNetwork(None, luck).at("x"), lambda: 0.0, luck)
        front = type("Front", (), {})()
        one = peer_messaging.PeerMessenger(context, front)
        context.replica.apply([job_event(f"wk-{n}", n, True) for n in range(1, 9)], 8)
        context.replica.nodes["node-1"] = "i"
        context.state.failing_since = 0.0
        context.syncer.last_read_sent_at = 0.0

        async def promise(state_revision: int) -> None:
            asked = to_wire(LeaseExtensionRequest("node-1", "i", [], state_revision))
            answers.append(one._grant_extension(parse_message(asked)))  # type: ignore[arg-type]

        await promise(6)  # not read yet
        context.syncer.ready.set()
        await promise(6)
        monkeypatch.setattr(peer_messaging, "NAMED_BYTES", 25)
        await promise(6)
        await promise(0)

    trio.run(scenario)
    assert [(a.granted, a.complete) for a in answers] == [
        (False, False),
        (True, True),
        (True, True),
        (False, False),
    ]
    assert [len(a.cancelled) for a in answers] == [2, 2, 2, 3]
    before = parse_message(["vowed", True, "i", ["wk-1"]])
    assert isinstance(before, LeaseExtensionAnswer)
    assert not before.complete
    assert parse_message(["vow", "node-1", "i", []]) == LeaseExtensionRequest("node-1", "i", [], 0)


class Counted(Exception):
    pass


def test_what_a_round_of_answers_is_worth(settings: Settings) -> None:
    """All have to say that they named all, and what they named is taken in first; an answer that
    is missing spoils the round, and what was named holds all the same."""
    luck = random.Random(1)
    counted: list[dict[str, str]] = []

    async def scenario(answers: dict[str, Answer]) -> None:
        context = NodeContext(settings, SimulatedNetwork(None, luck).at("x"), lambda: 0.0, luck)
        one = peer_messaging.PeerMessenger(context, type("Front", (), {})())
        context.replica.apply([job_event("wk-1", 3, False), job_event("wk-2", 4, False)], 4)
        context.replica.apply([Event("r/j/wk-1/0", {"t": {"": [0, 4]}, "d": []}, 5)], 5)
        owner = context.owned[0] = ShardOwner(0, 2, context.replica, settings, dict, 0.0)

        async def ask(name: str, message: object) -> Answer:
            assert message.state_revision == 5  # type: ignore[attr-defined]
            return answers[name]

        def on_extensions_granted(asked_at: float, voters: dict[str, str], now: float) -> None:
            assert all(task.withdrawn for task in owner.tasks.values())
            counted.append(voters)
            raise Counted

        one.ask = ask  # type: ignore[assignment, method-assign]
        context.controller_lease.needs_lease_extensions = lambda now: True  # type: ignore[method-assign]
        context.controller_lease.on_extensions_granted = on_extensions_granted  # type: ignore[method-assign]
        with pytest.raises(Counted):
            await one.request_lease_extensions()

    names = LeaseExtensionAnswer(True, "a", ["wk-1"], True)
    others: list[Answer] = [
        LeaseExtensionAnswer(True, "b", [], True),
        LeaseExtensionAnswer(True, "b", []),
        None,
        LeaseExtensionAnswer(False, "b", [], True),
    ]
    for other in others:
        clock = trio.testing.MockClock(autojump_threshold=0)
        trio.run(scenario, {"node-1": names, "node-2": other}, clock=clock)
    assert counted == [{"node-1": "a", "node-2": "b"}, *[{"node-1": "a"}] * 3]


def test_what_a_controller_confirms_its_own_parts_stop_at_once(settings: Settings) -> None:
    """Its book may not be read for the length of an outage."""
    luck = random.Random(1)

    async def scenario() -> None:
        node = Node(settings, SimulatedNetwork(None, luck).at("x"), lambda: 0.0, luck)
        context = node._context
        context.replica.apply([job_event("wk-1", 3, False)], 3)
        context.replica.apply([Event("r/j/wk-1/0", {"t": {"": [0, 4]}, "d": []}, 5)], 5)
        owner = context.owned[0] = ShardOwner(0, 2, context.replica, settings, dict, 0.0)

        async def nothing(*_: object, **__: object) -> int:
            return 9

        context.syncer.wait_for_read = nothing  # type: ignore[assignment, method-assign]
        context.state.commit = nothing  # type: ignore[method-assign]
        reply = await node._job_api.cancel("wk-1")
        assert reply.body == {"uid": "wk-1", "status": "cancelled"}
        assert [task.withdrawn for task in owner.tasks.values()] == [True] * 4

    trio.run(scenario)


def test_promises_count_after_a_term_that_lapsed(tmp_path: Path) -> None:
    """Found by reading: a controller that had greeted and whose term lapsed later went by another
    incarnation than its greeting, and none of its promises counted any more: in the next outage
    all that ran on the parts of the others ended with its lease."""
    lapsed: list[bool] = []

    async def script(world: Day) -> None:
        await trio.sleep(30.0)
        world.crash(1)
        await trio.sleep(20.0)
        before = world.nodes[1]._context.controller_lease.incarnation
        with world.cut_from_state_and_peers(1, hold=False):
            await trio.sleep(20.0)
        await trio.sleep(10.0)
        lapsed.append(world.nodes[1]._context.controller_lease.incarnation != before)
        world.note("outage")
        world.state.outage = True
        await trio.sleep(30.0)
        world.state.end_outage()

    world = play(some_controllers(tmp_path, 5), 5, JOBS, script, 330.0)
    assert lapsed == [True]
    assert world.checker.broken == []
    assert world.unfinished == set()
    began = next(e.at for e in world.happened if e.what == "outage")
    late = [e for e in world.happened if e.at > began and e.detail == "lease"]
    assert late == []
