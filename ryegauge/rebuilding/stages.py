"""The stages of an epoch: how it begins, when each stage ends and whose turn it is to restore."""

# kind: decisions

from collections.abc import Sequence
from typing import Any

from ryegauge.bookkeeping.eras import HOLDING, LAST_ERA, PUTTING_BACK, REBUILT
from ryegauge.bookkeeping.jobbook import JobBook
from ryegauge.rebuilding.noticing import Kind

# How long, in terms, to wait for a controller that has enrolled but does not restore.
PATIENCE_TERMS = 4.0


# How long, in terms, to wait for the turn of a controller that has not enrolled.
ABSENT_TERMS = 0.25


def my_turn(book: JobBook, names: Sequence[str], name: str, begun_s: float, term_s: float) -> bool:
    """Whether controller `name` may restore now, `begun_s` seconds after the epoch was seen here.

    The controllers restore in the order of `names`, one after the other, with a time limit for
    each. Most of them know the same records. Restoring at the same time, they spent the write
    quota of the service on conflicts: `experiment loss` took 29 s with five controllers, 6 s
    with one."""
    for earlier in names[: names.index(name)]:
        if earlier in book.back and book.back[earlier][0] == book.era:
            continue
        patience = PATIENCE_TERMS / 2 if earlier in book.nodes else ABSENT_TERMS
        if begun_s < patience * term_s:
            return False
    return True


def first_record(found: Any, known: int, kind: Kind, name: str) -> dict[str, Any] | None:
    """Returns the record that begins an epoch after `known`, the highest one known here, or None
    if `found`, the record in the service, is of a later epoch already. Raises OverflowError if
    there is no further epoch."""
    standing = found["e"] if isinstance(found, dict) else 0
    if standing > known:
        return None
    if known >= LAST_ERA:
        raise OverflowError(f"epoch {known} is the last one: the state service lost data too often")
    return {"e": known + 1, "s": PUTTING_BACK, "k": kind, "by": name}


def complete(book: JobBook, names: Sequence[str]) -> bool:
    """Whether everything that was ever confirmed to anybody has been restored.

    If single records were lost, the copy of any one controller that saw the loss has them. If
    the service was reset, only the owners themselves know what they had begun, so all
    controllers must have seen the loss and restored."""
    lived = {name for name, (era, saw) in book.back.items() if era == book.era and saw}
    return bool(lived) if book.era_kind == "records" else lived >= set(names)


def next_record(
    book: JobBook,
    names: Sequence[str],
    begun_s: float,
    held_s: float,
    hold_s: float,
    term_s: float,
) -> dict[str, Any] | None:
    """Returns the epoch's record that begins its next stage, or None while the present one lasts.

    `begun_s` and `held_s` are the seconds for which the epoch and its present stage have been
    known here. After `hold_s` every task started before the epoch has been reported or has
    ended."""
    record = {"e": book.era, "k": book.era_kind, "v": book.era_start}
    if book.era_stage == PUTTING_BACK:
        back = {name for name, (era, _) in book.back.items() if era == book.era}
        if not back >= set(book.nodes) and begun_s < PATIENCE_TERMS * term_s:
            return None
        if complete(book, names):
            return {**record, "s": REBUILT, "c": True}
        # A controller that was cut off may still join, and may know records that no other has.
        if begun_s < term_s and not back >= set(names):
            return None
        return {**record, "s": HOLDING, "c": False}
    if book.era_stage == HOLDING and held_s >= hold_s:
        return {**record, "s": REBUILT, "c": False}
    return None
