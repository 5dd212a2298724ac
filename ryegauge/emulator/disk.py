"""An in-memory snapshot directory that survives restarts of its controller."""


class MemoryDisk:
    """Snapshot files by name; `read` and `delete` raise KeyError if there is no such file."""

    def __init__(self) -> None:
        self.files: dict[str, bytes] = {}

    async def names(self) -> list[str]:
        """Names of all files, sorted."""
        return sorted(self.files)

    async def read(self, name: str) -> bytes:
        """The content of a file."""
        return self.files[name]

    async def write(self, name: str, pieces: list[bytes]) -> None:
        """Creates or replaces a file with the concatenated pieces."""
        self.files[name] = b"".join(pieces)

    async def delete(self, name: str) -> None:
        """Removes a file."""
        del self.files[name]
