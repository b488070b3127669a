"""Jobs brought into the present layout.

A conversion can end at any step and be taken up again by any leader. It writes first what the
new record refers to, then the record, on the condition that nobody has changed it since.
Until that write, readers use the old layout; they join the new keys as well, which hold
nothing that isn't true.
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
    """Converts open jobs whose stored form can't be rewritten under the limits to keep."""

    def __init__(self, job_index: JobIndex, commits: JobCommits, layout: JobLayout, pause: float):
        """`pause`: seconds between two looks for jobs that need it."""
        self.job_index = job_index
        self.commits = commits
        self.layout = layout
        self.pause = pause

    async def run(self) -> None:
        """Convert what needs it, the jobs of shards that this node leads."""
        while True:
            await trio.sleep(self.pause)
            try:
                for job in list(self.job_index.open.values()):
                    if self.layout.needs_conversion(job):
                        await self.convert(job, Priority.PROGRESS)
            except StoreUnavailable as error:
                log.debug("not converted: %s", error)

    async def convert(self, job: Job, priority: Priority) -> bool:
        """Write a job in the present layout; False if it isn't ours to write, or has changed.

        Raises StoreUnavailable.
        """
        shard = self.commits.writable_shard(job)
        if shard is None and job.record.ranges:
            return False
        expected_versions = {keys.job(job.id): job.version}
        if shard is not None:
            expected_versions[keys.shard(shard.shard)] = shard.token
        referenced_writes, record = self.layout.convert(job)
        # Versions as of now: a key that changes later holds more than what is written here.
        versions = {
            change.key: self.commits.replica.version(change.key) for change in referenced_writes
        }
        most = self.commits.max_writes
        for start in range(0, len(referenced_writes), most):
            group = referenced_writes[start : start + most]
            conditions = {
                **expected_versions,
                **{change.key: versions[change.key] for change in group},
            }
            if not await self.commits.commit(conditions, group, priority=priority):
                return False
        change = Write(keys.job(job.id), self.layout.encode_record(job, record))
        done = await self.commits.commit(expected_versions, [change], priority=priority)
        if done:
            log.info("job converted job=%s keys=%d", job.id, len(referenced_writes))
        return done
