"""Conversion of jobs to the current layout.

A conversion can be interrupted at any step and resumed by any shard leader. It first writes the
data that the new record refers to, then the record, on the precondition that the record has not
changed meanwhile. Until that write, readers use the old layout; they also read the new keys, whose
content is correct at any time.
"""

from __future__ import annotations

import logging

import trio

from ..state_store import keys
from ..state_store.client import Write
from ..state_store.errors import StoreUnavailable
from ..state_store.rate_limits import Priority
from .commits import JobCommits
from .index import Job, JobIndex
from .layout import JobLayout

log = logging.getLogger(__name__)


class JobMigration:
    """Converts open jobs whose stored layout can't be rewritten within the size limits."""

    def __init__(self, job_index: JobIndex, commits: JobCommits, layout: JobLayout, pause: float):
        """`pause`: seconds between two scans for jobs that need a conversion."""
        self.job_index = job_index
        self.commits = commits
        self.layout = layout
        self.pause = pause

    async def run(self) -> None:
        """Convert the jobs that need it, if this node leads one of their shards."""
        while True:
            await trio.sleep(self.pause)
            try:
                for job in list(self.job_index.open.values()):
                    if self.layout.needs_conversion(job):
                        await self.convert(job, Priority.PROGRESS)
            except StoreUnavailable as error:
                log.debug("job conversion failed, retrying later: %s", error)

    async def convert(self, job: Job, priority: Priority) -> bool:
        """Write a job in the current layout; return whether it was written.

        The job isn't written if another node leads its shards, or if it has changed meanwhile.
        Raises StoreUnavailable.
        """
        shard = self.commits.writable_shard(job)
        if shard is None and job.record.ranges:
            return False
        expected_versions = {keys.job(job.id): job.version}
        if shard is not None:
            expected_versions[keys.shard(shard.shard)] = shard.token
        referenced_writes, record = self.layout.convert(job)
        # The versions are read before the first commit: a key that changes after this contains
        # progress that the prepared write lacks, so that write must fail.
        versions = {
            change.key: self.commits.replica.version(change.key) for change in referenced_writes
        }
        max_group_size = self.commits.max_writes
        for start in range(0, len(referenced_writes), max_group_size):
            group = referenced_writes[start : start + max_group_size]
            preconditions = {
                **expected_versions,
                **{change.key: versions[change.key] for change in group},
            }
            if not await self.commits.commit(preconditions, group, priority=priority):
                return False
        change = Write(keys.job(job.id), self.layout.encode_record(job, record))
        converted = await self.commits.commit(expected_versions, [change], priority=priority)
        if converted:
            log.info("job converted job=%s keys=%d", job.id, len(referenced_writes))
        return converted
