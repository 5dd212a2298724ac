"""Looks up the outcomes of archived jobs, in batches, and caches them.

Users ask about many jobs at once, unknown ones included, and one request for each would exceed
the service's rate limit. A transaction without changes tells which of many records exist: its
guards fail for those that do. A lookup is only answered by a request that began after it.
"""

from collections.abc import Iterable
from typing import Any

import trio

from ryegauge.bookkeeping.state import Conflict, OutcomeUnknown, StateClient, Unavailable
from ryegauge.bookkeeping.state_replica import archive_key

LOOKUP_TIMEOUT_S = 1.0


class _Batch:
    """Lookups that are answered together."""

    def __init__(self) -> None:
        self.uids: set[str] = set()
        # Kept until every caller of the batch has read it, since the cache may evict an outcome
        # earlier: a job that one batch found while the next one asked for it again would then
        # count as never accepted.
        self.found: dict[str, dict[str, Any]] = {}
        self.finished = False
        self.error: Unavailable | OutcomeUnknown | None = None


class ArchivedOutcomes:
    """Batched and cached lookups of `f/UID` records."""

    def __init__(self, state: StateClient, max_conditions: int, max_cached: int) -> None:
        """`max_conditions`: most guards of a transaction; `max_cached`: outcomes that the cache
        keeps besides as many as the latest batch asked for."""
        self._state = state
        self._max_conditions = max_conditions
        self._max_cached = max_cached
        # Outcomes never change. In the order in which they were read; the oldest is evicted first.
        self._cached: dict[str, dict[str, Any]] = {}
        self._next_batch = _Batch()
        self._lock = trio.Lock()

    def cached(self, uid: str) -> dict[str, Any] | None:
        """The cached record, without a request."""
        return self._cached.get(uid)

    async def find(self, uid: str) -> dict[str, Any] | None:
        """The job's record, or None if there is none. Raises as `find_all`."""
        return (await self.find_all([uid])).get(uid)

    async def find_all(self, uids: Iterable[str]) -> dict[str, dict[str, Any]]:
        """The existing records of these jobs. Raises Unavailable or OutcomeUnknown."""
        requested = list(uids)
        cached = self._cached
        found = {uid: cached[uid] for uid in requested if uid in cached}
        missing = [uid for uid in requested if uid not in found]
        if not missing:
            return found
        batch = self._next_batch
        batch.uids.update(missing)
        async with self._lock:
            if not batch.finished:
                if self._next_batch is batch:
                    self._next_batch = _Batch()  # for lookups that begin from now on
                try:
                    await self._look_up(batch)
                except (Unavailable, OutcomeUnknown) as error:
                    batch.error = error
                batch.finished = True
        if batch.error is not None:
            raise batch.error
        found.update((uid, batch.found[uid]) for uid in missing if uid in batch.found)
        while len(cached) > self._max_cached + len(batch.uids):
            del cached[next(iter(cached))]
        return found

    async def _look_up(self, batch: _Batch) -> None:
        """Finds the outcomes of a batch: first which of them exist, then each of those."""
        sorted_uids = sorted(batch.uids)
        existing: list[str] = []
        unbatched: list[str] = []
        for offset in range(0, len(sorted_uids), self._max_conditions):
            uid_by_key = {
                archive_key(uid): uid for uid in sorted_uids[offset : offset + self._max_conditions]
            }
            if len(uid_by_key) == 1:
                unbatched += uid_by_key.values()
                continue
            try:
                await self._state.commit(
                    dict.fromkeys(uid_by_key, 0), [], timeout_s=LOOKUP_TIMEOUT_S
                )
            except Conflict as conflict:
                existing += [uid_by_key[key] for key in conflict.failed if key in uid_by_key]
        for uid in existing + unbatched:
            if uid not in self._cached:
                record = await self._state.get(archive_key(uid), timeout_s=LOOKUP_TIMEOUT_S)
                if record is not None:
                    self._cached[uid] = record[0]
                elif uid not in unbatched:
                    # It existed a moment ago, and outcomes are never deleted.
                    raise Unavailable(f"the outcome of {uid} is not there any more")
            if uid in self._cached:
                batch.found[uid] = self._cached[uid]
