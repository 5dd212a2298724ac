"""Transactions that get no answer and are executed late, after newer ones of the same
controller: each kind by itself, while roles change hands. docs/safety.md lists the guards of each
kind."""

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
from test_world import MIXED_JOBS, PIPELINE_JOBS, controller_settings

from ryegauge.bookkeeping.state import Event, Unavailable
from ryegauge.bookkeeping.state_replica import job_record
from ryegauge.config import Settings
from ryegauge.coordination.node import Node
from ryegauge.emulator.network import SimulatedNetwork
from ryegauge.protocol.jobs import parse_job

Body = dict[str, Any]


def writes_key(body: Body, pattern: str) -> bool:
    """Whether a transaction writes a key that matches."""
    return any(re.fullmatch(pattern, change.get("write", "")) for change in body["apply"])


def deletes_key(body: Body, pattern: str) -> bool:
    """Whether a transaction deletes a key that matches."""
    return any(re.fullmatch(pattern, change.get("delete", "")) for change in body["apply"])


def guarded_keys(body: Body) -> set[str]:
    """Keys of a transaction's guards."""
    return {condition["path"] for condition in body["if"]}


ASSIGNMENT_KEY = r"r/j/[^/]+/\d+"
# Kinds of transactions. The length of a kind's name is part of the seed of its test: a name of
# another length changes the run.
KINDS: dict[str, Callable[[Body], bool]] = {
    "claim": lambda body: writes_key(body, r"r/p/\d+"),
    "enrolment": lambda body: writes_key(body, r"r/n/.+") and not writes_key(body, r"r/[pl].*"),
    "give-back": lambda body: deletes_key(body, r"r/p/\d+"),
    "leader": lambda body: writes_key(body, "r/l"),
    "allotment": lambda body: writes_key(body, ASSIGNMENT_KEY) and "r/l" in guarded_keys(body),
    "outcome": lambda body: writes_key(body, ASSIGNMENT_KEY) and "r/l" not in guarded_keys(body),
    "cancellation": lambda body: any(
        re.fullmatch(r"r/j/[^/]+", c.get("write", "")) and c["data"].get("x") for c in body["apply"]
    ),
    "submission": lambda body: writes_key(body, r"r/j/[^/]+"),
    "archive": lambda body: writes_key(body, r"f/.+"),
    "clearing": lambda body: bool(body["apply"]) and all("delete" in c for c in body["apply"]),
}


def with_small_replica(settings: Settings) -> Settings:
    """The settings with a replica limit of two jobs."""
    quota = msgspec.structs.replace(settings.settings.quota, memory_mb=0.2)
    shared = msgspec.structs.replace(settings.settings, quota=quota)
    return msgspec.structs.replace(settings, settings=shared)


@pytest.mark.parametrize("kind", KINDS)
def test_each_kind_of_transaction_executed_late(tmp_path: Path, kind: str) -> None:
    """No safety rule is broken and all jobs end when half of one kind of transactions is executed
    late, while controllers crash."""
    late_bodies: list[Body] = []

    def matches_kind(body: Body) -> bool:
        if KINDS[kind](body):
            late_bodies.append(body)
            return True
        return False

    async def script(world: Day) -> None:
        world.network.may_write_late = matches_kind
        with world.late_writes(0.5):
            for n in range(5):
                await trio.sleep(16.0)
                leader = world.leader_number
                world.crash(*([leader] if n % 2 and leader is not None else [n % 3]))

    settings = rebuilding(tmp_path, 3)
    if kind in ("archive", "clearing"):
        settings = [with_small_replica(each) for each in settings]
    world = play(settings, 40 + len(kind), MIXED_JOBS + PIPELINE_JOBS, script, 300.0)
    assert len(late_bodies) >= 2
    assert world.checker.broken == []
    assert world.unfinished == set()


def test_only_enrolments_and_types_are_unguarded(tmp_path: Path) -> None:
    """Only enrolments and machine types are written without a guard. A late enrolment is noticed
    and overwritten; a late write of machine types repeats what is recorded anyway."""
    unguarded_prefixes: set[str] = set()
    seen_kinds: set[str] = set()

    async def script(world: Day) -> None:
        handle = world.state._multi

        def record_and_handle(raw: Any) -> Any:
            for kind, matches in KINDS.items():
                if raw["apply"] and matches(raw):
                    seen_kinds.add(kind)
            if raw["apply"] and not guarded_keys(raw) - {"r/e"}:
                unguarded_prefixes.update(
                    re.sub(r"/[^/]+$", "", c.get("write") or c["delete"]) for c in raw["apply"]
                )
            return handle(raw)

        world.state._multi = record_and_handle  # type: ignore[method-assign]
        await trio.sleep(40.0)
        world.crash(0, 1)
        await trio.sleep(20.0)
        with world.cut({"10.0.0.3"}, set(world.workers), hold=False):
            await trio.sleep(25.0)

    settings = [with_small_replica(each) for each in controller_settings(tmp_path, 3)]
    world = play(settings, 7, MIXED_JOBS + PIPELINE_JOBS, script, 200.0)
    assert world.checker.broken == []
    assert seen_kinds == set(KINDS)
    assert unguarded_prefixes == {"r/n", "r/c"}


def test_job_whose_need_was_archived_late_is_not_answered(
    settings: Settings,
) -> None:
    """A job is archived, late, after one that needs it was recorded. A controller that starts
    then reads the dependent job without the cancellation that others have confirmed to its user,
    and must refuse to answer until the outcome is known."""

    async def scenario() -> None:
        rng = random.Random(1)
        node = Node(settings, SimulatedNetwork(None, rng).at("x"), lambda: 0.0, rng)
        replica, job_api = node._context.replica, node._job_api

        async def wait_for_read() -> None:
            return

        node._context.syncer.wait_for_read = wait_for_read  # type: ignore[method-assign]

        def job_event(n: int, *awaits: str, version: int) -> Event:
            spec = parse_job(job_body(f"wk-{n}", awaits=list(awaits) or None))
            return Event(f"r/j/wk-{n}", job_record(spec, 0.0, False), version)

        replica.replace([job_event(2, "wk-1", version=3), job_event(3, "wk-2", version=4)], 4)
        for uid in ("wk-2", "wk-3"):
            with pytest.raises(Unavailable):
                await job_api._current_view(uid)
        # The leader has looked up the outcome.
        replica.apply([Event("r/o/wk-1", {"st": "cancelled"}, 5)], 5)
        for uid in ("wk-2", "wk-3"):
            assert (await job_api._current_view(uid) or {})["status"] == "cancelled"

    trio.run(scenario)


def test_claim_executed_after_granting_an_extension(settings: Settings) -> None:
    """A claim executed late, after a lease extension was granted, makes the role ours while its
    holder may issue commands until the extension ends: the barrier for new commands counts
    from there."""

    async def scenario() -> None:
        rng = random.Random(1)
        node = Node(settings, SimulatedNetwork(None, rng).at("x"), lambda: 0.0, rng)
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
