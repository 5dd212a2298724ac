"""Scheduling policies: the order compared with a simple reference model, the guarantees of ageing
(aged tasks stay within the reserved share, and no job starves), and preemption."""

import math
import random

from hypothesis import given
from hypothesis import strategies as st

from ryegauge.ordering.ageing import Ageing
from ryegauge.ordering.guarantee_first import GuaranteeFirst
from ryegauge.ordering.model import (
    AssignedTasks,
    JobPosition,
    PreemptionRequest,
    RunningTasks,
    TeamHeadroom,
    WaitingJob,
)

NOW = 100_000.0
PATIENCE_S, FACTOR, FLOOR, CEILING = 100.0, 2.0, 0.1, 0.3


def ageing(reserve_s: float = 0.0) -> Ageing:
    return Ageing(
        patience_s=PATIENCE_S,
        factor=FACTOR,
        floor=FLOOR,
        ceiling=CEILING,
        reserve_s=reserve_s,
        stop_after_s=1.0,
    )


def job(uid: str, rank: int = 2, age: float = 0.0, **changes: object) -> WaitingJob:
    fields: dict[str, object] = {
        "uid": uid,
        "team": "red",
        "rank": rank,
        "latest_finish": math.inf,
        "submitted_at": NOW - age,
        "ready_at": NOW - age,
        "within_guarantee": False,
        "open_task_count": 4,
        "served_task_count": 0,
        "weight": 0.05,
        "cpus": 1.0,
        "gpus": 0.0,
    }
    return WaitingJob(**{**fields, **changes})  # type: ignore[arg-type]


jobs_strategy = st.lists(
    st.tuples(
        st.integers(0, 3),
        st.sampled_from([0.0, 50.0, 150.0, 450.0, 900.0, 5000.0]),
        st.integers(1, 5),
        st.integers(0, 3),
        st.sampled_from([0.02, 0.1, 0.25, 0.5]),
        st.sampled_from(["red", "blue", "full"]),
        st.booleans(),
        st.booleans(),
        st.booleans(),
        st.sampled_from([NOW + 10, NOW + 500, math.inf]),
    ),
    max_size=10,
)
assigned_strategy = st.lists(
    st.tuples(
        st.integers(0, 3),
        st.sampled_from([10.0, 250.0, 1000.0, 3000.0]),
        st.integers(0, 4),
        st.integers(1, 6),
        st.sampled_from([0.01, 0.05, 0.2]),
    ),
    max_size=4,
)
HEADROOM = {
    "red": TeamHeadroom(8.0, 0.0),
    "blue": TeamHeadroom(3.0, 0.0),
    "full": TeamHeadroom(0.0, 0.0),
}


def waiting_jobs(drawn: list[tuple]) -> list[WaitingJob]:
    return [
        job(
            f"wk-{n:03d}",
            rank,
            age,
            open_task_count=count,
            served_task_count=served_task_count,
            weight=weight,
            team=team,
            within_guarantee=within_guarantee,
            starts_together=starts_together and not served_task_count,
            zone_dependent=zone_dependent,
            latest_finish=latest_finish,
        )
        for n, (
            rank,
            age,
            count,
            served_task_count,
            weight,
            team,
            within_guarantee,
            starts_together,
            zone_dependent,
            latest_finish,
        ) in enumerate(drawn)
    ]


def assigned_tasks(drawn: list[tuple]) -> list[AssignedTasks]:
    return [AssignedTasks(rank, NOW - age, done, count, w) for rank, age, done, count, w in drawn]


