"""The decision log: what a controller decided, and what it knew when it did.

An incident is explained by what a controller knew at the moment of a decision. At `debug` each
decision is one line with its reason and context; at `info` one line a period holds the counts
since the last, so that a flood of requests is no flood of lines.
"""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

import trio

from ..state_store.replica import Refresh

log = logging.getLogger(__name__)


class Decision(StrEnum):
    """What was decided."""

    FOUND = "found"  # 200 for a job that goes on
    FOUND_OVER = "found_over"  # 200 for a job that is done or cancelled
    UNKNOWN_JOB = "unknown_job"  # 404
    CANCELLED = "cancelled"  # a cancellation was committed
    DONE = "done"  # a job's end was committed
    START = "start"  # an agent is commanded to start a task
    STOP = "stop"  # an agent is commanded to stop a task


@dataclass(frozen=True, slots=True)
class DecisionReason:
    """What a decision rests on, where it applies."""

    version: int | None = None  # of the job's record
    read: Refresh | None = None  # the read that verified the replica
    token: int | None = None  # fencing token under which a command is given
    machine: str | None = None  # that gets the command


NO_REASON = DecisionReason()


class DecisionListener(Protocol):
    """Is told of each decision, about one job or task."""

    def __call__(self, decision: Decision, subject: str, reason: DecisionReason, /) -> None:
        """Take note of a decision; must return at once and not raise."""


def ignore_decision(decision: Decision, subject: str, reason: DecisionReason) -> None:
    """Drop a decision: the listener of components that run on their own, as in tests."""


@dataclass(frozen=True, slots=True)
class DecisionContext:
    """What a controller knows at the moment of a decision."""

    replica_revision: int
    cancellations_verified_at: float  # steady clock, seconds
    cluster_leader: str | None  # as far as the replica shows
    cluster_leader_token: int


class DecisionLog:
    """Logs each decision at `debug`, and the counts of all once a period at `info`."""

    def __init__(
        self,
        context: Callable[[], DecisionContext],
        counters: Callable[[], dict[str, int]],
        last_read: Callable[[], Refresh | None],
    ) -> None:
        self._context = context
        self._counters = counters  # totals of other components: read barrier, loop faults
        self._last_read = last_read
        self._counts: Counter[str] = Counter()
        self._summarized: dict[str, int] = {}  # totals that the last summary covered

    def on_decision(self, decision: Decision, subject: str, reason: DecisionReason) -> None:
        """Count a decision, and log it with its reason and context at `debug`."""
        self._counts[decision] += 1
        if log.isEnabledFor(logging.DEBUG):
            log.debug(self._line(decision, subject, reason))

    def _line(self, decision: Decision, subject: str, reason: DecisionReason) -> str:
        context = self._context()
        read = reason.read or self._last_read()
        fields = [
            f"decided={decision}",
            f"about={subject}",
            f"copy={context.replica_revision}",
            f"confirmed_here={reason.read is not None}",
            f"evidence_age={_age(context):.3f}",
        ]
        if read is not None:
            fields.append(
                f"read={read.revision} asked={read.requested_at:.3f} answered={read.replied_at:.3f}"
            )
        if reason.version is not None:
            fields.append(f"version={reason.version}")
        if reason.token is not None:
            fields.append(f"token={reason.token}")
        if reason.machine is not None:
            fields.append(f"machine={reason.machine}")
        return " ".join(fields)

    def summary(self) -> str:
        """Return the counts since the last summary, and who leads, as one line."""
        context = self._context()
        totals = {**self._counts, **self._counters()}
        new = {name: total - self._summarized.get(name, 0) for name, total in totals.items()}
        self._summarized = totals
        counts = " ".join(f"{name}={count}" for name, count in sorted(new.items()) if count)
        return (
            f"leader={context.cluster_leader} token={context.cluster_leader_token} "
            f"copy={context.replica_revision} evidence_age={_age(context):.1f} {counts}"
        ).rstrip()

    async def run(self, period: float) -> None:
        """Log a summary at `info` each period, in seconds."""
        while True:
            await trio.sleep(period)
            log.info(self.summary())


def _age(context: DecisionContext) -> float:
    """Return for how many seconds cancellations may have gone unnoticed."""
    return trio.current_time() - context.cancellations_verified_at
