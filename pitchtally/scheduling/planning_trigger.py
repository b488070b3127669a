"""Wakes the planning loop before its interval has elapsed."""

from __future__ import annotations

import trio


class PlanningTrigger:
    """An event that its single waiter clears on return."""

    def __init__(self) -> None:
        self._event = trio.Event()

    def set(self) -> None:
        """Request a planning round before the interval has elapsed."""
        self._event.set()

    async def wait(self, timeout: float) -> None:
        """Return once the event is set, or after `timeout` seconds; then clear the event."""
        with trio.move_on_after(timeout):
            await self._event.wait()
        self._event = trio.Event()
