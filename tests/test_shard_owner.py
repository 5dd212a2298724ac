"""The owner of a shard, driven message by message: which commands it gives, and when it may start
a task again."""

import msgspec
import pytest
from conftest import job_body

from ryegauge.bookkeeping.state import Event
from ryegauge.bookkeeping.state_replica import (
    Assignment,
    StateReplica,
    assignment_key,
    cancelled_record,
    job_key,
    job_record,
    overflow_page_key,
    value_bytes,
)
from ryegauge.config import NextState, Settings
from ryegauge.coordination import shard_owner
from ryegauge.coordination.direct_runs import DirectRequest
from ryegauge.coordination.membership import shard_key
from ryegauge.coordination.shard_owner import ShardOwner
from ryegauge.detection.failure_diagnosis import ProbeOutcome, ProbeResult
from ryegauge.protocol.cloud import MachineType
from ryegauge.protocol.jobs import parse_job
from ryegauge.protocol.workers import Command, Forget, Kill, Report, Run, TaskReport

TYPES = {"small": MachineType("small", 4.0, 16.0, 0.4, 10.0, ["a"], spot_price=0.1)}
UID = "wk-000001"
TOKEN = 50


class ShardHarness:
    """An owner with its replica, a clock and one job of four tasks of two CPUs."""

    def __init__(self, settings: Settings, before: list[int]) -> None:
        """`before`: tasks that are assigned to the shard before its owner begins."""
        self.replica = StateReplica()
        self.revision = 10
        self.now = 100.0
        self.put(job_key(UID), job_record(parse_job(job_body()), 0.0, False))
        self.assign(before)
        self.owner = ShardOwner(0, TOKEN, self.replica, settings, lambda: TYPES, self.now)
        self.replica.on_job_changed.append(self.owner.on_job_changed)
        self.seq = 0

    def put(self, key: str, value: object) -> None:
        """Writes a record into the replica; None deletes it."""
        self.revision += 1
        self.replica.apply([Event(key, value, self.revision)], self.revision)

    def assign(self, tasks: list[int], done: list[int] | None = None) -> None:
        """Writes the assignment: the tasks that it holds and those that are done."""
        flat = [bound for i in tasks for bound in (i, i + 1)]
        finished = [bound for i in done or [] for bound in (i, i + 1)]
        self.put(assignment_key(UID, 0), {"t": {"": flat}, "d": finished})

    def cancel(self) -> None:
        """Cancels the job in the replica."""
        self.put(job_key(UID), job_record(parse_job(job_body()), 0.0, True))

    def hold_role(self) -> None:
        """The replica shows the shard's role record under the owner's token, and a later
        revision."""
        self.revision = TOKEN - 1
        self.put(shard_key(0), {"o": "node-0", "i": "first"})
        self.revision += 1
        self.replica.apply([], self.revision)

    def report(
        self,
        *tasks: tuple[int, int, str],
        machine: str = "m-1",
        token: int = TOKEN,
        session: int = 1,
        seq: int | None = None,
        checkin: bool = True,
        why: str = "done",
    ) -> list[Command]:
        """A report of a machine with (index, attempt, state) of its tasks; returns the owner's
        commands. `why` is the reason of those that have ended."""
        if seq is None:
            self.seq += 1
            seq = self.seq
        entries = [
            TaskReport(f"{UID}/{i}", attempt, state, why if state == "ended" else None)  # type: ignore[arg-type]
            for i, attempt, state in tasks
        ]
        message = Report(machine, "small", "a", True, session, seq, token, "m:1", None, entries)
        return self.owner.on_report(message, self.now, checkin)

    def tick(self, seconds: float = 0.0) -> None:
        """Lets time pass, then the owner act."""
        self.now += seconds
        self.owner.tick(self.now, self.now)

    def pending(self) -> dict[str, Assignment]:
        """Job -> its assignment as the owner would write it."""
        return {entry.uid: entry.assignment for entry in self.owner.pending()}

    def phase(self, task: int) -> str:
        """The phase of one of the job's tasks."""
        return self.owner.tasks[(UID, task)].phase

    def start(self, task: int) -> int:
        """Assigns one task and has the machine commanded to run it; returns the attempt."""
        self.report()
        self.assign([task])
        self.tick()
        (command,) = self.report()
        assert isinstance(command, Run)
        return command.attempt


