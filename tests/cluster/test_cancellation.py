"""Tasks of cancelled jobs are stopped in time, whichever controllers fail meanwhile."""

from __future__ import annotations

import pytest
import trio
import trio.testing

from ..harness.simulation import TIMES, Simulation, job, run


@pytest.mark.parametrize("gap", [0.0, 0.5, 2.0])
def test_job_cancelled_between_two_leaders_is_stopped(
    gap: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The former leader has ended; its successor finds running tasks of a cancelled job."""

    async def day(sim: Simulation) -> None:
        # Other jobs keep the machines busy, so that none is terminated as idle.
        for number, team in ((1, "free"), (2, "free"), (3, "tight")):
            await sim.submit(job(number, rows=6, vcpus=1.0, crew=team, realS=400.0, ripenS=400.0))
        with trio.fail_after(10):
            while len(sim.world.rules.placements) < 18:
                await trio.sleep(0.1)
        sim.kill("n1", "n2")
        await trio.sleep(gap)
        await sim.cancel("wk-000001")
        await sim.cancel("wk-000003")
        await sim.submit(job(4, rows=6, vcpus=1.0, crew="tight"))
        await trio.sleep(TIMES.cancel_s + 2)
        left = {task.rpartition("/")[0] for task in sim.world.rules.placements}
        assert left <= {"wk-000002"}
        sim.check()  # the team's limit too: six tasks at once

    run(monkeypatch, day)
