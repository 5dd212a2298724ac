"""How an owner shows its part to the leader: only what has changed since the view that the
leader last acknowledged. No I/O and no clock."""

from collections.abc import Callable, Mapping

from ryegauge.coordination.owner_records import Machine
from ryegauge.protocol.peers import MachineView
from ryegauge.protocol.workers import TaskKey
from ryegauge.transport.http import MAX_BODY_BYTES

# What the leader is shown of a machine, to tell whether it has changed.
Signature = tuple[bool, bool, bool, bool, float, int, frozenset[TaskKey], tuple[str, ...]]

# Views are cut into messages well below the limit of a body.
VIEW_BYTES = MAX_BODY_BYTES // 2


class ViewPublisher:
    def __init__(self) -> None:
        # The leader (its token) that views are shown to, what it has acknowledged,
        # and the view under way: (number, machines in it, machines no longer there).
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
        """The machines that have changed, at most as many as a message holds (the rest
        follows with the next view), and the names of those that are no longer there."""
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
        """The leader has answered a view; with `resync` it lacks what came before."""
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
