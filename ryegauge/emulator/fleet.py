"""The machine types that the emulated cloud rents out."""

from typing import Annotated, Any

import msgspec

from ryegauge.protocol.cloud import MachineType

NonNegative = Annotated[float, msgspec.Meta(ge=0)]
Positive = Annotated[float, msgspec.Meta(gt=0)]
NonNegativeInt = Annotated[int, msgspec.Meta(ge=0)]


class FleetType(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A machine type; `steady` and `spot` are how many on-demand and spot machines of it can be
    rented at once, over all zones."""

    name: str
    cpus: Positive
    memory_gb: Positive
    zones: list[str]
    price: NonNegative  # per hour, as is `spot_price`
    spot_price: NonNegative
    boot_s: Positive
    cache_gb: NonNegative = 50.0
    fetch_gb_per_s: Positive = 1.0
    gpus: NonNegative = 0.0
    steady: NonNegativeInt = 0
    spot: NonNegativeInt = 0

    def capacity(self, spot: bool) -> int:
        """How many machines of this type can be rented at once, spot or on demand."""
        return self.spot if spot else self.steady

    def to_wire(self) -> dict[str, Any]:
        """The type as the cloud's catalogue lists it."""
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


# Default fleet of the simulation: two machine types in two zones.
SMALL_FLEET = (
    FleetType("small", 4.0, 16.0, ["a", "b"], 0.4, 0.1, 10.0, 20.0, 1.0, steady=3, spot=6),
    FleetType("large", 16.0, 64.0, ["a"], 1.4, 0.45, 15.0, 20.0, 0.5, steady=1, spot=2),
)
