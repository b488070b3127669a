"""Graceful eviction of tasks from spot instances under a preemption notice."""

from __future__ import annotations

import trio

from ..context import SchedulingContext
from ..shards.allocations import ShardState

# A task is expected to end in time if this multiple of its remaining run time fits into the
# notice: the cloud may cut the notice short, and estimates are rough.
NOTICE_MARGIN_RATIO = 2


class DrainingEviction:
    """Stops tasks that aren't expected to finish before the cloud preempts their machine."""

    def __init__(
        self,
        context: SchedulingContext,
        shards: dict[int, ShardState],
    ) -> None:
        self.agents = context.agents
        self.estimates = context.estimates
        self.shards = shards

    def evict_draining(self, shard: int) -> None:
        """Checkpoint and stop the tasks that won't finish on machines under a preemption notice.

        Otherwise they would lose their progress, and couldn't start again until the machine's
        lease has expired.
        """
        now = trio.current_time()
        state = self.shards[shard]
        for machine in self.agents.of_shard(shard):
            if machine.preemption_at is None:
                continue
            notice_left_s = machine.preemption_at - now
            for placement in list(machine.placements.values()):
                if placement.stop_grace is not None or not placement.observed:
                    continue
                spec = placement.spec
                ran_s = (
                    now - placement.running_since if placement.running_since is not None else 0.0
                )
                ends_in_time = (
                    self.estimates.expected_run_s(spec) - ran_s
                ) * NOTICE_MARGIN_RATIO < notice_left_s
                if ends_in_time and not spec.is_service:
                    continue
                for member in state.with_gang(placement):
                    self.agents.stop(
                        member,
                        member.spec.checkpoint_grace if member.spec.checkpoint_interval else 0.0,
                    )
