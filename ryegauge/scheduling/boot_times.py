"""Learns how long machines take to boot, and estimates the boots under way.

The logarithm of the ratio of actual to nominal boot time is modelled as normal, with a prior
spread according to the cloud's protocol (usually 0.6 to 1.5 times the nominal time). Each kind
of machine, by type, zone and pricing, learns from its own boots, from those of its type, and
from all. Times are in seconds.

If a machine is overdue while others that were rented with it or later are up, it alone is late or
never comes: once it is overdue it is no longer expected and a replacement may be rented; later it
is released. If most machines rented with it are overdue too, all boots are slow. Another rental
would be as slow and cost as much again, so the machines are waited for.
"""

import math
from collections import deque
from collections.abc import Iterable
from statistics import NormalDist
from typing import NamedTuple

MachineKind = tuple[str, str, bool]  # type, zone, spot

# Usually a boot takes 0.6 to 1.5 times the nominal time.
USUAL_LOG_RATIO = math.log(1.5)
PRIOR_LOG_SPREAD = 0.25
# The wider group's estimate counts as much as this many observed boots.
PRIOR_WEIGHT_BOOTS = 4.0
# The weight of an observed boot halves after this many nominal boot times: slow phases pass.
HALF_LIFE_BOOTS = 6.0
MAX_WEIGHT_BOOTS = 12.0  # boots; with each new one earlier ones count less
# A boot is overdue this many standard deviations above the mean.
OVERDUE_DEVIATIONS = 2.0
# A machine is given up, and released, at this multiple of the time at which it is overdue.
GIVE_UP_RATIO = 1.5
# Bounds on that time, in nominal boot times.
MIN_GIVE_UP_BOOTS = 2.5
# While a type and zone counts as slow (at least two boots overdue, and more of them than boots
# completed), it is only a guess that its boots will still complete; this bounds the wait from
# below.
MIN_SLOW_GIVE_UP_BOOTS = 4.0
MAX_GIVE_UP_BOOTS = 8.0
# A new boot is never expected to take less than this share of the nominal time: a phase in which
# boots take a second may end at any time, and machines rented in reliance on it cost money.
MIN_EXPECTED_BOOTS = 0.5
# Nor more than this multiple: all boots of a kind may be slow or fail, but that does not justify
# any price for another kind. (Without this limit 13 on-demand machines at ten times the price were
# rented.)
MAX_EXPECTED_BOOTS = 3.0
MAX_REMEMBERED_BOOTS = 256  # completed boots kept by type and zone


class PendingBoot(NamedTuple):
    """A rented machine that is not up yet."""

    name: str
    kind: MachineKind
    nominal_s: float  # boot time by the catalogue
    age_s: float  # seconds since it was rented


class BootEstimate(NamedTuple):
    """The estimate for a machine that is not up yet."""

    remaining_s: float  # median of the seconds until it is up
    is_expected: bool  # whether it is still expected to come
    is_given_up: bool  # whether it is given up and to be released


class _LogRatioSums:
    """Weighted sums of the logarithms of actual over nominal boot time; weights decay."""

    __slots__ = ("squares", "total", "updated_at", "weight")

    def __init__(self) -> None:
        self.weight = self.total = self.squares = 0.0
        self.updated_at = -math.inf

    def decayed(self, now: float, half_life_s: float) -> tuple[float, float, float]:
        decay = 0.5 ** ((now - self.updated_at) / half_life_s) if self.weight else 0.0
        return self.weight * decay, self.total * decay, self.squares * decay

    def add(self, value: float, now: float, half_life_s: float) -> None:
        weight, total, squares = self.decayed(now, half_life_s)
        keep_factor = min(1.0, (MAX_WEIGHT_BOOTS - 1) / weight) if weight else 1.0
        self.weight, self.total = keep_factor * weight + 1, keep_factor * total + value
        self.squares = keep_factor * squares + value * value
        self.updated_at = now


