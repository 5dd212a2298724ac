"""Outcomes of jobs that have left the book: read once, kept, and asked for together.

Users ask about many jobs at once, about unknown ones too, and a request for each is more than
the service takes: one transaction without changes asks which of many records there are. A
question is only answered by a request that began after it.
"""

from collections.abc import Iterable
from typing import Any

import trio

from ryegauge.bookkeeping.state import Conflict, OutcomeUnknown, StateClient, Unavailable
from ryegauge.bookkeeping.state_replica import archive_key

TIMEOUT_S = 1.0


class _Batch:
    def __init__(self) -> None:
        self.uids: set[str] = set()
        # What it found, for all who asked: what is remembered beyond may be dropped before each
        # of them has looked. (Found by reading: a job that one batch had found while the next
        # asked for it again counted as never accepted.)
        self.found: dict[str, dict[str, Any]] = {}
        self.over = False
        self.error: Unavailable | OutcomeUnknown | None = None


class FinalOutcomes:
    def __init__(self, state: StateClient, max_conditions: int, keep: int) -> None:
        """`conditions`: as many as a transaction may have; `keep`: outcomes remembered."""
        self._state = state
        self._conditions = max_conditions
        self._keep = keep
        # They never change; the latest read is last.
        self._known: dict[str, dict[str, Any]] = {}
        self._next = _Batch()
        self._turn = trio.Lock()

    def known(self, uid: str) -> dict[str, Any] | None:
        """What is remembered, without asking."""
        return self._known.get(uid)

    async def find(self, uid: str) -> dict[str, Any] | None:
        return (await self.find_all([uid])).get(uid)

    async def find_all(self, uids: Iterable[str]) -> dict[str, dict[str, Any]]:
        """The records that there are. Raises Unavailable or Unknown."""
        wanted = list(uids)
        known = self._known
        found = {uid: known[uid] for uid in wanted if uid in known}
        missing = [uid for uid in wanted if uid not in found]
        if not missing:
            return found
        batch = self._next
        batch.uids.update(missing)
        async with self._turn:
            if not batch.over:
                if self._next is batch:
                    self._next = _Batch()  # for those who ask from now on
                try:
                    await self._look(batch)
                except (Unavailable, OutcomeUnknown) as error:
                    batch.error = error
                batch.over = True
        if batch.error is not None:
            raise batch.error
        found.update((uid, batch.found[uid]) for uid in missing if uid in batch.found)
        while len(known) > self._keep + len(batch.uids):
            del known[next(iter(known))]
        return found

    async def _look(self, batch: _Batch) -> None:
        names = sorted(batch.uids)
        there: list[str] = []
        alone: list[str] = []
        for first in range(0, len(names), self._conditions):
            some = {archive_key(uid): uid for uid in names[first : first + self._conditions]}
            if len(some) == 1:
                alone += some.values()
                continue
            try:
                await self._state.commit(dict.fromkeys(some, 0), [], timeout_s=TIMEOUT_S)
            except Conflict as conflict:
                there += [some[key] for key in conflict.failed if key in some]
        for uid in there + alone:
            if uid not in self._known:
                record = await self._state.get(archive_key(uid), timeout_s=TIMEOUT_S)
                if record is not None:
                    self._known[uid] = record[0]
                elif uid not in alone:
                    # It was there just now, and outcomes are kept for good.
                    raise Unavailable(f"the outcome of {uid} is not there any more")
            if uid in self._known:
                batch.found[uid] = self._known[uid]
