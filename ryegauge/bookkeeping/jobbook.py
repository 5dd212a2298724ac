"""The replica: this controller's copy of all records under `r/`, and the jobs in them.

The syncer keeps it current by reading changes. Keys:

- `r/n/NODE`: a live controller; `r/p/SHARD`: the owner of a shard; `r/l`: the leader.
- `r/c/TYPE`: a machine type.
- `r/j/UID`: a job; `r/j/UID/SHARD`: a shard's assignment of it, with assigned and done tasks.
- `f/UID`, not in the replica: the outcome of an archived job.

Versions before pipelines ignore these:

- `r/w/UID/DIGEST/N`: names of the jobs that a job needs, if its own record cannot hold them.
- `r/q/UID`: the reply that is owed to the queue that submitted the job.
- `r/s/UID/SHARD/N`: done tasks moved out of a assignment that grew too large.
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

from ryegauge.bookkeeping.eras import REBUILT, era_token, version_in
from ryegauge.bookkeeping.ranges import Ranges
from ryegauge.bookkeeping.state import Event
from ryegauge.protocol.jobs import JobSpec, parse_job

PREFIX = "r/"


class Share:
    """What a shard was given of a job: assigned tasks by zone ("" for any zone), and done ones."""

    __slots__ = ("allotted", "done", "ended_at", "origin", "version")

    def __init__(
        self,
        allotted: dict[str, Ranges],
        done: Ranges,
        version: int,
        ended_at: float | None = None,
        origin: tuple[int, int] | None = None,
    ) -> None:
        self.allotted = allotted
        self.done = done
        self.version = version
        # When the shard last ran out of tasks of the job, if recorded. Jobs that need this one age
        # from then, so that their age is the same in every controller and after restarts.
        # Versions before ageing ignore it, and drop it when they write the record.
        self.ended_at = ended_at
        # For a record restored after a loss: the epoch and version that it had before.
        self.origin = origin

    @staticmethod
    def from_record(record: dict[str, Any], version: int) -> "Share":
        """Parses the value of an `r/j/UID/SHARD` record."""
        allotted = {zone: Ranges.from_flat(flat) for zone, flat in record["t"].items()}
        origin = record.get("o")
        return Share(
            allotted,
            Ranges.from_flat(record["d"]),
            version,
            record.get("e"),
            None if origin is None else (origin[0], origin[1]),
        )

    def to_record(self) -> dict[str, Any]:
        """The value to write under `r/j/UID/SHARD`."""
        record: dict[str, Any] = {
            "t": {zone: r.flat() for zone, r in self.allotted.items() if r},
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
        return sum(len(ranges) for ranges in self.allotted.values())

    @property
    def tasks(self) -> Ranges:
        """The assigned tasks of all zones."""
        if len(self.allotted) == 1:
            return next(iter(self.allotted.values()))
        result = Ranges()
        for ranges in self.allotted.values():
            result = result | ranges
        return result


Outcome = Literal["done", "cancelled"]


class Job:
    """A job with its assignments to shards. Times are wall-clock seconds."""

    __slots__ = (
        "_open",
        "allotted_count",
        "cancelled",
        "done_count",
        "held",
        "needs",
        "pieces",
        "ready_at",
        "sealed",
        "sealed_tasks",
        "shares",
        "spec",
        "submitted_at",
        "version",
        "waits_for",
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
        # By its own record or, derived by the replica, because a job that it needs is cancelled.
        self.cancelled = cancelled
        self.version = version
        # (digest, number of records) of the `r/w/` records with the names of needed jobs, if
        # the job's own record does not hold them.
        self.pieces = pieces
        # None until all of those records have been read.
        self.needs: tuple[str, ...] | None = None if pieces else spec.needs or ()
        self.waits_for: set[str] = set()  # needed jobs that are not done, kept by the replica
        self.ready_at = submitted_at  # when the last needed job was done, as far as is known
        self.sealed: dict[tuple[int, int], Ranges] = {}  # (shard, number) -> done tasks
        self.sealed_tasks = Ranges()
        self.shares: dict[int, Share] = {}  # by shard
        self.done_count = 0
        self.allotted_count = 0
        self.held: dict[int, int] = {}  # shard -> number of tasks assigned to it, if not 0
        self._open: Ranges | None = None

    def changed(self) -> None:
        """Recomputes the counts after a change of the assignments or overflow pages."""
        self._open = None
        if self.sealed:
            # A task in an overflow page may still be in its assignment too; it counts once.
            done = self.sealed_tasks
            for share in self.shares.values():
                done = done | share.done
            self.done_count = len(done)
        else:
            self.done_count = sum(len(share.done) for share in self.shares.values())
        counts = {part: share.count for part, share in self.shares.items()}
        self.held = {part: count for part, count in counts.items() if count}
        self.allotted_count = sum(self.held.values())

    def seal(self, part: int, number: int, tasks: Ranges | None) -> None:
        """Sets an overflow page of a shard; None removes it."""
        if tasks is None:
            self.sealed.pop((part, number), None)
        else:
            self.sealed[part, number] = tasks
        self.sealed_tasks = Ranges()
        for page in self.sealed.values():
            self.sealed_tasks = self.sealed_tasks | page
        self.changed()

    @property
    def ready(self) -> bool:
        """Whether all needed jobs are durably done. Once true it stays true."""
        return self.needs is not None and not self.waits_for

    @property
    def open_tasks(self) -> Ranges:
        """Tasks that are neither done nor assigned to a shard."""
        if self._open is None:
            rest = Ranges.up_to(self.spec.tasks) - self.sealed_tasks
            for share in self.shares.values():
                rest = rest - share.done - share.tasks
            self._open = rest
        return self._open

    def is_open(self, index: int) -> bool:
        """Whether the job still has to run the task and no assignment holds it."""
        return not self.over and index in self.open_tasks

    @property
    def done(self) -> bool:
        """Whether all tasks are done; never true of a standing job."""
        return self.spec.kind != "standing" and self.done_count >= self.spec.tasks

    @property
    def ended_at(self) -> float | None:
        """When the last task was done; None if the job is not done or an assignment lacks
        the time."""
        latest = -math.inf
        for share in self.shares.values():
            if share.done:
                if share.ended_at is None:
                    return None
                latest = max(latest, share.ended_at)
        return latest if self.done and latest > -math.inf else None

    @property
    def status(self) -> str:
        """`queued`, `running`, `done` or `cancelled`."""
        # The flag takes precedence over later results: a cancellation is only written while
        # the job is not done, guarded by the versions of all its assignments. One that follows from
        # a needed job finds no task done, since none has started.
        if self.cancelled:
            return "cancelled"
        if self.done:
            return "done"
        return "running" if self.allotted_count else "queued"

    @property
    def over(self) -> bool:
        """Whether the job is done or cancelled, which are its terminal states."""
        return self.done or self.cancelled

    def view(self) -> dict[str, Any]:
        """The job's state as users are shown it."""
        running = 0 if self.over else self.allotted_count
        view = {
            "uid": self.spec.uid,
            "status": self.status,
            "done": self.done_count,
            "running": running,
        }
        if self.waits_for and not self.over:
            view["awaits"] = sorted(self.waits_for)
        return view


