"""The owner of a shard with modelled workers, a few tasks and a network that delivers every direct
request at any later time, any number of times, answered or not.

Explored in every order to a depth, and in long random walks: no task runs twice, and from the
moment at which an attempt has ended for its owner, no request that was ever sent could start it.
Seeded faults are found.
"""

import os
import random
from collections import deque
from collections.abc import Callable, Iterator
from typing import Any

import pytest
from conftest import job_body
from worker_model import WorkerModel

from ryegauge.bookkeeping.ranges import Ranges
from ryegauge.bookkeeping.state import Event
from ryegauge.bookkeeping.state_replica import (
    StateReplica,
    assignment_key,
    cancelled_record,
    job_key,
    job_record,
)
from ryegauge.config import Settings
from ryegauge.coordination.command_tokens import CommandTokens
from ryegauge.coordination.direct_runs import AttemptKey, DirectRequest, DirectRuns
from ryegauge.coordination.membership import shard_key
from ryegauge.coordination.shard_owner import ShardOwner
from ryegauge.protocol.cloud import MachineType
from ryegauge.protocol.jobs import parse_job
from ryegauge.protocol.workers import Command, Report

TYPES = {"small": MachineType("small", 4.0, 16.0, 0.4, 10.0, ["a"], spot_price=0.1)}
UID = "wk-000001"
STEP_S = 0.01  # between two events
WAIT_S = 3.0
ANSWER_VALID_S = 4.0  # how long a worker waits for an answer
FIRST_REVISION = 50


