"""Simulated days on which the state service loses data, and some controllers may crash too."""

from collections.abc import Callable
from pathlib import Path

import msgspec
import pytest
import trio
from days import play
from test_world import MIXED_JOBS, controller_settings

from ryegauge.config import Settings
from ryegauge.emulator.disk import MemoryDisk
from ryegauge.emulator.state import StateService
from ryegauge.emulator.world import World


def rebuilding(tmp_path: Path, count: int = 3) -> list[Settings]:
    """Settings of `count` controllers with the property `rebuilding` on."""
    return [
        msgspec.structs.replace(
            controller, properties=msgspec.structs.replace(controller.properties, rebuilding="on")
        )
        for controller in controller_settings(tmp_path, count)
    ]


LOSSES: dict[str, Callable[[StateService], None]] = {
    "back 3 s": lambda state: state.restore_earlier_state(3.0),
    "back 20 s": lambda state: state.restore_earlier_state(20.0),
    "back 20 s, no leases": lambda state: state.restore_earlier_state(20.0, leases=False),
    "all": lambda state: state.lose_all(),
    "records": lambda state: state.lose_records("r/j/"),
}


def lose_data(world: World, kind: str) -> None:
    LOSSES[kind](world.state)


# The last day guards against this fault: between two reads, an owner placed tasks of a cancelled
# job, which the reset service showed as not cancelled, and its team exceeded its limit.
DAYS = [(kind, 3, 2, crashed) for kind in LOSSES for crashed in ((), (0, 1))] + [
    ("back 20 s", 5, 11, ())
]


@pytest.mark.parametrize(("kind", "count", "seed", "crashed"), DAYS)
def test_one_surviving_controller_restores_everything(
    tmp_path: Path, kind: str, count: int, seed: int, crashed: tuple[int, ...]
) -> None:
    """As long as one controller survives the loss, no rule is broken and all jobs finish."""

    async def script(world: World) -> None:
        world.state.history_s = 30.0
        await trio.sleep(62.0)
        lose_data(world, kind)
        world.crash(*crashed)

    world = play(rebuilding(tmp_path, count), seed, MIXED_JOBS, script, 220.0)
    assert world.checker.broken == []
    assert world.unfinished == set()


def test_restore_resumes_after_crashes_and_further_losses(tmp_path: Path) -> None:
    """Most controllers crash during the restore; then the service is reset twice more."""

    async def script(world: World) -> None:
        world.state.history_s = 30.0
        await trio.sleep(62.0)
        lose_data(world, "back 20 s")
        await trio.sleep(0.6)
        world.crash(0, 1, 2, 3)
        await trio.sleep(8.0)
        world.state.restore_earlier_state(3.0)
        await trio.sleep(0.9)
        world.state.restore_earlier_state(2.0)

    world = play(rebuilding(tmp_path, 5), 12, MIXED_JOBS, script, 220.0)
    assert world.checker.broken == []
    assert world.unfinished == set()
    assert world.state.data["r/e"][0]["e"] >= 3


@pytest.mark.parametrize("kind", ["back 20 s", "all", "records"])
def test_snapshots_restore_after_all_controllers_crashed(tmp_path: Path, kind: str) -> None:
    """All controllers crash with the loss and have recent snapshots, besides a truncated one and
    one that is no snapshot."""

    async def script(world: World) -> None:
        world.state.history_s = 30.0
        snapshot_stores = [MemoryDisk() for _ in world.settings]
        world.snapshot_stores.update(enumerate(snapshot_stores))
        world.crash(0, 1, 2)
        await trio.sleep(62.0)
        lose_data(world, kind)
        world.crash(0, 1, 2)
        newest = max(snapshot_stores[0].files)
        snapshot_stores[0].files[f"9{newest[1:]}"] = snapshot_stores[0].files[newest][:-7]
        snapshot_stores[1].files[f"9{newest[1:]}"] = b"something else"

    settings = [
        msgspec.structs.replace(
            controller,
            properties=msgspec.structs.replace(controller.properties, snapshots_every_s=2.0),
        )
        for controller in rebuilding(tmp_path)
    ]
    world = play(settings, 13, MIXED_JOBS, script, 220.0)
    assert world.checker.broken == []
    assert world.unfinished == set()
    assert all(3 <= len(disk.files) <= 5 for disk in world.snapshot_stores.values())


def test_running_tasks_are_adopted_if_no_copy_of_their_records_is_left(tmp_path: Path) -> None:
    """All controllers crash, there is no snapshot, and the service has the job but not its
    assignments. The running tasks must go on where they are; none may start twice or take the team
    over its limit."""
    running_before: list[int] = []

    async def script(world: World) -> None:
        world.state.history_s = 30.0
        await trio.sleep(40.0)
        running_before.append(sum(len(w.active_tasks()) for w in world.workers.values() if w.alive))
        assignments = [k for k in world.state.data if k.startswith("r/j/") and k.count("/") == 3]
        for key in assignments:
            del world.state.data[key]
        world.crash(0, 1, 2)

    jobs = [{"pieces": 6, "delay": 1.0, "really": 90.0}]
    world = play(rebuilding(tmp_path), 3, jobs, script, 150.0)
    assert world.checker.broken == []
    assert world.unfinished == set()
    assert running_before == [6]
    assert world.checker.starts == 6  # no task was started again


def test_unrestorable_jobs_are_not_answered_404(tmp_path: Path) -> None:
    """The service loses everything and all controllers crash. Once a worker's report shows the
    loss, requests must be answered 503: a 404 would deny a job that was accepted. The epoch's
    record says that not everything could be restored."""

    async def script(world: World) -> None:
        await trio.sleep(30.0)
        world.state.lose_all()
        world.crash(0, 1, 2)

    jobs = [{"pieces": 6, "delay": 1.0, "really": 90.0}]
    settings = rebuilding(tmp_path)
    world = play(settings, 3, jobs, script, 60.0)
    assert world.checker.broken == []
    assert world.state.data["r/e"][0]["c"] is False
