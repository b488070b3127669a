"""Detection of pauses of this process: descheduled, swapped out, or its machine suspended."""

from __future__ import annotations

import logging
import time

import trio

from ..config.clock import LONG_AGO_S

log = logging.getLogger(__name__)

_CHECKS_PER_HEARTBEAT = 4


class PauseDetector:
    """Detects pauses of this process from late periodic checks."""

    def __init__(self, heartbeat_interval: float, call_timeout: float):
        """Initialise; a check that is more than `call_timeout` seconds late indicates a pause."""
        self._check_interval = heartbeat_interval / _CHECKS_PER_HEARTBEAT
        self._max_gap = self._check_interval + call_timeout
        self._checked_at = trio.current_time()
        self._cpu_s_at_check = time.process_time()
        self._resumed_at = LONG_AGO_S

    def resumed_at(self) -> float:
        """Return when this process last resumed after a pause, in seconds of the steady clock.

        During a pause clocks advance, and afterwards all overdue timers fire at once. So nothing
        received before a pause counts as fresh, and messages missing during it are no sign that
        their senders failed. The first call after a pause detects it, in whatever order tasks
        are resumed.
        """
        now = trio.current_time()
        if now - self._checked_at > self._max_gap:
            # The processor time tells a process that was not run from one that never yielded.
            cpu_s = time.process_time() - self._cpu_s_at_check
            log.info("process paused for=%.1f cpu=%.1f", now - self._checked_at, cpu_s)
            self._resumed_at = now
            self._note_check(now)
        return self._resumed_at

    def _note_check(self, now: float) -> None:
        self._checked_at = now
        self._cpu_s_at_check = time.process_time()

    async def run(self) -> None:
        """Check for pauses periodically, besides the checks made by callers."""
        self._note_check(trio.current_time())
        while True:
            await trio.sleep(self._check_interval)
            self.resumed_at()
            self._note_check(trio.current_time())
