"""Returns jobs that can't start in their shard to the cluster leader for a new assignment."""

from __future__ import annotations

import trio

from ...jobs.index import Job
from ...jobs.job_record import TaskRange, merge_ranges
from ...membership.membership import Membership
from ...state_store import keys
from ...state_store.errors import StoreUnavailable
from ..capacity import is_fully_assigned, may_be_active, stays_in_one_shard
from ..context import SchedulingContext
from ..quotas.quotas import Quotas
from ..range_writer import MAX_RANGES_PER_JOB, RangeWriter
from ..shards.allocations import ShardAllocation, ShardState
from ..shards.deadlines import Deadlines
from ..shards.shard_states import ShardStates
from .reservations import is_reserved_for

# Share of `gang_wait_s` for which a job stays pending in a shard before it is returned.
_MAX_PENDING_SHARE = 1 / 2
# Factor on the time given by `_MAX_PENDING_SHARE` if machines are reserved for the job.
_RESERVED_MAX_PENDING_FACTOR = 4
# A gang whose planned machines went to other jobs is returned after this many agent heartbeats.
_LOST_PLAN_MAX_PENDING_HEARTBEATS = 2


class RangeReturn:
    """Returns the unstarted ranges of jobs that must stay in one shard, or start together.

    The cluster leader assigns the tasks that no shard has. To return a range, the shard leader
    therefore just removes it from the job's record, by a compare-and-swap under its fencing token.
    """

    def __init__(
        self,
        context: SchedulingContext,
        membership: Membership,
        shard_states: ShardStates,
        deadlines: Deadlines,
        quotas: Quotas,
        range_writer: RangeWriter,
    ) -> None:
        self.settings = context.settings
        self.agents = context.agents
        self.agent_heartbeat_s = context.agent_heartbeat_s
        self.membership = membership
        self.shard_states = shard_states
        self.deadlines = deadlines
        self.quotas = quotas
        self.range_writer = range_writer

    async def return_unstartable(self) -> None:
        """Return the ranges of jobs bound to one shard, or started together, that can't start."""
        for shard, state in list(self.shard_states.states.items()):
            token = self.membership.token(shard)
            if not state.reconciled or token is None:
                continue
            for allocation in list(state.allocations.values()):
                job = allocation.job
                if (
                    not job.open
                    or not stays_in_one_shard(job.spec)
                    or allocation.range_write_in_flight
                ):
                    continue
                if allocation.placed:
                    self._stop_if_incomplete(allocation)
                elif self._is_returnable(allocation) and self._should_return(state, allocation):
                    await self._return(state, allocation, token)

    @staticmethod
    def _is_returnable(allocation: ShardAllocation) -> bool:
        """Return whether the job has pending tasks and isn't a service over several shards."""
        if allocation.service and len(allocation.job.record.ranges) > 1:
            return False  # `ServiceMigration` migrates the missing replicas
        return allocation.pending.count > 0

    def _stop_if_incomplete(self, allocation: ShardAllocation) -> None:
        """Stop the tasks of an attempt that another shard has returned."""
        job = allocation.job
        has_finished_tasks = bool(job.finished.count or job.unwritten_tasks)
        if job.record.attempt and not is_fully_assigned(job) and not has_finished_tasks:
            for placement in list(allocation.placed.values()):
                self.agents.stop(placement, job.spec.checkpoint_grace)

    def _should_return(self, state: ShardState, allocation: ShardAllocation) -> bool:
        """Return whether a job has been pending here for too long, or its attempt has failed."""
        job = allocation.job
        has_finished_tasks = bool(job.finished.count or job.unwritten_tasks)
        attempt = job.record.attempt
        if (
            not has_finished_tasks
            and attempt
            and (allocation.last_shared_attempt == attempt or not is_fully_assigned(job))
        ):
            return True
        max_pending_s = self.settings.deployment.workers.gang_wait_s * _MAX_PENDING_SHARE
        if is_reserved_for(self.agents.of_shard(allocation.shard), job.id):
            max_pending_s *= _RESERVED_MAX_PENDING_FACTOR
        elif (
            allocation.gang
            and not has_finished_tasks
            and not self.deadlines.is_reservation_due(job)
            and job.id not in state.ready_gangs
            and self.quotas.limit_left(job.spec) >= job.spec.tasks
        ):
            # Other jobs took the machines on which the gang was planned: have it planned again.
            max_pending_s = self.agent_heartbeat_s * _LOST_PLAN_MAX_PENDING_HEARTBEATS
        return trio.current_time() - allocation.pending_since >= max_pending_s

    @staticmethod
    def _ranges_without(job: Job, shard: int) -> list[TaskRange] | None:
        """Return a job's ranges without the unfinished tasks of a shard.

        Returns None if the shard can't return them yet.
        """
        kept: list[tuple[int, int, int]] = []
        finished_tasks = job.finished_tasks()
        for first, end, owner in job.record.ranges:
            if owner != shard:
                kept.append((first, end, owner))
            else:
                # Finished tasks stay with the shard that ran them.
                kept.extend((*finished, shard) for finished in finished_tasks.runs(first, end))
        remaining = merge_ranges(kept)
        if len(remaining) <= MAX_RANGES_PER_JOB:
            return remaining
        # Too many ranges for a record: remove all of the shard's ranges, but only once its
        # finished tasks are durable.
        if job.unwritten_tasks:
            return None
        return [task_range for task_range in job.record.ranges if task_range.shard != shard]

    async def _return(self, state: ShardState, allocation: ShardAllocation, token: int) -> None:
        job, shard = allocation.job, allocation.shard
        remaining = self._ranges_without(job, shard)
        if remaining is None:
            return
        allocation.pending_since = trio.current_time()
        allocation.range_write_in_flight = True
        version = job.version
        state.ready_gangs.discard(job.id)
        try:
            await self.range_writer.write_ranges(
                job,
                {keys.shard(shard): token},
                remaining,
                zone=job.record.zone if may_be_active(job, remaining) else None,
            )
        except StoreUnavailable as error:
            await self.range_writer.resolve_job_outcome(error, job, version, shard, token)
        finally:
            allocation.range_write_in_flight = False
            if job.open:
                self.shard_states.update_allocation(job, shard)
                allocation.rebuild_pending()
