"""This controller's term: its lease with the state service, and the roles it holds."""

import logging

import trio

from ryegauge.bookkeeping.jobbook import JobBook
from ryegauge.bookkeeping.state import (
    Conflict,
    Delete,
    Gone,
    Put,
    StateClient,
    Unavailable,
    Unknown,
)
from ryegauge.bookkeeping.syncer import Syncer
from ryegauge.config import CLOCK_DRIFT, Settings
from ryegauge.coordination.parting import wanted_leader, wanted_owner

log = logging.getLogger(__name__)

LEADER_KEY = "r/l"


def part_key(part: int) -> str:
    return f"r/p/{part}"


class Term:
    """Authority counts from when the renewal was *sent*, less drift, and never past
    a term after the last read of the book: whoever hears of no cancellation must
    stop commanding as well."""

    def __init__(
        self, settings: Settings, state: StateClient, book: JobBook, syncer: Syncer,
        incarnation: str,
    ) -> None:
        self._name = settings.node_name
        self._names = settings.node_names
        self._parts = settings.settings.nodes
        self._ttl_s = settings.term_s
        self._state = state
        self._book = book
        self._syncer = syncer
        self.incarnation = incarnation
        self._lease: int | None = None
        self._renewed_from = float("-inf")
        # Given back with an unknown outcome: never to be used again.
        self._given_back: set[int] = set()
        self._enrolled = False

    def valid(self, now: float) -> bool:
        if self._lease is None:
            return False
        since = min(self._renewed_from, self._syncer.began_at)
        return now < since + self._ttl_s * (1 - 4 * CLOCK_DRIFT) - 0.01

    def token_of(self, part: int) -> int | None:
        """The token under which this controller owns the part, by the book."""
        owner = self._book.parts.get(part)
        if (
            owner is None
            or owner.node != self._name
            or owner.incarnation != self.incarnation
            or owner.token in self._given_back
        ):
            return None
        return owner.token

    @property
    def leader_token(self) -> int | None:
        leader = self._book.leader
        if leader is None or leader.node != self._name or leader.incarnation != self.incarnation:
            return None
        return leader.token

    async def run(self) -> None:
        await self._syncer.ready.wait()
        pause = self._ttl_s / 12
        while True:
            began = trio.current_time()
            try:
                if self._lease is None or began > self._renewed_from + self._ttl_s / 6:
                    await self._renew(began)
                if not self._enrolled or self._claims():
                    await self._claim()
            except Gone:
                log.warning("the lease ran out: starting a new term")
                self._lease = None
                self._enrolled = False
                continue
            except Conflict:
                self._syncer.poke()
            except (Unavailable, Unknown) as error:
                log.debug("renewing or claiming failed: %s", error)
            await trio.sleep(min(pause, 0.3))

    async def _renew(self, now: float) -> None:
        timeout_s = self._ttl_s / 6
        if self._lease is None:
            lease = await self._state.grant(self._ttl_s, timeout_s=timeout_s)
            self._lease = lease
            self._enrolled = False
        else:
            await self._state.extend(self._lease, timeout_s=timeout_s)
        self._renewed_from = now

    def _claims(self) -> dict[str, int]:
        """Roles that this controller should take, with the versions they have now."""
        live = {*self._book.nodes, self._name}
        claims: dict[str, int] = {}
        for part in range(self._parts):
            owner = self._book.parts.get(part)
            if owner is None:
                if wanted_owner(part, self._names, live) == self._name:
                    claims[part_key(part)] = 0
            elif owner.node == self._name and self.token_of(part) is None:
                # Our predecessor's, as its own record proves: it has ended, since
                # this process runs in its place.
                claims[part_key(part)] = owner.token
        leader = self._book.leader
        if leader is None:
            if wanted_leader(self._names, live) == self._name:
                claims[LEADER_KEY] = 0
        elif leader.node == self._name and self.leader_token is None:
            claims[LEADER_KEY] = leader.token
        return claims

    async def _claim(self) -> None:
        assert self._lease is not None
        claims = self._claims()
        record = {"o": self._name, "i": self.incarnation}
        changes: list[Put | Delete] = [Put(key, record, self._lease) for key in claims]
        if not self._enrolled:
            changes.append(Put(f"r/n/{self._name}", {"i": self.incarnation}, self._lease))
        await self._state.commit(claims, changes, timeout_s=self._ttl_s / 6, urgent=True)
        self._enrolled = True
        if claims:
            log.info("took %s", ", ".join(claims))
        await self._syncer.fresh()

    async def renew_leader(self, token: int) -> None:
        """Writes the leader's record anew: transactions guarded by the old version
        that are still on their way fail from then on."""
        if self._lease is None:
            raise Gone
        record = {"o": self._name, "i": self.incarnation}
        await self._state.commit(
            {LEADER_KEY: token}, [Put(LEADER_KEY, record, self._lease)],
            timeout_s=self._ttl_s / 6, urgent=True,
        )

    def surplus(self) -> list[tuple[int, int]]:
        """(part, token) of parts that a live controller should have instead."""
        result: list[tuple[int, int]] = []
        for part in range(self._parts):
            token = self.token_of(part)
            wanted = wanted_owner(part, self._names, self._book.nodes)
            if token is not None and wanted is not None and wanted != self._name:
                result.append((part, token))
        return result

    async def give_back(self, part: int, token: int) -> None:
        """The caller has stopped commanding the part, and this token is not used again
        whatever becomes of the request."""
        self._given_back.add(token)
        await self._state.commit(
            {part_key(part): token}, [Delete(part_key(part))], timeout_s=self._ttl_s / 6
        )
        self._syncer.poke()
