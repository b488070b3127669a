"""Health checks that find failed, unreachable, preempted and quarantined machines."""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass

import trio

from ..agents.machine import MachineGroupKey
from ..membership.messages import MachineFlag, MachineStatus
from ..membership.shards import shard_of
from ..protocol import cloud_api
from .config import AutoscalerConfig
from .inventory import MachineInventory
from .scale_out import BootingMachine
from .scheduler_view import SchedulerView
from .terminations import TerminationCause, Terminations

# Flags of machines that send no heartbeats or don't receive the responses.
UNREACHABLE_FLAGS = frozenset({MachineFlag.LOST, MachineFlag.SUSPECT, MachineFlag.UNREACHABLE})
# Assumed boot time of a machine whose type isn't in the catalog.
DEFAULT_BOOT_S = 30.0
# A machine that takes more than this many usual boot times counts as failed.
MAX_BOOT_TIMES = 4
# A machine listed as running is terminated after this many heartbeat timeouts without any
# heartbeat.
NO_HEARTBEAT_TIMEOUTS = 2


@dataclass(slots=True)
class _UnreachablePeriod:
    started_at: float
    confirmed_at: float


class HeartbeatTimeouts:
    """Tracks for how long machines have been unreachable; runs on every node.

    If only the cluster leader did so, a new leader would start from zero, and a shard whose
    failover waits for a dead machine would wait for the timeout once more.
    """

    def __init__(
        self,
        config: AutoscalerConfig,
        scheduler: SchedulerView,
        resumed_at: Callable[[], float],
    ):
        """`resumed_at`: returns when this process last resumed after a pause."""
        self._config = config
        self._scheduler = scheduler
        self._resumed_at = resumed_at
        self._periods: dict[str, _UnreachablePeriod] = {}
        self._observed_at = -math.inf

    def unreachable_for(self, name: str, now: float) -> float | None:
        """Return for how many seconds a machine has been unreachable, None if it is reachable."""
        period = self._periods.get(name)
        return None if period is None else now - period.started_at

    async def run(self) -> None:
        """Update the periods once per heartbeat interval."""
        while True:
            await trio.sleep(self._config.heartbeat_interval)
            self._observe()

    def _observe(self) -> None:
        now = trio.current_time()
        if self._resumed_at() > self._observed_at:
            self._periods.clear()  # heartbeats may have been missed during the pause
        self._observed_at = now
        for name, status in self._scheduler.machine_statuses().items():
            if status.flag not in UNREACHABLE_FLAGS:
                self._periods.pop(name, None)
            elif self._is_status_recent(name, now):
                self._periods.setdefault(name, _UnreachablePeriod(now, now)).confirmed_at = now
        # Without recent confirmation a machine may have become reachable unnoticed.
        max_age = self._config.agent_lease / 2
        for name in [n for n, p in self._periods.items() if now - p.confirmed_at > max_age]:
            del self._periods[name]

    def _is_status_recent(self, machine: str, now: float) -> bool:
        """Return whether this node leads the machine's shard or has a recent status of it."""
        shard = shard_of(machine, self._config.shard_count)
        if self._scheduler.leads_shard(shard):
            return True
        received_at = self._scheduler.status_received_at(shard)
        return received_at is not None and now - received_at < self._config.session_ttl


