"""Pending tasks of a shard given to another one."""

from __future__ import annotations

import logging

from msgspec import UNSET

from ...jobs.job_record import ZoneCap, merge
from ...membership.membership import Membership
from ...state_store import keys
from ...state_store.errors import StoreUnavailable
from ..range_writer import RangeWriter
from ..shards.allocations import ShardAllocation
from ..shards.shard_statuses import ShardStatuses

log = logging.getLogger("task_transfer")


class TaskTransfer:
    """Moves pending tasks to another shard by one compare-and-swap."""

    def __init__(
        self, membership: Membership, statuses: ShardStatuses, range_writer: RangeWriter
    ) -> None:
        self.membership = membership
        self.statuses = statuses
        self.range_writer = range_writer

    def leads(self, shard: int) -> bool:
        """Whether this controller leads the shard, and so may give its tasks away."""
        return self.membership.token(shard) is not None

    async def give(
        self,
        allocation: ShardAllocation,
        to: int,
        count: int,
        caps: list[ZoneCap] | None = None,
    ) -> None:
        """Tasks that are nowhere go to another shard, in one conditional write.

        `caps`, if given, are the job's new ones (see `JobRecord.caps`).
        """
        job, shard = allocation.job, allocation.shard
        token = self.membership.token(shard)
        if token is None:
            return
        carved = allocation.pending.split_off(count)
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
            if await self.range_writer.write_ranges(
                job, {keys.shard(shard): token}, merge(ranges), caps=UNSET if caps is None else caps
            ):
                self.statuses.record_allocation(to, job.spec, count)
                log.debug("gave job=%s tasks=%d from=%d to=%d", job.id, count, shard, to)
        except StoreUnavailable as error:
            # Perhaps it was done, or will be: until it can't, the tasks start nowhere.
            await self.range_writer.resolve_job_outcome(error, job, version, shard, token)
        finally:
            allocation.moving = False
            if job.open:
                allocation.rebuild()
