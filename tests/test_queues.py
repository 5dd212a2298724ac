"""Parsing of queue messages into jobs, validation of bindings, and a model check that no order
of crashes loses or duplicates a message."""

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

QUEUES_TOML = """
[[bindings]]
name = "picks"
queue = "seismic.picks"
team = "red"
job_class = "pick"
priorities = { "0" = "normal", "5" = "high" }
[[bindings.brokers]]
url = "amqp://127.0.0.1:5672/work"
"""
MESSAGE_VALIDATOR = jsonschema.Draft202012Validator(message_schema())
BODY = {"pieces": 2, "cpus": 1.0, "memoryGb": 1.0, "kit": "img-1", "expectS": 20.0}


@pytest.fixture
def binding(tmp_path: Path) -> bindings.Binding:
    path = tmp_path / "queues.toml"
    path.write_text(QUEUES_TOML)
    (loaded,) = bindings.load(str(path)).bindings
    return loaded


def properties(**changes: Any) -> Basic.Properties:
    return Basic.Properties(**{"message_id": "m-1", "content_type": "application/json", **changes})


def test_encodings_of_a_message_yield_the_same_job(binding: bindings.Binding) -> None:
    data = json.dumps(BODY).encode()
    variants = [
        read(binding, properties(), data),
        read(binding, properties(content_type="application/cbor"), cbor2.dumps(BODY)),
        read(binding, properties(content_encoding="gzip"), gzip.compress(data)),
        read(binding, properties(content_encoding="zstd"), zstandard.compress(data)),
    ]
    assert all(isinstance(variant, Submission) for variant in variants)
    assert len({msgspec.json.encode(variant) for variant in variants}) == 1
    spec = variants[0].spec  # type: ignore[union-attr]
    assert (spec.team, spec.job_class, spec.priority, spec.tasks) == ("red", "pick", "normal", 2)
    assert valid_uid(spec.uid)
    assert len(spec.uid) == 35
    urgent = read(binding, properties(priority=7), data)
    assert isinstance(urgent, Submission)
    assert urgent.spec.priority == "high"


def test_without_message_id_content_and_window_identify_the_message(
    binding: bindings.Binding,
) -> None:
    """The window depends on the message's timestamp, not on the time of delivery: a redelivery
    after the end of the window is still the same message."""
    data = json.dumps(BODY).encode()

    def uid(second: int | None, body: bytes = data) -> str:
        timestamp = None if second is None else datetime.fromtimestamp(second, UTC)
        parsed = read(binding, properties(message_id=None, timestamp=timestamp), body)
        assert isinstance(parsed, Submission)
        return parsed.spec.uid

    assert uid(7200) == uid(7200) == uid(10_799)
    assert uid(7200) != uid(10_800)
    assert uid(None) == uid(None)
    assert uid(7200) != uid(7200, json.dumps({**BODY, "pieces": 3}).encode())


def test_uids_of_different_bindings_differ() -> None:
    uids = {uid_of(name, f"id:{n}") for name in ("a", "b") for n in range(500)}
    assert len(uids) == 1000
    # Moving text between the two parts yields another uid.
    assert uid_of("a", "id:x y") != uid_of("a id:x", "y")


def test_needs_and_cancellations_refer_to_message_ids(binding: bindings.Binding) -> None:
    parsed = read(binding, properties(), json.dumps({**BODY, "awaits": ["m-0"]}).encode())
    assert isinstance(parsed, Submission)
    assert parsed.spec.needs == (uid_of("picks", "id:m-0"),)
    cancellation = read(binding, properties(message_id="m-2"), b'{"cancel": "m-1"}')
    assert cancellation == Cancellation("id:m-2", uid_of("picks", "id:m-1"))


DECOMPRESSION_BOMB = gzip.compress(b" " * 50_000_000, mtime=0)
INVALID_MESSAGES = [
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
    ({"content_encoding": "gzip"}, DECOMPRESSION_BOMB, "longer than"),
    ({"content_encoding": "zstd"}, zstandard.compress(b" " * 50_000_000), "longer than"),
    ({"content_encoding": "zstd"}, b"x", "zstd"),
]


