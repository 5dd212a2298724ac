"""Checks that no job is left waiting beside free capacity once all troubles have ended."""

from collections import defaultdict
from typing import TYPE_CHECKING, Any

import trio

from ryegauge.emulator.workers import Worker

if TYPE_CHECKING:
    from ryegauge.emulator.world import World

# Required by the operators: a job may not wait for longer than this while one and the same machine
# could take its task.
MAX_WAIT_BESIDE_CAPACITY_S = 90.0
CHECK_INTERVAL_S = MAX_WAIT_BESIDE_CAPACITY_S / 18
ROUNDING_TOLERANCE = 1e-6  # of floating-point sums


def _usable(worker: Worker) -> bool:
    hung = worker.hung_until > trio.current_time()
    return worker.up and worker.notice_at is None and not (worker.faulty or hung)


class WaitingChecker:
    """Tracks since when each waiting job could have run on each machine."""

    def __init__(self, world: "World") -> None:
        self._world = world
        self._since: dict[str, dict[str, float]] = {}

    def check(self) -> None:
        """To be called every CHECK_INTERVAL_S; reports `left_waiting` once per job."""
        world, now = self._world, trio.current_time()
        if now < world.troubles_ended_at:
            return
        machines = [w for w in world.workers.values() if w.alive]
        self._count_placed_tasks(machines)
        waiting_since: dict[str, dict[str, float]] = {}
        for uid in sorted(world.checker.accepted - set(world.checker.final)):
            if not self._has_runnable_task(uid):
                continue
            earlier_since = self._since.get(uid, {})
            waiting_since[uid] = {
                w.name: earlier_since.get(w.name, now) for w in machines if self._fits(w, uid)
            }
            for name, since in waiting_since[uid].items():
                # `since` is the first check that found the capacity free, so a violation takes
                # 19 intervals between checks: one more than fit into the limit.
                if now - since > MAX_WAIT_BESIDE_CAPACITY_S:
                    world.checker.report_violation(
                        "left_waiting", f"{uid} for {now - since:.0f} s beside {name}"
                    )
                    waiting_since[uid] = {name: float("inf")}
                    break
        self._since = waiting_since

    def _count_placed_tasks(self, machines: list[Worker]) -> None:
        """Counts tasks and free resources of the machines; tasks that fetch their image occupy
        resources as well."""
        specs = self._world.checker.specs
        self._placed_tasks: set[str] = set()
        self._used_cpus: dict[str, float] = defaultdict(float)
        self._free_resources: dict[str, list[float]] = {}
        self._tasks_by_zone: dict[str, dict[str, int]] = defaultdict(lambda: defaultdict(int))
        for w in machines:
            free = self._free_resources[w.name] = [w.type.cpus, w.type.memory_gb, w.type.gpus]
            for (task, _), attempt in w.attempts.items():
                uid = task.rpartition("/")[0]
                if attempt.state == "ended" or (spec := specs.get(uid)) is None:
                    continue
                self._placed_tasks.add(task)
                self._used_cpus[spec["crew"]] += spec["cpus"]
                self._tasks_by_zone[uid][w.zone] += 1
                for n, amount in enumerate(_resources(spec)):
                    free[n] -= amount

    def _has_runnable_task(self, uid: str) -> bool:
        """Whether some task of the job waits only for a machine. False for jobs that were
        cancelled or fail everywhere, and for gangs, which need capacity for all tasks at once."""
        world, checker = self._world, self._world.checker
        spec = checker.specs[uid]
        needs = checker.transitive_needs(uid)
        if (
            spec.get("broken")
            or spec.get("shape") == "gang"
            or {uid, *needs} & (checker.cancel_requested | set(checker.cancelled_at))
        ):
            return False
        team = next(t for t in world.settings[0].settings.teams if t.name == spec["crew"])
        if self._used_cpus[team.name] + spec["cpus"] > team.cpu_limit + ROUNDING_TOLERANCE:
            return False
        done = all(
            f"{name}/{i}" in world.results
            for name in needs
            for i in range(checker.specs[name]["pieces"])
        )
        return done and any(
            task not in self._placed_tasks and task not in world.results
            for task in (f"{uid}/{i}" for i in range(spec["pieces"]))
        )

    def _fits(self, worker: Worker, uid: str) -> bool:
        spec, zones = self._world.checker.specs[uid], self._tasks_by_zone[uid]
        free = self._free_resources[worker.name]
        return (
            _usable(worker)
            and all(
                amount <= n + ROUNDING_TOLERANCE
                for amount, n in zip(_resources(spec), free, strict=True)
            )
            and worker.type.name in (spec.get("builds") or [worker.type.name])
            and worker.zone == (spec.get("district") or worker.zone)
            and (bool(spec["loaners"]) or not worker.spot)
            and (not spec["together"] or not zones or worker.zone in zones)
            and (not spec["spread"] or zones.get(worker.zone, 0) < (spec["pieces"] + 1) // 2)
        )


def _resources(spec: dict[str, Any]) -> tuple[float, float, float]:
    return spec["cpus"], spec.get("memoryGb", 0.0), spec.get("cards", 0.0)
