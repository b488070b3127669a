"""Processing of an agent's status, from a heartbeat or from a command response."""

from __future__ import annotations

import logging

import trio

from ...protocol import agent_api
from ..commands.task_control import TaskControl
from ..led_shard import LedShard
from ..listener import LossCause
from ..machine import Machine
from ..machine_index import MachineIndex
from ..machine_records import MachineRecords
from ..reachability import AgentReachability
from ..shard_recovery import ShardRecovery
from .reconciliation import Reconciler

log = logging.getLogger(__name__)


class StatusIntake:
    """Updates a machine from a status, unless that is older than the last one."""

    def __init__(
        self,
        index: MachineIndex,
        task_control: TaskControl,
        reconciler: Reconciler,
        recovery: ShardRecovery,
        records: MachineRecords,
        reachability: AgentReachability,
    ):
        self._index = index
        self._task_control = task_control
        self._reconciler = reconciler
        self._recovery = recovery
        self._records = records
        self._reachability = reachability

    def observe(
        self, status: agent_api.AgentHeartbeat, led_shard: LedShard, *, in_command_response: bool
    ) -> Machine | None:
        """Process a status and return its machine, or None if the last status may be newer.

        Only this node's fencing token proves that a status was made after the node acquired the
        shard: any other may be a duplicate, delayed by more than a lease, from a machine that is
        gone.
        """
        machine = self._index.machines.get(status.machine)
        if status.token != led_shard.token:
            if machine is not None and in_command_response and status.epoch > machine.epoch:
                machine.epoch = status.epoch  # the next command must name this epoch
                machine.seq = -1
            return None
        if machine is None:
            machine = self._index.add(
                status.machine, status.type, status.zone, status.spot, status.address
            )
        if (status.epoch, status.seq) <= (machine.epoch, machine.seq):
            return None
        now = trio.current_time()
        self._update_machine(machine, status, now)
        self._reconciler.reconcile(machine, status, in_command_response=in_command_response)
        if not machine.confirmed:
            machine.confirmed = True
            # An earlier leader may have renewed the lease until the agent received this token.
            machine.idle_since = machine.lease_renewed_at = now
        self._recovery.clear_suspect(led_shard, machine)
        if not machine.recorded:
            self._records.request_write()
        if machine.placements:
            machine.idle_since = now
        return machine

    def _update_machine(
        self, machine: Machine, status: agent_api.AgentHeartbeat, now: float
    ) -> None:
        """Update a machine from a status, apart from its tasks."""
        if machine.machine_type is None:
            self._index.update_machine_type(machine)
        if status.address:
            machine.address = status.address
        if status.epoch > machine.epoch and machine.epoch:
            log.info("agent epoch new machine=%s tasks=%d", machine.name, len(machine.placements))
            self._task_control.remove_all(machine, LossCause.NEW_EPOCH)
        machine.epoch, machine.seq = status.epoch, status.seq
        machine.last_heartbeat_at = self._reachability.last_contact_at = now
        if machine.lost:
            machine.lost = False
            machine.idle_since = now
        if status.seconds_until_preemption is not None and machine.preemption_at is None:
            log.info(
                "preemption notice machine=%s in=%.1f",
                machine.name,
                status.seconds_until_preemption,
            )
        machine.preemption_at = (
            None
            if status.seconds_until_preemption is None
            else now + status.seconds_until_preemption
        )
