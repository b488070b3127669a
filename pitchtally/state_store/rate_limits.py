"""Token buckets with priorities, for calls to the state store and the cloud.

The limits are for all nodes together, so each node fills its bucket at its share. Callers are
served by priority, then in order of arrival. A caller can also ask how long it would wait, and
so refuse a user at once instead of holding the request.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from enum import IntEnum
from typing import NamedTuple

import trio


class Priority(IntEnum):
    """What a call is for; lower values are served first."""

    LEASES = 0  # session leases, failover, and the watch
    COMPLETIONS = 1  # what completes or cancels a job
    SUBMISSIONS = 2  # what accepts a job
    PROGRESS = 3  # what nobody waits for


# Of a burst: what `PROGRESS` leaves to calls that users wait for.
_PROGRESS_RESERVE_SHARE = 0.4

# Timers fire in steps of a few milliseconds, so finer waits gain nothing; seconds.
_MIN_SLEEP_S = 0.004


class _Waiter(NamedTuple):
    """A caller that waits for permits, in the order in which it is served."""

    priority: Priority
    arrival: int
    permits: float


class TokenBucket:
    """A token bucket whose callers are served by priority, then in order of arrival."""

    def __init__(self, rate: float, burst: float, now: Callable[[], float] = trio.current_time):
        """`rate`: permits per second; `burst`: the most that can be saved up."""
        self.rate = rate
        self.burst = max(1.0, burst)
        self._now = now
        self._available = self.burst
        self._refilled_at = now()
        self._waiters: list[_Waiter] = []
        self._arrivals = 0

    def _refill(self) -> None:
        now = self._now()
        gained = (now - self._refilled_at) * self.rate
        self._available = min(self.burst, self._available + gained)
        self._refilled_at = now

    def resize(self, rate: float) -> None:
        """Change the rate, and the burst with it."""
        self._refill()
        self.rate = rate
        self.burst = max(1.0, rate)

    def wait_time(self, priority: Priority, permits: float = 1.0) -> float:
        """Seconds until a call of this priority could go, as things stand."""
        self._refill()
        ahead = sum(waiter.permits for waiter in self._waiters if waiter.priority <= priority)
        return max(0.0, (ahead + permits - self._available) / self.rate)

    def penalize(self, permits: float = 1.0) -> None:
        """Go short: the other side, which knows better, says that we are over its limit."""
        self._refill()
        self._available = min(self._available, 0.0) - permits

    async def acquire(self, priority: Priority, permits: float = 1.0) -> None:
        """Wait for permits, and use them."""
        self._arrivals += 1
        waiter = _Waiter(priority, self._arrivals, permits)
        heapq.heappush(self._waiters, waiter)
        try:
            while not self._try_acquire(waiter):
                ahead = sum(other.permits for other in self._waiters if other < waiter)
                missing = ahead + self._required_permits(waiter) - self._available
                await trio.sleep(max(_MIN_SLEEP_S, missing / self.rate))
        finally:
            self._waiters.remove(waiter)
            heapq.heapify(self._waiters)

    def _try_acquire(self, waiter: _Waiter) -> bool:
        self._refill()
        first = self._waiters[0] is waiter
        if not first or self._available < self._required_permits(waiter):
            return False
        self._available -= waiter.permits
        return True

    def _required_permits(self, waiter: _Waiter) -> float:
        """The permits that the bucket must hold before this caller may go.

        More than a burst at once is paid for afterwards: those that follow wait longer. Worked
        out anew each time: a bucket that was made smaller under a waiter would never hold
        what it waited for, and nobody else would go.
        """
        reserve = (
            self.burst * _PROGRESS_RESERVE_SHARE if waiter.priority >= Priority.PROGRESS else 0.0
        )
        return min(self.burst, waiter.permits + reserve)
