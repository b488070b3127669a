"""Combinations of faults: crashes, partitions, outages and hung machines.

A scenario injects faults, waits until they have had their effect, and returns;
`scenario_day.run_scenario_day` then ends the faults that remain and checks every invariant.
`SCENARIOS` lists these scenarios and those with delayed, duplicated or lost messages
(`message_scenarios`).
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import trio

from .cluster_faults import (
    cluster_leader,
    isolate,
    isolate_zone_with,
    refuse_then_outage,
    restart,
    revive,
    shard_leader,
)
from .message_scenarios import (
    delayed_commands_and_hung_agents,
    delayed_commands_of_deposed_leader,
    delayed_commits,
    delayed_commits_duplicated_heartbeats_failover,
    delayed_heartbeats_across_failover,
    duplicated_heartbeats_after_newer_ones,
    isolated_leader_and_duplicated_heartbeats,
    lost_commit_replies,
    replayed_heartbeats_after_failover,
    replayed_heartbeats_at_every_controller,
    scale_out_with_delayed_commits_and_failover,
)
from .simulation import NODES, TIMES, Simulation, job
from .workload import CANCELLED

Scenario = Callable[[Simulation], Awaitable[None]]


# --- scenarios from the operators' list ------------------------------------------------------


async def all_controllers_down_beyond_lease(sim: Simulation) -> None:
    await restart(sim, after=TIMES.lease_s * 1.5)
    await trio.sleep(5)


async def agents_cannot_call(sim: Simulation) -> None:
    """Lose all calls of the agents; direct commands still reach them."""
    sim.network.partitioned_outbound |= set(sim.cloud.agents)
    await trio.sleep(TIMES.lease_s * 1.6)


async def some_agents_cannot_call(sim: Simulation) -> None:
    sim.network.partitioned_outbound |= set(list(sim.cloud.agents)[::2])
    await trio.sleep(TIMES.lease_s * 1.6)


async def cancel_while_store_refuses_leader(sim: Simulation) -> None:
    for id in CANCELLED:
        sim.nursery.start_soon(sim.cancel, id, 1)
    await refuse_then_outage(sim, TIMES.cancel_s * 1.3)


async def leader_crash_with_partitioned_agents(sim: Simulation) -> None:
    for agent in list(sim.cloud.agents)[::2]:
        isolate(sim, agent)
    sim.kill(cluster_leader(sim))
    await trio.sleep(TIMES.lease_s * 0.7)
    sim.network.partitions.clear()
    await trio.sleep(TIMES.lease_s)


async def leader_crash_with_one_way_partition(sim: Simulation) -> None:
    for agent in list(sim.cloud.agents)[::2]:
        sim.network.partition_inbound(agent)
    sim.kill(cluster_leader(sim))
    await trio.sleep(TIMES.lease_s * 1.6)


async def slow_store_then_refusal_then_outage(sim: Simulation) -> None:
    for name in NODES:
        sim.network.reply_delay[(name, "state")] = 0.7
    await trio.sleep(6)
    for id in CANCELLED:
        sim.nursery.start_soon(sim.cancel, id)
    await refuse_then_outage(sim, TIMES.cancel_s * 1.2)


async def repeated_restarts_then_total_crash(sim: Simulation) -> None:
    for name in ("n0", "n1", "n0"):
        await restart(sim, name, after=0.8)
        await trio.sleep(2.5)
    sim.kill()
    await trio.sleep(0.4)
    revive(sim, "n2")
    await trio.sleep(8)
    revive(sim, "n0")
    revive(sim, "n1")


async def failover_with_team_at_its_limit(sim: Simulation) -> None:
    """Isolate machines of a job that fills its team's limit, crash the leader, cancel the job."""
    machines = {
        machine
        for task, (machine, _) in sim.cloud.rules.placements.items()
        if task.startswith(CANCELLED[1])
    }
    for agent in sorted(machines)[:2]:
        isolate(sim, agent)
    sim.kill(cluster_leader(sim))
    await trio.sleep(1)
    sim.nursery.start_soon(sim.cancel, CANCELLED[1], 1)
    await trio.sleep(TIMES.lease_s * 0.6)
    sim.network.partitions.clear()
    await trio.sleep(TIMES.lease_s)


async def leader_partitioned_from_store_and_peers(sim: Simulation) -> None:
    leader = cluster_leader(sim)
    for host in ("state", *NODES):
        if host != leader:
            sim.network.partition(leader, host)
    await trio.sleep(TIMES.lease_s / 2)
    for id in CANCELLED:
        sim.nursery.start_soon(sim.cancel, id, NODES.index(leader) + 1)
    await trio.sleep(TIMES.cancel_s * 1.2)


