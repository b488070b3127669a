"""Statuses of the shards that this controller leads, for its peers and its own planning."""

from __future__ import annotations

import logging

import trio

from ...agents.machine import Machine
from ...config.clock import LONG_AGO_S
from ...jobs.resources import NO_RESOURCES, Resources
from ...membership.messages import GroupMatrix, MachineFlag, MachineStatus, ShardStatus
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
    """Refreshes the statuses of led shards; their availability matrices only once per period."""

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
        self.matrices_refreshed_at = LONG_AGO_S

    def refresh(self) -> float:
        """Refresh the statuses of all led shards; return the seconds that it took."""
        now = trio.current_time()
        self.statuses.drop_reported_allocations(now)
        matrices_due = now - self.matrices_refreshed_at >= self.policy.period
        if matrices_due:
            self.matrices_refreshed_at = now
        over_guarantee: set[str] = set()
        if len(self.quotas.teams) > 1:
            over_guarantee = {
                team for team in self.quotas.teams if self.quotas.over_guarantee(team)
            }
        for shard, state in self.shards.items():
            if matrices_due:
                self._log_load(shard, state)
            self._refresh_shard(shard, state, over_guarantee, matrices_due, now)
        self.quotas.find_short_of_quota()
        return trio.current_time() - now

    def _refresh_shard(
        self,
        shard: int,
        state: ShardState,
        over_guarantee: set[str],
        matrices_due: bool,
        now: float,
    ) -> None:
        """Replace the status of one shard; keep the previous matrices if no new ones are due."""
        old = self.statuses.newest.get(shard)
        status = self._shard_status(shard, state, over_guarantee, now)
        if matrices_due or old is None or not old.matrix:
            status.stretch = min(
                (g.least_stretch for g in state.machine_groups.values()), default=0.0
            )
            status.matrix = self._matrices(state, now)
            self.statuses.unreported.pop(shard, None)
        else:
            status.matrix, status.stretch = old.matrix, old.stretch
        self.statuses.put(status)

    def _shard_status(
        self, shard: int, state: ShardState, over_guarantee: set[str], now: float
    ) -> ShardStatus:
        """Return the status of a shard without its matrices and its least stretch."""
        machines = self.agents.of_shard(shard)
        reserved = [m for m in machines if m.reservation and m.reservation.until >= now]
        pending = _pending_tasks(state)
        lease = self.agents.shards.get(shard)
        state.ready_gangs = _ready_gangs(state)
        return ShardStatus(
            shard,
            token=lease.token if lease else 0,
            reconciled=state.reconciled,
            queued_seconds=self._queued_seconds(state, pending),
            stretch=0.0,
            machines=[self._machine_status(m, over_guarantee, now) for m in machines],
            pending=pending,
            reserved_jobs=[m.reservation.job_id for m in reserved if m.reservation],
            running=self.agents.placements.running(shard),
            reserved_machines=[machine.name for machine in reserved],
            ready_gangs=list(state.ready_gangs),
            usage={
                team: self.quotas.use(shard, team)
                for team in self.quotas.teams
                if self.quotas.has_limit(team)
            },
        )

    def _machine_status(
        self, machine: Machine, over_guarantee: set[str], now: float
    ) -> MachineStatus:
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
            self._machine_flag(machine, now),
            over_guarantee=self._used_over_guarantee(machine, over_guarantee),
        )

    def _queued_seconds(self, state: ShardState, pending: dict[str, int]) -> float:
        """Return the work of pending tasks, in CPU-seconds."""
        queued = 0.0
        for id, count in pending.items():
            allocation = state.allocations[id]
            queued += (
                count * self.estimates.expected_run_s(allocation.spec) * allocation.resources[0]
            )
        return queued

    def _matrices(self, state: ShardState, now: float) -> list[GroupMatrix]:
        """Return the paper's availability matrices, one for each machine group."""
        matrices = []
        for key, group in state.machine_groups.items():
            queue = machine_queue(state, group, len(user_api.RANKS))
            cells = stretch.availability_matrix(
                [queue],
                self.samples.stretches,
                self.samples.sizes,
                self.samples.task_work,
                now,
                group.batch_machines,
            )
            matrices.append(GroupMatrix(key.text(), cells))
        return matrices

    def _used_over_guarantee(self, machine: Machine, over_guarantee: set[str]) -> Resources:
        """Return the resources that teams over their guarantee use, except lowest rank and gangs.

        Tasks of the lowest rank are left out, since they are preemptible anyway, and so are
        gangs, since they aren't preempted for a guarantee.
        """
        used = NO_RESOURCES
        if over_guarantee:
            lowest_rank = len(user_api.RANKS) - 1
            for placement in machine.placements.values():
                if (
                    placement.team in over_guarantee
                    and placement.rank != lowest_rank
                    and not is_gang(placement)
                ):
                    used = used.plus(placement.resources)
        return used

    def _log_load(self, shard: int, state: ShardState) -> None:
        """Log the free resources, pending tasks and quota usage of a shard."""
        capacities: dict[str, list[float]] = {}
        for machine in self.agents.of_shard(shard):
            if machine.schedulable and machine.machine_type is not None:
                free = machine.available()
                totals = capacities.setdefault(
                    f"{machine.type}{'*' if machine.spot else ''}", [0, 0, 0]
                )
                totals[0] += 1
                totals[1] += free[0]
                totals[2] += free[1]
        pending: dict[str, int] = {}
        for allocation in state.allocations.values():
            if allocation.pending.count:
                job_class = allocation.job.spec.job_class
                pending[job_class] = pending.get(job_class, 0) + allocation.pending.count
        free_text = " ".join(
            f"{name}:{int(machines)}x,{cpus:g}c,{gpus:g}g"
            for name, (machines, cpus, gpus) in sorted(capacities.items())
        )
        quotas = self.quotas
        quota_text = " ".join(
            f"{team}:{quotas.use(shard, team)[0]:g}/{quotas.share(shard, team)[0]:g}"
            for team in quotas.teams
            if quotas.has_limit(team)
        )
        log.info(
            "load shard=%d free=[%s] pending=%s quota=[%s]", shard, free_text, pending, quota_text
        )

    def _machine_flag(self, machine: Machine, now: float) -> MachineFlag:
        """Return why tasks may not start on a machine; of several reasons the most lasting."""
        if machine.lost:
            return MachineFlag.LOST if machine.confirmed else MachineFlag.SUSPECT
        if machine.preemption_at is not None:
            return MachineFlag.NOTICE
        if machine.unreachable:
            return MachineFlag.UNREACHABLE
        if machine.draining:
            return MachineFlag.DRAINING
        if machine.quarantined_until >= now:
            return MachineFlag.QUARANTINED
        return MachineFlag.USABLE if machine.schedulable else MachineFlag.NEW


def _pending_tasks(state: ShardState) -> dict[str, int]:
    """Return pending tasks by job; 1 for a faulty job, which one machine is enough to retry."""
    return {
        id: 1 if allocation.faulty and not allocation.gang else allocation.pending.count
        for id, allocation in state.allocations.items()
        if allocation.pending.count
    }


def _ready_gangs(state: ShardState) -> set[str]:
    """Return the ready gangs that the shard still has and that still span several shards."""
    return {
        id
        for id in state.ready_gangs
        if (gang := state.allocations.get(id)) is not None and gang.job.record.attempt
    }
