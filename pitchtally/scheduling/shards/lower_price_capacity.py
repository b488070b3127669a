"""Capacity for a job's tasks on lower-priced machines, to keep expensive machines free.

The placer reads this capacity on each agent heartbeat, so it is cached. Each survey lists the free
resources of a shard's machines by machine group. A job scans a group at most once per survey, only
if its request fits the largest free amounts there, and only until all its pending tasks fit.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from ...agents.machine import Machine, MachineGroupKey
from ...jobs.resources import NO_RESOURCES, Resources, count_fitting, fits


@dataclass(slots=True)
class TaskCapacity:
    """Number of tasks of a job that fit on the machines of a group."""

    on_busy: int = 0  # on machines with placements
    on_idle: int = 0  # on empty machines

    def subtract(self, count: int) -> None:
        """Subtract tasks that were started in the group, from busy machines first."""
        from_busy = min(count, self.on_busy)
        self.on_busy -= from_busy
        self.on_idle = max(0, self.on_idle - (count - from_busy))


@dataclass(slots=True)
class GroupCapacity:
    """Free resources of each machine of a group that accepts tasks."""

    busy: list[Resources] = field(default_factory=list)
    idle: list[Resources] = field(default_factory=list)
    largest: Resources = NO_RESOURCES  # the maximum of each resource

    def add(self, machine: Machine) -> None:
        """Add the free resources of a machine."""
        free = machine.available()
        (self.busy if machine.placements else self.idle).append(free)
        largest = self.largest
        self.largest = Resources(
            max(largest.cpus, free.cpus),
            max(largest.gpus, free.gpus),
            max(largest.memory, free.memory),
        )

    def for_tasks(self, resources: Resources, limit: int) -> TaskCapacity:
        """Return how many such tasks fit; stop counting at `limit` for busy and for idle."""
        if not fits(resources, self.largest):
            return TaskCapacity()
        return TaskCapacity(
            _count_tasks(resources, self.busy, limit), _count_tasks(resources, self.idle, limit)
        )


def _count_tasks(resources: Resources, capacities: list[Resources], limit: int) -> int:
    total = 0
    for available in capacities:
        if fits(resources, available):
            total += count_fitting(resources, available)
            if total >= limit:
                break
    return total


def list_capacities(
    machines: Iterable[Machine], now: float, heartbeat_timeout_s: float
) -> dict[MachineGroupKey, GroupCapacity]:
    """Return the free resources of unreserved machines, by group.

    `heartbeat_timeout_s`: seconds since its last heartbeat after which a machine is left out.
    """
    capacities: dict[MachineGroupKey, GroupCapacity] = {}
    for machine in machines:
        if machine.reservation is not None and machine.reservation.until >= now:
            continue
        if now - machine.last_heartbeat_at > heartbeat_timeout_s:
            continue
        capacities.setdefault(machine.group, GroupCapacity()).add(machine)
    return capacities
