"""Pipelines: propagates deadlines and priorities from dependent jobs back to their dependencies.

The remaining critical path of a job includes the jobs that depend on it (equation 1 of the ECPTR
paper, with jobs in place of tasks): a job has to finish early enough for each of them to finish in
time, and is as urgent as the most urgent of them. Finished and cancelled jobs do not count.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple


class Urgency(NamedTuple):
    """How urgent a job is, by itself or together with its dependents."""

    latest_finish: float  # Unix time in seconds, infinite without any deadline
    rank: int  # of the priority, 0 is the most urgent


def propagate_back(
    start: str,
    own_urgency: Callable[[str], Urgency],
    dependents_of: Callable[[str], Iterable[str]],
    path_s: Callable[[str], float],
    computed: dict[str, Urgency],
) -> Urgency:
    """The urgency of the job `start`, from its own and that of its dependents, each of which takes
    `path_s` seconds. All urgencies computed on the way are stored in `computed`.

    It does not recurse, since pipelines may be longer than the stack allows."""
    stack = [start]
    while stack:
        uid = stack[-1]
        if uid in computed:
            stack.pop()
            continue
        dependents = list(dependents_of(uid))
        uncomputed = [dependent for dependent in dependents if dependent not in computed]
        if uncomputed:
            stack += uncomputed
            continue
        finish, rank = own_urgency(uid)
        for dependent in dependents:
            dependent_urgency = computed[dependent]
            finish = min(finish, dependent_urgency.latest_finish - path_s(dependent))
            rank = min(rank, dependent_urgency.rank)
        computed[uid] = Urgency(finish, rank)
        stack.pop()
    return computed[start]
