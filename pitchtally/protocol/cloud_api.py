"""What the cloud provider's API exchanges: machine types, machine lists, launches.

Names on the wire (`sku`, `vats`, `hire`, ...) are mapped to the field's terms here, and nowhere
else.
"""

from __future__ import annotations

from msgspec import Struct, field

BOOTING = "starting"
FAILED = "failed"


class MachineType(Struct):
    """A machine type as the cloud offers it."""

    name: str = field(name="sku")
    cpus: float = field(name="vcpus")
    memory: float = field(name="memGb")
    gpus: float = field(name="cards", default=0.0)
    cache_gb: float = field(name="localGb", default=0.0)
    fetch_rate: float = field(name="fetchGbPerS", default=1.0)
    price: float = field(name="rate", default=1.0)
    spot_price: float | None = field(name="spotPrice", default=None)
    boot: float = field(name="readyS", default=30.0)
    zones: list[str] = field(name="parcels", default_factory=list)


class MachineTypeList(Struct):
    """The cloud's offer."""

    types: list[MachineType] = field(name="presses")


class ListedMachine(Struct):
    """A machine as the cloud lists it."""

    name: str = field(name="ref")
    type: str = field(name="press")
    zone: str = field(name="parcel")
    state: str = field(name="stage")
    address: str = ""
    spot: bool = field(name="gleaning", default=False)
    age: float = field(name="ageS", default=0.0)


class MachineList(Struct):
    """A page of the cloud's list."""

    machines: list[ListedMachine] = field(name="vats")
    more: bool = field(name="truncated", default=False)


class LaunchRequest(Struct):
    """A request for machines."""

    request: str = field(name="hire")
    type: str = field(name="press")
    zone: str = field(name="parcel")
    spot: bool = field(name="gleaning")
    count: int = field(name="howMany")


class MachineNames(Struct):
    """MachineNames of machines."""

    machines: list[str] = field(name="vats")
