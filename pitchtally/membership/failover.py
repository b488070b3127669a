"""Failover: acquisition of the shards that this node should lead."""

from __future__ import annotations

import logging

import msgspec
import trio

from ..config.policy import Policy
from ..state_store import keys
from ..state_store.client import StateStoreClient, Write
from ..state_store.errors import CompareFailed, LeaseExpired, StoreUnavailable
from ..state_store.identifiers import ShardId
from ..state_store.rate_limits import Priority
from ..state_store.replica import Replica
from .leadership import ShardLeadership
from .nodes import LiveNodes
from .shards import ShardLeader, leader_preference, preferred_leader

log = logging.getLogger(__name__)

_NOT_LISTED_PAUSE_S = 0.05
_FAILED_ATTEMPT_PAUSE_S = 0.1


class Failover:
    """Acquires each shard whose preferred leader among the live nodes is this one."""

    def __init__(
        self,
        leadership: ShardLeadership,
        live_nodes: LiveNodes,
        state_store: StateStoreClient,
        replica: Replica,
        shard_count: int,
        policy: Policy,
    ):
        self._identity = leadership.identity
        self._leadership = leadership
        self._live_nodes = live_nodes
        self._state_store = state_store
        self._replica = replica
        self._shard_count = shard_count
        self._policy = policy
        self._started_at = trio.current_time()
        self._wake = trio.Event()
        replica.listen(keys.SHARD_PREFIX, self._on_change)
        replica.listen(keys.NODE_PREFIX, self._on_change)

    def _on_change(self, key: str, value: bytes | None, version: int) -> None:
        self._wake.set()

    async def run(self) -> None:
        """Check all shards after each node or shard change, and once per heartbeat interval."""
        while True:
            with trio.move_on_after(self._policy.heartbeat_interval):
                await self._wake.wait()
            self._wake = trio.Event()
            if not self._is_listed():
                # The record under this node's name may still belong to its previous process.
                await trio.sleep(_NOT_LISTED_PAUSE_S)
                continue
            starting = trio.current_time() - self._started_at < self._policy.session_ttl / 2
            for shard in range(self._shard_count):
                if self._should_acquire(shard, starting=starting):
                    await self._try_to_acquire(shard)

    def _is_listed(self) -> bool:
        """Return whether the replica holds the node record written by this process."""
        node = self._live_nodes.alive.get(self._identity.name)
        return (
            self._replica.revision >= 0
            and node is not None
            and node.incarnation == self._identity.incarnation
        )

    def _should_acquire(self, shard: ShardId, *, starting: bool) -> bool:
        """Return whether this node is to acquire a shard now.

        `starting`: whether less than half a session TTL has passed since this node started.
        """
        names = self._live_nodes.names
        if preferred_leader(names, self._live_nodes.alive, shard) != self._identity.name:
            return False
        if self._leadership.token(shard) is not None:
            return False
        # When all nodes start at once, each one first leaves the shards with another home node
        # to that node.
        return not starting or leader_preference(names, shard)[0] == self._identity.name

    async def _try_to_acquire(self, shard: ShardId) -> None:
        """Acquire a shard; log a failure and pause, since the next check retries it."""
        try:
            await self._acquire(shard)
        except (CompareFailed, LeaseExpired, StoreUnavailable) as error:
            log.debug("shard not acquired shard=%d: %s", shard, error)
            await trio.sleep(_FAILED_ATTEMPT_PAUSE_S)

    async def _acquire(self, shard: ShardId) -> None:
        """Compare-and-swap the shard's record, provided that this node's record is unchanged."""
        key = keys.shard(shard)
        node_key = keys.node(self._identity.name)
        node_version = self._replica.version(node_key)
        if not node_version:
            return
        expected_versions = {key: self._replica.version(key), node_key: node_version}
        value = msgspec.json.encode(ShardLeader(self._identity.name, self._identity.incarnation))
        log.debug("acquiring shard=%d from=%s", shard, self._leadership.leader(shard))
        changes = [Write(key, value)]
        revision = await self._state_store.commit(
            expected_versions, changes, priority=Priority.LEASES
        )
        self._replica.apply_own_commit(changes, revision)
