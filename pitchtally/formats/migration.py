"""Jobs brought into the present layout, and keys of ended jobs removed.

Both can end at any step and be taken up again by anyone. A conversion writes first what the
new record refers to, then the record, on the condition that nobody has changed it since.
Until that write, readers use the old layout; they join the new keys as well, which hold
nothing that isn't true.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import TYPE_CHECKING

import trio

from .. import tokens
from ..store import StoreDown, Write
from .job_layout import JobLayout

if TYPE_CHECKING:
    from ..control.jobs import Job, JobStore

log = logging.getLogger("migration")


class JobMigration:
    """Converts open jobs whose stored form can't be rewritten under the limits to keep."""

    def __init__(self, job_store: JobStore, layout: JobLayout, pause: float):
        """`pause`: seconds between two looks for jobs that need it."""
        self.job_store = job_store
        self.layout = layout
        self.pause = pause

    async def run(self) -> None:
        """Convert what needs it, the jobs of parts that this node owns."""
        while True:
            await trio.sleep(self.pause)
            try:
                for job in list(self.job_store.open.values()):
                    if self.layout.needs_conversion(job):
                        await self.convert(job, tokens.PROGRESS)
            except StoreDown as error:
                log.debug("not converted: %s", error)

    async def convert(self, job: Job, priority: int) -> bool:
        """Write a job in the present layout; False if it isn't ours to write, or has changed.

        Raises StoreDown.
        """
        part = self.job_store.writable_part(job)
        if part is None and job.record.ranges:
            return False
        guard = {f"pt/jobs/{job.id}": job.version}
        if part is not None:
            guard[f"pt/parts/{part[0]}"] = part[1]
        first, record = self.layout.convert(job)
        # Versions as of now: a key that changes later holds more than what is written here.
        versions = {change.key: self.job_store.replica.version(change.key) for change in first}
        most = self.job_store.store.limits.txn_ops
        for start in range(0, len(first), most):
            group = first[start : start + most]
            conditions = {**guard, **{change.key: versions[change.key] for change in group}}
            if not await self.job_store.commit(conditions, group, priority=priority):
                return False
        change = Write(f"pt/jobs/{job.id}", self.layout.encode_record(job, record))
        done = await self.job_store.commit(guard, [change], priority=priority)
        if done:
            log.info("job converted job=%s keys=%d", job.id, len(first))
        return done


class Cleanup:
    """The leader removes what ended jobs have left besides their records."""

    def __init__(
        self, job_store: JobStore, leader: Callable[[], tuple[str, int] | None], pause: float
    ):
        """`leader`: the key and version that a leader's write rests on, if this node leads."""
        self.job_store = job_store
        self.leader = leader
        self.pause = pause

    async def run(self) -> None:
        """Remove a few keys at a time, after all that anyone waits for."""
        while True:
            await trio.sleep(self.pause)
            try:
                while await self._remove_some():
                    pass
            except StoreDown as error:
                log.debug("not cleaned up: %s", error)

    async def _remove_some(self) -> bool:
        guard = self.leader()
        keys = self.left_over(self.job_store.store.limits.txn_ops)
        if guard is None or not keys:
            return False
        conditions = {key: self.job_store.replica.version(key) for key in keys}
        conditions[guard[0]] = guard[1]
        changes = [Write(key, None) for key in keys]
        return await self.job_store.commit(conditions, changes, priority=tokens.PROGRESS)

    def left_over(self, most: int) -> list[str]:
        """Keys of jobs that are over, at most so many."""
        found: list[str] = []
        for id, keys in self.job_store.extra_keys.items():
            job = self.job_store.jobs.get(id)
            if job is None or job.open:
                continue
            found.extend(sorted(keys))
            if len(found) >= most:
                break
        return found[:most]
