"""Simulated days for tests: jobs given as changes to a default job, and a script of faults."""

from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any

from conftest import job_body

from ryegauge.config import Settings
from ryegauge.emulator.fleet import SMALL_FLEET, FleetType
from ryegauge.emulator.world import World, run_simulated

USER_OPTIONS = ("delay", "really", "broken", "late", "cancel_after")


class Day(World):
    """A simulated world that records all writes to its state service."""

    def __init__(
        self, settings: list[Settings], seed: int, fleet: tuple[FleetType, ...] = SMALL_FLEET
    ) -> None:
        super().__init__(settings, seed, fleet=fleet)
        self.written: list[tuple[str, Any]] = []
        self.state.on_write.append(lambda key, value: self.written.append((key, value)))

    def run_s(self, task: str, spec: dict[str, Any]) -> float:
        """Returns a task's run time; each further task of a job runs `apart` seconds longer."""
        return super().run_s(task, spec) + int(task.rpartition("/")[2]) * spec.get("apart", 0.0)


def play(
    settings: list[Settings],
    seed: int,
    jobs: list[dict[str, Any]],
    script: Callable[[World], Awaitable[None]],
    seconds: float,
    fleet: tuple[FleetType, ...] = SMALL_FLEET,
) -> Day:
    """Runs `seconds` of simulated time, reproducibly for a seed.

    A job's entries change fields of the default job; those in USER_OPTIONS control its user."""
    worlds: list[Day] = []

    async def main() -> None:
        world = Day(settings, seed, fleet)
        worlds.append(world)
        users = []
        for i, job in enumerate(jobs):
            changes = dict(job)
            user_options = {name: changes.pop(name) for name in USER_OPTIONS if name in changes}
            body = job_body(f"wk-{i + 1:06d}", **changes)
            users.append(partial(world.user, body, **user_options))
        await world.play(users, script, seconds)

    run_simulated(main, seed)
    return worlds[0]
