"""The leader's decisions: assigns tasks to parts, rents and releases machines.

No I/O and no clock: callers pass the current time. The loops in `leader_loops` write the
assignments and those in `cloud` call the cloud's API. Only tasks that the job book shows as
assigned count as assigned.
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

# A job that fails on every machine is retried with a single task: first after one lease, then
# at growing intervals up to this many leases.
LONGEST_PAUSE_LEASES = 8.0
# Held-back jobs that one answer to an owner lists at most.
MOST_TOLD = 200


@dataclass(slots=True)
class Round:
    """What one planning round decided; nothing of it has been carried out yet."""

    # (job UID, part) -> the share to write.
    allotments: dict[tuple[str, int], Share] = field(default_factory=dict)
    rentals: list[Rental] = field(default_factory=list)
    releases: list[str] = field(default_factory=list)  # names of machines


class Leader:
    """Plans in rounds from the job book, the owners' views of their parts and the cloud's list."""

    def __init__(
        self,
        token: int,
        book: JobBook,
        settings: Settings,
        now: float,
        types: Mapping[str, MachineType] | None = None,
        former: "Leader | None" = None,
    ) -> None:
        """Starts to lead under the fencing token `token`.

        `types` are the machine types from the book: without them a leader that starts while the
        cloud is unreachable could plan nothing until it has read the catalogue. `former` is this
        controller's leader under an earlier token; what it learnt of the fleet and of run times
        remains valid. Otherwise a leader that renews its token to fence off one of its own
        writes, just before the cloud fails, plans no round for a minute (see
        `docs/incidents/ramdin-curepipe-next-rounds.md`)."""
        self.token = token
        self._book = book
        self._settings = settings
        self._teams = {team.name: team for team in settings.settings.teams}
        self._views = Views(book, settings)
        self._silences = Silences(settings)
        self.fleet: Fleet = Fleet(settings, now) if former is None else former.fleet
        if not self.fleet.types:
            self.fleet.types = dict(types or {})
        # More of the last round's assignments are unwritten than one transaction takes.
        self.backlog = False
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
        """Takes in an owner's view of its part; returns the orders for that owner.

        The answer asks for a full view (`resync`) if this one is outdated or is a delta to a
        view that this leader does not have."""
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
        """Takes in a complete list of machines from the cloud."""
        self.fleet.on_list(machines, now, self._views.heard)

    def round(self, now: float, wall: float) -> Round:
        """Plans one round.

        `now` is the monotonic clock and `wall` the time of day, both in seconds. Without any
        known machine type the result is empty."""
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
        # A team's most urgent jobs are covered by its guarantee too, whichever came earlier.
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
                    "first in line because of their age: %d tasks of %d jobs, first %s, "
                    "waiting for %.0f s",
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
                "%s is held back: its tasks failed %d times on %d machines and none succeeded; "
                "one task is retried after %.0f s, then at growing intervals, until it succeeds "
                "or the job is cancelled",
                uid,
                tries,
                machines,
                self._held.wait_s(uid, now),
            )

    def allotted(self, uids: Iterable[str], now: float) -> None:
        """Tasks of these jobs have been assigned; for a held-back job that counts as a retry."""
        for uid in uids:
            self._held.tried(uid, now)

    def _cut_off(self, types: dict[str, MachineType]) -> set[tuple[str, str, bool]]:
        """All kinds of machines in unreachable zones: one rented there could not be used."""
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
            "open tasks by CPUs %s, %d of them without capacity (%d wait for a busy machine, "
            "%d for a booting one), %d placed now; %d machines, "
            "%d of them open, %.0f of %.0f CPUs free, machines by free CPUs %s; "
            "renting %s, %d of them for tasks on lost machines; refused %s; take-back share %.2f",
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
