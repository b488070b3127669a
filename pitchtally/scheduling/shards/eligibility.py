"""Whether a job's tasks may start now, and on which machines."""

from __future__ import annotations

import trio

from ...agents.machine import Machine
from ...config.clock import LONG_AGO
from ..capacity import allows_machine_type
from .allocations import ShardAllocation, ShardState


def is_ready(state: ShardState, id: str, allocation: ShardAllocation, now: float) -> bool:
    """Whether pending tasks of the job may start at all now."""
    return (
        allocation.pending.count > 0
        and not allocation.moving
        and id not in state.blocked
        and allocation.not_before <= now
        and allocation.job.open
    )


def machine_allowed(allocation: ShardAllocation, machine: Machine, quarantine_s: float) -> bool:
    """Whether a machine may run tasks of the job; doesn't ask what is available there.

    `quarantine_s`: seconds for which a job avoids a machine on which it failed.
    """
    machine_type = machine.machine_type
    if machine_type is None:
        return False
    allowed = allocation.allowed_groups.get(machine.group)
    if allowed is None:
        allowed = allocation.allowed_groups[machine.group] = allows_machine_type(
            allocation.spec, machine_type, machine.zone, machine.spot
        )
    if not allowed:
        return False
    # Failures recorded with the machine count as well: an allocation is new after a migration
    # or a failover. They expire, since a machine may recover and there may be no other.
    if allocation.failed_on or machine.last_failure_at:
        failed_at = max(
            allocation.failed_on.get(machine.name, LONG_AGO),
            machine.last_failure_at.get(allocation.job.id, LONG_AGO),
        )
        if trio.current_time() - failed_at < quarantine_s:
            return False
    return not allocation.one_zone or allocation.job.record.zone == machine.zone
