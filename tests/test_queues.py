"""Messages as jobs: what each means, and that no order of crashes loses or doubles one."""

import gzip
import json
from collections.abc import Iterator
from datetime import UTC, datetime
from pathlib import Path
from typing import Any, NamedTuple

import cbor2
import jsonschema
import msgspec
import pytest
import zstandard
from conftest import settings_text
from hypothesis import given
from hypothesis import strategies as st
from pamqp.commands import Basic

from ryegauge.config import ConfigError, load
from ryegauge.protocol.jobs import valid_uid
from ryegauge.queues import bindings
from ryegauge.queues.lifecycle import CONSUME_STEPS, REPLY_STEPS
from ryegauge.queues.messages import Cancellation, Never, Submission, read, uid_of
from ryegauge.queues.schema import message_schema

FILE = """
[[bindings]]
name = "picks"
queue = "seismic.picks"
team = "red"
job_class = "pick"
priorities = { "0" = "normal", "5" = "high" }
[[bindings.brokers]]
url = "amqp://127.0.0.1:5672/work"
"""
VALID = jsonschema.Draft202012Validator(message_schema())
BODY = {"pieces": 2, "cpus": 1.0, "memoryGb": 1.0, "kit": "img-1", "expectS": 20.0}


@pytest.fixture
def binding(tmp_path: Path) -> bindings.Binding:
    path = tmp_path / "queues.toml"
    path.write_text(FILE)
    (found,) = bindings.load(str(path)).bindings
    return found


def properties(**changes: Any) -> Basic.Properties:
    return Basic.Properties(**{"message_id": "m-1", "content_type": "application/json", **changes})


def test_a_message_is_the_same_job_wherever_it_is_read(binding: bindings.Binding) -> None:
    data = json.dumps(BODY).encode()
    forms = [
        read(binding, properties(), data),
        read(binding, properties(content_type="application/cbor"), cbor2.dumps(BODY)),
        read(binding, properties(content_encoding="gzip"), gzip.compress(data)),
        read(binding, properties(content_encoding="zstd"), zstandard.compress(data)),
    ]
    assert all(isinstance(form, Submission) for form in forms)
    assert len({msgspec.json.encode(form) for form in forms}) == 1
    spec = forms[0].spec  # type: ignore[union-attr]
    assert (spec.team, spec.job_class, spec.priority, spec.tasks) == ("red", "pick", "normal", 2)
    assert valid_uid(spec.uid)
    assert len(spec.uid) == 35
    urgent = read(binding, properties(priority=7), data)
    assert isinstance(urgent, Submission)
    assert urgent.spec.priority == "high"


def test_without_an_id_the_content_within_its_window_is_the_message(
    binding: bindings.Binding,
) -> None:
    """By the message's own timestamp, not by ours: a redelivery after the window is over is
    still the same message."""
    data = json.dumps(BODY).encode()

    def uid(second: int | None, body: bytes = data) -> str:
        at = None if second is None else datetime.fromtimestamp(second, UTC)
        found = read(binding, properties(message_id=None, timestamp=at), body)
        assert isinstance(found, Submission)
        return found.spec.uid

    assert uid(7200) == uid(7200) == uid(10_799)
    assert uid(7200) != uid(10_800)
    assert uid(None) == uid(None)
    assert uid(7200) != uid(7200, json.dumps({**BODY, "pieces": 3}).encode())


def test_bindings_do_not_share_messages() -> None:
    names = {uid_of(name, f"id:{n}") for name in ("a", "b") for n in range(500)}
    assert len(names) == 1000
    # No field can be mistaken for a part of another.
    assert uid_of("a", "id:x y") != uid_of("a id:x", "y")


def test_needs_and_cancellations_name_messages(binding: bindings.Binding) -> None:
    found = read(binding, properties(), json.dumps({**BODY, "awaits": ["m-0"]}).encode())
    assert isinstance(found, Submission)
    assert found.spec.needs == (uid_of("picks", "id:m-0"),)
    end = read(binding, properties(message_id="m-2"), b'{"cancel": "m-1"}')
    assert end == Cancellation("id:m-2", uid_of("picks", "id:m-1"))


