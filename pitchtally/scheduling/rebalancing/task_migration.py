"""Pending tasks of a shard migrated to another one."""

from __future__ import annotations

import logging
from collections.abc import Iterable

from msgspec import UNSET

from ...jobs.job_record import TaskRange, ZoneCap, merge
from ...membership.membership import Membership
from ...state_store import keys
from ...state_store.errors import StoreUnavailable
from ..range_writer import RangeWriter
from ..shards.allocations import ShardAllocation
from ..shards.shard_statuses import ShardStatuses

log = logging.getLogger(__name__)


class TaskMigration:
    """Moves pending tasks to another shard by one compare-and-swap."""

    def __init__(
        self, membership: Membership, statuses: ShardStatuses, range_writer: RangeWriter
    ) -> None:
        self.membership = membership
        self.statuses = statuses
        self.range_writer = range_writer

    def leads(self, shard: int) -> bool:
        """Whether this controller leads the shard, and so may migrate its tasks."""
        return self.membership.token(shard) is not None

    async def migrate(
        self,
        allocation: ShardAllocation,
        target: int,
        count: int,
        zone_caps: list[ZoneCap] | None = None,
    ) -> None:
        """Move `count` pending tasks to the shard `target`, in one conditional write.

        `zone_caps`, if given, are the job's new ones (see `JobRecord.zone_caps`).
        """
        job, shard = allocation.job, allocation.shard
        token = self.membership.token(shard)
        if token is None:
            return
        carved = allocation.pending.split_off(count)
        allocation.moving = True
        version = job.version
        try:
            ranges = _migrated(job.record.ranges, shard, target, carved)
            if await self.range_writer.write_ranges(
                job,
                {keys.shard(shard): token},
                ranges,
                zone_caps=UNSET if zone_caps is None else zone_caps,
            ):
                self.statuses.record_allocation(target, job.spec, count)
                log.debug("migrated job=%s tasks=%d from=%d to=%d", job.id, count, shard, target)
        except StoreUnavailable as error:
            # The write may have taken effect, or still may: until neither can be, these
            # tasks must not start here.
            await self.range_writer.resolve_job_outcome(error, job, version, shard, token)
        finally:
            allocation.moving = False
            if job.open:
                allocation.rebuild_pending()


def _migrated(
    ranges: Iterable[TaskRange], source: int, target: int, carved: list[tuple[int, int]]
) -> list[TaskRange]:
    """A job's ranges once the carved tasks of `source` are assigned to `target`."""
    migrated: list[tuple[int, int, int]] = []
    for first, end, shard in ranges:
        if shard != source:
            migrated.append((first, end, shard))
            continue
        cuts = sorted((max(first, a), min(end, b)) for a, b in carved if a < end and b > first)
        for cut_first, cut_end in cuts:
            migrated += [(first, cut_first, source), (cut_first, cut_end, target)]
            first = cut_end
        migrated.append((first, end, source))
    return merge(migrated)
