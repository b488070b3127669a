"""The bitmap of finished tasks."""

from __future__ import annotations

import itertools
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


def test_gaps_and_runs_are_the_integers_that_are_no_members_and_members() -> None:
    bitmap = TaskBitmap(200)
    for member in [*range(3), *range(16, 40), *random.Random(5).sample(range(100, 200), 30)]:
        bitmap.add(member)
    for first, end in [(0, 200), (0, 8), (3, 16), (17, 39), (21, 150), (100, 100), (199, 200)]:
        absent = [index for index in range(first, end) if index not in bitmap]
        gaps = list(bitmap.gaps(first, end))
        assert [index for gap in gaps for index in range(*gap)] == absent
        present = [index for index in range(first, end) if index in bitmap]
        assert [index for run in bitmap.runs(first, end) for index in range(*run)] == present
        # Two gaps are never adjacent, so wide arrays stay few ranges.
        assert all(gap.end < following.first for gap, following in itertools.pairwise(gaps))
