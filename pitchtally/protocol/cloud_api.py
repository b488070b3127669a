"""What the cloud provider's API exchanges: machine types, machine lists, launches.

Names on the wire (`sku`, `vats`, `hire`, ...) are mapped to the field's terms here, and nowhere
else. Prices are per hour in the provider's currency, memory and disk sizes in GiB.
"""

from __future__ import annotations

from msgspec import Struct, field

# States of `ListedMachine.state` that matter here; any other means that it is up.
BOOTING = "starting"
FAILED = "failed"

# Limits of the API: machines in one launch, in one termination, and on one page of the list.
MAX_MACHINES_PER_LAUNCH = 50
MAX_MACHINES_PER_TERMINATION = 100
MACHINES_PER_LIST_PAGE = 500


class MachineType(Struct):
    """A machine type as the cloud offers it."""

    name: str = field(name="sku")
    cpus: float = field(name="vcpus")
    memory: float = field(name="memGb")
    gpus: float = field(name="cards", default=0.0)
    cache_gb: float = field(name="localGb", default=0.0)  # disk for images
    fetch_rate: float = field(name="fetchGbPerS", default=1.0)  # of images
    price: float = field(name="rate", default=1.0)  # on demand
    spot_price: float | None = field(name="spotPrice", default=None)  # None: no spot instances
    boot_time: float = field(
        name="readyS", default=30.0
    )  # usual seconds from launch to first heartbeat
    zones: list[str] = field(name="parcels", default_factory=list)


class MachineTypeList(Struct):
    """All machine types on offer."""

    types: list[MachineType] = field(name="presses")


class ListedMachine(Struct):
    """A machine as the cloud lists it."""

    name: str = field(name="ref")
    type: str = field(name="press")
    zone: str = field(name="parcel")
    state: str = field(name="stage")
    address: str = ""
    spot: bool = field(name="gleaning", default=False)
    age: float = field(name="ageS", default=0.0)  # seconds since its launch


class MachineList(Struct):
    """One page of the list of machines, by name."""

    machines: list[ListedMachine] = field(name="vats")
    more: bool = field(name="truncated", default=False)


class LaunchRequest(Struct):
    """A request for machines; repeated under the same `request` it launches no more."""

    request: str = field(name="hire")
    type: str = field(name="press")
    zone: str = field(name="parcel")
    spot: bool = field(name="gleaning")
    count: int = field(name="howMany")


class MachineNames(Struct):
    """Names of machines: those that were launched, or are to be terminated."""

    machines: list[str] = field(name="vats")
