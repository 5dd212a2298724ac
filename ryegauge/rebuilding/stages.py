"""The stages of an epoch: how it begins, when each stage ends and whose turn it is to restore."""

# kind: decisions

from collections.abc import Sequence
from typing import Any

from ryegauge.bookkeeping.epochs import GRACE_PERIOD, MAX_EPOCH, RECOVERED, RESTORING
from ryegauge.bookkeeping.state_replica import StateReplica
from ryegauge.rebuilding.loss_detection import LossKind

# How long, in controller leases, to wait for a controller that has enrolled but does not restore.
MAX_RESTORE_WAIT_LEASES = 4.0


# How long, in controller leases, to wait for the turn of a controller that has not enrolled.
ABSENT_WAIT_LEASES = 0.25


def is_turn_to_restore(
    replica: StateReplica,
    names: Sequence[str],
    name: str,
    epoch_age_s: float,
    controller_lease_s: float,
) -> bool:
    """Whether controller `name` may restore now. `epoch_age_s`: for how long the epoch has been
    known here.

    The controllers restore in the order of `names`, one after the other, with a time limit for
    each. Most of them know the same records. Restoring at the same time, they spent the write
    quota of the service on conflicts: `experiment loss` took 29 s with five controllers, 6 s
    with one."""
    for earlier in names[: names.index(name)]:
        if (
            earlier in replica.restored_nodes
            and replica.restored_nodes[earlier][0] == replica.epoch
        ):
            continue
        wait_leases = (
            MAX_RESTORE_WAIT_LEASES / 2 if earlier in replica.nodes else ABSENT_WAIT_LEASES
        )
        if epoch_age_s < wait_leases * controller_lease_s:
            return False
    return True


def first_epoch_record(
    found: Any, known_epoch: int, kind: LossKind, name: str
) -> dict[str, Any] | None:
    """Returns the record that begins the epoch after `known_epoch`, the highest one known here, or
    None if `found`, the record in the service, is of a later epoch already. Raises OverflowError
    if there is no further epoch."""
    found_epoch = found["e"] if isinstance(found, dict) else 0
    if found_epoch > known_epoch:
        return None
    if known_epoch >= MAX_EPOCH:
        raise OverflowError(
            f"epoch {known_epoch} is the last one: the state service lost data too often"
        )
    return {"e": known_epoch + 1, "s": RESTORING, "k": kind, "by": name}


def is_recovery_complete(replica: StateReplica, names: Sequence[str]) -> bool:
    """Whether everything that was ever confirmed to anybody has been restored.

    If single records were lost, the copy of any one controller that saw the loss has them. If
    the service was reset, only the owners themselves know what they had begun, so all
    controllers must have seen the loss and restored."""
    saw_loss = {
        name
        for name, (epoch, saw) in replica.restored_nodes.items()
        if epoch == replica.epoch and saw
    }
    return bool(saw_loss) if replica.loss_kind == "records" else saw_loss >= set(names)


def next_epoch_record(
    replica: StateReplica,
    names: Sequence[str],
    epoch_age_s: float,
    stage_age_s: float,
    grace_period_s: float,
    controller_lease_s: float,
) -> dict[str, Any] | None:
    """Returns the epoch's record that begins its next stage, or None while the present one lasts.

    `epoch_age_s` and `stage_age_s` are the seconds for which the epoch and its present stage have
    been known here. After `grace_period_s` every task that was started before the epoch has been
    reported or has ended."""
    record = {"e": replica.epoch, "k": replica.loss_kind, "v": replica.epoch_start}
    if replica.recovery_stage == RESTORING:
        restored_nodes = {
            name for name, (epoch, _) in replica.restored_nodes.items() if epoch == replica.epoch
        }
        if (
            not restored_nodes >= set(replica.nodes)
            and epoch_age_s < MAX_RESTORE_WAIT_LEASES * controller_lease_s
        ):
            return None
        if is_recovery_complete(replica, names):
            return {**record, "s": RECOVERED, "c": True}
        # A controller that was cut off may still join, and may know records that no other has.
        if epoch_age_s < controller_lease_s and not restored_nodes >= set(names):
            return None
        return {**record, "s": GRACE_PERIOD, "c": False}
    if replica.recovery_stage == GRACE_PERIOD and stage_age_s >= grace_period_s:
        return {**record, "s": RECOVERED, "c": False}
    return None
