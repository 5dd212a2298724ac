"""Tables for people and machines, raw events as Parquet, plots as PNG."""

from collections.abc import Iterable
from pathlib import Path
from typing import Any

from rich.console import Console
from rich.table import Table

from ryegauge.experiments.runs import Outcome
from ryegauge.experiments.served import LEAST
from ryegauge.protocol.jobs import PRIORITIES


def summary(outcomes: list[Outcome]) -> list[dict[str, Any]]:
    """Per policy and priority, over all seeds: medians and tails of the worst seed."""
    names = list(dict.fromkeys(o.run.name for o in outcomes))
    rows: list[dict[str, Any]] = []
    for name in names:
        some = [o.figures for o in outcomes if o.run.name == name]
        for priority in PRIORITIES:
            ranks = [f.ranks[priority] for f in some if priority in f.ranks]
            if not ranks:
                continue
            medians = sorted(r.median_s for r in ranks)
            rows.append(
                {
                    "policy": name,
                    "priority": priority,
                    "jobs": sum(r.jobs for r in ranks),
                    "median_s": round(medians[len(medians) // 2], 2),
                    "p99_s": round(max(r.p99_s for r in ranks), 2),
                    "worst_s": round(max(r.worst_s for r in ranks), 2),
                    "unserved": sum(r.unserved for r in ranks),
                    "inversions": sum(r.inversions for r in ranks),
                }
            )
    return rows


def totals(outcomes: list[Outcome]) -> list[dict[str, Any]]:
    names = list(dict.fromkeys(o.run.name for o in outcomes))
    rows: list[dict[str, Any]] = []
    for name in names:
        some = [o.figures for o in outcomes if o.run.name == name]
        rows.append(
            {
                "policy": name,
                "days": len(some),
                "inversions": sum(f.inversions for f in some),
                "aged_starts": sum(f.aged_starts for f in some),
                "lost": sum(f.lost for f in some),
                "useful": round(sum(f.useful for f in some) / len(some), 3),
                "changes": round(sum(f.changes for f in some) / len(some)),
                "broken": sum(len(f.broken) for f in some),
                "served": min(f.served for f in some),
                "least": min((f.served, f.least) for f in some)[1],
                "failed": sum(f.served < LEAST for f in some),
            }
        )
    return rows


def print_tables(title: str, tables: Iterable[list[dict[str, Any]]], console: Console) -> None:
    console.print(f"{title} (simulated machines)")
    for rows in tables:
        if not rows:
            continue
        table = Table()
        for key in rows[0]:
            table.add_column(key, justify="left" if isinstance(rows[0][key], str) else "right")
        for row in rows:
            table.add_row(*(str(value) for value in row.values()))
        console.print(table)


def write_events(outcomes: list[Outcome], path: Path) -> None:
    """One row per event: run, seed, seconds, what, job, task, machine, detail."""
    import pyarrow as pa
    import pyarrow.parquet as pq

    columns: dict[str, list[Any]] = {
        name: [] for name in ("run", "seed", "at", "what", "uid", "task", "machine", "detail")
    }
    for outcome in outcomes:
        for event in outcome.played.happened if outcome.played else ():
            columns["run"].append(outcome.run.name)
            columns["seed"].append(outcome.run.seed)
            for name, value in event._asdict().items():
                columns[name].append(value)
    pq.write_table(pa.table(columns), path, compression="zstd")


def plot_delays(outcomes: list[Outcome], path: Path) -> None:
    """Worst delay to the first task, by priority, a dot for each day."""
    import matplotlib

    matplotlib.use("Agg")
    import matplotlib.pyplot as plt

    names = list(dict.fromkeys(o.run.name for o in outcomes))
    priorities = [p for p in PRIORITIES if any(p in o.figures.ranks for o in outcomes)]
    figure, axes = plt.subplots(1, len(priorities), figsize=(4.5 * len(priorities), 4.5))
    for axis, priority in zip(axes if len(priorities) > 1 else [axes], priorities, strict=True):
        for x, name in enumerate(names):
            worst = [
                o.figures.ranks[priority].worst_s
                for o in outcomes
                if o.run.name == name and priority in o.figures.ranks
            ]
            axis.scatter([x] * len(worst), worst, alpha=0.6)
        axis.set_title(priority)
        axis.set_yscale("symlog")
        axis.set_xticks(range(len(names)), names, rotation=30, ha="right")
        axis.set_ylabel("worst delay to the first task, s")
    figure.suptitle("simulated machines")
    figure.tight_layout()
    figure.savefig(path, dpi=100)
    plt.close(figure)
