"""Where the finished tasks of a job are kept: in its record, or in keys of their own.

Since format 2 a key of its own names the first task whose bit it holds, so no reader has to
know the limits under which it was written: `pt/done/<job>/<first task>`.
"""

from __future__ import annotations

from ..state_store import keys
from .format_1 import BYTE_BITS

# Of a value: what a bitmap in the record may take, and one in a key of its own.
INLINE_SHARE = 1 / 4
CHUNK_SHARE = 1 / 2
# Tasks per character of base64, six bits each.
_BITS_PER_CHARACTER = 6


def inline_tasks(value_bytes: int) -> int:
    """The most tasks whose bitmap stands in the job's record."""
    return int(value_bytes * INLINE_SHARE * _BITS_PER_CHARACTER)


def chunk_tasks(value_bytes: int) -> int:
    """Tasks in one key; whole bytes of the bitmap."""
    tasks = int(value_bytes * CHUNK_SHARE * _BITS_PER_CHARACTER)
    return max(BYTE_BITS, tasks // BYTE_BITS * BYTE_BITS)


def key(job: str, first: int) -> str:
    """The key that holds the bits from the task `first` on."""
    return keys.finished_tasks(job, first)