class CommandModel:
    """The state of owner, workers, network and state service, changed by named events."""

    def __init__(self, settings: Settings, tasks: int = 1) -> None:
        self._settings = settings
        self._spec = parse_job(job_body(UID, pieces=tasks))
        self._lease_s = settings.settings.workers.lease_s
        self._replica = StateReplica()
        self._revision = FIRST_REVISION
        self.now = 100.0
        self._machines = 2
        self.workers = [WorkerModel(f"m-{n + 1}") for n in range(self._machines)]
        self.requests: list[DirectRequest] = []
        self.unanswered: set[int] = set()  # requests whose answer has not reached the owner
        # Worker -> the answer to its present check-in, on its way, and when that was sent.
        self.answers: dict[int, tuple[int, list[Command]]] = {}
        self._sent_at: dict[int, float] = {}
        self._lease_from = [self.now for _ in self.workers]
        self.held = set(range(tasks))  # tasks that the assignment holds
        self.done: set[int] = set()
        self.cancelled = False
        self._put(job_key(UID), job_record(self._spec, 0.0, False))
        self._take_role()
        for index in range(len(self.workers)):
            self.apply(("check in", index))
            self.apply(("answer", index))
            self.apply(("check in", index))
        self._put_assignment()

    # -- what happens -----------------------------------------------------------------------

    def events(self) -> Iterator[tuple[str, int]]:
        """The events that may happen next, as (name, index of a worker or request)."""
        yield "tick", 0
        yield "send", 0
        yield "write", 0
        yield "other write", 0
        if not self.cancelled and len(self.done) < self._spec.tasks:
            yield "cancel", 0
        for index, worker in enumerate(self.workers):
            yield "check in", index
            if index in self.answers:
                yield "answer", index
            if worker.alive():
                yield "evict", index
                yield "complete", index
        for index in range(len(self.requests)):
            yield "deliver", index
            if index in self.unanswered:
                yield "deliver and answer", index

    def rare_events(self) -> Iterator[tuple[str, int]]:
        """Further events, for the random walks; some names repeat, to be drawn more often."""
        yield "take over", 0
        for index in range(len(self.workers)):
            yield from [("wait", 0)] * 6
            yield "end session", index
            yield "notice", index
            yield from [("fail", index)] * 3
            yield "retire", index
            yield from [("replace", index)] * 2

    def apply(self, event: tuple[str, int]) -> None:
        """Lets one event happen."""
        name, index = event
        self.now += WAIT_S if name == "wait" else STEP_S
        self._expire()
        match name:
            case "tick":
                self.owner.tick(self.now, self.now)
            case "send":
                for request in self.owner.take_direct_runs(self.now, 10):
                    self.unanswered.add(len(self.requests))
                    self.requests.append(request)
            case "deliver":
                self._deliver(index)
            case "deliver and answer":
                self.unanswered.discard(index)
                report = self._deliver(index)
                if report is not None:
                    self.owner.on_direct_answer(self.requests[index])
                if report is not None and not self.owner.tokens.is_superseded_by(report.token):
                    self.owner.on_report(report, self.now, checkin=False)
            case "check in":
                self._check_in(index)
            case "answer":
                self._answer(index)
            case "complete" | "fail":
                self._end_attempts(index, "done" if name == "complete" else "error")
            case "evict":
                self.owner.evict(self.workers[index].machine, UID, 1)
            case "cancel":
                self.cancelled = True
                self._put(job_key(UID), cancelled_record(self._spec, 0.0, 4000))
            case "write":
                self._write()
            case "other write":
                self._revision += 1
                self._replica.apply([], self._revision)
            case "take over":
                self._take_role()
                self.unanswered.clear()
            case "end session":
                self._end_session(index)
            case "notice":
                self.workers[index].notice_s = 5.0
            case "retire":
                self.owner.retire([self.workers[index].machine])
            case "replace":
                self._replace(index)

    def violation(self) -> str:
        """Which rule does not hold; empty if all do."""
        startable = {
            attempt
            for request in self.requests
            for worker in self.workers
            if worker.machine == request.machine
            for attempt in worker.would_start(request)
        }
        for index in range(self._spec.tasks):
            key = (UID, index)
            running = [worker.machine for worker in self.workers if key in worker.alive()]
            if len(running) > 1:
                return f"{key} runs on {running}"
            task = self.owner.tasks.get(key)
            if task is not None and task.phase == "unseen":
                continue  # this owner does not know of the attempts of the one before
            current = task.attempt if task is not None and task.machine is not None else None
            for other, attempt in startable:
                if other == key and attempt != current:
                    return f"{key} attempt {attempt} could start, its task's is {current}"
            if current is None and running:
                return f"{key} runs on {running}, but has ended for its owner"
        return ""

    def key(self) -> object:
        """What decides about all that can follow."""
        tasks = [
            (task.phase, task.attempt, task.machine, task.run_sent, task.withdrawn)
            for _, task in sorted(self.owner.tasks.items())
        ]
        return (
            [(w.session, w.token, sorted(w.attempts.items())) for w in self.workers],
            [
                (
                    m.token,
                    m.token_confirmed,
                    m.retiring,
                    m.direct_runs._tokens,
                    sorted(m.direct_runs._unanswered),
                    sorted(m.alive_attempts),
                )
                for m in self.owner.machines.values()
            ],
            tasks,
            sorted(self.unanswered),
            self.answers,
            len(self.requests),
            (sorted(self.held), sorted(self.done), self.cancelled, self._revision),
        )

    # -- details ----------------------------------------------------------------------------

    def _check_in(self, index: int) -> None:
        self.answers.pop(index, None)  # the worker has given up waiting for it
        report = self.workers[index].report()
        if self.owner.tokens.is_superseded_by(report.token):
            return
        commands = self.owner.on_report(report, self.now)
        self.answers[index] = self.owner.command_token(report.machine), commands
        self._sent_at[index] = self.now

    def _answer(self, index: int) -> None:
        if index not in self.answers:
            return  # too late
        token, commands = self.answers.pop(index)
        if token >= self.workers[index].token:
            self._lease_from[index] = self._sent_at[index]
        self.workers[index].take_answer(token, commands)

    def _expire(self) -> None:
        """Workers give up answers that are late, and begin a new session after their lease."""
        for index, lease_from in enumerate(self._lease_from):
            if index in self.answers and self.now > self._sent_at[index] + ANSWER_VALID_S:
                del self.answers[index]
            if self.now > lease_from + self._lease_s:
                self._end_session(index)

    def _end_session(self, index: int) -> None:
        self.workers[index].end_session()
        self._lease_from[index] = self.now
        self.answers.pop(index, None)

    def _end_attempts(self, index: int, why: str) -> None:
        attempts = self.workers[index].attempts
        for attempt, ended in attempts.items():
            if ended is None:
                attempts[attempt] = why

    def _write(self) -> None:
        """Writes the assignment as the owner wants it; the leader then assigns all tasks that are
        neither done nor cancelled."""
        for update in list(self.owner.pending()):
            self.held = set(update.assignment.tasks)
            self.done |= set(update.assignment.done)
        self._put_assignment()
        if not self.cancelled:
            self.held = set(range(self._spec.tasks)) - self.done
            self._put_assignment()

    def _put_assignment(self) -> None:
        value = {"t": {"": Ranges.of(self.held).flat()}, "d": Ranges.of(self.done).flat()}
        self._put(assignment_key(UID, 0), value)

    def _take_role(self) -> None:
        """An owner obtains the role; it knows nothing of what was sent before."""
        self._put(shard_key(0), {"o": "node-0", "i": f"run {self._revision}"})
        self.owner = ShardOwner(
            0, self._revision, self._replica, self._settings, lambda: TYPES, self.now
        )
        self._replica.on_job_changed[:] = [self.owner.on_job_changed]

    def _put(self, key: str, value: Any) -> None:
        self._revision += 1
        self._replica.apply([Event(key, value, self._revision)], self._revision)

    def _deliver(self, index: int) -> Report | None:
        """Delivers a request; None if its machine has been returned."""
        request = self.requests[index]
        for worker in self.workers:
            if worker.machine == request.machine:
                return worker.take_request(request)
        return None

    def _replace(self, index: int) -> None:
        """A machine is returned, and another one rented."""
        self.owner.on_released([self.workers[index].machine])
        self._machines += 1
        self.workers[index] = WorkerModel(f"m-{self._machines}")
        self._lease_from[index] = self.now
        self.answers.pop(index, None)


