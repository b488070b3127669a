"""Reserves machines for jobs that smaller tasks would otherwise delay indefinitely."""

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

# A gang of several tasks reserves no machines if it would wait for longer than this share of
# `start_within`.
_MAX_WAIT_SHARE = 1 / 8
# A reservation lasts for the expected wait times this ratio, plus some agent heartbeats.
_WAIT_MARGIN_RATIO = 1.5
_MARGIN_HEARTBEATS = 3


class CapacityForecast(NamedTuple):
    """The expected time at which a machine has capacity for the n-th task of a job there."""

    wait_s: float  # seconds from now
    machine_name: str
    task_number: int  # n, counted from 1
    machine: Machine


@dataclass(slots=True)
class _ShardReservations:
    """The jobs for which machines of a shard are reserved, during one planning round."""

    job_ids: set[str]  # jobs with reservations at the start of the round
    has_wide_gang: bool  # whether one of the jobs is a gang of several tasks
    has_large_task: bool  # whether one of the jobs is an array or a service


def is_reserved_for(machines: Iterable[Machine], job_id: str) -> bool:
    """Return whether one of these machines is reserved for the job."""
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
        """Reserve the machines that will have capacity for a pending gang soonest.

        Arrays take capacity task by task as tasks end; without reservations a gang of equal rank
        would wait until the arrays are done. Reserved machines start no other tasks, so only one
        gang of several tasks has reservations at a time, and none whose capacity becomes
        available late. A gang of one task, which needs one machine, isn't limited in this way.
        """
        state = self.shards[shard]
        now = trio.current_time()
        machines = [
            machine
            for machine in self.agents.of_shard(shard)
            if machine.schedulable and machine.quarantined_until < now
        ]
        current = self._current(state, machines, now)
        # Aged jobs are candidates as well: a task may be so large that small tasks always take
        # released capacity first.
        candidates = [
            (allocation.release, id, allocation)
            for id, allocation in state.allocations.items()
            if allocation.gang or allocation.aged
        ]
        for _, id, allocation in sorted(candidates, key=lambda candidate: candidate[:2]):
            if id in current.job_ids or not self._may_reserve(state, allocation, now):
                continue
            task_count = allocation.pending.count if allocation.gang else 1
            if not self._allowed_beside(current, allocation, task_count):
                continue
            chosen = self._soonest(allocation, machines, task_count, now)
            if not chosen or chosen[-1].wait_s <= 0:
                continue
            wait_s = chosen[-1].wait_s
            if task_count > 1:
                if not self._worth_reserving(allocation, task_count, wait_s):
                    continue
                current.has_wide_gang = True
            current.has_large_task = current.has_large_task or not allocation.gang
            self._set_reservations(chosen, id, wait_s, now)

    @staticmethod
    def _current(state: ShardState, machines: list[Machine], now: float) -> _ShardReservations:
        job_ids = {
            machine.reservation.job_id
            for machine in machines
            if machine.reservation and machine.reservation.until >= now
        }
        allocations = [
            allocation for id in job_ids if (allocation := state.allocations.get(id)) is not None
        ]
        return _ShardReservations(
            job_ids,
            has_wide_gang=any(
                allocation.gang and allocation.spec.tasks > 1 for allocation in allocations
            ),
            has_large_task=any(
                not allocation.gang and allocation.aged for allocation in allocations
            ),
        )

    def _allowed_beside(
        self, current: _ShardReservations, allocation: ShardAllocation, task_count: int
    ) -> bool:
        """Return whether a job may reserve machines in addition to the present reservations."""
        if task_count > 1 and (
            current.has_wide_gang or not self.deadlines.is_reservation_due(allocation.job)
        ):
            return False
        # Of aged jobs that aren't gangs, only one reserves machines at a time, within its team's
        # limit: while jobs beyond the limit are queued, every array becomes aged.
        return allocation.gang or not (
            current.has_large_task
            or not self.quotas.tasks_within_limit(allocation.shard, allocation.spec)
        )

    def _worth_reserving(self, allocation: ShardAllocation, task_count: int, wait_s: float) -> bool:
        """Return whether a gang would start soon on the machines, within its team's limit."""
        if wait_s > self.policy.start_within * _MAX_WAIT_SHARE:
            return False
        return self.quotas.tasks_within_limit(allocation.shard, allocation.spec) >= task_count

    def _set_reservations(
        self, chosen: list[CapacityForecast], job_id: str, wait_s: float, now: float
    ) -> None:
        machines = {forecast.machine.name: forecast.machine for forecast in chosen}
        until = now + wait_s * _WAIT_MARGIN_RATIO + self.agent_heartbeat_s * _MARGIN_HEARTBEATS
        for machine in machines.values():
            machine.reservation = Reservation(job_id, until)
        log.info("reserved machines=%d for=%s eta=%.1f", len(machines), job_id, wait_s)

    def _may_reserve(self, state: ShardState, allocation: ShardAllocation, now: float) -> bool:
        """Return whether a job is pending, and has been for at least one agent heartbeat."""
        attempt = allocation.job.record.attempt
        if allocation.placed or (attempt and allocation.last_shared_attempt == attempt):
            return False
        if now - allocation.pending_since < self.agent_heartbeat_s:
            return False
        return is_ready(state, allocation.job.id, allocation, now)

    def _soonest(
        self, allocation: ShardAllocation, machines: list[Machine], task_count: int, now: float
    ) -> list[CapacityForecast]:
        """Return where that many tasks fit soonest; empty if not all of them ever fit."""
        forecasts = []
        for machine in machines:
            if machine.reservation and machine.reservation.until >= now:
                continue
            if not machine_allowed(allocation, machine, self.policy.unhealthy_rest):
                continue
            for task_number in range(1, task_count + 1):
                wait_s = self._seconds_until(machine, allocation.resources.times(task_number), now)
                if wait_s is None:
                    break
                forecasts.append(CapacityForecast(wait_s, machine.name, task_number, machine))
        chosen = sorted(forecasts, key=lambda forecast: forecast[:3])[:task_count]
        return chosen if len(chosen) == task_count else []

    def _seconds_until(self, machine: Machine, request: Resources, now: float) -> float | None:
        """Return in how many seconds a machine can hold the request if nothing more starts there.

        Returns None if it never can.
        """
        available = machine.available()
        if fits(request, available):
            return 0.0
        expected_ends = []
        for placement in machine.placements.values():
            if placement.spec.is_service:
                continue  # a service replica never ends by itself
            ran_s = now - (placement.running_since or now)
            expected_ends.append(
                (
                    max(1.0, self.estimates.expected_run_s(placement.spec) - ran_s),
                    placement.resources,
                )
            )
        for end_s, freed in sorted(expected_ends):
            available = available.plus(freed)
            if fits(request, available):
                return end_s
        return None
