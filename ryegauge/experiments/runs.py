"""Runs many days in parallel processes, over seeds and policies."""

from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor, as_completed
from multiprocessing import get_context
from typing import NamedTuple

from ryegauge.experiments import BASELINE
from ryegauge.experiments.day import Day
from ryegauge.experiments.delays import DayMetrics, compute_metrics
from ryegauge.experiments.play import DayResult, play


class DayRun(NamedTuple):
    """A day that is to be played under a policy."""

    name: str  # the policy or the baseline, as reports name it
    day: Day
    ordering: str
    seed: int
    size: float
    backlog: bool


class Outcome(NamedTuple):
    """A day that was played, with its metrics."""

    run: DayRun
    metrics: DayMetrics
    day_result: DayResult | None  # kept only on request, as it is large


def _run_day(run: DayRun, keep_events: bool) -> Outcome:
    day_result = play(run.day, run.ordering, run.seed, run.size, run.backlog)
    return Outcome(run, compute_metrics(run.day, day_result), day_result if keep_events else None)


def ageing_runs(day: Day, seeds: list[int], size: float, policies: tuple[str, ...]) -> list[DayRun]:
    """One run per seed and policy; the baseline is strict priority without the backlog."""
    runs: list[DayRun] = []
    for seed in seeds:
        for name in policies:
            runs.append(DayRun(name, day, name.partition(",")[0], seed, size, name != BASELINE))
    return runs


def play_all(
    runs: list[DayRun], processes: int, keep_events: bool, on_result: Callable[[Outcome], None]
) -> Iterator[Outcome]:
    """Yield the results in the order of `runs`; `on_result` is called as each run ends.

    With more than one process, yielding begins after the last run has ended.
    """
    if processes <= 1:
        for run in runs:
            result = _run_day(run, keep_events)
            on_result(result)
            yield result
        return
    with ProcessPoolExecutor(processes, mp_context=get_context("spawn")) as pool:
        futures = {pool.submit(_run_day, run, keep_events): n for n, run in enumerate(runs)}
        results: dict[int, Outcome] = {}
        for future in as_completed(futures):
            results[futures[future]] = future.result()
            on_result(results[futures[future]])
        for n in range(len(runs)):
            yield results[n]
