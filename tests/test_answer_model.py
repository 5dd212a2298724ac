"""Every order of two users' questions, transactions, reads and the archive, to a stated depth,
with the real front doors: no answer is older than one heard before its question was sent.

Two front doors; a state service whose answers to transactions are lost, carried out at once or
later; one job, which ends, is cancelled and moved out; or one that hangs on another's outcome.
Each front door's own code is stepped from one request to the next."""

import contextlib
from collections.abc import Callable, Coroutine, Generator
from types import SimpleNamespace
from typing import Any

import pytest
from conftest import job_body
from test_era_model import Chain, Model, data, replica

from ryegauge.bookkeeping.ranges import Ranges
from ryegauge.bookkeeping.state import Conflict, OutcomeUnknown, Put
from ryegauge.bookkeeping.state_replica import assignment_key, job_key, job_record, outcome_key
from ryegauge.config import Settings
from ryegauge.coordination import job_api
from ryegauge.coordination.archive import archive_job, jobs_to_archive
from ryegauge.coordination.job_api import JobApi
from ryegauge.protocol.jobs import JobSpec, parse_job
from ryegauge.transport.http import Reply

# The job that is asked about, and one that it may need.
SPEC, NEED = parse_job(job_body("wk-2", pieces=1)), parse_job(job_body("wk-1", pieces=1))
HANGING = parse_job(job_body("wk-2", pieces=1, awaits=["wk-1"]))
ASKED = ("submit", "poll", "cancel")
Step = tuple[str, int, str]  # kind, which thread, door or job, and how
DONE = {"t": {}, "d": Ranges.up_to(1).flat()}


class Request:
    """What a front door waits for."""

    def __init__(self, kind: str, *about: Any) -> None:
        self.kind, self.about = kind, about

    def __await__(self) -> Generator["Request", Any, Any]:
        return (yield self)


class Event:
    def __init__(self) -> None:
        self.is_set = False

    def set(self) -> None:
        self.is_set = True

    async def wait(self) -> None:
        if not self.is_set:
            await Request("event", self)


class Outside:
    """State service, reads and outcomes, as a front door calls them."""

    writes = SimpleNamespace(rate=10.0, burst=10.0, available=lambda reserve: 10.0)

    async def commit(self, guards: Any, changes: Any, **_: Any) -> Any:
        return await Request("commit", guards, changes)

    async def wait_for_read(self) -> None:
        await Request("read")

    def known(self, uid: str) -> None:
        return None

    async def find(self, uid: str) -> Any:
        return await Request("find", uid)


class Door(JobApi):
    """Its book is exchanged with each read, so that each finds other objects."""

    def __init__(self, settings: Settings, fault: str) -> None:
        out: Any = Outside()
        super().__init__(
            settings,
            out,
            replica(()),
            out,
            lambda: {"x": True},
            lambda n: None,  # type: ignore
            lambda n: None,
            lambda: 0.0,
        )
        self._final_outcomes, self._fault, self.chain = out, fault, ()

    def take_in(self, chain: Chain) -> None:
        self._replica, self.chain = replica(chain), chain

    async def submit(self, spec: JobSpec, extra_puts: tuple[Put, ...] = ()) -> Reply:
        if self._fault == "from the book" and (job := self._replica.jobs.get(spec.uid)):
            await self._fresh()
            return Reply(200, self._replica.jobs.get(spec.uid, job).view())
        return await super().submit(spec, extra_puts)

    async def _fresh(self) -> None:
        if self._fault != "no read":
            await super()._fresh()

    async def _known(self, uid: str) -> dict[str, Any] | None:
        if self._fault != "looks up first":
            return await super()._known(uid)
        record = await self._final_outcomes.find(uid)
        await self._fresh()
        return self._by_replica(uid) or (record and {"uid": uid, "status": record["st"]})

    def _unfinished(self, job: Any) -> dict[str, int]:
        own = {job_key(job.spec.uid): job.version}
        return own if self._fault == "cancels what is done" else super()._unfinished(job)


class Thread:
    """A question at a door, or its writer."""

    def __init__(self, door: int, run: Coroutine[Any, Any, Any], name: str, heard: str) -> None:
        self.door, self.run, self.name, self.heard = door, run, name, heard
        self.seen: list[Any] = []  # what it has been given: what it does next follows from that
        self.wants: Request | None = None
        self.reply: Reply | None = None
        self.go_on(None)

    def go_on(self, value: Any) -> None:
        try:
            self.wants = (
                self.run.throw(value) if isinstance(value, Exception) else self.run.send(value)
            )
        except StopIteration as stop:
            self.wants, self.reply = None, stop.value
        except (job_api.Unavailable, OutcomeUnknown):
            self.wants, self.reply = None, Reply(503)


