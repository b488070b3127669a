"""Shards give unstarted tasks to shards that start them sooner."""

from __future__ import annotations

import math

import trio

from ...membership.messages import MachineFlag, ShardStatus
from ...protocol import user_api
from ..capacity import RANK, allows_machine_type, share_ratio, stays_in_one_shard
from ..context import SchedulingContext
from ..quotas.quotas import Quotas
from ..range_writer import MOST_RANGES
from ..shards.allocations import ShardAllocation, ShardState
from ..shards.eligibility import is_ready
from ..shards.shard_statuses import ShardStatuses
from .task_transfer import TaskTransfer

# Waiting jobs that a shard offers to others between two statuses from them.
_BALANCE = 24
# A task that has waited for less may still start with the next report.
LEAST_WAIT_S = 0.5
# Machines that take work now or very soon.
ABLE_FLAGS = frozenset({MachineFlag.USABLE, MachineFlag.NEW})


class Rebalancing:
    """Shards give unstarted tasks to shards that start them sooner."""

    def __init__(
        self,
        context: SchedulingContext,
        shards: dict[int, ShardState],
        statuses: ShardStatuses,
        quotas: Quotas,
        transfer: TaskTransfer,
    ) -> None:
        self.policy = context.policy
        self.job_index = context.job_index
        self.machine_types = context.machine_types
        self.estimates = context.estimates
        self.agent_heartbeat_s = context.agent_heartbeat_s
        self.shards = shards
        self.statuses = statuses
        self.quotas = quotas
        self.transfer = transfer
        self.evened_out_at = -1e9
        self.balanced_at = -1e9

    async def rebalance(self) -> None:
        """Give unstarted tasks to a shard that could start them now and has none queued."""
        now = trio.current_time()
        if now - self.balanced_at < self.policy.heartbeat_interval:
            return  # peers' statuses are no newer
        self.balanced_at = now
        for shard, work in list(self.shards.items()):
            status = self.statuses.newest.get(shard)
            if status is None or not work.reconciled:
                continue
            rows = [
                (h.rank, h.release, id)
                for id, h in work.allocations.items()
                if h.pending.count
                and not h.faulty
                and is_ready(work, id, h, now)
                and now - h.pending_since >= LEAST_WAIT_S
            ]
            for _, _, id in sorted(rows)[:_BALANCE]:
                if self.shards.get(shard) is not work:
                    break  # lost while tasks of it were being given away
                allocation = work.allocations.get(id)
                if allocation is None or not is_ready(work, id, allocation, now):
                    continue
                if self._may_move(allocation):
                    await self._move_where_free(allocation, status)

    @staticmethod
    def _may_move(allocation: ShardAllocation) -> bool:
        spec, record = allocation.job.spec, allocation.job.record
        if spec.tasks > 1 and spec.one_zone:
            return False  # its zone is fixed: it goes back to the leader instead
        if len(record.ranges) > MOST_RANGES:
            return False
        begun = allocation.placed or allocation.pending.count < spec.tasks or record.attempt
        return not (stays_in_one_shard(spec) and begun)

    async def _move_where_free(self, allocation: ShardAllocation, status: ShardStatus) -> None:
        """Give the tasks that find no room here to the first shard that has some."""
        spec, waiting = allocation.job.spec, allocation.pending.count
        here = self.statuses.free_capacity(status, spec, by_preemption=False)
        if not stays_in_one_shard(spec):
            here = min(here, self.quotas.tasks_within_limit(allocation.shard, spec))
        elif allocation.job.id in status.reserved_jobs:
            return
        # A whole job stays where it has room: share comes to it. Sent after
        # share, it would be in another shard each time that share arrives.
        if here >= waiting:
            return
        for other in self.statuses.newest.values():
            if other.shard == allocation.shard or not other.reconciled:
                continue
            count = self._movable(spec, other, waiting - here)
            if count > 0:
                await self.transfer.give(allocation, other.shard, count)
                return

    def _movable(self, spec: user_api.JobSpec, other: ShardStatus, most: int) -> int:
        """How many tasks another shard can start now, as far as its status tells."""
        there = self.statuses.free_capacity(other, spec, by_preemption=False)
        sent = len(self.statuses.unreported.get(other.shard, ()))
        if stays_in_one_shard(spec):
            return spec.tasks if there - sent >= spec.tasks else 0
        if sent:
            return 0
        there -= sum(
            n for j, n in other.pending.items() if share_ratio(spec, self.job_index.open.get(j)) > 0
        )
        return min(there, most)

    async def balance_queues(self) -> None:
        """Even out the shards' queues: the design's idle machines, one level up.

        A shard splits a job by what its machines promised on arrival; boots, lost
        machines and wrong estimates change that while the tasks still wait.
        """
        now = trio.current_time()
        if now - self.evened_out_at < self.policy.heartbeat_interval:
            return
        self.evened_out_at = now
        for shard, work in list(self.shards.items()):
            status = self.statuses.newest.get(shard)
            if status is None or not work.reconciled:
                continue
            rows = [
                (h.pending.count * h.job.spec.cpus, id)
                for id, h in work.allocations.items()
                if is_ready(work, id, h, now)
                and not h.faulty
                and not stays_in_one_shard(h.job.spec)
                and not h.service  # it goes where there is room, not to a shorter queue
                and len(h.job.record.ranges) <= MOST_RANGES
            ]
            for _, id in sorted(rows, reverse=True)[:2]:
                allocation = work.allocations[id]
                spec = allocation.job.spec
                here, width = self.drain_time(status, spec)
                best: tuple[float, int] | None = None
                for other in self.statuses.newest.values():
                    if (
                        other.shard == shard
                        or not other.reconciled
                        or other.shard in self.statuses.unreported
                    ):
                        continue
                    there, _ = self.drain_time(other, spec)
                    if best is None or there < best[0]:
                        best = (there, other.shard)
                if best is None or here <= best[0] * 1.25 + self.agent_heartbeat_s * 2:
                    continue
                amount = spec.gpus if spec.gpus > 0 else spec.cpus
                task = max(1e-6, amount * self.estimates.task(spec))
                count = allocation.pending.count  # all, where no machine here may run it
                if width:
                    count = min(count, int((here - best[0]) / 2 * width / task))
                if count > 0:
                    await self.transfer.give(allocation, best[1], count)
                    break

    def drain_time(self, status: ShardStatus, spec: user_api.JobSpec) -> tuple[float, float]:
        """Seconds that a shard needs for what waits there ahead of such a job, and its width.

        Counted in cards for jobs that take cards, else in CPUs, over the machines
        that may run the job.
        """
        cards = spec.gpus > 0
        width = 0.0
        for (type_, zone, spot), machines in self.statuses.groups_of(status).items():
            machine_type = self.machine_types().get(type_)
            if machine_type is not None and allows_machine_type(spec, machine_type, zone, spot):
                able = sum(
                    1
                    for machine in machines
                    if machine.flag in (MachineFlag.USABLE, MachineFlag.NEW)
                )
                width += able * (machine_type.gpus if cards else machine_type.cpus)
        if not width:
            return math.inf, 0.0
        work = 0.0
        for id, count in status.pending.items():
            job = self.job_index.open.get(id)
            if job is None or RANK[job.spec.rank] > RANK[spec.rank]:
                continue
            amount = job.spec.gpus if cards else job.spec.cpus
            work += count * amount * self.estimates.task(job.spec)
        return work / width, width
