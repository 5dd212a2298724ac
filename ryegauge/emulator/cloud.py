"""A stand-in for the cloud, after its protocol: rentals by name, returns, a list that lags."""

import random
from collections.abc import Callable, Iterable
from typing import Any
from urllib.parse import parse_qs, urlsplit

import trio

from ryegauge.emulator.fleet import FleetType
from ryegauge.emulator.workers import Worker
from ryegauge.transport.http import Reply, decode

SNAPSHOT_S = 0.5
FAILED_S = 30.0  # after which a machine that stopped is listed as failed
MINIMUM_S = 60.0  # what a returned machine costs at least


class Cloud:
    def __init__(
        self,
        fleet: Iterable[FleetType],
        workers: dict[str, Worker],
        rng: random.Random,
        rent: Callable[[FleetType, str, bool], str],
        *,
        list_lag_s: float = 4.0,
        returned: Callable[[Worker], None] = lambda _: None,
    ) -> None:
        self._fleet = {type_.name: type_ for type_ in fleet}
        self._workers = workers
        self._rng = rng
        self._rent = rent
        self._returned = returned
        self._lag_s = list_lag_s
        self.outage = False
        self.hires: dict[str, list[str]] = {}
        self._history: list[tuple[float, list[dict[str, Any]]]] = []

    async def run(self) -> None:
        while True:
            self._snapshot()
            await trio.sleep(SNAPSHOT_S)

    def _snapshot(self) -> None:
        now = trio.current_time()
        listed = [
            {
                "uid": w.name,
                "address": w.address,
                "build": w.type.name,
                "district": w.zone,
                "loaners": w.spot,
                "status": self._status(w, now),
                "heldS": now - w.since,
            }
            for w in self._workers.values()
            if w.alive or w.lost_at is not None
        ]
        kept = [h for h in self._history if h[0] > now - 4 * self._lag_s - SNAPSHOT_S]
        self._history = [*kept, (now, listed)]

    @staticmethod
    def _status(worker: Worker, now: float) -> str:
        if worker.lost_at is not None and now - worker.lost_at > FAILED_S:
            return "failed"
        return "running" if worker.up else "starting"

    def cost(self, now: float) -> float:
        """What all machines have cost so far, at nominal prices."""
        total = 0.0
        for w in self._workers.values():
            held_s = max(MINIMUM_S, (now if w.ended_at is None else w.ended_at) - w.since)
            total += held_s / 3600 * (w.type.spot_price if w.spot else w.type.price)
        return total

    async def handle(self, method: str, target: str, body: bytes) -> Reply:
        await trio.sleep(self._rng.uniform(0.05, 0.3))
        if self.outage:
            return Reply(503, {"error": "trouble"})
        url = urlsplit(target)
        if url.path == "/catalog":
            return Reply(200, {"builds": [t.to_wire() for t in self._fleet.values()]})
        if url.path == "/hosts" and method == "GET":
            return self._list({k: v[0] for k, v in parse_qs(url.query).items()})
        raw = decode(body) if body else None
        if method != "POST" or not isinstance(raw, dict):
            return Reply(400, {"error": f"{method} {url.path}"})
        if url.path == "/hosts/release":
            for name in raw["hosts"]:
                if (worker := self._workers.get(name)) is not None:
                    if worker.alive or worker.lost_at is not None:
                        self._returned(worker)
                    worker.lost_at = None
                    worker.released_busy |= worker.alive and bool(worker.on_machine())
                    worker.die()
            return Reply(200, {})
        if url.path == "/hosts":
            return self._hire(raw)
        return Reply(400, {"error": f"{method} {url.path}"})

    def _list(self, query: dict[str, str]) -> Reply:
        lag_s = self._rng.uniform(0.5, 2.0) * self._lag_s
        seen = [h for h in self._history if h[0] <= trio.current_time() - lag_s]
        hosts = [h for h in (seen[-1][1] if seen else []) if h["uid"] > query.get("since", "")]
        page = min(500, int(query.get("page", 500)))
        return Reply(200, {"hosts": hosts[:page], "hasNext": len(hosts) > page})

    def _hire(self, raw: dict[str, Any]) -> Reply:
        if raw["hire"] in self.hires:
            return Reply(200, {"hosts": self.hires[raw["hire"]]})
        type_ = self._fleet.get(raw["build"])
        if type_ is None or raw["district"] not in type_.zones:
            return Reply(400, {"error": "no such type there"})
        spot = raw["loaners"]
        have = sum(w.alive and (w.type, w.spot) == (type_, spot) for w in self._workers.values())
        count = min(raw["count"], 50, type_.capacity(spot) - have)
        if count <= 0:
            return Reply(503, {"error": "no capacity"})
        names = [self._rent(type_, raw["district"], spot) for _ in range(count)]
        self.hires[raw["hire"]] = names
        return Reply(200, {"hosts": names})
