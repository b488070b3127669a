"""The machines whose agents are to be called soon."""

from __future__ import annotations

import trio


class CommandQueue:
    """Names of machines with tasks to stop, and the wake-up call of the sender."""

    def __init__(self) -> None:
        self._names: set[str] = set()
        self._wake = trio.Event()

    def add(self, machine: str) -> None:
        """Have a machine's agent called soon with what it must stop."""
        self._names.add(machine)
        self._wake.set()

    def wake(self) -> None:
        """Have the sender look at shards and machines at once."""
        self._wake.set()

    def pop_all(self) -> list[str]:
        """Empty the queue."""
        names = list(self._names)
        self._names.clear()
        return names

    async def wait(self, timeout: float) -> None:
        """Return upon `add` or `wake`, or after `timeout` seconds."""
        with trio.move_on_after(timeout):
            await self._wake.wait()
        self._wake = trio.Event()
