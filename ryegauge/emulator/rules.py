"""A checker for every rule of the protocol, watched from outside the controllers."""

from collections import defaultdict
from typing import TYPE_CHECKING, Any

import trio

from ryegauge.emulator.waiting import LOOK_S, Waiting
from ryegauge.emulator.workers import Worker

if TYPE_CHECKING:
    from ryegauge.emulator.world import World


# Once there is no trouble any more, a job is forgotten if no question about it is answered for
# so long, however others fare.
FORGOTTEN_S = 75.0


class Checker:
    """Every rule of the protocol, watched from outside the controllers."""

    def __init__(self, world: "World") -> None:
        self.world = world
        self.broken: list[str] = []
        self.accepted: set[str] = set()
        self.cancelled_at: dict[str, float] = {}
        self.asked_to_cancel: set[str] = set()
        self.final: dict[str, str] = {}
        # When it was first heard that a job was accepted, and that it was over.
        self.accepted_at: dict[str, float] = {}
        self.final_at: dict[str, float] = {}
        self.impossible: set[str] = set()  # submitted, and never to be accepted
        self.specs: dict[str, dict[str, Any]] = {}
        self.starts = 0
        # Jobs about which questions are not answered, and since when.
        self.unanswered: dict[str, float] = {}

    def broke(self, rule: str, detail: str) -> None:
        self.broken.append(f"{trio.current_time():.2f} {rule}: {detail}")

    def started(self, worker: Worker, task: str) -> None:
        self.starts += 1
        on = [w for w in self.world.workers.values() if w.alive]
        for other in on:
            if other is not worker and task in other.on_machine():
                self.broke("ran_twice", f"{task} on {worker.name} and {other.name}")
        self.check_quota(on)
        self.check_place(worker, task, on)
        self.check_cancelled(task)
        self.check_needs(task)

    def needs_of(self, uid: str) -> set[str]:
        """All jobs that this one needs, directly or through others."""
        found: set[str] = set()
        todo = [uid]
        while todo:
            new = set(self.specs.get(todo.pop(), {}).get("awaits") or ()) - found
            found |= new
            todo += new
        return found

    def check_needs(self, task: str) -> None:
        for name in self.specs[task.rpartition("/")[0]].get("awaits") or ():
            pieces = self.specs[name]["pieces"]
            done = sum(f"{name}/{i}" in self.world.results for i in range(pieces))
            if done < pieces:
                self.broke("too_early", f"{task} before {name}: {done} of {pieces}")

    def check_quota(self, on: list[Worker]) -> None:
        used: dict[str, float] = defaultdict(float)
        for w in on:
            for task in w.on_machine():
                spec = self.specs[task.rpartition("/")[0]]
                used[spec["crew"]] += spec["cpus"]
        for team in self.world.settings[0].settings.teams:
            if used[team.name] > team.cpu_limit + 1e-6:
                self.broke("quota", f"{team.name} uses {used[team.name]}")

    def check_place(self, worker: Worker, task: str, on: list[Worker]) -> None:
        uid = task.rpartition("/")[0]
        spec = self.specs[uid]
        zones: dict[str, int] = defaultdict(int)
        for w in on:
            zones[w.zone] += sum(t.rpartition("/")[0] == uid for t in w.on_machine())
        wrong = (
            (spec.get("builds") and worker.type.name not in spec["builds"])
            or (spec.get("district") and worker.zone != spec["district"])
            or (worker.spot and not spec["loaners"])
            or (spec["together"] and sum(n > 0 for n in zones.values()) > 1)
            or (spec["spread"] and max(zones.values()) > (spec["pieces"] + 1) // 2)
        )
        if wrong:
            self.broke("wrong_place", f"{task} on {worker.name} in {worker.zone}: {dict(zones)}")

    def check_cancelled(self, task: str) -> None:
        uid = task.rpartition("/")[0]
        limit = self.world.settings[0].settings.workers.cancel_s
        for name in (uid, *self.needs_of(uid)):
            at = self.cancelled_at.get(name)
            if at is not None and trio.current_time() > at + limit:
                self.broke("ran_cancelled", task)

    def check_forgotten(self, uid: str) -> None:
        """One more question about it was not answered."""
        now = trio.current_time()
        since = max(self.unanswered.setdefault(uid, now), self.world.calm_since)
        if now - since > FORGOTTEN_S:
            self.broke("forgotten", f"{uid}: no question answered for {now - since:.0f} s")

    def answered(
        self, uid: str, status: int, body: Any, asked: str, sent: float | None = None
    ) -> None:
        """An answer was heard to a question that was `sent` then. What had been heard before, by
        anybody, binds it; of two that were under way at once the older may come last. Without
        `sent` all that was heard before the answer binds it."""
        heard_by = trio.current_time() if sent is None else sent
        if uid in self.accepted and (
            (status == 404 and self.accepted_at.get(uid, 0.0) <= heard_by)
            or (asked == "submit" and status in (400, 422))
        ):
            self.broke("forgotten", f"{uid} is answered {status}")
        if status in (200, 201, 404):
            self.unanswered.pop(uid, None)
        elif uid in self.accepted:
            self.check_forgotten(uid)
        if status not in (200, 201):
            return
        if uid in self.impossible:
            self.broke("took_impossible", f"{uid} is answered {status}")
            return
        if uid not in self.specs:
            self.broke("invented", uid)
            return
        self.accepted.add(uid)
        self.accepted_at.setdefault(uid, trio.current_time())
        now = body["status"]
        self.check_older(uid, now, heard_by)
        if now in ("done", "cancelled"):
            self.final[uid] = now
            self.final_at.setdefault(uid, trio.current_time())
        if now == "cancelled":
            if not {uid, *self.needs_of(uid)} & self.asked_to_cancel:
                self.broke("went_back", f"{uid} is cancelled, which nobody asked for")
            self.cancelled_at.setdefault(uid, trio.current_time())
        if now in ("queued", "running"):
            limit = self.world.settings[0].settings.workers.cancel_s
            for name in self.needs_of(uid):
                at = self.cancelled_at.get(name)
                if at is not None and trio.current_time() > at + limit:
                    self.broke("orphaned", f"{uid} is {now}, {name} was cancelled")
        if now == "done":
            pieces = self.specs[uid]["pieces"]
            done = sum(f"{uid}/{i}" in self.world.results for i in range(pieces))
            if done < pieces:
                self.broke("not_done", f"{uid}: {done} of {pieces}")

    def check_older(self, uid: str, now: str, heard_by: float) -> None:
        before = self.final.get(uid)
        if before is None or now == before:
            return
        # One end excludes the other, whenever the question was sent.
        if now in ("done", "cancelled") or self.final_at.get(uid, 0.0) <= heard_by:
            self.broke("went_back", f"{uid} was {before}, is {now}")

    async def watch(self) -> None:
        waiting, looked_at = Waiting(self.world), 0.0
        while True:
            await trio.sleep(0.5)
            if trio.current_time() >= looked_at + LOOK_S:
                looked_at = trio.current_time()
                waiting.look()
            on = [w for w in self.world.workers.values() if w.alive]
            for w in on:
                for task in w.on_machine():
                    self.check_cancelled(task)
