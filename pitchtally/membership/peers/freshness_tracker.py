"""Freshness of this node's data, and the actions that it still permits."""

from __future__ import annotations

from collections.abc import Mapping

import trio

from ...config.clock import LONG_AGO_S
from ...config.policy import Policy
from ...state_store.replica import Replica
from ..freshness import PeerReply, cancellations_verified_until, leadership_verified_until
from .peer import Peer


class FreshnessTracker:
    """Applies the rules of `freshness` to this node's replica and its peers' replies.

    What was verified once stays verified after the peer that reported it has ended, so both
    times only increase.
    """

    def __init__(self, replica: Replica, peers: Mapping[str, Peer], policy: Policy):
        self._replica = replica
        self._peers = peers
        self._policy = policy
        self._cancellations_verified_at = LONG_AGO_S
        self._leadership_verified_at = LONG_AGO_S

    def cancellations_verified_at(self) -> float:
        """Return the time up to which this node has received every confirmed cancellation."""
        verified = cancellations_verified_until(self._replica.verified_at, self._replies())
        self._cancellations_verified_at = max(self._cancellations_verified_at, verified)
        return self._cancellations_verified_at

    def leadership_verified_at(self) -> float:
        """Return the time up to which only this node can have renewed leases in its shards."""
        verified = leadership_verified_until(self._replica.verified_at, self._replies())
        self._leadership_verified_at = max(self._leadership_verified_at, verified)
        return self._leadership_verified_at

    def _replies(self) -> list[PeerReply | None]:
        return [peer.last_reply for peer in self._peers.values()]

    def may_start_tasks(self) -> bool:
        """Return whether cancellations were verified recently enough to start tasks.

        Renewing a lease on older data is safe within `max_evidence_age`, since a task that was
        cancelled meanwhile still ends in time. Starting a task is not: the API guarantees that
        no task of a cancelled job starts any more. A session TTL after the last verification a
        shard has, or soon gets, another leader, so a task started here would be wasted anyway.
        """
        age = trio.current_time() - self.cancellations_verified_at()
        return age <= self._policy.session_ttl

    def cancellations_stale(self) -> bool:
        """Return whether cancellations were verified too long ago to renew agents' leases."""
        age = trio.current_time() - self.cancellations_verified_at()
        return age > self._policy.max_evidence_age
