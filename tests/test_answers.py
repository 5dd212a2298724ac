"""No node answers anything older: the ways from a question to an answer one by one, and days on
which users look closely."""

import random
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
import trio
import trio.testing
from conftest import job_body
from days import Day, play
from test_late_writes import KINDS, tiny
from test_world import MIX, PIPES, some_controllers

from ryegauge.bookkeeping.outcome_archive import FinalOutcomes
from ryegauge.bookkeeping.ranges import Ranges
from ryegauge.bookkeeping.state import Conflict, Event, Unavailable
from ryegauge.bookkeeping.state_replica import (
    StateReplica,
    archive_key,
    assignment_key,
    job_key,
    job_record,
)
from ryegauge.bookkeeping.syncer import Syncer
from ryegauge.config import Settings
from ryegauge.coordination.node import Node
from ryegauge.emulator.network import SimulatedNetwork
from ryegauge.protocol.jobs import parse_job
from ryegauge.transport.http import Reply, encode


class JobApiHarness:
    """A front door whose reads and look-ups the test answers."""

    def __init__(self, settings: Settings) -> None:
        luck = random.Random(1)
        node = Node(settings, SimulatedNetwork(None, luck).at("x"), lambda: 0.0, luck)
        self.front, self.replica = node._job_api, node._context.replica
        self.on_read: Callable[[], None] = lambda: None
        self.outcomes: dict[str, Any] = {}
        node._context.syncer.wait_for_read = self._fresh  # type: ignore[method-assign]
        node._job_api._final_outcomes.find_all = self._find_all  # type: ignore[method-assign]

    async def _fresh(self) -> None:
        self.on_read()

    async def _find_all(self, uids: Any) -> dict[str, Any]:
        return {uid: self.outcomes[uid] for uid in uids if uid in self.outcomes}

    async def asked(self, uid: str, n: int) -> Any:
        """By a poll (0) or a repeated submission, well-formed, impossible or malformed; the
        job's status, or that of the answer."""
        bodies = [job_body(uid), job_body(uid, cpus=1e6), {"uid": uid}]
        try:
            reply: Reply = await (
                self.front._submit(encode(bodies[n - 1])) if n else self.front._poll(uid)
            )
        except Unavailable:
            return 503
        return reply.body["status"] if reply.status == 200 else reply.status

    async def told(self, uid: str) -> list[Any]:
        return [await self.asked(uid, n) for n in range(4)]


def record(n: int, *awaits: str, version: int, over: bool = False) -> Event:
    spec = parse_job(job_body(f"wk-{n}", awaits=list(awaits) or None))
    return Event(job_key(f"wk-{n}"), job_record(spec, 0.0, over), version)


def all_done(n: int, version: int) -> Event:
    return Event(assignment_key(f"wk-{n}", 0), {"t": {}, "d": Ranges.up_to(4).flat()}, version)


def refuse() -> None:
    raise Unavailable("an outage")


def test_what_hangs_on_a_lost_outcome_is_told_by_nobody(settings: Settings) -> None:
    """Found by reading: a repeated submission was answered queued where a poll is refused."""

    async def scenario() -> None:
        asked = JobApiHarness(settings)
        asked.replica.replace([record(2, "wk-1", version=3), record(3, "wk-2", version=4)], 4)
        for uid in ("wk-2", "wk-3"):
            assert await asked.told(uid) == [503] * 4
        asked.replica.apply([Event("r/o/wk-1", {"st": "cancelled"}, 5)], 5)
        asked.on_read = refuse
        for uid in ("wk-2", "wk-3"):
            assert await asked.told(uid) == ["cancelled"] * 4

    trio.run(scenario)


def test_a_job_that_leaves_the_book_while_the_question_waits(settings: Settings) -> None:
    """Found by reading: the answer was that of the job as it had been, queued. By changes and
    by a full read, which makes other objects of all jobs."""

    async def scenario(changes: bool) -> None:
        asked = JobApiHarness(settings)
        asked.outcomes["wk-1"] = {"st": "done", "d": 4}

        def archived() -> None:
            if changes:
                asked.replica.apply([Event(job_key("wk-1"), None, 7)], 7)
            else:
                asked.replica.replace([], 7)

        def ended() -> None:
            asked.replica.replace([record(1, version=3), all_done(1, 5)], 5)

        for read in (archived, ended):
            for n in range(4):
                asked.replica.replace([record(1, version=3)], 3)
                asked.on_read = read
                assert await asked.asked("wk-1", n) == "done"

    for changes in (True, False):
        trio.run(scenario, changes)


