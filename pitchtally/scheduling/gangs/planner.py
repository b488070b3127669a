"""Plans gangs where there is capacity for all tasks at once, in one shard or over several."""

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

# The low bits of an attempt number are a counter, the high bits a fencing token.
_COUNTER_BITS = 24
# Set in attempts that all shards of a gang share; clear in attempts that one shard numbers.
_SHARED_ATTEMPT_FLAG = 1 << 23
# Share of `start_within` for which one gang alone may reserve machines over several shards.
_RESERVING_SHARE = 1 / 4


class _ReservingGang(NamedTuple):
    """The one gang for which machines may be reserved over several shards."""

    job_id: str
    planned_at: float


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
        self._shared_attempts = 0  # count of shared attempts planned by this process
        self._reserving_gang: _ReservingGang | None = None

    def plan(self, spec: user_api.JobSpec, token: int, job: Job | None = None) -> Plan | None:
        """Plan all tasks of a gang: in one shard if it has the capacity, else over several.

        Shards that share a gang start the same attempt. The attempt's number contains `token`, a
        fencing token of this controller, so no other controller ever uses that number. `job` is
        None on acceptance. Returns None if the team's limit or the machines lack capacity for all
        tasks.
        """
        if self.quotas.limit_left(spec) < spec.tasks:
            return None
        now = trio.current_time()
        for source in self._sources(spec, job, now):
            capacities = self.free_capacity.by_zone(spec, source)
            placement = plan_gang(
                capacities, spec.tasks, one_zone=spec.one_zone, spread=spec.spread
            )
            if placement is not None:
                return self._accept(spec, token, source, placement, now)
        return None

    def _sources(self, spec: user_api.JobSpec, job: Job | None, now: float) -> list[CapacitySource]:
        """Return the sources of capacity that the gang may use, least disruptive first."""
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
        placement: ZoneCapacities,
        now: float,
    ) -> Plan:
        """Book the planned capacity, and return the plan as task ranges."""
        self.free_capacity.book(now, spec, placement)
        ranges = _ranges(placement)
        attempt = self._next_shared_attempt(token) if len(ranges) > 1 else 0
        if source is CapacitySource.RESERVED:
            self._reserving_gang = _ReservingGang(spec.id, now)
        log.info(
            "gang planned job=%s shards=%d attempt=%d source=%s",
            spec.id,
            len(ranges),
            attempt,
            source.name,
        )
        zone = next(shard_zone.zone for shard_zone in placement) if spec.one_zone else None
        zone_caps = []
        if spec.spread and len(ranges) > 1:
            zone_caps = [
                ZoneCap(shard_zone.shard, shard_zone.zone, tasks)
                for shard_zone, tasks in placement.items()
            ]
        return Plan(ranges, zone, attempt, zone_caps)

    def _next_shared_attempt(self, token: int) -> int:
        self._shared_attempts += 1
        return (token << _COUNTER_BITS) + _SHARED_ATTEMPT_FLAG + self._shared_attempts

    def _may_reserve(self, job_id: str, now: float) -> bool:
        """Return whether machines over several shards may be reserved for this gang.

        Only one gang at a time may have them: two gangs could each reserve half of the machines
        that the other needs.
        """
        current = self._reserving_gang
        if current is None or current.job_id == job_id:
            return True
        job = self.job_index.open.get(current.job_id)
        pending = job is not None and not any(
            job.id in status.running for status in self.statuses.newest.values()
        )
        return not pending or now - current.planned_at > self.policy.start_within * _RESERVING_SHARE


def _ranges(placement: ZoneCapacities) -> list[TaskRange]:
    """Return the tasks of a gang as one range for each shard, in the order of shard numbers."""
    ranges, first = [], 0
    for shard in sorted({shard for shard, _ in placement}):
        tasks = sum(
            count for (placed_shard, _), count in placement.items() if placed_shard == shard
        )
        ranges.append(TaskRange(first, first + tasks, shard))
        first += tasks
    return ranges
