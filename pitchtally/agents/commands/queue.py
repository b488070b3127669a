"""Queue of the machines whose agents must be called."""

from __future__ import annotations

import trio


class CommandQueue:
    """Names of machines with tasks to stop, and an event that wakes the sender."""

    def __init__(self) -> None:
        self._names: set[str] = set()
        self._wake = trio.Event()

    def add(self, machine: str) -> None:
        """Request a call to a machine's agent with its stop commands."""
        self._names.add(machine)
        self._wake.set()

    def wake(self) -> None:
        """Wake the sender to check all shards and machines."""
        self._wake.set()

    def pop_all(self) -> list[str]:
        """Remove and return all names."""
        names = list(self._names)
        self._names.clear()
        return names

    async def wait(self, timeout: float) -> None:
        """Wait for `add` or `wake`, for at most `timeout` seconds."""
        with trio.move_on_after(timeout):
            await self._wake.wait()
        self._wake = trio.Event()
