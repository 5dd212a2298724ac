"""Keeps the job book current, and answers when it is current enough for a question."""

import logging
from collections.abc import Callable
from typing import Protocol

import trio

from ryegauge.bookkeeping.state import Event, Gone, OutcomeUnknown, StateClient, Unavailable
from ryegauge.bookkeeping.state_replica import PREFIX, StateReplica

log = logging.getLogger(__name__)


class StateObserver(Protocol):
    @property
    def has_unread_commits(self) -> bool:
        """Whether something was confirmed or refused that no read has shown yet."""

    def begin(self) -> int:
        """A read begins: the revision after which to read changes."""

    def read(self, events: list[Event], state_revision: int) -> list[Event]:
        """Those that the book does not have yet. Raises Unavailable if the answer
        contradicts earlier ones, and Gone if everything is to be read anew."""

    def on_full_read(self, items: list[Event], state_revision: int) -> None:
        """Everything was read. Raises Unavailable as above."""


class _Question:
    __slots__ = ("done", "failed")

    def __init__(self) -> None:
        self.done = trio.Event()
        self.failed = False


class Syncer:
    """One read of the changes serves every question that was asked before it began."""

    def __init__(
        self,
        state: StateClient,
        replica: StateReplica,
        idle_s: Callable[[], float],
        timeout_s: float,
    ) -> None:
        self._state = state
        self._replica = replica
        self._idle_s = idle_s
        self._timeout_s = timeout_s
        self._asked = trio.Event()
        self._waiting: list[_Question] = []
        # When the last successful read was sent: the book holds all that was
        # written before.
        self.last_read_sent_at = float("-inf")
        self.failures = 0
        self.on_sync: list[Callable[[], None]] = []
        self.ready = trio.Event()
        # Looks at every read for signs that the service has lost data; None: nobody does.
        self.observer: StateObserver | None = None
        self._full = True

    @property
    def _gap_s(self) -> float:
        """At most half of our requests go into reading."""
        return 2.0 / self._state.requests.rate

    def request_read(self) -> None:
        """Something was written; read soon."""
        self._asked.set()

    async def wait_for_read(self) -> None:
        """Returns once a read that began after this call is taken in."""
        question = _Question()
        self._waiting.append(question)
        self._asked.set()
        try:
            with trio.fail_after(1.5 * self._timeout_s):
                await question.done.wait()
        except trio.TooSlowError:
            raise Unavailable("no read in time") from None
        finally:
            if question in self._waiting:
                self._waiting.remove(question)
        if question.failed:
            raise Unavailable("the state service did not answer")

    def request_full_read(self) -> None:
        """Everything anew, with the next read."""
        self._full = True
        self._asked.set()

    async def run(self) -> None:
        while True:
            served, self._waiting = self._waiting, []
            self._asked = trio.Event()
            began = trio.current_time()
            try:
                with trio.fail_after(self._timeout_s * (8 if self._full else 1)):
                    more = True
                    if self._full:
                        self._full = False
                        try:
                            more = await self._read_all()
                        except BaseException:
                            self._full = True
                            raise
                    if more:
                        await self._read_changes()
                self.last_read_sent_at = began
                self.failures = 0
            except Gone:
                log.info("the revision asked for is too old: reading everything again")
                self._full = True
            except (Unavailable, OutcomeUnknown, trio.TooSlowError) as error:
                self.failures += 1
                log.debug("reading changes failed: %s", error)
            if self.last_read_sent_at == began:
                self.ready.set()
                for listener in self.on_sync:
                    listener()
            for question in served:
                question.failed = self.last_read_sent_at != began
                question.done.set()
            pause = self._gap_s if not self.failures else min(0.5, 0.1 * 2**self.failures)
            await trio.sleep_until(began + pause)
            with trio.move_on_at(began + max(pause, self._idle_s())):
                await self._asked.wait()

    async def _read_changes(self) -> None:
        since = self._replica.state_revision
        if self.observer is not None:
            since = self.observer.begin()
        events, state_revision = await self._state.changes(
            PREFIX, since, timeout_s=self._timeout_s, urgent=False
        )
        if self.observer is not None:
            events = self.observer.read(events, state_revision)
        self._replica.apply(events, state_revision)

    async def _read_all(self) -> bool:
        """Whether a read of changes has to follow: what was confirmed to us while the answers were
        under way must be in one that began after it.

        Pages are of different revisions, and what follows from several records would follow
        from a mixture: a job whose last tasks ended after its cancellation would be done until
        the changes since the first page were read. So these are there before the book takes
        anything in, and nobody is told anything in between."""
        items: list[Event] = []
        after: str | None = None
        first: int | None = None
        if self.observer is not None:
            self.observer.begin()
        while True:
            page, more, state_revision = await self._state.page(
                PREFIX, after, timeout_s=self._timeout_s
            )
            first = state_revision if first is None else first
            items.extend(page)
            if not more:
                break
            after = page[-1].key
        events, state_revision = await self._state.changes(
            PREFIX, first, timeout_s=self._timeout_s, urgent=False
        )
        more = self.observer is not None and self.observer.has_unread_commits
        if self.observer is not None:
            self.observer.on_full_read(items, first)
        self._replica.replace(items, first)
        if self.observer is not None:
            self.observer.begin()
            events = self.observer.read(events, state_revision)
        self._replica.apply(events, state_revision)
        log.info(
            "read the book: %d records, %d jobs under way", len(items), len(self._replica.live)
        )
        return more
