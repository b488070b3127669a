"""The index of all jobs, kept up to date from the state store.

Each job has one record, at `jobs/<id>`. Its finished tasks are a packed bitmap; a bitmap that
would not fit into the record's value is stored in keys of its own (`formats.finished_tasks`). The
set of finished tasks only grows, so copies of any age can be merged.
"""

from __future__ import annotations

import bisect
from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

import msgspec
import trio

from ..formats import text_chunks
from ..formats.gate import FormatGate
from ..formats.text_chunks import ChunkId, TextRef
from ..protocol import user_api
from ..state_store import keys
from ..state_store.replica import Replica
from .job_record import CANCELLED, OPEN, JobRecord, decode_record, decode_spec, encode
from .task_bitmap import TaskBitmap
from .unwritten_progress import UnwrittenProgress

_decode_text = msgspec.json.Decoder(str).decode


class Job:
    """A job: its record, and the progress that this node has received."""

    __slots__ = (
        "finished",
        "flushed_at",
        "id",
        "legacy_chunk_tasks",
        "record",
        "stored_bytes",
        "unwritten_tasks",
        "version",
        "write_urgent",
    )

    def __init__(self, id: str, record: JobRecord, version: int, legacy_chunk_tasks: int):
        self.id = id
        self.record = record
        self.version = version
        self.legacy_chunk_tasks = legacy_chunk_tasks  # tasks per chunk in the layout of 0.5.1
        self.stored_bytes = 0  # size of the record in the store
        self.finished = TaskBitmap(record.tasks if record.stage == OPEN else 0)  # durable
        self.unwritten_tasks: set[int] = set()  # reported finished to this node, not durable yet
        self.flushed_at = trio.current_time()
        self.write_urgent = False  # whether users or other shards wait for them

    @property
    def spec(self) -> user_api.JobSpec:
        """The submitted spec; available only while the job is open."""
        assert self.record.spec is not None
        return self.record.spec

    @property
    def open(self) -> bool:
        """Whether the job is neither done nor cancelled."""
        return self.record.stage == OPEN

    @property
    def is_open_service(self) -> bool:
        """Whether the job is an open service, whose tasks run until the user cancels the job."""
        return self.open and self.spec.is_service

    @property
    def chunk_tasks(self) -> int:
        """Number of tasks in each key of the task bitmap; 0 if the bitmap is in the record."""
        if self.record.chunk_tasks:
            return self.record.chunk_tasks
        if self.is_open_service or self.record.tasks <= self.legacy_chunk_tasks:
            return 0
        return self.legacy_chunk_tasks

    @property
    def complete(self) -> bool:
        """Whether every task is finished, including those not durable yet."""
        if not self.open or self.is_open_service:
            return False
        return self.finished.count + len(self.unwritten_tasks) >= self.record.tasks

    def is_finished(self, task: int) -> bool:
        """Return whether a task is finished, durable or not, or its job is over.

        The replicas of an open service are never finished.
        """
        return not self.open or task in self.finished or task in self.unwritten_tasks

    def finished_tasks(self) -> TaskBitmap:
        """Return a copy of the finished tasks of an open job, including those not durable yet."""
        finished = self.finished.copy()
        for task in self.unwritten_tasks:
            finished.add(task)
        return finished

    def current_record(self) -> JobRecord:
        """Return the record with all durable progress, for a rewrite of the record."""
        if not self.open or self.chunk_tasks or self.is_open_service:
            return self.record
        return msgspec.structs.replace(self.record, finished=self.finished.to_base64())


# Called with a job and its record before the change; None if the job is new to this node.
JobListener = Callable[[Job, "JobRecord | None"], None]


@dataclass(frozen=True, slots=True)
class StoredBitmap:
    """A chunk of a job's task bitmap as read from the store."""

    prefix: str
    number: int
    text: str


class StoredRecord(NamedTuple):
    """A record as read from the store."""

    record: JobRecord
    version: int
    size: int  # bytes of the encoded record


