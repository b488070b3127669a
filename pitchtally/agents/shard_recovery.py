"""Recovery of a shard after a failover: finding the machines that may hold tasks."""

from __future__ import annotations

import logging

import trio

from ..state_store.replica import Replica
from .led_shard import LedShard
from .listener import SchedulerConnection
from .machine import Machine
from .machine_index import MachineIndex
from .machine_records import MachineRecords

log = logging.getLogger(__name__)


class ShardRecovery:
    """Moves each led shard through its states: acquired, loaded, reconciled."""

    def __init__(
        self,
        index: MachineIndex,
        shards: dict[int, LedShard],
        records: MachineRecords,
        replica: Replica,
        scheduler: SchedulerConnection,
    ):
        self._index = index
        self._shards = shards
        self._records = records
        self._replica = replica
        self._scheduler = scheduler

    def acquire(self, shard: int, token: int) -> None:
        """Start leading a shard under a new fencing token."""
        self.release(shard)
        self._shards[shard] = LedShard(shard, token)

    def release(self, shard: int) -> None:
        """Discard the state of a shard that this node no longer leads."""
        if self._shards.pop(shard, None) is None:
            return
        self._index.remove_shard(shard)
        self._scheduler.listener.shard_lost(shard)

    def load(self, led_shard: LedShard) -> None:
        """Add the recorded machines, once the replica includes all writes up to the failover."""
        if led_shard.loaded or self._replica.revision < led_shard.token:
            return
        led_shard.loaded = True
        for name, record in self._records.recorded_machines(led_shard.shard).items():
            if name in self._index.terminated:
                continue  # confirmed as gone; the next write removes it from the record
            machine = self._index.machines.get(name)
            if machine is None:
                machine = self._index.add(
                    name, record.type, record.zone, record.spot, record.address
                )
                machine.lost = True  # until its status arrives
                machine.last_heartbeat_at = machine.lease_renewed_at = led_shard.acquired_at
            machine.recorded = True
            if not machine.confirmed:
                led_shard.add_suspect(machine)
        listener = self._scheduler.listener
        listener.shard_loaded(led_shard.shard)
        if led_shard.suspects:
            listener.suspects_changed(led_shard.shard, led_shard.suspect_groups.keys())
        log.info("shard loaded shard=%d machines=%d", led_shard.shard, len(led_shard.suspects))
        self._finish_if_reconciled(led_shard)

    def clear_suspect(self, led_shard: LedShard, machine: Machine) -> None:
        """Remove a machine from the suspects: it has reported its tasks, or is gone."""
        if machine.name not in led_shard.suspects:
            return
        last_of_group = led_shard.clear_suspect(machine)
        if last_of_group and led_shard.loaded and led_shard.suspects:
            self._scheduler.listener.suspects_changed(
                led_shard.shard, led_shard.suspect_groups.keys()
            )
        self._finish_if_reconciled(led_shard)

    def _finish_if_reconciled(self, led_shard: LedShard) -> None:
        if led_shard.reconciled or not led_shard.loaded or led_shard.suspects:
            return
        led_shard.reconciled = True
        log.info(
            "shard reconciled shard=%d after=%.1f",
            led_shard.shard,
            trio.current_time() - led_shard.acquired_at,
        )
        self._scheduler.listener.shard_reconciled(led_shard.shard)
