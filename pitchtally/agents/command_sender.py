"""Direct words to machines: stops, our token after a failover, and who can be reached.

Never a start: a held command could run minutes later, while a late answer to a report
is dropped.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import msgspec
import trio

from ..config.settings import host_port
from ..http import Client, HttpError
from ..protocol import agent_api
from .machines import LedShard, Machine

if TYPE_CHECKING:
    from .manager import AgentManager

log = logging.getLogger("reach")

encode = msgspec.json.encode
_heartbeat = msgspec.json.Decoder(agent_api.AgentHeartbeat)


class CommandSender:
    """Sends direct commands to the machines of the shards that this node owns."""

    def __init__(self, agents: AgentManager) -> None:
        self.agents = agents
        self.times = agents.times
        self.membership = agents.membership
        self.policy = agents.policy
        # Of all sockets a thirtieth for calls under way, twice (stops, and probes apart),
        # and as many kept open: a shard may hold more machines than there are sockets.
        limits = agents.settings.deployment.machine_limits
        self.calls = max(8, limits.max_connections // 30)
        self.client = Client(max_idle_per_address=1, max_idle=self.calls, idle_timeout=8.0)
        self.wake = trio.Event()
        self.touched: set[str] = set()  # machines with tasks to stop
        self.last_heartbeat_at = trio.current_time()  # when any machine was heard

    def touch(self, name: str) -> None:
        """Have a machine told soon what it must stop."""
        self.touched.add(name)
        self.wake.set()

    async def run(self) -> None:
        """Send stops, and after a failover our token, straight to the machines."""
        limit = trio.CapacityLimiter(self.calls)
        # Apart: machines that can't be reached must not hold up stops for those that can.
        probes = trio.CapacityLimiter(self.calls)
        async with trio.open_nursery() as nursery:
            while True:
                with trio.move_on_after(self.times.report_s / 3):
                    await self.wake.wait()
                self.wake = trio.Event()
                await trio.sleep(0.01)
                for led_shard in list(self.agents.shards.values()):
                    self.agents.load(led_shard)
                    for name in list(led_shard.suspects):
                        machine = self.agents.machines.get(name)
                        if machine is not None and probes.available_tokens:
                            nursery.start_soon(self._tell, machine, led_shard, probes)
                for machine in list(self.agents.machines.values()):
                    held = self.agents.shards.get(machine.shard)
                    if machine.unresponsive and held is not None and probes.available_tokens:
                        nursery.start_soon(self._tell, machine, held, probes)
                for name in list(self.touched):
                    self.touched.discard(name)
                    machine = self.agents.machines.get(name)
                    held = self.agents.shards.get(machine.shard) if machine else None
                    if machine is not None and held is not None and machine.confirmed:
                        nursery.start_soon(self._tell, machine, held, limit)

    async def _tell(
        self, machine: Machine, led_shard: LedShard, limit: trio.CapacityLimiter
    ) -> None:
        async with limit:
            for _ in range(2):
                if self.membership.token(led_shard.shard) != led_shard.token:
                    return
                commands = self.agents.stop_commands(machine)[:500] if machine.confirmed else []
                body = encode(
                    agent_api.CommandRequest(led_shard.token, max(1, machine.epoch), commands)
                )
                try:
                    response = await self.client.call(
                        host_port(machine.address),
                        "POST",
                        "/commands",
                        body,
                        timeout=self.policy.call_timeout,
                    )
                    if response.status not in (200, 409):
                        return
                    heartbeat = _heartbeat.decode(response.body)
                except (HttpError, msgspec.MsgspecError, ValueError) as error:
                    log.debug("direct machine=%s: %s", machine.name, error)
                    return
                if (
                    heartbeat.machine != machine.name
                    or self.agents.shards.get(led_shard.shard) is not led_shard
                ):
                    return
                if heartbeat.token > led_shard.token:
                    self.membership.fenced(led_shard.shard, heartbeat.token)
                    return
                self.agents.observe(heartbeat, led_shard, direct=True)
                if response.status == 200:
                    machine.unacknowledged = 0  # commands reach it after all
                    return

    async def run_reachability(self) -> None:
        """Tell a node that its machines can't reach from machines that are gone."""
        while True:
            await trio.sleep(self.times.report_s)
            now = trio.current_time()
            mine = [
                m
                for m in self.agents.machines.values()
                if m.address and m.name not in self.agents.released
            ]
            if not self.membership.agents_unreachable and (
                not mine or now - self.last_heartbeat_at < self.times.lease_s / 4
            ):
                continue
            # Machines of other shards count too: where ours are gone but others
            # answer, handing our shard on would help nobody.
            others = [
                Machine(name, 0, *row)
                for chunk in list(self.agents.records.chunks.values())
                for name, row in list(chunk.items())[:2]
                if name not in self.agents.released and name not in self.agents.machines
            ]
            mine = mine[:3] + others[:4]
            heard = False
            for machine in mine:
                try:
                    response = await self.client.call(
                        host_port(machine.address),
                        "GET",
                        "/status",
                        timeout=self.policy.call_timeout / 2,
                    )
                    heard = heard or response.status == 200
                except (HttpError, ValueError):
                    continue
                if heard:
                    break
            if heard:
                self.last_heartbeat_at = trio.current_time()
            self.membership.set_agents_unreachable(bool(mine) and not heard)
