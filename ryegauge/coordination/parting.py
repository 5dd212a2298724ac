"""Which part a machine belongs to, and which controller a part should have."""

import zlib
from collections.abc import Collection


def part_of(machine: str, parts: int) -> int:
    return zlib.crc32(machine.encode()) % parts


def wanted_owner(part: int, names: list[str], live: Collection[str]) -> str | None:
    """The part's home if it lives, else the live controllers in turn."""
    for step in range(len(names)):
        name = names[(part + step) % len(names)]
        if name in live:
            return name
    return None


def wanted_leader(names: list[str], live: Collection[str]) -> str | None:
    return wanted_owner(0, names, live)
