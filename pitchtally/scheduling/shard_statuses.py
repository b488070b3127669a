"""What shards tell one another: machines, waiting work, matrices, and what to make of it."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import trio

from ..agents.machine import Machine, MachineGroupKey
from ..jobs.resources import (
    NO_RESOURCES,
    Resources,
    capacity_of,
    count_fitting,
    dominant_share,
    fits,
    resource_request,
)
from ..membership.messages import MachineFlag, MachineStatus, PeerHeartbeat, ShardStatus
from ..protocol import user_api
from . import stretch
from .allocations import ShardState
from .capacity import allows_machine_type, is_gang
from .component import SchedulerComponent

if TYPE_CHECKING:
    from .scheduler import Scheduler

log = logging.getLogger("statuses")


class ShardStatuses(SchedulerComponent):
    """What shards tell one another: machines, waiting work, matrices, and what to make of it."""

    def __init__(self, scheduler: Scheduler) -> None:
        super().__init__(scheduler)
        self.newest: dict[int, ShardStatus] = {}  # of every shard, ours included
        self.received_at: dict[int, float] = {}  # when a peer's status came
        self.unreported: dict[int, list[tuple[float, float]]] = {}
        self.capacities: dict[int, dict[tuple[object, ...], int]] = {}  # see `free_capacity`
        self.zones: dict[int, dict[tuple[object, ...], dict[str, int]]] = {}  # see `Gangs`
        self.groups: dict[int, dict[MachineGroupKey, list[MachineStatus]]] = {}  # see `groups_of`
        self.matrix_at = -1e9

    def take_heartbeat(self, heartbeat: PeerHeartbeat) -> None:
        """Take in what a peer tells of the shards that it owns."""
        for status in heartbeat.shards:
            leader = self.membership.leader(status.shard)
            if leader != heartbeat.node:
                continue
            self._renewed(status.shard)
            self.received_at[status.shard] = trio.current_time()
            old = self.newest.get(status.shard)
            if not status.matrix and old is not None:
                status.matrix = old.matrix
            self.newest[status.shard] = status

    def _renewed(self, shard: int) -> None:
        """What was worked out from a shard's last status is worth nothing any more."""
        self.capacities.pop(shard, None)
        self.zones.pop(shard, None)
        self.groups.pop(shard, None)

    def groups_of(self, status: ShardStatus) -> dict[MachineGroupKey, list[MachineStatus]]:
        """A status's machines by what decides whether a job may use them."""
        found = self.groups.get(status.shard)
        if found is None:
            found = self.groups[status.shard] = {}
            for machine in status.machines:
                group = MachineGroupKey(machine.type, machine.zone, machine.spot)
                found.setdefault(group, []).append(machine)
        return found

    def refresh(self) -> float:
        """Renew our own statuses, the matrices only once a period; the time that it took."""
        now = trio.current_time()
        self._forget_old_allocations(now)
        renew = now - self.matrix_at >= self.policy.period
        if renew:
            self.matrix_at = now
        beyond: set[str] = set()
        if len(self.scheduler.quotas.known) > 1:
            beyond = {
                t for t in self.scheduler.quotas.known if self.scheduler.quotas.over_guarantee(t)
            }
        for shard, work in self.scheduler.shards.work.items():
            if renew:
                self._log_load(shard, work)
            self._refresh_shard(shard, work, beyond, renew, now)
        self.scheduler.quotas.find_waiting_for_limit()
        return trio.current_time() - now

    def _forget_old_allocations(self, now: float) -> None:
        """After a few heartbeats a shard's own status shows what it was sent."""
        limit = self.policy.heartbeat_interval * 3
        for shard, rows in list(self.unreported.items()):
            self.unreported[shard] = [r for r in rows if now - r[0] < limit]
            if not self.unreported[shard]:
                del self.unreported[shard]

    def _refresh_shard(
        self, shard: int, work: ShardState, beyond: set[str], renew: bool, now: float
    ) -> None:
        old = self.newest.get(shard)
        kept = [
            m for m in self.agents.of_shard(shard) if m.reservation and m.reservation.until >= now
        ]
        machines = [self._machine(m, beyond, now) for m in self.agents.of_shard(shard)]
        waiting, queued = self._waiting(work)
        hold = self.agents.shards.get(shard)
        status = ShardStatus(
            shard, hold.token if hold else 0, work.reconciled, queued, 0.0, machines, [], waiting
        )
        status.running = self.agents.placements.running(shard)
        status.kept = [machine.name for machine in kept]
        status.reserved = [machine.reservation.job_id for machine in kept if machine.reservation]
        work.ready = {
            id
            for id in work.ready
            if (gang := work.allocations.get(id)) is not None and gang.job.record.attempt
        }
        status.ready = list(work.ready)
        status.use = {
            t: self.scheduler.quotas.use(shard, t)
            for t in self.scheduler.quotas.known
            if self.scheduler.quotas.limited(t)
        }
        if renew or old is None or not old.matrix:
            status.stretch = min((g.level for g in work.machine_groups.values()), default=0.0)
            status.matrix = self._matrices(work, now)
            self.unreported.pop(shard, None)
        else:
            status.matrix, status.stretch = old.matrix, old.stretch
        self.newest[shard] = status
        self._renewed(shard)

    def _machine(self, machine: Machine, beyond: set[str], now: float) -> MachineStatus:
        free = machine.available() if machine.schedulable else NO_RESOURCES
        if machine.reservation and machine.reservation.until >= now:
            free = NO_RESOURCES
        return MachineStatus(
            machine.name,
            machine.type,
            machine.zone,
            machine.spot,
            Resources(max(0.0, free[0]), max(0.0, free[1]), max(0.0, free[2])),
            Resources(*machine.used_by_rank[-1]),
            len(machine.placements),
            now - machine.idle_since,
            self._flag(machine, now),
            over=self._over_on(machine, beyond),
        )

    def _waiting(self, work: ShardState) -> tuple[dict[str, int], float]:
        """Tasks not started by job, and how much work that is."""
        waiting: dict[str, int] = {}
        queued = 0.0
        for id, allocation in work.allocations.items():
            if not allocation.pending.count:
                continue
            # What fails wherever it goes calls for no machines but one.
            count = 1 if allocation.faulty and not allocation.gang else allocation.pending.count
            waiting[id] = count
            queued += (
                count * self.scheduler.estimates.task(allocation.spec) * allocation.resources[0]
            )
        return waiting, queued

    def _matrices(self, work: ShardState, now: float) -> list[tuple[str, list[list[list[int]]]]]:
        """The paper's availability matrices, one for each group of like machines."""
        out = []
        for (type_, zone, spot), group in work.machine_groups.items():
            queue = self.scheduler.placer.queue(work, group, len(user_api.RANKS))
            cells = stretch.matrix(
                [queue],
                self.scheduler.stretches,
                self.scheduler.sizes,
                self.scheduler.tasks,
                now,
                group.width,
            )
            out.append((MachineGroupKey(type_, zone, spot).text(), cells))
        return out

    def _over_on(self, machine: Machine, beyond: set[str]) -> Resources:
        """Held by teams beyond their guarantee, apart from what yields anyway."""
        held = NO_RESOURCES
        if beyond:
            last = len(user_api.RANKS) - 1
            for placement in machine.placements.values():
                if placement.team in beyond and placement.rank != last and not is_gang(placement):
                    held = held.plus(placement.resources)
        return held

    def _log_load(self, shard: int, work: ShardState) -> None:
        """What is free and what waits, for people who read logs."""
        capacities: dict[str, list[float]] = {}
        for machine in self.agents.of_shard(shard):
            if machine.schedulable and machine.machine_type is not None:
                free = machine.available()
                row = capacities.setdefault(
                    f"{machine.type}{'*' if machine.spot else ''}", [0, 0, 0]
                )
                row[0] += 1
                row[1] += free[0]
                row[2] += free[1]
        waits: dict[str, int] = {}
        for allocation in work.allocations.values():
            if allocation.pending.count:
                name = allocation.job.spec.job_class
                waits[name] = waits.get(name, 0) + allocation.pending.count
        text = " ".join(
            f"{t}:{int(n)}x,{c:g}c,{g:g}g" for t, (n, c, g) in sorted(capacities.items())
        )
        quotas = self.scheduler.quotas
        teams = " ".join(
            f"{t}:{quotas.use(shard, t)[0]:g}/{quotas.share(shard, t)[0]:g}"
            for t in quotas.known
            if quotas.limited(t)
        )
        log.info("load part=%d free=[%s] waiting=%s share=[%s]", shard, text, waits, teams)

    def _flag(self, machine: Machine, now: float) -> MachineFlag:
        if machine.lost:
            return MachineFlag.LOST if machine.confirmed else MachineFlag.UNHEARD
        if machine.preemption_at is not None:
            return MachineFlag.NOTICE
        if machine.unreachable:
            return MachineFlag.UNRESPONSIVE
        if machine.draining:
            return MachineFlag.DRAINING
        if machine.quarantined_until >= now:
            return MachineFlag.UNHEALTHY
        return MachineFlag.USABLE if machine.schedulable else MachineFlag.NEW

    def own(self) -> list[ShardStatus]:
        """What this node tells of its own shards."""
        return [self.newest[p] for p in self.scheduler.shards.work if p in self.newest]

    def free_capacity(self, status: ShardStatus, spec: user_api.JobSpec, *, yielding: bool) -> int:
        """How many tasks the shard's machines could take now (or by preempting)."""
        resources = resource_request(spec)
        # PartStatuses are renewed a few times a second, and asked about far more often.
        known = self.capacities.setdefault(status.shard, {})
        key = (yielding, resources, spec.types, spec.zone, spec.spot)
        found = known.get(key)
        if found is not None:
            return found
        total = 0
        for (type_, zone, spot), machines in self.groups_of(status).items():
            machine_type = self.types().get(type_)
            if machine_type is None or not allows_machine_type(spec, machine_type, zone, spot):
                continue
            for machine in machines:
                if machine.flag:
                    continue
                available = machine.free
                if yielding:
                    available = available.plus(machine.yielding)
                if fits(resources, available):
                    total += count_fitting(resources, available)
        known[key] = total
        return total

    def record_allocation(self, shard: int, spec: user_api.JobSpec, count: int) -> None:
        """Lower a shard's availability at once, before its next matrix shows it."""
        kinds = [k for k in self.types().values() if fits(resource_request(spec), capacity_of(k))]
        if kinds:
            share = min(dominant_share(resource_request(spec), k) for k in kinds)
            work = count * self.scheduler.estimates.task(spec) * share
            self.unreported.setdefault(shard, []).append((trio.current_time(), work))

    def running(self, id: str) -> int:
        """Tasks of a job running on machines that this node knows of, for display."""
        return sum(
            load.running
            for shard in self.scheduler.shards.work
            for jobs in self.agents.placements.loads.get(shard, {}).values()
            if (load := jobs.get(id)) is not None
        ) or sum(
            status.running.get(id, 0)
            for status in self.newest.values()
            if status.shard not in self.scheduler.shards.work
        )
