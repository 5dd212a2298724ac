"""Counters and gauges of each queue binding; `exporter` exposes them as Prometheus metrics."""

from collections import Counter
from typing import Literal

# What became of a message. recorded: its job was created; known: its job existed already;
# refused: it can never run; cancelled: it cancelled a job; requeued: it was returned to the queue.
Fate = Literal["recorded", "known", "refused", "cancelled", "requeued"]


class Meter:
    """The metrics of one binding in one controller since its start."""

    def __init__(self) -> None:
        self.fates: Counter[Fate] = Counter()
        self.answers: Counter[str] = Counter()  # replies by job status, or "undeliverable"
        self.retries = 0  # attempts to record that were refused temporarily
        self.record_s = 0.0  # seconds from delivery until processed, summed over messages
        self.settled = 0  # messages processed, whatever their fate
        self.in_hand = 0  # delivered and not yet acknowledged or rejected
        self.window = 0  # prefetch count; 0 while another controller consumes
        self.connections = 0  # connections that became ready so far
