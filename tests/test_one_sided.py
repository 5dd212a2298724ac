"""Controllers that are cut off on one side for longer than a lease, or silent for more than a
minute: others take over what they cannot serve, no request waits for them, roles do not flap, and
when they resume they answer no worker before they have read the current state."""

import itertools
from collections import Counter
from contextlib import AbstractContextManager
from pathlib import Path

import pytest
import trio
from conftest import job_body
from days import Day, play
from test_rebuilding_days import rebuilding
from test_world import MIXED_JOBS

from ryegauge.emulator.world import World
from ryegauge.transport.http import encode

CUT_LASTS_S = {"leader": 35, "owner": 35, "both": 75}


def checkin(world: World) -> bytes:
    """The body of a worker's check-in."""
    worker = next(w for w in world.workers.values() if w.alive and w.up)
    return encode(
        {
            "host": worker.name,
            "address": worker.address,
            "build": worker.type.name,
            "district": worker.zone,
            "loaners": True,
            "shift": 1,
            "tally": 1,
            "baton": 0,
            "warningS": None,
            "pieces": [],
        }
    )


def cut_one_side(world: World, kind: str, n: int) -> AbstractContextManager[None]:
    """The fault of this kind at controller `n`, for as long as the context lasts."""
    host = {f"10.0.0.{n + 1}"}
    workers = {f"m-{i:06d}" for i in range(1, 400)}
    match kind:
        case "refused by state":
            return world.refused_by_state(n)
        case "from state":
            return world.cut(host, {"10.2.0.1"}, hold=True)
        case "from workers":
            return world.cut(host, workers, hold=True)
        case "from workers, reset":
            return world.cut(host, workers, hold=False)
        case _:
            next_one = {f"10.0.0.{(n + 1) % 5 + 1}"}
            return world.isolate_hosts(host if kind == "from all" else host | next_one)


@pytest.mark.parametrize(
    ("kind", "cut_role"),
    [
        *itertools.product(
            ["refused by state", "from state", "from workers", "from workers, reset", "from all"],
            ["leader", "owner"],
        ),
        ("two from all", "both"),
    ],
)
def test_one_sided_cuts(tmp_path: Path, kind: str, cut_role: str) -> None:
    """Urgent jobs that are submitted meanwhile start about as fast as without the cut."""
    answers: Counter[int] = Counter()
    urgent: dict[str, float] = {}
    changes: list[tuple[float, str]] = []
    cut_times: list[float] = []

    async def script(world: Day) -> None:
        world.state.on_write.append(
            lambda key, value: (
                changes.append((trio.current_time(), key))
                if key.startswith(("r/p/", "r/l"))
                else None
            )
        )
        await trio.sleep(35.0)
        leader = world.names.index(world.state.data["r/l"][0]["o"])
        n = (leader + 1) % 5 if cut_role == "owner" else leader
        silent = {"from all": {n}, "two from all": {n, (n + 1) % 5}}.get(kind, set())
        cut_times.append(trio.current_time())
        with cut_one_side(world, kind, n):
            for i in range(CUT_LASTS_S[cut_role] // 5):
                uid = f"wk-7000{i:02d}"
                body = job_body(uid, pieces=2, cpus=1.0, urgency="high")
                world.checker.specs[uid] = {**body, "really": 3.0, "broken": False}
                # First to the one that is cut off, as a load balancer may do, then to others.
                for other in range(n, n + 5):
                    other %= 5
                    asked_at = trio.current_time()
                    if other in silent:
                        continue  # users cannot reach it either
                    status, answer, _ = await world.network.call(
                        "users", world.settings[other].listen, "POST", "/v1/jobs", body, 5.0
                    )
                    if other == n:
                        answers[status] += 1
                    world.checker.answered(uid, status, answer, "submit")
                    if status in (200, 201):
                        urgent[uid] = asked_at
                        break
                await trio.sleep(5.0)
            for other in silent:
                reply = await world.nodes[other]._handle_public("POST", "/checkin", checkin(world))
                assert reply.status in (421, 503)
        cut_times.append(trio.current_time())

    world = play(rebuilding(tmp_path, 5), 21, MIXED_JOBS, script, 170.0)
    assert world.checker.broken == []
    assert world.unfinished <= set(urgent)
    assert len(urgent) == CUT_LASTS_S[cut_role] // 5
    assert not set(answers) - {200, 201, 429, 503}
    # No job waits longer than the takeover of its roles, a little more than a controller lease.
    started = {e.uid: e.at for e in reversed(world.recorded_events) if e.what == "started"}
    delays = sorted(started[uid] - at for uid, at in urgent.items())
    # As without a cut, since the fleet is full; a silent one has to be detected first.
    assert delays[-1] < 13.0 + (world.settings[0].controller_lease_s if "from all" in kind else 0.0)
    assert sum(delays) / len(delays) < 8.0
    began, ended = cut_times
    during = Counter(key for at, key in changes if began < at < ended)
    # No role changes hands more than once meanwhile, except that a leader may fence itself once.
    assert all(count <= 1 for key, count in during.items() if key != "r/l"), during
    kills = [e for e in world.recorded_events if e.what == "ended" and e.detail == "lease"]
    assert len(kills) <= 8
