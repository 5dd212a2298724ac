"""Share of tasks that were served on a played day, by class, by team and for largest jobs.

Teams without guaranteed CPUs and low priorities count like all others.
"""

from collections import defaultdict
from collections.abc import Iterable, Mapping
from typing import Any

from ryegauge.emulator.world import RecordedEvent

LEAST = 0.5  # a day on which less of any class or team is served counts as failed
LARGEST_JOBS_SHARE = 0.1  # share of a class's jobs that are its largest; at least one job
MAX_START_DELAY_S = 240.0  # from submission until the first task of a largest job has to start


def least_served(
    recorded_events: Iterable[RecordedEvent],
    bodies: Mapping[str, Mapping[str, Any]],
    until_s: float,
) -> tuple[float, str]:
    """The smallest share that was served, and the name of the group whose share it is.

    Groups are classes, teams and the largest jobs of a class, with the share of their tasks that
    were done by the end; and again the largest jobs of a class, with the share of them that
    started in time. Only jobs that were submitted by `until_s`, not cancelled and not mistaken
    count. Without any, the result is (1.0, "").
    """
    expected: dict[str, int] = defaultdict(int)
    served: dict[str, int] = defaultdict(int)
    submitted_at: dict[str, float] = {}
    first_start_at: dict[str, float] = {}
    cancelled: set[str] = set()
    done_tasks: dict[str, set[str]] = defaultdict(set)
    for event in recorded_events:
        if event.what == "submitted":
            submitted_at[event.uid] = event.at
        elif event.what == "started":
            first_start_at.setdefault(event.uid, event.at)
        elif event.what == "final" and event.detail == "cancelled":
            cancelled.add(event.uid)
        elif event.what == "ended" and event.detail == "done":
            done_tasks[event.uid].add(event.task)
    by_class: dict[str, list[str]] = defaultdict(list)
    for uid, body in bodies.items():
        if uid in cancelled or body.get("broken") or submitted_at.get(uid, until_s + 1) > until_s:
            continue
        by_class[body["duty"]].append(uid)
        for name in (f"class {body['duty']}", f"team {body['crew']}"):
            expected[name] += body["pieces"]
            served[name] += len(done_tasks[uid])
    for job_class, uids in by_class.items():
        uids.sort(key=lambda uid: (-bodies[uid]["pieces"], uid))
        name = f"largest of {job_class}"
        for uid in uids[: max(1, round(LARGEST_JOBS_SHARE * len(uids)))]:
            expected[name] += bodies[uid]["pieces"]
            served[name] += len(done_tasks[uid])
            expected[f"{name} begun"] += 1
            served[f"{name} begun"] += (
                first_start_at.get(uid, float("inf")) <= submitted_at[uid] + MAX_START_DELAY_S
            )
    shares = sorted((round(served[name] / count, 3), name) for name, count in expected.items())
    return shares[0] if shares else (1.0, "")
