"""The tasks of an allocation that have not started, stored as ranges."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from operator import attrgetter
from typing import NamedTuple


class PendingRange(NamedTuple):
    """The tasks from `first` up to, but not including, `end`."""

    first: int
    end: int


_first = attrgetter("first")
_end = attrgetter("end")


class PendingTasks:
    """A set of task numbers, as sorted ranges that neither overlap nor touch.

    The cost of a change depends on the number of ranges, not on the number of tasks in them.
    """

    def __init__(self) -> None:
        self.ranges: list[PendingRange] = []
        self.count = 0

    def put(self, first: int, end: int) -> None:
        """Add the tasks from `first` up to, but not including, `end`."""
        if first >= end:
            return
        # The ranges from `low` up to, but not including, `high` overlap or touch the new one.
        low = bisect_left(self.ranges, first, key=_end)
        high = bisect_right(self.ranges, end, key=_first)
        joined = self.ranges[low:high]
        if joined:
            first = min(first, joined[0].first)
            end = max(end, joined[-1].end)
        self.count += end - first - sum(old.end - old.first for old in joined)
        self.ranges[low:high] = [PendingRange(first, end)]

    def remove(self, task: int) -> None:
        """Remove a task if it is present."""
        index = bisect_right(self.ranges, task, key=_first) - 1
        if index < 0 or self.ranges[index].end <= task:
            return
        first, end = self.ranges[index]
        remaining = [PendingRange(first, task), PendingRange(task + 1, end)]
        self.ranges[index : index + 1] = [part for part in remaining if part.first < part.end]
        self.count -= 1

    def pop(self) -> int:
        """Remove and return the task with the lowest number; raise IndexError if there is none."""
        first, end = self.ranges[0]
        if end - first == 1:
            del self.ranges[0]
        else:
            self.ranges[0] = PendingRange(first + 1, end)
        self.count -= 1
        return first

    def split_off(self, max_count: int) -> list[PendingRange]:
        """Remove up to `max_count` tasks, those that would start last first; return the ranges."""
        removed = []
        while max_count > 0 and self.ranges:
            first, end = self.ranges.pop()
            taken = min(max_count, end - first)
            removed.append(PendingRange(end - taken, end))
            if first < end - taken:
                self.ranges.append(PendingRange(first, end - taken))
            max_count -= taken
            self.count -= taken
        return removed
