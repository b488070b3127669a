"""The parts we own: taken, loaded, settled, lost, and the tasks that each holds."""

from __future__ import annotations

import logging
from collections.abc import Collection
from typing import TYPE_CHECKING

import trio

from .. import wire
from .capacity import (
    allowed,
    fits,
    group_ok,
)
from .component import SchedulerComponent
from .failure_attribution import Standing, is_unhealthy, standing
from .holdings import Holding, PartWork
from .job_records import DONE, Record
from .jobs import Job
from .machines import Group, Machine, Placement

if TYPE_CHECKING:
    from .split import Split

log = logging.getLogger("parts")

# Report intervals between two tries of what ends at once again and again, at the most.
LONGEST_BACKOFF = 16.0


class Parts(SchedulerComponent):
    """The parts we own: taken, loaded, settled, lost, and the tasks that each holds."""

    def __init__(self, split: Split) -> None:
        super().__init__(split)
        self.work: dict[int, PartWork] = {}
        self.recent: dict[tuple[object, ...], wire.JobSpec] = {}  # a job of each shape seen
        self.job_store.watchers.append(self.on_job)

    def gained(self, part: int) -> None:
        """A part is ours; nothing of it is known yet."""
        self.work[part] = PartWork()

    def lost(self, part: int) -> None:
        """A part is another node's."""
        self.work.pop(part, None)
        self.split.statuses.newest.pop(part, None)

    def loaded(self, part: int) -> None:
        """Our copy covers the takeover: jobs wait until their machines are heard."""
        work = self.work[part]
        work.loaded = True
        for job in list(self.job_store.open.values()):
            if any(p == part for _, _, p in job.record.ranges):
                work.blocked.add(job.id)

    def unblock(self, part: int, unheard: Collection[Group]) -> None:
        """Jobs of which no machine still unheard can hold a task go on at once.

        A job's tasks are only ever on machines that it allows, so one silent machine need
        not hold up jobs that could never have run there.
        """
        work = self.work[part]
        for id in sorted(work.blocked):
            job = self.job_store.jobs[id]
            if any(self._may_be_on(job, group) for group in unheard):
                continue
            work.blocked.discard(id)
            self.hold(job, part)
            self._attach_early(work, id)
            log.debug("job unblocked part=%d job=%s", part, id)
        self.split.wake.set()

    def _may_be_on(self, job: Job, group: Group) -> bool:
        """Whether a task of the job may be on machines of a group that an earlier owner used."""
        type_, zone, spot = group
        kind = self.types().get(type_)
        spec = job.spec
        if kind is None:
            return True
        if spec.one_zone and spec.tasks > 1 and job.record.zone not in (None, zone):
            return False
        return group_ok(spec, kind, zone, spot)

    def _attach_early(self, work: PartWork, id: str) -> None:
        """Tasks of a job that were seen on machines before it was known whether all are."""
        early = [placement for placement in work.early if placement.job.id == id]
        work.early = [placement for placement in work.early if placement.job.id != id]
        for placement in early:
            # Those that ended meanwhile were given back in `gone`.
            if placement.machine.placements.get(placement.key) is placement:
                self._attach(placement)

    def settled(self, part: int) -> None:
        """Every machine that may hold a task is heard or gone: the rest is nowhere."""
        work = self.work[part]
        work.settled = True
        work.blocked.clear()
        for job in list(self.job_store.open.values()):
            self.hold(job, part)
        for id in sorted({placement.job.id for placement in work.early}):
            self._attach_early(work, id)
        self.split.wake.set()

    def on_job(self, job: Job, old: Record | None) -> None:
        """A job's record has changed."""
        if not job.open:
            self.split.order.released.pop(job.id, None)
            for work in self.work.values():
                holding = work.holdings.pop(job.id, None)
                work.gangs.pop(job.id, None)
                work.blocked.discard(job.id)
                for queue in work.queues.values():
                    queue.pop(job.id, None)
                if holding is not None:
                    for placement in list(holding.placed.values()):
                        self.workers.stop(placement, 0.0)
            if old is None or old.stage == "open":
                self.workers.stop_job(job.id)
            return
        if old is None:
            spec = job.spec
            self.recent[(spec.job_class, spec.types, spec.zone, spec.spot)] = spec
        if old is not None and old.ranges == job.record.ranges and old.zone == job.record.zone:
            return
        for part in list(self.work):
            self.hold(job, part)
        self.split.wake.set()

    def hold(self, job: Job, part: int) -> None:
        """Bring what a part holds of a job up to its record."""
        work = self.work.get(part)
        if work is None:
            return  # lost while the write that changed the job was under way
        mine = [(a, b) for a, b, p in job.record.ranges if p == part]
        holding = work.holdings.get(job.id)
        if holding is None:
            if not mine or not work.loaded or job.id in work.blocked:
                return
            holding = work.holdings[job.id] = Holding(job, part, self.split.order.release(job))
            if holding.gang:
                work.gangs[job.id] = holding
            self.split.order.renew(holding)
            holding.rebuild()
        elif holding.ranges != mine and not holding.moving:
            holding.rebuild()
        work.expect(holding.need)
        if not mine and not holding.placed:
            work.holdings.pop(job.id, None)
            work.gangs.pop(job.id, None)

    def adopt(self, placement: Placement) -> bool:
        """A running task that an earlier owner started; False: it must be stopped."""
        work = self.work.get(placement.machine.part)
        if work is None:
            return False
        if placement.job.id in work.blocked or not work.loaded:
            work.early.append(placement)
            return True
        return self._attach(placement)

    def _attach(self, placement: Placement) -> bool:
        work = self.work[placement.machine.part]
        holding = work.holdings.get(placement.job.id)
        if holding is None or placement.task in holding.placed:
            self.workers.stop(placement, 0.0)
            return False
        if not any(a <= placement.task < b for a, b in holding.ranges):
            self.workers.stop(placement, 0.0)
            return False
        holding.placed[placement.task] = placement
        holding.rebuild()
        return True

    def done(self, placement: Placement, ran: float) -> None:
        """A task of ours is done."""
        self.split.estimates.learn(placement.spec, ran)
        work = self.work.get(placement.machine.part)
        holding = work.holdings.get(placement.job.id) if work else None
        last = holding is not None and not holding.pool.count and len(holding.placed) <= 1
        self.job_store.task_done(placement.job, placement.task, urgent=last)

    def gone(self, placement: Placement, cause: str) -> None:
        """The task is on no machine any more: finished, or to be started again."""
        work = self.work.get(placement.machine.part)
        if work is None:
            return
        if placement in work.early:
            work.early.remove(placement)
        holding = work.holdings.get(placement.job.id)
        if holding is None or holding.placed.get(placement.task) is not placement:
            return
        del holding.placed[placement.task]
        job = placement.job
        if not job.open:
            return
        if not job.is_finished(placement.task):
            holding.give_back(placement.task)
            work.expect(holding.need)
            if holding.service:
                self._replica_ended(holding, placement, cause)
            if cause == wire.ERROR:
                self._failed(work, holding, placement)
            elif cause == wire.UNKNOWN:
                holding.not_before = trio.current_time() + self.report_s
        if job.spec.kind == wire.GANG and not job.is_finished(placement.task):
            # What is left of the gang can't go on: the next attempt needs all gone.
            for other in list(holding.placed.values()):
                self.workers.stop(other, job.spec.save)
        self.split.wake.set()

    def _replica_ended(self, holding: Holding, placement: Placement, cause: str) -> None:
        """Back off where replicas end by themselves again and again; forgive what ran long."""
        now = trio.current_time()
        if cause not in (wire.DONE, wire.ERROR):
            return
        ran = now - placement.run_at if placement.run_at is not None else 0.0
        if ran >= self.policy.unhealthy_rest:
            # Whatever ended it, it isn't that the job, or the machine, fails each start.
            holding.short_runs = 0
            holding.failed_on.clear()
            holding.failed_after = 0.0
        elif cause == wire.DONE:
            holding.short_runs += 1
            pause = self.report_s * min(2.0**holding.short_runs, LONGEST_BACKOFF)
            if holding.short_runs > 1:
                holding.not_before = now + pause

    def _failed(self, work: PartWork, holding: Holding, placement: Placement) -> None:
        """Whose fault it was, by all that is known: the job waits, or the machine rests."""
        now = trio.current_time()
        machine = placement.machine
        holding.failed_on[machine.name] = now
        if placement.run_at is not None:
            holding.failed_after = max(holding.failed_after, now - placement.run_at)
        self.weigh(holding)
        if not holding.faulty:
            self._judge(work, machine)
            return
        if holding.not_before <= now:
            # One failure a try: those that started together count once.
            holding.probes += 1
            pause = self.report_s * min(2.0**holding.probes, LONGEST_BACKOFF)
            holding.not_before = now + pause
            log.info(
                "job fails wherever it goes job=%s machines=%d pause=%.1f",
                holding.job.id,
                len(holding.failed_on),
                pause,
            )
        for name in holding.failed_on:
            other = self.workers.machines.get(name)
            if other is not None and other.failed_jobs.pop(holding.job.id, None) is not None:
                other.failed_at.pop(holding.job.id, None)
                if other.resting_until > now and not self._is_unhealthy(work, other):
                    other.resting_until = -1e9

    def weigh(self, holding: Holding) -> None:
        """Work out a job's standing anew; one that has never failed needs none."""
        if holding.failed_on:
            holding.faulty = self._standing(holding) is Standing.FAULTY

    def _standing(self, holding: Holding) -> Standing:
        now = trio.current_time()
        return standing(
            bool(holding.job.finished.count or holding.job.local),
            len(holding.failed_on),
            holding.failed_after,
            [now - p.run_at for p in holding.placed.values() if p.run_at is not None],
            self.report_s * 2,
        )

    def _is_unhealthy(self, work: PartWork, machine: Machine) -> bool:
        jobs = {}
        failures = {}
        for id, count in machine.failed_jobs.items():
            job, holding = self.job_store.jobs.get(id), work.holdings.get(id)
            if job is None or (not job.open and job.record.stage != DONE):
                continue  # its user has cancelled it, as one does with a mistake
            failures[id] = count
            if holding is not None:
                jobs[id] = self._standing(holding)
            else:
                done = not job.open or bool(job.finished.count or job.local)
                jobs[id] = Standing.GOOD if done else Standing.UNKNOWN
        return is_unhealthy(failures, jobs)

    def _judge(self, work: PartWork, machine: Machine) -> None:
        if not self._is_unhealthy(work, machine):
            return
        now = trio.current_time()
        if machine.resting_until < now:
            log.info(
                "machine rests machine=%s jobs=%d errors=%d",
                machine.name,
                len(machine.failed_jobs),
                machine.errors,
            )
        machine.resting_until = now + self.policy.unhealthy_rest

    def machine_ok(self, holding: Holding, machine: Machine) -> bool:
        """Whether a machine may run tasks of the job."""
        kind = machine.kind
        if kind is None:
            return False
        ok = holding.groups.get(machine.group)
        if ok is None:
            ok = holding.groups[machine.group] = allowed(
                holding.job, machine.type, machine.zone, machine.spot
            ) and fits(holding.need, (kind.cpus, kind.gpus, kind.memory))
        if not ok:
            return False
        # Also what the machine remembers: a holding is new after a move or a takeover. Not
        # for ever: a machine may be well again, and there may be no other.
        if holding.failed_on or machine.failed_at:
            at = max(
                holding.failed_on.get(machine.name, -1e9),
                machine.failed_at.get(holding.job.id, -1e9),
            )
            if trio.current_time() - at < self.policy.unhealthy_rest:
                return False
        return not holding.one_zone or holding.job.record.zone == machine.zone

    def ready(self, work: PartWork, id: str, holding: Holding, now: float) -> bool:
        """Whether tasks of the job may start at all now."""
        return (
            holding.pool.count > 0
            and not holding.moving
            and id not in work.blocked
            and holding.not_before <= now
            and holding.job.open
        )
