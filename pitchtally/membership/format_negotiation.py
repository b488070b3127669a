"""Opening of the format gate once every configured member reads the current format."""

from __future__ import annotations

import logging
from collections.abc import Mapping, Sequence
from typing import Protocol

import trio

from ..formats import gate
from ..formats.gate import FormatGate
from ..state_store import keys
from ..state_store.client import StateStoreClient, Write
from ..state_store.errors import CompareFailed, LeaseExpired, StoreUnavailable
from ..state_store.identifiers import FencingToken
from ..state_store.rate_limits import Priority
from ..state_store.replica import Replica
from .nodes import NodeRecord
from .shards import CLUSTER_LEADER_SHARD

log = logging.getLogger(__name__)


class Members(Protocol):
    """This node's view of the cluster's members."""

    @property
    def nodes(self) -> Sequence[str]:
        """Names of all configured nodes."""

    @property
    def alive(self) -> Mapping[str, NodeRecord]:
        """Records of the live nodes, by name."""

    @property
    def cluster_leader_token(self) -> FencingToken | None:
        """The cluster leader's fencing token, None if this node is not the cluster leader."""

    def replying_incarnations(self) -> dict[str, str]:
        """Return the incarnation of each node that replied within a session TTL, by name."""


class FormatNegotiation:
    """Opens the gate from the cluster leader, once no member runs an earlier version."""

    def __init__(
        self,
        members: Members,
        state_store: StateStoreClient,
        replica: Replica,
        format_gate: FormatGate,
        interval: float,
    ):
        """Initialise; `interval` is the time between two attempts, in seconds."""
        self._members = members
        self._state_store = state_store
        self._replica = replica
        self._gate = format_gate
        self._interval = interval

    async def run(self) -> None:
        """Retry until the gate is open."""
        while not self._gate.open:
            await trio.sleep(self._interval)
            try:
                await self._try_to_open()
            except (CompareFailed, LeaseExpired, StoreUnavailable) as error:
                log.debug("gate not opened: %s", error)
        await trio.sleep_forever()

    async def _try_to_open(self) -> None:
        members = self._members
        token = members.cluster_leader_token
        if token is None:
            return
        if not gate.all_members_read_format(
            members.nodes, members.alive, members.replying_incarnations()
        ):
            return
        # If a member is replaced meanwhile, its record has another version and the commit fails.
        expected_versions = {
            keys.node(name): self._replica.version(keys.node(name)) for name in members.nodes
        }
        expected_versions[keys.shard(CLUSTER_LEADER_SHARD)] = token
        expected_versions[keys.FORMAT] = self._replica.version(keys.FORMAT)
        changes = [Write(keys.FORMAT, self._gate.record())]
        revision = await self._state_store.commit(
            expected_versions, changes, priority=Priority.LEASES
        )
        self._replica.apply_own_commit(changes, revision)
