"""What users are answered: submissions, polls and cancellations.

Nothing is held back: what can't be taken now is refused at once with Retry-After.
"""

import logging
from collections.abc import Callable
from typing import Any, Literal

import msgspec
import trio

from ryegauge.bookkeeping.budget import RESERVE_DEFAULT, RESERVE_INTERACTIVE
from ryegauge.bookkeeping.epochs import RESTORING
from ryegauge.bookkeeping.outcome_archive import FinalOutcomes
from ryegauge.bookkeeping.state import (
    Conflict,
    Delete,
    Gone,
    OutcomeUnknown,
    Put,
    StateClient,
    Unavailable,
)
from ryegauge.bookkeeping.state_replica import (
    Job,
    Outcome,
    StateReplica,
    archive_key,
    assignment_key,
    cancelled_record,
    job_key,
    job_record,
    needs_piece_key,
    split_needs,
    value_bytes,
)
from ryegauge.bookkeeping.syncer import Syncer
from ryegauge.config import Settings
from ryegauge.coordination.demands import unrunnable_reason
from ryegauge.protocol.cloud import MachineType
from ryegauge.protocol.jobs import JobSpec, parse_job, valid_uid
from ryegauge.transport.http import Malformed, Reply, decode

log = logging.getLogger(__name__)

Answer = Literal["accepted", "known", "unsure"]

# A job's record may grow by the mark of its cancellation.
MARK_BYTES = 16

# Outcomes of jobs that left the book which are remembered, for each MB of memory.
FINALS_PER_MB = 20


class _Submission:
    __slots__ = ("done", "extra_puts", "outcome", "record", "size", "uid")

    def __init__(self, uid: str, record: dict[str, Any], extra_puts: tuple[Put, ...]) -> None:
        self.uid = uid
        self.record = record
        self.extra_puts = extra_puts  # written in the same transaction
        self.size = value_bytes(record) + sum(200 + value_bytes(put.value) for put in extra_puts)
        self.done = trio.Event()
        self.outcome: Answer = "unsure"


def _final_view(uid: str, status: Outcome, done: int) -> dict[str, Any]:
    return {"uid": uid, "status": status, "done": done, "running": 0}


def _busy(why: str, after_s: float = 1.0) -> Reply:
    return Reply(503, {"error": why}, after_s)


