"""The newest status of every shard, from this controller's planning and peer heartbeats."""

from __future__ import annotations

from typing import NamedTuple

import trio

from ...agents.machine import MachineGroupKey
from ...jobs.resources import (
    Resources,
    capacity_of,
    count_fitting,
    dominant_share,
    fits,
    resource_request,
)
from ...membership.membership import Membership
from ...membership.messages import MachineStatus, PeerHeartbeat, ShardStatus
from ...protocol import user_api
from ..capacity import allows_machine_type
from ..context import SchedulingContext
from .allocations import ShardState

# Number of peer heartbeats after which a shard's status includes an assignment of tasks to it.
REPORTING_HEARTBEATS = 3


class UnreportedAllocation(NamedTuple):
    """Tasks assigned to a shard that its newest status may not include yet."""

    recorded_at: float
    machine_seconds: float


class CapacityKey(NamedTuple):
    """Cache key of `ShardStatuses.free_capacity`: its inputs besides the status."""

    by_preemption: bool
    resources: Resources
    types: tuple[str, ...] | None
    zone: str | None
    spot: bool


class ShardStatuses:
    """The newest status of every shard, and values derived from it, cached until it changes."""

    def __init__(
        self,
        context: SchedulingContext,
        membership: Membership,
        shards: dict[int, ShardState],
    ) -> None:
        self.policy = context.policy
        self.agents = context.agents
        self.machine_types = context.machine_types
        self.estimates = context.estimates
        self.membership = membership
        self.shards = shards
        self.newest: dict[int, ShardStatus] = {}  # shard -> status; includes led shards
        self.received_at: dict[int, float] = {}  # shard -> receipt time; peers' shards only
        # Shard -> tasks that its newest status may not include yet.
        self.unreported: dict[int, list[UnreportedAllocation]] = {}
        # Three caches by shard, dropped when the shard's status changes.
        # Filled by `free_capacity`.
        self.capacities: dict[int, dict[CapacityKey, int]] = {}
        # Filled by `gangs.free_capacity.FreeCapacity`.
        self.capacities_by_zone: dict[int, dict[tuple[object, ...], dict[str, int]]] = {}
        # Filled by `groups_of`.
        self.groups: dict[int, dict[MachineGroupKey, list[MachineStatus]]] = {}

    def put(self, status: ShardStatus) -> None:
        """Store a status as the newest of its shard."""
        self.newest[status.shard] = status
        self._invalidate(status.shard)

    def apply_peer_heartbeat(self, heartbeat: PeerHeartbeat) -> None:
        """Store the statuses of shards that the sending peer leads; ignore all others."""
        for status in heartbeat.shards:
            leader = self.membership.leader(status.shard)
            if leader != heartbeat.node:
                continue
            self._invalidate(status.shard)
            self.received_at[status.shard] = trio.current_time()
            old = self.newest.get(status.shard)
            if not status.matrix and old is not None:
                status.matrix = old.matrix
            self.newest[status.shard] = status

    def _invalidate(self, shard: int) -> None:
        """Drop the values derived from a shard's previous status."""
        self.capacities.pop(shard, None)
        self.capacities_by_zone.pop(shard, None)
        self.groups.pop(shard, None)

    def groups_of(self, status: ShardStatus) -> dict[MachineGroupKey, list[MachineStatus]]:
        """Return the machines of a status by group.

        A job allows all machines of a group, or none.
        """
        by_group = self.groups.get(status.shard)
        if by_group is None:
            by_group = self.groups[status.shard] = {}
            for machine in status.machines:
                group = MachineGroupKey(machine.type, machine.zone, machine.spot)
                by_group.setdefault(group, []).append(machine)
        return by_group

    def drop_reported_allocations(self, now: float) -> None:
        """Drop allocations old enough to be included in the shard's status."""
        max_age_s = self.policy.heartbeat_interval * REPORTING_HEARTBEATS
        for shard, allocations in list(self.unreported.items()):
            self.unreported[shard] = [
                allocation for allocation in allocations if now - allocation.recorded_at < max_age_s
            ]
            if not self.unreported[shard]:
                del self.unreported[shard]

    def led_statuses(self) -> list[ShardStatus]:
        """Return the statuses of the shards that this controller leads, for its peers."""
        return [self.newest[shard] for shard in self.shards if shard in self.newest]

    def free_capacity(
        self, status: ShardStatus, spec: user_api.JobSpec, *, by_preemption: bool
    ) -> int:
        """Return how many tasks fit on the shard's machines now, or after preemption."""
        resources = resource_request(spec)
        # A status is replaced a few times per second, and this method is called far more often.
        task_counts = self.capacities.setdefault(status.shard, {})
        key = CapacityKey(by_preemption, resources, spec.types, spec.zone, spec.spot)
        count = task_counts.get(key)
        if count is not None:
            return count
        total = 0
        for (type_name, zone, spot), machines in self.groups_of(status).items():
            machine_type = self.machine_types().get(type_name)
            if machine_type is None or not allows_machine_type(spec, machine_type, zone, spot):
                continue
            for machine in machines:
                if machine.flag:
                    continue
                available = machine.free
                if by_preemption:
                    available = available.plus(machine.preemptible)
                if fits(resources, available):
                    total += count_fitting(resources, available)
        task_counts[key] = total
        return total

    def record_allocation(self, shard: int, spec: user_api.JobSpec, count: int) -> None:
        """Record assigned tasks, which lowers a shard's availability before its next status."""
        suitable_types = [
            machine_type
            for machine_type in self.machine_types().values()
            if fits(resource_request(spec), capacity_of(machine_type))
        ]
        if suitable_types:
            share = min(
                dominant_share(resource_request(spec), machine_type)
                for machine_type in suitable_types
            )
            machine_seconds = count * self.estimates.expected_run_s(spec) * share
            allocation = UnreportedAllocation(trio.current_time(), machine_seconds)
            self.unreported.setdefault(shard, []).append(allocation)

    def running(self, id: str) -> int:
        """Return how many tasks of a job are reported as running; for display only."""
        return sum(
            load.running
            for shard in self.shards
            for jobs in self.agents.placements.loads.get(shard, {}).values()
            if (load := jobs.get(id)) is not None
        ) or sum(
            status.running.get(id, 0)
            for status in self.newest.values()
            if status.shard not in self.shards
        )
