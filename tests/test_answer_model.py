"""Model check of the user API: every order of two users' requests, transactions, reads and
archiving. No answer is older than one received before its request was sent.

The model has two instances of the real user API; a state service that may execute a transaction
at once without answering, or later; and one job that ends, is cancelled and archived, or one that
depends on the unknown outcome of another. The code of each API runs from one await of the state
service to the next."""

import contextlib
from collections.abc import Callable, Coroutine, Generator
from types import SimpleNamespace
from typing import Any

import pytest
from conftest import job_body
from test_epoch_model import Chain, Model, data, replica

from ryegauge.bookkeeping.ranges import Ranges
from ryegauge.bookkeeping.state import Conflict, OutcomeUnknown, Put
from ryegauge.bookkeeping.state_replica import assignment_key, job_key, job_record, outcome_key
from ryegauge.config import Settings
from ryegauge.coordination import job_api
from ryegauge.coordination.archive import archive_job, jobs_to_archive
from ryegauge.coordination.job_api import JobApi
from ryegauge.protocol.jobs import JobSpec, parse_job
from ryegauge.transport.http import Reply

# The job of the requests, and one that it may need.
JOB_SPEC, NEEDED_SPEC = parse_job(job_body("wk-2", pieces=1)), parse_job(job_body("wk-1", pieces=1))
DEPENDENT_SPEC = parse_job(job_body("wk-2", pieces=1, awaits=["wk-1"]))
REQUESTS = ("submit", "poll", "cancel")
Step = tuple[str, int, str]  # kind; number of the thread, API or job; how
DONE_RECORD = {"t": {}, "d": Ranges.up_to(1).flat()}


class AwaitedCall:
    """What an API waits for: a commit, a read, a lookup or an event."""

    def __init__(self, kind: str, *args: Any) -> None:
        self.kind, self.args = kind, args

    def __await__(self) -> Generator["AwaitedCall", Any, Any]:
        return (yield self)


class Event:
    """Replaces trio.Event, whose wait the model steps."""

    def __init__(self) -> None:
        self.is_set = False

    def set(self) -> None:
        self.is_set = True

    async def wait(self) -> None:
        if not self.is_set:
            await AwaitedCall("event", self)


class FakeBackend:
    """The state client, syncer and outcome lookup, as the user API calls them."""

    writes = SimpleNamespace(rate=10.0, burst=10.0, available=lambda reserve: 10.0)

    async def commit(self, guards: Any, changes: Any, **_: Any) -> Any:
        return await AwaitedCall("commit", guards, changes)

    async def wait_for_read(self) -> None:
        await AwaitedCall("read")

    def cached(self, uid: str) -> None:
        return None

    async def find(self, uid: str) -> Any:
        return await AwaitedCall("find", uid)


class FaultyJobApi(JobApi):
    """A user API with an optional seeded fault. Each read replaces its replica, and with it all
    Job objects."""

    def __init__(self, settings: Settings, fault: str) -> None:
        backend: Any = FakeBackend()
        super().__init__(
            settings,
            backend,
            replica(()),
            backend,
            lambda: {"x": True},
            lambda n: None,  # type: ignore
            lambda n: None,
            lambda: 0.0,
        )
        self._archived_outcomes, self._fault, self.chain = backend, fault, ()

    def replace_replica(self, chain: Chain) -> None:
        """A read that shows these commits."""
        self._replica, self.chain = replica(chain), chain

    async def submit(self, spec: JobSpec, extra_puts: tuple[Put, ...] = ()) -> Reply:
        if self._fault == "from the replica" and (job := self._replica.jobs.get(spec.uid)):
            await self._wait_for_read()
            return Reply(200, self._replica.jobs.get(spec.uid, job).view())
        return await super().submit(spec, extra_puts)

    async def _wait_for_read(self) -> None:
        if self._fault != "no read":
            await super()._wait_for_read()

    async def _current_view(self, uid: str) -> dict[str, Any] | None:
        if self._fault != "looks up first":
            return await super()._current_view(uid)
        record = await self._archived_outcomes.find(uid)
        await self._wait_for_read()
        return self._by_replica(uid) or (record and {"uid": uid, "status": record["st"]})

    def _unfinished_guards(self, job: Any) -> dict[str, int]:
        own = {job_key(job.spec.uid): job.version}
        return own if self._fault == "cancels what is done" else super()._unfinished_guards(job)


class Thread:
    """A user's request at an API, or the API's loop that records submissions."""

    def __init__(
        self, api: int, run: Coroutine[Any, Any, Any], name: str, last_answer: str
    ) -> None:
        self.api, self.run, self.name, self.last_answer = api, run, name, last_answer
        # All results that it was given; its next steps depend only on these.
        self.seen: list[Any] = []
        self.awaited: AwaitedCall | None = None
        self.reply: Reply | None = None
        self.resume(None)

    def resume(self, value: Any) -> None:
        """Runs to the next awaited call or to the end."""
        try:
            self.awaited = (
                self.run.throw(value) if isinstance(value, Exception) else self.run.send(value)
            )
        except StopIteration as stop:
            self.awaited, self.reply = None, stop.value
        except (job_api.Unavailable, OutcomeUnknown):
            self.awaited, self.reply = None, Reply(503)


