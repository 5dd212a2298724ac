"""The replica: this controller's copy of all records under `r/`, and the jobs in them.

The syncer keeps it current by reading changes. Keys:

- `r/n/NODE`: a live controller; `r/p/SHARD`: the owner of a shard; `r/l`: the leader.
- `r/c/TYPE`: a machine type.
- `r/j/UID`: a job; `r/j/UID/SHARD`: a shard's assignment of it, with assigned and done tasks.
- `f/UID`, not in the replica: the outcome of an archived job.

Versions before pipelines ignore these:

- `r/w/UID/DIGEST/N`: names of the jobs that a job needs, if its own record cannot hold them.
- `r/q/UID`: the pending reply to the queue that submitted the job.
- `r/s/UID/SHARD/N`: done tasks moved out of an assignment that grew too large.
- `r/o/UID`: the outcome of a job that has left the replica and is needed by one in it.

Written only after the state service has lost data (`docs/design/rebuilding.md`):

- `r/e`: the epoch, which every loss raises.
- `r/k/NAME`: restored outcomes, many to a record.
"""

import hashlib
import json
import math
from collections.abc import Callable, Iterable
from typing import Any, Literal

import msgspec

from ryegauge.bookkeeping.epochs import RECOVERED, fencing_token, version_of_token
from ryegauge.bookkeeping.ranges import Ranges
from ryegauge.bookkeeping.state import Event
from ryegauge.protocol.jobs import JobSpec, parse_job

PREFIX = "r/"


class Assignment:
    """What a shard was given of a job: assigned tasks by zone ("" for any zone), and done ones."""

    __slots__ = ("assigned", "done", "ended_at", "origin", "version")

    def __init__(
        self,
        assigned: dict[str, Ranges],
        done: Ranges,
        version: int,
        ended_at: float | None = None,
        origin: tuple[int, int] | None = None,
    ) -> None:
        self.assigned = assigned
        self.done = done
        self.version = version
        # When the shard last ran out of tasks of the job, if recorded. Jobs that need this one age
        # from then, so that their age is the same in every controller and after restarts.
        # Versions before ageing ignore it, and drop it when they write the record.
        self.ended_at = ended_at
        # For a record restored after a loss: the epoch and version that it had before.
        self.origin = origin

    @staticmethod
    def from_record(record: dict[str, Any], version: int) -> "Assignment":
        """Parses the value of an `r/j/UID/SHARD` record."""
        assigned = {zone: Ranges.from_flat(flat) for zone, flat in record["t"].items()}
        origin = record.get("o")
        return Assignment(
            assigned,
            Ranges.from_flat(record["d"]),
            version,
            record.get("e"),
            None if origin is None else (origin[0], origin[1]),
        )

    def to_record(self) -> dict[str, Any]:
        """The value to write under `r/j/UID/SHARD`."""
        record: dict[str, Any] = {
            "t": {zone: r.flat() for zone, r in self.assigned.items() if r},
            "d": self.done.flat(),
        }
        if self.ended_at is not None:
            record["e"] = self.ended_at
        if self.origin is not None:
            record["o"] = list(self.origin)
        return record

    @property
    def count(self) -> int:
        """Number of assigned tasks, over all zones."""
        return sum(len(ranges) for ranges in self.assigned.values())

    @property
    def tasks(self) -> Ranges:
        """The assigned tasks of all zones."""
        if len(self.assigned) == 1:
            return next(iter(self.assigned.values()))
        result = Ranges()
        for ranges in self.assigned.values():
            result = result | ranges
        return result


# How a job has ended.
Outcome = Literal["done", "cancelled"]


