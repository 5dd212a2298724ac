"""Named experiments that run on the emulator in simulated time.

Optional: a controller imports none of it. All results are of simulated machines.
"""

# Strict priority without the backlog; the other policies are compared to it.
BASELINE = "strict, no backlog"
POLICIES = (BASELINE, "settled", "strict", "ageing")
