"""Which shard a machine belongs to, and which controller should own a shard."""

import zlib
from collections.abc import Collection

from ryegauge.config import Settings


class ShardMap:
    """Assigns machines to shards by a hash of their name, among the shards whose home controller
    is in the machine's zone, if there are any. If zones cannot reach each other, an owner in
    another zone gets no reports from its machines, and their leases expire."""

    def __init__(self, settings: Settings) -> None:
        zone_of = {settings.node_name: settings.area}
        zone_of.update((peer.node_name, peer.area) for peer in settings.known)
        self._all_shards = list(range(settings.settings.nodes))
        self._by_zone: dict[str, list[int]] = {}
        for shard, name in enumerate(settings.node_names):
            self._by_zone.setdefault(zone_of[name], []).append(shard)

    def shard_of(self, machine: str, zone: str) -> int:
        """The number of the shard that a machine belongs to."""
        shards = self._by_zone.get(zone) or self._all_shards
        return shards[zlib.crc32(machine.encode()) % len(shards)]


def preferred_owner(
    shard: int, names: list[str], live: Collection[str], without_reports: Collection[str] = ()
) -> str | None:
    """The name of the controller that should own a shard: its home controller, else the next
    live one in the order of `names`. Controllers in `without_reports`, which get no reports from
    the shard's workers, are taken only if every live one is in it. None if no controller is
    live."""
    candidates = [names[(shard + step) % len(names)] for step in range(len(names))]
    live_candidates = [name for name in candidates if name in live]
    return next(
        (name for name in live_candidates if name not in without_reports),
        live_candidates[0] if live_candidates else None,
    )


def preferred_leader(names: list[str], live: Collection[str]) -> str | None:
    """The name of the controller that should lead; None if no controller is live."""
    return preferred_owner(0, names, live)
