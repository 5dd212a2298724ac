"""Cancellations known before the replica shows them: committed here, or reported by a peer.

A controller that the state service does not serve keeps the authority that its peers grant it
(`coordination/membership.py`). Its replica is not updated meanwhile, and may lack cancellations
that other controllers have confirmed to users. Each peer therefore reports the cancellations that
the requester's replica may lack, and they are kept here until the replica shows them.

A peer reports more than its own recent writes: also what it confirmed to a user because its
replica showed it, and what its predecessor confirmed. A reported cancellation also applies to
assignments that are read later and to shards that are taken over later, not only to the tasks
known at that moment.
"""

from collections.abc import Iterable

from ryegauge.bookkeeping.state_replica import StateReplica


class UnsyncedCancellations:
    """Cancelled jobs that the replica may not show yet."""

    def __init__(self, replica: StateReplica) -> None:
        self._replica = replica
        self._learnt_at: dict[str, float] = {}  # job -> when it was last learnt, in seconds

    def learn(self, uids: Iterable[str], now: float) -> list[str]:
        """Adds jobs whose cancellation is confirmed; returns those not known before."""
        added: list[str] = []
        for uid in uids:
            if uid not in self._learnt_at and not self._is_in_replica(uid):
                added.append(uid)
            self._learnt_at[uid] = now
        self._replica.unsynced_cancellations.update(added)
        return added

    def discard_synced(self, read_sent_at: float) -> None:
        """Drops what the replica shows now, which holds all that was committed before
        `read_sent_at`."""
        self._learnt_at = {uid: at for uid, at in self._learnt_at.items() if at >= read_sent_at}
        self._replica.unsynced_cancellations = set(self._learnt_at)

    def cancellations_after(self, state_revision: int) -> list[str]:
        """All jobs that a user may have been told are cancelled and of which a shard may hold
        tasks, as far as a replica at revision `state_revision` may not show the cancellation. No
        shard holds tasks of jobs that left the replica, or that are cancelled with one they
        need."""
        return sorted(
            self._learnt_at
            | {
                uid: 0.0
                for uid, job in self._replica.jobs.items()
                if job.cancelled and job.version > state_revision
            }
        )

    def _is_in_replica(self, uid: str) -> bool:
        """Whether the replica shows the cancellation."""
        return (job := self._replica.jobs.get(uid)) is not None and job.cancelled
