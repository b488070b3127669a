"""Survey of a shard: rebuilds its machine groups, loads and capacities on each round."""

from __future__ import annotations

import math

import trio

from ...agents.machine import Machine
from ...jobs.resources import dominant_share
from ...protocol import user_api
from .. import stretch
from ..context import SchedulingContext
from ..shards.allocations import CachedLeastStretch, MachineGroup, ShardState, SmallestRequest
from ..shards.deadlines import Deadlines
from ..shards.failure_tracker import FailureTracker
from ..shards.lower_price_capacity import list_capacities
from ..shards.machine_queues import add_to_queue, machine_queue

# Relative tolerance of the search for the least stretch.
LEAST_STRETCH_TOLERANCE_RATIO = 0.05
# Agent heartbeat intervals without a heartbeat after which a machine isn't expected to start a
# task soon.
HEARTBEAT_TIMEOUT_INTERVALS = 1.5

NO_LEAST_STRETCH = CachedLeastStretch(-math.inf, 0.0)


class Survey:
    """Rebuilds the machine groups, loads and capacities that planning and starts in a shard use."""

    def __init__(
        self,
        context: SchedulingContext,
        shards: dict[int, ShardState],
        deadlines: Deadlines,
        failures: FailureTracker,
    ) -> None:
        self.agents = context.agents
        self.estimates = context.estimates
        self.samples = context.samples
        self.agent_heartbeat_s = context.agent_heartbeat_s
        self.shards = shards
        self.deadlines = deadlines
        self.failures = failures

    def survey(self, shard: int) -> None:
        """Rebuild the machine groups of a shard with their loads and capacities.

        This is the only pass over all machines and allocations. The handling of an agent
        heartbeat reads its results, and sums that are updated with each change.
        """
        state = self.shards[shard]
        now = trio.current_time()
        task_seconds = self._refresh_allocations(state)
        state.machine_groups = {}
        state.running_by_rank = [0] * len(user_api.RANKS)
        for machine in self.agents.of_shard(shard):
            self._add_to_group(state, machine, now)
        usable = (m for group in state.machine_groups.values() for m in group.machines)
        state.capacities = list_capacities(
            usable, now, self.agent_heartbeat_s * HEARTBEAT_TIMEOUT_INTERVALS
        )
        self._add_loads(state, shard, task_seconds, now)
        for group in [g for g in state.queues if g not in state.machine_groups]:
            del state.queues[group]
        for group, queue in state.queues.items():
            for id, count in queue.items():
                if count and id in state.allocations:
                    add_to_queue(self.estimates, state, group, id, count)
        self._refresh_least_stretches(state, now)

    def _refresh_allocations(self, state: ShardState) -> dict[str, float]:
        """Refresh allocations and the smallest request; return the seconds of a task, by job."""
        task_seconds: dict[str, float] = {}
        min_cpus = min_memory = math.inf
        for id, allocation in state.allocations.items():
            self.deadlines.refresh(allocation)
            self.failures.reclassify(allocation)
            task_seconds[id] = self.estimates.expected_run_s(allocation.spec)
            if allocation.pending.count and not allocation.gang:
                min_cpus = min(min_cpus, allocation.resources.cpus)
                min_memory = min(min_memory, allocation.resources.memory)
        state.smallest_request = SmallestRequest(min_cpus, min_memory)
        return task_seconds

    def _add_to_group(self, state: ShardState, machine: Machine, now: float) -> None:
        """Add a machine to its group if tasks may start there; clear an unschedulable machine.

        Clearing stops the tasks that the agent has not yet been commanded to start.
        """
        usable = machine.schedulable
        if not usable:
            for placement in list(machine.placements.values()):
                if not placement.start_heartbeat_seq and not placement.observed:
                    # Placed before the machine became unschedulable, and not yet commanded.
                    self.agents.stop(placement, 0.0)
        if not usable or machine.quarantined_until >= now or machine.machine_type is None:
            return
        machine_group = state.machine_groups.get(machine.group)
        if machine_group is None:
            machine_group = state.machine_groups[machine.group] = MachineGroup(machine.machine_type)
        machine_group.machines.append(machine)

    def _add_loads(
        self, state: ShardState, shard: int, task_seconds: dict[str, float], now: float
    ) -> None:
        """Add the running tasks to the counts by rank, and their work to their machine groups."""
        for group, jobs in self.agents.placements.loads.get(shard, {}).items():
            machine_group = state.machine_groups.get(group)
            for id, load in jobs.items():
                state.running_by_rank[load.rank] += load.count
                seconds = task_seconds.get(id)
                if machine_group is None or seconds is None:
                    continue
                # This includes tasks on unschedulable machines. Those machines are few, and
                # their tasks will need capacity of the group again.
                share = dominant_share(load.resources, machine_group.machine_type)
                if state.allocations[id].service:
                    machine_group.service_machines += load.count * share
                    continue
                machine_group.load_seconds[id] = load.remaining_seconds(seconds, now) * share
                machine_group.ranks[id] = load.rank

    def _refresh_least_stretches(self, state: ShardState, now: float) -> None:
        """Update the least stretch of each group (the paper's algorithm 2).

        A value is recomputed at most once per agent heartbeat interval.
        """
        for group, machine_group in state.machine_groups.items():
            cached = state.least_stretch_cache.get(group, NO_LEAST_STRETCH)
            machine_group.least_stretch = cached.least_stretch
            if now - cached.computed_at < self.agent_heartbeat_s:
                continue  # a single task hardly changes the least stretch of a queue
            queue = machine_queue(state, machine_group, len(user_api.RANKS))
            machine_group.least_stretch = max(
                stretch.least_stretch(queue, now, LEAST_STRETCH_TOLERANCE_RATIO),
                self.samples.stretches[0],
            )
            state.least_stretch_cache[group] = CachedLeastStretch(now, machine_group.least_stretch)
