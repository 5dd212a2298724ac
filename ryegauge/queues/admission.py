# kind: decisions
"""Whose message is recorded next, and how many are taken from a broker at once.

Bindings share what a controller may record for queues by their weights (start-time fair
queueing, one message as the unit); users who submit directly go before all of them. What can't
be recorded now stays with its broker: the prefetch falls with refusals and rises again with
what is recorded. No I/O and no clock but in `Gate`, which waits.
"""

import heapq
from collections.abc import AsyncIterator, Callable, Mapping
from contextlib import asynccontextmanager

import trio


class FairTurns:
    """The order in which waiting messages of several bindings have their turns: each takes
    one over its weight of the service, and a binding that was idle saves nothing up."""

    def __init__(self, weights: Mapping[str, float]) -> None:
        self._weights = weights
        self._now = 0.0  # virtual time: the start tag of the last turn
        self._finish = dict.fromkeys(weights, 0.0)
        self._waiting: list[tuple[float, int]] = []
        self._arrived = 0

    def arrive(self, binding: str) -> int:
        """A message waits from now on; its number."""
        start = max(self._now, self._finish[binding])
        self._finish[binding] = start + 1.0 / self._weights[binding]
        self._arrived += 1
        heapq.heappush(self._waiting, (start, self._arrived))
        return self._arrived

    def next(self) -> int | None:
        """The message whose turn it is."""
        if not self._waiting:
            return None
        self._now, number = heapq.heappop(self._waiting)
        return number

    def __len__(self) -> int:
        return len(self._waiting)


class Gate:
    """Lets messages through one after the other, at most `at_once` at a time. `open_` says
    whether a binding may have any just now, `next_may` whether the next one may go, whosever
    it is: asked before the turns, it would give them to whoever asks first."""

    def __init__(
        self,
        weights: Mapping[str, float],
        at_once: int,
        open_: Callable[[str], bool],
        next_may: Callable[[], bool],
        pause_s: float,
    ) -> None:
        self._turns = FairTurns(weights)
        self._free = at_once
        self._open = open_
        self._next_may = next_may
        self._pause_s = pause_s
        self._called: dict[int, trio.Event] = {}

    @asynccontextmanager
    async def turn(self, binding: str) -> AsyncIterator[None]:
        # One that may not go now (its team has enough open) does not wait in line: it would
        # keep the others waiting, or lose its place to them again and again.
        while not self._open(binding):
            await trio.sleep(self._pause_s)
        number = self._turns.arrive(binding)
        called = self._called[number] = trio.Event()
        self._call()
        try:
            while not called.is_set():
                with trio.move_on_after(self._pause_s):
                    await called.wait()
                self._call()
        except BaseException:
            # Called or not, its place goes to the next.
            if self._called.pop(number, None) is None:
                self._free += 1
                self._call()
            raise
        try:
            yield
        finally:
            self._free += 1
            self._call()

    def _call(self) -> None:
        while self._free > 0 and len(self._turns):
            if not self._called:
                self._turns.next()  # of those that gave up
                continue
            if not self._next_may():
                return
            while (number := self._turns.next()) is not None:
                if (called := self._called.pop(number, None)) is not None:
                    self._free -= 1
                    called.set()
                    break


class Window:
    """How many messages of a binding are asked for at once: halved when one is refused for
    now, one more for each full window that was recorded, within 1 and the configured most."""

    def __init__(self, most: int) -> None:
        self._most = most
        self.size = most
        self._recorded = 0

    def refused(self) -> None:
        self.size = max(1, self.size // 2)
        self._recorded = 0

    def recorded(self) -> None:
        self._recorded += 1
        if self._recorded >= self.size:
            self._recorded = 0
            self.size = min(self._most, self.size + 1)


class Pace:
    """How fast messages are recorded: halved when the state service refuses a write for its
    rate, raised slowly while it does not. Only queues slow down for that: users who submit
    directly find the room that they leave. (Without it the worst direct submission beside a
    flood took 1.5 s instead of 13 ms, since all that could be written was written.)"""

    def __init__(self, most: float, now: float) -> None:
        self._most = most  # messages a second
        self._rate = most
        self._least = most / 64
        self._level = 1.0
        self._at = now
        self._refused = 0
        self._halved_at = now

    def take(self, refused: int, now: float) -> bool:
        """Whether one more may go now; `refused` counts all refusals so far."""
        passed, self._at = now - self._at, now
        if refused > self._refused:
            # Those of one burst are one sign.
            if now - self._halved_at >= 1.0:
                self._rate = max(self._least, self._rate / 2)
                self._halved_at = now
        else:
            self._rate = min(self._most, self._rate + passed * self._most / 64)
        self._refused = refused
        self._level = min(1.0, self._level + passed * self._rate)
        if self._level < 1.0:
            return False
        self._level -= 1.0
        return True
