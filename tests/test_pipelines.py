"""Pipelines in the state replica and in the planner, against slow reference models."""

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

graphs = st.lists(  # job n may depend on any earlier one: chains, fans, diamonds
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
def test_urgency_is_that_of_the_most_urgent_path_to_any_dependent(
    jobs: list[tuple[set[int], int, float, int]],
) -> None:
    """The reference model walks every path from a job to every job that depends on it."""
    after = {
        str(n): [str(m) for m, job in enumerate(jobs) if n in job[0] and n < m]
        for n in range(len(jobs))
    }

    def paths(uid: str) -> list[list[str]]:
        return [[uid], *([uid, *rest] for name in after[uid] for rest in paths(name))]

    computed: dict[str, Urgency] = {}
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
            computed,
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


# -- the replica -------------------------------------------------------------------------


class ReferenceModel:
    """A reference model of job states, which evaluates their definition for every query."""

    def __init__(self) -> None:
        self.needs: dict[str, set[str]] = {}
        self.cancelled_uids: set[str] = set()
        self.done_uids: set[str] = set()
        self.running_uids: set[str] = set()

    def cancelled(self, uid: str) -> bool:
        """Whether it or any job that it depends on, directly or not, was cancelled."""
        return uid in self.cancelled_uids or any(self.cancelled(name) for name in self.needs[uid])

    def ready(self, uid: str) -> bool:
        """Whether all of its dependencies are done."""
        return self.needs[uid] <= self.done_uids

    def status(self, uid: str) -> str:
        """The status that users are shown."""
        if self.cancelled(uid):
            return "cancelled"
        if uid in self.done_uids:
            return "done"
        return "running" if uid in self.running_uids else "queued"


def job_uid(n: int) -> str:
    return f"wk-{n:06d}"


def apply_record(
    replica: StateReplica, records: dict[str, tuple[object, int]], key: str, value: object
) -> None:
    revision = replica.state_revision + 1
    if value is None:
        records.pop(key, None)
    else:
        records[key] = (value, revision)
    replica.apply([Event(key, value, revision)], revision)


@given(st.integers(0, 10_000))
def test_derived_job_states_agree_with_a_reference_model(seed: int) -> None:
    """After each of a random sequence of submissions, assignments, ends and cancellations the
    replica agrees with the reference model, and so does one that reads all records in another
    order."""
    rng = random.Random(seed)
    replica, reference = StateReplica(), ReferenceModel()
    records: dict[str, tuple[object, int]] = {}
    for _ in range(30):
        uids = list(reference.needs)
        what = rng.random()
        if what < 0.4 or not uids:
            uid = job_uid(len(uids))
            needs = set(rng.sample(uids, min(len(uids), rng.randrange(4))))
            reference.needs[uid] = needs
            names = tuple(sorted(needs))
            spec = parse_job(job_body(uid, awaits=list(names)))
            if names and rng.random() < 0.3:
                digest, pieces = split_needs(names, 16)
                for n, piece in enumerate(pieces):
                    apply_record(replica, records, needs_piece_key(uid, digest, n), {"n": piece})
                record = job_record(spec, 0.0, False, (digest, len(pieces)))
            else:
                record = job_record(spec, 0.0, False)
            apply_record(replica, records, job_key(uid), record)
        elif what < 0.6:
            uid = rng.choice(uids)
            if reference.status(uid) == "queued" and reference.ready(uid):
                reference.running_uids.add(uid)
                apply_record(replica, records, assignment_key(uid, 1), {"t": {"": [0, 4]}, "d": []})
        elif what < 0.85 and reference.running_uids:
            uid = rng.choice(sorted(reference.running_uids))
            reference.running_uids.discard(uid)
            if not reference.cancelled(uid):
                reference.done_uids.add(uid)
                apply_record(replica, records, assignment_key(uid, 1), {"t": {}, "d": [0, 4]})
            else:
                apply_record(replica, records, assignment_key(uid, 1), {"t": {}, "d": []})
        else:
            uid = rng.choice(uids)
            if reference.status(uid) != "done":
                reference.cancelled_uids.add(uid)
                spec = parse_job(job_body(uid))
                apply_record(replica, records, job_key(uid), job_record(spec, 0.0, True))
        reread = StateReplica()
        shuffled = [Event(key, value, version) for key, (value, version) in records.items()]
        rng.shuffle(shuffled)
        # Shares come after their job, as in the order of keys; the rest may come in any order.
        shuffled.sort(key=lambda event: event.key.count("/") == 3 and "r/j/" in event.key)
        reread.replace(shuffled, replica.state_revision)
        for checked in (replica, reread):
            for uid in reference.needs:
                job = checked.jobs[uid]
                assert job.status == reference.status(uid)
                over = job.is_terminal and uid not in reference.running_uids
                waits = not reference.ready(uid)
                assert (uid in checked.waiting) == (waits and not over)
                assert (uid in checked.live) == (not waits and not over)


def test_one_record_cancels_a_pipeline_of_any_length() -> None:
    replica = StateReplica()
    records: dict[str, tuple[object, int]] = {}
    for n in range(5000):
        needs = [job_uid(n - 1)] if n else None
        spec = parse_job(job_body(job_uid(n), awaits=needs))
        apply_record(replica, records, job_key(job_uid(n)), job_record(spec, 0.0, False))
    apply_record(
        replica,
        records,
        job_key(job_uid(0)),
        job_record(parse_job(job_body(job_uid(0))), 0.0, True),
    )
    assert {job.status for job in replica.jobs.values()} == {"cancelled"}
    assert not replica.live
    assert not replica.waiting


def test_waiting_jobs_become_ready_when_the_last_dependency_is_done() -> None:
    """The other times of a job count from the moment at which the controller saw that."""
    now = 100.0
    replica = StateReplica(lambda: now)
    records: dict[str, tuple[object, int]] = {}
    for n, needs in enumerate(([], [], [job_uid(0), job_uid(1)])):
        spec = parse_job(job_body(job_uid(n), awaits=needs))
        apply_record(replica, records, job_key(job_uid(n)), job_record(spec, 50.0, False))
    job = replica.jobs[job_uid(2)]
    assert job.view()["awaits"] == [job_uid(0), job_uid(1)]
    apply_record(replica, records, assignment_key(job_uid(0), 0), {"t": {}, "d": [0, 4]})
    assert not job.ready
    now = 120.0
    apply_record(replica, records, assignment_key(job_uid(1), 2), {"t": {}, "d": [0, 4]})
    assert job.ready
    assert job.ready_at == 120.0
    assert "awaits" not in job.view()


# -- leaving the replica ------------------------------------------------------------------


def test_dependencies_are_archived_after_their_dependents() -> None:
    replica = StateReplica()
    records: dict[str, tuple[object, int]] = {}
    for n in range(3):
        needs = [job_uid(n - 1)] if n else None
        spec = parse_job(job_body(job_uid(n), awaits=needs))
        apply_record(replica, records, job_key(job_uid(n)), job_record(spec, float(n), False))
    apply_record(replica, records, assignment_key(job_uid(0), 1), {"t": {"": [0, 4]}, "d": []})
    apply_record(replica, records, assignment_key(job_uid(0), 1), {"t": {}, "d": []})
    apply_record(
        replica,
        records,
        job_key(job_uid(0)),
        job_record(parse_job(job_body(job_uid(0))), 0.0, True),
    )
    left: list[str] = []
    final_outcomes: dict[str, object] = {}
    while replica.jobs:
        (job,) = jobs_to_archive(replica, 0)  # other jobs depend on the others
        guards, changes = archive_job(job, 5)
        assert len(guards) == 6
        assert len(changes) == 2
        for change in changes:
            if isinstance(change, Put):
                final_outcomes[change.key] = change.value
            else:
                apply_record(replica, records, change.key, None)
        left.append(job.spec.uid)
    assert left == [job_uid(2), job_uid(1), job_uid(0)]
    assert final_outcomes == {archive_key(uid): {"st": "cancelled", "d": 0} for uid in left}
    assert records_to_delete(replica, 4) == [Delete(assignment_key(job_uid(0), 1))]
    apply_record(replica, records, assignment_key(job_uid(0), 1), None)
    assert records_to_delete(replica, 4) == []
    assert records == {}


@pytest.mark.parametrize("outcome", ["done", "cancelled"])
def test_a_job_recorded_after_its_dependency_was_archived(outcome: str) -> None:
    """A submission may be recorded so late that its dependency has been archived. The outcome of
    that one has to be looked up: by the replica alone the job would wait forever."""
    replica = StateReplica()
    records: dict[str, tuple[object, int]] = {}
    spec = parse_job(job_body(job_uid(2), awaits=[job_uid(1)]))
    apply_record(replica, records, job_key(job_uid(2)), job_record(spec, 0.0, False))
    assert replica.unresolved_needs == {job_uid(1)}
    assert job_uid(2) in replica.waiting
    apply_record(replica, records, outcome_key(job_uid(1)), {"st": outcome})
    assert replica.unresolved_needs == set()
    assert replica.jobs[job_uid(2)].ready == (outcome == "done")
    assert replica.jobs[job_uid(2)].cancelled == (outcome == "cancelled")
    assert records_to_delete(replica, 4) == []
    apply_record(replica, records, job_key(job_uid(2)), None)
    assert records_to_delete(replica, 4) == [Delete(outcome_key(job_uid(1)))]


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
def test_other_values_of_awaits_are_malformed(awaits: object) -> None:
    with pytest.raises(Malformed, match="awaits"):
        parse_job(job_body(awaits=awaits))


def test_split_dependency_lists_stay_within_the_value_limit() -> None:
    names = tuple(f"wk-{n:032d}" for n in range(700))
    digest, pieces = split_needs(names, 1900)
    assert [name for piece in pieces for name in piece] == list(names)
    assert all(value_bytes({"n": piece}) <= 1945 for piece in pieces)
    assert split_needs(names, 1900) == (digest, pieces)
    assert split_needs(names[1:], 1900)[0] != digest
