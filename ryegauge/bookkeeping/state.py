"""Client of the state service that keeps to this controller's share of the rate limits."""

from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple, Protocol
from urllib.parse import quote

import trio

from ryegauge.bookkeeping.budget import RESERVE_DEFAULT, RESERVE_INTERACTIVE, RESERVE_URGENT, Budget
from ryegauge.bookkeeping.epochs import EPOCH_KEY, version_of_token
from ryegauge.transport.http import HttpClient, Unreachable

# Pause after a 429. The service allows bursts of one second's worth of requests, so a small
# part of a second is enough.
RATE_LIMIT_RETRY_S = 0.05

# Sum of all controllers' shares of the write rate, relative to the limit.
WRITE_OVERCOMMIT = 1.6

# Sends a request through a peer: (method, target, body, timeout in s) -> (status, answer), or
# None if no peer returned an answer. A request with changes has then not been executed: no peer
# sent it, or the service refused it with 503. If it may have been executed, OutcomeUnknown is
# raised.
Relayer = Callable[[str, str, Any, float], Awaitable[tuple[int, Any] | None]]


class Unavailable(Exception):
    """The request was certainly not executed: 429, 503 or no share of the rate limit left."""


class RateLimited(Unavailable):
    """The request was refused with 429 and not executed."""


class OutcomeUnknown(Exception):
    """No conclusive answer: the request may have been executed, or may still be."""


class Gone(Exception):
    """The lease or the requested revision no longer exists."""


class Put(NamedTuple):
    """Writes a value, which the service deletes when the lease ends, if one is given."""

    key: str
    value: Any
    lease: int | None = None


class Delete(NamedTuple):
    """Deletes a key."""

    key: str


class Conflict(Exception):
    """A transaction was not executed, since the guards of the `failed` keys do not hold."""

    def __init__(self, failed: list[str]) -> None:
        super().__init__(", ".join(failed))
        self.failed = failed


class Transaction(NamedTuple):
    """Changes that are committed together if every guarded key still has the given version
    (0: the key does not exist)."""

    guards: dict[str, int]
    changes: list[Put | Delete]


class Event(NamedTuple):
    """A key's value at a revision, as a full read or a read of changes returns it."""

    key: str
    value: Any  # None: deleted
    version: int


class CommitObserver(Protocol):
    """Compares the service's answers to detect a loss of its data (`rebuilding`). Present only
    if rebuilding is enabled."""

    @property
    def epoch_version(self) -> int:
        """Version of the epoch's record. It guards every transaction, so that none that was
        decided before a loss is executed after it."""

    def on_committed(self, revision: int, puts: list[Put]) -> None:
        """A transaction of ours was committed at the revision."""
        ...

    def on_conflict(self, guards: dict[str, int], failed: list[str]) -> None:
        """A transaction of ours failed on the guards of the `failed` keys."""
        ...


