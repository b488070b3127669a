"""Spot instances are drained before the provider preempts them."""

from __future__ import annotations

import pytest
import trio
import trio.testing

from ..harness.simulation import Simulation, job, run


def test_machine_with_a_preemption_notice_is_drained_in_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The machine's tasks move before the notice ends, without waiting for lease expiry."""

    async def simulate(sim: Simulation) -> None:
        await sim.submit(job(1, rows=24, vcpus=1.0, ripenS=30.0, realS=30.0, rackS=5.0))
        await trio.sleep(6)
        agent = next(w for w in sim.cloud.agents.values() if w.tasks)
        agent.preemption_at = trio.current_time() + 8
        await trio.sleep(7)
        assert agent.terminated or not [t for t, s in agent.tasks.items() if s.state == "running"]
        if not agent.terminated:
            agent.terminate()
        await sim.wait_until_finished(["wk-000001"], limit=60)

    run(monkeypatch, simulate)
