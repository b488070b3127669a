"""Users' requests: validation, acceptance in one commit, confirmed answers.

An answer that isn't final is confirmed first: the copy has to cover a revision of the
store that was read after the question came (`confirmations`).
"""

from __future__ import annotations

import logging
import time
from collections.abc import Callable

import msgspec
import trio

from ..agents.manager import AgentManager
from ..config.policy import Policy
from ..config.settings import Settings
from ..http import Request, Response
from ..jobs import job_record
from ..jobs.index import Job, JobIndex
from ..jobs.job_record import JobRecord
from ..jobs.layout import JobLayout
from ..membership.membership import Membership
from ..membership.messages import Cancellation
from ..observability.decision_log import Decision, DecisionListener, DecisionReason, ignore_decision
from ..protocol import agent_api, cloud_api, user_api
from ..scheduling.capacity import Plan
from ..scheduling.scheduler import Scheduler
from ..state_store import keys
from ..state_store.client import StateStoreClient, Write
from ..state_store.errors import CompareFailed, LeaseExpired, StoreUnavailable
from ..state_store.rate_limits import Priority
from ..state_store.replica import Replica
from .admission_queue import AdmissionQueue
from .read_barrier import Confirmed, ReadBarrier
from .submission_batcher import Pending, SubmissionBatcher
from .validation import Invalid, check_runnable, id_of, is_job_id, parse_job

log = logging.getLogger("api")

encode = msgspec.json.encode

# The share of a burst of write tokens that is left to those who are expected back.
SPARE = 0.75
# Seconds after which a job is offered again that only the present stored format can hold.
LARGE_JOB_RETRY_S = 3
# Times that a cancellation is tried anew because an leader's progress was written first.
CANCEL_ATTEMPTS = 4


