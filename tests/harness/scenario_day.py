"""Runs the users' jobs during a fault scenario, and checks every invariant."""

from __future__ import annotations

import trio

from .fault_scenarios import Scenario
from .simulation import TIMES, Simulation
from .workload import CANCELLED, IDS, JOBS, simulate_users

# Time after the last fault within which every job must finish.
MAX_RECOVERY_S = 200


async def run_scenario_day(sim: Simulation, scenario: Scenario, delay_s: float) -> None:
    """Submit the users' jobs, run the scenario `delay_s` later, then end all faults.

    Every job must finish within `MAX_RECOVERY_S` of that, and every invariant must hold.
    """
    sim.probes_changes = True
    for spec in JOBS:
        sim.nursery.start_soon(sim.submit, spec)
    sim.nursery.start_soon(simulate_users, sim)
    await trio.sleep(delay_s)
    await scenario(sim)
    sim.state_store.refused_callers.clear()
    sim.state_store.down = False
    sim.network.heal()
    for name in sorted(sim.network.crashed):
        sim.start(name)
    faults_ended_at = trio.current_time()
    for id in CANCELLED:
        if id not in sim.invariants.cancel_requested:
            sim.nursery.start_soon(sim.cancel, id)
    while trio.current_time() - faults_ended_at < MAX_RECOVERY_S:
        await trio.sleep(1.0)
        now = trio.current_time()
        sim.invariants.check_jobs_are_answered(now, faults_ended_at)
        sim.invariants.check_startable_jobs_start(now, sim.cloud)
        sim.check()
        if all(id in sim.final_stages for id in IDS):
            break
    assert not [id for id in IDS if id not in sim.final_stages]
    assert [sim.final_stages[id] for id in CANCELLED] == ["withdrawn"] * 2
    # After `cancel_s` no task of a cancelled job may run.
    await trio.sleep(TIMES.cancel_s + 1)
    for node in range(3):
        for id in IDS:
            await sim.poll(id, node)
    sim.check()
