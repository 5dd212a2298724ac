"""Users' behaviour beyond submitting, polling and cancelling a job: requests for one job in quick
succession, invalid and redundant requests, and cancellations of many jobs at once or at the
moment of their end."""

from collections.abc import Iterator
from contextlib import contextmanager
from typing import TYPE_CHECKING, Any

import trio

if TYPE_CHECKING:
    from ryegauge.emulator.world import World

CANCEL_BURST_S = 0.2  # within which the cancellations of one burst are sent
MAX_HUNG_MACHINES = 8  # of the cancelled jobs' machines
CANCEL_RETRY_S = 1.0  # before an unanswered cancellation is repeated
# A user cancels within this time after the job's end: workers report the end within 0.5 s.
CANCEL_AT_END_WINDOW_S = 0.6
# Rounds of polls at all controllers in a burst, and the length of a round in seconds.
POLL_BURST_ROUNDS, POLL_BURST_ROUND_S = 3, 0.01
IMMEDIATE_CANCEL_SHARE = 0.15  # of newly accepted jobs, while `close_looks` is active
ODD_REQUEST_INTERVAL_S = (0.05, 0.4)  # range of pauses between odd requests
# Changes that make a job exceed every machine, or name a type or team that does not exist.
UNRUNNABLE_CHANGES: tuple[dict[str, Any], ...] = (
    {"cpus": 1e6},
    {"memoryGb": 1e7},
    {"cards": 1e4},
    {"builds": ["none-such"]},
    {"crew": "none-such"},
)
REQUIRED_FIELDS = (
    "duty",
    "crew",
    "shape",
    "urgency",
    "pieces",
    "cpus",
    "memoryGb",
    "kit",
    "loaners",
)
EMULATOR_FIELDS = ("really", "broken")  # in `Checker.specs`, not in submissions