class StateClient:
    """Sends reads and transactions within this controller's rate budgets.

    The methods that send requests, except `send_directly`, raise Unavailable if the request was
    certainly not executed and OutcomeUnknown if it may have been; some also raise Gone or
    Conflict. Timeouts are in seconds."""

    def __init__(self, client: HttpClient, rps: float, write_rps: float, nodes: int) -> None:
        """`rps`, `write_rps`: the service's limits, in requests and changes per second, which
        `nodes` controllers have in common."""
        self._client = client
        self.observer: CommitObserver | None = None
        # A tenth of the limits stays unused, since the service counts by its own clock.
        self._rps, self._write_rps = 0.9 * rps, 0.9 * write_rps
        self.requests = Budget(self._rps / nodes, self._rps / nodes)
        self.writes = Budget(self._write_rps / nodes, self._write_rps / nodes)
        # Transactions answered 429: the controllers together exceed the limit.
        self.rate_limited_writes = 0
        # Since when the service has not served this controller directly; None while it does.
        self.failing_since: float | None = None
        self._relay_after_s = 0.0
        self._relayer: Relayer | None = None

    def resize_budgets(self, live_count: int, is_leader: bool) -> None:
        """Sets this controller's share of the limits that all live controllers have in common.

        The leader writes for all of them, so most of the write rate is its own. The shares of the
        write rate add up to WRITE_OVERCOMMIT times the limit: controllers seldom need theirs at
        once, exact shares would leave unused what another one lacks, and a 429 guarantees that
        nothing was executed."""
        total_shares = (3 * live_count - 1) / 2
        write_share = min(
            1.0, WRITE_OVERCOMMIT * ((live_count + 1) / 2 if is_leader else 1.0) / total_shares
        )
        self.requests.resize(self._rps / live_count, self._rps / live_count)
        self.writes.resize(self._write_rps * write_share, self._write_rps * max(write_share, 0.5))

    def use_relay(self, relayer: Relayer, relay_after_s: float) -> None:
        """Sends requests through peers once the service has not served us for `relay_after_s`."""
        self._relayer, self._relay_after_s = relayer, relay_after_s

    async def send_directly(
        self, method: str, target: str, body: Any, timeout_s: float
    ) -> tuple[int, Any]:
        """Sends one request without budget or relay, for this controller or for a peer. Returns
        (status, answer); raises OutcomeUnknown if there was no answer."""
        try:
            status, answer, _ = await self._client.request(
                method, target, body, timeout_s=timeout_s
            )
        except Unreachable as error:
            self._mark_failing()
            raise OutcomeUnknown(str(error)) from None
        if status == 503:
            self._mark_failing()
        else:
            self.failing_since = None
        return status, answer

    def _mark_failing(self) -> None:
        """Notes that the service has just not served us."""
        if self.failing_since is None:
            self.failing_since = trio.current_time()

    async def _request(
        self, method: str, target: str, body: Any = None, *, timeout_s: float, urgent: bool
    ) -> tuple[int, Any]:
        """Sends one request within the budget, through a peer after a longer outage."""
        await self.requests.take(reserve=RESERVE_URGENT if urgent else RESERVE_DEFAULT)
        not_served_since = self.failing_since
        if (
            self._relayer is not None
            and not_served_since is not None
            and trio.current_time() - not_served_since > self._relay_after_s
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
        """Reads a key: (value, version), or None if it does not exist."""
        status, answer = await self._request(
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
        """Reads one page of the keys under a prefix, after the key `after`: the records, whether
        there are more, and the revision of the page."""
        target = f"/kv?under={quote(prefix)}&page=500"
        if after is not None:
            target += f"&since={quote(after)}"
        status, answer = await self._request("GET", target, timeout_s=timeout_s, urgent=True)
        if status != 200:
            raise OutcomeUnknown(f"status {status}")
        items = [Event(i["path"], i["data"], i["stamp"]) for i in answer["items"]]
        return items, bool(answer.get("hasNext")), answer["ledger"]

    async def changes(
        self, prefix: str, since: int, *, timeout_s: float, urgent: bool
    ) -> tuple[list[Event], int]:
        """Reads the changes under a prefix after revision `since`, without waiting for any, and
        the revision up to which they are complete. Raises Gone if `since` is too old."""
        status, answer = await self._request(
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
        """Commits one transaction and returns its revision. Raises Conflict, Gone (the lease has
        ended), Unavailable (not executed) or OutcomeUnknown (may be executed, even later).

        `guards`: versions or fencing tokens by key, 0 for a key that must not exist. `reserve`:
        the part of the write budget to leave to more urgent requests. `across_epochs`: do not
        guard by the epoch's record, for the transaction that begins an epoch."""
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
        deadline = trio.current_time() + timeout_s
        while True:
            try:
                status, answer = await self._request(
                    "POST",
                    "/multi",
                    body,
                    timeout_s=timeout_s,
                    urgent=reserve <= RESERVE_INTERACTIVE,
                )
                break
            except RateLimited:
                # Not executed: a burst of another controller used up the limit.
                if trio.current_time() > deadline:
                    raise
                # Requests that users wait for are retried at once; others queue again.
                await trio.sleep(RATE_LIMIT_RETRY_S)
                if reserve > RESERVE_INTERACTIVE:
                    await self.writes.take(1.0, RESERVE_URGENT)
        if status == 200:
            if self.observer is not None and not across_epochs:
                if self.observer.epoch_version != epoch_version:
                    # It may have been executed before a loss and be lost with the other data.
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
        """Obtains a lease of `ttl_s` seconds and returns its number."""
        status, answer = await self._request(
            "POST", "/grants", {"ttlMs": int(ttl_s * 1000)}, timeout_s=timeout_s, urgent=True
        )
        if status != 200:
            raise OutcomeUnknown(f"status {status}")
        return int(answer["tenure"])

    async def extend_lease(self, lease: int, *, timeout_s: float) -> None:
        """Renews a lease for its full duration. Raises Gone if it has ended."""
        status, _ = await self._request(
            "POST", f"/grants/{lease}/extend", {}, timeout_s=timeout_s, urgent=True
        )
        if status == 404:
            raise Gone
        if status != 200:
            raise OutcomeUnknown(f"status {status}")
