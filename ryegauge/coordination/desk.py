"""What the loops of one controller share: settings, the book, the roles that it holds, and
the signals by which one loop wakes another or a peer."""

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

# Errors after which a write is tried again from the newest state of the book.
RETRY = (Conflict, Gone, Unavailable, Unknown)


class Desk:
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
        # What we led with before an era began: what it had learnt of fleet and run times stays
        # true, and a leader that knew neither would rent nothing until the cloud lists again.
        self.former: Leader | None = None
        self.overheard = Overheard(2 * shared.workers.lease_s)
        self.changed = trio.Event()  # something that owners or the leader should look at
        self.to_tell: dict[str, int] = {}  # revisions that the peers should read
        self.tell = trio.Event()
        # Whether nothing new is to be decided, since the state service may have lost data.
        self.doubtful: Callable[[], bool] = lambda: self.book.era_stage != REBUILT
        # Whether a job's open tasks are surely on no machine, by all that is known here.
        self.surely_open: Callable[[Job], bool] = lambda job: True
        self._peers = [peer.node_name for peer in settings.known]

    def _read_pause_s(self) -> float:
        """Peers tell when they write; reading without being told serves those that
        cannot, and authority, which does not outlast the last read by more than a term."""
        if self.book.live or self.book.waiting:
            return min(0.5, self.report_s / 2)
        return self.settings.term_s / 6

    def unique(self, bits: int) -> str:
        return f"{self._rng.getrandbits(bits):x}"

    def leading(self) -> Leader | None:
        """While we lead and have authority."""
        return self.leader if self.term.valid(trio.current_time()) else None

    def wrote(self, ledger: int, whom: Collection[str] | None = None) -> None:
        """We wrote: we read at once, and so should those whom it concerns (all, if
        nobody is named). The others find it with their next read."""
        self.syncer.poke()
        for name in self._peers if whom is None else whom:
            self.to_tell[name] = ledger
        self.tell.set()
        self.tell = trio.Event()

    def tell_leader(self, ledger: int) -> None:
        leader = self.book.leader
        self.wrote(ledger, None if leader is None else [leader.node])

    def tell_owners(self, ledger: int, parts: Iterable[int]) -> None:
        owners = [self.book.parts[part].node for part in parts if part in self.book.parts]
        self.wrote(ledger, set(owners))

    def wake(self) -> None:
        self.changed.set()
        self.changed = trio.Event()
