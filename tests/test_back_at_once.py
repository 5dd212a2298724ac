"""Controllers that restart within a second of a crash, while the lease, roles and messages of
the previous process are still in effect."""

import errno
from pathlib import Path

import msgspec
import pytest
import trio
from days import play
from test_rebuilding_days import rebuilding
from test_world import MIXED_JOBS, PIPELINE_JOBS, controller_settings

from ryegauge.config import Settings
from ryegauge.emulator.world import World
from ryegauge.transport.http import Reply, Server


def with_rebuilding(tmp_path: Path, count: int) -> list[Settings]:
    """Settings of controllers that recover from a loss of data, as deployed."""
    return rebuilding(tmp_path, count)


async def crash_repeatedly(world: World, restart_s: float) -> None:
    """Crashes an owner, the leader and all; then each repeatedly; then some in an outage of the
    state service and during a network cut."""
    world.restart_s = restart_s
    await trio.sleep(30.0)
    for indices in ((1,), (0,), range(len(world.settings))):
        world.crash(*indices)
        await trio.sleep(6.0)
    for n in range(10):
        world.crash(*(range(len(world.settings)) if n % 3 == 2 else (n % len(world.settings),)))
        await trio.sleep(2.0)
    world.state.outage = True
    await trio.sleep(3.0)
    world.crash(0, 1)
    await trio.sleep(4.0)
    world.state.end_outage()
    with world.cut_zones(hold=True):
        await trio.sleep(3.0)
        world.crash(1)
        await trio.sleep(6.0)
        world.crash(0, 1)
        await trio.sleep(4.0)


@pytest.mark.parametrize(
    ("restart_s", "count", "seed"),
    [
        (0.05, 3, 1),
        (0.2, 5, 2),
        (0.8, 3, 3),
        (0.05, 5, 4),
        (0.2, 3, 5),
    ],
)
def test_safety_rules_hold_across_quick_restarts(
    tmp_path: Path, restart_s: float, count: int, seed: int
) -> None:
    async def script(world: World) -> None:
        await crash_repeatedly(world, restart_s)

    world = play(with_rebuilding(tmp_path, count), seed, MIXED_JOBS + PIPELINE_JOBS, script, 320.0)
    assert world.checker.broken == []
    assert world.unfinished == set()
    # A short absence must not cost a controller its roles for long, nor make many tasks rerun.
    kills = [e for e in world.recorded_events if e.what == "ended" and e.detail == "lease"]
    assert len(kills) < 40


def test_starts_together_stay_within_the_budget(tmp_path: Path) -> None:
    """All five start at once, ten times: their reads stay within the state service's rate limit."""

    async def script(world: World) -> None:
        world.restart_s = 0.05
        await trio.sleep(30.0)
        for _ in range(10):
            world.crash(*range(5))
            await trio.sleep(2.0)

    settings = [
        msgspec.structs.replace(
            each,
            settings=msgspec.structs.replace(
                each.settings, state=msgspec.structs.replace(each.settings.state, rps=80.0)
            ),
        )
        for each in controller_settings(tmp_path, 5)
    ]
    world = play(settings, 8, MIXED_JOBS, script, 160.0)
    assert world.checker.broken == []
    assert world.unfinished == set()


def test_a_port_that_is_still_in_use_is_waited_for(monkeypatch: pytest.MonkeyPatch) -> None:
    """A process that started 0.05 s after its predecessor had ended found its port still in use,
    exited and was restarted, again and again."""
    attempts: list[float] = []

    async def open_tcp_listeners(port: int, **_: object) -> list[trio.SocketListener]:
        attempts.append(trio.current_time())
        if len(attempts) < 4 or port == 2:
            raise OSError(errno.EADDRINUSE, "in use")
        return []

    async def serve_listeners(*_: object) -> None:
        pass

    monkeypatch.setattr(trio, "open_tcp_listeners", open_tcp_listeners)
    monkeypatch.setattr(trio, "serve_listeners", serve_listeners)

    async def handle(method: str, target: str, body: bytes) -> Reply:
        return Reply(200)

    server = Server(handle, max_connections=1, idle_s=1.0, request_s=5.0)
    listening: list[float] = []

    async def main() -> None:
        await server.serve("h", 1, lambda: listening.append(trio.current_time()))
        assert listening
        assert attempts[3] - attempts[0] < 0.5
        with pytest.raises(OSError, match="in use"):  # not for ever
            await server.serve("h", 2)
        assert attempts[-1] - listening[0] >= 5.0
        assert len(attempts) < 120

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
