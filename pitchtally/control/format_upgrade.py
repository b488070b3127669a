"""Opens the format gate once every configured member reads the present format."""

from __future__ import annotations

import logging

import trio

from .. import tokens
from ..formats import gate
from ..formats.gate import FormatGate
from ..store import Conflict, NoLease, Store, StoreDown, Write
from .members import LEADER_PART, Members

log = logging.getLogger("format")


class FormatUpgrade:
    """The leader's watch for the moment at which no member of an earlier version is left."""

    def __init__(self, members: Members, store: Store, format_gate: FormatGate):
        self.members = members
        self.store = store
        self.gate = format_gate

    async def run(self) -> None:
        """Try to open the gate until it is open."""
        while not self.gate.open:
            await trio.sleep(self.members.policy.heartbeat_interval)
            try:
                await self._try_to_open()
            except (Conflict, NoLease, StoreDown) as error:
                log.debug("gate not opened: %s", error)
        await trio.sleep_forever()

    async def _try_to_open(self) -> None:
        members = self.members
        token = members.leading
        if token is None:
            return
        if not gate.all_read(members.nodes, members.alive, members.answering()):
            return
        # Replaced since, a member has another record, and the write fails.
        conditions = {
            f"pt/nodes/{name}": members.replica.version(f"pt/nodes/{name}")
            for name in members.nodes
        }
        conditions[f"pt/parts/{LEADER_PART}"] = token
        conditions[gate.KEY] = members.replica.version(gate.KEY)
        changes = [Write(gate.KEY, self.gate.record())]
        revision = await self.store.commit(conditions, changes, priority=tokens.LEASES)
        members.replica.own(changes, revision)
