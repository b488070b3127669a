"""The shards we own: taken, loaded, settled, lost, and the tasks that each holds."""

from __future__ import annotations

import logging
from collections.abc import Collection
from typing import TYPE_CHECKING

import trio

from ..agents.machine import Machine, MachineGroupKey, Placement
from ..jobs.index import Job
from ..jobs.job_record import DONE, JobRecord
from ..jobs.resources import capacity_of, fits
from ..protocol import agent_api, user_api
from .allocations import ShardAllocation, ShardState
from .capacity import allows_machine, allows_machine_type
from .component import SchedulerComponent
from .failure_attribution import Standing, is_unhealthy, standing

if TYPE_CHECKING:
    from .scheduler import Scheduler

log = logging.getLogger("parts")

# Report intervals between two tries of what ends at once again and again, at the most.
LONGEST_BACKOFF = 16.0


class ShardStates(SchedulerComponent):
    """The shards we own: taken, loaded, settled, lost, and the tasks that each holds."""

    def __init__(self, scheduler: Scheduler) -> None:
        super().__init__(scheduler)
        self.work: dict[int, ShardState] = {}
        self.recent: dict[tuple[object, ...], user_api.JobSpec] = {}  # a job of each shape seen
        self.job_index.subscribe(self.on_job)

    def shard_acquired(self, shard: int) -> None:
        """A part is ours; nothing of it is known yet."""
        self.work[shard] = ShardState()

    def shard_lost(self, shard: int) -> None:
        """A part is another node's."""
        self.work.pop(shard, None)
        self.scheduler.statuses.newest.pop(shard, None)

    def shard_loaded(self, shard: int) -> None:
        """Our copy covers the failover: jobs wait until their machines are heard."""
        work = self.work[shard]
        work.loaded = True
        for job in list(self.job_index.open.values()):
            if any(p == shard for _, _, p in job.record.ranges):
                work.blocked.add(job.id)

    def suspects_changed(self, shard: int, groups: Collection[MachineGroupKey]) -> None:
        """Jobs of which no machine still groups can hold a task go on at once.

        A job's tasks are only ever on machines that it allows, so one silent machine need
        not hold up jobs that could never have run there.
        """
        work = self.work[shard]
        for id in sorted(work.blocked):
            job = self.job_index.jobs[id]
            if any(self._may_be_on(job, group) for group in groups):
                continue
            work.blocked.discard(id)
            self.update_allocation(job, shard)
            self._attach_early(work, id)
            log.debug("job unblocked part=%d job=%s", shard, id)
        self.scheduler.wake.set()

    def _may_be_on(self, job: Job, group: MachineGroupKey) -> bool:
        """Whether a task of the job may be on machines of a group that an earlier leader used."""
        type_, zone, spot = group
        machine_type = self.types().get(type_)
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
        work = self.work[shard]
        work.reconciled = True
        work.blocked.clear()
        for job in list(self.job_index.open.values()):
            self.update_allocation(job, shard)
        for id in sorted({placement.job.id for placement in work.early}):
            self._attach_early(work, id)
        self.scheduler.wake.set()

    def on_job(self, job: Job, old: JobRecord | None) -> None:
        """A job's record has changed."""
        if not job.open:
            self.scheduler.priorities.released.pop(job.id, None)
            for work in self.work.values():
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
        for shard in list(self.work):
            self.update_allocation(job, shard)
        self.scheduler.wake.set()

    def update_allocation(self, job: Job, shard: int) -> None:
        """Bring what a shard holds of a job up to its record."""
        work = self.work.get(shard)
        if work is None:
            return  # lost while the write that changed the job was under way
        mine = [(a, b) for a, b, p in job.record.ranges if p == shard]
        allocation = work.allocations.get(job.id)
        if allocation is None:
            if not mine or not work.loaded or job.id in work.blocked:
                return
            allocation = work.allocations[job.id] = ShardAllocation(
                job, shard, self.scheduler.priorities.release(job)
            )
            if allocation.gang:
                work.gangs[job.id] = allocation
            self.scheduler.priorities.renew(allocation)
            allocation.rebuild()
        elif allocation.ranges != mine and not allocation.moving:
            allocation.rebuild()
        work.expect(allocation.resources)
        if not mine and not allocation.placed:
            work.allocations.pop(job.id, None)
            work.gangs.pop(job.id, None)

    def adopt(self, placement: Placement) -> bool:
        """A running task that an earlier leader started; False: it must be stopped."""
        work = self.work.get(placement.machine.shard)
        if work is None:
            return False
        if placement.job.id in work.blocked or not work.loaded:
            work.early.append(placement)
            return True
        return self._attach(placement)

    def _attach(self, placement: Placement) -> bool:
        work = self.work[placement.machine.shard]
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
        self.scheduler.estimates.learn(placement.spec, ran)
        work = self.work.get(placement.machine.shard)
        allocation = work.allocations.get(placement.job.id) if work else None
        last = (
            allocation is not None and not allocation.pending.count and len(allocation.placed) <= 1
        )
        self.job_index.task_done(placement.job, placement.task, urgent=last)

    def placement_lost(self, placement: Placement, cause: str) -> None:
        """The task is on no machine any more: finished, or to be started again."""
        work = self.work.get(placement.machine.shard)
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
                self._replica_ended(allocation, placement, cause)
            if cause == agent_api.ERROR:
                self._failed(work, allocation, placement)
            elif cause == agent_api.UNKNOWN:
                allocation.not_before = trio.current_time() + self.report_s
        if job.spec.kind == user_api.GANG and not job.is_finished(placement.task):
            # What is left of the gang can't go on: the next attempt needs all gone.
            for other in list(allocation.placed.values()):
                self.agents.stop(other, job.spec.save)
        self.scheduler.wake.set()

    def _replica_ended(self, allocation: ShardAllocation, placement: Placement, cause: str) -> None:
        """Back off where replicas end by themselves again and again; forgive what ran long."""
        now = trio.current_time()
        if cause not in (agent_api.DONE, agent_api.ERROR):
            return
        ran = now - placement.running_since if placement.running_since is not None else 0.0
        if ran >= self.policy.unhealthy_rest:
            # Whatever ended it, it isn't that the job, or the machine, fails each start.
            allocation.short_runs = 0
            allocation.failed_on.clear()
            allocation.failed_after = 0.0
        elif cause == agent_api.DONE:
            allocation.short_runs += 1
            pause = self.report_s * min(2.0**allocation.short_runs, LONGEST_BACKOFF)
            if allocation.short_runs > 1:
                allocation.not_before = now + pause

    def _failed(self, work: ShardState, allocation: ShardAllocation, placement: Placement) -> None:
        """Whose fault it was, by all that is known: the job waits, or the machine rests."""
        now = trio.current_time()
        machine = placement.machine
        allocation.failed_on[machine.name] = now
        if placement.running_since is not None:
            allocation.failed_after = max(allocation.failed_after, now - placement.running_since)
        self.score(allocation)
        if not allocation.faulty:
            self._judge(work, machine)
            return
        if allocation.not_before <= now:
            # One failure a try: those that started together count once.
            allocation.probes += 1
            pause = self.report_s * min(2.0**allocation.probes, LONGEST_BACKOFF)
            allocation.not_before = now + pause
            log.info(
                "job fails wherever it goes job=%s machines=%d pause=%.1f",
                allocation.job.id,
                len(allocation.failed_on),
                pause,
            )
        for name in allocation.failed_on:
            other = self.agents.machines.get(name)
            if other is not None and other.failures_by_job.pop(allocation.job.id, None) is not None:
                other.last_failure_at.pop(allocation.job.id, None)
                if other.quarantined_until > now and not self._is_unhealthy(work, other):
                    other.quarantined_until = -1e9

    def score(self, allocation: ShardAllocation) -> None:
        """Work out a job's standing anew; one that has never failed needs none."""
        if allocation.failed_on:
            allocation.faulty = self._standing(allocation) is Standing.FAULTY

    def _standing(self, allocation: ShardAllocation) -> Standing:
        now = trio.current_time()
        return standing(
            bool(allocation.job.finished.count or allocation.job.local),
            len(allocation.failed_on),
            allocation.failed_after,
            [
                now - p.running_since
                for p in allocation.placed.values()
                if p.running_since is not None
            ],
            self.report_s * 2,
        )

    def _is_unhealthy(self, work: ShardState, machine: Machine) -> bool:
        jobs = {}
        failures = {}
        for id, count in machine.failures_by_job.items():
            job, allocation = self.job_index.jobs.get(id), work.allocations.get(id)
            if job is None or (not job.open and job.record.stage != DONE):
                continue  # its user has cancelled it, as one does with a mistake
            failures[id] = count
            if allocation is not None:
                jobs[id] = self._standing(allocation)
            else:
                done = not job.open or bool(job.finished.count or job.local)
                jobs[id] = Standing.GOOD if done else Standing.UNKNOWN
        return is_unhealthy(failures, jobs)

    def _judge(self, work: ShardState, machine: Machine) -> None:
        if not self._is_unhealthy(work, machine):
            return
        now = trio.current_time()
        if machine.quarantined_until < now:
            log.info(
                "machine rests machine=%s jobs=%d errors=%d",
                machine.name,
                len(machine.failures_by_job),
                machine.consecutive_errors,
            )
        machine.quarantined_until = now + self.policy.unhealthy_rest

    def machine_ok(self, allocation: ShardAllocation, machine: Machine) -> bool:
        """Whether a machine may run tasks of the job."""
        machine_type = machine.machine_type
        if machine_type is None:
            return False
        ok = allocation.groups.get(machine.group)
        if ok is None:
            ok = allocation.groups[machine.group] = allows_machine(
                allocation.job, machine.type, machine.zone, machine.spot
            ) and fits(allocation.resources, capacity_of(machine_type))
        if not ok:
            return False
        # Also what the machine remembers: a holding is new after a move or a failover. Not
        # for ever: a machine may be well again, and there may be no other.
        if allocation.failed_on or machine.last_failure_at:
            at = max(
                allocation.failed_on.get(machine.name, -1e9),
                machine.last_failure_at.get(allocation.job.id, -1e9),
            )
            if trio.current_time() - at < self.policy.unhealthy_rest:
                return False
        return not allocation.one_zone or allocation.job.record.zone == machine.zone

    def ready(self, work: ShardState, id: str, allocation: ShardAllocation, now: float) -> bool:
        """Whether tasks of the job may start at all now."""
        return (
            allocation.pending.count > 0
            and not allocation.moving
            and id not in work.blocked
            and allocation.not_before <= now
            and allocation.job.open
        )
