"""Jobs that can't start in their shard, returned to the cluster leader for a new assignment."""

from __future__ import annotations

import trio

from ...jobs.index import Job
from ...jobs.job_record import TaskRange, merge
from ...membership.membership import Membership
from ...state_store import keys
from ...state_store.errors import StoreUnavailable
from ..capacity import is_fully_assigned, may_be_active, stays_in_one_shard
from ..context import SchedulingContext
from ..quotas.quotas import Quotas
from ..range_writer import MAX_RANGES, RangeWriter
from ..shards.allocations import ShardAllocation, ShardState
from ..shards.deadlines import Deadlines
from ..shards.shard_states import ShardStates
from .reservations import is_reserved_for

# Of `gang_wait_s`: how long a job stays pending in a shard before it is returned.
_WAIT_SHARE = 1 / 2
# So many times as long if machines are reserved for it.
_RESERVED_WAIT_FACTOR = 4
# Agent heartbeats that a gang stays pending whose planned machines went to other jobs.
_LOST_PLAN_HEARTBEATS = 2


class RangeReturn:
    """Returns the ranges of jobs that must stay in one shard, or start together, unstarted.

    The cluster leader assigns what no shard has, so a return just removes our shard's ranges
    from the job's record, by a compare-and-swap under our fencing token.
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
        """Return the ranges of every such job of our shards that can't start there."""
        for shard, state in list(self.shard_states.states.items()):
            token = self.membership.token(shard)
            if not state.reconciled or token is None:
                continue
            for allocation in list(state.allocations.values()):
                job = allocation.job
                if not job.open or not stays_in_one_shard(job.spec) or allocation.moving:
                    continue
                if allocation.placed:
                    self._stop_if_incomplete(allocation)
                elif self._is_returnable(allocation) and self._should_return(state, allocation):
                    await self._return(state, allocation, token)

    @staticmethod
    def _is_returnable(allocation: ShardAllocation) -> bool:
        """Whether it has pending tasks, and isn't a service that runs in other shards too."""
        if allocation.service and len(allocation.job.record.ranges) > 1:
            return False  # its missing replicas migrate, see `ServiceMigration`
        return allocation.pending.count > 0

    def _stop_if_incomplete(self, allocation: ShardAllocation) -> None:
        """Stop the tasks of an attempt that another shard has returned."""
        job = allocation.job
        begun = bool(job.finished.count or job.local)
        if job.record.attempt and not is_fully_assigned(job) and not begun:
            for placement in list(allocation.placed.values()):
                self.agents.stop(placement, job.spec.save)

    def _should_return(self, state: ShardState, allocation: ShardAllocation) -> bool:
        """Whether a job has been pending here for too long, or its attempt has failed."""
        job = allocation.job
        begun = bool(job.finished.count or job.local)
        attempt = job.record.attempt
        if (
            not begun
            and attempt
            and (allocation.last_shared_attempt == attempt or not is_fully_assigned(job))
        ):
            return True
        wait = self.settings.deployment.workers.gang_wait_s * _WAIT_SHARE
        if is_reserved_for(self.agents.of_shard(allocation.shard), job.id):
            wait *= _RESERVED_WAIT_FACTOR
        elif (
            allocation.gang
            and not begun
            and not self.deadlines.is_reservation_due(job)
            and job.id not in state.ready_gangs
            and self.quotas.limit_left(job.spec) >= job.spec.tasks
        ):
            # Other jobs took the machines that it was planned on: have it planned anew at once.
            wait = self.agent_heartbeat_s * _LOST_PLAN_HEARTBEATS
        return trio.current_time() - allocation.pending_since >= wait

    @staticmethod
    def _ranges_without(job: Job, shard: int) -> list[TaskRange] | None:
        """A job's ranges once a shard has returned its unfinished tasks; None: not possible yet."""
        kept: list[tuple[int, int, int]] = []
        for first, end, other in job.record.ranges:
            if other != shard:
                kept.append((first, end, other))
            else:
                # Finished tasks stay with the shard that ran them.
                done = (task for task in range(first, end) if job.is_finished(task))
                kept.extend((task, task + 1, shard) for task in done)
        remaining = merge(kept)
        if len(remaining) <= MAX_RANGES:
            return remaining
        # Too many ranges for a record: all of ours go, once what is finished is durable.
        if job.local:
            return None
        return [r for r in job.record.ranges if r.shard != shard]

    async def _return(self, state: ShardState, allocation: ShardAllocation, token: int) -> None:
        job, shard = allocation.job, allocation.shard
        remaining = self._ranges_without(job, shard)
        if remaining is None:
            return
        allocation.pending_since = trio.current_time()
        allocation.moving = True
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
            allocation.moving = False
            if job.open:
                self.shard_states.update_allocation(job, shard)
                allocation.rebuild_pending()
