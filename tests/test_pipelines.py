"""Pipelines in the book and in the planner, against slow plain models."""

import math
import random

import pytest
from conftest import job_body
from hypothesis import given
from hypothesis import strategies as st

from ryegauge.bookkeeping.state import Delete, Event, Put
from ryegauge.bookkeeping.state_replica import (
    StateReplica,
    archive_key,
    assignment_key,
    job_key,
    job_record,
    needs_piece_key,
    outcome_key,
    split_needs,
    value_bytes,
)
from ryegauge.coordination.archive import archive_job, jobs_to_archive, records_to_delete
from ryegauge.protocol.jobs import parse_job
from ryegauge.scheduling.pipelines import Urgency, propagate_back
from ryegauge.transport.http import Malformed

# -- deadlines and priorities ----------------------------------------------------------

graphs = st.lists(  # job n may need any of the earlier ones: chains, fans, diamonds
    st.tuples(
        st.sets(st.integers(0, 8), max_size=4),
        st.integers(0, 3),
        st.sampled_from([math.inf, 100.0, 130.0, 200.0]),
        st.integers(1, 40),
    ),
    min_size=1,
    max_size=9,
)


@given(graphs)
def test_urgency_is_that_of_the_worst_path_to_any_later_job(
    jobs: list[tuple[set[int], int, float, int]],
) -> None:
    """The plain model walks every path from a job to every job that needs it."""
    after = {
        str(n): [str(m) for m, job in enumerate(jobs) if n in job[0] and n < m]
        for n in range(len(jobs))
    }

    def paths(uid: str) -> list[list[str]]:
        return [[uid], *([uid, *rest] for name in after[uid] for rest in paths(name))]

    known: dict[str, Urgency] = {}
    for n in range(len(jobs)):
        expected = Urgency(
            min(
                jobs[int(path[-1])][2] - sum(jobs[int(name)][3] for name in path[1:])
                for path in paths(str(n))
            ),
            min(jobs[int(path[-1])][1] for path in paths(str(n))),
        )
        found = propagate_back(
            str(n),
            lambda uid: Urgency(jobs[int(uid)][2], jobs[int(uid)][1]),
            after.__getitem__,
            lambda uid: float(jobs[int(uid)][3]),
            known,
        )
        assert found == expected


def test_a_pipeline_longer_than_the_stack() -> None:
    length = 20_000
    found = propagate_back(
        "0",
        lambda uid: Urgency(1e6 if int(uid) == length else math.inf, 3),
        lambda uid: [str(int(uid) + 1)] if int(uid) < length else [],
        lambda uid: 2.0,
        {},
    )
    assert found == Urgency(1e6 - 2.0 * length, 3)


# -- the book ----------------------------------------------------------------------------


class Plain:
    """What the records mean, worked out anew from the definition for every question."""

    def __init__(self) -> None:
        self.needs: dict[str, set[str]] = {}
        self.flagged: set[str] = set()
        self.finished: set[str] = set()
        self.holding: set[str] = set()

    def cancelled(self, uid: str) -> bool:
        return uid in self.flagged or any(self.cancelled(name) for name in self.needs[uid])

    def ready(self, uid: str) -> bool:
        return self.needs[uid] <= self.finished

    def status(self, uid: str) -> str:
        if self.cancelled(uid):
            return "cancelled"
        if uid in self.finished:
            return "done"
        return "running" if uid in self.holding else "queued"


def uid_of(n: int) -> str:
    return f"wk-{n:06d}"


def write(
    replica: StateReplica, records: dict[str, tuple[object, int]], key: str, value: object
) -> None:
    revision = replica.state_revision + 1
    if value is None:
        records.pop(key, None)
    else:
        records[key] = (value, revision)
    replica.apply([Event(key, value, revision)], revision)


