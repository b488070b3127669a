"""The feature gate of stored formats: one durable record that is written once.

Each controller tells in its own record, which is bound to its session lease, the newest format
that it reads (`membership.nodes.NodeRecord.reads`). Once every configured member has told that it
reads the present one, the cluster leader writes `pt/format`. The versions of those records are
preconditions of the write, so it fails if one of the members was replaced meanwhile. It is never
undone: from then on, versions that read only the old format cannot be run any more.
"""

from __future__ import annotations

import logging
from collections.abc import Iterable, Mapping
from typing import Protocol

import msgspec
from msgspec import Struct

from ..state_store import keys
from ..state_store.replica import Replica
from . import format_1

log = logging.getLogger(__name__)

# The format of 0.5.1, which tells nothing.
FIRST_FORMAT = 1
# Finished tasks by task number, long specs in chunks, quota shares by team: since 0.6.0.
CURRENT_FORMAT = 2

KEY = keys.FORMAT


class FormatRecord(Struct, frozen=True):
    """The durable record: the format that may be written, and what old layouts rest on."""

    format: int
    legacy_chunk_tasks: int


class Reader(Protocol):
    """A member as its record in the state store shows it."""

    @property
    def incarnation(self) -> str:
        """Which process of the member it is."""

    @property
    def reads(self) -> int:
        """The newest format that the process reads."""


_decode = msgspec.json.Decoder(FormatRecord).decode
_encode = msgspec.json.encode


class FormatGate:
    """Which format this controller may write, as its replica shows."""

    def __init__(self, replica: Replica, value_kb: float):
        """`value_kb`: today's limit of a value in KiB, on which format 1 rests its layouts."""
        self.format = FIRST_FORMAT
        self.value_kb = value_kb
        self.legacy_chunk_tasks = format_1.tasks_per_chunk(value_kb)
        replica.listen(keys.FORMAT_PREFIX, self._on_record)

    def _on_record(self, key: str, value: bytes | None, version: int) -> None:
        if value is None or key:
            return
        record = _decode(value)
        self.legacy_chunk_tasks = record.legacy_chunk_tasks
        if record.format > self.format:
            log.info("format in force format=%d", record.format)
            self.format = record.format

    @property
    def open(self) -> bool:
        """Whether the present format may be written."""
        return self.format >= CURRENT_FORMAT

    def record(self) -> bytes:
        """The record that opens the gate."""
        return _encode(FormatRecord(CURRENT_FORMAT, self.legacy_chunk_tasks))


def all_members_read_format(
    members: Iterable[str], records: Mapping[str, Reader], replying_incarnations: Mapping[str, str]
) -> bool:
    """Whether every configured member is known to read the present format.

    `replying_incarnations` names the incarnation of each member that has answered of late. A record
    outlives its process for a moment: only one of the process that answers counts, so what
    a predecessor read, or did not read, says nothing of its successor.
    """
    return all(
        (record := records.get(name)) is not None
        and record.reads >= CURRENT_FORMAT
        and replying_incarnations.get(name) == record.incarnation
        for name in members
    )
