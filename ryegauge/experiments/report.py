"""Reports of played days: tables, raw events as Parquet and plots as PNG.

The keys of the rows are the columns of the tables and the keys of the JSON output.
"""

from collections.abc import Iterable
from pathlib import Path
from typing import Any

from rich.console import Console
from rich.table import Table

from ryegauge.experiments.runs import Outcome
from ryegauge.experiments.served import LEAST
from ryegauge.protocol.jobs import PRIORITIES


def summary(results: list[Outcome]) -> list[dict[str, Any]]:
    """One row per policy and priority over all seeds.

    `median_s` is the median of the seeds' medians; `p99_s` and `worst_s` are of the worst seed.
    """
    names = list(dict.fromkeys(result.run.name for result in results))
    rows: list[dict[str, Any]] = []
    for name in names:
        metrics = [result.metrics for result in results if result.run.name == name]
        for priority in PRIORITIES:
            ranks = [m.ranks[priority] for m in metrics if priority in m.ranks]
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


def totals(results: list[Outcome]) -> list[dict[str, Any]]:
    """One row per policy over all seeds and priorities.

    `useful` and `changes` are means, `served` is the minimum and `failed` the number of days below
    LEAST; all else are sums.
    """
    names = list(dict.fromkeys(result.run.name for result in results))
    rows: list[dict[str, Any]] = []
    for name in names:
        metrics = [result.metrics for result in results if result.run.name == name]
        rows.append(
            {
                "policy": name,
                "days": len(metrics),
                "inversions": sum(m.inversions for m in metrics),
                "aged_starts": sum(m.aged_starts for m in metrics),
                "lost": sum(m.lost for m in metrics),
                "useful": round(sum(m.useful for m in metrics) / len(metrics), 3),
                "changes": round(sum(m.changes for m in metrics) / len(metrics)),
                "broken": sum(len(m.broken) for m in metrics),
                "served": min(m.served for m in metrics),
                "least": min((m.served, m.least) for m in metrics)[1],
                "failed": sum(m.served < LEAST for m in metrics),
            }
        )
    return rows


def print_tables(title: str, tables: Iterable[list[dict[str, Any]]], console: Console) -> None:
    """Print the title and each table that has rows; columns are the keys of its first row."""
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


def write_events(results: list[Outcome], path: Path) -> None:
    """Write a Parquet file with a row per event, of the runs whose events were kept.

    `at` is in seconds since the start of the day.
    """
    import pyarrow as pa
    import pyarrow.parquet as pq

    columns: dict[str, list[Any]] = {
        name: [] for name in ("run", "seed", "at", "what", "uid", "task", "machine", "detail")
    }
    for result in results:
        for event in result.day_result.recorded_events if result.day_result else ():
            columns["run"].append(result.run.name)
            columns["seed"].append(result.run.seed)
            for name, value in event._asdict().items():
                columns[name].append(value)
    pq.write_table(pa.table(columns), path, compression="zstd")


def plot_delays(results: list[Outcome], path: Path) -> None:
    """Plot the worst delay to the first task as PNG: an axis per priority, a dot per day."""
    import matplotlib

    matplotlib.use("Agg")
    import matplotlib.pyplot as plt

    names = list(dict.fromkeys(result.run.name for result in results))
    priorities = [p for p in PRIORITIES if any(p in result.metrics.ranks for result in results)]
    figure, axes = plt.subplots(1, len(priorities), figsize=(4.5 * len(priorities), 4.5))
    for axis, priority in zip(axes if len(priorities) > 1 else [axes], priorities, strict=True):
        for x, name in enumerate(names):
            worst = [
                result.metrics.ranks[priority].worst_s
                for result in results
                if result.run.name == name and priority in result.metrics.ranks
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
