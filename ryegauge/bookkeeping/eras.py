"""Epochs of the state service's data: its revisions are comparable only between two losses.

A fencing token has the epoch in its upper bits, above the version of the role's record, so that
every token issued after a loss is greater than all from before it. Epoch 0 is that of a service
that has lost nothing; tokens then equal the bare versions, as in releases without epochs.
"""

ERA_KEY = "r/e"

# Width of the version in a token. Attempt numbers begin at the token shifted left by 20 bits and
# must stay below 2**64, which leaves room for 255 epochs, and for 14 years of 150 changes a
# second in each of them.
ERA_BITS = 36
LAST_ERA = 255

# Stages of the recovery after a loss: controllers restore what they know; tasks that no record
# mentions are given time to be reported or to end; the recovery is over.
PUTTING_BACK, HOLDING, REBUILT = 0, 1, 2


def era_token(era: int, version: int) -> int:
    """The fencing token of a role's record."""
    return era << ERA_BITS | version


def version_in(token: int) -> int:
    """The version of the role's record, which guards the holder's writes."""
    return token & ((1 << ERA_BITS) - 1)


def era_in(token: int) -> int:
    """The epoch of a fencing token."""
    return token >> ERA_BITS
