"""Checks whether this node reaches any agent; if it reaches none, others take its shards over."""

from __future__ import annotations

from itertools import islice
from typing import Protocol

import trio

from ..config.settings import AgentTimes
from .commands.agent_client import AgentClient
from .machine_index import MachineIndex
from .machine_records import MachineRecords

# Agents are probed after this share of a lease without contact with any of them.
SUSPICIOUS_LEASE_SHARE = 1 / 4
# Machines probed in one round: of led shards, of other shards, and of each record chunk.
MAX_OWN_PROBES = 3
MAX_OTHER_PROBES = 4
MAX_PROBES_PER_CHUNK = 2


class ReachabilityStatus(Protocol):
    """The reachability of agents that this node reports to other nodes."""

    @property
    def agents_unreachable(self) -> bool:
        """Whether this node is reported as reaching no agent."""

    def set_agents_unreachable(self, unreachable: bool) -> None:
        """Report to other nodes whether this node reaches no agent."""


class AgentReachability:
    """Distinguishes a node that is cut off from its agents from agents that are gone."""

    def __init__(
        self,
        index: MachineIndex,
        records: MachineRecords,
        client: AgentClient,
        status: ReachabilityStatus,
        times: AgentTimes,
    ):
        self._index = index
        self._records = records
        self._client = client
        self._status = status
        self._times = times
        self.last_contact_at = trio.current_time()  # latest contact with any agent

    async def run(self) -> None:
        """Probe a few agents whenever no agent has been in contact for some time."""
        while True:
            await trio.sleep(self._times.report_s)
            now = trio.current_time()
            own = self._own_addresses()
            since_last_contact = now - self.last_contact_at
            suspicious = own and since_last_contact >= self._times.lease_s * SUSPICIOUS_LEASE_SHARE
            if not self._status.agents_unreachable and not suspicious:
                continue
            # Machines of other shards count too: if only those of the led shards are gone, this
            # node still reaches agents, and handing over its shards would not help.
            addresses = own[:MAX_OWN_PROBES] + self._other_addresses()[:MAX_OTHER_PROBES]
            answering = await self._any_answers(addresses)
            if answering:
                self.last_contact_at = trio.current_time()
            self._status.set_agents_unreachable(bool(addresses) and not answering)

    def _own_addresses(self) -> list[str]:
        return [
            machine.address
            for machine in self._index.machines.values()
            if machine.address and machine.name not in self._index.terminated
        ]

    def _other_addresses(self) -> list[str]:
        return [
            record.address
            for chunk in list(self._records.chunks.values())
            for name, record in islice(chunk.items(), MAX_PROBES_PER_CHUNK)
            if name not in self._index.terminated and name not in self._index.machines
        ]

    async def _any_answers(self, addresses: list[str]) -> bool:
        for address in addresses:
            if await self._client.is_answering(address):
                return True
        return False
