"""Freshness rules: what a controller may conclude from replies, given their age.

The rules are pure functions. A missing reply proves nothing. A reply is as fresh as the time at
which this node sent the request: its content was true at that time or later, however long request
and reply took. An unsolicited message has no such lower bound, since a network partition may have
delayed it for minutes.

The deadlines that follow from these ages are in `config.timing`.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

# Reported as its replica's age by a controller that has not read the store since it started.
NEVER_READ_AGE_S = 1e6


@dataclass(frozen=True, slots=True)
class PeerReply:
    """A peer's reply to a heartbeat of this node; times and ages are in seconds."""

    requested_at: float  # send time of this node's heartbeat
    store_age: float  # age of the peer's replica when it replied
    cancellations_age: float  # time from the peer's last verification of cancellations to its reply

    @property
    def has_read(self) -> bool:
        """Whether the peer has read the state store since it started."""
        return self.store_age < NEVER_READ_AGE_S

    @property
    def cancellations_verified_at(self) -> float:
        """Lower bound of the time up to which the peer had received every cancellation."""
        return self.requested_at - self.cancellations_age


def all_peers_requested_at(replies: Iterable[PeerReply | None]) -> float | None:
    """Return the oldest send time among the requests that the peers answered last.

    None if there are no peers, or if one has not replied, or has not read the store since it
    started: such a peer lacks what its previous process confirmed or acquired, so its reply proves
    nothing.
    """
    collected = list(replies)
    if not collected or not all(reply is not None and reply.has_read for reply in collected):
        return None
    return min(reply.requested_at for reply in collected if reply is not None)


def cancellations_verified_until(replica_at: float, replies: Iterable[PeerReply | None]) -> float:
    """Return the time up to which this node has received every confirmed cancellation.

    The local replica holds everything committed by `replica_at`. A peer's reply holds every
    cancellation in its replica that is newer than the local one, so what the peer had verified
    holds here too; two nodes that cannot reach each other are thus updated through the third.
    Without the store, replies of all peers together suffice: each reply holds what that peer
    confirmed itself, and only controllers confirm cancellations.
    """
    collected = list(replies)
    verified = max(
        [
            replica_at,
            *(
                reply.cancellations_verified_at
                for reply in collected
                if reply is not None and reply.has_read
            ),
        ]
    )
    requested_at = all_peers_requested_at(collected)
    return verified if requested_at is None else max(verified, requested_at)


def leadership_verified_until(replica_at: float, replies: Iterable[PeerReply | None]) -> float:
    """Return the time up to which only this node can have renewed leases in its shards.

    Either the store showed this node as the shard's leader, or every peer replied with the newest
    fencing tokens in its replica. These include failovers by the peer's previous process, since
    the peer has read the store after that process ended.
    """
    requested_at = all_peers_requested_at(replies)
    return replica_at if requested_at is None else max(replica_at, requested_at)
