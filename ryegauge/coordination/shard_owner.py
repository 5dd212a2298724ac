"""The owner of one part: its machines' reports, its tasks and the commands.

No I/O and no clock: `now` is passed in. One object lives for one token; a controller
that takes the part over under a higher token begins with a new one, which knows
nothing of the machines and finds out from their reports.
"""

import logging
import math
from collections.abc import Callable, Iterable

import msgspec

from ryegauge.bookkeeping.epochs import RECOVERED, RESTORING, epoch_of_token
from ryegauge.bookkeeping.ranges import Ranges
from ryegauge.bookkeeping.state_replica import StateReplica
from ryegauge.config import Settings
from ryegauge.coordination import assignment_updates
from ryegauge.coordination.demands import make_demand, records_zones, task_sizes
from ryegauge.coordination.owner_records import Machine, Phase, Task
from ryegauge.coordination.view_publisher import Signature, ViewPublisher
from ryegauge.detection.failure_diagnosis import SUSPECT_GAPS, ProbeResult
from ryegauge.detection.fault_attribution import FaultAttribution
from ryegauge.detection.last_heard import LastHeard, StallDetector, owner_unreachable
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
from ryegauge.scheduling.planner import MachineCapacity, place, unused_capacity

log = logging.getLogger(__name__)

# Machines given up whose late reports are still recognised.
REMEMBERED = 10_000
# A task that fails again and again is tried at least so often.
MAX_RETRY_PAUSE_LEASES = 4.0


def _of(key: TaskKey) -> tuple[str, list[TaskKey]]:
    return key[0], [key]


