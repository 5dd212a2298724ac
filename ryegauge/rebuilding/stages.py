"""How a new era begins and how it comes to its end."""

# kind: decisions

from collections.abc import Sequence
from typing import Any

from ryegauge.bookkeeping.eras import HOLDING, LAST_ERA, PUTTING_BACK, REBUILT
from ryegauge.bookkeeping.jobbook import JobBook
from ryegauge.rebuilding.noticing import Kind

# After so many terms one that has enrolled and does not put back is waited for no longer.
PATIENCE_TERMS = 4.0


# How long one that has not enrolled is waited for, in terms.
ABSENT_TERMS = 0.25


def my_turn(book: JobBook, names: Sequence[str], name: str, begun_s: float, term_s: float) -> bool:
    """Controllers put back one after the other: most know the same, and all at once they spent
    the changes that the service takes on conflicts. (Found by `experiment loss`: 29 s with five
    of them, 6 s with one.)"""
    for earlier in names[: names.index(name)]:
        if earlier in book.back and book.back[earlier][0] == book.era:
            continue
        patience = PATIENCE_TERMS / 2 if earlier in book.nodes else ABSENT_TERMS
        if begun_s < patience * term_s:
            return False
    return True


def first_record(found: Any, known: int, kind: Kind, name: str) -> dict[str, Any] | None:
    """The record that begins an era above all that are known; None: one has begun already."""
    standing = found["e"] if isinstance(found, dict) else 0
    if standing > known:
        return None
    if known >= LAST_ERA:
        raise OverflowError("all eras are used up: the state service has lost data too often")
    return {"e": known + 1, "s": PUTTING_BACK, "k": kind, "by": name}


def complete(book: JobBook, names: Sequence[str]) -> bool:
    """Whether nothing can have been lost that was confirmed to anybody. When single records
    went, any controller's book of before has them. When the service went back, only the owners
    themselves know what they had begun: all of them must have lived through it."""
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
    """The era's record as the leader should write it now. `begun_s`, `held_s`: seconds for
    which the era, and its present stage, have been known here. `hold_s`: after which whatever
    an earlier authority began has shown or has ended."""
    record = {"e": book.era, "k": book.era_kind, "v": book.era_start}
    if book.era_stage == PUTTING_BACK:
        back = {name for name, (era, _) in book.back.items() if era == book.era}
        if not back >= set(book.nodes) and begun_s < PATIENCE_TERMS * term_s:
            return None
        if complete(book, names):
            return {**record, "s": REBUILT, "c": True}
        # Others may be about to come: a cut-off one knows what nobody else does.
        if begun_s < term_s and not back >= set(names):
            return None
        return {**record, "s": HOLDING, "c": False}
    if book.era_stage == HOLDING and held_s >= hold_s:
        return {**record, "s": REBUILT, "c": False}
    return None
