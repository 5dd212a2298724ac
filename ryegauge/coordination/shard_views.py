"""What the owners of parts show the leader of their machines, and how old that is.

No I/O and no clock.
"""

import math

from ryegauge.bookkeeping.ranges import Ranges
from ryegauge.bookkeeping.state_replica import Job, StateReplica
from ryegauge.config import Settings
from ryegauge.detection.fault_attribution import FailingJob
from ryegauge.protocol.peers import MachineView, ShardView


class ObservedMachine:
    """A machine as its part's owner described it, with what follows from that."""

    __slots__ = ("at", "busy", "cpus", "gpus", "known", "memory_gb", "tasks", "view")

    def __init__(self, view: MachineView, at: float, replica: StateReplica) -> None:
        self.view = view
        self.at = at
        self.cpus = self.memory_gb = self.gpus = 0.0  # taken by its tasks
        self.known = True  # whether the book has all of its jobs
        self.tasks: list[tuple[Job, int, float]] = []  # (job, tasks, when the longest ends)
        # (job class, estimate, when it ends, tasks, CPUs, GB, cards)
        self.busy: list[tuple[str, float, float, int, float, float, float]] = []
        for uid, flat, left_s in view.tasks:
            job = replica.jobs.get(uid)
            if job is None:
                self.known = False
                continue
            n = len(Ranges.from_flat(flat))
            spec = job.spec
            self.tasks.append((job, n, at + left_s))
            self.busy.append(
                (
                    spec.job_class,
                    spec.estimate_s,
                    at + left_s,
                    n,
                    spec.cpus,
                    spec.memory_gb,
                    spec.gpus,
                )
            )
            self.cpus += n * spec.cpus
            self.memory_gb += n * spec.memory_gb
            self.gpus += n * spec.gpus


class ShardState:
    """What the leader knows of a part: whole views, and changes to them since."""

    __slots__ = (
        "at",
        "failing",
        "machines",
        "node",
        "pending_removal",
        "seq",
        "silences",
        "since",
        "token",
    )

    def __init__(self, node: str, token: int, since: float) -> None:
        self.since = since  # when this owner first showed the part; it has listened since
        self.node = node
        self.token = token
        self.seq = 0
        self.at = -math.inf
        self.machines: dict[str, ObservedMachine] = {}
        # Silent machine -> (seconds that its owner stood still, attempts to ask it).
        self.silences: dict[str, tuple[float, list[tuple[str, str, float]]]] = {}
        self.failing: list[FailingJob] = []  # jobs that fail wherever they are tried
        self.pending_removal: dict[str, int] = {}  # job -> tasks that are nowhere, not yet written


class ShardViews:
    """Of all parts, by the latest views of their owners."""

    def __init__(self, replica: StateReplica, settings: Settings) -> None:
        self._replica = replica
        self._settings = settings
        self._shards: dict[int, ShardState] = {}
        self._full_read_count = replica.full_read_count

    def late(self, view: ShardView) -> bool:
        """A copy of an earlier view, or one that was held on its way: an owner numbers its
        views, and tokens only rise. (A whole one took the place of what was known since, and
        what it had overheard long ago counted as heard just now.)"""
        state = self._shards.get(view.shard)
        return state is not None and (view.token, view.seq) <= (state.token, state.seq)

    def take_in(self, view: ShardView, now: float) -> ShardState | None:
        """None: changes to something that we don't have, since an answer of ours was
        lost, or we have just begun to lead. The owner has to send everything."""
        state = self._shards.get(view.shard)
        if view.base == 0:
            same = state is not None and state.token == view.token
            since = state.since if state is not None and same else now
            state = self._shards[view.shard] = ShardState(view.node, view.token, since)
        elif state is None or (state.token, state.seq) != (view.token, view.base):
            return None
        state.seq, state.at, state.pending_removal = view.seq, now, dict(view.pending_removal)
        state.silences = {name: (stood_s, probes) for name, stood_s, probes in view.silences}
        state.failing = [FailingJob(*entry) for entry in view.failing]
        for name in view.gone:
            state.machines.pop(name, None)
        for machine in view.machines:
            state.machines[machine.name] = ObservedMachine(machine, now, self._replica)
        return state

    def renew(self) -> None:
        """After a full read of the book its jobs are other objects."""
        if self._full_read_count != self._replica.full_read_count:
            self._full_read_count = self._replica.full_read_count
            for state in self._shards.values():
                for name, shown in state.machines.items():
                    state.machines[name] = ObservedMachine(shown.view, shown.at, self._replica)

    def fresh(self, now: float) -> dict[int, ShardState]:
        views: dict[int, ShardState] = {}
        for shard, state in self._shards.items():
            owner = self._replica.shards.get(shard)
            if (
                owner is not None
                and owner.token == state.token
                and now - state.at < self._settings.report_gap_s
            ):
                views[shard] = state
        return views

    def heard(self, shard: int, name: str, now: float) -> bool:
        """Whether the part's owner has heard from a machine within its lease."""
        state = self._shards.get(shard)
        if state is None or now - state.at > self._settings.report_gap_s:
            return False
        shown = state.machines.get(name)
        lease_s = self._settings.settings.workers.lease_s
        return shown is not None and shown.view.silent_s < lease_s