class CancelledVersion(NamedTuple):
    """The version of a job's record that shows its cancellation; sorts by version."""

    version: int
    id: str


class CommittedCancellation(NamedTuple):
    """A committed cancellation, with all that a peer's replica needs to show it."""

    id: str
    version: int
    tasks: int
    finished_tasks: int  # number of tasks that were finished at the cancellation


class JobIndex:
    """All jobs as the replica shows them; the index commits nothing."""

    def __init__(self, replica: Replica, gate: FormatGate):
        self.replica = replica
        self.gate = gate
        self.jobs: dict[str, Job] = {}
        self.open: dict[str, Job] = {}
        self.unwritten = UnwrittenProgress()
        self.cancelled: list[CancelledVersion] = []  # sorted by version
        # Keys that a job has besides its record; they remain for a while after the job is over.
        self.extra_keys: dict[str, set[str]] = {}
        self._listeners: list[JobListener] = []
        # Data that a full read delivers before the rest of the job, by job id.
        self._early_bitmaps: dict[str, list[StoredBitmap]] = {}
        self._records_without_spec: dict[str, StoredRecord] = {}
        # By job id: the text chunks of its spec, by digest of the complete text and chunk number.
        self._texts: dict[str, dict[ChunkId, str]] = {}
        replica.listen(keys.JOB_PREFIX, self._on_record)
        replica.listen(keys.LEGACY_FINISHED_PREFIX, self._on_legacy_bitmap)
        replica.listen(keys.FINISHED_PREFIX, self._on_bitmap)
        replica.listen(keys.TEXT_PREFIX, self._on_text_chunk)

    def subscribe(self, listener: JobListener) -> None:
        """Add a listener for all changes of jobs; listeners are called in the order of adding."""
        self._listeners.append(listener)

    def _on_record(self, id: str, value: bytes | None, version: int) -> None:
        if value is None:
            return  # job records are never removed
        record = decode_record(value)
        if record.stage == OPEN and record.spec is None and record.spec_text is not None:
            self._records_without_spec[id] = StoredRecord(record, version, len(value))
            self._complete_record(id)
            return
        self._records_without_spec.pop(id, None)
        self._apply_record(id, record, version, len(value))

    def _complete_record(self, id: str) -> None:
        """Apply a record once all chunks of its spec have been read."""
        record, version, size = self._records_without_spec[id]
        assert record.spec_text is not None
        text = text_chunks.join(TextRef(*record.spec_text), self._texts.get(id, {}))
        if text is None:
            return
        del self._records_without_spec[id]
        record.spec = decode_spec(text)
        self._apply_record(id, record, version, size)

    def _apply_record(self, id: str, record: JobRecord, version: int, size: int) -> None:
        job = self.jobs.get(id)
        if job is None:
            job = self.jobs[id] = Job(id, record, version, self.gate.legacy_chunk_tasks)
            old_record = None
        else:
            old_record = job.record
            job.record, job.version = record, version
        job.stored_bytes = size
        if record.stage == OPEN:
            self._update_open(job)
        else:
            self._close(job)
            if record.stage == CANCELLED and (old_record is None or old_record.stage == OPEN):
                bisect.insort(self.cancelled, CancelledVersion(version, id))
        for listener in self._listeners:
            listener(job, old_record)

    def _update_open(self, job: Job) -> None:
        self.open[job.id] = job
        if job.record.finished and not job.is_open_service:
            job.finished.add_base64(job.record.finished)
        for bitmap in self._early_bitmaps.pop(job.id, ()):
            self._join_bitmap(job, bitmap)
        self._discard_durable_tasks(job)

    def _close(self, job: Job) -> None:
        """Discard the data that only an open job needs."""
        self.open.pop(job.id, None)
        self.unwritten.discard(job.id)
        self._texts.pop(job.id, None)
        self._early_bitmaps.pop(job.id, None)
        job.finished = TaskBitmap(0)
        job.unwritten_tasks.clear()

    def _on_legacy_bitmap(self, key: str, value: bytes | None, version: int) -> None:
        self._apply_bitmap(keys.LEGACY_FINISHED_PREFIX, key, value)

    def _on_bitmap(self, key: str, value: bytes | None, version: int) -> None:
        self._apply_bitmap(keys.FINISHED_PREFIX, key, value)

    def _apply_bitmap(self, prefix: str, key: str, value: bytes | None) -> None:
        id, number = keys.parse_finished_tasks(key)
        self._update_extra_keys(id, keys.absolute(prefix, key), present=value is not None)
        if value is None:
            return
        job = self.jobs.get(id)
        bitmap = StoredBitmap(prefix, number, _decode_text(value))
        if job is None:
            # A full read delivers keys in order, and the keys of bitmaps sort before `jobs/`.
            self._early_bitmaps.setdefault(id, []).append(bitmap)
        elif job.open:
            self._join_bitmap(job, bitmap)
            self._discard_durable_tasks(job)

    def _on_text_chunk(self, key: str, value: bytes | None, version: int) -> None:
        id, digest, number = keys.parse_text_chunk(key)
        self._update_extra_keys(id, keys.absolute(keys.TEXT_PREFIX, key), present=value is not None)
        texts = self._texts.setdefault(id, {})
        if value is None:
            texts.pop(ChunkId(digest, number), None)
            return
        texts[ChunkId(digest, number)] = _decode_text(value)
        if id in self._records_without_spec:
            self._complete_record(id)

    def _update_extra_keys(self, id: str, key: str, *, present: bool) -> None:
        job_keys = self.extra_keys.setdefault(id, set())
        if present:
            job_keys.add(key)
            return
        job_keys.discard(key)
        if not job_keys:
            del self.extra_keys[id]

    @staticmethod
    def _join_bitmap(job: Job, bitmap: StoredBitmap) -> None:
        first = bitmap.number
        if bitmap.prefix == keys.LEGACY_FINISHED_PREFIX:
            first *= job.legacy_chunk_tasks
        job.finished.add_base64(bitmap.text, first)

    def _discard_durable_tasks(self, job: Job) -> None:
        if job.unwritten_tasks:
            job.unwritten_tasks = {task for task in job.unwritten_tasks if task not in job.finished}
        if job.unwritten_tasks or job.complete:
            self.unwritten.add(job.id)

    def cancelled_after(self, revision: int) -> list[CommittedCancellation]:
        """Return every cancellation that a replica of that revision can't show.

        Selected by the record's version, not by when this node received the cancellation: a peer
        may have been disconnected for any length of time.
        """
        first = bisect.bisect_right(self.cancelled, CancelledVersion(revision + 1, ""))
        return [
            CommittedCancellation(id, version, record.tasks, record.finished_when_cancelled)
            for version, id in self.cancelled[first:]
            if (record := self.jobs[id].record).stage == CANCELLED
        ]

    def apply_peer_cancellation(
        self, id: str, version: int, tasks: int, finished_tasks: int
    ) -> None:
        """Apply a committed cancellation from a peer, perhaps before the watch delivers it.

        It is applied to the replica in the same way as by the watch, so that every later lookup
        finds the job over, also for a shard that is loaded or reconciled later.
        """
        final = JobRecord(CANCELLED, tasks, finished_when_cancelled=finished_tasks)
        self.replica.apply_committed(keys.job(id), encode(final), version)

    def mark_task_finished(self, job: Job, task: int, urgent: bool) -> None:
        """Record that an agent has reported a task finished.

        `urgent`: users or other shards wait for it, so it is written at once.
        """
        if job.is_finished(task):
            return
        job.unwritten_tasks.add(task)
        self.unwritten.add(job.id)
        if urgent or job.complete:
            job.write_urgent = True
            self.unwritten.request_write()