def reference_order(
    waiting: list[WaitingJob], assigned: list[AssignedTasks], headroom: dict[str, TeamHeadroom]
) -> list[tuple[str, int | None]]:
    """Reference model of the order: examines every due task again for each position."""
    patience = {rank: PATIENCE_S * FACTOR**rank for rank in range(4)}

    def tag(ready_at: float, rank: int, n: int) -> float:
        return ready_at + patience[rank] * (n + 1)

    placeable = [
        j
        for j in waiting
        if headroom[j.team].cpus + 1e-6 >= j.cpus * (j.open_task_count if j.starts_together else 1)
    ]
    top_rank = min((j.rank for j in placeable), default=0)
    burst = sum(j.weight * j.open_task_count for j in placeable if j.rank <= 1) >= CEILING
    assigned_tags = [
        (tag(h.ready_at, h.rank, h.done_count + i), h.weight)
        for h in assigned
        if h.rank > top_rank
        for i in range(h.assigned_count)
    ]
    placed: dict[str, int] = {}
    free_cpus = {team: s.cpus for team, s in headroom.items()}
    skipped: set[str] = set()
    admitted = 0.0
    share = None
    while True:
        due = []
        for j in waiting:
            n = placed.get(j.uid, 0)
            tag_at = tag(j.ready_at, j.rank, j.served_task_count + n)
            if tag_at <= NOW and n < j.open_task_count and j.uid not in skipped:
                due.append((tag_at, j.uid, j))
        if not due:
            break
        tag_at, uid, j = min(due)
        if burst and j.rank > top_rank and NOW - tag_at < patience[j.rank]:
            skipped.add(uid)
            continue
        tasks = j.open_task_count if j.starts_together else 1
        if free_cpus[j.team] + 1e-6 < j.cpus * tasks:
            skipped.add(uid)
            continue
        if j.rank > top_rank:
            if share is None:
                share = FLOOR + (CEILING - FLOOR) * min(1.0, (NOW - tag_at) / patience[j.rank])
            used = admitted + sum(w for when, w in assigned_tags if when <= tag_at)
            if used > 1e-9 and used + j.weight * tasks > share + 1e-9:
                break
            admitted += j.weight * tasks
        free_cpus[j.team] -= j.cpus * tasks
        placed[uid] = placed.get(uid, 0) + tasks
    positions: list[tuple[str, int | None]] = list(placed.items())
    rest = [
        j
        for j in waiting
        if placed.get(j.uid, 0) < j.open_task_count and not (j.zone_dependent and j.uid in placed)
    ]
    while rest:
        first = rest[0]
        for j in rest[1:]:
            if goes_before(j, first):
                first = j
        positions.append((first.uid, None))
        rest.remove(first)
    return positions


def goes_before(a: WaitingJob, b: WaitingJob) -> bool:
    """The reference model's order of jobs that are not placed by age."""
    if a.rank != b.rank:
        return a.rank < b.rank
    if a.within_guarantee != b.within_guarantee:
        return a.within_guarantee
    if a.latest_finish != b.latest_finish:
        return a.latest_finish < b.latest_finish
    if a.ready_at != b.ready_at:
        return a.ready_at < b.ready_at
    return a.uid < b.uid


def positions(
    policy: Ageing,
    waiting: list[WaitingJob],
    assigned: list[AssignedTasks],
    headroom: dict[str, TeamHeadroom] = HEADROOM,
    now: float = NOW,
) -> list[tuple[str, int | None]]:
    return [(e.uid, e.max_tasks) for e in policy.order(waiting, assigned, headroom, now)]


@given(jobs_strategy, assigned_strategy, st.randoms(use_true_random=False))
def test_order_matches_the_reference_model(
    drawn: list[tuple], drawn_assigned: list[tuple], rng: random.Random
) -> None:
    """The order is that of the reference model, whatever the order of the input."""
    waiting, assigned = waiting_jobs(drawn), assigned_tasks(drawn_assigned)
    expected = reference_order(waiting, assigned, HEADROOM)
    assert positions(ageing(), waiting, assigned) == expected
    rng.shuffle(waiting)
    rng.shuffle(assigned)
    assert positions(ageing(), waiting, assigned) == expected
    assert {uid for uid, _ in expected} == {j.uid for j in waiting}


