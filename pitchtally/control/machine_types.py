"""The machine types that the cloud offers: asked for, and kept in the state service."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
import trio

from .. import tokens, wire
from ..formats.gate import FormatGate
from ..policy import Policy
from ..replica import Replica
from ..store import Conflict, NoLease, Store, StoreDown, Write
from .cloud import Cloud, CloudDown, NoCapacity
from .members import Members
from .workers import Workers

# Of the price before: a move by less isn't worth a write, prices drift all the time.
PRICE_STEP = 0.1
# Times `list_every` between two questions, once the types are known and before.
ASK_EVERY, ASK_FIRST = 6.0, 0.5

_KEY = "pt/types"
_decode = msgspec.json.Decoder(list[wire.MachineType]).decode
_encode = msgspec.json.encode


class MachineTypes:
    """Keeps the types in the store, so that nodes know them in a cloud outage too.

    One value holds all types; more than fit go into pages, `pt/types/<n>`, which an earlier
    version would take for all there are: only once the format gate is open.
    """

    def __init__(
        self,
        policy: Policy,
        members: Members,
        workers: Workers,
        store: Store,
        replica: Replica,
        cloud: Cloud,
        gate: FormatGate,
        trouble: Callable[[str], None],
    ):
        self.policy = policy
        self.members = members
        self.workers = workers
        self.store = store
        self.replica = replica
        self.cloud = cloud
        self.gate = gate
        self.trouble = trouble  # told why the cloud can't be asked
        self.known: dict[str, wire.MachineType] = {}
        self._pages: dict[str, list[wire.MachineType]] = {}  # by key
        replica.listen("types", self._on_record)

    def _on_record(self, rest: str, value: bytes | None, version: int) -> None:
        key = f"{_KEY}{rest}"
        if value is None:
            self._pages.pop(key, None)
        else:
            self._pages[key] = _decode(value)
        found = [kind for page in self._pages.values() for kind in page]
        if found:
            self._renew(found)

    def _renew(self, found: list[wire.MachineType]) -> None:
        self.known = {kind.name: kind for kind in found}
        for machine in self.workers.machines.values():
            machine.kind = self.known.get(machine.type)

    async def run(self) -> None:
        """Ask the cloud, and write what has changed; the leader's task once types are known."""
        while True:
            if self.known and self.members.leading is None:
                await trio.sleep(self.policy.list_every)
                continue
            try:
                body = await self.cloud.call("GET", "/flavors")
                found = msgspec.json.decode(body, type=wire.MachineTypes).types
                if found and self._changed(found):
                    await self._write(found)
                    self._renew(found)
            except (CloudDown, NoCapacity, msgspec.MsgspecError, StoreDown) as error:
                self.trouble(str(error))
            await trio.sleep(self.policy.list_every * (ASK_EVERY if self.known else ASK_FIRST))

    def _changed(self, found: list[wire.MachineType]) -> bool:
        """Whether shapes have changed, or prices by more than a step."""
        if {kind.name for kind in found} != set(self.known):
            return True
        return any(self._differs(new, self.known[new.name]) for new in found)

    @staticmethod
    def _differs(new: wire.MachineType, old: wire.MachineType) -> bool:
        if (new.cpus, new.gpus, new.memory, new.zones) != (
            old.cpus,
            old.gpus,
            old.memory,
            old.zones,
        ):
            return True
        step = PRICE_STEP * (old.spot_price or 1)
        return abs((new.spot_price or 0) - (old.spot_price or 0)) > step

    async def _write(self, found: list[wire.MachineType]) -> None:
        for change in self.lay_out(found):
            try:
                revision = await self.store.commit(
                    {change.key: self.replica.version(change.key)},
                    [change],
                    priority=tokens.ACCEPTANCES,
                )
            except (Conflict, NoLease):
                return  # another node was first
            self.replica.own([change], revision)

    def lay_out(self, found: list[wire.MachineType]) -> list[Write]:
        """The writes that store these types, those that hold something first."""
        most = int(self.store.limits.value_kb * 1024)
        whole = _encode(found)
        if len(whole) <= most or not self.gate.open:
            pages = {_KEY: found}
        else:
            pages = self._paged(found, most)
        writes = [Write(key, _encode(page)) for key, page in pages.items()]
        return [*writes, *(Write(key, None) for key in self._pages if key not in pages)]

    @staticmethod
    def _paged(found: list[wire.MachineType], most: int) -> dict[str, list[wire.MachineType]]:
        pages: list[list[wire.MachineType]] = [[]]
        for kind in found:
            if pages[-1] and len(_encode([*pages[-1], kind])) > most:
                pages.append([])
            pages[-1].append(kind)
        return {f"{_KEY}/{number}": page for number, page in enumerate(pages)}
