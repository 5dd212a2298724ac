"""Workers' reports, and the commands in the answers to them."""

from collections.abc import Sequence
from typing import Any, Literal, NamedTuple

import msgspec

from ryegauge.transport.http import Malformed

TaskKey = tuple[str, int]
TaskState = Literal["fetching", "waiting", "running", "flushing", "ended"]


def task_key(name: str) -> TaskKey:
    """Parses a task's name on the wire, `JOB/NUMBER`; raises Malformed."""
    uid, _, index = name.rpartition("/")
    if not uid or not index.isdigit():
        raise Malformed(f"piece: expected JOB/NUMBER, got {name!r}")
    return uid, int(index)


def task_name(key: TaskKey) -> str:
    """Returns a task's name on the wire, `JOB/NUMBER`."""
    return f"{key[0]}/{key[1]}"


class TaskReport(
    msgspec.Struct,
    frozen=True,
    rename={"task": "piece", "attempt": "try", "state": "status", "why": "cause"},
):
    """State of one attempt of a task on the reporting machine."""

    task: str
    attempt: int
    state: TaskState
    why: str | None = None
    saved: bool = False


class Report(
    msgspec.Struct,
    frozen=True,
    rename={
        "machine": "host",
        "addr": "address",
        "type": "build",
        "zone": "district",
        "spot": "loaners",
        "session": "shift",
        "seq": "tally",
        "token": "baton",
        "notice_s": "warningS",
        "tasks": "pieces",
    },
):
    """A worker's report: its machine, and all attempts that it holds.

    `session` and `seq` order the reports of a machine, `token` is the highest that the worker
    has seen, and `notice_s` is the time left until the cloud reclaims the machine, if announced."""

    machine: str
    type: str
    zone: str
    spot: bool
    session: int
    seq: int
    token: int
    addr: str = ""
    notice_s: float | None = None
    tasks: list[TaskReport] = []


def parse_report(raw: Any) -> Report:
    """Returns the report in a decoded body; raises Malformed naming the invalid field."""
    try:
        return msgspec.convert(raw, Report)
    except msgspec.ValidationError as error:
        raise Malformed(str(error)) from None


class Run(NamedTuple):
    """Start an attempt of a task."""

    task: TaskKey
    attempt: int


class Kill(NamedTuple):
    """Stop an attempt; it has `grace_s` seconds to save its state."""

    task: TaskKey
    attempt: int
    grace_s: float


class Forget(NamedTuple):
    """Stop reporting an attempt that has ended: its end is recorded."""

    task: TaskKey
    attempt: int


Command = Run | Kill | Forget


def report_reply(token: int, commands: Sequence[Command]) -> dict[str, Any]:
    """Returns the body of the answer to a report, or of direct commands: the token under which
    they are given, and the commands."""
    orders: list[dict[str, Any]] = []
    for command in commands:
        order: dict[str, Any] = {"piece": task_name(command.task), "try": command.attempt}
        match command:
            case Run():
                order["verb"] = "run"
            case Kill(grace_s=grace_s):
                order["verb"], order["leewayS"] = "kill", grace_s
            case Forget():
                order["verb"] = "forget"
        orders.append(order)
    return {"baton": token, "orders": orders}
