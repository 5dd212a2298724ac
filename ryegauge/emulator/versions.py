"""Loads controllers of another version from a checkout, to run them in this version's emulator."""

import importlib
import sys
from pathlib import Path
from typing import Any

from ryegauge.config import Settings, State, Team
from ryegauge.coordination.node import Node

# Former names of properties that controllers of older versions read from the settings.
FORMER_NAMES: dict[type, dict[str, str]] = {
    Settings: {"term_s": "controller_lease_s", "sure_lease_s": "max_lease_s"},
    State: {"conditions": "max_conditions"},
    Team: {"most_cpus": "cpu_limit", "most_gpus": "gpu_limit"},
}


def load_node_class(checkout: str | Path | None) -> Any:
    """The `Node` class of the version in `checkout`; without a checkout, this version's.
    The settings' types get the properties' former names; `sys.modules` and `sys.path` are as
    before when it returns."""
    if checkout is None:
        return Node
    for owner, names in FORMER_NAMES.items():
        for former, present in names.items():
            setattr(owner, former, getattr(owner, present))
    own_modules = {
        name: sys.modules.pop(name)
        for name in list(sys.modules)
        if name.split(".")[0] == "ryegauge"
    }
    sys.path.insert(0, str(checkout))
    try:
        module = importlib.import_module("ryegauge.coordination.node")
        # The emulator's network raises and returns this version's classes, so the other
        # version's modules have to use them too.
        for other in [m for n, m in sys.modules.items() if n.split(".")[0] == "ryegauge"]:
            for name in ("Unreachable", "Malformed", "Reply"):
                if hasattr(other, name):
                    setattr(other, name, getattr(own_modules["ryegauge.transport.http"], name))
        return module.Node
    finally:
        sys.path.remove(str(checkout))
        for name in [n for n in sys.modules if n.split(".")[0] == "ryegauge"]:
            del sys.modules[name]
        sys.modules.update(own_modules)