@pytest.fixture
def shard(settings: Settings) -> ShardHarness:
    return ShardHarness(settings, [])


def test_tasks_of_an_earlier_token_wait_for_the_barrier(settings: Settings) -> None:
    shard = ShardHarness(settings, [0, 1])
    shard.report()
    for _ in range(9):
        shard.tick(1.0)
        shard.report()
    assert [shard.phase(0), shard.phase(1)] == ["unseen", "unseen"]
    shard.report((1, 7, "running"))
    assert shard.phase(1) == "seen"
    shard.tick(1.5)
    assert shard.phase(0) == "placed"
    # A task assigned after the token cannot run anywhere yet.
    shard.assign([0, 1, 2])
    shard.tick()
    assert shard.phase(2) != "unseen"


def test_an_answered_machine_that_has_not_seen_the_token_holds_the_barrier(
    settings: Settings,
) -> None:
    """The answer renewed its lease, and with it whatever runs there."""
    shard = ShardHarness(settings, [0])
    shard.report(machine="m-2")
    shard.tick(9.0)
    assert shard.report((0, 3, "running"), token=TOKEN - 1) == []
    shard.report(machine="m-2")
    shard.tick(2.0)
    shard.report(machine="m-2")
    shard.tick()
    assert shard.phase(0) == "unseen"
    shard.tick(8.5)
    assert shard.phase(0) != "unseen"


def test_a_lost_answer_repeats_the_same_attempt(shard: ShardHarness) -> None:
    attempt = shard.start(0)
    assert shard.report() == [Run((UID, 0), attempt)]
    assert shard.report((0, attempt, "running")) == []


def test_old_reports_change_nothing(shard: ShardHarness) -> None:
    attempt = shard.start(0)
    shard.report((0, attempt, "running"))
    assert shard.report(seq=1) == []
    assert shard.phase(0) == "seen"


def test_late_duplicates_renew_no_lease(shard: ShardHarness) -> None:
    """Late duplicates of a dead machine's reports: its tasks still start elsewhere a lease after
    its last new report."""
    attempt = shard.start(0)
    shard.report((0, attempt, "running"), seq=20)
    for _ in range(4):
        shard.tick(2.6)
        assert shard.report((0, attempt, "running"), seq=12) == []
    assert shard.phase(0) != "seen"
    assert "m-1" not in shard.owner.machines
    # Duplicates change nothing, whatever they say: ended, other attempt, running.
    before = {key: task.phase for key, task in shard.owner.tasks.items()}
    for copy in ((0, attempt, "ended"), (0, attempt - 1, "ended"), (0, attempt, "running")):
        assert shard.report(copy, seq=13) == []
        assert shard.report(copy, seq=14, why="stopped") == []
    assert {key: task.phase for key, task in shard.owner.tasks.items()} == before


def test_a_checkin_overtaken_by_a_direct_answer_still_renews(shard: ShardHarness) -> None:
    """The answer to direct commands overtakes a check-in that is in flight. The check-in is still
    answered, and the worker's lease counts from when it was sent."""
    attempt = shard.start(0)
    shard.tick(8.0)
    shard.report((0, attempt, "running"), seq=31, checkin=False)
    shard.report((0, attempt, "running"), seq=30)
    shard.tick(8.0)
    assert shard.phase(0) == "seen"


