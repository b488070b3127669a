"""Job records: what was asked, the stage, task ranges per part, finished tasks.

One record per job lives at `jobs/<id>` in the state service. Its finished set is
a packed bitmap; where that would not fit the store's value limit it moves into
chunks at `fin/<id>/<n>`. The finished set only ever grows, so copies of any age
can be joined. Every write is conditional on the record's version and on the
writer's part (or on nothing else, for a user's cancellation).
"""

from __future__ import annotations

import base64
import bisect
import logging
from collections.abc import Callable, Iterable, Iterator
from typing import NamedTuple

import msgspec
import trio
from msgspec import Struct

from .. import tokens, wire
from ..replica import Replica
from ..store import Conflict, NoLease, Store, StoreDown, Write
from .decisions import Decided, Decision, Grounds, ignore_decision

log = logging.getLogger("jobs")

OPEN = "open"
DONE = "done"
CANCELLED = "withdrawn"


class TaskRange(NamedTuple):
    """Tasks of a job that a part has; stored as an array of three."""

    first: int
    end: int  # not included
    part: int

    @property
    def tasks(self) -> int:
        """How many tasks these are."""
        return self.end - self.first


class Record(Struct, omit_defaults=True):
    """A job as the state service keeps it."""

    stage: str
    tasks: int
    spec: wire.JobSpec | None = None  # dropped once the job is over
    at: float = 0.0  # time of day of acceptance
    ranges: list[TaskRange] = msgspec.field(default_factory=list)
    finished: str = ""
    zone: str | None = None  # for one-zone jobs, fixed before the first start
    attempt: int = 0  # for gangs over several parts: the attempt all of them start
    caps: list[tuple[int, str, int]] = msgspec.field(default_factory=list)  # see `split`
    count: int = 0  # tasks done when a job was cancelled


_decode_record = msgspec.json.Decoder(Record).decode
_decode_text = msgspec.json.Decoder(str).decode
encode = msgspec.json.encode