@given(st.integers(0, 10_000))
def test_the_book_derives_what_the_definition_says(seed: int) -> None:
    """Submissions, allotments, ends and cancellations as luck has it; after each, and
    after reading everything anew in any order, the book says what the plain model says."""
    rng = random.Random(seed)
    replica, plain = StateReplica(), Plain()
    records: dict[str, tuple[object, int]] = {}
    for _ in range(30):
        uids = list(plain.needs)
        what = rng.random()
        if what < 0.4 or not uids:
            uid = uid_of(len(uids))
            needs = set(rng.sample(uids, min(len(uids), rng.randrange(4))))
            plain.needs[uid] = needs
            names = tuple(sorted(needs))
            spec = parse_job(job_body(uid, awaits=list(names)))
            if names and rng.random() < 0.3:
                digest, pieces = split_needs(names, 16)
                for n, piece in enumerate(pieces):
                    write(replica, records, needs_piece_key(uid, digest, n), {"n": piece})
                record = job_record(spec, 0.0, False, (digest, len(pieces)))
            else:
                record = job_record(spec, 0.0, False)
            write(replica, records, job_key(uid), record)
        elif what < 0.6:
            uid = rng.choice(uids)
            if plain.status(uid) == "queued" and plain.ready(uid):
                plain.holding.add(uid)
                write(replica, records, assignment_key(uid, 1), {"t": {"": [0, 4]}, "d": []})
        elif what < 0.85 and plain.holding:
            uid = rng.choice(sorted(plain.holding))
            plain.holding.discard(uid)
            if not plain.cancelled(uid):
                plain.finished.add(uid)
                write(replica, records, assignment_key(uid, 1), {"t": {}, "d": [0, 4]})
            else:
                write(replica, records, assignment_key(uid, 1), {"t": {}, "d": []})
        else:
            uid = rng.choice(uids)
            if plain.status(uid) != "done":
                plain.flagged.add(uid)
                spec = parse_job(job_body(uid))
                write(replica, records, job_key(uid), job_record(spec, 0.0, True))
        again = StateReplica()
        shuffled = [Event(key, value, version) for key, (value, version) in records.items()]
        rng.shuffle(shuffled)
        # Shares follow their job in the order of keys; nothing else follows anything.
        shuffled.sort(key=lambda event: event.key.count("/") == 3 and "r/j/" in event.key)
        again.replace(shuffled, replica.state_revision)
        for each in (replica, again):
            for uid in plain.needs:
                job = each.jobs[uid]
                assert job.status == plain.status(uid)
                over = job.is_terminal and uid not in plain.holding
                waits = not plain.ready(uid)
                assert (uid in each.waiting) == (waits and not over)
                assert (uid in each.live) == (not waits and not over)


def test_one_record_cancels_a_pipeline_of_any_length() -> None:
    replica = StateReplica()
    records: dict[str, tuple[object, int]] = {}
    for n in range(5000):
        needs = [uid_of(n - 1)] if n else None
        spec = parse_job(job_body(uid_of(n), awaits=needs))
        write(replica, records, job_key(uid_of(n)), job_record(spec, 0.0, False))
    write(
        replica, records, job_key(uid_of(0)), job_record(parse_job(job_body(uid_of(0))), 0.0, True)
    )
    assert {job.status for job in replica.jobs.values()} == {"cancelled"}
    assert not replica.live
    assert not replica.waiting


def test_waiting_jobs_become_ready_when_the_last_need_is_done() -> None:
    """The other times of a job count from then, as the controller has seen it."""
    now = 100.0
    replica = StateReplica(lambda: now)
    records: dict[str, tuple[object, int]] = {}
    for n, needs in enumerate(([], [], [uid_of(0), uid_of(1)])):
        spec = parse_job(job_body(uid_of(n), awaits=needs))
        write(replica, records, job_key(uid_of(n)), job_record(spec, 50.0, False))
    job = replica.jobs[uid_of(2)]
    assert job.view()["awaits"] == [uid_of(0), uid_of(1)]
    write(replica, records, assignment_key(uid_of(0), 0), {"t": {}, "d": [0, 4]})
    assert not job.ready
    now = 120.0
    write(replica, records, assignment_key(uid_of(1), 2), {"t": {}, "d": [0, 4]})
    assert job.ready
    assert job.ready_at == 120.0
    assert "awaits" not in job.view()


