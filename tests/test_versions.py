"""Compatibility with the version in production, the one before pipelines: its records and
messages are read, and it accepts all that is written and sent now."""

import json
import re
from pathlib import Path
from typing import Any

import msgspec
import pytest
from conftest import settings_text
from days import play

from ryegauge.bookkeeping.state import Event
from ryegauge.bookkeeping.state_replica import Assignment, StateReplica, job_record
from ryegauge.config import load
from ryegauge.emulator.world import World
from ryegauge.protocol.jobs import parse_job
from ryegauge.protocol.peers import parse_message, to_wire

DATA = json.loads((Path(__file__).parent / "data" / "production.json").read_text())

NUMBER = (int, float)
RANGES = [int]
# Field -> (required, type). A list has its elements' type, {"": type} is a map with any keys.
JOB = {
    "uid": (True, str),
    "duty": (True, str),
    "crew": (True, str),
    "shape": (True, str),
    "urgency": (True, str),
    "pieces": (True, int),
    "cpus": (True, NUMBER),
    "cards": (True, NUMBER),
    "memoryGb": (True, NUMBER),
    "kit": (True, str),
    "imageGb": (True, NUMBER),
    "together": (True, bool),
    "spread": (True, bool),
    "loaners": (True, bool),
    "expectS": (True, NUMBER),
    "waypointS": (True, NUMBER),
    "stowS": (True, NUMBER),
    "builds": (False, [str]),
    "district": (False, str),
    "dueS": (False, NUMBER),
}
OWNER = {"o": (True, str), "i": (True, str)}
# Fields that production reads in the record under each key; it ignores all others.
KEYS: dict[str, dict[str, tuple[bool, Any]]] = {
    r"r/n/[^/]+": {"i": (True, str)},
    r"r/p/\d+": OWNER,
    r"r/l": OWNER,
    r"r/c/[^/]+": {
        "label": (True, str),
        "cpus": (True, NUMBER),
        "memoryGb": (True, NUMBER),
        "hourly": (True, NUMBER),
        "startupS": (True, NUMBER),
        "districts": (True, [str]),
    },
    r"r/j/wk-\d+": {"s": (True, JOB), "at": (True, NUMBER), "x": (False, bool)},
    r"r/j/wk-\d+/\d+": {"t": (True, {"": RANGES}), "d": (True, RANGES)},
    r"f/wk-\d+": {"st": (True, str), "d": (True, int)},
}
# Keys that production ignores: it does not know their second segment.
IGNORED_KEYS = r"r/[^npljc]/.+"
# Types of the elements that production reads in each message, by position after the tag.
MESSAGES: dict[str, list[Any]] = {
    "poke": [int],
    "part": [str, int, int, int, list, list, int, int, list],
    "orders": [int, list, list, list, bool],
    "vow": [str, str, list],
    "vowed": [bool, str, list],
    "hello": [str, str],
    "welcome": [str],
    "relay": [str, str, object],
    "relayed": [int, object],
}


def has_type(value: Any, kind: Any) -> bool:
    """Returns whether a value has a type, as KEYS and MESSAGES describe them."""
    if kind is object:
        return True
    if isinstance(kind, dict) and set(kind) == {""}:
        return isinstance(value, dict) and all(has_type(v, kind[""]) for v in value.values())
    if isinstance(kind, dict):
        return isinstance(value, dict) and all(
            has_type(value[name], type_) if name in value else not required
            for name, (required, type_) in kind.items()
        )
    if isinstance(kind, list):
        return isinstance(value, list) and all(has_type(v, kind[0]) for v in value)
    return isinstance(value, kind)


def accepted_record(key: str, value: Any) -> bool:
    """Returns whether production can read this record, by the description in KEYS."""
    for pattern, fields in KEYS.items():
        if re.fullmatch(pattern, key):
            return has_type(value, fields)
    return re.fullmatch(IGNORED_KEYS, key) is not None


def accepted_message(wire: list[Any]) -> bool:
    """Returns whether production can read this message, by the description in MESSAGES."""
    kinds = MESSAGES.get(wire[0])
    return (
        kinds is not None
        and len(wire) > len(kinds)
        and all(has_type(value, kind) for value, kind in zip(wire[1:], kinds, strict=False))
    )


