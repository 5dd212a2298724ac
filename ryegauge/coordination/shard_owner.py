"""The owner of one shard: processes its machines' reports, tracks its tasks, issues commands.

No I/O and no clock: `now` is passed in. One object serves one token. A controller that takes
the shard over under a higher token creates a new one, which knows nothing about the machines
until they report.
"""

import logging
import math
from collections.abc import Callable, Iterable
from typing import NamedTuple

import msgspec

from ryegauge.bookkeeping.epochs import RECOVERED
from ryegauge.bookkeeping.ranges import Ranges
from ryegauge.bookkeeping.state_replica import StateReplica
from ryegauge.config import Settings
from ryegauge.coordination import assignment_updates
from ryegauge.coordination.command_tokens import CommandTokens
from ryegauge.coordination.demands import make_demand, task_sizes
from ryegauge.coordination.direct_runs import AttemptKey, DirectRequest
from ryegauge.coordination.owner_records import Machine, Phase, Task
from ryegauge.coordination.shard_faults import ShardFaults
from ryegauge.coordination.shard_silence import ShardSilence
from ryegauge.coordination.unrecorded_attempts import ATTEMPT_COUNTER_BITS, UnrecordedAttempts
from ryegauge.coordination.view_publisher import MachineSignature, ViewPublisher
from ryegauge.protocol.cloud import MachineType
from ryegauge.protocol.peers import MachineView, RunSample, ShardView
from ryegauge.protocol.workers import (
    Command,
    Forget,
    Kill,
    Report,
    Run,
    TaskKey,
    TaskReport,
    task_key,
)
from ryegauge.scheduling.estimates import Estimates
from ryegauge.scheduling.planner import MachineCapacity, empty_machine_capacity, place

log = logging.getLogger(__name__)

# Removed machines whose late reports are still recognised; bounds the memory they take.
MAX_REMEMBERED_MACHINES = 10_000
# Ended attempts on a machine that copies of their direct `run` might start again, beyond which
# its next tasks are started in answers alone: such attempts stay in its reports, whose size is
# limited.
MAX_RETAINED_ATTEMPTS = 64


def _group_of(key: TaskKey) -> tuple[str, list[TaskKey]]:
    """The task's job and, as a list, the task alone: arguments of `_remaining_s`."""
    return key[0], [key]


class _ReportProcessing(NamedTuple):
    """A report while it is processed, and the commands for its answer so far. Those for a
    report that is no check-in are dropped."""

    machine: Machine
    now: float
    checkin: bool
    commands: list[Command]


