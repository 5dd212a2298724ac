"""The leader: gives parts their allotments, and rents and returns machines.

No I/O and no clock. What is decided here is written (or called) by the loops in
`node`; only what the book shows counts as allotted.
"""

import logging
import math
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from ryegauge.bookkeeping.jobbook import Job, JobBook, Share, span_bytes
from ryegauge.bookkeeping.ranges import Ranges
from ryegauge.config import Settings
from ryegauge.coordination.needs import (
    make_need,
    task_sizes,
    tracks_zones,
    zone_limits,
)
from ryegauge.coordination.parting import Parting
from ryegauge.coordination.urgency import Urgencies
from ryegauge.protocol.cloud import ListedMachine, MachineType
from ryegauge.protocol.peers import MachineView, PartOrders, PartView
from ryegauge.scheduling.estimates import Estimates
from ryegauge.scheduling.planner import (
    EPSILON,
    Market,
    Need,
    Plan,
    Rental,
    Room,
    place,
    plan,
    standby_rule,
    whole_room,
)
from ryegauge.scheduling.takeback import TakebackShare

log = logging.getLogger(__name__)

# What a share's record takes besides its ranges: names, and zones if they are tracked.
RECORD_BYTES = 256

# A task is stopped for others only in this first share of its run.
PREEMPT_SHARE = 0.25
# Stopping others at once, for whatever waits, lost more than it gained
# (docs/design.md): priority stops others from two steps down, and a guarantee is
# enforced once its job has waited for so many boots.
PREEMPT_STEPS = 2
PREEMPT_BOOTS = 2.0


class Rented:
    """A machine as the cloud knows it."""

    __slots__ = ("failed", "idle_since", "listed", "name", "noticed", "part", "reported",
                 "running_since", "since", "spot", "type", "zone")

    def __init__(
        self, name: str, part: int, type_: str, zone: str, spot: bool, since: float
    ) -> None:
        self.name = name
        self.part = part
        self.type = type_
        self.zone = zone
        self.spot = spot
        self.since = since  # rental request, in our clock
        self.listed = False
        self.failed = False
        self.reported = False  # some part's owner has heard from it
        self.noticed = False
        self.idle_since: float | None = None
        self.running_since: float | None = None  # listed as running


class Shown:
    """A machine as its part's owner described it, with what follows from that."""

    __slots__ = ("at", "busy", "cpus", "gpus", "known", "memory_gb", "tasks", "view")

    def __init__(self, view: MachineView, at: float, book: JobBook) -> None:
        self.view = view
        self.at = at
        self.cpus = self.memory_gb = self.gpus = 0.0  # taken by its tasks
        self.known = True  # whether the book has all of its jobs
        self.tasks: list[tuple[Job, int, float]] = []  # (job, tasks, when the longest ends)
        self.busy: list[tuple[float, int, float, float, float]] = []
        for uid, flat, left_s in view.tasks:
            job = book.jobs.get(uid)
            if job is None:
                self.known = False
                continue
            n = len(Ranges.from_flat(flat))
            spec = job.spec
            self.tasks.append((job, n, at + left_s))
            self.busy.append((at + left_s, n, spec.cpus, spec.memory_gb, spec.gpus))
            self.cpus += n * spec.cpus
            self.memory_gb += n * spec.memory_gb
            self.gpus += n * spec.gpus


class PartState:
    """What the leader knows of a part: whole views, and changes to them since."""

    __slots__ = ("at", "leaving", "machines", "node", "seq", "token")

    def __init__(self, node: str, token: int) -> None:
        self.node = node
        self.token = token
        self.seq = 0
        self.at = -math.inf
        self.machines: dict[str, Shown] = {}
        self.leaving: dict[str, int] = {}  # job -> tasks that are nowhere, not yet written


@dataclass(slots=True)
class Victim:
    """Tasks of one job on one machine that may be stopped for others."""

    elapsed_s: float
    machine: MachineView
    job: Job
    count: int