BOMB = gzip.compress(b" " * 50_000_000, mtime=0)
NEVER = [
    ({}, b"", "JSON"),
    ({}, b"[1]", "map"),
    ({}, b"{}", "pieces"),
    ({}, json.dumps({**BODY, "pieces": 0}).encode(), "pieces"),
    ({}, json.dumps({**BODY, "uid": "wk-1"}).encode(), "uid"),
    ({}, json.dumps({**BODY, "urgency": "critical"}).encode(), "urgency"),
    ({}, json.dumps({**BODY, "shape": "standing"}).encode(), "service"),
    ({}, json.dumps({**BODY, "awaits": "m-1"}).encode(), "awaits"),
    ({}, b'{"cancel": 5}', "cancel"),
    ({}, b'{"cancel": "m", "pieces": 1}', "cancel"),
    ({}, b"[" * 100_000, "JSON|longer"),
    ({"content_type": "text/xml"}, b"<x/>", "content_type"),
    ({"content_type": "application/cbor"}, b"\x81", "CBOR"),
    ({"content_encoding": "lzma"}, b"x", "content_encoding"),
    ({"content_encoding": "gzip"}, b"x", "gzip"),
    ({"content_encoding": "gzip"}, gzip.compress(b"{}", mtime=0)[:-4], "cut short"),
    ({"content_encoding": "gzip"}, BOMB, "longer than"),
    ({"content_encoding": "zstd"}, zstandard.compress(b" " * 50_000_000), "longer than"),
    ({"content_encoding": "zstd"}, b"x", "zstd"),
]


@pytest.mark.parametrize(("changes", "body", "says"), NEVER, ids=range(len(NEVER)))
def test_what_can_never_run_says_why(
    binding: bindings.Binding, changes: dict[str, Any], body: bytes, says: str
) -> None:
    found = read(binding, properties(**changes), body)
    assert isinstance(found, Never)
    assert any(word in found.reason for word in says.split("|"))


@given(
    st.binary(max_size=200),
    st.sampled_from([None, "gzip", "zstd"]),
    st.sampled_from([None, "application/json", "application/cbor"]),
)
def test_no_body_makes_it_raise(body: bytes, encoding: str | None, kind: str | None) -> None:
    broker = bindings.Broker("amqp://127.0.0.1")
    binding = bindings.Binding("b", "q", "red", "pick", [broker])
    found = read(binding, properties(content_encoding=encoding, content_type=kind), body)
    assert found.identity == "id:m-1"


VALUES = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-2, 200_000),
    st.floats(-1.0, 1e6),
    st.text(max_size=3),
    st.lists(st.sampled_from(["m-1", "", "x"]), max_size=2),
    st.sampled_from(["sweep", "gang"]),
)
FIELDS = st.dictionaries(
    st.sampled_from(
        [
            "pieces",
            "cpus",
            "memoryGb",
            "kit",
            "expectS",
            "shape",
            "cards",
            "builds",
            "awaits",
            "dueS",
            "uid",
            "cancel",
            "together",
            "district",
            "other",
        ]
    ),
    VALUES,
    max_size=4,
)


@given(FIELDS, st.sampled_from(sorted(BODY)), st.booleans(), st.booleans())
def test_the_published_schema_says_what_is_accepted(
    changes: dict[str, Any], without: str, whole: bool, alone: bool
) -> None:
    broker = bindings.Broker("amqp://127.0.0.1")
    binding = bindings.Binding("b", "q", "red", "pick", [broker])
    body = changes if alone else {**BODY, **changes}
    if not whole:
        body.pop(without, None)
    found = read(binding, properties(), json.dumps(body).encode())
    assert VALID.is_valid(body) == (not isinstance(found, Never)), found


@pytest.mark.parametrize(
    ("old", "new", "says"),
    [
        ('team = "red"', 'team = "green"', "unknown team 'green'"),
        ('name = "picks"', 'name = "Picks!"', r"\$\.bindings\[0\]\.name"),
        ('"5" = "high"', '"five" = "high"', "priorities"),
        ('"5" = "high"', '"5" = "urgent"', "urgent"),
        ("amqp://127.0.0.1:5672/work", "http://127.0.0.1", r"brokers\[0\]\.url"),
        ("amqp://127.0.0.1:5672/work", "amqp://u:p@127.0.0.1", "must not contain credentials"),
        ("queue =", "queu =", "queu"),
        (FILE, FILE + FILE, "duplicate name 'picks'"),
    ],
)
def test_wrong_bindings_name_the_place(tmp_path: Path, old: str, new: str, says: str) -> None:
    path, file = tmp_path / "queues.toml", tmp_path / "settings.toml"
    path.write_text(FILE.replace(old, new, 1))
    file.write_text(settings_text())
    with pytest.raises(ConfigError, match=says):
        bindings.load(str(path), load(file))


# -- the life of a message -------------------------------------------------------------------


