"""Tasks that a shard can't finish by itself are assigned to another shard or zone."""

from __future__ import annotations

from typing import Any

import pytest
import trio
import trio.testing

from ..harness.simulation import Simulation, job, run

ZONE_BOUND_JOBS: list[dict[str, Any]] = [
    job(1, rows=4, vcpus=2.0, oneZone=True, realBy=[2.0, 2.0, 60.0, 60.0], ripenS=30.0),
    job(1, rows=6, vcpus=2.0, oneZone=True, realBy=[2.0] + [60.0] * 5, ripenS=30.0),
    job(1, rows=3, vcpus=2.0, cut="gang", oneZone=True, realBy=[3.0, 60.0, 60.0]),
    job(1, rows=4, vcpus=2.0, spread=True, realBy=[2.0, 2.0, 60.0, 60.0], ripenS=30.0),
    # Every other task is done early, which leaves too many ranges for one record.
    job(1, rows=100, vcpus=0.1, oneZone=True, realBy=[2.0, 60.0] * 50, ripenS=30.0),
]


@pytest.mark.parametrize("spec", ZONE_BOUND_JOBS, ids=["array", "wide", "gang", "spread", "pieces"])
def test_rest_of_a_zone_bound_job_goes_on_in_another_zone(
    spec: dict[str, Any], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Some tasks are done; then the zone's machines crash, and the cloud has no others to offer."""

    async def simulate(sim: Simulation) -> None:
        await sim.submit(spec)
        with trio.fail_after(30):
            while not sim.cloud.rules.completed_tasks:
                await trio.sleep(0.2)
        await trio.sleep(1.5)
        zones = [z for t, (_, z) in sim.cloud.rules.placements.items()]
        zone = zones[0] if zones else "a"
        for agent in [w for w in sim.cloud.agents.values() if w.zone == zone]:
            sim.cloud.agents.pop(agent.name).terminate()
        sim.cloud.capacity = len(sim.cloud.agents)
        for task in range(spec["rows"]):
            spec["realBy"][task] = 5.0
        await sim.wait_until_finished([spec["ref"]], limit=150.0)
        assert sim.final_stages[spec["ref"]] == "done"

    run(monkeypatch, simulate)
