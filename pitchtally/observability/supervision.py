"""Supervision of the loops that run for the lifetime of the process."""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Awaitable, Callable

import trio

log = logging.getLogger(__name__)

RESTART_PAUSE_S = 0.5

Loop = Callable[[], Awaitable[None]]


class LoopSupervisor:
    """Supervisor that restarts failed loops, and counts and logs their exceptions."""

    def __init__(self) -> None:
        self.faults: Counter[str] = Counter()  # exceptions by loop name

    async def supervise(self, name: str, loop: Loop) -> None:
        """Run a loop forever, restarting it whenever it ends.

        An exception in one loop must not end the process.
        """
        while True:
            try:
                await loop()
            except Exception:
                self.faults[name] += 1
                log.exception("loop fault loop=%s faults=%d", name, self.faults[name])
            await trio.sleep(RESTART_PAUSE_S)
