"""The record of a job, as the state store keeps it at `jobs/<id>`: JSON, defaults left out."""

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
    """Tasks of a job that a shard has; stored as an array of three."""

    first: int
    end: int  # not included
    shard: int

    @property
    def tasks(self) -> int:
        """How many tasks these are."""
        return self.end - self.first


class ZoneCap(NamedTuple):
    """The most tasks of a job that a shard may have in a zone; stored as an array of three."""

    shard: int
    zone: str
    tasks: int


class JobRecord(Struct, omit_defaults=True):
    """A job as the state store keeps it; `name=` gives a field's stored name if it differs."""

    stage: str
    tasks: int
    spec: user_api.JobSpec | None = None  # dropped once the job is over
    accepted_at: float = msgspec.field(default=0.0, name="at")  # seconds since the epoch
    ranges: list[TaskRange] = msgspec.field(default_factory=list)
    finished: str = ""
    zone: str | None = None  # for one-zone jobs, fixed before the first start
    attempt: int = 0  # for gangs over several shards: the attempt all of them start
    # For jobs that spread over zones.
    zone_caps: list[ZoneCap] = msgspec.field(default_factory=list, name="caps")
    # Tasks done when the job was cancelled.
    finished_when_cancelled: int = msgspec.field(default=0, name="count")
    # Since format 2; an earlier version would drop both when it rewrites the record.
    chunk_tasks: int = 0  # finished tasks are in keys of that many, see `formats.finished_tasks`
    spec_text: TextRef | None = None  # where the spec is, if it is too long for the record


decode_record = msgspec.json.Decoder(JobRecord).decode
decode_spec = msgspec.json.Decoder(user_api.JobSpec).decode
encode = msgspec.json.encode


def merge_ranges(ranges: Iterable[tuple[int, int, int]]) -> list[TaskRange]:
    """Ranges (first, end, shard), sorted, with neighbours of the same shard joined."""
    merged: list[TaskRange] = []
    for first, end, shard in sorted(ranges):
        if first >= end:
            continue
        if merged and merged[-1].shard == shard and merged[-1].end == first:
            merged[-1] = TaskRange(merged[-1].first, end, shard)
        else:
            merged.append(TaskRange(first, end, shard))
    return merged
