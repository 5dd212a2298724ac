"""Whether the state service still has what it had: suspicion first, then the verdict.

Every read of changes begins one revision before the last one that the book has, so that its
answer must show that revision's changes again, to the letter. A service that went back, even if
it has grown past what we saw since, shows others there. Beyond that, what was confirmed to us
must turn up in the reads, and a record whose version a transaction found to be another must be
another by the next read.
"""

# kind: decisions

import logging
from collections.abc import Callable
from typing import Literal, NamedTuple

from ryegauge.bookkeeping.epochs import EPOCH_KEY
from ryegauge.bookkeeping.state import Event, Gone, Put, Unavailable
from ryegauge.bookkeeping.state_replica import PREFIX, StateReplica
from ryegauge.rebuilding.records import KnownState, keep

log = logging.getLogger(__name__)

# Revisions that are remembered as read, for answers to our writes that come late.
REMEMBERED = 4096

# history: it went back to an earlier revision, or to none at all.
# records: it goes on, and some of what it had is missing or old.
Kind = Literal["history", "records"]


class Verdict(NamedTuple):
    kind: Kind
    why: str


class ContradictoryAnswer(Unavailable):
    """An answer that contradicts what is known: as good as none."""


class LossDetector:
    def __init__(self, replica: StateReplica) -> None:
        self._replica = replica
        self._last: tuple[int, list[Event]] | None = None
        self._from = 0  # changes were read one after the other since this revision
        self._read: dict[int, set[str]] = {}  # revision -> keys that it changed, oldest first
        self._floor = 0
        self._confirmed: dict[int, list[Put]] = {}  # writes of ours that no read has shown yet
        self._missing: dict[int, list[Put]] = {}  # those that reads have passed over
        self._conflicts: dict[str, int] = {}
        self._checking: dict[str, int] = {}
        self.to_look: list[str] = []  # records to be read alone
        self._looked: set[str] = set()
        self.suspicion = ""  # why, while there is one
        self.verdict: Verdict | None = None
        self.contradicted = False  # by what we read ourselves, since the last full read
        self.suspicions = 0
        self.known_state: KnownState | None = None  # what the book held before the present era
        self._learnt: KnownState | None = None
        # Told before the book becomes one of another era: whoever acts by it must stop. (Found
        # by a day: an owner placed a cancelled job's tasks, which the service had again, between
        # two reads.)
        self.on_epoch_change: Callable[[], None] = lambda: None
        self._was_read = False

    @property
    def epoch_version(self) -> int:
        return self._replica.epoch_version

    # -- evidence ------------------------------------------------------------------------

    def on_committed(self, revision: int, puts: list[Put]) -> None:
        """A transaction of ours was executed; it must be in the reads."""
        puts = [put for put in puts if put.key.startswith(("f/", PREFIX))]
        if revision <= self._from or not puts or self._shown(puts, self._read.get(revision)):
            return
        if revision > self._replica.state_revision:
            self._confirmed[revision] = puts
        elif self._last is not None:
            self._missing[revision] = puts

    def _shown(self, puts: list[Put], keys: set[str] | None) -> bool:
        """What is read is only what is under the prefix."""
        mine = {put.key for put in puts if put.key.startswith(PREFIX)}
        return mine <= (keys or set())

    def on_conflict(self, guards: dict[str, int], failed: list[str]) -> None:
        """The service had other versions than those: the next read must show them."""
        self._conflicts.update((key, guards[key]) for key in failed if guards.get(key))

    def report_loss(self, why: str) -> None:
        """Proof from elsewhere, by a read begun after it."""
        if self.verdict is None:
            self._judge("history", why)

    def learn(self, known_state: KnownState) -> None:
        """What a snapshot holds, to be put back with what the book has."""
        self._learnt = known_state.over(self._learnt)

    # -- reads ---------------------------------------------------------------------------

    @property
    def has_unread_commits(self) -> bool:
        return bool(self._confirmed or self._checking or self._conflicts)

    def begin(self) -> int:
        self._floor = max([self._replica.state_revision, *self._confirmed])
        self._checking, self._conflicts = {**self._checking, **self._conflicts}, {}
        return self._replica.state_revision if self._last is None else self._last[0] - 1

    def read(self, events: list[Event], state_revision: int) -> list[Event]:
        if self.verdict is not None:
            raise ContradictoryAnswer("the state service has lost data")
        if why := self._contradiction(events, state_revision):
            self._suspect("history", why)
        new = [event for event in events if event.version > self._replica.state_revision]
        if any(event.key == EPOCH_KEY for event in new):
            # What we have may be of before a loss. It is kept, and read anew.
            raise Gone
        changed = {event.key for event in new}
        stuck = sorted(
            key
            for key, version in self._checking.items()
            if key not in changed and self._replica.version_of(key) == version
        )
        self._checking = {}
        if stuck:
            looked = all(key in self._looked for key in stuck)
            self._looked.clear()
            if not looked:
                self.to_look = stuck
            self._suspect("records", f"{stuck[0]} has changed, and no read shows it")
        if self.to_look:
            raise ContradictoryAnswer(self.suspicion)
        self._take_in(new, state_revision)
        if self.suspicion:
            log.info("no longer suspected to have lost data: %s", self.suspicion)
            self.suspicion, self.contradicted = "", False
        return new

    def odd(
        self, page: list[Event], after: str | None, last: str | None, state_revision: int
    ) -> list[str]:
        """Records that a page of all keys from `after` on, up to `last` or to the end, lacks or
        shows in another version than the book, which has been read since. The page is of
        revision `ledger`: what the book has from before must stand there just so."""
        shown = {event.key: event.version for event in page}
        result: list[str] = []
        for key, version in self._replica.versions():
            within = (after is None or key > after) and (last is None or key <= last)
            if within and version <= state_revision and shown.get(key) != version:
                result.append(key)
        return result

    def doubt(self, key: str) -> None:
        """A page of records was odd; that record alone is looked at next."""
        self.contradicted = True
        self.suspicions += 1
        self.suspicion = f"{key} is not what it was, and no read has shown a change"
        self.to_look = [key]
        log.warning("suspected to have lost data: %s", self.suspicion)

    def looked(self, key: str, version: int) -> None:
        """What a read of this record alone, begun after the suspicion, has shown."""
        self.to_look = [other for other in self.to_look if other != key]
        known = self._replica.version_of(key)
        if known is not None and version != known:
            # It may have changed since our last read of all; the next one decides.
            self._conflicts[key] = known
            self._looked.add(key)

    def _take_in(self, new: list[Event], state_revision: int) -> None:
        for event in new:
            self._read.setdefault(event.version, set()).add(event.key)
        while len(self._read) > REMEMBERED:
            self._from = next(iter(self._read))
            del self._read[self._from]
        self._confirmed = {r: puts for r, puts in self._confirmed.items() if r > state_revision}
        if new:
            at = new[-1].version
            self._last = at, [event for event in new if event.version == at]

    def _contradiction(self, events: list[Event], state_revision: int) -> str:
        if state_revision < self._floor:
            return f"revision {state_revision} after {self._floor}"
        for revision in self._missing:
            return f"what we wrote at {revision} was not in the reads"
        if self._last is not None:
            at, were = self._last
            if [event for event in events if event.version == at] != were:
                return f"other changes at revision {at} than before"
        shown: dict[int, set[str]] = {}
        for event in events if self._confirmed else ():
            shown.setdefault(event.version, set()).add(event.key)
        for revision, puts in self._confirmed.items():
            if revision <= state_revision and not self._shown(puts, shown.get(revision)):
                return f"what we wrote at {revision} is not among the changes"
        return ""

    def on_full_read(self, items: list[Event], state_revision: int) -> None:
        """Everything was read: after a verdict, in a new era, or since the changes asked for
        are no longer kept."""
        epoch = next((event.value["e"] for event in items if event.key == EPOCH_KEY), 0)
        odd = state_revision < self._floor or epoch < self._replica.epoch
        if epoch <= self._replica.epoch and (self.verdict is not None or odd):
            # Not before the new era has begun: the book is what is put back.
            self._suspect("history", f"revision {state_revision} after {self._floor}")
        if epoch > self._replica.epoch:
            self.on_epoch_change()
        if epoch > self._replica.epoch and self._was_read:
            older = (
                self.known_state if self._learnt is None else self._learnt.over(self.known_state)
            )
            # What was confirmed and never read is known all the same: users were told.
            written = {**self._missing, **self._confirmed}
            self.known_state = keep(self._replica, self.contradicted, written).over(older)
            self._learnt = None
        self._was_read = True
        self._last, self._from = None, state_revision
        self._read.clear()
        self._confirmed.clear()
        self._conflicts.clear()
        self._checking.clear()
        self._missing.clear()
        self.to_look = []
        self._looked.clear()
        self.suspicion, self.verdict, self.contradicted = "", None, False

    # -- from suspicion to verdict ---------------------------------------------------------

    def _suspect(self, kind: Kind, why: str) -> None:
        """One odd answer may be late or misrouted; the next read, begun after it, decides."""
        self.contradicted = True
        self.suspicions += 1
        if self.suspicion and self.verdict is None:
            self._judge(kind, why)
        elif self.verdict is None:
            log.warning("suspected to have lost data: %s", why)
        self.suspicion = why
        raise ContradictoryAnswer(why)

    def _judge(self, kind: Kind, why: str) -> None:
        self.verdict = Verdict(kind, why)
        log.warning("the state service has lost data: %s", why)
