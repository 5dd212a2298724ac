"""Pipelines: propagates deadlines and priorities from dependent jobs back to their dependencies.

The remaining critical path of a job includes the jobs that depend on it (equation 1 of the ECPTR
paper, with jobs in place of tasks): a job has to finish early enough for each of them to finish in
time, and is as urgent as the most urgent of them. Jobs that are over do not count.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple


class Urgency(NamedTuple):
    """How urgent a job is, by itself or together with its dependents."""

    latest_finish: float  # time of day in seconds, infinite without any deadline
    rank: int  # of the priority, 0 is the most urgent


def propagate_back(
    start: str,
    own: Callable[[str], Urgency],
    after: Callable[[str], Iterable[str]],
    path_s: Callable[[str], float],
    known: dict[str, Urgency],
) -> Urgency:
    """The urgency of the job `start`, from its `own` and that of the jobs `after` it, each of which
    takes `path_s` seconds. All urgencies computed on the way are stored in `known`.

    It does not recurse, since pipelines may be longer than the stack allows."""
    stack = [start]
    while stack:
        uid = stack[-1]
        if uid in known:
            stack.pop()
            continue
        following = list(after(uid))
        todo = [name for name in following if name not in known]
        if todo:
            stack += todo
            continue
        finish, rank = own(uid)
        for name in following:
            later = known[name]
            finish = min(finish, later.latest_finish - path_s(name))
            rank = min(rank, later.rank)
        known[uid] = Urgency(finish, rank)
        stack.pop()
    return known[start]
