"""The job book: this controller's copy of everything under `r/`, kept by reading
changes, and the jobs that it describes.

Keys: `r/n/NODE` live controllers, `r/p/PART` part owners, `r/l` the leader,
`r/c/TYPE` machine types, `r/j/UID` jobs, `r/j/UID/PART` what a part was given of a
job and what of it is done; outside the copy, `f/UID` jobs that are over.

Not known to versions before pipelines, which pass over them: `r/w/UID/DIGEST/N` the
jobs that a job needs, where its record cannot hold them, `r/q/UID` the answer that is owed to
the queue that a job came from, `r/s/UID/PART/N` done tasks
moved out of a share that grew too large, `r/o/UID` the outcome of a job that is no
longer in the book and is needed by one that is.

Only after the state service has lost data (`docs/design/rebuilding.md`): `r/e` the era, which
every loss raises, `r/k/NAME` outcomes that were put back, many to a record.
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
    """What one part was given of a job: allotted tasks by zone ("" for any), done ones."""

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
        # When the part last had no task of it left, if that was recorded: jobs that need
        # this one age from then, the same in every controller and after every restart.
        # Versions before ageing pass over it, and leave it out when they write.
        self.ended_at = ended_at
        # Of a record that was put back after a loss: era and version that it had before.
        self.origin = origin

    @staticmethod
    def from_record(record: dict[str, Any], version: int) -> "Assignment":
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
        return sum(len(ranges) for ranges in self.assigned.values())

    @property
    def tasks(self) -> Ranges:
        if len(self.assigned) == 1:
            return next(iter(self.assigned.values()))
        result = Ranges()
        for ranges in self.assigned.values():
            result = result | ranges
        return result


Outcome = Literal["done", "cancelled"]


class Job:
    __slots__ = (
        "_open",
        "assigned_count",
        "assignments",
        "cancelled",
        "done_count",
        "held",
        "needs",
        "overflow_pages",
        "overflow_tasks",
        "pieces",
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
        pieces: tuple[str, int] | None = None,
    ) -> None:
        self.spec = spec
        self.submitted_at = submitted_at
        # By its own record or, derived by the book, by that of any job that it needs.
        self.cancelled = cancelled
        self.version = version
        # Where the needs are kept if not in the record: digest and number of pieces.
        self.pieces = pieces
        # None: not all of the pieces have been read yet.
        self.needs: tuple[str, ...] | None = None if pieces else spec.needs or ()
        self.unmet_needs: set[str] = set()  # needs that are not done, kept by the book
        self.ready_at = submitted_at  # when the last need was done, as far as is known
        self.overflow_pages: dict[tuple[int, int], Ranges] = {}  # (part, number) -> done tasks
        self.overflow_tasks = Ranges()
        self.assignments: dict[int, Assignment] = {}
        self.done_count = 0
        self.assigned_count = 0
        self.held: dict[int, int] = {}  # part -> how many tasks it holds, if any
        self._open: Ranges | None = None

    def update_counts(self) -> None:
        self._open = None
        if self.overflow_pages:
            # What is sealed may still stand in its share as well: not to be counted twice.
            done = self.overflow_tasks
            for assignment in self.assignments.values():
                done = done | assignment.done
            self.done_count = len(done)
        else:
            self.done_count = sum(len(assignment.done) for assignment in self.assignments.values())
        counts = {shard: assignment.count for shard, assignment in self.assignments.items()}
        self.held = {shard: count for shard, count in counts.items() if count}
        self.assigned_count = sum(self.held.values())

    def set_overflow_page(self, shard: int, number: int, tasks: Ranges | None) -> None:
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
        """All jobs that it needs are durably done, which never goes back."""
        return self.needs is not None and not self.unmet_needs

    @property
    def open_tasks(self) -> Ranges:
        """Neither done nor allotted to a part."""
        if self._open is None:
            rest = Ranges.up_to(self.spec.tasks) - self.overflow_tasks
            for assignment in self.assignments.values():
                rest = rest - assignment.done - assignment.tasks
            self._open = rest
        return self._open

    def is_open(self, index: int) -> bool:
        """Whether a task is still to be done and no share holds it."""
        return not self.is_terminal and index in self.open_tasks

    @property
    def done(self) -> bool:
        return self.spec.kind != "standing" and self.done_count >= self.spec.tasks

    @property
    def ended_at(self) -> float | None:
        """When its last task was recorded as done, if all of its parts recorded that."""
        latest = -math.inf
        for assignment in self.assignments.values():
            if assignment.done:
                if assignment.ended_at is None:
                    return None
                latest = max(latest, assignment.ended_at)
        return latest if self.done and latest > -math.inf else None

    @property
    def status(self) -> str:
        # A cancellation is only written while the job is not done (guarded by the
        # versions of all its shares), so the flag decides whatever comes later. One
        # that comes from a needed job finds nothing done, since nothing had started.
        if self.cancelled:
            return "cancelled"
        if self.done:
            return "done"
        return "running" if self.assigned_count else "queued"

    @property
    def is_terminal(self) -> bool:
        return self.done or self.cancelled

    def view(self) -> dict[str, Any]:
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
    spec: JobSpec, submitted_at: float, cancelled: bool, pieces: tuple[str, int] | None = None
) -> dict[str, Any]:
    if cancelled or pieces:
        # What a cancelled job needs no longer matters, to it or to those that need it.
        spec = msgspec.structs.replace(spec, needs=None)
    record: dict[str, Any] = {"s": spec.to_wire(), "at": submitted_at}
    if cancelled:
        record["x"] = True
    elif pieces:
        record["w"] = list(pieces)
    return record


def cancelled_record(spec: JobSpec, submitted_at: float, limit: int) -> dict[str, Any]:
    """Fits the limit even if the job was recorded when larger values were allowed: the
    type names restrict nothing any more, the others only describe."""
    record = job_record(spec, submitted_at, True)
    if value_bytes(record) > limit:
        spec = msgspec.structs.replace(
            spec, types=None, image=spec.image[:64], job_class=spec.job_class[:64]
        )
        record = job_record(spec, submitted_at, True)
    return record


def value_bytes(value: Any) -> int:
    """The size of a value as the service may count it: as JSON, in its longest form."""
    return len(json.dumps(value))


def split_needs(needs: tuple[str, ...], limit: int) -> tuple[str, list[list[str]]]:
    """The names cut into values within the limit, and a digest that names them: the same
    names always make the same records, so writing them again changes nothing."""
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
    """What one range of a job's task numbers may take in a record."""
    return 2 * (len(str(tasks)) + 2)


