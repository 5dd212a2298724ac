"""Who gets room: jobs in their order of precedence, within their teams' limits, and what
their parts' shares become. Pure functions of the book."""

from collections.abc import Callable
from typing import Any

from ryegauge.bookkeeping.jobbook import Job, JobBook, Share, span_bytes
from ryegauge.bookkeeping.ranges import Ranges
from ryegauge.config import Team
from ryegauge.coordination.needs import make_need, task_sizes, tracks_zones, zone_limits
from ryegauge.coordination.urgency import Urgencies
from ryegauge.scheduling.estimates import Estimates
from ryegauge.scheduling.planner import EPSILON, Need, Plan

# What a share's record takes besides its ranges: names, and zones if they are tracked.
RECORD_BYTES = 256


def within_guarantee(
    book: JobBook, teams: dict[str, Team], order: Callable[[Job], Any]
) -> set[str]:
    """Jobs that fit into their team's guarantee together with those of the team's
    unfinished jobs that come earlier in the order: they need not wait for other
    teams. Jobs that wait for others hold no part of it."""
    unfinished = sorted(
        (job for job in book.live.values() if not job.over), key=order
    )
    cpus: dict[str, float] = {}
    gpus: dict[str, float] = {}
    within: set[str] = set()
    for job in unfinished:
        spec = job.spec
        if (team := teams.get(spec.team)) is None:
            continue
        left = spec.tasks - job.done_count
        cpus[team.name] = cpus.get(team.name, 0.0) + left * spec.cpus
        gpus[team.name] = gpus.get(team.name, 0.0) + left * spec.gpus
        if (
            cpus[team.name] <= team.cpus + EPSILON
            and gpus[team.name] <= team.gpus + EPSILON
        ):
            within.add(spec.uid)
    return within


def open_needs(
    book: JobBook, teams: dict[str, Team], urgencies: Urgencies, estimates: Estimates,
    within_guarantee: set[str],
) -> tuple[list[Need], dict[str, Job]]:
    """Open tasks within their team's limits, in order of precedence."""
    used_cpus: dict[str, float] = dict.fromkeys(teams, 0.0)
    used_gpus: dict[str, float] = dict.fromkeys(teams, 0.0)
    waiting: list[Job] = []
    for job in book.live.values():
        n = job.allotted_count
        name = job.spec.team
        used_cpus[name] = used_cpus.get(name, 0.0) + n * job.spec.cpus
        used_gpus[name] = used_gpus.get(name, 0.0) + n * job.spec.gpus
        if not job.over and job.ready and job.open_tasks:
            waiting.append(job)
    ranked: list[tuple[tuple[bool, int, float, float, str], Job, float]] = []
    for job in waiting:
        if job.spec.team not in teams:
            continue
        within = job.spec.uid in within_guarantee
        finish, rank = urgencies.of(job)
        ranked.append(
            ((not within, rank, finish, job.submitted_at, job.spec.uid), job, finish)
        )
    ranked.sort(key=lambda entry: entry[0])
    needs: list[Need] = []
    sizes = task_sizes(book)
    for _, job, finish in ranked:
        spec = job.spec
        team = teams[spec.team]
        count = len(job.open_tasks)
        if spec.cpus > 0:
            free = team.cpus_max - used_cpus[team.name]
            count = min(count, int((free + EPSILON) // spec.cpus))
        if spec.gpus > 0:
            free = team.gpus_max - used_gpus[team.name]
            count = min(count, int((free + EPSILON) // spec.gpus))
        zones = zone_limits(job)
        if count <= 0 or (spec.kind == "gang" and count < len(job.open_tasks)):
            continue
        used_cpus[team.name] += count * spec.cpus
        used_gpus[team.name] += count * spec.gpus
        needs.append(make_need(job, count, zones, estimates, finish, sizes))
    return needs, {job.spec.uid: job for _, job, _ in ranked}


def allot(
    decided: Plan, jobs: dict[str, Job], value_bytes: int
) -> dict[tuple[str, int], Share]:
    """The shares as they should become, where the plan gives a part more of a job."""
    result: dict[tuple[str, int], Share] = {}
    taken: dict[str, Ranges] = {}
    for placement in decided.placements:
        job = jobs[placement.uid]
        rest = job.open_tasks - taken.get(placement.uid, Ranges())
        key = (placement.uid, placement.part)
        share = result.get(key)
        held = share or job.shares.get(placement.part)
        tasks = rest.first(min(placement.count, _room_in_record(job, held, value_bytes)))
        if not tasks:
            continue
        taken[placement.uid] = taken.get(placement.uid, Ranges()) | tasks
        if share is None:
            old = job.shares.get(placement.part)
            share = (
                Share({}, Ranges(), 0)
                if old is None
                else Share(dict(old.allotted), old.done, old.version)
            )
            result[key] = share
        zone = placement.zone if tracks_zones(job.spec) else ""
        share.allotted[zone] = share.allotted.get(zone, Ranges()) | tasks
    return result


def _room_in_record(job: Job, share: Share | None, value_bytes: int) -> int:
    """How many more tasks a share may be given so that its record stays within what
    the state service takes, in whatever order they end: each may come to be a range
    of its own, among those that are held or among those that are done."""
    limit = value_bytes - RECORD_BYTES
    ranges = limit // span_bytes(job.spec.tasks)
    return ranges if share is None else ranges - share.count - len(share.done.spans)
