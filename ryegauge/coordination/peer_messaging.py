"""The controllers among themselves: what they tell and ask each other, promises during outages
of the state service, and requests to it by way of a peer. Hints and views only, but for
the promises (`terms`)."""

import logging
from collections.abc import Awaitable, Callable, Sequence

import trio

from ryegauge.bookkeeping.state import OutcomeUnknown
from ryegauge.bookkeeping.unsynced_cancellations import UnsyncedCancellations
from ryegauge.coordination.connection_limits import MAX_CONNECTIONS_PER_PEER
from ryegauge.coordination.job_api import JobApi
from ryegauge.coordination.node_context import NodeContext
from ryegauge.detection.peer_reachability import PeerReachability
from ryegauge.protocol.peers import (
    AuditAnswer,
    AuditRequest,
    ChangeNotice,
    ForeignReportNotice,
    Hello,
    HelloAnswer,
    LeaseExtensionAnswer,
    LeaseExtensionRequest,
    Message,
    ProbeAnswer,
    ProbeRequest,
    RelayAnswer,
    RelayRequest,
    ShardView,
    parse_message,
    to_wire,
)
from ryegauge.transport.http import (
    ConnectionRefused,
    ConnectionReset,
    Malformed,
    Reply,
    ResponseTimeout,
    Unreachable,
    decode,
)

log = logging.getLogger(__name__)

# Names of cancelled jobs in one message: well below what a body may have. Whoever knows more
# cannot promise, since the asker would miss some.
NAMED_BYTES = 24 * 1024


