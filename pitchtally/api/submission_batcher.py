"""Commits of submissions, which share transactions."""

from __future__ import annotations

import trio

from ..state_store.client import StateStoreClient, Write
from ..state_store.errors import CompareFailed, LeaseExpired, StoreUnavailable
from ..state_store.rate_limits import Priority
from ..state_store.replica import Replica


class Pending:
    """One submission on its way into the store."""

    def __init__(self, key: str, change: Write, conditions: dict[str, int]):
        self.key = key
        self.change = change
        self.conditions = conditions
        self.over = trio.Event()
        self.sent_at = 0.0  # when its commit had its tokens
        self.revision: int | None = None
        self.failed: list[str] = []
        self.cause = ""

    def end(self, revision: int | None, failed: list[str], cause: str = "") -> None:
        """Tell the waiting request how its commit ended."""
        self.revision, self.failed, self.cause = revision, failed, cause
        self.over.set()


class SubmissionBatcher:
    """Commits submissions; those that wait while a commit is under way share the next."""

    # Loops, so that one commit without an answer doesn't hold up all that follow.
    LOOPS = 3
    # Of the 64 KiB that a transaction may hold.
    BYTES = 40 * 1024

    def __init__(self, state_store: StateStoreClient, replica: Replica):
        self.state_store = state_store
        self.replica = replica
        self.waiting: list[Pending] = []
        self.wake = trio.Event()

    async def commit(self, pending: Pending) -> None:
        """Queue a submission, and wait until its commit has ended."""
        self.waiting.append(pending)
        self.wake.set()
        await pending.over.wait()

    def _batch(self) -> list[Pending]:
        batch: list[Pending] = []
        conditions: dict[str, int] = {}
        size = 0
        for pending in list(self.waiting):
            size += len(pending.change.value or b"") + 300
            if len(batch) >= self.state_store.limits.txn_ops or (
                batch and (size > self.BYTES or len(batch) >= self.state_store.write_limit.burst)
            ):
                break
            # A repeat of an id goes alone, so that its condition can fail. So does one that
            # was planned under another token of a shard: the transaction would check only
            # one of the two.
            if all(other.key != pending.key for other in batch) and all(
                conditions.get(key, version) == version
                for key, version in pending.conditions.items()
            ):
                batch.append(pending)
                conditions.update(pending.conditions)
        self.waiting = [p for p in self.waiting if p not in batch]
        return batch

    async def run(self) -> None:
        """Commit what waits, in batches."""
        while True:
            while not self.waiting:
                await self.wake.wait()
                self.wake = trio.Event()
            batch = self._batch()
            try:
                await self._write(batch)
            finally:
                for pending in batch:
                    if not pending.over.is_set() and pending not in self.waiting:
                        pending.end(None, [], "fault")

    async def _write(self, batch: list[Pending]) -> None:
        conditions: dict[str, int] = {}
        for pending in batch:
            conditions.update(pending.conditions)
        try:

            def sent() -> None:
                for pending in batch:
                    pending.sent_at = trio.current_time()

            revision = await self.state_store.commit(
                conditions,
                [p.change for p in batch],
                priority=Priority.SUBMISSIONS,
                on_sent=sent,
            )
        except CompareFailed as conflict:
            failed = set(conflict.failed)
            rest = []
            for pending in batch:
                mine = [k for k in pending.conditions if k in failed]
                if mine or len(batch) == 1:
                    pending.end(None, mine or conflict.failed)
                else:
                    rest.append(pending)
            # Nothing of the batch was written: the others go again without it.
            self.waiting[:0] = rest
            self.wake.set()
        except (LeaseExpired, StoreUnavailable) as error:
            for pending in batch:
                pending.end(None, [], str(error) or "no lease")
        else:
            self.replica.apply_own_commit([p.change for p in batch], revision)
            for pending in batch:
                pending.end(revision, [])
