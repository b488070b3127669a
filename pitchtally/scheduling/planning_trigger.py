"""Wakes the planning loop before its interval is over."""

from __future__ import annotations

import trio


class PlanningTrigger:
    """An event that is cleared by the one task that waits for it."""

    def __init__(self) -> None:
        self._event = trio.Event()

    def set(self) -> None:
        """Ask for a planning round soon."""
        self._event.set()

    async def wait(self, timeout: float) -> None:
        """Return once it is set, or after `timeout` seconds; clear it."""
        with trio.move_on_after(timeout):
            await self._event.wait()
        self._event = trio.Event()
