"""Keeps the replica current and tells when it is current enough to answer a request."""

import logging
from collections.abc import Callable
from typing import Protocol

import trio

from ryegauge.bookkeeping.state import Event, Gone, OutcomeUnknown, StateClient, Unavailable
from ryegauge.bookkeeping.state_replica import PREFIX, StateReplica

log = logging.getLogger(__name__)


class ReadObserver(Protocol):
    """Checks every read for signs that the service has lost data."""

    @property
    def has_unread_commits(self) -> bool:
        """Whether a commit or conflict was confirmed to us that no read has shown yet."""

    def begin_read(self) -> int:
        """Called before a read; returns the revision after which to read changes."""

    def check_changes(self, events: list[Event], state_revision: int) -> list[Event]:
        """Called after a read of changes; returns those that the replica does not have yet.
        Raises Unavailable if the answer contradicts earlier ones, and Gone if a full read is
        needed."""

    def on_full_read(self, items: list[Event], state_revision: int) -> None:
        """Called after a full read. Raises Unavailable if it contradicts earlier answers."""


class _ReadRequest:
    """A caller that waits for a read which begins after its call."""

    __slots__ = ("done", "failed")

    def __init__(self) -> None:
        self.done = trio.Event()
        self.failed = False


class Syncer:
    """Reads changes in a loop. One read serves all callers that asked before it began."""

    def __init__(
        self,
        state: StateClient,
        replica: StateReplica,
        max_interval_s: Callable[[], float],
        timeout_s: float,
    ) -> None:
        """`max_interval_s` returns the longest time between two reads if none is requested."""
        self._state = state
        self._replica = replica
        self._max_interval_s = max_interval_s
        self._timeout_s = timeout_s
        self._read_requested = trio.Event()
        self._waiters: list[_ReadRequest] = []
        # When the last successful read was sent: the replica holds all that was committed
        # before then.
        self.last_read_sent_at = float("-inf")
        self.failures = 0  # consecutive failed reads
        self.on_sync: list[Callable[[], None]] = []  # called after each successful read
        self.ready = trio.Event()  # set after the first successful read
        # None if rebuilding is not enabled.
        self.observer: ReadObserver | None = None
        self._full_read_needed = True

    @property
    def _min_interval_s(self) -> float:
        """Least time between two reads, so that they take at most half of the request rate."""
        return 2.0 / self._state.requests.rate

    def request_read(self) -> None:
        """Asks for a read soon, without waiting for it."""
        self._read_requested.set()

    async def wait_for_read(self) -> None:
        """Returns once the replica holds a read that began after this call. Raises Unavailable
        if that read failed or took too long."""
        read_request = _ReadRequest()
        self._waiters.append(read_request)
        self._read_requested.set()
        try:
            with trio.fail_after(1.5 * self._timeout_s):
                await read_request.done.wait()
        except trio.TooSlowError:
            raise Unavailable("no read in time") from None
        finally:
            if read_request in self._waiters:
                self._waiters.remove(read_request)
        if read_request.failed:
            raise Unavailable("the state service did not answer")

    def request_full_read(self) -> None:
        """Makes the next read a full one."""
        self._full_read_needed = True
        self._read_requested.set()

    async def run(self) -> None:
        """Reads changes, and everything when that is needed, until cancelled."""
        while True:
            answered_requests, self._waiters = self._waiters, []
            self._read_requested = trio.Event()
            sent_at = trio.current_time()
            try:
                with trio.fail_after(self._timeout_s * (8 if self._full_read_needed else 1)):
                    changes_needed = True
                    if self._full_read_needed:
                        self._full_read_needed = False
                        try:
                            changes_needed = await self._read_all()
                        except BaseException:
                            self._full_read_needed = True
                            raise
                    if changes_needed:
                        await self._read_changes()
                self.last_read_sent_at = sent_at
                self.failures = 0
            except Gone:
                log.info(
                    "full read needed: the changes since the last read are no longer kept, "
                    "or a new epoch has begun"
                )
                self._full_read_needed = True
            except (Unavailable, OutcomeUnknown, trio.TooSlowError) as error:
                self.failures += 1
                log.debug("reading changes failed: %s", error)
            if self.last_read_sent_at == sent_at:
                self.ready.set()
                for listener in self.on_sync:
                    listener()
            for read_request in answered_requests:
                read_request.failed = self.last_read_sent_at != sent_at
                read_request.done.set()
            pause_s = (
                self._min_interval_s if not self.failures else min(0.5, 0.1 * 2**self.failures)
            )
            await trio.sleep_until(sent_at + pause_s)
            with trio.move_on_at(sent_at + max(pause_s, self._max_interval_s())):
                await self._read_requested.wait()

    async def _read_changes(self) -> None:
        """Reads the changes since the last read into the replica."""
        since = self._replica.state_revision
        if self.observer is not None:
            since = self.observer.begin_read()
        events, state_revision = await self._state.changes(
            PREFIX, since, timeout_s=self._timeout_s, urgent=False
        )
        if self.observer is not None:
            events = self.observer.check_changes(events, state_revision)
        self._replica.apply(events, state_revision)

    async def _read_all(self) -> bool:
        """Reads all records into the replica. Returns whether a read of changes has to follow:
        a commit confirmed to us while the answers were under way must be checked against a read
        that began after it.

        The pages are of different revisions, and what is derived from several records could be
        wrong in between: a job whose last tasks ended after its cancellation would count as done
        until the changes since the first page are applied. So these changes are read before the
        replica takes in anything, and no caller is answered in between."""
        items: list[Event] = []
        after: str | None = None
        first_page_revision: int | None = None
        if self.observer is not None:
            self.observer.begin_read()
        while True:
            page, more_pages, state_revision = await self._state.page(
                PREFIX, after, timeout_s=self._timeout_s
            )
            first_page_revision = (
                state_revision if first_page_revision is None else first_page_revision
            )
            items.extend(page)
            if not more_pages:
                break
            after = page[-1].key
        events, state_revision = await self._state.changes(
            PREFIX, first_page_revision, timeout_s=self._timeout_s, urgent=False
        )
        changes_needed = self.observer is not None and self.observer.has_unread_commits
        if self.observer is not None:
            self.observer.on_full_read(items, first_page_revision)
        self._replica.replace(items, first_page_revision)
        if self.observer is not None:
            self.observer.begin_read()
            events = self.observer.check_changes(events, state_revision)
        self._replica.apply(events, state_revision)
        log.info("full read: %d records, %d live jobs", len(items), len(self._replica.live))
        return changes_needed
