# kind: decisions
"""Which of the other controllers answer, by the results of calls to them.

It decides only in which order peers are called, and whether to wait for one whose calls time
out; no role depends on it. Times are in seconds.
"""

from collections.abc import Iterable


class PeerReachability:
    """The peers whose latest call timed out, and when."""

    def __init__(self, again_s: float) -> None:
        """`again_s`: seconds after a timeout until the peer is treated like any other again."""
        self._again_s = again_s
        self._missed: dict[str, float] = {}
        self._turn = 0

    def on_answer(self, name: str) -> None:
        """The peer answered or refused a call."""
        self._missed.pop(name, None)

    def on_timeout(self, name: str, now: float) -> None:
        """A call timed out without a refusal: the peer hangs, or the network to it does."""
        self._missed[name] = now

    def silent(self, name: str, now: float) -> bool:
        """Whether the peer's latest call timed out, less than `again_s` seconds ago."""
        return now - self._missed.get(name, float("-inf")) < self._again_s

    def answering_first(self, names: Iterable[str], now: float) -> list[str]:
        """The peers in the order in which to call them: first those that answer, rotated on each
        call to spread the load, then the silent ones, the earliest timeout first."""
        well: list[str] = []
        silent: list[str] = []
        for name in sorted(names):
            (silent if self.silent(name, now) else well).append(name)
        silent.sort(key=lambda name: self._missed[name])
        self._turn += 1
        first = self._turn % len(well) if well else 0
        return [*well[first:], *well[:first], *silent]
