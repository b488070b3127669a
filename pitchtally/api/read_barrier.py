"""Confirmations: whether the copy covers all that was committed before a question was asked.

A question is confirmed by a read of the store that was sent after it. One read serves every
question that waits as it is sent, and reads overlap: one that hangs holds up no later
question, and the questions that it would have served are served by the next.

The outcome is kept in the question itself. Whoever gives a question up takes it along, so
that an outcome which comes too late reaches nobody. Outcomes were kept in a table before,
by the address of an object that was free again once its waiter had left: a later question
got that address, and with it a confirmation that wasn't its own.
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

log = logging.getLogger("confirmations")

# One read may begin for as many requests as this node's share allows in the same time: a
# fifth of them at the most, with polls coming all the time. The rest is left to commits.
REQUESTS_PER_READ = 5.0
# Reads under way at once; each takes a connection. With a tenth of the answers late by
# seconds, some five hang at any time where requests are plenty.
MOST_READS = 16


class Unanswered(StrEnum):
    """Why a question is not confirmed."""

    REFUSED = "refused"  # the read that served it was refused, or its answer can't be used
    TIMED_OUT = "timed_out"  # no read that was sent after it was answered in time


@dataclass(frozen=True, slots=True)
class Confirmed:
    """The copy covers a revision that was read after the question."""

    read: Refresh


@dataclass(frozen=True, slots=True)
class Unconfirmed:
    """Nothing may be concluded from the copy."""

    why: Unanswered
    reason: str


Outcome = Confirmed | Unconfirmed


@dataclass(slots=True, eq=False)
class Question:
    """One caller's question; its outcome is put here and nowhere else."""

    asked_at: float  # steady clock, seconds
    ended: trio.Event = field(default_factory=trio.Event)
    outcome: Outcome | None = None

    def end(self, outcome: Outcome) -> None:
        """Tell the caller."""
        self.outcome = outcome
        self.ended.set()


class ReadBarrier:
    """Asks the store on behalf of all callers who need to know that the copy is current."""

    def __init__(self, state_store: StateStoreClient, replica: Replica, timeout: float):
        self.state_store = state_store
        self.replica = replica
        self.timeout = timeout  # seconds that a caller waits
        self.counts: Counter[str] = Counter()  # "confirmed", and the values of `Unanswered`
        self.last: Refresh | None = None  # the newest read that confirmed anything
        self._waiting: dict[Question, None] = {}  # a set, in the order of asking
        self._reads = 0  # under way
        self._wake = trio.Event()

    async def confirm(self) -> Outcome:
        """Whether the copy covers a revision that was read after this call."""
        question = Question(trio.current_time())
        self._waiting[question] = None
        self._wake.set()
        try:
            with trio.move_on_after(self.timeout):
                await question.ended.wait()
        finally:
            self._waiting.pop(question, None)
        outcome = question.outcome or Unconfirmed(
            Unanswered.TIMED_OUT, f"no answer in {self.timeout:g} s"
        )
        self.counts["confirmed" if isinstance(outcome, Confirmed) else outcome.why] += 1
        return outcome

    async def run(self) -> None:
        """Read for as long as anyone waits; the next read doesn't wait for the last."""
        self._reads = 0
        async with trio.open_nursery() as nursery:
            while True:
                while not self._waiting or self._reads >= MOST_READS:
                    self._wake = trio.Event()
                    await self._wake.wait()
                self._reads += 1
                nursery.start_soon(self._read)
                await trio.sleep(REQUESTS_PER_READ / self.state_store.request_limit.rate)

    async def _read(self) -> None:
        """One read, for every question that waits as it is sent."""
        served: list[Question] | None = None

        def sent() -> None:
            nonlocal served
            served = list(self._waiting)

        outcome: Outcome
        try:
            read = await self.replica.refresh(self.timeout, sent)
            outcome = Confirmed(read)
            self.last = read
            log.debug(
                "read revision=%d asked=%.3f answered=%.3f questions=%d",
                read.revision,
                read.asked_at,
                read.answered_at,
                len(served or ()),
            )
        except StoreUnavailable as error:
            silent = isinstance(error, NoResponse)
            outcome = Unconfirmed(
                Unanswered.TIMED_OUT if silent else Unanswered.REFUSED, str(error)
            )
            log.debug("read failed cause=%r questions=%d", str(error), len(served or ()))
        finally:
            self._reads -= 1
            self._wake.set()
        # One that was never sent has told all who wait that nothing can be asked now.
        for question in list(self._waiting) if served is None else served:
            if question in self._waiting:
                del self._waiting[question]
                question.end(outcome)
