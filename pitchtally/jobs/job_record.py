"""The record of a job in the state store, at `jobs/<id>`: JSON without the default values."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

import msgspec
from msgspec import Struct

from ..formats.text_chunks import TextRef
from ..protocol import user_api

OPEN = "open"
DONE = "done"
CANCELLED = "withdrawn"


class TaskRange(NamedTuple):
    """A range of a job's tasks that is assigned to a shard; stored as an array of three."""

    first: int
    end: int  # exclusive
    shard: int

    @property
    def tasks(self) -> int:
        """Number of tasks in the range."""
        return self.end - self.first


class ZoneCap(NamedTuple):
    """The maximum number of a job's tasks for a shard in a zone; stored as an array of three."""

    shard: int
    zone: str
    tasks: int


class JobRecord(Struct, omit_defaults=True):
    """A job's record in the state store; `name=` gives a field's stored name if it differs."""

    stage: str
    tasks: int
    spec: user_api.JobSpec | None = None  # removed once the job is over
    accepted_at: float = msgspec.field(default=0.0, name="at")  # seconds since the epoch
    ranges: list[TaskRange] = msgspec.field(default_factory=list)
    finished: str = ""
    zone: str | None = None  # for one-zone jobs, fixed before the first start
    attempt: int = 0  # for gangs on several shards: the attempt that all of these shards start
    # Limits for jobs that are spread over zones.
    zone_caps: list[ZoneCap] = msgspec.field(default_factory=list, name="caps")
    # Number of tasks that were finished when the job was cancelled.
    finished_when_cancelled: int = msgspec.field(default=0, name="count")
    # The last two exist since format 2; an earlier version drops both when it rewrites the record.
    chunk_tasks: int = 0  # tasks per key of the task bitmap, see `formats.finished_tasks`
    spec_text: TextRef | None = None  # reference to the spec if it is too long for the record


decode_record = msgspec.json.Decoder(JobRecord).decode
decode_spec = msgspec.json.Decoder(user_api.JobSpec).decode
encode = msgspec.json.encode


def merge_ranges(ranges: Iterable[tuple[int, int, int]]) -> list[TaskRange]:
    """Return ranges (first, end, shard) sorted, with adjacent ones of the same shard merged.

    Empty ranges are dropped.
    """
    merged: list[TaskRange] = []
    for first, end, shard in sorted(ranges):
        if first >= end:
            continue
        if merged and merged[-1].shard == shard and merged[-1].end == first:
            merged[-1] = TaskRange(merged[-1].first, end, shard)
        else:
            merged.append(TaskRange(first, end, shard))
    return merged
