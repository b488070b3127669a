"""Migrates replicas without capacity in their shard to a shard that has some.

The running tasks of an array end eventually, and its remaining tasks then go elsewhere together.
Replicas of a service never end, so the missing ones have to migrate alone. The zone caps in the
record of a spread service limit its replicas by shard and zone, so that all shards together stay
within each zone's limit: a migration lowers the source shard's caps to the replicas placed there,
and raises the target shard's caps by the replicas that migrate.
"""

from __future__ import annotations

import logging
from collections import Counter
from typing import NamedTuple

import trio

from ...jobs.index import Job
from ...jobs.job_record import ZoneCap
from ...state_store.errors import StoreUnavailable
from ..capacity import CapacitySource, plan_gang, stays_in_one_shard
from ..context import SchedulingContext
from ..gangs.free_capacity import FreeCapacity
from ..gangs.single_shard_planner import SingleShardPlanner
from ..quotas.quotas import Quotas
from ..shards.allocations import ShardAllocation, ShardState, max_tasks_in_zone
from ..shards.eligibility import is_ready
from ..shards.shard_statuses import ShardStatuses
from .task_migration import TaskMigration

log = logging.getLogger(__name__)

# Agent heartbeats for which a replica stays pending in its own shard before it migrates.
_PENDING_HEARTBEATS = 2
# Share of `start_within` after which a service whose missing replicas fit in no shard restarts in
# another one.
_RESTART_SHARE = 1 / 6

ZoneCounts = dict[str, int]


class ReplicaMigration(NamedTuple):
    """The target of missing replicas: a shard, and the number of replicas by zone."""

    shard: int
    zones: ZoneCounts


