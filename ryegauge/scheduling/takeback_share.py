"""The take-back share: how much of the spot machines' time was taken back of late."""


class TakebackShare:
    """Spot machine time in the window that belonged to machines taken back in it,
    over all spot machine time in the window; zero if there was none."""

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._from: dict[str, float] = {}
        self._ended: list[tuple[float, float, bool]] = []

    def began(self, name: str, at: float) -> None:
        self._from.setdefault(name, at)

    def ended(self, name: str, at: float, taken: bool) -> None:
        start = self._from.pop(name, None)
        if start is not None:
            self._ended.append((start, at, taken))

    def share(self, now: float) -> float:
        edge = now - self._window_s
        self._ended = [span for span in self._ended if span[1] > edge]
        total = sum(now - max(edge, start) for start in self._from.values())
        lost = 0.0
        for start, end, taken in self._ended:
            span = end - max(edge, start)
            total += span
            if taken:
                lost += span
        return lost / total if total > 0 else 0.0
