"""Commits to the state store that are applied to this node's replica at once."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import NamedTuple

from ..state_store.client import StateStoreClient, Write
from ..state_store.errors import CompareFailed, LeaseExpired
from ..state_store.rate_limits import Priority
from ..state_store.replica import Replica
from .index import Job

log = logging.getLogger(__name__)

# Returns this node's fencing token for a shard; None if it doesn't lead the shard.
FencingTokenLookup = Callable[[int], int | None]


class WritableShard(NamedTuple):
    """A shard that this node leads, and the fencing token that its writes must name."""

    shard: int
    token: int


class JobCommits:
    """Commits changes of job records and of other data that belongs to shards.

    Every write is conditional on the versions of the keys that it replaces, and on the fencing
    token of the writer's shard (for a user's cancellation, on the versions only).
    """

    def __init__(
        self, state_store: StateStoreClient, replica: Replica, fencing_token: FencingTokenLookup
    ):
        self.state_store = state_store
        self.replica = replica
        self._fencing_token = fencing_token

    @property
    def max_writes(self) -> int:
        """Maximum number of keys that one transaction may write."""
        return self.state_store.limits.txn_ops

    @property
    def write_burst(self) -> float:
        """Number of writes that this node's rate limit grants at once."""
        return self.state_store.write_limit.burst

    def writable_shard(self, job: Job) -> WritableShard | None:
        """Return a shard with tasks of the job that this node leads; None if there is none."""
        for task_range in job.record.ranges:
            token = self._fencing_token(task_range.shard)
            if token is not None:
                return WritableShard(task_range.shard, token)
        return None

    async def commit(
        self, preconditions: dict[str, int], changes: list[Write], *, priority: Priority
    ) -> bool:
        """Commit changes and apply them to the replica; return whether they were committed.

        Nothing is committed if a precondition fails or the lease has expired. After a failed
        precondition the replica is refreshed, so that a retry sees the current versions: the usual
        cause is another leader's write that the watch has not delivered yet.

        Raises StoreUnavailable, and InvalidTransaction if the store rejects the transaction itself.
        """
        try:
            revision = await self.state_store.commit(preconditions, changes, priority=priority)
        except CompareFailed as conflict:
            log.debug("conflict on %s", conflict)
            await self.replica.refresh()
            return False
        except LeaseExpired:
            return False
        self.replica.apply_own_commit(changes, revision)
        return True
