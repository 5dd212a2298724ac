"""A controller's roles, as the book and its own acts give them."""

import trio

from ryegauge.bookkeeping.state_replica import RoleHolder, StateReplica
from ryegauge.config import Settings
from ryegauge.coordination.membership import ControllerLease


class Accepting:
    """A state service and its reader that agree to everything."""

    def __init__(self) -> None:
        self.commits: list[dict[str, int]] = []

    async def commit(self, guards: dict[str, int], *_: object, **__: object) -> int:
        self.commits.append(guards)
        return 8

    def request_read(self) -> None:
        return


def test_parts_claimed_together_are_given_back_one_by_one(settings: Settings) -> None:
    """Found by measurement: parts taken in one transaction share a token, and giving
    one of them back disowned the others, whose workers were refused until a new claim."""

    async def scenario() -> None:
        replica, other = StateReplica(), Accepting()
        controller_lease = ControllerLease(settings, other, replica, other, lambda: "x")  # type: ignore[arg-type]
        for shard in range(3):
            replica.shards[shard] = RoleHolder("node-0", "x", 7)
        await controller_lease.release_shard(1, 7)
        assert other.commits == [{"r/p/1": 7}]
        assert [controller_lease.shard_token(shard) for shard in range(3)] == [7, None, 7]

    trio.run(scenario)


def test_a_greeting_that_comes_late_is_no_news(settings: Settings) -> None:
    """Held on its way, a predecessor's greeting made all promises of its successor worthless."""

    async def scenario() -> None:
        replica, other = StateReplica(), Accepting()
        controller_lease = ControllerLease(settings, other, replica, other, lambda: "x")  # type: ignore[arg-type]
        controller_lease.valid = lambda now: True  # type: ignore[method-assign]
        peers = {"node-1": "b", "node-2": "c"}
        for name, incarnation in (("node-1", "a"), ("node-1", "b"), ("node-1", "a")):
            controller_lease.on_hello(name, incarnation)
        controller_lease.on_extensions_granted(5.0, peers, 6.0)
        assert controller_lease._promised_from == 5.0
        controller_lease.on_hello("node-1", "d")  # one that remembers no promise
        assert controller_lease._promised_from < 0
        # Asked before it started, it may have answered as the one before; asked since then, the
        # one that runs now answers, as whichever incarnation its present term has.
        greeted_at = trio.current_time()
        controller_lease.on_extensions_granted(greeted_at - 1.0, peers, greeted_at + 1.0)
        assert controller_lease._promised_from < 0
        controller_lease.on_extensions_granted(
            greeted_at + 1.0, {"node-1": "e", "node-2": "c"}, greeted_at + 2.0
        )
        assert controller_lease._promised_from == greeted_at + 1.0

    trio.run(scenario)
