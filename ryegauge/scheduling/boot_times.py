"""What boots were really seen to take, and what is to be expected of those under way.

The logarithm of a boot's time over the nominal one is taken for normal, with a spread as the
protocol tells of (0.6 to 1.5 times the nominal time as a rule). Kinds of machines, by type, zone
and pricing, learn from themselves, from their type, and from all. Times are in seconds.

A machine that is overdue while others asked for with it or later are up is late for itself, or
never comes: after the usual bound it is not counted on any more, and what it was for is rented
anew; later it is returned. If most of those asked for with it are overdue as well, all boots are
slow: another rental would be as slow and costs as much again, so they are waited for.
"""

import math
from collections import deque
from collections.abc import Iterable
from statistics import NormalDist
from typing import NamedTuple

Kind = tuple[str, str, bool]  # type, zone, spot

# A boot takes 0.6 to 1.5 times the nominal time as a rule.
USUAL = math.log(1.5)
USUAL_SPREAD = 0.25
# Boots' worth of trust that is put into what is known of the wider group.
PRIOR = 4.0
# What was seen counts half after so many nominal boots: troubles come and go.
FADES_BOOTS = 6.0
MOST_WEIGHT = 12.0  # boots; those before count less with each new one
# Beyond so many spreads a boot is overdue; past this, times so much, it is given up.
OVERDUE_SPREADS = 2.0
GIVE_UP = 1.5
LEAST_GIVE_UP = 2.5  # nominal boots
# Where all are overdue and none has come, that they are slow is a guess: so long at least.
SLOW_GIVE_UP = 4.0
MOST_GIVE_UP = 8.0
# New ones are not expected sooner than this share of the nominal time: a spell in which boots
# take a second ends without notice, and what is rented for it is paid for.
LEAST = 0.5
# Nor much later: all boots of a kind may be slow, or none may come, and neither makes a dearer
# kind worth any price. (Without it 13 steady machines at ten times the price were rented.)
MOST = 3.0
REMEMBERED = 256  # arrivals, by type and zone


class Pending(NamedTuple):
    name: str
    kind: Kind
    nominal_s: float
    age_s: float  # since it was asked for


class Expected(NamedTuple):
    """Of a machine that has been asked for."""

    left_s: float  # until it is up, as likely sooner as later
    counted: bool  # whether it is still counted on
    lost: bool  # whether it is to be returned


class _Seen:
    """Weighted sums of logarithms; the weight halves with time."""

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
    def __init__(self) -> None:
        self._seen: dict[Kind | tuple[str] | None, _Seen] = {}
        # (type, zone) -> when those that came up lately had been asked for.
        self._came: dict[tuple[str, str], deque[float]] = {}
        self._slow: dict[tuple[str, str], tuple[int, float]] = {}  # as of the last look
        # Worked out once for a moment: hundreds may be under way at the same time.
        self._normals: dict[tuple[Kind, float], tuple[float, float]] = {}
        self._normals_at = -math.inf

    def record_boot(self, kind: Kind, nominal_s: float, took_s: float, now: float) -> None:
        value = math.log(max(took_s, 0.01 * nominal_s) / nominal_s)
        self._normals_at = -math.inf
        for group in (kind, (kind[0],), None):
            seen = self._seen.setdefault(group, _Seen())
            seen.add(value, now, FADES_BOOTS * nominal_s)
        came = self._came.setdefault(kind[:2], deque(maxlen=REMEMBERED))
        came.append(now - took_s)

    def look(self, pending: Iterable[Pending], now: float) -> dict[str, Expected]:
        """What is to be expected of each. Groups that are slow as a whole are found first."""
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
        """What one that is asked for now is expected to take."""
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
            # As long again as it has taken: nothing is known of how slow they are.
            left_s = max(self._left_s(p, now), p.age_s if p.age_s > overdue_s else 0.0)
            give_up_s = max(give_up_s, SLOW_GIVE_UP * p.nominal_s)
            return Expected(left_s, True, p.age_s > give_up_s)
        return Expected(self._left_s(p, now), p.age_s <= overdue_s, p.age_s > give_up_s)

    def _left_s(self, p: Pending, now: float) -> float:
        """The median, given that it has not come yet."""
        mean, spread = self._normal(p.kind, p.nominal_s, now)
        normal = NormalDist(mean, spread)
        past = normal.cdf(math.log(max(p.age_s, 0.01 * p.nominal_s) / p.nominal_s))
        median = normal.inv_cdf(min(1 - 1e-6, 0.5 + 0.5 * past))
        return max(0.04 * p.nominal_s, p.nominal_s * math.exp(median) - p.age_s)

    def _overdue_s(self, kind: Kind, nominal_s: float, now: float) -> float:
        mean, spread = self._normal(kind, nominal_s, now)
        return nominal_s * math.exp(max(USUAL, mean + OVERDUE_SPREADS * spread))

    def _normal(self, kind: Kind, nominal_s: float, now: float) -> tuple[float, float]:
        """Mean and spread for a kind; each group begins with what the wider one shows."""
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
