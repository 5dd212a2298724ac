"""The rented machines as the leader knows them: which ones run, boot, were refused by the cloud
and are to be released. No I/O and no clock; the loops in `cloud` make the calls.
"""

import math
from collections.abc import Callable, Container, Mapping
from dataclasses import dataclass

from ryegauge.config import Settings
from ryegauge.coordination.shard_views import ShardState
from ryegauge.coordination.sharding import ShardMap
from ryegauge.detection.failure_diagnosis import (
    HEALTHY,
    RECOVERY_LEASES,
    Cause,
    Diagnosis,
    Severity,
)
from ryegauge.protocol.cloud import ListedMachine, MachineType
from ryegauge.protocol.peers import MachineView
from ryegauge.scheduling.boot_times import BootEstimate, BootTimes, MachineKind, PendingBoot
from ryegauge.scheduling.planner import MachineCapacity, Plan, Rental, empty_machine_capacity
from ryegauge.scheduling.takeback_share import TakebackShare

# Causes of silence after which a machine usually comes back, sooner than a new one would boot.
RECOVERABLE_CAUSES = {Cause.HUNG, Cause.OWNER_UNREACHABLE, Cause.OWNER_STALLED, Cause.ZONE_CUT}


class FleetMachine:
    """A machine of the fleet. Times are seconds of the leader's monotonic clock."""

    __slots__ = (
        "address",
        "failed",
        "granted_at",
        "has_reclaim_notice",
        "has_reported",
        "idle_since",
        "last_listed_at",
        "last_report_at",
        "listed_running_since",
        "name",
        "rented_at",
        "shard",
        "spot",
        "type",
        "was_listed",
        "zone",
    )

    def __init__(
        self, name: str, shard: int, type_: str, zone: str, spot: bool, rented_at: float
    ) -> None:
        self.name = name
        self.shard = shard
        self.type = type_
        self.zone = zone
        self.spot = spot
        # When it was rented, as far as is known; otherwise when this leader first learnt of it.
        self.rented_at = rented_at
        self.granted_at: float | None = None  # when this leader's rental was answered
        self.address = ""
        self.was_listed = False  # was on a list at least once
        self.last_listed_at = -math.inf  # when the latest list that contains it was read
        self.failed = False  # listed as failed
        self.has_reported = False  # has reported to an owner of its shard
        # Its last report, as far as the views of its owners show.
        self.last_report_at: float | None = None
        self.has_reclaim_notice = False  # the cloud has announced that it will reclaim it
        self.idle_since: float | None = None
        self.listed_running_since: float | None = None  # when it was first listed as running


@dataclass(slots=True)
class PendingRental:
    """A rental request that is under way or whose outcome is unknown."""

    rental: Rental
    sent_at: float
    expires_at: float  # its machines are expected until then
    missing_count: int  # machines of it that have not appeared yet

    @property
    def kind(self) -> MachineKind:
        """The type, zone and pricing of its machines."""
        return self.rental.type, self.rental.zone, self.rental.spot


