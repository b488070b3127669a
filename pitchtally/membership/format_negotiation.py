"""Opens the format gate once every configured member reads the present format."""

from __future__ import annotations

import logging

import trio

from ..formats import gate
from ..formats.gate import FormatGate
from ..state_store import keys, rate_limits
from ..state_store.client import StateStoreClient, Write
from ..state_store.errors import CompareFailed, LeaseExpired, StoreUnavailable
from .membership import CLUSTER_LEADER_SHARD, Membership

log = logging.getLogger("format")


class FormatUpgrade:
    """The leader's watch for the moment at which no member of an earlier version is left."""

    def __init__(
        self, membership: Membership, state_store: StateStoreClient, format_gate: FormatGate
    ):
        self.membership = membership
        self.state_store = state_store
        self.gate = format_gate

    async def run(self) -> None:
        """Try to open the gate until it is open."""
        while not self.gate.open:
            await trio.sleep(self.membership.policy.heartbeat_interval)
            try:
                await self._try_to_open()
            except (CompareFailed, LeaseExpired, StoreUnavailable) as error:
                log.debug("gate not opened: %s", error)
        await trio.sleep_forever()

    async def _try_to_open(self) -> None:
        membership = self.membership
        token = membership.cluster_leader_token
        if token is None:
            return
        if not gate.all_read(membership.nodes, membership.alive, membership.answering()):
            return
        # Replaced since, a member has another record, and the write fails.
        conditions = {
            keys.node(name): membership.replica.version(keys.node(name))
            for name in membership.nodes
        }
        conditions[keys.shard(CLUSTER_LEADER_SHARD)] = token
        conditions[keys.FORMAT] = membership.replica.version(keys.FORMAT)
        changes = [Write(keys.FORMAT, self.gate.record())]
        revision = await self.state_store.commit(conditions, changes, priority=rate_limits.LEASES)
        membership.replica.apply_own_commit(changes, revision)
