"""Which tasks start on a machine whose agent has just sent a heartbeat."""

from __future__ import annotations

import math

import trio

from ...agents.machine import Machine, MachineGroupKey, Placement
from ...jobs.resources import Resources, count_fitting, dominant_share, fits, resource_request
from ...protocol import user_api
from ..context import SchedulingContext
from ..gangs.starter import GangStarter
from ..priorities import PriorityOrder
from ..quotas.quotas import Quotas
from ..shards.allocations import ShardAllocation, ShardState
from ..shards.eligibility import is_ready, machine_ok
from ..shards.lower_price_capacity import TaskCapacity
from ..shards.task_start import next_attempt, place_task

# Shares of a machine's cost for a task below which another is cheaper, or as dear.
CHEAPER, ALIKE = 0.8, 1.2
# Machines of a group that are asked whether the group is allowed at all.
SAMPLE = 3


class Placer:
    """Starts a shard's tasks on its machines; implements `agents.listener.TaskStarter`."""

    def __init__(
        self,
        context: SchedulingContext,
        shards: dict[int, ShardState],
        priorities: PriorityOrder,
        quotas: Quotas,
        gang_starter: GangStarter,
    ) -> None:
        self.policy = context.policy
        self.agents = context.agents
        self.samples = context.samples
        self.agent_heartbeat_s = context.agent_heartbeat_s
        self.shards = shards
        self.priorities = priorities
        self.quotas = quotas
        self.gang_starter = gang_starter

    def schedule_on(self, machine: Machine) -> list[Placement]:
        """The starts for a machine that has just reported."""
        now = trio.current_time()
        work = self.shards.get(machine.shard)
        if work is None or not work.loaded:
            return []
        if machine.quarantined_until < now:
            self.gang_starter.start(work, machine.shard)
            self._start_arrays(work, machine, now)
        return [
            p
            for p in machine.placements.values()
            if not p.start_heartbeat_seq and not p.observed and p.stop_grace is None
        ]

    def _start_arrays(self, work: ShardState, machine: Machine, now: float) -> None:
        available = machine.available()
        if available[0] + 1e-6 < work.least[0] or available[2] + 1e-6 < work.least[1]:
            return
        if min(available[0], available[2]) <= 1e-6:
            return
        for id in self._startable(work, machine, available, now):
            allocation = work.allocations[id]
            count = self._most_to_start(work, allocation, machine, available, now)
            resources = allocation.resources
            for _ in range(count):
                place_task(
                    self.agents,
                    allocation,
                    allocation.pending.pop(),
                    machine,
                    next_attempt(self.agents, machine.shard),
                )
                available = available.minus(resources)
                self._take_from_queue(work, machine.group, id)
            if count > 0:
                self._has_started(allocation, machine, count)

    def _startable(
        self, work: ShardState, machine: Machine, available: Resources, now: float
    ) -> list[str]:
        """Arrays of which a task could start on the machine, in the order of starts."""
        kept = self._kept_for(work, machine, now)
        own = work.queues.get(machine.group, {})
        machine_group = work.machine_groups.get(machine.group)
        level = machine_group.level if machine_group is not None else self.samples.stretches[0]
        rows = []
        for id, allocation in work.allocations.items():
            if not allocation.pending.count or allocation.gang:
                continue
            if not fits(allocation.resources, available) or not is_ready(work, id, allocation, now):
                continue
            if kept is not None and id != kept:
                continue
            if not machine_ok(allocation, machine, self.policy.unhealthy_rest):
                continue
            spec = allocation.spec
            rank, over, due = self.priorities.key(allocation, level)
            if (
                spec.image
                and spec.image not in machine.cached_images
                and machine.machine_type is not None
            ):
                due += spec.image_gb / max(machine.machine_type.fetch_rate, 1e-3)
            rows.append((rank, over, due, not own.get(id, 0), id))
        return [row[-1] for row in sorted(rows)]

    def _kept_for(self, work: ShardState, machine: Machine, now: float) -> str | None:
        """The job that the machine's room is kept for, if it still waits for it."""
        if machine.reservation is None:
            return None
        id, until = machine.reservation
        allocation = work.allocations.get(id)
        if until < now or allocation is None or not allocation.pending.count:
            machine.reservation = None
            return None
        return id

    def _most_to_start(
        self,
        work: ShardState,
        allocation: ShardAllocation,
        machine: Machine,
        available: Resources,
        now: float,
    ) -> int:
        """How many tasks of an array may start on a machine with this room."""
        spec = allocation.spec
        limit = min(count_fitting(allocation.resources, available), allocation.pending.count)
        if limit:
            limit = min(limit, self.quotas.tasks_within_limit(machine.shard, spec))
        if limit and not allocation.aged:
            better = self._better_room(work, allocation, machine)
            limit = min(limit, allocation.pending.count - better)
        if allocation.aged:
            limit = min(limit, 1)
        if allocation.faulty:
            # One task at a time tells whether it still fails.
            limit = min(limit, 1 - len(allocation.placed))
        if spec.spread and spec.tasks > 1 and limit:
            zone = machine.zone
            limit = min(limit, allocation.most_in_zone(zone) - allocation.placed_in(zone))
        return limit

    def _has_started(self, allocation: ShardAllocation, machine: Machine, count: int) -> None:
        available = allocation.capacity_in.get(machine.group)
        if available is not None:
            available.take(count)
        if allocation.aged:
            allocation.aged = False  # it has begun: others' turn
            if machine.reservation and machine.reservation.job_id == allocation.job.id:
                machine.reservation = None
        if not allocation.pending.count:
            machine.reservation = None

    def _better_room(self, work: ShardState, allocation: ShardAllocation, machine: Machine) -> int:
        """Tasks of this job that machines of its shard with less to lose have room for.

        Their agents send heartbeats within `agent_heartbeat_s`, so the tasks wait that long at
        most, and the dear or sought-after machine stays free for others, or goes back.
        """
        spec = allocation.spec
        if self.agent_heartbeat_s > self.policy.defer_share * self.priorities.slack(spec):
            return 0  # even one report's wait is dear to this class
        cost = self.cost(spec, machine)
        available = 0
        for group, machine_group in work.machine_groups.items():
            theirs = self.cost(spec, machine_group.machines[0])
            cheaper = theirs < cost * CHEAPER
            # Between machines as dear as one another, an idle one is left alone so
            # that it can go back, while busy ones have room.
            alike = not machine.placements and theirs < cost * ALIKE
            if not cheaper and not alike:
                continue
            found = self._room_in(work, allocation, group)
            available += found.on_busy + (found.on_idle if cheaper else 0)
        return available

    def _room_in(
        self, work: ShardState, allocation: ShardAllocation, group: MachineGroupKey
    ) -> TaskCapacity:
        """Tasks of a job that a group takes, as of the last survey and its own starts since."""
        found = allocation.capacity_in.get(group)
        if found is None:
            capacities = work.capacities.get(group)
            if capacities is None or not self._group_ok(work, allocation, group):
                found = TaskCapacity()
            else:
                found = capacities.for_tasks(allocation.resources, allocation.pending.count)
            allocation.capacity_in[group] = found
        return found

    def _group_ok(
        self, work: ShardState, allocation: ShardAllocation, group: MachineGroupKey
    ) -> bool:
        """Whether the job may use a group; machines on which it failed are few."""
        machines = work.machine_groups[group].machines
        return any(
            machine_ok(allocation, each, self.policy.unhealthy_rest) for each in machines[:SAMPLE]
        )

    def cost(self, spec: user_api.JobSpec, machine: Machine) -> float:
        """What an hour of one such task takes of a machine, in money."""
        machine_type = machine.machine_type
        if machine_type is None:
            return math.inf
        price = (
            (machine_type.spot_price or machine_type.price) if machine.spot else machine_type.price
        )
        return price * dominant_share(resource_request(spec), machine_type)

    def _take_from_queue(self, work: ShardState, group: MachineGroupKey, id: str) -> None:
        """From the machines' own queue, else from the longest of the shard that has it."""
        own = work.queues.get(group)
        if own and own.get(id, 0):
            own[id] -= 1
            return
        longest = max(
            (q for q in work.queues.values() if q.get(id, 0)),
            key=lambda q: sum(q.values()),
            default=None,
        )
        if longest is not None:
            longest[id] -= 1