def test_a_machine_that_answers_do_not_reach_gets_no_tasks(shard: ShardHarness) -> None:
    """Its reports arrive and are answered, and its lease expires all the same."""
    attempt = shard.start(0)
    for _ in range(9):
        shard.report((0, attempt, "running"))
        shard.tick(1.0)
    shard.report(session=2, seq=1)
    assert shard.phase(0) == "unplaced"
    shard.tick(1.0)
    assert shard.phase(0) == "pending_removal"  # no machine takes it: returned to the leader
    for seq in range(2, 14):
        shard.tick(1.0)
        shard.report(session=2, seq=seq)
    assert shard.owner._takes_tasks(shard.owner.machines["m-1"], shard.now)  # a whole session


def test_a_machine_that_never_shows_the_token_is_returned(settings: Settings) -> None:
    """It holds up the barrier for all unseen tasks; only its release proves that they ended. It
    is not returned while most machines of the shard are like that."""
    shard = ShardHarness(settings, before=[0])
    for seq in range(1, 25):
        shard.tick(1.0)
        shard.report(machine="m-1", token=TOKEN - 1, seq=seq)
        if seq > 22:
            shard.report(machine="m-2", seq=seq)
        shown = shard.owner._machine_view(shard.owner.machines["m-1"], shard.now)
        shard.tick()
        assert (shown.empty and shown.retiring) == (seq == 24)
    assert shard.phase(0) == "unseen"
    shard.owner.on_released(["m-1"])
    shard.tick(1.0)
    assert shard.phase(0) != "unseen"


def test_an_unseen_machine_that_is_to_be_returned_is_not_empty(settings: Settings) -> None:
    """The leader's order to retire it may rest on an earlier owner's view."""
    shard = ShardHarness(settings, before=[0])
    shard.report(token=TOKEN - 1)
    shard.owner.retire(["m-1"])
    shown = shard.owner._machine_view(shard.owner.machines["m-1"], shard.now)
    assert (shown.retiring, shown.empty) == (True, False)


def test_a_withdrawn_unanswered_run_does_not_keep_its_machine(shard: ShardHarness) -> None:
    """Guards against a machine that never counted as empty: it was to be returned because an
    unanswered `run` of a cancelled task might still arrive there."""
    shard.report()
    shard.assign([0])
    shard.tick()
    (request,) = shard.owner.take_direct_runs(shard.now, 10)
    shard.cancel()
    shard.report()
    shown = shard.owner._machine_view(shard.owner.machines[request.machine], shard.now)
    assert (shown.retiring, shown.empty) == (True, True)
    attempt = shard.owner.tasks[UID, 0].attempt
    assert shard.report((0, attempt, "running")) == [Kill((UID, 0), attempt, 0.0)]
    assert not shard.owner._machine_view(shard.owner.machines[request.machine], shard.now).empty


def test_forget_waits_until_the_outcome_is_in_the_replica(shard: ShardHarness) -> None:
    attempt = shard.start(0)
    assert shard.report((0, attempt, "ended")) == []
    assert shard.pending()[UID].done.flat() == [0, 1]
    assert shard.report((0, attempt, "ended")) == []
    shard.assign([], done=[0])
    assert shard.report((0, attempt, "ended")) == [Forget((UID, 0), attempt)]


def test_a_silent_machines_tasks_wait_for_its_lease(shard: ShardHarness) -> None:
    attempt = shard.start(0)
    shard.report((0, attempt, "running"))
    for _ in range(10):
        shard.tick(1.0)
        shard.report(machine="m-2", seq=shard.seq + 1)
        shard.seq += 1
    assert shard.owner.tasks[(UID, 0)].machine == "m-1"
    shard.tick(0.5)
    assert shard.owner.tasks[(UID, 0)].machine == "m-2"
    # Its late report, from the session that has ended, changes nothing.
    assert shard.report((0, attempt, "running"), seq=900) == []
    assert shard.owner.tasks[(UID, 0)].machine == "m-2"


