"""Merging of task ranges in job records."""

from __future__ import annotations

import pytest

from pitchtally.jobs.job_record import merge_ranges


@pytest.mark.parametrize(
    ("ranges", "merged"),
    [
        ([(0, 3, 1), (3, 5, 1)], [(0, 5, 1)]),
        ([(3, 5, 2), (0, 3, 1), (5, 5, 0)], [(0, 3, 1), (3, 5, 2)]),
        ([(0, 2, 1), (4, 5, 1)], [(0, 2, 1), (4, 5, 1)]),
    ],
)
def test_merge_ranges(
    ranges: list[tuple[int, int, int]], merged: list[tuple[int, int, int]]
) -> None:
    assert merge_ranges(ranges) == merged
