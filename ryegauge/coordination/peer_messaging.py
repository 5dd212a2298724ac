"""Messages between controllers: hints, views, lease extensions during outages of the state
service, and requests relayed to it. Safety rests on none of them but the lease extensions."""

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

# Most bytes of cancelled jobs' names in one message, well below the limit of a body. A
# controller that knows more grants no lease extension, since the requester would miss some.
MAX_CANCELLED_NAMES_BYTES = 24 * 1024


class PeerMessenger:
    """Sends messages to all peers and answers theirs."""

    def __init__(self, context: NodeContext, api: JobApi) -> None:
        self._context = context
        self._unsynced = UnsyncedCancellations(context.replica)
        api.on_cancelled = lambda uid: self._take_in_cancellations([uid])
        context.syncer.on_sync.append(
            lambda: self._unsynced.discard_synced(context.syncer.last_read_sent_at)
        )
        self.peers = {
            peer.node_name: context.network.client(
                peer.peer_addr, max_connections=MAX_CONNECTIONS_PER_PEER, idle_s=context.idle_s
            )
            for peer in context.settings.known
        }
        # A peer that hangs is tried again once in half a lease duration.
        self.reachability = PeerReachability(context.settings.controller_lease_s / 2)
        # Probes workers at the given addresses on a peer's behalf; returns an outcome for each.
        self.on_probe: Callable[[Sequence[str]], Awaitable[list[str]]] | None = None
        # Checks whether all that we know is still in the state service; None: it cannot tell.
        self.on_audit: Callable[[], Awaitable[bool | None]] | None = None
        # Whether this process can tell that records are missing, having known them for a while.
        self.can_vouch: Callable[[], bool] = lambda: False
        # Peer -> its answer to our hello.
        self.hello_answers: dict[str, HelloAnswer] = {}
        context.state.use_relay(self._relay, relay_after_s=context.settings.controller_lease_s / 5)

    async def announce_to_peers(self) -> None:
        """Tells each peer of revisions that it should read, until cancelled."""
        async with trio.open_nursery() as nursery:
            for name in self.peers:
                nursery.start_soon(self._announce_to_peer, name)

    async def _announce_to_peer(self, name: str) -> None:
        """The loop for one peer, separate so that a peer without answers delays no other."""
        announced = 0
        while True:
            while announced == self._context.announced_revisions.get(name, 0):
                await self._context.revision_announced.wait()
            announced = self._context.announced_revisions[name]
            await self._send(name, to_wire(ChangeNotice(announced)))

    async def _send(self, name: str, message: list[object], timeout_s: float = 0.0) -> object:
        """As `_call`, but None without an answer. A timeout of 0 means half a report interval."""
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
            self.reachability.on_answer(name)  # it does not hang: it refused at once
            raise
        except Unreachable:
            self.reachability.on_timeout(name, trio.current_time())
            raise
        self.reachability.on_answer(name)
        return answer if status == 200 else None

    async def tell(self, name: str, message: Message) -> None:
        """Sends a hint, whose arrival does not matter."""
        await self._send(name, to_wire(message))

    async def ask(self, name: str, message: Message, timeout_s: float = 0.0) -> object:
        """The peer's answer as a message, or None. A timeout of 0 means half a report interval."""
        return self._parse_answer(await self._send(name, to_wire(message), timeout_s))

    def _parse_answer(self, answer: object) -> object:
        """The answer as a message, None if it is none."""
        if answer is None:
            return None
        try:
            return parse_message(answer)
        except Malformed as error:
            log.warning("malformed answer of a peer: %s", error)
            return None

    # -- outages ---------------------------------------------------------------------------

    async def send_hellos(self) -> None:
        """Sends a hello to all peers until each has answered, since this process remembers no
        lease extension that its predecessor granted."""
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
        """Requests lease extensions from all peers when authority needs them, until cancelled."""
        while True:
            await trio.sleep(self._context.settings.controller_lease_s / 12)
            requested_at = trio.current_time()
            if not self.peers or not self._context.controller_lease.needs_lease_extensions(
                requested_at
            ):
                continue
            voters: dict[str, str] = {}

            async def ask(name: str, voters: dict[str, str] = voters) -> None:
                answer = await self.ask(name, self._extension_request())
                if isinstance(answer, LeaseExtensionAnswer):
                    self._take_in_cancellations(answer.cancelled)
                    if answer.granted and answer.complete:
                        voters[name] = answer.incarnation

            async with trio.open_nursery() as nursery:
                for name in self.peers:
                    nursery.start_soon(ask, name)
            # Authority is extended only after all cancellations in the answers are taken in. An
            # answer that comes after its round does not count; the next round asks again.
            self._context.controller_lease.on_extensions_granted(
                requested_at, voters, trio.current_time()
            )

    def _extension_request(self) -> LeaseExtensionRequest:
        """A request with our revision and the cancellations that the replica does not show yet."""
        cancelled, _ = self._cancellations_after(self._context.replica.state_revision)
        return LeaseExtensionRequest(
            self._context.settings.node_name,
            self._context.controller_lease.incarnation,
            cancelled,
            self._context.replica.state_revision,
        )

    def _grant_extension(self, message: LeaseExtensionRequest) -> LeaseExtensionAnswer:
        """Answers with every cancellation that a user of ours may have been told of and that the
        requester's replica may not show. A process that has just started either has read what its
        predecessor confirmed, or grants no extension. A commit of ours without an answer has not
        been confirmed to any user; a controller whose replica shows it reports it."""
        granted = self._context.controller_lease.grant_extension(
            message.node, message.incarnation, trio.current_time()
        )
        self._take_in_cancellations(message.cancelled)
        cancelled, complete = self._cancellations_after(message.state_revision)
        return LeaseExtensionAnswer(
            granted and complete,
            self._context.controller_lease.incarnation,
            cancelled,
            complete and self._context.syncer.ready.is_set(),
        )

    def _cancellations_after(self, state_revision: int) -> tuple[list[str], bool]:
        """Cancellations that a replica at the revision may lack, and whether these are all."""
        names = self._unsynced.cancellations_after(state_revision)
        size, count = 0, len(names)
        for n, uid in enumerate(names):
            size += len(uid) + 4
            if size > MAX_CANCELLED_NAMES_BYTES:
                count = n
                break
        return names[:count], count == len(names)

    def _take_in_cancellations(self, uids: list[str]) -> None:
        """Takes in cancellations confirmed here or by a peer that the replica may not show yet,
        so that our shards stop the jobs at once."""
        for uid in self._unsynced.learn(uids, trio.current_time()):
            for owner in self._context.owned.values():
                owner.on_job_changed(uid)

    async def probe_state(self) -> None:
        """While the state service does not serve us, tries it regularly, until cancelled. The
        requests that peers relay would not show that it serves us again."""
        while True:
            await trio.sleep(self._context.settings.controller_lease_s / 5)
            if self._context.state.failing_since is not None:
                try:
                    await self._context.state.send_directly(
                        "POST", "/multi", {"if": [], "apply": []}, 1.0
                    )
                except OutcomeUnknown as error:
                    log.debug("the state service is still not reachable: %s", error)

    async def _relay(
        self, method: str, target: str, body: object, timeout_s: float
    ) -> tuple[int, object] | None:
        """Sends a request through the peers in turn, those that hang last, until one answers.
        Returns None if none answered it: for a request with changes, this means that no peer sent
        it or that the service refused it with 503; one without changes may also have been taken by
        peers that then gave no answer.

        Changes that may have reached the service are not sent through a second peer: if they
        were executed already, they would be refused as a conflict and count as not made. A
        leader that took an assignment for not made could then assign the tasks to another shard,
        and the same task would run in two places."""
        changes = isinstance(body, dict) and bool(body.get("apply"))
        message = to_wire(RelayRequest(method, target, body))
        for name in self.reachability.answering_first(self.peers, trio.current_time()):
            try:
                answer = self._parse_answer(await self._call(name, message, timeout_s))
            except (ResponseTimeout, ConnectionReset) as error:
                if changes:
                    raise OutcomeUnknown(f"{name} may have carried it: {error}") from None
                continue
            except Unreachable:
                continue
            if isinstance(answer, RelayAnswer):
                if answer.status:
                    return answer.status, answer.body
                # The peer got no answer, so the request may have been executed.
                raise OutcomeUnknown("no answer by way of a peer")
        return None

    async def _relay_for_peer(self, message: RelayRequest) -> Reply:
        """Relays a peer's request to the state service if that serves us; 503 if not."""
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
        """Answers one request of a peer. Raises Malformed if it is not a message."""
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
                # A controller that was suspended may lead only by its outdated replica: without
                # valid authority it issues no orders.
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
                return await self._relay_for_peer(message)
            case ForeignReportNotice(machines=machines):
                now = trio.current_time()
                for name, shard, ago_s in machines:
                    if (owner := self._context.owned.get(shard)) is not None:
                        owner.silence.on_heard_elsewhere(name, now - ago_s)
                return Reply(200, ["ok"])
            case ProbeRequest(addresses=addresses) if self.on_probe is not None:
                outcomes = await self.on_probe(addresses)
                return Reply(200, to_wire(ProbeAnswer(self._context.settings.node_name, outcomes)))
        return Reply(400, ["unexpected"])
