"""Backpressure on submissions: whom to refuse, when to come back, first come first served.

Refused callers retry after the time that they are told, but not for ever. Were whoever happens to
ask at the right moment admitted, some callers would give up after an outage while newer ones are
accepted. So a controller remembers whom it refused, and admits nobody ahead of earlier callers.
"""

from __future__ import annotations

import bisect
import logging
import math
from collections.abc import Callable
from dataclasses import dataclass

import trio

from ..state_store.client import StateStoreClient
from ..state_store.rate_limits import Priority
from .submission_batcher import SubmissionBatcher

log = logging.getLogger(__name__)

# Seconds that a caller may be late after the time told; then it gave up, or asks elsewhere.
RETRY_GRACE_S = 3.0
# How long the first attempt is remembered: callers move from node to node in between.
FIRST_ATTEMPT_RETENTION_S = 60.0
# The longest retry time told: an estimate further ahead is too rough.
MAX_RETRY_S = 3
# The share of a burst of write permits that is left to callers who are expected back.
RETRY_BURST_SHARE = 0.75


@dataclass(slots=True)
class _Entry:
    first_attempt_at: float  # the first attempt
    expected_until: float


class AdmissionQueue:
    """Which submissions were refused, since when, and until when each is expected back."""

    def __init__(self, is_accepted: Callable[[str], bool] = lambda id: False) -> None:
        """`is_accepted`: whether any node has accepted the job, as far as this one knows."""
        self._is_accepted = is_accepted
        self._entries: dict[str, _Entry] = {}
        self._by_first_attempt: list[tuple[float, str]] = []  # (since, id), sorted
        self._swept_at = -math.inf

    @property
    def expects_retries(self) -> bool:
        """Whether any caller is expected back."""
        self._sweep()
        return bool(self._by_first_attempt)

    def count_ahead_of(self, id: str) -> int:
        """How many earlier callers are still expected back."""
        self._sweep()
        entry = self._entries.get(id)
        if entry is None:
            return len(self._by_first_attempt)
        return bisect.bisect_left(self._by_first_attempt, (entry.first_attempt_at, id))

    def record_refusal(self, id: str, wait: float) -> int:
        """Remember a submission that is refused now; the seconds after which to retry."""
        now = trio.current_time()
        seconds = max(1, min(MAX_RETRY_S, math.ceil(wait)))
        entry = self._entries.setdefault(id, _Entry(now, now))
        place = bisect.bisect_left(self._by_first_attempt, (entry.first_attempt_at, id))
        if self._by_first_attempt[place : place + 1] != [(entry.first_attempt_at, id)]:
            self._by_first_attempt.insert(place, (entry.first_attempt_at, id))
        entry.expected_until = now + seconds + RETRY_GRACE_S
        return seconds

    def remove(self, id: str) -> None:
        """The submission is accepted, or never will be."""
        entry = self._entries.pop(id, None)
        if entry is not None and (entry.first_attempt_at, id) in self._by_first_attempt:
            self._by_first_attempt.remove((entry.first_attempt_at, id))

    def _sweep(self) -> None:
        """Drop callers that did not come back, or were accepted elsewhere, now and then."""
        now = trio.current_time()
        if now - self._swept_at < RETRY_GRACE_S / 4:
            return
        self._swept_at = now
        for id, entry in list(self._entries.items()):
            if entry.expected_until + FIRST_ATTEMPT_RETENTION_S < now or self._is_accepted(id):
                del self._entries[id]
        self._by_first_attempt = [
            (since, id) for since, id in self._by_first_attempt if self._is_expected(id, now)
        ]

    def _is_expected(self, id: str, now: float) -> bool:
        entry = self._entries.get(id)
        return entry is not None and entry.expected_until >= now


class AdmissionControl:
    """Admits a submission only if it can be written soon, those ahead of it counted."""

    def __init__(
        self,
        queue: AdmissionQueue,
        state_store: StateStoreClient,
        batcher: SubmissionBatcher,
        live_nodes: Callable[[], int],
        max_wait: float,
    ):
        """`max_wait`: the longest wait for a write permit, in seconds."""
        self.queue = queue
        self._state_store = state_store
        self._batcher = batcher
        self._live_nodes = live_nodes
        self._max_wait = max_wait

    def refuse_if_overloaded(self, id: str) -> int | None:
        """None if the submission is admitted, else the seconds after which to retry."""
        wait = self._seconds_until_writable(id)
        if wait <= self._max_wait:
            return None
        log.info("refused job=%s cause=rate_limit wait=%.1f", id, wait)
        return self.queue.record_refusal(id, wait)

    def _seconds_until_writable(self, id: str) -> float:
        """Seconds until a submission could be written, those before it counted."""
        writes = self._state_store.write_limit
        queued = len(self._batcher.queued)
        wait = self._state_store.request_limit.wait_time(Priority.SUBMISSIONS)
        if not writes.wait_time(Priority.SUBMISSIONS, queued + writes.burst * RETRY_BURST_SHARE):
            return wait  # permits would go unused while earlier callers stay away
        # Earlier callers may come back to any node: each node takes its share of them.
        ahead = self.queue.count_ahead_of(id) / max(1, self._live_nodes())
        return max(wait, writes.wait_time(Priority.SUBMISSIONS, 1 + queued + ahead))
