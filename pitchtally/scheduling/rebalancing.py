"""Parts give unstarted tasks to shards that start them sooner."""

from __future__ import annotations

import logging
import math
from typing import TYPE_CHECKING

import trio

from ..jobs.job_record import merge
from ..membership.messages import MachineFlag, ShardStatus
from ..protocol import user_api
from ..state_store import keys
from ..state_store.errors import StoreUnavailable
from .allocations import ShardAllocation
from .capacity import RANK, allows_machine_type, stays_in_one_shard
from .component import SchedulerComponent
from .gangs import RANGES

if TYPE_CHECKING:
    from .scheduler import Scheduler

log = logging.getLogger("rebalancing")


# Waiting jobs that a shard offers to others between two statuses from them.
_BALANCE = 24
# A task that has waited for less may still start with the next report.
LEAST_WAIT_S = 0.5
# Machines that take work now or very soon.
ABLE_FLAGS = frozenset({MachineFlag.USABLE, MachineFlag.NEW})


class Rebalancing(SchedulerComponent):
    """Parts give unstarted tasks to shards that start them sooner."""

    def __init__(self, scheduler: Scheduler) -> None:
        super().__init__(scheduler)
        self.evened_out_at = -1e9
        self.balanced_at = -1e9

    async def rebalance(self) -> None:
        """Give unstarted tasks to a shard that could start them now and has none queued."""
        now = trio.current_time()
        if now - self.balanced_at < self.policy.heartbeat_interval:
            return  # peers' statuses are no newer
        self.balanced_at = now
        for shard, work in list(self.scheduler.shards.work.items()):
            status = self.scheduler.statuses.newest.get(shard)
            if status is None or not work.reconciled:
                continue
            rows = [
                (h.rank, h.release, id)
                for id, h in work.allocations.items()
                if h.pending.count
                and not h.faulty
                and self.scheduler.shards.ready(work, id, h, now)
                and now - h.since >= LEAST_WAIT_S
            ]
            for _, _, id in sorted(rows)[:_BALANCE]:
                if self.scheduler.shards.work.get(shard) is not work:
                    break  # lost while tasks of it were being given away
                allocation = work.allocations.get(id)
                if allocation is None or not self.scheduler.shards.ready(work, id, allocation, now):
                    continue
                if self._may_move(allocation):
                    await self._move_where_free(allocation, status)

    @staticmethod
    def _may_move(allocation: ShardAllocation) -> bool:
        spec, record = allocation.job.spec, allocation.job.record
        if spec.tasks > 1 and spec.one_zone:
            return False  # its zone is fixed: it goes back to the leader instead
        if len(record.ranges) > RANGES:
            return False
        begun = allocation.placed or allocation.pending.count < spec.tasks or record.attempt
        return not (stays_in_one_shard(spec) and begun)

    async def _move_where_free(self, allocation: ShardAllocation, status: ShardStatus) -> None:
        """Give the tasks that find no room here to the first shard that has some."""
        spec, waiting = allocation.job.spec, allocation.pending.count
        here = self.scheduler.statuses.free_capacity(status, spec, yielding=False)
        if not stays_in_one_shard(spec):
            here = min(here, self.scheduler.quotas.tasks_within_limit(allocation.shard, spec))
        elif allocation.job.id in status.reserved:
            return
        # A whole job stays where it has room: share comes to it. Sent after
        # share, it would be in another shard each time that share arrives.
        if here >= waiting:
            return
        for other in self.scheduler.statuses.newest.values():
            if other.shard == allocation.shard or not other.reconciled:
                continue
            count = self._movable(spec, other, waiting - here)
            if count > 0:
                await self.give(allocation, other.shard, count)
                return

    def _movable(self, spec: user_api.JobSpec, other: ShardStatus, most: int) -> int:
        """How many tasks another shard can start now, as far as its status tells."""
        there = self.scheduler.statuses.free_capacity(other, spec, yielding=False)
        sent = len(self.scheduler.statuses.unreported.get(other.shard, ()))
        if stays_in_one_shard(spec):
            return spec.tasks if there - sent >= spec.tasks else 0
        if sent:
            return 0
        there -= sum(n for j, n in other.waiting.items() if self.share_ratio(spec, j) > 0)
        return min(there, most)

    async def balance_queues(self) -> None:
        """Even out the shards' queues: the design's idle machines, one level up.

        A part splits a job by what its machines promised on arrival; boots, lost
        machines and wrong estimates change that while the tasks still wait.
        """
        now = trio.current_time()
        if now - self.evened_out_at < self.policy.heartbeat_interval:
            return
        self.evened_out_at = now
        for shard, work in list(self.scheduler.shards.work.items()):
            status = self.scheduler.statuses.newest.get(shard)
            if status is None or not work.reconciled:
                continue
            rows = [
                (h.pending.count * h.job.spec.cpus, id)
                for id, h in work.allocations.items()
                if self.scheduler.shards.ready(work, id, h, now)
                and not h.faulty
                and not stays_in_one_shard(h.job.spec)
                and not h.service  # it goes where there is room, not to a shorter queue
                and len(h.job.record.ranges) <= RANGES
            ]
            for _, id in sorted(rows, reverse=True)[:2]:
                allocation = work.allocations[id]
                spec = allocation.job.spec
                here, width = self.drain_time(status, spec)
                best: tuple[float, int] | None = None
                for other in self.scheduler.statuses.newest.values():
                    if (
                        other.shard == shard
                        or not other.reconciled
                        or other.shard in self.scheduler.statuses.unreported
                    ):
                        continue
                    there, _ = self.drain_time(other, spec)
                    if best is None or there < best[0]:
                        best = (there, other.shard)
                if best is None or here <= best[0] * 1.25 + self.report_s * 2:
                    continue
                amount = spec.gpus if spec.gpus > 0 else spec.cpus
                task = max(1e-6, amount * self.scheduler.estimates.task(spec))
                count = allocation.pending.count  # all, where no machine here may run it
                if width:
                    count = min(count, int((here - best[0]) / 2 * width / task))
                if count > 0:
                    await self.give(allocation, best[1], count)
                    break

    def drain_time(self, status: ShardStatus, spec: user_api.JobSpec) -> tuple[float, float]:
        """Seconds that a shard needs for what waits there ahead of such a job, and its width.

        Counted in cards for jobs that take cards, else in CPUs, over the machines
        that may run the job.
        """
        cards = spec.gpus > 0
        width = 0.0
        for (type_, zone, spot), machines in self.scheduler.statuses.groups_of(status).items():
            machine_type = self.types().get(type_)
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
        for id, count in status.waiting.items():
            job = self.job_index.open.get(id)
            if job is None or RANK[job.spec.rank] > RANK[spec.rank]:
                continue
            amount = job.spec.gpus if cards else job.spec.cpus
            work += count * amount * self.scheduler.estimates.task(job.spec)
        return work / width, width

    async def give(
        self,
        allocation: ShardAllocation,
        to: int,
        count: int,
        caps: list[tuple[int, str, int]] | None = None,
    ) -> None:
        """Tasks that are nowhere go to another shard, in one conditional write.

        `caps`, if given, are the job's new ones (see `Record.caps`).
        """
        job, shard = allocation.job, allocation.shard
        token = self.membership.token(shard)
        if token is None:
            return
        carved = allocation.pending.carve(count)
        allocation.moving = True
        version = job.version
        try:
            ranges: list[tuple[int, int, int]] = []
            for a, b, p in job.record.ranges:
                if p != shard:
                    ranges.append((a, b, p))
                    continue
                cuts = sorted((max(a, x), min(b, y)) for x, y in carved if x < b and y > a)
                for x, y in cuts:
                    ranges += [(a, x, shard), (x, y, to)]
                    a = y
                ranges.append((a, b, shard))
            more = {} if caps is None else {"caps": caps}
            if await self.scheduler.write_ranges(
                job, {keys.shard(shard): token}, merge(ranges), **more
            ):
                self.scheduler.statuses.record_allocation(to, job.spec, count)
                log.debug("gave job=%s tasks=%d from=%d to=%d", job.id, count, shard, to)
        except StoreUnavailable as error:
            # Perhaps it was done, or will be: until it can't, the tasks start nowhere.
            await self.scheduler.resolve_job_outcome(error, job, version, shard, token)
        finally:
            allocation.moving = False
            if job.open:
                allocation.rebuild()

    def share_ratio(self, spec: user_api.JobSpec, other: str) -> float:
        """How much a waiting task of another job stands in this one's way."""
        job = self.job_index.open.get(other)
        if job is None or RANK[job.spec.rank] > RANK[spec.rank]:
            return 0.0
        return min(1.0, job.spec.cpus / max(spec.cpus, 1e-3))