class Job:
    """A job with its assignments to shards. Times are wall-clock seconds."""

    __slots__ = (
        "_open_tasks",
        "assigned_by_shard",
        "assigned_count",
        "assignments",
        "cancelled",
        "done_count",
        "needs",
        "needs_reference",
        "overflow_pages",
        "overflow_tasks",
        "ready_at",
        "spec",
        "submitted_at",
        "unmet_needs",
        "version",
    )

    def __init__(
        self,
        spec: JobSpec,
        submitted_at: float,
        cancelled: bool,
        version: int,
        needs_reference: tuple[str, int] | None = None,
    ) -> None:
        self.spec = spec
        self.submitted_at = submitted_at
        # By its own record or, derived by the replica, because a job that it needs is cancelled.
        self.cancelled = cancelled
        self.version = version
        # (digest, number of records) of the `r/w/` records with the names of needed jobs, if
        # the job's own record does not hold them.
        self.needs_reference = needs_reference
        # None until all of those records have been read.
        self.needs: tuple[str, ...] | None = None if needs_reference else spec.needs or ()
        self.unmet_needs: set[str] = set()  # needed jobs that are not done, kept by the replica
        self.ready_at = submitted_at  # when the last needed job was done, as far as is known
        self.overflow_pages: dict[tuple[int, int], Ranges] = {}  # (shard, number) -> done tasks
        self.overflow_tasks = Ranges()
        self.assignments: dict[int, Assignment] = {}  # by shard
        self.done_count = 0
        self.assigned_count = 0
        # shard -> number of tasks assigned to it, if not 0
        self.assigned_by_shard: dict[int, int] = {}
        self._open_tasks: Ranges | None = None

    def update_counts(self) -> None:
        """Recomputes the counts after a change of the assignments or overflow pages."""
        self._open_tasks = None
        if self.overflow_pages:
            # A task in an overflow page may still be in its assignment too; it counts once.
            done = self.overflow_tasks
            for assignment in self.assignments.values():
                done = done | assignment.done
            self.done_count = len(done)
        else:
            self.done_count = sum(len(assignment.done) for assignment in self.assignments.values())
        counts = {shard: assignment.count for shard, assignment in self.assignments.items()}
        self.assigned_by_shard = {shard: count for shard, count in counts.items() if count}
        self.assigned_count = sum(self.assigned_by_shard.values())

    def set_overflow_page(self, shard: int, number: int, tasks: Ranges | None) -> None:
        """Sets an overflow page of a shard; None removes it."""
        if tasks is None:
            self.overflow_pages.pop((shard, number), None)
        else:
            self.overflow_pages[shard, number] = tasks
        self.overflow_tasks = Ranges()
        for page in self.overflow_pages.values():
            self.overflow_tasks = self.overflow_tasks | page
        self.update_counts()

    @property
    def ready(self) -> bool:
        """Whether all needed jobs are durably done. Once true it stays true."""
        return self.needs is not None and not self.unmet_needs

    @property
    def open_tasks(self) -> Ranges:
        """Tasks that are neither done nor assigned to a shard."""
        if self._open_tasks is None:
            remaining = Ranges.up_to(self.spec.tasks) - self.overflow_tasks
            for assignment in self.assignments.values():
                remaining = remaining - assignment.done - assignment.tasks
            self._open_tasks = remaining
        return self._open_tasks

    def is_open(self, index: int) -> bool:
        """Whether the job still has to run the task and no assignment holds it."""
        return not self.is_terminal and index in self.open_tasks

    @property
    def done(self) -> bool:
        """Whether all tasks are done; never true of a standing job."""
        return self.spec.kind != "standing" and self.done_count >= self.spec.tasks

    @property
    def ended_at(self) -> float | None:
        """When the last task was done; None if the job is not done or an assignment lacks
        the time."""
        latest = -math.inf
        for assignment in self.assignments.values():
            if assignment.done:
                if assignment.ended_at is None:
                    return None
                latest = max(latest, assignment.ended_at)
        return latest if self.done and latest > -math.inf else None

    @property
    def status(self) -> str:
        """`queued`, `running`, `done` or `cancelled`."""
        # The flag takes precedence over later results: a cancellation is only written while
        # the job is not done, guarded by the versions of all its assignments. One that follows
        # from a needed job finds no task done, since none has started.
        if self.cancelled:
            return "cancelled"
        if self.done:
            return "done"
        return "running" if self.assigned_count else "queued"

    @property
    def is_terminal(self) -> bool:
        """Whether the job is done or cancelled, which are its terminal states."""
        return self.done or self.cancelled

    def view(self) -> dict[str, Any]:
        """The job's state as users are shown it."""
        running = 0 if self.is_terminal else self.assigned_count
        view = {
            "uid": self.spec.uid,
            "status": self.status,
            "done": self.done_count,
            "running": running,
        }
        if self.unmet_needs and not self.is_terminal:
            view["awaits"] = sorted(self.unmet_needs)
        return view


