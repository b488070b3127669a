"""The machine catalog: the machine types that the cloud offers, kept in the state store.

Nodes follow the stored catalog, so the types are available during a cloud outage too.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

import msgspec
import trio

from ..agents.machine import Machine
from ..formats.gate import FormatGate
from ..protocol import cloud_api
from ..state_store import keys
from ..state_store.client import StateStoreClient, Write
from ..state_store.errors import CompareFailed, LeaseExpired, StoreUnavailable
from ..state_store.rate_limits import Priority
from ..state_store.replica import Replica
from .cloud_client import CloudClient, CloudUnavailable, InsufficientCapacity

# Spot prices change constantly; to save writes, changes below this share aren't stored.
MIN_PRICE_CHANGE_RATIO = 0.1
# Interval between requests for the machine types, as a multiple of the machine list interval:
# after the first successful read, and before it.
REFRESH_INTERVALS, INITIAL_RETRY_INTERVALS = 6.0, 0.5

_decode = msgspec.json.Decoder(list[cloud_api.MachineType]).decode
_encode = msgspec.json.encode


class CatalogStore:
    """The stored catalog.

    A single value holds all types. If they exceed the size limit of a value they are split into
    pages, `pt/types/<n>`, but only once the format gate is open: earlier versions would take
    a single page for the complete list.
    """

    def __init__(self, state_store: StateStoreClient, replica: Replica, gate: FormatGate):
        self._state_store = state_store
        self._replica = replica
        self._gate = gate
        self._pages: dict[str, list[cloud_api.MachineType]] = {}  # keyed by state store key

    def subscribe(self, listener: Callable[[list[cloud_api.MachineType]], None]) -> None:
        """Call a listener with all types whenever a stored page changes."""

        def page_changed(key_suffix: str, value: bytes | None, version: int) -> None:
            key = keys.absolute(keys.MACHINE_TYPES_PREFIX, key_suffix)
            if value is None:
                self._pages.pop(key, None)
            else:
                self._pages[key] = _decode(value)
            machine_types = [machine_type for page in self._pages.values() for machine_type in page]
            if machine_types:
                listener(machine_types)

        self._replica.listen(keys.MACHINE_TYPES_PREFIX, page_changed)

    async def save(self, machine_types: list[cloud_api.MachineType]) -> None:
        """Store these types; stop if another node has written concurrently.

        Raises `StoreUnavailable`.
        """
        for change in self.lay_out(machine_types):
            try:
                revision = await self._state_store.commit(
                    {change.key: self._replica.version(change.key)},
                    [change],
                    priority=Priority.SUBMISSIONS,
                )
            except (CompareFailed, LeaseExpired):
                return
            self._replica.apply_own_commit([change], revision)

    def lay_out(self, machine_types: list[cloud_api.MachineType]) -> list[Write]:
        """Return the writes that store these types; deletions of pages come last."""
        max_bytes = int(self._state_store.limits.value_kb * 1024)
        if not self._gate.open or len(_encode(machine_types)) <= max_bytes:
            pages = {keys.MACHINE_TYPES: machine_types}
        else:
            pages = _paginate(machine_types, max_bytes)
        writes = [Write(key, _encode(page)) for key, page in pages.items()]
        return [*writes, *(Write(key, None) for key in self._pages if key not in pages)]


def _paginate(
    machine_types: list[cloud_api.MachineType], max_bytes: int
) -> dict[str, list[cloud_api.MachineType]]:
    pages: list[list[cloud_api.MachineType]] = [[]]
    for machine_type in machine_types:
        if pages[-1] and len(_encode([*pages[-1], machine_type])) > max_bytes:
            pages.append([])
        pages[-1].append(machine_type)
    return {keys.machine_types_page(number): page for number, page in enumerate(pages)}


class MachineCatalog:
    """The machine types; `types_by_name` is empty until they have been read once."""

    def __init__(
        self,
        store: CatalogStore,
        cloud: CloudClient,
        machines: Mapping[str, Machine],
        is_cluster_leader: Callable[[], bool],
        list_interval: float,
    ):
        """`machines`: machines of this node's shards; their type is updated with the catalog."""
        self._store = store
        self._cloud = cloud
        self._errors = cloud.errors
        self._machines = machines
        self._is_cluster_leader = is_cluster_leader
        self._list_interval = list_interval
        self.types_by_name: dict[str, cloud_api.MachineType] = {}
        store.subscribe(self._replace)

    def types(self) -> dict[str, cloud_api.MachineType]:
        """Return the machine types that the cloud offers, by name."""
        return self.types_by_name

    def lay_out(self, machine_types: list[cloud_api.MachineType]) -> list[Write]:
        """Return the writes that replace the stored types with these."""
        return self._store.lay_out(machine_types)

    async def run(self) -> None:
        """Poll the cloud's machine types and store changes.

        Only the cluster leader polls, or any node that has no types yet.
        """
        while True:
            if self.types_by_name and not self._is_cluster_leader():
                await trio.sleep(self._list_interval)
                continue
            try:
                listed_types = await self._cloud.machine_types()
                if listed_types and self._has_changed(listed_types):
                    await self._store.save(listed_types)
                    self._replace(listed_types)
            except InsufficientCapacity:
                self._errors.recovered()  # the cloud responded, so the outage is over
            except (CloudUnavailable, StoreUnavailable) as error:
                self._errors.failed(str(error))
            intervals = REFRESH_INTERVALS if self.types_by_name else INITIAL_RETRY_INTERVALS
            await trio.sleep(self._list_interval * intervals)

    def _replace(self, machine_types: list[cloud_api.MachineType]) -> None:
        self.types_by_name = {machine_type.name: machine_type for machine_type in machine_types}
        for machine in self._machines.values():
            machine.machine_type = self.types_by_name.get(machine.type)

    def _has_changed(self, machine_types: list[cloud_api.MachineType]) -> bool:
        """Return whether types or zones have changed, or a spot price by a relevant amount."""
        if {machine_type.name for machine_type in machine_types} != set(self.types_by_name):
            return True
        return any(_differs(new, self.types_by_name[new.name]) for new in machine_types)


def _differs(new: cloud_api.MachineType, old: cloud_api.MachineType) -> bool:
    if (new.cpus, new.gpus, new.memory, new.zones) != (old.cpus, old.gpus, old.memory, old.zones):
        return True
    min_change = MIN_PRICE_CHANGE_RATIO * (old.spot_price or 1)
    return abs((new.spot_price or 0) - (old.spot_price or 0)) > min_change
