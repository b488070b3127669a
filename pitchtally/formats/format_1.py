"""Layouts of 0.5.1, written until the format gate is open and read for as long as they stand.

Both rest on the settings of the process that wrote them. So the record that opens the gate
keeps the figure that a reader needs (`gate.FormatRecord.legacy_chunk_tasks`). To be removed
with the first version whose deployments have all had an open gate and migrated their data.
"""

from __future__ import annotations

from ..state_store import keys

# 0.5.1 packed finished tasks into half a value, as base64: 3 bytes take 4 characters.
_VALUE_SHARE = 0.5
_BASE64 = 3 / 4
BYTE_BITS = 8
# 0.5.1 counted this many bytes for a machine, and filled half a value.
_MACHINE_BYTES = 100


def chunk_tasks(value_kb: float) -> int:
    """Tasks whose finished set 0.5.1 kept in one value, under this limit of a value in KiB."""
    size = value_kb * 1024 * BYTE_BITS * _BASE64 * _VALUE_SHARE
    return int(size) // BYTE_BITS * BYTE_BITS


def machines_per_chunk(value_kb: float) -> int:
    """Consecutive machine numbers of a shard that 0.5.1 named in one value."""
    return max(1, int(value_kb * 1024 * _VALUE_SHARE / _MACHINE_BYTES))


def legacy_key(job: str, number: int) -> str:
    """The key of 0.5.1 that holds a job's chunk of this number."""
    return keys.legacy_finished_tasks(job, number)
