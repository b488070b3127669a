"""Tasks moved off machines that the provider takes back soon."""

from __future__ import annotations

import trio

from ..context import SchedulingContext
from ..shards.allocations import ShardState


class DrainingEviction:
    """Stops what won't finish on machines under a preemption notice."""

    def __init__(
        self,
        context: SchedulingContext,
        shards: dict[int, ShardState],
    ) -> None:
        self.agents = context.agents
        self.estimates = context.estimates
        self.shards = shards

    def evict_draining(self, shard: int) -> None:
        """Before the cloud takes a machine back, save and move what won't finish there.

        Left alone, the tasks would lose their progress and then wait for the machine's
        lease to end before anyone may start them again.
        """
        now = trio.current_time()
        work = self.shards[shard]
        for machine in self.agents.of_shard(shard):
            if machine.preemption_at is None:
                continue
            left = machine.preemption_at - now
            for placement in list(machine.placements.values()):
                if placement.stop_grace is not None or not placement.observed:
                    continue
                spec = placement.spec
                ran = now - placement.running_since if placement.running_since is not None else 0.0
                # The notice may be half as long as told, and estimates are rough.
                over_soon = (self.estimates.task(spec) - ran) * 2 < left
                if over_soon and not spec.is_service:
                    continue
                for each in work.with_gang(placement):
                    self.agents.stop(each, each.spec.save if each.spec.checkpoint else 0.0)
