"""Decisions that the rules rest on, told with their grounds and counted.

An incident is settled by what a controller knew when it decided: at `debug` each decision
is one line with its grounds; at `info` there is one line a period with the counts since the
last, so that a flood of polls is no flood of lines.
"""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

import trio

from ..state_store.replica import Refresh

log = logging.getLogger("decisions")


class Decision(StrEnum):
    """What was decided."""

    FOUND = "found"  # 200 for a job that goes on
    FOUND_OVER = "found_over"  # 200 for a job that is done or cancelled
    UNKNOWN_JOB = "unknown_job"  # 404
    CANCELLED = "cancelled"  # a cancellation was committed
    DONE = "done"  # a job's end was committed
    START = "start"  # a task is ordered started
    STOP = "stop"  # a task is ordered stopped


@dataclass(frozen=True, slots=True)
class DecisionReason:
    """What a decision rests on, where it applies."""

    version: int | None = None  # of the job's record
    read: Refresh | None = None  # that confirmed the copy
    token: int | None = None  # under which an order is given
    machine: str | None = None  # that gets the order


NO_REASON = DecisionReason()

DecisionListener = Callable[[Decision, str, DecisionReason], None]


def ignore_decision(decision: Decision, about: str, reason: DecisionReason) -> None:
    """Take a decision and tell nobody; the default of components that stand alone."""


@dataclass(frozen=True, slots=True)
class Evidence:
    """What the controller knows at a moment, and since when."""

    copy_revision: int
    cancellations_verified_at: float  # steady clock, seconds
    leader: str | None  # as far as the copy shows
    leader_token: int


class DecisionLog:
    """Tells each decision at `debug`, and their counts once a period at `info`."""

    def __init__(
        self,
        evidence: Callable[[], Evidence],
        counters: Callable[[], dict[str, int]],
        last_read: Callable[[], Refresh | None],
    ):
        self._evidence = evidence
        self._counters = counters  # totals of other components: confirmations, loop faults
        self._last_read = last_read
        self._counts: Counter[str] = Counter()
        self._told: dict[str, int] = {}

    def on_decision(self, decision: Decision, about: str, reason: DecisionReason) -> None:
        """Count a decision, and tell it with its grounds at `debug`."""
        self._counts[decision] += 1
        if not log.isEnabledFor(logging.DEBUG):
            return
        evidence = self._evidence()
        read = reason.read or self._last_read()
        fields = [
            f"decided={decision}",
            f"about={about}",
            f"copy={evidence.copy_revision}",
            f"confirmed_here={reason.read is not None}",
            f"evidence_age={trio.current_time() - evidence.cancellations_verified_at:.3f}",
        ]
        if read is not None:
            fields.append(
                f"read={read.revision} asked={read.asked_at:.3f} answered={read.answered_at:.3f}"
            )
        if reason.version is not None:
            fields.append(f"version={reason.version}")
        if reason.token is not None:
            fields.append(f"token={reason.token}")
        if reason.machine is not None:
            fields.append(f"machine={reason.machine}")
        log.debug(" ".join(fields))

    def summary(self) -> str:
        """The counts since the last summary, and who leads, as one line."""
        evidence = self._evidence()
        totals = {**self._counts, **self._counters()}
        new = {name: total - self._told.get(name, 0) for name, total in totals.items()}
        self._told = totals
        counts = " ".join(f"{name}={count}" for name, count in sorted(new.items()) if count)
        age = trio.current_time() - evidence.cancellations_verified_at
        return (
            f"leader={evidence.leader} token={evidence.leader_token} "
            f"copy={evidence.copy_revision} evidence_age={age:.1f} {counts}"
        ).rstrip()

    async def run(self, period: float) -> None:
        """One line a period, in seconds, at `info`."""
        while True:
            await trio.sleep(period)
            log.info(self.summary())
