"""A simulated world for whole controllers: our own stand-ins for the state service,
the cloud, the workers and the users, a network that cuts, holds and delays, and a
checker for every rule of the protocol. Time is trio's MockClock; luck is seeded.
"""

import json
import random
from collections import defaultdict
from collections.abc import Awaitable, Callable, Iterator
from contextlib import AbstractContextManager, contextmanager
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

import trio
import trio.testing
from conftest import job_body

from ryegauge.config import Settings
from ryegauge.coordination.node import Node
from ryegauge.transport.http import Handler, Reply, Unreachable, decode, encode
from ryegauge.transport.http import answer as respond

WALL = 1_700_000_000.0
CAPACITY = {("small", True): 6, ("small", False): 3, ("large", True): 2, ("large", False): 1}
TYPES = [
    {"label": "small", "cpus": 4.0, "cards": 0, "memoryGb": 16.0, "cacheGb": 20.0,
     "fetchGbPerS": 1.0, "hourly": 0.4, "lowPrice": 0.1, "startupS": 10.0,
     "districts": ["a", "b"]},
    {"label": "large", "cpus": 16.0, "cards": 0, "memoryGb": 64.0, "cacheGb": 20.0,
     "fetchGbPerS": 0.5, "hourly": 1.4, "lowPrice": 0.45, "startupS": 15.0,
     "districts": ["a"]},
]


