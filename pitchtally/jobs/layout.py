"""What of a job is stored in which key, under the limits of the state store.

Pure: decides on writes, and leaves commits to others. While the format gate is closed all
is laid out in format 1, whatever the announced limits: 0.5.1 can read no other.
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

# Of a value: what a spec may take in the record, beside ranges and finished tasks.
MAX_INLINE_SPEC_SHARE = 3 / 8


class LaidOutJob(NamedTuple):
    """A job as it is to be stored."""

    referenced_writes: list[Write]  # what the record refers to; has to be written before it
    record: JobRecord


class JobLayout:
    """The layout of jobs under the limits that hold for this controller."""

    def __init__(self, gate: FormatGate, limits: StateLimits):
        self.gate = gate
        self.value_bytes = int(limits.value_kb * 1024)
        self.inline_tasks = finished_tasks.inline_tasks(self.value_bytes)
        self.chunk_tasks = finished_tasks.chunk_tasks(self.value_bytes)

    @property
    def max_value_bytes(self) -> int:
        """The largest value that may be written now.

        Format 1 has no way to hold less, so before the gate opens it is today's limit; what the
        store refuses then is tried again once the gate is open.
        """
        return self.value_bytes if self.gate.open else int(self.gate.value_kb * 1024)

    def record_fits(self, value: bytes) -> bool:
        """Whether an encoded record may be written."""
        return len(value) <= self.max_value_bytes

    def lay_out_new(self, id: str, record: JobRecord) -> LaidOutJob:
        """The layout of a new job."""
        if not self.gate.open or record.spec is None:
            return LaidOutJob([], record)
        if not record.spec.is_service and record.tasks > self._max_inline_tasks():
            record = msgspec.structs.replace(record, chunk_tasks=self.chunk_tasks)
        if len(_encode(record.spec)) <= self.value_bytes * MAX_INLINE_SPEC_SHARE:
            return LaidOutJob([], record)
        return self._move_spec_out(id, record)

    def _max_inline_tasks(self) -> int:
        # A record without `chunk_tasks` and with more tasks is one of 0.5.1, in chunks.
        return min(self.inline_tasks, self.gate.legacy_chunk_tasks)

    def _move_spec_out(self, id: str, record: JobRecord) -> LaidOutJob:
        """The record without its spec, which goes into chunks of its own."""
        ref, values = text_chunks.cut(_encode(record.spec).decode(), self.value_bytes)
        writes = [
            Write(keys.text_chunk(id, ref.digest, number), value)
            for number, value in enumerate(values)
        ]
        return LaidOutJob(writes, msgspec.structs.replace(record, spec=None, spec_text=ref))

    def needs_conversion(self, job: Job) -> bool:
        """Whether an open job is stored in a layout in which it cannot be rewritten."""
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
        """A job brought into the present layout."""
        writes: list[Write] = []
        record = job.current_record()
        if self._needs_chunks(job):
            record = msgspec.structs.replace(record, finished="", chunk_tasks=self.chunk_tasks)
            writes += self._chunks(job.id, job.finished, self.chunk_tasks)
        oversize = len(_encode(record)) > self.value_bytes
        if oversize and record.spec is not None and record.spec_text is None:
            text_writes, record = self._move_spec_out(job.id, record)
            writes += text_writes
        return LaidOutJob(writes, record)

    @staticmethod
    def _chunks(id: str, bits: TaskBitmap, tasks: int) -> Iterator[Write]:
        """Every key of a bitmap of finished tasks that holds anything."""
        for first in range(0, bits.size, tasks):
            size = tasks // format_1.BITS_PER_BYTE
            offset = first // format_1.BITS_PER_BYTE
            if any(bits.data[offset : offset + size]):
                yield Write(keys.finished_tasks(id, first), _encode(bits.to_base64(offset, size)))

    def encode_record(self, job: Job, record: JobRecord) -> bytes:
        """A changed record of a job, without what is stored in other keys."""
        if record.spec_text is not None:
            record = msgspec.structs.replace(record, spec=None)
        return _encode(record)

    def progress_writes(self, job: Job, joined: TaskBitmap) -> list[Write]:
        """The writes that make finished tasks durable, a record's last."""
        tasks = job.chunk_tasks
        if not tasks:
            record = msgspec.structs.replace(job.record, finished=joined.to_base64())
            return [Write(keys.job(job.id), self.encode_record(job, record))]
        writes = []
        for number in sorted({task // tasks for task in job.unwritten_tasks}):
            first = number * tasks
            text = joined.to_base64(
                first // format_1.BITS_PER_BYTE, tasks // format_1.BITS_PER_BYTE
            )
            if job.record.chunk_tasks:
                key = keys.finished_tasks(job.id, first)
            else:
                key = keys.legacy_finished_tasks(job.id, number)
            writes.append(Write(key, _encode(text)))
        return writes
