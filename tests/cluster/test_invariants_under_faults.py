"""All invariants hold under each single fault while jobs of every kind run."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import pytest
import trio
import trio.testing

from ..harness.cluster_faults import isolate_zone_with
from ..harness.simulation import NODES, TIMES, Simulation, job, run

Fault = Callable[[Simulation], Awaitable[None]]


async def no_fault(sim: Simulation) -> None:
    await trio.sleep(0)


async def one_controller_crashes(sim: Simulation) -> None:
    sim.kill("n0")
    await trio.sleep(5)
    sim.start("n0")


async def all_controllers_crash(sim: Simulation) -> None:
    sim.kill()
    await trio.sleep(5)
    sim.start()


async def rolling_restart(sim: Simulation) -> None:
    for node in NODES:
        sim.kill(node)
        await trio.sleep(4)
        sim.start(node)
        await trio.sleep(4)


async def quick_restart(sim: Simulation) -> None:
    """Restart a controller within a fraction of a second, also during an election."""
    for _ in range(4):
        sim.kill("n1")
        await trio.sleep(0.2)
        sim.start("n1")
        await trio.sleep(1.1)


async def partition_from_state_store(sim: Simulation) -> None:
    sim.network.partition("n0", "state")
    await trio.sleep(20)


async def partition_from_agents(sim: Simulation) -> None:
    for agent in list(sim.cloud.agents):
        sim.network.partition("n0", agent)
    await trio.sleep(20)


async def partition_from_peers(sim: Simulation) -> None:
    sim.network.partition("n0", "n1")
    sim.network.partition("n0", "n2")
    await trio.sleep(20)


async def partition_from_all(sim: Simulation) -> None:
    sim.network.partition("n0", "*")
    sim.network.partition("*", "n0")
    await trio.sleep(20)


async def lost_replies(sim: Simulation) -> None:
    for node in NODES:
        for host in ("state", *NODES):
            sim.network.reply_loss[(node, host)] = 0.2
    await trio.sleep(20)


async def late_duplicates(sim: Simulation) -> None:
    """Deliver commands, heartbeats, transactions and launches a second time, 7 s later."""
    for node in NODES:
        for host in ("state", "cloud", *sim.cloud.agents):
            sim.network.duplicate_after[(node, host)] = 7.0
    for agent in sim.cloud.agents:
        for node in NODES:
            sim.network.duplicate_after[(agent, node)] = 7.0
    await trio.sleep(20)


async def state_store_outage(sim: Simulation) -> None:
    sim.state_store.stop()
    await trio.sleep(20)
    sim.state_store.resume()


async def state_store_and_cloud_outage(sim: Simulation) -> None:
    sim.cloud.down = True
    await state_store_outage(sim)
    sim.cloud.down = False


async def crash_in_outage(sim: Simulation) -> None:
    sim.state_store.stop()
    await trio.sleep(3)
    sim.kill("n2")
    await trio.sleep(4)
    sim.start("n2")
    await trio.sleep(6)
    sim.state_store.resume()


async def machine_isolated(sim: Simulation) -> None:
    machine = next(iter(sim.cloud.agents))
    sim.network.partition("*", machine)
    sim.network.partition(machine, "*")
    await trio.sleep(15)


async def machine_crashes(sim: Simulation) -> None:
    machine = next(iter(sim.cloud.agents))
    sim.cloud.agents.pop(machine).terminate()
    await trio.sleep(5)


async def machine_isolated_and_leader_crashes(sim: Simulation) -> None:
    """Crash the leader while one of its machines is isolated."""
    machine = next(iter(sim.cloud.agents))
    sim.network.partition("*", machine)
    sim.network.partition(machine, "*")
    sim.kill("n0")
    await trio.sleep(5)
    sim.start("n0")
    await trio.sleep(10)


async def unlisted_machine(sim: Simulation) -> None:
    sim.cloud.add("big", "b")
    await trio.sleep(5)


async def machine_that_fails_tasks(sim: Simulation) -> None:
    next(iter(sim.cloud.agents.values())).fails_tasks = True
    await trio.sleep(15)


async def unreachable_agent(sim: Simulation) -> None:
    """Lose all responses and commands to an agent whose heartbeats still arrive."""
    sim.network.partition_inbound(next(iter(sim.cloud.agents)))
    await trio.sleep(25)


async def unreachable_agent_and_failover(sim: Simulation) -> None:
    sim.network.partition_inbound(next(iter(sim.cloud.agents)))
    sim.kill("n0")
    await trio.sleep(5)
    sim.start("n0")
    await trio.sleep(20)


def _duplicate_heartbeats(sim: Simulation, delay_s: float) -> None:
    for agent in sim.cloud.agents:
        for node in NODES:
            sim.network.duplicate_after[(agent, node)] = delay_s


async def duplicates_within_a_second(sim: Simulation) -> None:
    _duplicate_heartbeats(sim, 0.8)
    await trio.sleep(15)


async def duplicates_after_failovers(sim: Simulation) -> None:
    """Duplicate heartbeats after more than a lease, at leaders that never got the originals."""
    _duplicate_heartbeats(sim, 14.0)
    await trio.sleep(3)
    sim.kill("n0")
    await trio.sleep(6)
    sim.start("n0")
    await trio.sleep(6)
    sim.kill("n1")
    await trio.sleep(2)
    sim.start("n1")
    await trio.sleep(10)


async def duplicates_of_lost_machines(sim: Simulation) -> None:
    """Deliver duplicates from terminated machines and from machines whose lease has expired."""
    _duplicate_heartbeats(sim, 9.0)
    machines = list(sim.cloud.agents)
    sim.network.partition("*", machines[0])
    sim.network.partition(machines[0], "*")
    await trio.sleep(2)
    if machines[1] in sim.cloud.agents:
        sim.cloud.agents.pop(machines[1]).terminate()
    await trio.sleep(25)


async def isolated_with_agents(sim: Simulation) -> None:
    """Partition a controller from the state store and its peers, but not from its agents."""
    for host in ("state", "n1", "n2"):
        sim.network.partition("n0", host)
    await trio.sleep(30)


async def quick_restarts_during_elections(sim: Simulation) -> None:
    """Restart controllers within a fraction of a second at every step of an election.

    One of them restarts twice in a row each time.
    """
    for pause in (0.05, 0.3, 0.6, 1.0, 1.7, 2.6):
        for node in ("n0", "n0", "n2"):
            sim.kill(node)
            await trio.sleep(0.15)
            sim.start(node)
            await trio.sleep(pause)


async def quick_restarts_of_all(sim: Simulation) -> None:
    for pause in (0.1, 0.5, 1.5, 3.0):
        sim.kill()
        await trio.sleep(0.1)
        sim.start()
        await trio.sleep(pause)


async def agents_restart_at_once(sim: Simulation) -> None:
    """Restart each agent twice within a fraction of a second; each restart begins a new epoch."""
    for agent in list(sim.cloud.agents.values()):
        agent.restart()
        await trio.sleep(0.3)
        agent.restart()
    await trio.sleep(5)


async def half_of_machines_isolated_twice(sim: Simulation) -> None:
    """Isolate half of the machines for longer than a lease, twice."""
    isolated_machines = list(sim.cloud.agents)[::2]
    for _ in range(2):
        for machine in isolated_machines:
            sim.network.partition(machine, "*")
            sim.network.partition("*", machine)
        await trio.sleep(TIMES.lease_s * 1.3)
        sim.network.heal()
        await trio.sleep(1.5)


async def half_of_machines_isolated_and_leader_crashes(sim: Simulation) -> None:
    """Isolate half of the machines during failovers.

    The old leader restarts 1 s after the machines are reachable again.
    """
    isolated_machines = list(sim.cloud.agents)[::2]
    for machine in isolated_machines:
        sim.network.partition(machine, "*")
        sim.network.partition("*", machine)
    await trio.sleep(2)
    sim.kill("n1")
    await trio.sleep(0.3)
    sim.start("n1")
    await trio.sleep(1.5)
    sim.kill("n0")
    await trio.sleep(TIMES.lease_s)
    sim.network.heal()
    await trio.sleep(1)
    sim.start("n0")


async def zone_isolated_with_a_controller(sim: Simulation) -> None:
    """Partition a zone's machines and a controller from all other hosts."""
    isolate_zone_with(sim, "n0", "a")
    await trio.sleep(TIMES.lease_s * 1.5)


