"""Users' requests: validation, acceptance in one commit, certified answers.

An answer that isn't final is certified: the store is asked for its revision and
the copy has to have reached it. One such read serves every request waiting.
"""

from __future__ import annotations

import logging
import math
import re
import time
from collections.abc import Callable

import msgspec
import trio

from .. import tokens, wire
from ..http import Request, Response
from ..policy import Policy
from ..settings import Settings
from ..store import Conflict, NoLease, Replica, Store, StoreDown, Write
from . import jobs
from .jobs import Book, Job, Record
from .machines import need_of
from .members import Cancellation, Members
from .rooms import Plan, fits
from .split import Split
from .workers import Workers

log = logging.getLogger("api")

encode = msgspec.json.encode

_ID = re.compile(r"wk-[0-9]{1,18}")
_BODY_MAX_TASKS = 100_000


class Invalid(Exception):
    """A request that can't be right: the status, and a reason that names the field."""

    def __init__(self, status: int, field: str, reason: str):
        super().__init__(f"{field}: {reason}")
        self.status = status


_NAMES = {f.name: f.encode_name for f in msgspec.structs.fields(wire.JobSpec)}
_OPTIONAL = {"types", "zone", "deadline"}
_AMOUNTS = ("cpus", "gpus", "memory", "image_gb", "estimate", "checkpoint", "save")


def parse_job(body: bytes) -> wire.JobSpec:
    """A submission as a checked spec; Invalid with 400 otherwise."""
    try:
        raw = msgspec.json.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise Invalid(400, "body", f"not JSON: {error}") from None
    if not isinstance(raw, dict):
        raise Invalid(400, "body", "not an object")
    for name, field in _NAMES.items():
        if name not in _OPTIONAL and raw.get(field) is None:
            raise Invalid(400, field, "missing")
    for name in _AMOUNTS:
        if isinstance(raw[_NAMES[name]], bool):
            raise Invalid(400, _NAMES[name], "not a number")
    try:
        spec = msgspec.convert(raw, wire.JobSpec)
    except msgspec.ValidationError as error:
        text = str(error)
        at = re.search(r"\$\.(\w+)", text)
        raise Invalid(400, at.group(1) if at else "body", text) from None
    if not _ID.fullmatch(spec.id):
        raise Invalid(400, _NAMES["id"], "not of the form wk-000412")
    if spec.kind not in (wire.ARRAY, wire.GANG, wire.SERVICE):
        raise Invalid(400, _NAMES["kind"], "unknown kind")
    if spec.rank not in wire.RANKS:
        raise Invalid(400, _NAMES["rank"], "unknown priority")
    if not 1 <= spec.tasks <= _BODY_MAX_TASKS:
        raise Invalid(400, _NAMES["tasks"], "must be 1 to 100000")
    for name in (*_AMOUNTS, "deadline"):
        value = getattr(spec, name)
        if value is not None and not (0 <= value < 1e9 and math.isfinite(value)):
            raise Invalid(400, _NAMES[name], "out of range")
    for name in ("job_class", "team", "image"):
        if len(getattr(spec, name)) > 200:
            raise Invalid(400, _NAMES[name], "too long")
    if spec.types is not None and (len(spec.types) > 100 or any(len(t) > 100 for t in spec.types)):
        raise Invalid(400, _NAMES["types"], "too long")
    return spec


def check_runnable(
    spec: wire.JobSpec, settings: Settings, types: dict[str, wire.MachineType]
) -> None:
    """Invalid with 422 for a job that can never run."""
    team = next((t for t in settings.deployment.teams if t.name == spec.team), None)
    if team is None:
        raise Invalid(422, _NAMES["team"], "unknown team")
    able = [
        t
        for t in types.values()
        if (spec.types is None or t.name in spec.types)
        and fits(need_of(spec), (t.cpus, t.gpus, t.memory))
        and (spec.zone is None or spec.zone in t.zones)
    ]
    if not able:
        raise Invalid(422, _NAMES["types"], "a task fits no allowed machine type")
    at_once = spec.tasks if spec.kind == wire.GANG else 1
    for name, need, limit in (
        ("cpus", spec.cpus, team.cpus_max),
        ("gpus", spec.gpus, team.gpus_max),
    ):
        if limit > 0 and need * at_once > limit + 1e-6:
            raise Invalid(422, _NAMES[name], "over the team's limit")


