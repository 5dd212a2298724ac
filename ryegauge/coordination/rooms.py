"""The free capacity of machines, as the leader knows it, and the demands to keep some of it for.
Pure functions."""

import math
from collections.abc import Mapping

from ryegauge.bookkeeping.jobbook import Job, JobBook
from ryegauge.coordination.fleet import Fleet
from ryegauge.coordination.needs import make_need, task_sizes, zone_limits
from ryegauge.coordination.urgency import Urgencies
from ryegauge.coordination.views import PartState, Shown
from ryegauge.detection.verdicts import Verdict, worth_replacing
from ryegauge.scheduling.estimates import Estimates
from ryegauge.scheduling.planner import Need, Room, place, standby_rule, whole_room


def running_rooms(
    book: JobBook, fleet: Fleet, views: dict[int, PartState], estimates: Estimates, now: float
) -> list[Room]:
    """The free capacity of the machines that take tasks, by their owners' views, and of the
    machines of parts whose owner cannot be heard."""
    overdue_s: dict[tuple[str, float], float] = {}
    rooms: list[Room] = []
    for part, state in views.items():
        for name, shown in state.machines.items():
            m = shown.view
            type_ = fleet.types.get(m.type)
            if type_ is None or not m.open or name in fleet.retire or name in fleet.gone:
                continue
            if not shown.known:
                # The book may have lagged behind the view: look the jobs up again.
                shown = state.machines[name] = Shown(m, shown.at, book)
                if not shown.known:
                    continue  # runs tasks of an unknown job, so its free capacity is unknown
            room = Room(
                name,
                type_,
                m.zone,
                m.spot,
                part,
                type_.cpus - shown.cpus,
                type_.memory_gb - shown.memory_gb,
                type_.gpus - shown.gpus,
            )
            room.images = set(m.images)
            room.used = bool(m.tasks)
            for job_class, estimate_s, until, n, cpus, memory_gb, gpus in shown.busy:
                kind = (job_class, estimate_s)
                if (least_s := overdue_s.get(kind)) is None:
                    least_s = overdue_s[kind] = estimates.overdue_s(*kind)
                room.busy.append((max(least_s, until - now), n, cpus, memory_gb, gpus))
            rooms.append(room)
    return rooms + _out_of_sight(book, fleet, views)


def _out_of_sight(book: JobBook, fleet: Fleet, views: dict[int, PartState]) -> list[Room]:
    """Machines of parts whose owner is alive but cannot be heard, as when controllers refuse each
    other's connections. Each counts as unused if the cloud lists it as running; the tasks
    that the book shows for its part are subtracted as in transit. An owner that finds no
    capacity for an assigned task hands it back."""
    rooms: list[Room] = []
    for r in fleet.machines.values():
        if r.part in views or r.running_since is None or r.failed or r.noticed:
            continue
        owner = book.parts.get(r.part)
        type_ = fleet.types.get(r.type)
        if type_ is None or owner is None or owner.node not in book.nodes:
            continue
        if r.name in fleet.retire:
            continue
        room = whole_room(type_, r.name, r.zone, r.spot, r.part)
        room.used = True
        rooms.append(room)
    return rooms


def take_in_transit(
    book: JobBook, estimates: Estimates, running: list[Room], views: dict[int, PartState]
) -> None:
    """Subtracts the tasks that are assigned to a part and not on any of its machines yet from the
    capacity of its machines. Tasks that have ended, though that is not recorded yet, take none."""
    placed: dict[tuple[str, int], int] = {}
    for part, state in views.items():
        for shown in state.machines.values():
            for job, count, _ in shown.tasks:
                key = (job.spec.uid, part)
                placed[key] = placed.get(key, 0) + count
    by_part: dict[int, list[Room]] = {}
    for room in running:
        by_part.setdefault(room.part, []).append(room)
    sizes = task_sizes(book)
    for uid, job in book.live.items():
        if job.cancelled:
            continue
        for part, held in job.held.items():
            if part not in by_part:
                continue
            count = held - placed.get((uid, part), 0)
            if part in views:
                count -= views[part].leaving.get(uid, 0)
            if count > 0:
                need = make_need(job, count, None, estimates, math.inf, sizes)
                place(need, by_part[part], steady_only=False)


def critical_tasks(
    fleet: Fleet,
    views: dict[int, PartState],
    urgencies: Urgencies,
    estimates: Estimates,
    now: float,
    wall: float,
) -> dict[str, list[Need]]:
    """The tasks for which standby capacity is reserved, by machine: those of the one spot machine
    whose critical tasks have the most CPUs (see `hold_standbys`).

    A task is critical if there is no time left to boot a replacement after a loss."""
    boot_s = min((t.boot_s for t in fleet.types.values()), default=0.0)
    fullest: tuple[float, str, list[tuple[Job, int]]] | None = None
    for state in views.values():
        for name, shown in state.machines.items():
            if not shown.view.spot:
                continue
            tasks: list[tuple[Job, int]] = []
            cpus = 0.0
            for job, count, until in shown.tasks:
                finish = urgencies.latest_finish(job)
                if finish < wall or job.over or job.spec.kind == "standing":
                    continue
                if standby_rule(max(0.0, until - now), boot_s, finish, wall):
                    tasks.append((job, count))
                    cpus += job.spec.cpus * count
            if tasks and (fullest is None or (-cpus, name) < fullest[:2]):
                fullest = (-cpus, name, tasks)
    if fullest is None:
        return {}
    return {
        fullest[1]: [
            make_need(job, count, None, estimates, urgencies.latest_finish(job))
            for job, count in fullest[2]
        ]
    }


def missed_tasks(
    fleet: Fleet,
    views: dict[int, PartState],
    verdicts: Mapping[str, Verdict],
    urgencies: Urgencies,
    estimates: Estimates,
    share: float,
) -> list[Need]:
    """The tasks on machines that are probably lost, the most urgent first, as far as their CPUs
    stay within `share` of the fleet's. Replacement machines are rented for them before it is
    certain that they have to run again."""
    lost: dict[str, tuple[Job, int]] = {}
    fleet_cpus = 0.0
    for state in views.values():
        for name, shown in state.machines.items():
            type_ = fleet.types.get(shown.view.type)
            fleet_cpus += 0.0 if type_ is None else type_.cpus
            if name not in verdicts or not worth_replacing(verdicts[name]):
                continue
            for job, count, _ in shown.tasks:
                if not job.over and job.spec.kind == "sweep" and zone_limits(job) is None:
                    lost[job.spec.uid] = (job, lost.get(job.spec.uid, (job, 0))[1] + count)
    ordered = sorted(
        lost.values(), key=lambda entry: (*urgencies.of(entry[0])[::-1], entry[0].spec.uid)
    )
    needs: list[Need] = []
    left = share * fleet_cpus
    for job, count in ordered:
        spec = job.spec
        count = min(count, int(left / spec.cpus) if spec.cpus > 0 else count)
        if count > 0:
            left -= count * spec.cpus
            needs.append(make_need(job, count, None, estimates, urgencies.latest_finish(job)))
    return needs
