"""Only the present cluster leader launches and terminates machines."""

from __future__ import annotations

import pytest
import trio
import trio.testing

from pitchtally.http import Request, Response
from standins.network import CURRENT_HOST

from ..harness.simulation import TIMES, Simulation, job, run


def test_partitioned_cluster_leader_stops_calling_the_cloud(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The cloud API accepts no fencing token, so a deposed leader must stop by itself."""

    async def simulate(sim: Simulation) -> None:
        requests: list[tuple[float, str]] = []
        handle = sim.cloud.handle

        async def handle_and_record(request: Request) -> Response:
            if request.method == "POST":
                requests.append((trio.current_time(), CURRENT_HOST.get()))
            return await handle(request)

        sim.network.hosts[("10.2.0.2", 8443)] = ("cloud", handle_and_record)
        await sim.submit(job(1, rows=60, vcpus=4.0, realS=20.0, ripenS=20.0))
        await trio.sleep(1)
        for host in ("state", "n1", "n2", *sim.cloud.agents):
            sim.network.partition("n0", host)
        partitioned_at = trio.current_time()
        await trio.sleep(60)
        late_callers = [
            caller
            for called_at, caller in requests
            if called_at > partitioned_at + TIMES.lease_s / 4 + 1
        ]
        assert "n0" not in late_callers
        assert late_callers  # its successor calls the cloud
        sim.check()

    run(monkeypatch, simulate)
