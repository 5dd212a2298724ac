# kind: decisions
"""Admission control of queue messages: which binding's message is recorded next, and how many
messages are prefetched from a broker.

Bindings share a controller's recording capacity by their weights (start-time fair queueing, one
message as the unit of service). Direct submissions by users take precedence over all of them.
Messages that cannot be recorded now stay with their broker: the prefetch shrinks on refusals and
grows again with recorded messages. No I/O and no clock except in `AdmissionGate`, which waits.
"""

import heapq
from collections.abc import AsyncIterator, Callable, Mapping
from contextlib import asynccontextmanager

import trio


class FairQueue:
    """Start-time fair queue over the waiting messages of several bindings.

    Each message costs its binding 1/weight of virtual time. A binding that was idle accumulates
    no credit.
    """

    def __init__(self, weights: Mapping[str, float]) -> None:
        self._weights = weights
        self._virtual_time = 0.0  # start tag of the message that was dequeued last
        self._finish_tags = dict.fromkeys(weights, 0.0)
        self._waiting: list[tuple[float, int]] = []
        self._last_number = 0

    def enqueue(self, binding: str) -> int:
        """Adds a message of the binding; returns the number that `dequeue` will return for it."""
        start = max(self._virtual_time, self._finish_tags[binding])
        self._finish_tags[binding] = start + 1.0 / self._weights[binding]
        self._last_number += 1
        heapq.heappush(self._waiting, (start, self._last_number))
        return self._last_number

    def dequeue(self) -> int | None:
        """Removes the message to be served next; returns its number, or None if none waits."""
        if not self._waiting:
            return None
        self._virtual_time, number = heapq.heappop(self._waiting)
        return number

    def __len__(self) -> int:
        return len(self._waiting)


class AdmissionGate:
    """Admits messages in the order of a `FairQueue`, at most `max_concurrent` at a time.

    `may_enqueue` tells whether messages of a binding may wait for admission at present;
    `may_admit` tells whether the next message may be admitted, whichever binding it belongs to.
    `may_admit` is evaluated when a message is dequeued: evaluated earlier, it would admit
    messages in the order in which they ask, and not by weight. Both are polled every `pause_s`
    seconds.
    """

    def __init__(
        self,
        weights: Mapping[str, float],
        max_concurrent: int,
        may_enqueue: Callable[[str], bool],
        may_admit: Callable[[], bool],
        pause_s: float,
    ) -> None:
        self._queue = FairQueue(weights)
        self._free_slots = max_concurrent
        self._may_enqueue = may_enqueue
        self._may_admit = may_admit
        self._pause_s = pause_s
        self._admissions: dict[int, trio.Event] = {}

    @asynccontextmanager
    async def admission(self, binding: str) -> AsyncIterator[None]:
        """Waits until a message of the binding is admitted; the body holds one of the slots."""
        # A binding that may not enqueue (its team has enough open jobs) waits outside the queue:
        # inside it would block the others, or lose its position to them again and again.
        while not self._may_enqueue(binding):
            await trio.sleep(self._pause_s)
        number = self._queue.enqueue(binding)
        admitted = self._admissions[number] = trio.Event()
        self._admit_waiting()
        try:
            while not admitted.is_set():
                with trio.move_on_after(self._pause_s):
                    await admitted.wait()
                self._admit_waiting()
        except BaseException:
            # A cancelled message that was admitted already frees its slot for the next one.
            if self._admissions.pop(number, None) is None:
                self._free_slots += 1
                self._admit_waiting()
            raise
        try:
            yield
        finally:
            self._free_slots += 1
            self._admit_waiting()

    def _admit_waiting(self) -> None:
        while self._free_slots > 0 and len(self._queue):
            if not self._admissions:
                self._queue.dequeue()  # entries of cancelled messages
                continue
            if not self._may_admit():
                return
            while (number := self._queue.dequeue()) is not None:
                if (admitted := self._admissions.pop(number, None)) is not None:
                    self._free_slots -= 1
                    admitted.set()
                    break


class PrefetchWindow:
    """Number of messages of a binding to prefetch, between 1 and `max_size`.

    Halved when a message is refused temporarily; grows by one for each full window of recorded
    messages.
    """

    def __init__(self, max_size: int) -> None:
        self._max_size = max_size
        self.size = max_size
        self._recorded = 0

    def on_refused(self) -> None:
        """A message could not be recorded for now."""
        self.size = max(1, self.size // 2)
        self._recorded = 0

    def on_recorded(self) -> None:
        """A message was recorded."""
        self._recorded += 1
        if self._recorded >= self.size:
            self._recorded = 0
            self.size = min(self._max_size, self.size + 1)


class AdaptiveRateLimiter:
    """Token bucket that limits the messages recorded per second.

    The rate is halved when the state service rejects a write for its rate limit, and rises slowly
    while it does not. Only queues slow down, which leaves write capacity to direct submissions:
    without this limiter, the slowest direct submission during a flood of messages took 1.5 s
    instead of 13 ms, because queues used up the whole write rate.
    """

    def __init__(self, max_rate: float, now: float) -> None:
        self._max_rate = max_rate  # messages per second
        self._rate = max_rate
        self._min_rate = max_rate / 64
        self._tokens = 1.0
        self._refilled_at = now
        self._refused = 0
        self._halved_at = now

    def try_acquire(self, refused: int, now: float) -> bool:
        """Takes a token if there is one; `refused` is the total of rejected writes so far."""
        elapsed_s, self._refilled_at = now - self._refilled_at, now
        if refused > self._refused:
            # Rejections within a second belong to one burst and halve the rate once.
            if now - self._halved_at >= 1.0:
                self._rate = max(self._min_rate, self._rate / 2)
                self._halved_at = now
        else:
            self._rate = min(self._max_rate, self._rate + elapsed_s * self._max_rate / 64)
        self._refused = refused
        self._tokens = min(1.0, self._tokens + elapsed_s * self._rate)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
