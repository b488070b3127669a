"""Replicas of a service run until their job is cancelled, and are replaced when they fail."""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
import trio

from ..harness.services import RECOVERY_TIMEOUT_S, replicas_up, service, wait_until, wait_until_up
from ..harness.simulation import TIMES, Simulation, job, run


def test_service_runs_until_it_is_cancelled(monkeypatch: pytest.MonkeyPatch) -> None:
    async def simulate(sim: Simulation) -> None:
        spec = service(1)
        await sim.submit(spec)
        assert await sim.poll(spec["ref"], 0) == "pending"
        await wait_until_up(sim, spec, within=5.0)
        await trio.sleep(120)
        for node in range(3):
            answer = await sim.call(node, "GET", f"/api/jobs/{spec['ref']}")
            view = json.loads(answer.body)
            assert (view["stage"], view["done"], view["running"]) == ("running", 0, 3)
        writes = [key for _, key, _ in sim.state_store.log if key == f"pt/jobs/{spec['ref']}"]
        # The record is written on acceptance, and at most once more for an assignment.
        assert len(writes) <= 2
        await sim.cancel(spec["ref"])
        await trio.sleep(TIMES.cancel_s + 1)
        assert not replicas_up(sim, spec["ref"])
        assert sim.cloud.rules.start_count == 3
        sim.check()

    run(monkeypatch, simulate)


