"""The user API: submissions, polls and cancellations.

Requests that cannot be served now are refused at once with Retry-After, never queued for long.
"""

import logging
from collections.abc import Callable
from typing import Any, Literal

import msgspec
import trio

from ryegauge.bookkeeping.budget import RESERVE_DEFAULT, RESERVE_INTERACTIVE
from ryegauge.bookkeeping.epochs import RESTORING
from ryegauge.bookkeeping.outcome_archive import ArchivedOutcomes
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

# What became of a submission: recorded, found to be known already, or unknown.
SubmissionOutcome = Literal["accepted", "known", "unsure"]

# By how much a job's record may grow when it is marked as cancelled.
CANCELLATION_MARK_BYTES = 16

# Cached outcomes of archived jobs for each MB of the memory quota.
CACHED_OUTCOMES_PER_MB = 20


class _Submission:
    """A new job that waits to be recorded."""

    __slots__ = ("done", "extra_puts", "outcome", "record", "size", "uid")

    def __init__(self, uid: str, record: dict[str, Any], extra_puts: tuple[Put, ...]) -> None:
        self.uid = uid
        self.record = record
        self.extra_puts = extra_puts  # written in the same transaction
        self.size = value_bytes(record) + sum(200 + value_bytes(put.value) for put in extra_puts)
        self.done = trio.Event()
        self.outcome: SubmissionOutcome = "unsure"


def _final_view(uid: str, status: Outcome, done: int) -> dict[str, Any]:
    """The state of a job that is over, as users are shown it."""
    return {"uid": uid, "status": status, "done": done, "running": 0}


def _unavailable(reason: str, retry_after_s: float = 1.0) -> Reply:
    """The reply to a request that cannot be served now."""
    return Reply(503, {"error": reason}, retry_after_s)


