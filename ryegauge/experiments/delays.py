"""Metrics of how a scheduling policy ordered the jobs of a day.

These are delays to the first task, inversions, jobs that never started, and the share of the
cost that paid for useful work.
"""

from collections import defaultdict
from typing import Any, NamedTuple

from hdrh.histogram import HdrHistogram

from ryegauge.experiments.day import Day, controller_settings
from ryegauge.experiments.play import DayResult
from ryegauge.experiments.served import least_served
from ryegauge.ordering import create_policy
from ryegauge.ordering.ageing import Ageing
from ryegauge.protocol.jobs import PRIORITIES

MAX_DELAY_MS = 3_600_000  # upper end of the histogram of delays


class PriorityMetrics(NamedTuple):
    """Metrics of all jobs of one priority.

    Delays are in seconds from submission to the first start of a task. A job that never started
    counts with the time that it had waited by the end of the day.
    """

    priority: str
    jobs: int
    unserved: int
    median_s: float
    p99_s: float
    worst_s: float
    inversions: int


class DayMetrics(NamedTuple):
    """Metrics of one played day over all priorities."""

    seed: int
    ordering: str
    ranks: dict[str, PriorityMetrics]  # by priority
    # Starts, not justified by age, of a task while a job of higher priority that fitted waited.
    inversions: int
    aged_starts: int  # starts of tasks that were entitled to run by their age
    lost: int  # task attempts that ended without being done
    useful: float  # cost of the completed runs at the lowest price, as a share of the total cost
    changes: int  # writes to the state service
    broken: list[str]  # violated rules of the protocol
    # Smallest share of tasks served of any class or team, of jobs of the first three quarters.
    served: float
    least: str  # name of that class or team


class _StartTimes(NamedTuple):
    submitted_at: float
    first_start_at: float  # infinite if no task ever started


def _start_times(day_result: DayResult) -> dict[str, _StartTimes]:
    submitted_at: dict[str, float] = {}
    first_start_at: dict[str, float] = {}
    for event in day_result.recorded_events:
        if event.what == "submitted":
            submitted_at[event.uid] = event.at
        elif event.what == "started":
            first_start_at.setdefault(event.uid, event.at)
    return {
        uid: _StartTimes(at, first_start_at.get(uid, float("inf")))
        for uid, at in submitted_at.items()
    }


def compute_metrics(day: Day, day_result: DayResult) -> DayMetrics:
    """Compute the metrics of a played day.

    Ages are computed by the ageing policy with the day's properties, whichever policy was played.
    """
    settings = controller_settings(day, "ageing")[0]
    ageing = create_policy(settings)
    assert isinstance(ageing, Ageing)
    start_times = _start_times(day_result)
    priorities: list[str] = list(PRIORITIES)
    rank_of = {uid: priorities.index(str(b["urgency"])) for uid, b in day_result.bodies.items()}
    inversions: dict[int, int] = defaultdict(int)
    aged_starts = lost = 0
    running: dict[str, set[str]] = defaultdict(set)
    done: dict[str, set[str]] = defaultdict(set)
    useful_cpu_s = 0.0
    # A start is no inversion if it was decided before the other job was known. From submission to
    # start that takes the submission and a planning round, two reports and the image fetch. The
    # waiting job's own first start was decided one fetch and one command latency before it
    # happened.
    decision_latency_s = 2 * settings.report_gap_s + 1.0
    command_latency_s = 0.5
    slowest_gb_per_s = min(t.fetch_gb_per_s for t in day.types)
    image_fetch_s = {
        u: _as_float(b["imageGb"]) / slowest_gb_per_s for u, b in day_result.bodies.items()
    }
    uids_by_rank: dict[int, list[str]] = defaultdict(list)
    for uid, rank in rank_of.items():
        uids_by_rank[rank].append(uid)
    for event in day_result.recorded_events:
        uid = event.uid
        if event.what == "ended":
            running[uid].discard(event.task)
            if event.detail == "done":
                if event.task not in done[uid]:
                    done[uid].add(event.task)
                    body = day_result.bodies[uid]
                    useful_cpu_s += _as_float(body["expectS"]) * _as_float(body["cpus"])
            else:
                lost += 1
        elif event.what == "started":
            body = day_result.bodies[uid]
            served = len(done[uid]) + len(running[uid])
            running[uid].add(event.task)
            rank = rank_of[uid]
            # The start is an upper bound of the time of assignment: the image is fetched between.
            aged = ageing.tag(start_times[uid].submitted_at, rank, served) <= event.at
            aged_starts += aged
            if aged:
                continue
            for higher in range(rank):
                inversions[higher] += any(
                    start_times[u].submitted_at + decision_latency_s + image_fetch_s[uid] < event.at
                    and event.at + command_latency_s + image_fetch_s[u]
                    < start_times[u].first_start_at
                    and _as_float(day_result.bodies[u]["cpus"]) <= _as_float(body["cpus"])
                    and _as_float(day_result.bodies[u]["memoryGb"]) <= _as_float(body["memoryGb"])
                    for u in uids_by_rank[higher]
                )
    ranks: dict[str, PriorityMetrics] = {}
    for rank, uids in sorted(uids_by_rank.items()):
        if not uids:
            continue
        histogram = HdrHistogram(1, MAX_DELAY_MS, 3)
        delays = [
            min(start_times[u].first_start_at, day_result.seconds) - start_times[u].submitted_at
            for u in uids
            if u in start_times
        ]
        for delay in delays:
            histogram.record_value(max(1, round(1000 * delay)))
        unserved = sum(
            start_times[u].first_start_at == float("inf") for u in uids if u in start_times
        )
        ranks[PRIORITIES[rank]] = PriorityMetrics(
            PRIORITIES[rank],
            len(delays),
            unserved,
            histogram.get_value_at_percentile(50) / 1000,
            histogram.get_value_at_percentile(99) / 1000,
            max(delays, default=0.0),
            inversions[rank],
        )
    cheapest = min(t.spot_price / t.cpus for t in day.types)
    useful = useful_cpu_s / 3600 * cheapest / day_result.cost if day_result.cost else 0.0
    return DayMetrics(
        day_result.seed,
        day_result.ordering,
        ranks,
        sum(inversions.values()),
        aged_starts,
        lost,
        useful,
        day_result.changes,
        day_result.broken,
        *least_served(day_result.recorded_events, day_result.bodies, 0.75 * day_result.seconds),
    )


def _as_float(value: Any) -> float:
    return float(value)
