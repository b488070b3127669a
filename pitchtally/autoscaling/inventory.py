"""The machines that the cloud lists."""

from __future__ import annotations

import math

import trio

from ..protocol import cloud_api
from .cloud_client import CloudClient

# A machine missing from the list for this many times the list's lag is dropped.
ABSENCE_TIMEOUT_LIST_LAGS = 2


class MachineInventory:
    """The machine list; machines missing from recent reads are kept for a while."""

    def __init__(self, cloud: CloudClient, list_interval: float, list_lag: float):
        """`list_interval`: seconds between reads; `list_lag`: maximum staleness in seconds."""
        self._cloud = cloud
        self._list_interval = list_interval
        self._list_lag = list_lag
        self.machines: dict[str, cloud_api.ListedMachine] = {}
        self._absent_since: dict[str, float] = {}
        self._has_read = False
        self._read_at = -math.inf

    def reset(self) -> None:
        """Clear the list and force the next refresh to read it."""
        self._has_read = False
        self.machines.clear()

    async def refresh(self) -> None:
        """Read the list if it is due; raises `CloudUnavailable`."""
        now = trio.current_time()
        if self._has_read and now - self._read_at < self._list_interval:
            return
        listed = await self._cloud.machines()
        self._read_at = now
        self._has_read = True
        for name in self.machines:
            if name not in listed:
                self._absent_since.setdefault(name, now)
        for name, machine in listed.items():
            self._absent_since.pop(name, None)
            self.machines[name] = machine
        self._drop_absent(now)

    def remove(self, name: str) -> None:
        """Remove a terminated machine."""
        self.machines.pop(name, None)

    def _drop_absent(self, now: float) -> None:
        # Responses may be out of order: a list can be older than the previous one.
        for name, absent_since in list(self._absent_since.items()):
            if now - absent_since > self._list_lag * ABSENCE_TIMEOUT_LIST_LAGS:
                self.machines.pop(name, None)
                del self._absent_since[name]
