"""This controller's lease with the state service, and the roles that it holds under it."""

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
    """Key of a shard's role record."""
    return f"r/p/{shard}"


class ControllerLease:
    """Keeps the lease, claims roles (shards and leadership) and tells how long they may be used.

    Authority counts from when the renewal was *sent*, less clock drift, and ends at the latest
    one lease duration after the last read of the state service was sent: a controller that does not
    learn of cancellations must not issue commands either."""

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
        self._node_names = settings.node_names
        self._shard_count = settings.settings.nodes
        self._ttl_s = settings.controller_lease_s
        self._state = state
        self._replica = replica
        self._syncer = syncer
        self._new_incarnation = new_incarnation
        self.incarnation = new_incarnation()
        self._lease: int | None = None
        self._lease_granted_at = float("inf")
        self._renewal_sent_at = float("-inf")
        # (shard, token) of roles given back, whatever the outcome of the request: never used
        # again. Shards claimed in one transaction have the same token, hence the shard.
        self._released: set[tuple[int, int]] = set()
        # Whether our `r/n/` record is up to date, and the revision at which it was written.
        self._enrolled = False
        self._enrolled_at = 0
        # When the last claim was sent; its outcome is known after a later read of the state
        # service.
        self._claimed_at = float("-inf")
        # When the last successful round of lease extensions was requested.
        self._extended_from = float("-inf")
        # Peer that granted an extension -> its incarnation.
        self._extension_voters: dict[str, str] = {}
        # Peer -> latest incarnation in a hello, and when it arrived.
        self._hellos: dict[str, tuple[str, float]] = {}
        self._known_incarnations: dict[str, set[str]] = {}  # peer -> all incarnations in its hellos
        self._granted_until: dict[str, float] = {}  # peer -> when our extension for it ends
        # By then the extensions granted by a predecessor of this process have ended.
        self._predecessor_extensions_end_at = trio.current_time() + self._ttl_s
        # Shard -> since when its workers cannot reach us while they reach other controllers.
        self._unreachable_shards: dict[int, float] = {}
        self._unacknowledged_peers = {n for n in self._node_names if n != self._name}
        # The epoch in which we act, since when we know of it, and, once we have restored what
        # we knew of the previous one: the epoch and whether we saw the loss ourselves.
        self.epoch = 0
        self.epoch_since = float("-inf")
        self.restored_mark: tuple[int, bool] | None = None

    def begin_epoch(self, epoch: int, now: float) -> None:
        """Drops the lease and all roles, since the state service has lost data and may have
        given our lease's number to another controller. The next lease is obtained under a new
        incarnation."""
        self.epoch, self.epoch_since = epoch, now
        self._lease = None
        self.incarnation = self._new_incarnation()
        self._extended_from = float("-inf")
        self._enrolled = False
        self._released.clear()

    @property
    def old_authority_ends_at(self) -> float:
        """When all authority from before this epoch has ended."""
        return self.epoch_since + self._ttl_s

    def mark_restored(self, saw_loss: bool) -> None:
        """Publishes that all we knew from before this epoch is restored. `saw_loss`: whether this
        process saw the loss itself."""
        self.restored_mark = (self.epoch, saw_loss)
        self._enrolled = False

    def valid(self, now: float) -> bool:
        """Whether the roles that the replica shows for us may be used now."""
        # The replica's roles count only if it was read during this lease: after a lapse other
        # controllers may have claimed them.
        if self._lease is None or self._syncer.last_read_sent_at < self._lease_granted_at:
            return False
        authority_from = max(
            min(self._renewal_sent_at, self._syncer.last_read_sent_at), self._extended_from
        )
        return now < authority_from + self._ttl_s * (1 - 4 * CLOCK_DRIFT) - 0.01

    # -- outages --------------------------------------------------------------------
    #
    # While the state service serves no controller, none can claim a role, but no controller
    # can know that alone. If all others answer that they are not served either, and grant an
    # extension, that is, promise not to claim our roles for one lease duration, our authority
    # lasts until one lease duration after they were asked. Their answers contain the
    # cancellations that they have confirmed, so that none is missed meanwhile.

    def needs_lease_extensions(self, now: float) -> bool:
        """Whether authority is valid, but for a third of a lease duration was neither extended by
        the peers nor renewed (with a read of the state service)."""
        authority_from = max(
            min(self._renewal_sent_at, self._syncer.last_read_sent_at), self._extended_from
        )
        return self.valid(now) and now > authority_from + self._ttl_s / 3

    def on_extensions_granted(
        self, requested_at: float, voters: dict[str, str], now: float
    ) -> None:
        """Extends authority if the voters (name -> incarnation) are all peers and it has not
        lapsed since they were asked."""
        # A voter that restarted after it was asked has forgotten its grant. One whose hello came
        # before that has answered as the process that runs now, under whatever incarnation:
        # a controller that lost its lease has a new incarnation without a new hello, and a
        # late hello of its predecessor must not invalidate its grants either.
        all_remembered = all(
            hello is None or hello[1] <= requested_at or hello[0] == i
            for n, i in voters.items()
            for hello in [self._hellos.get(n)]
        )
        from_all_peers = set(voters) == {n for n in self._node_names if n != self._name}
        if self.valid(now) and from_all_peers and all_remembered:
            self._extended_from = requested_at
            self._extension_voters = voters

    def grant_extension(self, node: str, incarnation: str, now: float) -> bool:
        """Grants `node` an extension: its roles are not claimed here for one lease duration.
        Returns whether it did. Only if the state service does not serve us either, and if we
        have sent no claim since the last read of the state service, which could be for a role of
        `node`."""
        if (
            not self._syncer.ready.is_set()
            or self._state.failing_since is None
            or self._replica.nodes.get(node) != incarnation
            or self._claimed_at >= self._syncer.last_read_sent_at
        ):
            return False
        self._granted_until[node] = now + self._ttl_s
        return True

    @property
    def extensions_end_at(self) -> float:
        """When the last extension granted here ends. A claim of ours that is executed late, after
        a grant, makes a role ours by the replica while its holder still issues commands."""
        return max(self._granted_until.values(), default=float("-inf"))

    def on_hello(self, node: str, incarnation: str) -> None:
        """Takes in the hello of a restarted peer, which does not remember its predecessor's
        grants. A repeated hello of an incarnation is a late copy and ignored: otherwise no grant
        of the peer's present process would count in the next outage."""
        if incarnation in self._known_incarnations.setdefault(node, set()):
            return
        self._known_incarnations[node].add(incarnation)
        self._hellos[node] = incarnation, trio.current_time()
        if self._extension_voters.get(node, incarnation) != incarnation:
            self._extended_from = float("-inf")

    def on_hello_answer(self, node: str) -> None:
        """A peer has answered our hello."""
        self._unacknowledged_peers.discard(node)

    @property
    def unacknowledged_peers(self) -> set[str]:
        """Peers that have not answered our hello yet."""
        return self._unacknowledged_peers

    def _may_claim(self, now: float) -> bool:
        """Whether no extension forbids claiming roles without a holder: neither one granted here
        nor, until all peers have answered our hello, one granted by our predecessor."""
        if any(until > now for until in self._granted_until.values()):
            return False
        return not self._unacknowledged_peers or now > self._predecessor_extensions_end_at

    # -- unreachable shards ------------------------------------------------------------

    @property
    def unreachable_shards(self) -> dict[int, float]:
        """Shard -> since when its workers cannot reach us while they reach other controllers."""
        return self._unreachable_shards

    def on_workers_unreachable(self, shard: int, now: float) -> bool:
        """The shard's workers reach other controllers but not us. Returns whether to give the
        shard up, but only once per worker lease: if no other controller took it, we claimed it
        again."""
        hold_s = self._settings.settings.workers.lease_s
        if now - self._unreachable_shards.get(shard, float("-inf")) < hold_s:
            return False
        self._unreachable_shards[shard] = now
        self._enrolled = False
        return self._preferred_owner(shard, set(self._replica.nodes)) not in (self._name, None)

    def on_workers_reachable(self, shard: int, now: float) -> None:
        """The shard's workers reach us, or we them. Ignored until a worker lease after the
        shard was last marked as unreachable, so that roles do not flap."""
        hold_s = self._settings.settings.workers.lease_s
        if now - self._unreachable_shards.get(shard, now) >= hold_s:
            del self._unreachable_shards[shard]
            self._enrolled = False

    def _preferred_owner(self, shard: int, live: set[str]) -> str | None:
        """The live controller that should own the shard, by what is known of its workers."""
        unreachable = {
            name for name, shards in self._replica.unreachable_shards.items() if shard in shards
        }
        unreachable = (unreachable - {self._name}) | (
            {self._name} if shard in self._unreachable_shards else set()
        )
        return preferred_owner(shard, self._node_names, live, unreachable)

    def shard_token(self, shard: int) -> int | None:
        """The token under which this controller owns the shard, by the replica; None if it does
        not."""
        owner = self._replica.shards.get(shard)
        if (
            owner is None
            or owner.node != self._name
            or owner.incarnation != self.incarnation
            or (shard, owner.token) in self._released
        ):
            return None
        return owner.token

    @property
    def leader_token(self) -> int | None:
        """The token under which this controller leads, by the replica; None if it does not."""
        leader = self._replica.leader
        if leader is None or leader.node != self._name or leader.incarnation != self.incarnation:
            return None
        return leader.token

    async def run(self) -> None:
        """Renews the lease and claims roles, until cancelled."""
        await self._syncer.ready.wait()
        interval_s = self._ttl_s / 12
        while True:
            round_began_at = trio.current_time()
            try:
                if self._lease is None or round_began_at > self._renewal_sent_at + self._ttl_s / 6:
                    await self._renew(round_began_at)
                if not self._still_enrolled() or self._roles_to_claim():
                    await self._claim()
            except Gone:
                log.warning("the lease has expired: requesting a new one")
                self._lease = None
                # Roles held under the old lease do not count any more.
                self.incarnation = self._new_incarnation()
                self._extended_from = float("-inf")
                self._enrolled = False
                continue
            except Conflict:
                self._syncer.request_read()
            except (Unavailable, OutcomeUnknown) as error:
                log.debug("renewing or claiming failed: %s", error)
            await trio.sleep(interval_s)

    def _still_enrolled(self) -> bool:
        """Whether the replica shows our `r/n/` record as we wrote it. A predecessor's write that
        was still under way when this process enrolled replaces our record, and is deleted with
        the predecessor's lease: unless it is written again, the other controllers consider us
        gone and we hand over all our shards for good."""
        if self._enrolled and self._replica.state_revision >= self._enrolled_at:
            self._enrolled = self._replica.nodes.get(
                self._name
            ) == self.incarnation and self._replica.unreachable_shards.get(
                self._name, frozenset()
            ) == frozenset(self._unreachable_shards)
        return self._enrolled

    async def _renew(self, now: float) -> None:
        """Renews the lease, or obtains one."""
        timeout_s = self._ttl_s / 6
        if self._lease is None:
            lease = await self._state.grant_lease(self._ttl_s, timeout_s=timeout_s)
            self._lease = lease
            self._lease_granted_at = trio.current_time()
            log.info("obtained a new lease")
            self._enrolled = False
        else:
            await self._state.extend_lease(self._lease, timeout_s=timeout_s)
        self._renewal_sent_at = now

    def _roles_to_claim(self) -> dict[str, int]:
        """Keys of roles that this controller should claim, with the versions that guard them."""
        now = trio.current_time()
        live = {*self._replica.nodes, self._name}
        if self.epoch and now < self.old_authority_ends_at:
            # The other controllers are about to enrol, so all count as live for one lease duration.
            live = set(self._node_names)
        claims: dict[str, int] = {}
        may_claim = self._may_claim(now)
        for shard in range(self._shard_count):
            owner = self._replica.shards.get(shard)
            old_holder, version = self._replica.stale_roles.get(shard_key(shard), ("", 0))
            if owner is None:
                if old_holder == self._name or (
                    may_claim
                    and self._preferred_owner(shard, live) == self._name
                    and (not old_holder or now >= self.old_authority_ends_at)
                ):
                    claims[shard_key(shard)] = version
            elif owner.node == self._name and self.shard_token(shard) is None:
                # Held by our predecessor, which has ended since this process runs in its place.
                claims[shard_key(shard)] = owner.token
        leader = self._replica.leader
        old_holder, version = self._replica.stale_roles.get(LEADER_KEY, ("", 0))
        if leader is None:
            if old_holder == self._name or (
                may_claim
                and preferred_leader(self._node_names, live) == self._name
                and (not old_holder or now >= self.old_authority_ends_at)
            ):
                claims[LEADER_KEY] = version
        elif leader.node == self._name and self.leader_token is None:
            claims[LEADER_KEY] = leader.token
        return claims

    async def _claim(self) -> None:
        """Writes our `r/n/` record, if it is not up to date, and claims roles."""
        assert self._lease is not None
        claims = self._roles_to_claim()
        record = {"o": self._name, "i": self.incarnation}
        changes: list[Put | Delete] = [Put(key, record, self._lease) for key in claims]
        if not self._enrolled:
            changes.append(Put(f"r/n/{self._name}", self._node_record(), self._lease))
        # Each role has its own guard, so they can be claimed in several transactions.
        limit = self._settings.state_limits.txn_ops
        for offset in range(0, len(changes), limit):
            chunk = changes[offset : offset + limit]
            guards = {c.key: claims[c.key] for c in chunk if c.key in claims}
            if guards:
                self._claimed_at = trio.current_time()
            self._enrolled_at = await self._state.commit(
                guards, chunk, timeout_s=self._ttl_s / 6, reserve=RESERVE_URGENT
            )
        self._enrolled = True
        if claims:
            log.info("claimed %s", ", ".join(claims))
        await self._syncer.wait_for_read()

    def _node_record(self) -> dict[str, object]:
        """The value of our `r/n/` record."""
        record: dict[str, object] = {"i": self.incarnation}
        if self._unreachable_shards:
            record["d"] = sorted(self._unreachable_shards)
        if self.restored_mark is not None and self.restored_mark[0] == self.epoch:
            record["b"] = list(self.restored_mark)
        return record

    async def renew_leader(self, token: int) -> None:
        """Writes the leader's record again, so that transactions guarded by its old version
        that are still under way fail. Raises as `StateClient.commit`."""
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
        """(shard, token) of shards held here that another live controller should have."""
        surplus: list[tuple[int, int]] = []
        for shard in range(self._shard_count):
            token = self.shard_token(shard)
            preferred = self._preferred_owner(shard, set(self._replica.nodes))
            if token is not None and preferred is not None and preferred != self._name:
                surplus.append((shard, token))
        return surplus

    async def release_shard(self, shard: int, token: int) -> None:
        """Gives a shard up. The caller must have stopped issuing commands for it; the token is
        not used again, whatever the outcome. Raises as `StateClient.commit`."""
        self._released.add((shard, token))
        changes: list[Put | Delete] = [Delete(shard_key(shard))]
        if shard in self._unreachable_shards and self._lease is not None:
            # In one transaction, so that the others know that this controller must not claim it.
            changes.append(Put(f"r/n/{self._name}", self._node_record(), self._lease))
        await self._state.commit(
            {shard_key(shard): token}, changes, timeout_s=self._ttl_s / 6, reserve=RESERVE_URGENT
        )
        self._syncer.request_read()
