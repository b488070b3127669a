"""Gives tasks their places on machines."""

from __future__ import annotations

import trio

from ...agents.machine import Machine, Placement
from ...agents.manager import AgentManager
from .allocations import ShardAllocation


def next_attempt(agents: AgentManager, shard: int) -> int:
    """A number for the next start, never used before by anyone."""
    return agents.shards[shard].next_attempt()


def place_task(
    agents: AgentManager, allocation: ShardAllocation, task: int, machine: Machine, attempt: int
) -> None:
    """Give a task its place on a machine; the agent's next heartbeat is answered by its start."""
    placement = Placement(allocation.job, task, attempt, machine)
    allocation.placed[task] = placement
    agents.placements.put(placement)
    allocation.since = trio.current_time()
