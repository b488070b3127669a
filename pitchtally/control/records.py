"""The record, in the state service, of the machines that may hold tasks.

A later owner of a part must know every place where a task may be, so no task starts
on a machine that isn't in here, and a name leaves only once its machine is gone.
"""

from __future__ import annotations

import logging
from collections.abc import Iterable
from typing import TYPE_CHECKING, NamedTuple

import msgspec
import trio

from .. import tokens
from ..store import StoreDown, Write
from .machines import PartHold

if TYPE_CHECKING:
    from .workers import Workers

log = logging.getLogger("records")

encode = msgspec.json.encode


class MachineRow(NamedTuple):
    """What the record holds of a machine; stored as an array."""

    type: str
    zone: str
    spot: bool
    address: str


class Records:
    """Chunks of a part's record: names with type, zone, kind and address."""

    def __init__(self, workers: Workers) -> None:
        self.workers = workers
        self.chunks: dict[tuple[int, int], dict[str, MachineRow]] = {}
        self.wake = trio.Event()
        state = workers.settings.deployment.state
        # Machines that one chunk may name; about 100 bytes each.
        self.span = max(1, int(state.value_kb * 1024 / 2 / 100))
        workers.replica.listen("fleet/", self._on_record)

    def _on_record(self, key: str, value: bytes | None, version: int) -> None:
        part, _, chunk = key.partition("/")
        where = (int(part), int(chunk))
        if value is None:
            self.chunks.pop(where, None)
        else:
            self.chunks[where] = msgspec.json.decode(value, type=dict[str, MachineRow])

    def chunk_of(self, machine: str) -> int:
        """The number of the chunk that names a machine."""
        digits = machine.rpartition("-")[2]
        number = int(digits) if digits.isdigit() and len(digits) < 19 else 0
        return number // self.workers.count // self.span

    def of(self, part: int) -> dict[str, MachineRow]:
        """Every recorded machine of a part."""
        out: dict[str, MachineRow] = {}
        for (p, _), chunk in self.chunks.items():
            if p == part:
                out.update(chunk)
        return out

    async def run(self) -> None:
        """Write the records of our parts whenever their machines change."""
        while True:
            with trio.move_on_after(self.workers.times.report_s):
                await self.wake.wait()
            self.wake = trio.Event()
            await trio.sleep(0.03)  # machines come in batches
            for hold in list(self.workers.parts.values()):
                try:
                    await self._write(hold)
                except StoreDown as error:
                    log.debug("fleet record: %s", error)
                    await trio.sleep(0.2)

    async def _write(self, hold: PartHold) -> None:
        """Bring a part's record up to its machines, chunk by chunk."""
        if not hold.loaded:
            return
        names: dict[int, list[str]] = {}
        for machine in self.workers.of_part(hold.part):
            if machine.confirmed or machine.recorded:
                names.setdefault(self.chunk_of(machine.name), []).append(machine.name)
        chunks = {chunk for part, chunk in self.chunks if part == hold.part} | set(names)
        for chunk in sorted(chunks):
            # At thousands of machines a pass has dozens of chunks, and waits for tokens
            # and answers between them. So the part is looked at anew before each.
            if self.workers.parts.get(hold.part) is not hold:
                return
            await self._write_chunk(hold, chunk, names.get(chunk, []))

    async def _write_chunk(self, hold: PartHold, chunk: int, names: list[str]) -> None:
        # A machine that went since the pass began is left out: its row would outlive it.
        rows = {
            name: MachineRow(machine.type, machine.zone, machine.spot, machine.address)
            for name in names
            if (machine := self.workers.machines.get(name)) is not None
        }
        if rows == self.chunks.get((hold.part, chunk), {}):
            self._mark_recorded(rows)
            return
        key = f"pt/fleet/{hold.part}/{chunk}"
        conditions = {
            f"pt/parts/{hold.part}": hold.token,
            key: self.workers.replica.version(key),
        }
        # A name leaves the record only once its machine is known to be gone.
        done = await self.workers.job_store.commit(
            conditions, [Write(key, encode(rows))], priority=tokens.COMPLETIONS
        )
        if done and self.workers.parts.get(hold.part) is hold:
            self._mark_recorded(rows)

    def _mark_recorded(self, names: Iterable[str]) -> None:
        """Tasks may start on these machines, as far as they are still there."""
        for name in names:
            machine = self.workers.machines.get(name)
            if machine is not None:
                machine.recorded = True
