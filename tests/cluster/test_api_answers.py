"""Answers to users about their jobs, from any controller and at any time."""

from __future__ import annotations

import pytest
import trio
import trio.testing

from ..harness.simulation import Simulation, job, run


def test_after_an_outage_and_restart_every_job_is_known_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """All controllers restart in an outage with hundreds of open jobs.

    Afterwards users send tens of polls per second.
    """

    async def simulate(sim: Simulation) -> None:
        ids = [f"wk-{number:06d}" for number in range(1, 241)]
        async with trio.open_nursery() as nursery:
            for number in range(1, 241):
                nursery.start_soon(sim.submit, job(number, rows=2, realS=60.0, ripenS=60.0))
        sim.state_store.stop()
        sim.kill()
        await trio.sleep(5)
        sim.start()
        await trio.sleep(5)
        sim.state_store.resume()
        resumed_at = trio.current_time()
        answered_after_s: dict[str, float] = {}

        async def poll_until_answered(id: str, node: int) -> None:
            while id not in answered_after_s:
                if await sim.poll(id, node) is not None:
                    answered_after_s.setdefault(id, trio.current_time() - resumed_at)
                await trio.sleep(5)

        async with trio.open_nursery() as nursery:
            for index, id in enumerate(ids):
                nursery.start_soon(poll_until_answered, id, index % 3)
                await trio.sleep(0.02)
        assert max(answered_after_s.values()) < 20
        assert sim.invariants.violations == []

    run(monkeypatch, simulate)
