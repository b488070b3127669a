"""The paper's local scheduler: stretch deadlines, EDF, least stretch, availability.

Pure functions over a machine's queue: equations 1 and 2 and algorithms 1 to 4 of Celaya and
Marchal, with the paper's symbols in the comments. The paper's "application" is a job here.
Times are in seconds on one clock. Work is in machine-seconds: a task's estimated run time times
its dominant share of the machine. One number thus represents a vector of resources, and every
machine has speed 1.
"""

from __future__ import annotations

import bisect
import math
from collections.abc import Sequence
from typing import NamedTuple

# Bounds of the search for the least stretch.
MIN_STRETCH, MAX_STRETCH = 1e-9, 1e12
# A quotient less than this below an integer is rounded up to it, against floating-point error.
ROUNDING_TOLERANCE = 1e-9


class QueueEntry(NamedTuple):
    """The tasks of one job in a machine's queue."""

    release: float  # r: when the job was released
    size: float  # w: the size of all tasks of the job, in task-seconds
    work: float  # N^u a: machine-seconds left to run on this machine


def deadline(release: float, size: float, stretch: float) -> float:
    """Return a job's deadline at a stretch; equation 1: d = r + S * w."""
    return release + stretch * size


def meets_all_deadlines(queue: Sequence[QueueEntry], stretch: float, now: float) -> bool:
    """Return whether earliest deadline first (EDF) meets every deadline at this stretch.

    Algorithm 1 of the paper.
    """
    end = now
    for due, work in sorted(
        (deadline(entry.release, entry.size, stretch), entry.work) for entry in queue
    ):
        end += work
        if end > due:
            return False
    return True


def least_stretch(queue: Sequence[QueueEntry], now: float, tolerance: float = 0.01) -> float:
    """Return the least stretch at which every deadline is met, by bisection.

    Algorithm 2 of the paper, except that `tolerance` is relative to the result. The paper's
    absolute tolerance suits jobs of similar sizes; here sizes differ by factors of thousands
    between a gang of one task and a wide array.
    """
    if not queue:
        return 0.0
    low, high = 0.0, 1.0
    while not meets_all_deadlines(queue, high, now):
        low, high = high, high * 2
        if high > MAX_STRETCH:
            return high
    if low == 0.0:
        while high > MIN_STRETCH and meets_all_deadlines(queue, high / 2, now):
            high /= 2
        low = high / 2
    while high - low > tolerance * high:
        middle = (low + high) / 2
        if meets_all_deadlines(queue, middle, now):
            high = middle
        else:
            low = middle
    return high


class EdfSchedule(NamedTuple):
    """A queue in EDF order at one stretch, computed once for many calls of `gap_in_schedule`."""

    deadlines: list[float]  # d_i, rising
    work_before: list[float]  # machine-seconds of the jobs ahead of each position
    latest_starts: list[float]  # x_i: the latest start of each entry at which no job is late
    feasible: bool  # whether every deadline is met at this stretch


def edf_schedule(queue: Sequence[QueueEntry], stretch: float, now: float) -> EdfSchedule:
    """Order a queue by its deadlines at a stretch, and compute the latest start of each entry."""
    entries = sorted((deadline(entry.release, entry.size, stretch), entry.work) for entry in queue)
    work_before, total = [0.0], 0.0
    for _, work in entries:
        total += work
        work_before.append(total)
    latest_starts = [math.inf] * (len(entries) + 1)
    for i in range(len(entries) - 1, -1, -1):
        due, work = entries[i]
        latest_starts[i] = min(due, latest_starts[i + 1]) - work
    feasible = not (entries and latest_starts[0] < now)
    return EdfSchedule([due for due, _ in entries], work_before, latest_starts, feasible)


