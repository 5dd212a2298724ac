# kind: decisions
"""Which of the other controllers answer, by what became of calls to them.

Only for the order in which they are asked, and whether one that gives nothing but time-outs is
waited for again: no role rests on it. Times are in seconds.
"""

from collections.abc import Iterable


class PeerReachability:
    def __init__(self, again_s: float) -> None:
        """`again_s`: after which one that did not answer is asked like any other."""
        self._again_s = again_s
        self._missed: dict[str, float] = {}
        self._turn = 0

    def on_answer(self, name: str) -> None:
        self._missed.pop(name, None)

    def on_timeout(self, name: str, now: float) -> None:
        """Nothing came in time, nor did a refusal: it hangs, or the way to it does."""
        self._missed[name] = now

    def silent(self, name: str, now: float) -> bool:
        return now - self._missed.get(name, float("-inf")) < self._again_s

    def answering_first(self, names: Iterable[str], now: float) -> list[str]:
        """Those that answer come first, in turn, so that no one of them is asked for all; then
        the silent, the one that was not asked for longest first."""
        well: list[str] = []
        silent: list[str] = []
        for name in sorted(names):
            (silent if self.silent(name, now) else well).append(name)
        silent.sort(key=lambda name: self._missed[name])
        self._turn += 1
        first = self._turn % len(well) if well else 0
        return [*well[first:], *well[:first], *silent]
