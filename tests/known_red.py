"""Pytest plugin for the tests listed in KNOWN-RED.txt, which fail because of a known fault.

The file holds entries separated by blank lines. An entry is one line for each field of
`KnownFailure`, written `name: value`, in the order of the fields. A listed test still runs and is
expected to fail; the run fails if it passes or does not exist. Other tests are not affected.
"""

from pathlib import Path
from typing import NamedTuple

import pytest

FILE_NAME = "KNOWN-RED.txt"


class KnownFailure(NamedTuple):
    """One entry of the file."""

    test: str
    """Pytest node id, relative to the root of the repository."""
    command: str
    """Command line that reproduces the failure, including the seed."""
    seen: str
    """Observed failure."""
    issue: str
    """Issue that tracks the fault."""


FIELDS = KnownFailure._fields


class NumberedLine(NamedTuple):
    """A line of the file; the first line has number 1."""

    number: int
    text: str


class FormatError(ValueError):
    """An entry that does not have the expected fields."""

    def __init__(self, line_number: int, problem: str, expected: str) -> None:
        super().__init__(f"{FILE_NAME}:{line_number}: {problem}: expected {expected}")


def read(path: Path) -> list[KnownFailure]:
    """Returns the entries of the file, none if it is absent.

    Raises FormatError for a malformed entry.
    """
    if not path.exists():
        return []
    return [_parse_entry(lines) for lines in _split_entries(path.read_text(encoding="utf-8"))]


def _split_entries(text: str) -> list[list[NumberedLine]]:
    entries: list[list[NumberedLine]] = []
    previous_is_blank = True
    for number, line in enumerate(text.splitlines(), 1):
        is_blank = not line.strip()
        if not is_blank:
            if previous_is_blank:
                entries.append([])
            entries[-1].append(NumberedLine(number, line))
        previous_is_blank = is_blank
    return entries


def _parse_entry(lines: list[NumberedLine]) -> KnownFailure:
    values: dict[str, str] = {}
    for line in lines:
        name, _, value = (part.strip() for part in line.text.partition(":"))
        _check_field(line.number, name, value, already_read=list(values))
        values[name] = value
    if len(values) < len(FIELDS):
        missing = FIELDS[len(values)]
        raise FormatError(
            lines[-1].number, f"field `{missing}` is missing", f"`{missing}: ...` after this line"
        )
    return KnownFailure(**values)


def _check_field(line_number: int, name: str, value: str, already_read: list[str]) -> None:
    if name not in FIELDS:
        expected = ", ".join(f"`{field}: ...`" for field in FIELDS)
        raise FormatError(line_number, f"unknown field `{name}`", f"{expected}, one line each")
    if name in already_read:
        raise FormatError(
            line_number, f"field `{name}` is repeated", "a blank line between entries"
        )
    next_field = FIELDS[len(already_read)]
    if name != next_field:
        problem = f"field `{next_field}` is missing or out of order"
        raise FormatError(line_number, problem, f"`{next_field}: ...` before `{name}: ...`")
    if not value:
        raise FormatError(line_number, f"field `{name}` is empty", f"`{name}: ...`")


class MissingTest(pytest.Item):
    """Fails in place of a listed test that does not exist.

    An error raised during collection would end a worker process of pytest-xdist without
    reporting the cause.
    """

    def runtest(self) -> None:
        pytest.fail(f"{FILE_NAME}: no such test: {self.name}", pytrace=False)


def expect_failures(
    session: pytest.Session, items: list[pytest.Item], failures: list[KnownFailure], root: Path
) -> None:
    """Marks the listed tests as expected to fail and adds a failing item for each missing one.

    A test counts as missing if its file was collected without it, or if the file does not exist.
    """
    collected_files = {item.nodeid.partition("::")[0] for item in items}
    items_by_id = {item.nodeid: item for item in items}
    for failure in failures:
        file = failure.test.partition("::")[0]
        item = items_by_id.get(failure.test)
        if item is not None:
            reason = f"known red: {failure.seen} ({failure.issue})"
            item.add_marker(pytest.mark.xfail(reason=reason, strict=True))
        elif file in collected_files or not (root / file).is_file():
            items.append(MissingTest.from_parent(session, name=failure.test))


class Plugin:
    """Applies the KNOWN-RED.txt in `root` to a run and prints its entries at the end."""

    def __init__(self, root: Path) -> None:
        self._root = root
        self._failures: list[KnownFailure] = []

    def pytest_configure(self, config: pytest.Config) -> None:
        try:
            self._failures = read(self._root / FILE_NAME)
        except ValueError as error:
            raise pytest.UsageError(str(error)) from None

    @pytest.hookimpl(tryfirst=True)
    def pytest_collection_modifyitems(
        self, session: pytest.Session, items: list[pytest.Item]
    ) -> None:
        expect_failures(session, items, self._failures, self._root)

    def pytest_terminal_summary(self, terminalreporter: pytest.TerminalReporter) -> None:
        for failure in self._failures:
            terminalreporter.write_line(f"known red: {failure.test}")
            terminalreporter.write_line(f"  command: {failure.command}")
            terminalreporter.write_line(f"  seen: {failure.seen}")
            terminalreporter.write_line(f"  issue: {failure.issue}")
