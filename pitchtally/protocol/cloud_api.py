"""The cloud provider's API: machine types, machine lists, launches and terminations.

Only this module maps the names on the wire (`sku`, `vats`, `hire`, ...) to the attribute names
used in the code. Prices are per hour in the provider's currency, memory and disk sizes in GiB.
"""

from __future__ import annotations

from msgspec import Struct, field

# Values of `ListedMachine.state`; any other value means that the machine is up.
BOOTING = "starting"
FAILED = "failed"

# Limits of the cloud provider's API.
MAX_MACHINES_PER_LAUNCH = 50
MAX_MACHINES_PER_TERMINATION = 100
MACHINES_PER_LIST_PAGE = 500


class MachineType(Struct):
    """A machine type offered by the cloud."""

    name: str = field(name="sku")
    cpus: float = field(name="vcpus")
    memory: float = field(name="memGb")
    gpus: float = field(name="cards", default=0.0)
    cache_gb: float = field(name="localGb", default=0.0)  # disk space for images
    fetch_rate: float = field(name="fetchGbPerS", default=1.0)  # GiB of images per second
    price: float = field(name="rate", default=1.0)  # on-demand price
    spot_price: float | None = field(name="spotPrice", default=None)  # None: no spot instances
    # Usual time from launch to the first heartbeat, in seconds.
    boot_time: float = field(name="readyS", default=30.0)
    zones: list[str] = field(name="parcels", default_factory=list)


class MachineTypeList(Struct):
    """All machine types offered by the cloud."""

    types: list[MachineType] = field(name="presses")


class ListedMachine(Struct):
    """A machine in the cloud's list of machines."""

    name: str = field(name="ref")
    type: str = field(name="press")
    zone: str = field(name="parcel")
    state: str = field(name="stage")
    address: str = ""
    spot: bool = field(name="gleaning", default=False)
    age: float = field(name="ageS", default=0.0)  # seconds since the launch


class MachineList(Struct):
    """One page of the list of machines, sorted by name."""

    machines: list[ListedMachine] = field(name="vats")
    more: bool = field(name="truncated", default=False)


class LaunchRequest(Struct):
    """A request to launch machines.

    The request is idempotent: repeated with the same `request` identifier it launches no more
    machines.
    """

    request: str = field(name="hire")
    type: str = field(name="press")
    zone: str = field(name="parcel")
    spot: bool = field(name="gleaning")
    count: int = field(name="howMany")


class MachineNames(Struct):
    """Machine names: the launched machines in a response, those to terminate in a request."""

    machines: list[str] = field(name="vats")
