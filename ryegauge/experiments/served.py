"""Who was served on a played day, by class and by team, guests and low priorities too, and of each
class's largest jobs."""

from collections import defaultdict
from collections.abc import Iterable, Mapping
from typing import Any

from ryegauge.emulator.world import Happened

LEAST = 0.5  # a day on which less of some class or team is served counts as failed
LARGEST = 0.1  # so many of a class's jobs are its largest, one at least
BEGIN_S = 240.0  # the largest, too, begin within so long


def least_served(
    happened: Iterable[Happened], bodies: Mapping[str, Mapping[str, Any]], until_s: float
) -> tuple[float, str]:
    """The least share that was served, and whose it is: tasks of a class, of a team or of a
    class's largest jobs that were done by the end, and largest jobs that began in time; of jobs
    submitted by `until_s`, not cancelled and without a mistake."""
    due: dict[str, int] = defaultdict(int)
    done: dict[str, int] = defaultdict(int)
    submitted: dict[str, float] = {}
    began: dict[str, float] = {}
    cancelled: set[str] = set()
    finished: dict[str, set[str]] = defaultdict(set)
    for event in happened:
        if event.what == "submitted":
            submitted[event.uid] = event.at
        elif event.what == "started":
            began.setdefault(event.uid, event.at)
        elif event.what == "final" and event.detail == "cancelled":
            cancelled.add(event.uid)
        elif event.what == "ended" and event.detail == "done":
            finished[event.uid].add(event.task)
    by_class: dict[str, list[str]] = defaultdict(list)
    for uid, body in bodies.items():
        if uid in cancelled or body.get("broken") or submitted.get(uid, until_s + 1) > until_s:
            continue
        by_class[body["duty"]].append(uid)
        for name in (f"class {body['duty']}", f"team {body['crew']}"):
            due[name] += body["pieces"]
            done[name] += len(finished[uid])
    for job_class, uids in by_class.items():
        uids.sort(key=lambda uid: (-bodies[uid]["pieces"], uid))
        name = f"largest of {job_class}"
        for uid in uids[: max(1, round(LARGEST * len(uids)))]:
            due[name] += bodies[uid]["pieces"]
            done[name] += len(finished[uid])
            due[f"{name} begun"] += 1
            done[f"{name} begun"] += began.get(uid, float("inf")) <= submitted[uid] + BEGIN_S
    shares = sorted((round(done[name] / count, 3), name) for name, count in due.items())
    return shares[0] if shares else (1.0, "")
