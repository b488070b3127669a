"""Where the bitmap of a job's finished tasks is kept: in its record, or in keys of its own.

Since format 2 such a key names the first task whose bit it holds, so no reader has to
know the limits under which it was written: `pt/done/<job>/<first task>`.
"""

from __future__ import annotations

from ..state_store import keys
from .format_1 import BITS_PER_BYTE

# Of a value: what a bitmap in the record may take, and one in a key of its own.
INLINE_SHARE = 1 / 4
CHUNK_SHARE = 1 / 2
# Tasks per character of base64.
_BITS_PER_CHARACTER = 6


def max_inline_tasks(value_bytes: int) -> int:
    """The most tasks whose bitmap is kept in the job's record, under this limit of a value."""
    return int(value_bytes * INLINE_SHARE * _BITS_PER_CHARACTER)


def tasks_per_chunk(value_bytes: int) -> int:
    """Tasks in one key under this limit of a value; whole bytes of the bitmap."""
    tasks = int(value_bytes * CHUNK_SHARE * _BITS_PER_CHARACTER)
    return max(BITS_PER_BYTE, tasks // BITS_PER_BYTE * BITS_PER_BYTE)


def key(job: str, first: int) -> str:
    """The key that holds the bits from the task `first` on."""
    return keys.finished_tasks(job, first)
