"""Responses that report the state of a job."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from ..http import Response
from ..jobs import job_record
from ..jobs.index import Job
from ..observability.decision_log import Decision, DecisionListener, DecisionReason
from ..protocol import agent_api, user_api
from ..state_store import keys
from ..state_store.replica import Refresh, Replica
from .reachability import StateStoreReachability
from .read_barrier import BarrierPassed, ReadBarrier
from .responses import (
    STATE_UNCONFIRMED,
    STORE_UNAVAILABLE,
    job_response,
    retry_later,
    unknown_job_response,
)
from .validation import is_job_id


class JobStatuses:
    """Reports jobs from the replica; a state that isn't final only after the read barrier."""

    def __init__(
        self,
        jobs: Mapping[str, Job],
        replica: Replica,
        read_barrier: ReadBarrier,
        reachability: StateStoreReachability,
        running_tasks: Callable[[str], int],
        on_decision: DecisionListener,
    ):
        """`running_tasks`: returns how many tasks of a job run, as seen by this node."""
        self._jobs = jobs
        self._replica = replica
        self._read_barrier = read_barrier
        self._reachability = reachability
        self._running_tasks = running_tasks
        self._on_decision = on_decision

    def cached(self, id: str) -> Job | None:
        """Return the job as the replica shows it, however old the replica is."""
        return self._jobs.get(id)

    async def poll(self, id: str, *, exists: bool = False) -> Response:
        """Answer a request for a job's state.

        `exists`: whether the state store has just reported that the job has a record.
        """
        if not is_job_id(id):
            return unknown_job_response()
        job = self._jobs.get(id)
        if job is not None and not job.open:
            return self.report(job)
        if self._reachability.is_isolated():
            return retry_later(STORE_UNAVAILABLE)
        outcome = await self._read_barrier.wait()
        if not isinstance(outcome, BarrierPassed):
            return retry_later(STATE_UNCONFIRMED)
        job = self._jobs.get(id)
        if job is not None:
            return self.report(job, outcome.read)
        return self.report_missing(id, outcome.read, exists=exists)

    async def is_accepted(self, id: str) -> bool:
        """Return whether any node has accepted the job; False also if the read barrier fails."""
        outcome = await self._read_barrier.wait()
        return isinstance(outcome, BarrierPassed) and id in self._jobs

    def report(self, job: Job, read: Refresh | None = None) -> Response:
        """Return the response for a job that exists; `read` may be None only if it is over."""
        decision = Decision.FOUND if job.open else Decision.FOUND_FINISHED
        self._on_decision(decision, job.id, DecisionReason(version=job.version, read=read))
        return job_response(200, self._view(job))

    def report_missing(self, id: str, read: Refresh, *, exists: bool = False) -> Response:
        """Return the response for a job that the index lacks: 404 only if it has no record."""
        if exists or self._replica.version(keys.job(id)):
            # There is a record that this node lacks or can't decode, perhaps of a later version.
            return retry_later(STATE_UNCONFIRMED)
        self._on_decision(Decision.UNKNOWN_JOB, id, DecisionReason(read=read))
        return unknown_job_response()

    def _view(self, job: Job) -> user_api.JobView:
        record = job.record
        if record.stage == job_record.DONE:
            return user_api.JobView(job.id, job_record.DONE, record.tasks, 0)
        if record.stage == job_record.CANCELLED:
            return user_api.JobView(job.id, user_api.WITHDRAWN, record.finished_when_cancelled, 0)
        done = 0 if job.service else job.finished.count + len(job.unwritten_tasks)
        running = self._running_tasks(job.id)
        state = agent_api.RUNNING if running else user_api.PENDING
        # A job whose last tasks are not durable yet is still running.
        return user_api.JobView(job.id, state, min(done, record.tasks), running)
