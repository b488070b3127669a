"""A set of small integers, packed: which tasks of a job are done."""

from __future__ import annotations

import base64


class TaskBitmap:
    """A set of small integers, packed."""

    __slots__ = ("count", "data", "size")

    def __init__(self, size: int):
        self.size = size
        self.data = bytearray((size + 7) // 8)
        self.count = 0

    def __contains__(self, index: int) -> bool:
        return bool(self.data[index >> 3] & (1 << (index & 7)))

    def add(self, index: int) -> bool:
        """Add a member; False if it was one already."""
        if index in self:
            return False
        self.data[index >> 3] |= 1 << (index & 7)
        self.count += 1
        return True

    def join(self, data: bytes, offset: int = 0) -> None:
        """Add a bitmap that starts at the byte `offset`."""
        for i, byte in enumerate(data[: len(self.data) - offset], offset):
            new = byte & ~self.data[i]
            if new:
                self.data[i] |= new
                self.count += new.bit_count()

    def join_text(self, text: str, first: int = 0) -> None:
        """Add a bitmap as `text` gives it; its first bit is the member `first`."""
        self.join(base64.b64decode(text), first // 8)

    def text(self, first: int = 0, size: int | None = None) -> str:
        """The set, or a stretch of its bytes, as text."""
        end = None if size is None else first + size
        return base64.b64encode(bytes(self.data[first:end])).decode()