@given(jobs_strategy, assigned_strategy)
def test_rank_alone_decides_beyond_the_reserved_share(
    drawn: list[tuple], drawn_assigned: list[tuple]
) -> None:
    """The first guarantee: tasks that are not due by age never go before a more urgent rank, and
    those that go first because of their age stay within the ceiling, except for a single one."""
    waiting = waiting_jobs(drawn)
    by_uid = {j.uid: j for j in waiting}
    got = positions(ageing(), waiting, assigned_tasks(drawn_assigned))
    ranks = [by_uid[uid].rank for uid, max_tasks in got if max_tasks is None]
    assert ranks == sorted(ranks)
    first = [(by_uid[uid], max_tasks) for uid, max_tasks in got if max_tasks is not None]
    top_rank = min(
        (
            j.rank
            for j in waiting
            if j.team != "full"
            and HEADROOM[j.team].fits(j, j.open_task_count if j.starts_together else 1)
        ),
        default=0,
    )
    first = [(j, max_tasks) for j, max_tasks in first if j.rank > top_rank]
    units = [j.weight * j.open_task_count if j.starts_together else j.weight for j, _ in first]
    assert sum(j.weight * max_tasks for j, max_tasks in first) <= max([CEILING, *units[:1]]) + 1e-6
    for j, _ in first:
        assert j.ready_at + PATIENCE_S * FACTOR**j.rank * (1 + j.served_task_count) <= NOW


@given(jobs_strategy, assigned_strategy, st.integers(0, 9), st.sampled_from([60.0, 500.0]))
def test_a_longer_wait_never_delays_a_job(
    drawn: list[tuple], drawn_assigned: list[tuple], which: int, extra_wait_s: float
) -> None:
    """An earlier ready time never moves a job back in the order."""
    waiting, assigned = waiting_jobs(drawn), assigned_tasks(drawn_assigned)
    if not waiting:
        return
    chosen = waiting[which % len(waiting)]
    older = [j._replace(ready_at=j.ready_at - extra_wait_s) if j is chosen else j for j in waiting]

    def position(waiting_jobs: list[WaitingJob]) -> int:
        order = list(dict.fromkeys(uid for uid, _ in positions(ageing(), waiting_jobs, assigned)))
        return order.index(chosen.uid)

    assert position(older) <= position(waiting)


@given(jobs_strategy, assigned_strategy)
def test_a_team_at_its_limit_changes_nothing_for_the_others(
    drawn: list[tuple], drawn_assigned: list[tuple]
) -> None:
    """Jobs of a team that has no headroom are never placed by age and do not affect others."""
    waiting, assigned = waiting_jobs(drawn), assigned_tasks(drawn_assigned)
    others = [j for j in waiting if j.team != "full"]
    full = {j.uid for j in waiting} - {j.uid for j in others}
    got = positions(ageing(), waiting, assigned)
    assert [entry for entry in got if entry[0] not in full] == positions(ageing(), others, assigned)
    assert all(max_tasks is None for uid, max_tasks in got if uid in full)


def test_job_submitted_ahead_of_the_local_clock_has_no_due_task() -> None:
    """The clock of the controller that accepted a job may be ahead by up to twice the clock error.
    The job's age is then negative, and must not make any of its tasks due."""
    fresh = job("wk-1", rank=0, age=-0.01)
    assert ageing().due_count(fresh.ready_at, 0, NOW) == 0
    assert positions(ageing(reserve_s=10.0), [fresh], []) == [("wk-1", None)]
    old = job("wk-2", age=500.0)
    steps = [positions(ageing(), [old, fresh], [], now=NOW + d) for d in (0.0, -0.01, 0.01)]
    assert steps[0] == steps[1] == steps[2] == [("wk-2", 1), ("wk-1", None), ("wk-2", None)]


def test_preemption_keeps_the_tag_and_resubmission_resets_it() -> None:
    """A preempted task no longer counts as served, so its tag is the same as before; done tasks
    stay counted. A job that is submitted again has no age."""
    policy = ageing()
    urgent = job("wk-9", rank=0)
    tag_before = policy.tag(NOW - 900.0, 2, 1)
    served = job("wk-1", age=900.0, served_task_count=2)
    preempted = job("wk-1", age=900.0, served_task_count=1)
    assert policy.tag(served.ready_at, 2, served.served_task_count) > tag_before
    assert policy.tag(preempted.ready_at, 2, preempted.served_task_count) == tag_before
    later_job = job("wk-0", age=450.0)
    assert positions(policy, [preempted, later_job, urgent], [])[0] == ("wk-1", 1)
    assert positions(policy, [served, later_job, urgent], [])[0] == ("wk-0", 1)
    resubmitted = job("wk-2", age=0.0)
    assert positions(policy, [resubmitted, later_job, urgent], [])[0] == ("wk-0", 1)


