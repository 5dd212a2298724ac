"""Corrects users' run-time estimates by the run times of completed tasks."""

import math

# Assumed spread of the logarithm of actual over estimated run time before any task of a class has
# completed: users' estimates are often wrong by half.
PRIOR_LOG_SPREAD = math.log(1.5)
# A quarter of a normal distribution lies above this many standard deviations.
UPPER_QUARTILE_DEVIATIONS = 0.674


class Estimates:
    """Keeps, by job class, mean and spread of the logarithm of actual over estimated run time.

    Users' estimates are often wrong by half, and on some days all in the same direction; a few
    completed tasks show the direction.
    """

    def __init__(self, prior_weight: float = 4.0) -> None:
        """The user's estimate counts as much as `prior_weight` completed tasks."""
        self._prior_weight = prior_weight
        self._log_ratios: dict[str, tuple[float, float]] = {}
        self._squares: dict[str, tuple[float, float, float]] = {}

    def add(
        self, job_class: str, count: float, log_ratio_sum: float, log_ratio_squares: float = 0.0
    ) -> None:
        """Adds `count` completed tasks with the sums of their logarithms and of the squares."""
        weight, total = self._log_ratios.get(job_class, (0.0, 0.0))
        weight, total = weight + count, total + log_ratio_sum
        # Halving the sums limits the total weight, so that earlier days fade.
        if weight > 200:
            weight, total = weight / 2, total / 2
        self._log_ratios[job_class] = (weight, total)
        if log_ratio_squares > 0:  # older versions send none
            weight, total, squares = self._squares.get(job_class, (0.0, 0.0, 0.0))
            if weight > 200:
                weight, total, squares = weight / 2, total / 2, squares / 2
            self._squares[job_class] = (
                weight + count,
                total + log_ratio_sum,
                squares + log_ratio_squares,
            )

    def run_s(self, job_class: str, estimate_s: float) -> float:
        """The expected run time in seconds of a task that its user estimated at `estimate_s`."""
        weight, total = self._log_ratios.get(job_class, (0.0, 0.0))
        return estimate_s * math.exp(total / (weight + self._prior_weight))

    def log_ratio_spread(self, job_class: str) -> float:
        """The standard deviation of the logarithm of actual over estimated run time."""
        weight, total, squares = self._squares.get(job_class, (0.0, 0.0, 0.0))
        observed = max(0.0, squares - total * total / weight) if weight else 0.0
        return math.sqrt(
            (observed + self._prior_weight * PRIOR_LOG_SPREAD**2) / (weight + self._prior_weight)
        )

    def expected_overrun_s(self, job_class: str, estimate_s: float) -> float:
        """The median of the remaining run time, in seconds, of a task that has run for longer than
        estimated. With lognormal run times it hardly depends on how long the task has run. It
        is not zero, as the estimate minus the elapsed time would suggest."""
        factor = math.exp(UPPER_QUARTILE_DEVIATIONS * self.log_ratio_spread(job_class)) - 1.0
        return self.run_s(job_class, estimate_s) * factor
