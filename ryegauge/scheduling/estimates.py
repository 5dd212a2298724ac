"""Run times learnt from completed tasks, against what their owners estimated."""

import math


class Estimates:
    """Per class, the mean logarithm of actual over estimated run time.

    Owners' estimates are often wrong by half and on some days all in one direction;
    a few completed tasks show the direction. `prior` completed tasks' worth of
    trust is put into the owner's own figure.
    """

    def __init__(self, prior: float = 4.0) -> None:
        self._prior = prior
        self._seen: dict[str, tuple[float, float]] = {}

    def add(self, job_class: str, count: float, log_ratio_sum: float) -> None:
        n, total = self._seen.get(job_class, (0.0, 0.0))
        n, total = n + count, total + log_ratio_sum
        # Older days fade: at most this many samples are remembered in weight.
        if n > 200:
            n, total = n / 2, total / 2
        self._seen[job_class] = (n, total)

    def run_s(self, job_class: str, estimate_s: float) -> float:
        n, total = self._seen.get(job_class, (0.0, 0.0))
        return estimate_s * math.exp(total / (n + self._prior))
