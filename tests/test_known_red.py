"""KNOWN-RED.txt: which failures it allows, and which errors in it fail the run."""

import subprocess
import sys
from pathlib import Path

import known_red
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


def entry(test: str) -> str:
    return f"test: {test}\ncommand: SEED=5 pytest {test}\nseen: error: a fault\nissue: issue 7\n"


def without(field: str) -> str:
    lines = entry("test_it.py::test_bad[1]").splitlines(keepends=True)
    return "".join(line for line in lines if not line.startswith(f"{field}:"))


BAD = entry("test_it.py::test_bad[1]")
ALL_FIELDS = "expected `test: ...`, `command: ...`, `seen: ...`, `issue: ...`, one line each"
PRINTED = """\
known red: test_it.py::test_bad[1]
  command: SEED=5 pytest test_it.py::test_bad[1]
  seen: error: a fault
  issue: issue 7
"""


def test_any_number_of_entries(tmp_path: Path) -> None:
    path = tmp_path / "KNOWN-RED.txt"
    tests = [f"test_it.py::test_bad[{n}]" for n in range(20)]
    path.write_text("\n" + "\n \n\n".join(entry(test) for test in tests) + "\n")
    assert known_red.read(path) == [
        known_red.KnownFailure(
            test=test, command=f"SEED=5 pytest {test}", seen="error: a fault", issue="issue 7"
        )
        for test in tests
    ]


@pytest.mark.parametrize("workers", [[], ["-n", "2"]])
@pytest.mark.parametrize(
    ("text", "code", "says"),
    [
        ("", 1, "1 failed, 2 passed"),
        (BAD, 0, PRINTED),
        (BAD, 0, "2 passed, 1 xfailed"),
        (entry("test_it.py::test_good"), 1, "2 failed, 1 passed"),
        (f"{BAD}\n{entry('test_it.py::test_bad[3]')}", 1, "no such test: test_it.py::test_bad[3]"),
        (entry("test_at.py::test_bad"), 1, "no such test: test_at.py::test_bad"),
        (
            without("test"),
            4,
            "KNOWN-RED.txt:1: field `test` is missing or out of order: "
            "expected `test: ...` before `command: ...`",
        ),
        (
            f"{BAD}\n{without('seen')}",
            4,
            "KNOWN-RED.txt:8: field `seen` is missing or out of order: "
            "expected `seen: ...` before `issue: ...`",
        ),
        (
            without("issue"),
            4,
            "KNOWN-RED.txt:3: field `issue` is missing: expected `issue: ...` after this line",
        ),
        (
            BAD.replace("error: a fault", " "),
            4,
            "KNOWN-RED.txt:3: field `seen` is empty: expected `seen: ...`",
        ),
        (
            BAD * 2,
            4,
            "KNOWN-RED.txt:5: field `test` is repeated: expected a blank line between entries",
        ),
        (
            BAD.replace("seen:", "cause:"),
            4,
            f"KNOWN-RED.txt:3: unknown field `cause`: {ALL_FIELDS}",
        ),
        (f"{BAD}more\n", 4, f"KNOWN-RED.txt:5: unknown field `more`: {ALL_FIELDS}"),
        (
            "test_it.py::test_bad[1], a fault, issue 7\n",
            4,
            f"KNOWN-RED.txt:1: unknown field `test_it.py`: {ALL_FIELDS}",
        ),
    ],
)
def test_known_red(tmp_path: Path, workers: list[str], text: str, code: int, says: str) -> None:
    (tmp_path / "conftest.py").write_text(CONFTEST.format(here=str(HERE)))
    (tmp_path / "test_it.py").write_text(TESTS)
    if text:
        (tmp_path / "KNOWN-RED.txt").write_text(text)
    run = subprocess.run(
        [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", *workers, str(tmp_path)],
        cwd=tmp_path,
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert says in run.stdout + run.stderr
    assert run.returncode == code
