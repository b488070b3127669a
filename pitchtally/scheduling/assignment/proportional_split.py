"""The paper's split of a job over shards, by their summed availability matrices."""

from __future__ import annotations

import math

from ...agents.machine import MachineGroupKey
from ...jobs.job_record import TaskRange
from ...jobs.resources import dominant_share, resource_request
from ...membership.messages import ShardStatus
from ...protocol import user_api
from .. import stretch
from ..capacity import allows_machine_type, stays_in_one_shard
from ..context import SchedulingContext
from ..gangs.single_shard_planner import SingleShardPlanner
from ..shards.deadlines import Deadlines
from ..shards.shard_statuses import ShardStatuses

# Machine-seconds: the least work of a task that what was sent to a shard is divided by.
_LEAST_TASK_WORK = 1e-6


class ProportionalSplit:
    """Splits jobs in proportion to the availability of shards (Algorithm 4 of the paper)."""

    def __init__(
        self,
        context: SchedulingContext,
        statuses: ShardStatuses,
        deadlines: Deadlines,
        single_shard_planner: SingleShardPlanner,
    ) -> None:
        self.machine_types = context.machine_types
        self.estimates = context.estimates
        self.samples = context.samples
        self.statuses = statuses
        self.deadlines = deadlines
        self.single_shard_planner = single_shard_planner

    def availability(self, status: ShardStatus, spec: user_api.JobSpec, level: int) -> int:
        """Tasks of the job that a shard accepts at the stretch sample with this index.

        The cell [S][w][a] of its availability matrices, summed over machine groups, less the
        work that was assigned since the shard computed them.
        """
        total = 0
        size = stretch.last_index_at_most(self.samples.sizes, self.deadlines.job_size(spec))
        unreported = sum(
            sent.machine_seconds for sent in self.statuses.unreported.get(status.shard, ())
        )
        for name, cells in status.matrix:
            type_, zone, spot = MachineGroupKey.parse(name)
            machine_type = self.machine_types().get(type_)
            if machine_type is None or not allows_machine_type(spec, machine_type, zone, spot):
                continue
            task = self.estimates.task(spec) * dominant_share(resource_request(spec), machine_type)
            total += cells[level][size][stretch.first_index_at_least(self.samples.tasks, task)]
            if unreported and total:
                total -= math.ceil(unreported / max(task, _LEAST_TASK_WORK))
                unreported = 0.0
        return max(0, total)

    def least_level(self, statuses: list[ShardStatus], spec: user_api.JobSpec) -> int | None:
        """Index of the least stretch sample at which these shards together cover the job."""
        totals = [
            sum(self.availability(status, spec, level) for status in statuses)
            for level in range(len(self.samples.stretches))
        ]
        return stretch.least_cover(totals, spec.tasks)

    def split(self, spec: user_api.JobSpec) -> list[TaskRange]:
        """Task ranges in proportion to the shards' availability at the least covering stretch.

        Where no sample covers the job, the largest one decides, and tasks beyond its
        availability stay unassigned. Empty if no shard has any.
        """
        if stays_in_one_shard(spec):
            best = self.single_shard_planner.best_shard(spec)
            return [TaskRange(0, spec.tasks, best)] if best is not None else []
        statuses = [status for status in self.statuses.newest.values() if status.matrix]
        if not statuses:
            return []
        level = self.least_level(statuses, spec)
        if level is None:
            level = len(self.samples.stretches) - 1
        available = [self.availability(status, spec, level) for status in statuses]
        if sum(available) == 0:
            return []
        counts = stretch.proportional_shares(available, min(spec.tasks, sum(available)))
        return self._ranges(spec, statuses, counts)

    def _ranges(
        self, spec: user_api.JobSpec, statuses: list[ShardStatus], counts: list[int]
    ) -> list[TaskRange]:
        """Consecutive ranges with these counts; each lowers its shard's availability at once."""
        ranges, first = [], 0
        for status, count in zip(statuses, counts, strict=True):
            if count:
                ranges.append(TaskRange(first, first + count, status.shard))
                self.statuses.record_allocation(status.shard, spec, count)
                first += count
        return ranges
