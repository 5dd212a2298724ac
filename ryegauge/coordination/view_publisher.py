"""Incremental views of a part for the leader: each holds what has changed since the view that
the leader last acknowledged. No I/O and no clock."""

from collections.abc import Callable, Mapping

from ryegauge.coordination.owner_records import Machine
from ryegauge.protocol.peers import MachineView
from ryegauge.protocol.workers import TaskKey
from ryegauge.transport.http import MAX_BODY_BYTES

# The values of a machine that the leader is shown, to detect a change: has reported under this
# token, takes tasks, under notice, retiring or faulty, silence in seconds, running tasks, tasks,
# images.
Signature = tuple[bool, bool, bool, bool, float, int, frozenset[TaskKey], tuple[str, ...]]

# Estimated size at which a view is cut: half the body limit, since the estimate is rough.
VIEW_BYTES = MAX_BODY_BYTES // 2


class ViewPublisher:
    """Tracks what one leader has acknowledged of this part's machines."""

    def __init__(self) -> None:
        # The leader's token, the number of the latest view, the last view acknowledged and the
        # machines as acknowledged, and the view in flight: (number, machines in it, machines no
        # longer there).
        self._leader = 0
        self.seq = 0
        self.acknowledged = 0
        self._shown: dict[str, Signature] = {}
        self._showing: tuple[int, dict[str, Signature], list[str]] | None = None

    def next(
        self,
        leader: int,
        machines: Mapping[str, Machine],
        signature_of: Callable[[Machine], Signature],
        describe: Callable[[Machine], MachineView],
    ) -> tuple[list[MachineView], list[str]]:
        """Begins the next view. Returns the machines that have changed, at most as many as fit
        into one message (the rest follows with the next view), and the names of machines that
        are no longer there."""
        if leader != self._leader:
            self._leader, self._shown, self.acknowledged = leader, {}, 0
        self.seq += 1
        views: list[MachineView] = []
        shown: dict[str, Signature] = {}
        size = 0
        for machine in machines.values():
            signature = signature_of(machine)
            if signature == self._shown.get(machine.name):
                continue
            view = describe(machine)
            size += len(view.name) + sum(map(len, view.images)) + 64 + 48 * len(view.tasks)
            if views and size > VIEW_BYTES:
                break
            shown[machine.name] = signature
            views.append(view)
        gone = [name for name in self._shown if name not in machines]
        self._showing = (self.seq, shown, gone)
        return views, gone

    def answered(self, seq: int, resync: bool) -> None:
        """The leader answered view number `seq`; with `resync` it needs all machines again."""
        if self._showing is None or self._showing[0] != seq:
            return
        if resync:
            self._shown, self.acknowledged = {}, 0
            return
        _, shown, gone = self._showing
        self._shown.update(shown)
        for name in gone:
            self._shown.pop(name, None)
        self.acknowledged = seq
