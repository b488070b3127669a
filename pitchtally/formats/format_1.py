"""Format 1, used by 0.5.1: written until the format gate is open, read while stored.

Its layouts depend on the settings of the process that wrote them, so the record that opens the
gate holds the number that a reader needs (`gate.FormatRecord.legacy_chunk_tasks`). This module can
be removed in the first version whose deployments have all opened the gate and migrated their data.
"""

from __future__ import annotations

from ..state_store import keys

BITS_PER_BYTE = 8
# 0.5.1 stores finished tasks in half a value, as base64: 3 bytes take 4 characters.
_FILLED_VALUE_SHARE = 0.5
_BYTES_PER_CHARACTER = 3 / 4
# 0.5.1 assumes this size of a machine's entry, and fills half a value.
_BYTES_PER_MACHINE = 100


def tasks_per_chunk(value_kb: float) -> int:
    """Return the number of tasks whose bitmap 0.5.1 stores in a value of at most `value_kb` KiB."""
    tasks = value_kb * 1024 * BITS_PER_BYTE * _BYTES_PER_CHARACTER * _FILLED_VALUE_SHARE
    return int(tasks) // BITS_PER_BYTE * BITS_PER_BYTE


def machines_per_chunk(value_kb: float) -> int:
    """Return the number of machines that 0.5.1 stores in a value of at most `value_kb` KiB.

    They are consecutive machine numbers of a shard.
    """
    return max(1, int(value_kb * 1024 * _FILLED_VALUE_SHARE / _BYTES_PER_MACHINE))


def legacy_key(job: str, number: int) -> str:
    """Return the key under which 0.5.1 stores a numbered chunk of a job's finished tasks."""
    return keys.legacy_finished_tasks(job, number)
