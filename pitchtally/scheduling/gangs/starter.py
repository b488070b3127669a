"""Starts the gangs of a shard: all tasks at once, or none."""

from __future__ import annotations

from typing import NamedTuple

import trio

from ...agents.machine import Machine, Reservation
from ...config.clock import LONG_AGO_S
from ...jobs.resources import Resources, count_fitting, fits
from ..capacity import is_fully_assigned
from ..context import SchedulingContext
from ..priorities import PriorityOrder
from ..quotas.quotas import Quotas
from ..shards.allocations import ShardAllocation, ShardState, max_tasks_in_zone
from ..shards.eligibility import is_ready, machine_allowed
from ..shards.shard_statuses import ShardStatuses
from ..shards.task_start import next_attempt, place_task

# Peer heartbeat intervals: a gang doesn't wait for a shard whose status is older than this, and its
# machines stay reserved for this long while other shards make theirs available.
_MAX_STATUS_AGE_INTERVALS = 4


class _MachineCapacity(NamedTuple):
    """A machine, and the number of tasks of a gang that it could start now."""

    machine: Machine
    tasks: int


class GangStarter:
    """Places those gangs of a shard for which there is capacity now."""

    def __init__(
        self,
        context: SchedulingContext,
        shards: dict[int, ShardState],
        statuses: ShardStatuses,
        priorities: PriorityOrder,
        quotas: Quotas,
    ) -> None:
        self.policy = context.policy
        self.agents = context.agents
        self.samples = context.samples
        self.shards = shards
        self.statuses = statuses
        self.priorities = priorities
        self.quotas = quotas

    def start(self, state: ShardState, shard: int) -> None:
        """Place the gangs of a shard that have capacity for all their tasks, by priority."""
        if not state.gangs:
            return
        now = trio.current_time()
        candidates = [
            (*self.priorities.key(allocation, self.samples.stretches[-1]), id)
            for id, allocation in state.gangs.items()
            if self._is_startable(state, allocation, now)
        ]
        for _, _, _, id in sorted(candidates):
            allocation = state.allocations[id]
            machines = self._find_machines(allocation, shard, now)
            if machines is None:
                state.ready_gangs.discard(id)
                continue
            job = allocation.job
            shared_attempt = 0 if job.finished.count or job.unwritten_tasks else job.record.attempt
            if shared_attempt and not self._all_shards_ready(state, allocation, machines, now):
                continue
            attempt = shared_attempt or next_attempt(self.agents, shard)
            self._place(allocation, machines, attempt)

    @staticmethod
    def _is_startable(state: ShardState, allocation: ShardAllocation, now: float) -> bool:
        """Return whether every task of the gang that this shard has to start is pending."""
        job = allocation.job
        if allocation.placed or not is_ready(state, job.id, allocation, now):
            return False
        if job.finished.count or job.unwritten_tasks:
            # If one task has finished, all have. A task whose machine was lost afterwards has its
            # result saved, so it ends at once when it is started again.
            return True
        if job.record.attempt:
            return allocation.last_shared_attempt != job.record.attempt and is_fully_assigned(job)
        return allocation.pending.count >= job.spec.tasks - job.finished.count - len(
            job.unwritten_tasks
        )

    def _place(self, allocation: ShardAllocation, machines: list[Machine], attempt: int) -> None:
        allocation.last_shared_attempt = attempt
        for machine in machines:
            place_task(self.agents, allocation, allocation.pending.pop(), machine, attempt)
            if machine.reservation and machine.reservation.job_id == allocation.job.id:
                machine.reservation = None
        allocation.aged = False

    def _all_shards_ready(
        self, state: ShardState, allocation: ShardAllocation, machines: list[Machine], now: float
    ) -> bool:
        """Return whether every shard of a gang has capacity for its tasks there.

        Until then, the machines chosen in this shard are reserved. If each shard started its
        tasks at once, they would occupy machines while the tasks in other shards are pending, and
        then be stopped as incomplete.
        """
        job_id = allocation.job.id
        state.ready_gangs.add(job_id)
        for other_shard in {
            owner for _, _, owner in allocation.job.record.ranges if owner != allocation.shard
        }:
            if not self._is_shard_ready(other_shard, job_id, now):
                until = now + self.policy.heartbeat_interval * _MAX_STATUS_AGE_INTERVALS
                for machine in machines:
                    machine.reservation = Reservation(job_id, until)
                return False
        return True

    def _is_shard_ready(self, shard: int, job_id: str, now: float) -> bool:
        """Return whether a shard has capacity for its tasks of a gang, or its status is too old."""
        state = self.shards.get(shard)
        if state is not None:
            return job_id in state.ready_gangs
        oldest_usable = now - self.policy.heartbeat_interval * _MAX_STATUS_AGE_INTERVALS
        if self.statuses.received_at.get(shard, LONG_AGO_S) < oldest_usable:
            return True
        status = self.statuses.newest.get(shard)
        return status is None or job_id in status.ready_gangs

    def _find_machines(
        self, allocation: ShardAllocation, shard: int, now: float
    ) -> list[Machine] | None:
        """Return a machine for each pending task, within the zone caps; None if some lack one."""
        job = allocation.job
        task_count = allocation.pending.count
        if self.quotas.tasks_within_limit(shard, job.spec) < task_count:
            return None
        candidates = self._machines_with_capacity(allocation, shard, now)
        # Lowest wasted price first, to leave machines with GPUs to tasks that request GPUs.
        candidates.sort(
            key=lambda candidate: (
                not _is_reserved(candidate.machine, job.id),
                candidate.machine.consecutive_errors,
                _wasted_price(allocation.resources, candidate.machine),
                job.spec.image not in candidate.machine.cached_images,
            )
        )
        zone_caps = {
            zone: cap for cap_shard, zone, cap in job.record.zone_caps if cap_shard == shard
        }
        zone_limit = (
            max_tasks_in_zone(job.spec) if job.spec.spread and job.spec.tasks > 1 else task_count
        )
        chosen: list[Machine] = []
        tasks_by_zone: dict[str, int] = {}
        for machine, tasks in candidates:
            max_tasks = zone_caps.get(machine.zone, 0) if job.record.zone_caps else zone_limit
            for _ in range(tasks):
                if len(chosen) == task_count or tasks_by_zone.get(machine.zone, 0) >= max_tasks:
                    break
                tasks_by_zone[machine.zone] = tasks_by_zone.get(machine.zone, 0) + 1
                chosen.append(machine)
        return chosen if len(chosen) == task_count else None

    def _machines_with_capacity(
        self, allocation: ShardAllocation, shard: int, now: float
    ) -> list[_MachineCapacity]:
        """Return the machines that the gang may use and that could start a task of it now."""
        request = allocation.resources
        machines = []
        for machine in self.agents.of_shard(shard):
            if not machine.schedulable or machine.quarantined_until >= now:
                continue
            if (
                machine.reservation
                and machine.reservation.job_id != allocation.job.id
                and machine.reservation.until >= now
            ):
                continue
            if fits(request, machine.available()) and machine_allowed(
                allocation, machine, self.policy.unhealthy_rest
            ):
                tasks = count_fitting(request, machine.available())
                machines.append(_MachineCapacity(machine, tasks))
        return machines


def _is_reserved(machine: Machine, job_id: str) -> bool:
    """Return whether a machine's latest reservation, even an expired one, is for the job."""
    return bool(machine.reservation and machine.reservation.job_id == job_id)


def _wasted_price(request: Resources, machine: Machine) -> float:
    """Return the price of a machine with GPUs for a task that uses none, else 0."""
    machine_type = machine.machine_type
    assert machine_type is not None
    price = (machine_type.spot_price or machine_type.price) if machine.spot else machine_type.price
    return price * (1.0 if machine_type.gpus and not request.gpus else 0.0)