class ServiceMigration:
    """Migrates missing replicas of one-zone and spread services, or restarts such a service."""

    def __init__(
        self,
        context: SchedulingContext,
        shards: dict[int, ShardState],
        statuses: ShardStatuses,
        quotas: Quotas,
        free_capacity: FreeCapacity,
        single_shard_planner: SingleShardPlanner,
        migration: TaskMigration,
    ) -> None:
        """Store the components.

        `free_capacity` gives the capacity for single replicas; `single_shard_planner` plans all
        replicas of a service together.
        """
        self.settings = context.settings
        self.policy = context.policy
        self.agents = context.agents
        self.agent_heartbeat_s = context.agent_heartbeat_s
        self.shards = shards
        self.statuses = statuses
        self.quotas = quotas
        self.free_capacity = free_capacity
        self.single_shard_planner = single_shard_planner
        self.migration = migration

    async def migrate(self) -> None:
        """Migrate or restart each one-zone or spread service that lacks capacity in a led shard."""
        for shard, state in list(self.shards.items()):
            if not state.reconciled or not self.migration.leads(shard):
                continue
            for allocation in list(state.allocations.values()):
                if self._lacks_capacity(state, allocation):
                    await self._migrate_or_restart(allocation)

    def _lacks_capacity(self, state: ShardState, allocation: ShardAllocation) -> bool:
        now = trio.current_time()
        if not allocation.service or not stays_in_one_shard(allocation.spec) or allocation.faulty:
            return False
        if not is_ready(state, allocation.job.id, allocation, now):
            return False
        if not allocation.placed and len(allocation.job.record.ranges) == 1:
            return False  # no replica runs, so `RangeReturn` returns the service to the leader
        if now - allocation.pending_since < self.agent_heartbeat_s * _PENDING_HEARTBEATS:
            return False
        if not self.quotas.tasks_within_limit(allocation.shard, allocation.spec):
            return False  # the team's limit would also apply in any other shard
        return self._find_capacity(allocation, [allocation.shard], capped=True) is None

    async def _migrate_or_restart(self, allocation: ShardAllocation) -> None:
        other_shards = [shard for shard in self.statuses.newest if shard != allocation.shard]
        # The present shard is tried first: its caps may be lower than the zones' limits allow.
        target = self._find_capacity(allocation, [allocation.shard, *other_shards])
        if target is not None:
            await self._migrate(allocation, target)
        elif (
            trio.current_time() - allocation.pending_since
            >= self.policy.start_within * _RESTART_SHARE
        ):
            self._restart_elsewhere(allocation, other_shards)

    def _find_capacity(
        self, allocation: ShardAllocation, shards: list[int], *, capped: bool = False
    ) -> ReplicaMigration | None:
        """Return the first of these shards with capacity for all missing replicas, or None.

        Capacity that needs preemption is used only if no shard has enough without it. With
        `capped`, the present caps in the job's record apply; otherwise caps may rise to the zones'
        limits.
        """
        spec, missing = allocation.spec, allocation.pending.count
        zone = allocation.job.record.zone if allocation.one_zone else None
        for source in (CapacitySource.FREE, CapacitySource.PREEMPTIBLE):
            capacities = self.free_capacity.by_zone(spec, source)
            for shard in shards:
                remaining = self._remaining_by_zone(allocation, capped=capped)
                in_shard = {
                    shard_zone: min(available, remaining.get(shard_zone.zone, missing))
                    for shard_zone, available in capacities.items()
                    if shard_zone.shard == shard and zone in (None, shard_zone.zone)
                }
                placement = plan_gang(in_shard, missing, one_zone=False, spread=False)
                if placement is not None:
                    return ReplicaMigration(
                        shard, {zone_name: count for (_, zone_name), count in placement.items()}
                    )
        return None

    def _placed_by_zone(self, allocation: ShardAllocation) -> ZoneCounts:
        return {zone: allocation.placed_in(zone) for zone in self.settings.deployment.zones}

    def _remaining_by_zone(self, allocation: ShardAllocation, *, capped: bool) -> ZoneCounts:
        """Return how many more replicas of a spread service may be in each zone.

        Returns an empty dict if any number may.
        """
        if not allocation.spec.spread or allocation.spec.tasks == 1:
            return {}
        placed = self._placed_by_zone(allocation)
        if capped:
            return {
                zone: allocation.max_tasks_in_zone(zone) - count for zone, count in placed.items()
            }
        return remaining_by_zone(allocation.job, placed, allocation.shard)

    async def _migrate(self, allocation: ShardAllocation, target: ReplicaMigration) -> None:
        zone_caps = None
        if allocation.spec.spread:
            zone_caps = caps_after_migration(
                allocation.job, self._placed_by_zone(allocation), allocation.shard, target
            )
        log.info(
            "migrating replicas job=%s from=%d to=%d count=%d",
            allocation.job.id,
            allocation.shard,
            target.shard,
            allocation.pending.count,
        )
        try:
            await self.migration.migrate(
                allocation, target.shard, allocation.pending.count, zone_caps
            )
        except StoreUnavailable as error:
            log.debug("replicas not migrated: %s", error)

    def _restart_elsewhere(self, allocation: ShardAllocation, other_shards: list[int]) -> None:
        """Stop a service whose replicas can't all run in its shard, so that all start elsewhere."""
        if len({task_range.shard for task_range in allocation.job.record.ranges}) > 1:
            return  # only the leaders of the other shards may stop the replicas there
        if self.single_shard_planner.plan_service(allocation.spec, other_shards) is None:
            return
        log.info(
            "stopping service to restart it in another shard job=%s shard=%d",
            allocation.job.id,
            allocation.shard,
        )
        allocation.not_before = trio.current_time() + self.settings.deployment.workers.lease_s
        for placement in list(allocation.placed.values()):
            self.agents.stop(placement, 0.0)


def remaining_by_zone(job: Job, placed: ZoneCounts, shard: int) -> ZoneCounts:
    """Return how many more replicas may be in each zone.

    The replicas placed in this shard and the caps of all other shards count towards the limit.
    """
    counted: Counter[str] = Counter(placed)
    for cap_shard, zone, cap in job.record.zone_caps:
        if cap_shard != shard:
            counted[zone] += cap
    max_per_zone = max_tasks_in_zone(job.spec)
    return {zone: max(0, max_per_zone - counted[zone]) for zone in placed}


def caps_after_migration(
    job: Job, placed: ZoneCounts, shard: int, migration: ReplicaMigration
) -> list[ZoneCap]:
    """Return the caps after a migration of replicas out of `shard`.

    The caps of `shard` become the replicas placed there; the caps of the target shard rise by the
    replicas that migrate, which is no more than the zones' limits leave. The caps of a zone
    therefore never add up to more than the zone's limit.
    """
    zone_caps: Counter[tuple[int, str]] = Counter()
    for cap_shard, zone, cap in job.record.zone_caps:
        if cap_shard != shard:
            zone_caps[(cap_shard, zone)] += cap
    for zone, count in placed.items():
        zone_caps[(shard, zone)] = count
    for zone, count in migration.zones.items():
        zone_caps[(migration.shard, zone)] += count
    return [
        ZoneCap(cap_shard, zone, cap) for (cap_shard, zone), cap in sorted(zone_caps.items()) if cap
    ]
