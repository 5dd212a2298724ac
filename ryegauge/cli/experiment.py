"""Command that runs the named experiments on the emulator, in simulated time."""

import json
import os
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

import click

from ryegauge.cli.common import fail
from ryegauge.config import ConfigError
from ryegauge.experiments import POLICIES

INSTALL_HINT = "the experiments need: pip install 'ryegauge[experiments]'"
DAYS_DIR = Path(__file__).resolve().parent.parent / "experiments" / "days"


def _built_in_days() -> list[str]:
    return sorted(path.stem for path in DAYS_DIR.glob("*.toml"))


@click.command()
@click.argument("name", type=click.Choice(["ageing", "loss", "queues", "recovery", "rounds"]))
@click.option(
    "--day",
    "days",
    multiple=True,
    metavar="DAY",
    help="A built-in day, or a TOML file; may be repeated. Built in: "
    f"{', '.join(_built_in_days())}. Default: all of these.",
)
@click.option(
    "--policy",
    "policies",
    multiple=True,
    type=click.Choice(POLICIES),
    help="ageing: order of jobs to be played; may be repeated. Default: all. "
    "The first is the baseline: strict priority without the jobs marked as backlog.",
)
@click.option(
    "--machines",
    default=600,
    show_default=True,
    type=click.IntRange(10),
    help="recovery, loss: approximate number of machines of the fleet.",
)
@click.option(
    "--records",
    default=2000,
    show_default=True,
    type=click.IntRange(0),
    help="loss: number of archived outcomes of jobs from before the day.",
)
@click.option(
    "--cell",
    "cells",
    multiple=True,
    metavar="LOSS/LIVES/SNAPSHOTS/MEANWHILE",
    help="loss: only this cell, as in 'back 20 s/one/none/nothing'; an empty part "
    "stands for all values; may be repeated. Default: a selection.",
)
@click.option(
    "--trouble",
    "troubles",
    multiple=True,
    help="recovery: only this trouble; may be repeated. Default: all.",
)
@click.option(
    "--against",
    type=click.Path(exists=True, file_okay=False),
    help="recovery, loss: a checkout of another version, measured beside this one.",
)
@click.option("--seed", default=1, show_default=True, help="Random seed of the first run.")
@click.option(
    "--seeds",
    default=1,
    show_default=True,
    type=click.IntRange(1),
    help="Number of runs, each with the next seed.",
)
@click.option(
    "--size",
    default=1.0,
    show_default=True,
    type=click.FloatRange(0, min_open=True),
    help="Factor for the number of jobs of a day.",
)
@click.option(
    "--processes",
    default=os.cpu_count() or 1,
    type=click.IntRange(1),
    help="Days played at once.  [default: one for each core]",
)
@click.option("--json", "as_json", is_flag=True, help="Print JSON instead of tables.")
@click.option(
    "--out",
    type=click.Path(file_okay=False, path_type=Path),
    help="Directory for raw events (Parquet) and plots (PNG).",
)
def experiment(
    name: str,
    days: tuple[str, ...],
    policies: tuple[str, ...],
    seed: int,
    seeds: int,
    size: float,
    processes: int,
    as_json: bool,
    out: Path | None,
    machines: int,
    troubles: tuple[str, ...],
    against: str | None,
    records: int,
    cells: tuple[str, ...],
) -> None:
    """Run experiment NAME in simulated time; the same seed gives the same result.

    ageing: mixed work under each order of jobs, on the days named with --day: delays to the
    first task by priority, inversions, jobs that never started, share of the cost that was useful.

    loss: the state service is rolled back, is emptied or loses records, while controllers live or
    crash, with snapshots or without: seconds until the loss is detected, until polls, starts and
    submissions work again and until recovery is complete; tasks adopted, killed and run again;
    jobs and outcomes lost; the least served class or team. Takes about half a minute for each day
    of 600 machines.

    queues: messages of an emulated broker, with broker, controllers and state service failing
    at random moments, and connections dropping at every step: jobs, runs and answers of each
    message; then a flood on two bindings beside users who submit directly.

    recovery: much of a fleet is lost, hangs or is cut off: seconds until replacements are
    rented and until the capacity is back, machines returned while they ran tasks, delays of urgent
    jobs, tasks killed by their lease. Takes about a minute for each day of 600 machines.

    rounds: time and memory of a leader's planning round with 1,000, 5,000 and 20,000 waiting jobs.

    Exit code 1 if a rule of the protocol was broken; for loss and recovery also if less than half
    of a class or team was served. `served` is the smallest share of tasks served of any class or
    team, `least` the name of that one, `failed` the number of days on which the share was below
    one half.
    """
    try:
        from rich.console import Console
        from rich.progress import Progress

        from ryegauge.experiments import rounds
        from ryegauge.experiments.day import Day, load
        from ryegauge.experiments.report import (
            plot_delays,
            print_tables,
            summary,
            totals,
            write_events,
        )
        from ryegauge.experiments.runs import Outcome, ageing_runs, play_all
    except ImportError as error:
        fail(f"{INSTALL_HINT} ({error})", 2)
    console = Console(width=None if os.isatty(1) else 160)
    if name == "recovery":
        _recovery(
            machines,
            troubles,
            against,
            list(range(seed, seed + seeds)),
            processes,
            as_json,
            console,
        )
        return
    if name == "loss":
        _loss(
            machines,
            records,
            cells,
            against,
            list(range(seed, seed + seeds)),
            processes,
            as_json,
            console,
        )
        return
    if name == "queues":
        _queues(list(range(seed, seed + seeds)), processes, as_json, console)
        return
    days_by_title: dict[str, Day] = {}
    for day_name in days or _built_in_days():
        path = DAYS_DIR / f"{day_name}.toml" if day_name in _built_in_days() else Path(day_name)
        try:
            days_by_title[path.stem] = load(path)
        except ConfigError as error:
            fail(str(error), 2)
    if name == "rounds":
        job_counts = [round(n * size) for n in (1000, 5000, 20_000)]
        rows = rounds.measure(
            next(iter(days_by_title.values())), job_counts, ["settled", "ageing"], 7
        )
        if as_json:
            click.echo(json.dumps(rows, indent=2))
        else:
            print_tables("A leader's round", [rows], console)
        return
    report: dict[str, Any] = {}
    violations = 0
    for title, day in days_by_title.items():
        seeds_of_day = list(range(seed, seed + seeds))
        runs = ageing_runs(day, seeds_of_day, size, policies or POLICIES)
        with Progress(console=Console(stderr=True), transient=True) as progress:
            bar = progress.add_task(f"{title}: {len(runs)} days", total=len(runs))
            report_every = -(-len(runs) // 10)

            def on_result(
                _: Outcome,
                bar: Any = bar,
                progress: Progress = progress,
                title: str = title,
                total: int = len(runs),
                report_every: int = report_every,
            ) -> None:
                progress.advance(bar)
                ended = int(progress.tasks[0].completed)
                if not progress.console.is_terminal and ended % report_every == 0:
                    click.echo(f"{title}: {ended} of {total} days", err=True)

            results = list(play_all(runs, processes, out is not None, on_result))
        tables = [summary(results), totals(results)]
        report[title] = {"title": day.title, "delays": tables[0], "totals": tables[1]}
        violations += sum(len(result.metrics.broken) for result in results)
        for result in results:
            for rule in result.metrics.broken[:3]:
                run = result.run
                click.echo(f"{title}, {run.name}, seed {run.seed}: {rule}", err=True)
        if not as_json:
            print_tables(f"{title}: {day.title}", tables, console)
        if out is not None:
            out.mkdir(parents=True, exist_ok=True)
            write_events(results, out / f"{title}.parquet")
            plot_delays(results, out / f"{title}.png")
    if as_json:
        click.echo(json.dumps(report, indent=2))
    if violations:
        fail(f"rules of the protocol were broken {violations} times", 1)


def _run_parallel(
    calls: Sequence[tuple[Callable[..., Any], tuple[Any, ...]]], processes: int
) -> list[Any]:
    """The results of the calls, in their order; progress is printed as they end."""
    from concurrent.futures import ProcessPoolExecutor, as_completed
    from multiprocessing import get_context

    with ProcessPoolExecutor(processes, mp_context=get_context("spawn")) as pool:
        futures = [pool.submit(call, *arguments) for call, arguments in calls]
        for ended, _ in enumerate(as_completed(futures), 1):
            if ended % -(-len(calls) // 10) == 0:
                click.echo(f"{ended} of {len(calls)} days", err=True)
    return [future.result() for future in futures]


def _recovery(
    machines: int,
    troubles: tuple[str, ...],
    against: str | None,
    seeds: list[int],
    processes: int,
    as_json: bool,
    console: Any,
) -> None:
    from ryegauge.experiments import recovery

    for trouble in troubles:
        if trouble not in recovery.TROUBLES:
            fail(f"no trouble {trouble!r}; expected one of {', '.join(recovery.TROUBLES)}", 2)
    versions = [("this", None), *([("against", against)] if against else [])]
    calls = [
        (recovery.measure, (machines, trouble, seed, version, checkout))
        for trouble in troubles or recovery.TROUBLES
        for version, checkout in versions
        for seed in seeds
    ]
    rows = recovery.summarize(_run_parallel(calls, processes))
    _report_rows(f"Recovery, about {machines} machines", rows, as_json, console)


def _loss(
    machines: int,
    records: int,
    cells: tuple[str, ...],
    against: str | None,
    seeds: list[int],
    processes: int,
    as_json: bool,
    console: Any,
) -> None:
    from itertools import product

    from ryegauge.experiments import loss

    selected = [] if cells else loss.default_cells()
    for cell in cells:
        parts = [part.strip() for part in cell.split("/")]
        dimensions = [
            list(names)
            for names in (
                loss.LOSS_TROUBLES,
                loss.SURVIVOR_TROUBLES,
                loss.SNAPSHOT_INTERVALS_S,
                loss.CONCURRENT_TROUBLES,
            )
        ]
        if len(parts) != len(dimensions):
            fail(f"--cell: {cell!r}: expected LOSS/LIVES/SNAPSHOTS/MEANWHILE", 2)
        for part, names in zip(parts, dimensions, strict=True):
            if part and part not in names:
                fail(f"--cell: no {part!r}; expected one of {', '.join(names)}", 2)
        choices = [[part] if part else names for part, names in zip(parts, dimensions, strict=True)]
        selected += [loss.Cell(*values) for values in product(*choices)]
    versions = [("this", None), *([("against", against)] if against else [])]
    calls = [
        (loss.measure, (machines, records, cell, seed, version, checkout))
        for cell in selected
        for version, checkout in versions
        for seed in seeds
    ]
    rows = loss.summarize(_run_parallel(calls, processes))
    _report_rows(f"Lost state, about {machines} machines", rows, as_json, console)


def _report_rows(title: str, rows: list[dict[str, Any]], as_json: bool, console: Any) -> None:
    """Print the rows; exit code 1 if this version broke a rule or served too little."""
    from ryegauge.experiments.report import print_tables
    from ryegauge.experiments.served import LEAST

    if as_json:
        click.echo(json.dumps(rows, indent=2))
    else:
        print_tables(title, [rows], console)
    this_version = [row for row in rows if row["version"] == "this"]
    if violations := sum(row["broken"] for row in this_version):
        fail(f"rules of the protocol were broken {violations} times", 1)
    if underserved := [row for row in this_version if row["served"] < LEAST]:
        fail(
            f"in {len(underserved)} rows less than half of {underserved[0]['least']} was served", 1
        )


# Numbers of frames after which connections drop. Login and subscription take ten frames, each
# message a few.
DROP_AFTER_FRAMES = range(40)


def _queues(seeds: list[int], processes: int, as_json: bool, console: Any) -> None:
    try:
        from ryegauge.experiments import queues
        from ryegauge.queues.bindings import Delivery
    except ImportError as error:
        fail(f"{INSTALL_HINT} 'ryegauge[queues]' ({error})", 2)
    from ryegauge.experiments.report import print_tables

    deliveries: tuple[Delivery, ...] = ("once", "at_least_once", "at_most_once")
    counts = [
        (queues.count_deliveries, (delivery, trouble, seed, 30))
        for delivery in deliveries
        for trouble, trouble_seeds in (
            ("ends", seeds),
            *((str(n), seeds[:1]) for n in DROP_AFTER_FRAMES),
        )
        for seed in trouble_seeds
    ]
    floods = [
        (queues.measure_overload, (seed, 120.0, with_queues))
        for seed in seeds[:4]
        for with_queues in (False, True)
    ]
    played = _run_parallel([*counts, *floods], processes)
    tables = [
        queues.summarize(played[: len(counts)]),
        [flood._asdict() for flood in played[len(counts) :]],
    ]
    if as_json:
        click.echo(json.dumps(tables, indent=2))
    else:
        print_tables("Queues", tables, console)
    faults = sum(
        row["broken"]
        + row["two_answers"]
        + (row["lost"] + row["unanswered"] if row["delivery"] != "at_most_once" else 0)
        for row in tables[0]
    )
    if faults:
        fail(
            f"{faults} faults: messages lost, answers missing or contradictory, or rules broken", 1
        )
