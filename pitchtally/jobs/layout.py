"""What of a job goes into which key, under the limits of the state store.

Pure: decides on writes, and leaves commits to others. While the format gate is closed all
is laid out as 0.5.1 does it, whatever the announced limits: no other form can be read.
"""

from __future__ import annotations

from collections.abc import Iterator

import msgspec

from ..config.settings import StateLimits
from ..formats import finished_tasks, format_1, text_chunks
from ..formats.gate import FormatGate
from ..state_store import keys
from ..state_store.client import Write
from .index import Job
from .job_record import JobRecord
from .task_bitmap import TaskBitmap

encode = msgspec.json.encode

# Of a value: what a spec may take in the record, beside ranges and finished tasks.
SPEC_SHARE = 3 / 8


class JobLayout:
    """The layout of jobs under the limits that hold for this controller."""

    def __init__(self, gate: FormatGate, limits: StateLimits):
        self.gate = gate
        self.value_bytes = int(limits.value_kb * 1024)
        self.inline_tasks = finished_tasks.inline_tasks(self.value_bytes)
        self.chunk_tasks = finished_tasks.chunk_tasks(self.value_bytes)

    @property
    def most_bytes(self) -> int:
        """The largest value that may be written now.

        The old form has no way to hold less, so before the gate opens it is today's limit;
        what the store refuses then is tried again once the gate is open.
        """
        return self.value_bytes if self.gate.open else int(self.gate.value_kb * 1024)

    def record_fits(self, value: bytes) -> bool:
        """Whether an encoded record may be written."""
        return len(value) <= self.most_bytes

    def lay_out_new(self, id: str, record: JobRecord) -> tuple[list[Write], JobRecord]:
        """A new job: what has to be written before its record, and the record."""
        if not self.gate.open or record.spec is None:
            return [], record
        if not record.spec.is_service and record.tasks > self._most_inline():
            record = msgspec.structs.replace(record, chunk_tasks=self.chunk_tasks)
        if len(encode(record.spec)) <= self.value_bytes * SPEC_SHARE:
            return [], record
        return self._move_spec_out(id, record)

    def _most_inline(self) -> int:
        # A record without `chunk_tasks` and with more tasks is one of 0.5.1, in chunks.
        return min(self.inline_tasks, self.gate.legacy_chunk_tasks)

    @staticmethod
    def piece_writes(
        id: str, text: str, value_bytes: int
    ) -> tuple[text_chunks.TextRef, list[Write]]:
        """The writes that store a job's text, and what finds it again."""
        ref, values = text_chunks.cut(text, value_bytes)
        writes = [
            Write(keys.text_chunk(id, ref.digest, n), value) for n, value in enumerate(values)
        ]
        return ref, writes

    def _move_spec_out(self, id: str, record: JobRecord) -> tuple[list[Write], JobRecord]:
        ref, writes = self.piece_writes(id, encode(record.spec).decode(), self.value_bytes)
        return writes, msgspec.structs.replace(record, spec=None, spec_text=ref)

    def needs_conversion(self, job: Job) -> bool:
        """Whether an open job stands in a layout that it can't be rewritten in."""
        if not self.gate.open or not job.open:
            return False
        if job.stored_bytes > self.value_bytes:
            return True
        return self._needs_chunks(job)

    def _needs_chunks(self, job: Job) -> bool:
        if job.service or job.record.chunk_tasks:
            return False
        return job.record.tasks > self._most_inline()

    def convert(self, job: Job) -> tuple[list[Write], JobRecord]:
        """A job brought into the present layout: what goes first, and its record."""
        writes: list[Write] = []
        record = job.current_record()
        if self._needs_chunks(job):
            record = msgspec.structs.replace(record, finished="", chunk_tasks=self.chunk_tasks)
            writes += self._chunks(job.id, job.finished, self.chunk_tasks)
        oversize = len(encode(record)) > self.value_bytes
        if oversize and record.spec is not None and record.spec_text is None:
            pieces_first, record = self._move_spec_out(job.id, record)
            writes += pieces_first
        return writes, record

    @staticmethod
    def _chunks(id: str, bits: TaskBitmap, tasks: int) -> Iterator[Write]:
        """Every key of a finished set that holds anything."""
        for first in range(0, bits.size, tasks):
            size = tasks // format_1.BYTE_BITS
            offset = first // format_1.BYTE_BITS
            if any(bits.data[offset : offset + size]):
                yield Write(keys.finished_tasks(id, first), encode(bits.text(offset, size)))

    def encode_record(self, job: Job, record: JobRecord) -> bytes:
        """A changed record of a job, without what stands in other keys."""
        if record.spec_text is not None:
            record = msgspec.structs.replace(record, spec=None)
        return encode(record)

    def progress(self, job: Job, joined: TaskBitmap) -> list[Write]:
        """The writes that make finished tasks durable, a record's last."""
        tasks = job.chunk_tasks
        if not tasks:
            record = msgspec.structs.replace(job.record, finished=joined.text())
            return [Write(keys.job(job.id), self.encode_record(job, record))]
        writes = []
        for number in sorted({task // tasks for task in job.local}):
            first = number * tasks
            text = joined.text(first // format_1.BYTE_BITS, tasks // format_1.BYTE_BITS)
            old = not job.record.chunk_tasks
            key = (
                keys.legacy_finished_tasks(job.id, number)
                if old
                else keys.finished_tasks(job.id, first)
            )
            writes.append(Write(key, encode(text)))
        return writes
