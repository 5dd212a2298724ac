"""What may be spent of a rate limit that several controllers share."""

import trio

# Parts of the bucket that takers leave untouched, the more urgent the smaller.
RESERVE_URGENT = 0.0  # renewals and claims
RESERVE_INTERACTIVE = 0.1  # what users wait for
RESERVE_DEFAULT = 0.25
RESERVE_BACKGROUND = 0.6  # what can as well be done later


class _Turn:
    """Somebody waits."""

    __slots__ = ("reserve",)

    def __init__(self, reserve: float) -> None:
        self.reserve = reserve


class Budget:
    """A token bucket: this controller's part of a limit."""

    def __init__(self, rate: float, burst: float) -> None:
        self.rate = rate
        self.burst = max(1.0, burst)
        self._level = self.burst
        self._at = trio.current_time()
        self._turns: list[_Turn] = []

    def resize(self, rate: float, burst: float) -> None:
        """Another part of the limit, since controllers come and go."""
        self._refill()
        self.rate, self.burst = rate, max(1.0, burst)
        self._level = min(self._level, self.burst)

    def _refill(self) -> None:
        now = trio.current_time()
        self._level = min(self.burst, self._level + (now - self._at) * self.rate)
        self._at = now

    def available(self, reserve: float = RESERVE_DEFAULT) -> float:
        self._refill()
        return self._level - reserve * self.burst

    def has(self, cost: float, reserve: float) -> bool:
        return self.available(0.0) - cost >= min(reserve * self.burst, self.burst - cost)

    def try_take(self, cost: float = 1.0, reserve: float = RESERVE_DEFAULT) -> bool:
        if not self.has(cost, reserve):
            return False
        self._level -= cost
        return True

    def drain(self) -> None:
        """The other side said 429: the bucket is in truth empty."""
        self._refill()
        self._level = min(self._level, 0.0)

    async def take(self, cost: float = 1.0, reserve: float = RESERVE_DEFAULT) -> None:
        """The most urgent first, else in turn. (Whoever came back right after a take saw each
        refill first: a cancellation waited for seconds beside queued submissions.)"""
        turn = _Turn(reserve)
        self._turns.append(turn)
        try:
            while not self._is_next(turn) or not self.try_take(cost, reserve):
                await trio.sleep(max(0.005, 0.5 * cost / self.rate))
        finally:
            self._turns.remove(turn)

    def _is_next(self, turn: _Turn) -> bool:
        return turn is min(self._turns, key=lambda other: other.reserve)
