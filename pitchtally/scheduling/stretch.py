"""The paper's local scheduler: stretch deadlines, EDF, least stretch, availability.

Pure functions over a machine's queue. Work is in machine-seconds: a task's
estimate times its dominant share of the machine, so one number stands for a
vector of resources and a machine's speed is 1. Algorithms 1 to 3 of Celaya and
Marchal, with the names of the paper in the comments.
"""

from __future__ import annotations

import bisect
import math
from collections.abc import Sequence
from typing import NamedTuple


class Entry(NamedTuple):
    """What a machine's queue holds of one application."""

    release: float  # r
    size: float  # w: the application's whole size
    work: float  # N^u * a: machine-seconds of it that are left on this machine


def deadline(release: float, size: float, stretch: float) -> float:
    """Equation 1: d = r + S * w."""
    return release + stretch * size


def meets(queue: Sequence[Entry], stretch: float, now: float) -> bool:
    """Algorithm 1: whether EDF at this stretch meets every deadline."""
    end = now
    for limit, work in sorted((deadline(e.release, e.size, stretch), e.work) for e in queue):
        end += work
        if end > limit:
            return False
    return True


def least_stretch(queue: Sequence[Entry], now: float, tolerance: float = 0.01) -> float:
    """Algorithm 2, with a tolerance relative to the result.

    The paper's absolute tolerance suits one scale of sizes; ours differ by a
    factor of thousands between a gang of one and a wide array.
    """
    if not queue:
        return 0.0
    low, high = 0.0, 1.0
    while not meets(queue, high, now):
        low, high = high, high * 2
        if high > 1e12:
            return high
    if low == 0.0:
        while high > 1e-9 and meets(queue, high / 2, now):
            high /= 2
        low = high / 2
    while high - low > tolerance * high:
        middle = (low + high) / 2
        if meets(queue, middle, now):
            high = middle
        else:
            low = middle
    return high


class Line(NamedTuple):
    """A queue in EDF order at one stretch, prepared for many new applications."""

    dues: list[float]  # deadlines, rising
    before: list[float]  # work of the applications ahead of each place
    latest: list[float]  # x_i: the latest start of each that makes nobody late
    late: bool  # some application misses its deadline at this stretch


def line(queue: Sequence[Entry], stretch: float, now: float) -> Line:
    """EDF at a stretch, with what each application leaves to the others."""
    rows = sorted((deadline(e.release, e.size, stretch), e.work) for e in queue)
    before, done = [0.0], 0.0
    for _, work in rows:
        done += work
        before.append(done)
    latest = [math.inf] * (len(rows) + 1)
    for i in range(len(rows) - 1, -1, -1):
        due, work = rows[i]
        latest[i] = min(due, latest[i + 1]) - work
    return Line([due for due, _ in rows], before, latest, bool(rows) and latest[0] < now)


def gap_in(found: Line, limit: float, start: float) -> float:
    """Algorithm 3 on a prepared queue: h before the deadline `limit`, from `start` on."""
    if found.late:
        return 0.0
    place = bisect.bisect_left(found.dues, limit)
    return max(0.0, min(limit, found.latest[place]) - (start + found.before[place]))


def gap(queue: Sequence[Entry], stretch: float, release: float, size: float, now: float) -> float:
    """Algorithm 3: machine-seconds free for a new application at this stretch (h)."""
    return gap_in(line(queue, stretch, now), deadline(release, size, stretch), max(release, now))


def capacity(free: float, task: float) -> int:
    """Equation 2: n = floor(h / a)."""
    if task <= 0:
        return 0
    return int(free / task + 1e-9)


def samples(first: float, last: float, count: int) -> list[float]:
    """A geometric series from first to last: fewer samples are coarser, not shorter.

    A series cut short would promise nothing to real queues, whose jobs then wait for a
    split until the queues have run dry.
    """
    if count < 2:
        return [last]
    return [first * (last / first) ** (i / (count - 1)) for i in range(count)]


def sample_below(samples: Sequence[float], value: float) -> int:
    """Index of the largest sample not above a value (0 if all are)."""
    found = 0
    for i, sample in enumerate(samples):
        if sample <= value:
            found = i
    return found


def sample_above(samples: Sequence[float], value: float) -> int:
    """Index of the smallest sample not below a value (the last if none is)."""
    for i, sample in enumerate(samples):
        if sample >= value:
            return i
    return len(samples) - 1


def matrix(
    queues: Sequence[Sequence[Entry]],
    stretches: Sequence[float],
    sizes: Sequence[float],
    tasks: Sequence[float],
    now: float,
    like: float = 1.0,
) -> list[list[list[int]]]:
    """Availability summed over machines: cell [S][w][a] is a number of tasks.

    A queue may stand for `like` machines that share its work evenly.
    """
    out = []
    for stretch in stretches:
        lines = [line(queue, stretch, now) for queue in queues]
        plane = []
        for size in sizes:
            limit = deadline(now, size, stretch)
            gaps = [gap_in(found, limit, now) for found in lines]
            plane.append([int(like * sum(capacity(g, a) for g in gaps)) for a in tasks])
        out.append(plane)
    return out


def least_cover(counts: Sequence[int], wanted: int) -> int | None:
    """Algorithm 4: index of the smallest stretch whose availability covers the tasks.

    Availability never falls as the stretch grows (the paper's proposition 2), so
    a binary search is sound; None if even the largest sample doesn't cover.
    """
    low, high = 0, len(counts) - 1
    if not counts or counts[high] < wanted:
        return None
    while low < high:
        middle = (low + high) // 2
        if counts[middle] >= wanted:
            high = middle
        else:
            low = middle + 1
    return low


def shares(weights: Sequence[float], total: int) -> list[int]:
    """Split a number in proportion to weights, whole and exact (largest remainders)."""
    stays_in_one_shard = sum(weights)
    if stays_in_one_shard <= 0:
        return [0] * len(weights)
    exact = [total * w / stays_in_one_shard for w in weights]
    out = [int(x) for x in exact]
    order = sorted(range(len(weights)), key=lambda i: (out[i] - exact[i], i))
    for i in order[: total - sum(out)]:
        out[i] += 1
    return out
