"""Which assignment records of a shard are to be written. Pure functions of the state replica and
of the tasks that have ended or are returned to the leader."""

from collections.abc import Collection, Iterable
from typing import NamedTuple

from ryegauge.bookkeeping.ranges import Ranges
from ryegauge.bookkeeping.state_replica import Assignment, Job, StateReplica, max_range_bytes
from ryegauge.config import Settings
from ryegauge.coordination.owner_records import Task
from ryegauge.protocol.jobs import MAX_TASKS, PRIORITIES

# Share of its limit above which a team's waiting work is taken to wait for tasks that have
# ended and that the replica still counts against the team.
NEAR_LIMIT_SHARE = 0.8


class AssignmentUpdate(NamedTuple):
    """A write that brings a job's assignment to a shard up to date."""

    awaited: bool  # a user, the leader or another job waits for it
    lowest_priority: bool  # the job has the lowest priority, and no other job depends on it
    unblocks_jobs: bool  # may be the last write that jobs depending on this one wait for
    tasks: int  # ended or returned, recorded by this one write
    uid: str
    assignment: Assignment
    # Done tasks of the assignment that have to be copied to overflow pages first.
    pages: list[Ranges]


def pending_updates(
    replica: StateReplica,
    settings: Settings,
    shard: int,
    ended: Iterable[Task],
    oversized: Collection[str],
    wall: float | None = None,
) -> list[AssignmentUpdate]:
    """The writes that bring the shard's assignments up to date, most urgent first: those that
    return tasks or are finished, since users, the leader or dependent jobs wait for them, with
    the lowest priority last; then those that only shrank. `ended`: tasks that have ended or are
    returned to the leader; `oversized`: jobs whose assignment record is too large. With `wall`, the
    wall-clock time in seconds, finished assignments get their end time."""
    tasks_by_job: dict[str, list[Task]] = {uid: [] for uid in oversized}
    for task in ended:
        tasks_by_job.setdefault(task.key[0], []).append(task)
    near_limit = _teams_near_limit(replica, settings)
    result: list[AssignmentUpdate] = []
    for uid, tasks in tasks_by_job.items():
        job: Job | None = replica.jobs.get(uid)
        if job is None or (assignment := job.assignments.get(shard)) is None:
            continue
        removed = Ranges.of(t.key[1] for t in tasks)
        done = Ranges.of(t.key[1] for t in tasks if t.done)
        assigned = {zone: r - removed for zone, r in assignment.assigned.items()}
        all_done, pages = assignment.done | done, []
        if uid in oversized:
            pages = _split_pages(assignment.done - job.overflow_tasks, settings)
            all_done = all_done - job.overflow_tasks
        updated = Assignment(assigned, all_done, assignment.version)
        if wall is not None and done and not updated.count:
            updated.ended_at = round(wall, 3)
        awaited = not updated.count or len(done) < len(removed) or job.spec.team in near_limit
        unblocks_jobs = uid in replica.dependents and not updated.count
        lowest_priority = job.spec.priority == PRIORITIES[-1] and uid not in replica.dependents
        result.append(
            AssignmentUpdate(
                awaited, lowest_priority, unblocks_jobs, len(removed), uid, updated, pages
            )
        )
    # In the lowest priority, the writes that release most tasks come first: otherwise an array
    # of thousands gets its next hundred tasks only after the single tasks of hundreds of jobs
    # have been written.
    result.sort(
        key=lambda entry: (
            not entry.awaited,
            entry.lowest_priority,
            not entry.unblocks_jobs,
            -entry.tasks if entry.lowest_priority else 0,
        )
    )
    return result


def _teams_near_limit(replica: StateReplica, settings: Settings) -> set[str]:
    """Names of the teams close to their limit: tasks that the replica still counts against them
    keep their other jobs waiting."""
    used: dict[str, float] = {}
    for job in replica.live.values():
        cpus = job.assigned_count * job.spec.cpus
        used[job.spec.team] = used.get(job.spec.team, 0.0) + cpus
    return {
        team.name
        for team in settings.settings.teams
        if used.get(team.name, 0.0) > NEAR_LIMIT_SHARE * team.cpu_limit
    }


def is_oversized(job: Job, assignment: Assignment, settings: Settings) -> bool:
    """Whether the done tasks of an assignment fill so much of its record that the leader can
    hardly add to it. They are then moved to overflow pages."""
    size = len(assignment.done.spans) * max_range_bytes(job.spec.tasks)
    return 2 * size > settings.state_limits.value_bytes


def _split_pages(tasks: Ranges, settings: Settings) -> list[Ranges]:
    """Done tasks, divided into pages within the size limit of a value."""
    if not tasks:
        return []
    spans_per_page = settings.state_limits.value_bytes // (2 * max_range_bytes(MAX_TASKS))
    return [
        Ranges(tasks.spans[first : first + spans_per_page])
        for first in range(0, len(tasks.spans), spans_per_page)
    ]
