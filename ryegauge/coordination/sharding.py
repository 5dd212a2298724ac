"""Which part a machine belongs to, and which controller a part should have."""

import zlib
from collections.abc import Collection

from ryegauge.config import Settings


class ShardMap:
    """Machines are parted by a hash of their name, among the parts whose home is in the
    machine's zone if there are any: when zones cannot reach each other, an owner
    elsewhere would not hear its machines, and their leases would run out."""

    def __init__(self, settings: Settings) -> None:
        areas = {settings.node_name: settings.area}
        areas.update((peer.node_name, peer.area) for peer in settings.known)
        self._all = list(range(settings.settings.nodes))
        self._by_zone: dict[str, list[int]] = {}
        for shard, name in enumerate(settings.node_names):
            self._by_zone.setdefault(areas[name], []).append(shard)

    def shard_of(self, machine: str, zone: str) -> int:
        shards = self._by_zone.get(zone) or self._all
        return shards[zlib.crc32(machine.encode()) % len(shards)]


def preferred_owner(
    shard: int, names: list[str], live: Collection[str], deaf: Collection[str] = ()
) -> str | None:
    """The part's home if it lives, else the live controllers in turn; those that do not hear
    the part's workers only if all that live do not."""
    turns = [names[(shard + step) % len(names)] for step in range(len(names))]
    alive = [name for name in turns if name in live]
    return next((name for name in alive if name not in deaf), alive[0] if alive else None)


def preferred_leader(names: list[str], live: Collection[str]) -> str | None:
    return preferred_owner(0, names, live)
