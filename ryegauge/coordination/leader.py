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

from ryegauge.bookkeeping.state_replica import Assignment, Job, StateReplica
from ryegauge.config import Settings
from ryegauge.coordination.capacity import (
    replacement_demands,
    running_capacity,
    standby_demands,
    subtract_in_transit,
)
from ryegauge.coordination.fleet import Fleet
from ryegauge.coordination.preemption import Preemption
from ryegauge.coordination.shard_views import ShardState, ShardViews
from ryegauge.coordination.silent_machines import SilentMachines
from ryegauge.coordination.task_assignment import assign_tasks, ordered_demands, within_guarantee
from ryegauge.coordination.urgency import Urgencies
from ryegauge.detection.failure_diagnosis import Diagnosis
from ryegauge.detection.fault_attribution import RetryBackoff
from ryegauge.ordering import create_policy
from ryegauge.protocol.cloud import ListedMachine, MachineType
from ryegauge.protocol.peers import ShardOrders, ShardView
from ryegauge.scheduling.estimates import Estimates
from ryegauge.scheduling.planner import MachineCapacity, Market, Plan, Rental, plan

log = logging.getLogger(__name__)

# One task of a job that fails everywhere is tried after a lease, then ever more seldom, at
# least after so many.
MAX_RETRY_PAUSE_LEASES = 8.0
# Jobs held back that owners are told of in one message.
MOST_TOLD = 200


@dataclass(slots=True)
class RoundResult:
    """What a round wants done."""

    new_assignments: dict[tuple[str, int], Assignment] = field(default_factory=dict)
    rentals: list[Rental] = field(default_factory=list)
    releases: list[str] = field(default_factory=list)


