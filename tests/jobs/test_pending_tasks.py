"""Pending tasks, stored as ranges."""

from __future__ import annotations

import itertools
import random

from pitchtally.jobs.pending_tasks import PendingTasks


def test_pending_tasks_yield_each_task_once() -> None:
    pending = PendingTasks()
    pending.put(50, 60)
    pending.put(0, 20)
    moved = [task for first, end in pending.split_off(13) for task in range(first, end)]
    popped = [pending.pop() for _ in range(pending.count)]
    assert len(moved) == 13
    assert sorted(moved + popped) == [*range(20), *range(50, 60)]


def test_pending_tasks_are_a_set_of_few_ranges() -> None:
    rng = random.Random(7)
    pending, model = PendingTasks(), set[int]()
    for _ in range(400):
        task = rng.randrange(60)
        if rng.random() < 0.4:
            pending.remove(task)
            model.discard(task)
        else:
            end = min(60, task + rng.randrange(4))
            pending.put(task, end)
            model.update(range(task, end))
        assert [task for span in pending.ranges for task in range(*span)] == sorted(model)
        assert pending.count == len(model)
        assert all(a.end < b.first for a, b in itertools.pairwise(pending.ranges))
    assert pending.pop() == min(model)
