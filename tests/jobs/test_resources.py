"""Whether and how often a resource request fits."""

from __future__ import annotations

import pytest

from pitchtally.jobs.resources import Resources, count_fitting, fits


@pytest.mark.parametrize(
    ("requested", "available", "count"),
    [
        ((2.0, 0.0, 1.0), (8.0, 0.0, 3.0), 3),
        ((2.0, 1.0, 0.0), (8.0, 0.0, 3.0), 0),
        ((0.1, 0.0, 0.0), (0.3, 0.0, 0.0), 3),
        ((1.0, 0.0, 0.0), (float("inf"), 0.0, 0.0), 1_000_000),
        ((1.0, 0.0, 0.0), (-4.0, 0.0, 0.0), 0),
    ],
)
def test_count_fitting(
    requested: tuple[float, float, float], available: tuple[float, float, float], count: int
) -> None:
    """Infinity is a valid amount: an unlimited quota share once made all of placement fail."""
    request, free = Resources(*requested), Resources(*available)
    assert count_fitting(request, free) == count
    assert fits(request, free) == (count > 0)
