"""Number of tasks of a team that one shard may start."""

from __future__ import annotations

import pytest
import trio
import trio.testing

from pitchtally.config.settings import Team

from ..harness.single_controller import (
    job_spec,
    leader_of_shard,
)

SUSPECTS = [
    # (suspect machines of 64 CPUs, tasks of 2 CPUs that may start)
    (0, 100),
    (1, 68),
    (3, 4),
    (4, 0),
]


@pytest.mark.parametrize(("suspects", "startable"), SUSPECTS)
def test_limited_team_may_start_what_suspect_machines_can_not_hold(
    suspects: int, startable: int
) -> None:
    """Suspect machines count as full of the team's tasks; the rest of its share may start."""

    async def main() -> None:
        leader = leader_of_shard(0, 50)
        shard = leader.agents.shards[0]
        leader.scheduler.quotas.teams = {"free": Team("free", cpus_max=600.0)}  # 200 per shard
        leader.scheduler.shards.states[0].reconciled = not suspects
        for number in range(suspects):
            name = f"i-{number * 3:06d}"
            leader.agents.index.add(name, "big", "a", False, "10.1.0.1:9000")
            shard.suspects.add(name)
        assert leader.scheduler.quotas.tasks_within_limit(0, job_spec(1, 2.0)) == startable
        leader.autoscaler.types.clear()
        for machine in leader.agents.machines.values():
            machine.machine_type = None
        assert leader.scheduler.quotas.tasks_within_limit(0, job_spec(1, 2.0)) == (
            0 if suspects else startable
        )

    trio.run(main, clock=trio.testing.MockClock())
