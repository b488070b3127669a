"""Small pieces that the rules rest on."""

from __future__ import annotations

import random

import pytest
import trio
import trio.testing

from pitchtally.jobs.job_record import merge
from pitchtally.jobs.resources import Resources, count_fitting, fits
from pitchtally.jobs.task_bitmap import TaskBitmap
from pitchtally.membership.shards import preference, shard_of
from pitchtally.scheduling.allocations import PendingTasks
from pitchtally.scheduling.capacity import plan_gang
from pitchtally.state_store.rate_limits import Priority, TokenBucket


def test_bits_join_at_any_offset() -> None:
    stays_in_one_shard = TaskBitmap(100)
    chosen = random.Random(3).sample(range(100), 40)
    for index in chosen:
        assert stays_in_one_shard.add(index)
        assert not stays_in_one_shard.add(index)
    copy = TaskBitmap(100)
    copy.join(bytes(stays_in_one_shard.data[:5]))
    copy.join(bytes(stays_in_one_shard.data[5:]), 5)
    copy.join(bytes(stays_in_one_shard.data))
    assert copy.count == 40
    assert all((i in copy) == (i in chosen) for i in range(100))


@pytest.mark.parametrize(
    ("ranges", "out"),
    [
        ([(0, 3, 1), (3, 5, 1)], [(0, 5, 1)]),
        ([(3, 5, 2), (0, 3, 1), (5, 5, 0)], [(0, 3, 1), (3, 5, 2)]),
        ([(0, 2, 1), (4, 5, 1)], [(0, 2, 1), (4, 5, 1)]),
    ],
)
def test_merge(ranges: list[tuple[int, int, int]], out: list[tuple[int, int, int]]) -> None:
    assert merge(ranges) == out


def test_pool_gives_each_task_once() -> None:
    pending = PendingTasks()
    pending.put(50, 60)
    pending.put(0, 20)
    carved = [t for a, b in pending.carve(13) for t in range(a, b)]
    popped = [pending.pop() for _ in range(pending.count)]
    assert len(carved) == 13
    assert sorted(carved + popped) == [*range(20), *range(50, 60)]


@pytest.mark.parametrize(
    ("name", "shard"),
    [("i-000231", 0), ("i-000232", 1), ("i-0", 0), ("odd", sum(b"odd") % 3), ("", 0)],
)
def test_shard_of(name: str, shard: int) -> None:
    assert shard_of(name, 3) == shard


def test_preference_starts_at_home() -> None:
    assert preference(["a", "b", "c"], 1) == ["b", "c", "a"]


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
    """An unlimited share once broke the whole of placement: infinity is a room too."""
    request, free = Resources(*requested), Resources(*available)
    assert count_fitting(request, free) == count
    assert fits(request, free) == (count > 0)


ROOMS = {(0, "a"): 2, (1, "a"): 1, (1, "b"): 3, (2, "b"): 1}


@pytest.mark.parametrize(
    ("tasks", "one_zone", "spread", "fits_"),
    [
        (7, False, False, True),
        (8, False, False, False),
        (4, True, False, True),
        (5, True, False, False),
        (6, False, True, True),
        (7, False, True, True),
    ],
)
def test_plan_rooms(tasks: int, one_zone: bool, spread: bool, fits_: bool) -> None:
    plan = plan_gang(ROOMS, tasks, one_zone=one_zone, spread=spread)
    assert (plan is not None) == fits_
    if plan is None:
        return
    assert sum(plan.values()) == tasks
    assert all(n <= ROOMS[key] for key, n in plan.items())
    zones = {z: sum(n for (_, y), n in plan.items() if y == z) for _, z in plan}
    assert not one_zone or len(zones) == 1
    assert not spread or max(zones.values()) <= (tasks + 1) // 2


def test_bucket_serves_by_priority_within_its_rate() -> None:
    served: list[tuple[float, int]] = []

    async def main() -> None:
        bucket = TokenBucket(10, 2)

        async def one(priority: Priority) -> None:
            await bucket.acquire(priority)
            served.append((trio.current_time() - start, priority))

        start = trio.current_time()
        async with trio.open_nursery() as nursery:
            for _ in range(6):
                nursery.start_soon(one, Priority.PROGRESS)
            await trio.sleep(0.05)
            assert bucket.wait_time(Priority.LEASES) < bucket.wait_time(Priority.PROGRESS)
            for _ in range(3):
                nursery.start_soon(one, Priority.LEASES)

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    assert [p for _, p in served[1:4]] == [Priority.LEASES] * 3
    assert served[-1][0] == pytest.approx(0.78, abs=0.1)


def test_progress_leaves_tokens_to_acceptances() -> None:
    """Under a flood of submissions, progress writes once took the tokens they needed."""

    async def main() -> None:
        bucket = TokenBucket(1, 10)
        with trio.move_on_after(0.5):
            for _ in range(10):
                await bucket.acquire(Priority.PROGRESS)
        assert bucket.wait_time(Priority.SUBMISSIONS, 4) == 0

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