class Api:
    """What users, agents and the load balancer may ask of a controller."""

    def __init__(
        self,
        settings: Settings,
        policy: Policy,
        membership: Membership,
        state_store: StateStoreClient,
        replica: Replica,
        job_index: JobIndex,
        agents: AgentManager,
        scheduler: Scheduler,
        layout: JobLayout,
        types: Callable[[], dict[str, cloud_api.MachineType]],
    ):
        self.layout = layout
        self.settings = settings
        self.policy = policy
        self.membership = membership
        self.state_store = state_store
        self.replica = replica
        self.job_index = job_index
        self.agents = agents
        self.scheduler = scheduler
        self.types = types
        # Users wait 2 s for a poll: an answer later than that helps nobody.
        self.read_barrier = ReadBarrier(state_store, replica, min(1.5, policy.call_timeout * 1.5))
        self.submission_batcher = SubmissionBatcher(state_store, replica)
        self.line = AdmissionQueue(lambda id: id in job_index.jobs)
        self.nursery: trio.Nursery | None = None
        self.on_decision: DecisionListener = ignore_decision  # filled in by the service

    async def serve(self, request: Request) -> Response:
        """Route a request that came over the public address."""
        path = request.path
        if path == "/v1/report":
            if request.method != "POST":
                return _error(405, "method", "use POST")
            return await self.agents.serve(request)
        if path == "/ready":
            # In an outage for all, final answers, reports and honest refusals still
            # work; a node cut off alone sends users to those that can do more.
            ready = (
                self.replica.revision >= 0
                and bool(self.types())
                and not self.cut_off()
                and not self.isolated()
            )
            return Response(200 if ready else 503, b"{}")
        if path.startswith("/api/jobs") and self.cut_off() and not self._is_final(path):
            answer = await self.membership.forward(request)
            if answer is not None:
                return answer
        return await self.local(request)

    def _is_final(self, path: str) -> bool:
        """Whether the job that a path names is over, which our copy tells for certain."""
        job = self.job_index.jobs.get(path.removeprefix("/api/jobs/").removesuffix("/cancel"))
        return job is not None and not job.open

    def cut_off(self) -> bool:
        """Whether this node can't reach the store while a peer can."""
        return (
            self.state_store.failing_since is not None
            and self.membership.peer_with_state_store() is not None
        )

    def isolated(self) -> bool:
        """Whether neither the store nor any peer has answered this node of late."""
        since = self.state_store.failing_since
        return (
            since is not None
            and trio.current_time() - since > self.policy.session_ttl
            and self.membership.is_isolated()
        )

    async def local(self, request: Request) -> Response:
        """A user's request, answered by this node."""
        path = request.path
        if path == "/api/jobs":
            if request.method != "POST":
                return _error(405, "method", "use POST")
            return await self.submit(request.body)
        if path.startswith("/api/jobs/"):
            rest = path[len("/api/jobs/") :]
            if rest.endswith("/cancel"):
                if request.method != "POST":
                    return _error(405, "method", "use POST")
                return await self.cancel(rest[: -len("/cancel")])
            if request.method != "GET":
                return _error(405, "method", "use GET")
            return await self.poll(rest)
        return _error(404, "path", "unknown")

    # --- answers ---------------------------------------------------------------

    def view(self, job: Job) -> Response:
        """A job as its user sees it."""
        record = job.record
        if record.stage == job_record.DONE:
            view = user_api.JobView(job.id, job_record.DONE, record.tasks, 0)
        elif record.stage == job_record.CANCELLED:
            view = user_api.JobView(job.id, user_api.WITHDRAWN, record.count, 0)
        else:
            done = 0 if job.service else job.finished.count + len(job.local)
            running = self.scheduler.statuses.running(job.id)
            state = agent_api.RUNNING if running else user_api.PENDING
            # A job whose last tasks are not durable yet is still running.
            view = user_api.JobView(job.id, state, min(done, record.tasks), running)
        return Response(200, encode(view))

    async def poll(self, id: str, *, exists: bool = False) -> Response:
        """The state of a job; anything but a final state is confirmed first.

        `exists`: the store has just told that the job's record is there.
        """
        if not is_job_id(id):
            return _error(404, "ref", "unknown job")
        job = self.job_index.jobs.get(id)
        if job is not None and not job.open:
            return self._found(job, None)
        if self.isolated():
            return _busy("the state service doesn't answer", 1)
        outcome = await self.read_barrier.confirm()
        if not isinstance(outcome, Confirmed):
            return _busy("the state can't be confirmed now", 1)
        job = self.job_index.jobs.get(id)
        if job is not None:
            return self._found(job, outcome)
        return self._unknown(id, outcome, exists=exists)

    def _unknown(self, id: str, confirmed: Confirmed, *, exists: bool = False) -> Response:
        """The answer for a job that the copy doesn't show: 404 only if it has no record."""
        if exists or self.replica.version(keys.job(id)):
            # There is a record that this node lacks or can't read, of a later version perhaps.
            return _busy("the state can't be confirmed now", 1)
        self.on_decision(Decision.UNKNOWN_JOB, id, DecisionReason(read=confirmed.read))
        return _error(404, "ref", "unknown job")

    def _found(self, job: Job, confirmed: Confirmed | None) -> Response:
        """The answer for a known job; without a confirmation, of a job that is over."""
        decision = Decision.FOUND if job.open else Decision.FOUND_OVER
        read = confirmed.read if confirmed is not None else None
        self.on_decision(decision, job.id, DecisionReason(version=job.version, read=read))
        return self.view(job)

    # --- submission --------------------------------------------------------------

    async def submit(self, body: bytes) -> Response:
        """Accept a job, or say why not and when to come back."""
        # A known id gets its state whatever the repeat's body says.
        known = self._known(body)
        if known is not None:
            return await self.poll(known.id)
        try:
            spec = parse_job(body)
        except Invalid as error:
            # The id may have been accepted by another node a moment ago.
            id = id_of(body)
            if id is not None and await self._accepted_elsewhere(id):
                return await self.poll(id)
            return _error(error.status, *str(error).split(": ", 1))
        if not self.types():
            return _busy("machine types are not known yet", 1)
        if self.isolated():
            return _busy("the state service doesn't answer", 1)
        try:
            check_runnable(spec, self.settings, self.types())
        except Invalid as error:
            if await self._accepted_elsewhere(spec.id):
                return await self.poll(spec.id)
            return _error(error.status, *str(error).split(": ", 1))
        wait = self._wait_for_tokens(spec.id)
        if wait > self.policy.admit_wait:
            log.info("refused job=%s cause=tokens wait=%.1f", spec.id, wait)
            after = self.line.refuse(spec.id, wait)
            return _busy("more is asked than can be written", after)
        response = await self._accept(spec)
        if response.status == 503:
            self.line.refuse(spec.id, 1)
        else:
            self.line.leave(spec.id)
        return response

    def _wait_for_tokens(self, id: str) -> float:
        """Seconds until a submission could be written, those before it counted."""
        writes = self.state_store.write_limit
        waiting = len(self.submission_batcher.waiting)  # for the commit under way
        wait = self.state_store.request_limit.wait_time(Priority.SUBMISSIONS)
        if not writes.wait_time(Priority.SUBMISSIONS, waiting + writes.burst * SPARE):
            return wait  # tokens would be lost while those who came earlier stay away
        # They may come back to any node: each takes its share of them.
        ahead = self.line.ahead_of(id) / max(1, len(self.membership.alive))
        return max(wait, writes.wait_time(Priority.SUBMISSIONS, 1 + waiting + ahead))

    def _known(self, body: bytes) -> Job | None:
        id = id_of(body)
        return self.job_index.jobs.get(id) if id is not None else None

    async def _accepted_elsewhere(self, id: str) -> bool:
        outcome = await self.read_barrier.confirm()
        return isinstance(outcome, Confirmed) and id in self.job_index.jobs

    async def _accept(self, spec: user_api.JobSpec) -> Response:
        key = keys.job(spec.id)
        plan = await self._plan(spec)
        conditions = {key: 0}
        for _, _, shard in plan.ranges:
            # Tasks given to a shard of ours: only while it is ours, so that no
            # earlier leader can have started one of them.
            token = self.membership.token(shard)
            if token is not None:
                conditions[keys.shard(shard)] = token
        record = JobRecord(
            job_record.OPEN,
            spec.tasks,
            spec,
            round(time.time(), 3),
            plan.ranges,
            zone=plan.zone,
            attempt=plan.attempt,
            caps=plan.caps,
        )
        first, record = self.layout.lay_out_new(spec.id, record)
        value = encode(record)
        if not self.layout.record_fits(value):
            # The old form can't hold it; the present one can, once every node reads it.
            return _busy("too large to keep before the upgrade is over", LARGE_JOB_RETRY_S)
        if not await self._write_first(first):
            return _busy("the state service doesn't answer", 1)
        change = Write(key, value)
        pending = Pending(key, change, conditions)
        at = trio.current_time()
        await self.submission_batcher.commit(pending)
        took = trio.current_time() - at
        if took > self.policy.admit_wait:
            log.info(
                "slow acceptance job=%s took=%.2f tokens=%.2f behind=%d",
                spec.id,
                took,
                pending.sent_at - at,
                len(self.submission_batcher.waiting),
            )
        if key in pending.failed:
            return await self.poll(spec.id, exists=True)
        if pending.failed:
            return _busy("the owner has changed", 1)
        if pending.revision is None:
            log.info("not accepted job=%s cause=%s", spec.id, pending.cause)
            return _busy("the state service doesn't answer", 1)
        return Response(201, encode(user_api.JobView(spec.id, user_api.PENDING)))

    async def _write_first(self, changes: list[Write]) -> bool:
        """Write what a new job's record refers to; False if that can't be done now.

        The keys are found by their content: written again, or late, they say the same.
        """
        most = self.state_store.limits.txn_ops
        for start in range(0, len(changes), most):
            group = changes[start : start + most]
            try:
                revision = await self.state_store.commit({}, group, priority=Priority.SUBMISSIONS)
            except (CompareFailed, LeaseExpired, StoreUnavailable) as error:
                log.info("not accepted cause=%s", error)
                return False
            self.replica.apply_own_commit(group, revision)
        return True

    async def _plan(self, spec: user_api.JobSpec) -> Plan:
        """Where the job goes: our own shards, else where the leader says."""
        plan = self.scheduler.decide(spec)
        if plan.ranges or spec.kind == user_api.GANG:
            return plan
        answer = await self.membership.request_schedule(spec)
        if answer is None:
            return plan
        return Plan(answer.ranges, answer.zone)

    # --- cancellation ---------------------------------------------------------------

    async def cancel(self, id: str) -> Response:
        """Cancel a job: committed before it is answered."""
        if not is_job_id(id):
            return _error(404, "ref", "unknown job")
        for _ in range(CANCEL_ATTEMPTS):
            job = self.job_index.jobs.get(id)
            if job is not None and not job.open:
                return self._found(job, None)
            if self.isolated():
                break
            if job is None:
                outcome = await self.read_barrier.confirm()
                if not isinstance(outcome, Confirmed):
                    break
                if id not in self.job_index.jobs:
                    return self._unknown(id, outcome)
                continue
            try:
                await self._commit_cancellation(job)
                job = self.job_index.jobs[id]
                if not job.open:
                    return self._found(job, None)
            except CompareFailed:
                # The leaders' progress came first: take it in and try again.
                if not isinstance(await self.read_barrier.confirm(), Confirmed):
                    break
            except (LeaseExpired, StoreUnavailable):
                break
        return _busy("the cancellation can't be written now", 1)

    async def _commit_cancellation(self, job: Job) -> None:
        """Write that a job is cancelled, and tell the leaders; raises what `Store.commit` does."""
        final = JobRecord(job_record.CANCELLED, job.record.tasks, count=job.finished.count)
        change = Write(keys.job(job.id), encode(final))
        revision = await self.state_store.commit(
            {change.key: job.version}, [change], priority=Priority.COMPLETIONS
        )
        self.replica.apply_own_commit([change], revision)
        self.on_decision(Decision.CANCELLED, job.id, DecisionReason(version=revision))
        if self.nursery is not None:
            self.nursery.start_soon(
                self.membership.broadcast_cancellation,
                Cancellation(job.id, revision, final.tasks, final.count),
            )


def _error(status: int, field: str, reason: str) -> Response:
    return Response(status, encode({"error": reason, "field": field}))


def _busy(reason: str, after: float) -> Response:
    """Refused at once, with an honest word on when to come back."""
    return Response(
        503, encode({"error": reason}), [("Retry-After", str(max(1, min(30, int(after)))))]
    )
