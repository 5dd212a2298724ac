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
from ryegauge.rebuilding.records import KnownState, copy_known_state

log = logging.getLogger(__name__)

# Read revisions whose keys are kept, to check writes whose confirmation arrives after the read.
MAX_REVISIONS_REMEMBERED = 4096

# history: the service was reset to an earlier revision, or is empty.
# records: its revisions continue, but single records are missing or outdated.
LossKind = Literal["history", "records"]


class ConfirmedLoss(NamedTuple):
    """A confirmed loss and the contradiction that showed it."""

    kind: LossKind
    reason: str


class ContradictoryAnswer(Unavailable):
    """An answer that contradicts what is known. Callers treat it as no answer."""


class LossDetector:
    """Checks every answer of the state service against the replica, as the module describes.

    `suspicion` and `confirmed_loss` hold the result. The Syncer calls `begin_read` before each
    read and `check_changes` or `on_full_read` with its answer; the client calls `on_committed` or
    `on_conflict` after each transaction.
    """

    def __init__(self, replica: StateReplica) -> None:
        self._replica = replica
        self._last_changes: tuple[int, list[Event]] | None = None
        self._read_since = 0  # all changes after this revision have been read in sequence
        self._read_keys: dict[int, set[str]] = {}  # revision -> keys that it changed, oldest first
        self._min_revision = 0  # lowest revision that the answer of the current read may have
        self._unread_writes: dict[int, list[Put]] = {}  # own writes that no read has shown yet
        # Own writes that a later read did not contain.
        self._missed_writes: dict[int, list[Put]] = {}
        # Keys of failed guards and the replica's versions of them: since the last read began, and
        # those that the current read has to show as changed.
        self._new_conflicts: dict[str, int] = {}
        self._conflicts_to_check: dict[str, int] = {}
        self.keys_to_check: list[str] = []  # keys of suspected records, to be read one by one
        self._keys_found_changed: set[str] = set()  # keys whose single read found another version
        self.suspicion = ""  # the contradiction, while it is unconfirmed
        self.confirmed_loss: ConfirmedLoss | None = None
        # Whether an answer to this controller contradicted the replica since the last full read.
        self.contradicted = False
        self.suspicions = 0  # number of contradictions so far
        # What this controller knew before the current epoch.
        self.known_state: KnownState | None = None
        self._snapshot_state: KnownState | None = None  # what snapshots hold
        # Called before the replica changes to another epoch, so that all actions based on the old
        # one stop. Otherwise an owner could place tasks of a cancelled job, which the service
        # shows as not cancelled again, between two reads.
        self.on_epoch_change: Callable[[], None] = lambda: None
        self._has_full_read = False  # a full read has been accepted before

    @property
    def epoch_version(self) -> int:
        """Version of the epoch's record, by which all transactions are guarded."""
        return self._replica.epoch_version

    # -- evidence ------------------------------------------------------------------------

    def on_committed(self, revision: int, puts: list[Put]) -> None:
        """Records that a transaction of this controller was executed at `revision`. The reads
        must show it."""
        puts = [put for put in puts if put.key.startswith(("f/", PREFIX))]
        if (
            revision <= self._read_since
            or not puts
            or self._shows_keys(puts, self._read_keys.get(revision))
        ):
            return
        if revision > self._replica.state_revision:
            self._unread_writes[revision] = puts
        elif self._last_changes is not None:
            self._missed_writes[revision] = puts

    def _shows_keys(self, puts: list[Put], keys: set[str] | None) -> bool:
        """Whether `keys` contains all keys of `puts` that reads cover: those under the prefix."""
        read_keys = {put.key for put in puts if put.key.startswith(PREFIX)}
        return read_keys <= (keys or set())

    def on_conflict(self, guards: dict[str, int], failed: list[str]) -> None:
        """Records that a transaction was refused because the keys in `failed` do not have the
        versions in `guards`. The next read must show their change."""
        self._new_conflicts.update((key, guards[key]) for key in failed if guards.get(key))

    def report_loss(self, reason: str) -> None:
        """Confirms a loss by evidence other than a read of the changes, such as a worker's token
        or a snapshot. The caller has checked it against a read that began after it arrived."""
        if self.confirmed_loss is None:
            self._confirm_loss("history", reason)

    def add_snapshot_state(self, known_state: KnownState) -> None:
        """Adds what a snapshot holds to what is restored in the next epoch."""
        self._snapshot_state = known_state.with_older(self._snapshot_state)

    # -- reads ---------------------------------------------------------------------------

    @property
    def has_unread_commits(self) -> bool:
        """Whether a confirmed or refused transaction is still to be checked against a read."""
        return bool(self._unread_writes or self._conflicts_to_check or self._new_conflicts)

    def begin_read(self) -> int:
        """Starts a read and returns the revision after which it has to ask for changes."""
        self._min_revision = max([self._replica.state_revision, *self._unread_writes])
        self._conflicts_to_check, self._new_conflicts = (
            {**self._conflicts_to_check, **self._new_conflicts},
            {},
        )
        return (
            self._replica.state_revision
            if self._last_changes is None
            else self._last_changes[0] - 1
        )

    def check_changes(self, events: list[Event], state_revision: int) -> list[Event]:
        """Checks the changes that a read returned, up to `state_revision`, and returns those
        that the replica does not have yet. Raises ContradictoryAnswer if they contradict what is
        known, and Gone if they begin an epoch, so that everything has to be read again."""
        if self.confirmed_loss is not None:
            raise ContradictoryAnswer("the state service has lost data")
        if reason := self._find_contradiction(events, state_revision):
            self._raise_suspicion("history", reason)
        new = [event for event in events if event.version > self._replica.state_revision]
        if any(event.key == EPOCH_KEY for event in new):
            # The replica may be from before a loss. The full read keeps a copy of it first.
            raise Gone
        changed = {event.key for event in new}
        unexplained = sorted(
            key
            for key, version in self._conflicts_to_check.items()
            if key not in changed and self._replica.version_of(key) == version
        )
        self._conflicts_to_check = {}
        if unexplained:
            all_changed = all(key in self._keys_found_changed for key in unexplained)
            self._keys_found_changed.clear()
            if not all_changed:
                self.keys_to_check = unexplained
            self._raise_suspicion(
                "records", f"{unexplained[0]} has another version, but no read shows a change"
            )
        if self.keys_to_check:
            raise ContradictoryAnswer(self.suspicion)
        self._remember(new, state_revision)
        if self.suspicion:
            log.info("no longer suspected of having lost data: %s", self.suspicion)
            self.suspicion, self.contradicted = "", False
        return new

    def mismatched_keys(
        self, page: list[Event], after: str | None, last: str | None, state_revision: int
    ) -> list[str]:
        """Returns keys of records that a page lacks or has in another version than the replica.

        The page covers the keys after `after` up to `last` (None: no bound) as of `state_revision`.
        The replica must have been read since: a record that it has unchanged from that revision
        or before has to be in the page with the same version."""
        shown = {event.key: event.version for event in page}
        result: list[str] = []
        for key, version in self._replica.versions():
            in_page = (after is None or key > after) and (last is None or key <= last)
            if in_page and version <= state_revision and shown.get(key) != version:
                result.append(key)
        return result

    def suspect_record(self, key: str) -> None:
        """Raises a suspicion because a page of records lacks `key` or has another version of it.
        That record is read alone next."""
        self.contradicted = True
        self.suspicions += 1
        self.suspicion = f"{key} is missing or has another version, and no read showed a change"
        self.keys_to_check = [key]
        log.warning("the state service is suspected of having lost data: %s", self.suspicion)

    def on_record_read(self, key: str, version: int) -> None:
        """Takes the version (0: missing) that a read of this record alone has returned. The read
        must have begun after the suspicion was raised."""
        self.keys_to_check = [other for other in self.keys_to_check if other != key]
        known = self._replica.version_of(key)
        if known is not None and version != known:
            # It may have changed after the last read of the changes; the next one decides.
            self._new_conflicts[key] = known
            self._keys_found_changed.add(key)

    def _remember(self, new: list[Event], state_revision: int) -> None:
        """Keeps what later checks need of an accepted read."""
        for event in new:
            self._read_keys.setdefault(event.version, set()).add(event.key)
        while len(self._read_keys) > MAX_REVISIONS_REMEMBERED:
            self._read_since = next(iter(self._read_keys))
            del self._read_keys[self._read_since]
        self._unread_writes = {
            r: puts for r, puts in self._unread_writes.items() if r > state_revision
        }
        if new:
            last_revision = new[-1].version
            self._last_changes = (
                last_revision,
                [event for event in new if event.version == last_revision],
            )

    def _find_contradiction(self, events: list[Event], state_revision: int) -> str:
        """Says what in a read contradicts earlier answers; empty if nothing does."""
        if state_revision < self._min_revision:
            return f"read revision {state_revision} after revision {self._min_revision}"
        for revision in self._missed_writes:
            return f"a later read did not contain our write at revision {revision}"
        if self._last_changes is not None:
            last_revision, earlier_events = self._last_changes
            if [event for event in events if event.version == last_revision] != earlier_events:
                return f"the changes at revision {last_revision} differ from those read before"
        shown: dict[int, set[str]] = {}
        for event in events if self._unread_writes else ():
            shown.setdefault(event.version, set()).add(event.key)
        for revision, puts in self._unread_writes.items():
            if revision <= state_revision and not self._shows_keys(puts, shown.get(revision)):
                return f"the changes read do not contain our write at revision {revision}"
        return ""

    def on_full_read(self, items: list[Event], state_revision: int) -> None:
        """Checks a full read at `state_revision`. There is one at the start, after a confirmed
        loss, in a new epoch, and when the service no longer has the changes that were asked for.
        Raises ContradictoryAnswer if it contradicts what is known and no new epoch has begun.

        In a new epoch, unless this is the first full read, `known_state` becomes a copy of the
        replica as it was before, with the confirmed own writes that no read has shown. What
        snapshots and the previous `known_state` hold completes it."""
        epoch = next((event.value["e"] for event in items if event.key == EPOCH_KEY), 0)
        is_older = state_revision < self._min_revision or epoch < self._replica.epoch
        if epoch <= self._replica.epoch and (self.confirmed_loss is not None or is_older):
            # Until a new epoch begins, the replica must not be replaced: it is what gets restored.
            self._raise_suspicion(
                "history", f"read revision {state_revision} after revision {self._min_revision}"
            )
        if epoch > self._replica.epoch:
            self.on_epoch_change()
        if epoch > self._replica.epoch and self._has_full_read:
            older = (
                self.known_state
                if self._snapshot_state is None
                else self._snapshot_state.with_older(self.known_state)
            )
            # Writes that were confirmed and not read yet count too: users may have been told.
            written = {**self._missed_writes, **self._unread_writes}
            self.known_state = copy_known_state(
                self._replica, self.contradicted, written
            ).with_older(older)
            self._snapshot_state = None
        self._has_full_read = True
        self._last_changes, self._read_since = None, state_revision
        self._read_keys.clear()
        self._unread_writes.clear()
        self._new_conflicts.clear()
        self._conflicts_to_check.clear()
        self._missed_writes.clear()
        self.keys_to_check = []
        self._keys_found_changed.clear()
        self.suspicion, self.confirmed_loss, self.contradicted = "", None, False

    # -- from suspicion to confirmed loss ------------------------------------------------------

    def _raise_suspicion(self, kind: LossKind, reason: str) -> None:
        """Raises a suspicion, or confirms the loss if there is one already; then raises
        ContradictoryAnswer. A single contradictory answer may be late or misrouted, so a read
        that begins after it decides."""
        self.contradicted = True
        self.suspicions += 1
        if self.suspicion and self.confirmed_loss is None:
            self._confirm_loss(kind, reason)
        elif self.confirmed_loss is None:
            log.warning("the state service is suspected of having lost data: %s", reason)
        self.suspicion = reason
        raise ContradictoryAnswer(reason)

    def _confirm_loss(self, kind: LossKind, reason: str) -> None:
        """Records the loss. This controller then begins a new epoch."""
        self.confirmed_loss = ConfirmedLoss(kind, reason)
        log.warning("the state service has lost data: %s", reason)
