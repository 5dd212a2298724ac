"""What a played day shows of the order of jobs: delays to the first task, inversions, jobs
that never started, and how much of the money did useful work."""

from collections import defaultdict
from typing import Any, NamedTuple

from hdrh.histogram import HdrHistogram

from ryegauge.experiments.day import Day, settings_of
from ryegauge.experiments.play import Played
from ryegauge.experiments.served import least_served
from ryegauge.ordering import create_policy
from ryegauge.ordering.ageing import Ageing
from ryegauge.protocol.jobs import PRIORITIES

HOUR_MS = 3_600_000


class RankFigures(NamedTuple):
    """Of all jobs of one priority; delays in seconds from readiness to the first start. A
    job that never started counts with what it had waited for when the day ended."""

    priority: str
    jobs: int
    unserved: int
    median_s: float
    p99_s: float
    worst_s: float
    inversions: int


class DayFigures(NamedTuple):
    seed: int
    ordering: str
    ranks: dict[str, RankFigures]
    inversions: int  # starts of lower work, not for its age, past waiting work that fitted
    aged_starts: int  # tasks that were due by age when they started
    lost: int  # tasks that ended without being done
    useful: float  # cost of the completed runs at the lowest price, of all that was paid
    changes: int  # written to the state service
    broken: list[str]
    served: float  # least share of the tasks of a class or a team, of the first three quarters
    least: str  # which one


class _Wait(NamedTuple):
    ready: float
    first: float  # infinite if never


def _waits(played: Played) -> dict[str, _Wait]:
    ready: dict[str, float] = {}
    first: dict[str, float] = {}
    for event in played.happened:
        if event.what == "submitted":
            ready[event.uid] = event.at
        elif event.what == "started":
            first.setdefault(event.uid, event.at)
    return {uid: _Wait(at, first.get(uid, float("inf"))) for uid, at in ready.items()}


def figures(day: Day, played: Played) -> DayFigures:
    settings = settings_of(day, "ageing")[0]
    tags = create_policy(settings)
    assert isinstance(tags, Ageing)
    waits = _waits(played)
    names: list[str] = list(PRIORITIES)
    rank_of = {uid: names.index(str(b["urgency"])) for uid, b in played.bodies.items()}
    inversions: dict[int, int] = defaultdict(int)
    aged_starts = lost = 0
    running: dict[str, set[str]] = defaultdict(set)
    done: dict[str, set[str]] = defaultdict(set)
    spent_cpu_s = 0.0
    # What had been decided before the other was ready is on its way: submission and round,
    # and two reports. What started later than its image takes was decided before that; a
    # job's own first start was decided a fetch and the way of a command before it shows.
    flight_s = 2 * settings.report_gap_s + 1.0
    hop_s = 0.5
    slowest_gb_per_s = min(t.fetch_gb_per_s for t in day.types)
    fetch = {u: _number(b["imageGb"]) / slowest_gb_per_s for u, b in played.bodies.items()}
    waiting_by_rank: dict[int, list[str]] = defaultdict(list)
    for uid, rank in rank_of.items():
        waiting_by_rank[rank].append(uid)
    for event in played.happened:
        uid = event.uid
        if event.what == "ended":
            running[uid].discard(event.task)
            if event.detail == "done":
                if event.task not in done[uid]:
                    done[uid].add(event.task)
                    body = played.bodies[uid]
                    spent_cpu_s += _number(body["expectS"]) * _number(body["cpus"])
            else:
                lost += 1
        elif event.what == "started":
            body = played.bodies[uid]
            served = len(done[uid]) + len(running[uid])
            running[uid].add(event.task)
            rank = rank_of[uid]
            # When it was allotted at the latest: its image was fetched after that.
            aged = tags.tag(waits[uid].ready, rank, served) <= event.at
            aged_starts += aged
            if aged:
                continue
            for higher in range(rank):
                inversions[higher] += any(
                    waits[u].ready + flight_s + fetch[uid] < event.at
                    and event.at + hop_s + fetch[u] < waits[u].first
                    and _number(played.bodies[u]["cpus"]) <= _number(body["cpus"])
                    and _number(played.bodies[u]["memoryGb"]) <= _number(body["memoryGb"])
                    for u in waiting_by_rank[higher]
                )
    ranks: dict[str, RankFigures] = {}
    for rank, uids in sorted(waiting_by_rank.items()):
        if not uids:
            continue
        histogram = HdrHistogram(1, HOUR_MS, 3)
        delays = [min(waits[u].first, played.seconds) - waits[u].ready for u in uids if u in waits]
        for delay in delays:
            histogram.record_value(max(1, round(1000 * delay)))
        unserved = sum(waits[u].first == float("inf") for u in uids if u in waits)
        ranks[PRIORITIES[rank]] = RankFigures(
            PRIORITIES[rank],
            len(delays),
            unserved,
            histogram.get_value_at_percentile(50) / 1000,
            histogram.get_value_at_percentile(99) / 1000,
            max(delays, default=0.0),
            inversions[rank],
        )
    cheapest = min(t.spot_price / t.cpus for t in day.types)
    useful = spent_cpu_s / 3600 * cheapest / played.cost if played.cost else 0.0
    return DayFigures(
        played.seed,
        played.ordering,
        ranks,
        sum(inversions.values()),
        aged_starts,
        lost,
        useful,
        played.changes,
        played.broken,
        *least_served(played.happened, played.bodies, 0.75 * played.seconds),
    )


def _number(value: Any) -> float:
    return float(value)
