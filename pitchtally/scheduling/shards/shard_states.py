"""The shards that this controller leads: acquired, loaded, reconciled, lost, and their tasks."""

from __future__ import annotations

import logging
from collections.abc import Collection

import trio

from ...agents.machine import MachineGroupKey, Placement
from ...jobs.index import Job
from ...jobs.job_record import JobRecord
from ...protocol import agent_api, user_api
from ..capacity import allows_machine_type
from ..context import SchedulingContext
from ..planning_trigger import PlanningTrigger
from .allocations import ShardAllocation, ShardState
from .deadlines import Deadlines
from .failure_tracker import FailureTracker
from .shard_statuses import ShardStatuses

log = logging.getLogger(__name__)


class ShardStates:
    """Keeps the states of our shards up to date; implements `agents.listener.AgentListener`."""

    def __init__(
        self,
        context: SchedulingContext,
        work: dict[int, ShardState],
        statuses: ShardStatuses,
        deadlines: Deadlines,
        failures: FailureTracker,
        planning_trigger: PlanningTrigger,
    ) -> None:
        self.job_index = context.job_index
        self.agents = context.agents
        self.machine_types = context.machine_types
        self.estimates = context.estimates
        self.agent_heartbeat_s = context.agent_heartbeat_s
        self.states = work
        self.statuses = statuses
        self.deadlines = deadlines
        self.failures = failures
        self.planning_trigger = planning_trigger
        self.recent: dict[tuple[object, ...], user_api.JobSpec] = {}  # a job of each shape seen
        self.job_index.subscribe(self.on_job)

    def shard_acquired(self, shard: int) -> None:
        """A part is ours; nothing of it is known yet."""
        self.states[shard] = ShardState()

    def shard_lost(self, shard: int) -> None:
        """A part is another node's."""
        self.states.pop(shard, None)
        self.statuses.newest.pop(shard, None)

    def shard_loaded(self, shard: int) -> None:
        """Our copy covers the failover: jobs wait until their machines are heard."""
        work = self.states[shard]
        work.loaded = True
        for job in list(self.job_index.open.values()):
            if any(p == shard for _, _, p in job.record.ranges):
                work.blocked.add(job.id)

    def suspects_changed(self, shard: int, groups: Collection[MachineGroupKey]) -> None:
        """Jobs of which no machine still groups can hold a task go on at once.

        A job's tasks are only ever on machines that it allows, so one silent machine need
        not hold up jobs that could never have run there.
        """
        work = self.states[shard]
        for id in sorted(work.blocked):
            job = self.job_index.jobs[id]
            if any(self._may_be_on(job, group) for group in groups):
                continue
            work.blocked.discard(id)
            self.update_allocation(job, shard)
            self._attach_early(work, id)
            log.debug("job unblocked part=%d job=%s", shard, id)
        self.planning_trigger.set()

    def _may_be_on(self, job: Job, group: MachineGroupKey) -> bool:
        """Whether a task of the job may be on machines of a group that an earlier leader used."""
        type_, zone, spot = group
        machine_type = self.machine_types().get(type_)
        spec = job.spec
        if machine_type is None:
            return True
        if spec.one_zone and spec.tasks > 1 and job.record.zone not in (None, zone):
            return False
        return allows_machine_type(spec, machine_type, zone, spot)

    def _attach_early(self, work: ShardState, id: str) -> None:
        """Tasks of a job that were seen on machines before it was known whether all are."""
        early = [placement for placement in work.early if placement.job.id == id]
        work.early = [placement for placement in work.early if placement.job.id != id]
        for placement in early:
            # Those that ended meanwhile were given back in `gone`.
            if placement.machine.placements.get(placement.key) is placement:
                self._attach(placement)

    def shard_reconciled(self, shard: int) -> None:
        """Every machine that may hold a task is heard or gone: the rest is nowhere."""
        work = self.states[shard]
        work.reconciled = True
        work.blocked.clear()
        for job in list(self.job_index.open.values()):
            self.update_allocation(job, shard)
        for id in sorted({placement.job.id for placement in work.early}):
            self._attach_early(work, id)
        self.planning_trigger.set()

    def on_job(self, job: Job, old: JobRecord | None) -> None:
        """A job's record has changed."""
        if not job.open:
            self.deadlines.forget(job.id)
            for work in self.states.values():
                allocation = work.allocations.pop(job.id, None)
                work.gangs.pop(job.id, None)
                work.blocked.discard(job.id)
                for queue in work.queues.values():
                    queue.pop(job.id, None)
                if allocation is not None:
                    for placement in list(allocation.placed.values()):
                        self.agents.stop(placement, 0.0)
            if old is None or old.stage == "open":
                self.agents.stop_job(job.id)
            return
        if old is None:
            spec = job.spec
            self.recent[(spec.job_class, spec.types, spec.zone, spec.spot)] = spec
        if old is not None and old.ranges == job.record.ranges and old.zone == job.record.zone:
            return
        for shard in list(self.states):
            self.update_allocation(job, shard)
        self.planning_trigger.set()

    def update_allocation(self, job: Job, shard: int) -> None:
        """Bring what a shard holds of a job up to its record."""
        work = self.states.get(shard)
        if work is None:
            return  # lost while the write that changed the job was under way
        mine = [(a, b) for a, b, p in job.record.ranges if p == shard]
        allocation = work.allocations.get(job.id)
        if allocation is None:
            if not mine or not work.loaded or job.id in work.blocked:
                return
            allocation = work.allocations[job.id] = ShardAllocation(
                job, shard, self.deadlines.release(job)
            )
            if allocation.gang:
                work.gangs[job.id] = allocation
            self.deadlines.renew(allocation)
            allocation.rebuild()
        elif allocation.ranges != mine and not allocation.moving:
            allocation.rebuild()
        work.expect(allocation.resources)
        if not mine and not allocation.placed:
            work.allocations.pop(job.id, None)
            work.gangs.pop(job.id, None)

    def adopt(self, placement: Placement) -> bool:
        """A running task that an earlier leader started; False: it must be stopped."""
        work = self.states.get(placement.machine.shard)
        if work is None:
            return False
        if placement.job.id in work.blocked or not work.loaded:
            work.early.append(placement)
            return True
        return self._attach(placement)

    def _attach(self, placement: Placement) -> bool:
        work = self.states[placement.machine.shard]
        allocation = work.allocations.get(placement.job.id)
        if allocation is None or placement.task in allocation.placed:
            self.agents.stop(placement, 0.0)
            return False
        if not any(a <= placement.task < b for a, b in allocation.ranges):
            self.agents.stop(placement, 0.0)
            return False
        allocation.placed[placement.task] = placement
        allocation.rebuild()
        return True

    def task_completed(self, placement: Placement, ran: float) -> None:
        """A task of ours is done."""
        self.estimates.learn(placement.spec, ran)
        work = self.states.get(placement.machine.shard)
        allocation = work.allocations.get(placement.job.id) if work else None
        last = (
            allocation is not None and not allocation.pending.count and len(allocation.placed) <= 1
        )
        self.job_index.task_done(placement.job, placement.task, urgent=last)

    def placement_lost(self, placement: Placement, cause: str) -> None:
        """The task is on no machine any more: finished, or to be started again."""
        work = self.states.get(placement.machine.shard)
        if work is None:
            return
        if placement in work.early:
            work.early.remove(placement)
        allocation = work.allocations.get(placement.job.id)
        if allocation is None or allocation.placed.get(placement.task) is not placement:
            return
        del allocation.placed[placement.task]
        job = placement.job
        if not job.open:
            return
        if not job.is_finished(placement.task):
            allocation.give_back(placement.task)
            work.expect(allocation.resources)
            if allocation.service:
                self.failures.replica_ended(allocation, placement, cause)
            if cause == agent_api.ERROR:
                self.failures.task_failed(work, allocation, placement)
            elif cause == agent_api.UNKNOWN:
                allocation.not_before = trio.current_time() + self.agent_heartbeat_s
        if job.spec.kind == user_api.GANG and not job.is_finished(placement.task):
            # What is left of the gang can't go on: the next attempt needs all gone.
            for other in list(allocation.placed.values()):
                self.agents.stop(other, job.spec.save)
        self.planning_trigger.set()