def explore(settings: Settings, start: list[tuple[str, int]], depth: int) -> tuple[str, int]:
    """Explores every order of up to `depth` events after those in `start`; returns the first
    violation found, with the events that led to it, and the number of states reached."""
    queue = deque([start])
    seen: set[str] = set()
    while queue:
        path = queue.popleft()
        model = CommandModel(settings)
        for event in path:
            model.apply(event)
        if violation := model.violation():
            return f"{violation}: {path}", len(seen)
        if (key := repr(model.key())) in seen:
            continue
        seen.add(key)
        if len(path) < len(start) + depth:
            queue += [[*path, event] for event in model.events()]
    return "", len(seen)


# The task's first attempt was started by a direct command that was answered.
STARTED = [("tick", 0), ("send", 0), ("deliver and answer", 0), ("check in", 0), ("answer", 0)]
# The same, but the request is still on its way.
SENT = [("tick", 0), ("send", 0)]

DEPTH = 8


@pytest.mark.parametrize("start", [STARTED, SENT], ids=["started", "sent"])
def test_no_order_of_copies_starts_a_task_twice(
    settings: Settings, start: list[tuple[str, int]]
) -> None:
    """Guards against a late copy of an answered direct `run` that started a task beside its next
    attempt, or one of a cancelled job (review/1)."""
    violation, states = explore(settings, start, DEPTH)
    assert violation == ""
    assert states > 1000


def walk(settings: Settings, seed: int, steps: int) -> tuple[str, int]:
    """Lets random events happen; returns the first violation and the number of runs sent."""
    rng = random.Random(seed)
    model = CommandModel(settings, tasks=30)
    for step in range(steps):
        events = list(model.rare_events() if rng.random() < 0.07 else model.events())
        if step < steps / 2:  # the second half is about a cancelled job
            events = [event for event in events if event[0] != "cancel"]
        name = rng.choice([name for name, _ in events])
        if name in ("deliver", "deliver and answer") and rng.random() < 0.8:
            name = "tick"  # copies are many: leave room for all else
        event = rng.choice([event for event in events if event[0] == name])
        model.apply(event)
        if event[0] == "tick":
            model.apply(("send", 0))
        if violation := model.violation():
            return f"{violation}, by {event}", len(model.requests)
    return "", len(model.requests)


# A longer run with more seeds: RYEGAUGE_SEEDS=400 pytest tests/test_command_model.py
SEEDS = int(os.environ.get("RYEGAUGE_SEEDS", "40"))


def test_no_copy_starts_a_task_twice_in_random_walks(settings: Settings) -> None:
    """As above, with owners that change, sessions that end, notices and failures."""
    results = [walk(settings, seed, 400) for seed in range(SEEDS)]
    assert [violation for violation, _ in results if violation] == []
    assert sum(requests for _, requests in results) > 2 * SEEDS


def settle_when_answered(runs: DirectRuns, attempts: set[AttemptKey]) -> None:
    """An answered request counts as one that cannot come again."""
    for attempt in attempts:
        runs._tokens.pop(attempt, None)
    runs._unanswered.difference_update(attempts)


def refuse_equal_tokens(runs: DirectRuns, token: int) -> None:
    """A worker counts as one that refuses requests with the token that it has shown."""
    settle_when_answered(runs, {a for a, sent in runs._tokens.items() if sent <= token})


FAULTS: dict[str, tuple[type, str, Callable[..., Any]]] = {
    "an answered request is settled": (DirectRuns, "on_answered", settle_when_answered),
    "an equal token refuses": (DirectRuns, "on_token_shown", refuse_equal_tokens),
    "an unanswered request is settled": (DirectRuns, "is_unanswered", lambda runs, attempt: False),
    "forget under the same token": (
        CommandTokens,
        "refuses_from_now_on",
        lambda tokens, machine, attempt: True,
    ),
    "the answer has the old token": (
        ShardOwner,
        "command_token",
        lambda owner, machine: owner.token,
    ),
}


@pytest.mark.parametrize("fault", FAULTS)
def test_seeded_faults_of_commands_are_found(
    settings: Settings, monkeypatch: pytest.MonkeyPatch, fault: str
) -> None:
    owner_class, name, replacement = FAULTS[fault]
    monkeypatch.setattr(owner_class, name, replacement)
    assert explore(settings, SENT, 6)[0] != ""
    assert any(walk(settings, seed, 400)[0] for seed in range(40))
