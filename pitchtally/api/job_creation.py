"""Creation of the record of a submitted job."""

from __future__ import annotations

import logging
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import trio

from ..jobs import job_record
from ..jobs.job_record import JobRecord
from ..jobs.layout import JobLayout
from ..membership.messages import ScheduleReply
from ..protocol import user_api
from ..scheduling.capacity import Plan
from ..state_store import keys
from ..state_store.client import Write
from ..state_store.errors import CompareFailed, LeaseExpired, StoreUnavailable
from ..state_store.identifiers import FencingToken, ShardId
from .responses import STORE_UNAVAILABLE
from .submission_batcher import (
    Committed,
    PendingSubmission,
    PreconditionsFailed,
    SubmissionBatcher,
)

log = logging.getLogger(__name__)

# Seconds after which to retry a job that is too large for format 1, until the format gate opens.
LARGE_JOB_RETRY_S = 3


@dataclass(frozen=True, slots=True)
class Created:
    """The job's record was written to the state store."""


@dataclass(frozen=True, slots=True)
class AlreadyExists:
    """The state store holds a record of that id, perhaps from the same request sent before."""


@dataclass(frozen=True, slots=True)
class NotCreated:
    """The job can't be accepted now; the request may be retried after `retry_after_s` seconds."""

    reason: str
    retry_after_s: float = 1


CreationOutcome = Created | AlreadyExists | NotCreated


class SubmissionPlanner:
    """Assigns a new job to shards by this node's own plan, else by the cluster leader's reply."""

    def __init__(
        self,
        plan_locally: Callable[[user_api.JobSpec], Plan],
        request_schedule: Callable[[user_api.JobSpec], Awaitable[ScheduleReply | None]],
    ):
        """`request_schedule`: asks the cluster leader for a plan; None without a prompt reply."""
        self._plan_locally = plan_locally
        self._request_schedule = request_schedule

    async def plan(self, spec: user_api.JobSpec) -> Plan:
        """Return which shards get which tasks; without ranges the leader assigns them later."""
        plan = self._plan_locally(spec)
        if plan.ranges or spec.kind == user_api.GANG:
            return plan
        reply = await self._request_schedule(spec)
        if reply is None:
            return plan
        return Plan(reply.ranges, reply.zone)


class JobCreator:
    """Plans a new job and commits its record."""

    def __init__(
        self,
        planner: SubmissionPlanner,
        layout: JobLayout,
        batcher: SubmissionBatcher,
        shard_token: Callable[[ShardId], FencingToken | None],
        slow_after: float,
    ):
        """`shard_token`: this node's fencing token of a shard, None if another node leads it.

        `slow_after`: seconds after which a commit is logged as slow.
        """
        self._planner = planner
        self._layout = layout
        self._batcher = batcher
        self._shard_token = shard_token
        self._slow_after = slow_after

    async def create(self, spec: user_api.JobSpec) -> CreationOutcome:
        """Commit the record of a new job, unless a record with its id exists."""
        plan = await self._planner.plan(spec)
        preconditions = self._preconditions(spec.id, plan)
        referenced_writes, record = self._layout.lay_out_new(spec.id, self._new_record(spec, plan))
        value = job_record.encode(record)
        if not self._layout.record_fits(value):
            # Format 1 can't hold the job; the current format can, once every node reads it.
            return NotCreated("too large to store until the upgrade is over", LARGE_JOB_RETRY_S)
        try:
            await self._batcher.commit_unconditionally(referenced_writes)
        except (CompareFailed, LeaseExpired, StoreUnavailable) as error:
            log.info("submission not accepted cause=%s", error)
            return NotCreated(STORE_UNAVAILABLE)
        key = keys.job(spec.id)
        return await self._commit(spec.id, PendingSubmission(key, Write(key, value), preconditions))

    def _preconditions(self, id: str, plan: Plan) -> dict[str, int]:
        preconditions = {keys.job(id): 0}
        for _, _, shard in plan.ranges:
            # Tasks are assigned to a shard of this node only while this node leads it, so that no
            # earlier leader can have started one of them.
            token = self._shard_token(shard)
            if token is not None:
                preconditions[keys.shard(shard)] = token
        return preconditions

    @staticmethod
    def _new_record(spec: user_api.JobSpec, plan: Plan) -> JobRecord:
        return JobRecord(
            job_record.OPEN,
            spec.tasks,
            spec,
            round(time.time(), 3),
            plan.ranges,
            zone=plan.zone,
            attempt=plan.attempt,
            zone_caps=plan.zone_caps,
        )

    async def _commit(self, id: str, submission: PendingSubmission) -> CreationOutcome:
        started_at = trio.current_time()
        outcome = await self._batcher.commit(submission)
        took = trio.current_time() - started_at
        if took > self._slow_after:
            log.info(
                "slow acceptance job=%s took=%.2f rate_limited=%.2f queued=%d",
                id,
                took,
                submission.dispatched_at - started_at,
                len(self._batcher.queued),
            )
        if isinstance(outcome, Committed):
            return Created()
        if isinstance(outcome, PreconditionsFailed):
            if submission.key in outcome.keys:
                return AlreadyExists()
            return NotCreated("the leader of a shard has changed")
        log.info("submission not accepted job=%s cause=%s", id, outcome.cause)
        return NotCreated(STORE_UNAVAILABLE)
