"""Plays a day on the emulator: injects its troubles and records what happened."""

from collections.abc import Callable
from contextlib import ExitStack
from functools import partial
from typing import NamedTuple

import trio

from ryegauge.coordination.node import Node
from ryegauge.emulator.state import StateService
from ryegauge.emulator.world import NodeFactory, RecordedEvent, World, run_simulated
from ryegauge.experiments.day import Day, Trouble, controller_settings, submissions


class DayResult(NamedTuple):
    """What happened on a played day."""

    seed: int
    ordering: str
    seconds: float  # length of the day
    recorded_events: list[RecordedEvent]
    bodies: dict[str, dict[str, object]]  # submitted jobs, by uid
    broken: list[str]  # violated rules of the protocol
    cost: float  # of all rented machines
    changes: int  # writes to the state service


def _select_machines(world: World, trouble: Trouble) -> list[str]:
    """Names of random machines that are up, in the trouble's zone if it names one.

    The trouble's `count` of them or, if that is 0, all of the zone or else the share `part`.
    """
    up = sorted(w.name for w in world.workers.values() if w.alive and w.up)
    if trouble.zone:
        up = [name for name in up if world.workers[name].zone == trouble.zone]
    count = trouble.count or (len(up) if trouble.zone else round(trouble.part * len(up)))
    return world.rng.sample(up, min(count, len(up)))


async def _apply_trouble(world: World, trouble: Trouble) -> None:
    """Wait until the trouble begins, inject it and, if it lasts, end it in time."""
    await trio.sleep(trouble.at_s)
    world.record_event("trouble", detail=trouble.kind)
    match trouble.kind:
        case "crash_leader":
            record = world.state.data.get("r/l")
            if record is not None:
                world.crash(world.names.index(record[0]["o"]))
        case "crash_all":
            world.crash(*range(len(world.settings)))
        case "crash_but_one":
            world.crash(*range(1, len(world.settings)))
        case "roll":
            for n in range(len(world.settings)):
                world.crash(n)
                await trio.sleep(trouble.lasts_s / len(world.settings))
        case "away":
            host = world.settings[0].listen.partition(":")[0]
            others = {s.listen.partition(":")[0] for s in world.settings[1:]} | {"users"}
            others |= {world.settings[0].outside.state.partition(":")[0], *world.workers}
            with world.cut({host}, others, hold=False):
                await trio.sleep(trouble.lasts_s)
        case "silent":
            record = world.state.data.get("r/l")
            name = record[0]["o"] if record is not None else world.names[0]
            with world.isolate_hosts({world.controllers[name].partition(":")[0]}):
                await trio.sleep(trouble.lasts_s)
        case "polls":
            world.poll_rate_factor = trouble.times
            await trio.sleep(trouble.lasts_s)
            world.poll_rate_factor = 1.0
        case "state_back":
            world.state.restore_earlier_state(trouble.lasts_s, leases=not trouble.part)
        case "state_empty":
            world.state.lose_all()
        case "state_records":
            world.state.lose_records("r/j/")
        case "boots":
            world.slow_zones = {zone for w in world.workers.values() for zone in w.type.zones}
            world.boot_factor, world.boot_failure_share = trouble.times, trouble.part
            await trio.sleep(trouble.lasts_s)
            world.slow_zones = set()
        case "state_outage":
            world.state.outage = True
            await trio.sleep(trouble.lasts_s)
            world.state.end_outage()
        case "clock":
            # Each controller's wall clock jumps at random within the error, backwards too.
            until = trio.current_time() + trouble.lasts_s
            while trio.current_time() < until:
                world.clock_errors_s = [
                    world.rng.uniform(-trouble.error_s, trouble.error_s) for _ in world.settings
                ]
                await trio.sleep(1.0)
            world.clock_errors_s = [0.0 for _ in world.settings]
        case "zone_cut":
            area = world.settings[-1].area
            inside = {w.name for w in world.workers.values() if w.zone == area}
            inside |= {s.listen.partition(":")[0] for s in world.settings if s.area == area}
            outside = {s.listen.partition(":")[0] for s in world.settings if s.area != area}
            regional = {
                s.partition(":")[0]
                for s in (
                    world.settings[0].outside.state,
                    world.settings[0].outside.cloud,
                    "users:",
                )
            }
            with world.cut(inside, outside | regional, hold=True):
                await trio.sleep(trouble.lasts_s)
        case "late_writes":
            with world.late_writes(trouble.part, trouble.at_once):
                await trio.sleep(trouble.lasts_s)
        case "late_reports":
            with world.late_reports(trouble.part, trouble.for_next):
                await trio.sleep(trouble.lasts_s)
        case "late_commands":
            with world.late_commands(trouble.part):
                await trio.sleep(trouble.lasts_s)
        case "command_copies":
            with world.command_copies(trouble.part):
                await trio.sleep(trouble.lasts_s)
        case "machines_deaf":
            with world.inbound_loss(_select_machines(world, trouble)):
                await trio.sleep(trouble.lasts_s)
        case "machines_mute":
            with world.outbound_loss(_select_machines(world, trouble)):
                await trio.sleep(trouble.lasts_s)
        case "cancel_now":
            await world.cancel_now(trouble.count, trouble.hang_s)
        case "cancel_at_end":
            with world.cancel_at_end(trouble.part):
                await trio.sleep(trouble.lasts_s)
        case "odd_requests":
            with world.odd_requests():
                await trio.sleep(trouble.lasts_s)
        case "close_looks":
            with world.close_looks():
                await trio.sleep(trouble.lasts_s)
        case "leader_refused" | "leader_cut":
            first = world.leader_number or 0
            affected = [(first + n) % len(world.settings) for n in range(max(1, trouble.count))]
            with ExitStack() as cuts:
                if trouble.kind == "leader_refused":
                    cuts.enter_context(world.refused_by_state(*affected))
                else:
                    for n in affected:
                        cuts.enter_context(world.cut_from_state_and_peers(n, hold=True))
                await trio.sleep(trouble.lasts_s)
        case "owner_deaf":
            workers = set(world.workers)
            with world.cut({world.settings[-1].listen.partition(":")[0]}, workers, hold=False):
                await trio.sleep(trouble.lasts_s)
        case _:
            up = sorted(n for n, w in world.workers.items() if w.alive and w.up)
            for n, name in enumerate(world.rng.sample(up, round(trouble.part * len(up)))):
                worker = world.workers[name]
                match trouble.kind:
                    case "machines_hang":
                        worker.hung_until = trio.current_time() + trouble.lasts_s
                        world.record_event("hung", machine=name)
                    case "spot_taken" if worker.spot:
                        worker.notice_at = trio.current_time() + trouble.lasts_s
                        worker.changed.set()
                    case "machines_restart":
                        await trio.sleep(trouble.lasts_s / len(up) if n else 0.0)
                        world.fail_machine(worker)
                    case "machines_lost":
                        world.fail_machine(worker)
            if trouble.kind == "spot_taken":
                await trio.sleep(trouble.lasts_s)
                for worker in list(world.workers.values()):
                    if worker.alive and worker.notice_at is not None:
                        worker.shut_down()


