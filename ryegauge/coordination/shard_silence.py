"""What the owner of a shard knows about machines that it does not hear: for how long, what others
hear of them, and the results of probing them."""

from collections.abc import Iterable

from ryegauge.config import Settings
from ryegauge.coordination.owner_records import Machine
from ryegauge.detection.failure_diagnosis import SUSPECT_GAPS, ProbeResult
from ryegauge.detection.last_heard import LastHeard, StallDetector, owner_unreachable
from ryegauge.protocol.peers import MachineView

# Machines whose reports to other controllers are remembered; bounds the memory they take.
MAX_MACHINES_HEARD_ELSEWHERE = 10_000

# The evidence on one silent machine, as in `ShardView.silences`.
Silence = tuple[str, float, list[tuple[str, str, float]]]


class ShardSilence:
    """Follows the silence of a shard's machines. Times are in seconds of the controller's
    clock."""

    def __init__(self, machines: dict[str, Machine], settings: Settings, now: float) -> None:
        """`machines` are those that the owner knows, by name; the owner keeps them current."""
        self._machines = machines
        self._gap_s = settings.report_gap_s
        self._created_at = now
        self._last_heard = LastHeard(StallDetector(settings.settings.workers.report_s, now))
        # Machines of this shard that have never reported here or were removed:
        # name -> (address, results of probing them).
        self._unreported: dict[str, tuple[str, list[ProbeResult]]] = {}
        # Machine of this shard -> when another controller last got a report of it.
        self._heard_elsewhere_at: dict[str, float] = {}

    def advance(self, now: float) -> None:
        """Reads the clock, so that time in which the controller stalls is noticed."""
        self._last_heard.stall_detector.advance(now)

    def on_report(self, machine: Machine, now: float) -> None:
        """The machine has reported here."""
        machine.probes.clear()
        self._last_heard.on_report(machine.name, now)

    def on_removed(self, machine: str) -> None:
        """The machine was removed from those that the owner knows."""
        self._last_heard.forget(machine)

    def on_heard_elsewhere(self, machine: str, at: float) -> None:
        """Another controller got a report of a machine of this shard, at `at`."""
        self._heard_elsewhere_at.pop(machine, None)
        self._heard_elsewhere_at[machine] = at
        if len(self._heard_elsewhere_at) > MAX_MACHINES_HEARD_ELSEWHERE:
            del self._heard_elsewhere_at[next(iter(self._heard_elsewhere_at))]

    def is_owner_unreachable(self, now: float) -> bool:
        """Whether reports of this shard's machines reach other controllers and not this one,
        although this one did not stall."""
        if not self._heard_elsewhere_at or self._last_heard.stall_detector.stalled_s(
            now - 3 * self._gap_s
        ):
            return False
        if now < self._created_at + self._gap_s:
            # Machines that others heard are just being redirected here, or reported before this
            # owner existed. Without this wait, owners half a second old gave up shards whose
            # reports did reach them, and the unseen tasks there waited for another barrier.
            return False
        heard_at = {m.name: m.heard_at for m in self._machines.values()}
        return owner_unreachable(heard_at, self._heard_elsewhere_at, self._gap_s, now)

    def on_unreported(self, machines: Iterable[tuple[str, str]]) -> None:
        """Machines of this shard that the cloud lists as running and this owner has not shown to
        the leader, as (name, address). They are probed."""
        known = self._unreported
        self._unreported = {
            name: (address, known[name][1] if name in known else [])
            for name, address in machines
            if address and name not in self._machines
        }

    def to_probe(self, now: float) -> list[tuple[str, str]]:
        """(machine, address) of the silent machines to probe, the longest silent first: those
        without a probe result from the last report interval."""
        silent = [
            (m.heard_at, m.name, m.address, m.probes)
            for m in self._machines.values()
            if m.address and self._last_heard.silent_s(m.name, now) > SUSPECT_GAPS * self._gap_s
        ]
        silent += [(now, name, *entry) for name, entry in self._unreported.items()]
        silent.sort(key=lambda entry: entry[:2])
        return [
            (name, address)
            for _, name, address, probes in silent
            if all(now - p.at > self._gap_s for p in probes)
        ]

    def on_probe_result(self, name: str, probe: ProbeResult) -> None:
        """Keeps a probe result, the latest of each controller that probed. It is dropped if the
        machine has reported since."""
        machine = self._machines.get(name)
        if machine is None:
            if name in self._unreported:
                address, probes = self._unreported[name]
                self._unreported[name] = address, [*(p for p in probes if p.by != probe.by), probe]
        elif machine.heard_at < probe.at:
            machine.probes = [*(p for p in machine.probes if p.by != probe.by), probe]

    def evidence(self, shown: Iterable[MachineView], now: float) -> list[Silence]:
        """The evidence on the silent ones of the machines that are shown to the leader, and on
        those that never reported here."""
        stalled_s = self._last_heard.stall_detector.stalled_s
        silent = [
            self._machines[view.name]
            for view in shown
            if view.silent_s > SUSPECT_GAPS * self._gap_s
        ]
        result = [(m.name, stalled_s(m.heard_at), m.probes) for m in silent]
        result += [(name, 0.0, probes) for name, (_, probes) in self._unreported.items() if probes]
        return [
            (name, stall_s, [(p.by, p.outcome, now - p.at) for p in probes])
            for name, stall_s, probes in result
        ]
