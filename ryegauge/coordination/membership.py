"""This controller's term: its lease with the state service, and the roles it holds."""

import logging
from collections.abc import Callable

import trio

from ryegauge.bookkeeping.budget import RESERVE_URGENT
from ryegauge.bookkeeping.state import (
    Conflict,
    Delete,
    Gone,
    OutcomeUnknown,
    Put,
    StateClient,
    Unavailable,
)
from ryegauge.bookkeeping.state_replica import StateReplica
from ryegauge.bookkeeping.syncer import Syncer
from ryegauge.config import CLOCK_DRIFT, Settings
from ryegauge.coordination.sharding import preferred_leader, preferred_owner

log = logging.getLogger(__name__)

LEADER_KEY = "r/l"


def shard_key(shard: int) -> str:
    return f"r/p/{shard}"


class ControllerLease:
    """Authority counts from when the renewal was *sent*, less drift, and never past
    a term after the last read of the book: whoever hears of no cancellation must
    stop commanding as well."""

    def __init__(
        self,
        settings: Settings,
        state: StateClient,
        replica: StateReplica,
        syncer: Syncer,
        new_incarnation: Callable[[], str],
    ) -> None:
        self._settings = settings
        self._name = settings.node_name
        self._names = settings.node_names
        self._shards = settings.settings.nodes
        self._ttl_s = settings.controller_lease_s
        self._state = state
        self._replica = replica
        self._syncer = syncer
        self._new_incarnation = new_incarnation
        self.incarnation = new_incarnation()
        self._lease: int | None = None
        self._granted_at = float("inf")
        self._renewed_from = float("-inf")
        # Given back with an unknown outcome: never to be used again.
        # (Parts claimed in one transaction share a token, hence the part.)
        self._given_back: set[tuple[int, int]] = set()
        self._enrolled = False
        self._enrolled_at = 0  # revision
        # A claim was sent; until the book is read again its outcome is not known.
        self._claimed_at = float("-inf")
        self._promised_from = float("-inf")
        self._voters: dict[str, str] = {}  # who promised, and as which incarnation
        self._greeted: dict[str, tuple[str, float]] = {}  # as which incarnation, and when
        self._met: dict[str, set[str]] = {}  # incarnations that have greeted us, by name
        self._promised_until: dict[str, float] = {}  # what we promised ourselves
        # Promises that a predecessor of this process gave have run out by then.
        self._quiet_until = trio.current_time() + self._ttl_s
        # Parts whose workers we do not hear while others do, and since when.
        self._deaf: dict[int, float] = {}
        self._unwelcomed = {n for n in self._names if n != self._name}
        # The era in which we act, since when we know of it, and whether we have put back what
        # we knew of the one before, and saw it end ourselves.
        self.epoch = 0
        self.epoch_since = float("-inf")
        self.restored_mark: tuple[int, bool] | None = None

    def begin_epoch(self, epoch: int, now: float) -> None:
        """The state service has lost data. Our lease may be somebody else's there by now, and
        nothing that we held counts; a new lease is had under a new incarnation."""
        self.epoch, self.epoch_since = epoch, now
        self._lease = None
        self.incarnation = self._new_incarnation()
        self._promised_from = float("-inf")
        self._enrolled = False
        self._given_back.clear()

    @property
    def old_authority_ends_at(self) -> float:
        """By then all authority of before this era has ended."""
        return self.epoch_since + self._ttl_s

    def mark_restored(self, saw: bool) -> None:
        """All that we knew of before this era stands in the book; saying so to all."""
        self.restored_mark = (self.epoch, saw)
        self._enrolled = False

    def valid(self, now: float) -> bool:
        # What the book says of roles counts only if it was read during this lease:
        # after a lapse others may have taken them.
        if self._lease is None or self._syncer.last_read_sent_at < self._granted_at:
            return False
        since = max(min(self._renewed_from, self._syncer.last_read_sent_at), self._promised_from)
        return now < since + self._ttl_s * (1 - 4 * CLOCK_DRIFT) - 0.01

    # -- outages --------------------------------------------------------------------
    #
    # While the state service answers nobody, nobody can take a role over, but no
    # controller can know that alone. If all others say that they are refused as well,
    # and promise to leave our roles alone for a term, our authority lasts for a term from
    # when they were asked. They name what they cancelled, so that no cancellation is
    # missed meanwhile.

    def needs_lease_extensions(self, now: float) -> bool:
        since = max(min(self._renewed_from, self._syncer.last_read_sent_at), self._promised_from)
        return self.valid(now) and now > since + self._ttl_s / 3

    def on_extensions_granted(self, asked_at: float, voters: dict[str, str], now: float) -> None:
        """All others promised. Counts only if authority has not lapsed since."""
        # A voter that has started anew since it was asked has forgotten its promise. One that
        # greeted us before has answered as the process that runs now, whatever incarnation its
        # present term has. (Held against its greeting, the promises of a controller whose term had
        # lapsed never counted again; nor did they after a greeting of its predecessor came late.)
        remembered = all(
            greeting is None or greeting[1] <= asked_at or greeting[0] == i
            for n, i in voters.items()
            for greeting in [self._greeted.get(n)]
        )
        everybody = set(voters) == {n for n in self._names if n != self._name}
        if self.valid(now) and everybody and remembered:
            self._promised_from = asked_at
            self._voters = voters

    def grant_extension(self, node: str, incarnation: str, now: float) -> bool:
        """Only if the state service fails us too, and we have claimed nothing since
        the book was last read: a claim under way could be the asker's role."""
        if (
            not self._syncer.ready.is_set()
            or self._state.failing_since is None
            or self._replica.nodes.get(node) != incarnation
            or self._claimed_at >= self._syncer.last_read_sent_at
        ):
            return False
        self._promised_until[node] = now + self._ttl_s
        return True

    @property
    def extensions_end_at(self) -> float:
        """By then nobody counts on a promise of ours any more. A claim of ours that was carried out
        late, after a promise, makes a role ours while its holder still commands."""
        return max(self._promised_until.values(), default=float("-inf"))

    def on_hello(self, node: str, incarnation: str) -> None:
        """A peer has started anew and remembers no promise of its predecessor. A greeting of an
        incarnation that has greeted before is a late copy: taken for news, none of the promises of
        the one that runs now would count in the next outage."""
        if incarnation in self._met.setdefault(node, set()):
            return
        self._met[node].add(incarnation)
        self._greeted[node] = incarnation, trio.current_time()
        if self._voters.get(node, incarnation) != incarnation:
            self._promised_from = float("-inf")

    def on_hello_answer(self, node: str) -> None:
        self._unwelcomed.discard(node)

    @property
    def unacknowledged_peers(self) -> set[str]:
        return self._unwelcomed

    def _may_claim(self, now: float) -> bool:
        """Whether no promise stands against taking what has no owner: given by us, or,
        unless all the others have let go of it, by our predecessor."""
        if any(until > now for until in self._promised_until.values()):
            return False
        return not self._unwelcomed or now > self._quiet_until

    # -- deafness -------------------------------------------------------------------

    @property
    def unreachable_shards(self) -> dict[int, float]:
        return self._deaf

    def on_workers_unreachable(self, shard: int, now: float) -> bool:
        """Others hear the part's workers and we do not; whether to give the part up. Not
        again within a lease: if nobody else took it, we had it back."""
        least_s = self._settings.settings.workers.lease_s
        if now - self._deaf.get(shard, float("-inf")) < least_s:
            return False
        self._deaf[shard] = now
        self._enrolled = False
        return self._wanted(shard, set(self._replica.nodes)) not in (self._name, None)

    def on_workers_reachable(self, shard: int, now: float) -> None:
        """Its workers reach us, or we them. Not at once, so that roles do not flap."""
        least_s = self._settings.settings.workers.lease_s
        if now - self._deaf.get(shard, now) >= least_s:
            del self._deaf[shard]
            self._enrolled = False

    def _wanted(self, shard: int, live: set[str]) -> str | None:
        deaf = {name for name, shards in self._replica.deaf.items() if shard in shards}
        deaf = (deaf - {self._name}) | ({self._name} if shard in self._deaf else set())
        return preferred_owner(shard, self._names, live, deaf)

    def shard_token(self, shard: int) -> int | None:
        """The token under which this controller owns the part, by the book."""
        owner = self._replica.shards.get(shard)
        if (
            owner is None
            or owner.node != self._name
            or owner.incarnation != self.incarnation
            or (shard, owner.token) in self._given_back
        ):
            return None
        return owner.token

    @property
    def leader_token(self) -> int | None:
        leader = self._replica.leader
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
                if not self._still_enrolled() or self._claims():
                    await self._claim()
            except Gone:
                log.warning("the lease ran out: starting a new term")
                self._lease = None
                # Nothing held under the old term is ours by the book any more.
                self.incarnation = self._new_incarnation()
                self._promised_from = float("-inf")
                self._enrolled = False
                continue
            except Conflict:
                self._syncer.request_read()
            except (Unavailable, OutcomeUnknown) as error:
                log.debug("renewing or claiming failed: %s", error)
            await trio.sleep(pause)

    def _still_enrolled(self) -> bool:
        """By the book, once that shows it. A predecessor's enrolment that was still on its way
        when this process had enrolled takes the place of ours, and goes with its lease: the
        others then took us for gone, and we gave all our parts away, for good."""
        if self._enrolled and self._replica.state_revision >= self._enrolled_at:
            self._enrolled = self._replica.nodes.get(
                self._name
            ) == self.incarnation and self._replica.deaf.get(self._name, frozenset()) == frozenset(
                self._deaf
            )
        return self._enrolled

    async def _renew(self, now: float) -> None:
        timeout_s = self._ttl_s / 6
        if self._lease is None:
            lease = await self._state.grant_lease(self._ttl_s, timeout_s=timeout_s)
            self._lease = lease
            self._granted_at = trio.current_time()
            log.info("a new term has begun")
            self._enrolled = False
        else:
            await self._state.extend_lease(self._lease, timeout_s=timeout_s)
        self._renewed_from = now

    def _claims(self) -> dict[str, int]:
        """Roles that this controller should take, with the versions they have now."""
        now = trio.current_time()
        live = {*self._replica.nodes, self._name}
        if self.epoch and now < self.old_authority_ends_at:
            # The others are about to enrol; whoever has come to an end is not waited for long.
            live = set(self._names)
        claims: dict[str, int] = {}
        may_claim = self._may_claim(now)
        for shard in range(self._shards):
            owner = self._replica.shards.get(shard)
            stale, version = self._replica.stale.get(shard_key(shard), ("", 0))
            if owner is None:
                if stale == self._name or (
                    may_claim
                    and self._wanted(shard, live) == self._name
                    and (not stale or now >= self.old_authority_ends_at)
                ):
                    claims[shard_key(shard)] = version
            elif owner.node == self._name and self.shard_token(shard) is None:
                # Our predecessor's, as its own record proves: it has ended, since
                # this process runs in its place.
                claims[shard_key(shard)] = owner.token
        leader = self._replica.leader
        stale, version = self._replica.stale.get(LEADER_KEY, ("", 0))
        if leader is None:
            if stale == self._name or (
                may_claim
                and preferred_leader(self._names, live) == self._name
                and (not stale or now >= self.old_authority_ends_at)
            ):
                claims[LEADER_KEY] = version
        elif leader.node == self._name and self.leader_token is None:
            claims[LEADER_KEY] = leader.token
        return claims

    async def _claim(self) -> None:
        assert self._lease is not None
        claims = self._claims()
        record = {"o": self._name, "i": self.incarnation}
        changes: list[Put | Delete] = [Put(key, record, self._lease) for key in claims]
        if not self._enrolled:
            changes.append(Put(f"r/n/{self._name}", self._record(), self._lease))
        # Each role is guarded by itself, so they can be taken in several transactions.
        limit = self._settings.state_limits.txn_ops
        for first in range(0, len(changes), limit):
            some = changes[first : first + limit]
            guards = {c.key: claims[c.key] for c in some if c.key in claims}
            if guards:
                self._claimed_at = trio.current_time()
            self._enrolled_at = await self._state.commit(
                guards, some, timeout_s=self._ttl_s / 6, reserve=RESERVE_URGENT
            )
        self._enrolled = True
        if claims:
            log.info("took %s", ", ".join(claims))
        await self._syncer.wait_for_read()

    def _record(self) -> dict[str, object]:
        record: dict[str, object] = {"i": self.incarnation}
        if self._deaf:
            record["d"] = sorted(self._deaf)
        if self.restored_mark is not None and self.restored_mark[0] == self.epoch:
            record["b"] = list(self.restored_mark)
        return record

    async def renew_leader(self, token: int) -> None:
        """Writes the leader's record anew: transactions guarded by the old version
        that are still on their way fail from then on."""
        if self._lease is None:
            raise Gone
        record = {"o": self._name, "i": self.incarnation}
        await self._state.commit(
            {LEADER_KEY: token},
            [Put(LEADER_KEY, record, self._lease)],
            timeout_s=self._ttl_s / 6,
            reserve=RESERVE_URGENT,
        )

    def surplus_shards(self) -> list[tuple[int, int]]:
        """(part, token) of parts that a live controller should have instead."""
        result: list[tuple[int, int]] = []
        for shard in range(self._shards):
            token = self.shard_token(shard)
            wanted = self._wanted(shard, set(self._replica.nodes))
            if token is not None and wanted is not None and wanted != self._name:
                result.append((shard, token))
        return result

    async def release_shard(self, shard: int, token: int) -> None:
        """The caller has stopped commanding the part, and this token is not used again
        whatever becomes of the request."""
        self._given_back.add((shard, token))
        changes: list[Put | Delete] = [Delete(shard_key(shard))]
        if shard in self._deaf and self._lease is not None:
            # Together, so that the others know who is not to take it.
            changes.append(Put(f"r/n/{self._name}", self._record(), self._lease))
        await self._state.commit(
            {shard_key(shard): token}, changes, timeout_s=self._ttl_s / 6, reserve=RESERVE_URGENT
        )
        self._syncer.request_read()