def gap_in_schedule(schedule: EdfSchedule, due: float, earliest_start: float) -> float:
    """Return the machine-seconds available to a job with this deadline and earliest start.

    Algorithm 3 of the paper (h), on a queue that is already in EDF order.
    """
    if not schedule.feasible:
        return 0.0
    position = bisect.bisect_left(schedule.deadlines, due)
    latest_end = min(due, schedule.latest_starts[position])
    return max(0.0, latest_end - (earliest_start + schedule.work_before[position]))


def gap(
    queue: Sequence[QueueEntry], stretch: float, release: float, size: float, now: float
) -> float:
    """Return the machine-seconds available to a new job at this stretch (h of algorithm 3)."""
    schedule = edf_schedule(queue, stretch, now)
    return gap_in_schedule(schedule, deadline(release, size, stretch), max(release, now))


def tasks_in_gap(gap_work: float, cost: float) -> int:
    """Return how many tasks of this cost fit into a gap; equation 2: n = floor(h / a).

    Both arguments are in machine-seconds.
    """
    if cost <= 0:
        return 0
    return int(gap_work / cost + ROUNDING_TOLERANCE)


def geometric_series(first: float, last: float, count: int) -> list[float]:
    """Return a geometric series from `first` to `last`.

    A smaller `count` makes the series coarser, not shorter: a truncated series would show no
    availability for real queues, and jobs would stay unassigned until those queues are empty.
    """
    if count < 2:
        return [last]
    return [first * (last / first) ** (i / (count - 1)) for i in range(count)]


def last_index_at_most(samples: Sequence[float], value: float) -> int:
    """Return the index of the largest sample that is at most `value`; 0 if there is none."""
    index = 0
    for i, sample in enumerate(samples):
        if sample <= value:
            index = i
    return index


def first_index_at_least(samples: Sequence[float], value: float) -> int:
    """Return the index of the smallest sample that is at least `value`.

    Returns the last index if every sample is smaller.
    """
    for i, sample in enumerate(samples):
        if sample >= value:
            return i
    return len(samples) - 1


def availability_matrix(
    queues: Sequence[Sequence[QueueEntry]],
    stretches: Sequence[float],
    sizes: Sequence[float],
    task_work: Sequence[float],
    now: float,
    machines: float = 1.0,
) -> list[list[list[int]]]:
    """Return the availability matrix: cell [S][w][a] is a number of tasks, summed over the queues.

    Each queue represents `machines` interchangeable machines that share its work evenly.
    """
    planes = []
    for stretch in stretches:
        schedules = [edf_schedule(queue, stretch, now) for queue in queues]
        plane = []
        for size in sizes:
            due = deadline(now, size, stretch)
            gaps = [gap_in_schedule(schedule, due, now) for schedule in schedules]
            plane.append(
                [
                    int(machines * sum(tasks_in_gap(gap_work, cost) for gap_work in gaps))
                    for cost in task_work
                ]
            )
        planes.append(plane)
    return planes


def first_covering_index(counts: Sequence[int], tasks: int) -> int | None:
    """Return the index of the least stretch sample whose availability covers the tasks.

    Algorithm 4 of the paper. `counts` is the availability at each stretch sample. Availability
    never falls as the stretch grows (the paper's proposition 2), so a binary search is correct.
    Returns None if even the largest sample doesn't cover the tasks.
    """
    low, high = 0, len(counts) - 1
    if not counts or counts[high] < tasks:
        return None
    while low < high:
        middle = (low + high) // 2
        if counts[middle] >= tasks:
            high = middle
        else:
            low = middle + 1
    return low


def proportional_shares(weights: Sequence[float], total: int) -> list[int]:
    """Divide `total` into integers in proportion to weights, by the largest remainder method."""
    total_weight = sum(weights)
    if total_weight <= 0:
        return [0] * len(weights)
    exact = [total * weight / total_weight for weight in weights]
    shares = [int(share) for share in exact]
    by_remainder = sorted(range(len(weights)), key=lambda i: (shares[i] - exact[i], i))
    for i in by_remainder[: total - sum(shares)]:
        shares[i] += 1
    return shares
