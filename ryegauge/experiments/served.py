"""Who was served on a played day, by class and by team, guests and low priorities too."""

from collections import defaultdict
from collections.abc import Iterable, Mapping
from typing import Any

from ryegauge.emulator.world import Happened

LEAST = 0.5  # a day on which less of some class or team is served counts as failed


def least_served(
    happened: Iterable[Happened], bodies: Mapping[str, Mapping[str, Any]], until_s: float
) -> tuple[float, str]:
    """The least share of the tasks of a class or a team that were done by the end, and whose
    it is; of jobs submitted by `until_s`, not cancelled and without a mistake."""
    due: dict[str, int] = defaultdict(int)
    done: dict[str, int] = defaultdict(int)
    submitted: dict[str, float] = {}
    cancelled: set[str] = set()
    finished: dict[str, set[str]] = defaultdict(set)
    for event in happened:
        if event.what == "submitted":
            submitted[event.uid] = event.at
        elif event.what == "final" and event.detail == "cancelled":
            cancelled.add(event.uid)
        elif event.what == "ended" and event.detail == "done":
            finished[event.uid].add(event.task)
    for uid, body in bodies.items():
        if uid in cancelled or body.get("broken") or submitted.get(uid, until_s + 1) > until_s:
            continue
        for name in (f"class {body['duty']}", f"team {body['crew']}"):
            due[name] += body["pieces"]
            done[name] += len(finished[uid])
    shares = sorted((round(done[name] / count, 3), name) for name, count in due.items())
    return shares[0] if shares else (1.0, "")
