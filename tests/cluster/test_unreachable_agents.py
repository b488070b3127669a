"""Agents whose heartbeats arrive while no response or command reaches them."""

from __future__ import annotations

from typing import Any

import pytest
import trio
import trio.testing

from pitchtally.membership.shards import shard_of

from ..harness.simulation import Simulation, job, run


def _leader_of(sim: Simulation, machine: str) -> Any:
    """Return the controller that leads the shard of a machine."""
    shard = shard_of(machine, 3)
    return next(
        controller for controller in sim.controllers.values() if shard in controller.agents.shards
    )


def test_unreachable_agent_gets_no_more_tasks_and_is_terminated(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Only a heartbeat that shows the effect of a response proves that the agent received it."""

    async def simulate(sim: Simulation) -> None:
        await sim.submit(job(1, rows=200, vcpus=1.0))
        await trio.sleep(4)
        machine_name = next(name for name, agent in sim.cloud.agents.items() if agent.tasks)
        sim.network.partition_inbound(machine_name)
        starts_sent: list[Any] = []
        leader = _leader_of(sim, machine_name)
        schedule_on = leader.scheduler.placer.schedule_on

        def record_starts(machine: Any) -> Any:
            commands = schedule_on(machine)
            if machine.name == machine_name:
                starts_sent.append((trio.current_time(), len(commands)))
            return commands

        leader.scheduler.placer.schedule_on = record_starts
        partitioned_at = trio.current_time()
        await trio.sleep(40)
        # The agent counts as unreachable after its second response without effect.
        assert all(not count for sent_at, count in starts_sent if sent_at - partitioned_at > 25)
        assert len([1 for _, count in starts_sent if count]) <= 3
        assert machine_name in sim.cloud.terminated
        await sim.wait_until_finished(["wk-000001"])

    run(monkeypatch, simulate)


def test_failover_does_not_wait_for_an_unreachable_agent(monkeypatch: pytest.MonkeyPatch) -> None:
    """The agent must count as lost despite its heartbeats, and its shard must be reconciled."""

    async def simulate(sim: Simulation) -> None:
        await sim.submit(job(1, rows=40, vcpus=1.0, realS=6.0))
        await trio.sleep(4)
        machine_name = "i-000003"  # belongs to shard 0
        sim.network.partition_inbound(machine_name)
        sim.kill("n0")
        await trio.sleep(0.2)
        sim.start("n0")
        await trio.sleep(25)
        assert _leader_of(sim, machine_name).agents.shards[0].reconciled
        await sim.wait_until_finished(["wk-000001"], limit=60)

    run(monkeypatch, simulate)
