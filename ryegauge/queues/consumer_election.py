# kind: decisions
"""Elects the controller that consumes the queues of a list of brokers. No I/O and no clock.

One controller at a time consumes, chosen by rendezvous hashing over the live controllers, so that
weights, prefetch windows and message order are kept in one place. Bindings with the same brokers
have the same consumer, since their weights only apply within one controller.

A controller is live while it holds a lease at the state service. It may still be unable to reach
the broker; the others learn this only from the broker, which counts the consumers of a queue
(passive queue.declare). Two consumers at once are harmless, see `lifecycle`.
"""

import hashlib
from collections.abc import Collection


def rank_consumers(brokers: str, live: Collection[str]) -> list[str]:
    """The live controllers, highest hash first: the first one consumes, the others substitute for
    it in this order. A change of the live set moves only the bindings that it has to."""

    def score(name: str) -> bytes:
        return hashlib.sha256(f"{len(brokers)} {brokers} {name}".encode()).digest()

    return sorted(live, key=lambda name: (score(name), name), reverse=True)


class ConsumerElection:
    """Decides whether this controller consumes the queue of one binding.

    `patience_s` is the time without a consumer after which the next controller substitutes.
    """

    def __init__(self, node_name: str, brokers: str, patience_s: float) -> None:
        self._node_name, self._brokers = node_name, brokers
        self._patience_s = patience_s
        self._unserved_since: float | None = None  # messages wait and no other consumes
        self._others_since: float | None = None  # another consumer is there
        self._is_substitute = False

    def on_counts(self, messages: int, consumers: int, consuming: bool, now: float) -> None:
        """The broker reported these counts; `consuming`: one of the consumers is this node."""
        others = consumers - consuming
        if others > 0 or not messages:
            self._unserved_since = None
        elif self._unserved_since is None:
            self._unserved_since = now
        if others <= 0:
            self._others_since = None
        elif self._others_since is None:
            self._others_since = now

    def should_consume(self, live: Collection[str], now: float) -> bool:
        """Whether to consume now.

        A controller of rank n substitutes once messages have waited without a consumer for n
        times `patience_s`, until another consumer has been there for `patience_s`. If the wait
        did not depend on the rank, two controllers would start at once, see each other and both
        stop.
        """
        if self._node_name not in live:
            return False  # just started: the live controllers are not known yet
        rank = rank_consumers(self._brokers, live).index(self._node_name)
        if not rank:
            self._is_substitute = False
            return True
        if self._is_substitute:
            others_since = self._others_since
            self._is_substitute = others_since is None or now - others_since < self._patience_s
        else:
            unserved_since = self._unserved_since
            self._is_substitute = (
                unserved_since is not None and now - unserved_since >= rank * self._patience_s
            )
        return self._is_substitute
