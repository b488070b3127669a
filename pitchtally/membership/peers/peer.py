"""What a controller knows of another one, and how old that knowledge is."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import trio

from ...config.clock import LONG_AGO
from ...config.settings import Member, host_port
from ..freshness import PeerReply
from ..messages import PeerHeartbeat

_NO_HEARTBEAT = -1


class Peer:
    """Another controller: its last reply, and the order of its heartbeats."""

    def __init__(self, name: str, address: str):
        self.name = name
        self.address = host_port(address)
        self.last_reply: PeerReply | None = None  # to a heartbeat of ours
        self.statuses_sent_at = LONG_AGO  # when it last had our statuses, as it replied
        self.failure = ""  # of the last call; empty if it succeeded
        self.incarnation = ""
        self.incarnation_known_at = LONG_AGO
        self.heartbeat_number = _NO_HEARTBEAT  # of the newest heartbeat taken in
        self.revision = -1  # the revision that its replica covers

    @property
    def last_heartbeat_at(self) -> float:
        """When we sent the newest heartbeat of ours that it replied to."""
        return LONG_AGO if self.last_reply is None else self.last_reply.requested_at

    def accept_newer(
        self, heartbeat: PeerHeartbeat, requested_at: float | None, listed_incarnation: str
    ) -> bool:
        """Take in a heartbeat if it is newer than all before it; False if it is not.

        A partition may hold one back and deliver it after newer ones, of the next incarnation
        too. Which of two incarnations is the later, the store can tell, or a reply to a
        request that we sent at `requested_at`, when we knew of the other. Whatever is taken for
        the later by mistake is put right by the next reply.
        """
        if heartbeat.incarnation != self.incarnation:
            requested_since = requested_at is not None and requested_at > self.incarnation_known_at
            in_state_store = heartbeat.incarnation == listed_incarnation
            if self.incarnation and not requested_since and not in_state_store:
                return False
            self.incarnation = heartbeat.incarnation
            self.incarnation_known_at = trio.current_time()
        elif heartbeat.number <= self.heartbeat_number:
            return False
        self.heartbeat_number, self.revision = heartbeat.number, heartbeat.revision
        return True


class PeerGroup:
    """All peers of this node, and what their last replies say of them together."""

    def __init__(self, members: Iterable[Member], own_name: str, session_ttl: float):
        self.by_name: Mapping[str, Peer] = {
            member.name: Peer(member.name, member.address)
            for member in members
            if member.name != own_name
        }
        self._session_ttl = session_ttl

    def replying_incarnations(self) -> dict[str, str]:
        """The incarnation of each peer that has replied within a session TTL."""
        oldest_recent = trio.current_time() - self._session_ttl
        return {
            name: peer.incarnation
            for name, peer in self.by_name.items()
            if peer.last_heartbeat_at >= oldest_recent
        }

    def is_isolated(self) -> bool:
        """Whether no peer has replied within a session TTL: others may well be in service."""
        oldest_recent = trio.current_time() - self._session_ttl
        peers = self.by_name.values()
        return bool(peers) and all(peer.last_heartbeat_at < oldest_recent for peer in peers)

    def with_state_store(self) -> Peer | None:
        """A peer that reached the state store within a session TTL, as it told itself."""
        now = trio.current_time()
        for peer in self.by_name.values():
            reply = peer.last_reply
            if reply is None or peer.failure:
                continue
            if now - reply.requested_at < self._session_ttl and reply.store_age < self._session_ttl:
                return peer
        return None
