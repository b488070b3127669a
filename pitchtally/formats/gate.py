"""The feature gate for stored formats: one durable record that is written once.

Each controller's node record, which is bound to its session lease, holds the newest format that
the controller reads (`membership.nodes.NodeRecord.reads`). Once the records of all configured
members show that they read the current format, the cluster leader writes `pt/format`. The versions
of those records are preconditions of the write, so it fails if a member was replaced meanwhile.
The gate is never closed again: afterwards, versions that read only the old format can no longer
be run.
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

# The format of 0.5.1, whose node records name no format.
FIRST_FORMAT = 1
# Since 0.6.0: chunks of finished tasks keyed by task number, long specs in chunks, and a key for
# each team's quota shares.
CURRENT_FORMAT = 2

KEY = keys.FORMAT


class FormatRecord(Struct, frozen=True):
    """The gate's record: the format that may be written, and the chunk size of old bitmaps."""

    format: int
    legacy_chunk_tasks: int


class Reader(Protocol):
    """The part of a member's node record that the gate depends on."""

    @property
    def incarnation(self) -> str:
        """Identifier of the member's process."""

    @property
    def reads(self) -> int:
        """Newest format that the process reads."""


_decode = msgspec.json.Decoder(FormatRecord).decode
_encode = msgspec.json.encode


class FormatGate:
    """The format that this controller may write, according to its replica."""

    def __init__(self, replica: Replica, value_kb: float):
        """Initialise; `value_kb` is the present limit of a value in KiB, used by format 1."""
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
        """Whether the current format may be written."""
        return self.format >= CURRENT_FORMAT

    def record(self) -> bytes:
        """Return the encoded record that opens the gate."""
        return _encode(FormatRecord(CURRENT_FORMAT, self.legacy_chunk_tasks))


def all_members_read_format(
    members: Iterable[str], records: Mapping[str, Reader], replying_incarnations: Mapping[str, str]
) -> bool:
    """Return whether every configured member is known to read the current format.

    `replying_incarnations` holds the incarnation of each member that replied recently. A record
    may outlive its process for a short time, so it counts only if it belongs to the incarnation
    that replies: the formats read by a previous process prove nothing about its successor.
    """
    return all(
        (record := records.get(name)) is not None
        and record.reads >= CURRENT_FORMAT
        and replying_incarnations.get(name) == record.incarnation
        for name in members
    )
