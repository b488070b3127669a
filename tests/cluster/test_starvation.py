"""No job waits forever while other jobs are submitted."""

from __future__ import annotations

import pytest
import trio
import trio.testing

from ..harness.simulation import Simulation, job, run


def test_large_jobs_of_low_rank_start_beside_an_endless_stream_of_small_ones(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Wide arrays and gangs start within their bound although small jobs keep being submitted."""

    async def simulate(sim: Simulation) -> None:
        sim.cloud.capacity = 4
        last_number = 100

        async def submit_small_jobs() -> None:
            nonlocal last_number
            while True:
                last_number += 1
                await sim.submit(job(last_number, rows=8, vcpus=1.0, realS=6.0, ripenS=6.0))
                await trio.sleep(1.0)

        sim.nursery.start_soon(submit_small_jobs)
        await trio.sleep(12)
        submitted_at = trio.current_time()
        await sim.submit(job(1, rows=60, rank="idle", vcpus=2.0, vintage="low"))
        await sim.submit(job(2, rows=2, cut="gang", vcpus=8.0, vintage="wide", oneZone=True))
        await sim.submit(job(3, rows=1, rank="idle", vcpus=8.0, vintage="large"))
        await trio.sleep(238)
        for number in (1, 2, 3):
            assert sim.cloud.rules.first_start[f"wk-{number:06d}"] - submitted_at < 240, number
        sim.check()

    run(monkeypatch, simulate)
