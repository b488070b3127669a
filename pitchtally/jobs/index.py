"""All jobs, followed from the state store, and commits of their records.

One record per job lives at `jobs/<id>`. Its finished set is a packed bitmap; where that
would not fit a value it stands in keys of its own (`formats.finished_tasks`). The finished set
only ever grows, so copies of any age can be joined. Every write is conditional on the
record's version and on the writer's part (or on nothing else, for a user's cancellation).
"""

from __future__ import annotations

import bisect
import logging
from collections.abc import Callable
from dataclasses import dataclass

import msgspec
import trio

from ..formats import text_chunks
from ..formats.gate import FormatGate
from ..formats.text_chunks import TextRef
from ..protocol import user_api
from ..state_store import keys
from ..state_store.client import StateStoreClient, Write
from ..state_store.errors import CompareFailed, LeaseExpired
from ..state_store.rate_limits import Priority
from ..state_store.replica import Replica
from .job_record import CANCELLED, OPEN, JobRecord, decode_record, decode_spec, encode
from .task_bitmap import TaskBitmap

log = logging.getLogger("jobs")

_decode_text = msgspec.json.Decoder(str).decode


class Job:
    """One job as this node knows it."""

    __slots__ = (
        "awaited",
        "finished",
        "flushed_at",
        "id",
        "legacy_chunk_tasks",
        "local",
        "record",
        "stored_bytes",
        "version",
    )

    def __init__(self, id: str, record: JobRecord, version: int, legacy_chunk_tasks: int):
        self.id = id
        self.record = record
        self.version = version
        self.legacy_chunk_tasks = legacy_chunk_tasks  # of a record in the layout of 0.5.1
        self.stored_bytes = 0  # of the record, as the store holds it
        self.finished = TaskBitmap(record.tasks if record.stage == OPEN else 0)  # durable
        self.local: set[int] = set()  # finished, known here, not durable yet
        self.flushed_at = trio.current_time()
        self.awaited = False  # others wait for what is known here

    @property
    def spec(self) -> user_api.JobSpec:
        """What was submitted; only while the job is open."""
        assert self.record.spec is not None
        return self.record.spec

    @property
    def open(self) -> bool:
        """Whether the job is neither done nor cancelled."""
        return self.record.stage == OPEN

    @property
    def service(self) -> bool:
        """Whether its tasks run until its user cancels it: none of them is ever done."""
        return self.open and self.spec.is_service

    @property
    def chunk_tasks(self) -> int:
        """Tasks in each key of its finished set; 0 if that is in its record."""
        if self.record.chunk_tasks:
            return self.record.chunk_tasks
        if self.service or self.record.tasks <= self.legacy_chunk_tasks:
            return 0
        return self.legacy_chunk_tasks

    @property
    def complete(self) -> bool:
        """Whether every task is done, as far as this node knows."""
        if not self.open or self.service:
            return False
        return self.finished.count + len(self.local) >= self.record.tasks

    def is_finished(self, task: int) -> bool:
        """Whether a task is done, durably or not yet; a service's replica never is."""
        return not self.open or task in self.finished or task in self.local

    def current_record(self) -> JobRecord:
        """The record with all that is known to be durable: what a rewrite of it holds."""
        if not self.open or self.chunk_tasks or self.service:
            return self.record
        return msgspec.structs.replace(self.record, finished=self.finished.text())


Watcher = Callable[[Job, "JobRecord | None"], None]


@dataclass(frozen=True, slots=True)
class StoredBits:
    """A stretch of a job's finished set, read before the job's record."""

    prefix: str
    number: int
    text: str


