"""Eras: the state service's revisions only mean something between two losses of its data.

A token has the era in its upper bits, above the version of the role's record, so that
authority of after a loss is above all authority of before it. Era 0 is that of a service
that has lost nothing: tokens are then what they were before there were eras.
"""

ERA_KEY = "r/e"

# Attempts are numbered from the token on, 20 bits further up, and must stay below 2**64: that
# leaves room for 255 eras, and for 14 years of 150 changes a second in one of them.
ERA_BITS = 36
LAST_ERA = 255

# How far the rebuilding of an era has come: controllers put back what they know; tasks of
# which nobody knows are given the time to show or to end; over.
PUTTING_BACK, HOLDING, REBUILT = 0, 1, 2


def era_token(era: int, version: int) -> int:
    return era << ERA_BITS | version


def version_in(token: int) -> int:
    """The version of the role's record, by which writes are guarded."""
    return token & ((1 << ERA_BITS) - 1)


def era_in(token: int) -> int:
    return token >> ERA_BITS
