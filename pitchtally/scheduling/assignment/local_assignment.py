"""Plans a job on acceptance: in a shard of this controller, or by the cluster leader."""

from __future__ import annotations

from typing import NamedTuple

from ...jobs.job_record import TaskRange
from ...membership.membership import Membership
from ...protocol import user_api
from ..capacity import UNASSIGNED, Plan, stays_in_one_shard
from ..context import SchedulingContext
from ..gangs.planner import GangPlanner
from ..gangs.single_shard_planner import SingleShardPlanner
from ..shards.allocations import ShardState
from ..shards.shard_statuses import ShardStatuses
from .proportional_split import ProportionalSplit


class JobPlanners(NamedTuple):
    """The planners for gangs, for jobs that stay in one shard, and for jobs that may be split."""

    gang: GangPlanner
    single_shard: SingleShardPlanner
    proportional_split: ProportionalSplit


class LocalAssignment:
    """The paper's test on acceptance: keep a job covered at up to B times the lowest stretch.

    B is the policy's `bound`.
    """

    def __init__(
        self,
        context: SchedulingContext,
        membership: Membership,
        shards: dict[int, ShardState],
        statuses: ShardStatuses,
        planners: JobPlanners,
    ) -> None:
        self.policy = context.policy
        self.samples = context.samples
        self.membership = membership
        self.shards = shards
        self.statuses = statuses
        self.gang_planner = planners.gang
        self.single_shard_planner = planners.single_shard
        self.proportional_split = planners.proportional_split

    def plan_submission(self, spec: user_api.JobSpec) -> Plan:
        """Return a plan for a job on acceptance, or UNASSIGNED to leave it to the cluster leader.

        A gang is planned at once over all shards, wherever there is capacity for all its tasks:
        the stretch test doesn't apply to it, and a request to the leader would only add latency.
        """
        led_shards = [
            shard
            for shard, state in self.shards.items()
            if state.loaded and shard in self.statuses.newest
        ]
        if not led_shards:
            return UNASSIGNED
        if spec.kind == user_api.GANG:
            token = self.membership.token(led_shards[0])
            return (token is not None and self.gang_planner.plan(spec, token)) or UNASSIGNED
        if spec.is_service:
            # Services are placed by free capacity, not by queues: the leader gets the service
            # only if no shard led here has the capacity.
            return self.single_shard_planner.plan_service(spec, led_shards) or UNASSIGNED
        if stays_in_one_shard(spec):
            best = self.single_shard_planner.best_shard(spec)
            if best not in led_shards:
                return UNASSIGNED
            ranges = [TaskRange(0, spec.tasks, best)]
            return Plan(ranges, self.single_shard_planner.pick_zone(spec, ranges))
        return Plan(self._keep_or_split(spec, led_shards))

    def _keep_or_split(self, spec: user_api.JobSpec, led_shards: list[int]) -> list[TaskRange]:
        """Apply the stretch test to the shards led here.

        If none of them keeps the job, the cluster leader splits it at once; other controllers
        return no ranges.
        """
        lowest = max(
            min((status.stretch for status in self.statuses.newest.values()), default=0.0),
            self.samples.stretches[0],
        )
        for shard in led_shards:
            stretch_index = self.proportional_split.least_covering_index(
                [self.statuses.newest[shard]], spec
            )
            if (
                stretch_index is not None
                and self.samples.stretches[stretch_index] <= self.policy.bound * lowest
            ):
                self.statuses.record_allocation(shard, spec, spec.tasks)
                return [TaskRange(0, spec.tasks, shard)]
        if self.membership.cluster_leader_token is None:
            return []
        return self.proportional_split.split(spec)

    def plan_as_leader(self, spec: user_api.JobSpec) -> Plan:
        """Plan a job that its accepting controller doesn't keep.

        Returns UNASSIGNED for gangs, and if this controller isn't the cluster leader or finds no
        plan.
        """
        if self.membership.cluster_leader_token is None or spec.kind == user_api.GANG:
            return UNASSIGNED
        if stays_in_one_shard(spec):
            return self.single_shard_planner.plan(spec) or UNASSIGNED
        if spec.is_service:
            plan = self.single_shard_planner.plan_service(spec, self.statuses.newest)
            if plan is not None:
                return plan
        return Plan(self.proportional_split.split(spec))