def test_an_end_is_told_at_once_in_an_outage(settings: Settings) -> None:
    """In the book, put back, looked up before or confirmed and not read yet; to a repeated
    submission as to a poll."""

    async def scenario() -> None:
        asked = JobApiHarness(settings)
        asked.on_read = refuse
        asked.replica.replace(
            [
                record(1, version=3),
                all_done(1, 5),
                record(2, version=4),
                record(3, version=4),
                Event("r/k/x", {"cancelled": {"wk-4": 1}}, 6),
            ],
            6,
        )
        asked.replica.unsynced_cancellations.add("wk-2")
        asked.front._final_outcomes._known["wk-5"] = {"st": "done", "d": 4}
        for uid, told in {
            "wk-1": "done",
            "wk-2": "cancelled",
            "wk-3": 503,
            "wk-4": "cancelled",
            "wk-5": "done",
        }.items():
            assert await asked.told(uid) == [told] * 4

    trio.run(scenario)


def test_a_submission_under_way_while_the_job_ends(settings: Settings) -> None:
    """Our write is carried out and its answer is late: others find the job, and tell its
    cancellation. By then the book may show it."""

    async def scenario() -> None:
        asked = JobApiHarness(settings)
        asked.front._types = lambda: {"small": None}  # type: ignore[dict-item, return-value]

        async def commit(*_: Any, **__: Any) -> int:
            asked.replica.apply([record(1, version=3), record(1, version=4, over=True)], 4)
            return 3

        asked.front._state.commit = commit  # type: ignore[method-assign]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(asked.front.write_submissions)
            reply = await asked.front.submit(parse_job(job_body("wk-1", cpus=0.0, memoryGb=0.0)))
            nursery.cancel_scope.cancel()
        assert (reply.status, reply.body["status"]) == (201, "cancelled")

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr("ryegauge.coordination.job_api.unrunnable_reason", lambda *_: None)
        trio.run(scenario)


def test_a_need_that_may_have_been_lost_is_not_said_to_be_unknown(settings: Settings) -> None:
    """Found by reading: 422, which is never repeated, where a poll for that need is refused."""

    async def scenario() -> None:
        asked = JobApiHarness(settings)
        on_record_missing: list[str] = []
        asked.front.on_record_missing = on_record_missing.append
        asked.front.not_found_after = trio.current_time() + 9.0
        with pytest.raises(Unavailable):
            await asked.front._unknown(("wk-7",), {})
        asked.front.not_found_after = 0.0
        assert await asked.front._unknown(("wk-7",), {}) == "wk-7"
        asked.replica.final_outcomes["wk-7"] = ("done", 4)
        with pytest.raises(Unavailable):
            await asked.front._unknown(("wk-7",), {})
        assert on_record_missing == [archive_key("wk-7")]

    trio.run(scenario)


def test_what_one_look_found_the_next_has_too() -> None:
    """Found by reading: of more outcomes than are remembered, one that was asked for again while
    it was being found counted as never accepted. One that is gone is no answer either."""

    class Service:
        gone = ""

        async def commit(self, guards: dict[str, int], *_: Any, **__: Any) -> int:
            await trio.sleep(1.0)
            raise Conflict(list(guards))

        async def get(self, key: str, **_: Any) -> Any:
            await trio.sleep(0.0)
            return None if key == archive_key(self.gone) else ({"st": "done", "d": 1}, 1)

    async def scenario() -> None:
        service = Service()
        final_outcomes = FinalOutcomes(service, 48, 1)  # type: ignore[arg-type]
        found: list[set[str]] = []

        async def ask(*uids: str) -> None:
            found.append(set(await final_outcomes.find_all(uids)))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask, *(f"wk-{n}" for n in range(9)))
            await trio.sleep(0.5)
            # Meanwhile: the first of them again, by two who share a look.
            for uid in ("wk-50", "wk-0", "wk-0"):
                nursery.start_soon(ask, uid)
        assert sorted(map(len, found)) == [1, 1, 1, 9]
        service.gone = "wk-77"
        with pytest.raises(Unavailable):
            await final_outcomes.find_all(["wk-77", "wk-78"])

    trio.run(scenario, clock=trio.testing.MockClock(autojump_threshold=0))


