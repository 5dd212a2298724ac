"""Messages between controllers: hints, views, lease extensions during outages of the state
service, and requests relayed to it. Safety rests on none of them but the lease extensions."""

import logging
from collections.abc import Awaitable, Callable, Sequence

import trio

from ryegauge.bookkeeping.ahead import Ahead
from ryegauge.bookkeeping.state import Unknown
from ryegauge.coordination.desk import Desk
from ryegauge.coordination.frontdoor import FrontDoor
from ryegauge.coordination.sockets import PER_PEER
from ryegauge.detection.reach import Reach
from ryegauge.protocol.peers import (
    Audit,
    AuditAnswer,
    Elsewhere,
    Hello,
    HelloAnswer,
    Message,
    PartView,
    Poke,
    Probe,
    ProbeAnswer,
    Promise,
    PromiseAnswer,
    Relay,
    RelayAnswer,
    parse_message,
    to_wire,
)
from ryegauge.transport.http import (
    Malformed,
    NoAnswer,
    Refused,
    Reply,
    Reset,
    Unreachable,
    decode,
)

log = logging.getLogger(__name__)

# Most bytes of cancelled jobs' names in one message, well below the limit of a body. A
# controller that knows more grants no lease extension, since the requester would miss some.
NAMED_BYTES = 24 * 1024


