"""Whether a job is left waiting beside free room, once the troubles are over."""

from collections import defaultdict
from typing import TYPE_CHECKING, Any

import trio

from ryegauge.emulator.workers import Worker

if TYPE_CHECKING:
    from ryegauge.emulator.world import World

LEFT_S = 90.0  # of the operators' letter: so long beside the same machine is too long
LOOK_S = LEFT_S / 18
SLACK = 1e-6  # of sums of floats


def _usable(worker: Worker) -> bool:
    hung = worker.hung_until > trio.current_time()
    return worker.up and worker.notice_at is None and not (worker.faulty or hung)


class Waiting:
    """Since when each waiting job has had each machine's room beside it."""

    def __init__(self, world: "World") -> None:
        self._world = world
        self._since: dict[str, dict[str, float]] = {}

    def look(self) -> None:
        """To be called every LOOK_S; breaks `left_waiting` once for each such job."""
        world, now = self._world, trio.current_time()
        if now < world.calm_since:
            return
        machines = [w for w in world.workers.values() if w.alive]
        self._count(machines)
        seen: dict[str, dict[str, float]] = {}
        for uid in sorted(world.checker.accepted - set(world.checker.final)):
            if not self._waits(uid):
                continue
            before = self._since.get(uid, {})
            seen[uid] = {w.name: before.get(w.name, now) for w in machines if self._fits(w, uid)}
            for name, since in seen[uid].items():
                # A look may just miss the moment, so one more than the limit is due.
                if now - since > LEFT_S:
                    world.checker.broke(
                        "left_waiting", f"{uid} for {now - since:.0f} s beside {name}"
                    )
                    seen[uid] = {name: float("inf")}
                    break
        self._since = seen

    def _count(self, machines: list[Worker]) -> None:
        """What is on the machines now; what is being fetched takes its room as well."""
        specs = self._world.checker.specs
        self._placed: set[str] = set()
        self._used: dict[str, float] = defaultdict(float)
        self._left: dict[str, list[float]] = {}
        self._zones: dict[str, dict[str, int]] = defaultdict(lambda: defaultdict(int))
        for w in machines:
            left = self._left[w.name] = [w.type.cpus, w.type.memory_gb, w.type.gpus]
            for task, attempt in w.tasks.items():
                uid = task.rpartition("/")[0]
                if attempt.state == "ended" or (spec := specs.get(uid)) is None:
                    continue
                self._placed.add(task)
                self._used[spec["crew"]] += spec["cpus"]
                self._zones[uid][w.zone] += 1
                for n, amount in enumerate(_amounts(spec)):
                    left[n] -= amount

    def _waits(self, uid: str) -> bool:
        """A task of it could run. Not of jobs that were cancelled or fail everywhere; nor of
        gangs, which need room for all their tasks at once."""
        world, checker = self._world, self._world.checker
        spec = checker.specs[uid]
        needs = checker.needs_of(uid)
        if (
            spec.get("broken")
            or spec.get("shape") == "gang"
            or {uid, *needs} & (checker.asked_to_cancel | set(checker.cancelled_at))
        ):
            return False
        team = next(t for t in world.settings[0].settings.teams if t.name == spec["crew"])
        if self._used[team.name] + spec["cpus"] > team.cpu_limit + SLACK:
            return False
        done = all(
            f"{name}/{i}" in world.results
            for name in needs
            for i in range(checker.specs[name]["pieces"])
        )
        return done and any(
            task not in self._placed and task not in world.results
            for task in (f"{uid}/{i}" for i in range(spec["pieces"]))
        )

    def _fits(self, worker: Worker, uid: str) -> bool:
        spec, zones = self._world.checker.specs[uid], self._zones[uid]
        left = self._left[worker.name]
        return (
            _usable(worker)
            and all(amount <= n + SLACK for amount, n in zip(_amounts(spec), left, strict=True))
            and worker.type.name in (spec.get("builds") or [worker.type.name])
            and worker.zone == (spec.get("district") or worker.zone)
            and (bool(spec["loaners"]) or not worker.spot)
            and (not spec["together"] or not zones or worker.zone in zones)
            and (not spec["spread"] or zones.get(worker.zone, 0) < (spec["pieces"] + 1) // 2)
        )


def _amounts(spec: dict[str, Any]) -> tuple[float, float, float]:
    return spec["cpus"], spec.get("memoryGb", 0.0), spec.get("cards", 0.0)
