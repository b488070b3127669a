"""Distribution of a shard's pending tasks over the queues of its machine groups."""

from __future__ import annotations

from collections.abc import Sequence

import trio

from ...agents.machine import MachineGroupKey
from .. import stretch
from ..context import SchedulingContext
from ..shards.allocations import MachineGroup, ShardAllocation, ShardState
from ..shards.eligibility import machine_allowed
from ..shards.machine_queues import add_to_queue, machine_queue, task_work

# Lower bound of a task's cost in machine-seconds where it is a divisor.
MIN_TASK_COST_S = 1e-6


class Allotment:
    """Distributes pending tasks over machine queues by availability, except tasks of gangs."""

    def __init__(
        self,
        context: SchedulingContext,
        shards: dict[int, ShardState],
    ) -> None:
        self.policy = context.policy
        self.estimates = context.estimates
        self.samples = context.samples
        self.agent_heartbeat_s = context.agent_heartbeat_s
        self.shards = shards

    def allot(self, shard: int) -> None:
        """Queue all pending tasks of a shard's arrays and services on its machine groups."""
        state = self.shards[shard]
        now = trio.current_time()
        for id, allocation in state.allocations.items():
            if allocation.gang:
                continue
            queued = self._shorten_queues(state, id, allocation.pending.count)
            unqueued = allocation.pending.count - queued
            if unqueued <= 0:
                continue
            if queued and now - allocation.allotted_at < self.agent_heartbeat_s:
                continue  # the new pending tasks are few, and can start without a queue entry
            allocation.allotted_at = now
            groups = self._allowed_groups(state, allocation)
            if groups:
                self._enqueue(state, id, allocation, groups, unqueued)

    def _shorten_queues(self, state: ShardState, id: str, pending: int) -> int:
        """Drop queued tasks in excess of pending ones, longest queue first; return those left.

        When pending tasks move to another shard, their queue entries aren't removed with them.
        """
        queued = sum(queue.get(id, 0) for queue in state.queues.values())
        if queued > pending:
            for queue in sorted(state.queues.values(), key=lambda queue: -queue.get(id, 0)):
                excess = min(queue.get(id, 0), queued - pending)
                if excess:
                    queue[id] -= excess
                    queued -= excess
        return queued

    def _allowed_groups(
        self, state: ShardState, allocation: ShardAllocation
    ) -> dict[MachineGroupKey, MachineGroup]:
        """Return the machine groups with a machine that may run tasks of the job."""
        return {
            key: group
            for key, group in state.machine_groups.items()
            if any(
                machine_allowed(allocation, machine, self.policy.unhealthy_rest)
                for machine in group.machines
            )
        }

    def _enqueue(
        self,
        state: ShardState,
        id: str,
        allocation: ShardAllocation,
        groups: dict[MachineGroupKey, MachineGroup],
        count: int,
    ) -> None:
        """Add `count` tasks of a job to the queues of groups, in proportion to availability."""
        costs = [
            task_work(self.estimates, allocation.spec, group.machine_type)
            for group in groups.values()
        ]
        weights: Sequence[float] = self._covering_counts(
            state, allocation, list(groups.values()), costs, count
        )
        if not sum(weights):
            # Nothing is available even at the largest stretch sample: weight by speed alone.
            weights = [
                group.batch_machines / max(cost, MIN_TASK_COST_S)
                for cost, group in zip(costs, groups.values(), strict=True)
            ]
        for key, task_count in zip(
            groups, stretch.proportional_shares(weights, count), strict=True
        ):
            if task_count:
                queue = state.queues.setdefault(key, {})
                queue[id] = queue.get(id, 0) + task_count
                add_to_queue(self.estimates, state, key, id, task_count)

    def _covering_counts(
        self,
        state: ShardState,
        allocation: ShardAllocation,
        groups: list[MachineGroup],
        costs: list[float],
        count: int,
    ) -> list[int]:
        """Return each group's available tasks at the least stretch sample that covers `count`.

        This is the paper's algorithm 4, with availability after algorithm 3. If no sample covers
        the tasks, the largest is used. `costs`: machine-seconds of a task on each group (a of the
        paper).
        """
        now = trio.current_time()
        queues = [machine_queue(state, group, allocation.rank) for group in groups]
        machine_counts = [group.batch_machines for group in groups]
        release, size = allocation.release, allocation.size

        def counts(stretch_sample: float) -> list[int]:
            return [
                int(
                    machines
                    * stretch.tasks_in_gap(
                        stretch.gap(queue, stretch_sample, release, size, now), cost
                    )
                )
                for queue, cost, machines in zip(queues, costs, machine_counts, strict=True)
            ]

        low, high = 0, len(self.samples.stretches) - 1
        while low < high:
            middle = (low + high) // 2
            if sum(counts(self.samples.stretches[middle])) >= count:
                high = middle
            else:
                low = middle + 1
        return counts(self.samples.stretches[low])
