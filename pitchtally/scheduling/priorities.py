"""The priority order of jobs in a shard: by rank, then guarantee, then deadline."""

from __future__ import annotations

from ..protocol import user_api
from .context import SchedulingContext
from .quotas.quotas import Quotas
from .shards.allocations import ShardAllocation
from .shards.deadlines import Deadlines

# Rank, whether the team is outside its guarantee, deadline; the least comes first. A plain tuple,
# since one is made for each pending job at each agent heartbeat.
PriorityKey = tuple[int, bool, float]
# Ahead of every rank.
AGED_RANK = -1
# Task lengths that a job without any objective may be pending.
DEFAULT_SLACK_TASKS = 3
MIN_SLACK_S = 1.0


class PriorityOrder:
    """Priority keys of allocations, and how long a job may be pending."""

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
        """Seconds that a job may be pending and still meet the tightest objective of its class."""
        task = self.estimates.task(spec)
        limits = [] if spec.deadline is None else [spec.deadline - task]
        limits.extend(
            objective.within_s - (0.0 if objective.kind == "wait" else task)
            for objective in self.deadlines.objectives.get(spec.job_class, ())
            if objective.within_s is not None
        )
        if spec.kind == user_api.GANG and self.quotas.has_guarantee(spec.team):
            # Arrays start as capacity becomes available, but a gang within its team's guarantee
            # starts in time only if machines for all of it are up already.
            limits.extend(
                objective.within_s
                for objective in self.deadlines.objectives.get(None, ())
                if objective.kind == "guarantee" and objective.within_s is not None
            )
        # The users of a service notice each second that a replica is missing.
        default = self.agent_heartbeat_s if spec.is_service else task * DEFAULT_SLACK_TASKS
        return max(MIN_SLACK_S, min(limits, default=default))

    def key(self, allocation: ShardAllocation, level: float) -> PriorityKey:
        """The sort key of an allocation, with deadlines at the stretch `level`.

        Since rank comes before the deadline, a low rank could starve. Aging prevents that: a job
        pending for most of `start_within` precedes all others until its next start, in order of
        release.
        """
        if allocation.aged:
            return (AGED_RANK, False, allocation.release)
        return (
            allocation.rank,
            not self.quotas.within_guarantee(allocation.spec),
            self.deadlines.allocation_deadline(allocation, level),
        )
