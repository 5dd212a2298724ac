"""Many days at once, over seeds and policies, in processes of their own."""

from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor, as_completed
from multiprocessing import get_context
from typing import NamedTuple

from ryegauge.experiments import BASELINE
from ryegauge.experiments.day import Day
from ryegauge.experiments.delays import DayFigures, figures
from ryegauge.experiments.play import Played, play


class Run(NamedTuple):
    name: str  # what the row is called: the policy, or the baseline
    day: Day
    ordering: str
    seed: int
    size: float
    backlog: bool


class Outcome(NamedTuple):
    run: Run
    figures: DayFigures
    played: Played | None  # only if asked for: it is large


def _one(run: Run, keep: bool) -> Outcome:
    played = play(run.day, run.ordering, run.seed, run.size, run.backlog)
    return Outcome(run, figures(run.day, played), played if keep else None)


def ageing_runs(day: Day, seeds: list[int], size: float, policies: tuple[str, ...]) -> list[Run]:
    """Strict priority with nothing lying around, and each order of jobs on the whole day."""
    result: list[Run] = []
    for seed in seeds:
        for name in policies:
            result.append(Run(name, day, name.partition(",")[0], seed, size, name != BASELINE))
    return result


def play_all(
    runs: list[Run], processes: int, keep: bool, told: Callable[[Outcome], None]
) -> Iterator[Outcome]:
    """In the order of `runs`, whichever ends first; `told` of each as it ends."""
    if processes <= 1:
        for run in runs:
            outcome = _one(run, keep)
            told(outcome)
            yield outcome
        return
    with ProcessPoolExecutor(processes, mp_context=get_context("spawn")) as pool:
        futures = {pool.submit(_one, run, keep): n for n, run in enumerate(runs)}
        ended: dict[int, Outcome] = {}
        for future in as_completed(futures):
            ended[futures[future]] = future.result()
            told(ended[futures[future]])
        for n in range(len(runs)):
            yield ended[n]
