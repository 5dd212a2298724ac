"""Controllers that hang, and what their predecessors sent that comes late."""

from pathlib import Path
from typing import Any

import pytest
import trio
from conftest import job_body
from days import play
from test_rebuilding_days import rebuilding
from test_world import MIX, some_controllers

from ryegauge.bookkeeping.state import Delete, Put, Unknown
from ryegauge.coordination.node import Node
from ryegauge.detection.reach import Reach
from ryegauge.emulator.world import World
from ryegauge.transport.http import Reply, decode, encode


def test_a_predecessors_enrolment_that_comes_late(tmp_path: Path) -> None:
    """It took the place of the successor's own and went with its old lease: the others took the
    successor for gone, and it gave all its parts away for good."""
    held: list[int] = []

    async def script(world: World) -> None:
        await trio.sleep(30.0)
        # Away until others have its parts: its enrolment then is guarded by no role of its own.
        world.restart_s = 9.0
        world.crash(1)
        await trio.sleep(8.0)
        world.restart_s = 0.05
        address = world.settings[0].outside.state
        service = world.network.handlers[address]

        async def late(method: str, target: str, body: bytes) -> Reply:
            raw: Any = decode(body) if target == "/multi" else None
            if raw and not held and any(c.get("write") == "r/n/node-1" for c in raw["apply"]):
                held.append(0)
                await trio.sleep(2.0)
                reply = await service(method, target, body)
                held.append(reply.status)
                return reply
            return await service(method, target, body)

        world.network.handlers[address] = late
        while not held:
            await trio.sleep(0.01)
        world.crash(1)
        await trio.sleep(20.0)
        assert held == [0, 200]  # its lease had not ended yet
        node = world.nodes[1]
        assert isinstance(node, Node)
        assert world.state.data["r/n/node-1"][0]["i"] == node._desk.term.incarnation
        assert node._desk.owned
        assert all("node-1" in other._desk.book.nodes for other in world.nodes.values())

    world = play(rebuilding(tmp_path, 3), 6, MIX, script, 150.0)
    assert world.checker.broken == []
    assert world.unfinished == set()
    # Nor does a healthy service look as if it had lost data.
    assert "r/e" not in world.state.data


def test_changes_go_by_way_of_one_peer_only(tmp_path: Path) -> None:
    """A peer that carried a change and then hung: sent again by way of another, the change was
    refused, and looked as if it had not been made."""

    async def script(world: World) -> None:
        await trio.sleep(20.0)
        node = world.nodes[0]
        state, reach = node._desk.state, node._mesh.reach
        deaf_to = {"10.0.0.1"}
        with world.cut(deaf_to, {"10.2.0.1"}, hold=False):
            await trio.sleep(5.0)  # it has found that its peers carry its requests
            assert state.failing_since is not None
            for n in range(1, 5):
                address = world.settings[n].mesh_addr
                usual = world.network.handlers[address]

                async def hangs(
                    method: str, target: str, body: bytes, usual: Any = usual
                ) -> Reply:
                    await usual(method, target, body)
                    await trio.sleep_forever()
                    raise AssertionError

                world.network.handlers[address] = hangs
            put: list[Put | Delete] = [Put("x/once", {"n": 1})]
            revision = world.state.revision
            with pytest.raises(Unknown, match="may have carried it"):
                await state.commit({"x/once": 0}, put, timeout_s=1.0)
            assert world.state.data["x/once"][1] > revision
            now = trio.current_time()
            assert any(reach.silent(name, now) for name in node._mesh.peers)

    world = play(some_controllers(tmp_path, 5), 3, [], script, 32.0)
    assert world.checker.broken == []


def test_those_that_hang_are_asked_last() -> None:
    reach = Reach(4.0)
    names = ["a", "b", "c", "d"]
    assert {reach.order(names, 0.0)[0] for _ in names} == set(names)  # in turn
    reach.missed("b", 1.0)
    reach.missed("a", 2.0)
    assert reach.order(names, 3.0)[2:] == ["b", "a"]
    assert sorted(reach.order(names, 3.0)) == names
    reach.answered("a")
    assert reach.order(names, 3.0)[3] == "b"
    assert not reach.silent("b", 5.1)


def test_two_silent_for_more_than_a_minute(tmp_path: Path) -> None:
    """The leader and an owner: no packets of theirs or to them, no refusal either. What they
    held goes on elsewhere, nobody waits for them, and when they go on they answer no worker
    before they have read what became of it."""
    starts: dict[str, float] = {}
    first_answers: list[int] = []
    took: list[float] = []

    async def script(world: World) -> None:
        await trio.sleep(30.0)
        leader = world.names.index(world.state.data["r/l"][0]["o"])
        silent = {leader, (leader + 1) % 5}
        hosts = {f"10.0.0.{n + 1}" for n in silent}
        began = trio.current_time()
        with world.silence(hosts):
            for n in range(14):
                await trio.sleep(4.0)
                uid, asked = f"wk-70000{n:02d}", trio.current_time()
                body = job_body(uid, pieces=2, cpus=1.0, urgency="high")
                world.checker.specs[uid] = {**body, "really": 3.0, "broken": False}
                while True:
                    name = world.rng.choice(sorted(set(range(5)) - silent))
                    status, _, _ = await world.network.call(
                        "users", world.settings[name].listen, "POST", "/v1/jobs", body, 5.0
                    )
                    if status in (200, 201):
                        break
                    await trio.sleep(0.5)
                took.append(trio.current_time() - asked)
                world.checker.answered(uid, 201, {"uid": uid, "status": "queued"}, "submit")
                starts[uid] = trio.current_time()
            await trio.sleep(14.0)
            for n in sorted(silent):
                worker = next(w for w in world.workers.values() if w.alive and w.up)
                report = {"host": worker.name, "address": worker.address, "build": "small",
                          "district": worker.zone, "loaners": True, "shift": 1, "tally": 1,
                          "baton": 0, "warningS": None, "pieces": []}
                reply = await world.nodes[n]._handle_public(
                    "POST", "/checkin", encode(report))
                first_answers.append(reply.status)
        assert trio.current_time() - began > 60.0

    world = play(rebuilding(tmp_path, 5), 12, MIX, script, 200.0)
    assert world.checker.broken == []
    assert world.unfinished <= set(starts)
    assert not set(first_answers) - {421, 503}
    # Once a term has passed, nobody waits for them.
    assert max(took) < 8.0
    assert sorted(took)[len(took) // 2] < 0.5
    done = {e.uid: e.at for e in world.happened if e.what == "started" and e.uid in starts}
    assert set(done) == set(starts)
    assert max(done[uid] - at for uid, at in starts.items()) < 12.0
    assert not [e for e in world.happened if e.what == "ended" and e.detail == "lease"]
