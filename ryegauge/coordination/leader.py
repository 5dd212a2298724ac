"""The leader's decisions: assigns tasks to shards, rents and releases machines.

No I/O and no clock: callers pass the current time. The loops in `leader_loops` write the
assignments and those in `cloud` call the cloud's API. Only tasks that the state replica shows as
assigned count as assigned.
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

# A job that fails on every machine is retried with a single task: first after one lease, then
# at growing intervals up to this many leases.
MAX_RETRY_PAUSE_LEASES = 8.0
# Failing jobs that one answer to an owner lists at most.
MAX_FAILING_JOBS_SENT = 200


@dataclass(slots=True)
class RoundResult:
    """What one planning round decided; nothing of it has been carried out yet."""

    # (job UID, shard) -> the assignment to write.
    new_assignments: dict[tuple[str, int], Assignment] = field(default_factory=dict)
    rentals: list[Rental] = field(default_factory=list)
    releases: list[str] = field(default_factory=list)  # names of machines


class Leader:
    """Plans in rounds, from the state replica, the owners' views of their shards and the cloud's
    list of machines."""

    def __init__(
        self,
        token: int,
        replica: StateReplica,
        settings: Settings,
        now: float,
        types: Mapping[str, MachineType] | None = None,
        previous_leader: "Leader | None" = None,
    ) -> None:
        """Starts to lead under the fencing token `token`.

        `types` are the machine types from the replica: without them a leader that starts while the
        cloud is unreachable could plan nothing until it has read the catalogue. `previous_leader`
        is this controller's leader under an earlier token; what it learnt of the fleet and of
        run times remains valid. Otherwise a leader that renews its token to fence off one of its
        own writes, just before the cloud fails, plans no round for a minute (see
        `docs/incidents/ramdin-curepipe-next-rounds.md`)."""
        self.token = token
        self._replica = replica
        self._settings = settings
        self._teams = {team.name: team for team in settings.settings.teams}
        self._views = ShardViews(replica, settings)
        self._silent_machines = SilentMachines(settings)
        self.fleet: Fleet = (
            Fleet(settings, now) if previous_leader is None else previous_leader.fleet
        )
        if not self.fleet.types:
            self.fleet.types = dict(types or {})
        # More of the last round's assignments are unwritten than one transaction takes.
        self.backlog = False
        self._logged_at = -math.inf
        self.estimates: Estimates = (
            Estimates() if previous_leader is None else previous_leader.estimates
        )
        self._policy = create_policy(settings)
        self._preemption = Preemption(replica, settings, self.estimates, self._policy)
        self._urgencies = Urgencies(replica, settings, self.estimates, ())
        lease_s = settings.settings.workers.lease_s
        self._retry_backoff: RetryBackoff = (
            RetryBackoff(lease_s, MAX_RETRY_PAUSE_LEASES * lease_s)
            if previous_leader is None
            else previous_leader._retry_backoff
        )

    def on_shard_view(self, view: ShardView, now: float) -> ShardOrders:
        """Takes in an owner's view of its shard; returns the orders for that owner.

        The answer asks for a full view (`resync`) if this one is outdated or is a delta to a
        view that this leader does not have."""
        if self._views.is_outdated(view):
            return ShardOrders(self._replica.state_revision, [], [], resync=True)
        self._silent_machines.on_view(view, now)
        state = self._views.apply_view(view, now)
        if state is None:
            return ShardOrders(self._replica.state_revision, [], [], resync=True)
        for sample in view.samples:
            self.estimates.add(*msgspec.structs.astuple(sample))
        for machine in view.machines:
            self.fleet.on_machine_view(machine, now)
        released_machines = [name for name in state.machines if name in self.fleet.released_at]
        to_retire = [name for name in self.fleet.to_retire if name in state.machines]
        evict = self._preemption.take_evictions(state.machines)
        return ShardOrders(
            self._replica.state_revision,
            to_retire,
            released_machines,
            evict,
            unreported=self._silent_machines.unreported(view.shard),
            failing_jobs=self._retry_backoff.newest(MAX_FAILING_JOBS_SENT),
        )

    def on_machine_list(self, machines: list[ListedMachine], now: float) -> None:
        """Takes in a complete list of machines from the cloud."""
        self.fleet.on_machine_list(machines, now, self._views.heard_recently)

    def round(self, now: float, wall: float) -> RoundResult:
        """Plans one round.

        `now` is the monotonic clock and `wall` the Unix time, both in seconds. Without any
        known machine type the result is empty."""
        result = RoundResult()
        self._views.refresh_jobs()
        self.fleet.forget_released(now)
        types = self.fleet.types
        if not types:
            return result
        views = self._views.fresh_shards(now)
        running = running_capacity(self._replica, self.fleet, views, self.estimates, now)
        diagnoses = self._silent_machines.diagnoses(self.fleet, views, now)
        subtract_in_transit(self._replica, self.estimates, running, views)
        self._update_retry_backoff(views, now)
        guaranteed = within_guarantee(self._replica, self._teams, lambda job: job.ready_at)
        self._urgencies = Urgencies(self._replica, self._settings, self.estimates, types.values())
        # A team's most urgent jobs are covered by its guarantee too, whichever came earlier.
        guaranteed_by_urgency = within_guarantee(
            self._replica, self._teams, lambda job: (self._urgencies.rank(job), job.ready_at)
        )
        demands, jobs = ordered_demands(
            self._replica,
            self._teams,
            self._urgencies,
            self.estimates,
            guaranteed | guaranteed_by_urgency,
            self._policy,
            running,
            wall,
            self._retry_backoff,
            now,
        )
        market = Market(
            types=types,
            refused=self.fleet.refused_kinds(now) | self._kinds_in_unreachable_zones(types),
            takeback_share=self.fleet.takeback.share(now),
            takeback_threshold=self._settings.properties.takeback_threshold,
            patience_boots=self._settings.properties.patience_boots,
            backlog=self.backlog,
        )
        starting = self.fleet.starting_capacity(now, diagnoses)
        market.boots = self.fleet.expected_boot_times(now)
        due_by_age = [(demand.uid, demand.count) for demand in demands if demand.due_by_age]
        round_plan = plan(
            demands,
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
            self._log_round(round_plan, jobs, running, market)
            self._log_diagnoses(diagnoses)
            if self._retry_backoff:
                log.info("in retry backoff: %s", self._retry_backoff.describe(now))
            if due_by_age:
                log.info(
                    "first in line because of their age: %d tasks of %d jobs, first %s, "
                    "waiting for %.0f s",
                    sum(n for _, n in due_by_age),
                    len(due_by_age),
                    due_by_age[0][0],
                    wall - jobs[due_by_age[0][0]].ready_at,
                )
        result.new_assignments = assign_tasks(
            round_plan, jobs, self._settings.state_limits.value_bytes
        )
        if self.fleet.has_listing:
            result.rentals = round_plan.rentals
        result.releases = self.fleet.machines_to_release(round_plan, now, views, diagnoses)
        self._preemption.choose_evictions(
            round_plan, jobs, guaranteed, self._urgencies, types, views, now, wall
        )
        return result

    def _update_retry_backoff(self, views: dict[int, ShardState], now: float) -> None:
        def may_be_failing(uid: str) -> bool:
            job = self._replica.live.get(uid)
            return job is not None and not job.is_terminal and not job.done_count

        self._retry_backoff.keep(may_be_failing)
        reports = [
            report
            for state in views.values()
            for report in state.failing
            if may_be_failing(report.uid)
        ]
        for uid, machines, tries in self._retry_backoff.on_failing(reports, now):
            log.warning(
                "%s is in retry backoff: its tasks failed %d times on %d machines and none "
                "succeeded; one task is retried after %.0f s, then at growing intervals, until it "
                "succeeds or the job is cancelled",
                uid,
                tries,
                machines,
                self._retry_backoff.wait_s(uid, now),
            )

    def on_assigned(self, uids: Iterable[str], now: float) -> None:
        """Tasks of these jobs have been assigned; for a failing job that counts as a retry."""
        for uid in uids:
            self._retry_backoff.on_retry(uid, now)

    def _kinds_in_unreachable_zones(
        self, types: dict[str, MachineType]
    ) -> set[tuple[str, str, bool]]:
        """All kinds of machines in unreachable zones: one rented there could not be used."""
        return {
            (name, zone, spot)
            for zone in self._silent_machines.unreachable_zones
            for name in types
            for spot in (True, False)
        }

    def _log_diagnoses(self, diagnoses: dict[str, Diagnosis]) -> None:
        counts = Counter(
            (diagnosis.severity.name.lower(), diagnosis.cause.value)
            for diagnosis in diagnoses.values()
        )
        if counts:
            log.info(
                "silent machines: %s",
                ", ".join(
                    f"{count} {severity} ({cause})"
                    for (severity, cause), count in sorted(counts.items())
                ),
            )

    def _log_round(
        self, round_plan: Plan, jobs: dict[str, Job], running: list[MachineCapacity], market: Market
    ) -> None:
        open_by_cpus: dict[float, int] = {}
        for job in jobs.values():
            task_cpus = job.spec.cpus
            open_by_cpus[task_cpus] = open_by_cpus.get(task_cpus, 0) + len(job.open_tasks)
        machines_by_free_cpus: dict[float, int] = {}
        for capacity in running:
            if capacity.cpus > 0:
                machines_by_free_cpus[capacity.cpus] = (
                    machines_by_free_cpus.get(capacity.cpus, 0) + 1
                )
        log.info(
            "open tasks by CPUs %s, %d of them without capacity (%d wait for a busy machine, "
            "%d for a booting one), %d placed now; %d machines, "
            "%d of them open, %.0f of %.0f CPUs free, machines by free CPUs %s; "
            "renting %s, %d of them for tasks on lost machines; refused %s; take-back share %.2f",
            dict(sorted(open_by_cpus.items())),
            sum(n for _, n in round_plan.unplaced),
            round_plan.waiting_for_busy,
            round_plan.waiting_for_boot,
            sum(p.count for p in round_plan.placements),
            len(self.fleet.machines),
            len(running),
            sum(max(0.0, r.cpus) for r in running),
            sum(r.type.cpus for r in running),
            dict(sorted(machines_by_free_cpus.items())),
            [(r.type, r.zone, r.spot, r.count) for r in round_plan.rentals],
            round_plan.rented_ahead,
            sorted(market.refused),
            market.takeback_share,
        )
