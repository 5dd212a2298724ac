"""Detects that the state service has lost data.

The first contradiction raises a suspicion; a second one, in a read that began after it, confirms
the loss. Three checks look for contradictions:

- Every read of changes begins one revision before the last one in the replica, so its answer
  must repeat that revision's changes exactly. A service that was reset to an earlier revision
  returns different ones there, even if its revision has since grown past the replica's.
- Every write that was confirmed to this controller must appear in the reads.
- If a transaction was refused because a record has another version than the replica, the next read
  must show that record's change.
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

# Read revisions whose keys are kept, to check writes whose confirmation arrives after the read.
REMEMBERED = 4096

# history: the service was reset to an earlier revision, or is empty.
# records: its revisions continue, but single records are missing or outdated.
Kind = Literal["history", "records"]


class Verdict(NamedTuple):
    """A confirmed loss and the contradiction that showed it."""

    kind: Kind
    why: str


class ContradictoryAnswer(Unavailable):
    """An answer that contradicts what is known. Callers treat it as no answer."""


class LossDetector:
    """Checks every answer of the state service against the replica (see the module).

    `suspicion` and `verdict` hold the result. The synchronizer calls `begin` before each read and
    `read` or `on_full_read` with its answer; the client calls `on_committed` or `on_conflict`
    after each transaction.
    """

    def __init__(self, replica: StateReplica) -> None:
        self._replica = replica
        self._last: tuple[int, list[Event]] | None = None
        self._from = 0  # all changes after this revision have been read in sequence
        self._read: dict[int, set[str]] = {}  # revision -> keys that it changed, oldest first
        self._floor = 0  # lowest revision that the answer of the current read may have
        self._confirmed: dict[int, list[Put]] = {}  # own writes that no read has shown yet
        self._missing: dict[int, list[Put]] = {}  # own writes that a later read did not contain
        # Keys of failed guards and the replica's versions of them: since the last read began, and
        # those that the current read has to show as changed.
        self._conflicts: dict[str, int] = {}
        self._checking: dict[str, int] = {}
        self.to_look: list[str] = []  # keys of suspected records, to be read one by one
        self._looked: set[str] = set()  # keys whose single read confirmed the suspicion
        self.suspicion = ""  # the contradiction, while it is unconfirmed
        self.verdict: Verdict | None = None
        # Whether an answer to this controller contradicted the replica since the last full read.
        self.contradicted = False
        self.suspicions = 0  # number of contradictions so far
        self.known_state: KnownState | None = (
            None  # what this controller knew before the current epoch
        )
        self._learnt: KnownState | None = None  # from snapshots
        # Called before the replica changes to another epoch, so that all actions based on the old
        # one stop. Otherwise an owner could place tasks of a cancelled job, which the service
        # shows as not cancelled again, between two reads.
        self.on_epoch_change: Callable[[], None] = lambda: None
        self._was_read = False  # a full read has been accepted before

    @property
    def epoch_version(self) -> int:
        """Version of the epoch's record, by which all transactions are guarded."""
        return self._replica.epoch_version

    # -- evidence ------------------------------------------------------------------------

    def on_committed(self, revision: int, puts: list[Put]) -> None:
        """Records that a transaction of this controller was executed at `revision`. The reads
        must show it."""
        puts = [put for put in puts if put.key.startswith(("f/", PREFIX))]
        if revision <= self._from or not puts or self._shown(puts, self._read.get(revision)):
            return
        if revision > self._replica.state_revision:
            self._confirmed[revision] = puts
        elif self._last is not None:
            self._missing[revision] = puts

    def _shown(self, puts: list[Put], keys: set[str] | None) -> bool:
        """Whether `keys` contains all keys of `puts` that reads cover: those under the prefix."""
        mine = {put.key for put in puts if put.key.startswith(PREFIX)}
        return mine <= (keys or set())

    def on_conflict(self, guards: dict[str, int], failed: list[str]) -> None:
        """Records that a transaction was refused because the keys in `failed` do not have the
        versions in `guards`. The next read must show their change."""
        self._conflicts.update((key, guards[key]) for key in failed if guards.get(key))

    def report_loss(self, why: str) -> None:
        """Confirms a loss by evidence other than a read of the changes, such as a worker's token
        or a snapshot. The caller has checked it against a read that began after it arrived."""
        if self.verdict is None:
            self._judge("history", why)

    def learn(self, known_state: KnownState) -> None:
        """Adds what a snapshot holds to what is restored in the next epoch."""
        self._learnt = known_state.over(self._learnt)

    # -- reads ---------------------------------------------------------------------------

    @property
    def has_unread_commits(self) -> bool:
        """Whether a confirmed or refused transaction is still to be checked against a read."""
        return bool(self._confirmed or self._checking or self._conflicts)

    def begin(self) -> int:
        """Starts a read and returns the revision after which it has to ask for changes."""
        self._floor = max([self._replica.state_revision, *self._confirmed])
        self._checking, self._conflicts = {**self._checking, **self._conflicts}, {}
        return self._replica.state_revision if self._last is None else self._last[0] - 1

    def read(self, events: list[Event], state_revision: int) -> list[Event]:
        """Checks the changes that a read returned, up to `state_revision`, and returns those
        that the replica does not have yet. Raises Doubt if they contradict what is known, and Gone
        if they begin an epoch, so that everything has to be read again."""
        if self.verdict is not None:
            raise ContradictoryAnswer("the state service has lost data")
        if why := self._contradiction(events, state_revision):
            self._suspect("history", why)
        new = [event for event in events if event.version > self._replica.state_revision]
        if any(event.key == EPOCH_KEY for event in new):
            # The replica may be from before a loss. The full read keeps a copy of it first.
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
            self._suspect("records", f"{stuck[0]} has another version, but no read shows a change")
        if self.to_look:
            raise ContradictoryAnswer(self.suspicion)
        self._take_in(new, state_revision)
        if self.suspicion:
            log.info("no longer suspected of having lost data: %s", self.suspicion)
            self.suspicion, self.contradicted = "", False
        return new

    def odd(
        self, page: list[Event], after: str | None, last: str | None, state_revision: int
    ) -> list[str]:
        """Returns keys of records that a page lacks or has in another version than the replica.

        The page covers the keys after `after` up to `last` (None: no bound) as of `state_revision`.
        The replica must have been read since: a record that it has unchanged from that revision
        or before has to be in the page with the same version."""
        shown = {event.key: event.version for event in page}
        result: list[str] = []
        for key, version in self._replica.versions():
            within = (after is None or key > after) and (last is None or key <= last)
            if within and version <= state_revision and shown.get(key) != version:
                result.append(key)
        return result

    def doubt(self, key: str) -> None:
        """Raises a suspicion because a page of records lacks `key` or has another version of it.
        That record is read alone next."""
        self.contradicted = True
        self.suspicions += 1
        self.suspicion = f"{key} is missing or has another version, and no read showed a change"
        self.to_look = [key]
        log.warning("the state service is suspected of having lost data: %s", self.suspicion)

    def looked(self, key: str, version: int) -> None:
        """Takes the version (0: missing) that a read of this record alone has returned. The read
        must have begun after the suspicion was raised."""
        self.to_look = [other for other in self.to_look if other != key]
        known = self._replica.version_of(key)
        if known is not None and version != known:
            # It may have changed after the last read of the changes; the next one decides.
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
            return f"read revision {state_revision} after revision {self._floor}"
        for revision in self._missing:
            return f"a later read did not contain our write at revision {revision}"
        if self._last is not None:
            at, were = self._last
            if [event for event in events if event.version == at] != were:
                return f"the changes at revision {at} differ from those read before"
        shown: dict[int, set[str]] = {}
        for event in events if self._confirmed else ():
            shown.setdefault(event.version, set()).add(event.key)
        for revision, puts in self._confirmed.items():
            if revision <= state_revision and not self._shown(puts, shown.get(revision)):
                return f"the changes read do not contain our write at revision {revision}"
        return ""

    def on_full_read(self, items: list[Event], state_revision: int) -> None:
        """Checks a full read at `state_revision`. There is one after a confirmed loss, in a new
        epoch, and when the service no longer has the changes that were asked for. Raises Doubt
        if it contradicts what is known and no new epoch has begun. In a new epoch, `kept` becomes
        a copy of the replica as it was before."""
        epoch = next((event.value["e"] for event in items if event.key == EPOCH_KEY), 0)
        odd = state_revision < self._floor or epoch < self._replica.epoch
        if epoch <= self._replica.epoch and (self.verdict is not None or odd):
            # Until a new epoch begins, the replica must not be replaced: it is what gets restored.
            self._suspect("history", f"read revision {state_revision} after revision {self._floor}")
        if epoch > self._replica.epoch:
            self.on_epoch_change()
        if epoch > self._replica.epoch and self._was_read:
            older = (
                self.known_state if self._learnt is None else self._learnt.over(self.known_state)
            )
            # Writes that were confirmed and not read yet count too: users may have been told.
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
        """Raises a suspicion, or confirms the one there is, and raises Doubt. A single
        contradictory answer may be late or misrouted, so a read that begins after it decides."""
        self.contradicted = True
        self.suspicions += 1
        if self.suspicion and self.verdict is None:
            self._judge(kind, why)
        elif self.verdict is None:
            log.warning("the state service is suspected of having lost data: %s", why)
        self.suspicion = why
        raise ContradictoryAnswer(why)

    def _judge(self, kind: Kind, why: str) -> None:
        """Confirms a loss."""
        self.verdict = Verdict(kind, why)
        log.warning("the state service has lost data: %s", why)
