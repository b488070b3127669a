"""What shards tell one another of themselves, and what is worked out from it."""

from __future__ import annotations

import trio

from ...agents.machine import MachineGroupKey
from ...jobs.resources import capacity_of, count_fitting, dominant_share, fits, resource_request
from ...membership.membership import Membership
from ...membership.messages import MachineStatus, PeerHeartbeat, ShardStatus
from ...protocol import user_api
from ..capacity import allows_machine_type
from ..context import SchedulingContext
from .allocations import ShardState


class ShardStatuses:
    """The newest status of every shard, and results cached until the next one."""

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
        self.newest: dict[int, ShardStatus] = {}  # of every shard, ours included
        self.received_at: dict[int, float] = {}  # when a peer's status came
        self.unreported: dict[int, list[tuple[float, float]]] = {}
        self.capacities: dict[int, dict[tuple[object, ...], int]] = {}  # see `free_capacity`
        self.zones: dict[int, dict[tuple[object, ...], dict[str, int]]] = {}  # see `GangPlanner`
        self.groups: dict[int, dict[MachineGroupKey, list[MachineStatus]]] = {}  # see `groups_of`

    def put(self, status: ShardStatus) -> None:
        """Take in a status as the newest of its shard."""
        self.newest[status.shard] = status
        self._renewed(status.shard)

    def take_heartbeat(self, heartbeat: PeerHeartbeat) -> None:
        """Take in what a peer tells of the shards that it owns."""
        for status in heartbeat.shards:
            leader = self.membership.leader(status.shard)
            if leader != heartbeat.node:
                continue
            self._renewed(status.shard)
            self.received_at[status.shard] = trio.current_time()
            old = self.newest.get(status.shard)
            if not status.matrix and old is not None:
                status.matrix = old.matrix
            self.newest[status.shard] = status

    def _renewed(self, shard: int) -> None:
        """What was worked out from a shard's last status is worth nothing any more."""
        self.capacities.pop(shard, None)
        self.zones.pop(shard, None)
        self.groups.pop(shard, None)

    def groups_of(self, status: ShardStatus) -> dict[MachineGroupKey, list[MachineStatus]]:
        """A status's machines by what decides whether a job may use them."""
        found = self.groups.get(status.shard)
        if found is None:
            found = self.groups[status.shard] = {}
            for machine in status.machines:
                group = MachineGroupKey(machine.type, machine.zone, machine.spot)
                found.setdefault(group, []).append(machine)
        return found

    def forget_old_allocations(self, now: float) -> None:
        """After a few heartbeats a shard's own status shows what it was sent."""
        limit = self.policy.heartbeat_interval * 3
        for shard, rows in list(self.unreported.items()):
            self.unreported[shard] = [r for r in rows if now - r[0] < limit]
            if not self.unreported[shard]:
                del self.unreported[shard]

    def own(self) -> list[ShardStatus]:
        """What this node tells of its own shards."""
        return [self.newest[p] for p in self.shards if p in self.newest]

    def free_capacity(
        self, status: ShardStatus, spec: user_api.JobSpec, *, by_preemption: bool
    ) -> int:
        """How many tasks the shard's machines could take now (or by preempting)."""
        resources = resource_request(spec)
        # Statuses are renewed a few times a second, and asked about far more often.
        known = self.capacities.setdefault(status.shard, {})
        key = (by_preemption, resources, spec.types, spec.zone, spec.spot)
        found = known.get(key)
        if found is not None:
            return found
        total = 0
        for (type_, zone, spot), machines in self.groups_of(status).items():
            machine_type = self.machine_types().get(type_)
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
        known[key] = total
        return total

    def record_allocation(self, shard: int, spec: user_api.JobSpec, count: int) -> None:
        """Lower a shard's availability at once, before its next matrix shows it."""
        kinds = [
            k for k in self.machine_types().values() if fits(resource_request(spec), capacity_of(k))
        ]
        if kinds:
            share = min(dominant_share(resource_request(spec), k) for k in kinds)
            work = count * self.estimates.task(spec) * share
            self.unreported.setdefault(shard, []).append((trio.current_time(), work))

    def running(self, id: str) -> int:
        """Tasks of a job running on machines that this node knows of, for display."""
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
