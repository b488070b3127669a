"""Assigns jobs whose tasks constrain one another, in the jobs' records."""

from __future__ import annotations

import logging

import msgspec

from ...jobs.index import Job
from ...jobs.job_record import TaskRange, merge_ranges
from ...jobs.task_bitmap import TaskBitmap
from ...membership.shards import CLUSTER_LEADER_SHARD
from ...protocol import user_api
from ...state_store import keys
from ..capacity import Plan, may_be_active
from ..gangs.planner import GangPlanner
from ..gangs.single_shard_planner import SingleShardPlanner
from ..quotas.quotas import Quotas
from ..range_writer import RangeWriter

log = logging.getLogger(__name__)


class ConstrainedAssignment:
    """Assigns gangs, and other jobs that stay in one shard; runs on the cluster leader."""

    def __init__(
        self,
        quotas: Quotas,
        gang_planner: GangPlanner,
        single_shard_planner: SingleShardPlanner,
        range_writer: RangeWriter,
    ) -> None:
        self.quotas = quotas
        self.gang_planner = gang_planner
        self.single_shard_planner = single_shard_planner
        self.range_writer = range_writer

    async def assign(self, job: Job, token: int) -> None:
        """Assign all tasks if a plan exists; `token` is the cluster leader's fencing token.

        Raises StoreUnavailable, OutcomeUnknown included.
        """
        plan = self._plan(job, token)
        if plan is not None:
            await self.range_writer.write_ranges(
                job,
                {keys.shard(CLUSTER_LEADER_SHARD): token},
                plan.ranges,
                zone=plan.zone,
                attempt=plan.attempt,
                zone_caps=plan.zone_caps,
            )

    def _plan(self, job: Job, token: int) -> Plan | None:
        spec = job.spec
        if spec.kind != user_api.GANG:
            return self.single_shard_planner.plan(spec)
        plan = self.gang_planner.plan(spec, token, job)
        if plan is None and spec.tasks == 1 and self.quotas.limit_left(spec):
            # The shard that has the task pending can reserve a single machine for it.
            plan = self._plan_reservation(spec)
        return plan

    def _plan_reservation(self, spec: user_api.JobSpec) -> Plan | None:
        """Plan a gang of one task on the best shard, which will reserve a machine for it."""
        plan = self.single_shard_planner.plan(spec)
        if plan is not None:
            shard = plan.ranges[0].shard
            log.info(
                "gang assigned before capacity is free job=%s shard=%d zone=%s",
                spec.id,
                shard,
                plan.zone,
            )
        return plan

    async def assign_unfinished(self, job: Job, token: int) -> None:
        """Assign the tasks that a shard returned after other tasks of the job had finished.

        If one task of a gang has finished, all of them have, so a task of a gang that is
        assigned here ends as soon as it starts. The unfinished tasks of an array that is bound
        to one zone, or spread, may go to another zone, since no task of the job is on a machine
        any more. `token` is the cluster leader's fencing token.
        """
        if may_be_active(job, job.record.ranges):
            return
        unassigned = _unassigned(job)
        count = sum(task_range.tasks for task_range in unassigned)
        spec = msgspec.structs.replace(job.spec, tasks=count)
        best = self.single_shard_planner.best_shard(spec)
        if best is None:
            return
        zone = self.single_shard_planner.pick_zone(
            spec, [TaskRange(0, count, best)], zone_bound=job.spec.tasks > 1
        )
        if zone is None and job.spec.one_zone:
            return
        log.info("unfinished tasks assigned job=%s tasks=%d shard=%d", job.id, count, best)
        await self.range_writer.write_ranges(
            job,
            {keys.shard(CLUSTER_LEADER_SHARD): token},
            merge_ranges(
                [*job.record.ranges, *((first, end, best) for first, end, _ in unassigned)]
            ),
            zone=zone,
            attempt=0,
            zone_caps=[],
        )


def _unassigned(job: Job) -> list[TaskRange]:
    """Return the tasks of a job that no shard has; the shard in these ranges is meaningless."""
    assigned = TaskBitmap(job.record.tasks)
    for first, end, _ in job.record.ranges:
        for task in range(first, end):
            assigned.add(task)
    return merge_ranges(
        (task, task + 1, 0) for task in range(job.record.tasks) if task not in assigned
    )