class JobIndex:
    """All jobs, followed from the store."""

    def __init__(
        self,
        state_store: StateStoreClient,
        replica: Replica,
        gate: FormatGate,
        guard: Callable[[int], int | None],
    ):
        self.state_store = state_store
        self.replica = replica
        self.gate = gate
        self.guard = guard  # part -> this node's token for it, or None
        self.jobs: dict[str, Job] = {}
        self.open: dict[str, Job] = {}
        self.watchers: list[Watcher] = []
        self.dirty: set[str] = set()
        self.wake = trio.Event()  # something is to be written at once
        self.cancelled: list[tuple[int, str]] = []  # (version, id) of every one, in that order
        self.early: dict[str, list[StoredBits]] = {}  # read before their record
        self.early_records: dict[str, tuple[JobRecord, int, int]] = {}  # read before their spec
        self.texts: dict[str, dict[tuple[str, int], str]] = {}  # job -> pieces of its spec
        # Keys that a job has besides its record; they outlive it for a while.
        self.extra_keys: dict[str, set[str]] = {}
        replica.listen(keys.JOB_PREFIX, self._on_record)
        replica.listen(keys.LEGACY_FINISHED_PREFIX, self._on_legacy_bits)
        replica.listen(keys.FINISHED_PREFIX, self._on_bits)
        replica.listen(keys.TEXT_PREFIX, self._on_piece)

    # --- following -----------------------------------------------------

    def _on_record(self, id: str, value: bytes | None, version: int) -> None:
        if value is None:
            return  # job records are never removed
        record = decode_record(value)
        if record.stage == OPEN and record.spec is None and record.spec_text is not None:
            self.early_records[id] = (record, version, len(value))
            self._try_early_record(id)
            return
        self.early_records.pop(id, None)
        self._take_record(id, record, version, len(value))

    def _try_early_record(self, id: str) -> None:
        """Take in a record once all of its spec has been read."""
        record, version, size = self.early_records[id]
        assert record.spec_text is not None
        text = text_chunks.join(TextRef(*record.spec_text), self.texts.get(id, {}))
        if text is None:
            return
        del self.early_records[id]
        record.spec = decode_spec(text)
        self._take_record(id, record, version, size)

    def _take_record(self, id: str, record: JobRecord, version: int, size: int) -> None:
        job = self.jobs.get(id)
        if job is None:
            job = self.jobs[id] = Job(id, record, version, self.gate.legacy_chunk_tasks)
            old = None
        else:
            old = job.record
            job.record, job.version = record, version
        job.stored_bytes = size
        if record.stage == OPEN:
            self.open[id] = job
            if record.finished and not job.service:
                job.finished.join_text(record.finished)
            for bits in self.early.pop(id, ()):
                self._join(job, bits)
            self._settle_local(job)
        else:
            self.open.pop(id, None)
            self.dirty.discard(id)
            self.texts.pop(id, None)
            self.early.pop(id, None)
            job.finished = TaskBitmap(0)
            job.local.clear()
            if record.stage == CANCELLED and (old is None or old.stage == OPEN):
                bisect.insort(self.cancelled, (version, id))
        for watcher in self.watchers:
            watcher(job, old)

    def _on_legacy_bits(self, key: str, value: bytes | None, version: int) -> None:
        self._take_bits(keys.LEGACY_FINISHED_PREFIX, key, value)

    def _on_bits(self, key: str, value: bytes | None, version: int) -> None:
        self._take_bits(keys.FINISHED_PREFIX, key, value)

    def _take_bits(self, prefix: str, key: str, value: bytes | None) -> None:
        id, number = keys.parse_finished_tasks(key)
        self._note_extra_key(id, keys.absolute(prefix, key), present=value is not None)
        if value is None:
            return
        job = self.jobs.get(id)
        bits = StoredBits(prefix, number, _decode_text(value))
        if job is None:
            # A full read comes in key order: these sort before `jobs/`.
            self.early.setdefault(id, []).append(bits)
        elif job.open:
            self._join(job, bits)
            self._settle_local(job)

    def _on_piece(self, key: str, value: bytes | None, version: int) -> None:
        id, digest, number = keys.parse_text_chunk(key)
        self._note_extra_key(id, keys.absolute(keys.TEXT_PREFIX, key), present=value is not None)
        texts = self.texts.setdefault(id, {})
        if value is None:
            texts.pop((digest, number), None)
            return
        texts[(digest, number)] = _decode_text(value)
        if id in self.early_records:
            self._try_early_record(id)

    def _note_extra_key(self, id: str, key: str, *, present: bool) -> None:
        present_keys = self.extra_keys.setdefault(id, set())
        if present:
            present_keys.add(key)
            return
        present_keys.discard(key)
        if not present_keys:
            del self.extra_keys[id]

    @staticmethod
    def _join(job: Job, bits: StoredBits) -> None:
        first = bits.number
        if bits.prefix == keys.LEGACY_FINISHED_PREFIX:
            first *= job.legacy_chunk_tasks
        job.finished.join_text(bits.text, first)

    def _settle_local(self, job: Job) -> None:
        if job.local:
            job.local = {t for t in job.local if t not in job.finished}
        if job.local or job.complete:
            self.dirty.add(job.id)

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
        from now on, a shard that is loaded or settled later too, finds it over.
        """
        final = JobRecord(CANCELLED, tasks, count=done)
        self.replica.learn(keys.job(id), encode(final), version)

    # --- what the leader of a range says ----------------------------------

    def task_done(self, job: Job, task: int, urgent: bool) -> None:
        """An agent has reported a task done."""
        if job.is_finished(task):
            return
        job.local.add(task)
        self.dirty.add(job.id)
        if urgent or job.complete:
            job.awaited = True
            self.wake.set()

    # --- writing -----------------------------------------------------------

    def writable_shard(self, job: Job) -> tuple[int, int] | None:
        """A part of the job's that this node owns, with its token."""
        for _, _, shard in job.record.ranges:
            token = self.guard(shard)
            if token is not None:
                return shard, token
        return None

    async def commit(
        self, conditions: dict[str, int], changes: list[Write], *, priority: Priority
    ) -> bool:
        """Commit and apply to the copy; False if a condition failed.

        After a conflict the copy is brought up to date before anyone tries again:
        the usual cause is another leader's write that the watch has yet to show.
        """
        try:
            revision = await self.state_store.commit(conditions, changes, priority=priority)
        except CompareFailed as conflict:
            log.debug("conflict on %s", conflict)
            await self.replica.refresh()
            return False
        except LeaseExpired:
            return False
        self.replica.apply_own_commit(changes, revision)
        return True
