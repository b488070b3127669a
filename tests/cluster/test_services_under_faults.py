"""Services are up again within a bound after combinations of faults."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import pytest
import trio

from ..harness.cluster_faults import cluster_leader, restart
from ..harness.fault_scenarios import (
    agents_cannot_call,
    all_controllers_down_beyond_lease,
    leader_crash_with_partitioned_agents,
    leader_partitioned_from_store_and_peers,
    slow_store_then_refusal_then_outage,
    ten_failovers_with_store_outage,
    zone_partitioned_beyond_lease,
)
from ..harness.message_scenarios import (
    delayed_commands_and_hung_agents,
    delayed_commits,
    duplicated_heartbeats_after_newer_ones,
)
from ..harness.services import RECOVERY_TIMEOUT_S, replicas_up, service
from ..harness.simulation import TIMES, Simulation, job, run
from ..harness.workload import CANCELLED, simulate_users

Fault = Callable[[Simulation], Awaitable[None]]


SERVICES = [
    service(1, rows=4),
    service(2, rows=3, spread=True),
    service(7, rows=2),
    service(10, rows=1),
    service(4, rows=2, oneZone=True, vcpus=2.0),
    service(5, rows=2, crew="tight", gleaning=False),
]
OTHER_JOBS = [
    job(6, rows=40, vcpus=1.0, rank="idle", realS=5.0, ripenS=5.0),
    job(8, cut="gang", rows=3, vcpus=2.0, rank="urgent"),
]


async def service_cancelled_as_the_leader_crashes(sim: Simulation) -> None:
    for id in CANCELLED:
        sim.nursery.start_soon(sim.cancel, id)
    await trio.sleep(0.1)
    await restart(sim, cluster_leader(sim))
    await trio.sleep(3)


async def agents_fail_every_task(sim: Simulation) -> None:
    failing = list(sim.cloud.agents.values())[:2]
    for agent in failing:
        agent.fails_tasks = True
        agent.restart()
    await trio.sleep(TIMES.lease_s * 3)
    for agent in failing:
        agent.fails_tasks = False


FAULTS: list[Fault] = [
    all_controllers_down_beyond_lease,
    delayed_commands_and_hung_agents,
    delayed_commits,
    leader_partitioned_from_store_and_peers,
    leader_crash_with_partitioned_agents,
    agents_fail_every_task,
    duplicated_heartbeats_after_newer_ones,
    service_cancelled_as_the_leader_crashes,
    slow_store_then_refusal_then_outage,
    ten_failovers_with_store_outage,
    agents_cannot_call,
    zone_partitioned_beyond_lease,
]


async def play_services(sim: Simulation, fault: Fault, *, bound: float) -> None:
    """Inject a fault beside services and other jobs; all replicas must be up again in time."""
    for spec in [*SERVICES, *OTHER_JOBS]:
        sim.nursery.start_soon(sim.submit, spec)
    sim.nursery.start_soon(simulate_users, sim)
    await trio.sleep(8)
    await fault(sim)
    sim.state_store.refused_callers.clear()
    sim.state_store.down = False
    sim.network.heal()
    for name in sorted(sim.network.crashed):
        sim.start(name)
    ended_at = trio.current_time()
    for id in CANCELLED:
        if id not in sim.invariants.cancel_requested:
            sim.nursery.start_soon(sim.cancel, id)
    while trio.current_time() - ended_at < 110:
        await trio.sleep(0.5)
        now = trio.current_time()
        sim.invariants.check_replicas_return(now, ended_at, bound)
        sim.invariants.check_startable_jobs_start(now, sim.cloud)
        sim.invariants.check_jobs_are_answered(now, ended_at)
        sim.check()
    assert all(sim.final_stages.get(spec["ref"]) == "done" for spec in OTHER_JOBS)
    assert not any(replicas_up(sim, id) for id in CANCELLED)


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("fault", FAULTS, ids=lambda t: t.__name__)
def test_services_are_up_again_after_faults(
    fault: Fault, seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def simulate(sim: Simulation) -> None:
        await play_services(sim, fault, bound=RECOVERY_TIMEOUT_S)

    run(monkeypatch, simulate, seed)
