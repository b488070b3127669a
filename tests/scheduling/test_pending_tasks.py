"""Pending tasks, stored as ranges."""

from __future__ import annotations

from pitchtally.scheduling.shards.allocations import PendingTasks


def test_pending_tasks_yield_each_task_once() -> None:
    pending = PendingTasks()
    pending.put(50, 60)
    pending.put(0, 20)
    moved = [task for first, end in pending.split_off(13) for task in range(first, end)]
    popped = [pending.pop() for _ in range(pending.count)]
    assert len(moved) == 13
    assert sorted(moved + popped) == [*range(20), *range(50, 60)]
