"""Which job comes first in a shard: rank, then guarantee, then deadline."""

from __future__ import annotations

from ..protocol import user_api
from .context import SchedulingContext
from .quotas.quotas import Quotas
from .shards.allocations import ShardAllocation
from .shards.deadlines import Deadlines


class PriorityOrder:
    """Who comes first: ranks, guarantees, deadlines, and long waits."""

    def __init__(
        self,
        context: SchedulingContext,
        deadlines: Deadlines,
        quotas: Quotas,
    ) -> None:
        self.estimates = context.estimates
        self.agent_heartbeat_s = context.agent_heartbeat_s
        self.deadlines = deadlines
        self.quotas = quotas

    def slack(self, spec: user_api.JobSpec) -> float:
        """Seconds a job of this class may wait and still be in time, by the tightest aim."""
        task = self.estimates.task(spec)
        found = [] if spec.deadline is None else [spec.deadline - task]
        found.extend(
            aim.within_s - (0.0 if aim.kind == "wait" else task)
            for aim in self.deadlines.aims.get(spec.job_class, ())
            if aim.within_s is not None
        )
        if spec.kind == user_api.GANG and self.quotas.guaranteed(spec.team):
            # Arrays fill what frees up, but a gang within its team's guarantee starts in
            # time only where room for all of it is up already.
            found.extend(
                aim.within_s
                for aim in self.deadlines.aims.get(None, ())
                if aim.kind == "guarantee" and aim.within_s is not None
            )
        # A service is missed from its first second on.
        usual = self.agent_heartbeat_s if spec.is_service else task * 3
        return max(1.0, min(found, default=usual))

    def key(self, allocation: ShardAllocation, level: float) -> tuple[int, bool, float]:
        """Rank, then guarantee, then deadline; first of all who waits since too long.

        A stretch deadline alone keeps nobody from starving where ranks stand above it:
        a job that has had no start for most of what users bear comes before all others
        until it has one, in order of acceptance.
        """
        if allocation.aged:
            return (-1, False, allocation.release)
        return (
            allocation.rank,
            not self.quotas.under(allocation.spec),
            self.deadlines.due_of(allocation, level),
        )
