"""A late copy of an answered direct command starts a task that runs elsewhere by now."""

from pathlib import Path
from typing import Any

import trio
from common.case import TROUBLE, CannotRun, Setup, run_case
from common.controllers import Deployment, Team
from common.platform import MachineType, Worker
from common.users import job

NOTICE_S = 15.0  # nominal notice of a spot machine (the site files' `notice_s`)
# Bounds on how late the copy comes: those of the pages for late commands.
MIN_LATE_S, MAX_LATE_S = 2.0, 16.0
ROUNDS = 4


async def two_machines(setup: Setup, number: int) -> None:
    """Has two machines rented and empties them again, with a job that needs both."""
    uid = f"wk-1{number:05d}"
    await setup.users.submit(job(uid, pieces=2, cpus=16.0, expectS=3.0))
    if not await setup.users.wait_until_done(uid, 30.0):
        raise CannotRun("the first job was not done")


async def play_round(setup: Setup, number: int) -> bool:
    """Plays one round; returns whether its task was started by a direct command."""
    platform, record = setup.platform, setup.record
    await two_machines(setup, number)
    uid = f"wk-2{number:05d}"
    task = f"{uid}/0"
    direct: list[tuple[Worker, Any, float]] = []
    started: dict[str, float] = {}

    def on_commands(worker: Worker, body: Any) -> None:
        if any(o["verb"] == "run" and o["piece"] == task for o in body["orders"]):
            direct.append((worker, body, trio.current_time()))

    def on_started(worker: Worker, name: str) -> None:
        if name == task:
            started.setdefault(worker.name, trio.current_time())

    platform.on_started = on_started
    for worker in platform.workers.values():
        worker.on_commands = on_commands
    await setup.users.submit(job(uid, expectS=60.0))
    with trio.move_on_after(10.0):
        while not started:
            await trio.sleep(0.05)
    if not started or not direct:
        record.note("the task was not started by a direct command: another round")
        await setup.users.cancel(uid)
        return False
    first, body, sent_at = direct[0]
    await trio.sleep(1.0)
    first.give_notice(NOTICE_S)
    with trio.move_on_at(sent_at + MAX_LATE_S - 2.0):
        while not any(worker is not first for worker in platform.machines_of(task)):
            await trio.sleep(0.05)
    if not any(worker is not first for worker in platform.machines_of(task)):
        record.note("the task was not started on another machine: another round")
        await setup.users.cancel(uid)
        return False
    await trio.sleep(0.5)
    await trio.sleep_until(sent_at + MIN_LATE_S)
    late_s = trio.current_time() - sent_at
    if TROUBLE:
        record.note(f"{first.name}: a copy of the direct command arrives, {late_s:.1f} s late")
        client = platform.network.client(first.address, max_connections=1, idle_s=1.0)
        status, answer, _ = await client.request("POST", "/commands", body, timeout_s=2.0)
        client.close()
        record.note(f"{first.name}: answers the copy with {status} {answer}")
    await trio.sleep(3.0)
    where = ", ".join(worker.name for worker in platform.machines_of(task))
    record.note(f"{task} is on {where}")
    return True


async def play(setup: Setup) -> None:
    """Plays rounds until one could be played to its end."""
    await setup.users.wait_until_healthy()
    for number in range(ROUNDS):
        if await play_round(setup, number):
            return
    raise CannotRun("no round could be played to its end")


run_case(
    Path(__file__).parent,
    Deployment(teams=(Team("fault-watch", 88.0, 256.0),)),
    [MachineType(name="lagon-node", cpus=16.0, memory_gb=64.0, spot=4)],
    play,
)
