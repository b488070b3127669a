"""Room that cheaper machines of a shard have for a task, so that it leaves dear ones free.

Asked for at each report. The rooms of a shard's machines are listed once a survey, by groups
of like machines; a job then walks a group at most once a survey, and only if one of its
machines may have room, until it has found room for all that waits.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from ...agents.machine import Machine, MachineGroupKey
from ...jobs.resources import NO_RESOURCES, Resources, count_fitting, fits


@dataclass(slots=True)
class TaskCapacity:
    """How many tasks of a job a group of like machines takes."""

    on_busy: int = 0
    on_idle: int = 0

    def take(self, count: int) -> None:
        """So many have been started there."""
        from_busy = min(count, self.on_busy)
        self.on_busy -= from_busy
        self.on_idle = max(0, self.on_idle - (count - from_busy))


@dataclass(slots=True)
class GroupCapacity:
    """What is free on each machine of a group that takes work."""

    busy: list[Resources] = field(default_factory=list)
    idle: list[Resources] = field(default_factory=list)
    largest: Resources = NO_RESOURCES  # by resource, of all of them

    def add(self, machine: Machine) -> None:
        """List a machine."""
        free = machine.available()
        (self.busy if machine.placements else self.idle).append(free)
        a, b, c = self.largest
        self.largest = Resources(max(a, free[0]), max(b, free[1]), max(c, free[2]))

    def for_tasks(self, resources: Resources, most: int) -> TaskCapacity:
        """Room for tasks of this need, counted up to `most` of each kind."""
        if not fits(resources, self.largest):
            return TaskCapacity()
        return TaskCapacity(_count(resources, self.busy, most), _count(resources, self.idle, most))


def _count(resources: Resources, capacities: list[Resources], most: int) -> int:
    found = 0
    for available in capacities:
        if fits(resources, available):
            found += count_fitting(resources, available)
            if found >= most:
                break
    return found


def list_capacities(
    machines: Iterable[Machine], now: float, longest_silence: float
) -> dict[MachineGroupKey, GroupCapacity]:
    """The rooms of machines that take work and report, by group."""
    found: dict[MachineGroupKey, GroupCapacity] = {}
    for machine in machines:
        if machine.reservation is not None and machine.reservation.until >= now:
            continue
        if now - machine.last_heartbeat_at > longest_silence:
            continue
        found.setdefault(machine.group, GroupCapacity()).add(machine)
    return found