@dataclass(slots=True)
class Round:
    """What a round wants done."""

    allotments: dict[tuple[str, int], Share] = field(default_factory=dict)
    rentals: list[Rental] = field(default_factory=list)
    releases: list[str] = field(default_factory=list)


class Leader:
    def __init__(self, token: int, book: JobBook, settings: Settings, now: float) -> None:
        self.token = token
        self._book = book
        self._settings = settings
        self._since = now
        self._parting = Parting(settings)
        self._teams = {team.name: team for team in settings.settings.teams}
        self._views: dict[int, PartState] = {}
        self._epoch = book.epoch
        self.types: dict[str, MachineType] = {}  # with current prices
        self.fleet: dict[str, Rented] = {}
        self.listed_once = False
        self.backlog = False  # the last round's allotments could not all be written
        self._logged_at = -math.inf
        # Rental requests under way or of unknown outcome: rental -> until when to count.
        self._expected: list[tuple[Rental, float, float]] = []
        self._refused: dict[tuple[str, str, bool], tuple[float, float]] = {}
        self._gone: dict[str, float] = {}
        self._retire: set[str] = set()
        self._evict: list[tuple[str, str, int]] = []
        self._evicted_at = -math.inf
        self.estimates = Estimates()
        self.takeback = TakebackShare(settings.properties.takeback_window_s)
        self._urgencies = Urgencies(book, settings, self.estimates, ())

    # -- what the parts say ----------------------------------------------------------

    def on_view(self, view: PartView, now: float) -> PartOrders:
        state = self._views.get(view.part)
        if view.base == 0:
            state = self._views[view.part] = PartState(view.node, view.token)
        elif state is None or (state.token, state.seq) != (view.token, view.base):
            # Changes to something that we don't have: an answer of ours was lost, or
            # we have just begun to lead.
            return PartOrders(self._book.ledger, [], [], resync=True)
        state.seq, state.at, state.leaving = view.seq, now, dict(view.leaving)
        for name in view.gone:
            state.machines.pop(name, None)
        for sample in view.samples:
            self.estimates.add(sample.job_class, sample.count, sample.log_ratio_sum)
        for machine in view.machines:
            state.machines[machine.name] = Shown(machine, now, self._book)
            rented = self.fleet.get(machine.name)
            if rented is None:
                if machine.name in self._gone:
                    continue
                # A surprise: rented by an earlier leader, or executed late.
                rented = self._add(machine.name, machine.type, machine.zone, machine.spot, now)
            rented.reported = True
            rented.noticed = rented.noticed or machine.notice
            if machine.empty:
                if rented.idle_since is None:
                    rented.idle_since = now
            else:
                rented.idle_since = None
        mine = [name for name in state.machines if name in self._gone]
        retire = [name for name in self._retire if name in state.machines]
        evict = [e for e in self._evict if e[0] in state.machines]
        self._evict = [e for e in self._evict if e not in evict]
        return PartOrders(self._book.ledger, retire, mine, evict)

    # -- what the cloud says -----------------------------------------------------------

    def _add(self, name: str, type_: str, zone: str, spot: bool, since: float) -> Rented:
        part = self._parting.part_of(name, zone)
        rented = self.fleet[name] = Rented(name, part, type_, zone, spot, since)
        if spot:
            self.takeback.began(name, since)
        return rented

    def on_list(self, machines: list[ListedMachine], now: float) -> None:
        """A whole list. Once listed a machine stays listed until it is gone, but a list
        may be older than the one before: only a machine that stays away for twice the
        lag is dropped from the fleet, and nothing is concluded for its tasks."""
        self.listed_once = True
        seen: set[str] = set()
        for entry in machines:
            if entry.name in self._gone:
                continue
            seen.add(entry.name)
            rented = self.fleet.get(entry.name)
            if rented is None:
                rented = self._add(
                    entry.name, entry.type, entry.zone, entry.spot, now - entry.age_s
                )
            rented.listed = True
            rented.failed = entry.state == "failed"
            if entry.state == "running" and rented.running_since is None:
                rented.running_since = now
        for rented in list(self.fleet.values()):
            if rented.listed and rented.name not in seen and not self._heard(rented, now):
                self._lost(rented, now, taken=rented.spot)

    def _heard(self, rented: Rented, now: float) -> bool:
        state = self._views.get(rented.part)
        if state is None or now - state.at > self._settings.report_gap_s:
            return False
        shown = state.machines.get(rented.name)
        lease_s = self._settings.settings.workers.lease_s
        return shown is not None and shown.view.silent_s < lease_s

    def _lost(self, rented: Rented, now: float, taken: bool) -> None:
        del self.fleet[rented.name]
        self._retire.discard(rented.name)
        # Its room may be had again.
        self._refused.pop((rented.type, rented.zone, rented.spot), None)
        if rented.spot:
            self.takeback.ended(rented.name, now, taken)

    def renting(self, rental: Rental, now: float) -> None:
        """A request is being sent; until it is answered its machines are counted on."""
        self._expected.append((rental, now, now + 2 * self._settings.settings.cloud.list_lag_s + 5))

    def rented(self, rental: Rental, names: list[str], now: float) -> None:
        self._settle(rental)
        for name in names:
            if name not in self.fleet and name not in self._gone:
                self._add(name, rental.type, rental.zone, rental.spot, now)
        if len(names) < rental.count:
            self.refused(rental, now)

    def refused(self, rental: Rental, now: float, settle: bool = False) -> None:
        if settle:
            self._settle(rental)
        key = (rental.type, rental.zone, rental.spot)
        _, pause = self._refused.get(key, (0.0, 0.0))
        least = self._settings.settings.cloud.list_lag_s
        pause = min(max(least, 2 * pause), 2 * least)
        self._refused[key] = (now + pause, pause)

    def not_executed(self, rental: Rental) -> None:
        self._settle(rental)

    def _settle(self, rental: Rental) -> None:
        self._expected = [e for e in self._expected if e[0] is not rental]

    def released(self, names: list[str], now: float) -> None:
        for name in names:
            self._gone[name] = now
            if (rented := self.fleet.get(name)) is not None:
                self._lost(rented, now, taken=rented.noticed)

    # -- a round --------------------------------------------------------------------------

    def round(self, now: float, wall: float) -> Round:
        result = Round()
        if self._epoch != self._book.epoch:
            self._epoch = self._book.epoch
            for state in self._views.values():
                for name, shown in state.machines.items():
                    state.machines[name] = Shown(shown.view, shown.at, self._book)
        lasting = 10 * self._settings.settings.workers.lease_s
        self._gone = {name: at for name, at in self._gone.items() if now - at < lasting}
        if not self.types:
            return result
        views = self._fresh_views(now)
        running = self._running(now, views)
        self._in_transit(running, views)
        within = self._within_guarantee(lambda job: job.ready_at)
        self._urgencies = Urgencies(
            self._book, self._settings, self.estimates, self.types.values()
        )
        # A team's urgent jobs have its guarantee too, whatever came earlier.
        first = self._within_guarantee(lambda job: (self._urgencies.rank(job), job.ready_at))
        needs, jobs = self._needs(within | first)
        market = Market(
            types=self.types,
            refused={key for key, (until, _) in self._refused.items() if until > now},
            takeback_share=self.takeback.share(now),
            takeback_threshold=self._settings.properties.takeback_threshold,
            patience=self._settings.properties.patience_boots,
            backlog=self.backlog,
        )
        decided = plan(
            needs, running, self._starting(now), market, wall,
            self._critical(now, wall, views),
        )
        if now - self._logged_at > 10:
            self._logged_at = now
            waiting: dict[float, int] = {}
            for job in jobs.values():
                size = job.spec.cpus
                waiting[size] = waiting.get(size, 0) + len(job.open_tasks)
            pieces: dict[float, int] = {}
            for room in running:
                if room.cpus > 0:
                    pieces[room.cpus] = pieces.get(room.cpus, 0) + 1
            log.info(
                "open tasks by cpus %s, %d of them for want of room, %d placed now; %d machines, "
                "%d open, %.0f cpus free of %.0f in pieces of %s; "
                "renting %s; refused %s; take-back share %.2f",
                dict(sorted(waiting.items())), sum(n for _, n in decided.unplaced),
                sum(p.count for p in decided.placements), len(self.fleet), len(running),
                sum(max(0.0, r.cpus) for r in running), sum(r.type.cpus for r in running),
                dict(sorted(pieces.items())),
                [(r.type, r.zone, r.spot, r.count) for r in decided.rentals],
                sorted(market.refused), market.takeback_share,
            )
        self._allot(decided, jobs, result)
        if self.listed_once:
            result.rentals = decided.rentals
        result.releases = self._returns(decided, now, views)
        self._preempt(decided, jobs, within, views, now, wall)
        return result

    def _fresh_views(self, now: float) -> dict[int, PartState]:
        views: dict[int, PartState] = {}
        for part, state in self._views.items():
            owner = self._book.parts.get(part)
            if (
                owner is not None
                and owner.token == state.token
                and now - state.at < self._settings.report_gap_s
            ):
                views[part] = state
        return views

    def _running(self, now: float, views: dict[int, PartState]) -> list[Room]:
        rooms: list[Room] = []
        for part, state in views.items():
            for name, shown in state.machines.items():
                m = shown.view
                type_ = self.types.get(m.type)
                if type_ is None or not m.open or name in self._retire or name in self._gone:
                    continue
                if not shown.known:
                    # The book may have been behind the view.
                    shown = state.machines[name] = Shown(m, shown.at, self._book)
                    if not shown.known:
                        continue  # something unknown runs here: leave it alone
                room = Room(
                    name, type_, m.zone, m.spot, part, type_.cpus - shown.cpus,
                    type_.memory_gb - shown.memory_gb, type_.gpus - shown.gpus,
                )
                room.images = set(m.images)
                room.used = bool(m.tasks)
                room.busy = [
                    (max(0.0, until - now), n, c, g, k) for until, n, c, g, k in shown.busy
                ]
                rooms.append(room)
        return rooms + self._out_of_sight(views)

    def _out_of_sight(self, views: dict[int, PartState]) -> list[Room]:
        """Machines of parts whose owner lives but cannot be heard (controllers refuse
        each other's connections): whole, as far as the list says; what their parts
        hold by the book is counted as on its way. An owner without room hands back."""
        rooms: list[Room] = []
        for r in self.fleet.values():
            if r.part in views or r.running_since is None or r.failed or r.noticed:
                continue
            owner = self._book.parts.get(r.part)
            type_ = self.types.get(r.type)
            if type_ is None or owner is None or owner.node not in self._book.nodes:
                continue
            if r.name in self._retire:
                continue
            room = whole_room(type_, r.name, r.zone, r.spot, r.part)
            room.used = True
            rooms.append(room)
        return rooms

    def _critical(
        self, now: float, wall: float, views: dict[int, PartState]
    ) -> dict[str, list[Need]]:
        """The tasks that get a standby, of the spot machine that holds the most of them
        (what that one needs is held, see `hold_standbys`)."""
        boot_s = min((t.boot_s for t in self.types.values()), default=0.0)
        fullest: tuple[float, str, list[tuple[Job, int]]] | None = None
        for state in views.values():
            for name, shown in state.machines.items():
                if not shown.view.spot:
                    continue
                tasks: list[tuple[Job, int]] = []
                cpus = 0.0
                for job, count, until in shown.tasks:
                    finish = self._urgencies.latest_finish(job)
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
                make_need(
                    job, count, None, self.estimates, self._urgencies.latest_finish(job)
                )
                for job, count in fullest[2]
            ]
        }

    def _in_transit(self, running: list[Room], views: dict[int, PartState]) -> None:
        """What is allotted to a part and on none of its machines yet takes room there;
        what has ended and is not written yet does not."""
        placed: dict[tuple[str, int], int] = {}
        for part, state in views.items():
            for shown in state.machines.values():
                for job, count, _ in shown.tasks:
                    key = (job.spec.uid, part)
                    placed[key] = placed.get(key, 0) + count
        by_part: dict[int, list[Room]] = {}
        for room in running:
            by_part.setdefault(room.part, []).append(room)
        sizes = task_sizes(self._book)
        for uid, job in self._book.live.items():
            if job.cancelled:
                continue
            for part, held in job.held.items():
                if part not in by_part:
                    continue
                count = held - placed.get((uid, part), 0)
                if part in views:
                    count -= views[part].leaving.get(uid, 0)
                if count > 0:
                    need = make_need(job, count, None, self.estimates, math.inf, sizes)
                    place(need, by_part[part], steady_only=False)

    def _needs(self, within_guarantee: set[str]) -> tuple[list[Need], dict[str, Job]]:
        """Open tasks within their team's limits, in order of precedence."""
        used_cpus: dict[str, float] = dict.fromkeys(self._teams, 0.0)
        used_gpus: dict[str, float] = dict.fromkeys(self._teams, 0.0)
        waiting: list[Job] = []
        for job in self._book.live.values():
            n = job.allotted_count
            name = job.spec.team
            used_cpus[name] = used_cpus.get(name, 0.0) + n * job.spec.cpus
            used_gpus[name] = used_gpus.get(name, 0.0) + n * job.spec.gpus
            if not job.over and job.ready and job.open_tasks:
                waiting.append(job)
        ranked: list[tuple[tuple[bool, int, float, float, str], Job, float]] = []
        for job in waiting:
            if job.spec.team not in self._teams:
                continue
            within = job.spec.uid in within_guarantee
            finish, rank = self._urgencies.of(job)
            ranked.append(
                ((not within, rank, finish, job.submitted_at, job.spec.uid), job, finish)
            )
        ranked.sort(key=lambda entry: entry[0])
        needs: list[Need] = []
        sizes = task_sizes(self._book)
        for _, job, finish in ranked:
            spec = job.spec
            team = self._teams[spec.team]
            count = len(job.open_tasks)
            if spec.cpus > 0:
                free = team.cpus_max - used_cpus[team.name]
                count = min(count, int((free + EPSILON) // spec.cpus))
            if spec.gpus > 0:
                free = team.gpus_max - used_gpus[team.name]
                count = min(count, int((free + EPSILON) // spec.gpus))
            zones = zone_limits(job)
            if count <= 0 or (spec.kind == "gang" and count < len(job.open_tasks)):
                continue
            used_cpus[team.name] += count * spec.cpus
            used_gpus[team.name] += count * spec.gpus
            needs.append(make_need(job, count, zones, self.estimates, finish, sizes))
        return needs, {job.spec.uid: job for _, job, _ in ranked}

    def _within_guarantee(self, order: Callable[[Job], Any]) -> set[str]:
        """Jobs that fit into their team's guarantee together with those of the team's
        unfinished jobs that come earlier in the order: they need not wait for other
        teams. Jobs that wait for others hold no part of it."""
        unfinished = sorted(
            (job for job in self._book.live.values() if not job.over), key=order
        )
        cpus: dict[str, float] = {}
        gpus: dict[str, float] = {}
        within: set[str] = set()
        for job in unfinished:
            spec = job.spec
            if (team := self._teams.get(spec.team)) is None:
                continue
            left = spec.tasks - job.done_count
            cpus[team.name] = cpus.get(team.name, 0.0) + left * spec.cpus
            gpus[team.name] = gpus.get(team.name, 0.0) + left * spec.gpus
            if (
                cpus[team.name] <= team.cpus + EPSILON
                and gpus[team.name] <= team.gpus + EPSILON
            ):
                within.add(spec.uid)
        return within

    def _allot(self, decided: Plan, jobs: dict[str, Job], result: Round) -> None:
        taken: dict[str, Ranges] = {}
        for placement in decided.placements:
            job = jobs[placement.uid]
            rest = job.open_tasks - taken.get(placement.uid, Ranges())
            key = (placement.uid, placement.part)
            share = result.allotments.get(key)
            held = share or job.shares.get(placement.part)
            tasks = rest.first(min(placement.count, self._room_in_record(job, held)))
            if not tasks:
                continue
            taken[placement.uid] = taken.get(placement.uid, Ranges()) | tasks
            if share is None:
                old = job.shares.get(placement.part)
                share = (
                    Share({}, Ranges(), 0)
                    if old is None
                    else Share(dict(old.allotted), old.done, old.version)
                )
                result.allotments[key] = share
            zone = placement.zone if tracks_zones(job.spec) else ""
            share.allotted[zone] = share.allotted.get(zone, Ranges()) | tasks

    def _room_in_record(self, job: Job, share: Share | None) -> int:
        """How many more tasks a share may be given so that its record stays within what
        the state service takes, in whatever order they end: each may come to be a range
        of its own, among those that are held or among those that are done."""
        limit = self._settings.state_limits.value_bytes - RECORD_BYTES
        ranges = limit // span_bytes(job.spec.tasks)
        return ranges if share is None else ranges - share.count - len(share.done.spans)

    def _starting(self, now: float) -> list[Room]:
        rooms: list[Room] = []
        for r in self.fleet.values():
            type_ = self.types.get(r.type)
            if type_ is None or r.failed or r.reported or r.name in self._retire:
                continue
            if now - r.since > self._boot_limit_s(type_):
                continue
            room = whole_room(type_, r.name, r.zone, r.spot)
            room.ready_s = max(1.0, type_.boot_s - (now - r.since))
            rooms.append(room)
        self._expected = [e for e in self._expected if e[2] > now]
        for rental, since, _ in self._expected:
            type_ = self.types.get(rental.type)
            if type_ is not None:
                for i in range(rental.count):
                    room = whole_room(type_, f"?{since}-{i}", rental.zone, rental.spot)
                    room.ready_s = type_.boot_s
                    rooms.append(room)
        return rooms

    def _boot_limit_s(self, type_: MachineType) -> float:
        # Boots take up to 1.5 times the nominal time as a rule, some several times.
        return 3.0 * type_.boot_s

    def _preempt(
        self, decided: Plan, jobs: dict[str, Job], within: set[str],
        views: dict[int, PartState], now: float, wall: float,
    ) -> None:
        """Makes room for what goes first: work within its team's guarantee that has
        waited for longer than boots explain may stop work that another team runs beyond
        its own; much higher priority may stop lower.

        Only tasks that have just begun are stopped, so that little is lost, of jobs that
        still have time for another run on a new machine, and no more than the waiting
        ones need. The room shows in the next views; until then no
        further task is stopped."""
        if now - self._evicted_at < self._settings.report_gap_s:
            return
        rank_of = self._urgencies.rank
        lowest = max((rank_of(job) for job in self._book.live.values()), default=0)
        waiting: list[tuple[Job, int, int, bool]] = []
        for uid, count in decided.unplaced:
            job = jobs[uid]
            rank = rank_of(job)
            patient = wall - job.ready_at <= PREEMPT_BOOTS * self._longest_boot_s
            claims = uid in within and not patient
            if zone_limits(job) is not None or job.spec.types is not None or job.spec.gpus:
                continue
            if claims or lowest >= rank + PREEMPT_STEPS:
                waiting.append((job, count, rank, claims))
        if not waiting:
            return
        beyond = self._beyond_guarantee()
        victims = self._victims(now, wall, views)
        for job, count, rank, claims in waiting:
            uid = job.spec.uid
            for victim in victims:
                if count <= 0:
                    break
                spec = victim.job.spec
                if (
                    victim.count <= 0
                    or victim.job is job
                    or (victim.machine.spot and not job.spec.spot)
                ):
                    continue
                lower = rank_of(victim.job) >= rank + PREEMPT_STEPS
                yields = claims and spec.team != job.spec.team and spec.team in beyond
                if not (lower or yields) or spec.uid in within:
                    continue
                each = min(
                    (job.spec.cpus and spec.cpus / job.spec.cpus) or 1.0,
                    (job.spec.memory_gb and spec.memory_gb / job.spec.memory_gb) or 1.0,
                )
                if each < 1.0 or each > 2 * count:
                    continue  # frees too little, or stops far more than is needed
                stop = min(victim.count, math.ceil(count / int(each)))
                machine = victim.machine.name
                self._evict.append((machine, spec.uid, stop))
                victim.count -= stop
                count -= stop * int(each)
                self._evicted_at = now
                log.info("stopping %d of %s on %s for %s", stop, spec.uid, machine, uid)

    @property
    def _longest_boot_s(self) -> float:
        return max((t.boot_s for t in self.types.values()), default=0.0)

    def _beyond_guarantee(self) -> set[str]:
        used: dict[str, float] = {}
        for job in self._book.live.values():
            team = job.spec.team
            used[team] = used.get(team, 0.0) + job.allotted_count * job.spec.cpus
        return {name for name, team in self._teams.items() if used.get(name, 0.0) > team.cpus}

    def _victims(self, now: float, wall: float, views: dict[int, PartState]) -> list[Victim]:
        """What has just begun and has slack for a boot and a run, the shortest run first."""
        result: list[Victim] = []
        boot_s = self._longest_boot_s
        for state in views.values():
            for shown in state.machines.values():
                if not shown.view.open:
                    continue
                for job, count, until in shown.tasks:
                    if job.over or job.spec.kind != "sweep":
                        continue
                    run_s = self.estimates.run_s(job.spec.job_class, job.spec.estimate_s)
                    elapsed = run_s - max(0.0, until - now)
                    slack = self._urgencies.latest_finish(job) - wall - run_s
                    if elapsed < PREEMPT_SHARE * run_s and slack > boot_s:
                        result.append(Victim(elapsed, shown.view, job, count))
        result.sort(key=lambda v: (v.elapsed_s, v.machine.name, v.job.spec.uid))
        return result

    def _returns(self, decided: Plan, now: float, views: dict[int, PartState]) -> list[str]:
        props = self._settings.properties
        releases: list[str] = []
        silent_parts = self._silent_parts()
        for r in self.fleet.values():
            type_ = self.types.get(r.type)
            age = now - r.since
            shown = views[r.part].machines.get(r.name) if r.part in views else None
            view = None if shown is None else shown.view
            if r.failed:
                releases.append(r.name)
            elif type_ is None:
                continue
            elif not r.reported:
                # Never boots: it is charged until deleted. One that is listed as running
                # may only be unheard: by a new leader, or since its owner and we cannot
                # reach each other. Returning it would lose what runs on it.
                unheard = r.running_since is not None and (
                    r.part not in views
                    or now - max(r.running_since, self._since)
                    < 2 * self._settings.settings.workers.lease_s
                )
                if age > self._boot_limit_s(type_) and not unheard:
                    releases.append(r.name)
            elif view is None:
                continue
            elif view.retiring:
                self._retire.add(r.name)
                if view.empty or view.silent_s > self._settings.settings.workers.lease_s:
                    releases.append(r.name)
            elif r.name in self._retire:
                continue  # its owner has not said yet that it puts nothing more there
            elif (
                view.empty
                and r.name not in decided.used
                and r.idle_since is not None
                and now - r.idle_since > props.idle_boots * type_.boot_s
                and age > props.paid_period_s
            ):
                # Told first, released once its owner confirms that it stays empty.
                self._retire.add(r.name)
            elif r.part not in silent_parts and self._presumed_lost(view):
                releases.append(r.name)
        return releases[:100]

    def _presumed_lost(self, view: MachineView) -> bool:
        """Silent for several reports: most likely taken or dead. Releasing makes that
        certain before its lease runs out, so that its tasks can start elsewhere. Not if
        many machines of its part are silent: then it is rather their controller that
        does not hear them."""
        return view.silent_s > (2 if view.notice else 3) * self._settings.report_gap_s

    def _silent_parts(self) -> set[int]:
        result: set[int] = set()
        for part, state in self._views.items():
            silent = sum(
                shown.view.silent_s > 2 * self._settings.report_gap_s and not shown.view.notice
                for shown in state.machines.values()
            )
            if silent > max(1, len(state.machines) // 4):
                result.add(part)
        return result
