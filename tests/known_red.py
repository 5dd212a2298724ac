"""Tests that are known to fail for a real fault, named in KNOWN-RED.txt at the root.

A line is `test id, cause, issue`. These tests run and must fail: one that passes fails the run, so
that the list stays true. Nothing else is touched by it."""

from pathlib import Path
from typing import NamedTuple

import pytest

MOST = 3


class Red(NamedTuple):
    test: str
    cause: str
    issue: str


def read(path: Path) -> list[Red]:
    """Raises ValueError for what cannot be read."""
    if not path.exists():
        return []
    reds: list[Red] = []
    for n, line in enumerate(path.read_text(encoding="utf-8").splitlines(), 1):
        if not line.strip():
            continue
        test, _, rest = line.partition(",")
        cause, _, issue = rest.rpartition(",")
        red = Red(test.strip(), cause.strip(), issue.strip())
        if not all(red):
            raise ValueError(f"{path.name}:{n}: expected `test id, cause, issue`: {line!r}")
        reds.append(red)
    if len(reds) > MOST:
        raise ValueError(f"{path.name}: {len(reds)} tests; expected at most {MOST}")
    return reds


class Missing(pytest.Item):
    """Fails in the place of a test that does not exist. (An error of the collection itself only
    ends a process of the parallel run, without a word of why.)"""

    def runtest(self) -> None:
        pytest.fail(f"KNOWN-RED.txt: no such test: {self.name}", pytrace=False)


def mark(session: pytest.Session, items: list[pytest.Item], reds: list[Red], root: Path) -> None:
    """One that does not exist fails, as far as its file was collected."""
    collected = {item.nodeid.partition("::")[0] for item in items}
    by_id = {item.nodeid: item for item in items}
    for red in reds:
        file = red.test.partition("::")[0]
        item = by_id.get(red.test)
        if item is not None:
            reason = f"known red: {red.cause} ({red.issue})"
            item.add_marker(pytest.mark.xfail(reason=reason, strict=True))
        elif file in collected or not (root / file).is_file():
            items.append(Missing.from_parent(session, name=red.test))


class Plugin:
    def __init__(self, root: Path) -> None:
        self._root = root
        self._reds: list[Red] = []

    def pytest_configure(self, config: pytest.Config) -> None:
        try:
            self._reds = read(self._root / "KNOWN-RED.txt")
        except ValueError as error:
            raise pytest.UsageError(str(error)) from None

    @pytest.hookimpl(tryfirst=True)
    def pytest_collection_modifyitems(
        self, session: pytest.Session, items: list[pytest.Item]
    ) -> None:
        mark(session, items, self._reds, self._root)

    def pytest_terminal_summary(self, terminalreporter: pytest.TerminalReporter) -> None:
        for red in self._reds:
            terminalreporter.write_line(f"known red: {red.test}: {red.cause} ({red.issue})")