def job_key(uid: str) -> str:
    return f"r/j/{uid}"


def assignment_key(uid: str, shard: int) -> str:
    return f"r/j/{uid}/{shard}"


def archive_key(uid: str) -> str:
    return f"f/{uid}"


def needs_piece_key(uid: str, digest: str, number: int) -> str:
    return f"r/w/{uid}/{digest}/{number}"


def overflow_page_key(uid: str, shard: int, number: int) -> str:
    return f"r/s/{uid}/{shard}/{number}"


def pending_reply_key(uid: str) -> str:
    return f"r/q/{uid}"


def outcome_key(uid: str) -> str:
    return f"r/o/{uid}"


class RoleHolder:
    """A role's record: who holds it. The token is its version, under the book's era."""

    __slots__ = ("incarnation", "node", "token")

    def __init__(self, node: str, incarnation: str, token: int) -> None:
        self.node = node
        self.incarnation = incarnation
        self.token = token


class StateReplica:
    """Applies changes in order; `ledger` is the revision up to which it is complete."""

    def __init__(self, wall: Callable[[], float] = lambda: -math.inf) -> None:
        self._wall = wall
        self.state_revision = 0
        self.jobs: dict[str, Job] = {}
        # Those that are not over and wait for no other job, or of which a part still
        # holds tasks: what has to be looked at in every round.
        self.live: dict[str, Job] = {}
        self.waiting: dict[str, Job] = {}  # those that wait for other jobs
        self.dependents: dict[str, set[str]] = {}  # job -> jobs in the book that need it
        # Outcomes of jobs that left the book before one that needs them came into it,
        # and the names of those whose outcome has yet to be looked up.
        self.outcomes: dict[str, Outcome] = {}
        self.unresolved_needs: set[str] = set()
        # Answers that are owed for jobs that came from queues: job -> (record, version).
        self.pending_replies: dict[str, tuple[Any, int]] = {}
        # Records that belong to no job in the book any more, to be deleted.
        self.orphans: set[str] = set()
        self._pieces: dict[str, dict[str, dict[int, list[str]]]] = {}
        self.full_read_count = 0  # counts full reads: after one, all jobs are new objects
        self.nodes: dict[str, str] = {}  # live controllers and their incarnation
        self.deaf: dict[str, frozenset[int]] = {}  # of these: parts whose workers it can't hear
        self.shards: dict[int, RoleHolder] = {}
        self.leader: RoleHolder | None = None
        self.types: dict[str, Any] = {}
        self.on_job: list[Callable[[str], None]] = []
        # Jobs that are known to be cancelled before this book can show it (`ahead`).
        self.unsynced_cancellations: set[str] = set()
        # The era, the version at which it began, the present one of its record, how far its
        # rebuilding has come, and whether it can be sure to have found everything.
        self.epoch = self.epoch_start = self.epoch_version = 0
        self.recovery_stage, self.recovery_complete = RECOVERED, True
        self.loss_kind = ""
        # Roles' records of before this era: they count for nothing, but guard their claims.
        self.stale: dict[str, tuple[str, int]] = {}
        # Controllers that have put back what they knew: name -> (era, saw the loss itself).
        self.restored_nodes: dict[str, tuple[int, bool]] = {}
        self.restored_outcomes: dict[str, tuple[Outcome, int]] = {}  # outcomes that were put back
        self.restored_outcome_keys: set[str] = set()  # the names of their records
        # Outcomes of jobs that left the book, the latest last: as many as are to be kept.
        self.final_outcomes: dict[str, tuple[Outcome, int]] = {}
        self.max_final_outcomes = 0

    def replace(self, items: Iterable[Event], state_revision: int) -> None:
        """Starts over from a full read."""
        before = list(self.jobs)
        self.jobs, self.live, self.nodes, self.shards, self.types = {}, {}, {}, {}, {}
        self.deaf = {}
        self.waiting, self.dependents, self.outcomes, self._pieces = {}, {}, {}, {}
        self.unresolved_needs, self.orphans = set(), set()
        self.pending_replies = {}
        self.leader = None
        self.epoch = self.epoch_start = self.epoch_version = 0
        self.recovery_stage, self.recovery_complete, self.loss_kind = RECOVERED, True, ""
        self.stale, self.restored_nodes, self.restored_outcomes, self.restored_outcome_keys = (
            {},
            {},
            {},
            set(),
        )
        self.full_read_count += 1
        for event in items:
            self._take_in(event)
        self.state_revision = state_revision
        # When needs were done is not known any more.
        self._settle({*self.jobs, *self.outcomes, *self.restored_outcomes}, -math.inf)
        self._notify(sorted({*before, *self.jobs}))

    def apply(self, events: Iterable[Event], state_revision: int) -> None:
        touched: set[str] = set()
        for event in events:
            if (uid := self._take_in(event)) is not None:
                touched.add(uid)
            if event.key.startswith("r/k/"):
                touched.update(uid for uid in self.dependents if uid in self.restored_outcomes)
        self.state_revision = max(self.state_revision, state_revision)
        self._notify(self._settle(touched, self._wall()))

    def outcome(self, uid: str) -> Outcome | None:
        """How a job has ended, for good; None while it has not, or if nothing is known."""
        if (job := self.jobs.get(uid)) is not None:
            if job.cancelled:
                return "cancelled"
            return "done" if job.done else None
        if uid in self.restored_outcomes:
            return self.restored_outcomes[uid][0]
        return self.outcomes.get(uid)

    def is_cancelled(self, uid: str) -> bool:
        """By the book, or known already without it."""
        job = self.jobs.get(uid)
        return uid in self.unsynced_cancellations or (job is not None and job.cancelled)

    def depends_on_unresolved(self, job: Job) -> bool:
        """Whether it needs, directly or through others, one whose outcome is to be looked up."""
        todo, seen = list(job.unmet_needs), set(job.unmet_needs)
        while todo:
            uid = todo.pop()
            if uid in self.unresolved_needs:
                return True
            if (need := self.jobs.get(uid)) is not None:
                new = need.unmet_needs - seen
                seen |= new
                todo += new
        return False

    def version_of(self, key: str) -> int | None:
        """Of a job's or a share's record, or of a role's; None: of others it is not known."""
        match key.split("/"):
            case ["r", "j", uid]:
                return job.version if (job := self.jobs.get(uid)) is not None else 0
            case ["r", "j", uid, shard]:
                assignment = (
                    job.assignments.get(int(shard)) if (job := self.jobs.get(uid)) else None
                )
                return assignment.version if assignment is not None else 0
            case ["r", "p", shard]:
                owner = self.shards.get(int(shard))
                return version_of_token(owner.token) if owner is not None else 0
            case ["r", "l"]:
                return version_of_token(self.leader.token) if self.leader is not None else 0
            case ["r", "e"]:
                return self.epoch_version
        return None

    def versions(self) -> Iterable[tuple[str, int]]:
        """Of all records whose versions are known but roles."""
        for uid, job in self.jobs.items():
            yield job_key(uid), job.version
            for shard, assignment in job.assignments.items():
                yield assignment_key(uid, shard), assignment.version

    def _begin_epoch(self, value: Any, version: int) -> None:
        if value is None:  # only seen by a book that is about to be read anew
            return
        self.epoch, self.recovery_stage, self.epoch_version = value["e"], value["s"], version
        self.epoch_start = value.get("v", version)
        self.loss_kind, self.recovery_complete = value.get("k", ""), bool(value.get("c"))
        for shard, owner in list(self.shards.items()):
            del self.shards[shard]
            owner.token = version_of_token(owner.token)
            self._role(f"r/p/{shard}", owner)
        if (leader := self.leader) is not None:
            self.leader = None
            leader.token = version_of_token(leader.token)
            self._role("r/l", leader)
        if version == self.epoch_start:
            self.nodes, self.deaf, self.restored_nodes = {}, {}, {}

    def _role(self, key: str, owner: RoleHolder) -> None:
        """A role's record, its token still the bare version. One of before the era proves
        nothing: its lease may be of another time."""
        if owner.token < self.epoch_start:
            self.stale[key] = (owner.node, owner.token)
            return
        owner.token = fencing_token(self.epoch, owner.token)
        if key == "r/l":
            self.leader = owner
        else:
            self.shards[int(key[4:])] = owner

    def pieces(self) -> Iterable[tuple[str, str, int, list[str]]]:
        """The records with the names of needed jobs: (job, digest, number, names)."""
        for uid, by_digest in self._pieces.items():
            for digest, found in by_digest.items():
                for number, names in found.items():
                    yield uid, digest, number, names

    def _pack(self, name: str, records: dict[str, Any]) -> None:
        self.restored_outcome_keys.add(name)
        for status, entries in records.items():
            for uid, done in entries.items():
                self.restored_outcomes[uid] = ("done" if status == "done" else "cancelled", done)
                self.unresolved_needs.discard(uid)

    def _settle(self, touched: set[str], wall: float) -> list[str]:
        """What follows from changed records for the jobs that need theirs, directly or
        through others; returns all that changed. The work is proportional to that."""
        reached = set(touched)
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
                        job.ready_at = max(job.submitted_at, self._ended_at(job, wall))
                    reached.add(name)
                elif outcome == "cancelled" and not job.cancelled:
                    job.cancelled = True
                    reached.add(name)
                    queue.append(name)
        result = sorted(reached)
        for uid in result:
            self._file(uid)
        return result

    def _ended_at(self, job: Job, wall: float) -> float:
        """When the last need of a job was done, as recorded; else as seen here."""
        ends: list[float] = []
        for name in job.needs or ():
            need = self.jobs.get(name)
            if need is None or (end := need.ended_at) is None:
                return wall
            ends.append(end)
        return max(ends, default=wall)

    def _file(self, uid: str) -> None:
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

    def _link(self, job: Job) -> None:
        """Enters the job under those that it needs, once all their names are known."""
        if job.pieces is not None and job.needs is None:
            digest, count = job.pieces
            found = self._pieces.get(job.spec.uid, {}).get(digest, {})
            if len(found) < count:
                return
            job.needs = tuple(name for n in range(count) for name in found[n])
        for name in job.needs or ():
            self.dependents.setdefault(name, set()).add(job.spec.uid)
            outcome = self.outcome(name)
            if outcome != "done":
                job.unmet_needs.add(name)
            if outcome == "cancelled":
                job.cancelled = True
            if (
                name not in self.jobs
                and name not in self.outcomes
                and name not in self.restored_outcomes
            ):
                self.unresolved_needs.add(name)
        if job.needs and not job.unmet_needs:
            job.ready_at = max(job.submitted_at, self._ended_at(job, -math.inf))

    def _remove(self, uid: str) -> None:
        job = self.jobs.pop(uid, None)
        if job is None:
            return
        for name in job.needs or ():
            users = self.dependents.get(name, set())
            users.discard(uid)
            if not users:
                self.dependents.pop(name, None)
                self.unresolved_needs.discard(name)
        if uid in self.dependents and uid not in self.outcomes:
            self.unresolved_needs.add(uid)
        if self.max_final_outcomes and job.is_terminal:
            self.final_outcomes[uid] = ("cancelled" if job.cancelled else "done", job.done_count)
            if len(self.final_outcomes) > self.max_final_outcomes:
                del self.final_outcomes[next(iter(self.final_outcomes))]
        self.orphans.update(assignment_key(uid, shard) for shard in job.assignments)
        self.orphans.update(overflow_page_key(uid, shard, n) for shard, n in job.overflow_pages)
        for digest, pieces in self._pieces.get(uid, {}).items():
            self.orphans.update(needs_piece_key(uid, digest, n) for n in pieces)

    def _orphan(self, event: Event) -> None:
        if event.value is None:
            self.orphans.discard(event.key)
        else:
            self.orphans.add(event.key)

    def _notify(self, uids: Iterable[str]) -> None:
        for uid in uids:
            for listener in self.on_job:
                listener(uid)

    def _take_in(self, event: Event) -> str | None:
        path = event.key.split("/")
        value = event.value
        match path:
            case ["r", "j", uid]:
                if value is None:
                    self._remove(uid)
                elif (job := self.jobs.get(uid)) is not None:
                    job.cancelled = job.cancelled or bool(value.get("x"))
                    job.version = event.version
                else:
                    pieces = value.get("w")
                    job = self.jobs[uid] = Job(
                        parse_job(value["s"]),
                        value["at"],
                        bool(value.get("x")),
                        event.version,
                        None if pieces is None else (pieces[0], pieces[1]),
                    )
                    self.unresolved_needs.discard(uid)
                    self._link(job)
                return uid
            case ["r", "j", uid, shard]:
                if (job := self.jobs.get(uid)) is None:
                    self._orphan(event)
                elif value is None:
                    job.assignments.pop(int(shard), None)
                    job.update_counts()
                else:
                    job.assignments[int(shard)] = Assignment.from_record(value, event.version)
                    job.update_counts()
                return uid
            case ["r", "s", uid, shard, number]:
                if (job := self.jobs.get(uid)) is None:
                    self._orphan(event)
                else:
                    tasks = None if value is None else Ranges.from_flat(value["d"])
                    job.set_overflow_page(int(shard), int(number), tasks)
                return uid
            case ["r", "w", uid, digest, number]:
                found = self._pieces.setdefault(uid, {}).setdefault(digest, {})
                if value is None:
                    self.orphans.discard(event.key)
                    del self._pieces[uid]
                    return None
                found[int(number)] = value["n"]
                if (job := self.jobs.get(uid)) is not None and job.needs is None:
                    self._link(job)
                return uid
            case ["r", "o", uid]:
                if value is None:
                    self.outcomes.pop(uid, None)
                else:
                    self.outcomes[uid] = value["st"]
                    self.unresolved_needs.discard(uid)
                return uid
            case ["r", "q", uid]:
                if value is None:
                    self.pending_replies.pop(uid, None)
                else:
                    self.pending_replies[uid] = (value, event.version)
            case ["r", "p", shard]:
                self.shards.pop(int(shard), None)
                self.stale.pop(event.key, None)
                if value is not None:
                    self._role(event.key, RoleHolder(value["o"], value["i"], event.version))
            case ["r", "l"]:
                self.leader = None
                self.stale.pop(event.key, None)
                if value is not None:
                    self._role(event.key, RoleHolder(value["o"], value["i"], event.version))
            case ["r", "n", node]:
                if value is None:
                    self.nodes.pop(node, None)
                    self.deaf.pop(node, None)
                    self.restored_nodes.pop(node, None)
                elif event.version > self.epoch_start or not self.epoch:
                    self.nodes[node] = value["i"]
                    self.deaf[node] = frozenset(value.get("d", ()))
                    if "b" in value:
                        self.restored_nodes[node] = (value["b"][0], bool(value["b"][1]))
            case ["r", "e"]:
                self._begin_epoch(value, event.version)
            case ["r", "k", name] if value is not None:
                self._pack(name, value)
            case ["r", "c", name]:
                if value is None:
                    self.types.pop(name, None)
                else:
                    self.types[name] = value
        return None
