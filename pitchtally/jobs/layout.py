"""The layout of a job in the state store: which data goes into which key, within the limits.

This module only computes writes; its callers commit them. While the format gate is closed, every
job is laid out in format 1, whatever limits are announced: 0.5.1 can read no other format.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

import msgspec

from ..config.settings import StateLimits
from ..formats import finished_tasks, format_1, text_chunks
from ..formats.gate import FormatGate
from ..state_store import keys
from ..state_store.client import Write
from .index import Job
from .job_record import JobRecord
from .task_bitmap import TaskBitmap

_encode = msgspec.json.encode

# The part of a value's size limit that a spec may take inside the record; the rest is left to the
# ranges and the task bitmap.
MAX_INLINE_SPEC_SHARE = 3 / 8


class LaidOutJob(NamedTuple):
    """A job's record for the state store, and the writes of the data that the record refers to."""

    referenced_writes: list[Write]  # to be committed before the record
    record: JobRecord


class JobLayout:
    """Lays out jobs within the limits that this controller observes."""

    def __init__(self, gate: FormatGate, limits: StateLimits):
        self.gate = gate
        self.value_bytes = int(limits.value_kb * 1024)
        self.inline_tasks = finished_tasks.max_inline_tasks(self.value_bytes)
        self.chunk_tasks = finished_tasks.tasks_per_chunk(self.value_bytes)

    @property
    def max_value_bytes(self) -> int:
        """Size of the largest value that may be written now, in bytes.

        Format 1 cannot split data to fit an announced lower limit, so today's limit applies until
        the gate opens. Writes that the store rejects until then are retried once it is open.
        """
        return self.value_bytes if self.gate.open else int(self.gate.value_kb * 1024)

    def record_fits(self, value: bytes) -> bool:
        """Return whether an encoded record is small enough to be written now."""
        return len(value) <= self.max_value_bytes

    def lay_out_new(self, id: str, record: JobRecord) -> LaidOutJob:
        """Return the layout of a new job."""
        if not self.gate.open or record.spec is None:
            return LaidOutJob([], record)
        if not record.spec.is_service and record.tasks > self._max_inline_tasks():
            record = msgspec.structs.replace(record, chunk_tasks=self.chunk_tasks)
        if len(_encode(record.spec)) <= self.value_bytes * MAX_INLINE_SPEC_SHARE:
            return LaidOutJob([], record)
        return self._move_spec_out(id, record)

    def _max_inline_tasks(self) -> int:
        # A record with more than `legacy_chunk_tasks` tasks, but without `chunk_tasks`, is one of
        # 0.5.1, whose task bitmap is in legacy chunks.
        return min(self.inline_tasks, self.gate.legacy_chunk_tasks)

    def _move_spec_out(self, id: str, record: JobRecord) -> LaidOutJob:
        """Return the layout of a record whose spec is moved into text chunks."""
        ref, values = text_chunks.split(_encode(record.spec).decode(), self.value_bytes)
        writes = [
            Write(keys.text_chunk(id, ref.digest, number), value)
            for number, value in enumerate(values)
        ]
        return LaidOutJob(writes, msgspec.structs.replace(record, spec=None, spec_text=ref))

    def needs_conversion(self, job: Job) -> bool:
        """Return whether an open job is stored in a layout in which it cannot be rewritten."""
        if not self.gate.open or not job.open:
            return False
        if job.stored_bytes > self.value_bytes:
            return True
        return self._needs_chunks(job)

    def _needs_chunks(self, job: Job) -> bool:
        if job.service or job.record.chunk_tasks:
            return False
        return job.record.tasks > self._max_inline_tasks()

    def convert(self, job: Job) -> LaidOutJob:
        """Return the current layout of a stored job."""
        writes: list[Write] = []
        record = job.current_record()
        if self._needs_chunks(job):
            record = msgspec.structs.replace(record, finished="", chunk_tasks=self.chunk_tasks)
            writes += self._chunk_writes(job.id, job.finished, self.chunk_tasks)
        oversize = len(_encode(record)) > self.value_bytes
        if oversize and record.spec is not None and record.spec_text is None:
            text_writes, record = self._move_spec_out(job.id, record)
            writes += text_writes
        return LaidOutJob(writes, record)

    @staticmethod
    def _chunk_writes(id: str, bits: TaskBitmap, chunk_tasks: int) -> Iterator[Write]:
        """Yield the write of each chunk of a task bitmap that isn't empty."""
        for first in range(0, bits.size, chunk_tasks):
            size = chunk_tasks // format_1.BITS_PER_BYTE
            offset = first // format_1.BITS_PER_BYTE
            if any(bits.data[offset : offset + size]):
                yield Write(keys.finished_tasks(id, first), _encode(bits.to_base64(offset, size)))

    def encode_record(self, job: Job, record: JobRecord) -> bytes:
        """Encode a changed record of a job, without a spec that is stored in text chunks."""
        if record.spec_text is not None:
            record = msgspec.structs.replace(record, spec=None)
        return _encode(record)

    def progress_writes(self, job: Job, joined: TaskBitmap) -> list[Write]:
        """Return the writes that make finished tasks durable: the record, or the changed chunks."""
        chunk_tasks = job.chunk_tasks
        if not chunk_tasks:
            record = msgspec.structs.replace(job.record, finished=joined.to_base64())
            return [Write(keys.job(job.id), self.encode_record(job, record))]
        writes = []
        for chunk_number in sorted({task // chunk_tasks for task in job.unwritten_tasks}):
            first = chunk_number * chunk_tasks
            encoded = joined.to_base64(
                first // format_1.BITS_PER_BYTE, chunk_tasks // format_1.BITS_PER_BYTE
            )
            if job.record.chunk_tasks:
                key = keys.finished_tasks(job.id, first)
            else:
                key = keys.legacy_finished_tasks(job.id, chunk_number)
            writes.append(Write(key, _encode(encoded)))
        return writes
