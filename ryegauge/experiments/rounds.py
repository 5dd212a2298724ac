"""Time and memory that a leader needs to order many waiting jobs.

The times are wall-clock times of this machine, not simulated ones.
"""

import time
import tracemalloc
from typing import Any

from ryegauge.bookkeeping.state import Event
from ryegauge.bookkeeping.state_replica import StateReplica, job_key, job_record
from ryegauge.config import Settings
from ryegauge.coordination.leader import Leader
from ryegauge.experiments.day import Day, controller_settings
from ryegauge.protocol.cloud import MachineType
from ryegauge.protocol.jobs import PRIORITIES, parse_job
from ryegauge.protocol.peers import MachineView, ShardView

MACHINES = 40  # idle machines of the leader's fleet


def _build_leader(settings: Settings, jobs: int, now: float) -> Leader:
    """A leader with `jobs` waiting jobs of all priorities and teams, submitted in the last hour."""
    replica = StateReplica()
    events = [Event("r/p/0", {"o": "node-0", "i": "x"}, 1)]
    teams = settings.settings.teams
    for n in range(jobs):
        body: dict[str, Any] = {
            "uid": f"wk-{n:08d}",
            "duty": "some",
            "crew": teams[n % len(teams)].name,
            "shape": "sweep",
            "urgency": PRIORITIES[n * 7 % 4],
            "pieces": 1 + n % 9,
            "cpus": 1.0 + n % 2,
            "cards": 0.0,
            "memoryGb": 2.0,
            "kit": f"img-{n % 5}",
            "imageGb": 1.0,
            "together": False,
            "spread": False,
            "loaners": True,
            "expectS": 20.0,
            "waypointS": 0.0,
            "stowS": 0.0,
            "dueS": 60.0 + n % 400,
        }
        submitted_at = now - (n * 37 % 3600)
        events.append(
            Event(job_key(body["uid"]), job_record(parse_job(body), submitted_at, False), n + 2)
        )
    replica.replace(events, jobs + 2)
    leader = Leader(9, replica, settings, now)
    leader.fleet.types = {
        "small": MachineType("small", 4.0, 16.0, 0.4, 10.0, ["a"], spot_price=0.1)
    }
    leader.on_machine_list([], now)
    views = [
        MachineView(f"m-{n}", "small", "a", True, True, True, 0.0, False, False, [], [])
        for n in range(MACHINES)
    ]
    leader.on_shard_view(ShardView("node-0", 0, replica.shards[0].token, jobs + 2, views), now)
    return leader


def measure(
    day: Day, job_counts: list[int], orderings: list[str], rounds: int
) -> list[dict[str, Any]]:
    """One row per policy and number of jobs: median time and peak memory of a planning round.

    The median is of `rounds` rounds; memory is traced in another one, as tracing slows it down.
    """
    rows: list[dict[str, Any]] = []
    now = 1_700_000_000.0
    for ordering in orderings:
        settings = controller_settings(day, ordering)[0]
        for jobs in job_counts:
            leader = _build_leader(settings, jobs, now)
            round_s: list[float] = []
            for _ in range(rounds):
                began_at = time.perf_counter()
                leader.round(now, now)
                round_s.append(time.perf_counter() - began_at)
            tracemalloc.start()
            leader.round(now, now)
            peak_bytes = tracemalloc.get_traced_memory()[1]
            tracemalloc.stop()
            rows.append(
                {
                    "policy": ordering,
                    "jobs": jobs,
                    "round_ms": round(1000 * sorted(round_s)[len(round_s) // 2], 1),
                    "us_per_job": round(1e6 * sorted(round_s)[len(round_s) // 2] / jobs, 1),
                    "memory_mb": round(peak_bytes / 1e6, 1),
                }
            )
    return rows
