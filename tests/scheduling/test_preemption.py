"""Choice of the preemption steps for a job."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import pytest

from pitchtally.scheduling.placement.preemption import Preemption, Step

FREE, TAKEN = 0, 1


def _steps(*zones_and_victims: tuple[str, int]) -> list[Step]:
    """Return one step for each pair of a zone and a number of victims."""
    steps: list[Step] = []
    for number, (zone, victims) in enumerate(zones_and_victims):
        machine: Any = SimpleNamespace(zone=zone)
        victim: Any = SimpleNamespace(key=f"wk-9/{number}")
        steps.append(Step(float(victims), f"i-{number}", machine, [victim] * victims))
    return steps


def _allocation(pending: int, *, gang: bool = False, zones: dict[str, int] | None = None) -> Any:
    """Return a job with pending tasks; `zones`: how many more a spread job may have in each."""
    return SimpleNamespace(
        pending=SimpleNamespace(count=pending),
        gang=gang,
        shard=0,
        job=SimpleNamespace(record=SimpleNamespace(zone_caps=[])),
        spec=SimpleNamespace(spread=zones is not None, tasks=8),
        max_tasks_in_zone=lambda zone: (zones or {})[zone],
        placed_in=lambda zone: 0,
    )


A_FREE, A_TAKEN, B_FREE, B_TAKEN = ("a", FREE), ("a", TAKEN), ("b", FREE), ("b", TAKEN)


@pytest.mark.parametrize(
    ("allocation", "steps", "chosen"),
    [
        # The next heartbeat starts both tasks on free capacity.
        (_allocation(2), _steps(A_FREE, A_FREE, A_TAKEN), []),
        # Free capacity in a zone was once counted against the limit of tasks added by preemption.
        (_allocation(5), _steps(A_FREE, A_FREE, A_FREE, A_FREE, A_TAKEN, A_TAKEN), ["i-4"]),
        (_allocation(3), _steps(A_FREE, A_TAKEN, B_TAKEN, B_TAKEN), ["i-1", "i-2"]),
        (_allocation(2, gang=True), _steps(A_FREE, A_TAKEN), ["i-0", "i-1"]),
        (_allocation(3, gang=True), _steps(A_FREE, A_TAKEN), []),  # too few steps to start the gang
        # A spread job that may have two more tasks in zone a and one in zone b.
        (_allocation(3, zones={"a": 2, "b": 1}), _steps(A_TAKEN, A_TAKEN, A_TAKEN), ["i-0", "i-1"]),
        (_allocation(3, zones={"a": 2, "b": 1}), _steps(A_FREE, A_FREE, A_FREE, B_TAKEN), ["i-3"]),
        (_allocation(3, zones={"a": 0, "b": 1}), _steps(A_TAKEN, A_FREE, B_TAKEN), ["i-2"]),
        (_allocation(1, zones={"a": 0, "b": 0}), _steps(A_TAKEN, B_FREE), []),
    ],
)
def test_choice_of_preemption_steps(allocation: Any, steps: list[Step], chosen: list[str]) -> None:
    chosen_steps = Preemption._choose(allocation, steps)
    assert [step.machine_name for step in chosen_steps] == chosen
