"""Requests that a controller forwards to its peers while it can't answer by itself."""

from __future__ import annotations

from typing import Any

import pytest
import trio
import trio.testing

from pitchtally.http import Response
from standins.network import CURRENT_HOST

from ..harness.simulation import Simulation, job, run


def test_forwarded_requests_do_not_crowd_out_peer_heartbeats(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Polls at a controller without the state store must leave connections for heartbeats."""

    async def simulate(sim: Simulation) -> None:
        await sim.submit(job(1, rows=4, realS=900.0, ripenS=900.0))
        await sim.submit(job(2, rows=1, realS=1.0, ripenS=1.0))
        await sim.wait_until_finished(["wk-000002"], limit=30)
        in_flight = peak = 0
        original_call = sim.network.call

        async def counted_call(
            address: Any, method: str, target: str, *args: Any, **kwargs: Any
        ) -> Any:
            nonlocal in_flight, peak
            forwarded = target == "/peer" and CURRENT_HOST.get() == "n0"
            in_flight += forwarded
            peak = max(peak, in_flight)
            try:
                return await original_call(address, method, target, *args, **kwargs)
            finally:
                in_flight -= forwarded

        monkeypatch.setattr(sim.network, "call", counted_call)
        sim.state_store.refused_callers.add("n0")
        for name in ("n1", "n2"):
            sim.network.reply_delay[("n0", name)] = 0.3
        await trio.sleep(3)
        answers: list[Response] = []

        async def poll(id: str) -> None:
            answers.append(await sim.call(0, "GET", f"/api/jobs/{id}"))

        async with trio.open_nursery() as nursery:
            for _ in range(300):
                nursery.start_soon(poll, "wk-000001")
            polled_at = trio.current_time()
            await poll("wk-000002")
            # The controller answers about finished jobs from its own replica.
            assert trio.current_time() - polled_at < 0.2
        assert {answer.status for answer in answers} == {200, 503}
        assert all(dict(a.headers)["Retry-After"] == "1" for a in answers if a.status == 503)
        assert peak <= 800 / 80 + 4  # plus at most two heartbeats to each of two peers
        sim.check()

    run(monkeypatch, simulate)
