"""Unit tests of small modules: ranges, job and body parsing, the takeback share."""

from collections.abc import Iterator
from typing import Any

import pytest
from conftest import job_body
from hypothesis import given
from hypothesis import strategies as st

from ryegauge.bookkeeping.ranges import Ranges
from ryegauge.protocol.jobs import parse_job
from ryegauge.scheduling.takeback_share import TakebackShare
from ryegauge.transport.http import Malformed, decode, encode

numbers = st.sets(st.integers(0, 40))


@given(numbers, numbers, st.integers(0, 50))
def test_ranges_are_sets(a: set[int], b: set[int], n: int) -> None:
    x, y = Ranges.of(a), Ranges.of(b)
    assert set(x | y) == a | b
    assert set(x - y) == a - b
    assert len(x) == len(a)
    assert list(x.first(n)) == sorted(a)[:n]
    assert Ranges.from_flat(x.flat()) == x
    assert all((i in x) == (i in a) for i in range(41))
    assert (x | y) == (y | x)


@pytest.mark.parametrize(
    "changes",
    [
        {"uid": "job-1"},
        {"uid": "wk-"},
        {"uid": 7},
        {"pieces": 0},
        {"pieces": 100_001},
        {"pieces": 2.5},
        {"pieces": True},
        {"cpus": "2"},
        {"cpus": -1.0},
        {"cpus": float("nan")},
        {"cpus": float("inf")},
        {"shape": "ring"},
        {"urgency": "asap"},
        {"together": None},
        {"builds": "g8"},
        {"builds": [1]},
        {"dueS": -3.0},
        {"kit": None},
    ],
)
def test_malformed_jobs(changes: dict[str, Any]) -> None:
    with pytest.raises(Malformed):
        parse_job(job_body(**changes))


def test_well_formed_jobs() -> None:
    spec = parse_job(job_body(extra="ignored", cpus=3, dueS=None))
    assert (spec.cpus, spec.deadline_s, spec.types) == (3.0, None, None)
    body = job_body()
    for name in ("builds", "district", "dueS"):
        del body[name]  # nullable fields are optional
    assert parse_job(body) == parse_job(job_body(dueS=None))
    assert parse_job(spec.to_wire()) == spec


@pytest.mark.parametrize("data", [b"", b"\xff", b"\xa1\x61", encode({}) + b"\x00", b"\x9f" * 5000])
def test_bodies_that_are_not_cbor(data: bytes) -> None:
    with pytest.raises(Malformed):
        decode(data)


@given(st.lists(st.tuples(st.integers(0, 60), st.integers(1, 60), st.booleans()), max_size=6))
def test_takeback_share_against_seconds_counted_one_by_one(
    machines: list[tuple[int, int, bool]],
) -> None:
    share = TakebackShare(30.0)
    now = 60
    total = lost = 0
    for i, (start, length, taken) in enumerate(machines):
        share.record_start(str(i), start)
        if start + length < now:
            share.record_end(str(i), start + length, taken)
        for second in range(now - 30, now):
            if start <= second < start + length:
                total += 1
                lost += taken and start + length < now
    assert share.share(now) == pytest.approx(lost / total if total else 0.0)


def test_differences_are_worked_out_in_one_pass() -> None:
    """An array's tasks end in any order and leave thousands of spans. Comparing each with each
    took a second for one difference."""

    class Counting(tuple[tuple[int, int], ...]):
        accesses = 0

        def __getitem__(self, index: Any) -> Any:
            Counting.accesses += 1
            return super().__getitem__(index)

        def __iter__(self) -> Iterator[tuple[int, int]]:
            for span in super().__iter__():
                Counting.accesses += 1
                yield span

    spans = Counting((4 * n, 4 * n + 1) for n in range(5000))
    evens = Ranges(tuple((4 * n, 4 * n + 2) for n in range(5000)))
    assert len(evens - Ranges(spans)) == 5000
    assert Counting.accesses < 40_000  # a few for each span, not for each pair