def test_the_description_accepts_data_of_production() -> None:
    assert all(accepted_record(key, value) for key, value in DATA["records"].items())
    assert all(accepted_message(wire) for wire in DATA["messages"])
    assert {wire[0] for wire in DATA["messages"]} == set(MESSAGES)
    assert not accepted_record("r/j/wk-1/w", {"n": []})
    assert not accepted_record("r/j/wk-1", {"s": {}, "at": 0.0})


def test_records_of_production_are_read() -> None:
    replica = StateReplica()
    events = [Event(key, value, 7) for key, value in DATA["records"].items()]
    replica.replace([event for event in events if event.key.startswith("r/")], 7)
    jobs = {key.split("/")[2] for key in DATA["records"] if re.fullmatch(r"r/j/[^/]+", key)}
    assert set(replica.jobs) == jobs
    assert {job.status for job in replica.jobs.values()} <= {"done", "cancelled"}
    assert not replica.waiting
    assert not replica.orphans
    assert replica.leader is not None
    assert set(replica.shards) == {0, 1, 2}
    for key, value in DATA["records"].items():
        if re.fullmatch(r"r/j/wk-\d+/\d+", key):
            assert Assignment.from_record(value, 7).to_record() == {
                "t": {zone: flat for zone, flat in value["t"].items() if flat},
                "d": value["d"],
            }
        elif re.fullmatch(r"r/j/wk-\d+", key):
            spec = parse_job(value["s"])
            record = job_record(spec, value["at"], bool(value.get("x")))
            assert record == value


def test_production_accepts_what_a_day_of_pipelines_writes(tmp_path: Path) -> None:
    """All versions of all records are checked, those of archived jobs included."""
    settings = []
    for n in range(3):
        path = tmp_path / f"{n}.toml"
        path.write_text(settings_text(n))
        loaded = load(path)
        quota = msgspec.structs.replace(loaded.settings.quota, memory_mb=0.2)
        settings.append(
            msgspec.structs.replace(
                loaded, settings=msgspec.structs.replace(loaded.settings, quota=quota)
            )
        )

    async def no_faults(world: World) -> None:
        return

    jobs = [
        {"pieces": 6, "delay": 1.0},
        {"pieces": 4, "delay": 1.0, "awaits": ["wk-000001"], "spread": True, "crew": "blue"},
        {"pieces": 4, "delay": 1.0, "awaits": ["wk-000002"], "cancel_after": 3.0},
        {"pieces": 2, "delay": 60.0, "awaits": ["wk-000001", "wk-000003"]},
    ]
    world = play(settings, 4, jobs, no_faults, 110.0)
    assert world.checker.broken == []
    assert world.unfinished == set()
    written = world.written
    assert {key.split("/")[1] for key, _ in written if key.startswith("r/")} >= set("npljc")
    assert any(key.startswith("f/") for key, _ in written)
    assert [(key, value) for key, value in written if not accepted_record(key, value)] == []


def test_messages_of_production_are_read() -> None:
    for wire in DATA["messages"]:
        encoded = to_wire(parse_message(wire))
        assert accepted_message(encoded)
        assert begins_with(json.loads(json.dumps(encoded)), wire)


def begins_with(new: Any, old: Any) -> bool:
    """Returns whether two values are equal but for elements appended to lists, at any depth."""
    if isinstance(old, list):
        return len(new) >= len(old) and all(map(begins_with, new, old))
    return bool(new == old)


@pytest.mark.parametrize("wire", DATA["messages"])
def test_elements_that_a_later_version_adds_are_ignored(wire: list[Any]) -> None:
    message = parse_message(wire)
    assert parse_message([*to_wire(message), ["more"]]) == message


def test_production_ignores_unknown_elements() -> None:
    """Production uses the same library with the same kind of structs: array-like, with unknown
    elements ignored."""

    class Old(msgspec.Struct, array_like=True, tag="x", frozen=True):
        a: int
        b: list[int] = []

    assert msgspec.convert(["x", 1, [2], [("wk-1", 3)]], Old) == Old(1, [2])