@pytest.mark.parametrize(
    ("changes", "body", "expected"), INVALID_MESSAGES, ids=range(len(INVALID_MESSAGES))
)
def test_invalid_messages_report_the_reason(
    binding: bindings.Binding, changes: dict[str, Any], body: bytes, expected: str
) -> None:
    parsed = read(binding, properties(**changes), body)
    assert isinstance(parsed, Never)
    assert any(word in parsed.reason for word in expected.split("|"))


@given(
    st.binary(max_size=200),
    st.sampled_from([None, "gzip", "zstd"]),
    st.sampled_from([None, "application/json", "application/cbor"]),
)
def test_arbitrary_bodies_do_not_raise(
    body: bytes, encoding: str | None, content_type: str | None
) -> None:
    broker = bindings.Broker("amqp://127.0.0.1")
    binding = bindings.Binding("b", "q", "red", "pick", [broker])
    parsed = read(binding, properties(content_encoding=encoding, content_type=content_type), body)
    assert parsed.identity == "id:m-1"


FIELD_VALUES = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-2, 200_000),
    st.floats(-1.0, 1e6),
    st.text(max_size=3),
    st.lists(st.sampled_from(["m-1", "", "x"]), max_size=2),
    st.sampled_from(["sweep", "gang"]),
)
CHANGED_FIELDS = st.dictionaries(
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
    FIELD_VALUES,
    max_size=4,
)


@given(CHANGED_FIELDS, st.sampled_from(sorted(BODY)), st.booleans(), st.booleans())
def test_schema_accepts_what_the_parser_accepts(
    changes: dict[str, Any], omitted: str, complete: bool, changes_only: bool
) -> None:
    broker = bindings.Broker("amqp://127.0.0.1")
    binding = bindings.Binding("b", "q", "red", "pick", [broker])
    body = changes if changes_only else {**BODY, **changes}
    if not complete:
        body.pop(omitted, None)
    parsed = read(binding, properties(), json.dumps(body).encode())
    assert MESSAGE_VALIDATOR.is_valid(body) == (not isinstance(parsed, Never)), parsed


@pytest.mark.parametrize(
    ("old", "new", "expected"),
    [
        ('team = "red"', 'team = "green"', "unknown team 'green'"),
        ('name = "picks"', 'name = "Picks!"', r"\$\.bindings\[0\]\.name"),
        ('"5" = "high"', '"five" = "high"', "priorities"),
        ('"5" = "high"', '"5" = "urgent"', "urgent"),
        ("amqp://127.0.0.1:5672/work", "http://127.0.0.1", r"brokers\[0\]\.url"),
        ("amqp://127.0.0.1:5672/work", "amqp://u:p@127.0.0.1", "must not contain credentials"),
        ("queue =", "queu =", "queu"),
        (QUEUES_TOML, QUEUES_TOML + QUEUES_TOML, "duplicate name 'picks'"),
    ],
)
def test_invalid_bindings_report_the_place(
    tmp_path: Path, old: str, new: str, expected: str
) -> None:
    path, settings_path = tmp_path / "queues.toml", tmp_path / "settings.toml"
    path.write_text(QUEUES_TOML.replace(old, new, 1))
    settings_path.write_text(settings_text())
    with pytest.raises(ConfigError, match=expected):
        bindings.load(str(path), load(settings_path))


# -- model check of the processing steps -----------------------------------------------------


class MessageState(NamedTuple):
    """State of one message with two consumers and a leader that replies; any of them may crash."""

    ready: bool = True  # in the queue
    holders: tuple[int, ...] = ()  # consumers with an unacknowledged delivery
    # Completed steps of each consumer; None: it is not processing the message.
    consumer_progress: tuple[tuple[str, ...] | None, ...] = (None, None)
    jobs: int = 0
    reply_pending: bool = False
    job_ended: bool = False
    reply_progress: tuple[str, ...] = ()
    answers: int = 0
    redeliveries: int = 0  # bounded, to keep the state space finite
    crashes: int = 0


MAX_CRASHES, MAX_REDELIVERIES = 3, 2


def next_step(completed: tuple[str, ...], step_order: tuple[str, ...]) -> str | None:
    """The step after those that are done; None if all are done."""
    return step_order[len(completed)] if len(completed) < len(step_order) else None


