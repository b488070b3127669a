"""Jobs whose progress is known here but not durable yet."""

from __future__ import annotations

import trio


class UnwrittenProgress:
    """The jobs that the progress writer has to look at, and its wake-up call."""

    def __init__(self) -> None:
        self._jobs: set[str] = set()
        self._urgent = trio.Event()

    def jobs(self) -> list[str]:
        """The jobs as of now; more may be added while the caller goes through them."""
        return list(self._jobs)

    def add(self, id: str) -> None:
        """Have a job's progress written, when the writer next looks."""
        self._jobs.add(id)

    def discard(self, id: str) -> None:
        """Nothing of the job is left to write."""
        self._jobs.discard(id)

    def request_write(self) -> None:
        """Have the writer look at once."""
        self._urgent.set()

    async def wait(self, timeout: float) -> None:
        """Return upon `request_write`, or after `timeout` seconds."""
        with trio.move_on_after(timeout):
            await self._urgent.wait()
        self._urgent = trio.Event()
