"""Pipelines: deadlines and priorities passed back from the last job to the first.

The remaining critical path of a job leads over the jobs that need it (equation 1 of the
paper, with jobs for tasks): a job has to finish early enough for each of them to finish
in time, and goes as soon as the most urgent of them. Whatever is over weighs nothing.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple


class Urgency(NamedTuple):
    latest_finish: float
    rank: int  # of its priority, the most urgent is 0


def propagate_back(
    start: str,
    own: Callable[[str], Urgency],
    after: Callable[[str], Iterable[str]],
    path_s: Callable[[str], float],
    known: dict[str, Urgency],
) -> Urgency:
    """The urgency of a job, by its own and that of the jobs `after` it, each of which
    takes `path_s`. What is worked out on the way is kept in `known`. Without recursion:
    pipelines may be longer than the stack."""
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
