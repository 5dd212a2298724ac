"""What may be spent of a rate limit that several controllers share."""

import trio


class Budget:
    """A token bucket. Urgent takers (renewals) may use the part kept back for them."""

    def __init__(self, rate: float, burst: float, kept_back: float = 0.25) -> None:
        self.rate = rate
        self.burst = max(1.0, burst)
        self._level = self.burst
        self._kept_back = kept_back * self.burst
        self._at = trio.current_time()

    def _refill(self) -> None:
        now = trio.current_time()
        self._level = min(self.burst, self._level + (now - self._at) * self.rate)
        self._at = now

    def try_take(self, cost: float = 1.0, urgent: bool = False) -> bool:
        self._refill()
        floor = 0.0 if urgent else self._kept_back
        if self._level - cost < min(floor, self.burst - cost):
            return False
        self._level -= cost
        return True

    def drain(self) -> None:
        """The other side said 429: the bucket is in truth empty."""
        self._refill()
        self._level = 0.0

    async def take(self, cost: float = 1.0, urgent: bool = False) -> None:
        while not self.try_take(cost, urgent):
            await trio.sleep(max(0.005, 0.5 * cost / self.rate))
