"""What the loops of one controller share: settings, the book, the roles that it holds, and
the signals by which one loop wakes another or a peer."""

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

# Errors after which a write is tried again from the newest state of the book.
RETRYABLE_ERRORS = (Conflict, Gone, Unavailable, OutcomeUnknown)


class NodeContext:
    def __init__(
        self, settings: Settings, network: Network, wall: Callable[[], float], rng: random.Random
    ) -> None:
        self.settings = settings
        self.network = network
        self.wall = wall
        self._rng = rng
        shared = settings.settings
        self.report_s = shared.workers.report_s
        self.idle_s = 4 * shared.workers.lease_s  # after which an unused connection is closed
        self.state = StateClient(
            network.client(
                settings.outside.state, max_connections=MAX_STATE_CONNECTIONS, idle_s=self.idle_s
            ),
            settings.state_limits.rps,
            settings.state_limits.write_rps,
            shared.nodes,
        )
        self.replica = StateReplica(wall)
        self.syncer = Syncer(self.state, self.replica, idle_s=self._read_pause_s, timeout_s=1.0)
        self.controller_lease = ControllerLease(
            settings, self.state, self.replica, self.syncer, lambda: self.random_id(48)
        )
        self.owned: dict[int, ShardOwner] = {}
        self.leader: Leader | None = None
        # What we led with before an era began: what it had learnt of fleet and run times stays
        # true, and a leader that knew neither would rent nothing until the cloud lists again.
        self.previous_leader: Leader | None = None
        self.foreign_reports = ForeignReports(2 * shared.workers.lease_s)
        self.work_available = trio.Event()  # something that owners or the leader should look at
        self.announced_revisions: dict[str, int] = {}  # revisions that the peers should read
        self.tell = trio.Event()
        # Whether nothing new is to be decided, since the state service may have lost data.
        self.data_loss_suspected: Callable[[], bool] = lambda: (
            self.replica.recovery_stage != RECOVERED
        )
        # Whether a job's open tasks are surely on no machine, by all that is known here.
        self.surely_unassigned: Callable[[Job], bool] = lambda job: True
        self._peers = [peer.node_name for peer in settings.known]

    def _read_pause_s(self) -> float:
        """Peers tell when they write; reading without being told serves those that
        cannot, and authority, which does not outlast the last read by more than a term."""
        if self.replica.live or self.replica.waiting:
            return min(0.5, self.report_s / 2)
        return self.settings.controller_lease_s / 6

    def random_id(self, bits: int) -> str:
        return f"{self._rng.getrandbits(bits):x}"

    def leading(self) -> Leader | None:
        """While we lead and have authority."""
        return self.leader if self.controller_lease.valid(trio.current_time()) else None

    def announce_write(self, state_revision: int, whom: Collection[str] | None = None) -> None:
        """We wrote: we read at once, and so should those whom it concerns (all, if
        nobody is named). The others find it with their next read."""
        self.syncer.request_read()
        for name in self._peers if whom is None else whom:
            self.announced_revisions[name] = state_revision
        self.tell.set()
        self.tell = trio.Event()

    def announce_to_leader(self, state_revision: int) -> None:
        leader = self.replica.leader
        self.announce_write(state_revision, None if leader is None else [leader.node])

    def announce_to_owners(self, state_revision: int, shards: Iterable[int]) -> None:
        owners = [
            self.replica.shards[shard].node for shard in shards if shard in self.replica.shards
        ]
        self.announce_write(state_revision, set(owners))

    def wake(self) -> None:
        self.work_available.set()
        self.work_available = trio.Event()
