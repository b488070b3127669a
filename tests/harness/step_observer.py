"""Observes how much a controller does between two yields."""

from __future__ import annotations

import itertools
from collections.abc import Callable

import trio


class StepObserver(trio.abc.Instrument):
    """Reads a value after each step of any task of trio, that is, at each yield.

    What is read doesn't depend on the order in which trio runs the tasks of a round.
    """

    def __init__(self, read_value: Callable[[], int], start: int) -> None:
        """Initialise; `start` is the value before the first step."""
        self._read_value = read_value
        self.values = [start]

    def after_task_step(self, task: trio.lowlevel.Task) -> None:
        """Read the value after a step."""
        self.values.append(self._read_value())

    @property
    def largest_change(self) -> int:
        """The largest change of the value within one step."""
        return max(abs(after - before) for before, after in itertools.pairwise(self.values))
