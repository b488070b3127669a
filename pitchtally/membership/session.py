"""This node's session lease, and its node record, which the store removes with the lease."""

from __future__ import annotations

import logging

import msgspec
import trio

from ..formats.gate import CURRENT_FORMAT
from ..state_store import keys
from ..state_store.client import StateStoreClient, Write
from ..state_store.errors import CompareFailed, LeaseExpired, StoreUnavailable
from ..state_store.rate_limits import Priority
from ..state_store.replica import Replica
from .nodes import LiveNodes, NodeIdentity, NodeRecord

log = logging.getLogger(__name__)

# Intervals as shares of the lease's time to live.
_RENEWAL_INTERVAL_SHARE = 1 / 3
_RETRY_INTERVAL_SHARE = 1 / 20


class Session:
    """Keeps the session lease and the node record bound to it up to date."""

    def __init__(
        self,
        identity: NodeIdentity,
        live_nodes: LiveNodes,
        state_store: StateStoreClient,
        replica: Replica,
        ttl: float,
    ):
        """Initialise; `ttl` is the time to live of a lease that is not renewed, in seconds."""
        self._identity = identity
        self._live_nodes = live_nodes
        self._state_store = state_store
        self._replica = replica
        self._ttl = ttl
        self._lease: int | None = None
        self.agents_unreachable = False

    def set_agents_unreachable(self, unreachable: bool) -> None:
        """Set whether this node's agents are unreachable.

        While they are, other nodes should acquire its shards.
        """
        if unreachable != self.agents_unreachable:
            self.agents_unreachable = unreachable
            log.info("agents %s", "unreachable" if unreachable else "reachable again")

    def own_record(self) -> NodeRecord:
        """Return the record of this node as it should be stored."""
        return NodeRecord(self._identity.incarnation, self.agents_unreachable, CURRENT_FORMAT)

    async def run(self) -> None:
        """Renew the lease and update the record periodically."""
        while True:
            try:
                up_to_date = await self._renew()
            except LeaseExpired:
                self._lease = None
                continue
            except CompareFailed:
                # The replica lags: the watch has yet to deliver a record of the previous process,
                # or its removal.
                up_to_date = False
            except StoreUnavailable as error:
                log.debug("session lease not renewed: %s", error)
                up_to_date = False
            await trio.sleep(
                self._ttl * (_RENEWAL_INTERVAL_SHARE if up_to_date else _RETRY_INTERVAL_SHARE)
            )

    async def _renew(self) -> bool:
        """Grant or renew the lease, and write the record if it changed.

        Returns False if the replica is not loaded yet, so that the caller retries soon.
        """
        if self._lease is None:
            self._lease = await self._state_store.grant_lease(self._ttl)
        else:
            await self._state_store.renew_lease(self._lease)
        if self._replica.revision < 0:
            # Without a loaded replica there is no version for the compare-and-swap.
            return False
        if self._live_nodes.alive.get(self._identity.name) != self.own_record():
            await self._write_record(self._lease)
        return True

    async def _write_record(self, lease: int) -> None:
        """Compare-and-swap the node record, so that a write executed late changes nothing."""
        key = keys.node(self._identity.name)
        changes = [Write(key, msgspec.json.encode(self.own_record()), lease)]
        revision = await self._state_store.commit(
            {key: self._replica.version(key)}, changes, priority=Priority.LEASES
        )
        self._replica.apply_own_commit(changes, revision)