def job_record(
    spec: JobSpec, submitted_at: float, cancelled: bool, pieces: tuple[str, int] | None = None
) -> dict[str, Any]:
    """The value of an `r/j/UID` record. `pieces` as in `Job.pieces`."""
    if cancelled or pieces:
        # The needs of a cancelled job matter neither to it nor to the jobs that need it.
        spec = msgspec.structs.replace(spec, needs=None)
    record: dict[str, Any] = {"s": spec.to_wire(), "at": submitted_at}
    if cancelled:
        record["x"] = True
    elif pieces:
        record["w"] = list(pieces)
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


def need_pieces(needs: tuple[str, ...], limit: int) -> tuple[str, list[list[str]]]:
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


def span_bytes(tasks: int) -> int:
    """Most bytes that one range of a job's task numbers takes in a record. `tasks` is the
    job's number of tasks."""
    return 2 * (len(str(tasks)) + 2)


def job_key(uid: str) -> str:
    return f"r/j/{uid}"


def share_key(uid: str, part: int) -> str:
    return f"r/j/{uid}/{part}"


def final_key(uid: str) -> str:
    return f"f/{uid}"


def piece_key(uid: str, digest: str, number: int) -> str:
    return f"r/w/{uid}/{digest}/{number}"


def page_key(uid: str, part: int, number: int) -> str:
    return f"r/s/{uid}/{part}/{number}"


