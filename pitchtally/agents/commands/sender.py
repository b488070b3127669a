"""The loop that calls agents to send stops without delay, and the token after a failover.

It never sends starts: a delayed command call could start a task minutes later, while agents drop
a late heartbeat response.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

import trio

from ..led_shard import LedShard
from ..machine import Machine
from ..machine_index import MachineIndex
from .call import CommandCall
from .queue import CommandQueue

# Stops often come in groups, and a short delay batches them.
BATCHING_S = 0.01


class CommandSender:
    """Chooses which agents to call: those with stops, suspects, and unreachable ones."""

    def __init__(
        self,
        index: MachineIndex,
        shards: Mapping[int, LedShard],
        queue: CommandQueue,
        call: CommandCall,
        load_shard: Callable[[LedShard], None],
        interval: float,
        max_calls: int,
    ):
        """Initialise with eight parameters: the state to check, the actions on it, and two limits.

        `load_shard` loads a shard once the replica has caught up. `interval` is the time in
        seconds between checks of suspect and unreachable machines. `max_calls` limits the
        concurrent calls, separately for stops and for probes.
        """
        self._index = index
        self._shards = shards
        self._queue = queue
        self._call = call
        self._load_shard = load_shard
        self._interval = interval
        self._stop_limiter = trio.CapacityLimiter(max_calls)
        # Separate, so that probes of unreachable machines do not delay stops for the others.
        self._probe_limiter = trio.CapacityLimiter(max_calls)

    async def run(self) -> None:
        """Call agents until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await self._queue.wait(self._interval)
                await trio.sleep(BATCHING_S)
                for led_shard in list(self._shards.values()):
                    self._load_shard(led_shard)
                    self._probe_suspects(nursery, led_shard)
                self._probe_unreachable(nursery)
                self._send_stops(nursery)

    def _probe_suspects(self, nursery: trio.Nursery, led_shard: LedShard) -> None:
        for name in list(led_shard.suspects):
            machine = self._index.machines.get(name)
            if machine is not None and self._probe_limiter.available_tokens:
                nursery.start_soon(self._send, machine, led_shard, self._probe_limiter)

    def _probe_unreachable(self, nursery: trio.Nursery) -> None:
        for machine in list(self._index.machines.values()):
            led_shard = self._shards.get(machine.shard)
            if (
                machine.unreachable
                and led_shard is not None
                and self._probe_limiter.available_tokens
            ):
                nursery.start_soon(self._send, machine, led_shard, self._probe_limiter)

    def _send_stops(self, nursery: trio.Nursery) -> None:
        for name in self._queue.pop_all():
            machine = self._index.machines.get(name)
            led_shard = self._shards.get(machine.shard) if machine else None
            if machine is not None and led_shard is not None and machine.confirmed:
                nursery.start_soon(self._send, machine, led_shard, self._stop_limiter)

    async def _send(
        self, machine: Machine, led_shard: LedShard, limiter: trio.CapacityLimiter
    ) -> None:
        async with limiter:
            await self._call.send(machine, led_shard)
