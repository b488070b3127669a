"""Jobs whose progress was reported to this node but is not durable yet."""

from __future__ import annotations

import trio


class UnwrittenProgress:
    """The jobs that the progress writer has to check, and the event that wakes it."""

    def __init__(self) -> None:
        self._jobs: set[str] = set()
        self._urgent = trio.Event()

    def jobs(self) -> list[str]:
        """Return a copy of the jobs' ids; more may be added while the caller iterates."""
        return list(self._jobs)

    def add(self, id: str) -> None:
        """Add a job whose progress has to be written in the writer's next round."""
        self._jobs.add(id)

    def discard(self, id: str) -> None:
        """Remove a job that has no progress left to write."""
        self._jobs.discard(id)

    def request_write(self) -> None:
        """Wake the writer at once."""
        self._urgent.set()

    async def wait(self, timeout: float) -> None:
        """Wait for `request_write`, or for `timeout` seconds."""
        with trio.move_on_after(timeout):
            await self._urgent.wait()
        self._urgent = trio.Event()