class JobApi:
    def __init__(
        self,
        settings: Settings,
        state: StateClient,
        replica: StateReplica,
        syncer: Syncer,
        types: Callable[[], dict[str, MachineType]],
        announce_write: Callable[[int], None],
        submitted: Callable[[int], None],
        wall: Callable[[], float],
        luck: Callable[[], float] = lambda: 0.5,
    ) -> None:
        """`luck`, from 0 to 1, spreads those who are told to come again."""
        self._settings = settings
        self._state = state
        self._replica = replica
        self._syncer = syncer
        self._types = types
        self._wrote = announce_write
        self._submitted = submitted
        self._wall = wall
        self._luck = luck
        self._teams = {team.name: team for team in settings.settings.teams}
        self._queue: list[_Submission] = []
        self._queued = trio.Event()
        # More than this many seconds' worth of writes is refused at once.
        self._queue_limit = max(12, int(2 * state.writes.rate))
        self._waiting = 0
        self._limits = settings.state_limits
        memory_mb = settings.settings.quota.memory_mb
        self._final_outcomes = FinalOutcomes(
            state, self._limits.max_conditions, int(FINALS_PER_MB * memory_mb)
        )
        # Told of each job that a write of ours has cancelled, before its user is.
        self.on_cancelled: Callable[[str], None] = lambda uid: None
        # Until then nobody is told that a job was never accepted: it may have been lost.
        self.not_found_after = float("-inf")
        # Told of a record that must be there and is not.
        self.on_record_missing: Callable[[str], None] = lambda key: None

    async def handle(self, method: str, path: str, body: bytes) -> Reply:
        shards = path.partition("?")[0].strip("/").split("/")
        # A flood of questions is refused early: answers would come too late anyway.
        if self._waiting >= self._settings.settings.quota.max_connections // 4:
            return Reply(429, {"error": "too many requests"}, self._later_s())
        if self._replica.recovery_stage == RESTORING:
            return _busy("what the state service lost is being put back")
        self._waiting += 1
        try:
            match method, shards:
                case "POST", ["v1", "jobs"]:
                    return await self._submit(body)
                case "GET", ["v1", "jobs", uid]:
                    return await self._poll(uid)
                case "POST", ["v1", "jobs", uid, "cancel"]:
                    return await self.cancel(uid)
        except (Unavailable, OutcomeUnknown, Gone) as error:
            return _busy(f"the state service cannot be used: {error}")
        finally:
            self._waiting -= 1
        return Reply(404, {"error": "no such path"})

    def _later_s(self) -> float:
        """Not all at the same moment."""
        return 1.0 + 3.0 * self._luck()

    # -- submissions -----------------------------------------------------------------

    async def _submit(self, body: bytes) -> Reply:
        raw = decode(body)
        try:
            spec = parse_job(raw)
        except Malformed:
            # A retry of a known job is answered with its state, whatever else it says.
            uid = raw.get("uid") if isinstance(raw, dict) else None
            if valid_uid(uid) and (view := await self._known(str(uid))) is not None:
                return Reply(200, view)
            raise
        return await self.submit(spec)

    async def submit(self, spec: JobSpec, extra_puts: tuple[Put, ...] = ()) -> Reply:
        """What a user would be answered; `beside` is written with a job that is new. Raises
        what reading and writing the state service raise."""
        if self._heard_of(spec.uid) and (view := await self._known(spec.uid)) is not None:
            return Reply(200, view)
        types = self._types()
        if not types:
            if (view := await self._known(spec.uid)) is not None:
                return Reply(200, view)
            return _busy("the machine types are not known yet")
        if (why := unrunnable_reason(spec, types, self._teams)) is not None:
            if (view := await self._known(spec.uid)) is not None:
                return Reply(200, view)
            return Reply(422, {"error": why})
        if len(self._queue) >= self._queue_limit:
            return Reply(429, {"error": "too many submissions"}, self._later_s())
        # A user waits 5 s; whoever writes gives up sooner and says so.
        with trio.move_on_after(4.0):
            # Outcomes of the jobs that it needs, of those that have left the book.
            outcomes: dict[str, Outcome] = {}
            if (refused := await self._prepare(spec, outcomes)) is not None:
                return refused
            return await self._record(spec, extra_puts, outcomes)
        return _busy("the job could not be recorded")

    async def _prepare(self, spec: JobSpec, outcomes: dict[str, Outcome]) -> Reply | None:
        """What keeps a new job from being recorded, if anything does."""
        bare = job_record(msgspec.structs.replace(spec, needs=None), self._wall(), False)
        why, status = "", 422
        if value_bytes(bare) + MARK_BYTES + 60 > self._limits.value_bytes:
            why, status = "the names in it are too long to be recorded", 400
        elif spec.needs and spec.uid in spec.needs:
            why = "awaits itself"
        elif spec.needs and (unknown := await self._unknown(spec.needs, outcomes)):
            why = f"awaits {unknown}, which was never accepted"
        if not why:
            return None
        if (view := await self._known(spec.uid)) is not None:
            return Reply(200, view)
        return Reply(status, {"error": why})

    async def _unknown(self, needs: tuple[str, ...], outcomes: dict[str, Outcome]) -> str:
        """The first of the names that no job was accepted under, by a read that began
        after the question; outcomes of jobs outside the book are looked up on the way."""
        if not any(name not in self._replica.jobs for name in needs):
            return ""
        await self._fresh()
        outside = [
            n
            for n in needs
            if n not in self._replica.jobs and n not in self._replica.restored_outcomes
        ]
        found = await self._final_outcomes.find_all(outside)
        outcomes.update((name, record["st"]) for name, record in found.items())
        for name in outside:
            if name not in found and name not in self._replica.jobs:
                self._check_never(name)
                return name
        return ""

    def _new_record(
        self, spec: JobSpec, at: float, final_outcomes: dict[str, Outcome]
    ) -> tuple[dict[str, Any], list[list[str]]]:
        """The record of a new job and, if it cannot hold them, the pieces with the names
        of those that it needs. What is over by now is not named any more: done never
        goes back, and what needs a cancelled job is cancelled from the start."""
        outcomes = {n: self._replica.outcome(n) or final_outcomes.get(n) for n in spec.needs or ()}
        left = tuple(n for n, outcome in outcomes.items() if outcome is None)
        spec = msgspec.structs.replace(spec, needs=left or None)
        if "cancelled" in outcomes.values():
            return job_record(spec, at, True), []
        record = job_record(spec, at, False)
        limit = self._limits.value_bytes - MARK_BYTES
        if value_bytes(record) <= limit:
            return record, []
        digest, pieces = split_needs(left, limit)
        return job_record(spec, at, False, (digest, len(pieces))), pieces

    async def _store_pieces(self, uid: str, digest: str, pieces: list[list[str]]) -> None:
        """Before the job's own record, which makes them count. They are named by what
        they hold, so one that is there already is the same."""
        for first in range(0, len(pieces), self._limits.txn_ops):
            some = list(enumerate(pieces))[first : first + self._limits.txn_ops]
            keys = {needs_piece_key(uid, digest, n): names for n, names in some}
            while keys:
                changes: list[Put | Delete] = [Put(k, {"n": names}) for k, names in keys.items()]
                try:
                    await self._state.commit(
                        dict.fromkeys(keys, 0), changes, timeout_s=1.0, reserve=RESERVE_INTERACTIVE
                    )
                    break
                except Conflict as conflict:
                    keys = {k: names for k, names in keys.items() if k not in conflict.failed}

    async def _record(
        self, spec: JobSpec, extra_puts: tuple[Put, ...], outcomes: dict[str, Outcome]
    ) -> Reply:
        record, pieces = self._new_record(spec, self._wall(), outcomes)
        if pieces:
            await self._store_pieces(spec.uid, record["w"][0], pieces)
        submission = _Submission(spec.uid, record, extra_puts)
        self._queue.append(submission)
        self._queued.set()
        try:
            await submission.done.wait()
        finally:
            if submission in self._queue:
                self._queue.remove(submission)
        if submission.outcome == "accepted":
            # While our write was under way, another controller may have found it and told how
            # the job ended: the answer is no older than what is known here by now.
            ended = self._ended(spec.uid)
            status = ended["status"] if ended else "cancelled" if "x" in record else "queued"
            return Reply(201, {"uid": spec.uid, "status": status})
        if submission.outcome == "known" and (view := await self._known(spec.uid)) is not None:
            return Reply(200, view)
        return _busy("the job could not be recorded")

    async def write_submissions(self) -> None:
        """Group commit: one transaction for all that wait."""
        limit = self._limits.txn_ops
        while True:
            await self._queued.wait()
            if not self._queue:
                self._queued = trio.Event()
                continue
            # What there is now: a full group needs a full bucket, which others drain meanwhile.
            # Not less than lets others have a turn, who leave more: taken one by one, as each
            # came, changes were left for no outcome in a flood of tiny jobs.
            writes = self._state.writes
            least = min(len(self._queue), 1 + int(RESERVE_DEFAULT * writes.burst))
            if (lacking := least - writes.available(RESERVE_INTERACTIVE)) > 0:
                await trio.sleep(lacking / writes.rate)
            now = max(1, int(writes.available(RESERVE_INTERACTIVE)))
            batch, self._queue = self._take(min(limit, now))
            try:
                await self._write(batch)
            except (Unavailable, OutcomeUnknown, Gone) as error:
                log.debug("recording jobs failed: %s", error)
                for submission in batch:
                    submission.done.set()

    def _take(self, limit: int) -> tuple[list[_Submission], list[_Submission]]:
        """As many as a transaction may hold, by number and (well below 64 KiB) by size."""
        size = changes = 0
        for n, submission in enumerate(self._queue):
            size += submission.size + 200
            changes += 1 + len(submission.extra_puts)
            if changes > limit or (n > 0 and size > 40_000):
                return self._queue[:n], self._queue[n:]
        return self._queue, []

    async def _write(self, batch: list[_Submission]) -> None:
        while batch:
            first = {s.uid: s for s in reversed(batch)}  # one per uid, the earliest
            guards: dict[str, int] = {}
            changes: list[Put | Delete] = []
            for uid, s in first.items():
                guards[job_key(uid)] = 0
                guards[archive_key(uid)] = 0
                changes.append(Put(job_key(uid), s.record))
                changes += s.extra_puts
            try:
                state_revision = await self._state.commit(
                    guards, changes, timeout_s=2.0, reserve=RESERVE_INTERACTIVE
                )
            except Conflict as conflict:
                failed = set(conflict.failed)
                known = [
                    s for s in batch if job_key(s.uid) in failed or archive_key(s.uid) in failed
                ]
                if not known:
                    raise Unavailable("a conflict without a cause") from None
                for s in known:
                    s.outcome = "known"
                    s.done.set()
                batch = [s for s in batch if s not in known]
                continue
            for s in batch:
                s.outcome = "accepted" if first[s.uid] is s else "known"
                s.done.set()
            self._submitted(state_revision)
            return

    # -- questions ------------------------------------------------------------------------

    async def _known(self, uid: str) -> dict[str, Any] | None:
        """The job's state from a read that begins now, or None if it was never accepted. All
        that users are told of a job that may be known comes from here: polls, cancellations
        and repeated submissions, whatever those say and wherever they meet the job."""
        if (view := self._ended(uid)) is not None:
            return view
        await self._fresh()
        if (view := self._by_replica(uid)) is not None:
            return view
        if (record := await self._final_outcomes.find(uid)) is not None:
            return _final_view(uid, record["st"], record["d"])
        # Recorded while its outcome was looked up: by now the book may have it.
        self._check_whole()
        if (view := self._by_replica(uid)) is not None:
            return view
        self._check_never(uid)
        return None

    def _heard_of(self, uid: str) -> bool:
        replica = self._replica
        return (
            uid in replica.jobs
            or uid in replica.restored_outcomes
            or self._final_outcomes.known(uid) is not None
        )

    def _ended(self, uid: str) -> dict[str, Any] | None:
        """How a job has ended, as far as is known without a read. What has an end has it for
        good, and is answered at once, in an outage too."""
        replica = self._replica
        if (job := replica.jobs.get(uid)) is not None:
            if uid in replica.unsynced_cancellations:
                # Confirmed to a user, by us or by a peer that named it; not read yet.
                return _final_view(uid, "cancelled", job.done_count)
            return job.view() if job.is_terminal else None
        if (restored_outcomes := replica.restored_outcomes.get(uid)) is not None:
            return _final_view(uid, *restored_outcomes)
        record = self._final_outcomes.known(uid)
        return None if record is None else _final_view(uid, record["st"], record["d"])

    def _by_replica(self, uid: str) -> dict[str, Any] | None:
        """What the book says of a job, which has been read since the question; None: nothing."""
        if (view := self._ended(uid)) is not None:
            return view
        # Looked up now: after a full read it is another object, or has left the book.
        if (job := self._replica.jobs.get(uid)) is None:
            return None
        if self._replica.depends_on_unresolved(job):
            # One that it needs left the book before its outcome was written for this one:
            # cancelled perhaps, and then others may have been told that this one is, too.
            raise Unavailable("the outcome of a job that it needs is being looked up")
        return job.view()

    def _check_never(self, uid: str) -> None:
        """Raises Unavailable unless a job of which nothing was found was surely never accepted."""
        if uid in self._replica.final_outcomes:
            self.on_record_missing(archive_key(uid))
            raise Unavailable("a record that was there is lost")
        if not self._replica.recovery_complete or trio.current_time() < self.not_found_after:
            raise Unavailable("not all that may have been lost is known yet")

    async def _fresh(self) -> None:
        """A read that begins now; useless if it shows that data was lost."""
        await self._syncer.wait_for_read()
        self._check_whole()

    def _check_whole(self) -> None:
        """Raises Unavailable while the book may show a job as it was before its end."""
        if self._replica.recovery_stage == RESTORING:
            raise Unavailable("what it lost is being put back")

    async def _poll(self, uid: str) -> Reply:
        if not valid_uid(uid):
            return Reply(404, {"error": "no such job"})
        view = await self._known(uid)
        return Reply(404, {"error": "no such job"}) if view is None else Reply(200, view)

    async def cancel(self, uid: str) -> Reply:
        if not valid_uid(uid):
            return Reply(404, {"error": "no such job"})
        for _ in range(5):
            view = await self._known(uid)
            if view is None:
                return Reply(404, {"error": "no such job"})
            if view["status"] in ("done", "cancelled"):
                return Reply(200, {"uid": uid, "status": view["status"]})
            job = self._replica.jobs.get(uid)
            if job is None:
                continue
            try:
                state_revision = await self._state.commit(
                    self._unfinished(job),
                    [
                        Put(
                            job_key(uid),
                            cancelled_record(job.spec, job.submitted_at, self._limits.value_bytes),
                        )
                    ],
                    timeout_s=1.0,
                    reserve=RESERVE_INTERACTIVE,
                )
            except Conflict:
                continue
            self.on_cancelled(uid)
            self._wrote(state_revision)
            return Reply(200, {"uid": uid, "status": "cancelled"})
        return _busy("the job keeps changing")

    def _unfinished(self, job: Job) -> dict[str, int]:
        """Guards that hold only while the job is as we know it, that is, not done."""
        uid = job.spec.uid
        guards = {job_key(uid): job.version}
        for shard in range(self._settings.settings.nodes):
            assignment = job.assignments.get(shard)
            guards[assignment_key(uid, shard)] = 0 if assignment is None else assignment.version
        return guards