class OutdatedAnswer(Exception):
    """An answer contradicts an earlier one."""


class ModelRun:
    """The state after one order of steps."""

    def __init__(
        self, settings: Settings, initial_state: str, fault: str, request_count: int
    ) -> None:
        self.model, self.fault, self.unanswered_left = Model(), fault, 1
        self.requests_left = self.max_requests = request_count
        self.chain: Chain = ()
        self.last_answer = ""  # the newest answer to users: "", "accepted" or the final status
        self.needs_unresolved = initial_state == "unresolved need"
        self.spec = DEPENDENT_SPEC if self.needs_unresolved else JOB_SPEC
        if self.needs_unresolved:
            self.write({}, [Put(job_key("wk-1"), job_record(NEEDED_SPEC, 0.0, True))])
        if initial_state != "new":
            self.write({}, [Put(job_key("wk-2"), job_record(self.spec, 0.0, False))])
            self.last_answer = "accepted"
        self.late_commits: list[tuple[Any, Any]] = []
        self.apis = [FaultyJobApi(settings, fault) for _ in range(2)]
        self.threads: list[Thread] = []
        for n, api in enumerate(self.apis):
            api.replace_replica(self.chain)
            self.threads.append(Thread(n, api.write_submissions(), "writer", ""))

    def write(self, guards: dict[str, int], changes: list[Any]) -> list[str]:
        """Executes a transaction; returns the keys whose guards fail."""
        if self.fault == "recorded again":
            guards = {key: v for key, v in guards.items() if not key.startswith("f/")}
        records = data(self.chain)
        failed = [k for k, v in guards.items() if (records[k][1] if k in records else 0) != v]
        if not failed:
            self.chain = self.model.commit(self.chain, guards, changes) or self.chain
        return failed

    # -- steps ---------------------------------------------------------------------------

    def steps(self) -> list[Step]:
        """All steps that may come next."""
        found: list[Step] = []
        for i, thread in enumerate(self.threads):
            kind = thread.awaited.kind if thread.awaited else ""
            if kind in ("read", "find"):
                found.append(("look", i, ""))
            elif kind == "commit":
                outcomes = ("answered", "lost", "late")[: 3 if self.unanswered_left else 1]
                found += [("commit", i, how) for how in outcomes]
        if self.late_commits:
            found.append(("execute late", 0, ""))
        if self.requests_left and len([t for t in self.threads if t.name != "writer"]) < 2:
            # The APIs are equal until one of them gets a request.
            apis = 1 if self.requests_left == self.max_requests else 2
            found += [("ask", n, what) for n in range(apis) for what in REQUESTS]
        for n, api in enumerate(self.apis):
            if api.chain != self.chain:
                found.append(("read", n, ""))
        records = data(self.chain)
        if self.needs_unresolved:
            # Archived by a leader whose replica lacks the job that needs it.
            if job_key("wk-1") in records:
                found.append(("archive", 1, ""))
            elif outcome_key("wk-1") not in records:
                found.append(("look up", 1, ""))
        elif job_key("wk-2") in records:
            if assignment_key("wk-2", 0) not in records:
                found.append(("end", 2, ""))
            if jobs_to_archive(replica(self.chain), 0):
                found.append(("archive", 2, ""))
        return found

    def perform(self, step: Step) -> None:
        """Performs one step."""
        kind, n, how = step
        match kind:
            case "look":
                self._answer_lookup(self.threads[n])
            case "commit":
                self._commit(self.threads[n], how)
            case "execute late":
                self.write(*self.late_commits.pop(0))
            case "ask":
                self._start_request(n, how)
            case "read":
                self.apis[n].replace_replica(self.chain)
            case "archive":
                self.write(*archive_job(replica(self.chain).jobs[f"wk-{n}"], 3))
            case "look up":
                self.write({}, [Put(outcome_key("wk-1"), {"st": "cancelled"})])
            case "end":
                self.write({}, [Put(assignment_key("wk-2", 0), DONE_RECORD)])

    def _start_request(self, n: int, what: str) -> None:
        api = self.apis[n]
        run = (
            api.submit(self.spec)
            if what == "submit"
            else api._poll("wk-2")
            if what == "poll"
            else api.cancel("wk-2")
        )
        self.requests_left -= 1
        self.threads.append(Thread(n, run, what, self.last_answer))
        self._resume_waiting()

    def _answer_lookup(self, thread: Thread) -> None:
        assert thread.awaited is not None
        value = None
        if thread.awaited.kind == "read":
            self.apis[thread.api].replace_replica(self.chain)
        else:
            value = data(self.chain).get(f"f/{thread.awaited.args[0]}", (None, 0))[0]
        self._resume(thread, value, thread.awaited.kind)

    def _commit(self, thread: Thread, how: str) -> None:
        assert thread.awaited is not None
        if how == "late":
            self.late_commits.append(thread.awaited.args)  # type: ignore[arg-type]
        failed = [] if how == "late" else self.write(*thread.awaited.args)
        if how != "answered":
            self.unanswered_left -= 1
            self._resume(thread, OutcomeUnknown(how), how)
        else:
            self._resume(thread, Conflict(failed) if failed else len(self.chain), str(failed))

    def _resume(self, thread: Thread, value: Any, how: str) -> None:
        thread.seen.append((how, len(self.apis[thread.api].chain)))
        thread.resume(value)
        self._resume_waiting()

    def _resume_waiting(self) -> None:
        """Resumes threads whose event is set, and checks the replies of those that ended."""
        progressed = True
        while progressed:
            progressed = False
            for thread in self.threads:
                awaited = thread.awaited
                if awaited is not None and awaited.kind == "event" and awaited.args[0].is_set:
                    thread.resume(None)
                    progressed = True
        for thread in list(self.threads):
            if thread.reply is not None:
                self.threads.remove(thread)
                self._check_reply(thread, thread.reply)

    def _check_reply(self, thread: Thread, reply: Reply) -> None:
        final_statuses = ("done", "cancelled")
        if reply.status not in (200, 201):
            if reply.status != 503 and thread.last_answer:
                raise OutdatedAnswer(
                    f"{thread.name} is answered {reply.status} after {thread.last_answer}"
                )
            return
        status = reply.body["status"]
        known = self.last_answer if status in final_statuses else thread.last_answer
        if known in final_statuses and status != known:
            raise OutdatedAnswer(f"{thread.name} is answered {status} after {known}")
        if self.last_answer not in final_statuses:
            self.last_answer = status if status in final_statuses else "accepted"

    def fingerprint(self) -> object:
        """The part of the state on which all later steps depend."""
        return (
            self.chain,
            tuple(len(api.chain) for api in self.apis),
            self.last_answer,
            self.requests_left,
            self.unanswered_left,
            tuple(repr(commit) for commit in self.late_commits),
            tuple(
                (
                    t.api,
                    t.name,
                    t.last_answer,
                    tuple(t.seen)
                    if t.name != "writer"
                    else repr(t.awaited.args)
                    if t.awaited and t.awaited.kind == "commit"
                    else "",
                )
                for t in self.threads
            ),
        )


