"""A network in simulated time that cuts, holds and delays. Hosts are named by what stands
before the colon of their address."""

import random
import time
from collections.abc import Callable
from contextvars import ContextVar
from dataclasses import dataclass, field
from typing import Any

import trio

from ryegauge.transport.http import (
    Handler,
    NoAnswer,
    Refused,
    Reply,
    Unreachable,
    decode,
    encode,
)
from ryegauge.transport.http import answer as respond

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

    def at(self, host: str) -> "HostNetwork":
        return HostNetwork(self, host)

    async def _pass(self, a: str, b: str) -> None:
        await trio.sleep(self._rng.uniform(0.0005, 0.004))
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
        stood = trio.Event()  # once there is a connection

        async def deliver() -> None:
            # Goes on when the caller has given up: what was sent may arrive late.
            await self._pass(source, host)
            if host in self.gone:
                await trio.sleep_forever()
            stood.set()
            HOST.set(host)
            handler = self.handlers.get(address)
            if handler is None:
                answer.append(Reply(-1))
                done.set()
                return
            reply = await respond(handler, method, target, payload)
            HOST.set(source)
            await self._pass(host, source)
            answer.append(reply)
            done.set()

        assert self.nursery is not None
        self.nursery.start_soon(deliver)
        with trio.move_on_after(timeout_s):
            await done.wait()
        if not answer:
            raise NoAnswer("no answer") if stood.is_set() else Unreachable("no connection")
        if answer[0].status == -1:
            raise Refused("refused")
        reply = answer[0]
        data = None if reply.body is None else decode(encode(reply.body))
        return reply.status, data, reply.retry_after_s


class HostNetwork:
    def __init__(self, network: SimulatedNetwork, host: str) -> None:
        self._network, self._host = network, host

    def client(self, address: str, *, max_connections: int, idle_s: float) -> "HostClient":
        return HostClient(self._network, self._host, address)

    async def serve(
        self, address: str, handler: Handler, *, max_connections: int, idle_s: float,
        request_s: float, listening: Callable[[], None] = lambda: None,
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
        return await self._network.call(
            self._host, self._address, method, target, body, timeout_s
        )

    def close(self) -> None:
        pass