class PeerMessenger:
    def __init__(self, context: NodeContext, front: JobApi) -> None:
        self._context = context
        self._unsynced = UnsyncedCancellations(context.replica)
        front.on_cancelled = lambda uid: self._cancelled([uid])
        context.syncer.on_sync.append(lambda: self._unsynced.read(context.syncer.last_read_sent_at))
        self.peers = {
            peer.node_name: context.network.client(
                peer.peer_addr, max_connections=MAX_CONNECTIONS_PER_PEER, idle_s=context.idle_s
            )
            for peer in context.settings.known
        }
        # One that hangs is asked again now and then: a term is soon enough to use it.
        self.reachability = PeerReachability(context.settings.controller_lease_s / 2)
        # Asks workers on a peer's behalf.
        self.on_probe: Callable[[Sequence[str]], Awaitable[list[str]]] | None = None
        # Whether all that we know still stands in the state service; None: cannot tell.
        self.on_audit: Callable[[], Awaitable[bool | None]] | None = None
        self.can_vouch: Callable[[], bool] = lambda: False
        # What the peers said to our greeting, by their names.
        self.hello_answers: dict[str, HelloAnswer] = {}
        context.state.use_relay(self._relay, patience_s=context.settings.controller_lease_s / 5)

    async def announce_to_peers(self) -> None:
        async with trio.open_nursery() as nursery:
            for name in self.peers:
                nursery.start_soon(self._tell_peer, name)

    async def _tell_peer(self, name: str) -> None:
        """One that does not answer must not keep the others waiting."""
        told = 0
        while True:
            while told == self._context.announced_revisions.get(name, 0):
                await self._context.tell.wait()
            told = self._context.announced_revisions[name]
            await self._send(name, to_wire(ChangeNotice(told)))

    async def _send(self, name: str, message: list[object], timeout_s: float = 0.0) -> object:
        try:
            return await self._call(name, message, timeout_s or self._context.report_s / 2)
        except Unreachable:
            return None

    async def _call(self, name: str, message: list[object], timeout_s: float) -> object:
        """The body of a 200, None for any other answer. Raises Unreachable."""
        try:
            status, answer, _ = await self.peers[name].request(
                "POST", "/peer", message, timeout_s=timeout_s
            )
        except (ConnectionRefused, ConnectionReset):
            self.reachability.on_answer(name)  # at once: nobody waits for it
            raise
        except Unreachable:
            self.reachability.on_timeout(name, trio.current_time())
            raise
        self.reachability.on_answer(name)
        return answer if status == 200 else None

    async def tell(self, name: str, message: Message) -> None:
        """A hint: whether it arrives does not matter."""
        await self._send(name, to_wire(message))

    async def ask(self, name: str, message: Message, timeout_s: float = 0.0) -> object:
        return self._parsed(await self._send(name, to_wire(message), timeout_s))

    def _parsed(self, answer: object) -> object:
        if answer is None:
            return None
        try:
            return parse_message(answer)
        except Malformed as error:
            log.warning("a peer's answer cannot be read: %s", error)
            return None

    # -- outages ---------------------------------------------------------------------------

    async def send_hellos(self) -> None:
        """Lets the peers know that this process remembers no promise."""
        hello = Hello(self._context.settings.node_name, self._context.controller_lease.incarnation)
        while self._context.controller_lease.unacknowledged_peers:
            for name in list(self._context.controller_lease.unacknowledged_peers):
                answer = await self.ask(name, hello)
                if isinstance(answer, HelloAnswer):
                    self.hello_answers[name] = answer
                    self._context.controller_lease.on_hello_answer(name)
            await trio.sleep(self._context.report_s / 5)
        await trio.sleep_forever()

    async def request_lease_extensions(self) -> None:
        while True:
            await trio.sleep(self._context.settings.controller_lease_s / 12)
            asked_at = trio.current_time()
            if not self.peers or not self._context.controller_lease.needs_lease_extensions(
                asked_at
            ):
                continue
            voters: dict[str, str] = {}

            async def ask(name: str, voters: dict[str, str] = voters) -> None:
                answer = await self.ask(name, self._promise())
                if isinstance(answer, LeaseExtensionAnswer):
                    self._cancelled(answer.cancelled)
                    if answer.granted and answer.complete:
                        voters[name] = answer.incarnation

            async with trio.open_nursery() as nursery:
                for name in self.peers:
                    nursery.start_soon(ask, name)
            # Authority is prolonged only once all that the answers named is taken in. An answer
            # that comes after its round does not count, and is given again in the next one.
            self._context.controller_lease.on_extensions_granted(
                asked_at, voters, trio.current_time()
            )

    def _promise(self) -> LeaseExtensionRequest:
        cancelled, _ = self._names(self._context.replica.state_revision)
        return LeaseExtensionRequest(
            self._context.settings.node_name,
            self._context.controller_lease.incarnation,
            cancelled,
            self._context.replica.state_revision,
        )

    def _grant_extension(self, message: LeaseExtensionRequest) -> LeaseExtensionAnswer:
        """Names every cancellation that a user of ours may have been told and that the asker's
        book may not show. A process that has just started has read what its predecessor had
        confirmed, or gives no promise. A write of ours without an answer has told nobody anything;
        whoever finds it carried out names it, since its book shows it then."""
        granted = self._context.controller_lease.grant_extension(
            message.node, message.incarnation, trio.current_time()
        )
        self._cancelled(message.cancelled)
        cancelled, complete = self._names(message.state_revision)
        return LeaseExtensionAnswer(
            granted and complete,
            self._context.controller_lease.incarnation,
            cancelled,
            complete and self._context.syncer.ready.is_set(),
        )

    def _names(self, state_revision: int) -> tuple[list[str], bool]:
        """Cancellations beyond a revision, and whether these are all."""
        names = self._unsynced.newer_than(state_revision)
        size, most = 0, len(names)
        for n, uid in enumerate(names):
            size += len(uid) + 4
            if size > NAMED_BYTES:
                most = n
                break
        return names[:most], most == len(names)

    def _cancelled(self, uids: list[str]) -> None:
        """Confirmed here or by a peer, before the book can be read: our parts stop them now."""
        for uid in self._unsynced.learn(uids, trio.current_time()):
            for owner in self._context.owned.values():
                owner.on_job(uid)

    async def probe_state(self) -> None:
        """While peers carry our requests, tries whether the service serves us again."""
        while True:
            await trio.sleep(self._context.settings.controller_lease_s / 5)
            if self._context.state.failing_since is not None:
                try:
                    await self._context.state.send_directly(
                        "POST", "/multi", {"if": [], "apply": []}, 1.0
                    )
                except OutcomeUnknown as error:
                    log.debug("the state service: %s", error)

    async def _relay(
        self, method: str, target: str, body: object, timeout_s: float
    ) -> tuple[int, object] | None:
        """Those that answer us carry it, in turn; one that hangs is asked last.

        Changes that may have reached the service are not sent by way of another: made already,
        they would be refused there, and count as not made. (An allotment that was lost to its
        leader that way could be made anew for another part: the same task in two places.)"""
        changes = isinstance(body, dict) and bool(body.get("apply"))
        message = to_wire(RelayRequest(method, target, body))
        for name in self.reachability.answering_first(self.peers, trio.current_time()):
            try:
                answer = self._parsed(await self._call(name, message, timeout_s))
            except (ResponseTimeout, ConnectionReset) as error:
                if changes:
                    raise OutcomeUnknown(f"{name} may have carried it: {error}") from None
                continue
            except Unreachable:
                continue
            if isinstance(answer, RelayAnswer):
                if answer.status:
                    return answer.status, answer.body
                # No answer reached the peer: it may have been executed.
                raise OutcomeUnknown("no answer by way of a peer")
        return None

    async def _carry(self, message: RelayRequest) -> Reply:
        """Sends a peer's request to the state service, if that serves us."""
        if (
            self._context.state.failing_since is not None
            or not self._context.state.requests.try_take()
        ):
            return Reply(503, ["cannot"])
        try:
            status, answer = await self._context.state.send_directly(
                message.method, message.target, message.body, 1.0
            )
        except OutcomeUnknown:
            return Reply(200, to_wire(RelayAnswer(0, None)))
        if status == 503:
            return Reply(503, ["cannot"])
        return Reply(200, to_wire(RelayAnswer(status, answer)))

    async def handle(self, method: str, target: str, body: bytes) -> Reply:
        if (method, target) != ("POST", "/peer"):
            return Reply(404, {"error": "no such path"})
        message = parse_message(decode(body))
        match message:
            case ChangeNotice(state_revision=state_revision):
                if state_revision > self._context.replica.state_revision:
                    self._context.syncer.request_read()
                return Reply(200, ["ok"])
            case ShardView(state_revision=state_revision):
                if state_revision > self._context.replica.state_revision:
                    self._context.syncer.request_read()
                # One that has stood still may lead by its own book alone: nobody takes its orders.
                leader = self._context.leading()
                if leader is None:
                    return Reply(503, ["not leading"])
                orders = leader.on_shard_view(message, trio.current_time())
                if message.machines or message.gone:
                    self._context.wake()
                return Reply(200, to_wire(orders))
            case LeaseExtensionRequest():
                return Reply(200, to_wire(self._grant_extension(message)))
            case Hello(node=node, incarnation=incarnation):
                self._context.controller_lease.on_hello(node, incarnation)
                return Reply(
                    200, to_wire(HelloAnswer(self._context.settings.node_name, self.can_vouch()))
                )
            case AuditRequest() if self.on_audit is not None:
                if (intact := await self.on_audit()) is None:
                    return Reply(503, ["cannot"])
                return Reply(200, to_wire(AuditAnswer(self._context.settings.node_name, intact)))
            case RelayRequest():
                return await self._carry(message)
            case ForeignReportNotice(machines=machines):
                now = trio.current_time()
                for name, shard, ago_s in machines:
                    if (owner := self._context.owned.get(shard)) is not None:
                        owner.on_heard_elsewhere(name, now - ago_s)
                return Reply(200, ["ok"])
            case ProbeRequest(addresses=addresses) if self.on_probe is not None:
                outcomes = await self.on_probe(addresses)
                return Reply(200, to_wire(ProbeAnswer(self._context.settings.node_name, outcomes)))
        return Reply(400, ["unexpected"])