class Broken(Exception):
    pass


class Play:
    """One order of steps, from the beginning."""

    def __init__(self, settings: Settings, begins: str, fault: str, questions: int) -> None:
        self.model, self.fault, self.lost = Model(), fault, 1
        self.left = self.most = questions
        self.chain: Chain = ()
        self.heard = ""  # by the users: nothing, accepted, or the end
        self.hangs = begins == "hangs"
        self.spec = HANGING if self.hangs else SPEC
        if self.hangs:
            self.write({}, [Put(job_key("wk-1"), job_record(NEED, 0.0, True))])
        if begins != "new":
            self.write({}, [Put(job_key("wk-2"), job_record(self.spec, 0.0, False))])
            self.heard = "accepted"
        self.late: list[tuple[Any, Any]] = []
        self.doors = [Door(settings, fault) for _ in range(2)]
        self.threads: list[Thread] = []
        for n, door in enumerate(self.doors):
            door.take_in(self.chain)
            self.threads.append(Thread(n, door.write_submissions(), "writer", ""))

    def write(self, guards: dict[str, int], changes: list[Any]) -> list[str]:
        if self.fault == "recorded anew":
            guards = {key: v for key, v in guards.items() if not key.startswith("f/")}
        stands = data(self.chain)
        failed = [k for k, v in guards.items() if (stands[k][1] if k in stands else 0) != v]
        if not failed:
            self.chain = self.model.commit(self.chain, guards, changes) or self.chain
        return failed

    # -- steps ---------------------------------------------------------------------------

    def steps(self) -> list[Step]:
        """All that may happen next."""
        found: list[Step] = []
        for i, thread in enumerate(self.threads):
            kind = thread.wants.kind if thread.wants else ""
            if kind in ("read", "find"):
                found.append(("look", i, ""))
            elif kind == "commit":
                hows = ("answered", "lost", "late")[: 3 if self.lost else 1]
                found += [("commit", i, how) for how in hows]
        if self.late:
            found.append(("carry out", 0, ""))
        if self.left and len([t for t in self.threads if t.name != "writer"]) < 2:
            # The doors are alike until one was asked.
            doors = 1 if self.left == self.most else 2
            found += [("ask", n, what) for n in range(doors) for what in ASKED]
        for n, door in enumerate(self.doors):
            if door.chain != self.chain:
                found.append(("read", n, ""))
        stands = data(self.chain)
        if self.hangs:
            # Decided by a book that did not yet have the one that needs it.
            if job_key("wk-1") in stands:
                found.append(("move out", 1, ""))
            elif outcome_key("wk-1") not in stands:
                found.append(("look up", 1, ""))
        elif job_key("wk-2") in stands:
            if assignment_key("wk-2", 0) not in stands:
                found.append(("end", 2, ""))
            if jobs_to_archive(replica(self.chain), 0):
                found.append(("move out", 2, ""))
        return found

    def do(self, step: Step) -> None:
        kind, n, how = step
        match kind:
            case "look":
                self._look(self.threads[n])
            case "commit":
                self._commit(self.threads[n], how)
            case "carry out":
                self.write(*self.late.pop(0))
            case "ask":
                self._ask(n, how)
            case "read":
                self.doors[n].take_in(self.chain)
            case "move out":
                self.write(*archive_job(replica(self.chain).jobs[f"wk-{n}"], 3))
            case "look up":
                self.write({}, [Put(outcome_key("wk-1"), {"st": "cancelled"})])
            case "end":
                self.write({}, [Put(assignment_key("wk-2", 0), DONE)])

    def _ask(self, n: int, what: str) -> None:
        door = self.doors[n]
        run = (
            door.submit(self.spec)
            if what == "submit"
            else door._poll("wk-2")
            if what == "poll"
            else door.cancel("wk-2")
        )
        self.left -= 1
        self.threads.append(Thread(n, run, what, self.heard))
        self._settle()

    def _look(self, thread: Thread) -> None:
        assert thread.wants is not None
        value = None
        if thread.wants.kind == "read":
            self.doors[thread.door].take_in(self.chain)
        else:
            value = data(self.chain).get(f"f/{thread.wants.about[0]}", (None, 0))[0]
        self._go_on(thread, value, thread.wants.kind)

    def _commit(self, thread: Thread, how: str) -> None:
        assert thread.wants is not None
        if how == "late":
            self.late.append(thread.wants.about)  # type: ignore[arg-type]
        failed = [] if how == "late" else self.write(*thread.wants.about)
        if how != "answered":
            self.lost -= 1
            self._go_on(thread, OutcomeUnknown(how), how)
        else:
            self._go_on(thread, Conflict(failed) if failed else len(self.chain), str(failed))

    def _go_on(self, thread: Thread, value: Any, how: str) -> None:
        thread.seen.append((how, len(self.doors[thread.door].chain)))
        thread.go_on(value)
        self._settle()

    def _settle(self) -> None:
        """All go on that wait for an event; who has an answer hears it."""
        again = True
        while again:
            again = False
            for thread in self.threads:
                wants = thread.wants
                if wants is not None and wants.kind == "event" and wants.about[0].is_set:
                    thread.go_on(None)
                    again = True
        for thread in list(self.threads):
            if thread.reply is not None:
                self.threads.remove(thread)
                self._hear(thread, thread.reply)

    def _hear(self, thread: Thread, reply: Reply) -> None:
        over = ("done", "cancelled")
        if reply.status not in (200, 201):
            if reply.status != 503 and thread.heard:
                raise Broken(f"{thread.name} is answered {reply.status} after {thread.heard}")
            return
        status = reply.body["status"]
        known = self.heard if status in over else thread.heard
        if known in over and status != known:
            raise Broken(f"{thread.name} is answered {status} after {known}")
        if self.heard not in over:
            self.heard = status if status in over else "accepted"

    def mark(self) -> object:
        """All that follows depends on."""
        return (
            self.chain,
            tuple(len(door.chain) for door in self.doors),
            self.heard,
            self.left,
            self.lost,
            tuple(repr(late) for late in self.late),
            tuple(
                (
                    t.door,
                    t.name,
                    t.heard,
                    tuple(t.seen)
                    if t.name != "writer"
                    else repr(t.wants.about)
                    if t.wants and t.wants.kind == "commit"
                    else "",
                )
                for t in self.threads
            ),
        )