class Checker:
    """Every rule of the protocol, watched from outside the controllers."""

    def __init__(self, world: "World") -> None:
        self.world = world
        self.broken: list[str] = []
        self.accepted: set[str] = set()
        self.cancelled_at: dict[str, float] = {}
        self.asked_to_cancel: set[str] = set()
        self.final: dict[str, str] = {}
        self.specs: dict[str, dict[str, Any]] = {}
        self.starts = 0

    def broke(self, rule: str, detail: str) -> None:
        self.broken.append(f"{trio.current_time():.2f} {rule}: {detail}")

    def started(self, worker: "Worker", task: str) -> None:
        self.starts += 1
        on = [w for w in self.world.workers.values() if w.alive]
        for other in on:
            if other is not worker and task in other.on_machine():
                self.broke("ran_twice", f"{task} on {worker.name} and {other.name}")
        self.check_quota(on)
        self.check_place(worker, task, on)
        self.check_cancelled(task)
        self.check_needs(task)

    def needs_of(self, uid: str) -> set[str]:
        """All jobs that this one needs, directly or through others."""
        found: set[str] = set()
        todo = [uid]
        while todo:
            new = set(self.specs.get(todo.pop(), {}).get("awaits") or ()) - found
            found |= new
            todo += new
        return found

    def check_needs(self, task: str) -> None:
        for name in self.specs[task.rpartition("/")[0]].get("awaits") or ():
            pieces = self.specs[name]["pieces"]
            done = sum(f"{name}/{i}" in self.world.results for i in range(pieces))
            if done < pieces:
                self.broke("too_early", f"{task} before {name}: {done} of {pieces}")

    def check_quota(self, on: list["Worker"]) -> None:
        used: dict[str, float] = defaultdict(float)
        for w in on:
            for task in w.on_machine():
                spec = self.specs[task.rpartition("/")[0]]
                used[spec["crew"]] += spec["cpus"]
        for team in self.world.settings[0].settings.teams:
            if used[team.name] > team.cpus_max + 1e-6:
                self.broke("quota", f"{team.name} uses {used[team.name]}")

    def check_place(self, worker: "Worker", task: str, on: list["Worker"]) -> None:
        uid = task.rpartition("/")[0]
        spec = self.specs[uid]
        zones: dict[str, int] = defaultdict(int)
        for w in on:
            zones[w.zone] += sum(t.rpartition("/")[0] == uid for t in w.on_machine())
        wrong = (
            (spec.get("builds") and worker.type["label"] not in spec["builds"])
            or (spec.get("district") and worker.zone != spec["district"])
            or (worker.spot and not spec["loaners"])
            or (spec["together"] and sum(n > 0 for n in zones.values()) > 1)
            or (spec["spread"] and max(zones.values()) > (spec["pieces"] + 1) // 2)
        )
        if wrong:
            self.broke("wrong_place", f"{task} on {worker.name} in {worker.zone}: {dict(zones)}")

    def check_cancelled(self, task: str) -> None:
        uid = task.rpartition("/")[0]
        limit = self.world.settings[0].settings.workers.cancel_s
        for name in (uid, *self.needs_of(uid)):
            at = self.cancelled_at.get(name)
            if at is not None and trio.current_time() > at + limit:
                self.broke("ran_cancelled", task)

    def answered(self, uid: str, status: int, body: Any, asked: str) -> None:
        if uid in self.accepted and (status == 404 or (asked == "submit" and status in (400, 422))):
            self.broke("forgotten", f"{uid} is answered {status}")
        if status not in (200, 201):
            return
        if uid not in self.specs:
            self.broke("invented", uid)
            return
        self.accepted.add(uid)
        now = body["status"]
        before = self.final.get(uid)
        if before is not None and now != before:
            self.broke("went_back", f"{uid} was {before}, is {now}")
        if now in ("done", "cancelled"):
            self.final[uid] = now
        if now == "cancelled":
            if not {uid, *self.needs_of(uid)} & self.asked_to_cancel:
                self.broke("went_back", f"{uid} is cancelled, which nobody asked for")
            self.cancelled_at.setdefault(uid, trio.current_time())
        if now in ("queued", "running"):
            limit = self.world.settings[0].settings.workers.cancel_s
            for name in self.needs_of(uid):
                at = self.cancelled_at.get(name)
                if at is not None and trio.current_time() > at + limit:
                    self.broke("orphaned", f"{uid} is {now}, {name} was cancelled")
        if now == "done":
            pieces = self.specs[uid]["pieces"]
            done = sum(f"{uid}/{i}" in self.world.results for i in range(pieces))
            if done < pieces:
                self.broke("not_done", f"{uid}: {done} of {pieces}")

    async def watch(self) -> None:
        while True:
            await trio.sleep(0.5)
            on = [w for w in self.world.workers.values() if w.alive]
            for w in on:
                for task in w.on_machine():
                    self.check_cancelled(task)


@dataclass
class Cut:
    """No packets between two ends; held ones arrive when it is over."""

    ends: tuple[set[str], set[str]]
    hold: bool
    over: trio.Event = field(default_factory=trio.Event)

    def parts(self, a: str, b: str) -> bool:
        one, two = self.ends
        return (a in one and b in two) or (a in two and b in one)


class Network:
    """Hosts are named by what stands before the colon of their address."""

    def __init__(self, world: "World") -> None:
        self.world = world
        self.handlers: dict[str, Handler] = {}
        self.cuts: list[Cut] = []

    def at(self, host: str) -> "HostNetwork":
        return HostNetwork(self, host)

    async def _pass(self, a: str, b: str) -> None:
        await trio.sleep(self.world.rng.uniform(0.0005, 0.004))
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

        async def deliver() -> None:
            # Goes on when the caller has given up: what was sent may arrive late.
            await self._pass(source, host)
            handler = self.handlers.get(address)
            if handler is None:
                answer.append(Reply(-1))
                done.set()
                return
            reply = await respond(handler, method, target, payload)
            await self._pass(host, source)
            answer.append(reply)
            done.set()

        self.world.nursery.start_soon(deliver)
        with trio.move_on_after(timeout_s):
            await done.wait()
        if not answer or answer[0].status == -1:
            raise Unreachable("no answer" if not answer else "refused")
        reply = answer[0]
        data = None if reply.body is None else decode(encode(reply.body))
        return reply.status, data, reply.retry_after_s


class HostNetwork:
    def __init__(self, network: Network, host: str) -> None:
        self._network, self._host = network, host

    def client(self, address: str, *, max_connections: int, idle_s: float) -> "HostClient":
        return HostClient(self._network, self._host, address)

    async def serve(self, address: str, handler: Handler, **_: object) -> None:
        self._network.handlers[address] = handler
        try:
            await trio.sleep_forever()
        finally:
            if self._network.handlers.get(address) is handler:
                del self._network.handlers[address]


class HostClient:
    def __init__(self, network: Network, host: str, address: str) -> None:
        self._network, self._host, self._address = network, host, address

    async def request(
        self, method: str, target: str, body: Any = None, *, timeout_s: float
    ) -> tuple[int, Any, float | None]:
        return await self._network.call(
            self._host, self._address, method, target, body, timeout_s
        )

    def close(self) -> None:
        pass


class StateService:
    def __init__(self) -> None:
        self.revision = 0
        self.data: dict[str, tuple[Any, int, int | None]] = {}
        self.log: list[tuple[int, dict[str, Any]]] = []
        self.leases: dict[int, tuple[float, float]] = {}  # ttl, end
        self.outage = False
        self.value_kb, self.txn_ops = 16.0, 12
        self.refused_writes = 0  # for their size or number
        self.written: list[tuple[str, Any]] = []
        self._leases = 0

    def end_outage(self) -> None:
        self.outage = False
        now = trio.current_time()
        self.leases = {i: (ttl, now + ttl) for i, (ttl, _) in self.leases.items()}

    def expire(self) -> None:
        if self.outage:
            return
        now = trio.current_time()
        for lease, (_, end) in list(self.leases.items()):
            if end < now:
                del self.leases[lease]
                keys = [k for k, v in self.data.items() if v[2] == lease]
                if keys:
                    self.revision += 1
                for key in keys:
                    self._delete(key)

    def _delete(self, key: str) -> None:
        del self.data[key]
        self.log.append((self.revision, {"delete": key, "stamp": self.revision}))

    async def handle(self, method: str, target: str, body: bytes) -> Reply:
        self.expire()
        if self.outage:
            return Reply(503, {"error": "trouble"})
        url = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        path = unquote(url.path)
        raw = decode(body) if body else None
        if method == "GET" and path.startswith("/kv/"):
            entry = self.data.get(path[4:])
            if entry is None:
                return Reply(404, {"ledger": self.revision})
            return Reply(200, {"path": path[4:], "data": entry[0], "stamp": entry[1]})
        if method == "GET" and path == "/kv":
            keys = sorted(
                k for k in self.data
                if k.startswith(query["under"]) and k > query.get("since", "")
            )
            limit = min(int(query.get("page", 1000)), 3)  # small pages, to have several
            items = [
                {"path": k, "data": self.data[k][0], "stamp": self.data[k][1]}
                for k in keys[:limit]
            ]
            more = len(keys) > limit
            return Reply(200, {"items": items, "hasNext": more, "ledger": self.revision})
        if path == "/watch":
            since = int(query["since"])
            events = [
                e for r, e in self.log
                if r > since and (e.get("write") or e["delete"]).startswith(query["under"])
            ]
            return Reply(200, {"ledger": self.revision, "events": events})
        if path == "/multi":
            return self._multi(raw)
        if path == "/grants":
            self._leases += 1
            ttl = raw["ttlMs"] / 1000
            self.leases[self._leases] = (ttl, trio.current_time() + ttl)
            return Reply(200, {"tenure": self._leases})
        if path.endswith("/extend"):
            lease = int(path.split("/")[2])
            if lease not in self.leases:
                return Reply(404, {})
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, trio.current_time() + ttl)
            return Reply(200, {"tenure": lease})
        return Reply(400, {"error": f"{method} {path}"})

    def _multi(self, raw: Any) -> Reply:
        if len(raw["apply"]) > self.txn_ops or len(raw["if"]) > 4 * self.txn_ops:
            self.refused_writes += 1
            return Reply(400, {"error": "too many"})
        for change in raw["apply"]:
            size = len(json.dumps(change.get("data")))
            if size > 1024 * self.value_kb:
                self.refused_writes += 1
                return Reply(400, {"error": "too large"})
        for change in raw["apply"]:
            if change.get("tenure") is not None and change["tenure"] not in self.leases:
                return Reply(400, {"error": "no such lease"})
        versions = {c["path"]: c["stamp"] for c in raw["if"]}
        failed = [
            k for k, v in versions.items() if (self.data[k][1] if k in self.data else 0) != v
        ]
        if failed:
            return Reply(409, {"failed": failed, "ledger": self.revision})
        if raw["apply"]:
            self.revision += 1
        for change in raw["apply"]:
            if "write" in change:
                key = change["write"]
                self.written.append((key, change["data"]))
                self.data[key] = (change["data"], self.revision, change.get("tenure"))
                event = {"write": key, "data": change["data"], "stamp": self.revision}
                self.log.append((self.revision, event))
            elif change["delete"] in self.data:
                self._delete(change["delete"])
        return Reply(200, {"ledger": self.revision})


