"""The take-back share: which part of recent spot machine time was on machines that the cloud has
reclaimed since."""


class TakebackShare:
    """Tracks the spot machines' time and computes the share of reclaimed machines in it."""

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._from: dict[str, float] = {}
        self._ended: list[tuple[float, float, bool]] = []

    def began(self, name: str, at: float) -> None:
        """A spot machine was rented at `at`; repeated calls for one machine are ignored."""
        self._from.setdefault(name, at)

    def ended(self, name: str, at: float, taken: bool) -> None:
        """A spot machine is gone since `at`; `taken` says that the cloud reclaimed it."""
        start = self._from.pop(name, None)
        if start is not None:
            self._ended.append((start, at, taken))

    def share(self, now: float) -> float:
        """The time of the machines reclaimed within the window over the time of all spot machines,
        both counted within the window; 0.0 if there was none."""
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
