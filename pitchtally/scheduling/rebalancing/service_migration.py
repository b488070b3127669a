"""Replicas that find no capacity in their shard, migrated to a shard that has some.

An array's running tasks end some day, and what is left of it then goes elsewhere together.
A service's never end, so its missing replicas have to migrate alone. The caps in the record
of a spread service limit its replicas by shard and zone, so that all shards together stay
within each zone's limit: the source shard's caps fall to the replicas that it has placed, and
the target shard's rise by those that migrate.
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

# Agent heartbeats that a replica stays pending in its own shard before it migrates.
_PENDING_HEARTBEATS = 2
# Of `start_within`: a service whose missing replicas fit nowhere then starts anew elsewhere.
_RESTART_SHARE = 1 / 6

ZoneCounts = dict[str, int]


class ReplicaMigration(NamedTuple):
    """Where missing replicas go: a shard, and how many of them into which zone."""

    shard: int
    zones: ZoneCounts


class ServiceMigration:
    """Migrates missing replicas of one-zone and spread services, or restarts these elsewhere."""

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
        """Eight arguments, since it decides by both free capacity and whole-service plans."""
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
        """Migrate or restart every such service of our shards that lacks capacity here."""
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
            return False  # nothing of it runs: it returns to the cluster leader
        if now - allocation.pending_since < self.agent_heartbeat_s * _PENDING_HEARTBEATS:
            return False
        if not self.quotas.tasks_within_limit(allocation.shard, allocation.spec):
            return False  # its team's limit holds it up, in any shard
        return self._find(allocation, [allocation.shard], capped=True) is None

    async def _migrate_or_restart(self, allocation: ShardAllocation) -> None:
        others = [shard for shard in self.statuses.newest if shard != allocation.shard]
        # Our own shard first: its caps may be lower than the zones' limits allow.
        found = self._find(allocation, [allocation.shard, *others])
        if found is not None:
            await self._migrate(allocation, found)
        elif (
            trio.current_time() - allocation.pending_since
            >= self.policy.start_within * _RESTART_SHARE
        ):
            self._restart_elsewhere(allocation, others)

    def _find(
        self, allocation: ShardAllocation, shards: list[int], *, capped: bool = False
    ) -> ReplicaMigration | None:
        """The first of these shards with capacity for all missing replicas, by preemption too.

        `capped`: within the caps of the record, not those that it could have.
        """
        spec, missing = allocation.spec, allocation.pending.count
        zone = allocation.job.record.zone if allocation.one_zone else None
        for source in (CapacitySource.FREE, CapacitySource.PREEMPTIBLE):
            capacities = self.free_capacity.by_zone(spec, source)
            for shard in shards:
                limits = self._zone_limits(allocation, capped=capped)
                here = {
                    place: min(available, limits.get(place.zone, missing))
                    for place, available in capacities.items()
                    if place.shard == shard and zone in (None, place.zone)
                }
                found = plan_gang(here, missing, one_zone=False, spread=False)
                if found is not None:
                    return ReplicaMigration(shard, {z: count for (_, z), count in found.items()})
        return None

    def _placed(self, allocation: ShardAllocation) -> ZoneCounts:
        return {zone: allocation.placed_in(zone) for zone in self.settings.deployment.zones}

    def _zone_limits(self, allocation: ShardAllocation, *, capped: bool) -> ZoneCounts:
        """How many more replicas of a spread service may be in each zone; empty: any number."""
        if not allocation.spec.spread or allocation.spec.tasks == 1:
            return {}
        placed = self._placed(allocation)
        if capped:
            return {zone: allocation.max_tasks_in_zone(zone) - n for zone, n in placed.items()}
        return zone_limits(allocation.job, placed, allocation.shard)

    async def _migrate(self, allocation: ShardAllocation, found: ReplicaMigration) -> None:
        zone_caps = None
        if allocation.spec.spread:
            zone_caps = migrated_caps(
                allocation.job, self._placed(allocation), allocation.shard, found
            )
        log.info(
            "replicas migrate job=%s from=%d to=%d count=%d",
            allocation.job.id,
            allocation.shard,
            found.shard,
            allocation.pending.count,
        )
        try:
            await self.migration.migrate(
                allocation, found.shard, allocation.pending.count, zone_caps
            )
        except StoreUnavailable as error:
            log.debug("replicas not migrated: %s", error)

    def _restart_elsewhere(self, allocation: ShardAllocation, others: list[int]) -> None:
        """Stop a service whose replicas can't all run here, so that all start elsewhere."""
        if len({r.shard for r in allocation.job.record.ranges}) > 1:
            return  # the others' replicas aren't ours to stop
        if self.single_shard_planner.plan_service(allocation.spec, others) is None:
            return
        log.info("service restarts elsewhere job=%s shard=%d", allocation.job.id, allocation.shard)
        allocation.not_before = trio.current_time() + self.settings.deployment.workers.lease_s
        for placement in list(allocation.placed.values()):
            self.agents.stop(placement, 0.0)


def zone_limits(job: Job, placed: ZoneCounts, shard: int) -> ZoneCounts:
    """How many more replicas may be in each zone, other shards' caps and our placements counted."""
    taken: Counter[str] = Counter(placed)
    for other, zone, cap in job.record.zone_caps:
        if other != shard:
            taken[zone] += cap
    most = max_tasks_in_zone(job.spec)
    return {zone: max(0, most - taken[zone]) for zone in placed}


def migrated_caps(
    job: Job, placed: ZoneCounts, shard: int, migration: ReplicaMigration
) -> list[ZoneCap]:
    """The caps after a migration: ours at what is placed, the target's raised by what migrates.

    Ours fall by the replicas that migrate, and the target's rise by no more than the zones'
    limits leave, so a zone's caps never add up to more than its limit.
    """
    zone_caps: Counter[tuple[int, str]] = Counter()
    for other, zone, cap in job.record.zone_caps:
        if other != shard:
            zone_caps[(other, zone)] += cap
    for zone, count in placed.items():
        zone_caps[(shard, zone)] = count
    for zone, count in migration.zones.items():
        zone_caps[(migration.shard, zone)] += count
    return [ZoneCap(other, zone, cap) for (other, zone), cap in sorted(zone_caps.items()) if cap]
