# kind: decisions
"""When machines were last heard, not counting time in which the controller itself stalled.

A controller that stalled (frozen, or starved of CPU) finds all its machines silent when it
resumes, with their reports waiting in its sockets. Time in which it reads no reports is no
evidence about the machines.
"""

import math
from collections.abc import Mapping


class StallDetector:
    """A clock that stops while its process stalls: it advances by at most `step_s` seconds
    between two readings, and the loops of a healthy controller read it far more often."""

    def __init__(self, step_s: float, now: float) -> None:
        self._step_s = step_s
        self._at = now
        self.time = 0.0
        self._stood: list[tuple[float, float]] = []  # (ended at, seconds) of recent stalls

    def look(self, now: float) -> float:
        """Reads the clock: the seconds since its creation without stalls."""
        passed = max(0.0, now - self._at)
        self._at = max(self._at, now)
        self.time += min(passed, self._step_s)
        if passed > self._step_s:
            self._stood = [*self._stood[-7:], (now, passed - self._step_s)]
        return self.time

    def stalled_s(self, since: float) -> float:
        """Seconds of stall, in the latest stalls, of those that ended after `since`."""
        return sum(lasted for until, lasted in self._stood if until > since)


class LastHeard:
    """When each machine was last heard, by a clock that stops while the process stalls."""

    def __init__(self, attention: StallDetector) -> None:
        self.attention = attention
        self._heard: dict[str, float] = {}

    def heard(self, machine: str, now: float) -> None:
        """The machine reported."""
        self._heard[machine] = self.attention.look(now)

    def forget(self, machine: str) -> None:
        """Drops a machine that was removed."""
        self._heard.pop(machine, None)

    def silent_s(self, machine: str, now: float) -> float:
        """Seconds since the machine was heard, without stalls; infinite if it never was."""
        at = self._heard.get(machine)
        return math.inf if at is None else self.attention.look(now) - at


class ForeignReports:
    """Machines of other owners that reported here and were redirected. Such a machine lives,
    even if its owner does not hear it. A worker whose owner does not answer soon tries the next
    controller, so a live machine appears here before its owner gives it up."""

    def __init__(self, keep_s: float) -> None:
        """`keep_s`: for how many seconds a report is kept."""
        self._keep_s = keep_s
        self._at: dict[str, tuple[float, int]] = {}  # machine -> (when, its part)

    def heard(self, machine: str, shard: int, now: float) -> None:
        """A machine of the given part reported here."""
        self._at.pop(machine, None)
        self._at[machine] = (now, shard)  # the latest is last
        while self._at and next(iter(self._at.values()))[0] < now - self._keep_s:
            del self._at[next(iter(self._at))]

    def since(self, at: float, now: float, most: int) -> list[tuple[str, int, float]]:
        """(machine, part, seconds ago) of the machines that reported after `at`, latest first and
        at most `most`."""
        result: list[tuple[str, int, float]] = []
        for machine in reversed(self._at):
            heard_at, shard = self._at[machine]
            if heard_at <= at or len(result) >= most:
                break
            result.append((machine, shard, now - heard_at))
        return result


# Reports do not reach an owner if it heard at most this share of its machines in the last report
# interval, ...
HEARS_LEAST = 0.1
# ... while other controllers heard at least this share of them, and at least so many, since the
# owner last did.
DEAF_SHARE = 0.25
DEAF_LEAST = 3


def owner_unreachable(
    heard_at: Mapping[str, float], elsewhere: Mapping[str, float], gap_s: float, now: float
) -> bool:
    """Whether workers' reports reach other controllers and not the owner. `heard_at`: when the
    owner last heard each of its machines; `elsewhere`: when others did; `gap_s`: the longest
    ordinary pause between reports. Machines that the owner never heard count too: it may have
    taken the part over although its reports do not reach it."""
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