def test_silent_machines_are_probed_and_the_results_are_shown(shard: ShardHarness) -> None:
    """Probes by the owner and by others; a later report supersedes their results."""
    attempt = shard.start(0)
    shard.report((0, attempt, "running"))
    for _ in range(3):
        shard.tick(1.0)
    assert shard.owner.silence.to_probe(shard.now) == [("m-1", "m:1")]
    shard.owner.silence.on_unreported([("m-7", "m:7"), ("m-1", "m:1")])
    assert shard.owner.silence.to_probe(shard.now) == [("m-1", "m:1"), ("m-7", "m:7")]
    for by in ("node-0", "node-1"):
        shard.owner.silence.on_probe_result(
            "m-1", ProbeResult(by, ProbeOutcome.NO_CONNECTION, shard.now)
        )
        shard.owner.silence.on_probe_result("m-7", ProbeResult(by, ProbeOutcome.REFUSED, shard.now))
    assert shard.owner.silence.to_probe(shard.now) == []
    view = shard.owner.next_view("node-0", 9, shard.now)
    outcomes_by_machine = {
        name: {outcome for _, outcome, _ in probes} for name, _, probes in view.silences
    }
    assert outcomes_by_machine == {"m-1": {"no_connection"}, "m-7": {"refused"}}
    shard.tick(1.0)
    shard.report((0, attempt, "running"))
    shard.owner.silence.on_probe_result(
        "m-1", ProbeResult("node-2", ProbeOutcome.NO_CONNECTION, shard.now - 0.5)
    )
    shard.report(machine="m-7", seq=1)
    shard.owner.silence.on_unreported([])
    assert shard.owner.next_view("node-0", 9, shard.now).silences == []


def test_a_release_frees_the_tasks_at_once(shard: ShardHarness) -> None:
    attempt = shard.start(0)
    shard.report((0, attempt, "running"))
    shard.report(machine="m-2")
    shard.owner.on_released(["m-1"])
    shard.tick()
    assert shard.owner.tasks[(UID, 0)].machine == "m-2"
    assert shard.owner.tasks[(UID, 0)].attempt != attempt


def test_a_later_session_frees_the_tasks(shard: ShardHarness) -> None:
    attempt = shard.start(0)
    shard.report((0, attempt, "running"))
    shard.report(session=2)
    shard.tick()
    assert shard.owner.tasks[(UID, 0)].attempt != attempt


def test_returning_a_task_is_final(shard: ShardHarness) -> None:
    """The write that removes the task from the assignment may be executed late, after which
    another shard may have it. So the task is not placed here again when capacity appears."""
    shard.report()
    shard.assign([0, 1, 2, 3])
    shard.tick()
    assert sorted(shard.phase(i) for i in range(4)) == [
        "pending_removal",
        "pending_removal",
        "placed",
        "placed",
    ]
    shard.report(machine="m-2")
    shard.tick(1.0)
    assert sorted(shard.phase(i) for i in range(4)) == [
        "pending_removal",
        "pending_removal",
        "placed",
        "placed",
    ]


def test_cancelled_tasks_are_removed_only_once_certainly_ended(shard: ShardHarness) -> None:
    attempt = shard.start(0)
    shard.cancel()
    assert shard.pending() == {}
    # The report is newer than the `run`, and lists the attempt as alive.
    assert shard.report((0, attempt, "fetching")) == [Kill((UID, 0), attempt, 0.0)]
    assert shard.pending() == {}
    shard.report((0, attempt, "ended"), why="stopped")
    assert shard.pending()[UID].tasks.flat() == []


