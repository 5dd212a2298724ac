"""Token buckets for rate limits that several controllers have in common."""

import trio

# Reserves: the part of a full bucket that a taker must leave. The more urgent, the smaller.
RESERVE_URGENT = 0.0  # lease renewals and claims of roles
RESERVE_INTERACTIVE = 0.1  # requests that users wait for
RESERVE_DEFAULT = 0.25
RESERVE_BACKGROUND = 0.6  # requests that can be made later


class _Waiter:
    """A caller that waits for the bucket to fill."""

    __slots__ = ("reserve",)

    def __init__(self, reserve: float) -> None:
        self.reserve = reserve


class Budget:
    """A token bucket with this controller's share of a limit."""

    def __init__(self, rate: float, burst: float) -> None:
        """`rate` is in units per second; `burst`, the size of the bucket, is at least 1."""
        self.rate = rate
        self.burst = max(1.0, burst)
        self._level = self.burst
        self._refilled_at = trio.current_time()
        self._waiters: list[_Waiter] = []

    def resize(self, rate: float, burst: float) -> None:
        """Sets another share of the limit, after a controller has come or gone."""
        self._refill()
        self.rate, self.burst = rate, max(1.0, burst)
        self._level = min(self._level, self.burst)

    def _refill(self) -> None:
        """Adds what has accrued since the last call."""
        now = trio.current_time()
        self._level = min(self.burst, self._level + (now - self._refilled_at) * self.rate)
        self._refilled_at = now

    def available(self, reserve: float = RESERVE_DEFAULT) -> float:
        """How much can be taken now without touching the reserve; may be negative."""
        self._refill()
        return self._level - reserve * self.burst

    def has(self, cost: float, reserve: float) -> bool:
        """Whether `cost` can be taken now. A cost that leaves less than the reserve even of a
        full bucket only needs a full bucket."""
        return self.available(0.0) - cost >= min(reserve * self.burst, self.burst - cost)

    def try_take(self, cost: float = 1.0, reserve: float = RESERVE_DEFAULT) -> bool:
        """Takes `cost` if it is there now, and returns whether it was."""
        if not self.has(cost, reserve):
            return False
        self._level -= cost
        return True

    def drain(self) -> None:
        """Empties the bucket, after the other side has answered 429."""
        self._refill()
        self._level = min(self._level, 0.0)

    async def take(self, cost: float = 1.0, reserve: float = RESERVE_DEFAULT) -> None:
        """Waits until `cost` can be taken, and takes it. The smallest reserve comes first, then
        the longest wait. Without an order, a caller that returns right after a take would see
        each refill first: a cancellation waited for seconds behind queued submissions."""
        waiter = _Waiter(reserve)
        self._waiters.append(waiter)
        try:
            while not self._is_next(waiter) or not self.try_take(cost, reserve):
                await trio.sleep(max(0.005, 0.5 * cost / self.rate))
        finally:
            self._waiters.remove(waiter)

    def _is_next(self, waiter: _Waiter) -> bool:
        """Whether the caller is the first of those with the smallest reserve."""
        return waiter is min(self._waiters, key=lambda other: other.reserve)