def successors(
    s: MessageState, consume_order: tuple[str, ...], reply_order: tuple[str, ...], stable_uid: bool
) -> Iterator[MessageState]:
    """All states that one step, redelivery or crash leads to."""
    for consumer in (0, 1):
        progress = s.consumer_progress[consumer]
        if progress is None and s.ready:
            yield s._replace(
                ready=False,
                holders=(*s.holders, consumer),
                consumer_progress=_replaced(s.consumer_progress, consumer, ()),
            )
        if progress is not None:
            step = next_step(progress, consume_order)
            after = _replaced(
                s.consumer_progress,
                consumer,
                None if len(progress) + 1 >= len(consume_order) else (*progress, step),
            )
            if step == "ack":
                yield s._replace(
                    holders=tuple(holder for holder in s.holders if holder != consumer),
                    consumer_progress=after,
                )
            elif step == "record":
                new = not s.jobs or not stable_uid
                yield s._replace(
                    jobs=s.jobs + new, reply_pending=s.reply_pending or new, consumer_progress=after
                )
            # The broker considers the connection dead and redelivers while the consumer goes on;
            # its later acknowledgement has no effect.
            if consumer in s.holders and s.redeliveries < MAX_REDELIVERIES:
                yield s._replace(
                    ready=True,
                    redeliveries=s.redeliveries + 1,
                    holders=tuple(holder for holder in s.holders if holder != consumer),
                )
            # The consumer crashes before or after a step; its unacknowledged delivery is requeued.
            if s.crashes < MAX_CRASHES and s.redeliveries < MAX_REDELIVERIES:
                holds = consumer in s.holders
                yield s._replace(
                    consumer_progress=_replaced(s.consumer_progress, consumer, None),
                    holders=tuple(holder for holder in s.holders if holder != consumer),
                    ready=s.ready or holds,
                    redeliveries=s.redeliveries + holds,
                    crashes=s.crashes + 1,
                )
    if s.jobs and not s.job_ended:
        yield s._replace(job_ended=True)
    if s.reply_pending and s.job_ended:
        step = next_step(s.reply_progress, reply_order)
        if step == "answer":
            yield s._replace(reply_progress=(*s.reply_progress, step), answers=s.answers + 1)
        elif step == "forget":
            yield s._replace(reply_progress=(), reply_pending=False)
        elif step is not None:
            yield s._replace(reply_progress=(*s.reply_progress, step))
        if s.reply_progress and s.crashes < MAX_CRASHES:
            yield s._replace(reply_progress=(), crashes=s.crashes + 1)


def _replaced(values: tuple, index: int, value: Any) -> tuple:
    return tuple(value if n == index else old for n, old in enumerate(values))


def find_violations(
    consume_order: tuple[str, ...],
    reply_order: tuple[str, ...] = REPLY_STEPS,
    *,
    stable_uid: bool = True,
) -> set[str]:
    """Explores every reachable state; returns the violations found in any of them."""
    todo, seen, violations = [MessageState()], {MessageState()}, set()
    while todo:
        state = todo.pop()
        if state.jobs > 1:
            violations.add("two jobs")
        if state.answers and not state.job_ended:
            violations.add("answered early")
        if not (
            state.ready
            or state.holders
            or state.jobs
            or any(d is not None for d in state.consumer_progress)
        ):
            violations.add("lost")
        if state.job_ended and not state.reply_pending and not state.answers:
            violations.add("never answered")
        for after in successors(state, consume_order, reply_order, stable_uid):
            if after not in seen:
                seen.add(after)
                todo.append(after)
    assert len(seen) > 200
    return violations


def test_no_crash_order_loses_or_duplicates_a_message() -> None:
    assert find_violations(CONSUME_STEPS["once"]) == set()
    assert find_violations(CONSUME_STEPS["at_least_once"]) == set()
    assert find_violations(CONSUME_STEPS["at_most_once"]) == {"lost"}  # by definition


@pytest.mark.parametrize(
    ("step_order", "reply_order", "stable_uid", "violation"),
    [
        (("ack", "record"), REPLY_STEPS, True, "lost"),
        (("record", "ack"), REPLY_STEPS, False, "two jobs"),
        (("record", "ack"), ("forget", "answer", "confirm"), True, "never answered"),
    ],
)
def test_model_check_finds_wrong_step_orders(
    step_order: tuple[str, ...], reply_order: tuple[str, ...], stable_uid: bool, violation: str
) -> None:
    assert violation in find_violations(step_order, reply_order, stable_uid=stable_uid)
