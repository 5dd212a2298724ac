"""The leader: gives parts their allotments, and rents and returns machines.

No I/O and no clock. What is decided here is written (or called) by the loops in
`leading` and `cloud`; only what the book shows counts as allotted.
"""

import logging
import math
from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

import msgspec

from ryegauge.bookkeeping.jobbook import Job, JobBook, Share
from ryegauge.config import Settings
from ryegauge.coordination.allotting import allot, open_needs, within_guarantee
from ryegauge.coordination.fleet import Fleet
from ryegauge.coordination.preemption import Preemption
from ryegauge.coordination.rooms import critical_tasks, missed_tasks, running_rooms, take_in_transit
from ryegauge.coordination.silences import Silences
from ryegauge.coordination.urgency import Urgencies
from ryegauge.coordination.views import PartState, Views
from ryegauge.detection.blame import HeldBack
from ryegauge.detection.verdicts import Verdict
from ryegauge.ordering import policy_of
from ryegauge.protocol.cloud import ListedMachine, MachineType
from ryegauge.protocol.peers import PartOrders, PartView
from ryegauge.scheduling.estimates import Estimates
from ryegauge.scheduling.planner import Market, Plan, Rental, Room, plan

log = logging.getLogger(__name__)

# One task of a job that fails everywhere is tried after a lease, then ever more seldom, at
# least after so many.
LONGEST_PAUSE_LEASES = 8.0
# Jobs held back that owners are told of in one message.
MOST_TOLD = 200


@dataclass(slots=True)
class Round:
    """What a round wants done."""

    allotments: dict[tuple[str, int], Share] = field(default_factory=dict)
    rentals: list[Rental] = field(default_factory=list)
    releases: list[str] = field(default_factory=list)