@given(st.integers(0, 400), st.integers(1, 3), st.integers(1, 4))
def test_no_job_starves_under_an_endless_flood(seed: int, rank: int, low_jobs: int) -> None:
    """The second guarantee, on a simulated fleet of 20 slots: urgent jobs that could use the whole
    fleet always wait, and yet every job of a lower rank starts a task within a bound of twice its
    patience plus the run times of due tasks with earlier tags."""
    rng = random.Random(seed)
    policy = ageing()
    slots, run_s, step = 20, 25.0, 5.0
    patience = policy.patience_s(rank)
    low_ranked = {f"wk-{n}": NOW + rng.uniform(0.0, 2 * patience) for n in range(low_jobs)}
    started: dict[str, float] = {}
    in_progress: list[tuple[float, str]] = []
    served_task_count = dict.fromkeys(low_ranked, 0)
    done = dict.fromkeys(low_ranked, 0)
    urgent = 0
    now = NOW
    # The reserved share is at least two slots. Each job ahead of the last one has at most one
    # due task per patience that has passed.
    tasks_ahead = low_jobs * (3 + 1)
    # Urgent jobs wait all the time: a burst, to which each task yields for one patience.
    bound = 2 * patience + run_s * math.ceil(tasks_ahead / 2) + 2 * run_s + 2 * step
    while now < NOW + 4 * patience + bound:
        for end, uid in list(in_progress):
            if end <= now:
                in_progress.remove((end, uid))
                if uid in low_ranked:
                    done[uid] += 1
        waiting = [
            job(
                uid,
                rank,
                ready_at=ready,
                served_task_count=served_task_count[uid],
                open_task_count=50,
                weight=1 / slots,
            )
            for uid, ready in low_ranked.items()
            if ready <= now
        ]
        waiting += [
            job(f"wk-9{n:06d}", 0, ready_at=now, open_task_count=50, weight=1 / slots)
            for n in range(urgent, urgent + 3)
        ]
        urgent += 3
        assigned = [
            AssignedTasks(
                rank, low_ranked[uid], done[uid], served_task_count[uid] - done[uid], 1 / slots
            )
            for uid in low_ranked
            if served_task_count[uid] > done[uid]
        ]
        free = slots - len(in_progress)
        for uid, max_tasks, _ in policy.order(
            waiting, assigned, {"red": TeamHeadroom(1e6, 0.0)}, now
        ):
            for _ in range(min(free, 50 if max_tasks is None else max_tasks)):
                in_progress.append((now + run_s, uid))
                free -= 1
                if uid in low_ranked:
                    served_task_count[uid] += 1
                    started.setdefault(uid, now)
        low_ranked_running = sum(uid in low_ranked for _, uid in in_progress)
        assert low_ranked_running <= CEILING * slots + 1e-6
        now += step
    for uid, ready in low_ranked.items():
        assert started.get(uid, math.inf) - ready <= bound


def test_each_of_20000_waiting_jobs_is_examined_once() -> None:
    """The cost of a round must not grow with the square of the number of waiting jobs."""

    class Counting(Ageing):
        examined = 0

        def tag(self, ready_at: float, rank: int, n: int) -> float:
            Counting.examined += 1
            return super().tag(ready_at, rank, n)

    policy = Counting(
        patience_s=PATIENCE_S,
        factor=FACTOR,
        floor=FLOOR,
        ceiling=CEILING,
        reserve_s=50.0,
        stop_after_s=1.0,
    )
    rng = random.Random(1)
    waiting = [
        job(f"wk-{n:05d}", rng.randrange(4), rng.uniform(0.0, 4000.0), weight=0.001)
        for n in range(20_000)
    ]
    got = policy.order(waiting, [], {"red": TeamHeadroom(1e6, 0.0)}, NOW)
    first = sum(e.max_tasks or 0 for e in got)
    by_uid = {j.uid: j.rank for j in waiting}
    counted = sum(e.max_tasks or 0 for e in got if by_uid[e.uid] > 0)
    assert 100 <= counted <= 300
    assert Counting.examined <= len(waiting) + 3 * first
    assert len({e.uid for e in got}) == len(waiting)


