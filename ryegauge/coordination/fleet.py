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
from ryegauge.scheduling.boot_times import BootTimes, Expected, Kind, Pending
from ryegauge.scheduling.planner import MachineCapacity, Plan, Rental, unused_capacity
from ryegauge.scheduling.takeback_share import TakebackShare

# Causes of silence after which a machine usually comes back, sooner than a new one would boot.
COMES_BACK = {Cause.HUNG, Cause.OWNER_UNREACHABLE, Cause.OWNER_STALLED, Cause.ZONE_CUT}


class FleetMachine:
    """A machine of the fleet. Times are seconds of the leader's monotonic clock."""

    __slots__ = (
        "address",
        "asked_at",
        "failed",
        "heard_at",
        "idle_since",
        "listed",
        "listed_running_since",
        "name",
        "noticed",
        "reported",
        "seen_at",
        "shard",
        "since",
        "spot",
        "type",
        "zone",
    )

    def __init__(
        self, name: str, shard: int, type_: str, zone: str, spot: bool, since: float
    ) -> None:
        self.name = name
        self.shard = shard
        self.type = type_
        self.zone = zone
        self.spot = spot
        self.since = since  # when it was rented, else when this leader first learnt of it
        self.asked_at: float | None = None  # when this leader's rental was answered
        self.address = ""
        self.listed = False  # was on a list at least once
        self.seen_at = -math.inf  # when the latest list that contains it was read
        self.failed = False  # listed as failed
        self.reported = False  # has reported to an owner of its part
        # Its last report, as far as the views of its owners show.
        self.heard_at: float | None = None
        self.noticed = False  # the cloud has announced that it will reclaim it
        self.idle_since: float | None = None
        self.listed_running_since: float | None = None  # when it was first listed as running


@dataclass(slots=True)
class PendingRental:
    """A rental request that is under way or whose outcome is unknown."""

    rental: Rental
    since: float
    until: float  # its machines are expected until then
    left: int  # machines of it that have not appeared yet

    @property
    def kind(self) -> Kind:
        """The type, zone and pricing of its machines."""
        return self.rental.type, self.rental.zone, self.rental.spot


