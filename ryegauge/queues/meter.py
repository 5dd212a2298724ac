"""What the queues' front counts, for each binding: plain numbers, which `exporter` shows."""

from collections import Counter
from typing import Literal

# recorded: a job was made; known: it was there already; refused: it can never run.
Fate = Literal["recorded", "known", "refused", "cancelled", "requeued"]


class Meter:
    """Of one binding."""

    def __init__(self) -> None:
        self.fates: Counter[Fate] = Counter()
        self.answers: Counter[str] = Counter()  # by the job's outcome, or "undeliverable"
        self.retries = 0  # attempts to record that were refused for now
        self.record_s = 0.0  # from delivery to being settled, summed over messages
        self.settled = 0
        self.in_hand = 0  # taken and not settled
        self.window = 0  # asked for at once; 0 while another controller takes them
        self.connections = 0
