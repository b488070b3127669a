"""Preemption of lower ranks, and of teams over their guarantee by teams within theirs."""

from __future__ import annotations

import logging
import math
from collections import Counter
from collections.abc import Iterator
from typing import NamedTuple

import trio

from ...agents.machine import Machine, Placement, Reservation
from ...jobs.resources import fits
from ..context import SchedulingContext
from ..gangs.reservations import is_reserved_for
from ..quotas.quotas import Quotas
from ..shards.allocations import ShardAllocation, ShardState
from ..shards.deadlines import Deadlines
from ..shards.eligibility import is_ready, machine_allowed
from .victims import RoundVictims, Victim

log = logging.getLogger(__name__)


class Step(NamedTuple):
    """Capacity for one more task on a machine, and the placements to stop for it."""

    cost: float  # work lost on the machine by this step and the preceding ones
    machine_name: str
    machine: Machine
    victims: list[Placement]  # empty where the capacity is already free


# Maximum number of jobs that preempt in one planning round; the others may in the next.
MAX_PREEMPTING_JOBS = 8
# Placements that one step of a round reads, while heartbeats and requests wait; a job is never
# divided.
MAX_PLACEMENTS_PER_STEP = 10_000
# Agent heartbeat intervals for which machines stay reserved after the victims' grace period.
RESERVATION_INTERVALS = 3