class JobApi:
    """Answers users' requests from the replica and the archived outcomes, and records new jobs
    in groups."""

    def __init__(
        self,
        settings: Settings,
        state: StateClient,
        replica: StateReplica,
        syncer: Syncer,
        types: Callable[[], dict[str, MachineType]],
        announce_write: Callable[[int], None],
        on_submitted: Callable[[int], None],
        wall: Callable[[], float],
        jitter: Callable[[], float] = lambda: 0.5,
    ) -> None:
        """`types` returns the machine types, none as long as they are not known; `announce_write`
        and `on_submitted` are called with the revision of a cancellation or of new jobs; `wall`
        returns the wall-clock time in seconds; `jitter`, a random number from 0 to 1, spreads
        retries."""
        self._settings = settings
        self._state = state
        self._replica = replica
        self._syncer = syncer
        self._types = types
        self._announce_write = announce_write
        self._on_submitted = on_submitted
        self._wall = wall
        self._jitter = jitter
        self._teams = {team.name: team for team in settings.settings.teams}
        self._queue: list[_Submission] = []
        self._submission_arrived = trio.Event()
        # Submissions beyond two seconds' worth of writes are refused at once.
        self._queue_limit = max(12, int(2 * state.writes.rate))
        self._open_requests = 0
        self._limits = settings.state_limits
        memory_mb = settings.settings.quota.memory_mb
        self._archived_outcomes = ArchivedOutcomes(
            state, self._limits.max_conditions, int(CACHED_OUTCOMES_PER_MB * memory_mb)
        )
        # Called with each job that a commit of ours has cancelled, before its user is answered.
        self.on_cancelled: Callable[[str], None] = lambda uid: None
        # Until then no user is told that a job was never accepted: it may have been lost.
        self.not_found_after = float("-inf")
        # Called with the key of a record that must exist and does not.
        self.on_record_missing: Callable[[str], None] = lambda key: None

    async def handle(self, method: str, path: str, body: bytes) -> Reply:
        """Answers one HTTP request. Raises Malformed for a body that is not a valid job."""
        segments = path.partition("?")[0].strip("/").split("/")
        # Overload is refused early: answers to all would come too late to be of use.
        if self._open_requests >= self._settings.settings.quota.max_connections // 4:
            return Reply(429, {"error": "too many requests"}, self._retry_after_s())
        if self._replica.recovery_stage == RESTORING:
            return _unavailable("what the state service lost is being put back")
        self._open_requests += 1
        try:
            match method, segments:
                case "POST", ["v1", "jobs"]:
                    return await self._submit(body)
                case "GET", ["v1", "jobs", uid]:
                    return await self._poll(uid)
                case "POST", ["v1", "jobs", uid, "cancel"]:
                    return await self.cancel(uid)
        except (Unavailable, OutcomeUnknown, Gone) as error:
            return _unavailable(f"the state service cannot be used: {error}")
        finally:
            self._open_requests -= 1
        return Reply(404, {"error": "no such path"})

    def _retry_after_s(self) -> float:
        """Seconds after which to retry, spread so that clients do not return all at once."""
        return 1.0 + 3.0 * self._jitter()

    # -- submissions -----------------------------------------------------------------

    async def _submit(self, body: bytes) -> Reply:
        """Answers a submission. Raises Malformed for an invalid body, unless its job is known."""
        raw = decode(body)
        try:
            spec = parse_job(raw)
        except Malformed:
            # A retry of a known job is answered with its state, even if the rest is invalid.
            uid = raw.get("uid") if isinstance(raw, dict) else None
            if valid_uid(uid) and (view := await self._current_view(str(uid))) is not None:
                return Reply(200, view)
            raise
        return await self.submit(spec)

    async def submit(self, spec: JobSpec, extra_puts: tuple[Put, ...] = ()) -> Reply:
        """Records a job, or finds it known, and returns the reply for its user. `extra_puts` is
        written in the same transaction as a new job. Raises Unavailable, OutcomeUnknown or
        Gone if the state service cannot be used."""
        if (
            self._may_be_known(spec.uid)
            and (view := await self._current_view(spec.uid)) is not None
        ):
            return Reply(200, view)
        types = self._types()
        if not types:
            if (view := await self._current_view(spec.uid)) is not None:
                return Reply(200, view)
            return _unavailable("the machine types are not known yet")
        if (reason := unrunnable_reason(spec, types, self._teams)) is not None:
            if (view := await self._current_view(spec.uid)) is not None:
                return Reply(200, view)
            return Reply(422, {"error": reason})
        if len(self._queue) >= self._queue_limit:
            return Reply(429, {"error": "too many submissions"}, self._retry_after_s())
        # Users wait for 5 s, so this gives up sooner and tells them so.
        with trio.move_on_after(4.0):
            # Outcomes of needed jobs that have left the replica.
            outcomes: dict[str, Outcome] = {}
            if (refused := await self._find_refusal(spec, outcomes)) is not None:
                return refused
            return await self._record_job(spec, extra_puts, outcomes)
        return _unavailable("the job could not be recorded")

    async def _find_refusal(self, spec: JobSpec, outcomes: dict[str, Outcome]) -> Reply | None:
        """The refusal of a job that must not be recorded, or None."""
        without_needs = job_record(msgspec.structs.replace(spec, needs=None), self._wall(), False)
        reason, status = "", 422
        if value_bytes(without_needs) + CANCELLATION_MARK_BYTES + 60 > self._limits.value_bytes:
            reason, status = "the names in it are too long to be recorded", 400
        elif spec.needs and spec.uid in spec.needs:
            reason = "awaits itself"
        elif spec.needs and (unknown := await self._first_unknown_need(spec.needs, outcomes)):
            reason = f"awaits {unknown}, which was never accepted"
        if not reason:
            return None
        if (view := await self._current_view(spec.uid)) is not None:
            return Reply(200, view)
        return Reply(status, {"error": reason})

    async def _first_unknown_need(
        self, needs: tuple[str, ...], outcomes: dict[str, Outcome]
    ) -> str:
        """The first of the names under which no job was ever accepted, or "", by a read that
        began after the call. Adds the outcomes of archived jobs to `outcomes`."""
        if not any(name not in self._replica.jobs for name in needs):
            return ""
        await self._wait_for_read()
        not_in_replica = [
            n
            for n in needs
            if n not in self._replica.jobs and n not in self._replica.restored_outcomes
        ]
        found = await self._archived_outcomes.find_all(not_in_replica)
        outcomes.update((name, record["st"]) for name, record in found.items())
        for name in not_in_replica:
            if name not in found and name not in self._replica.jobs:
                self._check_never_accepted(name)
                return name
        return ""

    def _new_job_record(
        self, spec: JobSpec, at: float, final_outcomes: dict[str, Outcome]
    ) -> tuple[dict[str, Any], list[list[str]]]:
        """The record of a new job and, if that cannot hold the names of the jobs it needs, the
        lists of names for separate records. Needed jobs that are over are left out: one that is
        done stays done, and a job that needs a cancelled one is cancelled from the start."""
        outcomes = {n: self._replica.outcome(n) or final_outcomes.get(n) for n in spec.needs or ()}
        unmet_needs = tuple(n for n, outcome in outcomes.items() if outcome is None)
        spec = msgspec.structs.replace(spec, needs=unmet_needs or None)
        if "cancelled" in outcomes.values():
            return job_record(spec, at, True), []
        record = job_record(spec, at, False)
        limit = self._limits.value_bytes - CANCELLATION_MARK_BYTES
        if value_bytes(record) <= limit:
            return record, []
        digest, pieces = split_needs(unmet_needs, limit)
        return job_record(spec, at, False, (digest, len(pieces))), pieces

    async def _write_needs(self, uid: str, digest: str, pieces: list[list[str]]) -> None:
        """Writes the names of needed jobs. They take effect with the job's own record, which is
        written afterwards. Their keys contain a digest of their contents, so an existing one
        has the same contents."""
        for offset in range(0, len(pieces), self._limits.txn_ops):
            chunk = list(enumerate(pieces))[offset : offset + self._limits.txn_ops]
            keys = {needs_piece_key(uid, digest, n): names for n, names in chunk}
            while keys:
                changes: list[Put | Delete] = [Put(k, {"n": names}) for k, names in keys.items()]
                try:
                    await self._state.commit(
                        dict.fromkeys(keys, 0), changes, timeout_s=1.0, reserve=RESERVE_INTERACTIVE
                    )
                    break
                except Conflict as conflict:
                    keys = {k: names for k, names in keys.items() if k not in conflict.failed}

    async def _record_job(
        self, spec: JobSpec, extra_puts: tuple[Put, ...], outcomes: dict[str, Outcome]
    ) -> Reply:
        """Queues a new job for the next transaction and waits for the result."""
        record, pieces = self._new_job_record(spec, self._wall(), outcomes)
        if pieces:
            await self._write_needs(spec.uid, record["w"][0], pieces)
        submission = _Submission(spec.uid, record, extra_puts)
        self._queue.append(submission)
        self._submission_arrived.set()
        try:
            await submission.done.wait()
        finally:
            if submission in self._queue:
                self._queue.remove(submission)
        if submission.outcome == "accepted":
            # While our write was under way, another controller may have read the job and told
            # a user how it ended. The reply must not be older than what is known here by now.
            ended = self._known_end(spec.uid)
            status = ended["status"] if ended else "cancelled" if "x" in record else "queued"
            return Reply(201, {"uid": spec.uid, "status": status})
        if (
            submission.outcome == "known"
            and (view := await self._current_view(spec.uid)) is not None
        ):
            return Reply(200, view)
        return _unavailable("the job could not be recorded")

    async def write_submissions(self) -> None:
        """Records waiting submissions by group commit, until cancelled."""
        limit = self._limits.txn_ops
        while True:
            await self._submission_arrived.wait()
            if not self._queue:
                self._submission_arrived = trio.Event()
                continue
            # The group takes what the budget allows now: a full group would need a full bucket,
            # which other writers drain meanwhile. But it waits until the bucket has risen above
            # the default reserve, or until the whole queue fits, so that writers with that reserve
            # get a turn. Submissions recorded one by one, as they arrived, kept the bucket below
            # it: in a flood of tiny jobs no outcome could be written.
            writes = self._state.writes
            min_group = min(len(self._queue), 1 + int(RESERVE_DEFAULT * writes.burst))
            if (shortfall := min_group - writes.available(RESERVE_INTERACTIVE)) > 0:
                await trio.sleep(shortfall / writes.rate)
            group_limit = max(1, int(writes.available(RESERVE_INTERACTIVE)))
            batch, self._queue = self._split_queue(min(limit, group_limit))
            try:
                await self._commit_batch(batch)
            except (Unavailable, OutcomeUnknown, Gone) as error:
                log.debug("recording jobs failed: %s", error)
                for submission in batch:
                    submission.done.set()

    def _split_queue(self, limit: int) -> tuple[list[_Submission], list[_Submission]]:
        """Splits the queue into the next transaction's submissions and the rest. A transaction
        is limited in changes and, well below the service's 64 KiB, in bytes."""
        size = changes = 0
        for n, submission in enumerate(self._queue):
            size += submission.size + 200
            changes += 1 + len(submission.extra_puts)
            if changes > limit or (n > 0 and size > 40_000):
                return self._queue[:n], self._queue[n:]
        return self._queue, []

    async def _commit_batch(self, batch: list[_Submission]) -> None:
        """Commits the batch, without those whose job turns out to be known."""
        while batch:
            # One submission for each job, the earliest.
            first_by_uid = {submission.uid: submission for submission in reversed(batch)}
            guards: dict[str, int] = {}
            changes: list[Put | Delete] = []
            for uid, submission in first_by_uid.items():
                guards[job_key(uid)] = 0
                guards[archive_key(uid)] = 0
                changes.append(Put(job_key(uid), submission.record))
                changes += submission.extra_puts
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
                for submission in known:
                    submission.outcome = "known"
                    submission.done.set()
                batch = [submission for submission in batch if submission not in known]
                continue
            for submission in batch:
                submission.outcome = (
                    "accepted" if first_by_uid[submission.uid] is submission else "known"
                )
                submission.done.set()
            self._on_submitted(state_revision)
            return

    # -- requests about jobs ---------------------------------------------------------------

    async def _current_view(self, uid: str) -> dict[str, Any] | None:
        """The job's state by a read that begins now, or None if it was never accepted. Every
        answer about a job that may be known comes from here: polls, cancellations and repeated
        submissions."""
        if (view := self._known_end(uid)) is not None:
            return view
        await self._wait_for_read()
        if (view := self._by_replica(uid)) is not None:
            return view
        if (record := await self._archived_outcomes.find(uid)) is not None:
            return _final_view(uid, record["st"], record["d"])
        # It may have been recorded while its outcome was looked up, and be in the replica by now.
        self._check_not_restoring()
        if (view := self._by_replica(uid)) is not None:
            return view
        self._check_never_accepted(uid)
        return None

    def _may_be_known(self, uid: str) -> bool:
        """Whether anything is known of the job without a read."""
        replica = self._replica
        return (
            uid in replica.jobs
            or uid in replica.restored_outcomes
            or self._archived_outcomes.cached(uid) is not None
        )

    def _known_end(self, uid: str) -> dict[str, Any] | None:
        """The final state of a job, as far as it is known without a read. It never changes, so
        users get it at once, even in an outage of the state service."""
        replica = self._replica
        if (job := replica.jobs.get(uid)) is not None:
            if uid in replica.unsynced_cancellations:
                # Confirmed to a user here or by a peer, but not in the replica yet.
                return _final_view(uid, "cancelled", job.done_count)
            return job.view() if job.is_terminal else None
        if (restored := replica.restored_outcomes.get(uid)) is not None:
            return _final_view(uid, *restored)
        record = self._archived_outcomes.cached(uid)
        return None if record is None else _final_view(uid, record["st"], record["d"])

    def _by_replica(self, uid: str) -> dict[str, Any] | None:
        """The job's state in the replica, which has been read since the request; None if it
        is not there."""
        if (view := self._known_end(uid)) is not None:
            return view
        # Looked up only now: after a full read it is another object, or gone.
        if (job := self._replica.jobs.get(uid)) is None:
            return None
        if self._replica.depends_on_unresolved(job):
            # A needed job left the replica before its outcome was recorded for this one. It may
            # be cancelled, and other users may have been told that this one is cancelled too.
            raise Unavailable("the outcome of a job that it needs is being looked up")
        return job.view()

    def _check_never_accepted(self, uid: str) -> None:
        """Raises Unavailable if a job that was not found may have been accepted all the same."""
        if uid in self._replica.final_outcomes:
            self.on_record_missing(archive_key(uid))
            raise Unavailable("a record that was there is lost")
        if not self._replica.recovery_complete or trio.current_time() < self.not_found_after:
            raise Unavailable("not all that may have been lost is known yet")

    async def _wait_for_read(self) -> None:
        """Waits for a read that begins now. Raises Unavailable if it shows a loss of data."""
        await self._syncer.wait_for_read()
        self._check_not_restoring()

    def _check_not_restoring(self) -> None:
        """Raises Unavailable while the replica may lack ends of jobs that are being restored."""
        if self._replica.recovery_stage == RESTORING:
            raise Unavailable("what it lost is being put back")

    async def _poll(self, uid: str) -> Reply:
        """Answers a poll."""
        if not valid_uid(uid):
            return Reply(404, {"error": "no such job"})
        view = await self._current_view(uid)
        return Reply(404, {"error": "no such job"}) if view is None else Reply(200, view)

    async def cancel(self, uid: str) -> Reply:
        """Cancels a job unless it is over, and returns the reply for the user. Raises as
        `submit`."""
        if not valid_uid(uid):
            return Reply(404, {"error": "no such job"})
        for _ in range(5):
            view = await self._current_view(uid)
            if view is None:
                return Reply(404, {"error": "no such job"})
            if view["status"] in ("done", "cancelled"):
                return Reply(200, {"uid": uid, "status": view["status"]})
            job = self._replica.jobs.get(uid)
            if job is None:
                continue
            try:
                state_revision = await self._state.commit(
                    self._unfinished_guards(job),
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
            self._announce_write(state_revision)
            return Reply(200, {"uid": uid, "status": "cancelled"})
        return _unavailable("the job keeps changing")

    def _unfinished_guards(self, job: Job) -> dict[str, int]:
        """Guards that hold only while the job and its assignments are as in the replica, where it
        is not done."""
        uid = job.spec.uid
        guards = {job_key(uid): job.version}
        for shard in range(self._settings.settings.nodes):
            assignment = job.assignments.get(shard)
            guards[assignment_key(uid, shard)] = 0 if assignment is None else assignment.version
        return guards
