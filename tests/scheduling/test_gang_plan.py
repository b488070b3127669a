"""Distribution of a gang's tasks over shards and zones."""

from __future__ import annotations

import pytest

from pitchtally.scheduling.capacity import ShardZone, plan_gang

CAPACITIES = {
    ShardZone(0, "a"): 2,
    ShardZone(1, "a"): 1,
    ShardZone(1, "b"): 3,
    ShardZone(2, "b"): 1,
}


@pytest.mark.parametrize(
    ("tasks", "one_zone", "spread", "fits"),
    [
        (7, False, False, True),
        (8, False, False, False),
        (4, True, False, True),
        (5, True, False, False),
        (6, False, True, True),
        (7, False, True, True),
    ],
)
def test_plan_gang(tasks: int, one_zone: bool, spread: bool, fits: bool) -> None:
    plan = plan_gang(CAPACITIES, tasks, one_zone=one_zone, spread=spread)
    assert (plan is not None) == fits
    if plan is None:
        return
    assert sum(plan.values()) == tasks
    assert all(count <= CAPACITIES[shard_zone] for shard_zone, count in plan.items())
    tasks_by_zone = {
        zone: sum(count for (_, other_zone), count in plan.items() if other_zone == zone)
        for _, zone in plan
    }
    assert not one_zone or len(tasks_by_zone) == 1
    assert not spread or max(tasks_by_zone.values()) <= (tasks + 1) // 2
