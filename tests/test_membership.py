"""A controller's roles, as they follow from the replica, its claims and lease extensions."""

import trio

from ryegauge.bookkeeping.state_replica import RoleHolder, StateReplica
from ryegauge.config import Settings
from ryegauge.coordination.membership import ControllerLease


class AcceptingState:
    """A state client and syncer that accept every call."""

    def __init__(self) -> None:
        self.commits: list[dict[str, int]] = []

    async def commit(self, guards: dict[str, int], *_: object, **__: object) -> int:
        self.commits.append(guards)
        return 8

    def request_read(self) -> None:
        return


def test_shards_claimed_together_are_released_one_by_one(settings: Settings) -> None:
    """Shards claimed in one transaction have the same token. Releasing one of them must not
    release the others, whose workers would be refused until a new claim."""

    async def scenario() -> None:
        replica, state = StateReplica(), AcceptingState()
        controller_lease = ControllerLease(settings, state, replica, state, lambda: "x")  # type: ignore[arg-type]
        for shard in range(3):
            replica.shards[shard] = RoleHolder("node-0", "x", 7)
        await controller_lease.release_shard(1, 7)
        assert state.commits == [{"r/p/1": 7}]
        assert [controller_lease.shard_token(shard) for shard in range(3)] == [7, None, 7]

    trio.run(scenario)


def test_late_hello_of_a_predecessor_is_ignored(settings: Settings) -> None:
    """A hello of a peer's predecessor that arrives late must not invalidate the lease extensions
    granted by the peer's present process."""

    async def scenario() -> None:
        replica, state = StateReplica(), AcceptingState()
        controller_lease = ControllerLease(settings, state, replica, state, lambda: "x")  # type: ignore[arg-type]
        controller_lease.valid = lambda now: True  # type: ignore[method-assign]
        peers = {"node-1": "b", "node-2": "c"}
        for name, incarnation in (("node-1", "a"), ("node-1", "b"), ("node-1", "a")):
            controller_lease.on_hello(name, incarnation)
        controller_lease.on_extensions_granted(5.0, peers, 6.0)
        assert controller_lease._extended_from == 5.0
        controller_lease.on_hello("node-1", "d")  # restarted: remembers no grant
        assert controller_lease._extended_from < 0
        # An extension requested before the hello may be the predecessor's. One requested
        # later is the present process's, under whatever incarnation its lease has.
        hello_at = trio.current_time()
        controller_lease.on_extensions_granted(hello_at - 1.0, peers, hello_at + 1.0)
        assert controller_lease._extended_from < 0
        controller_lease.on_extensions_granted(
            hello_at + 1.0, {"node-1": "e", "node-2": "c"}, hello_at + 2.0
        )
        assert controller_lease._extended_from == hello_at + 1.0

    trio.run(scenario)
