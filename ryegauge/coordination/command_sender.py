"""Sends commands straight to workers, instead of in the answers to their reports."""

import logging

import trio

from ryegauge.coordination.connection_limits import divide_connections
from ryegauge.coordination.direct_runs import DirectRequest
from ryegauge.coordination.node_context import NodeContext
from ryegauge.coordination.shard_owner import ShardOwner
from ryegauge.protocol.workers import parse_report, report_reply
from ryegauge.transport.http import HttpClient, Malformed, Unreachable, split_address

log = logging.getLogger(__name__)


class CommandSender:
    """Sends `run` commands to workers as soon as tasks are placed, with at most as many requests
    in flight as `divide_connections` allows for it."""

    def __init__(self, context: NodeContext) -> None:
        self._context = context
        self._workers: dict[str, HttpClient] = {}
        self._max_in_flight = divide_connections(context.settings).commands
        self._in_flight = 0
        self.tasks_placed = trio.Event()

    async def run(self) -> None:
        """Runs forever: whenever tasks were placed, sends their `run` commands without waiting
        for the workers' reports. The number of requests is limited, since a controller that was
        left alone with 700 machines sent to hundreds of them at once, used up its connections
        and could not reach the state service."""
        async with trio.open_nursery() as nursery:
            while True:
                await self.tasks_placed.wait()
                self.tasks_placed = trio.Event()
                now = trio.current_time()
                if not self._context.controller_lease.valid(now):
                    continue
                for owner in list(self._context.owned.values()):
                    free = self._max_in_flight - self._in_flight
                    for request in owner.take_direct_runs(now, free):
                        self._in_flight += 1
                        nursery.start_soon(self._send, owner, request)

    async def _send(self, owner: ShardOwner, request: DirectRequest) -> None:
        """Sends commands to one worker and processes its answer, which is a report."""
        name, session = request.machine, request.session
        body = report_reply(request.token, request.commands)
        body["shift"] = session
        for command in request.commands:
            log.debug(
                "%s: direct command under token %d, session %d: %s",
                name,
                request.token,
                session,
                command,
            )
        try:
            client = self._worker_client(request.address)
            status, answer, _ = await client.request(
                "POST", "/commands", body, timeout_s=self._context.report_s
            )
            log.debug("%s: direct commands in session %d answered with %d", name, session, status)
            if status not in (200, 409):
                return
            report = parse_report(answer)
        except (Unreachable, Malformed, ValueError) as error:
            log.debug("%s: no answer to direct commands: %s", name, error)
            owner.on_direct_timeout(name, trio.current_time())
            return
        finally:
            self._in_flight -= 1
        if self._context.owned.get(owner.shard) is owner:
            owner.on_direct_answer(request)
            if not owner.tokens.is_superseded_by(report.token):
                owner.on_report(report, trio.current_time(), checkin=False)

    def _worker_client(self, address: str) -> HttpClient:
        """The client for a worker's address. Raises ValueError for a malformed address."""
        client = self._workers.pop(address, None)
        if client is None:
            split_address(address)  # raises ValueError
            client = self._context.network.client(
                address, max_connections=2, idle_s=self._context.idle_s
            )
        self._workers[address] = client  # the most recently used is last
        if len(self._workers) > self._max_in_flight // 2:  # each has at most two connections
            self._workers.pop(next(iter(self._workers))).close()
        return client
