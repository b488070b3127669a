"""Where a job goes on acceptance: to a shard of this controller, or to the cluster leader."""

from __future__ import annotations

from ...jobs.job_record import TaskRange
from ...membership.membership import Membership
from ...protocol import user_api
from .. import stretch
from ..capacity import UNASSIGNED, Plan, stays_in_one_shard
from ..context import SchedulingContext
from ..gangs.planner import GangPlanner
from ..shards.allocations import ShardState
from ..shards.shard_statuses import ShardStatuses
from .proportional_split import ProportionalSplit


class Admission:
    """The paper's test on acceptance: keep a job covered at up to B times the lowest stretch."""

    def __init__(
        self,
        context: SchedulingContext,
        membership: Membership,
        shards: dict[int, ShardState],
        statuses: ShardStatuses,
        gang_planner: GangPlanner,
        split: ProportionalSplit,
    ) -> None:
        self.policy = context.policy
        self.samples = context.samples
        self.membership = membership
        self.shards = shards
        self.statuses = statuses
        self.gang_planner = gang_planner
        self.split = split

    def decide(self, spec: user_api.JobSpec) -> Plan:
        """On acceptance: keep the job in a shard of ours, or UNASSIGNED to send it to the leader.

        A gang's tasks are placed at once wherever there is room for all: it has no
        stretch to compare, and a detour by the leader would only cost time.
        """
        mine = [p for p, w in self.shards.items() if w.loaded and p in self.statuses.newest]
        if not mine:
            return UNASSIGNED
        if spec.kind == user_api.GANG:
            token = self.membership.token(mine[0])
            return (token is not None and self.gang_planner.plan(spec, token)) or UNASSIGNED
        if spec.is_service:
            # Rooms are compared, not queues: it goes to the leader only if ours lack it.
            return self.gang_planner.plan_service(spec, mine) or UNASSIGNED
        if stays_in_one_shard(spec):
            best = self.gang_planner.best_shard(spec)
            if best not in mine:
                return UNASSIGNED
            ranges = [TaskRange(0, spec.tasks, best)]
            return Plan(ranges, self.gang_planner.pick_zone(spec, ranges))
        return Plan(self._keep(spec, mine))

    def _keep(self, spec: user_api.JobSpec, mine: list[int]) -> list[TaskRange]:
        """The B test on our shards; the leader splits at once what none of them keeps."""
        lowest = max(
            min((n.stretch for n in self.statuses.newest.values()), default=0.0),
            self.samples.stretches[0],
        )
        for shard in mine:
            counts = [
                self.split.cover(self.statuses.newest[shard], spec, i)
                for i in range(len(self.samples.stretches))
            ]
            level = stretch.least_cover(counts, spec.tasks)
            if level is not None and self.samples.stretches[level] <= self.policy.bound * lowest:
                self.statuses.record_allocation(shard, spec, spec.tasks)
                return [TaskRange(0, spec.tasks, shard)]
        return self.split.divide(spec) if self.membership.cluster_leader_token is not None else []

    def decide_as_leader(self, spec: user_api.JobSpec) -> Plan:
        """Place a job that its accepting controller does not keep; UNASSIGNED if unknown."""
        if self.membership.cluster_leader_token is None or spec.kind == user_api.GANG:
            return UNASSIGNED
        if stays_in_one_shard(spec):
            return self.gang_planner.plan_whole(spec) or UNASSIGNED
        if spec.is_service:
            plan = self.gang_planner.plan_service(spec, self.statuses.newest)
            if plan is not None:
                return plan
        return Plan(self.split.divide(spec))
