"""Attempts that workers report and no assignment of their shard holds, as signs that the state
service has lost records."""

from typing import NamedTuple

from ryegauge.bookkeeping.epochs import RESTORING, epoch_of_token
from ryegauge.bookkeeping.state_replica import StateReplica
from ryegauge.coordination.demands import records_zones
from ryegauge.coordination.direct_runs import AttemptKey
from ryegauge.protocol.workers import TaskKey, TaskReport

# Attempt numbers have the owner's token above this many bits.
ATTEMPT_COUNTER_BITS = 20


class UnrecordedAttempt(NamedTuple):
    """When the attempt was first seen (seconds of the controller's clock), the zone that its
    assignment would name, and whether it has ended as done."""

    seen_at: float
    zone: str
    done: bool


class UnrecordedAttempts:
    """Collects the unrecorded attempts of one shard, if that is enabled."""

    def __init__(self, token: int, replica: StateReplica, enabled: bool) -> None:
        """`token` is that of the shard's owner."""
        self._token = token
        self._replica = replica
        self._enabled = enabled
        self.found: dict[AttemptKey, UnrecordedAttempt] = {}
        self._cleared: set[AttemptKey] = set()

    def check(
        self, key: TaskKey, entry: TaskReport, zone: str, now: float, rebuilding: bool
    ) -> bool:
        """Whether an attempt that no assignment to this shard holds may belong to a record that
        the state service lost; if so, it is collected. Without a loss there are none: an
        assignment holds a task until its attempt has certainly ended. `zone` is the machine's;
        `rebuilding`: lost data is being restored."""
        if not self._enabled:
            return False
        if rebuilding and self._replica.recovery_stage == RESTORING:
            return True
        job = self._replica.jobs.get(key[0])
        open_ = job is not None and job.is_open(key[1])
        attempt = (key, entry.attempt)
        if rebuilding:
            is_unrecorded = open_
        else:
            is_unrecorded = self._shows_loss(attempt, entry) and (open_ or job is None)
        if is_unrecorded:
            earlier = self.found.get(attempt)
            self.found[attempt] = UnrecordedAttempt(
                now if earlier is None else earlier.seen_at,
                zone if job is not None and records_zones(job.spec) else "",
                entry.why == "done",
            )
        return is_unrecorded

    def _shows_loss(self, attempt: AttemptKey, entry: TaskReport) -> bool:
        """Whether an attempt can be a sign of a loss while none is being repaired.

        Only attempts started by an earlier owner in this epoch: those of earlier epochs could be
        adopted in the grace period. An attempt that has ended proves nothing: once returned, its
        task is open in the replica until the worker has processed `forget`. Counting those made a
        task that was preempted after a takeover look like data loss in a healthy state service."""
        token = entry.attempt >> ATTEMPT_COUNTER_BITS
        earlier = token != self._token and epoch_of_token(token) == epoch_of_token(self._token)
        return earlier and entry.state != "ended" and attempt not in self._cleared

    def clear(self, attempt: AttemptKey) -> None:
        """The attempt's record was not lost: from now on the attempt is killed, like every other
        that no assignment holds."""
        self.found.pop(attempt, None)
        self._cleared.add(attempt)

    def on_recovered(self) -> None:
        """The recovery from a loss is over: attempts that were not adopted are killed."""
        self.found.clear()
