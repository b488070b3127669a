"""How fresh this node's knowledge is, and what it may still do on it."""

from __future__ import annotations

from collections.abc import Mapping

import trio

from ...config.clock import LONG_AGO
from ...config.policy import Policy
from ...state_store.replica import Replica
from ..freshness import PeerReply, cancellations_verified_until, leadership_verified_until
from .peer import Peer


class FreshnessTracker:
    """Applies the rules of `freshness` to this node's replica and its peers' replies.

    What was once verified stays so, also when whoever told it has ended: both times only grow.
    """

    def __init__(self, replica: Replica, peers: Mapping[str, Peer], policy: Policy):
        self._replica = replica
        self._peers = peers
        self._policy = policy
        self._cancellations_verified_at = LONG_AGO
        self._leadership_verified_at = LONG_AGO

    def cancellations_verified_at(self) -> float:
        """Up to when no confirmed cancellation can be unknown to this node."""
        verified = cancellations_verified_until(self._replica.verified_at, self._replies())
        self._cancellations_verified_at = max(self._cancellations_verified_at, verified)
        return self._cancellations_verified_at

    def leadership_verified_at(self) -> float:
        """Up to when nobody else can have renewed an agent's lease in a shard that we lead."""
        verified = leadership_verified_until(self._replica.verified_at, self._replies())
        self._leadership_verified_at = max(self._leadership_verified_at, verified)
        return self._leadership_verified_at

    def _replies(self) -> list[PeerReply | None]:
        return [peer.last_reply for peer in self._peers.values()]

    def may_start_tasks(self) -> bool:
        """Whether cancellations were verified recently enough to start tasks.

        Renewing a lease on older knowledge is safe within `max_evidence_age`, since a task that
        was cancelled meanwhile still ends in time. A start is not: users are told that no task
        of a cancelled job begins any more. After a session TTL without any news a shard has,
        or soon will have, another leader, and a start here would be wasted anyway.
        """
        age = trio.current_time() - self.cancellations_verified_at()
        return age <= self._policy.session_ttl

    def cancellations_stale(self) -> bool:
        """Whether a cancellation may be unknown to us for too long to renew agents' leases."""
        age = trio.current_time() - self.cancellations_verified_at()
        return age > self._policy.max_evidence_age
