"""Four one-task jobs arrive per second for minutes, a quarter of which are cancelled, at the
limits of a small installation: five controllers share 25 changes per second, with at most 12 in a
transaction."""

import math
from collections import Counter
from collections.abc import Awaitable, Callable
from functools import partial
from pathlib import Path
from typing import Any, NamedTuple

import pytest
import trio
from conftest import job_body, settings_text

from ryegauge.bookkeeping.budget import RESERVE_DEFAULT, RESERVE_INTERACTIVE, RESERVE_URGENT, Budget
from ryegauge.config import Settings, load
from ryegauge.emulator.fleet import FleetType
from ryegauge.emulator.state import StateService
from ryegauge.emulator.world import World, run_simulated
from ryegauge.transport.http import ConnectionRefused, Reply, Unreachable, decode

ARRIVAL_INTERVAL_S, FIRST_ARRIVAL_S = 0.25, 30.0
JOB_COUNT = 240
MAX_ACCEPT_S, SETTLE_S, MAX_CANCEL_S = 0.8, 10.0, 2.0
FLEET = (FleetType("small", 8.0, 32.0, ["a", "b"], 0.4, 0.1, 8.0, 20.0, 1.0, steady=4, spot=12),)
Script = Callable[["SmallJobs"], Awaitable[None]]

# Changes per job: its record, its assignment, and the end or return of its task; one more for the
# quarter that is cancelled. Once the replica is full, three more archive it: its outcome is
# written, its record and its assignment are deleted. Changes repeated after a crash or a
# transaction without an answer are fewer than one for every fourth job.
CHANGES_PER_JOB, ARCHIVE_CHANGES_PER_JOB, REPEATED_CHANGES_PER_JOB = 3.25, 3.0, 0.25


class UserRequest(NamedTuple):
    """A request that a user sent, with the HTTP status of the answer (0: none)."""

    at: float
    took_s: float
    what: str
    status: int
    uid: str


def kind_of(event: dict[str, Any]) -> str:
    """The kind of a change, by its key and value."""
    key: str = event.get("write") or event["delete"]
    data, is_job, is_assignment = event.get("data"), key.startswith("r/j/"), key.count("/") == 3
    match is_job, is_assignment, data is None:
        case True, False, False:
            return "cancellation" if "x" in data else "submission"
        case True, True, False:
            return "assignment" if data["t"] else "outcome"
        case True, is_assignment, True:
            return "deletion" if is_assignment else "archive"
    return "archive" if key.startswith("f/") else "role"


class CountingState(StateService):
    """Records the kind and time of each change, and of each request refused with 429."""

    def __init__(self) -> None:
        super().__init__(value_kb=4.0, rps=90.0, write_rps=25.0)
        self.changes: list[tuple[float, str]] = []
        self.refused: list[tuple[float, str]] = []  # with 429

    def _append_event(self, event: dict[str, Any]) -> None:
        self.changes.append((trio.current_time(), kind_of(event)))
        super()._append_event(event)

    async def handle(self, method: str, target: str, body: bytes) -> Reply:
        """Counts requests refused with 429."""
        reply = await super().handle(method, target, body)
        if reply.status == 429:
            what = target.partition("?")[0].rpartition("/")[2]
            if what == "multi":
                what = kind_of((decode(body)["apply"] or [{"write": "no change"}])[0])
            self.refused.append((trio.current_time(), what))
        return reply


