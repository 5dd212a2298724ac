"""Epochs of the state service's data: its revisions are comparable only between two losses.

A fencing token has the epoch in its upper bits, above the version of the role's record, so that
every token issued after a loss is greater than all from before it. Epoch 0 is that of a service
that has lost nothing; tokens then equal the bare versions, as in releases without epochs.
"""

EPOCH_KEY = "r/e"

# Width of the version in a token. Attempt numbers begin at the token shifted left by 20 bits and
# must stay below 2**64, which leaves room for 255 epochs, and for 14 years of 150 changes a
# second in each of them.
EPOCH_SHIFT_BITS = 36
MAX_EPOCH = 255

# Stages of the recovery after a loss: controllers restore what they know; tasks that no record
# mentions are given time to be reported or to end; the recovery is over.
RESTORING, GRACE_PERIOD, RECOVERED = 0, 1, 2


def fencing_token(epoch: int, version: int) -> int:
    """The fencing token of a role's record."""
    return epoch << EPOCH_SHIFT_BITS | version


def version_of_token(token: int) -> int:
    """The version of the role's record, which guards the holder's writes."""
    return token & ((1 << EPOCH_SHIFT_BITS) - 1)


def epoch_of_token(token: int) -> int:
    """The epoch of a fencing token."""
    return token >> EPOCH_SHIFT_BITS
