"""Plans jobs whose tasks all go to one shard."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

import trio

from ...jobs.job_record import TaskRange
from ...jobs.resources import capacity_of, count_fitting, resource_request
from ...membership.messages import MachineFlag, ShardStatus
from ...protocol import user_api
from ..capacity import CapacitySource, Plan, allows_machine_type, displacement_ratio, plan_gang
from ..context import SchedulingContext
from ..shards.shard_statuses import ShardStatuses
from .free_capacity import FreeCapacity, ZoneCapacities

# Machines that are expected to take tasks, whether or not agent heartbeats arrive at present.
_EXPECTED_USABLE_FLAGS = frozenset({MachineFlag.USABLE, MachineFlag.LOST, MachineFlag.SUSPECT})
# Those, and machines whose first agent heartbeat is still outstanding.
_EXPECTED_USABLE_OR_NEW_FLAGS = _EXPECTED_USABLE_FLAGS | {MachineFlag.NEW}


class _ShardCapacity(NamedTuple):
    """A shard that has capacity for all replicas of a service."""

    negated_capacity: int  # replicas that fit, negated, so that the minimum is the best
    shard: int
    plan: ZoneCapacities


class _ZoneCapacity(NamedTuple):
    """Capacity of a zone, in tasks of one job."""

    free_tasks: float  # tasks that fit now
    tasks_if_empty: float  # tasks that would fit if nothing else ran in the zone


class SingleShardPlanner:
    """Picks the shard, and the zone, of a job that must not be split over shards."""

    def __init__(
        self, context: SchedulingContext, statuses: ShardStatuses, free_capacity: FreeCapacity
    ) -> None:
        self.job_index = context.job_index
        self.machine_types = context.machine_types
        self.statuses = statuses
        self.free_capacity = free_capacity

    def plan(self, spec: user_api.JobSpec) -> Plan | None:
        """Return the shard, and the zone if the job needs one; None if no shard can hold it."""
        if spec.is_service:
            plan = self.plan_service(spec, self.statuses.newest)
            if plan is not None:
                return plan
        best = self.best_shard(spec)
        if best is None:
            return None
        ranges = [TaskRange(0, spec.tasks, best)]
        zone = self.pick_zone(spec, ranges)
        if zone is None and spec.one_zone and spec.tasks > 1:
            return None
        return Plan(ranges, zone)

    def plan_service(self, spec: user_api.JobSpec, shards: Iterable[int]) -> Plan | None:
        """Plan a service in one of these shards with capacity for all replicas.

        Capacity that needs preemption is used only if no shard has enough without it. Returns None
        if no shard has the capacity; the replicas are then placed wherever some of them fit.
        """
        now = trio.current_time()
        for source in (CapacitySource.FREE, CapacitySource.PREEMPTIBLE):
            capacities = self.free_capacity.by_zone(spec, source)
            candidates = []
            for shard in shards:
                in_shard = {
                    shard_zone: count
                    for shard_zone, count in capacities.items()
                    if shard_zone.shard == shard
                }
                placement = plan_gang(
                    in_shard, spec.tasks, one_zone=spec.one_zone, spread=spec.spread
                )
                if placement is not None:
                    candidates.append(_ShardCapacity(-sum(in_shard.values()), shard, placement))
            if candidates:
                _, shard, placement = min(candidates, key=lambda candidate: candidate[:2])
                self.free_capacity.book(now, spec, placement)
                zone_bound = spec.one_zone and spec.tasks > 1
                zone = next(zone for _, zone in placement) if zone_bound else None
                return Plan([TaskRange(0, spec.tasks, shard)], zone)
        return None

    def pick_zone(
        self, spec: user_api.JobSpec, ranges: list[TaskRange], *, zone_bound: bool | None = None
    ) -> str | None:
        """Return the zone for a one-zone job of several tasks, fixed before its first start.

        `zone_bound` overrides whether the job is bound to a zone, which otherwise follows from the
        number of tasks in `spec`. Returns None if it isn't bound, or if no zone can hold it.
        """
        if not spec.one_zone or not (spec.tasks > 1 if zone_bound is None else zone_bound):
            return None
        if spec.zone is not None:
            return spec.zone
        task_count = spec.tasks if spec.kind == user_api.GANG else 1
        best = max(
            self._zone_capacities(spec, {shard for _, _, shard in ranges}).items(),
            default=None,
            key=lambda item: (
                item[1].free_tasks >= task_count,
                item[1].tasks_if_empty >= task_count,
                *item[1],
            ),
        )
        return best[0] if best is not None and best[1].tasks_if_empty >= task_count else None

    def _zone_capacities(
        self, spec: user_api.JobSpec, shards: set[int]
    ) -> dict[str, _ZoneCapacity]:
        """Return how many tasks fit into each zone of these shards; of all if `shards` is empty."""
        request = resource_request(spec)
        capacities: dict[str, _ZoneCapacity] = {}
        for status in self.statuses.newest.values():
            if shards and status.shard not in shards:
                continue
            for machine in status.machines:
                machine_type = self.machine_types().get(machine.type)
                if machine_type is None or machine.flag not in _EXPECTED_USABLE_OR_NEW_FLAGS:
                    continue
                if not allows_machine_type(spec, machine_type, machine.zone, machine.spot):
                    continue
                free_tasks, tasks_if_empty = capacities.get(machine.zone, (0.0, 0.0))
                capacities[machine.zone] = _ZoneCapacity(
                    free_tasks + count_fitting(request, machine.free),
                    tasks_if_empty + count_fitting(request, capacity_of(machine_type)),
                )
        return capacities

    def best_shard(self, spec: user_api.JobSpec) -> int | None:
        """Return the shard with capacity now, else by preemption, else with the shortest queue.

        Returns None if no shard's machines could hold the job even when empty.
        """
        candidates = []
        for status in self.statuses.newest.values():
            capacity = self._empty_capacity(status, spec)
            if capacity < (spec.tasks if spec.kind == user_api.GANG else 1):
                continue
            queued_tasks = sum(
                count * displacement_ratio(spec, self.job_index.open.get(id))
                for id, count in status.pending.items()
            )
            unreported = len(self.statuses.unreported.get(status.shard, ()))
            free_tasks = self.statuses.free_capacity(status, spec, by_preemption=False) - unreported
            tasks_by_preemption = (
                self.statuses.free_capacity(status, spec, by_preemption=True) - unreported
            )
            candidates.append(
                (
                    free_tasks < spec.tasks,
                    tasks_by_preemption < spec.tasks,
                    queued_tasks / capacity,
                    status.shard,
                )
            )
        if not candidates:
            return None
        best = min(candidates)[3]
        self.statuses.record_allocation(best, spec, spec.tasks)
        return best

    def _empty_capacity(self, status: ShardStatus, spec: user_api.JobSpec) -> int:
        """Return how many tasks a shard's machines could hold if nothing else ran on them."""
        return sum(
            count_fitting(resource_request(spec), capacity_of(machine_type))
            for machine in status.machines
            if machine.flag in _EXPECTED_USABLE_FLAGS
            and (machine_type := self.machine_types().get(machine.type)) is not None
            and allows_machine_type(spec, machine_type, machine.zone, machine.spot)
        )
