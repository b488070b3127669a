"""Placement of tasks on machines, with attempt numbers that are never reused."""

from __future__ import annotations

import trio

from ...agents.machine import Machine, Placement
from ...agents.manager import AgentManager
from .allocations import ShardAllocation


def next_attempt(agents: AgentManager, shard: int) -> int:
    """Return an attempt number that no leader of the shard has used before."""
    return agents.shards[shard].next_attempt()


def place_task(
    agents: AgentManager, allocation: ShardAllocation, task: int, machine: Machine, attempt: int
) -> None:
    """Place a task on a machine; the response to the agent's next heartbeat starts it."""
    placement = Placement(allocation.job, task, attempt, machine)
    allocation.add_placement(placement)
    agents.placements.put(placement)
    allocation.pending_since = trio.current_time()