async def most_machines_crash(sim: Simulation) -> None:
    for machine in list(sim.cloud.agents)[:-1]:
        sim.cloud.agents.pop(machine).terminate()
    await trio.sleep(5)


async def all_controllers_crash_twice(sim: Simulation) -> None:
    """Crash all controllers in an outage, and again before they have recovered.

    Requests of users are duplicated after 4 s.
    """
    sim.network.duplicate_after = {("user", n): 4.0 for n in NODES}
    sim.state_store.stop()
    sim.kill()
    await trio.sleep(3)
    sim.start()
    sim.state_store.resume()
    await trio.sleep(2)
    sim.kill()
    await trio.sleep(0.2)
    sim.start()


async def isolated_with_agents_and_crash(sim: Simulation) -> None:
    """Crash a controller that only its agents can reach, and restart it at once."""
    for host in ("state", "n1", "n2"):
        sim.network.partition("n0", host)
    await trio.sleep(6)
    sim.kill("n0")
    await trio.sleep(0.2)
    sim.start("n0")
    await trio.sleep(10)


FAULTS: list[Fault] = [
    no_fault,
    one_controller_crashes,
    all_controllers_crash,
    rolling_restart,
    quick_restart,
    partition_from_state_store,
    partition_from_agents,
    partition_from_peers,
    partition_from_all,
    lost_replies,
    late_duplicates,
    state_store_outage,
    state_store_and_cloud_outage,
    crash_in_outage,
    machine_isolated,
    machine_crashes,
    machine_isolated_and_leader_crashes,
    unlisted_machine,
    machine_that_fails_tasks,
    unreachable_agent,
    unreachable_agent_and_failover,
    duplicates_within_a_second,
    duplicates_after_failovers,
    duplicates_of_lost_machines,
    isolated_with_agents,
    quick_restarts_during_elections,
    quick_restarts_of_all,
    agents_restart_at_once,
    half_of_machines_isolated_twice,
    half_of_machines_isolated_and_leader_crashes,
    zone_isolated_with_a_controller,
    most_machines_crash,
    all_controllers_crash_twice,
    isolated_with_agents_and_crash,
]