class Cloud:
    def __init__(self, world: "World") -> None:
        self.world = world
        self.outage = False
        self.count = 0
        self.hires: dict[str, list[str]] = {}
        self.history: list[tuple[float, list[dict[str, Any]]]] = []

    def snapshot(self) -> None:
        now = trio.current_time()
        listed = [
            {"uid": w.name, "address": w.address, "build": w.type["label"], "district": w.zone,
             "loaners": w.spot, "status": "running" if w.up else "starting",
             "heldS": now - w.since}
            for w in self.world.workers.values() if w.alive
        ]
        self.history = [h for h in self.history if h[0] > now - 20] + [(now, listed)]

    async def handle(self, method: str, target: str, body: bytes) -> Reply:
        await trio.sleep(self.world.rng.uniform(0.05, 0.3))
        if self.outage:
            return Reply(503, {"error": "trouble"})
        url = urlsplit(target)
        if url.path == "/catalog":
            return Reply(200, {"builds": TYPES})
        if url.path == "/hosts" and method == "GET":
            lag = self.world.rng.uniform(0.5, 2.0) * 4.0
            seen = [h for h in self.history if h[0] <= trio.current_time() - lag]
            return Reply(200, {"hosts": seen[-1][1] if seen else [], "hasNext": False})
        raw = decode(body)
        if url.path == "/hosts/release":
            for name in raw["hosts"]:
                if (worker := self.world.workers.get(name)) is not None:
                    worker.released_busy |= worker.alive and bool(worker.on_machine())
                    worker.die()
            return Reply(200, {})
        if raw["hire"] in self.hires:
            return Reply(200, {"hosts": self.hires[raw["hire"]]})
        kind = (raw["build"], raw["loaners"])
        have = sum(
            w.alive and (w.type["label"], w.spot) == kind for w in self.world.workers.values()
        )
        count = min(raw["count"], CAPACITY[kind] - have)
        if count <= 0:
            return Reply(503, {"error": "no capacity"})
        names = [self.world.rent(raw["build"], raw["district"], raw["loaners"])
                 for _ in range(count)]
        self.hires[raw["hire"]] = names
        return Reply(200, {"hosts": names})


