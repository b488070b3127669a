"""Backpressure on submissions: which to refuse, when to retry, first come first served.

Refused callers retry after the time given in the response, but only for a limited time. If a
caller were admitted whenever its retry happened to meet free capacity, some early callers would
stop retrying after an outage while newer ones are accepted. So a controller keeps a queue of
refused submissions, and admits none ahead of earlier ones.
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

# Seconds after its retry time at which a caller is no longer expected: it has stopped retrying, or
# uses another node.
RETRY_GRACE_S = 3.0
# Seconds for which a first attempt is kept after that, for callers that return from other nodes.
FIRST_ATTEMPT_RETENTION_S = 60.0
# The longest retry time in a response: an estimate further ahead is too inaccurate.
MAX_RETRY_S = 3
# The share of a burst of write permits that is reserved for callers that are expected to retry.
RETRY_BURST_SHARE = 0.75


@dataclass(slots=True)
class _Entry:
    first_attempt_at: float
    expected_until: float


class AdmissionQueue:
    """Refused submissions: the time of their first attempt, and until when a retry is expected."""

    def __init__(self, is_accepted: Callable[[str], bool] = lambda id: False) -> None:
        """`is_accepted`: returns whether this node's replica shows the job as accepted."""
        self._is_accepted = is_accepted
        self._entries: dict[str, _Entry] = {}
        self._by_first_attempt: list[tuple[float, str]] = []  # (first_attempt_at, id), sorted
        self._swept_at = -math.inf

    @property
    def expects_retries(self) -> bool:
        """Whether any caller is expected to retry."""
        self._sweep()
        return bool(self._by_first_attempt)

    def count_ahead_of(self, id: str) -> int:
        """Return how many earlier callers are still expected to retry."""
        self._sweep()
        entry = self._entries.get(id)
        if entry is None:
            return len(self._by_first_attempt)
        return bisect.bisect_left(self._by_first_attempt, (entry.first_attempt_at, id))

    def record_refusal(self, id: str, wait: float) -> int:
        """Record a submission that is refused now; return the seconds after which to retry.

        `wait`: estimated seconds until it could be written.
        """
        now = trio.current_time()
        seconds = max(1, min(MAX_RETRY_S, math.ceil(wait)))
        entry = self._entries.setdefault(id, _Entry(now, now))
        position = bisect.bisect_left(self._by_first_attempt, (entry.first_attempt_at, id))
        if self._by_first_attempt[position : position + 1] != [(entry.first_attempt_at, id)]:
            self._by_first_attempt.insert(position, (entry.first_attempt_at, id))
        entry.expected_until = now + seconds + RETRY_GRACE_S
        return seconds

    def remove(self, id: str) -> None:
        """Remove a submission that was accepted, or never will be."""
        entry = self._entries.pop(id, None)
        if entry is not None and (entry.first_attempt_at, id) in self._by_first_attempt:
            self._by_first_attempt.remove((entry.first_attempt_at, id))

    def _sweep(self) -> None:
        """Drop callers that did not retry or were accepted elsewhere, at most once per interval."""
        now = trio.current_time()
        if now - self._swept_at < RETRY_GRACE_S / 4:
            return
        self._swept_at = now
        for id, entry in list(self._entries.items()):
            if entry.expected_until + FIRST_ATTEMPT_RETENTION_S < now or self._is_accepted(id):
                del self._entries[id]
        self._by_first_attempt = [
            (first_attempt_at, id)
            for first_attempt_at, id in self._by_first_attempt
            if self._is_expected(id, now)
        ]

    def _is_expected(self, id: str, now: float) -> bool:
        entry = self._entries.get(id)
        return entry is not None and entry.expected_until >= now


class AdmissionControl:
    """Admits a submission only if it can be written soon, after those ahead of it."""

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
        """Return None if the submission is admitted, else the seconds after which to retry.

        A refusal is recorded in the queue.
        """
        wait = self._seconds_until_writable(id)
        if wait <= self._max_wait:
            return None
        log.info("submission refused job=%s cause=rate_limit wait=%.1f", id, wait)
        return self.queue.record_refusal(id, wait)

    def _seconds_until_writable(self, id: str) -> float:
        """Return the seconds until a submission could be written, after those ahead of it."""
        write_limiter = self._state_store.write_limit
        queued = len(self._batcher.queued)
        wait = self._state_store.request_limit.wait_time(Priority.SUBMISSIONS)
        if not write_limiter.wait_time(
            Priority.SUBMISSIONS, queued + write_limiter.burst * RETRY_BURST_SHARE
        ):
            return wait  # permits would stay unused until earlier callers retry
        # Earlier callers may retry at any node: each node expects its share of them.
        earlier_callers = self.queue.count_ahead_of(id) / max(1, self._live_nodes())
        return max(
            wait, write_limiter.wait_time(Priority.SUBMISSIONS, 1 + queued + earlier_callers)
        )
