"""Checks of whether a job's tasks may start now, and on which machines."""

from __future__ import annotations

import trio

from ...agents.machine import Machine
from ...config.clock import LONG_AGO_S
from ..capacity import allows_machine_type
from .allocations import ShardAllocation, ShardState


def is_ready(state: ShardState, id: str, allocation: ShardAllocation, now: float) -> bool:
    """Return whether pending tasks of the job may start now on any machine."""
    return (
        allocation.pending.count > 0
        and not allocation.range_write_in_flight
        and id not in state.blocked
        and allocation.not_before <= now
        and allocation.job.open
    )


def machine_allowed(allocation: ShardAllocation, machine: Machine, quarantine_s: float) -> bool:
    """Return whether a machine may run tasks of the job, regardless of its free capacity.

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
    # Failures recorded with the machine count as well, since an allocation is empty after a
    # migration or a failover. Failures expire, since a machine may recover and may be the only
    # one that the job allows.
    if allocation.failed_on or machine.last_failure_at:
        failed_at = max(
            allocation.failed_on.get(machine.name, LONG_AGO_S),
            machine.last_failure_at.get(allocation.job.id, LONG_AGO_S),
        )
        if trio.current_time() - failed_at < quarantine_s:
            return False
    return not allocation.one_zone or allocation.job.record.zone == machine.zone
