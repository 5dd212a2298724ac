"""Case 5: a job that no machine has room for blocks all other jobs of its team."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))

import trio
from harness import (
    BROKEN,
    HELD,
    CouldNotRunError,
    Deployment,
    FleetType,
    main,
    trouble,
)

FOLDER = Path(__file__).resolve().parent

# kit/sites/sismotrame-sfax.toml, zone tunis-annex; the machines boot faster, see BOOT_S.
ZONES = ["tunis-annex"]
FLEET = (
    FleetType("sahel-small", 4.0, 32.0, ZONES, 0.31, 0.13, 25.0, steady=5, spot=9),
    FleetType("medina-mid", 8.0, 32.0, ZONES, 0.54, 0.21, 25.0, steady=1, spot=8),
    FleetType("atlas-large", 32.0, 256.0, ZONES, 2.5, 1.03, 35.0, steady=1, spot=2),
)
TEAMS = [
    {"name": "client-desk", "cpus": 48.0, "cpus_max": 96.0, "gpus": 0.0, "gpus_max": 0.0},
    {"name": "platform-crew", "cpus": 96.0, "cpus_max": 160.0, "gpus": 0.0, "gpus_max": 0.0},
]
# Tasks of the large job: 4 fit on the only machine that they may use, and 12 take as much as
# the team's limit.
TASKS, TASKS_WITHOUT_TROUBLE = 12, 4
# How long its tasks and that of the other team run, in seconds (trace-archive: up to 400 s).
LONG_S = 300.0
# No job may be left waiting for so long while a machine that fits has room and its team is under
# its limit, in seconds.
WAIT_S = 90.0


async def wait_until(condition, what: str) -> None:
    """Waits for up to 15 s. Raises CouldNotRunError."""
    for _ in range(60):
        if condition():
            return
        await trio.sleep(0.25)
    raise CouldNotRunError(what)


async def case(deployment: Deployment) -> int:
    """There is more work than room for one job of a team; a small job of it is submitted then."""
    starts = deployment.starts
    # Another team's task, which keeps a machine with room in use.
    other = deployment.job(
        1,
        crew="platform-crew",
        pieces=1,
        cpus=1.0,
        loaners=False,
        builds=["medina-mid"],
        expectS=LONG_S,
        dueS=None,
    )
    large = deployment.job(
        2,
        crew="client-desk",
        pieces=TASKS if trouble() else TASKS_WITHOUT_TROUBLE,
        cpus=8.0,
        memoryGb=60.0,
        loaners=False,
        expectS=LONG_S,
        dueS=None,
    )
    if not (await deployment.submit(other) and await deployment.submit(large)):
        raise CouldNotRunError("a job is refused")
    await wait_until(
        lambda: "wk-000001/0" in starts and sum(t.startswith("wk-000002") for t in starts) == 4,
        "the jobs do not start",
    )
    small = deployment.job(
        3, crew="client-desk", pieces=1, cpus=1.0, memoryGb=1.0, expectS=5.0, dueS=None
    )
    if not await deployment.submit(small):
        raise CouldNotRunError("the small job is refused")
    until = trio.current_time() + WAIT_S
    while trio.current_time() < until and "wk-000003/0" not in starts:
        await deployment.poll(small["uid"])
        await trio.sleep(2.0)
    for worker in deployment.workers.values():
        tasks = worker.active_tasks()
        used = sum(deployment.specs[task.rpartition("/")[0]]["cpus"] for task in tasks)
        deployment.record(
            f"{worker.name}, {worker.type.name}, alive {worker.alive}: {used} of "
            f"{worker.type.cpus} CPUs used by {tasks}"
        )
    deployment.record(f"the small job has started: {'wk-000003/0' in starts}")
    return HELD if "wk-000003/0" in starts else BROKEN


if __name__ == "__main__":
    main(
        Deployment(
            FOLDER,
            FLEET,
            TEAMS,
            zones=("tunis-annex",),
            report_s=2.5,
            lease_s=14.0,
            cancel_s=39.0,
            list_lag_s=6.0,
            state={"rps": 80.0, "write_rps": 20.0, "value_kb": 4.0, "txn_ops": 12},
            quota={"core_share": 0.54, "memory_mb": 266.0, "max_connections": 1500},
        ),
        case,
    )
