"""What the owner of a part knows of a task and of a machine."""

import math
from typing import Literal

from ryegauge.detection.failure_diagnosis import ProbeResult
from ryegauge.protocol.workers import Report, TaskKey, TaskReport

# unseen: allotted before this token; may run on a machine not heard from yet.
# free: on no machine for certain. placed: its `run` is wanted, never reported.
# seen: reported alive. leaving: over or handed back; waits to be written.
Phase = Literal["unseen", "free", "placed", "seen", "leaving"]


class Task:
    __slots__ = (
        "attempt",
        "done",
        "errors",
        "failed",
        "key",
        "machine",
        "moving",
        "not_before",
        "phase",
        "running_since",
        "sent",
        "withdrawn",
        "zone",
    )

    def __init__(self, key: TaskKey, zone: str, phase: Phase) -> None:
        self.key = key
        self.zone = zone
        self.phase: Phase = phase
        self.machine: str | None = None
        self.attempt = 0
        self.sent = False  # a `run` of this attempt was given
        self.withdrawn = False  # must not run (any more): cancelled, or its machine goes
        self.moving = False  # is being stopped here to run elsewhere
        self.running_since: float | None = None
        self.not_before = 0.0
        self.done = False
        self.errors: set[str] = set()  # machines on which it failed
        self.failed = 0  # times


class Machine:
    __slots__ = (
        "address",
        "alive",
        "checked_in",
        "deaf_until",
        "direct",
        "given_up",
        "heard_at",
        "heard_from",
        "idle_since",
        "images",
        "name",
        "notice_at",
        "probes",
        "retiring",
        "since",
        "spot",
        "stamp",
        "stuck_at",
        "tasks",
        "trusted",
        "type",
        "zone",
    )

    def __init__(self, report: Report, now: float) -> None:
        self.name = report.machine
        self.type = report.type
        self.zone = report.zone
        self.spot = report.spot
        self.address = report.addr
        # Attempts sent straight to the worker, without an answer so far: they may
        # still be started at any time in this session.
        self.direct: set[tuple[TaskKey, int]] = set()
        self.trusted = False  # has reported under this token
        self.stamp = (0, 0)
        self.checked_in = (0, 0)  # the newest of its check-ins
        self.deaf_until = -math.inf  # until then it seems not to hear us
        self.since = self.heard_at = now
        self.heard_from = now  # without a longer pause since then
        self.probes: list[ProbeResult] = []  # since it was heard
        self.notice_at: float | None = None  # when the cloud takes it away
        self.retiring = False
        # Since when a start of a cancelled job may be on its way here that got no answer.
        self.stuck_at = math.inf
        self.given_up = False  # never showed that it hears us
        self.idle_since = now
        self.images: dict[str, float] = {}  # presumed cached, most recently used last
        self.tasks: set[TaskKey] = set()  # tasks whose place this is
        self.alive: dict[tuple[TaskKey, int], TaskReport] = {}  # as last reported
