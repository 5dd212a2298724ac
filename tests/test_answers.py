"""No controller gives a user an older answer than one given before: each path from a request to
its answer by itself, and simulated days on which many users ask at the same moments."""

import random
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
import trio
import trio.testing
from conftest import job_body
from days import Day, play
from test_late_writes import KINDS, with_small_replica
from test_world import MIXED_JOBS, PIPELINE_JOBS, controller_settings

from ryegauge.bookkeeping.outcome_archive import ArchivedOutcomes
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
    """A user API whose reads and lookups of outcomes are answered by the test."""

    def __init__(self, settings: Settings) -> None:
        rng = random.Random(1)
        node = Node(settings, SimulatedNetwork(None, rng).at("x"), lambda: 0.0, rng)
        self.job_api, self.replica = node._job_api, node._context.replica
        self.on_read: Callable[[], None] = lambda: None
        self.outcomes: dict[str, Any] = {}
        node._context.syncer.wait_for_read = self._on_wait_for_read  # type: ignore[method-assign]
        node._job_api._archived_outcomes.find_all = self._find_all  # type: ignore[method-assign]

    async def _on_wait_for_read(self) -> None:
        self.on_read()

    async def _find_all(self, uids: Any) -> dict[str, Any]:
        return {uid: self.outcomes[uid] for uid in uids if uid in self.outcomes}

    async def answer(self, uid: str, n: int) -> Any:
        """The answer to a poll (n = 0) or to a repeated submission that is well-formed (1), never
        placeable (2) or malformed (3): the job's status, or the HTTP status if it is not 200."""
        bodies = [job_body(uid), job_body(uid, cpus=1e6), {"uid": uid}]
        try:
            reply: Reply = await (
                self.job_api._submit(encode(bodies[n - 1])) if n else self.job_api._poll(uid)
            )
        except Unavailable:
            return 503
        return reply.body["status"] if reply.status == 200 else reply.status

    async def all_answers(self, uid: str) -> list[Any]:
        """The answers to a poll and to each kind of repeated submission."""
        return [await self.answer(uid, n) for n in range(4)]


def job_event(n: int, *awaits: str, version: int, over: bool = False) -> Event:
    """The record of a job."""
    spec = parse_job(job_body(f"wk-{n}", awaits=list(awaits) or None))
    return Event(job_key(f"wk-{n}"), job_record(spec, 0.0, over), version)


def done_event(n: int, version: int) -> Event:
    """The record of an assignment all of whose tasks are done."""
    return Event(assignment_key(f"wk-{n}", 0), {"t": {}, "d": Ranges.up_to(4).flat()}, version)


def raise_unavailable() -> None:
    """A read during an outage."""
    raise Unavailable("an outage")


def test_job_with_an_unresolved_need_is_not_answered(settings: Settings) -> None:
    """While the outcome of a needed job is unknown, polls and repeated submissions are refused
    alike. A repeated submission was answered "queued" where a poll was refused."""

    async def scenario() -> None:
        harness = JobApiHarness(settings)
        harness.replica.replace(
            [job_event(2, "wk-1", version=3), job_event(3, "wk-2", version=4)], 4
        )
        for uid in ("wk-2", "wk-3"):
            assert await harness.all_answers(uid) == [503] * 4
        harness.replica.apply([Event("r/o/wk-1", {"st": "cancelled"}, 5)], 5)
        harness.on_read = raise_unavailable
        for uid in ("wk-2", "wk-3"):
            assert await harness.all_answers(uid) == ["cancelled"] * 4

    trio.run(scenario)


def test_job_archived_during_a_request_is_answered_done(settings: Settings) -> None:
    """A job that is archived or ends while a request waits for its read is answered "done", not
    by the Job object found before the read. Both by changes and by a full read, which replaces
    all Job objects."""

    async def scenario(changes: bool) -> None:
        harness = JobApiHarness(settings)
        harness.outcomes["wk-1"] = {"st": "done", "d": 4}

        def archive() -> None:
            if changes:
                harness.replica.apply([Event(job_key("wk-1"), None, 7)], 7)
            else:
                harness.replica.replace([], 7)

        def end() -> None:
            harness.replica.replace([job_event(1, version=3), done_event(1, 5)], 5)

        for read in (archive, end):
            for n in range(4):
                harness.replica.replace([job_event(1, version=3)], 3)
                harness.on_read = read
                assert await harness.answer("wk-1", n) == "done"

    for changes in (True, False):
        trio.run(scenario, changes)


