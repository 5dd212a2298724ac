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

Kind = tuple[str, str, bool]  # type, zone, spot

# Usually a boot takes 0.6 to 1.5 times the nominal time.
USUAL = math.log(1.5)
USUAL_SPREAD = 0.25
# The wider group's estimate counts as much as this many observed boots.
PRIOR = 4.0
# The weight of an observed boot halves after this many nominal boot times: slow phases pass.
FADES_BOOTS = 6.0
MOST_WEIGHT = 12.0  # boots; with each new one earlier ones count less
# A boot is overdue this many standard deviations above the mean.
OVERDUE_SPREADS = 2.0
# A machine is given up, and released, at this multiple of the time at which it is overdue.
GIVE_UP = 1.5
# Bounds on that time, in nominal boot times.
LEAST_GIVE_UP = 2.5
# While all boots of a group are overdue it is only a guess that they are slow and will still
# complete; this bounds the wait from below.
SLOW_GIVE_UP = 4.0
MOST_GIVE_UP = 8.0
# A new boot is never expected to take less than this share of the nominal time: a phase in which
# boots take a second may end at any time, and machines rented in reliance on it cost money.
LEAST = 0.5
# Nor more than this multiple: all boots of a kind may be slow or fail, but that does not justify
# any price for another kind. (Without this limit 13 on-demand machines at ten times the price were
# rented.)
MOST = 3.0
REMEMBERED = 256  # completed boots kept by type and zone


class Pending(NamedTuple):
    """A rented machine that is not up yet."""

    name: str
    kind: Kind
    nominal_s: float  # boot time by the catalogue
    age_s: float  # seconds since it was rented


class Expected(NamedTuple):
    """The estimate for a machine that is not up yet."""

    left_s: float  # median of the seconds until it is up
    counted: bool  # whether it is still expected to come
    lost: bool  # whether it is given up and to be released


class _Seen:
    """Weighted sums of the logarithms of actual over nominal boot time; weights decay."""

    __slots__ = ("at", "n", "squares", "total")

    def __init__(self) -> None:
        self.n = self.total = self.squares = 0.0
        self.at = -math.inf

    def at_time(self, now: float, half_s: float) -> tuple[float, float, float]:
        left = 0.5 ** ((now - self.at) / half_s) if self.n else 0.0
        return self.n * left, self.total * left, self.squares * left

    def add(self, value: float, now: float, half_s: float) -> None:
        n, total, squares = self.at_time(now, half_s)
        keep = min(1.0, (MOST_WEIGHT - 1) / n) if n else 1.0
        self.n, self.total = keep * n + 1, keep * total + value
        self.squares = keep * squares + value * value
        self.at = now


