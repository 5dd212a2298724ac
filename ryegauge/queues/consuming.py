# kind: decisions
"""Which controller takes the messages of a broker's bindings: one at a time, by hash over the
live ones, so that weights, windows and order are kept in one place. Bindings of the same
brokers go together, or their weights would say nothing. No I/O and no clock.

The live ones are those with a lease at the state service. One of them may still be unable to
reach the broker, which only the broker can tell the others: it counts the consumers of a queue
(queue.declare, passive). Two consumers at once are harmless (`lifecycle`).
"""

import hashlib
from collections.abc import Collection


def consumers_in_turn(brokers: str, live: Collection[str]) -> list[str]:
    """By the highest hash, so that a change of controllers moves only what it must: the first
    takes the messages, the others stand in for it in this order."""

    def weight(name: str) -> bytes:
        return hashlib.sha256(f"{len(brokers)} {brokers} {name}".encode()).digest()

    return sorted(live, key=lambda name: (weight(name), name), reverse=True)


class Consuming:
    """Of one binding, in one controller."""

    def __init__(self, me: str, brokers: str, patience_s: float) -> None:
        self._me, self._brokers = me, brokers
        self._patience_s = patience_s
        self._alone_since: float | None = None  # messages wait, and nobody takes them
        self._not_alone_since: float | None = None  # we stand in, and another takes them too
        self._stands_in = False

    def counted(self, messages: int, consumers: int, taking: bool, now: float) -> None:
        """What the broker counts in the queue, and whether one of them is us."""
        others = consumers - taking
        if others > 0 or not messages:
            self._alone_since = None
        elif self._alone_since is None:
            self._alone_since = now
        if others <= 0:
            self._not_alone_since = None
        elif self._not_alone_since is None:
            self._not_alone_since = now

    def takes(self, live: Collection[str], now: float) -> bool:
        """Whether to take messages now. Stands in for those before us if the broker has had
        no consumer for as long as a takeover takes, for each of them, and until it has
        another again. (Without turns two stood in at once, saw each other, and both left.)"""
        if self._me not in live:
            return False  # we have only just begun, and know of nobody
        turn = consumers_in_turn(self._brokers, live).index(self._me)
        if not turn:
            self._stands_in = False
            return True
        if self._stands_in:
            back = self._not_alone_since
            self._stands_in = back is None or now - back < self._patience_s
        else:
            alone = self._alone_since
            self._stands_in = alone is not None and now - alone >= turn * self._patience_s
        return self._stands_in