class Fleet:
    """The machines, rental requests and refusals of the cloud, and what is to be released.

    Its state outlives a leader's token: a controller that is elected again passes it on."""

    def __init__(self, settings: Settings, now: float) -> None:
        self._settings = settings
        self._since = now
        self._shard_map = ShardMap(settings)
        self.types: dict[str, MachineType] = {}  # by name, with current prices
        self.machines: dict[str, FleetMachine] = {}
        self.has_listing = False
        self._pending_rentals: list[PendingRental] = []
        self._refusals: dict[tuple[str, str, bool], tuple[float, float]] = {}
        self.released_at: dict[str, float] = {}  # machines certainly released -> when
        # To be released once the owner of their shard confirms that they are empty.
        self.to_retire: set[str] = set()
        self.boots = BootTimes()
        self._expected_boots: dict[str, BootEstimate] = {}  # machines that are not up yet, by name
        self.takeback = TakebackShare(settings.properties.takeback_window_s)

    def add(self, name: str, type_: str, zone: str, spot: bool, rented_at: float) -> FleetMachine:
        """Adds a machine that was rented at `rented_at`, as far as is known."""
        shard = self._shard_map.shard_of(name, zone)
        machine = self.machines[name] = FleetMachine(name, shard, type_, zone, spot, rented_at)
        if spot:
            self.takeback.record_start(name, rented_at)
        return machine

    def on_machine_list(
        self,
        machines: list[ListedMachine],
        now: float,
        heard_recently: Callable[[int, str, float], bool],
    ) -> None:
        """Takes in a complete list of machines. `heard_recently(shard, machine, now)` tells whether
        the owner of a shard has heard from a machine within its lease.

        The cloud lists a machine until it is gone, but a list may be older than the one before
        it: a machine is dropped from the fleet only after it was missing for twice the list
        lag, and nothing is concluded about its tasks."""
        self.has_listing = True
        listed_names: set[str] = set()
        for entry in machines:
            if entry.name in self.released_at:
                continue
            listed_names.add(entry.name)
            machine = self.machines.get(entry.name)
            if machine is None:
                # The listed age is as of the moment that the list describes.
                age_s = entry.age_s + self._settings.settings.cloud.list_lag_s
                machine = self.add(entry.name, entry.type, entry.zone, entry.spot, now - age_s)
                self._match_pending_rental(machine)
            machine.was_listed, machine.last_listed_at = True, now
            machine.address = entry.addr or machine.address
            machine.failed = entry.state == "failed"
            if entry.state == "running" and machine.listed_running_since is None:
                machine.listed_running_since = now
        for machine in list(self.machines.values()):
            # If an older list dropped machines at once, those listed shortly before would be
            # rented again, and each spot machine of them would count as reclaimed.
            missing = (
                machine.was_listed
                and machine.name not in listed_names
                and (now - machine.last_listed_at > 2 * self._settings.settings.cloud.list_lag_s)
            )
            if missing and not heard_recently(machine.shard, machine.name, now):
                self._remove(machine, now, reclaimed=machine.spot)

    def on_machine_view(self, view: MachineView, now: float) -> None:
        """Takes in a machine's description by the owner of its shard."""
        machine = self.machines.get(view.name)
        if machine is None:
            if view.name in self.released_at:
                return
            # Rented by an earlier leader, or by a request that was executed late.
            machine = self.add(view.name, view.type, view.zone, view.spot, now)
            if view.empty:
                self._match_pending_rental(machine)
        machine.last_report_at = now - view.silent_s
        if not machine.has_reported:
            machine.has_reported = True
            self._record_boot(machine, machine.last_report_at, now)
        machine.has_reclaim_notice = machine.has_reclaim_notice or view.notice
        if view.empty:
            if machine.idle_since is None:
                machine.idle_since = now
        else:
            machine.idle_since = None

    def _match_pending_rental(self, machine: FleetMachine) -> None:
        """A machine has appeared that no answer of the cloud has named. It may belong to a rental
        request that is still unanswered, which then has one machine less to wait for. Otherwise
        both would be expected, and tasks would wait for a machine that never comes instead of
        having another rented."""
        lag_s = self._settings.settings.cloud.list_lag_s
        for pending in self._pending_rentals:
            kind = (machine.type, machine.zone, machine.spot)
            if (
                pending.missing_count
                and pending.kind == kind
                and machine.rented_at >= pending.sent_at - lag_s
            ):
                pending.missing_count -= 1
                return

    def _record_boot(self, machine: FleetMachine, up_at: float, now: float) -> None:
        type_ = self.types.get(machine.type)
        if machine.granted_at is not None and type_ is not None:
            took_s = max(0.0, up_at - machine.granted_at)
            kind = (machine.type, machine.zone, machine.spot)
            self.boots.record_boot(kind, type_.boot_s, took_s, now)

    def _remove(self, machine: FleetMachine, now: float, reclaimed: bool) -> None:
        del self.machines[machine.name]
        self.to_retire.discard(machine.name)
        # The cloud may have capacity of this kind again.
        self._refusals.pop((machine.type, machine.zone, machine.spot), None)
        if machine.spot:
            self.takeback.record_end(machine.name, now, reclaimed)

    def on_rental_sent(self, rental: Rental, now: float) -> None:
        """A rental request is being sent; its machines are expected until it is answered, or
        until they would have been listed."""
        expires_at = now + 2 * self._settings.settings.cloud.list_lag_s + 5
        self._pending_rentals.append(PendingRental(rental, now, expires_at, rental.count))

    def on_rental_granted(self, rental: Rental, names: list[str], now: float) -> None:
        """The cloud has granted a request, with these machines. Fewer than requested mean that
        it has no more of the kind."""
        self._drop_pending(rental)
        for name in names:
            if name not in self.machines and name not in self.released_at:
                added = self.add(name, rental.type, rental.zone, rental.spot, now)
                added.granted_at = now
        if len(names) < rental.count:
            self.on_rental_refused(rental, now)

    def on_rental_refused(self, rental: Rental, now: float, drop_pending: bool = False) -> None:
        """The cloud has no more machines of this kind: none is requested for one list lag,
        after a repeated refusal for two. `drop_pending` ends the request itself."""
        if drop_pending:
            self._drop_pending(rental)
        key = (rental.type, rental.zone, rental.spot)
        _, pause_s = self._refusals.get(key, (0.0, 0.0))
        min_pause_s = self._settings.settings.cloud.list_lag_s
        pause_s = min(max(min_pause_s, 2 * pause_s), 2 * min_pause_s)
        self._refusals[key] = (now + pause_s, pause_s)

    def on_rental_failed(self, rental: Rental) -> None:
        """The cloud has rejected a request for another reason than a lack of machines."""
        self._drop_pending(rental)

    def _drop_pending(self, rental: Rental) -> None:
        self._pending_rentals = [
            pending for pending in self._pending_rentals if pending.rental is not rental
        ]

    def on_released(self, names: list[str], now: float) -> None:
        """The cloud has confirmed the release of these machines."""
        for name in names:
            self.released_at[name] = now
            if (machine := self.machines.get(name)) is not None:
                self._remove(machine, now, reclaimed=machine.has_reclaim_notice)

    # -- for planning rounds --------------------------------------------------------------

    def forget_released(self, now: float) -> None:
        """Forgets released machines once no late list or view can name them any more."""
        keep_s = 10 * self._settings.settings.workers.lease_s
        self.released_at = {name: at for name, at in self.released_at.items() if now - at < keep_s}

    def refused_kinds(self, now: float) -> set[tuple[str, str, bool]]:
        """The kinds (type, zone, spot) that are not requested for now, after a refusal."""
        return {key for key, (expires_at, _) in self._refusals.items() if expires_at > now}

    def starting_capacity(self, now: float, silent: Container[str] = ()) -> list[MachineCapacity]:
        """The capacity of machines that boot or are being rented, with the expected time until
        each is up. Those in `silent` are left out."""
        capacities: list[MachineCapacity] = []
        booting = [
            (machine, type_)
            for machine in self.machines.values()
            if (type_ := self.types.get(machine.type)) is not None
            and not machine.failed
            and not machine.has_reported
        ]
        self._expected_boots = self.boots.assess(
            (
                PendingBoot(
                    machine.name,
                    (machine.type, machine.zone, machine.spot),
                    type_.boot_s,
                    now - machine.rented_at,
                )
                for machine, type_ in booting
            ),
            now,
        )
        for machine, type_ in booting:
            expected = self._expected_boots[machine.name]
            if machine.name in self.to_retire or machine.name in silent:
                continue  # it is up but silent, or about to be released: not expected to join
            if not expected.is_expected:
                continue
            capacity = empty_machine_capacity(type_, machine.name, machine.zone, machine.spot)
            capacity.available_in_s = expected.remaining_s
            capacities.append(capacity)
        self._pending_rentals = [
            pending for pending in self._pending_rentals if pending.expires_at > now
        ]
        for pending in self._pending_rentals:
            type_ = self.types.get(pending.rental.type)
            if type_ is not None:
                for i in range(pending.missing_count):
                    _, zone, spot = pending.kind
                    capacity = empty_machine_capacity(type_, f"?{pending.sent_at}-{i}", zone, spot)
                    capacity.available_in_s = self.boots.boot_s(pending.kind, type_.boot_s, now)
                    capacities.append(capacity)
        return capacities

    def expected_boot_times(self, now: float) -> dict[MachineKind, float]:
        """The expected boot time in seconds of a machine rented now, for each kind."""
        return {
            (type_.name, zone, spot): self.boots.boot_s((type_.name, zone, spot), type_.boot_s, now)
            for type_ in self.types.values()
            for zone in type_.zones
            for spot in (False, True)
        }

    def machines_to_release(
        self,
        round_plan: Plan,
        now: float,
        views: dict[int, ShardState],
        diagnoses: Mapping[str, Diagnosis],
    ) -> list[str]:
        """Names of the machines to release now, at most 100. Also chooses the idle machines
        that their owners are to keep empty first (`to_retire`)."""
        properties = self._settings.properties
        refused_kinds = self.refused_kinds(now)
        releases: list[str] = []
        for machine in self.machines.values():
            type_ = self.types.get(machine.type)
            age_s = now - machine.rented_at
            observed = (
                views[machine.shard].machines.get(machine.name) if machine.shard in views else None
            )
            view = None if observed is None else observed.view
            diagnosis = diagnoses.get(machine.name, HEALTHY)
            severity, is_refused = (
                diagnosis.severity,
                (machine.type, machine.zone, machine.spot) in refused_kinds,
            )
            if machine.failed:
                releases.append(machine.name)
            elif type_ is None:
                continue
            elif (
                severity is Severity.EXPIRED
                and is_refused
                and diagnosis.cause not in RECOVERABLE_CAUSES
            ):
                # Its lease is over, so nothing runs there any more, and the cloud has no more
                # of this kind until it is released. While the cloud has more it is kept: a
                # hung or cut-off machine is back sooner than a new one would boot.
                releases.append(machine.name)
            elif severity is Severity.EXPIRED and self._is_given_up(machine, diagnosis, now):
                releases.append(machine.name)
            elif not machine.has_reported:
                # A machine that never boots is charged until it is released. But one that is
                # listed as running may have reported without this leader knowing: the leader
                # is new, or cannot reach the owner. Releasing it would lose its tasks. The same
                # goes for one listed as starting, since the list lags: its owner's view has to
                # come first.
                may_have_reported = machine.shard not in views or (
                    machine.listed_running_since is not None
                    and now - max(machine.listed_running_since, self._since)
                    < 2 * self._settings.settings.workers.lease_s
                )
                expected = self._expected_boots.get(machine.name)
                if expected is not None and expected.is_given_up and not may_have_reported:
                    releases.append(machine.name)
            elif view is None:
                continue
            elif view.retiring:
                self.to_retire.add(machine.name)
                if view.empty or view.silent_s > self._settings.settings.workers.lease_s:
                    releases.append(machine.name)
            elif machine.name in self.to_retire:
                continue  # its owner has not confirmed yet that it starts no more tasks there
            elif (
                view.empty
                and machine.name not in round_plan.used
                and machine.idle_since is not None
                and now - machine.idle_since > properties.idle_boots * type_.boot_s
                and age_s > properties.paid_period_s
            ):
                # Retired first, released once its owner confirms that it stays empty.
                self.to_retire.add(machine.name)
            elif severity is Severity.LOST and (is_refused or diagnosis.silent_alone):
                # The release proves that its tasks ended, before its lease runs out, so that
                # they can start elsewhere. If many machines are silent at once, more of them
                # may come back and the lease ends soon anyway: then it is released only if
                # the cloud has no more of its kind.
                releases.append(machine.name)
        return releases[:100]

    def _is_given_up(self, machine: FleetMachine, diagnosis: Diagnosis, now: float) -> bool:
        """Whether a silent machine that may come back has been waited for long enough.

        It is charged and of no use meanwhile. Without this limit a machine that reaches no
        controller but answers probes is kept for as long as that lasts. Only for a machine that
        is silent alone: if many are, they have a common cause and may come back together."""
        recovery_s = RECOVERY_LEASES * self._settings.max_lease_s
        return (
            diagnosis.silent_alone
            and machine.last_report_at is not None
            and now - machine.last_report_at > recovery_s
        )
