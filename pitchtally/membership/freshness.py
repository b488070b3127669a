"""What a controller may conclude from replies: pure functions of the replies and their age.

Silence proves nothing. What counts is a reply to a request of our own, and it counts from the
moment at which we sent the request: whatever the reply holds was so at that moment or later,
however long either was under way. A message that came on its own has no such moment; a
network partition may have held it for minutes.

The deadlines that follow from these ages are in `config.timing`.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

# The age, in seconds, that a controller tells which has not read the store since it started.
NEVER_READ_AGE_S = 1e6


@dataclass(frozen=True, slots=True)
class PeerReply:
    """A peer's reply to a heartbeat of ours; times in seconds."""

    requested_at: float  # when we sent the heartbeat
    store_age: float  # how old the peer's replica was as it replied
    cancellations_age: float  # how long before its reply it last knew all cancellations

    @property
    def has_read(self) -> bool:
        """Whether the peer has read the store since it started."""
        return self.store_age < NEVER_READ_AGE_S

    @property
    def cancellations_verified_at(self) -> float:
        """Up to when the peer knew every cancellation, at the least."""
        return self.requested_at - self.cancellations_age


def all_peers_requested_at(replies: Iterable[PeerReply | None]) -> float | None:
    """When we had asked every peer, each of which then replied; None if one has not.

    A peer that has not read the store since it started does not know what its predecessor
    confirmed or acquired, so its reply says nothing.
    """
    collected = list(replies)
    if not collected or not all(reply is not None and reply.has_read for reply in collected):
        return None
    return min(reply.requested_at for reply in collected if reply is not None)


def cancellations_verified_until(replica_at: float, replies: Iterable[PeerReply | None]) -> float:
    """Up to when no confirmed cancellation can be unknown to us.

    Our replica shows what was committed by `replica_at`. A peer's reply holds every
    cancellation in its replica that is newer than ours: what it had verified, we have, so two
    that cannot reach each other learn from the third. Without the store, all peers'
    replies together suffice: each holds what it confirmed itself, and nobody else confirms.
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
    """Up to when nobody else can have renewed a lease in a shard that we lead.

    Either the store showed the shard as ours, or every peer told the newest leader it knows of:
    its predecessor's failovers too, since it has read the store after that one's end.
    """
    requested_at = all_peers_requested_at(replies)
    return replica_at if requested_at is None else max(replica_at, requested_at)
