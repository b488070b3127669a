"""Whether this node reaches any agent: a node that doesn't lets others have its shards."""

from __future__ import annotations

from itertools import islice
from typing import Protocol

import trio

from ..config.settings import AgentTimes
from .commands.agent_client import AgentClient
from .machine_index import MachineIndex
from .machine_records import MachineRecords

# Silence of all machines for this share of a lease calls for a look.
SUSPICIOUS_LEASE_SHARE = 1 / 4
# How many machines are asked: ours, and those of others, from each chunk of their record.
MAX_OWN_PROBES = 3
MAX_OTHER_PROBES = 4
MAX_PROBES_PER_CHUNK = 2


class ReachabilityStatus(Protocol):
    """What this node tells other nodes of its own reach."""

    @property
    def agents_unreachable(self) -> bool:
        """Whether others have been told that this node reaches no agent."""

    def set_agents_unreachable(self, unreachable: bool) -> None:
        """Tell others whether this node reaches no agent."""


class AgentReachability:
    """Tells a node that its agents can't reach from agents that are gone."""

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
        self.last_contact_at = trio.current_time()  # when any agent was

    async def run(self) -> None:
        """Ask a few agents whenever none has been heard for a while."""
        while True:
            await trio.sleep(self._times.report_s)
            now = trio.current_time()
            own = self._own_addresses()
            since_last_heartbeat = now - self.last_contact_at
            suspicious = (
                own and since_last_heartbeat >= self._times.lease_s * SUSPICIOUS_LEASE_SHARE
            )
            if not self._status.agents_unreachable and not suspicious:
                continue
            # Machines of other shards count too: where ours are gone but others answer,
            # handing our shards on would help nobody.
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
