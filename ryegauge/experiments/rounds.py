"""How long a leader takes to order many waiting jobs, and with how much memory."""

import time
import tracemalloc
from typing import Any

from ryegauge.bookkeeping.state import Event
from ryegauge.bookkeeping.state_replica import StateReplica, job_key, job_record
from ryegauge.config import Settings
from ryegauge.coordination.leader import Leader
from ryegauge.experiments.day import Day, settings_of
from ryegauge.protocol.cloud import MachineType
from ryegauge.protocol.jobs import PRIORITIES, parse_job
from ryegauge.protocol.peers import MachineView, ShardView

MACHINES = 40


def _leader(settings: Settings, jobs: int, now: float) -> Leader:
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
        at = now - (n * 37 % 3600)
        events.append(Event(job_key(body["uid"]), job_record(parse_job(body), at, False), n + 2))
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


def measure(day: Day, sizes: list[int], orderings: list[str], rounds: int) -> list[dict[str, Any]]:
    """Per number of jobs and policy: the median time of a round and its memory at most."""
    rows: list[dict[str, Any]] = []
    now = 1_700_000_000.0
    for ordering in orderings:
        settings = settings_of(day, ordering)[0]
        for jobs in sizes:
            leader = _leader(settings, jobs, now)
            times: list[float] = []
            for _ in range(rounds):
                began = time.perf_counter()
                leader.round(now, now)
                times.append(time.perf_counter() - began)
            tracemalloc.start()
            leader.round(now, now)
            peak = tracemalloc.get_traced_memory()[1]
            tracemalloc.stop()
            rows.append(
                {
                    "policy": ordering,
                    "jobs": jobs,
                    "round_ms": round(1000 * sorted(times)[len(times) // 2], 1),
                    "us_per_job": round(1e6 * sorted(times)[len(times) // 2] / jobs, 1),
                    "memory_mb": round(peak / 1e6, 1),
                }
            )
    return rows
