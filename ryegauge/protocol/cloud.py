"""The cloud's catalogue and machine list."""

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
    name: str
    type: str
    zone: str
    spot: bool
    state: Literal["starting", "running", "failed"]
    age_s: float = 0.0
    addr: str = ""


class Catalog(msgspec.Struct, frozen=True, rename={"types": "builds"}):
    types: list[MachineType]


class MachinePage(msgspec.Struct, frozen=True, rename={"machines": "hosts", "more": "hasNext"}):
    machines: list[ListedMachine]
    more: bool = False


class RentalReply(msgspec.Struct, frozen=True, rename={"machines": "hosts"}):
    machines: list[str]


T = TypeVar("T")


def parse_reply(raw: Any, kind: type[T]) -> T:
    try:
        return msgspec.convert(raw, kind)
    except msgspec.ValidationError as error:
        raise Malformed(str(error)) from None
