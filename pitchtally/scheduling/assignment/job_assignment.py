"""The cluster leader's loop over jobs that no controller kept."""

from __future__ import annotations

import msgspec

from ...jobs.job_record import merge
from ...membership.shards import CLUSTER_LEADER_SHARD
from ...state_store import keys
from ..capacity import RANK, stays_in_one_shard
from ..context import SchedulingContext
from ..gangs.planner import GangPlanner
from ..quotas.quotas import Quotas
from ..range_writer import RangeWriter
from ..shards.deadlines import Deadlines
from .proportional_split import ProportionalSplit


class JobAssignment:
    """Assigns the tasks that no shard has yet to shards, in the order of starts."""

    def __init__(
        self,
        context: SchedulingContext,
        deadlines: Deadlines,
        quotas: Quotas,
        gang_planner: GangPlanner,
        split: ProportionalSplit,
        range_writer: RangeWriter,
    ) -> None:
        self.job_index = context.job_index
        self.deadlines = deadlines
        self.quotas = quotas
        self.gang_planner = gang_planner
        self.split = split
        self.range_writer = range_writer

    async def assign(self, token: int) -> None:
        """Assign what is unassigned; `token` is the cluster leader's fencing token."""
        waiting = [
            job
            for job in self.job_index.open.values()
            if sum(r.tasks for r in job.record.ranges) < job.record.tasks
        ]
        # In the order of starts: what is planned first gets the room.
        waiting.sort(
            key=lambda job: (
                self.deadlines.is_overdue(job),
                not self.deadlines.is_late(job),
                RANK[job.spec.rank],
                not self.quotas.under(job.spec),
                self.deadlines.release_time(job),
            )
        )
        for job in waiting:
            have = sum(r.tasks for r in job.record.ranges)
            # A job may end while the write for the one before it is under way.
            if have >= job.record.tasks or not job.open:
                continue
            if stays_in_one_shard(job.spec):
                if not have:
                    await self.gang_planner.assign(job, token)
                elif job.finished.count:
                    await self.gang_planner.assign_rest(job, token)
                continue
            rest = (
                job.spec
                if not have
                else msgspec.structs.replace(job.spec, tasks=job.record.tasks - have)
            )
            found = self.split.divide(rest)
            if not found:
                continue
            ranges = merge([*job.record.ranges, *((a + have, b + have, p) for a, b, p in found)])
            await self.range_writer.write_ranges(
                job, {keys.shard(CLUSTER_LEADER_SHARD): token}, ranges
            )
