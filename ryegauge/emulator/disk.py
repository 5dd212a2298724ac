"""A stand-in for a controller's disk, which outlives the controller."""


class MemoryDisk:
    def __init__(self) -> None:
        self.files: dict[str, bytes] = {}

    async def names(self) -> list[str]:
        return sorted(self.files)

    async def read(self, name: str) -> bytes:
        return self.files[name]

    async def write(self, name: str, pieces: list[bytes]) -> None:
        self.files[name] = b"".join(pieces)

    async def delete(self, name: str) -> None:
        del self.files[name]