def test_a_full_read_is_taken_in_as_a_whole() -> None:
    """Found by reading: its pages are of different revisions. A job that was cancelled between
    two of them, and whose last tasks ended after that, was done for a moment, and told so."""

    class Service:
        requests = type("Budget", (), {"rate": 100.0})

        async def page(self, prefix: str, after: str | None, **_: Any) -> Any:
            if after is None:
                return [record(1, version=3)], True, 3
            return [all_done(1, 5)], False, 5

        async def changes(self, prefix: str, since: int, **_: Any) -> Any:
            seen.extend(job.status for job in replica.jobs.values())
            return [record(1, version=4, over=True), all_done(1, 5)], 5

    async def scenario() -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(syncer.run)
            await syncer.ready.wait()
            nursery.cancel_scope.cancel()

    seen: list[str] = []
    replica, service = StateReplica(), Service()
    syncer = Syncer(service, replica, lambda: 1.0, 1.0)  # type: ignore[arg-type]
    trio.run(scenario)
    assert "done" not in seen
    assert (replica.jobs["wk-1"].status, replica.state_revision) == ("cancelled", 5)


def test_a_queue_is_told_of_an_outcome_that_was_put_back(settings: Settings) -> None:
    """Found by reading: it was looked for under `f/` alone, where it is not after a loss, and the
    answer was owed for good."""
    from ryegauge.queues.answers import Answers

    async def scenario() -> None:
        luck = random.Random(1)
        node_context = Node(
            settings, SimulatedNetwork(None, luck).at("x"), lambda: 0.0, luck
        )._context
        node_context.replica.replace([Event("r/k/x", {"cancelled": {"wk-4": 1}}, 6)], 6)
        assert await Answers(node_context, {}, {}, 9.0)._final("wk-4") == ("cancelled", 1)

    trio.run(scenario)


# -- days -----------------------------------------------------------------------------------


def one_task_jobs(count: int, **changes: Any) -> list[dict[str, Any]]:
    """Many ends: jobs of one short task, one after the other."""
    return [
        {"pieces": 1, "delay": 20.0 + 1.5 * n, "cpus": 1.0, "really": 4.0 + n % 5, **changes}
        for n in range(count)
    ]


async def ended(world: Day) -> None:
    """Leaders, and then all controllers."""
    for numbers in ([world.leading or 0], range(3)):
        await trio.sleep(20.0)
        world.crash(*numbers)


def small_replicas(tmp_path: Path) -> list[Settings]:
    """With room for two jobs: others have left the book by the second look."""
    return [tiny(each) for each in some_controllers(tmp_path, 3)]


def test_users_ask_everywhere_at_once(tmp_path: Path) -> None:
    """At all nodes within milliseconds, and repeat the submission, right after a job was
    accepted, ended or confirmed cancelled; some cancel at once."""

    async def script(world: Day) -> None:
        with world.close_looks(), world.odd_requests():
            await ended(world)
            await trio.sleep(25.0)

    world = play(small_replicas(tmp_path), 21, [*PIPES, *one_task_jobs(15)], script, 130.0)
    assert world.checker.broken == []
    assert world.unfinished == set()


def test_only_the_answer_is_lost(tmp_path: Path) -> None:
    """Transactions are carried out at once and get no answer, of each kind that users are told
    of, while other nodes read what they wrote; asked at the writer and elsewhere, repeated at
    both, and the writer ends."""
    made: dict[str, int] = {}

    async def script(world: Day) -> None:
        handle = world.state._multi

        def multi(raw: Any) -> Reply:
            for kind in ("submission", "cancellation", "outcome", "archive", "allotment"):
                made[kind] = made.get(kind, 0) + bool(raw["apply"] and KINDS[kind](raw))
            return handle(raw)

        world.state._multi = multi  # type: ignore[method-assign]
        with world.close_looks(), world.odd_requests(), world.late_writes(0.5, at_once=True):
            await ended(world)
            await trio.sleep(10.0)

    jobs = [*PIPES[:5], *MIX[:4], *one_task_jobs(12, cancel_after=2.0)]
    world = play(small_replicas(tmp_path), 31, jobs, script, 150.0)
    assert world.checker.broken == []
    assert world.unfinished == set()
    assert min(made.values()) > 3


def test_at_the_end_of_the_last_task(tmp_path: Path) -> None:
    """A cancellation, a question or a repeated submission meets the end of a job's last task,
    with no other trouble: either end wins, never both, and both do at times."""

    async def script(world: Day) -> None:
        with world.cancel_at_end(0.7), world.close_looks(), world.odd_requests():
            await trio.sleep(70.0)

    jobs = [*PIPES[:5], *one_task_jobs(25, crew="blue")]
    world = play(some_controllers(tmp_path, 3), 41, jobs, script, 120.0)
    assert world.checker.broken == []
    assert world.unfinished == set()
    ends = [world.checker.final[f"wk-{n:06d}"] for n in range(6, len(jobs) + 1)]
    assert min(ends.count("done"), ends.count("cancelled")) >= 3
