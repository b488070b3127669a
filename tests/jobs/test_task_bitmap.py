"""The bitmap of finished tasks."""

from __future__ import annotations

import random

from pitchtally.jobs.task_bitmap import TaskBitmap


def test_bits_join_at_any_offset() -> None:
    bitmap = TaskBitmap(100)
    chosen = random.Random(3).sample(range(100), 40)
    for index in chosen:
        assert bitmap.add(index)
        assert not bitmap.add(index)
    copy = TaskBitmap(100)
    copy.add_bytes(bytes(bitmap.data[:5]))
    copy.add_bytes(bytes(bitmap.data[5:]), 5)
    copy.add_bytes(bytes(bitmap.data))
    assert copy.count == 40
    assert all((i in copy) == (i in chosen) for i in range(100))
