"""What the loops of one controller have in common: settings, the replica, the roles that it
holds, and the signals by which one loop wakes another or a peer."""

import random
from collections.abc import Callable, Collection, Iterable

import trio

from ryegauge.bookkeeping.epochs import RECOVERED
from ryegauge.bookkeeping.state import Conflict, Gone, OutcomeUnknown, StateClient, Unavailable
from ryegauge.bookkeeping.state_replica import Job, StateReplica
from ryegauge.bookkeeping.syncer import Syncer
from ryegauge.config import Settings
from ryegauge.coordination.connection_limits import MAX_STATE_CONNECTIONS
from ryegauge.coordination.leader import Leader
from ryegauge.coordination.membership import ControllerLease
from ryegauge.coordination.shard_owner import ShardOwner
from ryegauge.detection.last_heard import ForeignReports
from ryegauge.transport.http import Network

# Errors after which a write is decided again from the newest state of the replica.
RETRYABLE_ERRORS = (Conflict, Gone, Unavailable, OutcomeUnknown)


class NodeContext:
    """Shared state of a controller's loops."""

    def __init__(
        self, settings: Settings, network: Network, wall: Callable[[], float], rng: random.Random
    ) -> None:
        """`wall` returns the wall-clock time in seconds."""
        self.settings = settings
        self.network = network  # from which clients are made
        self.wall = wall
        self._rng = rng
        shared_settings = settings.settings
        self.report_s = shared_settings.workers.report_s
        # Unused connections are closed after this many seconds.
        self.idle_s = 4 * shared_settings.workers.lease_s
        self.state = StateClient(
            network.client(
                settings.outside.state, max_connections=MAX_STATE_CONNECTIONS, idle_s=self.idle_s
            ),
            settings.state_limits.rps,
            settings.state_limits.write_rps,
            shared_settings.nodes,
        )
        self.replica = StateReplica(wall)
        self.syncer = Syncer(
            self.state, self.replica, max_interval_s=self._max_read_interval_s, timeout_s=1.0
        )
        self.controller_lease = ControllerLease(
            settings, self.state, self.replica, self.syncer, lambda: self.random_id(48)
        )
        self.owned: dict[int, ShardOwner] = {}  # shards owned here
        self.leader: Leader | None = None  # while this controller leads
        # The leader object from before the present epoch. What it learnt of the fleet and of
        # run times stays true; without it the new one would rent no machine until the cloud's
        # next listing.
        self.previous_leader: Leader | None = None
        self.foreign_reports = ForeignReports(2 * shared_settings.workers.lease_s)
        self.work_available = trio.Event()  # set and replaced when owners or the leader have work
        self.announced_revisions: dict[str, int] = {}  # peer -> revision that it should read
        # Set and replaced when `announced_revisions` changes.
        self.revision_announced = trio.Event()
        # Whether no new decision may be made, since the state service may have lost data.
        self.data_loss_suspected: Callable[[], bool] = lambda: (
            self.replica.recovery_stage != RECOVERED
        )
        # Whether a job's open tasks are certainly on no machine, by all that is known here.
        self.surely_unassigned: Callable[[Job], bool] = lambda job: True
        self._peers = [peer.node_name for peer in settings.known]

    def _max_read_interval_s(self) -> float:
        """Longest time between reads. Peers tell us when they write. Reading without being told
        covers peers that cannot, and keeps our authority, which ends one lease duration after
        the last read."""
        if self.replica.live or self.replica.waiting:
            return min(0.5, self.report_s / 2)
        return self.settings.controller_lease_s / 6

    def random_id(self, bits: int) -> str:
        """A random identifier of that many bits, in hexadecimal."""
        return f"{self._rng.getrandbits(bits):x}"

    def leading(self) -> Leader | None:
        """The leader object while this controller leads and its authority is valid, else None."""
        return self.leader if self.controller_lease.valid(trio.current_time()) else None

    def announce_write(self, state_revision: int, peers: Collection[str] | None = None) -> None:
        """After a commit at revision `state_revision`: reads it soon and tells the peers in `peers`
        (None: all) to read it too. The others see it with their next read."""
        self.syncer.request_read()
        for name in self._peers if peers is None else peers:
            self.announced_revisions[name] = state_revision
        self.revision_announced.set()
        self.revision_announced = trio.Event()

    def announce_to_leader(self, state_revision: int) -> None:
        """As `announce_write`, for a commit that concerns the leader."""
        leader = self.replica.leader
        self.announce_write(state_revision, None if leader is None else [leader.node])

    def announce_to_owners(self, state_revision: int, shards: Iterable[int]) -> None:
        """As `announce_write`, for a commit that concerns the owners of these shards."""
        owners = [
            self.replica.shards[shard].node for shard in shards if shard in self.replica.shards
        ]
        self.announce_write(state_revision, set(owners))

    def wake(self) -> None:
        """Wakes the loops of the leader and of the shard owners."""
        self.work_available.set()
        self.work_available = trio.Event()
