"""Days of the simulated world as the tests describe them: jobs by their changes against a
plain one, and a script of troubles."""

from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any

from conftest import job_body

from ryegauge.config import Settings
from ryegauge.emulator.fleet import SMALL_FLEET, FleetType
from ryegauge.emulator.world import World, run_simulated

OF_USERS = ("delay", "really", "broken", "late", "cancel_after")


class Day(World):
    """A world that remembers all that was written to its state service."""

    def __init__(
        self, settings: list[Settings], seed: int, fleet: tuple[FleetType, ...] = SMALL_FLEET
    ) -> None:
        super().__init__(settings, seed, fleet=fleet)
        self.written: list[tuple[str, Any]] = []
        self.state.on_write.append(lambda key, value: self.written.append((key, value)))

    def run_s(self, task: str, spec: dict[str, Any]) -> float:
        """Tasks of a job that says `apart` end so much later, one after the other."""
        return super().run_s(task, spec) + int(task.rpartition("/")[2]) * spec.get("apart", 0.0)


def play(
    settings: list[Settings],
    seed: int,
    jobs: list[dict[str, Any]],
    script: Callable[[World], Awaitable[None]],
    seconds: float,
    fleet: tuple[FleetType, ...] = SMALL_FLEET,
) -> Day:
    """One day in simulated time, the same every time."""
    worlds: list[Day] = []

    async def main() -> None:
        world = Day(settings, seed, fleet)
        worlds.append(world)
        users = []
        for i, job in enumerate(jobs):
            changes = dict(job)
            about = {name: changes.pop(name) for name in OF_USERS if name in changes}
            body = job_body(f"wk-{i + 1:06d}", **changes)
            users.append(partial(world.user, body, **about))
        await world.play(users, script, seconds)

    run_simulated(main, seed)
    return worlds[0]
