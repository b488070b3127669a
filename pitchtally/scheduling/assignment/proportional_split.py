"""The paper's split of a job over shards, by their summed availability matrices."""

from __future__ import annotations

import math

from ...jobs.job_record import TaskRange
from ...jobs.resources import dominant_share, resource_request
from ...membership.messages import ShardStatus
from ...protocol import user_api
from .. import stretch
from ..capacity import allows_machine_type, stays_in_one_shard
from ..context import SchedulingContext
from ..gangs.planner import GangPlanner
from ..shards.deadlines import Deadlines
from ..shards.shard_statuses import ShardStatuses


class ProportionalSplit:
    """Splits jobs in proportion to the availability of shards."""

    def __init__(
        self,
        context: SchedulingContext,
        statuses: ShardStatuses,
        deadlines: Deadlines,
        gang_planner: GangPlanner,
    ) -> None:
        self.machine_types = context.machine_types
        self.estimates = context.estimates
        self.samples = context.samples
        self.statuses = statuses
        self.deadlines = deadlines
        self.gang_planner = gang_planner

    def cover(self, status: ShardStatus, spec: user_api.JobSpec, level: int) -> int:
        """n of a shard at a stretch sample, from its matrix, less what was sent since."""
        total = 0
        size = stretch.last_index_at_most(self.samples.sizes, self.deadlines.job_size(spec))
        sent = sum(w for _, w in self.statuses.unreported.get(status.shard, ()))
        for name, cells in status.matrix:
            type_, zone, spot = name.split("|")
            machine_type = self.machine_types().get(type_)
            if machine_type is None or not allows_machine_type(
                spec, machine_type, zone, spot == "1"
            ):
                continue
            task = self.estimates.task(spec) * dominant_share(resource_request(spec), machine_type)
            total += cells[level][size][stretch.first_index_at_least(self.samples.tasks, task)]
            if sent and total:
                total -= math.ceil(sent / max(task, 1e-6))
                sent = 0.0
        return max(0, total)

    def divide(self, spec: user_api.JobSpec) -> list[TaskRange]:
        """The leader's split: in proportion to availability at the least covering stretch."""
        if stays_in_one_shard(spec):
            best = self.gang_planner.best_shard(spec)
            return [TaskRange(0, spec.tasks, best)] if best is not None else []
        statuses = [n for n in self.statuses.newest.values() if n.matrix]
        if not statuses:
            return []
        totals = [
            sum(self.cover(n, spec, i) for n in statuses)
            for i in range(len(self.samples.stretches))
        ]
        level = stretch.least_cover(totals, spec.tasks)
        top = len(self.samples.stretches) - 1 if level is None else level
        found = [self.cover(n, spec, top) for n in statuses]
        if sum(found) == 0:
            return []
        out, first = [], 0
        for status, n in zip(
            statuses, stretch.proportional_shares(found, min(spec.tasks, sum(found))), strict=True
        ):
            if n:
                out.append(TaskRange(first, first + n, status.shard))
                self.statuses.record_allocation(status.shard, spec, n)
                first += n
        return out
