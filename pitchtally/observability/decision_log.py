"""The decision log: a controller's decisions, and the data on which it based them.

The analysis of an incident needs the controller's state at the time of each decision. At level
`debug` each decision is logged as one line with its reason and context. At level `info` one line
per period holds the counts since the previous one, so that the log doesn't grow with the load.
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
    """The kinds of decisions that are logged and counted."""

    FOUND = "found"  # status 200 for an unfinished job
    FOUND_FINISHED = "found_over"  # status 200 for a job that is done or cancelled
    UNKNOWN_JOB = "unknown_job"  # status 404
    CANCELLED = "cancelled"  # a cancellation was committed
    DONE = "done"  # the completion of a job was committed
    START = "start"  # a command to start a task, sent to an agent
    STOP = "stop"  # a command to stop a task, sent to an agent


@dataclass(frozen=True, slots=True)
class DecisionReason:
    """The data that a decision is based on; None where it doesn't apply."""

    version: int | None = None  # version of the job's record in the state store
    read: Refresh | None = None  # the state store read that verified the replica
    token: int | None = None  # fencing token of the command
    machine: str | None = None  # machine whose agent receives the command


NO_REASON = DecisionReason()


class DecisionListener(Protocol):
    """Callback for each decision about a job or task."""

    def __call__(self, decision: Decision, subject: str, reason: DecisionReason, /) -> None:
        """Handle a decision; must neither block nor raise."""


def ignore_decision(decision: Decision, subject: str, reason: DecisionReason) -> None:
    """Ignore a decision; the listener of components that run without a controller, as in tests."""


@dataclass(frozen=True, slots=True)
class DecisionContext:
    """A controller's state at the time of a decision."""

    replica_revision: int
    cancellations_verified_at: float  # monotonic clock, seconds
    cluster_leader: str | None  # node that leads the cluster according to the replica
    cluster_leader_token: int


class DecisionLog:
    """Log of each decision at level `debug`, and of their counts once per period at `info`."""

    def __init__(
        self,
        context: Callable[[], DecisionContext],
        counters: Callable[[], dict[str, int]],
        last_read: Callable[[], Refresh | None],
    ) -> None:
        self._context = context
        self._counters = counters  # returns other components' totals, such as loop faults
        self._last_read = last_read
        self._counts: Counter[str] = Counter()
        self._last_totals: dict[str, int] = {}  # totals at the last summary

    def on_decision(self, decision: Decision, subject: str, reason: DecisionReason) -> None:
        """Count a decision, and log it with its reason and context at level `debug`."""
        self._counts[decision] += 1
        if log.isEnabledFor(logging.DEBUG):
            log.debug(self._format_line(decision, subject, reason))

    def _format_line(self, decision: Decision, subject: str, reason: DecisionReason) -> str:
        context = self._context()
        read = reason.read or self._last_read()
        fields = [
            f"decided={decision}",
            f"about={subject}",
            f"copy={context.replica_revision}",
            f"confirmed_here={reason.read is not None}",
            f"evidence_age={_evidence_age(context):.3f}",
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
        """Return the cluster leader and the counts since the last summary, as one line."""
        context = self._context()
        totals = {**self._counts, **self._counters()}
        increments = {
            name: total - self._last_totals.get(name, 0) for name, total in totals.items()
        }
        self._last_totals = totals
        counts = " ".join(f"{name}={count}" for name, count in sorted(increments.items()) if count)
        return (
            f"leader={context.cluster_leader} token={context.cluster_leader_token} "
            f"copy={context.replica_revision} evidence_age={_evidence_age(context):.1f} {counts}"
        ).rstrip()

    async def run(self, period: float) -> None:
        """Log a summary at level `info` every `period` seconds."""
        while True:
            await trio.sleep(period)
            log.info(self.summary())


def _evidence_age(context: DecisionContext) -> float:
    """Return the seconds since the replica was last verified to hold all cancellations."""
    return trio.current_time() - context.cancellations_verified_at
