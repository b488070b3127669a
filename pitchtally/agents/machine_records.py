"""The state store's record of the machines that may hold tasks.

A later leader of a shard must find every machine that may hold a task. So a task starts only on
a recorded machine, and a machine is removed from the record only once it is gone. A shard's
record is split into chunks, each of them one value in the store (`formats.machine_layout`).
"""

from __future__ import annotations

import logging
from collections.abc import Iterable, Mapping
from typing import NamedTuple

import msgspec
import trio

from ..config.settings import StateLimits
from ..formats import format_1, machine_layout
from ..formats.gate import FormatGate
from ..jobs.commits import JobCommits
from ..state_store import keys
from ..state_store.client import Write
from ..state_store.errors import InvalidTransaction, StoreUnavailable
from ..state_store.rate_limits import Priority
from .led_shard import LedShard
from .machine_index import MachineIndex

log = logging.getLogger(__name__)

# New machines arrive in batches, so a short delay lets one write include several.
BATCHING_S = 0.03
# Delay after a write that failed because the store is unavailable.
RETRY_INTERVAL_S = 0.2
# Names with longer numbers do not come from the cloud; they belong to the first chunk.
MAX_NUMBER_DIGITS = 18


class RecordedMachine(NamedTuple):
    """A machine's entry in the record; stored as an array."""

    type: str
    zone: str
    spot: bool
    address: str


RecordedMachines = dict[str, RecordedMachine]  # keyed by machine name


class MachineRecords:
    """Caches the record chunks of all shards, and writes those of the led shards."""

    def __init__(
        self,
        index: MachineIndex,
        shards: Mapping[int, LedShard],
        commits: JobCommits,
        gate: FormatGate,
        limits: StateLimits,
        interval: float,
    ):
        """`interval` is the time in seconds between two passes, unless a write is requested."""
        self.gate = gate
        self.chunks: dict[keys.MachineChunk, RecordedMachines] = {}
        self.chunk_width = machine_layout.machines_per_chunk(int(limits.value_kb * 1024))
        self._index = index
        self._shards = shards
        self._commits = commits
        self._interval = interval
        self._write_requested = trio.Event()
        self._legacy_layout_refused = False  # the store no longer accepts chunks of the old layout
        commits.replica.listen(keys.MACHINES_PREFIX, self._on_record)

    def _on_record(self, key: str, value: bytes | None, version: int) -> None:
        chunk = keys.parse_machines(key)
        if value is None:
            self.chunks.pop(chunk, None)
        else:
            self.chunks[chunk] = msgspec.json.decode(value, type=RecordedMachines)

    def chunk_of(self, machine: str) -> int:
        """Return the number of the chunk that lists a machine, in the layout to be written."""
        digits = machine.rpartition("-")[2]
        number = int(digits) if digits.isdigit() and len(digits) <= MAX_NUMBER_DIGITS else 0
        position = number // self._index.shard_count
        if self.gate.open or self._legacy_layout_refused:
            return machine_layout.chunk_of(position, self.chunk_width)
        return position // format_1.machines_per_chunk(self.gate.value_kb)

    def recorded_machines(self, shard: int) -> RecordedMachines:
        """Return all recorded machines of a shard, keyed by name."""
        machines: RecordedMachines = {}
        for chunk, chunk_machines in self.chunks.items():
            if chunk.shard == shard:
                machines.update(chunk_machines)
        return machines

    def request_write(self) -> None:
        """Request an immediate update of the records of the led shards."""
        self._write_requested.set()

    async def run(self) -> None:
        """Write the records of the led shards at each interval, and on request."""
        while True:
            with trio.move_on_after(self._interval):
                await self._write_requested.wait()
            self._write_requested = trio.Event()
            await trio.sleep(BATCHING_S)
            for led_shard in list(self._shards.values()):
                try:
                    await self.write(led_shard)
                except StoreUnavailable as error:
                    log.debug("machine records not written: %s", error)
                    await trio.sleep(RETRY_INTERVAL_S)

    async def write(self, led_shard: LedShard) -> None:
        """Update a shard's record to its present machines, chunk by chunk.

        A machine is written to its new chunk before it is removed from one of another layout,
        so the record always contains it, even if this process stops in between.

        Raises StoreUnavailable.
        """
        if not led_shard.loaded:
            return
        names = self._names_by_chunk(led_shard.shard)
        existing_chunks = {chunk.chunk for chunk in self.chunks if chunk.shard == led_shard.shard}
        for number in [*sorted(names), *sorted(existing_chunks - set(names))]:
            # With thousands of machines a pass writes dozens of chunks, and waits for rate limit
            # permits and responses in between. So leadership is checked again before each.
            if not self._is_led(led_shard):
                return
            if not await self._write_chunk(led_shard, number, names.get(number, [])):
                return

    def _names_by_chunk(self, shard: int) -> dict[int, list[str]]:
        """Return the names of the machines to record, keyed by chunk: those that may hold tasks."""
        names: dict[int, list[str]] = {}
        for machine in self._index.of_shard(shard):
            if machine.confirmed or machine.recorded:
                names.setdefault(self.chunk_of(machine.name), []).append(machine.name)
        return names

    def _is_led(self, led_shard: LedShard) -> bool:
        return self._shards.get(led_shard.shard) is led_shard

    async def _write_chunk(self, led_shard: LedShard, number: int, names: list[str]) -> bool:
        """Write a chunk unless it is current; return False if the write was rejected."""
        entries = self._recorded_form(names)
        if entries == self.chunks.get(keys.MachineChunk(led_shard.shard, number), {}):
            self._mark_recorded(entries)
            return True
        key = keys.machines(led_shard.shard, number)
        preconditions = {
            keys.shard(led_shard.shard): led_shard.token,
            key: self._commits.replica.version(key),
        }
        # The old format keeps empty chunks, so they are deleted only once the format gate is open.
        value = msgspec.json.encode(entries) if entries or not self.gate.open else None
        try:
            committed = await self._commits.commit(
                preconditions, [Write(key, value)], priority=Priority.COMPLETIONS
            )
        except InvalidTransaction as error:
            # The store's limits were lowered before the format gate opened, so from now on
            # the new layout is written. Earlier versions read chunks of any layout, and write the
            # machines to chunks of their own layout before they empty the others.
            log.info(
                "machine records refused shard=%d chunk=%d cause=%s",
                led_shard.shard,
                number,
                error,
            )
            self._legacy_layout_refused = True
            return False
        if committed and self._is_led(led_shard):
            self._mark_recorded(entries)
        return committed

    def _recorded_form(self, names: Iterable[str]) -> RecordedMachines:
        """Return the entries of machines, without those that are no longer in the index."""
        return {
            name: RecordedMachine(machine.type, machine.zone, machine.spot, machine.address)
            for name in names
            if (machine := self._index.machines.get(name)) is not None
        }

    def _mark_recorded(self, names: Iterable[str]) -> None:
        """Mark the machines that still exist as recorded, so that tasks may start on them."""
        for name in names:
            machine = self._index.machines.get(name)
            if machine is not None:
                machine.recorded = True