def explore(begin: Callable[[], ModelRun]) -> tuple[list[object], int]:
    """The steps to the first outdated answer (empty: there is none), and the number of states
    visited. Each state is reached by repeating its steps, since coroutines cannot be copied."""
    seen: set[object] = set()
    pending: list[tuple[Step, ...]] = [()]

    def replayed(path: tuple[Step, ...]) -> ModelRun:
        run = begin()
        for step in path:
            run.perform(step)
        return run

    while pending:
        path = pending.pop()
        run = replayed(path)
        steps = run.steps()
        for step in steps:
            # The last step continues from here, without a replay.
            next_run = run if step is steps[-1] else replayed(path)
            try:
                next_run.perform(step)
            except OutdatedAnswer as outdated:
                return [*path, step, str(outdated)], len(seen)
            if (fingerprint := next_run.fingerprint()) not in seen:
                seen.add(fingerprint)
                pending.append((*path, step))
    return [], len(seen)


@pytest.fixture
def explore_model(settings: Settings, monkeypatch: pytest.MonkeyPatch) -> Callable[..., Any]:
    """Explores the model with a fault from an initial state, with a number of requests."""
    monkeypatch.setattr(
        job_api,
        "trio",
        SimpleNamespace(
            Event=Event,
            current_time=lambda: 0.0,
            move_on_after=lambda s: contextlib.nullcontext(),
        ),
    )
    monkeypatch.setattr(job_api, "unrunnable_reason", lambda *_: None)
    return lambda initial_state, fault, request_count: explore(
        lambda: ModelRun(settings, initial_state, fault, request_count)
    )


@pytest.mark.parametrize(
    "initial_state, min_states", [("new", 2000), ("accepted", 4000), ("unresolved need", 300)]
)
def test_no_answer_is_older_than_an_earlier_one(
    explore_model: Callable[..., Any], initial_state: str, min_states: int
) -> None:
    """The unchanged API passes, and enough states are visited for that to mean something."""
    steps, state_count = explore_model(initial_state, "", 2)
    assert steps == []
    assert state_count > min_states


@pytest.mark.parametrize(
    "fault, initial_state",
    [
        ("from the replica", "unresolved need"),
        ("from the replica", "accepted"),
        ("no read", "accepted"),
        ("looks up first", "accepted"),
        ("cancels what is done", "accepted"),
        ("recorded again", "accepted"),
    ],
)
def test_seeded_faults_are_found(
    explore_model: Callable[..., Any], fault: str, initial_state: str
) -> None:
    """Faults: "from the replica" answers a repeated submission by the Job object found before the
    read; "no read" answers without a read; "looks up first" looks up outcomes before the read;
    "cancels what is done" and "recorded again" commit without the guards of the assignments or of
    the outcome."""
    assert explore_model(initial_state, fault, 2)[0] != []
