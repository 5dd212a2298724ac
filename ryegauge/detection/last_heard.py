# kind: decisions
"""How long machines have been silent to somebody who listened.

A controller that stood still (frozen, or slowed by another load) finds all its machines
silent when it goes on, with their reports waiting in its sockets. Time that passes while it
does not listen says nothing about them.
"""

import math
from collections.abc import Mapping


class StallDetector:
    """A clock that stands while its owner does: between two looks it goes on by at most
    `step_s` seconds, which the loops of a healthy controller stay well below."""

    def __init__(self, step_s: float, now: float) -> None:
        self._step_s = step_s
        self._at = now
        self.time = 0.0
        self._stood: list[tuple[float, float]] = []  # (until, how long), the latest last

    def look(self, now: float) -> float:
        """The attentive time by now, in seconds since the beginning."""
        passed = max(0.0, now - self._at)
        self._at = max(self._at, now)
        self.time += min(passed, self._step_s)
        if passed > self._step_s:
            self._stood = [*self._stood[-7:], (now, passed - self._step_s)]
        return self.time

    def stalled_s(self, since: float) -> float:
        """How long it has stood still, in standstills that ended after `since`."""
        return sum(lasted for until, lasted in self._stood if until > since)


class LastHeard:
    """Which machines were heard, by attentive time, and how long each was silent before."""

    def __init__(self, attention: StallDetector) -> None:
        self.attention = attention
        self._heard: dict[str, float] = {}

    def heard(self, machine: str, now: float) -> None:
        self._heard[machine] = self.attention.look(now)

    def forget(self, machine: str) -> None:
        self._heard.pop(machine, None)

    def silent_s(self, machine: str, now: float) -> float:
        """Attentive seconds since it was heard; infinite for one never heard of."""
        at = self._heard.get(machine)
        return math.inf if at is None else self.attention.look(now) - at


class ForeignReports:
    """Machines of other owners that reported here and were sent on: such a machine lives,
    whatever its owner hears. A worker whose owner does not answer tries the next controller
    a little later, so a live one is overheard before it is given up."""

    def __init__(self, keep_s: float) -> None:
        self._keep_s = keep_s
        self._at: dict[str, tuple[float, int]] = {}  # machine -> (when, its part)

    def heard(self, machine: str, shard: int, now: float) -> None:
        self._at.pop(machine, None)
        self._at[machine] = (now, shard)  # the latest is last
        while self._at and next(iter(self._at.values()))[0] < now - self._keep_s:
            del self._at[next(iter(self._at))]

    def since(self, at: float, now: float, most: int) -> list[tuple[str, int, float]]:
        """(machine, part, seconds ago) of those heard after `at`, the latest `most`."""
        result: list[tuple[str, int, float]] = []
        for machine in reversed(self._at):
            heard_at, shard = self._at[machine]
            if heard_at <= at or len(result) >= most:
                break
            result.append((machine, shard, now - heard_at))
        return result


# An owner is deaf that heard at most this share of its machines within a report, ...
HEARS_LEAST = 0.1
# ... while others heard at least this share of them, and at least so many, since it did.
DEAF_SHARE = 0.25
DEAF_LEAST = 3


def owner_unreachable(
    heard_at: Mapping[str, float], elsewhere: Mapping[str, float], gap_s: float, now: float
) -> bool:
    """Whether an owner does not hear workers that others hear, by when it heard each of its
    machines and when others did. Machines that it never heard count as well: it may have
    taken the part over without being able to hear it."""
    others = {
        name
        for name, at in elsewhere.items()
        if now - at <= 2 * gap_s and at > heard_at.get(name, -math.inf)
    }
    everybody = len(others | heard_at.keys())
    heard = sum(now - at <= gap_s for at in heard_at.values())
    return (
        len(others) >= max(DEAF_LEAST, DEAF_SHARE * everybody) and heard <= HEARS_LEAST * everybody
    )
