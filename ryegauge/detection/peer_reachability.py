# kind: decisions
"""Which of the other controllers answer, by the results of calls to them.

It decides only in which order peers are called, and whether to wait for one whose calls time
out; no role depends on it. Times are in seconds.
"""

from collections.abc import Iterable


class PeerReachability:
    """The peers whose latest call timed out, and when."""

    def __init__(self, retry_s: float) -> None:
        """`retry_s`: seconds after a timeout until the peer is treated like any other again."""
        self._retry_s = retry_s
        self._timed_out_at: dict[str, float] = {}
        self._rotation = 0

    def on_answer(self, name: str) -> None:
        """The peer answered or refused a call."""
        self._timed_out_at.pop(name, None)

    def on_timeout(self, name: str, now: float) -> None:
        """A call timed out without a refusal: the peer hangs, or the network to it does."""
        self._timed_out_at[name] = now

    def is_silent(self, name: str, now: float) -> bool:
        """Whether the peer's latest call timed out, less than `retry_s` seconds ago."""
        return now - self._timed_out_at.get(name, float("-inf")) < self._retry_s

    def answering_first(self, names: Iterable[str], now: float) -> list[str]:
        """The peers in the order in which to call them: first those that answer, rotated on each
        call to spread the load, then the silent ones, the earliest timeout first."""
        answering: list[str] = []
        silent: list[str] = []
        for name in sorted(names):
            (silent if self.is_silent(name, now) else answering).append(name)
        silent.sort(key=lambda name: self._timed_out_at[name])
        self._rotation += 1
        first = self._rotation % len(answering) if answering else 0
        return [*answering[first:], *answering[:first], *silent]
