"""Totals per shard and machine group, which are updated with each placement."""

from __future__ import annotations

import random

import pytest
import trio
import trio.testing

from pitchtally.agents.machine import MachineGroupKey, Placement
from pitchtally.jobs.index import Job
from pitchtally.jobs.job_record import OPEN, JobRecord
from pitchtally.jobs.resources import dominant_share

from ..harness.single_controller import (
    MACHINE_TYPE,
    heartbeat_request,
    job_spec,
    leader_of_shard,
)


def test_totals_of_a_shard_equal_the_sums_over_its_placements() -> None:
    """The incrementally updated totals equal sums over all placements."""

    async def main() -> None:
        leader, rng = leader_of_shard(0, 50), random.Random(4)
        jobs = [
            Job(f"wk-{n:06d}", JobRecord(OPEN, 50, job_spec(n, cpus)), 1, 10_000)
            for n, cpus in enumerate((1.0, 2.0, 4.0), 1)
        ]
        for number in range(0, 15, 3):
            await leader.agents.serve(heartbeat_request(number, 1, 50, []))
        machines = list(leader.agents.machines.values())
        placed: list[Placement] = []
        for task in range(400):
            await trio.sleep(rng.random())
            if placed and rng.random() < 0.4:
                assert leader.agents.placements.drop(placed.pop(rng.randrange(len(placed))))
                continue
            placement = Placement(rng.choice(jobs), task, task, rng.choice(machines))
            leader.agents.placements.put(placement)
            placed.append(placement)
            if rng.random() < 0.7:
                leader.agents.placements.mark_running(placement)
        now, seconds = trio.current_time(), 1000.0
        for job in jobs:
            placements_of_job = [p for p in placed if p.job is job]
            expected_seconds = sum(
                seconds - (now - p.running_since if p.running_since is not None else 0)
                for p in placements_of_job
            )
            load = leader.agents.placements.loads[0][MachineGroupKey("big", "a", False)][job.id]
            assert load.remaining_seconds(seconds, now) == pytest.approx(expected_seconds)
            assert load.count == len(placements_of_job)
            assert dominant_share(load.resources, MACHINE_TYPE) == job.spec.cpus / 64
            assert leader.agents.placements.running(0)[job.id] == sum(
                p.running_since is not None for p in placements_of_job
            )
        for placement in placed:
            leader.agents.placements.drop(placement)
        assert not any(leader.agents.placements.loads[0].values())

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
