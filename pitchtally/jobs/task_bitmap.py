"""The task bitmap: which tasks of a job are finished, one bit each.

The bit of member n is bit n % 8, counted from the least significant, of byte n // 8.
"""

from __future__ import annotations

import base64
import re
from collections.abc import Iterator
from typing import NamedTuple

_BITS_PER_BYTE = 8
_NO_MEMBERS, _ALL_MEMBERS = 0x00, 0xFF
# Find the end of a run of equal bytes without a step of the interpreter for each.
_EQUAL_BYTES = {_NO_MEMBERS: re.compile(rb"\x00+"), _ALL_MEMBERS: re.compile(rb"\xff+")}


class Span(NamedTuple):
    """Consecutive integers, from `first` up to, but not including, `end`."""

    first: int
    end: int


class TaskBitmap:
    """A set of integers from 0 up to, but not including, `size`; members are never removed."""

    __slots__ = ("count", "data", "size")

    def __init__(self, size: int):
        self.size = size
        self.data = bytearray((size + 7) // 8)
        self.count = 0

    def __contains__(self, index: int) -> bool:
        return bool(self.data[index >> 3] & (1 << (index & 7)))

    def copy(self) -> TaskBitmap:
        """Return a copy, whose changes leave this bitmap as it is."""
        duplicate = TaskBitmap(self.size)
        duplicate.data = bytearray(self.data)
        duplicate.count = self.count
        return duplicate

    def gaps(self, first: int, end: int) -> Iterator[Span]:
        """Yield the gaps between members from `first` up to, but not including, `end`."""
        gap_first: int | None = None
        index = first
        while index < end:
            is_member = index in self
            if not is_member and gap_first is None:
                gap_first = index
            elif is_member and gap_first is not None:
                yield Span(gap_first, index)
                gap_first = None
            index = self._run_end(index)
        if gap_first is not None:
            yield Span(gap_first, end)

    def runs(self, first: int, end: int) -> Iterator[Span]:
        """Yield the runs of members from `first` up to, but not including, `end`."""
        position = first
        for gap in self.gaps(first, end):
            if position < gap.first:
                yield Span(position, gap.first)
            position = gap.end
        if position < end:
            yield Span(position, end)

    def _run_end(self, index: int) -> int:
        """Return an integer above `index` up to which all are members, or none is."""
        position = index // _BITS_PER_BYTE
        equal_bytes = _EQUAL_BYTES.get(self.data[position])
        run = equal_bytes.match(self.data, position) if equal_bytes is not None else None
        return index + 1 if run is None else run.end() * _BITS_PER_BYTE

    def add(self, index: int) -> bool:
        """Add a member; return False if it was already present."""
        if index in self:
            return False
        self.data[index >> 3] |= 1 << (index & 7)
        self.count += 1
        return True

    def add_bytes(self, data: bytes, offset: int = 0) -> None:
        """Add the members of a bitmap whose first byte corresponds to byte `offset` of this one."""
        for position, byte in enumerate(data[: len(self.data) - offset], offset):
            added = byte & ~self.data[position]
            if added:
                self.data[position] |= added
                self.count += added.bit_count()

    def add_base64(self, encoded: str, first: int = 0) -> None:
        """Add the members of a base64-encoded bitmap whose first bit is the member `first`.

        `first` must be a multiple of eight. Raises binascii.Error for text that isn't base64.
        """
        self.add_bytes(base64.b64decode(encoded), first // 8)

    def to_base64(self, first_byte: int = 0, size: int | None = None) -> str:
        """Return the bitmap in base64, or only `size` of its bytes from `first_byte` on."""
        end = None if size is None else first_byte + size
        return base64.b64encode(bytes(self.data[first_byte:end])).decode()