def test_final_state_is_answered_in_an_outage(settings: Settings) -> None:
    """A final state that is in the replica, restored, cached, or confirmed but not read yet is
    answered without a read, to repeated submissions as to polls."""

    async def scenario() -> None:
        harness = JobApiHarness(settings)
        harness.on_read = raise_unavailable
        harness.replica.replace(
            [
                job_event(1, version=3),
                done_event(1, 5),
                job_event(2, version=4),
                job_event(3, version=4),
                Event("r/k/x", {"cancelled": {"wk-4": 1}}, 6),
            ],
            6,
        )
        harness.replica.unsynced_cancellations.add("wk-2")
        harness.job_api._archived_outcomes._cached["wk-5"] = {"st": "done", "d": 4}
        for uid, expected in {
            "wk-1": "done",
            "wk-2": "cancelled",
            "wk-3": 503,
            "wk-4": "cancelled",
            "wk-5": "done",
        }.items():
            assert await harness.all_answers(uid) == [expected] * 4

    trio.run(scenario)


def test_submission_committed_late_is_answered_cancelled(settings: Settings) -> None:
    """A submission whose commit is answered late, after the job was cancelled elsewhere and the
    replica shows that, is answered "cancelled", not "queued"."""

    async def scenario() -> None:
        harness = JobApiHarness(settings)
        harness.job_api._types = lambda: {"small": None}  # type: ignore[dict-item, return-value]

        async def commit(*_: Any, **__: Any) -> int:
            harness.replica.apply([job_event(1, version=3), job_event(1, version=4, over=True)], 4)
            return 3

        harness.job_api._state.commit = commit  # type: ignore[method-assign]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(harness.job_api.write_submissions)
            reply = await harness.job_api.submit(
                parse_job(job_body("wk-1", cpus=0.0, memoryGb=0.0))
            )
            nursery.cancel_scope.cancel()
        assert (reply.status, reply.body["status"]) == (201, "cancelled")

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr("ryegauge.coordination.job_api.unrunnable_reason", lambda *_: None)
        trio.run(scenario)


def test_possibly_lost_need_is_not_rejected_as_unknown(settings: Settings) -> None:
    """A submission that needs a job whose record may have been lost is refused with 503, as a
    poll for that job is. It was refused with 422, which clients do not retry."""

    async def scenario() -> None:
        harness = JobApiHarness(settings)
        missing_keys: list[str] = []
        harness.job_api.on_record_missing = missing_keys.append
        harness.job_api.not_found_after = trio.current_time() + 9.0
        with pytest.raises(Unavailable):
            await harness.job_api._first_unknown_need(("wk-7",), {})
        harness.job_api.not_found_after = 0.0
        assert await harness.job_api._first_unknown_need(("wk-7",), {}) == "wk-7"
        harness.replica.final_outcomes["wk-7"] = ("done", 4)
        with pytest.raises(Unavailable):
            await harness.job_api._first_unknown_need(("wk-7",), {})
        assert missing_keys == [archive_key("wk-7")]

    trio.run(scenario)


def test_overlapping_outcome_lookups_find_all() -> None:
    """With more outcomes than the cache holds, one that was requested again while a batch found
    it counted as never accepted. An outcome that disappears between the transaction and the read
    is an error, not an absence."""

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
        archived_outcomes = ArchivedOutcomes(service, 48, 1)  # type: ignore[arg-type]
        found: list[set[str]] = []

        async def ask(*uids: str) -> None:
            found.append(set(await archived_outcomes.find_all(uids)))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask, *(f"wk-{n}" for n in range(9)))
            await trio.sleep(0.5)
            # Meanwhile the first of them again, by two callers in one batch.
            for uid in ("wk-50", "wk-0", "wk-0"):
                nursery.start_soon(ask, uid)
        assert sorted(map(len, found)) == [1, 1, 1, 9]
        service.gone = "wk-77"
        with pytest.raises(Unavailable):
            await archived_outcomes.find_all(["wk-77", "wk-78"])

    trio.run(scenario, clock=trio.testing.MockClock(autojump_threshold=0))


def test_full_read_is_applied_as_a_whole() -> None:
    """The pages of a full read are of different revisions. A job cancelled between two of them,
    whose last tasks ended after that, must not appear as done until the changes are applied."""

    class Service:
        requests = type("Budget", (), {"rate": 100.0})

        async def page(self, prefix: str, after: str | None, **_: Any) -> Any:
            if after is None:
                return [job_event(1, version=3)], True, 3
            return [done_event(1, 5)], False, 5

        async def changes(self, prefix: str, since: int, **_: Any) -> Any:
            seen.extend(job.status for job in replica.jobs.values())
            return [job_event(1, version=4, over=True), done_event(1, 5)], 5

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


