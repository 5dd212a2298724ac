"""How a new era begins and how it comes to its end."""

# kind: decisions

from collections.abc import Sequence
from typing import Any

from ryegauge.bookkeeping.epochs import GRACE_PERIOD, MAX_EPOCH, RECOVERED, RESTORING
from ryegauge.bookkeeping.state_replica import StateReplica
from ryegauge.rebuilding.loss_detection import Kind

# After so many terms one that has enrolled and does not put back is waited for no longer.
PATIENCE_TERMS = 4.0


# How long one that has not enrolled is waited for, in terms.
ABSENT_TERMS = 0.25


def is_turn_to_restore(
    replica: StateReplica,
    names: Sequence[str],
    name: str,
    begun_s: float,
    controller_lease_s: float,
) -> bool:
    """Controllers put back one after the other: most know the same, and all at once they spent
    the changes that the service takes on conflicts. (Found by `experiment loss`: 29 s with five
    of them, 6 s with one.)"""
    for earlier in names[: names.index(name)]:
        if (
            earlier in replica.restored_nodes
            and replica.restored_nodes[earlier][0] == replica.epoch
        ):
            continue
        patience = PATIENCE_TERMS / 2 if earlier in replica.nodes else ABSENT_TERMS
        if begun_s < patience * controller_lease_s:
            return False
    return True


def first_record(found: Any, known: int, kind: Kind, name: str) -> dict[str, Any] | None:
    """The record that begins an era above all that are known; None: one has begun already."""
    standing = found["e"] if isinstance(found, dict) else 0
    if standing > known:
        return None
    if known >= MAX_EPOCH:
        raise OverflowError("all eras are used up: the state service has lost data too often")
    return {"e": known + 1, "s": RESTORING, "k": kind, "by": name}


def complete(replica: StateReplica, names: Sequence[str]) -> bool:
    """Whether nothing can have been lost that was confirmed to anybody. When single records
    went, any controller's book of before has them. When the service went back, only the owners
    themselves know what they had begun: all of them must have lived through it."""
    saw_loss = {
        name
        for name, (epoch, saw) in replica.restored_nodes.items()
        if epoch == replica.epoch and saw
    }
    return bool(saw_loss) if replica.loss_kind == "records" else saw_loss >= set(names)


def next_record(
    replica: StateReplica,
    names: Sequence[str],
    begun_s: float,
    held_s: float,
    hold_s: float,
    controller_lease_s: float,
) -> dict[str, Any] | None:
    """The era's record as the leader should write it now. `begun_s`, `held_s`: seconds for
    which the era, and its present stage, have been known here. `hold_s`: after which whatever
    an earlier authority began has shown or has ended."""
    record = {"e": replica.epoch, "k": replica.loss_kind, "v": replica.epoch_start}
    if replica.recovery_stage == RESTORING:
        restored_nodes = {
            name for name, (epoch, _) in replica.restored_nodes.items() if epoch == replica.epoch
        }
        if (
            not restored_nodes >= set(replica.nodes)
            and begun_s < PATIENCE_TERMS * controller_lease_s
        ):
            return None
        if complete(replica, names):
            return {**record, "s": RECOVERED, "c": True}
        # Others may be about to come: a cut-off one knows what nobody else does.
        if begun_s < controller_lease_s and not restored_nodes >= set(names):
            return None
        return {**record, "s": GRACE_PERIOD, "c": False}
    if replica.recovery_stage == GRACE_PERIOD and held_s >= hold_s:
        return {**record, "s": RECOVERED, "c": False}
    return None
