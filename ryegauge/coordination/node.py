"""One controller: the loops that bring what is towards what is wanted."""

import logging
import random
from collections.abc import Awaitable, Callable, Collection, Iterable

import msgspec
import trio

from ryegauge.bookkeeping.budget import IDLE, Budget
from ryegauge.bookkeeping.jobbook import (
    JobBook,
    Share,
    final_key,
    job_key,
    outcome_key,
    page_key,
    share_key,
    value_bytes,
)
from ryegauge.bookkeeping.state import (
    Conflict,
    Delete,
    Gone,
    Put,
    StateClient,
    Unavailable,
    Unknown,
)
from ryegauge.bookkeeping.syncer import Syncer
from ryegauge.config import Settings
from ryegauge.coordination import archive
from ryegauge.coordination.frontdoor import FrontDoor
from ryegauge.coordination.leader import Leader
from ryegauge.coordination.part import PartOwner, Pending
from ryegauge.coordination.parting import Parting
from ryegauge.coordination.terms import LEADER_KEY, Term, part_key
from ryegauge.protocol.cloud import (
    Catalog,
    ListedMachine,
    MachinePage,
    MachineType,
    Rented,
    parse,
)
from ryegauge.protocol.peers import (
    Hello,
    HelloAnswer,
    Message,
    PartOrders,
    PartView,
    Poke,
    Relay,
    RelayAnswer,
    Vow,
    VowAnswer,
    parse_message,
    to_wire,
)
from ryegauge.protocol.workers import Command, parse_report, report_reply
from ryegauge.scheduling.planner import Rental
from ryegauge.transport.http import (
    Caller,
    Handler,
    Malformed,
    Network,
    Reply,
    Unreachable,
    decode,
    split_address,
)

log = logging.getLogger(__name__)

# Jobs kept in the book, for each MB that a controller may use.
JOBS_PER_MB = 10

# Outcomes that nobody waits for are written after so many reports at the earliest: changes
# are scarce, each such write takes one from an allotment, and the later it comes the more
# tasks it holds. The room of tasks that have ended is known from the part's views.
IDLE_REPORTS = 2.0

# Between rounds the leader does nothing for so many times as long as one took.
ROUND_SHARE = 6.0

# Errors after which a write is tried again from the newest state of the book.
RETRY = (Conflict, Gone, Unavailable, Unknown)


