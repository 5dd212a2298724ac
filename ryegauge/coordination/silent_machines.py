"""The leader's diagnoses of silent machines, from the views of all owners and the cloud's list.
No I/O and no clock."""

import math

from ryegauge.config import Settings
from ryegauge.coordination.fleet import Fleet, FleetMachine
from ryegauge.coordination.shard_views import ShardState
from ryegauge.detection.failure_diagnosis import (
    LOST_GAPS,
    SUSPECT_GAPS,
    DetectionLimits,
    Diagnosis,
    Evidence,
    ProbeResult,
    Severity,
    cut_zones,
    diagnose,
)
from ryegauge.protocol.peers import ShardView

# Machines that an owner is asked to probe at once; as they answer or are released, others
# follow.
MAX_PROBED_MACHINES = 100


class SilentMachines:
    """Collects the evidence on machines that do not report, and diagnoses them once a round."""

    def __init__(self, settings: Settings) -> None:
        self._limits = DetectionLimits(settings.report_gap_s, settings.max_lease_s)
        self._unreported: dict[int, list[tuple[str, str]]] = {}
        self.unreachable_zones: set[str] = set()  # zones from which no report arrives
        self._probes: dict[str, list[ProbeResult]] = {}  # silent machine -> its latest known probes
        # Machine -> when it last reported to a controller that does not own it.
        self._foreign_reports: dict[str, float] = {}

    def on_view(self, view: ShardView, now: float) -> None:
        """Takes in which machines of other owners have reported to the sender of a view."""
        for name, ago_s in view.foreign_reports:
            self._foreign_reports[name] = max(
                self._foreign_reports.get(name, -math.inf), now - ago_s
            )

    def diagnoses(
        self, fleet: Fleet, views: dict[int, ShardState], now: float
    ) -> dict[str, Diagnosis]:
        """The diagnoses of all machines that are not healthy, by name, in the shards with a recent
        view: machines that their owners show as silent, and machines listed as running that are
        not in the view at all, because their lease ran out or a new owner has not heard from
        them yet. Also updates `unreachable_zones` and the machines to probe (`unreported`)."""
        keep_s = 2 * self._limits.lease_s
        self._foreign_reports = {
            name: at for name, at in self._foreign_reports.items() if now - at < keep_s
        }
        by_shard: dict[int, list[FleetMachine]] = {shard: [] for shard in views}
        for machine in fleet.machines.values():
            if machine.shard in views and (
                machine.listed_running_since is not None or machine.has_reported
            ):
                by_shard[machine.shard].append(machine)
        silent = {
            shard: [(machine, self._silent_s(machine, views[shard], now)) for machine in machines]
            for shard, machines in by_shard.items()
        }
        gap_s = SUSPECT_GAPS * self._limits.gap_s
        zones: dict[str, tuple[int, int]] = {}
        heard_shares: dict[int, float] = {}
        for shard, entries in silent.items():
            heard_machines = 0
            for machine, silent_s in entries:
                is_heard = silent_s <= gap_s or machine.has_reclaim_notice
                heard_machines += is_heard
                heard_count, count = zones.get(machine.zone, (0, 0))
                zones[machine.zone] = (heard_count + is_heard, count + 1)
            heard_shares[shard] = heard_machines / len(entries) if entries else 1.0
        self.unreachable_zones = cut_zones(zones)
        result: dict[str, Diagnosis] = {}
        for shard, entries in silent.items():
            for machine, silent_s in entries:
                if silent_s <= gap_s:
                    continue
                diagnosis = self._diagnose(
                    machine, silent_s, views[shard], heard_shares[shard], now
                )
                if diagnosis.severity is not Severity.HEALTHY:
                    result[machine.name] = diagnosis
        self._unreported = {
            shard: [
                (machine.name, machine.address)
                for machine, silent_s in entries
                if silent_s > gap_s and machine.name not in views[shard].machines
            ][:MAX_PROBED_MACHINES]
            for shard, entries in silent.items()
        }
        self._probes = {name: probes for name, probes in self._probes.items() if name in result}
        return result

    def unreported(self, shard: int) -> list[tuple[str, str]]:
        """(name, address) of a shard's machines that are silent and not shown by its owner."""
        return self._unreported.get(shard, [])

    def _diagnose(
        self,
        machine: FleetMachine,
        silent_s: float,
        state: ShardState,
        heard_share: float,
        now: float,
    ) -> Diagnosis:
        owner_stalled_s, reported_probes = state.silences.get(machine.name, (0.0, []))
        probes = [
            probe
            for by, outcome, ago_s in reported_probes
            if (probe := ProbeResult.of(by, outcome, state.received_at - ago_s)) is not None
        ]
        if not probes:
            # Its owner has just removed it and now probes it again on the leader's request.
            # Earlier probes count until those results arrive: otherwise a machine that answers
            # or hangs is taken for lost and released if the cloud has no more of its kind.
            keep_s = LOST_GAPS * self._limits.gap_s
            probes = [
                probe for probe in self._probes.get(machine.name, ()) if now - probe.at < keep_s
            ]
        if probes:
            self._probes[machine.name] = probes
        elsewhere_s = now - self._foreign_reports.get(machine.name, -math.inf)
        return diagnose(
            Evidence(
                silent_s - owner_stalled_s,
                silent_s,
                elsewhere_s,
                probes,
                machine.has_reclaim_notice,
                owner_stalled_s,
                heard_share,
                machine.zone in self.unreachable_zones,
            ),
            self._limits,
        )

    def _silent_s(self, machine: FleetMachine, state: ShardState, now: float) -> float:
        """Seconds since its last report to an owner."""
        observed = state.machines.get(machine.name)
        if observed is not None:
            # Every view includes all silent machines again; one that is no longer included has
            # reported since.
            silent_s = observed.view.silent_s
            if silent_s > SUSPECT_GAPS * self._limits.gap_s:
                silent_s += now - observed.received_at
            return silent_s
        # Its owner removed it at the end of its lease, or is new and has not heard from it yet.
        return now - max(
            state.listening_since,
            machine.listed_running_since or -math.inf,
            machine.last_report_at or -math.inf,
        )