class SmallJobs(World):
    """A simulated world whose users submit small jobs and record what they are answered."""

    def __init__(self, settings: list[Settings], seed: int) -> None:
        self.counts = CountingState()
        super().__init__(settings, seed, fleet=FLEET, state=self.counts, resubmits=0.0)
        self.user_requests: list[UserRequest] = []
        self.submitted: dict[str, tuple[float, float]] = {}  # when first sent and when accepted
        self.troubles: list[tuple[float, float]] = []

    async def send_request(
        self, what: str, uid: str, target: str, body: Any = None
    ) -> tuple[int, Any, float]:
        """Sends a user's request, through a load balancer that tries three controllers. Returns
        (status, answer, seconds after which to retry)."""
        began_at, status, answer, after_s = trio.current_time(), 0, None, None
        method = "GET" if what == "poll" else "POST"
        for address in self.rng.sample(list(self.controllers.values()), 3):
            try:
                status, answer, after_s = await self.network.call(
                    "users", address, method, target, body, 2.0 if what == "poll" else 5.0
                )
            except ConnectionRefused:
                continue
            except Unreachable:
                status = 0
            break
        self.user_requests.append(
            UserRequest(began_at, trio.current_time() - began_at, what, status, uid)
        )
        self.checker.answered(uid, status, answer, what, began_at)
        return status, answer, max(1.0, after_s or 0.0)

    async def small_job(self, body: dict[str, Any], at: float, cancel_after: float | None) -> None:
        """Submits a job at `at` and retries for 60 s, each time after a second or as long as the
        answer says; then cancels it, if wanted, and polls it until it is over."""
        uid, final = body["uid"], self.checker.final
        await trio.sleep(at)
        self.checker.specs[uid] = {**body, "really": 4.0, "broken": False}
        while trio.current_time() < at + 60.0 and uid not in self.checker.accepted:
            _, _, after_s = await self.send_request("submit", uid, "/v1/jobs", body)
            if uid not in self.checker.accepted:
                await trio.sleep(after_s)
        if uid not in self.checker.accepted:
            return
        self.submitted[uid] = at, trio.current_time()
        if cancel_after is not None:
            await trio.sleep(cancel_after)
            self.checker.cancel_requested.add(uid)
            while uid not in final:
                _, _, after_s = await self.send_request("cancel", uid, f"/v1/jobs/{uid}/cancel")
                if uid not in final:
                    await trio.sleep(after_s)
        while uid not in final:
            await trio.sleep(self.rng.uniform(4.0, 6.0))
            await self.send_request("poll", uid, f"/v1/jobs/{uid}")

    def is_calm(self, at: float) -> bool:
        """Whether there is no trouble at the time, and there was none in the ten seconds before."""
        return not any(since <= at < until + SETTLE_S for since, until in self.troubles)

    def cancellations(self) -> list[tuple[float, float]]:
        """For each cancellation, when it was first requested and how long it took until it was
        confirmed (inf: never)."""
        first: dict[str, float] = {}
        answered: dict[str, float] = {}
        for a in self.user_requests:
            if a.what == "cancel":
                first.setdefault(a.uid, a.at)
                if a.status == 200:
                    answered.setdefault(a.uid, a.at + a.took_s)
        return [(at, answered.get(uid, math.inf) - at) for uid, at in first.items()]

    def accepted_in_time_ratio(self) -> float:
        """Share of the submissions first sent outside of troubles that were accepted in time."""
        calm_uids = [
            uid for uid, spec in self.checker.specs.items() if self.is_calm(float(spec["first"]))
        ]
        return sum(
            uid in self.submitted
            and self.submitted[uid][1] - self.submitted[uid][0] <= MAX_ACCEPT_S
            for uid in calm_uids
        ) / len(calm_uids)


def some_settings(tmp_path: Path, memory_mb: float) -> list[Settings]:
    """Settings of five controllers at the limits of a small installation."""
    changes = {
        "report_s = 1.0": "report_s = 2.5",
        "lease_s = 10.0": "lease_s = 14.0",
        "cancel_s = 35.0": "cancel_s = 39.0",
        "rps = 100.0": "rps = 90.0",
        "write_rps = 40.0": "write_rps = 25.0",
        "value_kb = 16.0": "value_kb = 4.0",
        "cpus_max = 32.0": "cpus_max = 64.0",
        "cpus_max = 48.0": "cpus_max = 64.0",
        "memory_mb = 106.0": f"memory_mb = {memory_mb}",
    }
    result = []
    for n in range(5):
        text = settings_text(n, 5)
        for old, new in changes.items():
            assert old in text
            text = text.replace(old, new, 1)
        path = tmp_path / f"{n}.toml"
        path.write_text(text)
        result.append(load(path))
    return result


def play_small(
    tmp_path: Path,
    script: Script,
    *,
    seed: int = 1,
    count: int = JOB_COUNT,
    after_s: float = 40.0,
    memory_mb: float = 106.0,
) -> SmallJobs:
    """Plays a day of `count` jobs; `script` causes the troubles."""
    worlds: list[SmallJobs] = []

    async def main() -> None:
        world = SmallJobs(some_settings(tmp_path, memory_mb), seed)
        worlds.append(world)
        users = []
        for i in range(count):
            at = FIRST_ARRIVAL_S + ARRIVAL_INTERVAL_S * i
            body = job_body(
                f"wk-{i + 1:06d}",
                pieces=1,
                cpus=0.5,
                memoryGb=1.0,
                imageGb=0.2,
                expectS=4.0,
                crew=("red", "blue")[i % 2],
                urgency=("normal", "best_effort", "high")[i % 3],
                first=at,
            )
            cancel_after = world.rng.uniform(0.2, 6.0) if i % 4 == 0 else None
            users.append(partial(world.small_job, body, at, cancel_after))
        await world.play(users, script, FIRST_ARRIVAL_S + ARRIVAL_INTERVAL_S * count + after_s)

    run_simulated(main, seed)
    return worlds[0]


async def no_trouble(world: SmallJobs) -> None:
    """A day without failures."""


