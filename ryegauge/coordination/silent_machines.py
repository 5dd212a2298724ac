"""What the leader makes of the machines that are silent, from all that it is shown of them.
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

# Machines that an owner is asked to ask, at once; with those that answer or are returned,
# others follow.
MOST_UNHEARD = 100


class SilentMachines:
    def __init__(self, settings: Settings) -> None:
        self._limits = DetectionLimits(settings.report_gap_s, settings.max_lease_s)
        self._unheard: dict[int, list[tuple[str, str]]] = {}
        self.cut: set[str] = set()  # zones that nothing is heard of
        self._probes: dict[
            str, list[ProbeResult]
        ] = {}  # the last that were told of a silent machine
        self._foreign_reports: dict[
            str, float
        ] = {}  # machine -> when another than its owner heard it

    def take_in(self, view: ShardView, now: float) -> None:
        for name, ago_s in view.foreign_reports:
            self._foreign_reports[name] = max(
                self._foreign_reports.get(name, -math.inf), now - ago_s
            )

    def diagnoses(
        self, fleet: Fleet, views: dict[int, ShardState], now: float
    ) -> dict[str, Diagnosis]:
        """Of the machines that are not well, in the parts that can be seen: those that their
        owners show as silent, and those that are listed as running and not shown at all,
        because their lease ran out or a new owner has not heard of them yet."""
        keep_s = 2 * self._limits.lease_s
        self._foreign_reports = {
            n: at for n, at in self._foreign_reports.items() if now - at < keep_s
        }
        by_shard: dict[int, list[FleetMachine]] = {shard: [] for shard in views}
        for rented in fleet.machines.values():
            if rented.shard in views and (
                rented.listed_running_since is not None or rented.reported
            ):
                by_shard[rented.shard].append(rented)
        silent = {
            shard: [(r, self._silent_s(r, views[shard], now)) for r in machines]
            for shard, machines in by_shard.items()
        }
        gap_s = SUSPECT_GAPS * self._limits.gap_s
        zones: dict[str, tuple[int, int]] = {}
        shares: dict[int, float] = {}
        for shard, some in silent.items():
            heard = 0
            for rented, silent_s in some:
                well = silent_s <= gap_s or rented.noticed
                heard += well
                h, n = zones.get(rented.zone, (0, 0))
                zones[rented.zone] = (h + well, n + 1)
            shares[shard] = heard / len(some) if some else 1.0
        self.cut = cut_zones(zones)
        result: dict[str, Diagnosis] = {}
        for shard, some in silent.items():
            for rented, silent_s in some:
                if silent_s <= gap_s:
                    continue
                diagnosis = self._judge(rented, silent_s, views[shard], shares[shard], now)
                if diagnosis.severity is not Severity.HEALTHY:
                    result[rented.name] = diagnosis
        self._unheard = {
            shard: [
                (r.name, r.address)
                for r, silent_s in some
                if silent_s > gap_s and r.name not in views[shard].machines
            ][:MOST_UNHEARD]
            for shard, some in silent.items()
        }
        self._probes = {n: probes for n, probes in self._probes.items() if n in result}
        return result

    def unreported(self, shard: int) -> list[tuple[str, str]]:
        """(name, address) of a part's machines that are silent and not shown by its owner."""
        return self._unheard.get(shard, [])

    def _judge(
        self, rented: FleetMachine, silent_s: float, state: ShardState, share: float, now: float
    ) -> Diagnosis:
        stood_s, told = state.silences.get(rented.name, (0.0, []))
        probes = [
            probe
            for by, outcome, ago_s in told
            if (probe := ProbeResult.of(by, outcome, state.at - ago_s)) is not None
        ]
        if not probes:
            # Its owner has just given it up, and asks it anew for us. (Until it had, one that
            # answered or hung was taken for lost and returned, where there were no more.)
            keep_s = LOST_GAPS * self._limits.gap_s
            probes = [p for p in self._probes.get(rented.name, ()) if now - p.at < keep_s]
        if probes:
            self._probes[rented.name] = probes
        elsewhere_s = now - self._foreign_reports.get(rented.name, -math.inf)
        return diagnose(
            Evidence(
                silent_s - stood_s,
                silent_s,
                elsewhere_s,
                probes,
                rented.noticed,
                stood_s,
                share,
                rented.zone in self.cut,
            ),
            self._limits,
        )

    def _silent_s(self, rented: FleetMachine, state: ShardState, now: float) -> float:
        """Seconds since its last word to an owner."""
        shown = state.machines.get(rented.name)
        if shown is not None:
            # What is silent is shown anew with each view; what is not was heard since.
            silent_s = shown.view.silent_s
            if silent_s > SUSPECT_GAPS * self._limits.gap_s:
                silent_s += now - shown.at
            return silent_s
        # Its owner gave it up at the end of its lease, or is new and has not heard it yet.
        return now - max(
            state.since, rented.listed_running_since or -math.inf, rented.heard_at or -math.inf
        )
