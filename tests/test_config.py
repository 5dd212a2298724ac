"""Settings and properties: a bad file is refused with the key at fault."""

from pathlib import Path

import pytest
from click.testing import CliRunner
from conftest import settings_text

from ryegauge.cli import main
from ryegauge.config import ConfigError, load, load_properties


@pytest.mark.parametrize(
    ("old", "new", "says"),
    [
        ('listen = "10.0.0.1:8080"', 'listen = "nowhere"', "listen"),
        ("lease_s = 10.0", 'lease_s = "long"', "lease_s"),
        ("lease_s = 10.0", "lease_s = -1.0", "lease_s"),
        ("cancel_s = 35.0", "cancel_s = 12.0", "cancel_s"),
        ("nodes = 3", "", "nodes"),
        ("cpus = 16.0", "cpus = 99.0", "red"),
        ("rps = 100.0", "rps = 0.0", "rps"),
        ("txn_ops = 12", "txn_ops = 12\n[settings.state.next]\ntxn_ops = 0", "txn_ops"),
        ("txn_ops = 12", 'txn_ops = 12\n[settings.state.next]\nvalue_kb = "2"', "value_kb"),
        ("txn_ops = 12", "txn_ops = 12\n[settings.state.next]\nvalue_kb = 0.1", "value_kb"),
        ("nodes = 3", "nodes = 99", "txn_ops"),
        ("[settings]", "[settings", "TOML"),
    ],
)
def test_bad_settings_name_the_key(tmp_path: Path, old: str, new: str, says: str) -> None:
    path = tmp_path / "s.toml"
    text = settings_text()
    assert old in text
    path.write_text(text.replace(old, new, 1))
    with pytest.raises(ConfigError, match=says):
        load(path)
    result = CliRunner().invoke(main, ["serve", "--config", str(path)])
    assert result.exit_code == 2
    assert says in result.output


def test_the_smaller_of_present_and_coming_limits_counts(tmp_path: Path) -> None:
    path = tmp_path / "s.toml"
    coming = "txn_ops = 12\n[settings.state.next]\nvalue_kb = 2.0\nwrite_rps = 99.0\n"
    path.write_text(settings_text().replace("txn_ops = 12\n", coming))
    limits = load(path).state_limits
    assert (limits.value_kb, limits.txn_ops, limits.write_rps) == (2.0, 12, 40.0)
    assert limits.value_bytes < 2048


def test_unknown_settings_are_ignored(tmp_path: Path) -> None:
    path = tmp_path / "s.toml"
    path.write_text("new_field = 1\n" + settings_text() + "[extra]\nx = 1\n")
    assert load(path).node_name == "node-0"


def test_authority_and_leases_fit_into_a_cancellation(tmp_path: Path) -> None:
    """A controller that hears of nothing answers workers for a term; their tasks then
    last for a lease: both, with the reports around them, must end within cancel_s."""
    path = tmp_path / "s.toml"
    path.write_text(settings_text())
    settings = load(path)
    w = settings.settings.workers
    assert settings.controller_lease_s + w.lease_s + 2 * settings.report_gap_s < w.cancel_s


def test_properties(tmp_path: Path) -> None:
    path = tmp_path / "p.properties"
    path.write_text("# ours\ntakeback.threshold = 0.5\nidle.boots: 2\n")
    assert load_properties(path).takeback_threshold == 0.5
    assert load_properties(path).idle_boots == 2
    for text, says in [
        ("takeback.threshold = 1.5", "takeback.threshold"),
        ("idle.boots = soon", "idle.boots"),
        ("idle.boost = 1", "idle.boost"),
    ]:
        path.write_text(text)
        with pytest.raises(ConfigError, match=says):
            load_properties(path)
