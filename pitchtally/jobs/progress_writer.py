"""Finished tasks and ended jobs, made durable in batches.

Progress is written at most once a period, unless users or other shards wait for it; the
write that completes a job goes at once. What the store refuses for its size is put aside:
nothing is lost, since agents keep what ended until it is durable.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass

import trio

from ..observability.decision_log import Decision, DecisionListener, DecisionReason, ignore_decision
from ..state_store import keys
from ..state_store.client import Write
from ..state_store.errors import InvalidTransaction, StoreUnavailable
from ..state_store.rate_limits import Priority
from .index import Job, JobIndex
from .job_record import DONE, JobRecord, encode
from .layout import JobLayout
from .migration import JobMigration
from .task_bitmap import TaskBitmap

log = logging.getLogger("progress")

LOOK_EVERY_S = 0.25
# Several completions often come together: a moment's wait batches them.
BATCHING_S = 0.02
# Progress that nobody waits for is written after that many periods at the latest.
LATEST_PERIODS = 12


@dataclass(frozen=True, slots=True)
class Step:
    """Writes of one job that go together; several steps where one transaction is too small."""

    job: Job
    changes: list[Write]
    last: bool


class ProgressWriter:
    """The loop that writes what is known here of finished tasks."""

    def __init__(
        self, job_index: JobIndex, layout: JobLayout, migration: JobMigration, period: float
    ):
        self.job_index = job_index
        self.state_store = job_index.state_store
        self.layout = layout
        self.migration = migration
        self.period = period
        # Filled in by the service: whether users wait whose submissions were refused.
        self.submissions_wait: Callable[[], bool] = lambda: False
        self.on_decision: DecisionListener = ignore_decision
        self._put_aside: dict[str, float] = {}  # job -> until when it isn't tried again

    async def run(self) -> None:
        """Write what is due, again and again."""
        while True:
            with trio.move_on_after(LOOK_EVERY_S):
                await self.job_index.wake.wait()
            self.job_index.wake = trio.Event()
            await trio.sleep(BATCHING_S)
            try:
                await self._flush()
            except StoreUnavailable as error:
                log.debug("progress not written: %s", error)
                await trio.sleep(LOOK_EVERY_S)

    def _due(self) -> tuple[list[Job], list[Job], list[Job]]:
        """Jobs to write: those that are over, what other shards wait for, the rest."""
        now = trio.current_time()
        over, urgent, later = [], [], []
        for id in list(self.job_index.dirty):
            job = self.job_index.jobs[id]
            if not job.open or not (job.local or job.complete):
                self.job_index.dirty.discard(id)
            elif self.job_index.writable_shard(job) is None or self._put_aside.get(id, now) > now:
                # Another leader will learn of these tasks from the agents' reports.
                continue
            elif job.complete:
                over.append(job)
            elif job.awaited or (
                # Under a flood progress comes last, but not never: agents go on
                # reporting ended tasks until these are durable, a new leader too. So
                # nothing is lost meanwhile, only reports grow.
                now - job.flushed_at >= self.period * LATEST_PERIODS
            ):
                urgent.append(job)
            elif now - job.flushed_at >= self.period:
                later.append(job)
        return over, urgent, later

    async def _flush(self) -> None:
        over, urgent, later = self._due()
        burst = self.state_store.write_limit.burst
        first, most_first = Priority.COMPLETIONS, burst
        if self.submissions_wait():
            # After an outage completions have piled up as well. They are late already, while
            # users whose submissions are refused give up before long: both get their share.
            first, most_first = Priority.SUBMISSIONS, burst / 2
        await self._write_all(over, first, most_first)
        await self._write_all(urgent, Priority.SUBMISSIONS, burst / 2)
        # Progress takes no more at once than leaves the next submission its tokens.
        await self._write_all(later, Priority.PROGRESS, burst / 2)

    async def _write_all(self, jobs: list[Job], priority: Priority, burst: float) -> None:
        """Write jobs in transactions of at most so many changes."""
        most = min(self.state_store.limits.txn_ops, burst)
        batch: list[Step] = []
        size = 0
        for job in jobs:
            if not job.complete and self.layout.needs_conversion(job):
                await self.migration.convert(job, priority)
                continue
            if batch and size + self._cost(job) > most:
                await self._write(batch, priority)
                batch, size = [], 0
            for step in self._steps(job):
                if batch and size + len(step.changes) > most:
                    await self._write(batch, priority)
                    batch, size = [], 0
                batch.append(step)
                size += len(step.changes)
        if batch:
            await self._write(batch, priority)

    def _cost(self, job: Job) -> int:
        return sum(len(step.changes) for step in self._steps(job))

    def _steps(self, job: Job) -> list[Step]:
        """The writes that make this job's local knowledge durable."""
        if not job.open:
            return []  # it ended while others were written
        if job.complete:
            final = JobRecord(DONE, job.record.tasks)
            # Its other keys are removed later (`jobs.cleanup`): they mean nothing now.
            return [Step(job, [Write(keys.job(job.id), encode(final))], last=True)]
        joined = TaskBitmap(job.record.tasks)
        joined.join(bytes(job.finished.data))
        for task in job.local:
            joined.add(task)
        changes = self.layout.progress(job, joined)
        most = self.state_store.limits.txn_ops
        groups = [changes[i : i + most] for i in range(0, len(changes), most)]
        return [Step(job, group, last=group is groups[-1]) for group in groups]

    async def _write(self, steps: list[Step], priority: Priority) -> None:
        try:
            await self._commit(steps, priority)
        except InvalidTransaction as error:
            if len(steps) > 1:
                for step in steps:
                    await self._write([step], priority)
                return
            job = steps[0].job
            log.info("progress refused job=%s cause=%s", job.id, error)
            self._put_aside[job.id] = trio.current_time() + self.period

    async def _commit(self, steps: list[Step], priority: Priority) -> None:
        conditions: dict[str, int] = {}
        changes: list[Write] = []
        kept: list[Step] = []
        for step in steps:
            job = step.job
            shard = self.job_index.writable_shard(job)
            if shard is None or not job.open:
                continue
            conditions[keys.shard(shard[0])] = shard[1]
            conditions[keys.job(job.id)] = job.version
            for change in step.changes:
                # Chunks are written by several leaders: each must join the latest.
                conditions[change.key] = self.job_index.replica.version(change.key)
            changes += step.changes
            kept.append(step)
        if not kept:
            return
        if not await self.job_index.commit(conditions, changes, priority=priority):
            return  # whoever waits for it still does
        now = trio.current_time()
        for step in kept:
            if not step.last:
                continue
            job = step.job
            job.flushed_at = now
            job.awaited = False
            self._put_aside.pop(job.id, None)
            if job.record.stage == DONE:
                self.on_decision(Decision.DONE, job.id, DecisionReason(version=job.version))
