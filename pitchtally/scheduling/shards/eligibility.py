"""Whether a job's tasks may start now, and on which machines."""

from __future__ import annotations

import trio

from ...agents.machine import Machine
from ...jobs.resources import capacity_of, fits
from ..capacity import allows_machine
from .allocations import ShardAllocation, ShardState


def is_ready(work: ShardState, id: str, allocation: ShardAllocation, now: float) -> bool:
    """Whether tasks of the job may start at all now."""
    return (
        allocation.pending.count > 0
        and not allocation.moving
        and id not in work.blocked
        and allocation.not_before <= now
        and allocation.job.open
    )


def machine_ok(allocation: ShardAllocation, machine: Machine, unhealthy_rest: float) -> bool:
    """Whether a machine may run tasks of the job.

    `unhealthy_rest`: seconds for which a machine on which the job failed is left alone.
    """
    machine_type = machine.machine_type
    if machine_type is None:
        return False
    ok = allocation.groups.get(machine.group)
    if ok is None:
        ok = allocation.groups[machine.group] = allows_machine(
            allocation.job, machine.type, machine.zone, machine.spot
        ) and fits(allocation.resources, capacity_of(machine_type))
    if not ok:
        return False
    # Also what the machine remembers: a holding is new after a move or a failover. Not
    # for ever: a machine may be well again, and there may be no other.
    if allocation.failed_on or machine.last_failure_at:
        at = max(
            allocation.failed_on.get(machine.name, -1e9),
            machine.last_failure_at.get(allocation.job.id, -1e9),
        )
        if trio.current_time() - at < unhealthy_rest:
            return False
    return not allocation.one_zone or allocation.job.record.zone == machine.zone
