"""Cancellations that are known here before the book can be read: confirmed by a write of ours,
or named by a peer.

A controller that the state service refuses goes on with the authority that its peers grant it
(`coordination/terms.py`), and its book stands still meanwhile, so it may lack what others have
told users. Each peer names what the asker's book may lack; what was named is kept here until the
book shows it, and holds for shares and parts that are taken in later too.

Found by reading: only what a process itself had written of late was named. It left out what it
had told a user because its book said so, and what its predecessor had confirmed; and what was
named marked the tasks of that moment only.
"""

from collections.abc import Iterable

from ryegauge.bookkeeping.state_replica import StateReplica


class UnsyncedCancellations:
    def __init__(self, replica: StateReplica) -> None:
        self._replica = replica
        self._known: dict[str, float] = {}  # job -> when it was learnt last

    def learn(self, uids: Iterable[str], now: float) -> list[str]:
        """Those that were confirmed by now; returns which of them are news."""
        news: list[str] = []
        for uid in uids:
            if uid not in self._known and not self._in_replica(uid):
                news.append(uid)
            self._known[uid] = now
        self._replica.unsynced_cancellations.update(news)
        return news

    def read(self, began_at: float) -> None:
        """The book holds all that was written before `began_at`."""
        self._known = {uid: at for uid, at in self._known.items() if at >= began_at}
        self._replica.unsynced_cancellations = set(self._known)

    def newer_than(self, state_revision: int) -> list[str]:
        """All jobs that somebody here may have been told are cancelled, as far as a book that
        is complete up to `ledger` may not show it and a part may hold tasks of them: none does of
        those that left the book, nor of those that are cancelled with one that they need."""
        return sorted(
            self._known
            | {
                uid: 0.0
                for uid, job in self._replica.jobs.items()
                if job.cancelled and job.version > state_revision
            }
        )

    def _in_replica(self, uid: str) -> bool:
        return (job := self._replica.jobs.get(uid)) is not None and job.cancelled