class BootTimes:
    """Estimates boot times by kind of machine from the boots observed so far."""

    def __init__(self) -> None:
        # By kind, by type, and for all machines (None).
        self._log_ratios: dict[MachineKind | tuple[str] | None, _LogRatioSums] = {}
        # (type, zone) -> when the machines that came up last had been rented.
        self._rented_at: dict[tuple[str, str], deque[float]] = {}
        # (type, zone) with slow boots, as of the last `assess` -> (overdue machines, median of
        # the logarithm of their age over the nominal boot time).
        self._slow_groups: dict[tuple[str, str], tuple[int, float]] = {}
        # Computed once for each point in time: hundreds of machines may boot at once.
        self._normal_cache: dict[tuple[MachineKind, float], tuple[float, float]] = {}
        self._cached_at = -math.inf

    def record_boot(self, kind: MachineKind, nominal_s: float, took_s: float, now: float) -> None:
        """Records that a machine has come up `took_s` seconds after it was rented."""
        value = math.log(max(took_s, 0.01 * nominal_s) / nominal_s)
        self._cached_at = -math.inf
        for group in (kind, (kind[0],), None):
            sums = self._log_ratios.setdefault(group, _LogRatioSums())
            sums.add(value, now, HALF_LIFE_BOOTS * nominal_s)
        rented_times = self._rented_at.setdefault(kind[:2], deque(maxlen=MAX_REMEMBERED_BOOTS))
        rented_times.append(now - took_s)

    def assess(self, pending: Iterable[PendingBoot], now: float) -> dict[str, BootEstimate]:
        """The estimate for each machine that is not up yet, by name. First finds the groups, by
        type and zone, whose boots are slow as a whole; `boot_s` relies on them afterwards."""
        waiting = list(pending)
        groups: dict[tuple[str, str], list[PendingBoot]] = {}
        for boot in waiting:
            groups.setdefault(boot.kind[:2], []).append(boot)
        self._slow_groups = {}
        for group, booting in groups.items():
            overdue = [
                boot
                for boot in booting
                if boot.age_s > self._overdue_s(boot.kind, boot.nominal_s, now)
            ]
            if overdue:
                first_rented_at = now - max(boot.age_s for boot in overdue)
                up_count = sum(
                    rented_at >= first_rented_at for rented_at in self._rented_at.get(group, ())
                )
                if len(overdue) > max(1, up_count):
                    ages = sorted(boot.age_s / boot.nominal_s for boot in overdue)
                    self._slow_groups[group] = (len(overdue), math.log(ages[len(ages) // 2]))
        return {boot.name: self._estimate(boot, now) for boot in waiting}

    def boot_s(self, kind: MachineKind, nominal_s: float, now: float) -> float:
        """The expected boot time in seconds of a machine rented now."""
        mean, _ = self._normal(kind, nominal_s, now)
        if (slow := self._slow_groups.get(kind[:2])) is not None:
            overdue_count, log_ratio = slow
            mean = max(
                mean,
                (PRIOR_WEIGHT_BOOTS * mean + overdue_count * log_ratio)
                / (PRIOR_WEIGHT_BOOTS + overdue_count),
            )
        return nominal_s * min(MAX_EXPECTED_BOOTS, max(MIN_EXPECTED_BOOTS, math.exp(mean)))

    def _estimate(self, boot: PendingBoot, now: float) -> BootEstimate:
        overdue_s = self._overdue_s(boot.kind, boot.nominal_s, now)
        give_up_s = boot.nominal_s * min(
            MAX_GIVE_UP_BOOTS, max(MIN_GIVE_UP_BOOTS, GIVE_UP_RATIO * overdue_s / boot.nominal_s)
        )
        if boot.kind[:2] in self._slow_groups:
            # How slow they are is unknown, so an overdue one is expected to need as long again.
            remaining_s = max(
                self._remaining_s(boot, now), boot.age_s if boot.age_s > overdue_s else 0.0
            )
            give_up_s = max(give_up_s, MIN_SLOW_GIVE_UP_BOOTS * boot.nominal_s)
            return BootEstimate(remaining_s, True, boot.age_s > give_up_s)
        return BootEstimate(
            self._remaining_s(boot, now), boot.age_s <= overdue_s, boot.age_s > give_up_s
        )

    def _remaining_s(self, boot: PendingBoot, now: float) -> float:
        """The median of the remaining boot time, given that the machine is not up yet."""
        mean, spread = self._normal(boot.kind, boot.nominal_s, now)
        normal = NormalDist(mean, spread)
        elapsed_probability = normal.cdf(
            math.log(max(boot.age_s, 0.01 * boot.nominal_s) / boot.nominal_s)
        )
        median = normal.inv_cdf(min(1 - 1e-6, 0.5 + 0.5 * elapsed_probability))
        return max(0.04 * boot.nominal_s, boot.nominal_s * math.exp(median) - boot.age_s)

    def _overdue_s(self, kind: MachineKind, nominal_s: float, now: float) -> float:
        mean, spread = self._normal(kind, nominal_s, now)
        return nominal_s * math.exp(max(USUAL_LOG_RATIO, mean + OVERDUE_DEVIATIONS * spread))

    def _normal(self, kind: MachineKind, nominal_s: float, now: float) -> tuple[float, float]:
        """Mean and spread of the logarithm for a kind; the estimate of the wider group is the prior
        of the narrower one."""
        if now != self._cached_at:
            self._cached_at = now
            self._normal_cache.clear()
        if (cached := self._normal_cache.get((kind, nominal_s))) is not None:
            return cached
        mean, variance = 0.0, PRIOR_LOG_SPREAD**2
        for group in (None, (kind[0],), kind):
            sums = self._log_ratios.get(group)
            if sums is None:
                continue
            weight, total, squares = sums.decayed(now, HALF_LIFE_BOOTS * nominal_s)
            group_mean = (total + PRIOR_WEIGHT_BOOTS * mean) / (weight + PRIOR_WEIGHT_BOOTS)
            second_moment = squares + PRIOR_WEIGHT_BOOTS * (variance + mean * mean)
            variance = max(
                0.25 * PRIOR_LOG_SPREAD**2,
                second_moment / (weight + PRIOR_WEIGHT_BOOTS) - group_mean * group_mean,
            )
            mean = group_mean
        result = self._normal_cache[kind, nominal_s] = mean, math.sqrt(variance)
        return result