@pytest.mark.parametrize("fault", FAULTS, ids=lambda f: f.__name__)
def test_invariants_hold_under_a_fault(fault: Fault, monkeypatch: pytest.MonkeyPatch) -> None:
    async def simulate(sim: Simulation) -> None:
        jobs = [
            job(1),
            job(2, rows=20, crew="tight", vcpus=1.0),
            job(3, cut="gang", rows=4, vcpus=4.0, oneZone=False, ripenS=6.0, realS=6.0),
            job(4, cut="gang", rows=2, oneZone=True, rank="urgent"),
            job(5, rows=5, spread=True, realS=8.0),
            job(6, rows=30, vcpus=1.0, rank="idle", realS=6.0, gleaning=False),
            job(7, rows=8, realS=500.0),
        ]
        async with trio.open_nursery() as nursery:
            for spec in jobs:
                nursery.start_soon(sim.submit, spec)
            await trio.sleep(4)
            nursery.start_soon(fault, sim)
            await trio.sleep(6)
            nursery.start_soon(sim.cancel, "wk-000007")
        sim.network.heal()
        await sim.wait_until_known([spec["ref"] for spec in jobs], within=30)
        await sim.wait_until_finished([spec["ref"] for spec in jobs])
        assert sim.final_stages["wk-000007"] == "withdrawn"
        # Longer than `cancel_s`, after which no task of the cancelled job may run.
        await trio.sleep(26)
        sim.check()
        assert sim.cloud.rules.start_count >= sum(s["rows"] for s in jobs[:6])

    run(monkeypatch, simulate)
