"""The read barrier: linearizable reads of the replica.

A request passes the barrier once the replica covers a read of the state store that was
dispatched after the request arrived. One read serves every request that waits as it is
dispatched, and reads overlap: one that hangs delays no later request, and the requests that it
would have served are served by the next.

The outcome is kept in the waiting request's own object, never in a table by identity: the
address of an object is reused once its caller has left, and a later request must not receive an
outcome that belongs to an earlier one.
"""

from __future__ import annotations

import logging
from collections import Counter
from dataclasses import dataclass, field
from enum import StrEnum

import trio

from ..state_store.client import StateStoreClient
from ..state_store.errors import NoResponse, StoreUnavailable
from ..state_store.replica import Refresh, Replica

log = logging.getLogger(__name__)

# One read may start for as many requests as this node's share of the rate limit allows in the
# same time: reads take a fifth of the requests at most, and the rest is left to commits.
REQUESTS_PER_READ = 5.0
# Reads under way at once; each takes a connection. While a tenth of the answers is late by
# seconds, about five reads hang at any time if the rate limit is high.
MAX_CONCURRENT_READS = 16
# The key in `ReadBarrier.counts` of requests that passed.
CONFIRMED = "confirmed"


class FailureCause(StrEnum):
    """Why a request did not pass the barrier."""

    REFUSED = "refused"  # the read that served it was refused, or its answer can't be used
    TIMED_OUT = "timed_out"  # no read dispatched after the request was answered in time


@dataclass(frozen=True, slots=True)
class BarrierPassed:
    """The replica covers a revision that was read after the request arrived."""

    read: Refresh


@dataclass(frozen=True, slots=True)
class BarrierFailed:
    """Nothing may be concluded from the replica."""

    cause: FailureCause
    reason: str


BarrierOutcome = BarrierPassed | BarrierFailed


@dataclass(slots=True, eq=False)
class BarrierWaiter:
    """One request that waits at the barrier; its outcome is stored here and nowhere else."""

    done: trio.Event = field(default_factory=trio.Event)
    outcome: BarrierOutcome | None = None

    def resolve(self, outcome: BarrierOutcome) -> None:
        """Set the outcome and wake the request."""
        self.outcome = outcome
        self.done.set()


class ReadBarrier:
    """Reads the state store on behalf of all requests that need a current replica."""

    def __init__(self, state_store: StateStoreClient, replica: Replica, timeout: float):
        """`timeout`: seconds that a request waits at most."""
        self.state_store = state_store
        self.replica = replica
        self.timeout = timeout
        self.counts: Counter[str] = Counter()  # `CONFIRMED`, and the values of `FailureCause`
        self.last_read: Refresh | None = None  # the newest one that succeeded
        self._waiters: dict[BarrierWaiter, None] = {}  # an ordered set, first come first
        self._reads_under_way = 0
        self._wake = trio.Event()

    async def wait(self) -> BarrierOutcome:
        """Wait until the replica covers a read dispatched after this call, or the timeout."""
        waiter = BarrierWaiter()
        self._waiters[waiter] = None
        self._wake.set()
        try:
            with trio.move_on_after(self.timeout):
                await waiter.done.wait()
        finally:
            self._waiters.pop(waiter, None)
        outcome = waiter.outcome or BarrierFailed(
            FailureCause.TIMED_OUT, f"no answer in {self.timeout:g} s"
        )
        self.counts[CONFIRMED if isinstance(outcome, BarrierPassed) else outcome.cause] += 1
        return outcome

    async def run(self) -> None:
        """Read for as long as any request waits; reads overlap up to a limit."""
        self._reads_under_way = 0
        async with trio.open_nursery() as nursery:
            while True:
                while not self._waiters or self._reads_under_way >= MAX_CONCURRENT_READS:
                    self._wake = trio.Event()
                    await self._wake.wait()
                self._reads_under_way += 1
                nursery.start_soon(self._read)
                await trio.sleep(REQUESTS_PER_READ / self.state_store.request_limit.rate)

    async def _read(self) -> None:
        """One read, for every request that waits as it is dispatched."""
        served: list[BarrierWaiter] | None = None

        def dispatched() -> None:
            nonlocal served
            served = list(self._waiters)

        outcome: BarrierOutcome
        try:
            read = await self.replica.refresh(self.timeout, dispatched)
            outcome = BarrierPassed(read)
            self.last_read = read
            log.debug(
                "read revision=%d asked=%.3f answered=%.3f requests=%d",
                read.revision,
                read.requested_at,
                read.replied_at,
                len(served or ()),
            )
        except StoreUnavailable as error:
            timed_out = isinstance(error, NoResponse)
            cause = FailureCause.TIMED_OUT if timed_out else FailureCause.REFUSED
            outcome = BarrierFailed(cause, str(error))
            log.debug("read failed cause=%r requests=%d", str(error), len(served or ()))
        finally:
            self._reads_under_way -= 1
            self._wake.set()
        # A read that was never dispatched fails for all: no read is possible now.
        for waiter in list(self._waiters) if served is None else served:
            if waiter in self._waiters:
                del self._waiters[waiter]
                waiter.resolve(outcome)
