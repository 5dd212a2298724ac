"""KNOWN-RED.txt: what it excuses, and what it does not."""

import subprocess
import sys
from pathlib import Path

import pytest

HERE = Path(__file__).parent
CONFTEST = """
import sys
from pathlib import Path
sys.path.insert(0, {here!r})
import known_red

def pytest_configure(config):
    plugin = known_red.Plugin(Path(__file__).parent)
    plugin.pytest_configure(config)
    config.pluginmanager.register(plugin)
"""
TESTS = """
import pytest

def test_good(): assert True
@pytest.mark.parametrize("n", [1, 2])
def test_bad(n): assert n != 1
"""


@pytest.mark.parametrize("workers", [[], ["-n", "2"]])
@pytest.mark.parametrize(
    ("lines", "code", "says"),
    [
        ("", 1, "1 failed, 2 passed"),
        (
            "test_it.py::test_bad[1], a fault, issue 7\n",
            0,
            "known red: test_it.py::test_bad[1]: a fault (issue 7)",
        ),
        ("test_it.py::test_good, a fault, issue 7\n", 1, "2 failed, 1 passed"),
        ("test_it.py::test_bad[1], a, b\ntest_it.py::test_bad[3], a, b\n", 1, "no such test"),
        ("test_at.py::test_bad, a, b\n", 1, "no such test"),
        ("test_it.py::test_bad[1] a fault\n", 4, "expected `test id, cause, issue`"),
        ("test_it.py::test_bad[1], , issue 7\n", 4, "expected `test id, cause, issue`"),
        ("test_it.py::test_bad[1], a, b\n" * 4, 4, "4 tests; expected at most 3"),
    ],
)
def test_known_red(tmp_path: Path, workers: list[str], lines: str, code: int, says: str) -> None:
    (tmp_path / "conftest.py").write_text(CONFTEST.format(here=str(HERE)))
    (tmp_path / "test_it.py").write_text(TESTS)
    if lines:
        (tmp_path / "KNOWN-RED.txt").write_text(lines)
    run = subprocess.run(
        [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", *workers, str(tmp_path)],
        cwd=tmp_path,
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert says in run.stdout + run.stderr
    assert run.returncode == code