def test_queue_reply_uses_a_restored_outcome(settings: Settings) -> None:
    """A queue's reply uses restored outcomes too. They were looked up only under `f/`, where they
    are missing after a loss, so that the reply was never sent."""
    from ryegauge.queues.answers import Answers

    async def scenario() -> None:
        rng = random.Random(1)
        node_context = Node(
            settings, SimulatedNetwork(None, rng).at("x"), lambda: 0.0, rng
        )._context
        node_context.replica.replace([Event("r/k/x", {"cancelled": {"wk-4": 1}}, 6)], 6)
        assert await Answers(node_context, {}, {}, 9.0)._final_status("wk-4") == ("cancelled", 1)

    trio.run(scenario)


# -- days -----------------------------------------------------------------------------------


def one_task_jobs(count: int, **changes: Any) -> list[dict[str, Any]]:
    """Jobs with one short task each, started one after the other, for many ends of jobs."""
    return [
        {"pieces": 1, "delay": 20.0 + 1.5 * n, "cpus": 1.0, "really": 4.0 + n % 5, **changes}
        for n in range(count)
    ]


async def crash_leader_then_all(world: Day) -> None:
    """Crashes the leader and, 20 s later, all controllers."""
    for numbers in ([world.leader_number or 0], range(3)):
        await trio.sleep(20.0)
        world.crash(*numbers)


def small_replicas(tmp_path: Path) -> list[Settings]:
    """Settings of three controllers whose replicas hold two jobs: others are archived before a
    second request."""
    return [with_small_replica(each) for each in controller_settings(tmp_path, 3)]


def test_simultaneous_requests_at_all_controllers(tmp_path: Path) -> None:
    """Users poll all controllers within milliseconds and repeat the submission, right after a job
    was accepted, ended or was confirmed as cancelled; some cancel at once."""

    async def script(world: Day) -> None:
        with world.close_looks(), world.odd_requests():
            await crash_leader_then_all(world)
            await trio.sleep(25.0)

    world = play(small_replicas(tmp_path), 21, [*PIPELINE_JOBS, *one_task_jobs(15)], script, 130.0)
    assert world.checker.broken == []
    assert world.unfinished == set()


def test_commits_executed_without_an_answer(tmp_path: Path) -> None:
    """Transactions of each kind that users are told of are executed at once but get no answer,
    while other controllers read their changes. Users ask and repeat at the writer and elsewhere,
    and the writer crashes."""
    counts_by_kind: dict[str, int] = {}

    async def script(world: Day) -> None:
        handle = world.state._multi

        def count_and_handle(raw: Any) -> Reply:
            for kind in ("submission", "cancellation", "outcome", "archive", "allotment"):
                counts_by_kind[kind] = counts_by_kind.get(kind, 0) + bool(
                    raw["apply"] and KINDS[kind](raw)
                )
            return handle(raw)

        world.state._multi = count_and_handle  # type: ignore[method-assign]
        with world.close_looks(), world.odd_requests(), world.late_writes(0.5, at_once=True):
            await crash_leader_then_all(world)
            await trio.sleep(10.0)

    jobs = [*PIPELINE_JOBS[:5], *MIXED_JOBS[:4], *one_task_jobs(12, cancel_after=2.0)]
    world = play(small_replicas(tmp_path), 31, jobs, script, 150.0)
    assert world.checker.broken == []
    assert world.unfinished == set()
    assert min(counts_by_kind.values()) > 3


def test_cancellation_at_the_end_of_the_last_task(tmp_path: Path) -> None:
    """A cancellation, a poll or a repeated submission coincides with the end of a job's last task,
    with no other failure: the job ends done or cancelled, never both, and each happens."""

    async def script(world: Day) -> None:
        with world.cancel_at_end(0.7), world.close_looks(), world.odd_requests():
            await trio.sleep(70.0)

    jobs = [*PIPELINE_JOBS[:5], *one_task_jobs(25, crew="blue")]
    world = play(controller_settings(tmp_path, 3), 41, jobs, script, 120.0)
    assert world.checker.broken == []
    assert world.unfinished == set()
    ends = [world.checker.final[f"wk-{n:06d}"] for n in range(6, len(jobs) + 1)]
    assert min(ends.count("done"), ends.count("cancelled")) >= 3
