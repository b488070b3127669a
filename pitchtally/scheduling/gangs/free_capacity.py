"""Free capacity by shard and zone, less recent plans that statuses don't include yet."""

from __future__ import annotations

import math
from typing import NamedTuple

import trio

from ...jobs.resources import Resources, capacity_of, count_fitting, fits, resource_request
from ...membership.messages import MachineStatus, ShardStatus
from ...protocol import cloud_api, user_api
from ..capacity import CapacitySource, ShardZone, allows_machine_type
from ..context import SchedulingContext
from ..shards.shard_statuses import ShardStatuses

# Tasks of a job that fit into each zone of each shard, as an argument of `plan_gang`.
ZoneCapacities = dict[ShardZone, int]

# Sources that include the capacity that preemption would free.
_BY_PREEMPTION = (CapacitySource.PREEMPTIBLE, CapacitySource.OVER_GUARANTEE)
# Peer heartbeat intervals after which a shard's status includes the tasks planned before.
_BOOKING_HEARTBEAT_INTERVALS = 3


class _Booking(NamedTuple):
    """Capacity planned for tasks that the status of their shard may not include yet."""

    booked_at: float
    shard_zone: ShardZone
    task_request: Resources
    tasks: int


class FreeCapacity:
    """Free capacity by shard and zone, from the newest statuses.

    Statuses are renewed a few times a second. Two jobs planned between two statuses would
    both get the same machines, so the capacity of each plan stays booked for a few peer heartbeats.
    """

    def __init__(self, context: SchedulingContext, statuses: ShardStatuses) -> None:
        self.policy = context.policy
        self.machine_types = context.machine_types
        self.statuses = statuses
        self._bookings: list[_Booking] = []

    def book(self, now: float, spec: user_api.JobSpec, plan: ZoneCapacities) -> None:
        """Count the tasks of a plan as placed until the statuses include them."""
        for shard_zone, tasks in plan.items():
            self._bookings.append(_Booking(now, shard_zone, resource_request(spec), tasks))

    def by_zone(self, spec: user_api.JobSpec, source: CapacitySource) -> ZoneCapacities:
        """Return how many tasks each shard could start in each zone, less booked capacity."""
        oldest = trio.current_time() - self.policy.heartbeat_interval * _BOOKING_HEARTBEAT_INTERVALS
        self._bookings = [booking for booking in self._bookings if booking.booked_at > oldest]
        capacities: ZoneCapacities = {}
        for status in self.statuses.newest.values():
            for zone, tasks in self._in_shard(status, spec, source).items():
                capacities[ShardZone(status.shard, zone)] = tasks
        request = resource_request(spec)
        for booking in self._bookings:
            free = capacities.get(booking.shard_zone)
            if free is not None:
                displaced = _tasks_displaced(booking, request)
                capacities[booking.shard_zone] = max(0, free - displaced)
        return capacities

    def _in_shard(
        self, status: ShardStatus, spec: user_api.JobSpec, source: CapacitySource
    ) -> dict[str, int]:
        """Return how many tasks a shard could start in each zone.

        Cached for each status, source, resource request and constraint, since the cluster leader
        plans every pending gang several times a second.
        """
        request = resource_request(spec)
        cached = self.statuses.capacities_by_zone.setdefault(status.shard, {})
        key = (source, request, spec.types, spec.zone, spec.spot)
        tasks_by_zone = cached.get(key)
        if tasks_by_zone is not None:
            return tasks_by_zone
        tasks_by_zone = cached[key] = {}
        for (type_name, zone, spot), machines in self.statuses.groups_of(status).items():
            machine_type = self.machine_types().get(type_name)
            if machine_type is None or not allows_machine_type(spec, machine_type, zone, spot):
                continue
            total = 0
            for machine in machines:
                if machine.flag:
                    continue
                available = _available(machine, machine_type, status, source)
                if fits(request, available):
                    total += count_fitting(request, available)
            if total:
                tasks_by_zone[zone] = tasks_by_zone.get(zone, 0) + total
        return tasks_by_zone


def _available(
    machine: MachineStatus,
    machine_type: cloud_api.MachineType,
    status: ShardStatus,
    source: CapacitySource,
) -> Resources:
    """Return the resources that a gang may use; of a reserved machine, only the free ones."""
    available = machine.free
    if source is CapacitySource.RESERVED and machine.name not in status.reserved_machines:
        available = capacity_of(machine_type)
    elif source in _BY_PREEMPTION and machine.name not in status.reserved_machines:
        available = available.plus(machine.preemptible)
        if source is CapacitySource.OVER_GUARANTEE:
            available = available.plus(machine.over_guarantee)
    return available


def _tasks_displaced(booking: _Booking, request: Resources) -> int:
    """Return how many tasks with this request the booked tasks displace."""
    ratio = max(
        (
            booked / requested
            for booked, requested in zip(booking.task_request, request, strict=True)
            if requested
        ),
        default=0,
    )
    return math.ceil(booking.tasks * min(1.0, ratio))
