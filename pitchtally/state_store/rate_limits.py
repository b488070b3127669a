"""Token buckets with priorities, for calls to the state store and the cloud.

A limit applies to all nodes together, so each node's bucket is refilled at the node's share.
Callers are served by priority, then in order of arrival. The expected wait can be queried, so that
a user's request can be refused at once instead of being held.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from enum import IntEnum
from typing import NamedTuple

import trio


class Priority(IntEnum):
    """Priority of a call by its purpose; lower values are served first."""

    LEASES = 0  # session leases, failover, the watch
    COMPLETIONS = 1  # completing or cancelling a job
    SUBMISSIONS = 2  # accepting a job
    PROGRESS = 3  # calls that no user waits for


# Share of a burst that `PROGRESS` calls leave for calls that users wait for.
_PROGRESS_RESERVE_SHARE = 0.4

# Timers have a resolution of a few milliseconds, so shorter sleeps gain nothing.
_MIN_SLEEP_S = 0.004


class _Waiter(NamedTuple):
    """A caller that waits for permits; waiters sort in the order in which they are served."""

    priority: Priority
    arrival: int
    permits: float


class TokenBucket:
    """A token bucket whose callers are served by priority, then in order of arrival."""

    def __init__(self, rate: float, burst: float, now: Callable[[], float] = trio.current_time):
        """Initialise; `rate` is in permits per second, `burst` the bucket's capacity in permits."""
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
        """Change the rate, and set the burst to one second's permits (at least 1)."""
        self._refill()
        self.rate = rate
        self.burst = max(1.0, rate)

    def wait_time(self, priority: Priority, permits: float = 1.0) -> float:
        """Return the seconds until a new call of this priority would get its permits."""
        self._refill()
        ahead = sum(waiter.permits for waiter in self._waiters if waiter.priority <= priority)
        return max(0.0, (ahead + permits - self._available) / self.rate)

    def penalize(self, permits: float = 1.0) -> None:
        """Empty the bucket and charge permits, after the server reported an exceeded limit."""
        self._refill()
        self._available = min(self._available, 0.0) - permits

    async def acquire(self, priority: Priority, permits: float = 1.0) -> None:
        """Wait for permits and consume them."""
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
        """Return the permits that the bucket must hold before this caller is served.

        A call that costs more than a burst is served from a full bucket and charged in full, so
        later callers wait longer. The result is computed anew for each attempt: a bucket resized
        while a caller waits might never hold the former amount, which would block all callers.
        """
        reserve = (
            self.burst * _PROGRESS_RESERVE_SHARE if waiter.priority >= Priority.PROGRESS else 0.0
        )
        return min(self.burst, waiter.permits + reserve)