def test_replica_that_ends_is_restarted_and_counts_as_no_result(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Replicas that end quickly are restarted with a backoff."""

    async def simulate(sim: Simulation) -> None:
        slow_to_end = service(1, realEnds=20.0)
        quick_to_end = service(2, realEnds=0.2)
        await sim.submit(slow_to_end)
        await sim.submit(quick_to_end)
        await trio.sleep(200)
        starts = sim.cloud.rules.starts_of
        assert starts(slow_to_end["ref"]) >= 3 * 6
        assert starts(quick_to_end["ref"]) <= 3 * 40
        for id in (slow_to_end["ref"], quick_to_end["ref"]):
            assert await sim.poll(id, 0) in ("running", "pending")
            await sim.cancel(id)
        sim.check()

    run(monkeypatch, simulate)


def test_service_preempts_only_jobs_of_lower_rank(monkeypatch: pytest.MonkeyPatch) -> None:
    """On full machines a service preempts an idle job at once, but not another service."""

    async def simulate(sim: Simulation) -> None:
        sim.cloud.capacity = len(sim.cloud.agents)
        first = service(1, rows=16, vcpus=1.0)
        await sim.submit(first)
        await wait_until_up(sim, first, within=10.0)
        idle = job(2, rows=60, vcpus=1.0, rank="idle", realS=50.0, ripenS=50.0)
        await sim.submit(idle)
        await wait_until(lambda: len(sim.cloud.rules.placements) == 32, 20)
        second = service(3, rows=8, vcpus=1.0)
        await sim.submit(second)
        await wait_until_up(sim, first, second, within=8.0)
        third = service(4, rows=10, vcpus=1.0)
        await sim.submit(third)
        await trio.sleep(20)
        assert (replicas_up(sim, first["ref"]), replicas_up(sim, second["ref"])) == (16, 8)
        assert replicas_up(sim, third["ref"]) <= 8
        sim.check()

    run(monkeypatch, simulate)


@pytest.mark.parametrize("seed", range(4))
def test_service_of_a_limited_team_gets_its_share_on_full_machines(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The limit is allotted to another shard, and must move before a service can preempt."""

    async def simulate(sim: Simulation) -> None:
        sim.cloud.capacity = len(sim.cloud.agents)
        # This service moves all shares of the limit to one shard.
        earlier = service(3, rows=6, crew="tight")
        await sim.submit(earlier)
        await wait_until_up(sim, earlier, within=15.0)
        await sim.submit(job(2, rows=200, vcpus=1.0, rank="idle", realS=90.0, ripenS=90.0))
        await wait_until(lambda: len(sim.cloud.rules.placements) == 32, 20)
        await sim.cancel(earlier["ref"])
        await wait_until(lambda: len(sim.cloud.rules.placements) == 32, 20)
        specs = [service(number, rows=2, crew="tight") for number in (4, 5, 6)]
        for spec in specs:
            await sim.submit(spec)
        await wait_until_up(sim, *specs, within=15.0)
        sim.check()

    run(monkeypatch, simulate, seed)


def test_machines_with_replicas_are_not_terminated(monkeypatch: pytest.MonkeyPatch) -> None:
    async def simulate(sim: Simulation) -> None:
        spec = service(1, rows=4, spread=True)
        await sim.submit(spec)
        await wait_until_up(sim, spec, within=5.0)
        await trio.sleep(120)
        assert sim.cloud.terminated  # machines without replicas
        assert sim.cloud.rules.start_count == 4

    run(monkeypatch, simulate)


def machine_with_replica(sim: Simulation, id: str) -> Any:
    machine_name = next(
        machine
        for task, (machine, _) in sim.cloud.rules.placements.items()
        if task.startswith(f"{id}/")
    )
    return sim.cloud.agents[machine_name]


async def terminate_machine(sim: Simulation, agent: Any) -> None:
    sim.cloud.agents.pop(agent.name).terminate()


async def preempt_machine(sim: Simulation, agent: Any) -> None:
    agent.preemption_at = trio.current_time() + 6.0
    agent.status_changed.set()
    await trio.sleep(6.0)
    # The drained machine may have been terminated before its notice ended.
    if agent.name in sim.cloud.agents:
        sim.cloud.agents.pop(agent.name).terminate()


async def restart_agent(sim: Simulation, agent: Any) -> None:
    agent.restart()


async def hang_agent(sim: Simulation, agent: Any) -> None:
    await agent.hang(TIMES.lease_s * 1.5)


async def isolate_machine(sim: Simulation, agent: Any) -> None:
    sim.network.partition(agent.name, "*")
    sim.network.partition("*", agent.name)
    await trio.sleep(TIMES.lease_s * 2)
    sim.network.heal()


@pytest.mark.parametrize(
    "loss", [terminate_machine, preempt_machine, restart_agent, hang_agent, isolate_machine]
)
@pytest.mark.parametrize("more", [{}, {"spread": True}, {"oneZone": True}], ids=str)
def test_replicas_of_a_lost_machine_run_elsewhere(
    loss: Callable[[Simulation, Any], Awaitable[None]],
    more: dict[str, Any],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def simulate(sim: Simulation) -> None:
        spec = service(1, rows=4, **more)
        await sim.submit(spec)
        await wait_until_up(sim, spec, within=6.0)
        agent = machine_with_replica(sim, spec["ref"])
        async with trio.open_nursery() as nursery:
            nursery.start_soon(loss, sim, agent)
        await wait_until_up(sim, spec, within=RECOVERY_TIMEOUT_S)
        sim.check()

    run(monkeypatch, simulate)


def test_replica_that_does_not_fit_in_its_shard_starts_elsewhere(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The other replicas never end, so their shard never gets capacity for the last one."""

    async def simulate(sim: Simulation) -> None:
        for zone in ("a", "b"):
            sim.cloud.add("big", zone)
        sim.cloud.capacity = 6
        await trio.sleep(3)
        spec = service(1, rows=4, vcpus=4.0, spread=True)
        await sim.submit(spec)
        await wait_until_up(sim, spec, within=8.0)
        shard = int(machine_with_replica(sim, spec["ref"]).name[2:]) % 3
        other_machine = next(
            agent for agent in sim.cloud.agents.values() if int(agent.name[2:]) % 3 == shard
        )
        sim.cloud.capacity = 5
        sim.cloud.agents.pop(other_machine.name).terminate()
        await wait_until_up(sim, spec, within=120.0)
        sim.check()

    run(monkeypatch, simulate)