class Preemption:
    """Chooses victims, stops them, and reserves their machines for the preempting job."""

    def __init__(
        self,
        context: SchedulingContext,
        shards: dict[int, ShardState],
        deadlines: Deadlines,
        quotas: Quotas,
    ) -> None:
        self.policy = context.policy
        self.agents = context.agents
        self.samples = context.samples
        self.agent_heartbeat_s = context.agent_heartbeat_s
        self.shards = shards
        self.deadlines = deadlines
        self.quotas = quotas

    async def preempt(self, shard: int) -> None:
        """Preempt for pending jobs of higher rank, or of teams within their guarantee.

        Yields between jobs once the round has read many placements.
        """
        state = self.shards[shard]
        now = trio.current_time()
        victims = RoundVictims(self.quotas, now)
        read_before_step = 0
        for id in self._candidates(state, shard, now):
            if victims.placements_read - read_before_step > MAX_PLACEMENTS_PER_STEP:
                await trio.sleep(0)
                read_before_step = victims.placements_read
                if self.shards.get(shard) is not state:
                    return
            allocation = state.allocations.get(id)
            if allocation is not None and self._may_preempt(state, allocation, now):
                self._preempt_for(state, allocation, victims, now)

    def _candidates(self, state: ShardState, shard: int, now: float) -> list[str]:
        """Return the jobs that may preempt in this round, by priority."""
        candidates = []
        over_guarantee = [team for team in self.quotas.teams if self.quotas.over_guarantee(team)]
        for id, allocation in state.allocations.items():
            if not self._may_preempt(state, allocation, now):
                continue
            spec = allocation.spec
            within_guarantee = self.quotas.within_guarantee(spec)
            if not sum(state.running_by_rank[allocation.rank + 1 :]) and not (
                within_guarantee and any(team != spec.team for team in over_guarantee)
            ):
                continue  # the shard runs nothing that the job may preempt
            tasks_at_once = spec.tasks if allocation.gang else 1
            if self.quotas.tasks_within_limit(shard, spec) < tasks_at_once:
                continue
            deadline = self.deadlines.allocation_deadline(allocation, self.samples.stretches[-1])
            candidates.append((allocation.rank, not within_guarantee, deadline, id))
        return [id for _, _, _, id in sorted(candidates)[:MAX_PREEMPTING_JOBS]]

    def _preempt_for(
        self, state: ShardState, allocation: ShardAllocation, victims: RoundVictims, now: float
    ) -> None:
        """Stop the cheapest victims that make room for a job, unless machines wait for it."""
        if is_reserved_for(self.agents.of_shard(allocation.shard), allocation.job.id):
            return
        chosen = self._choose(allocation, self._steps(allocation, victims, now))
        if any(step.victims for step in chosen):
            self._stop_victims(state, allocation, chosen, now)

    def _may_preempt(self, state: ShardState, allocation: ShardAllocation, now: float) -> bool:
        """Return whether a job is ready and has been pending long enough to preempt for it."""
        if not allocation.pending.count:
            return False
        if not is_ready(state, allocation.job.id, allocation, now):
            return False
        if allocation.service:
            return True  # `_choose` counts free capacity before it preempts
        if not allocation.gang:
            return now - allocation.pending_since >= self.policy.preempt_after
        attempt = allocation.job.record.attempt
        return not (allocation.placed or (attempt and allocation.last_shared_attempt == attempt))

    @staticmethod
    def _choose(allocation: ShardAllocation, steps: list[Step]) -> list[Step]:
        """Return the cheapest steps that the job needs; none for a gang that couldn't start."""
        needed = allocation.pending.count
        chosen: list[Step] = []
        starts_by_zone: dict[str, int] = {}
        zone_caps = {
            cap.zone: cap.tasks
            for cap in allocation.job.record.zone_caps
            if cap.shard == allocation.shard
        }
        if allocation.spec.spread and not allocation.gang and allocation.spec.tasks > 1:
            # A zone that already has its maximum of the tasks can't run more.
            for zone in {step.machine.zone for step in steps}:
                zone_caps[zone] = allocation.max_tasks_in_zone(zone) - allocation.placed_in(zone)
        if not allocation.gang:
            # Where capacity is free, the next agent heartbeat starts tasks without preemption.
            available = Counter(step.machine.zone for step in steps if not step.victims)
            for zone, free in available.items():
                starts_by_zone[zone] = max(0, min(free, zone_caps.get(zone, free)))
            needed -= sum(starts_by_zone.values())
        for step in steps:
            zone = step.machine.zone
            if len(chosen) >= needed or starts_by_zone.get(zone, 0) >= zone_caps.get(
                zone, math.inf
            ):
                continue
            if not allocation.gang and not step.victims:
                continue
            starts_by_zone[zone] = starts_by_zone.get(zone, 0) + 1
            chosen.append(step)
        if allocation.gang and len(chosen) < needed:
            return []  # a gang starts all its tasks or none
        return chosen

    def _stop_victims(
        self, state: ShardState, allocation: ShardAllocation, chosen: list[Step], now: float
    ) -> None:
        """Stop the victims, and reserve the chosen machines for the job until it starts."""
        victims = [victim for step in chosen for victim in step.victims]
        for victim in victims:
            for member in state.with_gang(victim):
                self.agents.stop(member, member.spec.checkpoint_grace)
        grace_s = max(victim.spec.checkpoint_grace for victim in victims)
        id = allocation.job.id
        until = now + grace_s + self.agent_heartbeat_s * RESERVATION_INTERVALS
        for step in chosen:
            step.machine.reservation = Reservation(id, until)
        log.info(
            "preempted tasks for job=%s machines=%d tasks=%d",
            id,
            len({step.machine.name for step in chosen}),
            len(victims),
        )

    def _steps(self, allocation: ShardAllocation, victims: RoundVictims, now: float) -> list[Step]:
        """Return all steps that gain capacity for one more task each, cheapest first."""
        within_guarantee = self.quotas.within_guarantee(allocation.spec)
        steps: list[Step] = []
        for machine in self.agents.of_shard(allocation.shard):
            if self._may_start_on(allocation, machine, within_guarantee, now):
                on_machine = victims.on(machine, allocation, within_guarantee=within_guarantee)
                steps.extend(_steps_on(allocation, machine, on_machine))
        return sorted(steps, key=lambda step: (step.cost, step.machine_name))

    def _may_start_on(
        self, allocation: ShardAllocation, machine: Machine, within_guarantee: bool, now: float
    ) -> bool:
        """Return whether a task of the job could start on a machine if enough were free."""
        if not machine.schedulable or machine.quarantined_until >= now:
            return False
        reservation = machine.reservation
        if reservation and reservation.job_id != allocation.job.id and reservation.until >= now:
            return False
        if not within_guarantee:
            # Only lower ranks can be preempted, and the sum of their resources is maintained.
            max_available = machine.available().plus(machine.preemptible(allocation.rank))
            if not fits(allocation.resources, max_available):
                return False
        return machine_allowed(allocation, machine, self.policy.unhealthy_rest)


def _steps_on(
    allocation: ShardAllocation, machine: Machine, victims: Iterator[Victim]
) -> list[Step]:
    """Return the steps on one machine, in order; their costs are cumulative."""
    resources = allocation.resources
    available = machine.available()
    steps: list[Step] = []
    cost = 0.0
    for _ in range(allocation.pending.count):
        stopped = []
        while not fits(resources, available):
            victim = next(victims, None)
            if victim is None:
                return steps
            available = available.plus(victim.placement.resources)
            cost += victim.loss
            stopped.append(victim.placement)
        available = available.minus(resources)
        steps.append(Step(cost, machine.name, machine, stopped))
    return steps
