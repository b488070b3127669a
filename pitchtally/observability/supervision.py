"""Supervision of the loops that run for as long as the process does."""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Awaitable, Callable

import trio

log = logging.getLogger(__name__)

RESTART_PAUSE_S = 0.5

Loop = Callable[[], Awaitable[None]]


class LoopSupervisor:
    """Restarts a loop that ended by an exception; each such fault is counted and logged."""

    def __init__(self) -> None:
        self.faults: Counter[str] = Counter()  # by the loop's name

    async def supervise(self, name: str, loop: Loop) -> None:
        """Run a loop for ever: a fault in one must not end the process."""
        while True:
            try:
                await loop()
            except Exception:
                self.faults[name] += 1
                log.exception("loop fault loop=%s faults=%d", name, self.faults[name])
            await trio.sleep(RESTART_PAUSE_S)
