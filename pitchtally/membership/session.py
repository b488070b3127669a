"""This node's session lease, and its own record, which the store removes with the lease."""

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

# Of the lease's time to live.
_RENEWAL_INTERVAL_SHARE = 1 / 3
_RETRY_INTERVAL_SHARE = 1 / 20


class Session:
    """Keeps the session lease, and the node record that is bound to it."""

    def __init__(
        self,
        identity: NodeIdentity,
        live_nodes: LiveNodes,
        state_store: StateStoreClient,
        replica: Replica,
        ttl: float,
    ):
        """`ttl`: seconds that the lease lives on without a renewal."""
        self._identity = identity
        self._live_nodes = live_nodes
        self._state_store = state_store
        self._replica = replica
        self._ttl = ttl
        self._lease: int | None = None
        self.agents_unreachable = False

    def set_agents_unreachable(self, unreachable: bool) -> None:
        """Let other nodes acquire our shards while our agents cannot be reached."""
        if unreachable != self.agents_unreachable:
            self.agents_unreachable = unreachable
            log.info("agents %s", "unreachable" if unreachable else "reachable again")

    def own_record(self) -> NodeRecord:
        """The record of this node as it should stand in the store."""
        return NodeRecord(self._identity.incarnation, self.agents_unreachable, CURRENT_FORMAT)

    async def run(self) -> None:
        """Keep the lease alive and the record up to date."""
        while True:
            try:
                up_to_date = await self._renew()
            except LeaseExpired:
                self._lease = None
                continue
            except CompareFailed:
                # The watch has yet to show what is there: a predecessor's record, or its end.
                up_to_date = False
            except StoreUnavailable as error:
                log.debug("lease not kept: %s", error)
                up_to_date = False
            await trio.sleep(
                self._ttl * (_RENEWAL_INTERVAL_SHARE if up_to_date else _RETRY_INTERVAL_SHARE)
            )

    async def _renew(self) -> bool:
        """Renew the lease and write the record if it changed; False if it is to be tried soon."""
        if self._lease is None:
            self._lease = await self._state_store.grant_lease(self._ttl)
        else:
            await self._state_store.renew_lease(self._lease)
        if self._replica.revision < 0:
            # What stands in our place, if anything, is not known yet.
            return False
        if self._live_nodes.alive.get(self._identity.name) != self.own_record():
            await self._write_record(self._lease)
        return True

    async def _write_record(self, lease: int) -> None:
        """Compare-and-swap our record, so that a late write of ours changes nothing."""
        key = keys.node(self._identity.name)
        changes = [Write(key, msgspec.json.encode(self.own_record()), lease)]
        revision = await self._state_store.commit(
            {key: self._replica.version(key)}, changes, priority=Priority.LEASES
        )
        self._replica.apply_own_commit(changes, revision)