class Leader:
    def __init__(
        self,
        token: int,
        book: JobBook,
        settings: Settings,
        now: float,
        types: Mapping[str, MachineType] | None = None,
        former: "Leader | None" = None,
    ) -> None:
        """`types` as the book has them: a leader that begins while the cloud is away would
        decide nothing until it can read the catalogue. `former`: ourselves, under a token
        before this one; what was learnt of fleet and run times stays true. (Found by a day on
        which a leader fenced off its own allotment just before the cloud's trouble: no round
        for a minute, `docs/incidents/ramdin-curepipe-next-rounds.md`.)"""
        self.token = token
        self._book = book
        self._settings = settings
        self._teams = {team.name: team for team in settings.settings.teams}
        self._views = Views(book, settings)
        self._silences = Silences(settings)
        self.fleet: Fleet = Fleet(settings, now) if former is None else former.fleet
        if not self.fleet.types:
            self.fleet.types = dict(types or {})
        self.backlog = False  # the last round's allotments could not all be written
        self._logged_at = -math.inf
        self.estimates: Estimates = Estimates() if former is None else former.estimates
        self._policy = policy_of(settings)
        self._preemption = Preemption(book, settings, self.estimates, self._policy)
        self._urgencies = Urgencies(book, settings, self.estimates, ())
        lease_s = settings.settings.workers.lease_s
        self._held: HeldBack = (
            HeldBack(lease_s, LONGEST_PAUSE_LEASES * lease_s) if former is None else former._held
        )

    def on_view(self, view: PartView, now: float) -> PartOrders:
        if self._views.late(view):
            return PartOrders(self._book.ledger, [], [], resync=True)
        self._silences.take_in(view, now)
        state = self._views.take_in(view, now)
        if state is None:
            return PartOrders(self._book.ledger, [], [], resync=True)
        for sample in view.samples:
            self.estimates.add(*msgspec.structs.astuple(sample))
        for machine in view.machines:
            self.fleet.shown(machine, now)
        mine = [name for name in state.machines if name in self.fleet.gone]
        retire = [name for name in self.fleet.retire if name in state.machines]
        evict = self._preemption.orders(state.machines)
        return PartOrders(
            self._book.ledger,
            retire,
            mine,
            evict,
            unheard=self._silences.unheard(view.part),
            mistaken=self._held.latest(MOST_TOLD),
        )

    def on_list(self, machines: list[ListedMachine], now: float) -> None:
        self.fleet.on_list(machines, now, self._views.heard)

    def round(self, now: float, wall: float) -> Round:
        result = Round()
        self._views.renew()
        self.fleet.forget(now)
        types = self.fleet.types
        if not types:
            return result
        views = self._views.fresh(now)
        running = running_rooms(self._book, self.fleet, views, self.estimates, now)
        verdicts = self._silences.verdicts(self.fleet, views, now)
        take_in_transit(self._book, self.estimates, running, views)
        self._hold_back(views, now)
        within = within_guarantee(self._book, self._teams, lambda job: job.ready_at)
        self._urgencies = Urgencies(self._book, self._settings, self.estimates, types.values())
        # A team's urgent jobs have its guarantee too, whatever came earlier.
        first = within_guarantee(
            self._book, self._teams, lambda job: (self._urgencies.rank(job), job.ready_at)
        )
        needs, jobs = open_needs(
            self._book,
            self._teams,
            self._urgencies,
            self.estimates,
            within | first,
            self._policy,
            running,
            wall,
            self._held,
            now,
        )
        market = Market(
            types=types,
            refused=self.fleet.refused_now(now) | self._cut_off(types),
            takeback_share=self.fleet.takeback.share(now),
            takeback_threshold=self._settings.properties.takeback_threshold,
            patience=self._settings.properties.patience_boots,
            backlog=self.backlog,
        )
        starting = self.fleet.starting(now, verdicts)
        market.boots = self.fleet.boot_times(now)
        due = [(need.uid, need.count) for need in needs if need.due]
        decided = plan(
            needs,
            running,
            starting,
            market,
            wall,
            critical_tasks(self.fleet, views, self._urgencies, self.estimates, now, wall),
            missed_tasks(
                self.fleet,
                views,
                verdicts,
                self._urgencies,
                self.estimates,
                self._settings.properties.ahead_share,
            ),
        )
        if now - self._logged_at > 10:
            self._logged_at = now
            self._log(decided, jobs, running, market)
            self._log_silent(verdicts)
            if self._held:
                log.info("held back: %s", self._held.describe(now))
            if due:
                log.info(
                    "due by age: %d tasks of %d jobs, first %s since %.0f s",
                    sum(n for _, n in due),
                    len(due),
                    due[0][0],
                    wall - jobs[due[0][0]].ready_at,
                )
        result.allotments = allot(decided, jobs, self._settings.state_limits.value_bytes)
        if self.fleet.listed_once:
            result.rentals = decided.rentals
        result.releases = self.fleet.returns(decided, now, views, verdicts)
        self._preemption.decide(decided, jobs, within, self._urgencies, types, views, now, wall)
        return result

    def _hold_back(self, views: dict[int, PartState], now: float) -> None:
        def may_be_mistaken(uid: str) -> bool:
            job = self._book.live.get(uid)
            return job is not None and not job.over and not job.done_count

        self._held.keep(may_be_mistaken)
        told = [f for state in views.values() for f in state.failing if may_be_mistaken(f.uid)]
        for uid, machines, tries in self._held.told(told, now):
            log.warning(
                "%s is held back: its tasks failed %d times on %d machines and none was done; "
                "one is tried after %.0f s, then ever more seldom, until it succeeds or its user "
                "cancels it",
                uid,
                tries,
                machines,
                self._held.wait_s(uid, now),
            )

    def allotted(self, uids: Iterable[str], now: float) -> None:
        """Tasks of these jobs were given to parts."""
        for uid in uids:
            self._held.tried(uid, now)

    def _cut_off(self, types: dict[str, MachineType]) -> set[tuple[str, str, bool]]:
        """What is rented in a zone that nothing is heard of could not be used either."""
        return {
            (name, zone, spot)
            for zone in self._silences.cut
            for name in types
            for spot in (True, False)
        }

    def _log_silent(self, verdicts: dict[str, Verdict]) -> None:
        counts = Counter((v.grade.name.lower(), v.cause.value) for v in verdicts.values())
        if counts:
            log.info(
                "silent machines: %s",
                ", ".join(f"{n} {grade} ({cause})" for (grade, cause), n in sorted(counts.items())),
            )

    def _log(
        self, decided: Plan, jobs: dict[str, Job], running: list[Room], market: Market
    ) -> None:
        waiting: dict[float, int] = {}
        for job in jobs.values():
            size = job.spec.cpus
            waiting[size] = waiting.get(size, 0) + len(job.open_tasks)
        pieces: dict[float, int] = {}
        for room in running:
            if room.cpus > 0:
                pieces[room.cpus] = pieces.get(room.cpus, 0) + 1
        log.info(
            "open tasks by cpus %s, %d of them for want of room (%d wait for a busy machine, "
            "%d for one that boots), %d placed now; %d machines, "
            "%d open, %.0f cpus free of %.0f in pieces of %s; "
            "renting %s, %d of them ahead; refused %s; take-back share %.2f",
            dict(sorted(waiting.items())),
            sum(n for _, n in decided.unplaced),
            decided.wait_busy,
            decided.wait_boots,
            sum(p.count for p in decided.placements),
            len(self.fleet.machines),
            len(running),
            sum(max(0.0, r.cpus) for r in running),
            sum(r.type.cpus for r in running),
            dict(sorted(pieces.items())),
            [(r.type, r.zone, r.spot, r.count) for r in decided.rentals],
            decided.ahead,
            sorted(market.refused),
            market.takeback_share,
        )