class Fleet:
    """The machines, rental requests and refusals of the cloud, and what is to be released.

    Its state outlives a leader's token: a controller that leads again hands it on."""

    def __init__(self, settings: Settings, now: float) -> None:
        self._settings = settings
        self._since = now
        self._shard_map = ShardMap(settings)
        self.types: dict[str, MachineType] = {}  # by name, with current prices
        self.machines: dict[str, FleetMachine] = {}
        self.has_listing = False
        self._asked: list[PendingRental] = []
        self._refused: dict[tuple[str, str, bool], tuple[float, float]] = {}
        self.gone: dict[str, float] = {}  # machines certainly released -> when
        # To be released once the owner of their part confirms that they are empty.
        self.retire: set[str] = set()
        self.boots = BootTimes()
        self._expecting: dict[str, Expected] = {}  # machines that are not up yet, by name
        self.takeback = TakebackShare(settings.properties.takeback_window_s)

    def add(self, name: str, type_: str, zone: str, spot: bool, since: float) -> FleetMachine:
        """Adds a machine that was rented at `since`."""
        shard = self._shard_map.shard_of(name, zone)
        rented = self.machines[name] = FleetMachine(name, shard, type_, zone, spot, since)
        if spot:
            self.takeback.began(name, since)
        return rented

    def on_machine_list(
        self, machines: list[ListedMachine], now: float, heard: Callable[[int, str, float], bool]
    ) -> None:
        """Takes in a complete list of machines. `heard(part, machine, now)` tells whether the
        owner of a part has heard from a machine within its lease.

        The cloud lists a machine until it is gone, but a list may be older than the one before
        it: a machine is dropped from the fleet only after it was missing for twice the list
        lag, and nothing is concluded about its tasks."""
        self.has_listing = True
        seen: set[str] = set()
        for entry in machines:
            if entry.name in self.gone:
                continue
            seen.add(entry.name)
            rented = self.machines.get(entry.name)
            if rented is None:
                # The listed age is as of the moment that the list describes.
                age_s = entry.age_s + self._settings.settings.cloud.list_lag_s
                rented = self.add(entry.name, entry.type, entry.zone, entry.spot, now - age_s)
                self._appeared(rented)
            rented.listed, rented.seen_at = True, now
            rented.address = entry.addr or rented.address
            rented.failed = entry.state == "failed"
            if entry.state == "running" and rented.listed_running_since is None:
                rented.listed_running_since = now
        for rented in list(self.machines.values()):
            # If an older list dropped machines at once, those listed shortly before would be
            # rented again, and each spot machine of them would count as reclaimed.
            missing = (
                rented.listed
                and rented.name not in seen
                and (now - rented.seen_at > 2 * self._settings.settings.cloud.list_lag_s)
            )
            if missing and not heard(rented.shard, rented.name, now):
                self._lost(rented, now, taken=rented.spot)

    def shown(self, machine: MachineView, now: float) -> None:
        """Takes in a machine's description by the owner of its part."""
        rented = self.machines.get(machine.name)
        if rented is None:
            if machine.name in self.gone:
                return
            # Rented by an earlier leader, or by a request that was executed late.
            rented = self.add(machine.name, machine.type, machine.zone, machine.spot, now)
            if machine.empty:
                self._appeared(rented)
        rented.heard_at = now - machine.silent_s
        if not rented.reported:
            rented.reported = True
            self._came_up(rented, rented.heard_at, now)
        rented.noticed = rented.noticed or machine.notice
        if machine.empty:
            if rented.idle_since is None:
                rented.idle_since = now
        else:
            rented.idle_since = None

    def _appeared(self, rented: FleetMachine) -> None:
        """A machine has appeared that no answer of the cloud has named. It may belong to a rental
        request that is still unanswered, which then has one machine less to wait for. Otherwise
        both would be expected, and tasks would wait for a machine that never comes instead of
        having another rented."""
        lag_s = self._settings.settings.cloud.list_lag_s
        for asked in self._asked:
            kind = (rented.type, rented.zone, rented.spot)
            if asked.left and asked.kind == kind and rented.since >= asked.since - lag_s:
                asked.left -= 1
                return

    def _came_up(self, rented: FleetMachine, at: float, now: float) -> None:
        type_ = self.types.get(rented.type)
        if rented.asked_at is not None and type_ is not None:
            took_s = max(0.0, at - rented.asked_at)
            kind = (rented.type, rented.zone, rented.spot)
            self.boots.record_boot(kind, type_.boot_s, took_s, now)

    def _lost(self, rented: FleetMachine, now: float, taken: bool) -> None:
        del self.machines[rented.name]
        self.retire.discard(rented.name)
        # The cloud may have capacity of this kind again.
        self._refused.pop((rented.type, rented.zone, rented.spot), None)
        if rented.spot:
            self.takeback.ended(rented.name, now, taken)

    def on_rental_sent(self, rental: Rental, now: float) -> None:
        """A rental request is being sent; its machines are expected until it is answered, or
        until they would have been listed."""
        until = now + 2 * self._settings.settings.cloud.list_lag_s + 5
        self._asked.append(PendingRental(rental, now, until, rental.count))

    def rented(self, rental: Rental, names: list[str], now: float) -> None:
        """The cloud has granted a request, with these machines. Fewer than requested mean that
        it has no more of the kind."""
        self._settle(rental)
        for name in names:
            if name not in self.machines and name not in self.gone:
                added = self.add(name, rental.type, rental.zone, rental.spot, now)
                added.asked_at = now
        if len(names) < rental.count:
            self.on_rental_refused(rental, now)

    def on_rental_refused(self, rental: Rental, now: float, settle: bool = False) -> None:
        """The cloud has no more machines of this kind: none is requested for one list lag,
        after a repeated refusal for two. `settle` ends the request itself."""
        if settle:
            self._settle(rental)
        key = (rental.type, rental.zone, rental.spot)
        _, pause = self._refused.get(key, (0.0, 0.0))
        least = self._settings.settings.cloud.list_lag_s
        pause = min(max(least, 2 * pause), 2 * least)
        self._refused[key] = (now + pause, pause)

    def on_rental_failed(self, rental: Rental) -> None:
        """The cloud has rejected a request for another reason than a lack of machines."""
        self._settle(rental)

    def _settle(self, rental: Rental) -> None:
        self._asked = [asked for asked in self._asked if asked.rental is not rental]

    def released(self, names: list[str], now: float) -> None:
        """The cloud has confirmed the release of these machines."""
        for name in names:
            self.gone[name] = now
            if (rented := self.machines.get(name)) is not None:
                self._lost(rented, now, taken=rented.noticed)

    # -- for planning rounds --------------------------------------------------------------

    def forget(self, now: float) -> None:
        """Forgets released machines once no late list or view can name them any more."""
        lasting = 10 * self._settings.settings.workers.lease_s
        self.gone = {name: at for name, at in self.gone.items() if now - at < lasting}

    def refused_kinds(self, now: float) -> set[tuple[str, str, bool]]:
        """The kinds (type, zone, spot) that are not requested for now, after a refusal."""
        return {key for key, (until, _) in self._refused.items() if until > now}

    def starting(self, now: float, silent: Container[str] = ()) -> list[MachineCapacity]:
        """The capacity of machines that boot or are being rented, with the expected time until
        each is up. Those in `silent` are left out."""
        rooms: list[MachineCapacity] = []
        coming = [
            (r, type_)
            for r in self.machines.values()
            if (type_ := self.types.get(r.type)) is not None and not r.failed and not r.reported
        ]
        self._expecting = self.boots.look(
            (
                Pending(r.name, (r.type, r.zone, r.spot), type_.boot_s, now - r.since)
                for r, type_ in coming
            ),
            now,
        )
        for r, type_ in coming:
            expected = self._expecting[r.name]
            if r.name in self.retire or r.name in silent:
                continue  # it is up but silent, or about to be released: not expected to join
            if not expected.counted:
                continue
            room = unused_capacity(type_, r.name, r.zone, r.spot)
            room.available_in_s = expected.left_s
            rooms.append(room)
        self._asked = [asked for asked in self._asked if asked.until > now]
        for asked in self._asked:
            type_ = self.types.get(asked.rental.type)
            if type_ is not None:
                for i in range(asked.left):
                    _, zone, spot = asked.kind
                    room = unused_capacity(type_, f"?{asked.since}-{i}", zone, spot)
                    room.available_in_s = self.boots.boot_s(asked.kind, type_.boot_s, now)
                    rooms.append(room)
        return rooms

    def boot_times(self, now: float) -> dict[Kind, float]:
        """The expected boot time in seconds of a machine rented now, for each kind."""
        return {
            (type_.name, zone, spot): self.boots.boot_s((type_.name, zone, spot), type_.boot_s, now)
            for type_ in self.types.values()
            for zone in type_.zones
            for spot in (False, True)
        }

    def returns(
        self,
        decided: Plan,
        now: float,
        views: dict[int, ShardState],
        diagnoses: Mapping[str, Diagnosis],
    ) -> list[str]:
        """Names of the machines to release now, at most 100. Also chooses the idle machines
        that their owners are to empty and keep empty first (`retire`)."""
        props = self._settings.properties
        full = self.refused_kinds(now)
        releases: list[str] = []
        for r in self.machines.values():
            type_ = self.types.get(r.type)
            age = now - r.since
            shown = views[r.shard].machines.get(r.name) if r.shard in views else None
            view = None if shown is None else shown.view
            diagnosis = diagnoses.get(r.name, HEALTHY)
            severity, is_full = diagnosis.severity, (r.type, r.zone, r.spot) in full
            if r.failed:
                releases.append(r.name)
            elif type_ is None:
                continue
            elif severity is Severity.EXPIRED and is_full and diagnosis.cause not in COMES_BACK:
                # Its lease is over, so nothing runs there any more, and the cloud has no more
                # of this kind until it is released. While the cloud has more it is kept: a
                # hung or cut-off machine is back sooner than a new one would boot.
                releases.append(r.name)
            elif severity is Severity.EXPIRED and self._is_given_up(r, diagnosis, now):
                releases.append(r.name)
            elif not r.reported:
                # A machine that never boots is charged until it is released. But one that is
                # listed as running may have reported without this leader knowing: the leader
                # is new, or cannot reach the owner. Releasing it would lose its tasks. The same
                # goes for one listed as starting, since the list lags: its owner's view has to
                # come first.
                unreported = r.shard not in views or (
                    r.listed_running_since is not None
                    and now - max(r.listed_running_since, self._since)
                    < 2 * self._settings.settings.workers.lease_s
                )
                expected = self._expecting.get(r.name)
                if expected is not None and expected.lost and not unreported:
                    releases.append(r.name)
            elif view is None:
                continue
            elif view.retiring:
                self.retire.add(r.name)
                if view.empty or view.silent_s > self._settings.settings.workers.lease_s:
                    releases.append(r.name)
            elif r.name in self.retire:
                continue  # its owner has not confirmed yet that it starts no more tasks there
            elif (
                view.empty
                and r.name not in decided.used
                and r.idle_since is not None
                and now - r.idle_since > props.idle_boots * type_.boot_s
                and age > props.paid_period_s
            ):
                # Retired first, released once its owner confirms that it stays empty.
                self.retire.add(r.name)
            elif severity is Severity.LOST and (is_full or diagnosis.silent_alone):
                # The release proves that its tasks ended, before its lease runs out, so that
                # they can start elsewhere. If many machines are silent at once, more of them
                # may come back and the lease ends soon anyway: then it is released only if
                # the cloud has no more of its kind.
                releases.append(r.name)
        return releases[:100]

    def _is_given_up(self, rented: FleetMachine, diagnosis: Diagnosis, now: float) -> bool:
        """Whether a silent machine that may come back has been waited for long enough.

        It is charged and of no use meanwhile. Without this limit a machine that reaches no
        controller but answers probes is kept for as long as that lasts. Only for a machine that
        is silent alone: if many are, they have a common cause and may come back together."""
        hope_s = RECOVERY_LEASES * self._settings.max_lease_s
        return (
            diagnosis.silent_alone
            and rented.heard_at is not None
            and now - rented.heard_at > hope_s
        )
