"""Which chunk of a shard's machine record names a machine: `pt/fleet/<shard>/<chunk>`.

A chunk's number tells under which width it was written, so chunks of different widths never
share a key: a reader joins all that there are, a writer moves names over to its own.
"""

from __future__ import annotations

# Larger than any chunk number of 0.5.1, which counted up from 0.
_WIDTH_FACTOR = 10**9
# A machine's name, type, zone, kind and address as JSON, where names are long.
_BYTES_PER_MACHINE = 100
_FILLED_VALUE_SHARE = 3 / 4


def machines_per_chunk(value_bytes: int) -> int:
    """Consecutive machines of a shard that one value of at most so many bytes names."""
    return max(1, int(value_bytes * _FILLED_VALUE_SHARE / _BYTES_PER_MACHINE))


def chunk_of(position: int, width: int) -> int:
    """The number of the chunk, `width` machines wide, of a shard's machine at this position."""
    return width * _WIDTH_FACTOR + position // width
