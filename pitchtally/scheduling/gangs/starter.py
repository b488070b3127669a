"""Gangs of a shard started: all tasks at once, or none."""

from __future__ import annotations

import trio

from ...agents.machine import Machine, Reservation
from ...jobs.resources import Resources, count_fitting, fits, resource_request
from ..capacity import is_fully_assigned
from ..context import SchedulingContext
from ..priorities import PriorityOrder
from ..quotas.quotas import Quotas
from ..shards.allocations import ShardAllocation, ShardState
from ..shards.eligibility import is_ready, machine_allowed
from ..shards.shard_statuses import ShardStatuses
from ..shards.task_start import next_attempt, place_task


class GangStarter:
    """Places the gangs of a shard that find all their room."""

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

    def start(self, work: ShardState, shard: int) -> None:
        """Place the gangs of a shard that find all their room now."""
        if not work.gangs:
            return
        now = trio.current_time()
        rows = []
        for id, allocation in work.gangs.items():
            job = allocation.job
            if allocation.placed or not is_ready(work, id, allocation, now):
                continue
            if job.finished.count or job.local:
                # One done means all done: what was lost with its machine has its result
                # kept, and ends as soon as it is started again.
                pass
            elif job.record.attempt:
                if allocation.last_shared_attempt == job.record.attempt or not is_fully_assigned(
                    job
                ):
                    continue
            elif allocation.pending.count < job.spec.tasks - job.finished.count - len(job.local):
                continue
            rows.append((*self.priorities.key(allocation, self.samples.stretches[-1]), id))
        for _, _, _, id in sorted(rows):
            allocation = work.allocations[id]
            plan = self._machines(allocation, shard, now)
            if plan is None:
                work.ready_gangs.discard(id)
                continue
            job = allocation.job
            shared = job.record.attempt
            if job.finished.count or job.local:
                shared = 0
            if shared and not self._all_ready(work, allocation, plan, now):
                continue
            attempt = shared or next_attempt(self.agents, shard)
            allocation.last_shared_attempt = attempt
            for machine in plan:
                place_task(self.agents, allocation, allocation.pending.pop(), machine, attempt)
                if machine.reservation and machine.reservation.job_id == id:
                    machine.reservation = None
            allocation.aged = False

    def _all_ready(
        self, work: ShardState, allocation: ShardAllocation, plan: list[Machine], now: float
    ) -> bool:
        """Whether every part of a gang has its room; ours is kept until then.

        Started part by shard, a gang would occupy machines while the rest of it waits
        for room, and end as incomplete. A part that isn't heard of late can't tell.
        """
        id, shard = allocation.job.id, allocation.shard
        work.ready_gangs.add(id)
        fresh = now - self.policy.heartbeat_interval * 4
        for other in {p for _, _, p in allocation.job.record.ranges if p != shard}:
            theirs = self.shards.get(other)
            if theirs is not None:
                ready = id in theirs.ready_gangs
            elif (
                self.statuses.received_at.get(other, -1e9) < fresh
                or other not in self.statuses.newest
            ):
                ready = True
            else:
                ready = id in self.statuses.newest[other].ready_gangs
            if not ready:
                for machine in plan:
                    machine.reservation = Reservation(id, now + self.policy.heartbeat_interval * 4)
                return False
        return True

    def _machines(
        self, allocation: ShardAllocation, shard: int, now: float
    ) -> list[Machine] | None:
        """A machine for every task at once, in one zone where that is asked; or None."""
        job = allocation.job
        spec = job.spec
        resources = resource_request(spec)
        wanted = allocation.pending.count
        if self.quotas.tasks_within_limit(shard, spec) < wanted:
            return None
        machines = []
        for machine in self.agents.of_shard(shard):
            if not machine.schedulable or machine.quarantined_until >= now:
                continue
            if (
                machine.reservation
                and machine.reservation.job_id != job.id
                and machine.reservation.until >= now
            ):
                continue
            if fits(resources, machine.available()) and machine_allowed(
                allocation, machine, self.policy.unhealthy_rest
            ):
                machines.append((machine, count_fitting(resources, machine.available())))
        # The least other use first: a machine with cards is left for work that needs them.
        machines.sort(
            key=lambda mc: (
                not (mc[0].reservation and mc[0].reservation.job_id == job.id),
                mc[0].consecutive_errors,
                self._waste(resources, mc[0]),
                spec.image not in mc[0].cached_images,
            )
        )
        caps = {zone: cap for p, zone, cap in job.record.caps if p == shard}
        limit = (spec.tasks + 1) // 2 if spec.spread and spec.tasks > 1 else wanted
        plan: list[Machine] = []
        zones: dict[str, int] = {}
        for machine, count in machines:
            most = caps.get(machine.zone, 0) if job.record.caps else limit
            for _ in range(count):
                if len(plan) == wanted or zones.get(machine.zone, 0) >= most:
                    break
                zones[machine.zone] = zones.get(machine.zone, 0) + 1
                plan.append(machine)
        return plan if len(plan) == wanted else None

    def _waste(self, resources: Resources, machine: Machine) -> float:
        """What the task would leave unused that others may need: cards most of all."""
        machine_type = machine.machine_type
        assert machine_type is not None
        price = (
            (machine_type.spot_price or machine_type.price) if machine.spot else machine_type.price
        )
        return price * (1.0 if machine_type.gpus and not resources[1] else 0.0)
