"""Old and new versions on each other's data: records and messages of the version before
pipelines are read, and what is written now is what that version accepts."""

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
FLAT = [int]
# Field: (required, type or the types of what it holds).
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
# What production reads under each key, and cannot do without; other fields are passed over.
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
    r"r/j/wk-\d+/\d+": {"t": (True, {"": FLAT}), "d": (True, FLAT)},
    r"f/wk-\d+": {"st": (True, str), "d": (True, int)},
}
# Keys that production passes over: it knows neither their second part nor their meaning.
PASSED_OVER = r"r/[^npljc]/.+"
# What production reads of each message, by place.
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


def fits(value: Any, kind: Any) -> bool:
    if kind is object:
        return True
    if isinstance(kind, dict) and set(kind) == {""}:
        return isinstance(value, dict) and all(fits(v, kind[""]) for v in value.values())
    if isinstance(kind, dict):
        return isinstance(value, dict) and all(
            fits(value[name], of) if name in value else not required
            for name, (required, of) in kind.items()
        )
    if isinstance(kind, list):
        return isinstance(value, list) and all(fits(v, kind[0]) for v in value)
    return isinstance(value, kind)


def accepted(key: str, value: Any) -> bool:
    """By the plain description: whether production can read this record."""
    for pattern, fields in KEYS.items():
        if re.fullmatch(pattern, key):
            return fits(value, fields)
    return re.fullmatch(PASSED_OVER, key) is not None


def accepted_message(wire: list[Any]) -> bool:
    kinds = MESSAGES.get(wire[0])
    return (
        kinds is not None
        and len(wire) > len(kinds)
        and all(fits(value, kind) for value, kind in zip(wire[1:], kinds, strict=False))
    )


def test_the_description_fits_production_itself() -> None:
    assert all(accepted(key, value) for key, value in DATA["records"].items())
    assert all(accepted_message(wire) for wire in DATA["messages"])
    assert {wire[0] for wire in DATA["messages"]} == set(MESSAGES)
    assert not accepted("r/j/wk-1/w", {"n": []})
    assert not accepted("r/j/wk-1", {"s": {}, "at": 0.0})


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
            again = job_record(spec, value["at"], bool(value.get("x")))
            assert again == value


def test_what_is_written_on_a_day_of_pipelines_is_accepted(tmp_path: Path) -> None:
    """Archived jobs included; of each key all that was written."""
    settings = []
    for n in range(3):
        path = tmp_path / f"{n}.toml"
        path.write_text(settings_text(n))
        one = load(path)
        quota = msgspec.structs.replace(one.settings.quota, memory_mb=0.2)
        settings.append(
            msgspec.structs.replace(
                one, settings=msgspec.structs.replace(one.settings, quota=quota)
            )
        )

    async def quiet(world: World) -> None:
        return

    jobs = [
        {"pieces": 6, "delay": 1.0},
        {"pieces": 4, "delay": 1.0, "awaits": ["wk-000001"], "spread": True, "crew": "blue"},
        {"pieces": 4, "delay": 1.0, "awaits": ["wk-000002"], "cancel_after": 3.0},
        {"pieces": 2, "delay": 60.0, "awaits": ["wk-000001", "wk-000003"]},
    ]
    world = play(settings, 4, jobs, quiet, 110.0)
    assert world.checker.broken == []
    assert world.unfinished == set()
    written = world.written
    assert {key.split("/")[1] for key, _ in written if key.startswith("r/")} >= set("npljc")
    assert any(key.startswith("f/") for key, _ in written)
    assert [(key, value) for key, value in written if not accepted(key, value)] == []


def test_messages_of_production_are_read() -> None:
    for wire in DATA["messages"]:
        again = to_wire(parse_message(wire))
        assert accepted_message(again)
        assert begins_with(json.loads(json.dumps(again)), wire)


def begins_with(new: Any, old: Any) -> bool:
    """A list has what it had, and may have more behind that, at any depth."""
    if isinstance(old, list):
        return len(new) >= len(old) and all(map(begins_with, new, old))
    return bool(new == old)


@pytest.mark.parametrize("wire", DATA["messages"])
def test_elements_that_a_later_version_adds_are_passed_over(wire: list[Any]) -> None:
    message = parse_message(wire)
    assert parse_message([*to_wire(message), ["more"]]) == message


def test_production_passes_over_fields_and_elements_that_it_does_not_know() -> None:
    """Its structs are as here, of the same library: array-like, unknown fields allowed."""

    class Old(msgspec.Struct, array_like=True, tag="x", frozen=True):
        a: int
        b: list[int] = []

    assert msgspec.convert(["x", 1, [2], [("wk-1", 3)]], Old) == Old(1, [2])
