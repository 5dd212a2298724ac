"""An emulator of the cloud's API: idempotent rentals by name, releases, and a list of machines
that lags behind."""

import random
from collections.abc import Callable, Iterable
from typing import Any
from urllib.parse import parse_qs, urlsplit

import trio

from ryegauge.emulator.fleet import FleetType
from ryegauge.emulator.workers import Worker
from ryegauge.transport.http import Reply, decode

LIST_SNAPSHOT_INTERVAL_S = 0.5  # between the snapshots from which lists are answered
FAILED_STATUS_DELAY_S = 30.0  # from a machine's failure until it is listed as failed
MIN_BILLED_S = 60.0  # minimum billed time of a machine


class Cloud:
    """Rents out and takes back the machines of a fleet. `rent` starts a machine of a type, in a
    zone, as spot or not, and returns its name; `returned` is called when one is released."""

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
        self.rentals: dict[str, list[str]] = {}  # name of a rental -> its machines
        self._list_history: list[tuple[float, list[dict[str, Any]]]] = []

    async def run(self) -> None:
        """Takes snapshots of the list of machines until cancelled."""
        while True:
            self._snapshot()
            await trio.sleep(LIST_SNAPSHOT_INTERVAL_S)

    def _snapshot(self) -> None:
        now = trio.current_time()
        machines = [
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
        recent = [
            entry
            for entry in self._list_history
            if entry[0] > now - 4 * self._lag_s - LIST_SNAPSHOT_INTERVAL_S
        ]
        self._list_history = [*recent, (now, machines)]

    @staticmethod
    def _status(worker: Worker, now: float) -> str:
        if worker.lost_at is not None and now - worker.lost_at > FAILED_STATUS_DELAY_S:
            return "failed"
        return "running" if worker.up else "starting"

    def cost(self, now: float) -> float:
        """Cost of all machines up to `now`, at list prices."""
        total = 0.0
        for w in self._workers.values():
            held_s = max(MIN_BILLED_S, (now if w.ended_at is None else w.ended_at) - w.since)
            total += held_s / 3600 * (w.type.spot_price if w.spot else w.type.price)
        return total

    async def handle(self, method: str, target: str, body: bytes) -> Reply:
        """Answers one request; 503 during an injected outage."""
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
                    worker.returned_while_busy |= worker.alive and bool(worker.active_tasks())
                    worker.shut_down()
            return Reply(200, {})
        if url.path == "/hosts":
            return self._handle_rental(raw)
        return Reply(400, {"error": f"{method} {url.path}"})

    def _list(self, query: dict[str, str]) -> Reply:
        lag_s = self._rng.uniform(0.5, 2.0) * self._lag_s
        visible = [entry for entry in self._list_history if entry[0] <= trio.current_time() - lag_s]
        hosts = [
            entry
            for entry in (visible[-1][1] if visible else [])
            if entry["uid"] > query.get("since", "")
        ]
        page = min(500, int(query.get("page", 500)))
        return Reply(200, {"hosts": hosts[:page], "hasNext": len(hosts) > page})

    def _handle_rental(self, raw: dict[str, Any]) -> Reply:
        if raw["hire"] in self.rentals:
            return Reply(200, {"hosts": self.rentals[raw["hire"]]})
        type_ = self._fleet.get(raw["build"])
        if type_ is None or raw["district"] not in type_.zones:
            return Reply(400, {"error": "no such type there"})
        spot = raw["loaners"]
        rented_count = sum(
            w.alive and (w.type, w.spot) == (type_, spot) for w in self._workers.values()
        )
        count = min(raw["count"], 50, type_.capacity(spot) - rented_count)
        if count <= 0:
            return Reply(503, {"error": "no capacity"})
        names = [self._rent(type_, raw["district"], spot) for _ in range(count)]
        self.rentals[raw["hire"]] = names
        return Reply(200, {"hosts": names})
