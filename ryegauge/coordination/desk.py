"""What the loops of one controller have in common: settings, the replica, the roles that it
holds, and the signals by which one loop wakes another or a peer."""

import random
from collections.abc import Callable, Collection, Iterable

import trio

from ryegauge.bookkeeping.eras import REBUILT
from ryegauge.bookkeeping.jobbook import Job, JobBook
from ryegauge.bookkeeping.state import Conflict, Gone, StateClient, Unavailable, Unknown
from ryegauge.bookkeeping.syncer import Syncer
from ryegauge.config import Settings
from ryegauge.coordination.leader import Leader
from ryegauge.coordination.part import PartOwner
from ryegauge.coordination.sockets import STATE
from ryegauge.coordination.terms import Term
from ryegauge.detection.hearing import Overheard
from ryegauge.transport.http import Network

# Errors after which a write is decided anew from the newest state of the replica.
RETRY = (Conflict, Gone, Unavailable, Unknown)


class Desk:
    """Shared state of a controller's loops."""

    def __init__(
        self, settings: Settings, network: Network, wall: Callable[[], float], rng: random.Random
    ) -> None:
        """`wall` returns the wall-clock time in seconds."""
        self.settings = settings
        self.network = network
        self.wall = wall
        self._rng = rng
        shared = settings.settings
        self.report_s = shared.workers.report_s
        # Unused connections are closed after this many seconds.
        self.idle_s = 4 * shared.workers.lease_s
        self.state = StateClient(
            network.client(settings.outside.state, max_connections=STATE, idle_s=self.idle_s),
            settings.state_limits.rps,
            settings.state_limits.write_rps,
            shared.nodes,
        )
        self.book = JobBook(wall)
        self.syncer = Syncer(self.state, self.book, idle_s=self._read_pause_s, timeout_s=1.0)
        self.term = Term(settings, self.state, self.book, self.syncer, lambda: self.unique(48))
        self.owned: dict[int, PartOwner] = {}
        self.leader: Leader | None = None
        # The leader object from before the present epoch. What it learnt of the fleet and of
        # run times stays true; without it the new one would rent no machine until the cloud's
        # next listing.
        self.former: Leader | None = None
        self.overheard = Overheard(2 * shared.workers.lease_s)
        self.changed = trio.Event()  # set and replaced when owners or the leader have work
        self.to_tell: dict[str, int] = {}  # peer -> revision that it should read
        self.tell = trio.Event()  # set and replaced when `to_tell` changes
        # Whether no new decision may be made, since the state service may have lost data.
        self.doubtful: Callable[[], bool] = lambda: self.book.era_stage != REBUILT
        # Whether a job's open tasks are certainly on no machine, by all that is known here.
        self.surely_open: Callable[[Job], bool] = lambda job: True
        self._peers = [peer.node_name for peer in settings.known]

    def _read_pause_s(self) -> float:
        """Longest pause between reads. Peers tell us when they write. Reading without being told
        covers peers that cannot, and keeps our authority, which ends one lease duration after
        the last read."""
        if self.book.live or self.book.waiting:
            return min(0.5, self.report_s / 2)
        return self.settings.term_s / 6

    def unique(self, bits: int) -> str:
        """A random identifier of that many bits, in hexadecimal."""
        return f"{self._rng.getrandbits(bits):x}"

    def leading(self) -> Leader | None:
        """The leader object while this controller leads and its authority is valid, else None."""
        return self.leader if self.term.valid(trio.current_time()) else None

    def wrote(self, ledger: int, whom: Collection[str] | None = None) -> None:
        """After a commit at revision `ledger`: reads it soon and tells the peers in `whom` (None:
        all) to read it too. The others see it with their next read."""
        self.syncer.poke()
        for name in self._peers if whom is None else whom:
            self.to_tell[name] = ledger
        self.tell.set()
        self.tell = trio.Event()

    def tell_leader(self, ledger: int) -> None:
        """As `wrote`, for a commit that concerns the leader."""
        leader = self.book.leader
        self.wrote(ledger, None if leader is None else [leader.node])

    def tell_owners(self, ledger: int, parts: Iterable[int]) -> None:
        """As `wrote`, for a commit that concerns the owners of these shards."""
        owners = [self.book.parts[part].node for part in parts if part in self.book.parts]
        self.wrote(ledger, set(owners))

    def wake(self) -> None:
        """Wakes the loops of the leader and of the shard owners."""
        self.changed.set()
        self.changed = trio.Event()
