"""Controllers that are partitioned from the state store, their peers or their agents."""

from __future__ import annotations

import pytest
import trio
import trio.testing

from pitchtally.membership.shards import shard_of

from ..harness.simulation import TIMES, Simulation, job, run


def test_isolated_controller_refuses_users_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """A controller without state store and peers refuses at once what it can't answer."""

    async def simulate(sim: Simulation) -> None:
        await sim.submit(job(1, rows=6, realS=100.0, ripenS=100.0))
        for host in ("state", "n1", "n2"):
            sim.network.partition("n0", host)
        await trio.sleep(8)
        asked_at = trio.current_time()
        assert (await sim.call(0, "GET", "/ready")).status == 503
        assert (await sim.call(0, "GET", "/api/jobs/wk-000001")).status == 503
        refused = await sim.call(0, "POST", "/api/jobs", job(2))
        assert refused.status == 503
        assert dict(refused.headers)["Retry-After"]
        assert (await sim.call(0, "POST", "/api/jobs/wk-000001/cancel")).status == 503
        assert trio.current_time() - asked_at < 0.2
        # Another controller leads shard 0 by now, and cancelled tasks are stopped in time.
        assert sim.controllers["n1"].membership.leader(0) != "n0"
        await sim.cancel("wk-000001")
        await trio.sleep(26)
        sim.check()

    run(monkeypatch, simulate)


def test_partitioned_leader_drops_no_placement_that_its_successor_may_renew(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The successor may renew leases of machines whose heartbeats the old leader doesn't get."""

    async def simulate(sim: Simulation) -> None:
        await sim.submit(job(1, rows=8, vcpus=2.0, realS=200.0, ripenS=200.0))
        await trio.sleep(4)
        old_leader = sim.controllers["n1"].agents
        machines = [machine for machine in old_leader.machines.values() if machine.placements]
        assert machines
        for host in ("state", "n0", "n2", *(machine.name for machine in machines)):
            sim.network.partition("n1", host)
        placement_counts = {machine.name: len(machine.placements) for machine in machines}
        await trio.sleep(TIMES.lease_s * 2)
        new_leader = next(
            sim.controllers[node].agents
            for node in ("n0", "n2")
            if shard_of(machines[0].name, 3) in sim.controllers[node].agents.shards
        )
        assert any(new_leader.machines[name].placements for name in placement_counts)
        for name, count in placement_counts.items():
            if name in old_leader.machines:
                assert len(old_leader.machines[name].placements) == count
        sim.check()

    run(monkeypatch, simulate)


def test_controller_without_the_state_store_forwards_requests_to_a_peer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Only in an outage for all controllers may users get 503."""

    async def simulate(sim: Simulation) -> None:
        sim.network.partition("n0", "state")
        await trio.sleep(6)
        body = {k: v for k, v in job(1).items() if k != "realS"}
        sim.cloud.rules.specs["wk-000001"] = job(1)
        assert (await sim.call(0, "POST", "/api/jobs", body)).status == 201
        assert (await sim.call(0, "GET", "/api/jobs/wk-000001")).status == 200
        assert (await sim.call(0, "GET", "/api/jobs/wk-000009")).status == 404
        assert (await sim.call(0, "GET", "/ready")).status == 503
        sim.network.heal()
        sim.state_store.stop()
        await trio.sleep(8)
        # In an outage for all, no peer can answer either: stay ready, and send Retry-After.
        assert (await sim.call(0, "GET", "/ready")).status == 200
        answer = await sim.call(0, "POST", "/api/jobs", {**body, "ref": "wk-000002"})
        assert answer.status == 503
        assert dict(answer.headers)["Retry-After"] == "1"
        sim.check()

    run(monkeypatch, simulate)
