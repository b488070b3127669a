"""Per-peer state: the last reply, its age, and the order of heartbeats."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import trio

from ...config.clock import LONG_AGO_S
from ...config.settings import Member, host_port
from ..freshness import PeerReply
from ..messages import PeerHeartbeat

_NO_HEARTBEAT = -1


class Peer:
    """Another controller: its last reply, and the newest heartbeat accepted from it."""

    def __init__(self, name: str, address: str):
        self.name = name
        self.address = host_port(address)
        self.last_reply: PeerReply | None = None  # to a heartbeat of this node
        self.statuses_sent_at = LONG_AGO_S  # send time of the last heartbeat that it answered
        self.failure = ""  # error of the last call; empty if it succeeded
        self.incarnation = ""
        self.incarnation_accepted_at = LONG_AGO_S
        self.heartbeat_number = _NO_HEARTBEAT  # number of the newest accepted heartbeat
        self.revision = -1  # revision that the peer's replica covers

    @property
    def last_heartbeat_at(self) -> float:
        """Send time of this node's newest heartbeat that the peer answered."""
        return LONG_AGO_S if self.last_reply is None else self.last_reply.requested_at

    def accept_newer(
        self, heartbeat: PeerHeartbeat, requested_at: float | None, listed_incarnation: str
    ) -> bool:
        """Accept a heartbeat and return True if it is newer than all earlier ones of the peer.

        A partition may delay a heartbeat and deliver it after newer ones, even after some of the
        next incarnation. Of two incarnations the newer is the one recorded in the store
        (`listed_incarnation`), or the one that answers a request which this node sent (at
        `requested_at`) after it had accepted the other. An older incarnation accepted by mistake
        is corrected by the next reply.
        """
        if heartbeat.incarnation != self.incarnation:
            requested_since = (
                requested_at is not None and requested_at > self.incarnation_accepted_at
            )
            in_state_store = heartbeat.incarnation == listed_incarnation
            if self.incarnation and not requested_since and not in_state_store:
                return False
            self.incarnation = heartbeat.incarnation
            self.incarnation_accepted_at = trio.current_time()
        elif heartbeat.number <= self.heartbeat_number:
            return False
        self.heartbeat_number, self.revision = heartbeat.number, heartbeat.revision
        return True


class PeerGroup:
    """All peers of this node, and conclusions from their last replies."""

    def __init__(self, members: Iterable[Member], own_name: str, session_ttl: float):
        self.by_name: Mapping[str, Peer] = {
            member.name: Peer(member.name, member.address)
            for member in members
            if member.name != own_name
        }
        self._session_ttl = session_ttl

    def replying_incarnations(self) -> dict[str, str]:
        """Return the incarnation of each peer that replied within a session TTL, by name."""
        oldest_recent = trio.current_time() - self._session_ttl
        return {
            name: peer.incarnation
            for name, peer in self.by_name.items()
            if peer.last_heartbeat_at >= oldest_recent
        }

    def is_isolated(self) -> bool:
        """Return whether no peer replied within a session TTL.

        The peers may still be in service without this node. False if there are no peers.
        """
        oldest_recent = trio.current_time() - self._session_ttl
        peers = self.by_name.values()
        return bool(peers) and all(peer.last_heartbeat_at < oldest_recent for peer in peers)

    def find_peer_with_state_store(self) -> Peer | None:
        """Return a peer that reported contact with the store within a session TTL, if any."""
        now = trio.current_time()
        for peer in self.by_name.values():
            reply = peer.last_reply
            if reply is None or peer.failure:
                continue
            if now - reply.requested_at < self._session_ttl and reply.store_age < self._session_ttl:
                return peer
        return None
