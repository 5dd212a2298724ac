# kind: decisions
"""How long machines have been silent to somebody who listened.

A controller that stood still (frozen, or slowed by another load) finds all its machines
silent when it goes on, with their reports waiting in its sockets. Time that passes while it
does not listen says nothing about them.
"""

import math


class Attention:
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

    def stood_still_s(self, since: float) -> float:
        """How long it has stood still, in standstills that ended after `since`."""
        return sum(lasted for until, lasted in self._stood if until > since)


class Hearing:
    """Which machines were heard, by attentive time, and how long each was silent before."""

    def __init__(self, attention: Attention) -> None:
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


class Overheard:
    """Machines of other owners that reported here and were sent on: such a machine lives,
    whatever its owner hears. A worker whose owner does not answer tries the next controller
    a little later, so a live one is overheard before it is given up."""

    def __init__(self, keep_s: float) -> None:
        self._keep_s = keep_s
        self._at: dict[str, float] = {}  # the latest last

    def heard(self, machine: str, now: float) -> None:
        self._at.pop(machine, None)
        self._at[machine] = now
        while self._at and next(iter(self._at.values())) < now - self._keep_s:
            del self._at[next(iter(self._at))]

    def since(self, at: float, now: float, most: int) -> list[tuple[str, float]]:
        """(machine, seconds ago) of those heard after `at`, the latest `most` of them."""
        result: list[tuple[str, float]] = []
        for machine in reversed(self._at):
            heard_at = self._at[machine]
            if heard_at <= at or len(result) >= most:
                break
            result.append((machine, now - heard_at))
        return result
