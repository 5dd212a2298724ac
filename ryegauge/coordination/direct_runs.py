"""The `run` commands that were sent straight to one worker, and which of them may still start a
task.

A request to a worker's `/commands` may arrive at any later time, and once more after it was
answered. The worker carries it out as long as it is in the session that the request names and has
seen no token higher than the request's. A `run` starts nothing there while the worker knows the
attempt, ended attempts included; after `forget` it starts the attempt again. So an attempt whose
`run` was sent directly may be forgotten only by an answer with a higher token than the request's:
either the worker takes neither, or it refuses the request, and every copy of it, from then on.
Commands in answers to check-ins need no such care, since workers drop answers that come late.
"""

from collections.abc import Iterable
from typing import NamedTuple

from ryegauge.protocol.workers import Run, TaskKey

AttemptKey = tuple[TaskKey, int]  # a task and the number of its attempt


class DirectRequest(NamedTuple):
    """`run` commands to send to a worker's address, under a token and for a session."""

    machine: str
    address: str
    session: int
    token: int
    commands: list[Run]

    @property
    def attempts(self) -> set[AttemptKey]:
        """The attempts that the request starts."""
        return {(command.task, command.attempt) for command in self.commands}


class DirectRuns:
    """The attempts whose `run` was sent directly to one worker in its present session."""

    __slots__ = ("_shown_token", "_tokens", "_unanswered")

    def __init__(self) -> None:
        self._tokens: dict[AttemptKey, int] = {}  # attempt -> token of its request
        self._unanswered: set[AttemptKey] = set()
        self._shown_token = -1

    def on_sent(self, attempts: Iterable[AttemptKey], token: int) -> None:
        """A request with `run` for these attempts is about to be sent, under a token that is not
        lower than any that the worker has shown."""
        for attempt in attempts:
            self._tokens[attempt] = token
            self._unanswered.add(attempt)

    def on_answered(self, attempts: Iterable[AttemptKey]) -> None:
        """The worker has answered the request: it was carried out or refused. Copies of it may
        still arrive."""
        self._unanswered.difference_update(attempts)

    def on_token_shown(self, token: int) -> None:
        """The worker has reported this token: it refuses requests with lower ones."""
        if token <= self._shown_token:
            return
        self._shown_token = token
        refused = [attempt for attempt, sent in self._tokens.items() if sent < token]
        for attempt in refused:
            del self._tokens[attempt]
        self._unanswered.difference_update(refused)

    def on_session_ended(self) -> None:
        """The worker has begun a new session: it refuses all earlier requests."""
        self._tokens.clear()
        self._unanswered.clear()

    def is_unanswered(self, attempt: AttemptKey) -> bool:
        """Whether the attempt's `run` was neither answered nor refused for certain, so that a
        report without the attempt does not show that it will not start."""
        return attempt in self._unanswered

    def may_start(self, attempt: AttemptKey, token: int) -> bool:
        """Whether the attempt's request, or a copy of it, would be accepted by a worker that has
        seen `token`, and would start the attempt if the worker did not know it."""
        return self._tokens.get(attempt, -1) >= token
