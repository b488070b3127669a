"""The machine types that the cloud offers: asked for, and kept in the state store."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
import trio

from ..agents.manager import AgentManager
from ..config.policy import Policy
from ..formats.gate import FormatGate
from ..membership.membership import Membership
from ..protocol import cloud_api
from ..state_store import keys
from ..state_store.client import StateStoreClient, Write
from ..state_store.errors import CompareFailed, LeaseExpired, StoreUnavailable
from ..state_store.rate_limits import Priority
from ..state_store.replica import Replica
from .cloud_client import Cloud, CloudUnavailable, InsufficientCapacity

# Of the price before: a move by less isn't worth a write, prices drift all the time.
PRICE_STEP = 0.1
# Times `list_every` between two questions, once the types are known and before.
ASK_EVERY, ASK_FIRST = 6.0, 0.5

_decode = msgspec.json.Decoder(list[cloud_api.MachineType]).decode
_encode = msgspec.json.encode


class MachineCatalog:
    """Keeps the types in the store, so that nodes know them in a cloud outage too.

    One value holds all types; more than fit go into pages, `pt/types/<n>`, which an earlier
    version would take for all there are: only once the format gate is open.
    """

    def __init__(
        self,
        policy: Policy,
        membership: Membership,
        agents: AgentManager,
        state_store: StateStoreClient,
        replica: Replica,
        cloud: Cloud,
        gate: FormatGate,
        trouble: Callable[[str], None],
    ):
        self.policy = policy
        self.membership = membership
        self.agents = agents
        self.state_store = state_store
        self.replica = replica
        self.cloud = cloud
        self.gate = gate
        self.trouble = trouble  # told why the cloud can't be asked
        self.known: dict[str, cloud_api.MachineType] = {}
        self._pages: dict[str, list[cloud_api.MachineType]] = {}  # by key
        replica.listen(keys.MACHINE_TYPES_PREFIX, self._on_record)

    def _on_record(self, rest: str, value: bytes | None, version: int) -> None:
        key = keys.absolute(keys.MACHINE_TYPES_PREFIX, rest)
        if value is None:
            self._pages.pop(key, None)
        else:
            self._pages[key] = _decode(value)
        found = [machine_type for page in self._pages.values() for machine_type in page]
        if found:
            self._renew(found)

    def _renew(self, found: list[cloud_api.MachineType]) -> None:
        self.known = {machine_type.name: machine_type for machine_type in found}
        for machine in self.agents.machines.values():
            machine.machine_type = self.known.get(machine.type)

    async def run(self) -> None:
        """Ask the cloud, and write what has changed; the leader's task once types are known."""
        while True:
            if self.known and self.membership.cluster_leader_token is None:
                await trio.sleep(self.policy.list_every)
                continue
            try:
                body = await self.cloud.call("GET", "/flavors")
                found = msgspec.json.decode(body, type=cloud_api.MachineTypeList).types
                if found and self._changed(found):
                    await self._write(found)
                    self._renew(found)
            except (
                CloudUnavailable,
                InsufficientCapacity,
                msgspec.MsgspecError,
                StoreUnavailable,
            ) as error:
                self.trouble(str(error))
            await trio.sleep(self.policy.list_every * (ASK_EVERY if self.known else ASK_FIRST))

    def _changed(self, found: list[cloud_api.MachineType]) -> bool:
        """Whether shapes have changed, or prices by more than a step."""
        if {machine_type.name for machine_type in found} != set(self.known):
            return True
        return any(self._differs(new, self.known[new.name]) for new in found)

    @staticmethod
    def _differs(new: cloud_api.MachineType, old: cloud_api.MachineType) -> bool:
        if (new.cpus, new.gpus, new.memory, new.zones) != (
            old.cpus,
            old.gpus,
            old.memory,
            old.zones,
        ):
            return True
        step = PRICE_STEP * (old.spot_price or 1)
        return abs((new.spot_price or 0) - (old.spot_price or 0)) > step

    async def _write(self, found: list[cloud_api.MachineType]) -> None:
        for change in self.lay_out(found):
            try:
                revision = await self.state_store.commit(
                    {change.key: self.replica.version(change.key)},
                    [change],
                    priority=Priority.SUBMISSIONS,
                )
            except (CompareFailed, LeaseExpired):
                return  # another node was first
            self.replica.apply_own_commit([change], revision)

    def lay_out(self, found: list[cloud_api.MachineType]) -> list[Write]:
        """The writes that store these types, those that hold something first."""
        most = int(self.state_store.limits.value_kb * 1024)
        stays_in_one_shard = _encode(found)
        if len(stays_in_one_shard) <= most or not self.gate.open:
            pages = {keys.MACHINE_TYPES: found}
        else:
            pages = self._paged(found, most)
        writes = [Write(key, _encode(page)) for key, page in pages.items()]
        return [*writes, *(Write(key, None) for key in self._pages if key not in pages)]

    @staticmethod
    def _paged(
        found: list[cloud_api.MachineType], most: int
    ) -> dict[str, list[cloud_api.MachineType]]:
        pages: list[list[cloud_api.MachineType]] = [[]]
        for machine_type in found:
            if pages[-1] and len(_encode([*pages[-1], machine_type])) > most:
                pages.append([])
            pages[-1].append(machine_type)
        return {keys.machine_types_page(number): page for number, page in enumerate(pages)}