class ShardOwner:
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
        """`authority_ended_at`: by then all authority of before this era has ended."""
        self.shard = shard
        self.token = token
        self._since = now
        self._replica = replica
        self._settings = settings
        self._types = types
        self.lease_s = settings.max_lease_s
        # By then whatever the earlier authority commanded has reported here or lost
        # its lease: it could last answer before this token existed.
        self._authority_ended_at = authority_ended_at
        self._barrier_at = max(now, authority_ended_at) + self.lease_s
        # While data that the state service lost is put back, nothing is placed, and what no
        # share holds may be adopted: (task, attempt) -> (seen at, whether it has ended as done).
        self._rebuilding = self._stage != RECOVERED
        self._detects_unrecorded = detects_unrecorded
        self.unrecorded: dict[tuple[TaskKey, int], tuple[float, str, bool]] = {}
        self._cleared: set[tuple[TaskKey, int]] = set()
        self.machines: dict[str, Machine] = {}
        # Machines of ours that have never reported here or were given up: name -> (address,
        # attempts to ask them).
        self._unheard: dict[str, tuple[str, list[ProbeResult]]] = {}
        self._elsewhere: dict[str, float] = {}  # machine of ours -> when others last heard it
        self._hearing = LastHeard(StallDetector(settings.settings.workers.report_s, now))
        self._stamps: dict[str, tuple[float, float]] = {}  # of machines given up
        self.tasks: dict[TaskKey, Task] = {}
        self._by_job: dict[str, set[TaskKey]] = {}
        self._attempts = token << 20
        self._free: set[TaskKey] = set()
        self._unseen: set[TaskKey] = set()
        self.pending_removal: set[TaskKey] = set()
        self._bulky: set[str] = set()  # jobs whose share's record has grown too large
        self.estimates = Estimates()
        self._samples: dict[str, tuple[int, float, float]] = {}
        # Counts reports that said something new. Most only renew a lease, and looking
        # at everything again for each would take most of the time.
        self.revision = 0
        self._showing = ViewPublisher()
        self._blame = FaultAttribution(self._any_done)
        self._faulty: set[str] = set()  # machines that are to be given up
        self._suspected: set[str] = set()  # machines that get no tasks for now
        self._blamed_at = now
        for uid in list(replica.live):
            self._reconcile(uid, "unseen")

    # -- what the book says -------------------------------------------------------

    @property
    def _stage(self) -> int:
        return self._replica.recovery_stage

    def on_job(self, uid: str) -> None:
        self._reconcile(uid, "unseen" if self._rebuilding else "free")

    def _reconcile(self, uid: str, phase: Phase) -> None:
        job = self._replica.jobs.get(uid)
        assignment = job.assignments.get(self.shard) if job is not None else None
        known = self._by_job.get(uid)
        if assignment is None and not known:
            self._bulky.discard(uid)
            return
        wanted: set[TaskKey] = set()
        if assignment is not None:
            for zone, ranges in assignment.assigned.items():
                for index in ranges:
                    key = (uid, index)
                    wanted.add(key)
                    if key not in self.tasks:
                        self.tasks[key] = Task(key, zone, phase)
                        (self._free if phase == "free" else self._unseen).add(key)
        for key in (known or set()) - wanted:
            self._drop(key)
        if (
            job is not None
            and assignment is not None
            and assignment_updates.is_bulky(job, assignment, self._settings)
        ):
            self._bulky.add(uid)
        else:
            self._bulky.discard(uid)
        if wanted:
            self._by_job[uid] = wanted
        else:
            self._by_job.pop(uid, None)
        if self._replica.is_cancelled(uid):
            for key in wanted:
                self._withdraw(self.tasks[key])

    def _drop(self, key: TaskKey) -> None:
        """The record no longer gives us the task: only written once it was over."""
        task = self.tasks.pop(key)
        for keys in (self._free, self._unseen, self.pending_removal):
            keys.discard(key)
        if task.machine is not None and (m := self.machines.get(task.machine)) is not None:
            m.tasks.discard(key)

    # -- tasks -----------------------------------------------------------------------

    def _withdraw(self, task: Task) -> None:
        task.withdrawn = True
        if task.phase == "free":
            self._leave(task, done=False)
        elif task.phase == "placed" and not task.sent:
            self._end(task)

    def _leave(self, task: Task, *, done: bool) -> None:
        """From here on the task is never placed by us again: writing may already be
        under way, with an unknown outcome, and the leader may give it to others."""
        self._free.discard(task.key)
        self._unseen.discard(task.key)
        task.phase = "leaving"
        task.done = task.done or done
        self.pending_removal.add(task.key)

    def _end(self, task: Task) -> None:
        """Its attempt is over for certain; the task itself is not."""
        if task.machine is not None and (m := self.machines.get(task.machine)) is not None:
            m.tasks.discard(task.key)
        task.machine, task.sent, task.moving, task.running_since = None, False, False, None
        if task.phase == "leaving":
            return
        if task.withdrawn:
            self._leave(task, done=False)
        else:
            task.phase = "free"
            self._free.add(task.key)

    def _finish(self, task: Task, machine: Machine, now: float) -> None:
        machine.tasks.discard(task.key)
        if self._blame.succeeded(task.key[0], machine.name):
            self._reassess()
        job = self._replica.jobs.get(task.key[0])
        if job is not None and task.running_since is not None and job.spec.estimate_s > 0:
            took = max(0.1, now - task.running_since)
            ratio = math.log(took / job.spec.estimate_s)
            count, total, squares = self._samples.get(job.spec.job_class, (0, 0.0, 0.0))
            self._samples[job.spec.job_class] = (count + 1, total + ratio, squares + ratio**2)
        task.machine = None
        self._leave(task, done=True)

    def _fail(self, task: Task, machine: Machine, now: float) -> None:
        """A task failed, by its own fault or its machine's. It is tried again ever later, on
        the same machine too: where a part had but one, a task that fails everywhere was tried
        there each second, and its owner never saw it fail elsewhere."""
        task.errors.add(machine.name)
        task.failed += 1
        self._blame.failed(task.key[0], machine.name, len(task.errors))
        self._reassess()
        w = self._settings.settings.workers
        longest_s = MAX_RETRY_PAUSE_LEASES * w.lease_s
        pause_s = w.report_s * 2.0 ** min(task.failed, 30) - w.report_s
        task.not_before = now + min(longest_s, pause_s)

    def _any_done(self, uid: str) -> bool:
        job = self._replica.jobs.get(uid)
        return job is not None and job.done_count > 0

    def _reassess(self) -> None:
        faulty, suspected = self._blame.accused(len(self.machines))
        if (faulty, suspected) != (self._faulty, self._suspected):
            if new := faulty - self._faulty:
                log.info("faulty, to be given up: %s", ", ".join(sorted(new)))
            if new := suspected - self._suspected:
                log.info("perhaps faulty, no tasks for now: %s", ", ".join(sorted(new)))
            self._faulty, self._suspected = faulty, suspected
            self.revision += 1

    def held_back(self, uids: Iterable[str]) -> None:
        """What the leader says of jobs that fail in other parts too."""
        if self._blame.known(frozenset(uids)):
            self._reassess()

    def _hold_back(self, uid: str) -> None:
        """A job that fails on every machine: what of it has not started is handed back, and
        the leader has one task tried now and then. (Before, each of its tasks was tried again
        and again on each machine: 2,300 times on a day with 15 such jobs.)"""
        for key in list(self._by_job.get(uid, ())):
            task = self.tasks[key]
            if task.phase == "placed" and not task.sent:
                self._end(task)
            if task.phase == "free":
                self._leave(task, done=False)

    # -- reports --------------------------------------------------------------------

    def on_report(self, report: Report, now: float, checkin: bool = True) -> list[Command]:
        """Takes a report in; the commands go into its answer.

        `checkin` is false for a report that came as the answer to direct commands: it
        renews no lease, and the answer to an earlier check-in may still be on its way."""
        stamp = (report.session, report.seq)
        machine = self.machines.get(report.machine)
        if stamp <= self._stamps.get(report.machine, (0, 0)):
            # Sent in a session that has surely ended: a late delivery.
            return []
        if not checkin and (machine is None or not machine.trusted):
            return []
        if machine is None:
            machine = self.machines[report.machine] = Machine(report, now)
        if checkin:
            if stamp <= machine.checked_in:
                # A late copy: the worker has sent a newer one since, so it waits for no answer to
                # this one, and nothing is renewed. (Counted as heard, copies of the reports of
                # machines that had died kept their tasks from starting elsewhere.)
                return []
            # Whatever else is answered may renew the lease, so it counts as heard.
            machine.checked_in = stamp
            if now - machine.heard_at > 2 * self._settings.report_gap_s:
                machine.heard_from = now
            machine.heard_at = now
            machine.probes.clear()
            self._hearing.heard(machine.name, now)
        if report.token < self.token:
            # Sent before the worker saw this token: it may still have been given
            # commands by an earlier authority. The answer shows it the token.
            return self._kill_cancelled(report)
        if machine.trusted and stamp <= machine.stamp:
            return self._kill_cancelled(report)
        first = not machine.trusted
        new_session = machine.trusted and report.session != machine.stamp[0]
        if new_session:
            machine.direct.clear()
            if now - machine.heard_from > self.lease_s / 2:
                # Its lease has run out although its reports were answered: it does not hear us.
                # In a session that lasts for longer than a lease it does again.
                machine.deaf_until = now + self.lease_s + self._settings.report_gap_s
        machine.stamp = stamp
        machine.trusted = True
        machine.address = report.addr or machine.address
        noticed = machine.notice_at is None and report.notice_s is not None
        machine.notice_at = None if report.notice_s is None else now + report.notice_s
        reported = {(task_key(t.task), t.attempt): t for t in report.tasks}
        self._missing(machine, reported, new_session, checkin)
        alive = {k: t for k, t in reported.items() if t.state != "ended"}
        if first or noticed or new_session or alive != machine.alive:
            self.revision += 1
        machine.alive = alive
        commands: list[Command] = []
        try:
            for (key, attempt), entry in reported.items():
                self._reported(machine, key, attempt, entry, now, commands)
        except Exception:
            # An error of ours: what the report shows was not all taken in, so it must not
            # count as one. (Counted, unseen tasks that it showed were started elsewhere.)
            machine.trusted = False
            raise
        for key in sorted(machine.tasks):
            task = self.tasks[key]
            if task.phase != "placed":
                continue
            if not task.withdrawn and not machine.retiring:
                task.sent = True
                commands.append(Run(key, task.attempt))
            elif (
                checkin
                and (key, task.attempt) in machine.direct
                and not self._replica.is_cancelled(key[0])
            ):
                # Not wanted any more, and sent straight without an answer: it may yet begin. In
                # order, so that it is over before it does; the worker keeps it as ended (it is
                # not forgotten in this session), and the start that is on its way has no effect.
                # (Only the session's end or the machine's return would have proved it gone, and
                # beside a service neither comes: it counted against its team for good.) Never of
                # a cancelled job: nothing of it may be started, not even to be ended.
                commands += [Run(key, task.attempt), Kill(key, task.attempt, 0.0)]
        if machine.tasks or machine.alive:
            machine.idle_since = now
        if commands:
            self.revision += 1
        return commands

    def _kill_cancelled(self, report: Report) -> list[Command]:
        """For a report of which nothing else is taken in: its answer renews the lease, so it
        ends what has been cancelled. (A machine that hung after each such answer, one from each
        new owner, kept a cancelled task for a lease more each time, beyond `cancel_s`.)"""
        return [
            Kill(key, entry.attempt, 0.0)
            for entry in report.tasks
            if entry.state != "ended"
            and self._replica.is_cancelled((key := task_key(entry.task))[0])
        ]

    def _missing(
        self,
        machine: Machine,
        reported: dict[tuple[TaskKey, int], TaskReport],
        new_session: bool,
        checkin: bool,
    ) -> None:
        """Tasks of ours that the report does not list. One that was listed before, or
        belonged to an earlier session, is gone. One never listed was not started: the
        worker has one report in flight, so this one is newer than whatever became of
        the answer with the `run`. That says nothing of a direct command without an
        answer, nor does the answer to a direct command say it of check-ins."""
        stuck = False
        for key in list(machine.tasks):
            task = self.tasks[key]
            if (key, task.attempt) in reported:
                continue
            unsure = not checkin or (key, task.attempt) in machine.direct
            not_wanted = task.withdrawn or machine.retiring
            if task.phase == "seen" or new_session or (not_wanted and not unsure):
                self._end(task)
            elif task.withdrawn and checkin:
                # Nothing else than its return makes sure that it does not start.
                machine.retiring = True
                stuck = stuck or self._replica.is_cancelled(key[0])
        if checkin:
            machine.stuck_at = min(machine.stuck_at, machine.heard_at) if stuck else math.inf

    def _reported(
        self,
        machine: Machine,
        key: TaskKey,
        attempt: int,
        entry: TaskReport,
        now: float,
        commands: list[Command],
    ) -> None:
        task = self.tasks.get(key)
        if (
            task is not None
            and task.phase == "unseen"
            and (entry.state != "ended" or entry.why == "done")
        ):
            # The earlier authority started it here. (An attempt that ended otherwise
            # proves nothing: a later one may be elsewhere.)
            self._unseen.discard(key)
            task.phase, task.machine, task.attempt, task.sent = "seen", machine.name, attempt, True
            machine.tasks.add(key)
        mine = task is not None and task.machine == machine.name and task.attempt == attempt
        if entry.state == "ended":
            if entry.why != "done":
                log.info("%s: %s/%d attempt %d ended: %s", machine.name, *key, attempt, entry.why)
            if (key, attempt) in machine.direct:
                # A late `run` of a forgotten attempt would start it again.
                forget: list[Command] = []
            else:
                forget = [Forget(key, attempt)]
            if task is None:
                # The record no longer has it with us: its outcome is durable, unless the
                # record is one that was lost.
                if not self._check_unrecorded(machine, key, entry, now):
                    commands += forget
            elif mine and entry.why == "done":
                self._finish(task, machine, now)
            elif mine:
                failed = entry.why == "error" and not task.withdrawn
                if failed:
                    self._fail(task, machine, now)
                if entry.why == "unknown":
                    task.not_before = now + self._settings.settings.workers.report_s
                self._end(task)
                if failed and self._blame.mistaken(key[0]):
                    self._hold_back(key[0])
                commands += forget
            elif entry.why == "done":
                if task.phase == "free":
                    self._leave(task, done=True)
                # Kept until the outcome is durable: then the task leaves our record.
            else:
                commands += forget
            return
        if task is None and self._check_unrecorded(machine, key, entry, now):
            return
        if task is None or not mine:
            commands.append(Kill(key, attempt, 0.0))
            return
        task.phase = "seen"
        job = self._replica.jobs.get(key[0])
        if job is not None:
            self._cache(machine, job.spec.image, job.spec.image_gb)
        if entry.state == "running" and task.running_since is None:
            task.running_since = now
        if machine.notice_at is not None and self._left_s(*_of(key), now) > machine.notice_at - now:
            # The cloud takes the machine before the task would end: it starts anew
            # elsewhere at once instead of after the loss.
            task.moving = True
        serves = job is not None and job.spec.kind == "standing"
        if (machine.retiring and serves) or now - machine.stuck_at > self.lease_s / 2:
            # The machine is to be returned, and a service never ends. Nor is anything else waited
            # for while a start of a cancelled job may still be on its way: begun after `cancel_s`
            # it would break the rule, and what it holds counts against its team.
            task.moving = True
        if task.moving and not task.withdrawn:
            commands.append(Kill(key, attempt, 0.0))
        if task.withdrawn:
            commands.append(Kill(key, attempt, 0.0))

    def _check_unrecorded(
        self, machine: Machine, key: TaskKey, entry: TaskReport, now: float
    ) -> bool:
        """Whether a task that no share gives us may yet turn out to be ours, since its record
        was lost. If nothing was lost there is none: a share holds a task until it is surely
        nowhere."""
        if not self._detects_unrecorded:
            return False
        job = self._replica.jobs.get(key[0])
        open_ = job is not None and job.is_open(key[1])
        attempt = entry.attempt
        if self._rebuilding:
            if self._stage == RESTORING:
                return True
            is_unrecorded = open_
        else:
            # Only one begun by an authority before ours, in this era: what is left of earlier
            # ones had its time to be adopted. One that has ended proves nothing: handed back,
            # its task is open by the book until the worker has heard `forget`. (Found by a
            # recorded day: a task that was stopped for others after a takeover had a healthy
            # service taken for one that had lost data.)
            token = attempt >> 20
            earlier = token != self.token and epoch_of_token(token) == epoch_of_token(self.token)
            known = (key, attempt) in self._cleared
            ended = entry.state == "ended"
            is_unrecorded = earlier and not ended and not known and (open_ or job is None)
        if is_unrecorded:
            zone = machine.zone if job is not None and records_zones(job.spec) else ""
            seen_at = self.unrecorded[key, attempt][0] if (key, attempt) in self.unrecorded else now
            self.unrecorded[key, attempt] = (seen_at, zone, entry.why == "done")
        return is_unrecorded

    def clear_unrecorded(self, key: TaskKey, attempt: int) -> None:
        """Its record is not lost: it is stopped, as is everything that is not ours."""
        self.unrecorded.pop((key, attempt), None)
        self._cleared.add((key, attempt))

    def is_unrecorded(self, key: TaskKey) -> bool:
        """Still, by the book as it is now."""
        job = self._replica.jobs.get(key[0])
        return key not in self.tasks and (job is None or job.is_open(key[1]))

    def _cache(self, machine: Machine, image: str, gb: float) -> None:
        machine.images.pop(image, None)
        machine.images[image] = gb
        type_ = self._types().get(machine.type)
        cache_gb = math.inf if type_ is None else type_.cache_gb
        while sum(machine.images.values()) > cache_gb and len(machine.images) > 1:
            del machine.images[next(iter(machine.images))]

    # -- direct commands ------------------------------------------------------------------

    def to_push(self, now: float, most: int) -> list[tuple[str, str, int, list[Command]]]:
        """Starts that need not wait for the next check-in, of `most` machines: (machine,
        address, session, commands). Only to workers heard of just now; from here on the
        attempt may be on the machine, whatever becomes of the request."""
        result: list[tuple[str, str, int, list[Command]]] = []
        for m in self.machines.values():
            if len(result) >= most:
                break
            if not m.tasks or not m.address or not self._takes_tasks(m, now):
                continue
            commands: list[Command] = []
            for key in sorted(m.tasks):
                task = self.tasks[key]
                if task.phase == "placed" and not task.sent and not task.withdrawn:
                    task.sent = True
                    m.direct.add((key, task.attempt))
                    commands.append(Run(key, task.attempt))
            if commands:
                result.append((m.name, m.address, m.stamp[0], commands))
        return result

    def pushed(self, name: str, session: int, commands: list[Command]) -> None:
        """The worker answered: the commands were executed or refused, not delayed."""
        machine = self.machines.get(name)
        if machine is not None and machine.stamp[0] == session:
            machine.direct -= {(c.task, c.attempt) for c in commands}

    def unanswered(self, name: str, now: float) -> None:
        """No answer to direct commands, from a worker that had just reported: perhaps it does
        not hear us. What is placed there waits for its session to end; no more is, for now."""
        if (machine := self.machines.get(name)) is not None:
            machine.deaf_until = max(machine.deaf_until, now + 2 * self._settings.report_gap_s)

    # -- silence ------------------------------------------------------------------------

    def on_heard_elsewhere(self, name: str, at: float) -> None:
        self._elsewhere.pop(name, None)
        self._elsewhere[name] = at
        if len(self._elsewhere) > REMEMBERED:
            del self._elsewhere[next(iter(self._elsewhere))]

    def deaf(self, now: float) -> bool:
        """Whether others hear our machines and we do not, though we listened."""
        gap_s = self._settings.report_gap_s
        if not self._elsewhere or self._hearing.attention.stalled_s(now - 3 * gap_s):
            return False
        if now < self._since + gap_s:
            # Those that others heard are just being sent on to us, or reported before we began.
            # (Half a second old, owners gave up parts that they could hear very well, and all
            # that was unseen there waited for one more barrier.)
            return False
        heard_at = {m.name: m.heard_at for m in self.machines.values()}
        return owner_unreachable(heard_at, self._elsewhere, gap_s, now)

    def unreported(self, machines: Iterable[tuple[str, str]]) -> None:
        """What the leader has listed in our part and we have not shown: (name, address)."""
        known = self._unheard
        self._unheard = {
            name: (address, known[name][1] if name in known else [])
            for name, address in machines
            if address and name not in self.machines
        }

    def to_probe(self, now: float) -> list[tuple[str, str]]:
        """(machine, address) of the silent that should be asked: those of whom nobody has
        learnt anything for a report, the longest silent first."""
        gap_s = self._settings.report_gap_s
        silent = [
            (m.heard_at, m.name, m.address, m.probes)
            for m in self.machines.values()
            if m.address and self._hearing.silent_s(m.name, now) > SUSPECT_GAPS * gap_s
        ]
        silent += [(now, name, *entry) for name, entry in self._unheard.items()]
        silent.sort(key=lambda entry: entry[:2])
        return [
            (name, address)
            for _, name, address, probes in silent
            if all(now - p.at > gap_s for p in probes)
        ]

    def probed(self, name: str, probe: ProbeResult) -> None:
        """One for each controller that asked; a report that came meanwhile says more."""
        machine = self.machines.get(name)
        if machine is None:
            if name in self._unheard:
                address, probes = self._unheard[name]
                self._unheard[name] = address, [*(p for p in probes if p.by != probe.by), probe]
        elif machine.heard_at < probe.at:
            machine.probes = [*(p for p in machine.probes if p.by != probe.by), probe]

    # -- time ---------------------------------------------------------------------------

    def gone(self, names: Iterable[str]) -> None:
        """Released with certainty: nothing is on them any more."""
        for name in names:
            machine = self.machines.pop(name, None)
            if machine is not None:
                self._hearing.forget(name)
                self._gave_up(name, (math.inf, math.inf))
                for key in list(machine.tasks):
                    self._end(self.tasks[key])

    def _gave_up(self, name: str, stamp: tuple[float, float]) -> None:
        self._stamps[name] = stamp
        if len(self._stamps) > REMEMBERED:
            del self._stamps[next(iter(self._stamps))]

    def retire(self, names: Iterable[str]) -> None:
        for name in names:
            if (machine := self.machines.get(name)) is not None:
                machine.retiring = True
                for key in list(machine.tasks):
                    task = self.tasks[key]
                    if task.phase == "placed" and not task.sent:
                        self._end(task)

    def evict(self, machine: str, uid: str, count: int) -> None:
        """Stops the latest started of a job's tasks on a machine, for work that goes
        first. They are handed back once they have surely ended."""
        if (m := self.machines.get(machine)) is None:
            return
        running = [self.tasks[key] for key in m.tasks if key[0] == uid]
        running = [t for t in running if t.phase == "seen" and not t.withdrawn]
        running.sort(key=lambda t: (-(t.running_since or math.inf), t.key))
        for task in running[:count]:
            task.withdrawn = True

    def tick(self, now: float, wall: float) -> None:
        self._hearing.attention.look(now)
        if now - self._blamed_at > self._settings.settings.workers.lease_s:
            self._blamed_at = now
            self._blame.keep(self._replica.live, self.machines)
            self._reassess()
        for machine in list(self.machines.values()):
            if now > machine.heard_at + self.lease_s:
                # Its lease has run out: it killed everything and begins a new session.
                for key in list(machine.tasks):
                    self._end(self.tasks[key])
                self._hearing.forget(machine.name)
                self._gave_up(machine.name, (self._ended_session(machine), math.inf))
                del self.machines[machine.name]
        if self._rebuilding:
            if self._stage != RECOVERED:
                return
            # From here on tasks that are not ours are stopped, so it counts from here.
            self._rebuilding = False
            self._barrier_at = max(now, self._authority_ended_at) + self.lease_s
            self.unrecorded.clear()
        # A machine that was answered but has not reported under this token yet had
        # its lease renewed, with whatever is on it.
        if self._unseen and now > self._barrier_at + self.lease_s:
            self._give_up_deaf(now)
        if (
            self._unseen
            and now > self._barrier_at
            # What ran on a machine first heard of after that had ended by then: nobody had
            # answered it. (New machines, one after the other, held the barrier each in turn.)
            and all(m.trusted or m.since > self._barrier_at for m in self.machines.values())
        ):
            for key in list(self._unseen):
                self._unseen.discard(key)
                self._end(self.tasks[key])
        self._place(now, wall)

    def _ended_session(self, machine: Machine) -> int:
        """The latest session that has surely ended, of a machine whose lease has run out here. One
        that has not shown our token may have been answered by an authority before ours, but only
        until that had ended. (Its report that was held for longer made it count as there, and its
        tasks, handed back since, as lost by the state service.)"""
        if machine.heard_at < self._authority_ended_at:
            return machine.stamp[0]
        return max(machine.stamp[0], machine.checked_in[0])

    def _give_up_deaf(self, now: float) -> None:
        """Machines that report and never show our token, although they were answered for more
        than a lease: what was on them has ended with it, but nothing that they say can prove it,
        and they hold the barrier for all that is unseen. Their release does. If most are so, it
        is rather our answers that come too late."""
        deaf = [m for m in self.machines.values() if not m.trusted and now > m.since + self.lease_s]
        if 2 * len(deaf) <= len(self.machines):
            for machine in deaf:
                machine.retiring = machine.given_up = True

    def _is_empty(self, m: Machine) -> bool:
        """Whether its return loses nothing: what it holds at most waits for the outcome of a
        command that must not be carried out any more, and for which its return is the end."""
        return (
            not m.alive
            and (m.trusted or m.given_up)
            and all(
                (task := self.tasks[key]).phase == "placed"
                and m.retiring
                and (task.withdrawn or (key, task.attempt) in m.direct)
                for key in m.tasks
            )
        )

    def _rooms(self, now: float) -> list[MachineCapacity]:
        rooms: list[MachineCapacity] = []
        types = self._types()
        for machine in self.machines.values():
            type_ = types.get(machine.type)
            if type_ is None or not self._takes_tasks(machine, now):
                continue
            room = unused_capacity(type_, machine.name, machine.zone, machine.spot, self.shard)
            room.images = set(machine.images)
            for key in self._occupants(machine):
                job = self._replica.jobs.get(key[0])
                if job is None:
                    room.cpus = -1.0  # something unknown runs here: leave it alone
                    break
                room.cpus -= job.spec.cpus
                room.memory_gb -= job.spec.memory_gb
                room.gpus -= job.spec.gpus
            if room.cpus > 0:
                rooms.append(room)
        return rooms

    def _occupants(self, machine: Machine) -> set[TaskKey]:
        return machine.tasks | {key for key, _ in machine.alive}

    def _takes_tasks(self, machine: Machine, now: float) -> bool:
        silent = now - machine.heard_at
        return (
            machine.trusted
            and not machine.retiring
            and machine.notice_at is None
            and machine.name not in self._faulty
            and machine.name not in self._suspected
            and now >= machine.deaf_until
            and silent < 2 * self._settings.report_gap_s
        )

    def _place(self, now: float, wall: float) -> None:
        if not self._free:
            return
        rooms = self._rooms(now)
        groups: dict[tuple[str, str], list[TaskKey]] = {}
        for key in sorted(self._free):
            task = self.tasks[key]
            if task.not_before <= now:
                groups.setdefault((key[0], task.zone), []).append(key)
        sizes = task_sizes(self._replica)
        for (uid, zone), keys in groups.items():
            job = self._replica.jobs[uid]
            zones = {zone: len(keys)} if zone else None
            # How urgent it is has been decided where its tasks were allotted.
            need = make_demand(job, len(keys), zones, self.estimates, math.inf, sizes)
            avoid = set().union(*(self.tasks[key].errors for key in keys))
            open_rooms = [room for room in rooms if room.name not in avoid] if avoid else rooms
            queue = iter(keys)
            # The leader has decided between kinds of machine by giving the task here.
            taken = place(need, open_rooms, on_demand_only=False)
            if avoid and need.count:
                taken += place(need, rooms, on_demand_only=False)  # failed there before, or nowhere
            for room, count in taken:
                for _ in range(count):
                    self._start(self.tasks[next(queue)], room.name)
            for key in queue:
                # No room after all: others may have some.
                self._leave(self.tasks[key], done=False)

    def _start(self, task: Task, machine: str) -> None:
        self._attempts += 1
        self._free.discard(task.key)
        task.phase, task.machine, task.attempt = "placed", machine, self._attempts
        task.sent = False
        self.machines[machine].tasks.add(task.key)

    # -- what is to be written and told -----------------------------------------------

    def pending(self, wall: float | None = None) -> list[assignment_updates.AssignmentUpdate]:
        """What is to be written; `wall` only if ends are to be dated."""
        over = [self.tasks[key] for key in self.pending_removal]
        return assignment_updates.pending(
            self._replica, self._settings, self.shard, over, self._bulky, wall
        )

    def view(
        self, node: str, leader: int, now: float, foreign_reports: Iterable[tuple[str, float]] = ()
    ) -> ShardView:
        """What the leader (by its token) has not been shown yet."""
        machines, gone = self._showing.next(
            leader,
            self.machines,
            lambda m: self._signature(m, now),
            lambda m: self._describe(m, now),
        )
        pending_removal: dict[str, int] = {}
        for key in self.pending_removal:
            pending_removal[key[0]] = pending_removal.get(key[0], 0) + 1
        samples = [RunSample(name, *sums) for name, sums in self._samples.items()]
        self._samples.clear()
        for sample in samples:
            self.estimates.add(*msgspec.structs.astuple(sample))
        return ShardView(
            node,
            self.shard,
            self.token,
            self._replica.state_revision,
            machines,
            samples,
            self._showing.seq,
            self._showing.acknowledged,
            gone,
            list(pending_removal.items()),
            list(foreign_reports),
            self._silences(machines, now),
            list(self._blame.failing()),
        )

    def _silences(
        self, shown: Iterable[MachineView], now: float
    ) -> list[tuple[str, float, list[tuple[str, str, float]]]]:
        stalled_s = self._hearing.attention.stalled_s
        silent = [
            self.machines[view.name]
            for view in shown
            if view.silent_s > SUSPECT_GAPS * self._settings.report_gap_s
        ]
        result = [(m.name, stalled_s(m.heard_at), m.probes) for m in silent]
        result += [(name, 0.0, probes) for name, (_, probes) in self._unheard.items() if probes]
        return [
            (name, stood_s, [(p.by, p.outcome, now - p.at) for p in probes])
            for name, stood_s, probes in result
        ]

    def shown(self, seq: int, resync: bool) -> None:
        self._showing.answered(seq, resync)

    def _describe(self, m: Machine, now: float) -> MachineView:
        by_job: dict[str, list[TaskKey]] = {}
        for key in self._occupants(m):
            by_job.setdefault(key[0], []).append(key)
        tasks = [
            (uid, Ranges.of(k[1] for k in keys).flat(), self._left_s(uid, keys, now))
            for uid, keys in by_job.items()
        ]
        return MachineView(
            name=m.name,
            type=m.type,
            zone=m.zone,
            spot=m.spot,
            open=self._takes_tasks(m, now),
            empty=self._is_empty(m),
            silent_s=now - m.heard_at,
            notice=m.notice_at is not None,
            retiring=m.retiring or m.name in self._faulty,
            images=list(m.images),
            tasks=tasks,
        )

    def _signature(self, m: Machine, now: float) -> Signature:
        """Whatever of a machine the leader should hear of when it changes. How long it
        has been silent counts only once that is more than a late report."""
        silent = now - m.heard_at
        running = sum(self.tasks[key].running_since is not None for key in m.tasks)
        return (
            m.trusted,
            self._takes_tasks(m, now),
            m.notice_at is not None,
            m.retiring or m.name in self._faulty,
            silent if silent > 2 * self._settings.report_gap_s else 0.0,
            running,
            frozenset(self._occupants(m)),
            tuple(m.images),
        )

    def _left_s(self, uid: str, keys: list[TaskKey], now: float) -> float:
        job = self._replica.jobs.get(uid)
        if job is None:
            return 0.0
        run_s = self.estimates.run_s(job.spec.job_class, job.spec.estimate_s)
        started = [
            now if (t := self.tasks.get(k)) is None or t.running_since is None else t.running_since
            for k in keys
        ]
        return max(0.0, run_s - (now - max(started)))
