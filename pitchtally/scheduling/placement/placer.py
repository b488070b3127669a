"""Selection of the array and service tasks that start on a machine upon its heartbeat."""

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
from ..shards.eligibility import is_ready, machine_allowed
from ..shards.lower_price_capacity import TaskCapacity
from ..shards.task_start import next_attempt, place_task

# Another machine's price for a task, divided by this machine's price: below the first ratio
# the price counts as lower, below the second as similar.
LOWER_PRICE_RATIO, SIMILAR_PRICE_RATIO = 0.8, 1.2
# Number of machines of a group that are checked to decide whether a job may use the group.
GROUP_SAMPLE_MACHINES = 3
# A smaller amount of a resource counts as none.
MIN_AVAILABLE_AMOUNT = 1e-6


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
        """Place tasks on a machine whose agent sent a heartbeat; return those to start."""
        now = trio.current_time()
        state = self.shards.get(machine.shard)
        if state is None or not state.loaded:
            return []
        if machine.quarantined_until < now:
            self.gang_starter.start(state, machine.shard)
            self._start_pending(state, machine, now)
        return [
            placement
            for placement in machine.placements.values()
            if not placement.start_heartbeat_seq
            and not placement.observed
            and placement.stop_grace is None
        ]

    def _start_pending(self, state: ShardState, machine: Machine, now: float) -> None:
        available = machine.available()
        if (
            available[0] + MIN_AVAILABLE_AMOUNT < state.smallest_request[0]
            or available[2] + MIN_AVAILABLE_AMOUNT < state.smallest_request[1]
        ):
            return
        if min(available[0], available[2]) <= MIN_AVAILABLE_AMOUNT:
            return
        for id in self._startable_jobs(state, machine, available, now):
            allocation = state.allocations[id]
            count = self._max_starts(state, allocation, machine, available, now)
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
                self._dequeue(state, machine.group, id)
            if count > 0:
                self._record_starts(allocation, machine, count)

    def _startable_jobs(
        self, state: ShardState, machine: Machine, available: Resources, now: float
    ) -> list[str]:
        """Return the jobs of which a task could start on the machine now, in priority order.

        Among jobs of equal priority, those queued on the machine's group come first. The time
        to fetch an image that isn't cached is added to the job's deadline.
        """
        reserved_for = self._reserved_for(state, machine, now)
        group_queue = state.queues.get(machine.group, {})
        machine_group = state.machine_groups.get(machine.group)
        least_stretch = (
            machine_group.least_stretch if machine_group is not None else self.samples.stretches[0]
        )
        candidates = []
        for id, allocation in state.allocations.items():
            if not allocation.pending.count or allocation.gang:
                continue
            if not fits(allocation.resources, available) or not is_ready(
                state, id, allocation, now
            ):
                continue
            if reserved_for is not None and id != reserved_for:
                continue
            if not machine_allowed(allocation, machine, self.policy.unhealthy_rest):
                continue
            spec = allocation.spec
            rank, over_guarantee, deadline = self.priorities.key(allocation, least_stretch)
            if (
                spec.image
                and spec.image not in machine.cached_images
                and machine.machine_type is not None
            ):
                deadline += spec.image_gb / max(machine.machine_type.fetch_rate, 1e-3)
            candidates.append((rank, over_guarantee, deadline, not group_queue.get(id, 0), id))
        return [candidate[-1] for candidate in sorted(candidates)]

    def _reserved_for(self, state: ShardState, machine: Machine, now: float) -> str | None:
        """Return the job that the machine is reserved for; end an obsolete reservation."""
        if machine.reservation is None:
            return None
        id, until = machine.reservation
        allocation = state.allocations.get(id)
        if until < now or allocation is None or not allocation.pending.count:
            machine.reservation = None
            return None
        return id

    def _max_starts(
        self,
        state: ShardState,
        allocation: ShardAllocation,
        machine: Machine,
        available: Resources,
        now: float,
    ) -> int:
        """Return how many tasks of a job may start on a machine with these free resources."""
        spec = allocation.spec
        limit = min(count_fitting(allocation.resources, available), allocation.pending.count)
        if limit:
            limit = min(limit, self.quotas.tasks_within_limit(machine.shard, spec))
        if limit and not allocation.aged:
            lower_price_tasks = self._lower_price_capacity(state, allocation, machine)
            limit = min(limit, allocation.pending.count - lower_price_tasks)
        if allocation.aged:
            limit = min(limit, 1)
        if allocation.faulty:
            # One task at a time is enough to detect whether the job still fails.
            limit = min(limit, 1 - len(allocation.placed))
        if spec.spread and spec.tasks > 1 and limit:
            zone = machine.zone
            limit = min(limit, allocation.max_tasks_in_zone(zone) - allocation.placed_in(zone))
        return limit

    def _record_starts(self, allocation: ShardAllocation, machine: Machine, count: int) -> None:
        """Update the cached capacity and end the reservation after starts on a machine."""
        available = allocation.capacity_by_group.get(machine.group)
        if available is not None:
            available.subtract(count)
        if allocation.aged:
            allocation.aged = False  # precedence ends with the start of one task
            if machine.reservation and machine.reservation.job_id == allocation.job.id:
                machine.reservation = None
        if not allocation.pending.count:
            machine.reservation = None

    def _lower_price_capacity(
        self, state: ShardState, allocation: ShardAllocation, machine: Machine
    ) -> int:
        """Return how many tasks of a job fit on machines of its shard that should be used first.

        Their agents send heartbeats within `agent_heartbeat_s`, so the tasks wait that long at
        most, and the more expensive machine stays free for other jobs or is terminated.
        """
        spec = allocation.spec
        if self.agent_heartbeat_s > self.policy.defer_share * self.priorities.slack(spec):
            return 0  # jobs of this class can't wait for even one heartbeat
        price = self.price(spec, machine)
        total = 0
        for group, machine_group in state.machine_groups.items():
            other_price = self.price(spec, machine_group.machines[0])
            lower = other_price < price * LOWER_PRICE_RATIO
            # Among machines of similar price, an idle one stays idle while busy ones have
            # capacity, so that it can be terminated.
            similar = not machine.placements and other_price < price * SIMILAR_PRICE_RATIO
            if not lower and not similar:
                continue
            capacity = self._capacity_in(state, allocation, group)
            total += capacity.on_busy + (capacity.on_idle if lower else 0)
        return total

    def _capacity_in(
        self, state: ShardState, allocation: ShardAllocation, group: MachineGroupKey
    ) -> TaskCapacity:
        """Return how many tasks of a job fit on a group: at the last survey, less later starts."""
        capacity = allocation.capacity_by_group.get(group)
        if capacity is None:
            capacities = state.capacities.get(group)
            if capacities is None or not self._group_allowed(state, allocation, group):
                capacity = TaskCapacity()
            else:
                capacity = capacities.for_tasks(allocation.resources, allocation.pending.count)
            allocation.capacity_by_group[group] = capacity
        return capacity

    def _group_allowed(
        self, state: ShardState, allocation: ShardAllocation, group: MachineGroupKey
    ) -> bool:
        """Return whether the job may use a group, by a sample of its machines.

        A sample is enough, since the job avoids only the few machines on which it failed.
        """
        machines = state.machine_groups[group].machines
        return any(
            machine_allowed(allocation, machine, self.policy.unhealthy_rest)
            for machine in machines[:GROUP_SAMPLE_MACHINES]
        )

    def price(self, spec: user_api.JobSpec, machine: Machine) -> float:
        """Return the price per hour of the share of the machine that one task of the job uses."""
        machine_type = machine.machine_type
        if machine_type is None:
            return math.inf
        per_hour = (
            (machine_type.spot_price or machine_type.price) if machine.spot else machine_type.price
        )
        return per_hour * dominant_share(resource_request(spec), machine_type)

    def _dequeue(self, state: ShardState, group: MachineGroupKey, id: str) -> None:
        """Dequeue a started task from the group's queue, else from the longest that has the job."""
        group_queue = state.queues.get(group)
        if group_queue and group_queue.get(id, 0):
            group_queue[id] -= 1
            return
        longest = max(
            (queue for queue in state.queues.values() if queue.get(id, 0)),
            key=lambda queue: sum(queue.values()),
            default=None,
        )
        if longest is not None:
            longest[id] -= 1
