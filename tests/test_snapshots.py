"""Snapshots: the file format, what a snapshot says about a loss, and the commands."""

import re
from pathlib import Path

import pytest
from click.testing import CliRunner
from conftest import job_body, settings_text
from hypothesis import given
from hypothesis import strategies as st

from ryegauge.bookkeeping.state import Event
from ryegauge.bookkeeping.state_replica import StateReplica, job_record
from ryegauge.cli import main
from ryegauge.config import ConfigError, load, load_properties
from ryegauge.protocol.jobs import parse_job
from ryegauge.rebuilding import snapshots
from ryegauge.rebuilding.records import KnownRecord, KnownState
from ryegauge.rebuilding.snapshots import (
    SnapshotHeader,
    Unusable,
    decoded,
    encode_snapshot,
    evidence_of_loss,
)

VALUES = st.recursive(
    st.none() | st.booleans() | st.integers(0, 2**60) | st.text(max_size=8) | st.floats(0, 1e9),
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=4), inner, max_size=3)
    ),
    max_leaves=6,
)
KNOWN_RECORDS = st.builds(KnownRecord, VALUES, st.integers(0, 255), st.integers(0, 2**36))
KNOWN_STATES = st.builds(
    KnownState,
    st.dictionaries(st.text(max_size=12), KNOWN_RECORDS, max_size=250),
    st.dictionaries(
        st.text(max_size=9),
        st.tuples(st.sampled_from(["done", "cancelled"]), st.integers(0, 9)),
        max_size=8,
    ),
    st.just(False),
)
HEADER = SnapshotHeader("f1", "node-0", 1_700_000_000.25, 2, 77)


@given(KNOWN_STATES)
def test_round_trip(known_state: KnownState) -> None:
    chunks = list(encode_snapshot(HEADER, known_state))
    assert len(chunks) >= 4 + len(known_state.records) // 100
    assert decoded(b"".join(chunks), "f1") == (HEADER, known_state)


def test_unusable_files_are_refused_with_the_reason() -> None:
    """A truncated, corrupted or foreign file is refused with the reason."""
    known_state = KnownState({"r/j/a": KnownRecord({"at": 1}, 0, 5)}, {"b": ("done", 3)}, False)
    data = b"".join(encode_snapshot(HEADER, known_state))
    for at in range(len(data)):
        changed = data[:at] + bytes([data[at] ^ 0x41]) + data[at + 1 :]
        with pytest.raises(Unusable):
            decoded(changed)
        with pytest.raises(Unusable):
            decoded(data[:at])
    with pytest.raises(Unusable, match="of another fleet"):
        decoded(data, "f2")
    with pytest.raises(Unusable, match="not a snapshot"):
        decoded(b"something else", "f1")
    with pytest.raises(Unusable, match="format 9; this version reads 1"):
        decoded(data[:18] + b"\x09" + data[19:])


def replica_of(versions: dict[str, int], state_revision: int) -> StateReplica:
    replica = StateReplica()
    record = job_record(parse_job(job_body("wk-000001")), 1.0, False)
    share = {"t": {"": [0, 2]}, "d": []}
    replica.replace(
        [Event(k, share if k.count("/") == 3 else record, v) for k, v in versions.items()],
        state_revision,
    )
    return replica


def test_only_a_service_behind_the_snapshot_shows_a_loss() -> None:
    """A snapshot shows a loss only if the service is behind it: in epoch, revision or version."""
    record = KnownRecord(job_record(parse_job(job_body("wk-000001")), 1.0, False), 0, 5)
    share = KnownRecord({"t": {"": [0, 2]}, "d": []}, 0, 7)
    known_state = KnownState(
        {"r/j/wk-000001": record, "r/j/wk-000001/0": share}, {"wk-2": ("done", 1)}, False
    )
    snapshot = decoded(
        b"".join(encode_snapshot(HEADER._replace(epoch=0, state_revision=7), known_state))
    )
    both = {"r/j/wk-000001": 5, "r/j/wk-000001/0": 7}
    assert evidence_of_loss(snapshot, replica_of(both, 7)) == ""
    assert evidence_of_loss(snapshot, replica_of({**both, "r/j/wk-000001/0": 9}, 9)) == ""
    assert "revision 7, the state service of 6" in evidence_of_loss(snapshot, replica_of(both, 6))
    assert "wk-000001/0" in evidence_of_loss(snapshot, replica_of({"r/j/wk-000001": 5}, 9))
    assert "of epoch 2" in evidence_of_loss(snapshot._replace(header=HEADER), replica_of(both, 99))
    # A missing job may have been archived: its outcome has to be looked up first.
    assert evidence_of_loss(snapshot, replica_of({}, 9)) == ""
    assert list(snapshots.missing_jobs(snapshot, replica_of({}, 9))) == ["wk-000001", "wk-2"]
    assert list(snapshots.missing_jobs(snapshot, replica_of(both, 9))) == ["wk-2"]


def test_newest_snapshots_are_kept() -> None:
    names = [
        snapshots.snapshot_name(HEADER._replace(taken_at=at))
        for at in (5.0, 100.0, 20.0, 1_700_000_000.0)
    ]
    assert snapshots.snapshots_to_delete([*names, "other"], 3) == [names[0]]


def test_snapshot_commands(tmp_path: Path) -> None:
    config = tmp_path / "settings.toml"
    config.write_text(settings_text())
    header = HEADER._replace(fleet=snapshots.fleet_of(load(config)))
    known_state = KnownState({"r/j/a": KnownRecord({"at": 1}, 0, 5)}, {"b": ("done", 3)}, False)
    good, bad = tmp_path / snapshots.snapshot_name(header), tmp_path / "0-node-1.ryegauge"
    data = b"".join(encode_snapshot(header, known_state))
    good.write_bytes(data)
    bad.write_bytes(data[:-1])

    def run(*words: str) -> tuple[int, str]:
        result = CliRunner().invoke(main, ["snapshot", *words])
        return result.exit_code, result.output

    code, out = run("list", str(tmp_path), "--config", str(config))
    assert code == 0
    first, second = out.splitlines()
    assert re.search(r"good: .*node-0, epoch 2, revision 77, 1 jobs in 1 records, 1 outc", first)
    assert "truncated" in second
    assert run("check", str(good))[0] == 0
    assert run("check", str(good), str(bad))[0] == 1
    assert run("check", str(tmp_path / "none"))[0] == 1
    into = tmp_path / "into"
    into.mkdir()
    assert run("put", str(bad), "--into", str(into), "--config", str(config))[0] == 1
    assert not list(into.iterdir())
    assert run("put", str(good), "--into", str(into), "--config", str(config))[0] == 0
    (placed,) = into.iterdir()
    assert placed.read_bytes() == data
    other = tmp_path / "other.toml"
    other.write_text(settings_text().replace("10.2.0.1", "10.2.0.9"))
    code, out = run("put", str(good), "--into", str(into), "--config", str(other))
    assert code == 1
    assert "another fleet" in out
    properties = tmp_path / "p"
    properties.write_text("snapshots.directory = /var\n")
    with pytest.raises(ConfigError, match="needs rebuilding = on"):
        load_properties(properties)
