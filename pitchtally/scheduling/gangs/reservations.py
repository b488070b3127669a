"""Machines kept free for jobs that arrays would keep from starting."""

from __future__ import annotations

import logging
from collections.abc import Iterable
from typing import NamedTuple

import trio

from ...agents.machine import Machine, Reservation
from ...jobs.resources import Resources, fits
from ..context import SchedulingContext
from ..quotas.quotas import Quotas
from ..shards.allocations import ShardAllocation, ShardState
from ..shards.deadlines import Deadlines
from ..shards.eligibility import is_ready, machine_allowed

log = logging.getLogger("reservations")


class Opening(NamedTuple):
    """When a machine has room for its n-th task of a job."""

    eta: float  # seconds from now
    name: str
    n: int
    machine: Machine


def is_reserved_for(machines: Iterable[Machine], job_id: str) -> bool:
    """Whether one of these machines is kept free for the job."""
    now = trio.current_time()
    return any(
        machine.reservation
        and machine.reservation.job_id == job_id
        and machine.reservation.until >= now
        for machine in machines
    )


class Reservations:
    """Keeps machines of a shard free for gangs, and for tasks too large to find room."""

    def __init__(
        self,
        context: SchedulingContext,
        shards: dict[int, ShardState],
        deadlines: Deadlines,
        quotas: Quotas,
    ) -> None:
        self.policy = context.policy
        self.agents = context.agents
        self.estimates = context.estimates
        self.agent_heartbeat_s = context.agent_heartbeat_s
        self.shards = shards
        self.deadlines = deadlines
        self.quotas = quotas

    def reserve(self, shard: int) -> None:
        """Keep the machines that soonest have room free for a gang that waits.

        Arrays take room task by task as it frees up; a gang of equal rank would wait
        until they run dry. One gang at a time, unless one machine holds it whole, and
        none whose room is far off: machines that drain bring nothing meanwhile.
        """
        work = self.shards[shard]
        now = trio.current_time()
        machines = [
            m for m in self.agents.of_shard(shard) if m.schedulable and m.quarantined_until < now
        ]
        kept = {
            m.reservation.job_id for m in machines if m.reservation and m.reservation.until >= now
        }
        held = [h for id in kept if (h := work.allocations.get(id)) is not None]
        wide = any(h.gang and h.spec.tasks > 1 for h in held)
        large = any(not h.gang and h.aged for h in held)
        # Also for a task so large that small ones always take what frees up first.
        waiting = [(h.release, id, h) for id, h in work.allocations.items() if h.gang or h.aged]
        for _, id, allocation in sorted(waiting, key=lambda r: r[:2]):
            if id in kept or not self._may_reserve(work, allocation, now):
                continue
            wanted = allocation.pending.count if allocation.gang else 1
            if wanted > 1 and (wide or not self.deadlines.is_late(allocation.job)):
                continue
            if not allocation.gang and (
                large or not self.quotas.tasks_within_limit(shard, allocation.spec)
            ):
                continue  # in a flood beyond the limit every array has waited long
            chosen = self._soonest(allocation, machines, wanted, now)
            if not chosen or chosen[-1].eta <= 0:
                continue
            eta = chosen[-1].eta
            if wanted > 1:
                if eta > self.policy.start_within / 8:
                    continue
                if self.quotas.tasks_within_limit(shard, allocation.spec) < wanted:
                    continue  # its team's limit is what it waits for
                wide = True
            large = large or not allocation.gang
            names = {opening.machine.name: opening.machine for opening in chosen}
            for machine in names.values():
                machine.reservation = Reservation(id, now + eta * 1.5 + self.agent_heartbeat_s * 3)
            log.info("kept machines=%d for=%s eta=%.1f", len(names), id, eta)

    def _may_reserve(self, work: ShardState, allocation: ShardAllocation, now: float) -> bool:
        """Whether room may be kept for a job: it waits, and has done so for a report."""
        attempt = allocation.job.record.attempt
        if allocation.placed or (attempt and allocation.last_shared_attempt == attempt):
            return False
        if now - allocation.pending_since < self.agent_heartbeat_s:
            return False
        return is_ready(work, allocation.job.id, allocation, now)

    def _soonest(
        self, allocation: ShardAllocation, machines: list[Machine], wanted: int, now: float
    ) -> list[Opening]:
        """Where that many tasks find room soonest; nothing if there is none for all."""
        openings = []
        for machine in machines:
            if machine.reservation and machine.reservation.until >= now:
                continue
            if not machine_allowed(allocation, machine, self.policy.unhealthy_rest):
                continue
            for n in range(1, wanted + 1):
                eta = self._room_at(machine, allocation.resources.times(n), now)
                if eta is None:
                    break
                openings.append(Opening(eta, machine.name, n, machine))
        chosen = sorted(openings, key=lambda opening: opening[:3])[:wanted]
        return chosen if len(chosen) == wanted else []

    def _room_at(self, machine: Machine, resources: Resources, now: float) -> float | None:
        """Seconds until a machine has room for a need if nothing more starts there."""
        available = machine.available()
        if fits(resources, available):
            return 0.0
        ends = []
        for placement in machine.placements.values():
            if placement.spec.is_service:
                continue  # it never leaves by itself
            ran = now - (placement.running_since or now)
            ends.append((max(1.0, self.estimates.task(placement.spec) - ran), placement.resources))
        for end, resources_freed in sorted(ends):
            available = available.plus(resources_freed)
            if fits(resources, available):
                return end
        return None
