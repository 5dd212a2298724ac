"""Checks the protocol's rules from outside the controllers, throughout a simulation."""

from collections import defaultdict
from typing import TYPE_CHECKING, Any

import trio

from ryegauge.emulator.waiting import CHECK_INTERVAL_S, WaitingChecker
from ryegauge.emulator.workers import Worker

if TYPE_CHECKING:
    from ryegauge.emulator.world import World


# Once all troubles have ended, an accepted job counts as forgotten if requests about it go
# unanswered for longer than this, even if requests about other jobs are answered.
MAX_UNANSWERED_S = 75.0


class Checker:
    """Observes starts of tasks and answers to users, and records each violated rule.

    `broken`: one line per violation, "TIME RULE: DETAIL". `specs`: job -> its submission with
    the emulator's own fields. `accepted`, `final`, `cancelled_at`: what users were told so far.
    """

    def __init__(self, world: "World") -> None:
        self.world = world
        self.broken: list[str] = []
        self.accepted: set[str] = set()
        self.cancelled_at: dict[str, float] = {}
        self.cancel_requested: set[str] = set()
        self.final: dict[str, str] = {}
        # When a user was first told that a job is accepted, and that it is done or cancelled.
        self.accepted_at: dict[str, float] = {}
        self.final_at: dict[str, float] = {}
        self.unrunnable: set[str] = set()  # jobs that were submitted and must never be accepted
        self.specs: dict[str, dict[str, Any]] = {}
        self.starts = 0  # of tasks
        # Jobs about which requests go unanswered -> since when.
        self.unanswered: dict[str, float] = {}

    def report_violation(self, rule: str, detail: str) -> None:
        """Records that `rule` was violated now."""
        self.broken.append(f"{trio.current_time():.2f} {rule}: {detail}")

    def on_task_started(self, worker: Worker, task: str) -> None:
        """Checks a start of a task: it runs nowhere else, its team is within its limit, its
        machine suits it, the jobs it needs are done, and neither its job nor one of these was
        reported cancelled more than `cancel_s` ago."""
        self.starts += 1
        machines = [w for w in self.world.workers.values() if w.alive]
        for other in machines:
            if other is not worker and task in other.active_tasks():
                self.report_violation("ran_twice", f"{task} on {worker.name} and {other.name}")
        self.check_quota(machines)
        self.check_placement(worker, task, machines)
        self.check_cancelled(task)
        self.check_needs(task)

    def transitive_needs(self, uid: str) -> set[str]:
        """All jobs that this one needs, directly or indirectly."""
        found: set[str] = set()
        pending = [uid]
        while pending:
            direct = set(self.specs.get(pending.pop(), {}).get("awaits") or ()) - found
            found |= direct
            pending += direct
        return found

    def check_needs(self, task: str) -> None:
        """`too_early`: a task started before the jobs that its job needs were done."""
        for name in self.specs[task.rpartition("/")[0]].get("awaits") or ():
            pieces = self.specs[name]["pieces"]
            done = sum(f"{name}/{i}" in self.world.results for i in range(pieces))
            if done < pieces:
                self.report_violation("too_early", f"{task} before {name}: {done} of {pieces}")

    def check_quota(self, machines: list[Worker]) -> None:
        """`quota`: a team uses more cores than its limit on the given machines."""
        used: dict[str, float] = defaultdict(float)
        for w in machines:
            for task in w.active_tasks():
                spec = self.specs[task.rpartition("/")[0]]
                used[spec["crew"]] += spec["cpus"]
        for team in self.world.settings[0].settings.teams:
            if used[team.name] > team.cpu_limit + 1e-6:
                self.report_violation("quota", f"{team.name} uses {used[team.name]}")

    def check_placement(self, worker: Worker, task: str, machines: list[Worker]) -> None:
        """`wrong_place`: a task started on a machine or in a zone that its job excludes."""
        uid = task.rpartition("/")[0]
        spec = self.specs[uid]
        zones: dict[str, int] = defaultdict(int)
        for w in machines:
            zones[w.zone] += sum(t.rpartition("/")[0] == uid for t in w.active_tasks())
        wrong = (
            (spec.get("builds") and worker.type.name not in spec["builds"])
            or (spec.get("district") and worker.zone != spec["district"])
            or (worker.spot and not spec["loaners"])
            or (spec["together"] and sum(n > 0 for n in zones.values()) > 1)
            or (spec["spread"] and max(zones.values()) > (spec["pieces"] + 1) // 2)
        )
        if wrong:
            self.report_violation(
                "wrong_place", f"{task} on {worker.name} in {worker.zone}: {dict(zones)}"
            )

    def check_cancelled(self, task: str) -> None:
        """`ran_cancelled`: a task starts more than `cancel_s` after a user was told that its job,
        or one that it needs, is cancelled."""
        uid = task.rpartition("/")[0]
        cancel_s = self.world.settings[0].settings.workers.cancel_s
        for name in (uid, *self.transitive_needs(uid)):
            cancelled_at = self.cancelled_at.get(name)
            if cancelled_at is not None and trio.current_time() > cancelled_at + cancel_s:
                self.report_violation("ran_cancelled", task)

    def check_forgotten(self, uid: str) -> None:
        """`forgotten`: requests about the job go unanswered for too long. Called for each one."""
        now = trio.current_time()
        since = max(self.unanswered.setdefault(uid, now), self.world.troubles_ended_at)
        if now - since > MAX_UNANSWERED_S:
            self.report_violation(
                "forgotten", f"{uid}: no request answered for {now - since:.0f} s"
            )

    def answered(
        self, uid: str, status: int, body: Any, action: str, sent: float | None = None
    ) -> None:
        """Checks the answer to a user's request against all answers received before the request
        was sent: of two requests in flight at once, the one with the older answer may complete
        last. `action`: submit, poll or cancel; `status` 0: no answer; `sent`: when the request was
        sent, by default now, so that every earlier answer counts."""
        known_by = trio.current_time() if sent is None else sent
        if uid in self.accepted and (
            (status == 404 and self.accepted_at.get(uid, 0.0) <= known_by)
            or (action == "submit" and status in (400, 422))
        ):
            self.report_violation("forgotten", f"{uid} is answered {status}")
        if status in (200, 201, 404):
            self.unanswered.pop(uid, None)
        elif uid in self.accepted:
            self.check_forgotten(uid)
        if status not in (200, 201):
            return
        if uid in self.unrunnable:
            self.report_violation("took_impossible", f"{uid} is answered {status}")
            return
        if uid not in self.specs:
            self.report_violation("invented", uid)
            return
        self.accepted.add(uid)
        self.accepted_at.setdefault(uid, trio.current_time())
        job_status = body["status"]
        self.check_not_older(uid, job_status, known_by)
        if job_status in ("done", "cancelled"):
            self.final[uid] = job_status
            self.final_at.setdefault(uid, trio.current_time())
        if job_status == "cancelled":
            if not {uid, *self.transitive_needs(uid)} & self.cancel_requested:
                self.report_violation(
                    "went_back", f"{uid} is cancelled, though no user cancelled it"
                )
            self.cancelled_at.setdefault(uid, trio.current_time())
        if job_status in ("queued", "running"):
            cancel_s = self.world.settings[0].settings.workers.cancel_s
            for name in self.transitive_needs(uid):
                cancelled_at = self.cancelled_at.get(name)
                if cancelled_at is not None and trio.current_time() > cancelled_at + cancel_s:
                    self.report_violation(
                        "orphaned", f"{uid} is {job_status}, {name} was cancelled"
                    )
        if job_status == "done":
            pieces = self.specs[uid]["pieces"]
            done = sum(f"{uid}/{i}" in self.world.results for i in range(pieces))
            if done < pieces:
                self.report_violation("not_done", f"{uid}: {done} of {pieces}")

    def check_not_older(self, uid: str, job_status: str, known_by: float) -> None:
        """`went_back`: a job that was final by `known_by` has another status `job_status`."""
        earlier = self.final.get(uid)
        if earlier is None or job_status == earlier:
            return
        # Done and cancelled exclude each other, whenever the request was sent.
        if job_status in ("done", "cancelled") or self.final_at.get(uid, 0.0) <= known_by:
            self.report_violation("went_back", f"{uid} was {earlier}, is {job_status}")

    async def watch(self) -> None:
        """Checks the rules that time alone can violate, until cancelled."""
        waiting_checker, checked_at = WaitingChecker(self.world), 0.0
        while True:
            await trio.sleep(0.5)
            if trio.current_time() >= checked_at + CHECK_INTERVAL_S:
                checked_at = trio.current_time()
                waiting_checker.check()
            machines = [w for w in self.world.workers.values() if w.alive]
            for w in machines:
                for task in w.active_tasks():
                    self.check_cancelled(task)
