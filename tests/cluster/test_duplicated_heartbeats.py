"""Late duplicates of agent heartbeats change nothing."""

from __future__ import annotations

import json
from typing import Any

import pytest
import trio
import trio.testing

from pitchtally.http import Request

from ..harness.simulation import Simulation, job, run


def _state_of_machine(sim: Simulation, name: str) -> list[tuple[Any, ...]]:
    """Return all that a duplicate could change, at every controller."""
    states: list[tuple[Any, ...]] = []
    for node, controller in sorted(sim.controllers.items()):
        machine = controller.agents.machines.get(name)
        if machine is None:
            states.append((node, None))
            continue
        states.append(
            (
                node,
                machine.epoch,
                machine.seq,
                machine.last_heartbeat_at,
                machine.lease_renewed_at,
                machine.lost,
                machine.confirmed,
                sorted(machine.placements),
                machine.ineffective_responses,
                name in controller.agents.terminated,
            )
        )
    return states


@pytest.mark.parametrize(
    "between", ["nothing", "failover", "restart", "agent_restart", "termination"]
)
def test_late_duplicate_of_a_heartbeat_changes_nothing(
    between: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Neither the same leader nor a new one may count a late duplicate as a heartbeat."""

    async def simulate(sim: Simulation) -> None:
        await sim.submit(job(1, rows=30, vcpus=1.0, realS=200.0, ripenS=200.0))
        await trio.sleep(6)
        agent = sim.cloud.agents["i-000001"]
        body = json.dumps(agent.heartbeat()).encode()
        await trio.sleep(2)
        if between == "failover":
            sim.kill("n1")
            await trio.sleep(6)
        elif between == "restart":
            sim.kill("n1")
            await trio.sleep(0.2)
            sim.start("n1")
            await trio.sleep(4)
        elif between == "agent_restart":
            agent.restart()
            await trio.sleep(3)
        elif between == "termination":
            sim.network.partition("*", agent.name)
            sim.network.partition(agent.name, "*")
            await trio.sleep(30)
            assert agent.name in sim.cloud.terminated
            # The new leader did not terminate the machine itself.
            sim.kill("n1")
            await trio.sleep(0.2)
            sim.start("n1")
            await trio.sleep(4)
        # Nothing but the duplicate arrives from the machine.
        sim.network.partition(agent.name, "*")
        await trio.sleep(4.5)
        running_controllers = [
            c for n, c in sim.controllers.items() if n not in sim.network.crashed
        ]
        state_before = _state_of_machine(sim, agent.name)
        for controller in running_controllers:
            response = (await controller.agents.serve(Request("POST", "/v1/report", {}, body))).body
            assert b"start" not in response
        assert _state_of_machine(sim, agent.name) == state_before

    run(monkeypatch, simulate)


def test_duplicate_does_not_restore_a_lost_machine(monkeypatch: pytest.MonkeyPatch) -> None:
    """A new leader must not accept a late duplicate as a machine's first heartbeat."""

    async def simulate(sim: Simulation) -> None:
        await sim.submit(job(1, rows=30, vcpus=1.0, realS=8.0))
        await trio.sleep(6)
        agent = sim.cloud.agents["i-000001"]
        body = json.dumps(agent.heartbeat()).encode()
        sim.cloud.agents.pop(agent.name).terminate()
        sim.kill("n1")
        checks = 0
        for _ in range(30):
            await trio.sleep(1)
            for name, controller in sim.controllers.items():
                if name in sim.network.crashed:
                    continue
                await controller.agents.serve(Request("POST", "/v1/report", {}, body))
                machine = controller.agents.machines.get(agent.name)
                if machine is not None:
                    checks += 1
                    assert machine.lost
                    assert not machine.placements
        assert checks  # the machine was recorded in a shard that a new leader acquired
        sim.start("n1")
        # The shard was reconciled without the machine, which the cloud no longer lists.
        await sim.wait_until_finished(["wk-000001"], limit=40)

    run(monkeypatch, simulate)
