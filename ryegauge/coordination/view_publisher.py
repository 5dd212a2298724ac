"""Incremental views of a shard for the leader: each holds what has changed since the view that
the leader last acknowledged. No I/O and no clock."""

from collections.abc import Callable, Mapping

from ryegauge.coordination.owner_records import Machine
from ryegauge.protocol.peers import MachineView
from ryegauge.protocol.workers import TaskKey
from ryegauge.transport.http import MAX_BODY_BYTES

# The values of a machine that the leader is shown, to detect a change: has reported under this
# token, takes tasks, under notice, retiring or faulty, silence in seconds, running tasks, tasks,
# images.
MachineSignature = tuple[bool, bool, bool, bool, float, int, frozenset[TaskKey], tuple[str, ...]]

# Estimated size in bytes above which a view is cut, well below the limit of a body.
MAX_VIEW_BYTES = MAX_BODY_BYTES // 2


class ViewPublisher:
    """Tracks what one leader has acknowledged of this shard's machines."""

    def __init__(self) -> None:
        # The leader's token, the number of the latest view, the last view acknowledged and the
        # machines as acknowledged, and the view in flight: (number, machines in it, machines no
        # longer there).
        self._leader = 0
        self.seq = 0
        self.acknowledged = 0
        self._acknowledged_machines: dict[str, MachineSignature] = {}
        self._in_flight: tuple[int, dict[str, MachineSignature], list[str]] | None = None

    def next_delta(
        self,
        leader: int,
        machines: Mapping[str, Machine],
        signature_of: Callable[[Machine], MachineSignature],
        describe: Callable[[Machine], MachineView],
    ) -> tuple[list[MachineView], list[str]]:
        """Begins the next view. Returns the machines that have changed, at most as many as fit
        into one message (the rest follows with the next view), and the names of machines that
        are no longer there."""
        if leader != self._leader:
            self._leader, self._acknowledged_machines, self.acknowledged = leader, {}, 0
        self.seq += 1
        views: list[MachineView] = []
        shown: dict[str, MachineSignature] = {}
        size = 0
        for machine in machines.values():
            signature = signature_of(machine)
            if signature == self._acknowledged_machines.get(machine.name):
                continue
            view = describe(machine)
            size += len(view.name) + sum(map(len, view.images)) + 64 + 48 * len(view.tasks)
            if views and size > MAX_VIEW_BYTES:
                break
            shown[machine.name] = signature
            views.append(view)
        gone = [name for name in self._acknowledged_machines if name not in machines]
        self._in_flight = (self.seq, shown, gone)
        return views, gone

    def on_answer(self, seq: int, resync: bool) -> None:
        """The leader answered view number `seq`; with `resync` it needs all machines again."""
        if self._in_flight is None or self._in_flight[0] != seq:
            return
        if resync:
            self._acknowledged_machines, self.acknowledged = {}, 0
            return
        _, shown, gone = self._in_flight
        self._acknowledged_machines.update(shown)
        for name in gone:
            self._acknowledged_machines.pop(name, None)
        self.acknowledged = seq
