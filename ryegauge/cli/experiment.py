"""Named experiments on the emulator, in simulated time."""

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
DAYS = Path(__file__).resolve().parent.parent / "experiments" / "days"


def _built_in_days() -> list[str]:
    return sorted(path.stem for path in DAYS.glob("*.toml"))


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
    help="Order of jobs to be played; may be repeated. Default: all. "
    "The first is the baseline: only what is not marked as backlog.",
)
@click.option(
    "--machines",
    default=600,
    show_default=True,
    type=click.IntRange(10),
    help="recovery, loss: about how many the fleet has.",
)
@click.option(
    "--records",
    default=2000,
    show_default=True,
    type=click.IntRange(0),
    help="loss: outcomes of jobs that left the book before the day.",
)
@click.option(
    "--cell",
    "cells",
    multiple=True,
    metavar="LOSS/LIVES/SNAPSHOTS/MEANWHILE",
    help="loss: only this cell, as in 'back 20 s/one/none/nothing'; a part left empty "
    "stands for all; may be repeated. Default: some of each.",
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
    help="recovery, loss: a checkout of another version, played beside this one.",
)
@click.option("--seed", default=1, show_default=True, help="Luck of the first run.")
@click.option(
    "--seeds",
    default=1,
    show_default=True,
    type=click.IntRange(1),
    help="How many runs, each with the next seed.",
)
@click.option(
    "--size",
    default=1.0,
    show_default=True,
    type=click.FloatRange(0, min_open=True),
    help="Jobs of a day, times this.",
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
    """Play experiment NAME in simulated time; the same seed gives the same result.

    ageing: mixed work under each order of jobs, on the days named with --day: delays to the
    first task by priority, inversions, jobs that never started, useful money.

    loss: the state service goes back, is emptied or loses records, while controllers live or
    end, with snapshots or without: seconds until that is noticed, until polls, starts and
    submissions go on and until all stands again; tasks adopted, killed and run again; jobs and
    outcomes lost; the least served class or team. Half a minute for each day of 600 machines.

    queues: messages of a stand-in broker, with broker, controllers and state service ending
    at random moments, and connections dropping at every step: jobs, runs and answers of each
    message; then a flood on two bindings beside users who submit directly.

    recovery: much of a fleet is lost, hangs or is cut off: seconds until replacements are
    asked for and until the room is back, machines returned that ran tasks, urgent delays,
    tasks killed by their lease. Long at 600 machines and more: a minute for each day.

    rounds: time and memory of a leader's round with 1,000, 5,000 and 20,000 waiting jobs.

    Exit code 1 if a rule of the protocol was broken; for loss and recovery also if less than half
    of a class or team was served. `served` is the least share of the tasks of one, `least` whose,
    `failed` the days on which it was under one half.
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
        from ryegauge.experiments.runs import RunResult, ageing_runs, run_all
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
    named: dict[str, Day] = {}
    for day_name in days or _built_in_days():
        path = DAYS / f"{day_name}.toml" if day_name in _built_in_days() else Path(day_name)
        try:
            named[path.stem] = load(path)
        except ConfigError as error:
            fail(str(error), 2)
    if name == "rounds":
        sizes = [round(n * size) for n in (1000, 5000, 20_000)]
        rows = rounds.measure(next(iter(named.values())), sizes, ["settled", "ageing"], 7)
        if as_json:
            click.echo(json.dumps(rows, indent=2))
        else:
            print_tables("A leader's round", [rows], console)
        return
    result: dict[str, Any] = {}
    broken = 0
    for title, day in named.items():
        seeds_of_day = list(range(seed, seed + seeds))
        runs = ageing_runs(day, seeds_of_day, size, policies or POLICIES)
        with Progress(console=Console(stderr=True), transient=True) as progress:
            bar = progress.add_task(f"{title}: {len(runs)} days", total=len(runs))
            step = -(-len(runs) // 10)

            def on_result(
                _: RunResult,
                bar: Any = bar,
                progress: Progress = progress,
                title: str = title,
                total: int = len(runs),
                step: int = step,
            ) -> None:
                progress.advance(bar)
                ended = int(progress.tasks[0].completed)
                if not progress.console.is_terminal and ended % step == 0:
                    click.echo(f"{title}: {ended} of {total} days", err=True)

            outcomes = list(run_all(runs, processes, out is not None, on_result))
        tables = [summary(outcomes), totals(outcomes)]
        result[title] = {"title": day.title, "delays": tables[0], "totals": tables[1]}
        broken += sum(len(o.metrics.broken) for o in outcomes)
        for outcome in outcomes:
            for rule in outcome.metrics.broken[:3]:
                run = outcome.run
                click.echo(f"{title}, {run.name}, seed {run.seed}: {rule}", err=True)
        if not as_json:
            print_tables(f"{title}: {day.title}", tables, console)
        if out is not None:
            out.mkdir(parents=True, exist_ok=True)
            write_events(outcomes, out / f"{title}.parquet")
            plot_delays(outcomes, out / f"{title}.png")
    if as_json:
        click.echo(json.dumps(result, indent=2))
    if broken:
        fail(f"{broken} times a rule was broken", 1)


def _run_parallel(
    calls: Sequence[tuple[Callable[..., Any], tuple[Any, ...]]], processes: int
) -> list[Any]:
    """What each call comes to, in their order, and how far it has come."""
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

    chosen = [] if cells else loss.default_cells()
    for cell in cells:
        parts = [part.strip() for part in cell.split("/")]
        known = [
            list(n)
            for n in (
                loss.LOSS_TROUBLES,
                loss.SURVIVOR_TROUBLES,
                loss.SNAPSHOT_INTERVALS_S,
                loss.CONCURRENT_TROUBLES,
            )
        ]
        if len(parts) != len(known):
            fail(f"--cell: {cell!r}: expected LOSS/LIVES/SNAPSHOTS/MEANWHILE", 2)
        for part, names in zip(parts, known, strict=True):
            if part and part not in names:
                fail(f"--cell: no {part!r}; expected one of {', '.join(names)}", 2)
        every = [[part] if part else names for part, names in zip(parts, known, strict=True)]
        chosen += [loss.Cell(*some) for some in product(*every)]
    versions = [("this", None), *([("against", against)] if against else [])]
    calls = [
        (loss.measure, (machines, records, cell, seed, version, checkout))
        for cell in chosen
        for version, checkout in versions
        for seed in seeds
    ]
    rows = loss.summarize(_run_parallel(calls, processes))
    _report_rows(f"Lost state, about {machines} machines", rows, as_json, console)


def _report_rows(title: str, rows: list[dict[str, Any]], as_json: bool, console: Any) -> None:
    """Ends with exit code 1 if a rule was broken by this version, or too little was served."""
    from ryegauge.experiments.report import print_tables
    from ryegauge.experiments.served import MIN_SERVED_SHARE

    if as_json:
        click.echo(json.dumps(rows, indent=2))
    else:
        print_tables(title, [rows], console)
    mine = [row for row in rows if row["version"] == "this"]
    if broken := sum(row["broken"] for row in mine):
        fail(f"{broken} times a rule was broken", 1)
    if poor := [row for row in mine if row["served"] < MIN_SERVED_SHARE]:
        fail(f"in {len(poor)} rows less than half of {poor[0]['least']} was served", 1)


# Frames after which connections drop: login and subscription take ten, each message a few.
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
        (queues.count, (delivery, trouble, seed, 30))
        for delivery in deliveries
        for trouble, some in (("ends", seeds), *((str(n), seeds[:1]) for n in DROP_AFTER_FRAMES))
        for seed in some
    ]
    floods = [
        (queues.overload, (seed, 120.0, with_queues))
        for seed in seeds[:4]
        for with_queues in (False, True)
    ]
    played = _run_parallel([*counts, *floods], processes)
    tables = [
        queues.summarize(played[: len(counts)]),
        [one._asdict() for one in played[len(counts) :]],
    ]
    if as_json:
        click.echo(json.dumps(tables, indent=2))
    else:
        print_tables("Queues", tables, console)
    wrong = sum(
        row["broken"]
        + row["two_answers"]
        + (row["lost"] + row["unanswered"] if row["delivery"] != "at_most_once" else 0)
        for row in tables[0]
    )
    if wrong:
        fail(f"{wrong} differences", 1)