async def outage_or_crash(world: SmallJobs, *, outage_s: float, leader: bool = False) -> None:
    """An outage of the state service, if it has a length, and a crash of the leader at its end."""
    await trio.sleep(FIRST_ARRIVAL_S + 20.0)
    began_at = trio.current_time()
    if outage_s:
        world.state.outage = True
        await trio.sleep(outage_s)
    if leader:
        world.crash(world.leader_number or 0)
    if outage_s:
        world.state.end_outage()
    world.troubles.append((began_at, trio.current_time()))


async def late_commits(world: SmallJobs, **how: Any) -> None:
    """For 20 s, three of ten transactions get no answer and are executed late, or at once."""
    await trio.sleep(FIRST_ARRIVAL_S + 20.0)
    began_at = trio.current_time()
    with world.late_writes(0.3, **how):
        await trio.sleep(20.0)
    world.troubles.append((began_at, trio.current_time()))


def changes_of(world: SmallJobs) -> Counter[str]:
    """Number of changes by kind."""
    return Counter(kind for _, kind in world.counts.changes)


def check_safety_and_times(world: SmallJobs, count: int) -> None:
    """No safety rule is broken, all jobs are accepted and end, and answers come in time outside of
    troubles."""
    assert world.checker.broken == []
    assert len(world.submitted) == count
    assert world.unfinished == set()
    # Each job has at least its record, so the upper limits are checked on recorded changes.
    assert changes_of(world)["submission"] >= count
    assert "extend" not in {what for _, what in world.counts.refused}
    refused = [a for a in world.user_requests if a.what == "submit" and a.status not in (200, 201)]
    assert [a for a in refused if world.is_calm(a.at)] == []
    assert world.accepted_in_time_ratio() >= 0.98
    trouble_ended_at = world.troubles[-1][1] if world.troubles else 0.0
    cancel_times_s = [
        took_s for requested_at, took_s in world.cancellations() if requested_at >= trouble_ended_at
    ]
    assert len(cancel_times_s) > 10
    assert max(cancel_times_s) <= MAX_CANCEL_S


TROUBLES: dict[str, Script] = {
    "no trouble": no_trouble,
    "outage": partial(outage_or_crash, outage_s=18.0),
    "leader crash": partial(outage_or_crash, outage_s=0.0, leader=True),
    "outage and leader crash": partial(outage_or_crash, outage_s=18.0, leader=True),
    "late commits": late_commits,
    "unanswered commits": partial(late_commits, at_once=True),
}


@pytest.mark.parametrize("name", TROUBLES)
def test_small_jobs_are_accepted_and_end(tmp_path: Path, name: str) -> None:
    """Accepted in time, ended, and within the number of changes per job, under each trouble."""
    world = play_small(tmp_path, TROUBLES[name])
    check_safety_and_times(world, JOB_COUNT)
    assert changes_of(world).total() <= JOB_COUNT * (CHANGES_PER_JOB + REPEATED_CHANGES_PER_JOB)


def test_archiving_comes_last_after_an_outage(tmp_path: Path) -> None:
    """With a full replica there is more to write, including the archive, than the limit allows.
    After an outage archiving comes after the other changes."""
    world = play_small(tmp_path, TROUBLES["outage"], memory_mb=8.0)
    check_safety_and_times(world, JOB_COUNT)
    assert changes_of(world).total() <= JOB_COUNT * (
        CHANGES_PER_JOB + REPEATED_CHANGES_PER_JOB + ARCHIVE_CHANGES_PER_JOB
    )
    assert changes_of(world)["archive"] > JOB_COUNT / 2
    trouble_ended_at = world.troubles[-1][1]
    early_changes = Counter(
        kind for at, kind in world.counts.changes if trouble_ended_at <= at < trouble_ended_at + 6.0
    )
    assert early_changes["archive"] + early_changes["deletion"] < early_changes["assignment"] / 2


def test_waiting_takers_get_refills_beside_single_takes() -> None:
    """A caller that takes single changes again and again does not get every refill of a budget
    for which others wait."""
    take_times: list[tuple[str, float]] = []

    async def main() -> None:
        budget = Budget(5.0, 10.0)

        async def take(name: str, cost: float, reserve: float) -> None:
            await budget.take(cost, reserve)
            take_times.append((name, trio.current_time()))

        async def take_singles() -> None:
            while True:
                await take("single", 1.0, RESERVE_INTERACTIVE)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(take_singles)
            await trio.sleep(3.0)
            nursery.start_soon(take, "usual", 1.0, RESERVE_DEFAULT)
            nursery.start_soon(take, "group", 4.0, RESERVE_INTERACTIVE)
            nursery.start_soon(take, "claim", 6.0, RESERVE_URGENT)
            await trio.sleep(6.0)
            nursery.cancel_scope.cancel()

    run_simulated(main, 1)
    at = dict(take_times)
    assert at["claim"] < at["group"] < at["single"]
    assert at["claim"] < 3.0 + 6.0 / 5.0 + 0.7  # six refill at 5 per s; it tries every 0.6 s
    assert "usual" not in at  # nothing is left for it
