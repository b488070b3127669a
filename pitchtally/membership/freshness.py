"""What a controller may conclude from what it has heard: pure functions of evidence and its age.

Silence proves nothing. What counts is an answer to a question of our own, and it counts
from the moment at which we asked: whatever the answer holds was so at that moment or
later, however long the question or the answer was under way. A message that came on its
own has no such moment; a cut may have held it for minutes.

The deadlines that follow from these ages are in `config.timing`.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

NEVER = 1e6  # the age that a controller tells which hasn't read the store since it began


@dataclass(frozen=True, slots=True)
class PeerReply:
    """A peer's answer to a heartbeat of ours."""

    asked_at: float  # when we sent the question
    store_age: float  # how old the peer's copy of the store was as it answered
    cancellations_age: float  # and the moment up to which it knew all cancellations

    @property
    def has_read(self) -> bool:
        """Whether the peer has read the store since it began."""
        return self.store_age < NEVER

    @property
    def cancellations_verified_at(self) -> float:
        """Up to when the peer knew every cancellation, at the least."""
        return self.asked_at - self.cancellations_age


def all_peers_asked_at(answers: Iterable[PeerReply | None]) -> float | None:
    """When we had asked every peer, each of which then told what it knows; None if one hasn't.

    A peer that has not read the store since it began doesn't know what its predecessor
    confirmed or took, and so says nothing.
    """
    found = list(answers)
    if not found or not all(a is not None and a.has_read for a in found):
        return None
    return min(a.asked_at for a in found if a is not None)


def cancellations_verified(copy_at: float, answers: Iterable[PeerReply | None]) -> float:
    """Up to when no confirmed cancellation can be unknown to us.

    Our copy shows what was committed by `copy_at`. A peer's answer holds every
    cancellation in its copy that is newer than ours: what it was sure of, we are, so two
    that can't hear each other are told by the third. Without the store, all peers'
    answers together: each holds what it confirmed itself, and nobody else confirms.
    """
    found = list(answers)
    known = max(
        [copy_at, *(a.cancellations_verified_at for a in found if a is not None and a.has_read)]
    )
    asked = all_peers_asked_at(found)
    return known if asked is None else max(known, asked)


def leadership_verified(copy_at: float, answers: Iterable[PeerReply | None]) -> float:
    """Up to when nobody else can have renewed a lease in a shard that we hold.

    The store showed the shard as ours, or every peer told the newest leader it knows of:
    its predecessor's failovers too, since it has read the store after that one's end.
    """
    asked = all_peers_asked_at(answers)
    return copy_at if asked is None else max(copy_at, asked)
