"""Named experiments on the emulator, in simulated time. An extra: a controller loads none of
it. All figures are of simulated machines."""

BASELINE = "strict, no backlog"
POLICIES = (BASELINE, "settled", "strict", "ageing")
