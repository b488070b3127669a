"""Cancellation of jobs: it is committed before the request is answered."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from ..http import Response
from ..jobs import job_record
from ..jobs.index import Job
from ..jobs.job_record import JobRecord
from ..membership.messages import Cancellation
from ..observability.decision_log import Decision, DecisionListener, DecisionReason
from ..state_store import keys
from ..state_store.client import StateStoreClient, Write
from ..state_store.errors import CompareFailed, LeaseExpired, StoreUnavailable
from ..state_store.rate_limits import Priority
from ..state_store.replica import Replica
from .reachability import StateStoreReachability
from .read_barrier import BarrierPassed, ReadBarrier
from .responses import retry_later, unknown_job_response
from .status import JobStatuses
from .validation import is_job_id

# Attempts at a cancellation; one fails if a shard leader's progress is written first.
MAX_ATTEMPTS = 4


class CancellationWriter:
    """Commits cancellations and notifies the peers of them."""

    def __init__(
        self,
        state_store: StateStoreClient,
        replica: Replica,
        on_decision: DecisionListener,
        notify_peers: Callable[[Cancellation], None],
    ):
        """`notify_peers`: starts a broadcast without waiting for it; peer heartbeats repeat it."""
        self._state_store = state_store
        self._replica = replica
        self._on_decision = on_decision
        self._notify_peers = notify_peers

    async def commit(self, job: Job) -> None:
        """Commit a job's cancellation; raises the errors of `StateStoreClient.commit`."""
        final = JobRecord(
            job_record.CANCELLED, job.record.tasks, finished_when_cancelled=job.finished.count
        )
        change = Write(keys.job(job.id), job_record.encode(final))
        revision = await self._state_store.commit(
            {change.key: job.version}, [change], priority=Priority.COMPLETIONS
        )
        self._replica.apply_own_commit([change], revision)
        self._on_decision(Decision.CANCELLED, job.id, DecisionReason(version=revision))
        self._notify_peers(
            Cancellation(job.id, revision, final.tasks, final.finished_when_cancelled)
        )


class Cancellations:
    """Answers requests to cancel a job."""

    def __init__(
        self,
        jobs: Mapping[str, Job],
        writer: CancellationWriter,
        read_barrier: ReadBarrier,
        reachability: StateStoreReachability,
        statuses: JobStatuses,
    ):
        self._jobs = jobs
        self._writer = writer
        self._read_barrier = read_barrier
        self._reachability = reachability
        self._statuses = statuses

    async def cancel(self, id: str) -> Response:
        """Cancel a job; if it is already over, respond with its state."""
        if not is_job_id(id):
            return unknown_job_response()
        for _ in range(MAX_ATTEMPTS):
            job = self._jobs.get(id)
            if job is not None and not job.open:
                return self._statuses.report(job)
            if self._reachability.is_isolated():
                break
            if job is None:
                outcome = await self._read_barrier.wait()
                if not isinstance(outcome, BarrierPassed):
                    break
                if id not in self._jobs:
                    return self._statuses.report_missing(id, outcome.read)
                continue
            try:
                await self._writer.commit(job)
                job = self._jobs[id]
                if not job.open:
                    return self._statuses.report(job)
            except CompareFailed:
                # A shard leader's progress was written first: read the new version and retry.
                if not isinstance(await self._read_barrier.wait(), BarrierPassed):
                    break
            except (LeaseExpired, StoreUnavailable):
                break
        return retry_later("the cancellation can't be written now")
