"""The order of jobs against a slow plain model, and the two promises of ageing."""

import math
import random

from hypothesis import given
from hypothesis import strategies as st

from ryegauge.ordering.ageing import Ageing
from ryegauge.ordering.guarantee_first import GuaranteeFirst
from ryegauge.ordering.model import (
    AssignedTasks,
    PreemptionRequest,
    QueueEntry,
    RunningTasks,
    TeamHeadroom,
    WaitingJob,
)

NOW = 100_000.0
P, FACTOR, FLOOR, CEILING = 100.0, 2.0, 0.1, 0.3


def ageing(hold_s: float = 0.0) -> Ageing:
    return Ageing(
        patience_s=P, factor=FACTOR, floor=FLOOR, ceiling=CEILING, hold_s=hold_s, stop_after_s=1.0
    )


def job(uid: str, rank: int = 2, age: float = 0.0, **changes: object) -> WaitingJob:
    fields: dict[str, object] = {
        "uid": uid,
        "team": "red",
        "rank": rank,
        "finish": math.inf,
        "submitted_at": NOW - age,
        "ready_at": NOW - age,
        "within_guarantee": False,
        "open_task_count": 4,
        "served": 0,
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
holdings_strategy = st.lists(
    st.tuples(
        st.integers(0, 3),
        st.sampled_from([10.0, 250.0, 1000.0, 3000.0]),
        st.integers(0, 4),
        st.integers(1, 6),
        st.sampled_from([0.01, 0.05, 0.2]),
    ),
    max_size=4,
)
SPARE = {
    "red": TeamHeadroom(8.0, 0.0),
    "blue": TeamHeadroom(3.0, 0.0),
    "full": TeamHeadroom(0.0, 0.0),
}


def waiting_of(drawn: list[tuple]) -> list[WaitingJob]:
    return [
        job(
            f"wk-{n:03d}",
            rank,
            age,
            open_task_count=count,
            served=served,
            weight=weight,
            team=team,
            within_guarantee=within_guarantee,
            whole=whole and not served,
            zoned=zoned,
            finish=finish,
        )
        for n, (
            rank,
            age,
            count,
            served,
            weight,
            team,
            within_guarantee,
            whole,
            zoned,
            finish,
        ) in enumerate(drawn)
    ]


def holding_of(drawn: list[tuple]) -> list[AssignedTasks]:
    return [AssignedTasks(rank, NOW - age, done, held, w) for rank, age, done, held, w in drawn]


def plain_order(
    waiting: list[WaitingJob], holding: list[AssignedTasks], spare: dict[str, TeamHeadroom]
) -> list[tuple[str, int | None]]:
    """By the definition: every single due task is looked at anew for each turn."""
    patience = {rank: P * FACTOR**rank for rank in range(4)}

    def tag(ready_at: float, rank: int, n: int) -> float:
        return ready_at + patience[rank] * (n + 1)

    able = [
        j
        for j in waiting
        if spare[j.team].cpus + 1e-6 >= j.cpus * (j.open_task_count if j.whole else 1)
    ]
    top = min((j.rank for j in able), default=0)
    burst = sum(j.weight * j.open_task_count for j in able if j.rank <= 1) >= CEILING
    held = [
        (tag(h.ready_at, h.rank, h.done + i), h.weight)
        for h in holding
        if h.rank > top
        for i in range(h.held)
    ]
    given: dict[str, int] = {}
    room = {team: s.cpus for team, s in spare.items()}
    stuck: set[str] = set()
    admitted = 0.0
    share = None
    while True:
        due = []
        for j in waiting:
            n = given.get(j.uid, 0)
            t = tag(j.ready_at, j.rank, j.served + n)
            if t <= NOW and n < j.open_task_count and j.uid not in stuck:
                due.append((t, j.uid, j))
        if not due:
            break
        t, uid, j = min(due)
        if burst and j.rank > top and NOW - t < patience[j.rank]:
            stuck.add(uid)
            continue
        tasks = j.open_task_count if j.whole else 1
        if room[j.team] + 1e-6 < j.cpus * tasks:
            stuck.add(uid)
            continue
        if j.rank > top:
            if share is None:
                share = FLOOR + (CEILING - FLOOR) * min(1.0, (NOW - t) / patience[j.rank])
            used = admitted + sum(w for when, w in held if when <= t)
            if used > 1e-9 and used + j.weight * tasks > share + 1e-9:
                break
            admitted += j.weight * tasks
        room[j.team] -= j.cpus * tasks
        given[uid] = given.get(uid, 0) + tasks
    turns: list[tuple[str, int | None]] = list(given.items())
    rest = [
        j
        for j in waiting
        if given.get(j.uid, 0) < j.open_task_count and not (j.zoned and j.uid in given)
    ]
    while rest:
        first = rest[0]
        for j in rest[1:]:
            if before(j, first):
                first = j
        turns.append((first.uid, None))
        rest.remove(first)
    return turns


def before(a: WaitingJob, b: WaitingJob) -> bool:
    if a.rank != b.rank:
        return a.rank < b.rank
    if a.within_guarantee != b.within_guarantee:
        return a.within_guarantee
    if a.finish != b.finish:
        return a.finish < b.finish
    if a.ready_at != b.ready_at:
        return a.ready_at < b.ready_at
    return a.uid < b.uid


def turns(
    policy: Ageing,
    waiting: list[WaitingJob],
    holding: list[AssignedTasks],
    spare: dict[str, TeamHeadroom] = SPARE,
    now: float = NOW,
) -> list[tuple[str, int | None]]:
    return [(e.uid, e.most) for e in policy.order(waiting, holding, spare, now)]


@given(jobs_strategy, holdings_strategy, st.randoms(use_true_random=False))
def test_the_order_is_the_plain_models_in_whatever_order_it_is_asked(
    drawn: list[tuple], held: list[tuple], rng: random.Random
) -> None:
    waiting, holding = waiting_of(drawn), holding_of(held)
    expected = plain_order(waiting, holding, SPARE)
    assert turns(ageing(), waiting, holding) == expected
    rng.shuffle(waiting)
    rng.shuffle(holding)
    assert turns(ageing(), waiting, holding) == expected
    assert {uid for uid, _ in expected} == {j.uid for j in waiting}


@given(jobs_strategy, holdings_strategy)
def test_past_the_aged_share_rank_alone_decides(drawn: list[tuple], held: list[tuple]) -> None:
    """The first promise: what is not due by age never goes before a higher rank, and what
    goes first for its age stays within the ceiling, but for one task."""
    waiting = waiting_of(drawn)
    by_uid = {j.uid: j for j in waiting}
    got = turns(ageing(), waiting, holding_of(held))
    ranks = [by_uid[uid].rank for uid, most in got if most is None]
    assert ranks == sorted(ranks)
    first = [(by_uid[uid], most) for uid, most in got if most is not None]
    top = min(
        (
            j.rank
            for j in waiting
            if j.team != "full" and SPARE[j.team].fits(j, j.open_task_count if j.whole else 1)
        ),
        default=0,
    )
    first = [(j, most) for j, most in first if j.rank > top]
    units = [j.weight * j.open_task_count if j.whole else j.weight for j, _ in first]
    assert sum(j.weight * most for j, most in first) <= max([CEILING, *units[:1]]) + 1e-6
    for j, _ in first:
        assert j.ready_at + P * FACTOR**j.rank * (1 + j.served) <= NOW


@given(jobs_strategy, holdings_strategy, st.integers(0, 9), st.sampled_from([60.0, 500.0]))
def test_who_has_waited_for_longer_goes_no_later(
    drawn: list[tuple], held: list[tuple], which: int, longer: float
) -> None:
    waiting, holding = waiting_of(drawn), holding_of(held)
    if not waiting:
        return
    chosen = waiting[which % len(waiting)]
    older = [j._replace(ready_at=j.ready_at - longer) if j is chosen else j for j in waiting]

    def place(some: list[WaitingJob]) -> int:
        order = list(dict.fromkeys(uid for uid, _ in turns(ageing(), some, holding)))
        return order.index(chosen.uid)

    assert place(older) <= place(waiting)


@given(jobs_strategy, holdings_strategy)
def test_a_team_at_its_limit_changes_nothing_for_the_others(
    drawn: list[tuple], held: list[tuple]
) -> None:
    waiting, holding = waiting_of(drawn), holding_of(held)
    others = [j for j in waiting if j.team != "full"]
    full = {j.uid for j in waiting} - {j.uid for j in others}
    got = turns(ageing(), waiting, holding)
    assert [turn for turn in got if turn[0] not in full] == turns(ageing(), others, holding)
    assert all(most is None for uid, most in got if uid in full)


def test_a_clock_that_stands_before_the_submission() -> None:
    """Found by thinking: another controller's clock may be ahead of ours by twice the
    bound, so that a job has an age below zero; it must not be counted as a turn of age."""
    fresh = job("wk-1", rank=0, age=-0.01)
    assert ageing().due(fresh.ready_at, 0, NOW) == 0
    assert turns(ageing(hold_s=10.0), [fresh], []) == [("wk-1", None)]
    old = job("wk-2", age=500.0)
    steps = [turns(ageing(), [old, fresh], [], now=NOW + d) for d in (0.0, -0.01, 0.01)]
    assert steps[0] == steps[1] == steps[2] == [("wk-2", 1), ("wk-1", None), ("wk-2", None)]


def test_stopped_and_cancelled_work_neither_gains_nor_loses_age() -> None:
    """A stop takes the served task back, and the tag is what it was; what is done stays
    counted. A job submitted anew begins anew."""
    policy = ageing()
    urgent = job("wk-9", rank=0)
    before_stop = policy.tag(NOW - 900.0, 2, 1)
    served = job("wk-1", age=900.0, served=2)
    stopped = job("wk-1", age=900.0, served=1)
    assert policy.tag(served.ready_at, 2, served.served) > before_stop
    assert policy.tag(stopped.ready_at, 2, stopped.served) == before_stop
    other = job("wk-0", age=450.0)
    assert turns(policy, [stopped, other, urgent], [])[0] == ("wk-1", 1)
    assert turns(policy, [served, other, urgent], [])[0] == ("wk-0", 1)
    again = job("wk-2", age=0.0)
    assert turns(policy, [again, other, urgent], [])[0] == ("wk-0", 1)


@given(st.integers(0, 400), st.integers(1, 3), st.integers(1, 4))
def test_nobody_starves_under_a_flood_that_never_ends(seed: int, rank: int, low_jobs: int) -> None:
    """The second promise, on a fleet of 20 tasks at once that is stepped through: urgent
    work always waits for all of it, and yet every lower job has its first task once twice its
    patience is over, those with earlier tags have run, and the share has room."""
    rng = random.Random(seed)
    policy = ageing()
    slots, run_s, step = 20, 25.0, 5.0
    patience = policy.patience_s(rank)
    low = {f"wk-{n}": NOW + rng.uniform(0.0, 2 * patience) for n in range(low_jobs)}
    started: dict[str, float] = {}
    running: list[tuple[float, str]] = []
    served = dict.fromkeys(low, 0)
    done = dict.fromkeys(low, 0)
    urgent = 0
    now = NOW
    # At the floor the share holds two tasks; each job ahead of the last one has at most as
    # many due tasks as patiences fit in.
    ahead = low_jobs * (3 + 1)
    # All that time urgent work waits, a burst to which each task yields for a patience.
    bound = 2 * patience + run_s * math.ceil(ahead / 2) + 2 * run_s + 2 * step
    while now < NOW + 4 * patience + bound:
        for end, uid in list(running):
            if end <= now:
                running.remove((end, uid))
                if uid in low:
                    done[uid] += 1
        waiting = [
            job(uid, rank, ready_at=ready, served=served[uid], open_task_count=50, weight=1 / slots)
            for uid, ready in low.items()
            if ready <= now
        ]
        waiting += [
            job(f"wk-9{n:06d}", 0, ready_at=now, open_task_count=50, weight=1 / slots)
            for n in range(urgent, urgent + 3)
        ]
        urgent += 3
        holding = [
            AssignedTasks(rank, low[uid], done[uid], served[uid] - done[uid], 1 / slots)
            for uid in low
            if served[uid] > done[uid]
        ]
        free = slots - len(running)
        for uid, most, _ in policy.order(waiting, holding, {"red": TeamHeadroom(1e6, 0.0)}, now):
            for _ in range(min(free, 50 if most is None else most)):
                running.append((now + run_s, uid))
                free -= 1
                if uid in low:
                    served[uid] += 1
                    started.setdefault(uid, now)
        of_low = sum(uid in low for _, uid in running)
        assert of_low <= CEILING * slots + 1e-6
        now += step
    for uid, ready in low.items():
        assert started.get(uid, math.inf) - ready <= bound


def test_twenty_thousand_waiting_jobs_are_looked_at_once_each() -> None:
    class Counting(Ageing):
        looked = 0

        def tag(self, ready_at: float, rank: int, n: int) -> float:
            Counting.looked += 1
            return super().tag(ready_at, rank, n)

    policy = Counting(
        patience_s=P, factor=FACTOR, floor=FLOOR, ceiling=CEILING, hold_s=50.0, stop_after_s=1.0
    )
    rng = random.Random(1)
    waiting = [
        job(f"wk-{n:05d}", rng.randrange(4), rng.uniform(0.0, 4000.0), weight=0.001)
        for n in range(20_000)
    ]
    got = policy.order(waiting, [], {"red": TeamHeadroom(1e6, 0.0)}, NOW)
    first = sum(e.most or 0 for e in got)
    by_uid = {j.uid: j.rank for j in waiting}
    counted = sum(e.most or 0 for e in got if by_uid[e.uid] > 0)
    assert 100 <= counted <= 300
    assert Counting.looked <= len(waiting) + 3 * first
    assert len({e.uid for e in got}) == len(waiting)


def test_room_is_held_for_a_bounded_time_and_then_for_as_long_not() -> None:
    policy = ageing(hold_s=40.0)

    def hold(age: float) -> float:
        some = [job("wk-1", age=age), job("wk-2", rank=0)]
        return policy.order(some, [], SPARE, NOW)[0].hold_s

    due = policy.patience_s(2)
    assert [hold(due), hold(due + 30.0), hold(due + 40.0), hold(due + 79.0)] == [40.0, 10.0, 0, 0]
    assert hold(due + 80.0) == 40.0


# -- stops ---------------------------------------------------------------------------------


def running(**changes: object) -> RunningTasks:
    fields: dict[str, object] = {
        "team": "blue",
        "rank": 2,
        "within_guarantee": False,
        "beyond": False,
        "recent": False,
        "elapsed_s": 20.0,
        "left_s": 30.0,
    }
    return RunningTasks(**{**fields, **changes})  # type: ignore[arg-type]


def test_urgent_work_stops_lower_work_that_was_not_given_its_room_for_its_age() -> None:
    policy = ageing()
    claim = PreemptionRequest("red", 1, False, 5.0)
    assert policy.may_request_preemption(claim, 2)
    assert policy.may_preempt(claim, running())
    assert policy.may_preempt(claim, running(within_guarantee=True))
    assert not policy.may_preempt(claim, running(is_protected_by_age=True))
    assert not policy.may_preempt(claim, running(rank=1))
    assert not policy.may_preempt(claim, running(left_s=0.5))
    assert not policy.may_request_preemption(claim._replace(waited_s=0.5), 2)
    assert not policy.may_request_preemption(claim._replace(rank=2), 3)
    # A guarantee stops nothing of a higher rank: the room would go back to that at once.
    owed = PreemptionRequest("red", 2, True, 500.0)
    beyond = running(beyond=True, recent=True)
    assert policy.may_preempt(owed, beyond)
    assert not policy.may_preempt(owed, beyond._replace(rank=1))
    assert not policy.may_preempt(owed, beyond._replace(team="red"))


def test_aged_means_that_a_job_holds_no_more_than_its_age_gives_it() -> None:
    policy = ageing()
    two = 2 * policy.patience_s(2) + 1.0
    assert policy.is_protected_by_age(AssignedTasks(2, NOW - two, 0, 2, 0.1), NOW)
    assert policy.is_protected_by_age(AssignedTasks(2, NOW - two, 1, 1, 0.1), NOW)
    assert not policy.is_protected_by_age(AssignedTasks(2, NOW - two, 1, 2, 0.1), NOW)
    assert not policy.is_protected_by_age(AssignedTasks(2, NOW - 10.0, 0, 1, 0.1), NOW)


# -- the order of old ----------------------------------------------------------------------


@given(jobs_strategy)
def test_the_settled_order_is_the_one_of_old(drawn: list[tuple]) -> None:
    waiting = waiting_of(drawn)
    expected = sorted(
        waiting, key=lambda j: (not j.within_guarantee, j.rank, j.finish, j.submitted_at, j.uid)
    )
    got = GuaranteeFirst().order(waiting, [], SPARE, NOW)
    assert got == [QueueEntry(j.uid) for j in expected]


def test_settled_stops_only_what_has_just_begun_from_two_steps_down() -> None:
    policy = GuaranteeFirst()
    urgent = PreemptionRequest("red", 0, False, 0.0)
    assert policy.may_request_preemption(urgent, 2)
    assert not policy.may_request_preemption(urgent, 1)
    assert policy.may_preempt(urgent, running(rank=2))
    assert not policy.may_preempt(urgent, running(rank=1))
    assert not policy.may_preempt(urgent, running(rank=3, within_guarantee=True))
    assert not policy.preempts_long_running
