"""The records that the owner of a shard keeps of its tasks and machines. Times are in seconds of
the controller's clock."""

import math
from typing import Literal

from ryegauge.coordination.direct_runs import AttemptKey, DirectRuns
from ryegauge.detection.failure_diagnosis import ProbeResult
from ryegauge.protocol.workers import Report, TaskKey, TaskReport

# unseen: assigned before this token; may run on a machine that has not reported yet.
# unplaced: certainly on no machine.
# placed: to be started on a machine that has not reported it yet.
# seen: reported alive.
# pending_removal: ended or returned to the leader; its removal from the assignment is not
#     written yet.
Phase = Literal["unseen", "unplaced", "placed", "seen", "pending_removal"]


class Task:
    """A task that a job's assignment to the shard holds, and its current attempt."""

    __slots__ = (
        "attempt",
        "done",
        "failed_on",
        "failures",
        "key",
        "machine",
        "not_before",
        "phase",
        "relocating",
        "run_sent",
        "running_since",
        "withdrawn",
        "zone",
    )

    def __init__(self, key: TaskKey, zone: str, phase: Phase) -> None:
        self.key = key
        self.zone = zone
        self.phase: Phase = phase
        self.machine: str | None = None
        self.attempt = 0
        self.run_sent = False  # a `run` of this attempt was sent
        self.withdrawn = False  # must not run any more: its job is cancelled, or it is evicted
        self.relocating = False  # is being stopped to run on another machine
        self.running_since: float | None = None
        self.not_before = 0.0
        self.done = False
        self.failed_on: set[str] = set()  # machines on which it failed
        self.failures = 0  # failed attempts


class Machine:
    """A machine of the shard, by its reports to this owner.

    What they say about its tasks counts only once `token_confirmed` is set."""

    __slots__ = (
        "address",
        "alive_attempts",
        "direct_runs",
        "first_heard_at",
        "heard_at",
        "heard_steadily_since",
        "idle_since",
        "images",
        "last_checkin_id",
        "last_report_id",
        "name",
        "notice_at",
        "pending_run_since",
        "probes",
        "retained_attempts",
        "retired_unconfirmed",
        "retiring",
        "spot",
        "tasks",
        "token",
        "token_confirmed",
        "type",
        "unreachable_until",
        "zone",
    )

    def __init__(self, report: Report, now: float) -> None:
        self.name = report.machine
        self.type = report.type
        self.zone = report.zone
        self.spot = report.spot
        self.address = report.addr
        self.token = report.token  # the highest that it has shown or was given by this owner
        self.direct_runs = DirectRuns()
        # Ended attempts in its last report that cannot be forgotten yet, since a copy of their
        # direct `run` would start them again.
        self.retained_attempts = 0
        self.token_confirmed = False  # has reported under this token
        # (session, sequence number) of the newest report under this token.
        self.last_report_id = (0, 0)
        self.last_checkin_id = (0, 0)  # the same of the newest check-in, under any token
        self.unreachable_until = -math.inf  # until then messages seem not to reach it
        self.first_heard_at = self.heard_at = now
        self.heard_steadily_since = now  # its reports have come without a long pause since then
        self.probes: list[ProbeResult] = []  # results of probes since it was last heard
        self.notice_at: float | None = None  # when the cloud reclaims it
        self.retiring = False  # to be released once empty
        # Since when an unanswered `run` of a cancelled job may still arrive here.
        self.pending_run_since = math.inf
        # It has never shown this owner's token, and is to be released for that.
        self.retired_unconfirmed = False
        self.idle_since = now
        self.images: dict[str, float] = {}  # presumed cached, most recently used last
        self.tasks: set[TaskKey] = set()  # tasks placed here
        self.alive_attempts: dict[AttemptKey, TaskReport] = {}  # attempts as last reported