def job_record(
    spec: JobSpec,
    submitted_at: float,
    cancelled: bool,
    needs_reference: tuple[str, int] | None = None,
) -> dict[str, Any]:
    """The value of an `r/j/UID` record. `needs_reference` as in `Job.needs_reference`."""
    if cancelled or needs_reference:
        # The needs of a cancelled job matter neither to it nor to the jobs that need it.
        spec = msgspec.structs.replace(spec, needs=None)
    record: dict[str, Any] = {"s": spec.to_wire(), "at": submitted_at}
    if cancelled:
        record["x"] = True
    elif needs_reference:
        record["w"] = list(needs_reference)
    return record


def cancelled_record(spec: JobSpec, submitted_at: float, limit: int) -> dict[str, Any]:
    """The record of a cancelled job, within `limit` bytes even if the job was recorded when
    larger values were allowed: the machine types are dropped and descriptive fields cut, since
    a cancelled job is no longer placed."""
    record = job_record(spec, submitted_at, True)
    if value_bytes(record) > limit:
        spec = msgspec.structs.replace(
            spec, types=None, image=spec.image[:64], job_class=spec.job_class[:64]
        )
        record = job_record(spec, submitted_at, True)
    return record


def value_bytes(value: Any) -> int:
    """Upper bound of a value's size as the service counts it: as ASCII-only JSON with spaces."""
    return len(json.dumps(value))


def split_needs(needs: tuple[str, ...], limit: int) -> tuple[str, list[list[str]]]:
    """Splits the names of needed jobs into lists within `limit` bytes each. Returns a digest of
    the names and the lists: the same names always give the same records under the same keys, so
    that writing them again changes nothing."""
    pieces: list[list[str]] = [[]]
    size = 2
    for name in needs:
        size += len(name) + 4
        if size > limit and pieces[-1]:
            pieces.append([])
            size = len(name) + 6
        pieces[-1].append(name)
    return hashlib.sha256("/".join(needs).encode()).hexdigest()[:32], pieces


def max_range_bytes(tasks: int) -> int:
    """Most bytes that one range of a job's task numbers takes in a record. `tasks` is the
    job's number of tasks."""
    return 2 * (len(str(tasks)) + 2)


def job_key(uid: str) -> str:
    """Key of a job's record."""
    return f"r/j/{uid}"


def assignment_key(uid: str, shard: int) -> str:
    """Key of the record of a job's assignment to a shard."""
    return f"r/j/{uid}/{shard}"


def archive_key(uid: str) -> str:
    """Key of an archived job's outcome."""
    return f"f/{uid}"


def needs_piece_key(uid: str, digest: str, number: int) -> str:
    """Key of one record with names of jobs that a job needs. `digest` is one of all names."""
    return f"r/w/{uid}/{digest}/{number}"


def overflow_page_key(uid: str, shard: int, number: int) -> str:
    """Key of a record with done tasks moved out of an assignment."""
    return f"r/s/{uid}/{shard}/{number}"


def pending_reply_key(uid: str) -> str:
    """Key of the pending reply to the queue that submitted the job."""
    return f"r/q/{uid}"


def outcome_key(uid: str) -> str:
    """Key of the outcome of a job that has left the replica and that another one needs."""
    return f"r/o/{uid}"


class RoleHolder:
    """A role's record: which controller holds it, as which incarnation. The fencing token is
    made of the replica's epoch and the record's version."""

    __slots__ = ("incarnation", "node", "token")

    def __init__(self, node: str, incarnation: str, token: int) -> None:
        self.node = node
        self.incarnation = incarnation
        self.token = token


