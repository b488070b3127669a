"""Which node leads which shard, as the state store and fencing tokens show it.

A node leads a shard if it wrote the newest version of the shard's record. That version is the
fencing token which agents and the store compare, so both refuse a deposed leader, whatever its
clock or its replica says.
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
    """Told of the shards that this node begins or ceases to lead."""

    def shard_acquired(self, shard: ShardId, token: FencingToken) -> None:
        """This node leads the shard under the token; a newer token follows a `shard_lost`."""

    def shard_lost(self, shard: ShardId) -> None:
        """This node does not lead the shard any more."""


class NoShardListener:
    """Stands in until a listener is connected."""

    def shard_acquired(self, shard: ShardId, token: FencingToken) -> None:
        """Ignored."""

    def shard_lost(self, shard: ShardId) -> None:
        """Ignored."""


class ShardLeadership:
    """The leaders of all shards, and this node's fencing tokens."""

    def __init__(self, identity: NodeIdentity, replica: Replica):
        self.identity = identity
        self.leaders: dict[ShardId, ShardLease] = {}
        self.listener: ShardListener = NoShardListener()
        self._node = identity.name
        self._incarnation = identity.incarnation
        self._newest_seen: dict[ShardId, FencingToken] = {}  # tokens that agents or peers told
        self._announced: dict[ShardId, FencingToken] = {}  # what the listener was told last
        replica.listen(keys.SHARD_PREFIX, self._on_shard)

    def _on_shard(self, key: str, value: bytes | None, version: int) -> None:
        shard = int(key)
        if value is None:
            self.leaders.pop(shard, None)
        else:
            self.leaders[shard] = ShardLease(_decode_leader(value), version)
        self.announce(shard)

    def announce(self, shard: ShardId) -> None:
        """Tell the listener if this node's leadership of a shard has changed."""
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
        """This node's fencing token for a shard, None if it is not the leader."""
        lease = self.leaders.get(shard)
        if lease is None:
            return None
        leader = lease.leader
        if leader.node != self._node or leader.incarnation != self._incarnation:
            return None
        return lease.token if self._newest_seen.get(shard, 0) <= lease.token else None

    def leader(self, shard: ShardId) -> str | None:
        """The node that leads a shard, as far as our replica shows."""
        lease = self.leaders.get(shard)
        return lease.leader.node if lease is not None else None

    @property
    def cluster_leader_token(self) -> FencingToken | None:
        """The cluster leader's fencing token, None if this node is not the cluster leader."""
        return self.token(CLUSTER_LEADER_SHARD)

    def observe_token(self, shard: ShardId, token: FencingToken) -> None:
        """An agent or a peer knows this token: if it is newer than ours, we are deposed."""
        if token > self._newest_seen.get(shard, 0):
            self._newest_seen[shard] = token
            self.announce(shard)
