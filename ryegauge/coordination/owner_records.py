"""The records that the owner of a part keeps of its tasks and machines. Times are in seconds of
the controller's clock."""

import math
from typing import Literal

from ryegauge.detection.failure_diagnosis import ProbeResult
from ryegauge.protocol.workers import Report, TaskKey, TaskReport

# unseen: assigned before this token; may run on a machine that has not reported yet.
# free: certainly on no machine. placed: to be started on a machine, not reported by it yet.
# seen: reported alive. leaving: ended or handed back; its removal from the share is not
# written yet.
Phase = Literal["unseen", "free", "placed", "seen", "leaving"]


class Task:
    """A task that the part's share of a job holds, and its current attempt."""

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
        self.sent = False  # a `run` of this attempt was sent
        self.withdrawn = False  # must not run any more: its job is cancelled, or it is evicted
        self.moving = False  # is being stopped to run on another machine
        self.running_since: float | None = None
        self.not_before = 0.0
        self.done = False
        self.errors: set[str] = set()  # machines on which it failed
        self.failed = 0  # failed attempts


class Machine:
    """A machine of the part, by its reports under this owner's token."""

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
        # Attempts whose `run` was sent straight to the worker and not answered: they may still
        # start at any time in this session.
        self.direct: set[tuple[TaskKey, int]] = set()
        self.trusted = False  # has reported under this token
        self.stamp = (0, 0)  # (session, sequence number) of the newest report under this token
        self.checked_in = (0, 0)  # the same of the newest check-in, under any token
        self.deaf_until = -math.inf  # until then our messages seem not to reach it
        self.since = self.heard_at = now
        self.heard_from = now  # its reports have come without a long pause since then
        self.probes: list[ProbeResult] = []  # results of probes since it was last heard
        self.notice_at: float | None = None  # when the cloud reclaims it
        self.retiring = False  # to be returned once empty
        # Since when an unanswered `run` of a cancelled job may still arrive here.
        self.stuck_at = math.inf
        self.given_up = False  # it has never shown this owner's token, and is returned for that
        self.idle_since = now
        self.images: dict[str, float] = {}  # presumed cached, most recently used last
        self.tasks: set[TaskKey] = set()  # tasks placed here
        self.alive: dict[tuple[TaskKey, int], TaskReport] = {}  # attempts as last reported