async def overload_over_slow_links(sim: Simulation) -> None:
    for node in NODES:
        for host in (*NODES, "state", "cloud", *sim.cloud.agents):
            sim.network.reply_delay[(node, host)] = sim.network.reply_delay[(host, node)] = 0.25
    for number in range(20, 32):
        rank = ("urgent", "idle", "standard")[number % 3]
        sim.nursery.start_soon(sim.submit, job(number, rows=5, rank=rank, realS=5.0))
    await trio.sleep(15)


async def task_ends_across_failovers(sim: Simulation) -> None:
    for _ in range(4):
        await restart(sim, cluster_leader(sim), after=1.5)
        await trio.sleep(9)


async def zone_partitioned_beyond_lease(sim: Simulation) -> None:
    isolate_zone_with(sim, "n0", "a")
    await trio.sleep(2)
    for id in CANCELLED:
        sim.nursery.start_soon(sim.cancel, id, 1)
    await trio.sleep(TIMES.cancel_s * 1.2)


async def zone_loses_machines(sim: Simulation) -> None:
    """Terminate machines of a zone that jobs are bound to; the cloud can launch others there."""
    for _ in range(3):
        zone_agents = [agent for agent in sim.cloud.agents.values() if agent.zone == "a"]
        if zone_agents:
            sim.cloud.agents.pop(zone_agents[0].name).terminate()
        await trio.sleep(4)
    await trio.sleep(6)


async def ten_failovers_with_store_outage(sim: Simulation) -> None:
    for failover in range(10):
        leader = cluster_leader(sim)
        if failover % 3 == 1:
            sim.state_store.refused_callers.add(leader)
            await trio.sleep(6)
            sim.state_store.refused_callers.clear()
        else:
            await restart(sim, leader, after=(0.1, 1.0, 4.0)[failover % 3])
        if failover == 5:
            sim.state_store.stop()
            await trio.sleep(8)
            await restart(sim, cluster_leader(sim), after=0.3)
            await trio.sleep(4)
            sim.state_store.resume()
        await trio.sleep(4)


async def cancel_during_failover(sim: Simulation) -> None:
    """Cancel jobs while the controller that commands a machine crashes and restarts."""
    name = shard_leader(sim, next(iter(sim.cloud.agents)))
    sim.kill(name)
    for pause, id in zip((0.2, 2.4), CANCELLED, strict=True):
        await trio.sleep(pause)
        sim.nursery.start_soon(sim.cancel, id, 1)
    await trio.sleep(1.2)
    revive(sim, name)
    await trio.sleep(TIMES.lease_s)


# --- further combinations --------------------------------------------------------------------


async def agents_cannot_call_during_store_outage(sim: Simulation) -> None:
    sim.network.partitioned_outbound |= set(list(sim.cloud.agents)[:2])
    sim.state_store.stop()
    await trio.sleep(TIMES.lease_s * 1.4)
    sim.state_store.resume()
    await trio.sleep(3)


async def hung_agents_cancel_and_failover(sim: Simulation) -> None:
    for agent in list(sim.cloud.agents.values()):
        sim.nursery.start_soon(agent.hang, TIMES.lease_s * 0.85)
    for id in CANCELLED:
        sim.nursery.start_soon(sim.cancel, id, 1)
    await trio.sleep(0.5)
    sim.kill(cluster_leader(sim))
    await trio.sleep(TIMES.lease_s * 2)


async def one_way_partition_and_store_refusal(sim: Simulation) -> None:
    for agent in list(sim.cloud.agents)[1::2]:
        sim.network.partition_inbound(agent)
    for id in CANCELLED:
        sim.nursery.start_soon(sim.cancel, id, 1)
    await refuse_then_outage(sim, TIMES.lease_s * 1.5)


SCENARIOS: list[Scenario] = [
    all_controllers_down_beyond_lease,
    agents_cannot_call,
    some_agents_cannot_call,
    cancel_while_store_refuses_leader,
    leader_crash_with_partitioned_agents,
    leader_crash_with_one_way_partition,
    slow_store_then_refusal_then_outage,
    repeated_restarts_then_total_crash,
    duplicated_heartbeats_after_newer_ones,
    delayed_commands_and_hung_agents,
    delayed_heartbeats_across_failover,
    failover_with_team_at_its_limit,
    leader_partitioned_from_store_and_peers,
    overload_over_slow_links,
    task_ends_across_failovers,
    zone_partitioned_beyond_lease,
    delayed_commits,
    zone_loses_machines,
    ten_failovers_with_store_outage,
    lost_commit_replies,
    delayed_commands_of_deposed_leader,
    replayed_heartbeats_after_failover,
    replayed_heartbeats_at_every_controller,
    scale_out_with_delayed_commits_and_failover,
    cancel_during_failover,
    delayed_commits_duplicated_heartbeats_failover,
    agents_cannot_call_during_store_outage,
    hung_agents_cancel_and_failover,
    one_way_partition_and_store_refusal,
    isolated_leader_and_duplicated_heartbeats,
]
