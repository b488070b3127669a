"""Migrates pending tasks to shards that have free capacity for them now."""

from __future__ import annotations

import trio

from ...config.clock import LONG_AGO_S
from ...membership.messages import ShardStatus
from ...protocol import user_api
from ..capacity import displacement_ratio, stays_in_one_shard
from ..context import SchedulingContext
from ..quotas.quotas import Quotas
from ..range_writer import MAX_RANGES_PER_JOB
from ..shards.allocations import ShardAllocation, ShardState
from ..shards.eligibility import is_ready
from ..shards.shard_statuses import ShardStatuses
from .task_migration import TaskMigration

# A shard tries to migrate at most this many pending jobs between two statuses of its peers.
_MAX_JOBS_PER_ROUND = 24
# A task that has been pending for less may still be started by the next agent heartbeat.
_MIN_PENDING_S = 0.5


class Rebalancing:
    """Migrates tasks without capacity in the shards led here to the first shard that has some."""

    def __init__(
        self,
        context: SchedulingContext,
        shards: dict[int, ShardState],
        statuses: ShardStatuses,
        quotas: Quotas,
        migration: TaskMigration,
    ) -> None:
        self.policy = context.policy
        self.job_index = context.job_index
        self.shards = shards
        self.statuses = statuses
        self.quotas = quotas
        self.migration = migration
        self._last_round_at = LONG_AGO_S

    async def rebalance(self) -> None:
        """Migrate pending tasks to shards that could start them now besides their own tasks."""
        now = trio.current_time()
        if now - self._last_round_at < self.policy.heartbeat_interval:
            return  # the peers have sent no newer statuses yet
        self._last_round_at = now
        for shard, state in list(self.shards.items()):
            status = self.statuses.newest.get(shard)
            if status is None or not state.reconciled:
                continue
            for id in self._candidates(state, now):
                if self.shards.get(shard) is not state:
                    break  # the shard was lost while its tasks were being migrated
                allocation = state.allocations.get(id)
                if allocation is None or not is_ready(state, id, allocation, now):
                    continue
                if self._may_migrate(allocation):
                    await self._migrate_to_free_capacity(allocation, status)

    @staticmethod
    def _candidates(state: ShardState, now: float) -> list[str]:
        """Return jobs with tasks that have been pending for a while, by rank and release time."""
        candidates = [
            (allocation.rank, allocation.release, id)
            for id, allocation in state.allocations.items()
            if allocation.pending.count
            and not allocation.faulty
            and is_ready(state, id, allocation, now)
            and now - allocation.pending_since >= _MIN_PENDING_S
        ]
        return [id for _, _, id in sorted(candidates)[:_MAX_JOBS_PER_ROUND]]

    @staticmethod
    def _may_migrate(allocation: ShardAllocation) -> bool:
        spec, record = allocation.job.spec, allocation.job.record
        if spec.tasks > 1 and spec.one_zone:
            return False  # the job's zone is fixed, so `RangeReturn` returns it to the leader
        if len(record.ranges) > MAX_RANGES_PER_JOB:
            return False
        has_started = allocation.placed or allocation.pending.count < spec.tasks or record.attempt
        return not (stays_in_one_shard(spec) and has_started)

    async def _migrate_to_free_capacity(
        self, allocation: ShardAllocation, status: ShardStatus
    ) -> None:
        """Migrate the tasks without capacity in this shard to the first shard that has some."""
        spec, pending = allocation.job.spec, allocation.pending.count
        startable = self.statuses.free_capacity(status, spec, by_preemption=False)
        if not stays_in_one_shard(spec):
            startable = min(startable, self.quotas.tasks_within_limit(allocation.shard, spec))
        elif allocation.job.id in status.reserved_jobs:
            return
        # A job that must stay in one shard waits for quota where it has capacity, since quota
        # is transferred to that shard. If the job migrated, each transfer would go to the shard
        # that it has just left.
        if startable >= pending:
            return
        for other_status in self.statuses.newest.values():
            if other_status.shard == allocation.shard or not other_status.reconciled:
                continue
            count = self._migratable(spec, other_status, pending - startable)
            if count > 0:
                await self.migration.migrate(allocation, other_status.shard, count)
                return

    def _migratable(
        self, spec: user_api.JobSpec, target_status: ShardStatus, max_tasks: int
    ) -> int:
        """Return how many tasks another shard can start now, according to its newest status."""
        available = self.statuses.free_capacity(target_status, spec, by_preemption=False)
        unreported = len(self.statuses.unreported.get(target_status.shard, ()))
        if stays_in_one_shard(spec):
            return spec.tasks if available - unreported >= spec.tasks else 0
        if unreported:
            return 0
        available -= sum(
            count
            for id, count in target_status.pending.items()
            if displacement_ratio(spec, self.job_index.open.get(id)) > 0
        )
        return min(available, max_tasks)
