"""Tasks that each shard could start in each zone, less what was planned a moment ago."""

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

# Tasks of a job that fit into each zone of each shard; the form that `plan_gang` takes.
ZoneCapacities = dict[ShardZone, int]

# Sources that include what running tasks would free when preempted.
_BY_PREEMPTION = (CapacitySource.PREEMPTIBLE, CapacitySource.OVER_GUARANTEE)
# Peer heartbeat intervals after which a status shows the tasks that were planned before.
_BOOKING_INTERVALS = 3


class _Booking(NamedTuple):
    """Capacity planned for tasks that the status of their shard can't show yet."""

    at: float
    place: ShardZone
    request: Resources  # of one task
    tasks: int


class FreeCapacity:
    """Free capacity by shard and zone, from the newest statuses.

    Statuses are renewed a few times a second. Two jobs planned between two statuses would
    both be given the same machines, so each plan is booked for a few heartbeats.
    """

    def __init__(self, context: SchedulingContext, statuses: ShardStatuses) -> None:
        self.policy = context.policy
        self.machine_types = context.machine_types
        self.statuses = statuses
        self._bookings: list[_Booking] = []

    def book(self, now: float, spec: user_api.JobSpec, plan: ZoneCapacities) -> None:
        """Count the tasks of a plan as placed until the statuses show them."""
        for place, tasks in plan.items():
            self._bookings.append(_Booking(now, place, resource_request(spec), tasks))

    def by_zone(self, spec: user_api.JobSpec, source: CapacitySource) -> ZoneCapacities:
        """Tasks that each shard could start in each zone, less what is booked."""
        limit = trio.current_time() - self.policy.heartbeat_interval * _BOOKING_INTERVALS
        self._bookings = [booking for booking in self._bookings if booking.at > limit]
        capacities: ZoneCapacities = {}
        for status in self.statuses.newest.values():
            for zone, tasks in self._in_shard(status, spec, source).items():
                capacities[ShardZone(status.shard, zone)] = tasks
        request = resource_request(spec)
        for booking in self._bookings:
            free = capacities.get(booking.place)
            if free is not None:
                taken = _tasks_displaced(booking, request)
                capacities[booking.place] = max(0, free - taken)
        return capacities

    def _in_shard(
        self, status: ShardStatus, spec: user_api.JobSpec, source: CapacitySource
    ) -> dict[str, int]:
        """Tasks that a shard could start in each zone, computed once per status and job shape.

        The cluster leader plans every pending gang several times a second.
        """
        request = resource_request(spec)
        cached = self.statuses.capacities_by_zone.setdefault(status.shard, {})
        key = (source, request, spec.types, spec.zone, spec.spot)
        found = cached.get(key)
        if found is not None:
            return found
        found = cached[key] = {}
        for (type_, zone, spot), machines in self.statuses.groups_of(status).items():
            machine_type = self.machine_types().get(type_)
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
                found[zone] = found.get(zone, 0) + total
        return found


def _available(
    machine: MachineStatus,
    machine_type: cloud_api.MachineType,
    status: ShardStatus,
    source: CapacitySource,
) -> Resources:
    """What a gang may use of a machine; one that is reserved offers what is free alone."""
    available = machine.free
    if source is CapacitySource.RESERVED and machine.name not in status.reserved_machines:
        available = capacity_of(machine_type)
    elif source in _BY_PREEMPTION and machine.name not in status.reserved_machines:
        available = available.plus(machine.preemptible)
        if source is CapacitySource.OVER_GUARANTEE:
            available = available.plus(machine.over_guarantee)
    return available


def _tasks_displaced(booking: _Booking, request: Resources) -> int:
    """How many tasks with this request the booked ones leave no capacity for."""
    ratio = max(
        (
            booked / wanted
            for booked, wanted in zip(booking.request, request, strict=True)
            if wanted
        ),
        default=0,
    )
    return math.ceil(booking.tasks * min(1.0, ratio))
