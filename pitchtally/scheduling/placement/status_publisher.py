"""Works out the statuses of our own shards, which peers and our planning go by."""

from __future__ import annotations

import logging

import trio

from ...agents.machine import Machine, MachineGroupKey
from ...jobs.resources import NO_RESOURCES, Resources
from ...membership.messages import MachineFlag, MachineStatus, ShardStatus
from ...protocol import user_api
from .. import stretch
from ..capacity import is_gang
from ..context import SchedulingContext
from ..quotas.quotas import Quotas
from ..shards.allocations import ShardState
from ..shards.machine_queues import machine_queue
from ..shards.shard_statuses import ShardStatuses

log = logging.getLogger(__name__)


class StatusPublisher:
    """Renews the statuses of our shards, their availability matrices once a period."""

    def __init__(
        self,
        context: SchedulingContext,
        shards: dict[int, ShardState],
        statuses: ShardStatuses,
        quotas: Quotas,
    ) -> None:
        self.policy = context.policy
        self.agents = context.agents
        self.estimates = context.estimates
        self.samples = context.samples
        self.shards = shards
        self.statuses = statuses
        self.quotas = quotas
        self.matrix_at = -1e9

    def refresh(self) -> float:
        """Renew our own statuses, the matrices only once a period; the time that it took."""
        now = trio.current_time()
        self.statuses.forget_old_allocations(now)
        renew = now - self.matrix_at >= self.policy.period
        if renew:
            self.matrix_at = now
        beyond: set[str] = set()
        if len(self.quotas.known) > 1:
            beyond = {t for t in self.quotas.known if self.quotas.over_guarantee(t)}
        for shard, work in self.shards.items():
            if renew:
                self._log_load(shard, work)
            self._refresh_shard(shard, work, beyond, renew, now)
        self.quotas.find_waiting_for_limit()
        return trio.current_time() - now

    def _refresh_shard(
        self, shard: int, work: ShardState, beyond: set[str], renew: bool, now: float
    ) -> None:
        old = self.statuses.newest.get(shard)
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
        status.reserved_machines = [machine.name for machine in kept]
        status.reserved_jobs = [
            machine.reservation.job_id for machine in kept if machine.reservation
        ]
        work.ready_gangs = {
            id
            for id in work.ready_gangs
            if (gang := work.allocations.get(id)) is not None and gang.job.record.attempt
        }
        status.ready_gangs = list(work.ready_gangs)
        status.usage = {
            t: self.quotas.use(shard, t) for t in self.quotas.known if self.quotas.limited(t)
        }
        if renew or old is None or not old.matrix:
            status.stretch = min((g.level for g in work.machine_groups.values()), default=0.0)
            status.matrix = self._matrices(work, now)
            self.statuses.unreported.pop(shard, None)
        else:
            status.matrix, status.stretch = old.matrix, old.stretch
        self.statuses.put(status)

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
            over_guarantee=self._over_on(machine, beyond),
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
            queued += count * self.estimates.task(allocation.spec) * allocation.resources[0]
        return waiting, queued

    def _matrices(self, work: ShardState, now: float) -> list[tuple[str, list[list[list[int]]]]]:
        """The paper's availability matrices, one for each group of like machines."""
        out = []
        for (type_, zone, spot), group in work.machine_groups.items():
            queue = machine_queue(work, group, len(user_api.RANKS))
            cells = stretch.matrix(
                [queue],
                self.samples.stretches,
                self.samples.sizes,
                self.samples.tasks,
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
        quotas = self.quotas
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