class Bits:
    """A set of small integers, packed."""

    __slots__ = ("count", "data", "size")

    def __init__(self, size: int):
        self.size = size
        self.data = bytearray((size + 7) // 8)
        self.count = 0

    def __contains__(self, index: int) -> bool:
        return bool(self.data[index >> 3] & (1 << (index & 7)))

    def add(self, index: int) -> bool:
        """Add a member; False if it was one already."""
        if index in self:
            return False
        self.data[index >> 3] |= 1 << (index & 7)
        self.count += 1
        return True

    def join(self, data: bytes, offset: int = 0) -> None:
        """Add a bitmap that starts at the byte `offset`."""
        for i, byte in enumerate(data[: len(self.data) - offset], offset):
            new = byte & ~self.data[i]
            if new:
                self.data[i] |= new
                self.count += new.bit_count()

    def text(self, first: int = 0, size: int | None = None) -> str:
        """The set, or a stretch of its bytes, as text."""
        end = None if size is None else first + size
        return base64.b64encode(bytes(self.data[first:end])).decode()


class Job:
    """One job as this node knows it."""

    __slots__ = ("awaited", "chunk", "finished", "flushed_at", "id", "local", "record", "version")

    def __init__(self, id: str, record: Record, version: int, chunk: int):
        self.id = id
        self.record = record
        self.version = version
        self.chunk = chunk  # tasks in one chunk of the finished set
        self.finished = Bits(record.tasks if record.stage == OPEN else 0)  # durable
        self.local: set[int] = set()  # finished, known here, not durable yet
        self.flushed_at = trio.current_time()
        self.awaited = False  # others wait for what is known here

    @property
    def spec(self) -> wire.JobSpec:
        """What was submitted; only while the job is open."""
        assert self.record.spec is not None
        return self.record.spec

    @property
    def open(self) -> bool:
        """Whether the job is neither done nor cancelled."""
        return self.record.stage == OPEN

    @property
    def chunked(self) -> bool:
        """Whether its finished tasks are kept apart from its record."""
        return self.record.tasks > self.chunk

    @property
    def complete(self) -> bool:
        """Whether every task is done, as far as this node knows."""
        return self.open and self.finished.count + len(self.local) >= self.record.tasks

    def is_finished(self, task: int) -> bool:
        """Whether a task is done, durably or not yet."""
        return not self.open or task in self.finished or task in self.local


Watcher = Callable[[Job, "Record | None"], None]


class JobStore:
    """All jobs, followed from the store, and the loop that writes progress."""

    def __init__(
        self,
        store: Store,
        replica: Replica,
        guard: Callable[[int], int | None],
        period: float,
    ):
        self.store = store
        self.replica = replica
        self.guard = guard  # part -> this node's token for it, or None
        self.period = period
        self.jobs: dict[str, Job] = {}
        self.open: dict[str, Job] = {}
        self.watchers: list[Watcher] = []
        self.dirty: set[str] = set()
        self.wake = trio.Event()
        # Filled in by the service: whether users wait whose submissions were refused.
        self.submissions_wait: Callable[[], bool] = lambda: False
        self.decided: Decided = ignore_decision
        self.cancelled: list[tuple[int, str]] = []  # (version, id) of every one, in that order
        self.early: dict[str, list[tuple[str, bytes]]] = {}  # chunks read before their record
        # base64 turns 3 bytes into 4; half the value is left for the rest.
        self.chunk = int(store.limits.value_kb * 1024 * 8 * 3 / 4 / 2) // 8 * 8
        replica.listen("jobs/", self._on_record)
        replica.listen("fin/", self._on_chunk)

    # --- following -----------------------------------------------------

    def _on_record(self, id: str, value: bytes | None, version: int) -> None:
        if value is None:
            return  # job records are never removed
        record = _decode_record(value)
        job = self.jobs.get(id)
        if job is None:
            job = self.jobs[id] = Job(id, record, version, self.chunk)
            old = None
        else:
            old = job.record
            job.record, job.version = record, version
        if record.stage == OPEN:
            self.open[id] = job
            if record.finished:
                job.finished.join(base64.b64decode(record.finished))
            for number, value in self.early.pop(id, ()):
                self._join_chunk(job, number, value)
            self._settle_local(job)
        else:
            self.open.pop(id, None)
            self.dirty.discard(id)
            job.finished = Bits(0)
            job.local.clear()
            if record.stage == CANCELLED and (old is None or old.stage == OPEN):
                bisect.insort(self.cancelled, (version, id))
        for watcher in self.watchers:
            watcher(job, old)

    def _on_chunk(self, key: str, value: bytes | None, version: int) -> None:
        id, _, number = key.partition("/")
        job = self.jobs.get(id)
        if value is None:
            return
        if job is None:
            # A full read comes in key order, and `fin/` sorts before `jobs/`.
            self.early.setdefault(id, []).append((number, value))
        elif job.open:
            self._join_chunk(job, number, value)
            self._settle_local(job)

    def cancelled_after(self, revision: int) -> list[tuple[str, int, int, int]]:
        """Every cancellation that a copy of that revision can't show: (id, version, tasks, done).

        By version, not by when we heard of it: a peer may have been deaf for any time.
        """
        first = bisect.bisect_right(self.cancelled, (revision + 1, ""))
        return [
            (id, version, record.tasks, record.count)
            for version, id in self.cancelled[first:]
            if (record := self.jobs[id].record).stage == CANCELLED
        ]

    def learn_cancelled(self, id: str, version: int, tasks: int, done: int) -> None:
        """A peer tells of a committed cancellation, perhaps before the watch shows it.

        Into the copy with it, as the watch would put it there: whatever asks about the job
        from now on, a part that is loaded or settled later too, finds it over.
        """
        final = Record(CANCELLED, tasks, count=done)
        self.replica.learn(f"pt/jobs/{id}", encode(final), version)

    @staticmethod
    def _join_chunk(job: Job, number: str, value: bytes) -> None:
        job.finished.join(base64.b64decode(_decode_text(value)), int(number) * job.chunk // 8)

    def _settle_local(self, job: Job) -> None:
        if job.local:
            job.local = {t for t in job.local if t not in job.finished}
        if job.local or job.complete:
            self.dirty.add(job.id)

    # --- what the owner of a range says ----------------------------------

    def task_done(self, job: Job, task: int, urgent: bool) -> None:
        """A worker has reported a task done."""
        if job.is_finished(task):
            return
        job.local.add(task)
        self.dirty.add(job.id)
        if urgent or job.complete:
            job.awaited = True
            self.wake.set()

    # --- writing -----------------------------------------------------------

    def writable_part(self, job: Job) -> tuple[int, int] | None:
        """A part of the job's that this node owns, with its token."""
        for _, _, part in job.record.ranges:
            token = self.guard(part)
            if token is not None:
                return part, token
        return None

    def _changes(self, job: Job) -> Iterator[Write]:
        """The writes that make this job's local knowledge durable."""
        record = job.record
        if job.complete:
            final = Record(DONE, record.tasks)
            yield Write(f"pt/jobs/{job.id}", encode(final))
            if job.chunked:
                prefix = f"pt/fin/{job.id}/"
                for key in [k for k in self.replica.versions if k.startswith(prefix)]:
                    yield Write(key, None)
            return
        joined = Bits(record.tasks)
        joined.join(bytes(job.finished.data))
        for task in job.local:
            joined.add(task)
        if not job.chunked:
            yield Write(
                f"pt/jobs/{job.id}",
                encode(msgspec.structs.replace(record, finished=joined.text())),
            )
            return
        for number in sorted({task // job.chunk for task in job.local}):
            first = number * job.chunk // 8
            text = joined.text(first, job.chunk // 8)
            yield Write(f"pt/fin/{job.id}/{number}", encode(text))

    async def run(self) -> None:
        """Write what is due, again and again."""
        while True:
            with trio.move_on_after(0.25):
                await self.wake.wait()
            self.wake = trio.Event()
            # Several completions often come together: a moment's wait batches them.
            await trio.sleep(0.02)
            try:
                await self._flush()
            except StoreDown as error:
                log.debug("progress not written: %s", error)
                await trio.sleep(0.25)

    def _due(self) -> tuple[list[Job], list[Job], list[Job]]:
        """Jobs to write: those that are over, what other parts wait for, the rest."""
        now = trio.current_time()
        over, urgent, later = [], [], []
        for id in list(self.dirty):
            job = self.jobs[id]
            if not job.open or not (job.local or job.complete):
                self.dirty.discard(id)
            elif self.writable_part(job) is None:
                # Another owner will learn of these tasks from the workers' reports.
                continue
            elif job.complete:
                over.append(job)
            elif job.awaited or (
                # Under a flood progress comes last, but not never: workers go on
                # reporting ended tasks until these are durable, a new owner too. So
                # nothing is lost meanwhile, only reports grow.
                now - job.flushed_at >= self.period * 12
            ):
                urgent.append(job)
            elif now - job.flushed_at >= self.period:
                later.append(job)
        return over, urgent, later

    async def _flush(self) -> None:
        over, urgent, later = self._due()
        burst = self.store.writes.burst
        first, most_first = tokens.COMPLETIONS, burst
        if self.submissions_wait():
            # After an outage completions have piled up as well. They are late already, while
            # users whose submissions are refused give up before long: both get their share.
            first, most_first = tokens.ACCEPTANCES, burst / 2
        for jobs, priority, most in (
            (over, first, most_first),
            (urgent, tokens.ACCEPTANCES, burst / 2),
            # Progress takes no more at once than leaves the next submission its tokens.
            (later, tokens.PROGRESS, burst / 2),
        ):
            batch: list[Job] = []
            size = 0
            for job in jobs:
                cost = len(list(self._changes(job)))
                if batch and size + cost > min(self.store.limits.txn_ops, most):
                    await self._write(batch, priority)
                    batch, size = [], 0
                batch.append(job)
                size += cost
            if batch:
                await self._write(batch, priority)

    async def _write(self, jobs: list[Job], priority: int) -> None:
        conditions: dict[str, int] = {}
        changes: list[Write] = []
        kept: list[Job] = []
        for job in jobs:
            part = self.writable_part(job)
            if part is None or not job.open:
                continue
            conditions[f"pt/parts/{part[0]}"] = part[1]
            conditions[f"pt/jobs/{job.id}"] = job.version
            mine = list(self._changes(job))
            for change in mine:
                # Chunks are written by several owners: each must join the latest.
                conditions[change.key] = self.replica.version(change.key)
            changes += mine
            kept.append(job)
        if not kept:
            return
        if not await self.commit(conditions, changes, priority=priority):
            return  # whoever waits for it still does
        now = trio.current_time()
        for job in kept:
            job.flushed_at = now
            job.awaited = False
            if job.record.stage == DONE:
                self.decided(Decision.DONE, job.id, Grounds(version=job.version))

    async def commit(
        self, conditions: dict[str, int], changes: list[Write], *, priority: int
    ) -> bool:
        """Commit and apply to the copy; False if a condition failed.

        After a conflict the copy is brought up to date before anyone tries again:
        the usual cause is another owner's write that the watch has yet to show.
        """
        try:
            revision = await self.store.commit(conditions, changes, priority=priority)
        except Conflict as conflict:
            log.debug("conflict on %s", conflict)
            await self.replica.refresh()
            return False
        except NoLease:
            return False
        self.replica.own(changes, revision)
        return True


def merge(ranges: Iterable[tuple[int, int, int]]) -> list[TaskRange]:
    """Sorted ranges with neighbours of the same part joined."""
    out: list[TaskRange] = []
    for first, end, part in sorted(ranges):
        if first >= end:
            continue
        if out and out[-1].part == part and out[-1].end == first:
            out[-1] = TaskRange(out[-1].first, end, part)
        else:
            out.append(TaskRange(first, end, part))
    return out