class Mesh:
    """Sends messages to all peers and answers theirs."""

    def __init__(self, desk: Desk, front: FrontDoor) -> None:
        self._desk = desk
        self._ahead = Ahead(desk.book)
        front.on_cancelled = lambda uid: self._cancelled([uid])
        desk.syncer.on_sync.append(lambda: self._ahead.read(desk.syncer.began_at))
        self.peers = {
            peer.node_name: desk.network.client(
                peer.peer_addr, max_connections=PER_PEER, idle_s=desk.idle_s
            )
            for peer in desk.settings.known
        }
        # A peer that hangs is tried again once in half a lease duration.
        self.reach = Reach(desk.settings.term_s / 2)
        # Probes workers at the given addresses on a peer's behalf; returns an outcome for each.
        self.on_probe: Callable[[Sequence[str]], Awaitable[list[str]]] | None = None
        # Checks whether all that we know is still in the state service; None: it cannot tell.
        self.on_audit: Callable[[], Awaitable[bool | None]] | None = None
        self.lived: Callable[[], bool] = lambda: False
        # Peer -> its answer to our hello.
        self.welcomes: dict[str, HelloAnswer] = {}
        desk.state.use_relay(self._relay, patience_s=desk.settings.term_s / 5)

    async def tell_peers(self) -> None:
        """Tells each peer of revisions that it should read, until cancelled."""
        async with trio.open_nursery() as nursery:
            for name in self.peers:
                nursery.start_soon(self._tell_peer, name)

    async def _tell_peer(self, name: str) -> None:
        """The loop for one peer, separate so that a peer without answers delays no other."""
        told = 0
        while True:
            while told == self._desk.to_tell.get(name, 0):
                await self._desk.tell.wait()
            told = self._desk.to_tell[name]
            await self._send(name, to_wire(Poke(told)))

    async def _send(self, name: str, message: list[object], timeout_s: float = 0.0) -> object:
        """As `_call`, but None if there is no answer. A timeout of 0 means half a report."""
        try:
            return await self._call(name, message, timeout_s or self._desk.report_s / 2)
        except Unreachable:
            return None

    async def _call(self, name: str, message: list[object], timeout_s: float) -> object:
        """The body of a 200, None for any other answer. Raises Unreachable."""
        try:
            status, answer, _ = await self.peers[name].request(
                "POST", "/peer", message, timeout_s=timeout_s
            )
        except (Refused, Reset):
            self.reach.answered(name)  # it does not hang: it refused at once
            raise
        except Unreachable:
            self.reach.missed(name, trio.current_time())
            raise
        self.reach.answered(name)
        return answer if status == 200 else None

    async def tell(self, name: str, message: Message) -> None:
        """Sends a hint, whose arrival does not matter."""
        await self._send(name, to_wire(message))

    async def ask(self, name: str, message: Message, timeout_s: float = 0.0) -> object:
        """The peer's answer as a message, or None. A timeout of 0 means half a report."""
        return self._parsed(await self._send(name, to_wire(message), timeout_s))

    def _parsed(self, answer: object) -> object:
        if answer is None:
            return None
        try:
            return parse_message(answer)
        except Malformed as error:
            log.warning("malformed answer of a peer: %s", error)
            return None

    # -- outages ---------------------------------------------------------------------------

    async def greet(self) -> None:
        """Sends a hello to all peers until each has answered, since this process remembers no
        lease extension that its predecessor granted."""
        hello = Hello(self._desk.settings.node_name, self._desk.term.incarnation)
        while self._desk.term.unwelcomed:
            for name in list(self._desk.term.unwelcomed):
                answer = await self.ask(name, hello)
                if isinstance(answer, HelloAnswer):
                    self.welcomes[name] = answer
                    self._desk.term.welcomed_by(name)
            await trio.sleep(self._desk.report_s / 5)
        await trio.sleep_forever()

    async def ask_promises(self) -> None:
        """Requests lease extensions from all peers when authority needs them, until cancelled."""
        while True:
            await trio.sleep(self._desk.settings.term_s / 12)
            asked_at = trio.current_time()
            if not self.peers or not self._desk.term.needs_promises(asked_at):
                continue
            voters: dict[str, str] = {}

            async def ask(name: str, voters: dict[str, str] = voters) -> None:
                answer = await self.ask(name, self._promise())
                if isinstance(answer, PromiseAnswer):
                    self._cancelled(answer.cancelled)
                    if answer.given and answer.whole:
                        voters[name] = answer.incarnation

            async with trio.open_nursery() as nursery:
                for name in self.peers:
                    nursery.start_soon(ask, name)
            # Authority is extended only after all cancellations in the answers are taken in. An
            # answer that comes after its round does not count; the next round asks again.
            self._desk.term.promised(asked_at, voters, trio.current_time())

    def _promise(self) -> Promise:
        cancelled, _ = self._names(self._desk.book.ledger)
        return Promise(
            self._desk.settings.node_name,
            self._desk.term.incarnation,
            cancelled,
            self._desk.book.ledger,
        )

    def _give_promise(self, message: Promise) -> PromiseAnswer:
        """Answers with every cancellation that a user of ours may have been told of and that the
        requester's replica may not show. A process that has just started either has read what its
        predecessor confirmed, or grants no extension. A commit of ours without an answer has not
        been confirmed to any user; a controller whose replica shows it reports it."""
        given = self._desk.term.give_promise(message.node, message.incarnation, trio.current_time())
        self._cancelled(message.cancelled)
        cancelled, whole = self._names(message.ledger)
        return PromiseAnswer(
            given and whole,
            self._desk.term.incarnation,
            cancelled,
            whole and self._desk.syncer.ready.is_set(),
        )

    def _names(self, ledger: int) -> tuple[list[str], bool]:
        """Cancellations that a replica at the revision may lack, and whether these are all."""
        names = self._ahead.beyond(ledger)
        size, most = 0, len(names)
        for n, uid in enumerate(names):
            size += len(uid) + 4
            if size > NAMED_BYTES:
                most = n
                break
        return names[:most], most == len(names)

    def _cancelled(self, uids: list[str]) -> None:
        """Takes in cancellations confirmed here or by a peer that the replica may not show yet,
        so that our shards stop the jobs at once."""
        for uid in self._ahead.learn(uids, trio.current_time()):
            for owner in self._desk.owned.values():
                owner.on_job(uid)

    async def probe_state(self) -> None:
        """While the state service does not serve us, tries it regularly, until cancelled. The
        requests that peers relay would not show that it serves us again."""
        while True:
            await trio.sleep(self._desk.settings.term_s / 5)
            if self._desk.state.failing_since is not None:
                try:
                    await self._desk.state.direct("POST", "/multi", {"if": [], "apply": []}, 1.0)
                except Unknown as error:
                    log.debug("the state service is still not reachable: %s", error)

    async def _relay(
        self, method: str, target: str, body: object, timeout_s: float
    ) -> tuple[int, object] | None:
        """Sends a request through the peers in turn, those that hang last, until one answers.
        Returns None if none could send it.

        Changes that may have reached the service are not sent through a second peer: if they
        were executed already, they would be refused as a conflict and count as not made. A
        leader that took an assignment for not made could then assign the tasks to another shard,
        and the same task would run in two places."""
        changes = isinstance(body, dict) and bool(body.get("apply"))
        message = to_wire(Relay(method, target, body))
        for name in self.reach.order(self.peers, trio.current_time()):
            try:
                answer = self._parsed(await self._call(name, message, timeout_s))
            except (NoAnswer, Reset) as error:
                if changes:
                    raise Unknown(f"{name} may have carried it: {error}") from None
                continue
            except Unreachable:
                continue
            if isinstance(answer, RelayAnswer):
                if answer.status:
                    return answer.status, answer.body
                # The peer got no answer, so the request may have been executed.
                raise Unknown(f"{name} relayed it and got no answer")
        return None

    async def _carry(self, message: Relay) -> Reply:
        """Relays a peer's request to the state service if that serves us; 503 if not."""
        if self._desk.state.failing_since is not None or not self._desk.state.requests.try_take():
            return Reply(503, ["cannot"])
        try:
            status, answer = await self._desk.state.direct(
                message.method, message.target, message.body, 1.0
            )
        except Unknown:
            return Reply(200, to_wire(RelayAnswer(0, None)))
        if status == 503:
            return Reply(503, ["cannot"])
        return Reply(200, to_wire(RelayAnswer(status, answer)))

    async def handle(self, method: str, target: str, body: bytes) -> Reply:
        """Answers one request of a peer. Raises Malformed if it is not a message."""
        if (method, target) != ("POST", "/peer"):
            return Reply(404, {"error": "no such path"})
        message = parse_message(decode(body))
        match message:
            case Poke(ledger=ledger):
                if ledger > self._desk.book.ledger:
                    self._desk.syncer.poke()
                return Reply(200, ["ok"])
            case PartView(ledger=ledger):
                if ledger > self._desk.book.ledger:
                    self._desk.syncer.poke()
                # A controller that was suspended may lead only by its outdated replica: without
                # valid authority it issues no orders.
                leader = self._desk.leading()
                if leader is None:
                    return Reply(503, ["not leading"])
                orders = leader.on_view(message, trio.current_time())
                if message.machines or message.gone:
                    self._desk.wake()
                return Reply(200, to_wire(orders))
            case Promise():
                return Reply(200, to_wire(self._give_promise(message)))
            case Hello(node=node, incarnation=incarnation):
                self._desk.term.welcome(node, incarnation)
                return Reply(200, to_wire(HelloAnswer(self._desk.settings.node_name, self.lived())))
            case Audit() if self.on_audit is not None:
                if (good := await self.on_audit()) is None:
                    return Reply(503, ["cannot"])
                return Reply(200, to_wire(AuditAnswer(self._desk.settings.node_name, good)))
            case Relay():
                return await self._carry(message)
            case Elsewhere(machines=machines):
                now = trio.current_time()
                for name, part, ago_s in machines:
                    if (owner := self._desk.owned.get(part)) is not None:
                        owner.heard_elsewhere(name, now - ago_s)
                return Reply(200, ["ok"])
            case Probe(addresses=addresses) if self.on_probe is not None:
                outcomes = await self.on_probe(addresses)
                return Reply(200, to_wire(ProbeAnswer(self._desk.settings.node_name, outcomes)))
        return Reply(400, ["unexpected"])
