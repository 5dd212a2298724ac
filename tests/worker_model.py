"""A plain model of the protocol's worker: its token, session and attempts, without time."""

from ryegauge.coordination.direct_runs import AttemptKey, DirectRequest
from ryegauge.protocol.workers import (
    Command,
    Forget,
    Kill,
    Report,
    Run,
    TaskKey,
    TaskReport,
    TaskState,
    task_name,
)


class WorkerModel:
    """One machine's worker. `attempts`: attempt -> None while it lives, then why it ended."""

    def __init__(self, machine: str) -> None:
        self.machine = machine
        self.session, self.seq, self.token = 1, 0, 0
        self.notice_s: float | None = None
        self.attempts: dict[AttemptKey, str | None] = {}

    def alive(self) -> set[TaskKey]:
        """The tasks that run here."""
        return {key for (key, _), why in self.attempts.items() if why is None}

    def report(self) -> Report:
        """The next report."""
        self.seq += 1
        tasks = [
            TaskReport(task_name(key), number, state_of(why), why)
            for (key, number), why in self.attempts.items()
        ]
        address = f"{self.machine}:9000"
        return Report(
            self.machine,
            "small",
            "a",
            True,
            self.session,
            self.seq,
            self.token,
            address,
            self.notice_s,
            tasks,
        )

    def take_answer(self, token: int, commands: list[Command]) -> None:
        """Takes the answer to a check-in, unless its token is outdated."""
        if token >= self.token:
            self.token = token
            self._execute(commands)

    def accepts(self, request: DirectRequest) -> bool:
        """Whether the request would be carried out now."""
        return request.token >= self.token and request.session == self.session

    def take_request(self, request: DirectRequest) -> Report:
        """Takes a direct request, if its token and session match; returns the report that is the
        answer to it."""
        if self.accepts(request):
            self.token = request.token
            self._execute(list(request.commands))
        return self.report()

    def would_start(self, request: DirectRequest) -> set[AttemptKey]:
        """The attempts that the request would start if it arrived now."""
        if not self.accepts(request):
            return set()
        return {attempt for attempt in request.attempts if attempt not in self.attempts}

    def end_session(self) -> None:
        """The lease has expired: all attempts end and are forgotten."""
        self.attempts.clear()
        self.session += 1

    def _execute(self, commands: list[Command]) -> None:
        for command in commands:
            attempt = (command.task, command.attempt)
            match command:
                case Run() if attempt not in self.attempts:
                    self.attempts[attempt] = "busy" if command.task in self.alive() else None
                case Kill() if attempt in self.attempts and self.attempts[attempt] is None:
                    self.attempts[attempt] = "stopped"
                case Forget() if self.attempts.get(attempt) is not None:
                    del self.attempts[attempt]


def state_of(why: str | None) -> TaskState:
    """The state of an attempt that ended for this reason, or has not ended."""
    return "running" if why is None else "ended"
