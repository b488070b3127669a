"""Requests that arrive while the last task of a job ends."""

from __future__ import annotations

from typing import Any

import pytest
import trio
import trio.testing

from ..harness.simulation import TIMES, Simulation, job, run, submission


async def submit_again(sim: Simulation, node: int, spec: dict[str, Any]) -> None:
    await sim.send(node, "POST", "/api/jobs", submission(spec), job_id=spec["ref"], repeat=True)


@pytest.mark.parametrize("seconds_before", [0.5, 0.2, 0.05, 0.0, -0.05, -0.15, -0.4, -1.0])
@pytest.mark.parametrize("rows", [1, 3])
def test_cancellation_while_the_last_task_ends_has_one_outcome(
    seconds_before: float, rows: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """One compare-and-swap decides the outcome, and every answer reports that outcome."""

    async def simulate(sim: Simulation) -> None:
        specs = [job(n, rows=rows, vcpus=1.0, realS=4.0) for n in range(1, 5)]
        for spec in specs:
            await sim.submit(spec)
        first_starts = sim.cloud.rules.first_start
        with trio.fail_after(20):
            while len(first_starts) < len(specs):
                await trio.sleep(0.01)
        expected_end_at = max(first_starts.values()) + 4.0
        await trio.sleep(max(0.0, expected_end_at - seconds_before - trio.current_time()))
        async with trio.open_nursery() as nursery:
            for number, spec in enumerate(specs):
                nursery.start_soon(sim.cancel, spec["ref"], number)
                for node in range(3):
                    nursery.start_soon(sim.poll, spec["ref"], node)
                    nursery.start_soon(submit_again, sim, node, spec)
        await sim.wait_until_finished([spec["ref"] for spec in specs])
        await trio.sleep(TIMES.cancel_s + 1)
        sim.check()

    run(monkeypatch, simulate)