@dataclass
class Attempt:
    number: int
    state: str = "fetching"
    cause: str | None = None
    epoch: int = 0


class Worker:
    def __init__(self, world: "World", name: str, type_: dict[str, Any], zone: str, spot: bool):
        self.world, self.name, self.type, self.zone, self.spot = world, name, type_, zone, spot
        self.address = f"{name}:9000"
        self.since = trio.current_time()
        self.alive, self.up, self.faulty = True, False, False
        self.released_busy = False  # returned to the cloud with tasks running on it
        self.session, self.seq, self.token = 1, 0, 0
        self.notice_at: float | None = None
        self.tasks: dict[str, Attempt] = {}
        self.images: set[str] = set()
        self.hung_until = 0.0
        self.changed = trio.Event()
        self.lease_from = 0.0
        self.scope = trio.CancelScope()

    def on_machine(self) -> list[str]:
        return [t for t, a in self.tasks.items() if a.state in ("running", "flushing")]

    def die(self) -> None:
        self.alive = False
        self.scope.cancel()
        self.world.network.handlers.pop(self.address, None)

    async def run(self) -> None:
        with self.scope:
            await trio.sleep(self.type["startupS"] * self.world.rng.uniform(0.3, 1.5))
            self.up = True
            self.lease_from = trio.current_time()
            self.world.network.handlers[self.address] = self.handle
            async with trio.open_nursery() as nursery:
                self.nursery = nursery
                nursery.start_soon(self._report_loop)
                nursery.start_soon(self._lease_loop)

    async def _awake(self) -> None:
        while self.hung_until > trio.current_time():
            await trio.sleep_until(self.hung_until)

    async def _lease_loop(self) -> None:
        lease_s = self.world.settings[0].settings.workers.lease_s
        while True:
            # A hanging machine may continue only within its lease.
            await trio.sleep_until(self.lease_from + lease_s + 0.001)
            if trio.current_time() > self.lease_from + lease_s:
                self.tasks.clear()
                self.session += 1
                self.lease_from = trio.current_time()
                self.changed.set()

    def report(self) -> dict[str, Any]:
        self.seq += 1
        left = None if self.notice_at is None else max(0.0, self.notice_at - trio.current_time())
        return {
            "host": self.name, "address": self.address, "build": self.type["label"],
            "district": self.zone, "loaners": self.spot, "shift": self.session,
            "tally": self.seq, "baton": self.token, "warningS": left,
            "pieces": [
                {"piece": t, "try": a.number, "status": a.state, "cause": a.cause}
                for t, a in self.tasks.items()
            ],
        }

    async def _report_loop(self) -> None:
        report_s = self.world.settings[0].settings.workers.report_s
        rng = self.world.rng
        names = self.world.names
        node = rng.choice(names)
        while True:
            await self._awake()
            self.changed = trio.Event()
            sent_at, session = trio.current_time(), self.session
            address = f"10.0.0.{names.index(node) + 1}:8080"
            try:
                status, body, _ = await self.world.network.call(
                    self.name, address, "POST", "/checkin", self.report(), 4.0
                )
            except Unreachable:
                status, body = 0, None
            await self._awake()
            if status == 200:
                if body["baton"] >= self.token and session == self.session:
                    self._see(body["baton"])
                    self.lease_from = max(self.lease_from, sent_at)
                    self._obey(body["orders"])
                await trio.sleep(0.5)
                with trio.move_on_after(report_s * rng.uniform(0.75, 1.25) - 0.5):
                    await self.changed.wait()
            elif status == 421 and body.get("foreman") in names and body["foreman"] != node:
                node = body["foreman"]
                await trio.sleep(rng.uniform(0, 0.5))
            else:
                node = names[(names.index(node) + 1) % len(names)]
                await trio.sleep(1.0)

    def _see(self, token: int) -> None:
        if token > self.token:
            self.token = token
            self.changed.set()

    async def handle(self, method: str, target: str, body: bytes) -> Reply:
        await self._awake()
        raw = decode(body)
        if raw["baton"] < self.token or raw["shift"] != self.session:
            return Reply(409, self.report())
        self._see(raw["baton"])
        self._obey(raw["orders"])
        return Reply(200, self.report())

    def _obey(self, orders: list[dict[str, Any]]) -> None:
        for order in orders:
            task, number = order["piece"], order["try"]
            attempt = self.tasks.get(task)
            match order["verb"]:
                case "run":
                    if attempt is None:
                        self.tasks[task] = Attempt(number)
                        self.nursery.start_soon(self._run, task, self.tasks[task])
                case "kill" if attempt is not None and attempt.number == number:
                    if attempt.state != "ended":
                        attempt.state, attempt.cause = "ended", "stopped"
                case "forget" if attempt is not None and attempt.number == number:
                    if attempt.state == "ended":
                        del self.tasks[task]
            self.changed.set()

    async def _run(self, task: str, attempt: Attempt) -> None:
        uid = task.rpartition("/")[0]
        spec = self.world.checker.specs[uid]
        session = self.session
        if spec["kit"] not in self.images:
            await trio.sleep(spec["imageGb"] / self.type["fetchGbPerS"])
            self.images.add(spec["kit"])
        await self._awake()

        def current() -> bool:
            mine = self.tasks.get(task) is attempt and self.session == session
            return self.alive and mine and attempt.state != "ended"

        if not current():
            return
        attempt.state = "running"
        self.world.checker.started(self, task)
        self.changed.set()
        if self.faulty or spec.get("broken"):
            await trio.sleep(0.5)
            outcome = "error"
        else:
            await trio.sleep(0.0 if task in self.world.results else spec["really"])
            outcome = "done"
        await self._awake()
        if current():
            attempt.state, attempt.cause = "ended", outcome
            if outcome == "done":
                self.world.results.add(task)
            self.changed.set()


