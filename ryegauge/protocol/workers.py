"""Workers' reports and the commands that they are given."""

from typing import Any, Literal, NamedTuple

import msgspec

from ryegauge.transport.http import Malformed

TaskKey = tuple[str, int]
TaskState = Literal["fetching", "waiting", "running", "flushing", "ended"]


def task_key(name: str) -> TaskKey:
    uid, _, index = name.rpartition("/")
    if not uid or not index.isdigit():
        raise Malformed(f"piece: expected JOB/NUMBER, got {name!r}")
    return uid, int(index)


def task_name(key: TaskKey) -> str:
    return f"{key[0]}/{key[1]}"


class TaskReport(
    msgspec.Struct,
    frozen=True,
    rename={"task": "piece", "attempt": "try", "state": "status", "why": "cause"},
):
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
    try:
        return msgspec.convert(raw, Report)
    except msgspec.ValidationError as error:
        raise Malformed(str(error)) from None


class Run(NamedTuple):
    task: TaskKey
    attempt: int


class Kill(NamedTuple):
    task: TaskKey
    attempt: int
    grace_s: float


class Forget(NamedTuple):
    task: TaskKey
    attempt: int


Command = Run | Kill | Forget


def report_reply(token: int, commands: list[Command]) -> dict[str, Any]:
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