class MachineHealth:
    """Finds machines to terminate; run by the cluster leader."""

    def __init__(
        self,
        config: AutoscalerConfig,
        scheduler: SchedulerView,
        machine_types: Callable[[], Mapping[str, cloud_api.MachineType]],
        inventory: MachineInventory,
        booting: dict[str, BootingMachine],
        timeouts: HeartbeatTimeouts,
        terminations: Terminations,
    ):
        """Take the views of the machines that are compared with each other.

        `booting`: shared with scale out; entries are removed once a machine has sent a
        heartbeat or its boot has timed out.
        """
        self._config = config
        self._scheduler = scheduler
        self._machine_types = machine_types
        self._inventory = inventory
        self._booting = booting
        self._timeouts = timeouts
        self._terminations = terminations
        self._no_heartbeat_since: dict[str, float] = {}  # listed machines, not in any status

    def reset(self) -> None:
        """Clear the observations of an earlier leadership."""
        self._no_heartbeat_since.clear()

    def check(self, statuses: Mapping[str, MachineStatus], now: float) -> None:
        """Request the termination of all unhealthy machines."""
        self._check_booting(statuses, now)
        for name, machine in list(self._inventory.machines.items()):
            if not self._terminations.is_terminated(name):
                self._check_listed(name, machine, statuses, now)
        for name, status in statuses.items():
            if not self._terminations.is_terminated(name):
                self._check_reported(name, status, now)

    def _check_booting(self, statuses: Mapping[str, MachineStatus], now: float) -> None:
        for name, machine in list(self._booting.items()):
            if name in statuses:
                del self._booting[name]
            elif now - machine.booting_since > self._boot_timeout(machine.group.type):
                del self._booting[name]
                self._terminations.request(name, TerminationCause.BOOT_TIMEOUT)

    def _check_listed(
        self,
        name: str,
        machine: cloud_api.ListedMachine,
        statuses: Mapping[str, MachineStatus],
        now: float,
    ) -> None:
        if machine.state == cloud_api.FAILED:
            self._terminations.request(name, TerminationCause.FAILED)
        elif machine.state == cloud_api.BOOTING and name not in statuses:
            if machine.age > self._boot_timeout(machine.type):
                self._terminations.request(name, TerminationCause.BOOT_TIMEOUT)
            elif name not in self._booting:
                group = MachineGroupKey(machine.type, machine.zone, machine.spot)
                self._booting[name] = BootingMachine(group, now - machine.age)
        elif name in statuses or not self._is_shard_reconciled(name):
            # After a failover a shard leader has not yet received heartbeats of all its machines.
            self._no_heartbeat_since.pop(name, None)
        elif machine.age > self._boot_seconds(machine.type) * MAX_BOOT_TIMES:
            no_heartbeat_since = self._no_heartbeat_since.setdefault(name, now)
            if now - no_heartbeat_since > self._config.heartbeat_timeout * NO_HEARTBEAT_TIMEOUTS:
                self._terminations.request(name, TerminationCause.NO_HEARTBEAT)

    def _check_reported(self, name: str, status: MachineStatus, now: float) -> None:
        if status.flag in UNREACHABLE_FLAGS:
            unreachable_for = self._timeouts.unreachable_for(name, now)
            if unreachable_for is not None and unreachable_for > self._unreachable_timeout(status):
                self._terminations.request(name, TerminationCause.HEARTBEAT_TIMEOUT)
        if status.flag == MachineFlag.NOTICE and status.tasks == 0:
            self._terminations.request(name, TerminationCause.PREEMPTED)
        if status.flag == MachineFlag.QUARANTINED and status.tasks == 0:
            self._terminations.request(name, TerminationCause.QUARANTINED)

    def _unreachable_timeout(self, status: MachineStatus) -> float:
        """Return after how many seconds an unreachable machine is terminated.

        The timeout is shorter for suspect machines, since a failover waits for them, and for
        unreachable ones, whose heartbeats arrive but whose lease expires all the same. A lost
        machine delays nothing: its lease has expired, its tasks are restarted elsewhere, and
        other machines are launched in its place. It may only hang, or its zone may be
        partitioned; if it has died, the machine list soon shows that. If lost machines were
        terminated at once, dozens that were about to resume would have to boot again.
        """
        timeout = self._config.heartbeat_timeout
        return timeout if status.flag == MachineFlag.LOST else timeout / 2

    def _is_shard_reconciled(self, machine: str) -> bool:
        """Return whether the leader of the machine's shard has completed reconciliation."""
        shard = shard_of(machine, self._config.shard_count)
        status = self._scheduler.shard_statuses().get(shard)
        return status is not None and status.reconciled

    def _boot_timeout(self, machine_type: str) -> float:
        """Return after how many seconds a booting machine counts as failed."""
        return self._boot_seconds(machine_type) * MAX_BOOT_TIMES + self._config.list_lag

    def _boot_seconds(self, machine_type: str) -> float:
        catalog_entry = self._machine_types().get(machine_type)
        return catalog_entry.boot_time if catalog_entry else DEFAULT_BOOT_S
