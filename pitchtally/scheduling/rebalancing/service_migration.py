"""Replicas that find no room in their shard, moved to a shard that has some.

An array's other tasks end some day, and what is left of it then goes elsewhere as a whole.
A service's never end, so what it lacks has to move alone. A spread service keeps to its
zones' shares over several shards by caps in its record: the shard that gives replicas away
keeps no more places in a zone than it has taken, and the other gets what that leaves.
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
from ..gangs.planner import GangPlanner
from ..quotas.quotas import Quotas
from ..shards.allocations import ShardAllocation, ShardState, most_in_zone
from ..shards.eligibility import is_ready
from ..shards.shard_statuses import ShardStatuses
from .task_transfer import TaskTransfer

log = logging.getLogger("service_migration")

# Report intervals that a replica waits for room in its own shard.
PATIENCE_REPORTS = 2
# Of `start_within`: a service that fits nowhere as it stands starts anew elsewhere.
LEAVE_SHARE = 1 / 6

ZoneCounts = dict[str, int]


class Move(NamedTuple):
    """Where missing replicas go: a shard, and how many of them into which zone."""

    shard: int
    zones: ZoneCounts


class ServiceMigration:
    """Moves replicas of services that must stay whole, or starts those anew elsewhere."""

    def __init__(
        self,
        context: SchedulingContext,
        shards: dict[int, ShardState],
        statuses: ShardStatuses,
        quotas: Quotas,
        gang_planner: GangPlanner,
        transfer: TaskTransfer,
    ) -> None:
        self.settings = context.settings
        self.policy = context.policy
        self.agents = context.agents
        self.agent_heartbeat_s = context.agent_heartbeat_s
        self.shards = shards
        self.statuses = statuses
        self.quotas = quotas
        self.gang_planner = gang_planner
        self.transfer = transfer

    async def move(self) -> None:
        """Look at every such service of our shards that lacks replicas."""
        for shard, work in list(self.shards.items()):
            if not work.reconciled or not self.transfer.leads(shard):
                continue
            for allocation in list(work.allocations.values()):
                if self._lacks_room(work, allocation):
                    await self._move_or_leave(allocation)

    def _lacks_room(self, work: ShardState, allocation: ShardAllocation) -> bool:
        now = trio.current_time()
        if not allocation.service or not stays_in_one_shard(allocation.spec) or allocation.faulty:
            return False
        if not is_ready(work, allocation.job.id, allocation, now):
            return False
        if not allocation.placed and len(allocation.job.record.ranges) == 1:
            return False  # nothing of it runs: it goes back to the leader
        if now - allocation.pending_since < self.agent_heartbeat_s * PATIENCE_REPORTS:
            return False
        if not self.quotas.tasks_within_limit(allocation.shard, allocation.spec):
            return False  # it waits for its team's limit, wherever it is
        return self._find(allocation, [allocation.shard], capped=True) is None

    async def _move_or_leave(self, allocation: ShardAllocation) -> None:
        others = [shard for shard in self.statuses.newest if shard != allocation.shard]
        # Our own shard again, if only its caps keep it from using what zones leave.
        found = self._find(allocation, [allocation.shard, *others])
        if found is not None:
            await self._move(allocation, found)
        elif (
            trio.current_time() - allocation.pending_since >= self.policy.start_within * LEAVE_SHARE
        ):
            self._leave(allocation, others)

    def _find(
        self, allocation: ShardAllocation, shards: list[int], *, capped: bool = False
    ) -> Move | None:
        """The first of these shards with room for all missing replicas, by preemption too.

        `capped`: as the record's caps have it, not as they might.
        """
        spec, missing = allocation.spec, allocation.pending.count
        zone = allocation.job.record.zone if allocation.one_zone else None
        for source in (CapacitySource.FREE, CapacitySource.PREEMPTIBLE):
            capacities = self.gang_planner.free_capacity(spec, source)
            for shard in shards:
                left = self._zone_limits(allocation, capped=capped)
                here = {
                    place: min(available, left.get(place.zone, missing))
                    for place, available in capacities.items()
                    if place.shard == shard and zone in (None, place.zone)
                }
                found = plan_gang(here, missing, one_zone=False, spread=False)
                if found is not None:
                    return Move(shard, {z: count for (_, z), count in found.items()})
        return None

    def _placed(self, allocation: ShardAllocation) -> ZoneCounts:
        return {zone: allocation.placed_in(zone) for zone in self.settings.deployment.zones}

    def _zone_limits(self, allocation: ShardAllocation, *, capped: bool) -> ZoneCounts:
        """How many more replicas of a spread service may be in each zone; empty: any number."""
        if not allocation.spec.spread or allocation.spec.tasks == 1:
            return {}
        placed = self._placed(allocation)
        if capped:
            return {zone: allocation.most_in_zone(zone) - n for zone, n in placed.items()}
        return zone_limits(allocation.job, placed, allocation.shard)

    async def _move(self, allocation: ShardAllocation, move: Move) -> None:
        caps = None
        if allocation.spec.spread:
            caps = moved_caps(allocation.job, self._placed(allocation), allocation.shard, move)
        log.info(
            "replicas move job=%s from=%d to=%d count=%d",
            allocation.job.id,
            allocation.shard,
            move.shard,
            allocation.pending.count,
        )
        try:
            await self.transfer.give(allocation, move.shard, allocation.pending.count, caps)
        except StoreUnavailable as error:
            log.debug("replicas not moved: %s", error)

    def _leave(self, allocation: ShardAllocation, others: list[int]) -> None:
        """Stop a service that can't be whole as it stands, so that it starts whole elsewhere."""
        if len({r.shard for r in allocation.job.record.ranges}) > 1:
            return  # the others' replicas aren't ours to stop
        if self.gang_planner.plan_service(allocation.spec, others) is None:
            return
        log.info("service leaves job=%s part=%d", allocation.job.id, allocation.shard)
        allocation.not_before = trio.current_time() + self.settings.deployment.workers.lease_s
        for placement in list(allocation.placed.values()):
            self.agents.stop(placement, 0.0)


def zone_limits(job: Job, placed: ZoneCounts, shard: int) -> ZoneCounts:
    """How many more replicas may be in each zone, other shards' caps and our places counted."""
    taken: Counter[str] = Counter(placed)
    for other, zone, cap in job.record.caps:
        if other != shard:
            taken[zone] += cap
    most = most_in_zone(job.spec)
    return {zone: max(0, most - taken[zone]) for zone in placed}


def moved_caps(job: Job, placed: ZoneCounts, shard: int, move: Move) -> list[ZoneCap]:
    """The caps after a move: ours at what we have placed, the other shard's raised by the move.

    Ours fall by what we gave up and no shard gets more than that leaves, so a zone's caps
    never add up to more than its share.
    """
    caps: Counter[tuple[int, str]] = Counter()
    for other, zone, cap in job.record.caps:
        if other != shard:
            caps[(other, zone)] += cap
    for zone, count in placed.items():
        caps[(shard, zone)] = count
    for zone, count in move.zones.items():
        caps[(move.shard, zone)] += count
    return [ZoneCap(other, zone, cap) for (other, zone), cap in sorted(caps.items()) if cap]