class State(NamedTuple):
    """Of one message, with two consumers and one that answers, any of which may end."""

    ready: bool = True  # with the broker
    taken: tuple[int, ...] = ()  # consumers that hold a delivery of it
    done: tuple[tuple[str, ...] | None, ...] = (None, None)  # steps of each consumer
    jobs: int = 0
    debt: bool = False
    over: bool = False
    settled: tuple[str, ...] = ()
    answers: int = 0
    copies: int = 0  # redeliveries so far, to keep the space finite
    crashes: int = 0


CRASHES, COPIES = 3, 2


def next_step(done: tuple[str, ...], order: tuple[str, ...]) -> str | None:
    """What follows the steps that are done; None: nothing is left to do."""
    return order[len(done)] if len(done) < len(order) else None


def following(
    s: State, take: tuple[str, ...], settle: tuple[str, ...], fixed_uid: bool
) -> Iterator[State]:
    for c in (0, 1):
        steps = s.done[c]
        if steps is None and s.ready:
            yield s._replace(ready=False, taken=(*s.taken, c), done=_set(s.done, c, ()))
        if steps is not None:
            step = next_step(steps, take)
            after = _set(s.done, c, None if len(steps) + 1 >= len(take) else (*steps, step))
            if step == "ack":
                yield s._replace(taken=tuple(t for t in s.taken if t != c), done=after)
            elif step == "record":
                new = not s.jobs or not fixed_uid
                yield s._replace(jobs=s.jobs + new, debt=s.debt or new, done=after)
            # The broker takes the connection for dead and delivers again, while the consumer
            # goes on: what it acknowledges later counts for nothing.
            if c in s.taken and s.copies < COPIES:
                yield s._replace(
                    ready=True, copies=s.copies + 1, taken=tuple(t for t in s.taken if t != c)
                )
            # It ends, before or after a step: what it holds unacknowledged comes again.
            if s.crashes < CRASHES and s.copies < COPIES:
                back = c in s.taken
                yield s._replace(
                    done=_set(s.done, c, None),
                    taken=tuple(t for t in s.taken if t != c),
                    ready=s.ready or back,
                    copies=s.copies + back,
                    crashes=s.crashes + 1,
                )
    if s.jobs and not s.over:
        yield s._replace(over=True)
    if s.debt and s.over:
        step = next_step(s.settled, settle)
        if step == "answer":
            yield s._replace(settled=(*s.settled, step), answers=s.answers + 1)
        elif step == "forget":
            yield s._replace(settled=(), debt=False)
        elif step is not None:
            yield s._replace(settled=(*s.settled, step))
        if s.settled and s.crashes < CRASHES:
            yield s._replace(settled=(), crashes=s.crashes + 1)


def _set(done: tuple, c: int, value: Any) -> tuple:
    return tuple(value if n == c else old for n, old in enumerate(done))


def explore(
    take: tuple[str, ...], settle: tuple[str, ...] = REPLY_STEPS, *, fixed_uid: bool = True
) -> set[str]:
    """Every state that can be reached; what is wrong in any of them, or at the end of all
    that can happen."""
    todo, seen, wrong = [State()], {State()}, set()
    while todo:
        state = todo.pop()
        if state.jobs > 1:
            wrong.add("two jobs")
        if state.answers and not state.over:
            wrong.add("answered early")
        if not (state.ready or state.taken or state.jobs or any(d is not None for d in state.done)):
            wrong.add("lost")
        if state.over and not state.debt and not state.answers:
            wrong.add("never answered")
        for after in following(state, take, settle, fixed_uid):
            if after not in seen:
                seen.add(after)
                todo.append(after)
    assert len(seen) > 200
    return wrong


def test_no_order_of_crashes_loses_or_doubles_a_message() -> None:
    assert explore(CONSUME_STEPS["once"]) == set()
    assert explore(CONSUME_STEPS["at_least_once"]) == set()
    assert explore(CONSUME_STEPS["at_most_once"]) == {"lost"}  # as it says


@pytest.mark.parametrize(
    ("order", "settle", "fixed_uid", "finds"),
    [
        (("ack", "record"), REPLY_STEPS, True, "lost"),
        (("record", "ack"), REPLY_STEPS, False, "two jobs"),
        (("record", "ack"), ("forget", "answer", "confirm"), True, "never answered"),
    ],
)
def test_the_exploration_finds_the_faults_that_the_order_guards_against(
    order: tuple[str, ...], settle: tuple[str, ...], fixed_uid: bool, finds: str
) -> None:
    assert finds in explore(order, settle, fixed_uid=fixed_uid)
