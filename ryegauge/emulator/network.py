"""A network in simulated time that injects partitions, delays, lost answers and duplicates. A host
is named by the part of its address before the colon."""

import random
import time
from collections import defaultdict
from collections.abc import Callable, Collection
from contextvars import ContextVar
from dataclasses import dataclass, field
from typing import Any

import trio

from ryegauge.transport.http import (
    ConnectionRefused,
    Handler,
    Reply,
    ResponseTimeout,
    Unreachable,
    decode,
    encode,
)
from ryegauge.transport.http import answer as respond

# Copies kept of each worker's reports for the next leader: the oldest ones, which are the most
# likely to be from an earlier session or attempt.
KEPT_REPORTS_PER_SOURCE = 4

# Path of workers for direct commands.
COMMANDS_PATH = "/commands"
# Least and greatest delay of a direct command that is held up, seconds.
LATE_COMMAND_DELAY_S = (2.0, 16.0)
# Least delay of a copy of a report or of a direct command, seconds.
MIN_COPY_DELAY_S = 2.0

# Host whose code the current trio task runs.
CURRENT_HOST: ContextVar[str] = ContextVar("host", default="")


class ProcessorTimeMeter(trio.abc.Instrument):
    """Measures the processor time of each host's code; `seconds`: host -> seconds."""

    def __init__(self) -> None:
        self.seconds: dict[str, float] = {}
        self._step_began = 0.0

    def before_task_step(self, task: trio.lowlevel.Task) -> None:
        """Called by trio before each step of a task."""
        self._step_began = time.process_time()

    def after_task_step(self, task: trio.lowlevel.Task) -> None:
        """Called by trio after each step; adds its time to the task's host."""
        host = task.context.get(CURRENT_HOST, "")
        elapsed_s = time.process_time() - self._step_began
        self.seconds[host] = self.seconds.get(host, 0.0) + elapsed_s


@dataclass
class NetworkCut:
    """A partition between two sets of hosts. With `hold`, messages sent meanwhile are delivered
    once `healed` is set; otherwise they are lost."""

    sides: tuple[set[str], set[str]]
    hold: bool
    healed: trio.Event = field(default_factory=trio.Event)

    def separates(self, a: str, b: str) -> bool:
        """Whether hosts `a` and `b` cannot reach each other."""
        side, other_side = self.sides
        return (a in side and b in other_side) or (a in other_side and b in side)


