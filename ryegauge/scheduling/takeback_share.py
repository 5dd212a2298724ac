"""The take-back share: the share of recent spot machine time that was spent on machines which the
cloud has reclaimed since."""


class TakebackShare:
    """Tracks the spot machines' time and computes the share of reclaimed machines in it."""

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._rented_at: dict[str, float] = {}
        self._ended_spans: list[tuple[float, float, bool]] = []

    def record_start(self, name: str, at: float) -> None:
        """A spot machine was rented at `at`; repeated calls for one machine are ignored."""
        self._rented_at.setdefault(name, at)

    def record_end(self, name: str, at: float, reclaimed: bool) -> None:
        """A spot machine is gone since `at`; `reclaimed` says that the cloud reclaimed it."""
        rented_at = self._rented_at.pop(name, None)
        if rented_at is not None:
            self._ended_spans.append((rented_at, at, reclaimed))

    def share(self, now: float) -> float:
        """The time of the machines reclaimed within the window over the time of all spot machines,
        both counted within the window; 0.0 if there was none."""
        window_start = now - self._window_s
        self._ended_spans = [span for span in self._ended_spans if span[1] > window_start]
        total_s = sum(now - max(window_start, rented_at) for rented_at in self._rented_at.values())
        reclaimed_s = 0.0
        for rented_at, ended_at, reclaimed in self._ended_spans:
            span_s = ended_at - max(window_start, rented_at)
            total_s += span_s
            if reclaimed:
                reclaimed_s += span_s
        return reclaimed_s / total_s if total_s > 0 else 0.0
