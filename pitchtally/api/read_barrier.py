"""The read barrier: linearizable reads of the replica.

A request passes the barrier once the replica covers a read of the state store that was
dispatched after the request arrived. One read serves every request that is waiting when the read
is dispatched. Reads overlap: one that hangs delays no later request, and the requests that it
would have served are served by the next read.

The outcome is stored in the waiting request's own object, never in a table keyed by object
identity: the address of an object is reused after its caller has left, and a later request must
not receive the outcome of an earlier one.
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

# The interval between reads is the time in which this node's share of the rate limit allows this
# many requests: reads take a fifth of the requests at most, and the rest is left to commits.
REQUESTS_PER_READ = 5.0
# Maximum number of reads in flight; each takes a connection. While a tenth of the responses is
# late by seconds, about five reads hang at any time if the rate limit is high.
MAX_CONCURRENT_READS = 16
# The key in `ReadBarrier.counts` for requests that passed.
CONFIRMED = "confirmed"


class FailureCause(StrEnum):
    """Why a request did not pass the barrier."""

    REFUSED = "refused"  # the read that served it was refused, or its response is unusable
    TIMED_OUT = "timed_out"  # no read dispatched after the request got a response in time


@dataclass(frozen=True, slots=True)
class BarrierPassed:
    """The replica covers a revision that was read after the request arrived."""

    read: Refresh


@dataclass(frozen=True, slots=True)
class BarrierFailed:
    """The replica may be stale: no response may be based on it."""

    cause: FailureCause
    reason: str


BarrierOutcome = BarrierPassed | BarrierFailed


@dataclass(slots=True, eq=False)
class BarrierWaiter:
    """A request that waits at the barrier; its outcome is stored here and nowhere else."""

    done: trio.Event = field(default_factory=trio.Event)
    outcome: BarrierOutcome | None = None

    def resolve(self, outcome: BarrierOutcome) -> None:
        """Set the outcome and wake the request."""
        self.outcome = outcome
        self.done.set()


class ReadBarrier:
    """Reads the state store for all requests that need a current replica."""

    def __init__(self, state_store: StateStoreClient, replica: Replica, timeout: float):
        """`timeout`: maximum time that a request waits, in seconds."""
        self.state_store = state_store
        self.replica = replica
        self.timeout = timeout
        self.counts: Counter[str] = Counter()  # `CONFIRMED`, and the values of `FailureCause`
        self.last_read: Refresh | None = None  # the newest read that succeeded
        self._waiters: dict[BarrierWaiter, None] = {}  # an ordered set, in order of arrival
        self._reads_in_flight = 0
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
        """Start reads while any request waits; reads overlap up to a limit."""
        self._reads_in_flight = 0
        async with trio.open_nursery() as nursery:
            while True:
                while not self._waiters or self._reads_in_flight >= MAX_CONCURRENT_READS:
                    self._wake = trio.Event()
                    await self._wake.wait()
                self._reads_in_flight += 1
                nursery.start_soon(self._read)
                await trio.sleep(REQUESTS_PER_READ / self.state_store.request_limit.rate)

    async def _read(self) -> None:
        """Perform one read, for every request that is waiting when it is dispatched."""
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
            self._reads_in_flight -= 1
            self._wake.set()
        # If the read was never dispatched, all requests fail: no read is possible now.
        for waiter in list(self._waiters) if served is None else served:
            if waiter in self._waiters:
                del self._waiters[waiter]
                waiter.resolve(outcome)
