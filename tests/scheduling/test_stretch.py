"""Algorithms 1 to 4 of the paper, compared with brute force on small queues."""

from __future__ import annotations

import itertools
import random

import pytest

from pitchtally.scheduling import stretch
from pitchtally.scheduling.stretch import QueueEntry

QUEUES = [
    [],
    [QueueEntry(0, 10, 5)],
    [QueueEntry(0, 10, 5), QueueEntry(2, 4, 3)],
    [QueueEntry(-5, 100, 20), QueueEntry(0, 1, 1), QueueEntry(1, 10, 8)],
    [QueueEntry(0, 8, 2), QueueEntry(0, 8, 2), QueueEntry(0, 2, 4)],
]


def any_order_meets_all_deadlines(
    queue: list[QueueEntry], target_stretch: float, now: float
) -> bool:
    """Return whether some order, not only EDF, meets every deadline."""
    for order in itertools.permutations(queue):
        end, on_time = now, True
        for entry in order:
            end += entry.work
            on_time = on_time and end <= entry.release + target_stretch * entry.size
        if on_time:
            return True
    return False


def random_queues(count: int) -> list[list[QueueEntry]]:
    pick = random.Random(7)
    return [
        [
            QueueEntry(pick.uniform(-20, 0), pick.uniform(1, 50), pick.uniform(0.5, 10))
            for _ in range(pick.randint(1, 5))
        ]
        for _ in range(count)
    ]


@pytest.mark.parametrize("queue", QUEUES + random_queues(12))
@pytest.mark.parametrize("target_stretch", [0.1, 0.5, 1.0, 3.0])
def test_edf_meets_all_deadlines_exactly_if_any_order_does(
    queue: list[QueueEntry], target_stretch: float
) -> None:
    assert stretch.meets_all_deadlines(queue, target_stretch, 0.0) == any_order_meets_all_deadlines(
        queue, target_stretch, 0.0
    )


@pytest.mark.parametrize("queue", QUEUES[1:] + random_queues(12))
def test_least_stretch_is_least(queue: list[QueueEntry]) -> None:
    lowest = stretch.least_stretch(queue, 0.0, 0.001)
    assert stretch.meets_all_deadlines(queue, lowest, 0.0)
    assert not stretch.meets_all_deadlines(queue, lowest * 0.99, 0.0)


@pytest.mark.parametrize("queue", QUEUES + random_queues(12))
@pytest.mark.parametrize("target_stretch", [0.5, 2.0, 8.0])
@pytest.mark.parametrize("size", [1.0, 12.0, 60.0])
def test_gap_is_the_largest_work_that_makes_no_job_late(
    queue: list[QueueEntry], target_stretch: float, size: float
) -> None:
    gap_work = stretch.gap(queue, target_stretch, 0.0, size, 0.0)
    assert gap_work >= 0
    if gap_work > 0:
        assert any_order_meets_all_deadlines(
            [*queue, QueueEntry(0.0, size, gap_work * 0.999)], target_stretch, 0.0
        )
    if stretch.meets_all_deadlines(queue, target_stretch, 0.0):
        assert not any_order_meets_all_deadlines(
            [*queue, QueueEntry(0.0, size, gap_work + 0.01)], target_stretch, 0.0
        )
    else:
        assert gap_work == 0


def test_availability_never_falls_with_stretch_or_size() -> None:
    """Propositions 1 and 2 of the paper, which the binary search of algorithm 4 relies on."""
    stretches, sizes = [0.1, 0.3, 1.0, 3.0, 9.0], [1.0, 5.0, 25.0, 100.0]
    for queue in random_queues(20):
        cells = stretch.availability_matrix([queue], stretches, sizes, [0.5, 2.0], 0.0)
        for a in range(2):
            for s, w in itertools.product(range(len(stretches) - 1), range(len(sizes) - 1)):
                assert cells[s][w][a] <= cells[s + 1][w][a]
                assert cells[s][w][a] <= cells[s][w + 1][a]


@pytest.mark.parametrize(
    ("counts", "tasks", "expected"),
    [([0, 1, 4, 9], 4, 2), ([0, 1, 4, 9], 5, 3), ([5, 5], 1, 0), ([0, 3], 4, None), ([], 1, None)],
)
def test_first_covering_index(counts: list[int], tasks: int, expected: int | None) -> None:
    assert stretch.first_covering_index(counts, tasks) == expected


@pytest.mark.parametrize(
    ("weights", "total", "expected"),
    [
        ([1, 1], 3, [2, 1]),
        ([3, 1], 4, [3, 1]),
        ([0, 5], 2, [0, 2]),
        ([0, 0], 2, [0, 0]),
        ([2, 1, 1], 1, [1, 0, 0]),
    ],
)
def test_proportional_shares(weights: list[float], total: int, expected: list[int]) -> None:
    assert stretch.proportional_shares(weights, total) == expected


@pytest.mark.parametrize("count", [2, 3, 8, 16, 64])
def test_fewer_samples_are_coarser_not_shorter(count: int) -> None:
    """A series with fewer samples must still end at the same value.

    With 8 samples of the stretch instead of 16, a truncated series once ended at 2^-5, where no
    real queue had availability.
    """
    series = stretch.geometric_series(2.0**-12, 8.0, count)
    assert len(series) == count
    assert series[0] == 2.0**-12
    assert series[-1] == pytest.approx(8.0)
    assert all(a < b for a, b in itertools.pairwise(series))
