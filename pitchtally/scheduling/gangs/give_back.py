"""Jobs that can't start whole in their shard, given back to the cluster leader."""

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
from ..range_writer import MOST_RANGES, RangeWriter
from ..shards.allocations import ShardAllocation, ShardState
from ..shards.deadlines import Deadlines
from ..shards.shard_states import ShardStates
from .reservations import is_reserved_for


class GiveBack:
    """Gives jobs that must stay whole back to the cluster leader for a new assignment."""

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

    async def give_back(self) -> None:
        """Whole jobs that can't start here go back to the leader, for a fresh look."""
        for shard, work in list(self.shard_states.states.items()):
            token = self.membership.token(shard)
            if not work.reconciled or token is None:
                continue
            for allocation in list(work.allocations.values()):
                job = allocation.job
                if not job.open or not stays_in_one_shard(job.spec) or allocation.moving:
                    continue
                if allocation.placed:
                    self._stop_if_incomplete(allocation)
                elif self._alone(allocation) and self._gives_up(work, allocation):
                    await self._give_back(work, allocation, token)

    @staticmethod
    def _alone(allocation: ShardAllocation) -> bool:
        """Whether it has tasks that wait, and isn't a service that runs in other shards too."""
        if allocation.service and len(allocation.job.record.ranges) > 1:
            return False  # what it lacks moves alone, see `ServiceMigration`
        return allocation.pending.count > 0

    def _stop_if_incomplete(self, allocation: ShardAllocation) -> None:
        """Stop the tasks of an attempt that another shard has given up."""
        job = allocation.job
        begun = bool(job.finished.count or job.local)
        if job.record.attempt and not is_fully_assigned(job) and not begun:
            for placement in list(allocation.placed.values()):
                self.agents.stop(placement, job.spec.save)

    def _gives_up(self, work: ShardState, allocation: ShardAllocation) -> bool:
        """Whether a job has waited here in vain, or its attempt has failed."""
        job = allocation.job
        begun = bool(job.finished.count or job.local)
        attempt = job.record.attempt
        if (
            not begun
            and attempt
            and (allocation.last_shared_attempt == attempt or not is_fully_assigned(job))
        ):
            return True
        patience = self.settings.deployment.workers.gang_wait_s / 2
        if is_reserved_for(self.agents.of_shard(allocation.shard), job.id):
            patience *= 4
        elif (
            allocation.gang
            and not begun
            and not self.deadlines.is_late(job)
            and job.id not in work.ready_gangs
            and self.quotas.limit_left(job.spec) >= job.spec.tasks
        ):
            # What it was planned on went to others: look elsewhere at once.
            patience = self.agent_heartbeat_s * 2
        return trio.current_time() - allocation.pending_since >= patience

    def _without(self, job: Job, shard: int) -> list[TaskRange] | None:
        """A job's ranges once a shard has given its rest back; None if that must wait."""
        # What is done stays with the shard that did it.
        rest = merge(
            (a, b, p)
            for first, end, p in job.record.ranges
            for a, b in (
                [(first, end)]
                if p != shard
                else [(t, t + 1) for t in range(first, end) if job.is_finished(t)]
            )
        )
        if len(rest) <= MOST_RANGES:
            return rest
        # Too many pieces for a record: all of it goes, once what is done is durable.
        if job.local:
            return None
        return [r for r in job.record.ranges if r.shard != shard]

    async def _give_back(self, work: ShardState, allocation: ShardAllocation, token: int) -> None:
        job, shard = allocation.job, allocation.shard
        rest = self._without(job, shard)
        if rest is None:
            return
        allocation.pending_since = trio.current_time()
        allocation.moving = True
        version = job.version
        work.ready_gangs.discard(job.id)
        try:
            await self.range_writer.write_ranges(
                job,
                {keys.shard(shard): token},
                rest,
                zone=job.record.zone if may_be_active(job, rest) else None,
            )
        except StoreUnavailable as error:
            await self.range_writer.resolve_job_outcome(error, job, version, shard, token)
        finally:
            allocation.moving = False
            if job.open:
                self.shard_states.update_allocation(job, shard)
                allocation.rebuild()