class Users:
    """Sends users' requests and passes every answer to the checker."""

    def __init__(self, world: "World") -> None:
        self._world = world
        self.cancel_share_at_end = 0.0  # share of jobs that are cancelled at their end
        self.poll_bursts_active = False  # see `close_looks`
        self.odd_requests_since: float | None = None  # since when odd requests are sent
        self._odd_request_count = 0

    async def ask_and_check(
        self, uid: str, action: str, body: Any = None, controller: int | None = None
    ) -> int:
        """Sends one request about a job, to `controller` or to any, and checks the answer.
        `action`: submit, poll or cancel. Returns the status; 0: not answered."""
        world, checker = self._world, self._world.checker
        path = "/v1/jobs" + {"submit": "", "poll": f"/{uid}", "cancel": f"/{uid}/cancel"}[action]
        sent = trio.current_time()
        status, answer = await world.ask(
            "GET" if action == "poll" else "POST", path, body, controller
        )
        accepted, was_final = uid in checker.accepted, uid in checker.final
        checker.answered(uid, status, answer, action, sent)
        if not was_final and uid in checker.final:
            world.record_event("final", uid, detail=checker.final[uid])
        if not (accepted and was_final) and (accepted, was_final) != (
            uid in checker.accepted,
            uid in checker.final,
        ):
            self._start_poll_burst(uid, new=not accepted)
        return status

    # -- cancellations -----------------------------------------------------------------------

    async def _cancel_after(self, uid: str, delay_s: float) -> None:
        checker = self._world.checker
        await trio.sleep(delay_s)
        checker.cancel_requested.add(uid)
        while await self.ask_and_check(uid, "cancel") != 200 and uid not in checker.final:
            await trio.sleep(CANCEL_RETRY_S)

    def _long_running_jobs(self) -> dict[str, set[str]]:
        """Open jobs with a task that runs for longer than a lease from now on -> the machines
        of these tasks."""
        world, checker = self._world, self._world.checker
        machines_by_job: dict[str, set[str]] = {}
        for worker in world.workers.values():
            for task in worker.active_tasks() if worker.alive else ():
                uid = task.rpartition("/")[0]
                ran_s = trio.current_time() - world.began_at[task]
                left_s = world.run_s(task, checker.specs[uid]) - ran_s
                open_ = uid in checker.accepted and uid not in checker.final
                if open_ and uid not in checker.cancel_requested and left_s > world.lease_s:
                    machines_by_job.setdefault(uid, set()).add(worker.name)
        return machines_by_job

    async def cancel_now(self, count: int, hang_s: float) -> None:
        """Cancels up to `count` long-running jobs at once; some of their machines hang for
        `hang_s`, if it is not 0."""
        world = self._world
        running = self._long_running_jobs()
        selected = world.rng.sample(sorted(running), min(count, len(running)))
        if hang_s:
            machines = sorted({name for uid in selected for name in running[uid]})
            for name in world.rng.sample(machines, min(MAX_HUNG_MACHINES, len(machines))):
                world.workers[name].hung_until = trio.current_time() + hang_s
                world.record_event("hung", machine=name)
        for uid in selected:
            world.nursery.start_soon(
                self._cancel_after, uid, world.rng.uniform(0.0, CANCEL_BURST_S)
            )
        await trio.sleep(CANCEL_BURST_S)

    @contextmanager
    def cancel_at_end(self, share: float) -> Iterator[None]:
        """While it is open, `share` of the jobs are cancelled at the moment they end."""
        self.cancel_share_at_end = share
        try:
            yield
        finally:
            self.cancel_share_at_end = 0.0

    def task_done(self, task: str) -> None:
        """To be called when a task completes; reacts to the end of its job."""
        if not (self.cancel_share_at_end or self.poll_bursts_active):
            return
        world, uid = self._world, task.rpartition("/")[0]
        pieces = world.checker.specs[uid]["pieces"]
        if all(f"{uid}/{i}" in world.results for i in range(pieces)):
            if self.cancel_share_at_end and world.rng.random() < self.cancel_share_at_end:
                world.nursery.start_soon(
                    self._cancel_after, uid, world.rng.uniform(0.0, CANCEL_AT_END_WINDOW_S)
                )
            self._start_poll_burst(uid)

    # -- bursts of polls ---------------------------------------------------------------------

    @contextmanager
    def close_looks(self) -> Iterator[None]:
        """While it is open, a job's acceptance, the end of its last task and its first final
        answer each trigger a burst of polls at all controllers and of repeated submissions; some
        jobs are cancelled right after their acceptance."""
        self.poll_bursts_active = True
        try:
            yield
        finally:
            self.poll_bursts_active = False

    def _start_poll_burst(self, uid: str, new: bool = False) -> None:
        """Polls the job at all controllers several times and repeats its submission; some of
        the new jobs are cancelled."""
        if not self.poll_bursts_active:
            return
        world = self._world
        for n in range(POLL_BURST_ROUNDS):
            for controller in range(len(world.settings)):
                delay_s = n * POLL_BURST_ROUND_S + world.rng.uniform(0.0, POLL_BURST_ROUND_S)
                world.nursery.start_soon(self._ask_later, delay_s, uid, "poll", None, controller)
            delay_s = n * POLL_BURST_ROUND_S + world.rng.uniform(0.0, POLL_BURST_ROUND_S)
            world.nursery.start_soon(
                self._ask_later, delay_s, uid, "submit", self._submission(uid), None
            )
        if new and world.rng.random() < IMMEDIATE_CANCEL_SHARE:
            world.nursery.start_soon(
                self._cancel_after,
                uid,
                world.rng.uniform(0.0, POLL_BURST_ROUNDS * POLL_BURST_ROUND_S),
            )

    async def _ask_later(
        self, delay_s: float, uid: str, action: str, body: Any, controller: int | None
    ) -> None:
        await trio.sleep(delay_s)
        await self.ask_and_check(uid, action, body, controller)

    def _submission(self, uid: str) -> dict[str, Any]:
        spec = self._world.checker.specs[uid]
        return {key: value for key, value in spec.items() if key not in EMULATOR_FIELDS}

    # -- odd requests ------------------------------------------------------------------------

    @contextmanager
    def odd_requests(self) -> Iterator[None]:
        """While it is open, users send repeated submissions, cancellations of jobs that are
        done, and submissions that must be rejected."""
        scope = trio.CancelScope()

        async def send_odd_requests() -> None:
            with scope:
                while True:
                    await trio.sleep(self._world.rng.uniform(*ODD_REQUEST_INTERVAL_S))
                    await self._odd_request()

        self.odd_requests_since = trio.current_time()
        self._world.nursery.start_soon(send_odd_requests)
        try:
            yield
        finally:
            self.odd_requests_since = None
            scope.cancel()

    async def _odd_request(self) -> None:
        checker, rng = self._world.checker, self._world.rng
        kind = rng.choice(("repeat", "cancel done", "unrunnable", "incomplete"))
        if kind == "repeat":
            if candidates := sorted(checker.accepted - set(checker.final)):
                uid = rng.choice(candidates)
                await self.ask_and_check(uid, "submit", self._submission(uid))
        elif kind == "cancel done":
            if candidates := sorted(uid for uid, end in checker.final.items() if end == "done"):
                await self.ask_and_check(rng.choice(candidates), "cancel")
        elif checker.specs:
            self._odd_request_count += 1
            uid = f"wk-99{self._odd_request_count:08d}"
            body = {**self._submission(rng.choice(sorted(checker.specs))), "uid": uid}
            if kind == "unrunnable":
                body |= rng.choice(UNRUNNABLE_CHANGES)
            else:
                del body[rng.choice(REQUIRED_FIELDS)]
            checker.unrunnable.add(uid)
            await self.ask_and_check(uid, "submit", body)
            await self.ask_and_check(uid, "poll")
