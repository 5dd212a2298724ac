"""Run times learnt from completed tasks, against what their owners estimated."""

import math

# Spread of the logarithm of actual over estimated run time before anything is seen: owners'
# estimates are often wrong by half.
USUAL_SPREAD = math.log(1.5)
# Of a normal distribution, the point that a quarter lies above.
UPPER_QUARTILE = 0.674


class Estimates:
    """Per class, the mean logarithm of actual over estimated run time.

    Owners' estimates are often wrong by half and on some days all in one direction;
    a few completed tasks show the direction. `prior` completed tasks' worth of
    trust is put into the owner's own figure.
    """

    def __init__(self, prior: float = 4.0) -> None:
        self._prior = prior
        self._seen: dict[str, tuple[float, float]] = {}
        self._squares: dict[str, tuple[float, float, float]] = {}

    def add(
        self, job_class: str, count: float, log_ratio_sum: float, log_ratio_squares: float = 0.0
    ) -> None:
        n, total = self._seen.get(job_class, (0.0, 0.0))
        n, total = n + count, total + log_ratio_sum
        # Older days fade: at most this many samples are remembered in weight.
        if n > 200:
            n, total = n / 2, total / 2
        self._seen[job_class] = (n, total)
        if log_ratio_squares > 0:  # versions before this one send none
            n, total, squares = self._squares.get(job_class, (0.0, 0.0, 0.0))
            if n > 200:
                n, total, squares = n / 2, total / 2, squares / 2
            self._squares[job_class] = (
                n + count,
                total + log_ratio_sum,
                squares + log_ratio_squares,
            )

    def run_s(self, job_class: str, estimate_s: float) -> float:
        n, total = self._seen.get(job_class, (0.0, 0.0))
        return estimate_s * math.exp(total / (n + self._prior))

    def spread(self, job_class: str) -> float:
        """The standard deviation of the logarithm of actual over estimated run time."""
        n, total, squares = self._squares.get(job_class, (0.0, 0.0, 0.0))
        own = max(0.0, squares - total * total / n) if n else 0.0
        return math.sqrt((own + self._prior * USUAL_SPREAD**2) / (n + self._prior))

    def expected_overrun_s(self, job_class: str, estimate_s: float) -> float:
        """How long a task that has outlived its estimate will go on, as likely longer as
        shorter. With run times spread as they are (lognormal) that hardly changes with its
        age; it is not nought, as the estimate less the age would have it."""
        factor = math.exp(UPPER_QUARTILE * self.spread(job_class)) - 1.0
        return self.run_s(job_class, estimate_s) * factor
