"""Preemption of lower ranks, and of teams over their guarantee by teams within theirs."""

from __future__ import annotations

import logging
import math
from collections import Counter
from typing import NamedTuple

import trio

from ...agents.machine import Machine, Placement, Reservation
from ...jobs.resources import fits
from ...protocol import user_api
from ..capacity import is_gang
from ..context import SchedulingContext
from ..gangs.reservations import is_reserved_for
from ..quotas.quotas import Quotas
from ..shards.allocations import ShardAllocation, ShardState
from ..shards.deadlines import Deadlines
from ..shards.eligibility import is_ready, machine_allowed

log = logging.getLogger(__name__)


class Step(NamedTuple):
    """Capacity for one more task on a machine, and the placements to stop for it."""

    cost: float  # work lost on the machine by this step and the preceding ones
    machine_name: str
    machine: Machine
    victims: list[Placement]  # empty where the capacity is already free


class Victim(NamedTuple):
    """A placement that may be preempted, and the work that is lost with it."""

    loss: float  # task-seconds weighted by CPUs
    placement: Placement


# Maximum number of jobs that preempt in one planning round; the others may in the next.
MAX_PREEMPTING_JOBS = 8
# Minimum number of CPUs by which a task's loss is weighted.
MIN_LOSS_CPUS = 0.1
# Loss added for stopping any running task, in task-seconds weighted by CPUs.
BASE_LOSS_CPU_S = 0.1
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

    def preempt(self, shard: int) -> None:
        """Preempt for pending jobs of higher rank, or of teams within their guarantee."""
        state = self.shards[shard]
        now = trio.current_time()
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
        for _, outside_guarantee, _, id in sorted(candidates)[:MAX_PREEMPTING_JOBS]:
            if is_reserved_for(self.agents.of_shard(shard), id):
                continue
            allocation = state.allocations[id]
            steps = self._steps(allocation, shard, not outside_guarantee, now)
            chosen = self._choose(allocation, steps)
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

    def _steps(
        self,
        allocation: ShardAllocation,
        shard: int,
        within_guarantee: bool,
        now: float,
    ) -> list[Step]:
        """Return all steps that gain capacity for one more task each, cheapest first."""
        steps: list[Step] = []
        for machine in self.agents.of_shard(shard):
            if self._may_start_on(allocation, machine, within_guarantee, now):
                victims = self._victims_on(allocation, machine, within_guarantee, now)
                steps.extend(_steps_on(allocation, machine, victims))
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

    def _victims_on(
        self, allocation: ShardAllocation, machine: Machine, within_guarantee: bool, now: float
    ) -> list[Victim]:
        """Return the placements on a machine that the job may preempt, least loss last."""
        victims = [
            Victim(self._loss(placement, now), placement)
            for placement in machine.placements.values()
            if self._is_preemptible(allocation, placement, within_guarantee)
        ]
        victims.sort(key=lambda victim: (victim.loss, victim.placement.key), reverse=True)
        return victims

    def _is_preemptible(
        self, allocation: ShardAllocation, placement: Placement, within_guarantee: bool
    ) -> bool:
        """Return whether the job may preempt a placement, by rank or by its team's guarantee."""
        if placement.stop_grace is not None or placement.job.id == allocation.job.id:
            return False
        if _is_shared_gang(placement):
            return False
        if placement.rank > allocation.rank:
            return True
        # Preempting one gang for another of equal rank would gain nothing.
        return (
            not is_gang(placement)
            and within_guarantee
            and self.quotas.other_team_over_guarantee(placement.spec, allocation.spec.team)
        )

    def _loss(self, placement: Placement, now: float) -> float:
        """Return the work that a stop loses, in task-seconds weighted by CPUs.

        For a task with checkpoints, at most the time to write one (`checkpoint_grace`) is lost.
        """
        if placement.running_since is None or not placement.observed:
            return 0.0
        spec = placement.spec
        lost_s = now - placement.running_since
        if spec.checkpoint_interval:
            lost_s = min(lost_s, spec.checkpoint_grace)
        tasks = spec.tasks if spec.kind == user_api.GANG else 1  # all tasks of a gang stop
        return lost_s * max(placement.resources.cpus, MIN_LOSS_CPUS) * tasks + BASE_LOSS_CPU_S


def _steps_on(allocation: ShardAllocation, machine: Machine, victims: list[Victim]) -> list[Step]:
    """Return the steps on one machine, in order; their costs are cumulative.

    Removes the victims that it uses from the end of `victims`.
    """
    resources = allocation.resources
    available = machine.available()
    steps = []
    cost = 0.0
    for _ in range(allocation.pending.count):
        stopped = []
        while victims and not fits(resources, available):
            loss, placement = victims.pop()
            available = available.plus(placement.resources)
            cost += loss
            stopped.append(placement)
        if not fits(resources, available):
            break
        available = available.minus(resources)
        steps.append(Step(cost, machine.name, machine, stopped))
    return steps


def _is_shared_gang(placement: Placement) -> bool:
    """Return whether a placement belongs to a gang over several shards.

    A single shard leader can't stop all tasks of such a gang.
    """
    return placement.job.record.attempt != 0
