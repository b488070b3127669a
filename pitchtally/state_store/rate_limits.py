"""Token buckets with priorities for calls to the state store and the cloud.

The limits are for all nodes together, so each node fills its bucket at its
share. Waiters are served by priority, then in order. A caller can also ask how
long it would wait, and so refuse a user at once instead of holding the request.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable

import trio

# Lower goes first.
LEASES, COMPLETIONS, ACCEPTANCES, PROGRESS = range(4)

# Progress leaves this share of a burst to what users wait for.
_KEPT = 0.4

# Timers fire in steps of a few milliseconds, so finer waits gain nothing.
_STEP = 0.004


class TokenBucket:
    """A token bucket whose waiters are served by priority, then in order."""

    def __init__(self, rate: float, burst: float, now: Callable[[], float] = trio.current_time):
        self.rate = rate
        self.burst = max(1.0, burst)
        self._now = now
        self._level = self.burst
        self._at = now()
        self._queue: list[tuple[int, int, float]] = []
        self._count = 0

    def _refill(self) -> None:
        now = self._now()
        self._level = min(self.burst, self._level + (now - self._at) * self.rate)
        self._at = now

    def resize(self, rate: float) -> None:
        """Change the rate, and the burst with it."""
        self._refill()
        self.rate = rate
        self.burst = max(1.0, rate)

    def wait_for(self, priority: int, amount: float = 1.0) -> float:
        """Seconds until a call of this priority could go, as things stand."""
        self._refill()
        ahead = sum(size for rank, _, size in self._queue if rank <= priority)
        return max(0.0, (ahead + amount - self._level) / self.rate)

    def penalty(self, amount: float = 1.0) -> None:
        """The other side says we are over its limit: it knows better, so go short."""
        self._refill()
        self._level = min(self._level, 0.0) - amount

    async def take(self, priority: int, amount: float = 1.0) -> None:
        """Wait for tokens, and take them."""
        self._count += 1
        entry = (priority, self._count, amount)
        heapq.heappush(self._queue, entry)
        try:
            while True:
                self._refill()
                # More than a burst at once is paid for afterwards: those that follow wait
                # longer. Worked out anew each time: a bucket that was made smaller under a
                # waiter would never hold what it waited for, and nobody else would go.
                least = min(
                    self.burst, amount + (self.burst * _KEPT if priority >= PROGRESS else 0.0)
                )
                if self._queue[0] is entry and self._level >= least:
                    self._level -= amount
                    return
                ahead = sum(other[2] for other in self._queue if other < entry)
                await trio.sleep(max(_STEP, (ahead + least - self._level) / self.rate))
        finally:
            self._queue.remove(entry)
            heapq.heapify(self._queue)