def play(
    day: Day,
    ordering: str,
    seed: int,
    size: float = 1.0,
    backlog: bool = True,
    program: NodeFactory = Node,
    watch: Callable[[World], None] | None = None,
    prepare: Callable[[World], None] | None = None,
) -> DayResult:
    """Simulate a day under a policy; the same arguments give the same result.

    `size` scales the number of jobs; without `backlog`, jobs marked as backlog are left out.
    `program` makes a controller. `prepare` is called with the world before the day begins,
    `watch` twice a second of simulated time.
    """
    worlds: list[World] = []
    installation = day.installation

    async def sample(world: World) -> None:
        while watch is not None:
            watch(world)
            await trio.sleep(0.5)

    async def script(world: World) -> None:
        world.nursery.start_soon(sample, world)
        async with trio.open_nursery() as nursery:
            for trouble in day.troubles:
                nursery.start_soon(_apply_trouble, world, trouble)

    async def main() -> None:
        state = StateService(
            value_kb=installation.value_kb,
            txn_ops=installation.txn_ops,
            rps=installation.rps,
            write_rps=installation.write_rps,
        )
        world = World(
            controller_settings(day, ordering),
            seed,
            fleet=tuple(day.types),
            state=state,
            poll_s=(4.0, 6.0),
            resubmits=0.0,
        )
        world.node_factories = [program for _ in world.node_factories]
        worlds.append(world)
        if prepare is not None:
            prepare(world)
        users = [
            partial(
                world.user,
                s.body,
                delay=s.at_s,
                really=s.run_s,
                broken=s.mistaken,
                cancel_after=s.cancel_after_s,
            )
            for s in submissions(day, seed, size, backlog)
        ]
        await world.play(users, script, day.seconds)

    run_simulated(main, seed)
    (world,) = worlds
    return DayResult(
        seed,
        ordering,
        day.seconds,
        world.recorded_events,
        world.checker.specs,
        world.checker.broken,
        world.cloud.cost(day.seconds),
        world.state.writes,
    )
