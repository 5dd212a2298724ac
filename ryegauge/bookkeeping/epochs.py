"""Eras: the state service's revisions only mean something between two losses of its data.

A token has the era in its upper bits, above the version of the role's record, so that
authority of after a loss is above all authority of before it. Era 0 is that of a service
that has lost nothing: tokens are then what they were before there were eras.
"""

EPOCH_KEY = "r/e"

# Attempts are numbered from the token on, 20 bits further up, and must stay below 2**64: that
# leaves room for 255 eras, and for 14 years of 150 changes a second in one of them.
EPOCH_SHIFT_BITS = 36
MAX_EPOCH = 255

# How far the rebuilding of an era has come: controllers put back what they know; tasks of
# which nobody knows are given the time to show or to end; over.
RESTORING, GRACE_PERIOD, RECOVERED = 0, 1, 2


def fencing_token(epoch: int, version: int) -> int:
    return epoch << EPOCH_SHIFT_BITS | version


def version_of_token(token: int) -> int:
    """The version of the role's record, by which writes are guarded."""
    return token & ((1 << EPOCH_SHIFT_BITS) - 1)


def epoch_of_token(token: int) -> int:
    return token >> EPOCH_SHIFT_BITS
