"""What users do beyond submitting, polling and cancelling a job: close looks, odd requests,
cancellations of many jobs at once or at the moment of their end."""

from collections.abc import Iterator
from contextlib import contextmanager
from typing import TYPE_CHECKING, Any

import trio

if TYPE_CHECKING:
    from ryegauge.emulator.world import World

AT_ONCE_S = 0.2  # many cancellations come within so long
HANGING = 8  # so many machines of cancelled jobs hang, at most
REPEAT_S = 1.0  # after which a cancellation that was not answered is repeated
# After an end a user cancels within so long: workers report within half a second.
END_S = 0.6
# A close look: so often at all nodes, each time within so long.
LOOKS, LOOK_S = 3, 0.01
CANCELLED_AT_ONCE = 0.15  # of the jobs that were just accepted, under close looks
ODD_S = (0.05, 0.4)  # from one odd request to the next
# What makes a job that no machine fits, or that no team may have.
UNFIT: tuple[dict[str, Any], ...] = (
    {"cpus": 1e6},
    {"memoryGb": 1e7},
    {"cards": 1e4},
    {"builds": ["none-such"]},
    {"crew": "none-such"},
)
REQUIRED = ("duty", "crew", "shape", "urgency", "pieces", "cpus", "memoryGb", "kit", "loaners")
OF_EMULATOR = ("really", "broken")  # in a job's description, not in its submission


class Users:
    """Their questions, each compared by the checker with what had been heard before."""

    def __init__(self, world: "World") -> None:
        self._world = world
        self.at_end = 0.0  # this share of jobs that end is cancelled then
        self.close = False
        self.odd_since: float | None = None
        self._odd = 0

    async def question(
        self, uid: str, asked: str, body: Any = None, controller: int | None = None
    ) -> int:
        """`asked`: submit, poll or cancel. The status; 0: not answered."""
        world, checker = self._world, self._world.checker
        path = "/v1/jobs" + {"submit": "", "poll": f"/{uid}", "cancel": f"/{uid}/cancel"}[asked]
        sent = trio.current_time()
        status, answer = await world.ask(
            "GET" if asked == "poll" else "POST", path, body, controller
        )
        accepted, over = uid in checker.accepted, uid in checker.final
        checker.answered(uid, status, answer, asked, sent)
        if not over and uid in checker.final:
            world.note("final", uid, detail=checker.final[uid])
        if not (accepted and over) and (accepted, over) != (
            uid in checker.accepted,
            uid in checker.final,
        ):
            self._look(uid, new=not accepted)
        return status

    # -- cancellations -----------------------------------------------------------------------

    async def _call_off(self, uid: str, delay_s: float) -> None:
        checker = self._world.checker
        await trio.sleep(delay_s)
        checker.asked_to_cancel.add(uid)
        while await self.question(uid, "cancel") != 200 and uid not in checker.final:
            await trio.sleep(REPEAT_S)

    def _with_long_to_go(self) -> dict[str, set[str]]:
        """Jobs that run for longer than a lease from now on, and on which machines."""
        world, checker = self._world, self._world.checker
        found: dict[str, set[str]] = {}
        for worker in world.workers.values():
            for task in worker.on_machine() if worker.alive else ():
                uid = task.rpartition("/")[0]
                ran_s = trio.current_time() - world.began_at[task]
                left_s = world.run_s(task, checker.specs[uid]) - ran_s
                open_ = uid in checker.accepted and uid not in checker.final
                if open_ and uid not in checker.asked_to_cancel and left_s > world.lease_s:
                    found.setdefault(uid, set()).add(worker.name)
        return found

    async def cancel_now(self, count: int, hang_s: float) -> None:
        world = self._world
        running = self._with_long_to_go()
        chosen = world.rng.sample(sorted(running), min(count, len(running)))
        if hang_s:
            machines = sorted({name for uid in chosen for name in running[uid]})
            for name in world.rng.sample(machines, min(HANGING, len(machines))):
                world.workers[name].hung_until = trio.current_time() + hang_s
                world.note("hung", machine=name)
        for uid in chosen:
            world.nursery.start_soon(self._call_off, uid, world.rng.uniform(0.0, AT_ONCE_S))
        await trio.sleep(AT_ONCE_S)

    @contextmanager
    def cancel_at_end(self, share: float) -> Iterator[None]:
        self.at_end = share
        try:
            yield
        finally:
            self.at_end = 0.0

    def task_done(self, task: str) -> None:
        if not (self.at_end or self.close):
            return
        world, uid = self._world, task.rpartition("/")[0]
        pieces = world.checker.specs[uid]["pieces"]
        if all(f"{uid}/{i}" in world.results for i in range(pieces)):
            if self.at_end and world.rng.random() < self.at_end:
                world.nursery.start_soon(self._call_off, uid, world.rng.uniform(0.0, END_S))
            self._look(uid)

    # -- close looks -------------------------------------------------------------------------

    @contextmanager
    def close_looks(self) -> Iterator[None]:
        self.close = True
        try:
            yield
        finally:
            self.close = False

    def _look(self, uid: str, new: bool = False) -> None:
        """At all nodes, again and again, and a repeated submission; of new jobs some are
        cancelled."""
        if not self.close:
            return
        world = self._world
        for n in range(LOOKS):
            for controller in range(len(world.settings)):
                delay_s = n * LOOK_S + world.rng.uniform(0.0, LOOK_S)
                world.nursery.start_soon(self._later, delay_s, uid, "poll", None, controller)
            delay_s = n * LOOK_S + world.rng.uniform(0.0, LOOK_S)
            world.nursery.start_soon(self._later, delay_s, uid, "submit", self._body(uid), None)
        if new and world.rng.random() < CANCELLED_AT_ONCE:
            world.nursery.start_soon(self._call_off, uid, world.rng.uniform(0.0, LOOKS * LOOK_S))

    async def _later(
        self, delay_s: float, uid: str, asked: str, body: Any, controller: int | None
    ) -> None:
        await trio.sleep(delay_s)
        await self.question(uid, asked, body, controller)

    def _body(self, uid: str) -> dict[str, Any]:
        spec = self._world.checker.specs[uid]
        return {key: value for key, value in spec.items() if key not in OF_EMULATOR}

    # -- odd requests ------------------------------------------------------------------------

    @contextmanager
    def odd_requests(self) -> Iterator[None]:
        scope = trio.CancelScope()

        async def keep_on() -> None:
            with scope:
                while True:
                    await trio.sleep(self._world.rng.uniform(*ODD_S))
                    await self._odd_request()

        self.odd_since = trio.current_time()
        self._world.nursery.start_soon(keep_on)
        try:
            yield
        finally:
            self.odd_since = None
            scope.cancel()

    async def _odd_request(self) -> None:
        checker, rng = self._world.checker, self._world.rng
        kind = rng.choice(("repeat", "cancel done", "unfit", "lacking"))
        if kind == "repeat":
            if some := sorted(checker.accepted - set(checker.final)):
                uid = rng.choice(some)
                await self.question(uid, "submit", self._body(uid))
        elif kind == "cancel done":
            if some := sorted(uid for uid, end in checker.final.items() if end == "done"):
                await self.question(rng.choice(some), "cancel")
        elif checker.specs:
            self._odd += 1
            uid = f"wk-99{self._odd:08d}"
            body = {**self._body(rng.choice(sorted(checker.specs))), "uid": uid}
            if kind == "unfit":
                body |= rng.choice(UNFIT)
            else:
                del body[rng.choice(REQUIRED)]
            checker.impossible.add(uid)
            await self.question(uid, "submit", body)
            await self.question(uid, "poll")