# Makes a controller of settings, network, clock and randomness.
Program = Callable[..., Any]


class World:
    def __init__(self, settings: list[Settings], seed: int) -> None:
        self.settings = settings
        self.names = settings[0].node_names
        self.rng = random.Random(seed)
        self.network = Network(self)
        self.state = StateService()
        self.cloud = Cloud(self)
        self.checker = Checker(self)
        self.workers: dict[str, Worker] = {}
        self.results: set[str] = set()
        self.scopes: list[trio.CancelScope] = [trio.CancelScope() for _ in settings]
        self.nodes: dict[int, Any] = {}
        # What runs as a controller; a roll replaces it, one after the other.
        self.programs: list[Program] = [Node for _ in settings]
        self.nursery: trio.Nursery
        self._machines = 0
        self._restarts = 0

    def rent(self, label: str, zone: str, spot: bool) -> str:
        self._machines += 1
        name = f"m-{self._machines:06d}"
        type_ = next(t for t in TYPES if t["label"] == label)
        self.workers[name] = Worker(self, name, type_, zone, spot)
        self.nursery.start_soon(self.workers[name].run)
        return name

    async def _node(self, n: int) -> None:
        """A controller that is started again whenever it ends."""
        host = f"10.0.0.{n + 1}"
        while True:
            self._restarts += 1
            rng = random.Random(f"{n}-{self._restarts}")
            with trio.CancelScope() as self.scopes[n]:
                node = self.programs[n](
                    self.settings[n], self.network.at(host),
                    lambda: WALL + trio.current_time(), rng,
                )
                self.nodes[n] = node
                await node.run()
            await trio.sleep(4.0)

    def crash(self, *numbers: int) -> None:
        for n in numbers:
            self.scopes[n].cancel()

    @contextmanager
    def _during(self, cut: Cut) -> Iterator[None]:
        self.network.cuts.append(cut)
        try:
            yield
        finally:
            self.network.cuts.remove(cut)
            cut.over.set()

    def cut(self, one: set[str], two: set[str], hold: bool) -> AbstractContextManager[None]:
        return self._during(Cut((one, two), hold))

    def zone_of(self, host: str) -> str:
        if (worker := self.workers.get(host)) is not None:
            return worker.zone
        number = int(host.rpartition(".")[2]) if host.startswith("10.0.0.") else 0
        return self.settings[number - 1].area if number else ""

    def cut_zones(self, hold: bool) -> AbstractContextManager[None]:
        """Zones that cannot reach each other; what is regional reaches all."""

        class Zones(Cut):
            def parts(cut, a: str, b: str) -> bool:
                one, two = self.zone_of(a), self.zone_of(b)
                return bool(one and two) and one != two

        return self._during(Zones((set(), set()), hold))

    async def ask(self, method: str, path: str, body: Any = None) -> tuple[int, Any]:
        node = self.rng.randrange(len(self.settings)) + 1
        try:
            status, answer, _ = await self.network.call(
                "users", f"10.0.0.{node}:8080", method, path, body, 5.0
            )
        except Unreachable:
            return 0, None
        return status, answer

    async def user(self, uid: str, delay: float, changes: dict[str, Any]) -> None:
        """Submits until accepted, polls until over, cancels if told to. Waits before until
        those that the job needs are accepted, or, if it is to come late, are over."""
        checker = self.checker
        late = changes.pop("late", False)
        cancel_after = changes.pop("cancel_after", None)
        really = changes.pop("really", 8.0)
        broken = changes.pop("broken", False)
        body = job_body(uid, **changes)
        await trio.sleep(delay)
        for name in changes.get("awaits", ()):
            while name not in (checker.final if late else checker.accepted):
                await trio.sleep(0.2)
        checker.specs[uid] = {**body, "really": really, "broken": broken}
        while uid not in checker.accepted:
            status, answer = await self.ask("POST", "/v1/jobs", body)
            checker.answered(uid, status, answer, "submit")
            if uid not in checker.accepted:
                await trio.sleep(1.0)
        accepted_at = trio.current_time()
        while True:
            await trio.sleep(self.rng.uniform(1.0, 3.0))
            if cancel_after is not None and trio.current_time() > accepted_at + cancel_after:
                checker.asked_to_cancel.add(uid)
                if checker.final.get(uid) is None:
                    status, answer = await self.ask("POST", f"/v1/jobs/{uid}/cancel")
                    checker.answered(uid, status, answer, "cancel")
            status, answer = await self.ask("GET", f"/v1/jobs/{uid}")
            checker.answered(uid, status, answer, "poll")
            if self.rng.random() < 0.1:
                status, answer = await self.ask("POST", "/v1/jobs", body)
                checker.answered(uid, status, answer, "submit")

    async def _cloud_history(self) -> None:
        while True:
            self.cloud.snapshot()
            self.state.expire()
            await trio.sleep(0.5)

    async def _serve(self, address: str, handler: Callable[..., Awaitable[Reply]]) -> None:
        self.network.handlers[address] = handler

    async def play(
        self, jobs: list[dict[str, Any]], script: Callable[["World"], Awaitable[None]],
        seconds: float,
    ) -> None:
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            await self._serve("10.2.0.1:2379", self.state.handle)
            await self._serve("10.2.0.2:8443", self.cloud.handle)
            nursery.start_soon(self._cloud_history)
            nursery.start_soon(self.checker.watch)
            for n in range(len(self.settings)):
                nursery.start_soon(self._node, n)
            for i, job in enumerate(jobs):
                changes = dict(job)
                nursery.start_soon(
                    self.user, f"wk-{i + 1:06d}", changes.pop("delay", 0.0), changes
                )
            nursery.start_soon(script, self)
            await trio.sleep(seconds)
            nursery.cancel_scope.cancel()

    @property
    def unfinished(self) -> set[str]:
        return {uid for uid in self.checker.specs if uid not in self.checker.final}


def play(
    settings: list[Settings], seed: int, jobs: list[dict[str, Any]],
    script: Callable[[World], Awaitable[None]], seconds: float,
) -> World:
    """One day in simulated time, the same every time."""
    trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True  # type: ignore[attr-defined]
    trio._core._run._r.seed(seed)  # type: ignore[attr-defined]
    world = World(settings, seed)

    async def main() -> None:
        await world.play(jobs, script, seconds)

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    return world