class BootTimes:
    """Estimates boot times by kind of machine from the boots observed so far."""

    def __init__(self) -> None:
        # By kind, by type, and for all machines (None).
        self._seen: dict[Kind | tuple[str] | None, _Seen] = {}
        # (type, zone) -> when the machines that came up last had been rented.
        self._came: dict[tuple[str, str], deque[float]] = {}
        # (type, zone) with slow boots, as of the last `look` -> (overdue machines, median of
        # the logarithm of their age over the nominal boot time).
        self._slow: dict[tuple[str, str], tuple[int, float]] = {}
        # Computed once for each point in time: hundreds of machines may boot at once.
        self._normals: dict[tuple[Kind, float], tuple[float, float]] = {}
        self._normals_at = -math.inf

    def record_boot(self, kind: Kind, nominal_s: float, took_s: float, now: float) -> None:
        """Records that a machine has come up `took_s` seconds after it was rented."""
        value = math.log(max(took_s, 0.01 * nominal_s) / nominal_s)
        self._normals_at = -math.inf
        for group in (kind, (kind[0],), None):
            seen = self._seen.setdefault(group, _Seen())
            seen.add(value, now, FADES_BOOTS * nominal_s)
        came = self._came.setdefault(kind[:2], deque(maxlen=REMEMBERED))
        came.append(now - took_s)

    def look(self, pending: Iterable[Pending], now: float) -> dict[str, Expected]:
        """The estimate for each machine that is not up yet, by name. First finds the groups, by
        type and zone, whose boots are slow as a whole; `boot_s` relies on them afterwards."""
        waiting = list(pending)
        groups: dict[tuple[str, str], list[Pending]] = {}
        for p in waiting:
            groups.setdefault(p.kind[:2], []).append(p)
        self._slow = {}
        for group, some in groups.items():
            late = [p for p in some if p.age_s > self._overdue_s(p.kind, p.nominal_s, now)]
            if late:
                since = now - max(p.age_s for p in late)
                up = sum(at >= since for at in self._came.get(group, ()))
                if len(late) > max(1, up):
                    ages = sorted(p.age_s / p.nominal_s for p in late)
                    self._slow[group] = (len(late), math.log(ages[len(ages) // 2]))
        return {p.name: self._expected(p, now) for p in waiting}

    def boot_s(self, kind: Kind, nominal_s: float, now: float) -> float:
        """The expected boot time in seconds of a machine rented now."""
        mean, _ = self._normal(kind, nominal_s, now)
        if (slow := self._slow.get(kind[:2])) is not None:
            late, value = slow
            mean = max(mean, (PRIOR * mean + late * value) / (PRIOR + late))
        return nominal_s * min(MOST, max(LEAST, math.exp(mean)))

    def _expected(self, p: Pending, now: float) -> Expected:
        overdue_s = self._overdue_s(p.kind, p.nominal_s, now)
        give_up_s = p.nominal_s * min(
            MOST_GIVE_UP, max(LEAST_GIVE_UP, GIVE_UP * overdue_s / p.nominal_s)
        )
        if p.kind[:2] in self._slow:
            # How slow they are is unknown, so an overdue one is expected to need as long again.
            left_s = max(self._left_s(p, now), p.age_s if p.age_s > overdue_s else 0.0)
            give_up_s = max(give_up_s, SLOW_GIVE_UP * p.nominal_s)
            return Expected(left_s, True, p.age_s > give_up_s)
        return Expected(self._left_s(p, now), p.age_s <= overdue_s, p.age_s > give_up_s)

    def _left_s(self, p: Pending, now: float) -> float:
        """The median of the remaining boot time, given that the machine is not up yet."""
        mean, spread = self._normal(p.kind, p.nominal_s, now)
        normal = NormalDist(mean, spread)
        past = normal.cdf(math.log(max(p.age_s, 0.01 * p.nominal_s) / p.nominal_s))
        median = normal.inv_cdf(min(1 - 1e-6, 0.5 + 0.5 * past))
        return max(0.04 * p.nominal_s, p.nominal_s * math.exp(median) - p.age_s)

    def _overdue_s(self, kind: Kind, nominal_s: float, now: float) -> float:
        mean, spread = self._normal(kind, nominal_s, now)
        return nominal_s * math.exp(max(USUAL, mean + OVERDUE_SPREADS * spread))

    def _normal(self, kind: Kind, nominal_s: float, now: float) -> tuple[float, float]:
        """Mean and spread of the logarithm for a kind; the estimate of the wider group is the prior
        of the narrower one."""
        if now != self._normals_at:
            self._normals_at = now
            self._normals.clear()
        if (known := self._normals.get((kind, nominal_s))) is not None:
            return known
        mean, variance = 0.0, USUAL_SPREAD**2
        for group in (None, (kind[0],), kind):
            seen = self._seen.get(group)
            if seen is None:
                continue
            n, total, squares = seen.at_time(now, FADES_BOOTS * nominal_s)
            of_all = (total + PRIOR * mean) / (n + PRIOR)
            second = squares + PRIOR * (variance + mean * mean)
            variance = max(0.25 * USUAL_SPREAD**2, second / (n + PRIOR) - of_all * of_all)
            mean = of_all
        result = self._normals[kind, nominal_s] = mean, math.sqrt(variance)
        return result
