"""Case 8: a service whose replicas failed on two sick machines does not come back."""

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

# kit/sites/sismotrame-sfax.toml; the machines boot faster, see BOOT_S.
ZONES = ["sfax-hall", "tunis-annex"]
FLEET = (
    FleetType("sahel-small", 4.0, 32.0, ZONES, 0.31, 0.13, 25.0, steady=9, spot=17),
    FleetType("medina-mid", 8.0, 32.0, ZONES, 0.54, 0.21, 25.0, steady=2, spot=14),
)
TEAMS = [{"name": "feed-ops", "cpus": 72.0, "cpus_max": 200.0, "gpus": 0.0, "gpus_max": 0.0}]
REPLICAS = 8
# How long the machines fail every task that they start, in seconds (the sites' days: 2 machines
# for 170 s).
SICK_S = 8.0
# No job may be left waiting for so long once the troubles are over, in seconds.
WAIT_S = 90.0


async def case(deployment: Deployment) -> int:
    """The two machines that a new service starts on fail all its tasks for some seconds."""
    service = deployment.job(
        1,
        shape="standing",
        pieces=REPLICAS,
        cpus=1.0,
        memoryGb=8.0,
        loaners=False,
        district="tunis-annex",
        expectS=0.0,
        dueS=None,
    )
    if trouble():
        sick: list[str] = []

        def mark(name: str) -> None:
            if len(sick) < 2:
                deployment.workers[name].faulty = True
                sick.append(name)
                deployment.record(f"{name}: fails every task that it starts")

        deployment.on_rented = mark
    if not await deployment.submit(service):
        raise CouldNotRunError("the service is refused")
    if trouble():
        await trio.sleep(SICK_S)
        for name in sick:
            deployment.workers[name].faulty = False
        deployment.record(f"{sick} work again; the troubles are over")
    until = trio.current_time() + WAIT_S
    running = 0
    while trio.current_time() < until and running < REPLICAS:
        await deployment.poll(service["uid"])
        running = sum(bool(machines) for machines in deployment.running.values())
        await trio.sleep(2.0)
    for worker in deployment.workers.values():
        deployment.record(
            f"{worker.name}: alive {worker.alive}, runs {worker.active_tasks()}, "
            f"type {worker.type.name}"
        )
    deployment.record(f"{running} of {REPLICAS} replicas run; starts: {deployment.starts}")
    return HELD if running == REPLICAS else BROKEN


if __name__ == "__main__":
    main(
        Deployment(
            FOLDER,
            FLEET,
            TEAMS,
            zones=("sfax-hall", "tunis-annex"),
            report_s=2.5,
            lease_s=14.0,
            cancel_s=39.0,
            list_lag_s=6.0,
            state={"rps": 80.0, "write_rps": 20.0, "value_kb": 4.0, "txn_ops": 12},
            quota={"core_share": 0.54, "memory_mb": 266.0, "max_connections": 1500},
        ),
        case,
    )
