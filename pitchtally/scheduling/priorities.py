"""The priority order of jobs in a shard: by rank, then guarantee, then deadline."""

from __future__ import annotations

from ..protocol import user_api
from .context import SchedulingContext
from .quotas.quotas import Quotas
from .shards.allocations import ShardAllocation
from .shards.deadlines import Deadlines

# (rank, whether the team is outside its guarantee, deadline); the lowest key starts first. A plain
# tuple for speed, since one is built for each pending job at each agent heartbeat.
PriorityKey = tuple[int, bool, float]
# Sorts before every rank of a job.
AGED_RANK = -1
# A job without any objective may be pending for the expected run time of this many tasks.
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
        """Return the seconds that a job may be pending and still meet its tightest objective."""
        run_s = self.estimates.expected_run_s(spec)
        limits_s = [] if spec.deadline is None else [spec.deadline - run_s]
        limits_s.extend(
            objective.within_s - (0.0 if objective.kind == "wait" else run_s)
            for objective in self.deadlines.objectives.get(spec.job_class, ())
            if objective.within_s is not None
        )
        if spec.kind == user_api.GANG and self.quotas.has_guarantee(spec.team):
            # An array starts task by task as capacity becomes available. A gang within its team's
            # guarantee starts in time only if machines for all its tasks are already running.
            limits_s.extend(
                objective.within_s
                for objective in self.deadlines.objectives.get(None, ())
                if objective.kind == "guarantee" and objective.within_s is not None
            )
        # A missing replica affects the users of a service from the first second.
        default_s = self.agent_heartbeat_s if spec.is_service else run_s * DEFAULT_SLACK_TASKS
        return max(MIN_SLACK_S, min(limits_s, default=default_s))

    def key(self, allocation: ShardAllocation, target_stretch: float) -> PriorityKey:
        """Return the sort key of an allocation, with deadlines at `target_stretch`.

        Since rank comes before the deadline, jobs of a low rank could starve. Aging prevents
        that: jobs pending for most of `start_within` precede all others until their next start;
        among themselves they are sorted by release time.
        """
        if allocation.aged:
            return (AGED_RANK, False, allocation.release)
        return (
            allocation.rank,
            not self.quotas.within_guarantee(allocation.spec),
            self.deadlines.allocation_deadline(allocation, target_stretch),
        )
