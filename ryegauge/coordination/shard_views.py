"""The owners' views of their shards as the leader has received them, and how old they are.

No I/O and no clock.
"""

import math

from ryegauge.bookkeeping.ranges import Ranges
from ryegauge.bookkeeping.state_replica import Job, StateReplica
from ryegauge.config import Settings
from ryegauge.detection.fault_attribution import FailingJob
from ryegauge.protocol.peers import MachineView, ShardView


class ObservedMachine:
    """A machine as the owner of its shard last described it, with what its tasks take."""

    __slots__ = (
        "cpus",
        "ending_tasks",
        "gpus",
        "jobs_known",
        "memory_gb",
        "received_at",
        "tasks",
        "view",
    )

    def __init__(self, view: MachineView, received_at: float, replica: StateReplica) -> None:
        self.view = view
        self.received_at = received_at
        self.cpus = self.memory_gb = self.gpus = 0.0  # taken by its tasks
        self.jobs_known = True  # whether the replica has the jobs of all of its tasks
        self.tasks: list[tuple[Job, int, float]] = []  # (job, tasks, when the last of them ends)
        # (job class, estimate, when the last ends, tasks; CPUs, GB and GPUs of each)
        self.ending_tasks: list[tuple[str, float, float, int, float, float, float]] = []
        for uid, flat, left_s in view.tasks:
            job = replica.jobs.get(uid)
            if job is None:
                self.jobs_known = False
                continue
            count = len(Ranges.from_flat(flat))
            spec = job.spec
            self.tasks.append((job, count, received_at + left_s))
            self.ending_tasks.append(
                (
                    spec.job_class,
                    spec.estimate_s,
                    received_at + left_s,
                    count,
                    spec.cpus,
                    spec.memory_gb,
                    spec.gpus,
                )
            )
            self.cpus += count * spec.cpus
            self.memory_gb += count * spec.memory_gb
            self.gpus += count * spec.gpus


class ShardState:
    """What the leader knows of a shard: its owner's last full view and the deltas since."""

    __slots__ = (
        "failing",
        "listening_since",
        "machines",
        "node",
        "pending_removal",
        "received_at",
        "seq",
        "silences",
        "token",
    )

    def __init__(self, node: str, token: int, listening_since: float) -> None:
        # When this owner's first view arrived; it has listened to the shard's machines since.
        self.listening_since = listening_since
        self.node = node
        self.token = token
        self.seq = 0
        self.received_at = -math.inf
        self.machines: dict[str, ObservedMachine] = {}
        # Silent machine -> (seconds for which its owner stalled since the machine's last
        # report, probes of it as (by, outcome, seconds ago)).
        self.silences: dict[str, tuple[float, list[tuple[str, str, float]]]] = {}
        self.failing: list[FailingJob] = []  # jobs that fail on every machine
        # Job -> tasks that are on no machine any more, which is not recorded yet.
        self.pending_removal: dict[str, int] = {}


class ShardViews:
    """The states of all shards, by the latest views of their owners."""

    def __init__(self, replica: StateReplica, settings: Settings) -> None:
        self._replica = replica
        self._settings = settings
        self._states: dict[int, ShardState] = {}
        self._full_read_count = replica.full_read_count

    def is_outdated(self, view: ShardView) -> bool:
        """Whether a view is a duplicate or was overtaken by a later one: an owner numbers its
        views, and tokens only rise. Without this check a delayed full view replaces what is
        known since, and reports that it overheard long ago count as recent."""
        state = self._states.get(view.shard)
        return state is not None and (view.token, view.seq) <= (state.token, state.seq)

    def apply_view(self, view: ShardView, now: float) -> ShardState | None:
        """Applies a view and returns the state of its shard.

        Returns None for a delta to a view that is not known here, because an answer to the owner
        was lost or this leader is new. Then the owner has to send a full view."""
        state = self._states.get(view.shard)
        if view.base == 0:
            same_owner = state is not None and state.token == view.token
            listening_since = state.listening_since if state is not None and same_owner else now
            state = self._states[view.shard] = ShardState(view.node, view.token, listening_since)
        elif state is None or (state.token, state.seq) != (view.token, view.base):
            return None
        state.seq, state.received_at, state.pending_removal = (
            view.seq,
            now,
            dict(view.pending_removal),
        )
        state.silences = {name: (stalled_s, probes) for name, stalled_s, probes in view.silences}
        state.failing = [FailingJob(*entry) for entry in view.failing]
        for name in view.gone:
            state.machines.pop(name, None)
        for machine in view.machines:
            state.machines[machine.name] = ObservedMachine(machine, now, self._replica)
        return state

    def refresh_jobs(self) -> None:
        """Looks up all jobs again after a full read, which replaces the replica's job objects."""
        if self._full_read_count != self._replica.full_read_count:
            self._full_read_count = self._replica.full_read_count
            for state in self._states.values():
                for name, observed in state.machines.items():
                    state.machines[name] = ObservedMachine(
                        observed.view, observed.received_at, self._replica
                    )

    def fresh_shards(self, now: float) -> dict[int, ShardState]:
        """The shards, by number, whose present owner sent a view within the longest ordinary
        pause between reports."""
        views: dict[int, ShardState] = {}
        for shard, state in self._states.items():
            owner = self._replica.shards.get(shard)
            if (
                owner is not None
                and owner.token == state.token
                and now - state.received_at < self._settings.report_gap_s
            ):
                views[shard] = state
        return views

    def heard_recently(self, shard: int, name: str, now: float) -> bool:
        """Whether the shard's owner has heard from a machine within its lease, by a recent view."""
        state = self._states.get(shard)
        if state is None or now - state.received_at > self._settings.report_gap_s:
            return False
        observed = state.machines.get(name)
        lease_s = self._settings.settings.workers.lease_s
        return observed is not None and observed.view.silent_s < lease_s
