"""Lifecycle of the shards that this controller leads, and of the tasks in them.

A shard is acquired, loaded, reconciled, and finally lost to another leader.
"""

from __future__ import annotations

import logging
from collections.abc import Collection
from typing import NamedTuple

import trio

from ...agents.machine import MachineGroupKey, Placement
from ...jobs.index import Job
from ...jobs.job_record import OPEN, JobRecord
from ...protocol import agent_api, user_api
from ..capacity import allows_machine_type
from ..context import SchedulingContext
from ..planning_trigger import PlanningTrigger
from .allocations import ShardAllocation, ShardState
from .deadlines import Deadlines
from .failure_tracker import FailureTracker
from .job_unblocking import JobUnblocking
from .shard_statuses import ShardStatuses

log = logging.getLogger(__name__)


class JobShape(NamedTuple):
    """Job class and the fields of a job that determine which machines it may use."""

    job_class: str
    types: tuple[str, ...] | None
    zone: str | None
    spot: bool


class ShardStates:
    """Maintains the states of led shards; implements `agents.listener.AgentListener`."""

    def __init__(
        self,
        context: SchedulingContext,
        states: dict[int, ShardState],
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
        self.states = states
        self.statuses = statuses
        self.deadlines = deadlines
        self.failures = failures
        self.planning_trigger = planning_trigger
        self.unblocking = JobUnblocking(states, self._unblock, planning_trigger)
        self.recent_jobs: dict[JobShape, user_api.JobSpec] = {}  # the newest job of each shape
        self.job_index.subscribe(self.on_job)

    def shard_acquired(self, shard: int) -> None:
        """Create the state of an acquired shard; empty until the replica covers the failover."""
        self.states[shard] = ShardState()

    def shard_lost(self, shard: int) -> None:
        """Drop the state of a shard that another controller now leads."""
        self.states.pop(shard, None)
        self.statuses.newest.pop(shard, None)

    def shard_loaded(self, shard: int) -> None:
        """Block the jobs of a shard whose failover the replica now covers.

        They stay blocked until the agents of their machines have sent heartbeats.
        """
        state = self.states[shard]
        state.loaded = True
        for job in list(self.job_index.open.values()):
            if any(r.shard == shard for r in job.record.ranges):
                state.blocked.add(job.id)

    def suspects_changed(self, shard: int, groups: Collection[MachineGroupKey]) -> None:
        """Unblock the jobs of which no suspect machine can run a task.

        A job's tasks run only on machines that the job allows, so a suspect machine blocks
        only the jobs that allow it.

        `groups`: the groups of the machines that are still suspect.
        """
        state = self.states[shard]
        unblockable = [
            id
            for id in sorted(state.blocked)
            if not any(self._may_have_run_on(self.job_index.jobs[id], group) for group in groups)
        ]
        self.unblocking.request(shard, unblockable)

    def _may_have_run_on(self, job: Job, group: MachineGroupKey) -> bool:
        """Return whether an earlier leader may have placed a task of the job in a group."""
        machine_type = self.machine_types().get(group.type)
        spec = job.spec
        if machine_type is None:
            return True
        if spec.one_zone and spec.tasks > 1 and job.record.zone not in (None, group.zone):
            return False
        return allows_machine_type(spec, machine_type, group.zone, group.spot)

    def _unblock(self, shard: int, id: str) -> int:
        """Allocate a job of which all running tasks are known; return how many were found."""
        state = self.states[shard]
        state.blocked.discard(id)
        job = self.job_index.jobs[id]
        if job.open:
            self.update_allocation(job, shard)
        found = state.unattached.pop(id, {})
        self._attach_found(state, id, found)
        log.debug("job unblocked shard=%d job=%s tasks=%d", shard, id, len(found))
        return len(found)

    def _attach_found(self, state: ShardState, id: str, found: Collection[Placement]) -> None:
        """Attach the tasks of a job that were found on machines while the job was blocked."""
        allocation = state.allocations.get(id)
        for placement in found:
            if placement.machine.placements.get(placement.key) is not placement:
                continue  # `placement_lost` has already handled a task that ended in the meantime
            if allocation is None or not allocation.may_adopt(placement):
                self.agents.stop(placement, 0.0)
            else:
                allocation.add_placement(placement)
        if allocation is not None and found and not allocation.range_write_in_flight:
            allocation.rebuild_pending()

    def shard_reconciled(self, shard: int) -> None:
        """Unblock all jobs: each machine that may run a task has reported its tasks or is lost.

        Tasks that were not reported are therefore pending.
        """
        state = self.states[shard]
        state.reconciled = True
        self.unblocking.request(shard, sorted(state.blocked | state.unattached.keys()))

    def on_job(self, job: Job, old: JobRecord | None) -> None:
        """Update the allocations of a changed job; `old` is its previous record, None if new."""
        if not job.open:
            self._drop_job(job)
            if old is None or old.stage == OPEN:
                self.agents.stop_job(job.id)
            return
        if old is None:
            spec = job.spec
            shape = JobShape(spec.job_class, spec.types, spec.zone, spec.spot)
            self.recent_jobs[shape] = spec
        if old is not None and old.ranges == job.record.ranges and old.zone == job.record.zone:
            return
        for shard in list(self.states):
            self.update_allocation(job, shard)
        self.planning_trigger.set()

    def _drop_job(self, job: Job) -> None:
        """Drop the allocations of a closed job, and stop its tasks without a grace period."""
        self.deadlines.drop(job.id)
        for state in self.states.values():
            allocation = state.allocations.pop(job.id, None)
            state.gangs.pop(job.id, None)
            state.blocked.discard(job.id)
            for queue in state.queues.values():
                queue.pop(job.id, None)
            if allocation is not None:
                for placement in list(allocation.placed.values()):
                    self.agents.stop(placement, 0.0)

    def update_allocation(self, job: Job, shard: int) -> None:
        """Bring a shard's allocation of a job in line with the job's record."""
        state = self.states.get(shard)
        if state is None:
            return  # another controller acquired the shard during the write
        ranges = [(r.first, r.end) for r in job.record.ranges if r.shard == shard]
        allocation = state.allocations.get(job.id)
        if allocation is None:
            if not ranges or not state.loaded or job.id in state.blocked:
                return
            allocation = state.allocations[job.id] = ShardAllocation(
                job, shard, self.deadlines.release_time(job)
            )
            if allocation.gang:
                state.gangs[job.id] = allocation
            self.deadlines.refresh(allocation)
            allocation.rebuild_pending()
        elif allocation.ranges != ranges and not allocation.range_write_in_flight:
            allocation.rebuild_pending()
        state.lower_smallest_request(allocation.resources)
        if not ranges and not allocation.placed:
            state.allocations.pop(job.id, None)
            state.gangs.pop(job.id, None)

    def adopt(self, placement: Placement) -> bool:
        """Adopt a running task that an earlier leader started; return False if it must stop."""
        state = self.states.get(placement.machine.shard)
        if state is None:
            return False
        if placement.job.id in state.blocked or not state.loaded:
            state.unattached.setdefault(placement.job.id, {})[placement] = None
            return True
        return self._attach(placement)

    def _attach(self, placement: Placement) -> bool:
        """Record a running task as placed; stop it if another shard has it or it runs twice."""
        state = self.states[placement.machine.shard]
        allocation = state.allocations.get(placement.job.id)
        if allocation is None or not allocation.may_adopt(placement):
            self.agents.stop(placement, 0.0)
            return False
        allocation.adopt(placement)
        return True

    def task_completed(self, placement: Placement, run_s: float) -> None:
        """Record that a task in a led shard finished after running for `run_s` seconds."""
        self.estimates.record_run_time(placement.spec, run_s)
        state = self.states.get(placement.machine.shard)
        allocation = state.allocations.get(placement.job.id) if state else None
        is_last_task = (
            allocation is not None and not allocation.pending.count and len(allocation.placed) <= 1
        )
        self.job_index.mark_task_finished(placement.job, placement.task, urgent=is_last_task)

    def placement_lost(self, placement: Placement, cause: str) -> None:
        """Remove a placement whose task has left its machine; requeue the task if unfinished."""
        state = self.states.get(placement.machine.shard)
        if state is None:
            return
        state.unattached.get(placement.job.id, {}).pop(placement, None)
        allocation = state.allocations.get(placement.job.id)
        if allocation is None or allocation.placed.get(placement.task) is not placement:
            return
        allocation.remove_placement(placement)
        job = placement.job
        if not job.open:
            return
        if not job.is_finished(placement.task):
            allocation.return_to_pending(placement.task)
            state.lower_smallest_request(allocation.resources)
            if allocation.service:
                self.failures.replica_ended(allocation, placement, cause)
            if cause == agent_api.ERROR:
                self.failures.task_failed(state, allocation, placement)
            elif cause == agent_api.UNKNOWN:
                allocation.not_before = trio.current_time() + self.agent_heartbeat_s
        if allocation.gang and not job.is_finished(placement.task):
            self._stop_gang(allocation)
        self.planning_trigger.set()

    def _stop_gang(self, allocation: ShardAllocation) -> None:
        """Stop the placed tasks of a gang that has lost one, unless they were told already.

        A gang can't run with a task missing; the next attempt starts once all its tasks have
        stopped.
        """
        if allocation.gang_stopping:
            return
        allocation.gang_stopping = True
        for remaining in list(allocation.placed.values()):
            self.agents.stop(remaining, allocation.spec.checkpoint_grace)