# One read of the revision for as many requests that the store would take meanwhile: with
# polls coming all the time, a fifth of this node's share.
_CERTIFY = 5.0


class Certifier:
    """Brings the copy up to the store's present; one read for all that wait."""

    def __init__(self, store: Store, replica: Replica, timeout: float):
        self.store = store
        self.replica = replica
        self.timeout = timeout
        self.waiting: list[trio.Event] = []
        self.results: dict[int, bool] = {}
        self.wake = trio.Event()

    async def certify(self) -> bool:
        event = trio.Event()
        self.waiting.append(event)
        self.wake.set()
        with trio.move_on_after(self.timeout):
            await event.wait()
            return self.results.pop(id(event), False)
        if event in self.waiting:
            self.waiting.remove(event)
        return self.results.pop(id(event), False)

    async def run(self) -> None:
        while True:
            await self.wake.wait()
            self.wake = trio.Event()
            batch, self.waiting = self.waiting, []
            if not batch:
                continue
            good = False
            try:
                revision = await self.store.revision()
                good = await self.replica.catch_up(revision, self.timeout)
            except StoreDown as error:
                log.debug("certify: %s", error)
            for event in batch:
                self.results[id(event)] = good
                event.set()
            # A read serves all that wait: it may take a share of the requests, no more,
            # and leaves the rest to commits.
            await trio.sleep(_CERTIFY / self.store.requests.rate)


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
        self.revision, self.failed, self.cause = revision, failed, cause
        self.over.set()


class Acceptances:
    """Commits submissions; those that wait while a commit is under way share the next."""

    # Loops, so that one commit without an answer doesn't hold up all that follow.
    LOOPS = 3
    # Of the 64 KiB that a transaction may hold.
    BYTES = 40 * 1024

    def __init__(self, store: Store, replica: Replica):
        self.store = store
        self.replica = replica
        self.waiting: list[Pending] = []
        self.wake = trio.Event()

    async def commit(self, pending: Pending) -> None:
        self.waiting.append(pending)
        self.wake.set()
        await pending.over.wait()

    def _batch(self) -> list[Pending]:
        batch: list[Pending] = []
        size = 0
        for pending in list(self.waiting):
            size += len(pending.change.value or b"") + 300
            if len(batch) >= self.store.limits.txn_ops or (
                batch and (size > self.BYTES or len(batch) >= self.store.writes.burst)
            ):
                break
            # A repeat of an id goes alone, so that its condition can fail.
            if all(other.key != pending.key for other in batch):
                batch.append(pending)
        self.waiting = [p for p in self.waiting if p not in batch]
        return batch

    async def run(self) -> None:
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

            revision = await self.store.commit(
                conditions, [p.change for p in batch], priority=tokens.ACCEPTANCES, on_sent=sent
            )
        except Conflict as conflict:
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
        except (NoLease, StoreDown) as error:
            for pending in batch:
                pending.end(None, [], str(error) or "no lease")
        else:
            self.replica.own([p.change for p in batch], revision)
            for pending in batch:
                pending.end(revision, [])


