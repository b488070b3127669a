"""The task bitmap: which tasks of a job are finished, one bit each.

The bit of member n is bit n % 8, counted from the least significant, of byte n // 8.
"""

from __future__ import annotations

import base64


class TaskBitmap:
    """A set of integers from 0 up to, but not including, `size`; members are never removed."""

    __slots__ = ("count", "data", "size")

    def __init__(self, size: int):
        self.size = size
        self.data = bytearray((size + 7) // 8)
        self.count = 0

    def __contains__(self, index: int) -> bool:
        return bool(self.data[index >> 3] & (1 << (index & 7)))

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
