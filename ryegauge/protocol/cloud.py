"""Answers of the cloud's API: machine types, machines and rentals."""

from typing import Any, Literal, TypeVar

import msgspec

from ryegauge.transport.http import Malformed


class MachineType(
    msgspec.Struct,
    frozen=True,
    rename={
        "name": "label",
        "gpus": "cards",
        "memory_gb": "memoryGb",
        "cache_gb": "cacheGb",
        "fetch_gb_per_s": "fetchGbPerS",
        "price": "hourly",
        "spot_price": "lowPrice",
        "boot_s": "startupS",
        "zones": "districts",
    },
):
    """A type of machine in the cloud's catalogue; prices are per hour, `boot_s` is nominal."""

    name: str
    cpus: float
    memory_gb: float
    price: float
    boot_s: float
    zones: list[str]
    gpus: float = 0.0
    cache_gb: float = 0.0
    fetch_gb_per_s: float = 1.0
    spot_price: float | None = None

    def hourly_price(self, spot: bool) -> float:
        """Returns the hourly price; on-demand where the type has no spot price."""
        return self.spot_price if spot and self.spot_price is not None else self.price


class ListedMachine(
    msgspec.Struct,
    frozen=True,
    rename={
        "name": "uid",
        "addr": "address",
        "type": "build",
        "zone": "district",
        "spot": "loaners",
        "state": "status",
        "age_s": "heldS",
    },
):
    """One machine in the cloud's list; `age_s` counts from its rental."""

    name: str
    type: str
    zone: str
    spot: bool
    state: Literal["starting", "running", "failed"]
    age_s: float = 0.0
    addr: str = ""


class Catalog(msgspec.Struct, frozen=True, rename={"types": "builds"}):
    """Answer of `GET /catalog`."""

    types: list[MachineType]


class MachinePage(msgspec.Struct, frozen=True, rename={"machines": "hosts", "more": "hasNext"}):
    """Answer of `GET /hosts`: one page of the machine list; `more` if others follow."""

    machines: list[ListedMachine]
    more: bool = False


class RentalReply(msgspec.Struct, frozen=True, rename={"machines": "hosts"}):
    """Answer to a rental: the names of the new machines."""

    machines: list[str]


StructT = TypeVar("StructT")


def parse_reply(raw: Any, struct_type: type[StructT]) -> StructT:
    """Returns a decoded body as a message of this type; raises Malformed if it is none."""
    try:
        return msgspec.convert(raw, struct_type)
    except msgspec.ValidationError as error:
        raise Malformed(str(error)) from None