def debt_key(uid: str) -> str:
    return f"r/q/{uid}"


def outcome_key(uid: str) -> str:
    return f"r/o/{uid}"


class Owner:
    """A role's record: which controller holds it, as which incarnation. The fencing token is
    made of the replica's epoch and the record's version."""

    __slots__ = ("incarnation", "node", "token")

    def __init__(self, node: str, incarnation: str, token: int) -> None:
        self.node = node
        self.incarnation = incarnation
        self.token = token


class JobBook:
    """Applies changes in order; complete up to the revision in `ledger`."""

    def __init__(self, wall: Callable[[], float] = lambda: -math.inf) -> None:
        """`wall` returns the wall-clock time in seconds."""
        self._wall = wall
        self.ledger = 0
        self.jobs: dict[str, Job] = {}
        # Jobs that every scheduling round looks at: those that are not over and wait for no
        # other job, and those of which a shard still holds tasks.
        self.live: dict[str, Job] = {}
        self.waiting: dict[str, Job] = {}  # jobs that wait for other jobs
        self.dependents: dict[str, set[str]] = {}  # job -> jobs in the replica that need it
        # Outcomes of jobs that left the replica before a job that needs them was recorded,
        # and the names of needed jobs whose outcome has yet to be looked up.
        self.outcomes: dict[str, Outcome] = {}
        self.lost: set[str] = set()
        # Replies owed to the queues that submitted jobs: job -> (record, version).
        self.debts: dict[str, tuple[Any, int]] = {}
        # Keys of records whose job is no longer in the replica, to be deleted.
        self.orphans: set[str] = set()
        self._pieces: dict[str, dict[str, dict[int, list[str]]]] = {}
        self.epoch = 0  # number of full reads; each one replaces all Job objects
        self.nodes: dict[str, str] = {}  # live controller -> its incarnation
        # Live controller -> shards whose workers cannot reach it.
        self.deaf: dict[str, frozenset[int]] = {}
        self.parts: dict[int, Owner] = {}
        self.leader: Owner | None = None
        self.types: dict[str, Any] = {}
        self.on_job: list[Callable[[str], None]] = []
        # Jobs known to be cancelled before this replica shows it.
        self.cancelled_ahead: set[str] = set()
        # The epoch, the version at which it began, the present version of its record, the stage
        # of its recovery, and whether the recovery is known to have found everything.
        self.era = self.era_start = self.era_version = 0
        self.era_stage, self.era_complete = REBUILT, True
        self.era_kind = ""
        # Role records from before this epoch, key -> (holder, version). They grant no role;
        # their versions only guard new claims.
        self.stale: dict[str, tuple[str, int]] = {}
        # Controllers that have restored what they knew: name -> (epoch, saw the loss itself).
        self.back: dict[str, tuple[int, bool]] = {}
        self.packed: dict[str, tuple[Outcome, int]] = {}  # restored: job -> (outcome, done tasks)
        self.packs: set[str] = set()  # NAME of each `r/k/NAME` record with restored outcomes
        # Outcomes and done counts of jobs that left the replica, the latest last; at most
        # `keep_finals` of them.
        self.finals: dict[str, tuple[Outcome, int]] = {}
        self.keep_finals = 0

    def replace(self, items: Iterable[Event], ledger: int) -> None:
        """Replaces the contents by those of a full read at revision `ledger`."""
        before = list(self.jobs)
        self.jobs, self.live, self.nodes, self.parts, self.types = {}, {}, {}, {}, {}
        self.deaf = {}
        self.waiting, self.dependents, self.outcomes, self._pieces = {}, {}, {}, {}
        self.lost, self.orphans = set(), set()
        self.debts = {}
        self.leader = None
        self.era = self.era_start = self.era_version = 0
        self.era_stage, self.era_complete, self.era_kind = REBUILT, True, ""
        self.stale, self.back, self.packed, self.packs = {}, {}, {}, set()
        self.epoch += 1
        for event in items:
            self._take_in(event)
        self.ledger = ledger
        # A full read does not tell when needed jobs were done.
        self._settle({*self.jobs, *self.outcomes, *self.packed}, -math.inf)
        self._notify(sorted({*before, *self.jobs}))

    def apply(self, events: Iterable[Event], ledger: int) -> None:
        """Takes in changes, in order, up to revision `ledger`."""
        touched: set[str] = set()
        for event in events:
            if (uid := self._take_in(event)) is not None:
                touched.add(uid)
            if event.key.startswith("r/k/"):
                touched.update(uid for uid in self.dependents if uid in self.packed)
        self.ledger = max(self.ledger, ledger)
        self._notify(self._settle(touched, self._wall()))

    def outcome(self, uid: str) -> Outcome | None:
        """How the job has ended, for good; None if it has not or the replica does not know."""
        if (job := self.jobs.get(uid)) is not None:
            if job.cancelled:
                return "cancelled"
            return "done" if job.done else None
        if uid in self.packed:
            return self.packed[uid][0]
        return self.outcomes.get(uid)

    def is_cancelled(self, uid: str) -> bool:
        """Whether the job is cancelled, by the replica or known before it shows it."""
        job = self.jobs.get(uid)
        return uid in self.cancelled_ahead or (job is not None and job.cancelled)

    def hangs_on_lost(self, job: Job) -> bool:
        """Whether the job needs, directly or through others, one whose outcome has yet to be
        looked up."""
        todo, seen = list(job.waits_for), set(job.waits_for)
        while todo:
            uid = todo.pop()
            if uid in self.lost:
                return True
            if (need := self.jobs.get(uid)) is not None:
                new = need.waits_for - seen
                seen |= new
                todo += new
        return False

    def version_of(self, key: str) -> int | None:
        """Version of a record of a job, a assignment, a role or the epoch, 0 if it does not exist;
        None for other records, whose versions are not kept."""
        match key.split("/"):
            case ["r", "j", uid]:
                return job.version if (job := self.jobs.get(uid)) is not None else 0
            case ["r", "j", uid, part]:
                share = job.shares.get(int(part)) if (job := self.jobs.get(uid)) else None
                return share.version if share is not None else 0
            case ["r", "p", part]:
                owner = self.parts.get(int(part))
                return version_in(owner.token) if owner is not None else 0
            case ["r", "l"]:
                return version_in(self.leader.token) if self.leader is not None else 0
            case ["r", "e"]:
                return self.era_version
        return None

    def versions(self) -> Iterable[tuple[str, int]]:
        """(key, version) of all job and assignment records."""
        for uid, job in self.jobs.items():
            yield job_key(uid), job.version
            for part, share in job.shares.items():
                yield share_key(uid, part), share.version

    def _begin_era(self, value: Any, version: int) -> None:
        if value is None:  # deleted: only seen by a replica that is about to be read anew
            return
        self.era, self.era_stage, self.era_version = value["e"], value["s"], version
        self.era_start = value.get("v", version)
        self.era_kind, self.era_complete = value.get("k", ""), bool(value.get("c"))
        for part, owner in list(self.parts.items()):
            del self.parts[part]
            owner.token = version_in(owner.token)
            self._role(f"r/p/{part}", owner)
        if (leader := self.leader) is not None:
            self.leader = None
            leader.token = version_in(leader.token)
            self._role("r/l", leader)
        if version == self.era_start:
            self.nodes, self.deaf, self.back = {}, {}, {}

    def _role(self, key: str, owner: Owner) -> None:
        """Takes in a role's record, whose token is still the bare version. A record from
        before the epoch grants nothing: its lease may be one of before the loss."""
        if owner.token < self.era_start:
            self.stale[key] = (owner.node, owner.token)
            return
        owner.token = era_token(self.era, owner.token)
        if key == "r/l":
            self.leader = owner
        else:
            self.parts[int(key[4:])] = owner

    def pieces(self) -> Iterable[tuple[str, str, int, list[str]]]:
        """The `r/w/` records with names of needed jobs: (job, digest, number, names)."""
        for uid, by_digest in self._pieces.items():
            for digest, found in by_digest.items():
                for number, names in found.items():
                    yield uid, digest, number, names

    def _pack(self, name: str, records: dict[str, Any]) -> None:
        self.packs.add(name)
        for status, entries in records.items():
            for uid, done in entries.items():
                self.packed[uid] = ("done" if status == "done" else "cancelled", done)
                self.lost.discard(uid)

    def _settle(self, touched: set[str], wall: float) -> list[str]:
        """Updates the jobs that need the touched ones, directly or through others, and returns
        all jobs that changed, in order. The work is proportional to their number."""
        reached = set(touched)
        queue = list(touched)
        while queue:
            uid = queue.pop()
            outcome = self.outcome(uid)
            if outcome is None:
                continue
            for name in self.dependents.get(uid, ()):
                job = self.jobs[name]
                if outcome == "done" and uid in job.waits_for:
                    job.waits_for.discard(uid)
                    if not job.waits_for:
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
        """When the last needed job was done, as recorded; `wall` if a record lacks the time."""
        ends: list[float] = []
        for name in job.needs or ():
            need = self.jobs.get(name)
            if need is None or (end := need.ended_at) is None:
                return wall
            ends.append(end)
        return max(ends, default=wall)

    def _file(self, uid: str) -> None:
        """Enters the job under `live` or `waiting`, or under neither."""
        job = self.jobs.get(uid)
        ended = job is None or (job.over and not job.allotted_count)
        if job is not None and not ended and (job.ready or job.allotted_count):
            self.live[uid] = job
        else:
            self.live.pop(uid, None)
        if job is not None and not ended and uid not in self.live:
            self.waiting[uid] = job
        else:
            self.waiting.pop(uid, None)

    def _link(self, job: Job) -> None:
        """Registers the job as a dependent of those that it needs, once all names are known."""
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
                job.waits_for.add(name)
            if outcome == "cancelled":
                job.cancelled = True
            if name not in self.jobs and name not in self.outcomes and name not in self.packed:
                self.lost.add(name)
        if job.needs and not job.waits_for:
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
                self.lost.discard(name)
        if uid in self.dependents and uid not in self.outcomes:
            self.lost.add(uid)
        if self.keep_finals and job.over:
            self.finals[uid] = ("cancelled" if job.cancelled else "done", job.done_count)
            if len(self.finals) > self.keep_finals:
                del self.finals[next(iter(self.finals))]
        self.orphans.update(share_key(uid, part) for part in job.shares)
        self.orphans.update(page_key(uid, part, n) for part, n in job.sealed)
        for digest, pieces in self._pieces.get(uid, {}).items():
            self.orphans.update(piece_key(uid, digest, n) for n in pieces)

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
                    self.lost.discard(uid)
                    self._link(job)
                return uid
            case ["r", "j", uid, part]:
                if (job := self.jobs.get(uid)) is None:
                    self._orphan(event)
                elif value is None:
                    job.shares.pop(int(part), None)
                    job.changed()
                else:
                    job.shares[int(part)] = Share.from_record(value, event.version)
                    job.changed()
                return uid
            case ["r", "s", uid, part, number]:
                if (job := self.jobs.get(uid)) is None:
                    self._orphan(event)
                else:
                    tasks = None if value is None else Ranges.from_flat(value["d"])
                    job.seal(int(part), int(number), tasks)
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
                    self.lost.discard(uid)
                return uid
            case ["r", "q", uid]:
                if value is None:
                    self.debts.pop(uid, None)
                else:
                    self.debts[uid] = (value, event.version)
            case ["r", "p", part]:
                self.parts.pop(int(part), None)
                self.stale.pop(event.key, None)
                if value is not None:
                    self._role(event.key, Owner(value["o"], value["i"], event.version))
            case ["r", "l"]:
                self.leader = None
                self.stale.pop(event.key, None)
                if value is not None:
                    self._role(event.key, Owner(value["o"], value["i"], event.version))
            case ["r", "n", node]:
                if value is None:
                    self.nodes.pop(node, None)
                    self.deaf.pop(node, None)
                    self.back.pop(node, None)
                elif event.version > self.era_start or not self.era:
                    self.nodes[node] = value["i"]
                    self.deaf[node] = frozenset(value.get("d", ()))
                    if "b" in value:
                        self.back[node] = (value["b"][0], bool(value["b"][1]))
            case ["r", "e"]:
                self._begin_era(value, event.version)
            case ["r", "k", name] if value is not None:
                self._pack(name, value)
            case ["r", "c", name]:
                if value is None:
                    self.types.pop(name, None)
                else:
                    self.types[name] = value
        return None
