"""Layout of a shard's machine record in chunks: `pt/fleet/<shard>/<chunk>`.

A chunk's number contains the width (machines per chunk) under which it was written, so chunks of
different widths never share a key: a reader merges all chunks, and a writer moves machines to
chunks of its own width.
"""

from __future__ import annotations

# Larger than any chunk number of 0.5.1, which numbers chunks consecutively from 0.
_WIDTH_FACTOR = 10**9
# Size of a machine's name, type, zone, spot flag and address as JSON, if names are long.
_BYTES_PER_MACHINE = 100
_FILLED_VALUE_SHARE = 3 / 4


def machines_per_chunk(value_bytes: int) -> int:
    """Return the number of consecutive machines of a shard in a value of at most `value_bytes`."""
    return max(1, int(value_bytes * _FILLED_VALUE_SHARE / _BYTES_PER_MACHINE))


def chunk_of(position: int, width: int) -> int:
    """Return the number of the chunk of `width` machines that holds the machine at a position."""
    return width * _WIDTH_FACTOR + position // width
