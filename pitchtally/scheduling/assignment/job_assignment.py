"""The cluster leader's assignment of tasks that no shard has."""

from __future__ import annotations

import msgspec

from ...jobs.index import Job
from ...jobs.job_record import merge_ranges
from ...membership.shards import CLUSTER_LEADER_SHARD
from ...state_store import keys
from ..capacity import RANK, stays_in_one_shard
from ..context import SchedulingContext
from ..quotas.quotas import Quotas
from ..range_writer import RangeWriter
from ..shards.deadlines import Deadlines
from .constrained_assignment import ConstrainedAssignment
from .proportional_split import ProportionalSplit


class JobAssignment:
    """Assigns the tasks that no shard has yet to shards, in priority order."""

    def __init__(
        self,
        context: SchedulingContext,
        deadlines: Deadlines,
        quotas: Quotas,
        constrained: ConstrainedAssignment,
        proportional_split: ProportionalSplit,
        range_writer: RangeWriter,
    ) -> None:
        self.job_index = context.job_index
        self.deadlines = deadlines
        self.quotas = quotas
        self.constrained = constrained
        self.proportional_split = proportional_split
        self.range_writer = range_writer

    async def assign(self, token: int) -> None:
        """Assign all unassigned tasks; `token` is the cluster leader's fencing token.

        Raises StoreUnavailable, OutcomeUnknown included.
        """
        for job in self._unassigned_jobs():
            assigned = _assigned_tasks(job)
            # A job may end while the previous job's record is being written.
            if assigned >= job.record.tasks or not job.open:
                continue
            if not stays_in_one_shard(job.spec):
                await self._split(job, assigned, token)
            elif not assigned:
                await self.constrained.assign(job, token)
            elif job.finished.count:
                await self.constrained.assign_unfinished(job, token)

    def _unassigned_jobs(self) -> list[Job]:
        """Return open jobs with unassigned tasks, in the order in which they should start.

        Jobs that are planned earlier get the free capacity first.
        """
        jobs = [
            job for job in self.job_index.open.values() if _assigned_tasks(job) < job.record.tasks
        ]
        jobs.sort(
            key=lambda job: (
                self.deadlines.is_overdue(job),
                not self.deadlines.is_reservation_due(job),
                RANK[job.spec.rank],
                not self.quotas.within_guarantee(job.spec),
                self.deadlines.release_time(job),
            )
        )
        return jobs

    async def _split(self, job: Job, assigned: int, token: int) -> None:
        """Split the unassigned tasks, numbered after the assigned ones, over the shards."""
        spec = job.spec
        if assigned:
            spec = msgspec.structs.replace(spec, tasks=job.record.tasks - assigned)
        split_ranges = self.proportional_split.split(spec)
        if not split_ranges:
            return
        added = ((first + assigned, end + assigned, shard) for first, end, shard in split_ranges)
        await self.range_writer.write_ranges(
            job,
            {keys.shard(CLUSTER_LEADER_SHARD): token},
            merge_ranges([*job.record.ranges, *added]),
        )


def _assigned_tasks(job: Job) -> int:
    return sum(task_range.tasks for task_range in job.record.ranges)