class Node:
    def __init__(
        self, settings: Settings, network: Network, wall: Callable[[], float], rng: random.Random
    ) -> None:
        self._settings = settings
        self._network = network
        self._wall = wall
        self._rng = rng
        shared = settings.settings
        self._idle_s = 4 * shared.workers.lease_s
        self._state = StateClient(
            network.client(settings.outside.state, max_connections=16, idle_s=self._idle_s),
            settings.state_limits.rps,
            settings.state_limits.write_rps,
            shared.nodes,
        )
        self._cloud = network.client(
            settings.outside.cloud, max_connections=8, idle_s=self._idle_s
        )
        # Only the leader calls the cloud; a new one may follow an old one closely.
        self._cloud_budget = Budget(0.8 * shared.cloud.rps, shared.cloud.rps)
        self._peers = {
            peer.node_name: network.client(
                peer.peer_addr, max_connections=4, idle_s=self._idle_s
            )
            for peer in settings.known
        }
        self._parting = Parting(settings)
        self._report_s = shared.workers.report_s
        self.book = JobBook(wall)
        self._syncer = Syncer(
            self._state, self.book, idle_s=self._read_pause_s, timeout_s=1.0
        )
        self._term = Term(
            settings, self._state, self.book, self._syncer, lambda: self._unique(48)
        )
        self._state.use_relay(self._relay, patience_s=settings.term_s / 5)
        self._types: dict[str, MachineType] = {}
        self._front = FrontDoor(
            settings, self._state, self.book, self._syncer, lambda: self._types, self._wrote,
            self._tell_leader, wall,
        )
        self._owned: dict[int, PartOwner] = {}
        self._leader: Leader | None = None
        self._wrote_at: dict[int, float] = {}  # when a part's outcomes were last written
        self._seen = 0  # revision up to which everybody here has been woken
        self._releasing: set[str] = set()  # machines whose return is under way
        self._workers: dict[str, Caller] = {}
        self._placed = trio.Event()
        self._changed = trio.Event()  # something that owners or the leader should look at
        self._to_tell: dict[str, int] = {}  # revisions that the peers should read
        self._tell = trio.Event()
        self.book.on_job.append(self._on_job)
        self._syncer.on_sync.append(self._on_sync)

    async def run(self) -> None:
        loops: list[Callable[[], Awaitable[None]]] = [
            self._syncer.run,
            self._term.run,
            self._front.write_submissions,
            self._own_parts,
            self._push_commands,
            self._write_outcomes,
            self._report_parts,
            self._hand_over,
            self._greet,
            self._ask_vows,
            self._probe_state,
            self._tell_peers,
            self._lead,
            self._archive,
            self._watch_catalog,
            self._watch_fleet,
        ]
        log.info("%s is starting, one of %d", self._settings.node_name,
                 self._settings.settings.nodes)
        async with trio.open_nursery() as nursery:
            for loop in loops:
                nursery.start_soon(self._guarded, loop)
            nursery.start_soon(self._serve, self._settings.listen, self._handle_public, 0.8)
            nursery.start_soon(self._serve, self._settings.mesh_addr, self._handle_peer, 0.1)

    async def _serve(self, address: str, handler: Handler, share: float) -> None:
        sockets = self._settings.settings.quota.max_connections
        await self._network.serve(
            address,
            handler,
            max_connections=int(share * sockets),
            # Peers call less often than anybody; a pause must not look like a loss.
            idle_s=2 * self._idle_s,
            request_s=self._settings.settings.workers.lease_s / 2,
        )

    def _read_pause_s(self) -> float:
        """Peers tell when they write; reading without being told serves those that
        cannot, and authority, which does not outlast the last read by more than a term."""
        if self.book.live or self.book.waiting:
            return min(0.5, self._report_s / 2)
        return self._settings.term_s / 6

    def _unique(self, bits: int) -> str:
        return f"{self._rng.getrandbits(bits):x}"

    async def _guarded(self, loop: Callable[[], Awaitable[None]]) -> None:
        """A controller never ends by itself: a loop that fails begins again."""
        while True:
            try:
                await loop()
            except Exception:
                log.exception("a loop failed and begins again")
                await trio.sleep(self._report_s / 2)

    # -- what changes ------------------------------------------------------------------

    def _wrote(self, ledger: int, whom: Collection[str] | None = None) -> None:
        """We wrote: we read at once, and so should those whom it concerns (all, if
        nobody is named). The others find it with their next read."""
        self._syncer.poke()
        for name in self._peers if whom is None else whom:
            self._to_tell[name] = ledger
        self._tell.set()
        self._tell = trio.Event()

    def _tell_leader(self, ledger: int) -> None:
        leader = self.book.leader
        self._wrote(ledger, None if leader is None else [leader.node])

    def _tell_owners(self, ledger: int, parts: Iterable[int]) -> None:
        owners = [self.book.parts[part].node for part in parts if part in self.book.parts]
        self._wrote(ledger, set(owners))

    def _wake(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    def _on_job(self, uid: str) -> None:
        for owner in self._owned.values():
            owner.on_job(uid)

    def _on_sync(self) -> None:
        """The roles that the book gives us, under tokens not yet acted upon."""
        now = trio.current_time()
        if len(self._types) != len(self.book.types):
            self._types = {
                name: parse(record, MachineType) for name, record in self.book.types.items()
            }
        for part in range(self._settings.settings.nodes):
            token = self._term.token_of(part)
            owner = self._owned.get(part)
            if owner is not None and owner.token != token:
                log.info("part %d is no longer ours under token %d", part, owner.token)
                del self._owned[part]
                owner = None
            if owner is None and token is not None:
                log.info("owning part %d under token %d", part, token)
                self._owned[part] = PartOwner(
                    part, token, self.book, self._settings, lambda: self._types, now
                )
        token = self._term.leader_token
        live = len({*self.book.nodes, self._settings.node_name})
        self._state.share(live, token is not None)
        if self._leader is not None and self._leader.token != token:
            self._leader = None
        if self._leader is None and token is not None:
            log.info("leading under token %d", token)
            self._leader = Leader(token, self.book, self._settings, now)
        if self.book.ledger != self._seen:
            self._seen = self.book.ledger
            self._wake()

    async def _tell_peers(self) -> None:
        async with trio.open_nursery() as nursery:
            for name, client in self._peers.items():
                nursery.start_soon(self._tell_peer, name, client)

    async def _tell_peer(self, name: str, client: Caller) -> None:
        """One that does not answer must not keep the others waiting."""
        told = 0
        while True:
            while told == self._to_tell.get(name, 0):
                await self._tell.wait()
            told = self._to_tell[name]
            await self._send(client, to_wire(Poke(told)))

    async def _send(
        self, client: Caller, message: list[object], timeout_s: float = 0.0
    ) -> object:
        try:
            status, answer, _ = await client.request(
                "POST", "/peer", message, timeout_s=timeout_s or self._report_s / 2
            )
        except Unreachable:
            return None
        return answer if status == 200 else None

    async def _ask(self, client: Caller, message: Message, timeout_s: float = 0.0) -> object:
        answer = await self._send(client, to_wire(message), timeout_s)
        if answer is None:
            return None
        try:
            return parse_message(answer)
        except Malformed as error:
            log.warning("a peer's answer cannot be read: %s", error)
            return None

    # -- outages ---------------------------------------------------------------------------

    async def _greet(self) -> None:
        """Lets the peers know that this process remembers no vow."""
        hello = Hello(self._settings.node_name, self._term.incarnation)
        while self._term.unwelcomed:
            for name in list(self._term.unwelcomed):
                answer = await self._ask(self._peers[name], hello)
                if isinstance(answer, HelloAnswer):
                    self._term.welcomed_by(name)
            await trio.sleep(self._report_s / 5)
        await trio.sleep_forever()

    async def _ask_vows(self) -> None:
        while True:
            await trio.sleep(self._settings.term_s / 12)
            asked_at = trio.current_time()
            if not self._peers or not self._term.needs_vows(asked_at):
                continue
            voters: dict[str, str] = {}

            async def ask(
                name: str, client: Caller, voters: dict[str, str] = voters
            ) -> None:
                answer = await self._ask(client, self._vow())
                if isinstance(answer, VowAnswer):
                    self._cancelled_elsewhere(answer.cancelled)
                    if answer.given:
                        voters[name] = answer.incarnation

            async with trio.open_nursery() as nursery:
                for name, client in self._peers.items():
                    nursery.start_soon(ask, name, client)
            self._term.vowed(asked_at, voters, trio.current_time())

    def _recent_cancellations(self) -> list[str]:
        since = trio.current_time() - 2 * self._settings.settings.workers.cancel_s
        return [uid for at, uid in self._front.cancellations if at > since]

    def _vow(self) -> Vow:
        return Vow(
            self._settings.node_name, self._term.incarnation, self._recent_cancellations()
        )

    def _cancelled_elsewhere(self, uids: list[str]) -> None:
        for owner in self._owned.values():
            for uid in uids:
                owner.cancelled(uid)

    async def _probe_state(self) -> None:
        """While peers carry our requests, tries whether the service serves us again."""
        while True:
            await trio.sleep(self._settings.term_s / 5)
            if self._state.failing_since is not None:
                try:
                    await self._state.direct("POST", "/multi", {"if": [], "apply": []}, 1.0)
                except Unknown as error:
                    log.debug("the state service: %s", error)

    async def _relay(
        self, method: str, target: str, body: object, timeout_s: float
    ) -> tuple[int, object] | None:
        for client in self._peers.values():
            answer = await self._ask(client, Relay(method, target, body), timeout_s)
            if isinstance(answer, RelayAnswer):
                if answer.status:
                    return answer.status, answer.body
                # No answer reached the peer: it may have been executed.
                raise Unknown("no answer by way of a peer")
        return None

    async def _carry(self, message: Relay) -> Reply:
        """Sends a peer's request to the state service, if that serves us."""
        if self._state.failing_since is not None or not self._state.requests.try_take():
            return Reply(503, ["cannot"])
        try:
            status, answer = await self._state.direct(
                message.method, message.target, message.body, 1.0
            )
        except Unknown:
            return Reply(200, to_wire(RelayAnswer(0, None)))
        if status == 503:
            return Reply(503, ["cannot"])
        return Reply(200, to_wire(RelayAnswer(status, answer)))

    # -- parts -----------------------------------------------------------------------------

    async def _own_parts(self) -> None:
        while True:
            busy = any(owner.machines or owner.tasks for owner in self._owned.values())
            with trio.move_on_after(0.25 if busy else self._report_s / 2):
                await self._changed.wait()
            now = trio.current_time()
            if not self._term.valid(now):
                await trio.sleep(0.05)
                continue
            for owner in self._owned.values():
                owner.tick(now, self._wall())
            self._placed.set()
            await trio.sleep(0.04)

    async def _push_commands(self) -> None:
        """Sends starts straight to the workers instead of waiting for their reports."""
        async with trio.open_nursery() as nursery:
            while True:
                await self._placed.wait()
                self._placed = trio.Event()
                now = trio.current_time()
                if not self._term.valid(now):
                    continue
                for owner in list(self._owned.values()):
                    for name, address, session, commands in owner.to_push(now):
                        nursery.start_soon(self._push, owner, name, address, session, commands)

    async def _push(
        self, owner: PartOwner, name: str, address: str, session: int, commands: list[Command]
    ) -> None:
        body = report_reply(owner.token, commands)
        body["shift"] = session
        try:
            client = self._worker_client(address)
            status, answer, _ = await client.request(
                "POST", "/commands", body, timeout_s=self._report_s
            )
            if status not in (200, 409):
                return
            report = parse_report(answer)
        except (Unreachable, Malformed, ValueError) as error:
            log.debug("%s: commands without an answer: %s", name, error)
            return
        if self._owned.get(owner.part) is owner:
            owner.pushed(name, session, commands)
            if report.token <= owner.token:
                owner.on_report(report, trio.current_time(), checkin=False)

    def _worker_client(self, address: str) -> Caller:
        client = self._workers.pop(address, None)
        if client is None:
            split_address(address)  # raises ValueError for what is none
            client = self._network.client(address, max_connections=2, idle_s=self._idle_s)
        self._workers[address] = client  # the latest used is last
        if len(self._workers) > self._settings.settings.quota.max_connections // 8:
            self._workers.pop(next(iter(self._workers))).close()
        return client

    async def _write_outcomes(self) -> None:
        """Brings the shares in the book to what the owners have seen."""
        while True:
            await trio.sleep(0.1)
            if not any(owner.leaving for owner in self._owned.values()):
                with trio.move_on_after(self._report_s / 2):
                    await self._changed.wait()
            for part, owner in list(self._owned.items()):
                await self._write_pending(part, owner)

    async def _write_pending(self, part: int, owner: PartOwner) -> None:
        """One transaction, of what others wait for, and as far as the budget is not
        needed otherwise, of the rest: a job's tasks end one by one, and a write for
        each is more than the service takes."""
        pending = owner.pending()
        if not pending:
            return
        writes = self._state.writes
        now = trio.current_time()
        if (bulky := next((entry for entry in pending if entry.pages), None)) is not None:
            await self._seal(part, owner, bulky)
            return
        limits = self._settings.state_limits
        urgent = sum(entry.waited_for for entry in pending)
        if not urgent and now < self._wrote_at.get(part, 0.0) + IDLE_REPORTS * self._report_s:
            return
        self._wrote_at[part] = now
        count = max(min(urgent, max(1, int(writes.available()))), int(writes.available(IDLE)))
        count = min(count, len(pending), limits.txn_ops)
        if count <= 0:
            return
        guards = {part_key(part): owner.token}
        changes: list[Put | Delete] = []
        for _, _, uid, share, _ in pending:
            record = share.to_record()
            # One that was recorded when larger values were allowed waits until enough of
            # its tasks have ended.
            if value_bytes(record) <= limits.value_bytes:
                guards[share_key(uid, part)] = share.version
                changes.append(Put(share_key(uid, part), record))
            if len(changes) == count:
                break
        if not changes:
            return
        try:
            self._tell_leader(await self._state.commit(guards, changes, timeout_s=1.0))
        except RETRY as error:
            log.debug("recording outcomes of part %d failed: %s", part, error)
        try:
            await self._syncer.fresh()
        except Unavailable as error:
            log.debug("reading after outcomes of part %d: %s", part, error)

    async def _seal(self, part: int, owner: PartOwner, entry: Pending) -> None:
        """Copies done tasks of a share that has grown too large to records of their own;
        once they stand there, the next write of the share leaves them out."""
        job = self.book.jobs.get(entry.uid)
        if job is None:
            return
        number = 1 + max((n for p, n in job.sealed if p == part), default=-1)
        guards = {part_key(part): owner.token}
        changes: list[Put | Delete] = []
        for page in entry.pages[: self._settings.state_limits.txn_ops]:
            key = page_key(entry.uid, part, number + len(changes))
            guards[key] = 0
            changes.append(Put(key, {"d": page.flat()}))
        try:
            await self._state.commit(guards, changes, timeout_s=1.0)
        except RETRY as error:
            log.debug("sealing %s of part %d failed: %s", entry.uid, part, error)
        try:
            await self._syncer.fresh()
        except Unavailable as error:
            log.debug("reading after sealing: %s", error)

    async def _report_parts(self) -> None:
        """Shows the leader our parts and takes its orders."""
        while True:
            leader = self.book.leader
            for owner in list(self._owned.values()):
                now = trio.current_time()
                if leader is None or not self._term.valid(now):
                    continue
                view = owner.view(self._settings.node_name, leader.token, now)
                orders: object = None
                if leader.node == self._settings.node_name:
                    if self._leader is not None:
                        orders = self._leader.on_view(view, now)
                elif (client := self._peers.get(leader.node)) is not None:
                    orders = await self._ask(client, view)
                if isinstance(orders, PartOrders):
                    owner.shown(view.seq, orders.resync)
                    owner.gone(orders.gone)
                    owner.retire(orders.retire)
                    for machine, uid, count in orders.evict:
                        owner.evict(machine, uid, count)
            # Well within what the leader takes for a part out of sight.
            with trio.move_on_after(self._report_s / 2):
                await self._changed.wait()
            await trio.sleep(self._report_s / 8)

    async def _hand_over(self) -> None:
        while True:
            await trio.sleep(self._report_s)
            for part, token in self._term.surplus():
                owner = self._owned.get(part)
                if owner is None or owner.leaving:
                    continue  # what is over is written first
                log.info("handing part %d over", part)
                del self._owned[part]
                try:
                    await self._term.give_back(part, token)
                except RETRY as error:
                    log.info("handing part %d over: %s", part, error)

    async def _handle_worker(self, body: bytes) -> Reply:
        report = parse_report(decode(body))
        now = trio.current_time()
        part = self._parting.part_of(report.machine, report.zone)
        owner = self._owned.get(part)
        if owner is None:
            other = self.book.parts.get(part)
            if other is not None and other.node != self._settings.node_name:
                return Reply(421, {"foreman": other.node})
            return Reply(421, {})
        if not self._term.valid(now):
            return Reply(503, {"error": "no authority"})
        if report.token > owner.token:
            # Somebody else has taken the part over: nothing of ours counts there.
            self._syncer.poke()
            return Reply(421, {})
        before = owner.revision
        commands = owner.on_report(report, now)
        if owner.revision != before:
            self._wake()
        return Reply(200, report_reply(owner.token, commands))

    # -- leading ---------------------------------------------------------------------------

    async def _lead(self) -> None:
        async with trio.open_nursery() as nursery:
            while True:
                with trio.move_on_after(0.5):
                    await self._changed.wait()
                # Reports and writes come in flocks; one round serves them all.
                await trio.sleep(0.05)
                leader = self._leader
                now = trio.current_time()
                if leader is None or not self._term.valid(now):
                    continue
                wanted = leader.round(now, self._wall())
                took_s = trio.current_time() - now
                # Calls to the cloud take a while, and time out when it is away: rounds
                # go on meanwhile, and count what is under way.
                releases = [name for name in wanted.releases if name not in self._releasing]
                if releases:
                    self._releasing.update(releases)
                    nursery.start_soon(self._release, leader, releases)
                for rental in wanted.rentals:
                    self._start_rental(nursery, leader, rental, now)
                await self._allot(leader, wanted.allotments)
                # Check-ins and renewals come first: rounds take a part of the time.
                await trio.sleep(min(ROUND_SHARE * took_s, self._report_s))

    def _start_rental(
        self, nursery: trio.Nursery, leader: Leader, rental: Rental, now: float
    ) -> None:
        """In calls of at most fifty, within the cloud's rate; the rest comes next round."""
        left = rental.count
        while left > 0 and self._cloud_budget.try_take():
            some = Rental(rental.type, rental.zone, rental.spot, min(left, 50))
            left -= some.count
            leader.renting(some, now)
            nursery.start_soon(self._rent, leader, some)

    async def _allot(self, leader: Leader, allotments: dict[tuple[str, int], Share]) -> None:
        """Writes as many as the budget has now, in order of precedence; what is left is
        decided anew, since more urgent work may have come by then."""
        limit = self._settings.state_limits.txn_ops
        todo = list(allotments.items())
        written, leader.backlog = 0, False
        while todo:
            count = max(1, min(limit, int(self._state.writes.available())))
            batch, todo = todo[:count], todo[count:]
            guards = {LEADER_KEY: leader.token}
            changes: list[Put | Delete] = []
            for (uid, part), share in batch:
                job = self.book.jobs.get(uid)
                if job is None or job.over or not job.ready:
                    continue
                guards[job_key(uid)] = job.version
                guards[share_key(uid, part)] = share.version
                changes.append(Put(share_key(uid, part), share.to_record()))
            if not changes:
                continue
            try:
                ledger = await self._state.commit(guards, changes, timeout_s=1.0)
                self._tell_owners(ledger, {part for (_, part), _ in batch})
                written += len(changes)
            except Unknown:
                # It may still be executed. A new version of the leader's own record
                # makes sure that it is not executed after the next read.
                log.info("an allotment's outcome is unknown: fencing it off")
                await self._refence(leader)
                return
            except RETRY as error:
                log.info("allotting %d shares failed: %s", len(changes), error)
                todo = []
            if self._state.writes.available() < 1.0:
                todo = []
            # What is left says how scarce changes are, whatever the next round decides.
            leader.backlog = len(allotments) - written > limit
            try:
                await self._syncer.fresh()
            except Unavailable:
                return

    async def _archive(self) -> None:
        """Keeps the book as small as wanted, and looks up what it lacks."""
        shared = self._settings.settings
        limit = int(JOBS_PER_MB * shared.quota.memory_mb)
        ops = self._settings.state_limits.txn_ops
        while True:
            await trio.sleep(self._report_s)
            leader = self._leader
            if leader is None or not self._term.valid(trio.current_time()):
                continue
            try:
                await self._look_up(leader)
                for job in archive.to_move_out(self.book, limit):
                    # In a book that has moved on, another may need it by now.
                    if job.spec.uid not in self.book.dependents:
                        guards, changes = archive.move_out(job, shared.nodes)
                        await self._clear(leader, guards, changes)
                while changes := archive.to_clear(self.book, ops):
                    await self._clear(leader, {}, changes)
            except RETRY as error:
                log.debug("archiving failed: %s", error)

    async def _clear(
        self, leader: Leader, guards: dict[str, int], changes: list[Put | Delete]
    ) -> None:
        guards[LEADER_KEY] = leader.token
        self._wrote(await self._state.commit(guards, changes, timeout_s=1.0))
        await self._syncer.fresh()

    async def _look_up(self, leader: Leader) -> None:
        """A job may be recorded, late, after one that it needs has left the book: the
        outcome of that one comes back, for those that read the book alone."""
        for uid in sorted(self.book.lost):
            found = await self._state.get(final_key(uid), timeout_s=1.0)
            if found is not None:
                change = Put(outcome_key(uid), {"st": found[0]["st"]})
                await self._clear(leader, {outcome_key(uid): 0}, [change])

    async def _refence(self, leader: Leader) -> None:
        while self._leader is leader:
            try:
                await self._term.renew_leader(leader.token)
                await self._syncer.fresh()
                return
            except RETRY:
                await trio.sleep(self._report_s / 5)
                self._syncer.poke()

    async def _rent(self, leader: Leader, rental: Rental) -> None:
        body = {
            # Never used again, by us or another: a fresh random name.
            "hire": f"{self._settings.node_name}-{self._unique(64)}",
            "build": rental.type,
            "district": rental.zone,
            "loaners": rental.spot,
            "count": rental.count,
        }
        try:
            status, answer, _ = await self._cloud.request(
                "POST", "/hosts", body, timeout_s=self._cloud_timeout_s
            )
        except Unreachable as error:
            log.info("renting %s: outcome unknown: %s", rental, error)
            return  # counted on until it shows in the list or surely does not
        now = trio.current_time()
        if status == 200:
            names = parse(answer, Rented).machines
            log.info("rented %d of %s", len(names), rental)
            leader.rented(rental, names, now)
        elif status == 503 and isinstance(answer, dict) and answer.get("error") == "no capacity":
            leader.refused(rental, now, settle=True)
        else:
            log.info("renting %s: status %d", rental, status)
            leader.not_executed(rental)

    async def _release(self, leader: Leader, names: list[str]) -> None:
        try:
            await self._cloud_budget.take()
            status, _, _ = await self._cloud.request(
                "POST", "/hosts/release", {"hosts": names}, timeout_s=self._cloud_timeout_s
            )
        except Unreachable as error:
            log.info("releasing %s: outcome unknown: %s", names, error)
            return
        finally:
            self._releasing.difference_update(names)
        if status == 200:
            log.info("released %s", ", ".join(names))
            leader.released(names, trio.current_time())
        else:
            log.info("releasing %s: status %d", names, status)

    @property
    def _cloud_timeout_s(self) -> float:
        return max(3.0, self._settings.settings.workers.lease_s / 4)

    async def _watch_catalog(self) -> None:
        """Prices for the leader; the types themselves for all, through the book."""
        while True:
            pause = self._report_s / 10
            if self._leader is not None and self._term.valid(trio.current_time()):
                try:
                    await self._cloud_budget.take()
                    status, answer, _ = await self._cloud.request(
                        "GET", "/catalog", timeout_s=self._cloud_timeout_s
                    )
                    if status == 200:
                        types = {t.name: t for t in parse(answer, Catalog).types}
                        if self._leader is not None:
                            self._leader.types = types
                        await self._publish_types(types)
                        pause = 2 * self._settings.settings.workers.lease_s
                except (Unreachable, Malformed, *RETRY) as error:
                    log.info("reading the catalogue failed: %s", error)
                    pause = self._report_s
            await trio.sleep(pause)

    async def _publish_types(self, types: dict[str, MachineType]) -> None:
        """Written when types appear: prices move, but what fits where does not."""
        limits = self._settings.state_limits
        changes: list[Put | Delete] = []
        for name in sorted(types.keys() - self.book.types.keys()):
            # What else the cloud says of a type may be more than a value holds.
            record = msgspec.to_builtins(types[name])
            if value_bytes(record) <= limits.value_bytes:
                changes.append(Put(f"r/c/{name}", record))
            else:
                log.error("machine type %s: its description is too long", name)
        for first in range(0, len(changes), limits.txn_ops):
            some = changes[first : first + limits.txn_ops]
            self._wrote(await self._state.commit({}, some, timeout_s=1.0))

    async def _watch_fleet(self) -> None:
        while True:
            await trio.sleep(max(1.0, self._settings.settings.cloud.list_lag_s / 4))
            leader = self._leader
            if leader is None or not self._term.valid(trio.current_time()):
                continue
            try:
                machines = await self._list_machines()
            except (Unreachable, Malformed) as error:
                log.debug("listing machines failed: %s", error)
                continue
            if machines is not None:
                leader.on_list(machines, trio.current_time())

    async def _list_machines(self) -> list[ListedMachine] | None:
        machines: list[ListedMachine] = []
        target = "/hosts?page=500"
        while True:
            await self._cloud_budget.take()
            status, answer, _ = await self._cloud.request(
                "GET", target, timeout_s=self._cloud_timeout_s
            )
            if status != 200:
                return None
            page = parse(answer, MachinePage)
            machines += page.machines
            if not page.more or not page.machines:
                return machines
            target = f"/hosts?since={page.machines[-1].name}&page=500"

    # -- servers -----------------------------------------------------------------------------

    async def _handle_public(self, method: str, target: str, body: bytes) -> Reply:
        if method == "POST" and target == "/checkin":
            return await self._handle_worker(body)
        if target == "/healthz":
            if not self._syncer.ready.is_set():
                return Reply(503, {"error": "starting"}, 1.0)
            return Reply(200, {"status": "ok"})
        if not self._syncer.ready.is_set():
            return Reply(503, {"error": "starting"}, 1.0)
        return await self._front.handle(method, target, body)

    async def _handle_peer(self, method: str, target: str, body: bytes) -> Reply:
        if (method, target) != ("POST", "/peer"):
            return Reply(404, {"error": "no such path"})
        message = parse_message(decode(body))
        match message:
            case Poke(ledger=ledger):
                if ledger > self.book.ledger:
                    self._syncer.poke()
                return Reply(200, ["ok"])
            case PartView(ledger=ledger):
                if ledger > self.book.ledger:
                    self._syncer.poke()
                leader = self._leader
                if leader is None:
                    return Reply(503, ["not leading"])
                orders = leader.on_view(message, trio.current_time())
                if message.machines or message.gone:
                    self._wake()
                return Reply(200, to_wire(orders))
            case Vow(node=node, incarnation=incarnation, cancelled=cancelled):
                given = self._term.give_vow(node, incarnation, trio.current_time())
                self._cancelled_elsewhere(cancelled)
                answer = VowAnswer(
                    given, self._term.incarnation, self._recent_cancellations()
                )
                return Reply(200, to_wire(answer))
            case Hello(node=node, incarnation=incarnation):
                self._term.welcome(node, incarnation)
                return Reply(200, to_wire(HelloAnswer(self._settings.node_name)))
            case Relay():
                return await self._carry(message)
        return Reply(400, ["unexpected"])