def test_an_unanswered_direct_start_is_in_flight_for_the_session(shard: ShardHarness) -> None:
    """Packets held up by a network cut can arrive minutes later. Until the session ends, or the
    worker has seen a higher token, reports that do not list the attempt prove nothing, and a
    `forget` would let a late `run`, or a copy of one that was answered, start it again."""
    shard.report()
    shard.assign([0])
    shard.tick()
    # Without a free connection the `run` waits for the next check-in.
    assert shard.owner.take_direct_runs(shard.now, 0) == []
    (request,) = shard.owner.take_direct_runs(shard.now, 1)
    attempt = request.commands[0].attempt
    shard.cancel()
    shard.report()
    assert shard.pending() == {}
    assert shard.owner.machines["m-1"].retiring
    shard.report((0, attempt, "ended"), why="stopped")
    assert shard.pending()[UID].tasks.flat() == []
    shard.assign([])
    assert shard.report((0, attempt, "ended"), why="stopped") == []
    shard.owner.on_direct_answer(request)
    assert shard.report((0, attempt, "ended"), why="stopped") == []
    shard.hold_role()
    assert shard.report((0, attempt, "ended"), why="stopped") == [Forget((UID, 0), attempt)]
    assert shard.owner.command_token("m-1") > request.token


def start_directly(shard: ShardHarness, tasks: list[int]) -> DirectRequest:
    """Assigns tasks and has them started by a direct command that is answered."""
    shard.report()
    shard.assign(tasks)
    shard.tick()
    (request,) = shard.owner.take_direct_runs(shard.now, 10)
    shard.owner.on_direct_answer(request)
    return request


def test_a_superseded_owner_advances_no_token(shard: ShardHarness) -> None:
    """Its replica shows the next owner's claim: a revision from then on could be above the next
    owner's token, and the workers would drop that one's answers."""
    request = start_directly(shard, [0])
    ended = (0, request.commands[0].attempt, "ended")
    shard.hold_role()
    shard.put(shard_key(0), {"o": "node-1", "i": "next"})
    assert shard.report(ended, why="stopped") == []
    assert shard.owner.command_token("m-1") == TOKEN
    assert shard.owner.tokens.is_superseded_by(shard.revision)


def test_the_answer_that_forgets_has_a_higher_token_at_most_the_revision(
    shard: ShardHarness,
) -> None:
    shard.hold_role()
    request = start_directly(shard, [0])
    assert request.token == TOKEN  # no higher one without need: it would be news to the worker
    ended = (0, request.commands[0].attempt, "ended")
    # The answer to a direct command has no answer that could carry a token.
    shard.report(ended, why="stopped", checkin=False)
    assert shard.owner.command_token("m-1") == TOKEN
    (forget, *_) = shard.report(ended, why="stopped")
    assert forget == Forget((UID, 0), request.commands[0].attempt)
    assert shard.owner.command_token("m-1") == shard.revision
    assert shard.owner.command_token("m-2") == TOKEN
    assert not shard.owner.tokens.is_superseded_by(shard.revision)
    assert shard.owner.tokens.is_superseded_by(shard.revision + 1)
    # A worker that has been removed here meanwhile still has the token.
    shard.owner.on_released(["m-1"])
    assert not shard.owner.tokens.is_superseded_by(shard.revision)


def test_an_attempt_that_the_next_owner_finds_is_forgotten_under_its_token(
    settings: Settings,
) -> None:
    """It does not know how the attempt was started, and its token is above all that were used for
    that."""
    shard = ShardHarness(settings, [])
    assert shard.report((0, 7, "ended"), why="stopped") == [Forget((UID, 0), 7)]


def test_a_late_run_of_a_cancelled_job_is_refused_by_a_higher_token(shard: ShardHarness) -> None:
    """Once the worker shows the token, a report without the attempt proves that it will not
    start; the machine need not be returned for that."""
    shard.hold_role()
    shard.report()
    shard.assign([0])
    shard.tick()
    (request,) = shard.owner.take_direct_runs(shard.now, 10)
    shard.cancel()
    assert shard.report() == []
    token = shard.owner.command_token("m-1")
    assert token > request.token
    assert shard.phase(0) == "placed"
    assert shard.report() == []  # the answer was lost
    assert shard.phase(0) == "placed"
    assert shard.report(token=token) == []
    assert shard.phase(0) == "pending_removal"
    assert not shard.owner.machines["m-1"].retiring


