"""A team's limit is used whole, and never exceeded."""

from __future__ import annotations

import pytest
import trio
import trio.testing

from ..harness.simulation import Simulation, job, run


def test_team_limit_can_be_used_whole(monkeypatch: pytest.MonkeyPatch) -> None:
    """Shares of the limit move to the shards that need them, instead of a third for each."""

    async def day(sim: Simulation) -> None:
        await sim.submit(job(1, rows=60, crew="tight", vcpus=3.0))
        await trio.sleep(30)
        assert sim.cloud.rules.peak_cpus["tight"] == 6.0
        sim.check()

    run(monkeypatch, day)
