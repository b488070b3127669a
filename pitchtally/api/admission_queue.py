"""Submissions that were refused for the moment, in the order in which they first came.

Users come back after the time that they are told, but not for ever. Whoever happened to ask
at the right moment was taken before, so that after an outage some gave up while newer ones
were accepted. A node remembers who was refused, and lets nobody pass those who came earlier.
"""

from __future__ import annotations

import bisect
import math
from collections.abc import Callable
from dataclasses import dataclass

import trio

# Seconds that a user may be late after the time told; then it has given up, or asks elsewhere.
GRACE_S = 3.0
# How long the first attempt is remembered: users move from node to node in between.
MEMORY_S = 60.0
# The longest that a user is sent away for at once: an estimate further ahead is too rough.
LONGEST_S = 3


@dataclass(slots=True)
class _Entry:
    since: float
    expected_until: float


class AdmissionQueue:
    """Who was refused, since when, and until when each is expected back."""

    def __init__(self, is_accepted: Callable[[str], bool] = lambda id: False) -> None:
        self._is_accepted = is_accepted  # by any node, as far as this one knows
        self._entries: dict[str, _Entry] = {}
        self._order: list[tuple[float, str]] = []  # (since, id), sorted
        self._swept_at = -math.inf

    @property
    def waiting(self) -> bool:
        """Whether anyone is expected back."""
        self._sweep()
        return bool(self._order)

    def ahead_of(self, id: str) -> int:
        """How many that came earlier are still expected."""
        self._sweep()
        entry = self._entries.get(id)
        if entry is None:
            return len(self._order)
        return bisect.bisect_left(self._order, (entry.since, id))

    def refuse(self, id: str, wait: float) -> int:
        """Remember a submission that is refused now; the seconds after which to come back."""
        now = trio.current_time()
        seconds = max(1, min(LONGEST_S, math.ceil(wait)))
        entry = self._entries.setdefault(id, _Entry(now, now))
        place = bisect.bisect_left(self._order, (entry.since, id))
        if self._order[place : place + 1] != [(entry.since, id)]:
            self._order.insert(place, (entry.since, id))
        entry.expected_until = now + seconds + GRACE_S
        return seconds

    def leave(self, id: str) -> None:
        """The submission is accepted, or will never be."""
        entry = self._entries.pop(id, None)
        if entry is not None and (entry.since, id) in self._order:
            self._order.remove((entry.since, id))

    def _sweep(self) -> None:
        """Forget those who have not come back, or were taken elsewhere, now and then."""
        now = trio.current_time()
        if now - self._swept_at < GRACE_S / 4:
            return
        self._swept_at = now
        for id, entry in list(self._entries.items()):
            if entry.expected_until + MEMORY_S < now or self._is_accepted(id):
                del self._entries[id]
        self._order = [(since, id) for since, id in self._order if self._is_expected(id, now)]

    def _is_expected(self, id: str, now: float) -> bool:
        entry = self._entries.get(id)
        return entry is not None and entry.expected_until >= now
