"""A team's limit can be used in full, and is never exceeded."""

from __future__ import annotations

import pytest
import trio
import trio.testing

from ..harness.simulation import Simulation, job, run


def test_team_limit_can_be_used_whole(monkeypatch: pytest.MonkeyPatch) -> None:
    """Shares of the limit move to the shards that need them, instead of staying at a third each."""

    async def simulate(sim: Simulation) -> None:
        await sim.submit(job(1, rows=60, crew="tight", vcpus=3.0))
        await trio.sleep(30)
        assert sim.cloud.rules.peak_cpus["tight"] == 6.0
        sim.check()

    run(monkeypatch, simulate)