class SimulatedNetwork:
    """Connects all hosts of the simulation, and holds the faults that are injected at present."""

    def __init__(self, nursery: trio.Nursery | None, rng: random.Random) -> None:
        self.nursery = nursery
        self._rng = rng
        self.handlers: dict[str, Handler] = {}
        self.cuts: list[NetworkCut] = []
        self.powered_off: set[str] = set()  # connections to these hosts hang
        # Hosts whose incoming messages are lost; what they send arrives, its answers don't.
        self.inbound_loss: set[str] = set()
        # Hosts whose own requests hang before they connect; their answers to others arrive.
        self.outbound_loss: set[str] = set()
        self.refused_routes: set[tuple[str, str]] = set()  # (source, destination): answered 503
        self.max_answer_delay_s: dict[
            str, float
        ] = {}  # host -> maximum delay of each of its answers, seconds
        # Share of transactions that get no answer and are executed later; the range of delays.
        self.late_writes, self.late_write_delay_s = 0.0, (2.0, 12.0)
        self.may_write_late: Callable[[Any], bool] = lambda body: True  # only these transactions
        # Share of transactions that are executed at once and whose answer is lost.
        self.lost_writes = 0.0
        # Share of workers' reports that are delivered twice; the maximum delay of the duplicate.
        self.late_reports, self.max_copy_delay_s = 0.0, 0.0
        # Share of workers' reports of which a copy is kept until `deliver_kept_reports`.
        self.kept_reports = 0.0
        self._report_copies: dict[str, list[tuple[str, str, bytes]]] = defaultdict(list)
        # Share of direct commands that get no answer and are executed later.
        self.late_commands = 0.0
        # Share of direct commands, late ones included, that are delivered once more; the maximum
        # delay of the copy after the command itself.
        self.command_copies, self.max_command_copy_delay_s = 0.0, 0.0

    def at(self, host: str) -> "HostNetwork":
        """The network as seen from one host."""
        return HostNetwork(self, host)

    async def _traverse(self, a: str, b: str) -> None:
        await trio.sleep(self._rng.uniform(0.0005, 0.004))
        if b in self.inbound_loss:
            await trio.sleep_forever()
        while (cut := next((c for c in self.cuts if c.separates(a, b)), None)) is not None:
            if not cut.hold:
                await trio.sleep_forever()
            await cut.healed.wait()

    async def call(
        self, source: str, address: str, method: str, target: str, body: Any, timeout_s: float
    ) -> tuple[int, Any, float | None]:
        """Sends a request from host `source`; returns status, body and seconds of `retry-after`.
        Raises ConnectionRefused if nobody serves the address, ResponseTimeout if no answer came
        in time, Unreachable if not even a connection was made."""
        host = address.partition(":")[0]
        payload = b"" if body is None else encode(body)
        answer: list[Reply] = []
        done = trio.Event()
        assert self.nursery is not None
        if (source, host) in self.refused_routes:
            await trio.sleep(self._rng.uniform(0.001, 0.008))
            return 503, {"error": "trouble"}, None
        if (
            self.late_writes
            and target == "/multi"
            and body["apply"]
            and self.may_write_late(body)
            and self._draw(self.late_writes)
        ):
            self._schedule(address, method, target, payload, *self.late_write_delay_s)
            await trio.sleep(timeout_s)
            raise ResponseTimeout("no answer")
        request = (address, method, target, payload)
        if self.late_reports and target == "/checkin" and self._draw(self.late_reports):
            self._schedule(*request, MIN_COPY_DELAY_S, self.max_copy_delay_s)
        if target == COMMANDS_PATH:
            late = bool(self.late_commands) and self._draw(self.late_commands)
            copied = bool(self.command_copies) and self._draw(self.command_copies)
            delay_s = self._rng.uniform(*LATE_COMMAND_DELAY_S) if late else 0.0
            if copied:
                min_delay_s = delay_s + MIN_COPY_DELAY_S
                self._schedule(*request, min_delay_s, delay_s + self.max_command_copy_delay_s)
            if late:
                self._schedule(*request, delay_s, delay_s)
                await trio.sleep(timeout_s)
                raise ResponseTimeout("no answer")
        if self.kept_reports and target == "/checkin" and self._draw(self.kept_reports):
            self._report_copies[source].append((method, target, payload))
            del self._report_copies[source][KEPT_REPORTS_PER_SOURCE:]
        is_write = target == "/multi" and bool(body["apply"])
        answer_lost = bool(self.lost_writes) and is_write and self._draw(self.lost_writes)
        connected = trio.Event()  # set once the connection is established

        async def deliver() -> None:
            # Continues after the caller's timeout: a request may still be executed then.
            await self._traverse(source, host)
            if host in self.powered_off or source in self.outbound_loss:
                await trio.sleep_forever()
            connected.set()
            CURRENT_HOST.set(host)
            handler = self.handlers.get(address)
            if handler is None:
                answer.append(Reply(-1))
                done.set()
                return
            reply = await respond(handler, method, target, payload)
            if answer_lost:
                return
            if host in self.max_answer_delay_s:
                await trio.sleep(self._rng.uniform(0.0, self.max_answer_delay_s[host]))
            CURRENT_HOST.set(source)
            await self._traverse(host, source)
            answer.append(reply)
            done.set()

        self.nursery.start_soon(deliver)
        with trio.move_on_after(timeout_s):
            await done.wait()
        if not answer:
            raise (
                ResponseTimeout("no answer") if connected.is_set() else Unreachable("no connection")
            )
        if answer[0].status == -1:
            raise ConnectionRefused("refused")
        reply = answer[0]
        data = None if reply.body is None else decode(encode(reply.body))
        return reply.status, data, reply.retry_after_s

    def _draw(self, share: float) -> bool:
        return self._rng.random() < share

    def deliver_kept_reports(self, addresses: Collection[str], within_s: float) -> None:
        """Delivers the kept copies of reports to each of the addresses, within `within_s`."""
        kept, self._report_copies = self._report_copies, defaultdict(list)
        for messages in kept.values():
            for message in messages:
                for address in addresses:
                    self._schedule(address, *message, 0.0, within_s)

    def _schedule(
        self,
        address: str,
        method: str,
        target: str,
        payload: bytes,
        min_delay_s: float,
        max_delay_s: float,
    ) -> None:
        """Has a request delivered after a delay drawn from these bounds; its answer goes
        nowhere."""
        assert self.nursery is not None
        delay_s = (min_delay_s, max_delay_s)
        self.nursery.start_soon(self._deliver_later, address, method, target, payload, *delay_s)

    async def _deliver_later(
        self,
        address: str,
        method: str,
        target: str,
        payload: bytes,
        min_delay_s: float,
        max_delay_s: float,
    ) -> None:
        """Delivers a request after a delay; its answer goes nowhere."""
        await trio.sleep(self._rng.uniform(min_delay_s, max_delay_s))
        if (handler := self.handlers.get(address)) is not None:
            CURRENT_HOST.set(address.partition(":")[0])
            await respond(handler, method, target, payload)


class HostNetwork:
    """The simulated network as seen from one host; a `transport.http.Network`."""

    def __init__(self, network: SimulatedNetwork, host: str) -> None:
        self._network, self._host = network, host

    def client(self, address: str, *, max_connections: int, idle_s: float) -> "HostClient":
        """A client of one address; the limits of connections are not simulated."""
        return HostClient(self._network, self._host, address)

    async def serve(
        self,
        address: str,
        handler: Handler,
        *,
        max_connections: int,
        idle_s: float,
        request_s: float,
        listening: Callable[[], None] = lambda: None,
        first: Callable[[str], bool] = lambda target: False,
    ) -> None:
        """Serves requests to the address until cancelled; limits and timeouts are not
        simulated."""
        self._network.handlers[address] = handler
        listening()
        try:
            await trio.sleep_forever()
        finally:
            if self._network.handlers.get(address) is handler:
                del self._network.handlers[address]


class HostClient:
    """A client of one address on one host; a `transport.http.HttpClient`."""

    def __init__(self, network: SimulatedNetwork, host: str, address: str) -> None:
        self._network, self._host, self._address = network, host, address

    async def request(
        self, method: str, target: str, body: Any = None, *, timeout_s: float
    ) -> tuple[int, Any, float | None]:
        """One request; returns and raises as `SimulatedNetwork.call`."""
        return await self._network.call(self._host, self._address, method, target, body, timeout_s)

    def close(self) -> None:
        """Does nothing: there are no connections to close."""
