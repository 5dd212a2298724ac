"""Controllers that hang, and late messages of a controller's previous process."""

from pathlib import Path
from typing import Any

import pytest
import trio
from days import play
from test_rebuilding_days import rebuilding
from test_world import MIXED_JOBS, controller_settings

from ryegauge.bookkeeping.state import Delete, OutcomeUnknown, Put
from ryegauge.coordination.node import Node
from ryegauge.detection.peer_reachability import PeerReachability
from ryegauge.emulator.world import World
from ryegauge.transport.http import Reply, decode


def test_a_predecessors_enrolment_that_comes_late(tmp_path: Path) -> None:
    """The late enrolment replaced the one of the new process and expired with the old lease. The
    others then took the new process for dead, and it gave up all its shards for good."""
    late_statuses: list[int] = []

    async def script(world: World) -> None:
        await trio.sleep(30.0)
        # Down until others own its shards: no role of its own guards its next enrolment.
        world.restart_s = 9.0
        world.crash(1)
        await trio.sleep(8.0)
        world.restart_s = 0.05
        address = world.settings[0].outside.state
        service = world.network.handlers[address]

        async def late(method: str, target: str, body: bytes) -> Reply:
            raw: Any = decode(body) if target == "/multi" else None
            if (
                raw
                and not late_statuses
                and any(c.get("write") == "r/n/node-1" for c in raw["apply"])
            ):
                late_statuses.append(0)
                await trio.sleep(2.0)
                reply = await service(method, target, body)
                late_statuses.append(reply.status)
                return reply
            return await service(method, target, body)

        world.network.handlers[address] = late
        while not late_statuses:
            await trio.sleep(0.01)
        world.crash(1)
        await trio.sleep(20.0)
        assert late_statuses == [0, 200]  # its lease had not ended yet
        node = world.nodes[1]
        assert isinstance(node, Node)
        assert world.state.data["r/n/node-1"][0]["i"] == node._context.controller_lease.incarnation
        assert node._context.owned
        assert all("node-1" in other._context.replica.nodes for other in world.nodes.values())

    world = play(rebuilding(tmp_path, 3), 6, MIXED_JOBS, script, 150.0)
    assert world.checker.broken == []
    assert world.unfinished == set()
    # A healthy state service does not look as if it had lost data.
    assert "r/e" not in world.state.data


def test_a_change_is_relayed_by_one_peer_only(tmp_path: Path) -> None:
    """A peer relayed a change and then hung. Sent again through another peer, the change was
    refused, which looked as if it had not been made."""

    async def script(world: World) -> None:
        await trio.sleep(20.0)
        node = world.nodes[0]
        state, reachability = node._context.state, node._peer_messenger.reachability
        own_host = {"10.0.0.1"}
        with world.cut(own_host, {"10.2.0.1"}, hold=False):
            await trio.sleep(5.0)  # by now its peers relay its requests
            assert state.failing_since is not None
            for n in range(1, 5):
                address = world.settings[n].mesh_addr
                handler = world.network.handlers[address]

                async def hangs(
                    method: str, target: str, body: bytes, handler: Any = handler
                ) -> Reply:
                    await handler(method, target, body)
                    await trio.sleep_forever()
                    raise AssertionError

                world.network.handlers[address] = hangs
            put: list[Put | Delete] = [Put("x/once", {"n": 1})]
            revision = world.state.revision
            with pytest.raises(OutcomeUnknown, match="may have carried it"):
                await state.commit({"x/once": 0}, put, timeout_s=1.0)
            assert world.state.data["x/once"][1] > revision
            now = trio.current_time()
            assert any(reachability.is_silent(name, now) for name in node._peer_messenger.peers)

    world = play(controller_settings(tmp_path, 5), 3, [], script, 32.0)
    assert world.checker.broken == []


def test_peers_that_hang_are_asked_last() -> None:
    reachability = PeerReachability(4.0)
    names = ["a", "b", "c", "d"]
    assert {reachability.answering_first(names, 0.0)[0] for _ in names} == set(names)  # rotated
    reachability.on_timeout("b", 1.0)
    reachability.on_timeout("a", 2.0)
    assert reachability.answering_first(names, 3.0)[2:] == ["b", "a"]
    assert sorted(reachability.answering_first(names, 3.0)) == names
    reachability.on_answer("a")
    assert reachability.answering_first(names, 3.0)[3] == "b"
    assert not reachability.is_silent("b", 5.1)
