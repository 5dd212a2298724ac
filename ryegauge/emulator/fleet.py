"""The machines that a stand-in cloud rents out, as data."""

from typing import Annotated, Any

import msgspec

from ryegauge.protocol.cloud import MachineType

Amount = Annotated[float, msgspec.Meta(ge=0)]
Positive = Annotated[float, msgspec.Meta(gt=0)]
Number = Annotated[int, msgspec.Meta(ge=0)]


class FleetType(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A machine type and how many of it can be had at once, over all zones."""

    name: str
    cpus: Positive
    memory_gb: Positive
    zones: list[str]
    price: Amount  # per hour, as is `spot_price`
    spot_price: Amount
    boot_s: Positive
    cache_gb: Amount = 50.0
    fetch_gb_per_s: Positive = 1.0
    gpus: Amount = 0.0
    steady: Number = 0
    spot: Number = 0

    def capacity(self, spot: bool) -> int:
        return self.spot if spot else self.steady

    def to_wire(self) -> dict[str, Any]:
        raw: dict[str, Any] = msgspec.to_builtins(
            MachineType(
                self.name,
                self.cpus,
                self.memory_gb,
                self.price,
                self.boot_s,
                self.zones,
                self.gpus,
                self.cache_gb,
                self.fetch_gb_per_s,
                self.spot_price,
            )
        )
        return raw


# Two kinds in two zones: enough for the tests and for a first look.
SMALL_FLEET = (
    FleetType("small", 4.0, 16.0, ["a", "b"], 0.4, 0.1, 10.0, 20.0, 1.0, steady=3, spot=6),
    FleetType("large", 16.0, 64.0, ["a"], 1.4, 0.45, 15.0, 20.0, 0.5, steady=1, spot=2),
)