class Api:
    def __init__(
        self,
        settings: Settings,
        policy: Policy,
        members: Members,
        store: Store,
        replica: Replica,
        book: Book,
        workers: Workers,
        split: Split,
        types: Callable[[], dict[str, wire.MachineType]],
    ):
        self.settings = settings
        self.policy = policy
        self.members = members
        self.store = store
        self.replica = replica
        self.book = book
        self.workers = workers
        self.split = split
        self.types = types
        # Users wait 2 s for a poll: an answer later than that helps nobody.
        self.certifier = Certifier(store, replica, min(1.5, policy.call_timeout * 1.5))
        self.acceptances = Acceptances(store, replica)
        self.nursery: trio.Nursery | None = None

    async def serve(self, request: Request) -> Response:
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
        if path.startswith("/api/jobs") and self.cut_off():
            answer = await self.members.forward(request)
            if answer is not None:
                return answer
        return await self.local(request)

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
        record = job.record
        if record.stage == jobs.DONE:
            view = wire.JobView(job.id, jobs.DONE, record.tasks, 0)
        elif record.stage == jobs.CANCELLED:
            view = wire.JobView(job.id, wire.WITHDRAWN, record.count, 0)
        else:
            done = job.finished.count + len(job.local)
            running = self.split.notes.running(job.id)
            state = wire.RUNNING if running else wire.PENDING
            # A job whose last tasks are not durable yet is still running.
            view = wire.JobView(job.id, state, min(done, record.tasks), running)
        return Response(200, encode(view))

    async def poll(self, id: str) -> Response:
        if not _ID.fullmatch(id):
            return _error(404, "ref", "unknown job")
        job = self.book.jobs.get(id)
        if job is not None and not job.open:
            return self.view(job)
        if self.isolated() or not await self.certifier.certify():
            return _busy("the state can't be confirmed now", 1)
        job = self.book.jobs.get(id)
        return self.view(job) if job is not None else _error(404, "ref", "unknown job")

    # --- submission --------------------------------------------------------------

    async def submit(self, body: bytes) -> Response:
        # A known id gets its state whatever the repeat's body says.
        known = self._known(body)
        if known is not None:
            return await self.poll(known.id)
        try:
            spec = parse_job(body)
        except Invalid as error:
            # The id may have been accepted by another node a moment ago.
            id = _id_of(body)
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
        wait = max(
            # Those that wait for the commit under way come first.
            self.store.writes.wait_for(tokens.ACCEPTANCES, 1 + len(self.acceptances.waiting)),
            self.store.requests.wait_for(tokens.ACCEPTANCES),
        )
        if wait > self.policy.admit_wait:
            log.info("refused job=%s cause=tokens wait=%.1f", spec.id, wait)
            return _busy("more is asked than can be written", math.ceil(wait))
        return await self._accept(spec)

    def _known(self, body: bytes) -> Job | None:
        id = _id_of(body)
        return self.book.jobs.get(id) if id is not None else None

    async def _accepted_elsewhere(self, id: str) -> bool:
        return await self.certifier.certify() and id in self.book.jobs

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
            jobs.OPEN,
            spec.tasks,
            spec,
            round(time.time(), 3),
            plan.ranges,
            zone=plan.zone,
            attempt=plan.attempt,
            caps=plan.caps,
        )
        change = Write(key, encode(record))
        if len(change.value or b"") > self.store.limits.value_kb * 1024:
            return _error(400, "body", "too large to keep")
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
            return await self.poll(spec.id)
        if pending.failed:
            return _busy("the owner has changed", 1)
        if pending.revision is None:
            log.info("not accepted job=%s cause=%s", spec.id, pending.cause)
            return _busy("the state service doesn't answer", 1)
        return Response(201, encode(wire.JobView(spec.id, wire.PENDING)))

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
        if not _ID.fullmatch(id):
            return _error(404, "ref", "unknown job")
        for _ in range(4):
            job = self.book.jobs.get(id)
            if job is None or job.open:
                if self.isolated():
                    break
                if job is None:
                    if not await self.certifier.certify():
                        return _busy("the state can't be confirmed now", 1)
                    job = self.book.jobs.get(id)
                    if job is None:
                        return _error(404, "ref", "unknown job")
                    continue
                final = Record(jobs.CANCELLED, job.record.tasks, count=job.finished.count)
                change = Write(f"pt/jobs/{id}", encode(final))
                try:
                    revision = await self.store.commit(
                        {change.key: job.version}, [change], priority=tokens.COMPLETIONS
                    )
                except Conflict:
                    # The owners' progress came first: take it in and try again.
                    if not await self.certifier.certify():
                        break
                    continue
                except (NoLease, StoreDown):
                    break
                self.replica.own([change], revision)
                if self.nursery is not None:
                    self.nursery.start_soon(
                        self.members.tell_cancelled,
                        Cancellation(id, revision, final.tasks, final.count),
                    )
                job = self.book.jobs[id]
            if not job.open:
                return self.view(job)
        return _busy("the cancellation can't be written now", 1)


def _id_of(body: bytes) -> str | None:
    class Id(msgspec.Struct):
        id: str = msgspec.field(name=_NAMES["id"])

    try:
        found = msgspec.json.decode(body, type=Id).id
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return None
    return found if _ID.fullmatch(found) else None


def _error(status: int, field: str, reason: str) -> Response:
    return Response(status, encode({"error": reason, "field": field}))


def _busy(reason: str, after: float) -> Response:
    """Refused at once, with an honest word on when to come back."""
    return Response(
        503, encode({"error": reason}), [("Retry-After", str(max(1, min(30, int(after)))))]
    )
