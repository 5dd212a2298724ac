"""The fencing tokens that the owner of a shard gives to its workers.

An owner's own token is the version of its role record. It may give a worker any revision at which
its replica shows that record unchanged: the claim of the next owner comes after it, so the tokens
of all later owners are higher.
"""

import logging

from ryegauge.bookkeeping.epochs import fencing_token
from ryegauge.bookkeeping.state_replica import StateReplica
from ryegauge.coordination.direct_runs import AttemptKey
from ryegauge.coordination.owner_records import Machine

log = logging.getLogger(__name__)


class CommandTokens:
    """Chooses the token of each worker, the lowest that serves: a higher one makes the worker
    report at once."""

    def __init__(self, shard: int, token: int, replica: StateReplica) -> None:
        """`token` is the owner's own."""
        self._shard = shard
        self._token = token
        self._replica = replica
        self._highest_token = token  # given to any worker

    def is_superseded_by(self, token: int) -> bool:
        """Whether a worker that has seen `token` has been answered by a later owner."""
        return token > self._highest_token

    def on_report(self, machine: Machine, token: int) -> None:
        """A worker has reported `token`. Messages with lower ones are dropped by it."""
        machine.token = max(machine.token, token, self._token)

    def refuses_from_now_on(self, machine: Machine, attempt: AttemptKey) -> bool:
        """Whether a worker that takes the answer to its present check-in refuses every direct
        `run` of the attempt from then on; gives it a higher token for that if necessary."""
        if machine.direct_runs.may_start(attempt, machine.token):
            self._advance(machine)
        return not machine.direct_runs.may_start(attempt, machine.token)

    def _advance(self, machine: Machine) -> None:
        """Gives the worker the highest token that there is now."""
        holder = self._replica.shards.get(self._shard)
        if holder is None or holder.token != self._token:
            return
        newest = fencing_token(self._replica.epoch, self._replica.state_revision)
        if newest > machine.token:
            log.debug("%s: token %d after %d", machine.name, newest, machine.token)
            machine.token = newest
            self._highest_token = max(self._highest_token, newest)
