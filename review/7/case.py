"""Case 7: a machine gets more tasks than fit into a report, and the job is never done."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))

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

# The larger machine type of kit/sites/ramdin-curepipe.toml; boot times are short ("at times
# machines are up within a second or two").
FLEET = (
    FleetType("morne-node", 64.0, 128.0, ["curepipe-room"], 4.4, 1.48, 2.0, 50.0, 0.25, 0.0, 3, 4),
)
TEAMS = [
    {"name": "house-systems", "cpus": 256.0, "cpus_max": 736.0, "gpus": 0.0, "gpus_max": 0.0},
]
# Tasks of the job, each of 0.04 CPUs: 64 CPUs together, within the guarantee of its team.
TASKS, TASKS_WITHOUT_TROUBLE = 1600, 400
TASK_S = 8.0
# How long the job may take, in seconds: ten times as long as its tasks run.
WAIT_S = 95.0


async def case(deployment: Deployment) -> int:
    """A job of many tiny tasks is submitted, and nothing else happens."""
    job = deployment.job(
        1,
        pieces=TASKS if trouble() else TASKS_WITHOUT_TROUBLE,
        cpus=0.04,
        memoryGb=0.05,
        expectS=TASK_S,
        dueS=None,
    )
    if not await deployment.submit(job):
        raise CouldNotRunError("the job is refused")
    state = await deployment.wait_for(job["uid"], {"done"}, WAIT_S)
    sessions = {worker.name: worker.session for worker in deployment.workers.values()}
    deployment.record(
        f"{job['uid']} is {state}; {len(deployment.results)} of {job['pieces']} tasks completed, "
        f"with {sum(deployment.starts.values())} starts; sessions of the machines: {sessions}; "
        f"answers to workers above 64 KiB: {deployment.too_large}"
    )
    return HELD if state == "done" else BROKEN


if __name__ == "__main__":
    main(
        Deployment(FOLDER, FLEET, TEAMS, zones=("curepipe-room",), list_lag_s=8.0),
        case,
    )
