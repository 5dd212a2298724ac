"""Transactions that get no answer and are carried out late, after newer ones of the same
controller: each kind by itself, while roles change hands. What guards each kind is listed in
docs/safety.md."""

import random
import re
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
import pytest
import trio
from conftest import job_body
from days import Day, play
from test_rebuilding_days import rebuilding
from test_world import MIX, PIPES, some_controllers

from ryegauge.bookkeeping.state import Event, Unavailable
from ryegauge.bookkeeping.state_replica import job_record
from ryegauge.config import Settings
from ryegauge.coordination.node import Node
from ryegauge.emulator.network import SimulatedNetwork
from ryegauge.protocol.jobs import parse_job

Body = dict[str, Any]


def writes(body: Body, pattern: str) -> bool:
    return any(re.fullmatch(pattern, change.get("write", "")) for change in body["apply"])


def deletes(body: Body, pattern: str) -> bool:
    return any(re.fullmatch(pattern, change.get("delete", "")) for change in body["apply"])


def guards(body: Body) -> set[str]:
    return {condition["path"] for condition in body["if"]}


SHARE = r"r/j/[^/]+/\d+"
KINDS: dict[str, Callable[[Body], bool]] = {
    "claim": lambda body: writes(body, r"r/p/\d+"),
    "enrolment": lambda body: writes(body, r"r/n/.+") and not writes(body, r"r/[pl].*"),
    "give-back": lambda body: deletes(body, r"r/p/\d+"),
    "leader": lambda body: writes(body, "r/l"),
    "allotment": lambda body: writes(body, SHARE) and "r/l" in guards(body),
    "outcome": lambda body: writes(body, SHARE) and "r/l" not in guards(body),
    "cancellation": lambda body: any(
        re.fullmatch(r"r/j/[^/]+", c.get("write", "")) and c["data"].get("x") for c in body["apply"]
    ),
    "submission": lambda body: writes(body, r"r/j/[^/]+"),
    "archive": lambda body: writes(body, r"f/.+"),
    "clearing": lambda body: bool(body["apply"]) and all("delete" in c for c in body["apply"]),
}


def tiny(settings: Settings) -> Settings:
    """With room for two jobs in the book."""
    quota = msgspec.structs.replace(settings.settings.quota, memory_mb=0.2)
    shared = msgspec.structs.replace(settings.settings, quota=quota)
    return msgspec.structs.replace(settings, settings=shared)


@pytest.mark.parametrize("kind", KINDS)
def test_each_kind_may_come_late(tmp_path: Path, kind: str) -> None:
    late: list[Body] = []

    def one(body: Body) -> bool:
        if KINDS[kind](body):
            late.append(body)
            return True
        return False

    async def script(world: Day) -> None:
        world.network.late_kind = one
        with world.late_writes(0.5):
            for n in range(5):
                await trio.sleep(16.0)
                leader = world.leading
                world.crash(*([leader] if n % 2 and leader is not None else [n % 3]))

    settings = rebuilding(tmp_path, 3)
    if kind in ("archive", "clearing"):
        settings = [tiny(each) for each in settings]
    world = play(settings, 40 + len(kind), MIX + PIPES, script, 300.0)
    assert len(late) >= 2
    assert world.checker.broken == []
    assert world.unfinished == set()


def test_what_is_written_without_a_guard(tmp_path: Path) -> None:
    """Only enrolments and the cloud's machine types are: a late one of the first is noticed and
    written over, of the second says what stands there anyway."""
    bare: set[str] = set()
    seen: set[str] = set()

    async def script(world: Day) -> None:
        handle = world.state._multi

        def multi(raw: Any) -> Any:
            for kind, matches in KINDS.items():
                if raw["apply"] and matches(raw):
                    seen.add(kind)
            if raw["apply"] and not guards(raw) - {"r/e"}:
                bare.update(
                    re.sub(r"/[^/]+$", "", c.get("write") or c["delete"]) for c in raw["apply"]
                )
            return handle(raw)

        world.state._multi = multi  # type: ignore[method-assign]
        await trio.sleep(40.0)
        world.crash(0, 1)
        await trio.sleep(20.0)
        with world.cut({"10.0.0.3"}, set(world.workers), hold=False):
            await trio.sleep(25.0)

    settings = [tiny(each) for each in some_controllers(tmp_path, 3)]
    world = play(settings, 7, MIX + PIPES, script, 200.0)
    assert world.checker.broken == []
    assert seen == set(KINDS)
    assert bare == {"r/n", "r/c"}


def test_a_job_that_hangs_on_a_lost_outcome_is_not_called_anything_older(
    settings: Settings,
) -> None:
    """Found by reading: a job is moved out, late, after one that names it was recorded. A
    controller that starts then reads the later one without the cancellation that others have told
    its user of."""

    async def scenario() -> None:
        luck = random.Random(1)
        node = Node(settings, SimulatedNetwork(None, luck).at("x"), lambda: 0.0, luck)
        replica, front = node._context.replica, node._job_api

        async def wait_for_read() -> None:
            return

        node._context.syncer.wait_for_read = wait_for_read  # type: ignore[method-assign]

        def job(n: int, *awaits: str, version: int) -> Event:
            spec = parse_job(job_body(f"wk-{n}", awaits=list(awaits) or None))
            return Event(f"r/j/wk-{n}", job_record(spec, 0.0, False), version)

        replica.replace([job(2, "wk-1", version=3), job(3, "wk-2", version=4)], 4)
        for uid in ("wk-2", "wk-3"):
            with pytest.raises(Unavailable):
                await front._known(uid)
        # The leader has found how it ended.
        replica.apply([Event("r/o/wk-1", {"st": "cancelled"}, 5)], 5)
        for uid in ("wk-2", "wk-3"):
            assert (await front._known(uid) or {})["status"] == "cancelled"

    trio.run(scenario)


def test_a_claim_carried_out_after_a_promise(settings: Settings) -> None:
    """The role is ours, and its holder may command until our promise ends: the barrier counts from
    there."""

    async def scenario() -> None:
        luck = random.Random(1)
        node = Node(settings, SimulatedNetwork(None, luck).at("x"), lambda: 0.0, luck)
        context = node._context
        context.syncer.ready.set()
        context.state.failing_since = 0.0
        context.replica.nodes["node-1"] = "i"
        context.syncer.last_read_sent_at = now = trio.current_time()
        assert context.controller_lease.grant_extension("node-1", "i", now)
        role = {"o": settings.node_name, "i": context.controller_lease.incarnation}
        context.replica.apply([Event("r/p/0", role, 9)], 9)
        node._on_sync()
        barrier_at = context.owned[0]._barrier_at
        assert barrier_at >= now + settings.controller_lease_s + settings.max_lease_s

    trio.run(scenario)
