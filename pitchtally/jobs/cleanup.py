"""Removal of keys of jobs that are over: all except their records."""

from __future__ import annotations

import logging
from collections.abc import Callable

import trio

from ..protocol.state_store_api import Precondition
from ..state_store.client import Write
from ..state_store.errors import StoreUnavailable
from ..state_store.rate_limits import Priority
from .commits import JobCommits
from .index import JobIndex

log = logging.getLogger(__name__)


class Cleanup:
    """Removes the leftover keys of jobs that are over; active only on the cluster leader."""

    def __init__(
        self,
        job_index: JobIndex,
        commits: JobCommits,
        precondition: Callable[[], Precondition | None],
        pause: float,
    ):
        """`precondition`: returns the precondition of a cluster leader's writes, else None.

        `pause`: seconds between two attempts.
        """
        self.job_index = job_index
        self.commits = commits
        self.precondition = precondition
        self.pause = pause

    async def run(self) -> None:
        """Remove leftover keys a few at a time, after all calls that users wait for."""
        while True:
            await trio.sleep(self.pause)
            try:
                while await self._remove_some():
                    pass
            except StoreUnavailable as error:
                log.debug("leftover keys not removed, retrying later: %s", error)

    async def _remove_some(self) -> bool:
        precondition = self.precondition()
        leftover_keys = self.leftover_keys(self.commits.max_writes)
        if precondition is None or not leftover_keys:
            return False
        expected_versions = {key: self.commits.replica.version(key) for key in leftover_keys}
        expected_versions[precondition.key] = precondition.version
        changes = [Write(key, None) for key in leftover_keys]
        return await self.commits.commit(expected_versions, changes, priority=Priority.PROGRESS)

    def leftover_keys(self, max_keys: int) -> list[str]:
        """Return keys, other than records, of jobs that are over; at most `max_keys`."""
        collected_keys: list[str] = []
        for id, extra_keys in self.job_index.extra_keys.items():
            job = self.job_index.jobs.get(id)
            if job is None or job.open:
                continue
            collected_keys.extend(sorted(extra_keys))
            if len(collected_keys) >= max_keys:
                break
        return collected_keys[:max_keys]
