"""Detects that this process was paused: descheduled, swapped out, or its machine suspended."""

from __future__ import annotations

import logging

import trio

from ..config.clock import LONG_AGO

log = logging.getLogger(__name__)

_CHECKS_PER_HEARTBEAT = 4


class PauseDetector:
    """Knows when this process last resumed after a pause."""

    def __init__(self, heartbeat_interval: float, call_timeout: float):
        """A pause is a check that comes more than `call_timeout` seconds late."""
        self._check_interval = heartbeat_interval / _CHECKS_PER_HEARTBEAT
        self._max_gap = self._check_interval + call_timeout
        self._checked_at = trio.current_time()
        self._resumed_at = LONG_AGO

    def resumed_at(self) -> float:
        """When this process last resumed after a pause; steady clock, seconds.

        Its clocks ran on, and all its timers fire at once: nothing received before counts as
        fresh, and nobody was silent only because we did not listen. Whoever asks first
        after a pause detects it, whatever the order in which tasks are resumed.
        """
        now = trio.current_time()
        if now - self._checked_at > self._max_gap:
            log.info("process paused for=%.1f", now - self._checked_at)
            self._resumed_at = self._checked_at = now
        return self._resumed_at

    async def run(self) -> None:
        """Detect pauses also when nobody asks."""
        self._checked_at = trio.current_time()
        while True:
            await trio.sleep(self._check_interval)
            self.resumed_at()
            self._checked_at = trio.current_time()
