"""Parts give unstarted tasks to parts that start them sooner."""

from __future__ import annotations

import logging
import math
from typing import TYPE_CHECKING

import trio

from .. import wire
from ..store import StoreDown
from .capacity import (
    RANK,
    group_ok,
    whole,
)
from .component import SchedulerComponent
from .gangs import RANGES
from .holdings import Holding
from .job_records import merge
from .messages import MachineFlag, PartStatus

if TYPE_CHECKING:
    from .split import Split

log = logging.getLogger("rebalancing")


# Waiting jobs that a part offers to others between two statuses from them.
_BALANCE = 24
# A task that has waited for less may still start with the next report.
LEAST_WAIT_S = 0.5
# Machines that take work now or very soon.
ABLE_FLAGS = frozenset({MachineFlag.USABLE, MachineFlag.NEW})


class Rebalancing(SchedulerComponent):
    """Parts give unstarted tasks to parts that start them sooner."""

    def __init__(self, split: Split) -> None:
        super().__init__(split)
        self.evened_out_at = -1e9
        self.balanced_at = -1e9

    async def rebalance(self) -> None:
        """Give unstarted tasks to a part that could start them now and has none queued."""
        now = trio.current_time()
        if now - self.balanced_at < self.policy.heartbeat_interval:
            return  # peers' statuses are no newer
        self.balanced_at = now
        for part, work in list(self.split.parts.work.items()):
            status = self.split.statuses.newest.get(part)
            if status is None or not work.settled:
                continue
            rows = [
                (h.rank, h.release, id)
                for id, h in work.holdings.items()
                if h.pool.count
                and not h.faulty
                and self.split.parts.ready(work, id, h, now)
                and now - h.since >= LEAST_WAIT_S
            ]
            for _, _, id in sorted(rows)[:_BALANCE]:
                if self.split.parts.work.get(part) is not work:
                    break  # lost while tasks of it were being given away
                holding = work.holdings.get(id)
                if holding is None or not self.split.parts.ready(work, id, holding, now):
                    continue
                if self._may_move(holding):
                    await self._move_where_free(holding, status)

    @staticmethod
    def _may_move(holding: Holding) -> bool:
        spec, record = holding.job.spec, holding.job.record
        if spec.tasks > 1 and spec.one_zone:
            return False  # its zone is fixed: it goes back to the leader instead
        if len(record.ranges) > RANGES:
            return False
        begun = holding.placed or holding.pool.count < spec.tasks or record.attempt
        return not (whole(spec) and begun)

    async def _move_where_free(self, holding: Holding, status: PartStatus) -> None:
        """Give the tasks that find no room here to the first part that has some."""
        spec, waiting = holding.job.spec, holding.pool.count
        here = self.split.statuses.free_capacity(status, spec, yielding=False)
        if not whole(spec):
            here = min(here, self.split.teams.tasks_within_limit(holding.part, spec))
        elif holding.job.id in status.reserved:
            return
        # A whole job stays where it has room: share comes to it. Sent after
        # share, it would be in another part each time that share arrives.
        if here >= waiting:
            return
        for other in self.split.statuses.newest.values():
            if other.part == holding.part or not other.settled:
                continue
            count = self._movable(spec, other, waiting - here)
            if count > 0:
                await self.give(holding, other.part, count)
                return

    def _movable(self, spec: wire.JobSpec, other: PartStatus, most: int) -> int:
        """How many tasks another part can start now, as far as its status tells."""
        there = self.split.statuses.free_capacity(other, spec, yielding=False)
        sent = len(self.split.statuses.unreported.get(other.part, ()))
        if whole(spec):
            return spec.tasks if there - sent >= spec.tasks else 0
        if sent:
            return 0
        there -= sum(n for j, n in other.waiting.items() if self.share_ratio(spec, j) > 0)
        return min(there, most)

    async def even_out(self) -> None:
        """Even out the parts' queues: the design's idle machines, one level up.

        A part splits a job by what its machines promised on arrival; boots, lost
        machines and wrong estimates change that while the tasks still wait.
        """
        now = trio.current_time()
        if now - self.evened_out_at < self.policy.heartbeat_interval:
            return
        self.evened_out_at = now
        for part, work in list(self.split.parts.work.items()):
            status = self.split.statuses.newest.get(part)
            if status is None or not work.settled:
                continue
            rows = [
                (h.pool.count * h.job.spec.cpus, id)
                for id, h in work.holdings.items()
                if self.split.parts.ready(work, id, h, now)
                and not h.faulty
                and not whole(h.job.spec)
                and not h.service  # it goes where there is room, not to a shorter queue
                and len(h.job.record.ranges) <= RANGES
            ]
            for _, id in sorted(rows, reverse=True)[:2]:
                holding = work.holdings[id]
                spec = holding.job.spec
                here, width = self.drain_time(status, spec)
                best: tuple[float, int] | None = None
                for other in self.split.statuses.newest.values():
                    if (
                        other.part == part
                        or not other.settled
                        or other.part in self.split.statuses.unreported
                    ):
                        continue
                    there, _ = self.drain_time(other, spec)
                    if best is None or there < best[0]:
                        best = (there, other.part)
                if best is None or here <= best[0] * 1.25 + self.report_s * 2:
                    continue
                amount = spec.gpus if spec.gpus > 0 else spec.cpus
                task = max(1e-6, amount * self.split.estimates.task(spec))
                count = holding.pool.count  # all, where no machine here may run it
                if width:
                    count = min(count, int((here - best[0]) / 2 * width / task))
                if count > 0:
                    await self.give(holding, best[1], count)
                    break

    def drain_time(self, status: PartStatus, spec: wire.JobSpec) -> tuple[float, float]:
        """Seconds that a part needs for what waits there ahead of such a job, and its width.

        Counted in cards for jobs that take cards, else in CPUs, over the machines
        that may run the job.
        """
        cards = spec.gpus > 0
        width = 0.0
        for (type_, zone, spot), machines in self.split.statuses.groups_of(status).items():
            kind = self.types().get(type_)
            if kind is not None and group_ok(spec, kind, zone, spot):
                able = sum(
                    1
                    for machine in machines
                    if machine.flag in (MachineFlag.USABLE, MachineFlag.NEW)
                )
                width += able * (kind.gpus if cards else kind.cpus)
        if not width:
            return math.inf, 0.0
        work = 0.0
        for id, count in status.waiting.items():
            job = self.job_store.open.get(id)
            if job is None or RANK[job.spec.rank] > RANK[spec.rank]:
                continue
            amount = job.spec.gpus if cards else job.spec.cpus
            work += count * amount * self.split.estimates.task(job.spec)
        return work / width, width

    async def give(
        self,
        holding: Holding,
        to: int,
        count: int,
        caps: list[tuple[int, str, int]] | None = None,
    ) -> None:
        """Tasks that are nowhere go to another part, in one conditional write.

        `caps`, if given, are the job's new ones (see `Record.caps`).
        """
        job, part = holding.job, holding.part
        token = self.members.token(part)
        if token is None:
            return
        carved = holding.pool.carve(count)
        holding.moving = True
        version = job.version
        try:
            ranges: list[tuple[int, int, int]] = []
            for a, b, p in job.record.ranges:
                if p != part:
                    ranges.append((a, b, p))
                    continue
                cuts = sorted((max(a, x), min(b, y)) for x, y in carved if x < b and y > a)
                for x, y in cuts:
                    ranges += [(a, x, part), (x, y, to)]
                    a = y
                ranges.append((a, b, part))
            more = {} if caps is None else {"caps": caps}
            if await self.split.write_ranges(
                job, {f"pt/parts/{part}": token}, merge(ranges), **more
            ):
                self.split.statuses.record_allocation(to, job.spec, count)
                log.debug("gave job=%s tasks=%d from=%d to=%d", job.id, count, part, to)
        except StoreDown as error:
            # Perhaps it was done, or will be: until it can't, the tasks start nowhere.
            await self.split.settle_job(error, job, version, part, token)
        finally:
            holding.moving = False
            if job.open:
                holding.rebuild()

    def share_ratio(self, spec: wire.JobSpec, other: str) -> float:
        """How much a waiting task of another job stands in this one's way."""
        job = self.job_store.open.get(other)
        if job is None or RANK[job.spec.rank] > RANK[spec.rank]:
            return 0.0
        return min(1.0, job.spec.cpus / max(spec.cpus, 1e-3))