def test_capacity_reservations_alternate_with_equal_pauses() -> None:
    """Capacity is reserved for `reserve_s`, then not for as long, counted from the due time."""
    policy = ageing(reserve_s=40.0)

    def hold(age: float) -> float:
        waiting_jobs = [job("wk-1", age=age), job("wk-2", rank=0)]
        return policy.order(waiting_jobs, [], HEADROOM, NOW)[0].reserve_s

    due = policy.patience_s(2)
    assert [hold(due), hold(due + 30.0), hold(due + 40.0), hold(due + 79.0)] == [40.0, 10.0, 0, 0]
    assert hold(due + 80.0) == 40.0


# -- preemption ----------------------------------------------------------------------------


def running_tasks(**changes: object) -> RunningTasks:
    fields: dict[str, object] = {
        "team": "blue",
        "rank": 2,
        "within_guarantee": False,
        "team_over_guarantee": False,
        "recently_started": False,
        "elapsed_s": 20.0,
        "left_s": 30.0,
    }
    return RunningTasks(**{**fields, **changes})  # type: ignore[arg-type]


def test_urgent_jobs_preempt_less_urgent_tasks_not_protected_by_age() -> None:
    policy = ageing()
    request = PreemptionRequest("red", 1, False, 5.0)
    assert policy.may_request_preemption(request, 2)
    assert policy.may_preempt(request, running_tasks())
    assert policy.may_preempt(request, running_tasks(within_guarantee=True))
    assert not policy.may_preempt(request, running_tasks(is_protected_by_age=True))
    assert not policy.may_preempt(request, running_tasks(rank=1))
    assert not policy.may_preempt(request, running_tasks(left_s=0.5))
    assert not policy.may_request_preemption(request._replace(waited_s=0.5), 2)
    assert not policy.may_request_preemption(request._replace(rank=2), 3)
    # A guarantee preempts nothing more urgent: the capacity would go back to that at once.
    guarantee_request = PreemptionRequest("red", 2, True, 500.0)
    over_guarantee = running_tasks(team_over_guarantee=True, recently_started=True)
    assert policy.may_preempt(guarantee_request, over_guarantee)
    assert not policy.may_preempt(guarantee_request, over_guarantee._replace(rank=1))
    assert not policy.may_preempt(guarantee_request, over_guarantee._replace(team="red"))


def test_job_is_protected_by_age_up_to_its_due_tasks() -> None:
    policy = ageing()
    two = 2 * policy.patience_s(2) + 1.0
    assert policy.is_protected_by_age(AssignedTasks(2, NOW - two, 0, 2, 0.1), NOW)
    assert policy.is_protected_by_age(AssignedTasks(2, NOW - two, 1, 1, 0.1), NOW)
    assert not policy.is_protected_by_age(AssignedTasks(2, NOW - two, 1, 2, 0.1), NOW)
    assert not policy.is_protected_by_age(AssignedTasks(2, NOW - 10.0, 0, 1, 0.1), NOW)


# -- the policy `settled` ------------------------------------------------------------------


@given(jobs_strategy)
def test_guarantee_first_order(drawn: list[tuple]) -> None:
    waiting = waiting_jobs(drawn)
    expected = sorted(
        waiting,
        key=lambda j: (not j.within_guarantee, j.rank, j.latest_finish, j.submitted_at, j.uid),
    )
    got = GuaranteeFirst().order(waiting, [], HEADROOM, NOW)
    assert got == [JobPosition(j.uid) for j in expected]


def test_guarantee_first_preempts_recent_tasks_two_ranks_below() -> None:
    policy = GuaranteeFirst()
    urgent = PreemptionRequest("red", 0, False, 0.0)
    assert policy.may_request_preemption(urgent, 2)
    assert not policy.may_request_preemption(urgent, 1)
    assert policy.may_preempt(urgent, running_tasks(rank=2))
    assert not policy.may_preempt(urgent, running_tasks(rank=1))
    assert not policy.may_preempt(urgent, running_tasks(rank=3, within_guarantee=True))
    assert not policy.preempts_long_running
