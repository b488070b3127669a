"""Tasks of a shard allotted to the queues of its machines."""

from __future__ import annotations

import trio

from .. import stretch
from ..context import SchedulingContext
from ..shards.allocations import ShardState
from ..shards.eligibility import machine_ok
from ..shards.machine_queues import add_to_queue, machine_queue, task_work


class Allotment:
    """Splits pending tasks over machine queues by availability."""

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
        """Tasks in no queue yet, split by availability at the least covering stretch."""
        work = self.shards[shard]
        now = trio.current_time()
        for id, allocation in work.allocations.items():
            if allocation.gang:
                continue
            held = sum(q.get(id, 0) for q in work.queues.values())
            if held > allocation.pending.count:
                # Taken elsewhere or given away: shorten, longest first.
                for queue in sorted(work.queues.values(), key=lambda q: -q.get(id, 0)):
                    cut = min(queue.get(id, 0), held - allocation.pending.count)
                    if cut:
                        queue[id] -= cut
                        held -= cut
            more = allocation.pending.count - held
            if more <= 0 or (held and now - allocation.allotted_at < self.agent_heartbeat_s):
                continue  # a few given back since: they start from the pool all the same
            allocation.allotted_at = now
            able = [
                (group, machine_group)
                for group, machine_group in work.machine_groups.items()
                if any(
                    machine_ok(allocation, m, self.policy.unhealthy_rest)
                    for m in machine_group.machines
                )
            ]
            if not able:
                continue
            queues = [
                machine_queue(work, machine_group, allocation.rank) for _, machine_group in able
            ]
            costs = [
                task_work(self.estimates, allocation.spec, machine_group.machine_type)
                for _, machine_group in able
            ]
            like = [machine_group.width for _, machine_group in able]

            found = self._least_counts(
                queues, costs, like, allocation.release, allocation.size, more
            )
            # Beyond the largest sample nothing is promised: spread by what there is.
            weights = (
                found
                if sum(found)
                else [n / max(a, 1e-6) for a, n in zip(costs, like, strict=True)]
            )
            for (group, _), n in zip(able, stretch.shares(weights, more), strict=True):
                if n:
                    queue = work.queues.setdefault(group, {})
                    queue[id] = queue.get(id, 0) + n
                    add_to_queue(self.estimates, work, group, id, n)

    def _least_counts(
        self,
        queues: list[list[stretch.Entry]],
        costs: list[float],
        like: list[float],
        release: float,
        size: float,
        wanted: int,
    ) -> list[int]:
        """Tasks that each group can take at the least sample that covers them all."""
        now = trio.current_time()

        def counts(level: float) -> list[int]:
            return [
                int(n * stretch.capacity(stretch.gap(q, level, release, size, now), a))
                for q, a, n in zip(queues, costs, like, strict=True)
            ]

        low, high = 0, len(self.samples.stretches) - 1
        while low < high:
            middle = (low + high) // 2
            if sum(counts(self.samples.stretches[middle])) >= wanted:
                high = middle
            else:
                low = middle + 1
        return counts(self.samples.stretches[low])
