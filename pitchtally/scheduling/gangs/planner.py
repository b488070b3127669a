"""Plans for gangs: capacity for all tasks at once, in one shard or over several."""

from __future__ import annotations

import logging
from typing import NamedTuple

import trio

from ...jobs.index import Job
from ...jobs.job_record import TaskRange, ZoneCap
from ...protocol import user_api
from ..capacity import CapacitySource, Plan, plan_gang
from ..context import SchedulingContext
from ..quotas.quotas import Quotas
from ..shards.deadlines import Deadlines
from ..shards.shard_statuses import ShardStatuses
from .free_capacity import FreeCapacity, ZoneCapacities

log = logging.getLogger(__name__)

# An attempt number is a fencing token above this many bits of a count.
_COUNT_BITS = 24
# Set in the attempts that all shards of a gang share; a shard's own attempts leave it clear.
_SHARED_ATTEMPT_BIT = 1 << 23
# Of `start_within`: how long one gang may hold the right to reserve before another gets it.
_RESERVING_SHARE = 1 / 4


class _ReservingGang(NamedTuple):
    """The gang that machines over several shards are reserved for."""

    job_id: str
    since: float


class GangPlanner:
    """Plans gangs from the statuses of all shards."""

    def __init__(
        self,
        context: SchedulingContext,
        statuses: ShardStatuses,
        quotas: Quotas,
        deadlines: Deadlines,
        free_capacity: FreeCapacity,
    ) -> None:
        self.policy = context.policy
        self.job_index = context.job_index
        self.statuses = statuses
        self.quotas = quotas
        self.deadlines = deadlines
        self.free_capacity = free_capacity
        self._shared_attempts = 0  # so many planned by this process
        self._reserving: _ReservingGang | None = None

    def plan(self, spec: user_api.JobSpec, token: int, job: Job | None = None) -> Plan | None:
        """Capacity for a whole gang: in one shard if one has it, else over several.

        Shards that share a gang start the same attempt. Its number contains `token`, a
        fencing token of this controller, so no other controller ever uses it. None if the
        team's limit or the machines have no place for all tasks.
        """
        if self.quotas.limit_left(spec) < spec.tasks:
            return None
        now = trio.current_time()
        for source in self._sources(spec, job, now):
            capacities = self.free_capacity.by_zone(spec, source)
            found = plan_gang(capacities, spec.tasks, one_zone=spec.one_zone, spread=spec.spread)
            if found is not None:
                return self._accept(spec, token, source, found, now)
        return None

    def _sources(self, spec: user_api.JobSpec, job: Job | None, now: float) -> list[CapacitySource]:
        """What the gang may take its capacity from, least disruptive first."""
        within_guarantee = self.quotas.within_guarantee(spec)
        sources = [CapacitySource.FREE]
        if spec.rank != user_api.RANKS[-1]:
            sources.append(CapacitySource.PREEMPTIBLE)
        if within_guarantee and len(self.quotas.teams) > 1:
            sources.append(CapacitySource.OVER_GUARANTEE)
        if (
            job is not None
            and self.deadlines.is_reservation_due(job)
            and self._may_reserve(job.id, now)
        ):
            sources.append(CapacitySource.RESERVED)
        return sources

    def _accept(
        self,
        spec: user_api.JobSpec,
        token: int,
        source: CapacitySource,
        found: ZoneCapacities,
        now: float,
    ) -> Plan:
        """Book the capacity that was found, and turn it into task ranges."""
        self.free_capacity.book(now, spec, found)
        ranges = _ranges(found)
        attempt = self._next_shared_attempt(token) if len(ranges) > 1 else 0
        if source is CapacitySource.RESERVED:
            self._reserving = _ReservingGang(spec.id, now)
        log.info(
            "gang planned job=%s shards=%d attempt=%d source=%s",
            spec.id,
            len(ranges),
            attempt,
            source.name,
        )
        zone = next(place.zone for place in found) if spec.one_zone else None
        zone_caps = []
        if spec.spread and len(ranges) > 1:
            zone_caps = [ZoneCap(place.shard, place.zone, tasks) for place, tasks in found.items()]
        return Plan(ranges, zone, attempt, zone_caps)

    def _next_shared_attempt(self, token: int) -> int:
        self._shared_attempts += 1
        return (token << _COUNT_BITS) + _SHARED_ATTEMPT_BIT + self._shared_attempts

    def _may_reserve(self, job_id: str, now: float) -> bool:
        """Whether machines over several shards may be reserved for this gang.

        One gang at a time: two could each reserve half of the other's machines.
        """
        reserving = self._reserving
        if reserving is None or reserving.job_id == job_id:
            return True
        job = self.job_index.open.get(reserving.job_id)
        pending = job is not None and not any(
            job.id in status.running for status in self.statuses.newest.values()
        )
        return not pending or now - reserving.since > self.policy.start_within * _RESERVING_SHARE


def _ranges(found: ZoneCapacities) -> list[TaskRange]:
    """The tasks of a gang as one range for each shard, in the order of shards."""
    ranges, first = [], 0
    for shard in sorted({shard for shard, _ in found}):
        tasks = sum(count for (other, _), count in found.items() if other == shard)
        ranges.append(TaskRange(first, first + tasks, shard))
        first += tasks
    return ranges