class Leader:
    def __init__(
        self,
        token: int,
        replica: StateReplica,
        settings: Settings,
        now: float,
        types: Mapping[str, MachineType] | None = None,
        previous_leader: "Leader | None" = None,
    ) -> None:
        """`types` as the book has them: a leader that begins while the cloud is away would
        decide nothing until it can read the catalogue. `former`: ourselves, under a token
        before this one; what was learnt of fleet and run times stays true. (Found by a day on
        which a leader fenced off its own allotment just before the cloud's trouble: no round
        for a minute, `docs/incidents/ramdin-curepipe-next-rounds.md`.)"""
        self.token = token
        self._replica = replica
        self._settings = settings
        self._teams = {team.name: team for team in settings.settings.teams}
        self._views = ShardViews(replica, settings)
        self._silences = SilentMachines(settings)
        self.fleet: Fleet = (
            Fleet(settings, now) if previous_leader is None else previous_leader.fleet
        )
        if not self.fleet.types:
            self.fleet.types = dict(types or {})
        self.backlog = False  # the last round's allotments could not all be written
        self._logged_at = -math.inf
        self.estimates: Estimates = (
            Estimates() if previous_leader is None else previous_leader.estimates
        )
        self._policy = create_policy(settings)
        self._preemption = Preemption(replica, settings, self.estimates, self._policy)
        self._urgencies = Urgencies(replica, settings, self.estimates, ())
        lease_s = settings.settings.workers.lease_s
        self._held: RetryBackoff = (
            RetryBackoff(lease_s, MAX_RETRY_PAUSE_LEASES * lease_s)
            if previous_leader is None
            else previous_leader._held
        )

    def on_shard_view(self, view: ShardView, now: float) -> ShardOrders:
        if self._views.late(view):
            return ShardOrders(self._replica.state_revision, [], [], resync=True)
        self._silences.take_in(view, now)
        state = self._views.take_in(view, now)
        if state is None:
            return ShardOrders(self._replica.state_revision, [], [], resync=True)
        for sample in view.samples:
            self.estimates.add(*msgspec.structs.astuple(sample))
        for machine in view.machines:
            self.fleet.shown(machine, now)
        mine = [name for name in state.machines if name in self.fleet.gone]
        retire = [name for name in self.fleet.retire if name in state.machines]
        evict = self._preemption.orders(state.machines)
        return ShardOrders(
            self._replica.state_revision,
            retire,
            mine,
            evict,
            unreported=self._silences.unreported(view.shard),
            failing_jobs=self._held.newest(MOST_TOLD),
        )

    def on_machine_list(self, machines: list[ListedMachine], now: float) -> None:
        self.fleet.on_machine_list(machines, now, self._views.heard)

    def round(self, now: float, wall: float) -> RoundResult:
        result = RoundResult()
        self._views.renew()
        self.fleet.forget(now)
        types = self.fleet.types
        if not types:
            return result
        views = self._views.fresh(now)
        running = running_capacity(self._replica, self.fleet, views, self.estimates, now)
        diagnoses = self._silences.diagnoses(self.fleet, views, now)
        subtract_in_transit(self._replica, self.estimates, running, views)
        self._hold_back(views, now)
        within = within_guarantee(self._replica, self._teams, lambda job: job.ready_at)
        self._urgencies = Urgencies(self._replica, self._settings, self.estimates, types.values())
        # A team's urgent jobs have its guarantee too, whatever came earlier.
        first = within_guarantee(
            self._replica, self._teams, lambda job: (self._urgencies.rank(job), job.ready_at)
        )
        needs, jobs = ordered_demands(
            self._replica,
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
            refused=self.fleet.refused_kinds(now) | self._cut_off(types),
            takeback_share=self.fleet.takeback.share(now),
            takeback_threshold=self._settings.properties.takeback_threshold,
            patience=self._settings.properties.patience_boots,
            backlog=self.backlog,
        )
        starting = self.fleet.starting(now, diagnoses)
        market.boots = self.fleet.boot_times(now)
        due = [(need.uid, need.count) for need in needs if need.due]
        decided = plan(
            needs,
            running,
            starting,
            market,
            wall,
            standby_demands(self.fleet, views, self._urgencies, self.estimates, now, wall),
            replacement_demands(
                self.fleet,
                views,
                diagnoses,
                self._urgencies,
                self.estimates,
                self._settings.properties.ahead_share,
            ),
        )
        if now - self._logged_at > 10:
            self._logged_at = now
            self._log(decided, jobs, running, market)
            self._log_silent(diagnoses)
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
        result.new_assignments = assign_tasks(
            decided, jobs, self._settings.state_limits.value_bytes
        )
        if self.fleet.has_listing:
            result.rentals = decided.rentals
        result.releases = self.fleet.returns(decided, now, views, diagnoses)
        self._preemption.decide(decided, jobs, within, self._urgencies, types, views, now, wall)
        return result

    def _hold_back(self, views: dict[int, ShardState], now: float) -> None:
        def may_be_mistaken(uid: str) -> bool:
            job = self._replica.live.get(uid)
            return job is not None and not job.is_terminal and not job.done_count

        self._held.keep(may_be_mistaken)
        told = [f for state in views.values() for f in state.failing if may_be_mistaken(f.uid)]
        for uid, machines, tries in self._held.on_failing(told, now):
            log.warning(
                "%s is held back: its tasks failed %d times on %d machines and none was done; "
                "one is tried after %.0f s, then ever more seldom, until it succeeds or its user "
                "cancels it",
                uid,
                tries,
                machines,
                self._held.wait_s(uid, now),
            )

    def assigned(self, uids: Iterable[str], now: float) -> None:
        """Tasks of these jobs were given to parts."""
        for uid in uids:
            self._held.on_retry(uid, now)

    def _cut_off(self, types: dict[str, MachineType]) -> set[tuple[str, str, bool]]:
        """What is rented in a zone that nothing is heard of could not be used either."""
        return {
            (name, zone, spot)
            for zone in self._silences.cut
            for name in types
            for spot in (True, False)
        }

    def _log_silent(self, diagnoses: dict[str, Diagnosis]) -> None:
        counts = Counter((v.severity.name.lower(), v.cause.value) for v in diagnoses.values())
        if counts:
            log.info(
                "silent machines: %s",
                ", ".join(
                    f"{n} {severity} ({cause})" for (severity, cause), n in sorted(counts.items())
                ),
            )

    def _log(
        self, decided: Plan, jobs: dict[str, Job], running: list[MachineCapacity], market: Market
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
            decided.waiting_for_busy,
            decided.waiting_for_boot,
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
