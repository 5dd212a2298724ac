"""The client of the state service, within this controller's share of its limits."""

from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple, Protocol
from urllib.parse import quote

import trio

from ryegauge.bookkeeping.budget import RESERVE_DEFAULT, RESERVE_INTERACTIVE, RESERVE_URGENT, Budget
from ryegauge.bookkeeping.epochs import EPOCH_KEY, version_of_token
from ryegauge.transport.http import HttpClient, Unreachable

# After a 429: a small part of the second that the service's bursts are worth.
RETRY_S = 0.05

# What all controllers' parts of the changes come to, of the limit.
OVERCOMMIT = 1.6

# Sends a request by way of a peer; None if no peer got an answer for us.
Relayer = Callable[[str, str, Any, float], Awaitable[tuple[int, Any] | None]]


class Unavailable(Exception):
    """Refused or not executed for certain: 429, 503 or no share left."""


class RateLimited(Unavailable):
    """Refused for its rate, not executed."""


class OutcomeUnknown(Exception):
    """No answer: it may have been executed, or may still be."""


class Gone(Exception):
    """The lease or the revision asked for no longer exists."""


class Put(NamedTuple):
    key: str
    value: Any
    lease: int | None = None


class Delete(NamedTuple):
    key: str


class Conflict(Exception):
    def __init__(self, failed: list[str]) -> None:
        super().__init__(", ".join(failed))
        self.failed = failed


class Transaction(NamedTuple):
    """Changes that are made together, if all that they rest on still is as the book says."""

    guards: dict[str, int]
    changes: list[Put | Delete]


class Event(NamedTuple):
    key: str
    value: Any  # None: deleted
    version: int


class StateObserver(Protocol):
    """What sees to it that the service has lost nothing (`rebuilding`). Not there unless
    switched on."""

    @property
    def epoch_version(self) -> int:
        """Of the era's record: every transaction is guarded by it, so that none that was
        decided before a loss is executed after it."""

    def on_committed(self, revision: int, puts: list[Put]) -> None: ...

    def on_conflict(self, guards: dict[str, int], failed: list[str]) -> None: ...