class StateReplica:
    """Applies changes in order; complete up to the revision in `state_revision`."""

    def __init__(self, wall: Callable[[], float] = lambda: -math.inf) -> None:
        """`wall` returns the wall-clock time in seconds."""
        self._wall = wall
        self.state_revision = 0
        self.jobs: dict[str, Job] = {}
        # Jobs that every scheduling round looks at: those that are not over and wait for no
        # other job, and those of which a shard still holds tasks.
        self.live: dict[str, Job] = {}
        self.waiting: dict[str, Job] = {}  # jobs that wait for other jobs
        self.dependents: dict[str, set[str]] = {}  # job -> jobs in the replica that need it
        # Outcomes of jobs that left the replica before a job that needs them was recorded,
        # and the names of needed jobs whose outcome has yet to be looked up.
        self.needed_outcomes: dict[str, Outcome] = {}
        self.unresolved_needs: set[str] = set()
        # Pending replies to the queues that submitted jobs: job -> (record, version).
        self.pending_replies: dict[str, tuple[Any, int]] = {}
        # Keys of records whose job is no longer in the replica, to be deleted.
        self.orphans: set[str] = set()
        # Names of needed jobs from `r/w/` records: job -> digest -> number -> names.
        self._needs_records: dict[str, dict[str, dict[int, list[str]]]] = {}
        self.full_read_count = 0  # number of full reads; each one replaces all Job objects
        self.nodes: dict[str, str] = {}  # live controller -> its incarnation
        # Live controller -> shards whose workers cannot reach it.
        self.unreachable_shards: dict[str, frozenset[int]] = {}
        self.shards: dict[int, RoleHolder] = {}  # shard -> its owner
        self.leader: RoleHolder | None = None
        self.types: dict[str, Any] = {}  # machine type -> its record
        self.on_job_changed: list[Callable[[str], None]] = []  # called with each job that changed
        # Jobs known to be cancelled before this replica shows it.
        self.unsynced_cancellations: set[str] = set()
        # The epoch, the version at which it began, the present version of its record, the stage
        # of its recovery, and whether the recovery is known to have found everything.
        self.epoch = self.epoch_start = self.epoch_version = 0
        self.recovery_stage, self.recovery_complete = RECOVERED, True
        self.loss_kind = ""
        # Role records from before this epoch, key -> (holder, version). They grant no role;
        # their versions only guard new claims.
        self.stale_roles: dict[str, tuple[str, int]] = {}
        # Controllers that have restored what they knew: name -> (epoch, saw the loss itself).
        self.restored_nodes: dict[str, tuple[int, bool]] = {}
        # Restored outcomes, job -> (outcome, number of done tasks), and the NAME of each of their
        # `r/k/NAME` records.
        self.restored_outcomes: dict[str, tuple[Outcome, int]] = {}
        self.restored_outcome_names: set[str] = set()
        # Outcomes and numbers of done tasks of jobs that left the replica, the latest last; at most
        # `max_final_outcomes` of them.
        self.final_outcomes: dict[str, tuple[Outcome, int]] = {}
        self.max_final_outcomes = 0

    def replace(self, items: Iterable[Event], state_revision: int) -> None:
        """Replaces the contents by those of a full read at revision `state_revision`."""
        previous_uids = list(self.jobs)
        self.jobs, self.live, self.nodes, self.shards, self.types = {}, {}, {}, {}, {}
        self.unreachable_shards = {}
        self.waiting, self.dependents, self.needed_outcomes, self._needs_records = {}, {}, {}, {}
        self.unresolved_needs, self.orphans = set(), set()
        self.pending_replies = {}
        self.leader = None
        self.epoch = self.epoch_start = self.epoch_version = 0
        self.recovery_stage, self.recovery_complete, self.loss_kind = RECOVERED, True, ""
        (
            self.stale_roles,
            self.restored_nodes,
            self.restored_outcomes,
            self.restored_outcome_names,
        ) = (
            {},
            {},
            {},
            set(),
        )
        self.full_read_count += 1
        for event in items:
            self._apply_event(event)
        self.state_revision = state_revision
        # A full read does not tell when needed jobs were done.
        self._update_dependents(
            {*self.jobs, *self.needed_outcomes, *self.restored_outcomes}, -math.inf
        )
        self._notify_listeners(sorted({*previous_uids, *self.jobs}))

    def apply(self, events: Iterable[Event], state_revision: int) -> None:
        """Takes in changes, in order, up to revision `state_revision`."""
        touched: set[str] = set()
        for event in events:
            if (uid := self._apply_event(event)) is not None:
                touched.add(uid)
            if event.key.startswith("r/k/"):
                touched.update(uid for uid in self.dependents if uid in self.restored_outcomes)
        self.state_revision = max(self.state_revision, state_revision)
        self._notify_listeners(self._update_dependents(touched, self._wall()))

    def outcome(self, uid: str) -> Outcome | None:
        """How the job has ended, for good; None if it has not or the replica does not know."""
        if (job := self.jobs.get(uid)) is not None:
            if job.cancelled:
                return "cancelled"
            return "done" if job.done else None
        if uid in self.restored_outcomes:
            return self.restored_outcomes[uid][0]
        return self.needed_outcomes.get(uid)

    def is_cancelled(self, uid: str) -> bool:
        """Whether the job is cancelled, by the replica or known before it shows it."""
        job = self.jobs.get(uid)
        return uid in self.unsynced_cancellations or (job is not None and job.cancelled)

    def depends_on_unresolved(self, job: Job) -> bool:
        """Whether the job needs, directly or through others, one whose outcome has yet to be
        looked up."""
        pending, seen = list(job.unmet_needs), set(job.unmet_needs)
        while pending:
            uid = pending.pop()
            if uid in self.unresolved_needs:
                return True
            if (needed_job := self.jobs.get(uid)) is not None:
                newly_found = needed_job.unmet_needs - seen
                seen |= newly_found
                pending += newly_found
        return False

    def version_of(self, key: str) -> int | None:
        """Version of the record of a job, an assignment, a role or the epoch, 0 if it does not
        exist; None for other records, whose versions are not kept."""
        match key.split("/"):
            case ["r", "j", uid]:
                return job.version if (job := self.jobs.get(uid)) is not None else 0
            case ["r", "j", uid, shard]:
                assignment = (
                    job.assignments.get(int(shard)) if (job := self.jobs.get(uid)) else None
                )
                return assignment.version if assignment is not None else 0
            case ["r", "p", shard]:
                holder = self.shards.get(int(shard))
                return version_of_token(holder.token) if holder is not None else 0
            case ["r", "l"]:
                return version_of_token(self.leader.token) if self.leader is not None else 0
            case ["r", "e"]:
                return self.epoch_version
        return None

    def versions(self) -> Iterable[tuple[str, int]]:
        """(key, version) of all job and assignment records."""
        for uid, job in self.jobs.items():
            yield job_key(uid), job.version
            for shard, assignment in job.assignments.items():
                yield assignment_key(uid, shard), assignment.version

    def _begin_epoch(self, value: Any, version: int) -> None:
        """Takes in the epoch's record. Role records from before the epoch count no more."""
        if value is None:  # deleted: only seen by a replica that is about to be read again in full
            return
        self.epoch, self.recovery_stage, self.epoch_version = value["e"], value["s"], version
        self.epoch_start = value.get("v", version)
        self.loss_kind, self.recovery_complete = value.get("k", ""), bool(value.get("c"))
        for shard, holder in list(self.shards.items()):
            del self.shards[shard]
            holder.token = version_of_token(holder.token)
            self._apply_role(f"r/p/{shard}", holder)
        if (leader := self.leader) is not None:
            self.leader = None
            leader.token = version_of_token(leader.token)
            self._apply_role("r/l", leader)
        if version == self.epoch_start:
            self.nodes, self.unreachable_shards, self.restored_nodes = {}, {}, {}

    def _apply_role(self, key: str, holder: RoleHolder) -> None:
        """Takes in a role's record, whose token is still the bare version. A record from
        before the epoch grants nothing: its lease may date from before the loss."""
        if holder.token < self.epoch_start:
            self.stale_roles[key] = (holder.node, holder.token)
            return
        holder.token = fencing_token(self.epoch, holder.token)
        if key == "r/l":
            self.leader = holder
        else:
            self.shards[int(key[4:])] = holder

    def needs_records(self) -> Iterable[tuple[str, str, int, list[str]]]:
        """The `r/w/` records with names of needed jobs: (job, digest, number, names)."""
        for uid, by_digest in self._needs_records.items():
            for digest, names_by_number in by_digest.items():
                for number, names in names_by_number.items():
                    yield uid, digest, number, names

    def _add_restored_outcomes(self, name: str, records: dict[str, Any]) -> None:
        """Takes in an `r/k/NAME` record: status -> job -> number of done tasks."""
        self.restored_outcome_names.add(name)
        for status, entries in records.items():
            for uid, done in entries.items():
                self.restored_outcomes[uid] = ("done" if status == "done" else "cancelled", done)
                self.unresolved_needs.discard(uid)

    def _update_dependents(self, touched: set[str], wall: float) -> list[str]:
        """Updates the jobs that need the touched ones, directly or through others, and returns
        all jobs that changed, in order. The work is proportional to their number."""
        affected = set(touched)
        queue = list(touched)
        while queue:
            uid = queue.pop()
            outcome = self.outcome(uid)
            if outcome is None:
                continue
            for name in self.dependents.get(uid, ()):
                job = self.jobs[name]
                if outcome == "done" and uid in job.unmet_needs:
                    job.unmet_needs.discard(uid)
                    if not job.unmet_needs:
                        job.ready_at = max(job.submitted_at, self._last_need_ended_at(job, wall))
                    affected.add(name)
                elif outcome == "cancelled" and not job.cancelled:
                    job.cancelled = True
                    affected.add(name)
                    queue.append(name)
        result = sorted(affected)
        for uid in result:
            self._update_index(uid)
        return result

    def _last_need_ended_at(self, job: Job, wall: float) -> float:
        """When the last needed job was done, as recorded; `wall` if that is not known of one of
        them: it has left the replica, or its record lacks the time."""
        ends: list[float] = []
        for name in job.needs or ():
            needed_job = self.jobs.get(name)
            if needed_job is None or (end := needed_job.ended_at) is None:
                return wall
            ends.append(end)
        return max(ends, default=wall)

    def _update_index(self, uid: str) -> None:
        """Enters the job under `live` or `waiting`, or under neither."""
        job = self.jobs.get(uid)
        ended = job is None or (job.is_terminal and not job.assigned_count)
        if job is not None and not ended and (job.ready or job.assigned_count):
            self.live[uid] = job
        else:
            self.live.pop(uid, None)
        if job is not None and not ended and uid not in self.live:
            self.waiting[uid] = job
        else:
            self.waiting.pop(uid, None)

    def _register_needs(self, job: Job) -> None:
        """Registers the job as a dependent of those that it needs, once all names are known."""
        if job.needs_reference is not None and job.needs is None:
            digest, count = job.needs_reference
            names_by_number = self._needs_records.get(job.spec.uid, {}).get(digest, {})
            if len(names_by_number) < count:
                return
            job.needs = tuple(name for n in range(count) for name in names_by_number[n])
        for name in job.needs or ():
            self.dependents.setdefault(name, set()).add(job.spec.uid)
            outcome = self.outcome(name)
            if outcome != "done":
                job.unmet_needs.add(name)
            if outcome == "cancelled":
                job.cancelled = True
            if (
                name not in self.jobs
                and name not in self.needed_outcomes
                and name not in self.restored_outcomes
            ):
                self.unresolved_needs.add(name)
        if job.needs and not job.unmet_needs:
            job.ready_at = max(job.submitted_at, self._last_need_ended_at(job, -math.inf))

    def _remove_job(self, uid: str) -> None:
        """Drops a job whose record was deleted; its other records become orphans."""
        job = self.jobs.pop(uid, None)
        if job is None:
            return
        for name in job.needs or ():
            needed_by = self.dependents.get(name, set())
            needed_by.discard(uid)
            if not needed_by:
                self.dependents.pop(name, None)
                self.unresolved_needs.discard(name)
        if uid in self.dependents and uid not in self.needed_outcomes:
            self.unresolved_needs.add(uid)
        if self.max_final_outcomes and job.is_terminal:
            self.final_outcomes[uid] = ("cancelled" if job.cancelled else "done", job.done_count)
            if len(self.final_outcomes) > self.max_final_outcomes:
                del self.final_outcomes[next(iter(self.final_outcomes))]
        self.orphans.update(assignment_key(uid, shard) for shard in job.assignments)
        self.orphans.update(overflow_page_key(uid, shard, n) for shard, n in job.overflow_pages)
        for digest, pieces in self._needs_records.get(uid, {}).items():
            self.orphans.update(needs_piece_key(uid, digest, n) for n in pieces)

    def _update_orphans(self, event: Event) -> None:
        """Takes in a record whose job is not in the replica."""
        if event.value is None:
            self.orphans.discard(event.key)
        else:
            self.orphans.add(event.key)

    def _notify_listeners(self, uids: Iterable[str]) -> None:
        """Calls the listeners with each job."""
        for uid in uids:
            for listener in self.on_job_changed:
                listener(uid)

    def _apply_event(self, event: Event) -> str | None:
        """Takes in one record; returns the job whose state it may change, if any."""
        path = event.key.split("/")
        value = event.value
        match path:
            case ["r", "j", uid]:
                if value is None:
                    self._remove_job(uid)
                elif (job := self.jobs.get(uid)) is not None:
                    job.cancelled = job.cancelled or bool(value.get("x"))
                    job.version = event.version
                else:
                    needs_reference = value.get("w")
                    job = self.jobs[uid] = Job(
                        parse_job(value["s"]),
                        value["at"],
                        bool(value.get("x")),
                        event.version,
                        None
                        if needs_reference is None
                        else (needs_reference[0], needs_reference[1]),
                    )
                    self.unresolved_needs.discard(uid)
                    self._register_needs(job)
                return uid
            case ["r", "j", uid, shard]:
                if (job := self.jobs.get(uid)) is None:
                    self._update_orphans(event)
                elif value is None:
                    job.assignments.pop(int(shard), None)
                    job.update_counts()
                else:
                    job.assignments[int(shard)] = Assignment.from_record(value, event.version)
                    job.update_counts()
                return uid
            case ["r", "s", uid, shard, number]:
                if (job := self.jobs.get(uid)) is None:
                    self._update_orphans(event)
                else:
                    tasks = None if value is None else Ranges.from_flat(value["d"])
                    job.set_overflow_page(int(shard), int(number), tasks)
                return uid
            case ["r", "w", uid, digest, number]:
                names_by_number = self._needs_records.setdefault(uid, {}).setdefault(digest, {})
                if value is None:
                    self.orphans.discard(event.key)
                    del self._needs_records[uid]
                    return None
                names_by_number[int(number)] = value["n"]
                if (job := self.jobs.get(uid)) is not None and job.needs is None:
                    self._register_needs(job)
                return uid
            case ["r", "o", uid]:
                if value is None:
                    self.needed_outcomes.pop(uid, None)
                else:
                    self.needed_outcomes[uid] = value["st"]
                    self.unresolved_needs.discard(uid)
                return uid
            case ["r", "q", uid]:
                if value is None:
                    self.pending_replies.pop(uid, None)
                else:
                    self.pending_replies[uid] = (value, event.version)
            case ["r", "p", shard]:
                self.shards.pop(int(shard), None)
                self.stale_roles.pop(event.key, None)
                if value is not None:
                    self._apply_role(event.key, RoleHolder(value["o"], value["i"], event.version))
            case ["r", "l"]:
                self.leader = None
                self.stale_roles.pop(event.key, None)
                if value is not None:
                    self._apply_role(event.key, RoleHolder(value["o"], value["i"], event.version))
            case ["r", "n", node]:
                if value is None:
                    self.nodes.pop(node, None)
                    self.unreachable_shards.pop(node, None)
                    self.restored_nodes.pop(node, None)
                elif event.version > self.epoch_start or not self.epoch:
                    self.nodes[node] = value["i"]
                    self.unreachable_shards[node] = frozenset(value.get("d", ()))
                    if "b" in value:
                        self.restored_nodes[node] = (value["b"][0], bool(value["b"][1]))
            case ["r", "e"]:
                self._begin_epoch(value, event.version)
            case ["r", "k", name] if value is not None:
                self._add_restored_outcomes(name, value)
            case ["r", "c", name]:
                if value is None:
                    self.types.pop(name, None)
                else:
                    self.types[name] = value
        return None
