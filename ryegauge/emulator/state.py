"""An in-memory emulator of the state service: conditional atomic transactions, versions, leases,
watches, pages and limits."""

import json
from bisect import bisect_right
from collections import deque
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

import trio

from ryegauge.bookkeeping.budget import Budget
from ryegauge.transport.http import Reply, decode

# Key -> (value, version, lease or None).
StoredData = dict[str, tuple[Any, int, int | None]]
# Lease -> (time to live in seconds, end).
StoredLeases = dict[int, tuple[float, float]]


class StateService:
    """The service and the faults injected into it.

    `value_kb` and `txn_ops`: limits of a value's size and of a transaction's operations, above
    which it answers 400; `rps` and `write_rps`: limits of requests and changes per second, above
    which it answers 429, none by default; `page`: maximum of items in a page.
    """

    MAX_LOG_EVENTS = 10_000
    MAX_PAGE_BYTES = 512 * 1024

    def __init__(
        self,
        *,
        value_kb: float = 16.0,
        txn_ops: int = 12,
        rps: float | None = None,
        write_rps: float | None = None,
        page: int = 1000,
    ) -> None:
        self._request_budget = None if rps is None else Budget(rps, rps)
        self._change_budget = None if write_rps is None else Budget(write_rps, write_rps)
        self._max_page_items = page
        self.on_write: list[Callable[[str, Any], None]] = []  # called with each key and value
        self.revision = 0
        self.data: StoredData = {}
        self.log: list[tuple[int, dict[str, Any]]] = []
        self._compacted_revision = 0  # latest revision that is no longer in the log
        self._event_added = trio.Event()
        self.leases: StoredLeases = {}
        self.outage = False
        self.value_kb, self.txn_ops = value_kb, txn_ops
        self.rejected_transactions = 0  # answered 400 for their size or number of operations
        self.rate_limited_requests = 0  # answered 429, for their own rate or that of changes
        self.writes = 0  # operations of executed transactions
        self.requests = 0  # received outside of outages
        self._last_lease_id = 0
        # Earlier states for `go_back`, kept for this long; 0: none are kept.
        self.history_s = 0.0
        self._history: deque[tuple[float, int, StoredData, StoredLeases]] = deque()

    # -- data loss --------------------------------------------------------------------------

    def record_history(self) -> None:
        """Keeps the present state for `go_back`."""
        now = trio.current_time()
        self._history.append((now, self.revision, dict(self.data), dict(self.leases)))
        while self._history[0][0] < now - self.history_s:
            self._history.popleft()

    def restore_earlier_state(self, seconds: float, *, leases: bool = True) -> None:
        """Returns to the state of `seconds` ago, as a restored backup or a stale replica would.
        Leases of that state have their full time again, or are lost as well."""
        now = trio.current_time()
        while len(self._history) > 1 and self._history[-1][0] > now - seconds:
            self._history.pop()
        _, self.revision, data, saved_leases = self._history[-1]
        self.data = dict(data)
        self.leases = (
            {i: (ttl, now + ttl) for i, (ttl, _) in saved_leases.items()} if leases else {}
        )
        self._last_lease_id = max(saved_leases, default=0)
        self.log = [change for change in self.log if change[0] <= self.revision]

    def lose_all(self) -> None:
        """Starts again empty, at revision 0."""
        self.revision, self._compacted_revision, self._last_lease_id = 0, 0, 0
        self.data, self.leases, self.log = {}, {}, []

    def lose_records(self, prefix: str, every: int = 2) -> None:
        """Drops one in `every` records under the prefix, in the order of keys, without events."""
        for key in sorted(key for key in self.data if key.startswith(prefix))[::every]:
            del self.data[key]

    def end_outage(self) -> None:
        """Answers again; all leases have their full time."""
        self.outage = False
        now = trio.current_time()
        self.leases = {i: (ttl, now + ttl) for i, (ttl, _) in self.leases.items()}

    def expire(self) -> None:
        """Deletes leases that have ended, with their keys; none ends during an outage."""
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
        self._append_event({"delete": key, "stamp": self.revision})

    async def handle(self, method: str, target: str, body: bytes) -> Reply:
        """Answers one request; 503 during an injected outage."""
        self.expire()
        if self.outage:
            return Reply(503, {"error": "trouble"})
        self.requests += 1
        if self._request_budget is not None and not self._request_budget.try_take(reserve=0.0):
            self.rate_limited_requests += 1
            return Reply(429, {"error": "too many requests"})
        url = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        path = unquote(url.path)
        raw: Any = decode(body) if body else None
        if method == "GET" and path.startswith("/kv/"):
            entry = self.data.get(path[4:])
            if entry is None:
                return Reply(404, {"ledger": self.revision})
            return Reply(200, {"path": path[4:], "data": entry[0], "stamp": entry[1]})
        if method == "GET" and path == "/kv":
            return self._list(query)
        if path == "/watch":
            return await self._watch(query)
        if path == "/multi":
            return self._multi(raw)
        if path == "/grants":
            self._last_lease_id += 1
            ttl = raw["ttlMs"] / 1000
            self.leases[self._last_lease_id] = (ttl, trio.current_time() + ttl)
            return Reply(200, {"tenure": self._last_lease_id})
        if path.endswith("/extend"):
            lease = int(path.split("/")[2])
            if lease not in self.leases:
                return Reply(404, {})
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, trio.current_time() + ttl)
            return Reply(200, {"tenure": lease})
        if method == "DELETE" and path.startswith("/grants/"):
            lease = int(path.split("/")[2])
            if lease in self.leases:
                self.leases[lease] = (0.0, -1.0)
                self.expire()
            return Reply(200, {})
        return Reply(400, {"error": f"{method} {path}"})

    def _list(self, query: dict[str, str]) -> Reply:
        under, since = query.get("under", ""), query.get("since", "")
        keys = sorted(k for k in self.data if k.startswith(under) and k > since)
        limit = min(int(query.get("page", 1000)), self._max_page_items)
        items: list[dict[str, Any]] = []
        size = 0
        for key in keys[:limit]:
            item = {"path": key, "data": self.data[key][0], "stamp": self.data[key][1]}
            size += len(json.dumps(item))
            if items and size > self.MAX_PAGE_BYTES:
                break
            items.append(item)
        more = len(keys) > len(items)
        return Reply(200, {"items": items, "hasNext": more, "ledger": self.revision})

    async def _watch(self, query: dict[str, str]) -> Reply:
        since, under = int(query["since"]), query.get("under", "")
        if since < self._compacted_revision:
            return Reply(410, {"error": "too old", "ledger": self.revision})
        until = trio.current_time() + min(60_000, int(query.get("waitMs", 0))) / 1000
        while True:
            first = bisect_right(self.log, since, key=lambda change: change[0])
            events = [
                e for _, e in self.log[first:] if (e.get("write") or e["delete"]).startswith(under)
            ]
            if events or trio.current_time() >= until:
                return Reply(200, {"ledger": self.revision, "events": events})
            with trio.move_on_at(until):
                await self._event_added.wait()

    def _append_event(self, event: dict[str, Any]) -> None:
        self.log.append((self.revision, event))
        if len(self.log) > self.MAX_LOG_EVENTS:
            self._compacted_revision = self.log[0][0]
            del self.log[0]
        self._event_added.set()
        self._event_added = trio.Event()

    def _multi(self, raw: Any) -> Reply:
        if len(raw["apply"]) > self.txn_ops or len(raw["if"]) > 4 * self.txn_ops:
            self.rejected_transactions += 1
            return Reply(400, {"error": "too many"})
        for change in raw["apply"]:
            size = len(json.dumps(change.get("data")))
            if size > 1024 * self.value_kb:
                self.rejected_transactions += 1
                return Reply(400, {"error": "too large"})
        for change in raw["apply"]:
            if change.get("tenure") is not None and change["tenure"] not in self.leases:
                return Reply(400, {"error": "no such lease"})
        cost = float(len(raw["apply"]))
        if cost and self._change_budget is not None and not self._change_budget.try_take(cost, 0.0):
            self.rate_limited_requests += 1
            return Reply(429, {"error": "too many changes"})
        versions = {c["path"]: c["stamp"] for c in raw["if"]}
        failed = [k for k, v in versions.items() if (self.data[k][1] if k in self.data else 0) != v]
        if failed:
            return Reply(409, {"failed": failed, "ledger": self.revision})
        if raw["apply"]:
            self.revision += 1
            self.writes += len(raw["apply"])
        for change in raw["apply"]:
            if "write" in change:
                key = change["write"]
                for listener in self.on_write:
                    listener(key, change["data"])
                self.data[key] = (change["data"], self.revision, change.get("tenure"))
                self._append_event({"write": key, "data": change["data"], "stamp": self.revision})
            elif change["delete"] in self.data:
                self._delete(change["delete"])
        return Reply(200, {"ledger": self.revision})
