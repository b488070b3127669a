"""The paper's split of a job over shards, in proportion to their availability."""

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

# Machine-seconds: lower bound on a task's work where unreported work is divided by it.
_MIN_TASK_MACHINE_S = 1e-6


class ProportionalSplit:
    """Splits jobs in proportion to the availability of shards (algorithm 4 of the paper)."""

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

    def availability(self, status: ShardStatus, spec: user_api.JobSpec, stretch_index: int) -> int:
        """Return how many tasks of the job a shard accepts at the stretch sample with this index.

        This is the cell [S][w][a] of the shard's availability matrices, summed over machine
        groups, less the work assigned since the shard computed them.
        """
        total = 0
        size_index = stretch.last_index_at_most(self.samples.sizes, self.deadlines.job_size(spec))
        unreported = sum(
            allocation.machine_seconds
            for allocation in self.statuses.unreported.get(status.shard, ())
        )
        for name, cells in status.matrix:
            type_name, zone, spot = MachineGroupKey.parse(name)
            machine_type = self.machine_types().get(type_name)
            if machine_type is None or not allows_machine_type(spec, machine_type, zone, spot):
                continue
            work_per_task = self.estimates.expected_run_s(spec) * dominant_share(
                resource_request(spec), machine_type
            )
            total += cells[stretch_index][size_index][
                stretch.first_index_at_least(self.samples.task_work, work_per_task)
            ]
            if unreported and total:
                total -= math.ceil(unreported / max(work_per_task, _MIN_TASK_MACHINE_S))
                unreported = 0.0
        return max(0, total)

    def least_covering_index(
        self, statuses: list[ShardStatus], spec: user_api.JobSpec
    ) -> int | None:
        """Return the index of the least stretch sample at which these shards cover the job.

        Returns None if they don't cover it at any sample.
        """
        totals = [
            sum(self.availability(status, spec, stretch_index) for status in statuses)
            for stretch_index in range(len(self.samples.stretches))
        ]
        return stretch.first_covering_index(totals, spec.tasks)

    def split(self, spec: user_api.JobSpec) -> list[TaskRange]:
        """Return task ranges in proportion to availability at the least stretch that covers a job.

        If no stretch sample covers the job, the largest one is used, and tasks beyond the
        availability there stay unassigned. Returns no ranges if no shard has any availability.
        """
        if stays_in_one_shard(spec):
            best = self.single_shard_planner.best_shard(spec)
            return [TaskRange(0, spec.tasks, best)] if best is not None else []
        statuses = [status for status in self.statuses.newest.values() if status.matrix]
        if not statuses:
            return []
        stretch_index = self.least_covering_index(statuses, spec)
        if stretch_index is None:
            stretch_index = len(self.samples.stretches) - 1
        available = [self.availability(status, spec, stretch_index) for status in statuses]
        if sum(available) == 0:
            return []
        counts = stretch.proportional_shares(available, min(spec.tasks, sum(available)))
        return self._ranges(spec, statuses, counts)

    def _ranges(
        self, spec: user_api.JobSpec, statuses: list[ShardStatus], counts: list[int]
    ) -> list[TaskRange]:
        """Return consecutive ranges with these counts, and record each with its shard."""
        ranges, first = [], 0
        for status, count in zip(statuses, counts, strict=True):
            if count:
                ranges.append(TaskRange(first, first + count, status.shard))
                self.statuses.record_allocation(status.shard, spec, count)
                first += count
        return ranges
