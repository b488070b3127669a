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

from .. import tokens, wire
from ..formats.job_layout import JobLayout
from ..http import Request, Response
from ..policy import Policy
from ..replica import Replica
from ..settings import Settings
from ..store import Conflict, NoLease, Store, StoreDown, Write
from . import job_records
from .acceptance import Acceptances, Pending
from .capacity import Plan
from .confirmations import Confirmations, Confirmed
from .decisions import Decided, Decision, Grounds, ignore_decision
from .job_records import Record
from .jobs import Job, JobStore
from .members import Members
from .messages import Cancellation
from .split import Split
from .submission import Invalid, check_runnable, id_of, is_job_id, parse_job
from .waiting_line import WaitingLine
from .workers import Workers

log = logging.getLogger("api")

encode = msgspec.json.encode

# The share of a burst of write tokens that is left to those who are expected back.
SPARE = 0.75
# Seconds after which a job is offered again that only the present stored format can hold.
LARGE_JOB_RETRY_S = 3
# Times that a cancellation is tried anew because an owner's progress was written first.
CANCEL_ATTEMPTS = 4


class Api:
    """What users, workers and the load balancer may ask of a controller."""

    def __init__(
        self,
        settings: Settings,
        policy: Policy,
        members: Members,
        store: Store,
        replica: Replica,
        job_store: JobStore,
        workers: Workers,
        split: Split,
        layout: JobLayout,
        types: Callable[[], dict[str, wire.MachineType]],
    ):
        self.layout = layout
        self.settings = settings
        self.policy = policy
        self.members = members
        self.store = store
        self.replica = replica
        self.job_store = job_store
        self.workers = workers
        self.split = split
        self.types = types
        # Users wait 2 s for a poll: an answer later than that helps nobody.
        self.confirmations = Confirmations(store, replica, min(1.5, policy.call_timeout * 1.5))
        self.acceptances = Acceptances(store, replica)
        self.line = WaitingLine(lambda id: id in job_store.jobs)
        self.nursery: trio.Nursery | None = None
        self.decided: Decided = ignore_decision  # filled in by the service

    async def serve(self, request: Request) -> Response:
        """Route a request that came over the public address."""
        path = request.path
        if path == "/v1/report":
            if request.method != "POST":
                return _error(405, "method", "use POST")
            return await self.workers.serve(request)
        if path == "/ready":
            # In an outage for all, final answers, reports and honest refusals still
            # work; a node cut off alone sends users to those that can do more.
            ready = (
                self.replica.seen >= 0
                and bool(self.types())
                and not self.cut_off()
                and not self.isolated()
            )
            return Response(200 if ready else 503, b"{}")
        if path.startswith("/api/jobs") and self.cut_off() and not self._is_final(path):
            answer = await self.members.forward(request)
            if answer is not None:
                return answer
        return await self.local(request)

    def _is_final(self, path: str) -> bool:
        """Whether the job that a path names is over, which our copy tells for certain."""
        job = self.job_store.jobs.get(path.removeprefix("/api/jobs/").removesuffix("/cancel"))
        return job is not None and not job.open

    def cut_off(self) -> bool:
        """Whether this node can't reach the store while a peer can."""
        return self.store.failing_since is not None and self.members.peer_with_store() is not None

    def isolated(self) -> bool:
        """Whether neither the store nor any peer has answered this node of late."""
        since = self.store.failing_since
        return (
            since is not None
            and trio.current_time() - since > self.policy.session_ttl
            and self.members.alone()
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
        if record.stage == job_records.DONE:
            view = wire.JobView(job.id, job_records.DONE, record.tasks, 0)
        elif record.stage == job_records.CANCELLED:
            view = wire.JobView(job.id, wire.WITHDRAWN, record.count, 0)
        else:
            done = 0 if job.service else job.finished.count + len(job.local)
            running = self.split.statuses.running(job.id)
            state = wire.RUNNING if running else wire.PENDING
            # A job whose last tasks are not durable yet is still running.
            view = wire.JobView(job.id, state, min(done, record.tasks), running)
        return Response(200, encode(view))

    async def poll(self, id: str, *, exists: bool = False) -> Response:
        """The state of a job; anything but a final state is confirmed first.

        `exists`: the store has just told that the job's record is there.
        """
        if not is_job_id(id):
            return _error(404, "ref", "unknown job")
        job = self.job_store.jobs.get(id)
        if job is not None and not job.open:
            return self._found(job, None)
        if self.isolated():
            return _busy("the state service doesn't answer", 1)
        outcome = await self.confirmations.confirm()
        if not isinstance(outcome, Confirmed):
            return _busy("the state can't be confirmed now", 1)
        job = self.job_store.jobs.get(id)
        if job is not None:
            return self._found(job, outcome)
        return self._unknown(id, outcome, exists=exists)

    def _unknown(self, id: str, confirmed: Confirmed, *, exists: bool = False) -> Response:
        """The answer for a job that the copy doesn't show: 404 only if it has no record."""
        if exists or self.replica.version(f"pt/jobs/{id}"):
            # There is a record that this node lacks or can't read, of a later version perhaps.
            return _busy("the state can't be confirmed now", 1)
        self.decided(Decision.UNKNOWN_JOB, id, Grounds(read=confirmed.read))
        return _error(404, "ref", "unknown job")

    def _found(self, job: Job, confirmed: Confirmed | None) -> Response:
        """The answer for a known job; without a confirmation, of a job that is over."""
        decision = Decision.FOUND if job.open else Decision.FOUND_OVER
        read = confirmed.read if confirmed is not None else None
        self.decided(decision, job.id, Grounds(version=job.version, read=read))
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
        writes = self.store.writes
        waiting = len(self.acceptances.waiting)  # for the commit under way
        wait = self.store.requests.wait_for(tokens.ACCEPTANCES)
        if not writes.wait_for(tokens.ACCEPTANCES, waiting + writes.burst * SPARE):
            return wait  # tokens would be lost while those who came earlier stay away
        # They may come back to any node: each takes its share of them.
        ahead = self.line.ahead_of(id) / max(1, len(self.members.alive))
        return max(wait, writes.wait_for(tokens.ACCEPTANCES, 1 + waiting + ahead))

    def _known(self, body: bytes) -> Job | None:
        id = id_of(body)
        return self.job_store.jobs.get(id) if id is not None else None

    async def _accepted_elsewhere(self, id: str) -> bool:
        outcome = await self.confirmations.confirm()
        return isinstance(outcome, Confirmed) and id in self.job_store.jobs

    async def _accept(self, spec: wire.JobSpec) -> Response:
        key = f"pt/jobs/{spec.id}"
        plan = await self._plan(spec)
        conditions = {key: 0}
        for _, _, part in plan.ranges:
            # Tasks given to a part of ours: only while it is ours, so that no
            # earlier owner can have started one of them.
            token = self.members.token(part)
            if token is not None:
                conditions[f"pt/parts/{part}"] = token
        record = Record(
            job_records.OPEN,
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
        await self.acceptances.commit(pending)
        took = trio.current_time() - at
        if took > self.policy.admit_wait:
            log.info(
                "slow acceptance job=%s took=%.2f tokens=%.2f behind=%d",
                spec.id,
                took,
                pending.sent_at - at,
                len(self.acceptances.waiting),
            )
        if key in pending.failed:
            return await self.poll(spec.id, exists=True)
        if pending.failed:
            return _busy("the owner has changed", 1)
        if pending.revision is None:
            log.info("not accepted job=%s cause=%s", spec.id, pending.cause)
            return _busy("the state service doesn't answer", 1)
        return Response(201, encode(wire.JobView(spec.id, wire.PENDING)))

    async def _write_first(self, changes: list[Write]) -> bool:
        """Write what a new job's record refers to; False if that can't be done now.

        The keys are found by their content: written again, or late, they say the same.
        """
        most = self.store.limits.txn_ops
        for start in range(0, len(changes), most):
            group = changes[start : start + most]
            try:
                revision = await self.store.commit({}, group, priority=tokens.ACCEPTANCES)
            except (Conflict, NoLease, StoreDown) as error:
                log.info("not accepted cause=%s", error)
                return False
            self.replica.own(group, revision)
        return True

    async def _plan(self, spec: wire.JobSpec) -> Plan:
        """Where the job goes: our own parts, else where the leader says."""
        plan = self.split.decide(spec)
        if plan.ranges or spec.kind == wire.GANG:
            return plan
        answer = await self.members.ask_split(spec)
        if answer is None:
            return plan
        return Plan(answer.ranges, answer.zone)

    # --- cancellation ---------------------------------------------------------------

    async def cancel(self, id: str) -> Response:
        """Cancel a job: committed before it is answered."""
        if not is_job_id(id):
            return _error(404, "ref", "unknown job")
        for _ in range(CANCEL_ATTEMPTS):
            job = self.job_store.jobs.get(id)
            if job is not None and not job.open:
                return self._found(job, None)
            if self.isolated():
                break
            if job is None:
                outcome = await self.confirmations.confirm()
                if not isinstance(outcome, Confirmed):
                    break
                if id not in self.job_store.jobs:
                    return self._unknown(id, outcome)
                continue
            try:
                await self._commit_cancellation(job)
                job = self.job_store.jobs[id]
                if not job.open:
                    return self._found(job, None)
            except Conflict:
                # The owners' progress came first: take it in and try again.
                if not isinstance(await self.confirmations.confirm(), Confirmed):
                    break
            except (NoLease, StoreDown):
                break
        return _busy("the cancellation can't be written now", 1)

    async def _commit_cancellation(self, job: Job) -> None:
        """Write that a job is cancelled, and tell the owners; raises what `Store.commit` does."""
        final = Record(job_records.CANCELLED, job.record.tasks, count=job.finished.count)
        change = Write(f"pt/jobs/{job.id}", encode(final))
        revision = await self.store.commit(
            {change.key: job.version}, [change], priority=tokens.COMPLETIONS
        )
        self.replica.own([change], revision)
        self.decided(Decision.CANCELLED, job.id, Grounds(version=revision))
        if self.nursery is not None:
            self.nursery.start_soon(
                self.members.tell_cancelled,
                Cancellation(job.id, revision, final.tasks, final.count),
            )


def _error(status: int, field: str, reason: str) -> Response:
    return Response(status, encode({"error": reason, "field": field}))


def _busy(reason: str, after: float) -> Response:
    """Refused at once, with an honest word on when to come back."""
    return Response(
        503, encode({"error": reason}), [("Retry-After", str(max(1, min(30, int(after)))))]
    )
