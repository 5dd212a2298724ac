"""Case 7: jobs that failed on a sick machine are never tried again after it has recovered."""

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

# kit/sites/sismotrame-sfax.toml: on-demand and spot machines over both zones. The machines boot
# faster, see BOOT_S.
FLEET = (
    FleetType(
        "sahel-small", 4.0, 32.0, ["sfax-hall", "tunis-annex"], 0.31, 0.13, 25.0, steady=9, spot=17
    ),
    FleetType(
        "medina-mid", 8.0, 32.0, ["sfax-hall", "tunis-annex"], 0.54, 0.21, 25.0, steady=2, spot=14
    ),
    # Only the machine of tunis-annex: this case uses no other.
    FleetType("atlas-large", 32.0, 256.0, ["tunis-annex"], 2.5, 1.03, 35.0, steady=1, spot=2),
)
TEAMS = [
    {"name": "feed-ops", "cpus": 72.0, "cpus_max": 200.0, "gpus": 0.0, "gpus_max": 0.0},
    {"name": "platform-crew", "cpus": 96.0, "cpus_max": 160.0, "gpus": 0.0, "gpus_max": 0.0},
]
# How long the machine fails every task that it starts, in seconds (the site's days: 200 s).
SICK_S = 8.0
# A job may not be left waiting for so long once the troubles are over, in seconds.
WAIT_S = 90.0


async def case(deployment: Deployment) -> int:
    """A machine fails all tasks that it starts for some seconds; two jobs are submitted then, and
    a third one after that."""
    large = {"memoryGb": 60.0, "cpus": 8.0, "loaners": False, "district": "tunis-annex"}
    service = deployment.job(
        1, crew="platform-crew", shape="standing", pieces=1, expectS=0.0, dueS=None, **large
    )
    if not await deployment.submit(service):
        raise CouldNotRunError("the service is refused")
    for _ in range(40):
        if deployment.starts.get("wk-000001/0"):
            break
        await trio.sleep(0.5)
    else:
        raise CouldNotRunError("the service does not start")
    (machine,) = [w for w in deployment.workers.values() if w.type.name == "atlas-large"]
    if trouble():
        machine.faulty = True
        deployment.record(f"{machine.name}: fails every task that it starts")
    jobs = [deployment.job(n, pieces=1, expectS=3.0, dueS=None, **large) for n in (2, 3)]
    for job in jobs:
        if not await deployment.submit(job):
            raise CouldNotRunError("a job is refused")
    if trouble():
        await trio.sleep(SICK_S)
        machine.faulty = False
        deployment.record(f"{machine.name}: works again; the troubles are over")
    jobs.append(deployment.job(4, pieces=1, expectS=3.0, dueS=None, **large))
    if not await deployment.submit(jobs[-1]):
        raise CouldNotRunError("a job is refused")
    until = trio.current_time() + WAIT_S
    late: list[str] = []
    while trio.current_time() < until:
        late = [job["uid"] for job in jobs if await deployment.poll(job["uid"]) != "done"]
        if not late:
            break
        await trio.sleep(2.0)
    deployment.record(f"not done after {WAIT_S:.0f} s: {late}; starts: {deployment.starts}")
    deployment.record(f"{machine.name} is up: {machine.alive}, runs {machine.active_tasks()}")
    if not machine.alive:
        raise CouldNotRunError("the machine was returned")
    return BROKEN if late else HELD


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
