"""Migrates pending tasks from shards with long queues to shards with short ones."""

from __future__ import annotations

import math
from typing import NamedTuple

import trio

from ...config.clock import LONG_AGO_S
from ...membership.messages import MachineFlag, ShardStatus
from ...protocol import user_api
from ..capacity import RANK, allows_machine_type, stays_in_one_shard
from ..context import SchedulingContext
from ..range_writer import MAX_RANGES_PER_JOB
from ..shards.allocations import ShardAllocation, ShardState
from ..shards.eligibility import is_ready
from ..shards.shard_statuses import ShardStatuses
from .task_migration import TaskMigration

# A round tries at most this many jobs of a shard, those with the most pending CPUs.
_MAX_JOBS_PER_ROUND = 2
# A queue is too long if it takes longer than the shortest queue times this ratio, plus some agent
# heartbeats.
_IMBALANCE_RATIO = 1.25
_IMBALANCE_HEARTBEATS = 2
# Lower bound on a task's work, in GPU- or CPU-seconds, where queued work is divided by it.
_MIN_TASK_WORK_S = 1e-6
# Flags of machines that can start tasks now or very soon.
_STARTABLE_FLAGS = frozenset({MachineFlag.USABLE, MachineFlag.NEW})


class QueueDuration(NamedTuple):
    """The time that a shard takes to run its queue on the machines that may run a job."""

    seconds: float  # infinite if no machine of the shard may run the job
    capacity: float  # GPUs or CPUs of the machines that may run the job


class _ShortestQueue(NamedTuple):
    seconds: float
    shard: int


class QueueBalancing:
    """Balances the queues of shards, as idle machines balance the queues within a shard.

    A shard accepts a job according to the availability of its machines at that time. New
    machines, lost machines and wrong estimates change the availability while tasks are pending.
    """

    def __init__(
        self,
        context: SchedulingContext,
        shards: dict[int, ShardState],
        statuses: ShardStatuses,
        migration: TaskMigration,
    ) -> None:
        self.policy = context.policy
        self.job_index = context.job_index
        self.machine_types = context.machine_types
        self.estimates = context.estimates
        self.agent_heartbeat_s = context.agent_heartbeat_s
        self.shards = shards
        self.statuses = statuses
        self.migration = migration
        self._last_round_at = LONG_AGO_S

    async def balance(self) -> None:
        """Migrate tasks of one job of each shard led here whose queue is too long."""
        now = trio.current_time()
        if now - self._last_round_at < self.policy.heartbeat_interval:
            return  # the peers have sent no newer statuses yet
        self._last_round_at = now
        for shard, state in list(self.shards.items()):
            status = self.statuses.newest.get(shard)
            if status is None or not state.reconciled:
                continue
            for id in self._candidates(state, now):
                if await self._migrate_excess(state.allocations[id], status):
                    break

    @staticmethod
    def _candidates(state: ShardState, now: float) -> list[str]:
        """Return the jobs with the most pending CPUs that may be split over shards."""
        candidates = [
            (allocation.pending.count * allocation.job.spec.cpus, id)
            for id, allocation in state.allocations.items()
            if is_ready(state, id, allocation, now)
            and not allocation.faulty
            and not stays_in_one_shard(allocation.job.spec)
            and not allocation.service  # replicas never end; placed by free capacity instead
            and len(allocation.job.record.ranges) <= MAX_RANGES_PER_JOB
        ]
        return [id for _, id in sorted(candidates, reverse=True)[:_MAX_JOBS_PER_ROUND]]

    async def _migrate_excess(self, allocation: ShardAllocation, status: ShardStatus) -> bool:
        """Migrate enough tasks to make two queues equally long; return whether any had to move."""
        spec = allocation.job.spec
        own_seconds, capacity = self.queue_duration(status, spec)
        shortest = self._shortest_queue(allocation.shard, spec)
        if shortest is None:
            return False
        if (
            own_seconds
            <= shortest.seconds * _IMBALANCE_RATIO + self.agent_heartbeat_s * _IMBALANCE_HEARTBEATS
        ):
            return False
        count = allocation.pending.count  # all of them if no machine of the shard may run the job
        if capacity:
            resource_count = spec.gpus if spec.gpus > 0 else spec.cpus
            task_work = max(_MIN_TASK_WORK_S, resource_count * self.estimates.expected_run_s(spec))
            count = min(count, int((own_seconds - shortest.seconds) / 2 * capacity / task_work))
        if count <= 0:
            return False
        await self.migration.migrate(allocation, shortest.shard, count)
        return True

    def _shortest_queue(self, shard: int, spec: user_api.JobSpec) -> _ShortestQueue | None:
        """Return the other shard where the job's tasks would start soonest."""
        shortest: _ShortestQueue | None = None
        for status in self.statuses.newest.values():
            if (
                status.shard == shard
                or not status.reconciled
                or status.shard in self.statuses.unreported
            ):
                continue
            seconds = self.queue_duration(status, spec).seconds
            if shortest is None or seconds < shortest.seconds:
                shortest = _ShortestQueue(seconds, status.shard)
        return shortest

    def queue_duration(self, status: ShardStatus, spec: user_api.JobSpec) -> QueueDuration:
        """Return how long a shard takes to run the tasks queued ahead of such a job.

        Work and capacity are counted in GPUs for jobs that request some, else in CPUs, over the
        machines that may run the job.
        """
        by_gpus = spec.gpus > 0
        capacity = self._capacity(status, spec, by_gpus=by_gpus)
        if not capacity:
            return QueueDuration(math.inf, 0.0)
        queued_work = 0.0
        for id, count in status.pending.items():
            job = self.job_index.open.get(id)
            if job is None or RANK[job.spec.rank] > RANK[spec.rank]:
                continue
            resource_count = job.spec.gpus if by_gpus else job.spec.cpus
            queued_work += count * resource_count * self.estimates.expected_run_s(job.spec)
        return QueueDuration(queued_work / capacity, capacity)

    def _capacity(self, status: ShardStatus, spec: user_api.JobSpec, *, by_gpus: bool) -> float:
        """Return the number of GPUs or CPUs of a shard's machines that may run the job."""
        capacity = 0.0
        for (type_name, zone, spot), machines in self.statuses.groups_of(status).items():
            machine_type = self.machine_types().get(type_name)
            if machine_type is not None and allows_machine_type(spec, machine_type, zone, spot):
                machine_count = sum(1 for machine in machines if machine.flag in _STARTABLE_FLAGS)
                capacity += machine_count * (machine_type.gpus if by_gpus else machine_type.cpus)
        return capacity
