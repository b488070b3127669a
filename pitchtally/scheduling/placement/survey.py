"""What the machines of a shard hold, by groups of like machines."""

from __future__ import annotations

import math

import trio

from ...agents.machine import Machine
from ...jobs.resources import dominant_share
from ...protocol import user_api
from .. import stretch
from ..context import SchedulingContext
from ..shards.allocations import MachineGroup, ShardState
from ..shards.deadlines import Deadlines
from ..shards.failure_tracker import FailureTracker
from ..shards.lower_price_capacity import list_capacities
from ..shards.machine_queues import add_to_queue, machine_queue

LEVEL_TOLERANCE = 0.05  # of the least stretch of a queue, relative
# A machine silent for longer takes no task with its next report, for all that is known.
LONGEST_SILENCE_REPORTS = 1.5


class Survey:
    """Renews what planning and starts in a shard rest on."""

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
        """What the machines of a shard hold, by groups of like machines.

        The one pass over tasks and machines; all that a report asks for rests on it
        and on sums kept up with each change.
        """
        work = self.shards[shard]
        now = trio.current_time()
        left = self._renew_allocations(work)
        work.machine_groups = {}
        work.running = [0] * len(user_api.RANKS)
        for machine in self.agents.of_shard(shard):
            self._add_to_group(work, machine, now)
        usable = (m for group in work.machine_groups.values() for m in group.machines)
        work.capacities = list_capacities(
            usable, now, self.agent_heartbeat_s * LONGEST_SILENCE_REPORTS
        )
        self._add_loads(work, shard, left, now)
        for group in [g for g in work.queues if g not in work.machine_groups]:
            del work.queues[group]
        for group, queue in work.queues.items():
            for id, count in queue.items():
                if count and id in work.allocations:
                    add_to_queue(self.estimates, work, group, id, count)
        self._renew_levels(work, now)

    def _renew_allocations(self, work: ShardState) -> dict[str, float]:
        """Seconds that a task of each job takes; what waiting tasks need at the least."""
        left: dict[str, float] = {}
        least = (math.inf, math.inf)
        for id, allocation in work.allocations.items():
            self.deadlines.renew(allocation)
            self.failures.score(allocation)
            left[id] = self.estimates.task(allocation.spec)
            if allocation.pending.count and not allocation.gang:
                least = (
                    min(least[0], allocation.resources[0]),
                    min(least[1], allocation.resources[2]),
                )
        work.least = least
        return left

    def _add_to_group(self, work: ShardState, machine: Machine, now: float) -> None:
        usable = machine.schedulable
        if not usable:
            for placement in list(machine.placements.values()):
                if not placement.start_heartbeat_seq and not placement.observed:
                    # Chosen before the machine fell out of use: it is nowhere yet.
                    self.agents.stop(placement, 0.0)
        if not usable or machine.quarantined_until >= now or machine.machine_type is None:
            return
        machine_group = work.machine_groups.get(machine.group)
        if machine_group is None:
            machine_group = work.machine_groups[machine.group] = MachineGroup(machine.machine_type)
        machine_group.machines.append(machine)

    def _add_loads(self, work: ShardState, shard: int, left: dict[str, float], now: float) -> None:
        for group, jobs in self.agents.placements.loads.get(shard, {}).items():
            machine_group = work.machine_groups.get(group)
            for id, load in jobs.items():
                work.running[load.rank] += load.count
                seconds = left.get(id)
                if machine_group is None or seconds is None:
                    continue
                # What stands on machines out of use is in it: they are few, and their
                # tasks will want room again.
                share = dominant_share(load.resources, machine_group.machine_type)
                if work.allocations[id].service:
                    machine_group.held += load.count * share
                    continue
                machine_group.work[id] = load.remaining_seconds(seconds, now) * share
                machine_group.ranks[id] = load.rank

    def _renew_levels(self, work: ShardState, now: float) -> None:
        for group, machine_group in work.machine_groups.items():
            at, machine_group.level = work.known_levels.get(group, (-math.inf, 0.0))
            if now - at < self.agent_heartbeat_s:
                continue  # it moves with the queue, not with each task
            queue = machine_queue(work, machine_group, len(user_api.RANKS))
            machine_group.level = max(
                stretch.least_stretch(queue, now, LEVEL_TOLERANCE), self.samples.stretches[0]
            )
            work.known_levels[group] = (now, machine_group.level)
