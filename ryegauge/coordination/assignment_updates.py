"""What is to be written of a part's shares. Pure functions of the book and of the tasks
that are over or handed back."""

from collections.abc import Collection, Iterable
from typing import NamedTuple

from ryegauge.bookkeeping.ranges import Ranges
from ryegauge.bookkeeping.state_replica import Assignment, Job, StateReplica, max_range_bytes
from ryegauge.config import Settings
from ryegauge.coordination.owner_records import Task
from ryegauge.protocol.jobs import MAX_TASKS, PRIORITIES

# From this share of its limit on a team's work waits for what it holds by the book.
FULL_SHARE = 0.8


class AssignmentUpdate(NamedTuple):
    """What is to be written of a job's share."""

    waited_for: bool  # somebody waits for it
    low: bool  # nobody but users of the lowest priority
    opens: bool  # perhaps the last that jobs after this one wait for
    tasks: int  # over or handed back, for one change
    uid: str
    assignment: Assignment
    # Done tasks of the book's share that have to stand in records of their own first.
    pages: list[Ranges]


def pending(
    replica: StateReplica,
    settings: Settings,
    shard: int,
    over: Iterable[Task],
    bulky: Collection[str],
    wall: float | None = None,
) -> list[AssignmentUpdate]:
    """The shares as they should be, where they differ from the book: first those
    that give tasks back or are all over, since their users, the leader or the jobs
    after them wait, the lowest priority last; then those that shrank. With `wall` their
    ends are dated."""
    pending_removal: dict[str, list[Task]] = {uid: [] for uid in bulky}
    for task in over:
        pending_removal.setdefault(task.key[0], []).append(task)
    full = _full_teams(replica, settings)
    result: list[AssignmentUpdate] = []
    for uid, tasks in pending_removal.items():
        job: Job | None = replica.jobs.get(uid)
        if job is None or (assignment := job.assignments.get(shard)) is None:
            continue
        out = Ranges.of(t.key[1] for t in tasks)
        done = Ranges.of(t.key[1] for t in tasks if t.done)
        assigned = {zone: r - out for zone, r in assignment.assigned.items()}
        all_done, pages = assignment.done | done, []
        if uid in bulky:
            pages = _pages(assignment.done - job.overflow_tasks, settings)
            all_done = all_done - job.overflow_tasks
        after = Assignment(assigned, all_done, assignment.version)
        if wall is not None and done and not after.count:
            after.ended_at = round(wall, 3)
        waited_for = not after.count or len(done) < len(out) or job.spec.team in full
        opens = uid in replica.dependents and not after.count
        low = job.spec.priority == PRIORITIES[-1] and uid not in replica.dependents
        result.append(AssignmentUpdate(waited_for, low, opens, len(out), uid, after, pages))
    # Of the lowest priority what lets go of most tasks: an array of thousands got its next
    # hundred only after the single tasks of hundreds of jobs had been written.
    result.sort(
        key=lambda entry: (
            not entry.waited_for,
            entry.low,
            not entry.opens,
            -entry.tasks if entry.low else 0,
        )
    )
    return result


def _full_teams(replica: StateReplica, settings: Settings) -> set[str]:
    """Teams close to their limit: what they hold by the book keeps their jobs waiting."""
    used: dict[str, float] = {}
    for job in replica.live.values():
        cpus = job.assigned_count * job.spec.cpus
        used[job.spec.team] = used.get(job.spec.team, 0.0) + cpus
    return {
        team.name
        for team in settings.settings.teams
        if used.get(team.name, 0.0) > FULL_SHARE * team.cpu_limit
    }


def is_bulky(job: Job, assignment: Assignment, settings: Settings) -> bool:
    """Whether the done tasks of a share take so much of its record that the leader
    can hardly add to it: they are moved to records of their own."""
    size = len(assignment.done.spans) * max_range_bytes(job.spec.tasks)
    return 2 * size > settings.state_limits.value_bytes


def _pages(tasks: Ranges, settings: Settings) -> list[Ranges]:
    """Done tasks cut into values within the limit."""
    if not tasks:
        return []
    each = settings.state_limits.value_bytes // (2 * max_range_bytes(MAX_TASKS))
    return [Ranges(tasks.spans[first : first + each]) for first in range(0, len(tasks.spans), each)]