class StateClient:
    def __init__(self, client: HttpClient, rps: float, write_rps: float, nodes: int) -> None:
        self._client = client
        self.observer: StateObserver | None = None
        # A tenth stays unused: the service counts by its own clock.
        self._rps, self._write_rps = 0.9 * rps, 0.9 * write_rps
        self.requests = Budget(self._rps / nodes, self._rps / nodes)
        self.writes = Budget(self._write_rps / nodes, self._write_rps / nodes)
        self.rate_limited_writes = 0  # transactions answered 429: together we write too fast
        # When it last served us directly, and since when it has not.
        self.failing_since: float | None = None
        self._patience_s = 0.0
        self._relayer: Relayer | None = None

    def resize_budgets(self, live: int, leads: bool) -> None:
        """Our part of the limits, which all live controllers have in common. The leader
        writes for all of them, so most of the writes are its own. Together the parts are
        more than there is, since seldom do all need theirs at once: what was unused by
        one was missing to another, and 429 says that nothing was executed."""
        total = (3 * live - 1) / 2
        part = min(1.0, OVERCOMMIT * ((live + 1) / 2 if leads else 1.0) / total)
        self.requests.resize(self._rps / live, self._rps / live)
        self.writes.resize(self._write_rps * part, self._write_rps * max(part, 0.5))

    def use_relay(self, relayer: Relayer, patience_s: float) -> None:
        """Peers carry our requests once the service has refused us for so long."""
        self._relayer, self._patience_s = relayer, patience_s

    async def send_directly(
        self, method: str, target: str, body: Any, timeout_s: float
    ) -> tuple[int, Any]:
        """One request as it is, for ourselves or for a peer."""
        try:
            status, answer, _ = await self._client.request(
                method, target, body, timeout_s=timeout_s
            )
        except Unreachable as error:
            self._failed()
            raise OutcomeUnknown(str(error)) from None
        if status == 503:
            self._failed()
        else:
            self.failing_since = None
        return status, answer

    def _failed(self) -> None:
        if self.failing_since is None:
            self.failing_since = trio.current_time()

    async def _call(
        self, method: str, target: str, body: Any = None, *, timeout_s: float, urgent: bool
    ) -> tuple[int, Any]:
        await self.requests.take(reserve=RESERVE_URGENT if urgent else RESERVE_DEFAULT)
        failing = self.failing_since
        if (
            self._relayer is not None
            and failing is not None
            and trio.current_time() - failing > self._patience_s
            and (relayed := await self._relayer(method, target, body, timeout_s)) is not None
        ):
            status, answer = relayed
        else:
            status, answer = await self.send_directly(method, target, body, timeout_s)
        if status == 429:
            if target == "/multi":
                self.rate_limited_writes += 1
            (self.requests if target != "/multi" else self.writes).drain()
            raise RateLimited("429")
        if status == 503:
            raise Unavailable(str(status))
        return status, answer

    async def get(self, key: str, *, timeout_s: float) -> tuple[Any, int] | None:
        """(value, version), or None if there is no such key."""
        status, answer = await self._call(
            "GET", f"/kv/{quote(key)}", timeout_s=timeout_s, urgent=False
        )
        if status == 404:
            return None
        if status != 200:
            raise OutcomeUnknown(f"status {status}")
        return answer["data"], answer["stamp"]

    async def page(
        self, prefix: str, after: str | None, *, timeout_s: float
    ) -> tuple[list[Event], bool, int]:
        target = f"/kv?under={quote(prefix)}&page=500"
        if after is not None:
            target += f"&since={quote(after)}"
        status, answer = await self._call("GET", target, timeout_s=timeout_s, urgent=True)
        if status != 200:
            raise OutcomeUnknown(f"status {status}")
        items = [Event(i["path"], i["data"], i["stamp"]) for i in answer["items"]]
        return items, bool(answer.get("hasNext")), answer["ledger"]

    async def changes(
        self, prefix: str, since: int, *, timeout_s: float, urgent: bool
    ) -> tuple[list[Event], int]:
        """Everything under the prefix after a revision, read at once (no waiting)."""
        status, answer = await self._call(
            "GET",
            f"/watch?under={quote(prefix)}&since={since}&waitMs=0",
            timeout_s=timeout_s,
            urgent=urgent,
        )
        if status == 410:
            raise Gone
        if status != 200:
            raise OutcomeUnknown(f"status {status}")
        events = [
            Event(e["write"], e["data"], e["stamp"])
            if e.get("write") is not None
            else Event(e["delete"], None, e["stamp"])
            for e in answer["events"]
        ]
        return events, answer["ledger"]

    async def commit(
        self,
        guards: dict[str, int],
        changes: list[Put | Delete],
        *,
        timeout_s: float,
        reserve: float = RESERVE_DEFAULT,
        across_epochs: bool = False,
    ) -> int:
        """One transaction; returns its revision. Raises Conflict, Gone (the lease),
        Unavailable (not executed) or Unknown (may be executed, even later). Guards may be
        tokens. `across_eras`: not guarded by the era, since it begins one."""
        guards = {key: version_of_token(token) for key, token in guards.items()}
        epoch_version = 0 if self.observer is None else self.observer.epoch_version
        if self.observer is not None and changes and not across_epochs:
            guards.setdefault(EPOCH_KEY, epoch_version)
        if changes:
            await self.writes.take(float(len(changes)), reserve)
        apply: list[dict[str, Any]] = []
        for change in changes:
            if isinstance(change, Delete):
                apply.append({"delete": change.key})
            else:
                entry = {"write": change.key, "data": change.value}
                if change.lease is not None:
                    entry["tenure"] = change.lease
                apply.append(entry)
        body = {"if": [{"path": k, "stamp": v} for k, v in guards.items()], "apply": apply}
        until = trio.current_time() + timeout_s
        while True:
            try:
                status, answer = await self._call(
                    "POST",
                    "/multi",
                    body,
                    timeout_s=timeout_s,
                    urgent=reserve <= RESERVE_INTERACTIVE,
                )
                break
            except RateLimited:
                # Not executed: another controller's burst took what there was.
                if trio.current_time() > until:
                    raise
                # What users wait for tries again at once; the rest makes way.
                await trio.sleep(RETRY_S)
                if reserve > RESERVE_INTERACTIVE:
                    await self.writes.take(1.0, RESERVE_URGENT)
        if status == 200:
            if self.observer is not None and not across_epochs:
                if self.observer.epoch_version != epoch_version:
                    # Executed before a loss, for all we know, and gone with it.
                    raise OutcomeUnknown("an era has begun meanwhile")
                puts = [change for change in changes if isinstance(change, Put)]
                self.observer.on_committed(int(answer["ledger"]), puts)
            return int(answer["ledger"])
        if status == 409:
            failed = list(answer.get("failed", []))
            if self.observer is not None:
                self.observer.on_conflict(guards, failed)
            raise Conflict(failed)
        if status == 400 and isinstance(answer, dict) and answer.get("error") == "no such lease":
            raise Gone
        if status == 400:
            raise Unavailable(f"refused as malformed: {answer!r}")
        raise OutcomeUnknown(f"status {status}")

    async def grant_lease(self, ttl_s: float, *, timeout_s: float) -> int:
        status, answer = await self._call(
            "POST", "/grants", {"ttlMs": int(ttl_s * 1000)}, timeout_s=timeout_s, urgent=True
        )
        if status != 200:
            raise OutcomeUnknown(f"status {status}")
        return int(answer["tenure"])

    async def extend_lease(self, lease: int, *, timeout_s: float) -> None:
        status, _ = await self._call(
            "POST", f"/grants/{lease}/extend", {}, timeout_s=timeout_s, urgent=True
        )
        if status == 404:
            raise Gone
        if status != 200:
            raise OutcomeUnknown(f"status {status}")
