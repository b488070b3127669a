"""The record, in the state store, of the machines that may hold tasks.

A later leader of a shard must know every place where a task may be, so no task starts
on a machine that isn't in here, and a name leaves only once its machine is gone.
"""

from __future__ import annotations

import logging
from collections.abc import Iterable
from typing import TYPE_CHECKING, NamedTuple

import msgspec
import trio

from ..formats import format_1, machine_layout
from ..state_store import keys
from ..state_store.client import Write
from ..state_store.errors import InvalidTransaction, StoreUnavailable
from ..state_store.rate_limits import Priority
from .machines import LedShard

if TYPE_CHECKING:
    from .manager import AgentManager

log = logging.getLogger("records")

encode = msgspec.json.encode


class MachineRow(NamedTuple):
    """What the record holds of a machine; stored as an array."""

    type: str
    zone: str
    spot: bool
    address: str


class MachineRecords:
    """Chunks of a shard's record: names with type, zone, kind and address."""

    def __init__(self, agents: AgentManager) -> None:
        self.agents = agents
        self.gate = agents.job_index.gate
        self.chunks: dict[keys.MachineChunk, dict[str, MachineRow]] = {}
        self.wake = trio.Event()
        limits = agents.settings.deployment.state_to_keep
        self.span = machine_layout.machines_per_chunk(int(limits.value_kb * 1024))
        self._refused = False  # the store takes chunks of the old layout no more
        agents.replica.listen(keys.MACHINES_PREFIX, self._on_record)

    def _on_record(self, key: str, value: bytes | None, version: int) -> None:
        where = keys.parse_machines(key)
        if value is None:
            self.chunks.pop(where, None)
        else:
            self.chunks[where] = msgspec.json.decode(value, type=dict[str, MachineRow])

    def chunk_of(self, machine: str) -> int:
        """The number of the chunk that names a machine in the layout to write."""
        digits = machine.rpartition("-")[2]
        number = int(digits) if digits.isdigit() and len(digits) < 19 else 0
        place = number // self.agents.count
        if self.gate.open or self._refused:
            return machine_layout.chunk_of(place, self.span)
        return place // format_1.machines_per_chunk(self.gate.value_kb)

    def of(self, shard: int) -> dict[str, MachineRow]:
        """Every recorded machine of a shard."""
        out: dict[str, MachineRow] = {}
        for (p, _), chunk in self.chunks.items():
            if p == shard:
                out.update(chunk)
        return out

    async def run(self) -> None:
        """Write the records of our shards whenever their machines change."""
        while True:
            with trio.move_on_after(self.agents.times.report_s):
                await self.wake.wait()
            self.wake = trio.Event()
            await trio.sleep(0.03)  # machines come in batches
            for led_shard in list(self.agents.shards.values()):
                try:
                    await self._write(led_shard)
                except StoreUnavailable as error:
                    log.debug("fleet record: %s", error)
                    await trio.sleep(0.2)

    async def _write(self, led_shard: LedShard) -> None:
        """Bring a shard's record up to its machines, chunk by chunk.

        A machine is named in its new chunk before it leaves one of another layout, so it is
        named somewhere at any moment, whenever this node ends.
        """
        if not led_shard.loaded:
            return
        names: dict[int, list[str]] = {}
        for machine in self.agents.of_shard(led_shard.shard):
            if machine.confirmed or machine.recorded:
                names.setdefault(self.chunk_of(machine.name), []).append(machine.name)
        others = {chunk for shard, chunk in self.chunks if shard == led_shard.shard} - set(names)
        for chunk in [*sorted(names), *sorted(others)]:
            # At thousands of machines a pass has dozens of chunks, and waits for tokens
            # and answers between them. So the shard is looked at anew before each.
            if self.agents.shards.get(led_shard.shard) is not led_shard:
                return
            if not await self._write_chunk(led_shard, chunk, names.get(chunk, [])):
                return

    async def _write_chunk(self, led_shard: LedShard, chunk: int, names: list[str]) -> bool:
        """Write a chunk as it should be; False if it doesn't stand so afterwards."""
        # A machine that went since the pass began is left out: its row would outlive it.
        rows = {
            name: MachineRow(machine.type, machine.zone, machine.spot, machine.address)
            for name in names
            if (machine := self.agents.machines.get(name)) is not None
        }
        if rows == self.chunks.get(keys.MachineChunk(led_shard.shard, chunk), {}):
            self._mark_recorded(rows)
            return True
        key = keys.machines(led_shard.shard, chunk)
        conditions = {
            keys.shard(led_shard.shard): led_shard.token,
            key: self.agents.replica.version(key),
        }
        # A name leaves the record only once its machine is known to be gone.
        value = encode(rows) if rows or not self.gate.open else None
        try:
            done = await self.agents.job_index.commit(
                conditions, [Write(key, value)], priority=Priority.COMPLETIONS
            )
        except InvalidTransaction as error:
            # Lower limits came before the gate opened. Earlier versions read any chunk, and
            # move what it names to theirs before they empty it.
            log.info(
                "fleet record refused part=%d chunk=%d cause=%s", led_shard.shard, chunk, error
            )
            self._refused = True
            return False
        if done and self.agents.shards.get(led_shard.shard) is led_shard:
            self._mark_recorded(rows)
        return done

    def _mark_recorded(self, names: Iterable[str]) -> None:
        """Tasks may start on these machines, as far as they are still there."""
        for name in names:
            machine = self.agents.machines.get(name)
            if machine is not None:
                machine.recorded = True
