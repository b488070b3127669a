"""Handling of submissions: validation, admission, and acceptance by a commit.

Submission is idempotent: a request with a known id is answered with the state of that job,
whatever else the request contains.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

from ..config.settings import Settings
from ..http import Response
from ..protocol import cloud_api, user_api
from .admission_queue import AdmissionControl
from .job_creation import AlreadyExists, Created, JobCreator
from .reachability import StateStoreReachability
from .responses import STORE_UNAVAILABLE, error_response, job_response, retry_later
from .status import JobStatuses
from .validation import InvalidSubmission, check_runnable, extract_job_id, parse_job


class Submissions:
    """Answers requests to run a job."""

    def __init__(
        self,
        settings: Settings,
        machine_types: Callable[[], Mapping[str, cloud_api.MachineType]],
        reachability: StateStoreReachability,
        statuses: JobStatuses,
        admission: AdmissionControl,
        creator: JobCreator,
    ):
        self._settings = settings
        self._machine_types = machine_types
        self._reachability = reachability
        self._statuses = statuses
        self._admission = admission
        self._creator = creator

    async def submit(self, body: bytes) -> Response:
        """Accept a job, or respond with the reason for refusing it and when to retry."""
        id = extract_job_id(body)
        if id is not None and self._statuses.cached(id) is not None:
            return await self._statuses.poll(id)
        try:
            spec = parse_job(body)
        except InvalidSubmission as error:
            return await self._reject(id, error)
        if not self._machine_types():
            return retry_later("machine types are not known yet")
        if self._reachability.is_isolated():
            return retry_later(STORE_UNAVAILABLE)
        try:
            check_runnable(spec, self._settings, self._machine_types())
        except InvalidSubmission as error:
            return await self._reject(spec.id, error)
        retry_after = self._admission.refuse_if_overloaded(spec.id)
        if retry_after is not None:
            return retry_later("too many submissions for the state store's limits", retry_after)
        response = await self.accept(spec)
        if response.status == 503:
            self._admission.queue.record_refusal(spec.id, 1)
        else:
            self._admission.queue.remove(spec.id)
        return response

    async def accept(self, spec: user_api.JobSpec) -> Response:
        """Create the record of a valid, admitted job."""
        outcome = await self._creator.create(spec)
        if isinstance(outcome, Created):
            return job_response(201, user_api.JobView(spec.id, user_api.PENDING))
        if isinstance(outcome, AlreadyExists):
            return await self._statuses.poll(spec.id, exists=True)
        return retry_later(outcome.reason, outcome.retry_after_s)

    async def _reject(self, id: str | None, error: InvalidSubmission) -> Response:
        """Refuse an invalid submission, unless a job with its id has already been accepted."""
        if id is not None and await self._statuses.is_accepted(id):
            return await self._statuses.poll(id)
        return error_response(error.status, error.field, error.reason)
