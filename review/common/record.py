"""The record of a case: what was sent, answered and run, with times in seconds."""

import time
from pathlib import Path


class Record:
    """Writes lines to `record.txt`, each with the seconds since the start of the case."""

    def __init__(self, path: Path) -> None:
        self._began_at = time.monotonic()
        self._file = path.open("w", encoding="utf-8")
        self.violations: list[str] = []

    def note(self, text: str) -> None:
        """Writes one line."""
        self._file.write(f"{time.monotonic() - self._began_at:8.3f} {text}\n")
        self._file.flush()

    def violation(self, text: str) -> None:
        """Writes one line about a broken rule."""
        self.violations.append(text)
        self.note(f"RULE BROKEN: {text}")
