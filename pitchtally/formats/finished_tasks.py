"""Layout of the bitmap of a job's finished tasks: in the job's record, or in separate keys.

Since format 2 a separate key contains the first task whose bit it holds, so a reader does not
depend on the limits under which it was written: `pt/done/<job>/<first task>`.
"""

from __future__ import annotations

from ..state_store import keys
from .format_1 import BITS_PER_BYTE

# Shares of a value's size limit for a bitmap in the job's record, and in a separate key.
INLINE_SHARE = 1 / 4
CHUNK_SHARE = 1 / 2
# A character of base64 holds the bits of this many tasks.
_BITS_PER_CHARACTER = 6


def max_inline_tasks(value_bytes: int) -> int:
    """Return the maximum number of tasks of a job whose bitmap is kept in its record.

    `value_bytes` is the size limit of a value.
    """
    return int(value_bytes * INLINE_SHARE * _BITS_PER_CHARACTER)


def tasks_per_chunk(value_bytes: int) -> int:
    """Return the number of tasks per separate key, a multiple of the bits of a byte.

    `value_bytes` is the size limit of a value.
    """
    tasks = int(value_bytes * CHUNK_SHARE * _BITS_PER_CHARACTER)
    return max(BITS_PER_BYTE, tasks // BITS_PER_BYTE * BITS_PER_BYTE)


def key(job: str, first: int) -> str:
    """Return the key that holds the bits from task `first` on."""
    return keys.finished_tasks(job, first)
