"""Machines reserved for jobs that smaller tasks would keep from starting."""

from __future__ import annotations

import logging
from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

import trio

from ...agents.machine import Machine, Reservation
from ...jobs.resources import Resources, fits
from ..context import SchedulingContext
from ..quotas.quotas import Quotas
from ..shards.allocations import ShardAllocation, ShardState
from ..shards.deadlines import Deadlines
from ..shards.eligibility import is_ready, machine_allowed

log = logging.getLogger(__name__)

# Of `start_within`: a gang over several machines waits for no capacity later than this.
_LATEST_SHARE = 1 / 8
# A reservation lasts this many times the expected wait, and some agent heartbeats.
_WAIT_MARGIN = 1.5
_MARGIN_HEARTBEATS = 3


class Opening(NamedTuple):
    """When a machine has capacity for its n-th task of a job."""

    eta: float  # seconds from now
    name: str
    n: int
    machine: Machine


@dataclass(slots=True)
class _ShardReservations:
    """What the machines of a shard are reserved for in one planning round."""

    job_ids: set[str]  # as of the start of the round
    has_wide_gang: bool  # one of several tasks
    has_large_task: bool  # one of an array or a service


def is_reserved_for(machines: Iterable[Machine], job_id: str) -> bool:
    """Whether one of these machines is reserved for the job."""
    now = trio.current_time()
    return any(
        machine.reservation
        and machine.reservation.job_id == job_id
        and machine.reservation.until >= now
        for machine in machines
    )


class Reservations:
    """Reserves machines of a shard for gangs, and for tasks too large to start otherwise."""

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
        """Reserve the machines that soonest have capacity for a pending gang.

        Arrays take capacity task by task as it frees up; a gang of equal rank would wait
        until they are done. One gang at a time, unless one machine holds it whole, and none
        whose capacity is far off: reserved machines run nothing new meanwhile.
        """
        state = self.shards[shard]
        now = trio.current_time()
        machines = [
            m for m in self.agents.of_shard(shard) if m.schedulable and m.quarantined_until < now
        ]
        current = self._current(state, machines, now)
        # Also for a task so large that small ones always take what frees up first.
        candidates = [(h.release, id, h) for id, h in state.allocations.items() if h.gang or h.aged]
        for _, id, allocation in sorted(candidates, key=lambda r: r[:2]):
            if id in current.job_ids or not self._may_reserve(state, allocation, now):
                continue
            wanted = allocation.pending.count if allocation.gang else 1
            if not self._allowed_beside(current, allocation, wanted):
                continue
            chosen = self._soonest(allocation, machines, wanted, now)
            if not chosen or chosen[-1].eta <= 0:
                continue
            eta = chosen[-1].eta
            if wanted > 1:
                if not self._worth_reserving(allocation, wanted, eta):
                    continue
                current.has_wide_gang = True
            current.has_large_task = current.has_large_task or not allocation.gang
            self._set_reservations(chosen, id, eta, now)

    @staticmethod
    def _current(state: ShardState, machines: list[Machine], now: float) -> _ShardReservations:
        job_ids = {
            m.reservation.job_id for m in machines if m.reservation and m.reservation.until >= now
        }
        allocations = [h for id in job_ids if (h := state.allocations.get(id)) is not None]
        return _ShardReservations(
            job_ids,
            has_wide_gang=any(h.gang and h.spec.tasks > 1 for h in allocations),
            has_large_task=any(not h.gang and h.aged for h in allocations),
        )

    def _allowed_beside(
        self, current: _ShardReservations, allocation: ShardAllocation, wanted: int
    ) -> bool:
        """Whether a job may reserve machines beside the jobs that have reserved some."""
        if wanted > 1 and (
            current.has_wide_gang or not self.deadlines.is_reservation_due(allocation.job)
        ):
            return False
        # While jobs beyond the limit queue up, every array has been pending for long.
        return allocation.gang or not (
            current.has_large_task
            or not self.quotas.tasks_within_limit(allocation.shard, allocation.spec)
        )

    def _worth_reserving(self, allocation: ShardAllocation, wanted: int, eta: float) -> bool:
        """Whether a gang would start soon on the machines, and isn't held up by its limit."""
        if eta > self.policy.start_within * _LATEST_SHARE:
            return False
        return self.quotas.tasks_within_limit(allocation.shard, allocation.spec) >= wanted

    def _set_reservations(self, chosen: list[Opening], job_id: str, eta: float, now: float) -> None:
        names = {opening.machine.name: opening.machine for opening in chosen}
        until = now + eta * _WAIT_MARGIN + self.agent_heartbeat_s * _MARGIN_HEARTBEATS
        for machine in names.values():
            machine.reservation = Reservation(job_id, until)
        log.info("reserved machines=%d for=%s eta=%.1f", len(names), job_id, eta)

    def _may_reserve(self, state: ShardState, allocation: ShardAllocation, now: float) -> bool:
        """Whether a job is pending, and has been for the interval of an agent heartbeat."""
        attempt = allocation.job.record.attempt
        if allocation.placed or (attempt and allocation.last_shared_attempt == attempt):
            return False
        if now - allocation.pending_since < self.agent_heartbeat_s:
            return False
        return is_ready(state, allocation.job.id, allocation, now)

    def _soonest(
        self, allocation: ShardAllocation, machines: list[Machine], wanted: int, now: float
    ) -> list[Opening]:
        """Where that many tasks fit soonest; empty if they never all do."""
        openings = []
        for machine in machines:
            if machine.reservation and machine.reservation.until >= now:
                continue
            if not machine_allowed(allocation, machine, self.policy.unhealthy_rest):
                continue
            for n in range(1, wanted + 1):
                eta = self._seconds_until(machine, allocation.resources.times(n), now)
                if eta is None:
                    break
                openings.append(Opening(eta, machine.name, n, machine))
        chosen = sorted(openings, key=lambda opening: opening[:3])[:wanted]
        return chosen if len(chosen) == wanted else []

    def _seconds_until(self, machine: Machine, request: Resources, now: float) -> float | None:
        """Seconds until a machine has such capacity if nothing more starts there; None: never."""
        available = machine.available()
        if fits(request, available):
            return 0.0
        ends = []
        for placement in machine.placements.values():
            if placement.spec.is_service:
                continue  # it never ends by itself
            ran = now - (placement.running_since or now)
            ends.append((max(1.0, self.estimates.task(placement.spec) - ran), placement.resources))
        for end, freed in sorted(ends):
            available = available.plus(freed)
            if fits(request, available):
                return end
        return None
