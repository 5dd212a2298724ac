"""Playing a day of an experiment, and what is kept of it."""

from functools import partial
from typing import NamedTuple

import trio

from ryegauge.emulator.state import StateService
from ryegauge.emulator.world import Happened, World, run_simulated
from ryegauge.experiments.day import Day, Trouble, settings_of, submissions


class Played(NamedTuple):
    seed: int
    ordering: str
    seconds: float
    happened: list[Happened]
    bodies: dict[str, dict[str, object]]
    broken: list[str]
    cost: float
    changes: int  # of the state service


async def _trouble(world: World, trouble: Trouble) -> None:
    await trio.sleep(trouble.at_s)
    world.note("trouble", detail=trouble.kind)
    match trouble.kind:
        case "crash_leader":
            record = world.state.data.get("r/l")
            if record is not None:
                world.crash(world.names.index(record[0]["o"]))
        case "crash_all":
            world.crash(*range(len(world.settings)))
        case "state_outage":
            world.state.outage = True
            await trio.sleep(trouble.lasts_s)
            world.state.end_outage()
        case "clock":
            # Each controller's time of day wanders within its bound, back as well.
            until = trio.current_time() + trouble.lasts_s
            while trio.current_time() < until:
                world.wall_errors = [
                    world.rng.uniform(-trouble.error_s, trouble.error_s)
                    for _ in world.settings
                ]
                await trio.sleep(1.0)
            world.wall_errors = [0.0 for _ in world.settings]


def play(
    day: Day, ordering: str, seed: int, size: float = 1.0, backlog: bool = True
) -> Played:
    worlds: list[World] = []
    inst = day.installation

    async def script(world: World) -> None:
        async with trio.open_nursery() as nursery:
            for trouble in day.troubles:
                nursery.start_soon(_trouble, world, trouble)

    async def main() -> None:
        state = StateService(
            value_kb=inst.value_kb, txn_ops=inst.txn_ops, rps=inst.rps,
            write_rps=inst.write_rps,
        )
        world = World(
            settings_of(day, ordering), seed, fleet=tuple(day.types), state=state,
            poll_s=(4.0, 6.0), resubmits=0.0,
        )
        worlds.append(world)
        users = [
            partial(world.user, s.body, delay=s.at_s, really=s.run_s)
            for s in submissions(day, seed, size, backlog)
        ]
        await world.play(users, script, day.seconds)

    run_simulated(main, seed)
    (world,) = worlds
    return Played(
        seed, ordering, day.seconds, world.happened, world.checker.specs,
        world.checker.broken, world.cloud.cost(day.seconds), world.state.writes,
    )
