"""A network in simulated time that cuts, holds and delays. Hosts are named by what stands
before the colon of their address."""

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

# Of each source, so many reports are kept for the next leader: the oldest ones, which are
# the likeliest of an earlier session or attempt.
KEPT_REPORTS = 4

# On whose processor a task of the simulation runs.
HOST: ContextVar[str] = ContextVar("host", default="")


class Processors(trio.abc.Instrument):
    """Real processor seconds that the code of each host has taken."""

    def __init__(self) -> None:
        self.seconds: dict[str, float] = {}
        self._began = 0.0

    def before_task_step(self, task: trio.lowlevel.Task) -> None:
        self._began = time.process_time()

    def after_task_step(self, task: trio.lowlevel.Task) -> None:
        host = task.context.get(HOST, "")
        took = time.process_time() - self._began
        self.seconds[host] = self.seconds.get(host, 0.0) + took


@dataclass
class Cut:
    """No packets between two ends; held ones arrive when it is over."""

    ends: tuple[set[str], set[str]]
    hold: bool
    over: trio.Event = field(default_factory=trio.Event)

    def parts(self, a: str, b: str) -> bool:
        one, two = self.ends
        return (a in one and b in two) or (a in two and b in one)


class SimulatedNetwork:
    """Hosts are named by what stands before the colon of their address."""

    def __init__(self, nursery: trio.Nursery | None, rng: random.Random) -> None:
        self.nursery = nursery
        self._rng = rng
        self.handlers: dict[str, Handler] = {}
        self.cuts: list[Cut] = []
        self.gone: set[str] = set()  # hosts without power: connections to them hang
        self.deaf: set[str] = set()  # what they send arrives, nothing reaches them
        self.mute: set[str] = set()  # hosts that reach nobody: connections hang
        self.refused: set[tuple[str, str]] = set()  # (source, destination): answered 503
        self.slow: dict[str, float] = {}  # hosts that take up to so long for each answer
        # Of the transactions, so many get no answer and are carried out so much later.
        self.late_writes, self.late_writes_s = 0.0, (2.0, 12.0)
        self.late_kind: Callable[[Any], bool] = lambda body: True  # only of these
        self.lost_writes = 0.0  # so many are carried out at once, and only the answer is lost
        # Of the workers' reports, of so many a copy arrives again, up to so much later.
        self.late_reports, self.copies_within_s = 0.0, 0.0
        # Of so many a copy is kept until `deliver_kept`.
        self.kept_reports = 0.0
        self._kept: dict[str, list[tuple[str, str, bytes]]] = defaultdict(list)

    def at(self, host: str) -> "HostNetwork":
        return HostNetwork(self, host)

    async def _pass(self, a: str, b: str) -> None:
        await trio.sleep(self._rng.uniform(0.0005, 0.004))
        if b in self.deaf:
            await trio.sleep_forever()
        while (cut := next((c for c in self.cuts if c.parts(a, b)), None)) is not None:
            if not cut.hold:
                await trio.sleep_forever()
            await cut.over.wait()

    async def call(
        self, source: str, address: str, method: str, target: str, body: Any, timeout_s: float
    ) -> tuple[int, Any, float | None]:
        host = address.partition(":")[0]
        payload = b"" if body is None else encode(body)
        answer: list[Reply] = []
        done = trio.Event()
        assert self.nursery is not None
        if (source, host) in self.refused:
            await trio.sleep(self._rng.uniform(0.001, 0.008))
            return 503, {"error": "trouble"}, None
        if (
            self.late_writes
            and target == "/multi"
            and body["apply"]
            and self.late_kind(body)
            and self._drawn(self.late_writes)
        ):
            self.nursery.start_soon(
                self._again, address, method, target, payload, *self.late_writes_s
            )
            await trio.sleep(timeout_s)
            raise ResponseTimeout("no answer")
        if self.late_reports and target == "/checkin" and self._drawn(self.late_reports):
            self.nursery.start_soon(
                self._again, address, method, target, payload, 2.0, self.copies_within_s
            )
        if self.kept_reports and target == "/checkin" and self._drawn(self.kept_reports):
            self._kept[source].append((method, target, payload))
            del self._kept[source][KEPT_REPORTS:]
        is_write = target == "/multi" and bool(body["apply"])
        answer_lost = bool(self.lost_writes) and is_write and self._drawn(self.lost_writes)
        stood = trio.Event()  # once there is a connection

        async def deliver() -> None:
            # Goes on when the caller has given up: what was sent may arrive late.
            await self._pass(source, host)
            if host in self.gone or source in self.mute:
                await trio.sleep_forever()
            stood.set()
            HOST.set(host)
            handler = self.handlers.get(address)
            if handler is None:
                answer.append(Reply(-1))
                done.set()
                return
            reply = await respond(handler, method, target, payload)
            if answer_lost:
                return
            if host in self.slow:
                await trio.sleep(self._rng.uniform(0.0, self.slow[host]))
            HOST.set(source)
            await self._pass(host, source)
            answer.append(reply)
            done.set()

        self.nursery.start_soon(deliver)
        with trio.move_on_after(timeout_s):
            await done.wait()
        if not answer:
            raise ResponseTimeout("no answer") if stood.is_set() else Unreachable("no connection")
        if answer[0].status == -1:
            raise ConnectionRefused("refused")
        reply = answer[0]
        data = None if reply.body is None else decode(encode(reply.body))
        return reply.status, data, reply.retry_after_s

    def _drawn(self, share: float) -> bool:
        return self._rng.random() < share

    def deliver_kept(self, addresses: Collection[str], within_s: float) -> None:
        """The copies that were kept arrive at all these addresses, within so long."""
        kept, self._kept = self._kept, defaultdict(list)
        for messages in kept.values():
            for message in messages:
                for address in addresses:
                    assert self.nursery is not None
                    self.nursery.start_soon(self._again, address, *message, 0.0, within_s)

    async def _again(
        self, address: str, method: str, target: str, payload: bytes, least_s: float, most_s: float
    ) -> None:
        """A message arrives later than anybody waits for its answer."""
        await trio.sleep(self._rng.uniform(least_s, most_s))
        if (handler := self.handlers.get(address)) is not None:
            HOST.set(address.partition(":")[0])
            await respond(handler, method, target, payload)


class HostNetwork:
    def __init__(self, network: SimulatedNetwork, host: str) -> None:
        self._network, self._host = network, host

    def client(self, address: str, *, max_connections: int, idle_s: float) -> "HostClient":
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
        self._network.handlers[address] = handler
        listening()
        try:
            await trio.sleep_forever()
        finally:
            if self._network.handlers.get(address) is handler:
                del self._network.handlers[address]


class HostClient:
    def __init__(self, network: SimulatedNetwork, host: str, address: str) -> None:
        self._network, self._host, self._address = network, host, address

    async def request(
        self, method: str, target: str, body: Any = None, *, timeout_s: float
    ) -> tuple[int, Any, float | None]:
        return await self._network.call(self._host, self._address, method, target, body, timeout_s)

    def close(self) -> None:
        pass
