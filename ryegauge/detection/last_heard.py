# kind: decisions
"""When machines were last heard, not counting time in which the controller itself stalled.

A controller that stalled (frozen, or starved of CPU) finds all its machines silent when it
resumes, with their reports waiting in its sockets. Time in which it reads no reports is no
evidence about the machines.
"""

import math
from collections.abc import Mapping


class StallDetector:
    """A clock that stops while its process stalls, and a record of the stalls. It advances by
    at most `step_s` seconds between two readings, and the loops of a healthy controller read it
    far more often."""

    def __init__(self, step_s: float, now: float) -> None:
        self._step_s = step_s
        self._read_at = now
        self.active_s = 0.0
        self._stalls: list[tuple[float, float]] = []  # (ended at, seconds), the latest last

    def advance(self, now: float) -> float:
        """Reads the clock: the seconds since its creation without stalls."""
        passed_s = max(0.0, now - self._read_at)
        self._read_at = max(self._read_at, now)
        self.active_s += min(passed_s, self._step_s)
        if passed_s > self._step_s:
            self._stalls = [*self._stalls[-7:], (now, passed_s - self._step_s)]
        return self.active_s

    def stalled_s(self, since: float) -> float:
        """Seconds of stall in the latest eight stalls, of those that ended after `since`."""
        return sum(stall_s for ended_at, stall_s in self._stalls if ended_at > since)


class LastHeard:
    """When each machine was last heard, by a clock that stops while the process stalls."""

    def __init__(self, stall_detector: StallDetector) -> None:
        self.stall_detector = stall_detector
        self._heard_at: dict[str, float] = {}

    def on_report(self, machine: str, now: float) -> None:
        """The machine reported."""
        self._heard_at[machine] = self.stall_detector.advance(now)

    def forget(self, machine: str) -> None:
        """Drops a machine that was removed."""
        self._heard_at.pop(machine, None)

    def silent_s(self, machine: str, now: float) -> float:
        """Seconds since the machine was heard, without stalls; infinite if it never was."""
        at = self._heard_at.get(machine)
        return math.inf if at is None else self.stall_detector.advance(now) - at


class ForeignReports:
    """Machines of other owners that reported here and were redirected. Such a machine lives,
    even if its owner does not hear it. A worker whose owner does not answer soon tries the next
    controller, so a live machine appears here before its owner gives it up."""

    def __init__(self, keep_s: float) -> None:
        """`keep_s`: for how many seconds a report is kept."""
        self._keep_s = keep_s
        self._reported_at: dict[str, tuple[float, int]] = {}  # machine -> (when, its shard)

    def on_report(self, machine: str, shard: int, now: float) -> None:
        """A machine of the given shard reported here."""
        self._reported_at.pop(machine, None)
        self._reported_at[machine] = (now, shard)  # the latest is last
        while self._reported_at and next(iter(self._reported_at.values()))[0] < now - self._keep_s:
            del self._reported_at[next(iter(self._reported_at))]

    def since(self, at: float, now: float, limit: int) -> list[tuple[str, int, float]]:
        """(machine, shard, seconds ago) of the machines that reported after `at`, latest first and
        at most `limit`."""
        result: list[tuple[str, int, float]] = []
        for machine in reversed(self._reported_at):
            heard_at, shard = self._reported_at[machine]
            if heard_at <= at or len(result) >= limit:
                break
            result.append((machine, shard, now - heard_at))
        return result


# Reports do not reach an owner if it heard at most this share of its machines in the last report
# interval, ...
OWNER_MAX_HEARD_SHARE = 0.1
# ... while other controllers heard at least this share of them, and at least so many, since the
# owner last did.
OTHERS_MIN_HEARD_SHARE = 0.25
OTHERS_MIN_HEARD = 3


def owner_unreachable(
    heard_at: Mapping[str, float], elsewhere: Mapping[str, float], gap_s: float, now: float
) -> bool:
    """Whether workers' reports reach other controllers and not the owner. `heard_at`: when the
    owner last heard each of its machines; `elsewhere`: when other controllers did; `gap_s`: the
    longest ordinary pause between reports. Machines that the owner never heard count too: it may
    have taken the shard over although their reports do not reach it."""
    heard_by_others = {
        name
        for name, at in elsewhere.items()
        if now - at <= 2 * gap_s and at > heard_at.get(name, -math.inf)
    }
    machine_count = len(heard_by_others | heard_at.keys())
    heard_count = sum(now - at <= gap_s for at in heard_at.values())
    return (
        len(heard_by_others) >= max(OTHERS_MIN_HEARD, OTHERS_MIN_HEARD_SHARE * machine_count)
        and heard_count <= OWNER_MAX_HEARD_SHARE * machine_count
    )