# -- leaving the book ---------------------------------------------------------------------


def test_what_others_need_leaves_the_book_after_them() -> None:
    replica = StateReplica()
    records: dict[str, tuple[object, int]] = {}
    for n in range(3):
        needs = [uid_of(n - 1)] if n else None
        spec = parse_job(job_body(uid_of(n), awaits=needs))
        write(replica, records, job_key(uid_of(n)), job_record(spec, float(n), False))
    write(replica, records, assignment_key(uid_of(0), 1), {"t": {"": [0, 4]}, "d": []})
    write(replica, records, assignment_key(uid_of(0), 1), {"t": {}, "d": []})
    write(
        replica, records, job_key(uid_of(0)), job_record(parse_job(job_body(uid_of(0))), 0.0, True)
    )
    left: list[str] = []
    finals: dict[str, object] = {}
    while replica.jobs:
        (job,) = jobs_to_archive(replica, 0)  # the others are needed
        guards, changes = archive_job(job, 5)
        assert len(guards) == 6
        assert len(changes) == 2
        for change in changes:
            if isinstance(change, Put):
                finals[change.key] = change.value
            else:
                write(replica, records, change.key, None)
        left.append(job.spec.uid)
    assert left == [uid_of(2), uid_of(1), uid_of(0)]
    assert finals == {archive_key(uid): {"st": "cancelled", "d": 0} for uid in left}
    assert records_to_delete(replica, 4) == [Delete(assignment_key(uid_of(0), 1))]
    write(replica, records, assignment_key(uid_of(0), 1), None)
    assert records_to_delete(replica, 4) == []
    assert records == {}


@pytest.mark.parametrize("outcome", ["done", "cancelled"])
def test_a_job_recorded_after_one_that_it_needs_was_archived(outcome: str) -> None:
    """Its submission was on its way for so long: the outcome has to be looked up, since
    whoever reads the book alone would let it wait forever."""
    replica = StateReplica()
    records: dict[str, tuple[object, int]] = {}
    spec = parse_job(job_body(uid_of(2), awaits=[uid_of(1)]))
    write(replica, records, job_key(uid_of(2)), job_record(spec, 0.0, False))
    assert replica.unresolved_needs == {uid_of(1)}
    assert uid_of(2) in replica.waiting
    write(replica, records, outcome_key(uid_of(1)), {"st": outcome})
    assert replica.unresolved_needs == set()
    assert replica.jobs[uid_of(2)].ready == (outcome == "done")
    assert replica.jobs[uid_of(2)].cancelled == (outcome == "cancelled")
    assert records_to_delete(replica, 4) == []
    write(replica, records, job_key(uid_of(2)), None)
    assert records_to_delete(replica, 4) == [Delete(outcome_key(uid_of(1)))]


# -- submissions ---------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("awaits", "needs"),
    [(None, None), ([], None), (["wk-1"], ("wk-1",)), (["wk-2", "wk-1", "wk-2"], ("wk-2", "wk-1"))],
)
def test_awaits_is_a_list_of_job_names(
    awaits: list[str] | None, needs: tuple[str, ...] | None
) -> None:
    assert parse_job(job_body(awaits=awaits)).needs == needs


@pytest.mark.parametrize(
    "awaits", ["wk-1", [1], ["job"], ["wk-"], {"wk-1": 1}, [None], 5, [["wk-1"]]]
)
def test_anything_else_is_malformed(awaits: object) -> None:
    with pytest.raises(Malformed, match="awaits"):
        parse_job(job_body(awaits=awaits))


def test_pieces_hold_all_names_within_the_limit() -> None:
    names = tuple(f"wk-{n:032d}" for n in range(700))
    digest, pieces = split_needs(names, 1900)
    assert [name for piece in pieces for name in piece] == list(names)
    assert all(value_bytes({"n": piece}) <= 1945 for piece in pieces)
    assert split_needs(names, 1900) == (digest, pieces)
    assert split_needs(names[1:], 1900)[0] != digest
