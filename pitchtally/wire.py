"""The platform's messages, as typed structs.

The platform's own words (`seal`, `vintage`, `pressing`, ...) appear here and
nowhere else; the rest of the code uses the field's usual terms.
"""

from __future__ import annotations

import msgspec
from msgspec import Struct, field

ARRAY = "sweep"
GANG = "gang"
SERVICE = "standing"  # tasks that run until their user cancels the job
RANKS = ("production", "urgent", "standard", "idle")

START = "start"
STOP = "kill"
FORGET = "forget"

FETCHING = "fetching"
WAITING = "waiting"
RUNNING = "running"
SAVING = "flushing"
EXITED = "ended"

DONE = "done"
STOPPED = "stopped"
PEERS_GONE = "mates_gone"
ALONE = "incomplete"
ERROR = "error"
NO_ROOM = "full"
BUSY = "busy"
UNKNOWN = "unknown"

PENDING = "pending"
WITHDRAWN = "withdrawn"

BOOTING = "starting"
FAILED = "failed"


class JobSpec(Struct, frozen=True, omit_defaults=True):
    """What a user asked for."""

    id: str = field(name="ref")
    job_class: str = field(name="vintage")
    team: str = field(name="crew")
    kind: str = field(name="cut")
    rank: str = field(name="rank")
    tasks: int = field(name="rows")
    cpus: float = field(name="vcpus")
    gpus: float = field(name="cards")
    memory: float = field(name="memGb")
    image: str = field(name="cask", default="")
    image_gb: float = field(name="pullGb", default=0.0)
    types: tuple[str, ...] | None = field(name="presses", default=None)
    zone: str | None = field(name="parcel", default=None)
    one_zone: bool = field(name="oneZone", default=False)
    spread: bool = field(name="spread", default=False)
    spot: bool = field(name="gleaning", default=False)
    estimate: float = field(name="ripenS", default=1.0)
    checkpoint: float = field(name="rackS", default=0.0)
    save: float = field(name="bottleS", default=0.0)
    deadline: float | None = field(name="harvestS", default=None)

    @property
    def is_service(self) -> bool:
        """Whether its tasks run until its user cancels the job."""
        return self.kind == SERVICE


class TaskReport(Struct):
    """One task as a worker reports it."""

    task: str = field(name="row")
    attempt: int = field(name="pressing")
    state: str = field(name="stage")
    cause: str | None = None
    saved: bool | None = None


class Report(Struct):
    """A worker's report, also the body of its answers to direct commands."""

    machine: str = field(name="vat")
    session: int = field(name="shift")
    seq: int = field(name="tally")
    token: int = field(name="seal", default=0)
    address: str = ""
    type: str = field(name="press", default="")
    zone: str = field(name="parcel", default="")
    spot: bool = field(name="gleaning", default=False)
    notice: float | None = field(name="recallS", default=None)
    tasks: list[TaskReport] = field(name="rows", default_factory=list)


class Order(Struct, omit_defaults=True):
    """A command to a worker."""

    op: str = field(name="order")
    task: str = field(name="row")
    attempt: int = field(name="pressing")
    grace: float | None = field(name="settleS", default=None)


class Orders(Struct):
    """The answer to a report."""

    token: int = field(name="seal")
    orders: list[Order]


class DirectOrders(Struct):
    """Commands sent straight to a worker's address."""

    token: int = field(name="seal")
    session: int = field(name="shift")
    orders: list[Order]


class Redirect(Struct, omit_defaults=True):
    """Which node a worker should report to."""

    report_to: str | None = field(name="steward", default=None)


class JobView(Struct, omit_defaults=True):
    """What a user sees of a job."""

    id: str = field(name="ref")
    state: str = field(name="stage")
    done: int | None = None
    running: int | None = None


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


class MachineTypes(Struct):
    """The cloud's offer."""

    types: list[MachineType] = field(name="presses")


class Listed(Struct):
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

    machines: list[Listed] = field(name="vats")
    more: bool = field(name="truncated", default=False)


class Hire(Struct):
    """A request for machines."""

    request: str = field(name="hire")
    type: str = field(name="press")
    zone: str = field(name="parcel")
    spot: bool = field(name="gleaning")
    count: int = field(name="howMany")


class Names(Struct):
    """Names of machines."""

    machines: list[str] = field(name="vats")


class StoredItem(Struct):
    """A key of the state service with its value and version."""

    key: str = field(name="path")
    value: msgspec.Raw = field(name="v")
    version: int = field(name="stamp")


class StoredPage(Struct):
    """A page of keys."""

    items: list[StoredItem]
    revision: int = field(name="ledger")
    more: bool = field(name="truncated", default=False)


class Event(Struct):
    """One change seen by a watch: a write, or a removal."""

    version: int = field(name="stamp")
    put: str | None = field(name="write", default=None)
    delete: str | None = field(name="remove", default=None)
    value: msgspec.Raw = field(name="v", default=msgspec.Raw(b"null"))


class Events(Struct):
    """Changes after a revision."""

    revision: int = field(name="ledger")
    events: list[Event] = field(name="log", default_factory=list)


class Revision(Struct):
    """The store's revision, and conditions that failed."""

    revision: int = field(name="ledger")
    failed: list[str] = field(default_factory=list)


class Condition(Struct):
    """The version that a key must have; 0: absent."""

    key: str = field(name="path")
    version: int = field(name="stamp")


class Put(Struct, omit_defaults=True):
    """A write within a transaction."""

    key: str = field(name="write")
    value: msgspec.Raw = field(name="v")
    lease: int | None = field(name="permit", default=None)


class Delete(Struct):
    """A removal within a transaction."""

    key: str = field(name="remove")


class Transaction(Struct):
    """Conditions and changes, all or nothing."""

    conditions: list[Condition] = field(name="if")
    changes: list[Put | Delete] = field(name="writes")


class LeaseGrant(Struct):
    """A lease that the store has granted."""

    lease: int = field(name="permit")


class LeaseRequest(Struct):
    """A request for a lease."""

    ttl_ms: int = field(name="ttlMs")
