"""Removal of tasks whose machine's lease expired, and detection of machines without heartbeats."""

from __future__ import annotations

import logging
from collections.abc import Mapping

import trio

from ..config.settings import AgentTimes
from ..config.timing import lease_expired_at
from .commands.task_control import TaskControl
from .led_shard import LedShard
from .listener import Freshness, LossCause
from .machine import Machine
from .machine_index import MachineIndex

log = logging.getLogger(__name__)

# Passes over all machines per heartbeat interval.
CHECKS_PER_HEARTBEAT = 4
# Once its announced preemption is due, a machine is lost after this many missed heartbeats.
PREEMPTED_MISSED_HEARTBEATS = 2
# An unrecorded machine is removed from the index after this many heartbeat timeouts.
UNREGISTER_HEARTBEAT_TIMEOUTS = 4


class LeaseExpiry:
    """Removes the placements of a machine once its lease must have expired."""

    def __init__(
        self,
        index: MachineIndex,
        shards: Mapping[int, LedShard],
        task_control: TaskControl,
        freshness: Freshness,
        times: AgentTimes,
        heartbeat_timeout: float,
    ):
        """`heartbeat_timeout` is the time in seconds without heartbeats until a machine is lost."""
        self._index = index
        self._shards = shards
        self._task_control = task_control
        self._freshness = freshness
        self._times = times
        self._heartbeat_timeout = heartbeat_timeout

    async def run(self) -> None:
        """Check all machines of the led shards periodically."""
        while True:
            await trio.sleep(self._times.report_s / CHECKS_PER_HEARTBEAT)
            now = trio.current_time()
            leadership_verified_until = self._freshness.leadership_verified_at()
            resumed_at = self._freshness.resumed_at()
            for machine in list(self._index.machines.values()):
                # During a yield below, a shard may be lost, and its machines be replaced.
                if self._index.machines.get(machine.name) is not machine:
                    continue
                if machine.shard not in self._shards:
                    continue
                if self._check(machine, now, leadership_verified_until, resumed_at):
                    await trio.sleep(0)  # many machines may lose many tasks at the same time

    def _check(
        self, machine: Machine, now: float, leadership_verified_until: float, resumed_at: float
    ) -> bool:
        """Update whether a machine is lost; return whether its tasks were removed."""
        since_last_heartbeat = now - max(machine.last_heartbeat_at, resumed_at)
        lease_has_expired = self._lease_has_expired(machine, leadership_verified_until)
        if lease_has_expired:
            log.info("lease expired machine=%s tasks=%d", machine.name, len(machine.placements))
            machine.lost = True
            self._task_control.remove_all(machine, LossCause.LEASE_EXPIRED)
        if since_last_heartbeat > self._heartbeat_timeout or self._is_preempted(
            machine, now, since_last_heartbeat
        ):
            machine.lost = True
        unregister_after = self._heartbeat_timeout * UNREGISTER_HEARTBEAT_TIMEOUTS
        if machine.lost and not machine.recorded and since_last_heartbeat > unregister_after:
            self._index.remove(machine.name)
        return lease_has_expired

    def _lease_has_expired(self, machine: Machine, leadership_verified_until: float) -> bool:
        """Return whether a machine's lease has expired for every possible renewer.

        Only the shard leader's responses renew it, and this node has sent none for the length
        of a lease. While its leadership cannot be verified, the lease does not count as
        expired, as a new leader may be renewing it.
        """
        has_state_to_expire = not machine.lost or machine.placements
        if not machine.confirmed or not has_state_to_expire:
            return False
        return leadership_verified_until > lease_expired_at(machine.lease_renewed_at, self._times)

    def _is_preempted(self, machine: Machine, now: float, since_last_heartbeat: float) -> bool:
        """Return whether a machine is past its announced preemption and sends no heartbeats.

        This detects the loss before the lease expires.
        """
        return (
            machine.preemption_at is not None
            and now > machine.preemption_at
            and since_last_heartbeat > self._times.report_s * PREEMPTED_MISSED_HEARTBEATS
        )
