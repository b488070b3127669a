"""Format 1, of 0.5.1: written until the format gate is open, and read for as long as it stands.

Its layouts rest on the settings of the process that wrote them. So the record that opens the
gate keeps the figure that a reader needs (`gate.FormatRecord.legacy_chunk_tasks`). To be removed
with the first version whose deployments have all had an open gate and migrated their data.
"""

from __future__ import annotations

from ..state_store import keys

BITS_PER_BYTE = 8
# 0.5.1 packed finished tasks into half a value, as base64: 3 bytes take 4 characters.
_FILLED_VALUE_SHARE = 0.5
_BYTES_PER_CHARACTER = 3 / 4
# 0.5.1 counted this many bytes for a machine, and filled half a value.
_BYTES_PER_MACHINE = 100


def tasks_per_chunk(value_kb: float) -> int:
    """Tasks whose bitmap 0.5.1 kept in one value, under this limit of a value in KiB."""
    tasks = value_kb * 1024 * BITS_PER_BYTE * _BYTES_PER_CHARACTER * _FILLED_VALUE_SHARE
    return int(tasks) // BITS_PER_BYTE * BITS_PER_BYTE


def machines_per_chunk(value_kb: float) -> int:
    """Consecutive machine numbers of a shard that 0.5.1 named in one value, limited in KiB."""
    return max(1, int(value_kb * 1024 * _FILLED_VALUE_SHARE / _BYTES_PER_MACHINE))


def legacy_key(job: str, number: int) -> str:
    """The key of 0.5.1 that holds the chunk of this number of a job's finished tasks."""
    return keys.legacy_finished_tasks(job, number)
