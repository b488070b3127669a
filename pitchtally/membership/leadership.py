"""Shard leadership, derived from shard records in the state store and from fencing tokens.

A node leads a shard if it wrote the newest version of the shard's record. That version is the
fencing token which agents and the store compare, so both reject a deposed leader regardless of
its clock and its replica.
"""

from __future__ import annotations

import logging
from typing import Protocol

import msgspec

from ..state_store import keys
from ..state_store.identifiers import FencingToken, ShardId
from ..state_store.replica import Replica
from .nodes import NodeIdentity
from .shards import CLUSTER_LEADER_SHARD, ShardLeader, ShardLease

log = logging.getLogger(__name__)

_decode_leader = msgspec.json.Decoder(ShardLeader).decode


class ShardListener(Protocol):
    """Receives changes of this node's shard leadership."""

    def shard_acquired(self, shard: ShardId, token: FencingToken) -> None:
        """Handle the acquisition of a shard under a fencing token.

        Between two acquisitions of the same shard `shard_lost` is called.
        """

    def shard_lost(self, shard: ShardId) -> None:
        """Handle the loss of a shard."""


class NoShardListener:
    """Null listener, used until a real one is connected."""

    def shard_acquired(self, shard: ShardId, token: FencingToken) -> None:
        """Do nothing."""

    def shard_lost(self, shard: ShardId) -> None:
        """Do nothing."""


class ShardLeadership:
    """The leaders of all shards, and this node's fencing tokens."""

    def __init__(self, identity: NodeIdentity, replica: Replica):
        self.identity = identity
        self.leaders: dict[ShardId, ShardLease] = {}
        self.listener: ShardListener = NoShardListener()
        self._node = identity.name
        self._incarnation = identity.incarnation
        self._newest_seen: dict[ShardId, FencingToken] = {}  # reported by agents or peers
        self._announced: dict[ShardId, FencingToken] = {}  # tokens last reported to the listener
        replica.listen(keys.SHARD_PREFIX, self._on_shard)

    def _on_shard(self, key: str, value: bytes | None, version: int) -> None:
        shard = int(key)
        if value is None:
            self.leaders.pop(shard, None)
        else:
            self.leaders[shard] = ShardLease(_decode_leader(value), version)
        self.announce(shard)

    def announce(self, shard: ShardId) -> None:
        """Notify the listener if this node's leadership of a shard has changed."""
        token = self.token(shard)
        if self._announced.get(shard) == token:
            return
        if shard in self._announced:
            del self._announced[shard]
            log.info("shard lost shard=%d leader=%s", shard, self.leader(shard))
            self.listener.shard_lost(shard)
        if token is not None:
            self._announced[shard] = token
            log.info("shard acquired shard=%d token=%d", shard, token)
            self.listener.shard_acquired(shard, token)

    def token(self, shard: ShardId) -> FencingToken | None:
        """Return this node's fencing token for a shard, None if it is not the leader."""
        lease = self.leaders.get(shard)
        if lease is None:
            return None
        leader = lease.leader
        if leader.node != self._node or leader.incarnation != self._incarnation:
            return None
        return lease.token if self._newest_seen.get(shard, 0) <= lease.token else None

    def leader(self, shard: ShardId) -> str | None:
        """Return the node that leads a shard according to the replica, None if there is none."""
        lease = self.leaders.get(shard)
        return lease.leader.node if lease is not None else None

    @property
    def cluster_leader_token(self) -> FencingToken | None:
        """The cluster leader's fencing token, None if this node is not the cluster leader."""
        return self.token(CLUSTER_LEADER_SHARD)

    def observe_token(self, shard: ShardId, token: FencingToken) -> None:
        """Record a token reported by an agent or a peer.

        If it is newer than this node's own token, this node no longer leads the shard.
        """
        if token > self._newest_seen.get(shard, 0):
            self._newest_seen[shard] = token
            self.announce(shard)
