"""The machines as the cloud tells of them: what is rented, on its way, refused and to be
returned. No I/O and no clock; the loops in `cloud` make the calls.
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

# Why a machine may be silent that is there, and worth more than a new one.
COMES_BACK = {Cause.HUNG, Cause.OWNER_UNREACHABLE, Cause.OWNER_STALLED, Cause.ZONE_CUT}


class FleetMachine:
    """A machine as the cloud knows it."""

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
        self.since = since  # rental request, in our clock
        self.asked_at: float | None = None  # the same, if we asked ourselves
        self.address = ""
        self.listed = False
        self.seen_at = -math.inf  # on the latest list that shows it
        self.failed = False
        self.reported = False  # some part's owner has heard from it
        self.heard_at: float | None = None  # when its owner last did, as far as was shown
        self.noticed = False
        self.idle_since: float | None = None
        self.listed_running_since: float | None = None  # listed as running


@dataclass(slots=True)
class PendingRental:
    """A rental request under way or of unknown outcome."""

    rental: Rental
    since: float
    until: float  # counted on as long as that
    left: int  # of its machines, those that have not shown themselves

    @property
    def kind(self) -> Kind:
        return self.rental.type, self.rental.zone, self.rental.spot


class Fleet:
    def __init__(self, settings: Settings, now: float) -> None:
        self._settings = settings
        self._since = now
        self._shard_map = ShardMap(settings)
        self.types: dict[str, MachineType] = {}  # with current prices
        self.machines: dict[str, FleetMachine] = {}
        self.has_listing = False
        self._asked: list[PendingRental] = []
        self._refused: dict[tuple[str, str, bool], tuple[float, float]] = {}
        self.gone: dict[str, float] = {}  # surely released, and when
        self.retire: set[str] = set()  # to be returned once their owner says they are empty
        self.boots = BootTimes()
        self._expecting: dict[str, Expected] = {}  # machines that are not up yet
        self.takeback = TakebackShare(settings.properties.takeback_window_s)

    def add(self, name: str, type_: str, zone: str, spot: bool, since: float) -> FleetMachine:
        shard = self._shard_map.shard_of(name, zone)
        rented = self.machines[name] = FleetMachine(name, shard, type_, zone, spot, since)
        if spot:
            self.takeback.began(name, since)
        return rented

    def on_machine_list(
        self, machines: list[ListedMachine], now: float, heard: Callable[[int, str, float], bool]
    ) -> None:
        """A whole list. Once listed a machine stays listed until it is gone, but a list
        may be older than the one before: only a machine that stays away for twice the
        lag is dropped from the fleet, and nothing is concluded for its tasks."""
        self.has_listing = True
        seen: set[str] = set()
        for entry in machines:
            if entry.name in self.gone:
                continue
            seen.add(entry.name)
            rented = self.machines.get(entry.name)
            if rented is None:
                # Its age is as of the time that the list describes.
                age_s = entry.age_s + self._settings.settings.cloud.list_lag_s
                rented = self.add(entry.name, entry.type, entry.zone, entry.spot, now - age_s)
                self._appeared(rented)
            rented.listed, rented.seen_at = True, now
            rented.address = entry.addr or rented.address
            rented.failed = entry.state == "failed"
            if entry.state == "running" and rented.listed_running_since is None:
                rented.listed_running_since = now
        for rented in list(self.machines.values()):
            # (Dropped at once by an older list, what had just been listed was rented again, and
            # each spot machine counted as taken.)
            missing = (
                rented.listed
                and rented.name not in seen
                and (now - rented.seen_at > 2 * self._settings.settings.cloud.list_lag_s)
            )
            if missing and not heard(rented.shard, rented.name, now):
                self._lost(rented, now, taken=rented.spot)

    def shown(self, machine: MachineView, now: float) -> None:
        """A part's owner has described a machine."""
        rented = self.machines.get(machine.name)
        if rented is None:
            if machine.name in self.gone:
                return
            # A surprise: rented by an earlier leader, or executed late.
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
        """A machine that no answer has named. It may be one that was asked for; that one is not
        waited for besides. (Of a request without an answer all were, as well as those that had
        shown themselves: work waited for them instead of having others rented.)"""
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
        # Its room may be had again.
        self._refused.pop((rented.type, rented.zone, rented.spot), None)
        if rented.spot:
            self.takeback.ended(rented.name, now, taken)

    def on_rental_sent(self, rental: Rental, now: float) -> None:
        """A request is being sent; until it is answered its machines are counted on."""
        until = now + 2 * self._settings.settings.cloud.list_lag_s + 5
        self._asked.append(PendingRental(rental, now, until, rental.count))

    def rented(self, rental: Rental, names: list[str], now: float) -> None:
        self._settle(rental)
        for name in names:
            if name not in self.machines and name not in self.gone:
                added = self.add(name, rental.type, rental.zone, rental.spot, now)
                added.asked_at = now
        if len(names) < rental.count:
            self.on_rental_refused(rental, now)

    def on_rental_refused(self, rental: Rental, now: float, settle: bool = False) -> None:
        if settle:
            self._settle(rental)
        key = (rental.type, rental.zone, rental.spot)
        _, pause = self._refused.get(key, (0.0, 0.0))
        least = self._settings.settings.cloud.list_lag_s
        pause = min(max(least, 2 * pause), 2 * least)
        self._refused[key] = (now + pause, pause)

    def on_rental_failed(self, rental: Rental) -> None:
        self._settle(rental)

    def _settle(self, rental: Rental) -> None:
        self._asked = [asked for asked in self._asked if asked.rental is not rental]

    def released(self, names: list[str], now: float) -> None:
        for name in names:
            self.gone[name] = now
            if (rented := self.machines.get(name)) is not None:
                self._lost(rented, now, taken=rented.noticed)

    # -- a round --------------------------------------------------------------------------

    def forget(self, now: float) -> None:
        """Names of released machines, once no late word of them can come any more."""
        lasting = 10 * self._settings.settings.workers.lease_s
        self.gone = {name: at for name, at in self.gone.items() if now - at < lasting}

    def refused_kinds(self, now: float) -> set[tuple[str, str, bool]]:
        return {key for key, (until, _) in self._refused.items() if until > now}

    def starting(self, now: float, silent: Container[str] = ()) -> list[MachineCapacity]:
        """Room that is on its way, with the time until it may be there."""
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
                continue  # up, and not heard of: not about to come
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
        """What machines of each kind are expected to take, if they are asked for now."""
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
                # Nothing runs there any more, and what it was can be had again only once it
                # is returned. (While there is more to be had it is kept: a hung or cut off
                # machine is back sooner than a new one would be up.)
                releases.append(r.name)
            elif severity is Severity.EXPIRED and self._is_given_up(r, diagnosis, now):
                releases.append(r.name)
            elif not r.reported:
                # Never boots: it is charged until deleted. One that is listed as running
                # may only be unheard: by a new leader, or since its owner and we cannot
                # reach each other. Returning it would lose what runs on it. So may one that
                # is listed as starting, as the list lags: its owner has to be heard first.
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
                continue  # its owner has not said yet that it puts nothing more there
            elif (
                view.empty
                and r.name not in decided.used
                and r.idle_since is not None
                and now - r.idle_since > props.idle_boots * type_.boot_s
                and age > props.paid_period_s
            ):
                # Told first, released once its owner confirms that it stays empty.
                self.retire.add(r.name)
            elif severity is Severity.LOST and (is_full or diagnosis.silent_alone):
                # Releasing makes its end certain before its lease runs out, so that its
                # tasks can start elsewhere. If many are silent at once, more of them may
                # come back, and its lease ends soon: only where its room is wanted.
                releases.append(r.name)
        return releases[:100]

    def _is_given_up(self, rented: FleetMachine, diagnosis: Diagnosis, now: float) -> bool:
        """Whether a machine that may come back has been hoped for long enough: alone in its
        silence, it is charged and of no use. (A machine that reached no controller and answered
        when it was asked was kept for as long as that lasted.)"""
        hope_s = RECOVERY_LEASES * self._settings.max_lease_s
        return (
            diagnosis.silent_alone
            and rented.heard_at is not None
            and now - rented.heard_at > hope_s
        )