def explore(begin: Callable[[], Play]) -> tuple[list[object], int]:
    """The steps to the first answer that is older, and how many situations there are. Each
    situation is reached by playing its steps again, since a door's code can't be copied."""
    seen: set[object] = set()
    todo: list[tuple[Step, ...]] = [()]

    def played(path: tuple[Step, ...]) -> Play:
        play = begin()
        for step in path:
            play.do(step)
        return play

    while todo:
        path = todo.pop()
        play = played(path)
        steps = play.steps()
        for step in steps:
            # The last of them goes on from here.
            new = play if step is steps[-1] else played(path)
            try:
                new.do(step)
            except Broken as broken:
                return [*path, step, str(broken)], len(seen)
            if (mark := new.mark()) not in seen:
                seen.add(mark)
                todo.append((*path, step))
    return [], len(seen)


@pytest.fixture
def played(settings: Settings, monkeypatch: pytest.MonkeyPatch) -> Callable[..., Any]:
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
    return lambda begins, fault, questions: explore(
        lambda: Play(settings, begins, fault, questions)
    )


@pytest.mark.parametrize("begins, least", [("new", 2000), ("accepted", 4000), ("hangs", 300)])
def test_no_answer_is_older_than_one_heard_before(
    played: Callable[..., Any], begins: str, least: int
) -> None:
    steps, situations = played(begins, "", 2)
    assert steps == []
    assert situations > least


@pytest.mark.parametrize(
    "fault, begins",
    [
        ("from the book", "hangs"),
        ("from the book", "accepted"),
        ("no read", "accepted"),
        ("looks up first", "accepted"),
        ("cancels what is done", "accepted"),
        ("recorded anew", "accepted"),
    ],
)
def test_seeded_faults_are_found(played: Callable[..., Any], fault: str, begins: str) -> None:
    """from the book: a repeated submission is answered from the book, by the object found before
    the read. no read: polls too, without a read. looks up first: outcomes before the read.
    cancels what is done, recorded anew: written without the shares' or the outcome's guard."""
    assert played(begins, fault, 2)[0] != []
