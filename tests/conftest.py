"""Settings and jobs that most tests use, and a reproducible hypothesis profile."""

import os
from pathlib import Path

import known_red
import pytest
from hypothesis import settings as hypothesis_settings

from ryegauge.config import Settings, load

# Simulated days depend on the iteration order of sets, which is the same in each run with a fixed
# hash seed. To try another order: PYTHONHASHSEED=7 pytest
os.environ.setdefault("PYTHONHASHSEED", "0")

hypothesis_settings.register_profile("ci", derandomize=True, deadline=None, database=None)
hypothesis_settings.load_profile("ci")


def pytest_configure(config: pytest.Config) -> None:
    """Loads the plugin that handles the tests listed in KNOWN-RED.txt."""
    plugin = known_red.Plugin(Path(__file__).parent.parent)
    plugin.pytest_configure(config)
    config.pluginmanager.register(plugin)


SETTINGS_TEMPLATE = """
node_name = "{name}"
area = "{area}"
listen = "10.0.0.{n}:8080"
mesh_addr = "10.0.0.{n}:8081"
[outside]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"
[settings]
nodes = {count}
zones = ["a", "b"]
clock_error_ms = 5.0
[[settings.teams]]
name = "red"
cpus = 16.0
cpus_max = 32.0
[[settings.teams]]
name = "blue"
cpus = 8.0
cpus_max = 48.0
[settings.workers]
report_s = 1.0
lease_s = 10.0
cancel_s = 35.0
[settings.state]
rps = 100.0
write_rps = 40.0
value_kb = 16.0
txn_ops = 12
[settings.cloud]
rps = 6.0
list_lag_s = 4.0
[settings.quota]
core_share = 0.5
memory_mb = 106.0
max_connections = 600
"""


def settings_text(n: int = 0, count: int = 3, areas: str = "a") -> str:
    """Returns the settings file of controller `n` of `count`.

    Controllers are spread in turn over the zones in `areas`, one letter each."""
    text = SETTINGS_TEMPLATE.format(
        name=f"node-{n}", n=n + 1, count=count, area=areas[n % len(areas)]
    )
    known = "".join(
        f'[[known]]\nnode_name = "node-{i}"\narea = "{areas[i % len(areas)]}"\n'
        f'peer_addr = "10.0.0.{i + 1}:8081"\n'
        for i in range(count)
        if i != n
    )
    return text + known


@pytest.fixture
def settings(tmp_path: Path) -> Settings:
    """The settings of the first of three controllers."""
    path = tmp_path / "settings.toml"
    path.write_text(settings_text())
    return load(path)


def job_body(uid: str = "wk-000001", **changes: object) -> dict[str, object]:
    """Returns the body of a submission with these fields changed."""
    body: dict[str, object] = {
        "uid": uid,
        "duty": "clean",
        "crew": "red",
        "shape": "sweep",
        "urgency": "normal",
        "pieces": 4,
        "cpus": 2.0,
        "cards": 0.0,
        "memoryGb": 4.0,
        "kit": "img-1",
        "imageGb": 1.0,
        "builds": None,
        "district": None,
        "together": False,
        "spread": False,
        "loaners": True,
        "expectS": 20.0,
        "waypointS": 0.0,
        "stowS": 0.0,
        "dueS": 300.0,
    }
    return {**body, **changes}
