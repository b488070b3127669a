"""Group commit: submissions that arrive while a transaction is in flight share the next one."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

import trio

from ..state_store.client import StateStoreClient, Write
from ..state_store.errors import CompareFailed, LeaseExpired, StoreUnavailable
from ..state_store.rate_limits import Priority
from ..state_store.replica import Replica

# Number of loops that commit, so that a transaction without a response doesn't delay all others.
MAX_CONCURRENT_COMMITS = 3
# Well below the 64 KiB that a transaction may hold.
MAX_BATCH_BYTES = 40 * 1024
# Size of a submission's key and preconditions, which it adds to a transaction besides its value.
OVERHEAD_BYTES = 300


@dataclass(frozen=True, slots=True)
class Committed:
    """The submission was written to the state store."""

    revision: int


@dataclass(frozen=True, slots=True)
class PreconditionsFailed:
    """Nothing was written, because the preconditions on `keys` did not hold."""

    keys: list[str]


@dataclass(frozen=True, slots=True)
class CommitFailed:
    """The commit failed with its outcome unknown: the submission may have been written."""

    cause: str


CommitOutcome = Committed | PreconditionsFailed | CommitFailed


@dataclass(slots=True, eq=False)
class PendingSubmission:
    """One submission that waits for its commit."""

    key: str  # key of the job's record
    change: Write
    preconditions: dict[str, int]  # key -> version
    done: trio.Event = field(default_factory=trio.Event)
    dispatched_at: float = 0.0  # time at which its transaction passed the rate limits
    outcome: CommitOutcome | None = None

    def resolve(self, outcome: CommitOutcome) -> None:
        """Set the outcome and wake the request."""
        self.outcome = outcome
        self.done.set()


class SubmissionBatcher:
    """Commits submissions in groups."""

    def __init__(self, state_store: StateStoreClient, replica: Replica):
        self.state_store = state_store
        self.replica = replica
        self.queued: list[PendingSubmission] = []
        self._wake = trio.Event()

    async def commit(self, submission: PendingSubmission) -> CommitOutcome:
        """Queue a submission, and wait for the outcome of its transaction."""
        self.queued.append(submission)
        self._wake.set()
        await submission.done.wait()
        assert submission.outcome is not None
        return submission.outcome

    async def commit_unconditionally(self, changes: Sequence[Write]) -> None:
        """Write the data that a record refers to, in as many transactions as needed.

        To be called before the record is committed. The keys are content-addressed: a repeated or
        late write stores the same value. Raises the errors of `StateStoreClient.commit`.
        """
        max_writes = self.state_store.limits.txn_ops
        for start in range(0, len(changes), max_writes):
            group = changes[start : start + max_writes]
            revision = await self.state_store.commit({}, group, priority=Priority.SUBMISSIONS)
            self.replica.apply_own_commit(group, revision)

    def take_batch(self) -> list[PendingSubmission]:
        """Remove the submissions for the next transaction from the queue, and return them."""
        batch: list[PendingSubmission] = []
        preconditions: dict[str, int] = {}
        size = 0
        for submission in list(self.queued):
            size += len(submission.change.value or b"") + OVERHEAD_BYTES
            if len(batch) >= self.state_store.limits.txn_ops or (
                batch
                and (size > MAX_BATCH_BYTES or len(batch) >= self.state_store.write_limit.burst)
            ):
                break
            # A repeated id is left for a later batch, so that its precondition can fail. So is a
            # submission planned under another fencing token of a shard: the transaction would
            # check only one of the two tokens.
            if all(batched.key != submission.key for batched in batch) and all(
                preconditions.get(key, version) == version
                for key, version in submission.preconditions.items()
            ):
                batch.append(submission)
                preconditions.update(submission.preconditions)
        self.queued = [s for s in self.queued if s not in batch]
        return batch

    async def run(self) -> None:
        """Commit the queued submissions, batch by batch."""
        while True:
            while not self.queued:
                await self._wake.wait()
                self._wake = trio.Event()
            batch = self.take_batch()
            try:
                await self._commit_batch(batch)
            finally:
                for submission in batch:
                    if not submission.done.is_set() and submission not in self.queued:
                        submission.resolve(CommitFailed("fault"))

    async def _commit_batch(self, batch: list[PendingSubmission]) -> None:
        preconditions: dict[str, int] = {}
        for submission in batch:
            preconditions.update(submission.preconditions)

        def dispatched() -> None:
            for submission in batch:
                submission.dispatched_at = trio.current_time()

        try:
            revision = await self.state_store.commit(
                preconditions,
                [s.change for s in batch],
                priority=Priority.SUBMISSIONS,
                on_dispatched=dispatched,
            )
        except CompareFailed as error:
            self._requeue_unaffected(batch, error)
        except (LeaseExpired, StoreUnavailable) as error:
            for submission in batch:
                submission.resolve(CommitFailed(str(error) or "no lease"))
        else:
            self.replica.apply_own_commit([s.change for s in batch], revision)
            for submission in batch:
                submission.resolve(Committed(revision))

    def _requeue_unaffected(self, batch: list[PendingSubmission], error: CompareFailed) -> None:
        """Resolve the submissions whose preconditions failed, and requeue the others in front.

        Nothing of the batch was written.
        """
        failed = set(error.failed)
        unaffected = []
        for submission in batch:
            own_failed = [key for key in submission.preconditions if key in failed]
            if own_failed or len(batch) == 1:
                submission.resolve(PreconditionsFailed(own_failed or error.failed))
            else:
                unaffected.append(submission)
        self.queued[:0] = unaffected
        self._wake.set()