class ShardOwner:
    """Places a shard's tasks on its machines and follows them until their outcome is recorded.

    A task is started again only once its previous attempt has certainly ended: a report shows
    it, the machine was released, or the machine's lease has expired."""

    def __init__(
        self,
        shard: int,
        token: int,
        replica: StateReplica,
        settings: Settings,
        types: Callable[[], dict[str, MachineType]],
        now: float,
        authority_ended_at: float = -math.inf,
        detects_unrecorded: bool = False,
    ) -> None:
        """`types` returns the machine types known so far. Times are in seconds of the
        controller's clock. `authority_ended_at`: when the authority of every owner from before
        this epoch has ended. `detects_unrecorded`: whether to collect attempts that workers
        report and no assignment holds, since the state service may have lost its record."""
        self.shard = shard
        self.token = token
        self.tokens = CommandTokens(shard, token, replica)
        self._replica = replica
        self._settings = settings
        self._types = types
        self.lease_s = settings.max_lease_s
        # After the barrier, whatever an earlier owner started has either been reported here or
        # lost its lease: an earlier owner's last answer was sent before this token existed.
        self._authority_ended_at = authority_ended_at
        self._barrier_at = max(now, authority_ended_at) + self.lease_s
        # While data that the state service lost is being restored, nothing is placed, and
        # attempts that no assignment holds may be adopted.
        self._rebuilding = self._stage != RECOVERED
        self.unrecorded = UnrecordedAttempts(token, replica, detects_unrecorded)
        self.machines: dict[str, Machine] = {}
        self.silence = ShardSilence(self.machines, settings, now)
        # Removed machines: reports up to this (session, sequence number) are late.
        self._ignored_up_to: dict[str, tuple[float, float]] = {}
        self.tasks: dict[TaskKey, Task] = {}
        self._tasks_by_job: dict[str, set[TaskKey]] = {}
        self._last_attempt = token << ATTEMPT_COUNTER_BITS
        self._unplaced: set[TaskKey] = set()
        self._unseen: set[TaskKey] = set()
        self.pending_removal: set[TaskKey] = set()
        self._oversized: set[str] = set()  # jobs whose assignment record has grown too large
        self.estimates = Estimates()
        self._run_samples: dict[str, tuple[int, float, float]] = {}
        # Counts reports that brought something new. Most only renew a lease; a full pass for
        # each of those would take most of the controller's time.
        self.revision = 0
        self._view_publisher = ViewPublisher()
        self.faults = ShardFaults(replica, settings, self.machines, now, self._on_change)
        for uid in list(replica.live):
            self._reconcile(uid, "unseen")

    # -- changes of the replica ------------------------------------------------------

    @property
    def _stage(self) -> int:
        """The stage of recovery after a loss of data."""
        return self._replica.recovery_stage

    def on_job_changed(self, uid: str) -> None:
        """A job's records changed: takes its assignment to this shard over from the replica."""
        self._reconcile(uid, "unseen" if self._rebuilding else "unplaced")

    def _reconcile(self, uid: str, phase: Phase) -> None:
        """Adds tasks that the job's assignment newly holds, in `phase`, and drops those that it
        no longer holds."""
        job = self._replica.jobs.get(uid)
        assignment = job.assignments.get(self.shard) if job is not None else None
        known = self._tasks_by_job.get(uid)
        if assignment is None and not known:
            self._oversized.discard(uid)
            return
        wanted: set[TaskKey] = set()
        if assignment is not None:
            for zone, ranges in assignment.assigned.items():
                for index in ranges:
                    key = (uid, index)
                    wanted.add(key)
                    if key not in self.tasks:
                        self.tasks[key] = Task(key, zone, phase)
                        (self._unplaced if phase == "unplaced" else self._unseen).add(key)
        for key in (known or set()) - wanted:
            self._drop(key)
        if (
            job is not None
            and assignment is not None
            and assignment_updates.is_oversized(job, assignment, self._settings)
        ):
            self._oversized.add(uid)
        else:
            self._oversized.discard(uid)
        if wanted:
            self._tasks_by_job[uid] = wanted
        else:
            self._tasks_by_job.pop(uid, None)
        if self._replica.is_cancelled(uid):
            for key in wanted:
                self._withdraw(self.tasks[key])

    def _drop(self, key: TaskKey) -> None:
        """Forgets a task that the assignment no longer holds; that is written only once the
        task's attempt has ended."""
        task = self.tasks.pop(key)
        for keys in (self._unplaced, self._unseen, self.pending_removal):
            keys.discard(key)
        if task.machine is not None and (m := self.machines.get(task.machine)) is not None:
            m.tasks.discard(key)

    # -- tasks -----------------------------------------------------------------------

    def _withdraw(self, task: Task) -> None:
        """The task must not run any more."""
        task.withdrawn = True
        if task.phase == "unplaced":
            self._mark_for_removal(task, done=False)
        elif task.phase == "placed" and not task.run_sent:
            self._end_attempt(task)

    def _mark_for_removal(self, task: Task, *, done: bool) -> None:
        """This owner never places the task again: the write that removes it from the assignment
        may already be in flight with an unknown result, and the leader may then assign the task
        to another shard."""
        self._unplaced.discard(task.key)
        self._unseen.discard(task.key)
        task.phase = "pending_removal"
        task.done = task.done or done
        self.pending_removal.add(task.key)

    def _end_attempt(self, task: Task) -> None:
        """The task's attempt has certainly ended, without success."""
        if task.machine is not None and (m := self.machines.get(task.machine)) is not None:
            m.tasks.discard(task.key)
        task.machine, task.run_sent, task.relocating, task.running_since = None, False, False, None
        if task.phase == "pending_removal":
            return
        if task.withdrawn:
            self._mark_for_removal(task, done=False)
        else:
            task.phase = "unplaced"
            self._unplaced.add(task.key)

    def _record_success(self, task: Task, machine: Machine, now: float) -> None:
        """The task succeeded; its run time becomes a sample for the estimates."""
        machine.tasks.discard(task.key)
        self.faults.on_success(task.key[0], machine.name)
        job = self._replica.jobs.get(task.key[0])
        if job is not None and task.running_since is not None and job.spec.estimate_s > 0:
            run_s = max(0.1, now - task.running_since)
            ratio = math.log(run_s / job.spec.estimate_s)
            count, total, squares = self._run_samples.get(job.spec.job_class, (0, 0.0, 0.0))
            self._run_samples[job.spec.job_class] = (count + 1, total + ratio, squares + ratio**2)
        task.machine = None
        self._mark_for_removal(task, done=True)

    def _on_change(self) -> None:
        """Something has changed that a full pass has to take up."""
        self.revision += 1

    def _return_unstarted(self, uid: str) -> None:
        """Returns the unstarted tasks of a job that fails on every machine to the leader, which
        then has a single task retried with growing pauses. Otherwise each of its tasks
        was retried on each machine: 2,300 times in a simulated day with 15 such jobs."""
        for key in list(self._tasks_by_job.get(uid, ())):
            task = self.tasks[key]
            if task.phase == "placed" and not task.run_sent:
                self._end_attempt(task)
            if task.phase == "unplaced":
                self._mark_for_removal(task, done=False)

    def command_token(self, machine: str) -> int:
        """The token that the next message to the machine's worker has to carry."""
        known = self.machines.get(machine)
        return self.token if known is None else known.token

    # -- reports --------------------------------------------------------------------

    def on_report(self, report: Report, now: float, checkin: bool = True) -> list[Command]:
        """Processes a report and returns the commands for its answer.

        The answer has to carry the token `command_token`. `checkin` is false for a report that
        was the answer to direct commands: it renews no lease, the answer to an earlier check-in
        may still be in flight, and there is no answer to carry commands."""
        report_id = (report.session, report.seq)
        machine = self.machines.get(report.machine)
        if report_id <= self._ignored_up_to.get(report.machine, (0, 0)):
            # A late delivery, from a session that has certainly ended.
            return []
        if not checkin and (machine is None or not machine.token_confirmed):
            return []
        if machine is None:
            machine = self.machines[report.machine] = Machine(report, now)
        self.tokens.on_report(machine, report.token)
        if checkin:
            if report_id <= machine.last_checkin_id:
                # A late duplicate: the worker has sent a newer report since and waits for no
                # answer to this one, so no lease is renewed. It must not update `heard_at`:
                # duplicates from dead machines would keep their tasks from starting elsewhere.
                return []
            self._record_heard(machine, report_id, now)
        if report.token < self.token:
            # Sent before the worker saw this token: an earlier owner may still have given it
            # commands. The answer shows it the token.
            return self._kill_cancelled(report)
        if machine.token_confirmed and report_id <= machine.last_report_id:
            return self._kill_cancelled(report)
        processing = _ReportProcessing(machine, now, checkin, [])
        self._process_report(processing, report)
        self._add_starts(processing)
        if machine.tasks or machine.alive_attempts:
            machine.idle_since = now
        if processing.commands:
            self.revision += 1
        for command in processing.commands:
            log.debug("%s: answer under token %d: %s", machine.name, machine.token, command)
        return processing.commands

    def _record_heard(self, machine: Machine, report_id: tuple[int, int], now: float) -> None:
        """A check-in that is newer than the ones before has arrived. Its answer may renew the
        worker's lease."""
        machine.last_checkin_id = report_id
        if now - machine.heard_at > 2 * self._settings.report_gap_s:
            machine.heard_steadily_since = now
        machine.heard_at = now
        self.silence.on_report(machine, now)

    def _process_report(self, processing: _ReportProcessing, report: Report) -> None:
        """Takes in a report that is newer than the ones before and carries this owner's token."""
        machine, now = processing.machine, processing.now
        first_report = not machine.token_confirmed
        new_session = machine.token_confirmed and report.session != machine.last_report_id[0]
        if new_session:
            machine.direct_runs.on_session_ended()
            if now - machine.heard_steadily_since > self.lease_s / 2:
                # Its lease expired although its reports were answered: the answers do not reach
                # it. Once a session lasts longer than a lease, they do again.
                machine.unreachable_until = now + self.lease_s + self._settings.report_gap_s
        machine.direct_runs.on_token_shown(report.token)
        if processing.checkin:
            machine.retained_attempts = 0
        machine.last_report_id = (report.session, report.seq)
        machine.token_confirmed = True
        machine.address = report.addr or machine.address
        noticed = machine.notice_at is None and report.notice_s is not None
        machine.notice_at = None if report.notice_s is None else now + report.notice_s
        reported = {(task_key(t.task), t.attempt): t for t in report.tasks}
        self._process_unlisted(processing, reported, new_session)
        alive_attempts = {k: t for k, t in reported.items() if t.state != "ended"}
        if first_report or noticed or new_session or alive_attempts != machine.alive_attempts:
            self.revision += 1
        machine.alive_attempts = alive_attempts
        try:
            for (key, _), entry in reported.items():
                self._process_entry(processing, key, entry)
        except Exception:
            # An internal error: the report was processed only partially, so the machine must not
            # count as having reported. Otherwise unseen tasks that the report lists would be
            # started elsewhere.
            machine.token_confirmed = False
            raise

    def _add_starts(self, processing: _ReportProcessing) -> None:
        """Adds `run` for the machine's tasks that it has not reported yet."""
        machine = processing.machine
        for key in sorted(machine.tasks):
            task = self.tasks[key]
            if task.phase != "placed":
                continue
            attempt = (key, task.attempt)
            if not task.withdrawn and not machine.retiring:
                task.run_sent = True
                processing.commands.append(Run(key, task.attempt))
            elif (
                processing.checkin
                and machine.direct_runs.is_unanswered(attempt)
                and not self.tokens.refuses_from_now_on(machine, attempt)
                and not self._replica.is_cancelled(key[0])
            ):
                # No longer wanted, but its direct `run` got no answer and may still arrive, and
                # there is no higher token by which the worker would refuse it. `run` and `kill`
                # in order make the worker record the attempt as ended, and it keeps that record
                # until there is a higher token, so the late `run` has no effect. Otherwise only
                # the end of the session or the machine's return would prove that it does not
                # run; next to a service neither comes, and the task would count against its team
                # for good. Never for a cancelled job: nothing of it may be started, not even to
                # be killed.
                processing.commands.append(Run(key, task.attempt))
                processing.commands.append(Kill(key, task.attempt, 0.0))

    def _kill_cancelled(self, report: Report) -> list[Command]:
        """The commands for a report that is not processed otherwise. Its answer renews the
        lease, so it has to kill cancelled tasks. Otherwise a machine that hung after each such
        answer, one from each new owner, would keep a cancelled task for one more lease each
        time, beyond `cancel_s`."""
        return [
            Kill(key, entry.attempt, 0.0)
            for entry in report.tasks
            if entry.state != "ended"
            and self._replica.is_cancelled((key := task_key(entry.task))[0])
        ]

    def _process_unlisted(
        self,
        processing: _ReportProcessing,
        reported: dict[AttemptKey, TaskReport],
        new_session: bool,
    ) -> None:
        """Handles the machine's tasks that the report does not list.

        One that was listed before, or belonged to an earlier session, has ended. One that was
        never listed was not started: a worker has one report in flight, so this report is newer
        than the answer that carried the `run`. This does not hold for a direct command that was
        neither answered nor refused; nor does the answer to a direct command prove it for
        check-ins."""
        machine, checkin = processing.machine, processing.checkin
        stuck = False
        for key in list(machine.tasks):
            task = self.tasks[key]
            attempt = (key, task.attempt)
            if attempt in reported:
                continue
            unsure = not checkin or machine.direct_runs.is_unanswered(attempt)
            not_wanted = task.withdrawn or machine.retiring
            if task.phase == "seen" or new_session or (not_wanted and not unsure):
                self._end_attempt(task)
            elif (
                task.withdrawn and checkin and not self.tokens.refuses_from_now_on(machine, attempt)
            ):
                # Only the machine's return ensures that the task does not start.
                machine.retiring = True
                stuck = stuck or self._replica.is_cancelled(key[0])
        if checkin:
            machine.pending_run_since = (
                min(machine.pending_run_since, machine.heard_at) if stuck else math.inf
            )

    def _process_entry(
        self, processing: _ReportProcessing, key: TaskKey, entry: TaskReport
    ) -> None:
        """Processes one task entry of a report; adds the commands that follow from it."""
        machine, attempt = processing.machine, entry.attempt
        task = self.tasks.get(key)
        if (
            task is not None
            and task.phase == "unseen"
            and (entry.state != "ended" or entry.why == "done")
        ):
            # An earlier owner started it here. An attempt that ended without success proves
            # nothing: a later attempt may run elsewhere.
            self._unseen.discard(key)
            task.phase, task.machine, task.attempt, task.run_sent = (
                "seen",
                machine.name,
                attempt,
                True,
            )
            machine.tasks.add(key)
        is_current = task is not None and task.machine == machine.name and task.attempt == attempt
        if entry.state == "ended":
            if entry.why != "done":
                log.info("%s: %s/%d attempt %d ended: %s", machine.name, *key, attempt, entry.why)
            self._process_ended(processing, key, entry, task, is_current)
        elif task is not None and is_current:
            self._process_alive(processing, entry, task)
        elif task is not None or not self._check_unrecorded(processing, key, entry):
            log.info(
                "%s: %s/%d attempt %d is %s, but the task's attempt is %s: killed",
                machine.name,
                *key,
                attempt,
                entry.state,
                "not held here" if task is None else f"{task.attempt} on {task.machine}",
            )
            processing.commands.append(Kill(key, attempt, 0.0))

    def _process_ended(
        self,
        processing: _ReportProcessing,
        key: TaskKey,
        entry: TaskReport,
        task: Task | None,
        is_current: bool,
    ) -> None:
        """Processes an attempt that has ended. `is_current`: it is the task's present one."""
        if task is None:
            # The assignment no longer holds it: its outcome is recorded, unless the state
            # service lost the record.
            if not self._check_unrecorded(processing, key, entry):
                self._forget(processing, key, entry.attempt)
        elif entry.why == "done":
            # The worker keeps the attempt until the outcome is recorded and the assignment no
            # longer holds the task.
            if is_current:
                self._record_success(task, processing.machine, processing.now)
            elif task.phase == "unplaced":
                self._mark_for_removal(task, done=True)
        else:
            if is_current:
                self._record_end_without_success(processing, entry, task)
            self._forget(processing, key, entry.attempt)

    def _record_end_without_success(
        self, processing: _ReportProcessing, entry: TaskReport, task: Task
    ) -> None:
        """The task's present attempt failed, was stopped or was refused."""
        task_failed = entry.why == "error" and not task.withdrawn
        if task_failed:
            self.faults.on_failure(task, processing.machine.name, processing.now)
        if entry.why == "unknown":
            task.not_before = processing.now + self._settings.settings.workers.report_s
        self._end_attempt(task)
        if task_failed and self.faults.is_failing(task.key[0]):
            self._return_unstarted(task.key[0])

    def _process_alive(self, processing: _ReportProcessing, entry: TaskReport, task: Task) -> None:
        """Processes the task's present attempt, which lives."""
        machine, now, key = processing.machine, processing.now, task.key
        task.phase = "seen"
        job = self._replica.jobs.get(key[0])
        if job is not None:
            self._cache_image(machine, job.spec.image, job.spec.image_gb)
        if entry.state == "running" and task.running_since is None:
            task.running_since = now
        if (
            machine.notice_at is not None
            and self._remaining_s(*_group_of(key), now) > machine.notice_at - now
        ):
            # The cloud reclaims the machine before the task would end: restart it elsewhere now
            # instead of after the loss.
            task.relocating = True
        serves = job is not None and job.spec.kind == "standing"
        if (machine.retiring and serves) or now - machine.pending_run_since > self.lease_s / 2:
            # The machine is to be released, and a service never ends by itself. Nor may any other
            # task delay the release while a `run` of a cancelled job may still arrive: a start
            # after `cancel_s` would break the guarantee, and what it holds counts against its
            # team.
            task.relocating = True
        if task.relocating or task.withdrawn:
            processing.commands.append(Kill(key, entry.attempt, 0.0))

    def _forget(self, processing: _ReportProcessing, key: TaskKey, attempt: int) -> None:
        """Has the worker forget an ended attempt, in the answer to a check-in, unless a late copy
        of the attempt's direct `run` would start it again: the worker then keeps the attempt,
        and such a copy has no effect, until there is a higher token."""
        if not processing.checkin:
            return
        if self.tokens.refuses_from_now_on(processing.machine, (key, attempt)):
            processing.commands.append(Forget(key, attempt))
        else:
            processing.machine.retained_attempts += 1

    def _check_unrecorded(
        self, processing: _ReportProcessing, key: TaskKey, entry: TaskReport
    ) -> bool:
        """See `UnrecordedAttempts.check`."""
        zone = processing.machine.zone
        return self.unrecorded.check(key, entry, zone, processing.now, self._rebuilding)

    def is_unrecorded(self, key: TaskKey) -> bool:
        """Whether, according to the current replica, the task is still unfinished and held by no
        assignment."""
        job = self._replica.jobs.get(key[0])
        return key not in self.tasks and (job is None or job.is_open(key[1]))

    def _cache_image(self, machine: Machine, image: str, gb: float) -> None:
        """Records an image as used last; drops the least recently used beyond the cache size."""
        machine.images.pop(image, None)
        machine.images[image] = gb
        type_ = self._types().get(machine.type)
        cache_gb = math.inf if type_ is None else type_.cache_gb
        while sum(machine.images.values()) > cache_gb and len(machine.images) > 1:
            del machine.images[next(iter(machine.images))]

    # -- direct commands ------------------------------------------------------------------

    def take_direct_runs(self, now: float, max_machines: int) -> list[DirectRequest]:
        """`run` commands that need not wait for the next check-in, for at most `max_machines`
        workers. Only for workers that reported lately. From here on each attempt counts as
        possibly started, whatever becomes of the request."""
        result: list[DirectRequest] = []
        for m in self.machines.values():
            if len(result) >= max_machines:
                break
            if not m.tasks or not m.address or not self._takes_tasks(m, now):
                continue
            if m.retained_attempts >= MAX_RETAINED_ATTEMPTS:
                continue
            commands: list[Run] = []
            for key in sorted(m.tasks):
                task = self.tasks[key]
                if task.phase == "placed" and not task.run_sent and not task.withdrawn:
                    task.run_sent = True
                    commands.append(Run(key, task.attempt))
            if commands:
                request = DirectRequest(m.name, m.address, m.last_report_id[0], m.token, commands)
                m.direct_runs.on_sent(request.attempts, request.token)
                result.append(request)
        return result

    def on_direct_answer(self, request: DirectRequest) -> None:
        """The worker answered direct commands: they were carried out or refused. Copies of the
        request may follow."""
        machine = self.machines.get(request.machine)
        if machine is not None and machine.last_report_id[0] == request.session:
            machine.direct_runs.on_answered(request.attempts)

    def on_direct_timeout(self, name: str, now: float) -> None:
        """A worker that reported lately did not answer direct commands: messages may not reach
        it. Tasks placed there wait for its session to end; no more are placed for now."""
        if (machine := self.machines.get(name)) is not None:
            machine.unreachable_until = max(
                machine.unreachable_until, now + 2 * self._settings.report_gap_s
            )

    # -- time ---------------------------------------------------------------------------

    def on_released(self, names: Iterable[str]) -> None:
        """These machines were certainly released: nothing runs on them any more."""
        for name in names:
            machine = self.machines.pop(name, None)
            if machine is not None:
                self.silence.on_removed(name)
                self._ignore_reports(name, (math.inf, math.inf))
                for key in list(machine.tasks):
                    self._end_attempt(self.tasks[key])

    def _ignore_reports(self, name: str, report_id: tuple[float, float]) -> None:
        """A removed machine's reports up to `report_id` (session, sequence number) are ignored."""
        self._ignored_up_to[name] = report_id
        if len(self._ignored_up_to) > MAX_REMEMBERED_MACHINES:
            del self._ignored_up_to[next(iter(self._ignored_up_to))]

    def retire(self, names: Iterable[str]) -> None:
        """These machines are to be released once empty: they get no new tasks."""
        for name in names:
            if (machine := self.machines.get(name)) is not None:
                machine.retiring = True
                for key in list(machine.tasks):
                    task = self.tasks[key]
                    if task.phase == "placed" and not task.run_sent:
                        self._end_attempt(task)

    def evict(self, machine: str, uid: str, count: int) -> None:
        """Stops `count` of a job's tasks on a machine, those started last, in favour of work
        that takes precedence. They are returned to the leader once they have certainly ended."""
        if (m := self.machines.get(machine)) is None:
            return
        running = [self.tasks[key] for key in m.tasks if key[0] == uid]
        running = [t for t in running if t.phase == "seen" and not t.withdrawn]
        running.sort(key=lambda t: (-(t.running_since or math.inf), t.key))
        for task in running[:count]:
            task.withdrawn = True

    def tick(self, now: float, wall: float) -> None:
        """Handles expired leases and the barrier, then places unplaced tasks. `wall` is the
        wall-clock time."""
        self.silence.advance(now)
        self.faults.prune(now)
        for machine in list(self.machines.values()):
            if now > machine.heard_at + self.lease_s:
                # Its lease has expired: the worker has killed everything and begins a new session.
                for key in list(machine.tasks):
                    self._end_attempt(self.tasks[key])
                self.silence.on_removed(machine.name)
                self._ignore_reports(machine.name, (self._last_ended_session(machine), math.inf))
                del self.machines[machine.name]
        if self._rebuilding:
            if self._stage != RECOVERED:
                return
            # From now on attempts that no assignment holds are killed, so the barrier starts here.
            self._rebuilding = False
            self._barrier_at = max(now, self._authority_ended_at) + self.lease_s
            self.unrecorded.on_recovered()
        # A machine that was answered and has not reported under this token yet had its lease
        # renewed, and with it whatever runs there.
        if self._unseen and now > self._barrier_at + self.lease_s:
            self._retire_unconfirmed(now)
        if (
            self._unseen
            and now > self._barrier_at
            # On a machine first heard of after the barrier, earlier attempts had ended by then,
            # since nobody had answered it. Otherwise each new machine would extend the barrier
            # in turn.
            and all(
                m.token_confirmed or m.first_heard_at > self._barrier_at
                for m in self.machines.values()
            )
        ):
            for key in list(self._unseen):
                self._unseen.discard(key)
                self._end_attempt(self.tasks[key])
        self._place(now, wall)

    def _last_ended_session(self, machine: Machine) -> int:
        """The latest session that has certainly ended, of a machine whose lease has expired here.

        A machine that has not shown this owner's token may have been answered by an earlier
        owner, but only until that owner's authority ended. If a report that was delayed beyond
        that made the machine count as present, its tasks, returned since, would look like
        data lost by the state service."""
        if machine.heard_at < self._authority_ended_at:
            return machine.last_report_id[0]
        return max(machine.last_report_id[0], machine.last_checkin_id[0])

    def _retire_unconfirmed(self, now: float) -> None:
        """Retires machines that report without ever showing this owner's token, although they
        have been answered for more than a lease. Their earlier tasks ended with the lease, but
        their reports cannot prove it, and they hold up the barrier for all unseen tasks; their
        release proves it. If most machines are like this, the cause is more likely that this
        owner's answers arrive too late, and none is retired."""
        unconfirmed = [
            m
            for m in self.machines.values()
            if not m.token_confirmed and now > m.first_heard_at + self.lease_s
        ]
        if 2 * len(unconfirmed) <= len(self.machines):
            for machine in unconfirmed:
                machine.retiring = machine.retired_unconfirmed = True

    def _is_empty(self, m: Machine) -> bool:
        """Whether releasing the machine loses nothing: the tasks still recorded on it only wait
        for the result of a command that must no longer take effect, which the release ensures."""
        return (
            not m.alive_attempts
            and (m.token_confirmed or m.retired_unconfirmed)
            and all(
                (task := self.tasks[key]).phase == "placed"
                and m.retiring
                and (task.withdrawn or m.direct_runs.is_unanswered((key, task.attempt)))
                for key in m.tasks
            )
        )

    def _free_capacities(self, now: float) -> list[MachineCapacity]:
        """The free capacity of each machine that takes tasks."""
        capacities: list[MachineCapacity] = []
        types = self._types()
        for machine in self.machines.values():
            type_ = types.get(machine.type)
            if type_ is None or not self._takes_tasks(machine, now):
                continue
            capacity = empty_machine_capacity(
                type_, machine.name, machine.zone, machine.spot, self.shard
            )
            capacity.images = set(machine.images)
            for key in self._occupants(machine):
                job = self._replica.jobs.get(key[0])
                if job is None:
                    capacity.cpus = -1.0  # an unknown job runs here: place nothing
                    break
                capacity.cpus -= job.spec.cpus
                capacity.memory_gb -= job.spec.memory_gb
                capacity.gpus -= job.spec.gpus
            if capacity.cpus > 0:
                capacities.append(capacity)
        return capacities

    def _occupants(self, machine: Machine) -> set[TaskKey]:
        """The tasks placed on the machine or reported by it."""
        return machine.tasks | {key for key, _ in machine.alive_attempts}

    def _takes_tasks(self, machine: Machine, now: float) -> bool:
        """Whether the machine may be given new tasks."""
        silent = now - machine.heard_at
        return (
            machine.token_confirmed
            and not machine.retiring
            and machine.notice_at is None
            and machine.name not in self.faults.faulty
            and machine.name not in self.faults.suspected
            and now >= machine.unreachable_until
            and silent < 2 * self._settings.report_gap_s
        )

    def _place(self, now: float, wall: float) -> None:
        """Places the unplaced tasks whose retry pause is over; returns those that do not fit."""
        if not self._unplaced:
            return
        capacities = self._free_capacities(now)
        groups: dict[tuple[str, str], list[TaskKey]] = {}
        for key in sorted(self._unplaced):
            task = self.tasks[key]
            if task.not_before <= now:
                groups.setdefault((key[0], task.zone), []).append(key)
        sizes = task_sizes(self._replica)
        for (uid, zone), keys in groups.items():
            job = self._replica.jobs[uid]
            zones = {zone: len(keys)} if zone else None
            # The leader weighed the urgency when it assigned the tasks to this shard.
            demand = make_demand(job, len(keys), zones, self.estimates, math.inf, sizes)
            avoid = set().union(*(self.tasks[key].failed_on for key in keys))
            usable = (
                [capacity for capacity in capacities if capacity.name not in avoid]
                if avoid
                else capacities
            )
            queue = iter(keys)
            # The leader chose between spot and on-demand machines by assigning the task here.
            placements = place(demand, usable, on_demand_only=False)
            if avoid and demand.count:
                # Rather on a machine where it failed before than nowhere.
                placements += place(demand, capacities, on_demand_only=False)
            for capacity, count in placements:
                for _ in range(count):
                    self._start(self.tasks[next(queue)], capacity.name)
            for key in queue:
                # No capacity here after all; another shard may have some.
                self._mark_for_removal(self.tasks[key], done=False)

    def _start(self, task: Task, machine: str) -> None:
        """Places a task on a machine under a new attempt number; `run` is sent later."""
        self._last_attempt += 1
        self._unplaced.discard(task.key)
        task.phase, task.machine, task.attempt = "placed", machine, self._last_attempt
        task.run_sent = False
        self.machines[machine].tasks.add(task.key)

    # -- records to write and views for the leader ------------------------------------

    def pending(self, wall: float | None = None) -> list[assignment_updates.AssignmentUpdate]:
        """The assignment updates that are to be written. With `wall`, the wall-clock time,
        assignments that are finished get their end time."""
        removed = [self.tasks[key] for key in self.pending_removal]
        return assignment_updates.pending_updates(
            self._replica, self._settings, self.shard, removed, self._oversized, wall
        )

    def next_view(
        self, node: str, leader: int, now: float, foreign_reports: Iterable[tuple[str, float]] = ()
    ) -> ShardView:
        """The next view for the leader with this token: what it has not acknowledged yet.
        `foreign_reports`: machines of other shards that reported here, as (name, seconds ago)."""
        machines, gone = self._view_publisher.next_delta(
            leader,
            self.machines,
            lambda m: self._signature(m, now),
            lambda m: self._machine_view(m, now),
        )
        pending_removal: dict[str, int] = {}
        for key in self.pending_removal:
            pending_removal[key[0]] = pending_removal.get(key[0], 0) + 1
        samples = [RunSample(name, *sums) for name, sums in self._run_samples.items()]
        self._run_samples.clear()
        for sample in samples:
            self.estimates.add(*msgspec.structs.astuple(sample))
        return ShardView(
            node,
            self.shard,
            self.token,
            self._replica.state_revision,
            machines,
            samples,
            self._view_publisher.seq,
            self._view_publisher.acknowledged,
            gone,
            list(pending_removal.items()),
            list(foreign_reports),
            self.silence.evidence(machines, now),
            list(self.faults.failing_jobs()),
        )

    def on_view_answer(self, seq: int, resync: bool) -> None:
        """The leader answered view number `seq`; with `resync` it needs all machines again."""
        self._view_publisher.on_answer(seq, resync)

    def _machine_view(self, m: Machine, now: float) -> MachineView:
        """The machine as the leader sees it."""
        by_job: dict[str, list[TaskKey]] = {}
        for key in self._occupants(m):
            by_job.setdefault(key[0], []).append(key)
        tasks = [
            (uid, Ranges.of(k[1] for k in keys).flat(), self._remaining_s(uid, keys, now))
            for uid, keys in by_job.items()
        ]
        return MachineView(
            name=m.name,
            type=m.type,
            zone=m.zone,
            spot=m.spot,
            accepts_tasks=self._takes_tasks(m, now),
            empty=self._is_empty(m),
            silent_s=now - m.heard_at,
            notice=m.notice_at is not None,
            retiring=m.retiring or m.name in self.faults.faulty,
            images=list(m.images),
            tasks=tasks,
        )

    def _signature(self, m: Machine, now: float) -> MachineSignature:
        """The values of a machine whose change the leader is to be told. The silence counts
        only once it is longer than a late report."""
        silent = now - m.heard_at
        running = sum(self.tasks[key].running_since is not None for key in m.tasks)
        return (
            m.token_confirmed,
            self._takes_tasks(m, now),
            m.notice_at is not None,
            m.retiring or m.name in self.faults.faulty,
            silent if silent > 2 * self._settings.report_gap_s else 0.0,
            running,
            frozenset(self._occupants(m)),
            tuple(m.images),
        )

    def _remaining_s(self, uid: str, keys: list[TaskKey], now: float) -> float:
        """Estimated seconds until the last started of a job's tasks ends."""
        job = self._replica.jobs.get(uid)
        if job is None:
            return 0.0
        run_s = self.estimates.run_s(job.spec.job_class, job.spec.estimate_s)
        started = [
            now if (t := self.tasks.get(k)) is None or t.running_since is None else t.running_since
            for k in keys
        ]
        return max(0.0, run_s - (now - max(started)))
