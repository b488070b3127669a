"""Migrates pending tasks of a shard to another one."""

from __future__ import annotations

import logging
from collections.abc import Iterable, Sequence

from msgspec import UNSET

from ...jobs.job_record import TaskRange, ZoneCap, merge_ranges
from ...jobs.pending_tasks import PendingRange
from ...membership.membership import Membership
from ...state_store import keys
from ...state_store.errors import StoreUnavailable
from ..range_writer import RangeWriter
from ..shards.allocations import ShardAllocation
from ..shards.shard_statuses import ShardStatuses

log = logging.getLogger(__name__)


class TaskMigration:
    """Migrates pending tasks to another shard by one compare-and-swap."""

    def __init__(
        self, membership: Membership, statuses: ShardStatuses, range_writer: RangeWriter
    ) -> None:
        self.membership = membership
        self.statuses = statuses
        self.range_writer = range_writer

    def leads(self, shard: int) -> bool:
        """Return whether this controller leads the shard, and so may migrate its tasks."""
        return self.membership.token(shard) is not None

    async def migrate(
        self,
        allocation: ShardAllocation,
        target: int,
        count: int,
        zone_caps: list[ZoneCap] | None = None,
    ) -> None:
        """Migrate `count` pending tasks to the shard `target` in one conditional write.

        `zone_caps`, if given, replace the job's (see `JobRecord.zone_caps`).
        """
        job, shard = allocation.job, allocation.shard
        token = self.membership.token(shard)
        if token is None:
            return
        moved = allocation.pending.split_off(count)
        allocation.range_write_in_flight = True
        version = job.version
        try:
            ranges = _migrated(job.record.ranges, shard, target, moved)
            if await self.range_writer.write_ranges(
                job,
                {keys.shard(shard): token},
                ranges,
                zone_caps=UNSET if zone_caps is None else zone_caps,
            ):
                self.statuses.record_allocation(target, job.spec, count)
                log.debug("migrated job=%s tasks=%d from=%d to=%d", job.id, count, shard, target)
        except StoreUnavailable as error:
            # The write may have taken effect, or may do so later. These tasks must not start in
            # this shard until the outcome is resolved.
            await self.range_writer.resolve_job_outcome(error, job, version, shard, token)
        finally:
            allocation.range_write_in_flight = False
            if job.open:
                allocation.rebuild_pending()


def _migrated(
    ranges: Iterable[TaskRange], source: int, target: int, moved: Sequence[PendingRange]
) -> list[TaskRange]:
    """Return a job's ranges after the `moved` tasks of `source` are assigned to `target`."""
    migrated: list[tuple[int, int, int]] = []
    for first, end, shard in ranges:
        if shard != source:
            migrated.append((first, end, shard))
            continue
        overlaps = sorted(
            (max(first, moved_first), min(end, moved_end))
            for moved_first, moved_end in moved
            if moved_first < end and moved_end > first
        )
        for overlap_first, overlap_end in overlaps:
            migrated += [(first, overlap_first, source), (overlap_first, overlap_end, target)]
            first = overlap_end
        migrated.append((first, end, source))
    return merge_ranges(migrated)
