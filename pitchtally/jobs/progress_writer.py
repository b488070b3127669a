"""Batched writes of finished tasks and completed jobs to the state store.

A job's progress is written at most once a period, unless users or other shards wait for it; the
write that completes a job is sent at once. A job whose write the store rejects for its size is
retried a period later: nothing is lost, since agents report exits until these are durable.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass, field

import trio

from ..observability.decision_log import Decision, DecisionListener, DecisionReason
from ..state_store import keys
from ..state_store.client import Write
from ..state_store.errors import InvalidTransaction, StoreUnavailable
from ..state_store.rate_limits import Priority
from .commits import JobCommits
from .index import Job, JobIndex
from .job_record import DONE, JobRecord, encode
from .layout import JobLayout
from .migration import JobMigration

log = logging.getLogger(__name__)

CHECK_INTERVAL_S = 0.25
# Several completions often arrive together: after this delay they share a transaction.
BATCHING_DELAY_S = 0.02
# After this many periods without a write, routine progress is written with the urgent progress.
MAX_WRITE_DELAY_PERIODS = 12


@dataclass(frozen=True, slots=True)
class JobWrites:
    """Writes of one job in one transaction; a job may have more than fit into a transaction."""

    job: Job
    changes: list[Write]
    is_last: bool  # whether no further changes of the job follow


@dataclass(frozen=True, slots=True)
class DueJobs:
    """Jobs whose progress has to be written now, by urgency."""

    complete: list[Job] = field(default_factory=list)
    urgent: list[Job] = field(default_factory=list)  # users or other shards wait for it
    routine: list[Job] = field(default_factory=list)


class ProgressWriter:
    """Writes the finished tasks that agents have reported to this node."""

    def __init__(
        self,
        job_index: JobIndex,
        commits: JobCommits,
        layout: JobLayout,
        migration: JobMigration,
        period: float,
        submission_retries_expected: Callable[[], bool],
        on_decision: DecisionListener,
    ):
        """Create a writer; its eight parameters are the components that a write passes through.

        `period`: seconds between two routine writes of a job's progress.
        `submission_retries_expected`: returns whether a refused submission is expected to be
        retried.
        """
        self.job_index = job_index
        self.commits = commits
        self.layout = layout
        self.migration = migration
        self.period = period
        self._submission_retries_expected = submission_retries_expected
        self._on_decision = on_decision
        # Jobs whose write the store rejected, and the time before which they aren't retried.
        self._refused_until: dict[str, float] = {}

    async def run(self) -> None:
        """Write due progress at regular intervals, or earlier if a write is requested."""
        while True:
            await self.job_index.unwritten.wait(CHECK_INTERVAL_S)
            await trio.sleep(BATCHING_DELAY_S)
            try:
                await self._flush()
            except StoreUnavailable as error:
                log.debug("progress not written: %s", error)
                await trio.sleep(CHECK_INTERVAL_S)

    def _due(self) -> DueJobs:
        now = trio.current_time()
        due = DueJobs()
        for id in self.job_index.unwritten.jobs():
            job = self.job_index.jobs[id]
            if not job.open or not (job.unwritten_tasks or job.complete):
                self.job_index.unwritten.discard(id)
            elif self.commits.writable_shard(job) is None or self._is_refused(id, now):
                # If other nodes lead the job's shards, agents report these tasks to them.
                continue
            elif job.complete:
                due.complete.append(job)
            elif job.write_urgent or now - job.flushed_at >= self.period * MAX_WRITE_DELAY_PERIODS:
                # Under overload, progress is written last. Nothing is lost meanwhile, since agents
                # report exited tasks until these are durable, also to a new leader. But the
                # heartbeats grow, so the delay is bounded.
                due.urgent.append(job)
            elif now - job.flushed_at >= self.period:
                due.routine.append(job)
        return due

    def _is_refused(self, id: str, now: float) -> bool:
        return self._refused_until.get(id, now) > now

    async def _flush(self) -> None:
        due = self._due()
        burst = self.commits.write_burst
        completion_priority, completion_burst = Priority.COMPLETIONS, burst
        if self._submission_retries_expected():
            # After an outage, completions have accumulated as well. They are late already, while
            # users whose submissions are refused soon stop retrying: both get a share.
            completion_priority, completion_burst = Priority.SUBMISSIONS, burst / 2
        await self._write_all(due.complete, completion_priority, completion_burst)
        await self._write_all(due.urgent, Priority.SUBMISSIONS, burst / 2)
        # Routine progress uses part of a burst at once: permits remain for the next submission.
        await self._write_all(due.routine, Priority.PROGRESS, burst / 2)

    async def _write_all(self, jobs: list[Job], priority: Priority, burst: float) -> None:
        """Write jobs in transactions of at most `burst` changes, within the store's limit."""
        max_batch_size = min(self.commits.max_writes, burst)
        batch: list[JobWrites] = []
        size = 0
        for job in jobs:
            if not job.complete and self.layout.needs_conversion(job):
                await self.migration.convert(job, priority)
                continue
            if batch and size + self._count_writes(job) > max_batch_size:
                await self._write(batch, priority)
                batch, size = [], 0
            for writes in self._writes_of(job):
                if batch and size + len(writes.changes) > max_batch_size:
                    await self._write(batch, priority)
                    batch, size = [], 0
                batch.append(writes)
                size += len(writes.changes)
        if batch:
            await self._write(batch, priority)

    def _count_writes(self, job: Job) -> int:
        return sum(len(writes.changes) for writes in self._writes_of(job))

    def _writes_of(self, job: Job) -> list[JobWrites]:
        """Return the writes that make a job's unwritten tasks durable, by transaction."""
        if not job.open:
            return []  # the job ended while other jobs were written
        if job.complete:
            final = JobRecord(DONE, job.record.tasks)
            # The job's other keys are obsolete after this write; `jobs.cleanup` removes them later.
            return [JobWrites(job, [Write(keys.job(job.id), encode(final))], is_last=True)]
        changes = self.layout.progress_writes(job, job.finished_tasks())
        max_group_size = self.commits.max_writes
        groups = [changes[i : i + max_group_size] for i in range(0, len(changes), max_group_size)]
        return [JobWrites(job, group, is_last=group is groups[-1]) for group in groups]

    async def _write(self, writes: list[JobWrites], priority: Priority) -> None:
        try:
            await self._commit(writes, priority)
        except InvalidTransaction as error:
            if len(writes) > 1:
                for write in writes:
                    await self._write([write], priority)
                return
            job = writes[0].job
            log.info("progress refused job=%s cause=%s", job.id, error)
            self._refused_until[job.id] = trio.current_time() + self.period

    async def _commit(self, writes: list[JobWrites], priority: Priority) -> None:
        preconditions: dict[str, int] = {}
        changes: list[Write] = []
        included: list[JobWrites] = []
        for write in writes:
            job = write.job
            shard = self.commits.writable_shard(job)
            if shard is None or not job.open:
                continue
            preconditions[keys.shard(shard.shard)] = shard.token
            preconditions[keys.job(job.id)] = job.version
            for change in write.changes:
                # Several shard leaders write to a chunk: each must add to its latest version.
                preconditions[change.key] = self.commits.replica.version(change.key)
            changes += write.changes
            included.append(write)
        if not included:
            return
        if not await self.commits.commit(preconditions, changes, priority=priority):
            return  # the jobs stay due, with the same urgency
        now = trio.current_time()
        for write in included:
            if not write.is_last:
                continue
            job = write.job
            job.flushed_at = now
            job.write_urgent = False
            self._refused_until.pop(job.id, None)
            if job.record.stage == DONE:
                self._on_decision(Decision.DONE, job.id, DecisionReason(version=job.version))