def test_a_machine_that_keeps_many_ended_attempts_gets_runs_in_answers(
    shard: ShardHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Such attempts stay in its reports, whose size is limited."""
    monkeypatch.setattr(shard_owner, "MAX_RETAINED_ATTEMPTS", 2)
    request = start_directly(shard, [0, 1])
    ended = [(run.task[1], run.attempt, "ended") for run in request.commands]
    shard.report(*ended, why="stopped")
    shard.tick()
    assert shard.owner.take_direct_runs(shard.now, 10) == []
    runs = shard.report(*ended, why="stopped")
    assert [type(command) for command in runs] == [Run, Run]
    shard.hold_role()
    assert len(shard.report(*ended, why="stopped")) == 4  # forgotten, and started again


def test_a_direct_answer_renews_no_lease(shard: ShardHarness) -> None:
    attempt = shard.start(0)
    shard.report((0, attempt, "running"))
    shard.now += 6.0
    shard.report((0, attempt, "running"), checkin=False)
    shard.tick(4.5)
    assert shard.owner.tasks[(UID, 0)].machine is None


def test_tasks_of_a_job_that_fails_everywhere_are_returned(shard: ShardHarness) -> None:
    """The tasks of a job that fails on several machines are returned to the leader, and none of the
    machines is returned to the cloud for it. A task assigned as a retry is tried once."""
    attempt = shard.start(0)
    shard.report((0, attempt, "ended"), why="error")
    assert shard.phase(0) == "unplaced"
    shard.now += 61.0
    shard.report(machine="m-2")
    shard.tick()
    task = shard.owner.tasks[(UID, 0)]
    assert task.machine == "m-2"  # not where it failed
    shard.assign([0, 1, 2])
    shard.report((0, task.attempt, "ended"), machine="m-2", why="error")
    assert [shard.phase(i) for i in (0, 1, 2)] == ["pending_removal"] * 3
    view = shard.owner.next_view("node-0", 1, shard.now)
    assert view.failing == [(UID, 2, 2)]
    assert all(machine.accepts_tasks for machine in view.machines)
    shard.assign([])
    shard.assign([3])
    shard.tick()
    shard.report(machine="m-2")
    task = shard.owner.tasks[(UID, 3)]
    assert task.phase == "placed"
    shard.report((3, task.attempt, "ended"), machine=task.machine or "", why="error")
    assert task.phase == "pending_removal"


def test_a_machine_that_fails_what_runs_elsewhere_is_returned(shard: ShardHarness) -> None:
    attempt = shard.start(0)
    shard.report((0, attempt, "ended"), why="done")
    shard.assign([1, 2], done=[0])
    shard.tick()
    runs = [c for c in shard.report() if isinstance(c, Run)]
    assert len(runs) == 2
    shard.report(*((run.task[1], run.attempt, "ended") for run in runs), why="error")
    (machine,) = shard.owner.next_view("node-0", 1, shard.now).machines
    assert machine.retiring
    assert not machine.accepts_tasks


def test_an_oversized_assignment_moves_to_overflow_pages_first(settings: Settings) -> None:
    """An assignment written while larger values were allowed: its done tasks are first copied to
    overflow pages and only then removed from it, so that none is ever missing or counted
    twice."""
    state = msgspec.structs.replace(
        settings.settings.state, next=NextState(value_kb=2.0, txn_ops=4)
    )
    shared = msgspec.structs.replace(settings.settings, state=state)
    settings = msgspec.structs.replace(settings, settings=shared)
    limit = settings.state_limits.value_bytes
    shard = ShardHarness(settings, [])
    spec = parse_job(job_body(pieces=100_000))
    shard.put(job_key(UID), None)
    shard.put(job_key(UID), job_record(spec, 0.0, False))
    shard.assign([99_999], list(range(0, 2400, 2)))
    job = shard.replica.jobs[UID]
    assert value_bytes({"d": job.assignments[0].done.flat()}) > 4 * limit
    written = 0
    while (entry := shard.owner.pending()[0]).pages:
        assert job.done_count == 1200
        for page in entry.pages[:4]:
            assert value_bytes({"d": page.flat()}) <= limit
            shard.put(overflow_page_key(UID, 0, written), {"d": page.flat()})
            written += 1
    assert written > 4
    assert job.done_count == 1200
    assert value_bytes(entry.assignment.to_record()) <= limit
    shard.put(assignment_key(UID, 0), entry.assignment.to_record())
    assert job.done_count == 1200
    assert 99_999 not in job.open_tasks
    assert 1 in job.open_tasks
    assert 2 not in job.open_tasks
    assert shard.pending() == {}
    rebuilt = StateReplica()
    rebuilt.replace(
        [
            Event(job_key(UID), job_record(spec, 0.0, False), 1),
            *(
                Event(overflow_page_key(UID, p, n), {"d": tasks.flat()}, 1)
                for (p, n), tasks in job.overflow_pages.items()
            ),
        ],
        2,
    )
    assert rebuilt.jobs[UID].done_count == 1200


def test_a_cancellation_fits_whatever_the_job_was_recorded_with() -> None:
    spec = parse_job(
        job_body(
            builds=["small", *(f"other-{n}" for n in range(400))], kit="i" * 500, duty="d" * 500
        )
    )
    assert value_bytes(job_record(spec, 0.0, False)) > 4000
    record = cancelled_record(spec, 0.0, 1900)
    assert value_bytes(record) <= 1900
    assert parse_job(record["s"]).tasks == spec.tasks
    assert record["x"] is True


@pytest.mark.parametrize("why", ["stopped", "error"])
def test_returned_tasks_are_no_sign_of_lost_data(settings: Settings, why: str) -> None:
    """An earlier owner's task is evicted and returned to the leader. The worker reports it until
    it gets `forget`, while the task is open again in the replica."""
    shard = ShardHarness(settings, [1])
    shard.owner = ShardOwner(
        0, TOKEN, shard.replica, settings, lambda: TYPES, shard.now, detects_unrecorded=True
    )
    shard.replica.on_job_changed.append(shard.owner.on_job_changed)
    earlier_attempt = ((TOKEN - 9) << 20) + 1
    shard.report((1, earlier_attempt, "running"))
    shard.owner.evict("m-1", UID, 1)
    shard.report((1, earlier_attempt, "ended"), why=why)
    shard.assign([])
    assert shard.report((1, earlier_attempt, "ended"), why=why) == [
        Forget((UID, 1), earlier_attempt)
    ]
    assert shard.owner.unrecorded.found == {}
    # A running attempt that no assignment holds is a sign of lost data.
    shard.report((1, earlier_attempt, "running"))
    assert set(shard.owner.unrecorded.found) == {((UID, 1), earlier_attempt)}


def test_a_report_whose_processing_failed_does_not_count(
    settings: Settings, monkeypatch: pytest.MonkeyPatch
) -> None:
    """An internal error while a report is processed: tasks listed further on in it still run."""
    shard = ShardHarness(settings, [0, 1])
    earlier_attempt = ((TOKEN - 9) << 20) + 1

    def fail(*_: object) -> None:
        raise RuntimeError("injected error")

    with monkeypatch.context() as patch:
        patch.setattr(shard.owner, "_process_entry", fail)
        with pytest.raises(RuntimeError):
            shard.report((0, earlier_attempt, "running"))
    for _ in range(3):
        shard.tick(5.0)
        assert shard.phase(0) == "unseen"
        with monkeypatch.context() as patch:
            patch.setattr(shard.owner, "_process_entry", fail)
            with pytest.raises(RuntimeError):
                shard.report((0, earlier_attempt, "running"))
    shard.report((0, earlier_attempt, "running"))
    shard.tick()
    assert shard.phase(0) == "seen"
    assert shard.phase(1) == "placed"
