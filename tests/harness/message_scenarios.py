"""Fault scenarios in which messages are delayed, duplicated, replayed or lost.

As in `fault_scenarios`, each scenario injects faults, waits, and returns.
"""

from __future__ import annotations

import trio

from .cluster_faults import cluster_leader, isolate, next_leader, restart, revive, shard_leader
from .simulation import NODES, TIMES, Simulation, job
from .workload import CANCELLED


async def duplicated_heartbeats_after_newer_ones(sim: Simulation) -> None:
    sim.network.duplicated_heartbeats, sim.network.max_duplicate_delay = 0.5, TIMES.lease_s * 2.5
    for agent in list(sim.cloud.agents.values())[:2]:
        await trio.sleep(4)
        agent.restart()
    await restart(sim, "n1", after=3.0)
    await trio.sleep(20)


async def delayed_commands_and_hung_agents(sim: Simulation) -> None:
    agents = list(sim.cloud.agents.values())
    for agent in agents[:2]:
        sim.network.hold_back(shard_leader(sim, agent.name), agent.name)
        sim.nursery.start_soon(agent.hang, 5.0)
    sim.nursery.start_soon(sim.cancel, CANCELLED[0])
    await trio.sleep(8)
    sim.network.release_held_back()
    for agent in agents[2:]:
        sim.nursery.start_soon(agent.hang, TIMES.lease_s * 0.9)
    await trio.sleep(TIMES.lease_s * 1.5)


async def delayed_heartbeats_across_failover(sim: Simulation) -> None:
    for agent in sim.cloud.agents:
        for name in NODES:
            if name != "n2":
                sim.network.held_back_links.add((agent, name))
    await trio.sleep(3)
    sim.kill("n0", "n1")
    await trio.sleep(7)
    revive(sim, "n0")
    revive(sim, "n1")
    await trio.sleep(4)
    sim.network.release_held_back()
    await trio.sleep(10)


async def delayed_commits(sim: Simulation) -> None:
    sim.network.delayed_commits = 0.3
    await trio.sleep(10)
    await restart(sim, "n1", after=0.5)
    await trio.sleep(15)


async def lost_commit_replies(sim: Simulation) -> None:
    """Lose the replies to successful commits; other controllers read the written values."""
    sim.network.lost_commit_replies = 0.3
    for id in CANCELLED:
        sim.nursery.start_soon(sim.cancel, id)
    await trio.sleep(8)
    await restart(sim, cluster_leader(sim), after=0.5)
    await trio.sleep(12)


async def delayed_commands_of_deposed_leader(sim: Simulation) -> None:
    """Delay direct commands so that they arrive after those of their sender's successor."""
    sim.network.delayed_commands = 0.7
    for id in CANCELLED:
        sim.nursery.start_soon(sim.cancel, id)
    sim.nursery.start_soon(sim.submit, job(40, cut="gang", rows=4, vcpus=6.0, rank="production"))
    await trio.sleep(2)
    await restart(sim, cluster_leader(sim), after=1.0)
    await trio.sleep(4)
    await restart(sim, cluster_leader(sim), after=5.0)
    await trio.sleep(18)


async def replayed_heartbeats_after_failover(sim: Simulation) -> None:
    """Replay agent heartbeats at a new cluster leader, immediately after the failover."""
    for _ in range(2):
        sim.network.recorded_heartbeats = 0.6
        await trio.sleep(5)
        sim.network.recorded_heartbeats = 0.0
        old_leader = cluster_leader(sim)
        sim.kill(old_leader)
        successor = await next_leader(sim, old_leader)
        sim.network.replay_recorded(successor)
        await trio.sleep(3)
        revive(sim, old_leader)
        await trio.sleep(6)


async def replayed_heartbeats_at_every_controller(sim: Simulation) -> None:
    """Replay agent heartbeats at all controllers, some with earlier agent epochs and attempts."""
    sim.network.recorded_heartbeats = 0.4
    await trio.sleep(4)
    for agent in list(sim.cloud.agents.values())[:2]:
        agent.restart()
    await trio.sleep(4)
    sim.network.recorded_heartbeats = 0.0
    old_leader = cluster_leader(sim)
    sim.kill(old_leader)
    await next_leader(sim, old_leader)
    revive(sim, old_leader)
    sim.network.replay_recorded(*NODES)
    await trio.sleep(TIMES.lease_s)


async def scale_out_with_delayed_commits_and_failover(sim: Simulation) -> None:
    """Start tasks on new machines at once, long before the cloud lists these machines."""
    sim.network.delayed_commits = 0.3
    sim.cloud.list_lag_s = 4.0
    sim.cloud.capacity += 3
    sim.nursery.start_soon(sim.submit, job(41, rows=24, vcpus=2.0, realS=8.0))
    await trio.sleep(1.5)
    for zone in ("a", "b"):
        sim.cloud.add("big", zone)
    await trio.sleep(0.5)
    await restart(sim, cluster_leader(sim), after=3.0)
    await trio.sleep(12)
    sim.cloud.list_lag_s = 0.0


async def delayed_commits_duplicated_heartbeats_failover(sim: Simulation) -> None:
    sim.network.delayed_commits, sim.network.duplicated_heartbeats = 0.25, 0.4
    await trio.sleep(5)
    await restart(sim, cluster_leader(sim), after=5.0)
    await trio.sleep(15)


async def isolated_leader_and_duplicated_heartbeats(sim: Simulation) -> None:
    """Isolate the cluster leader temporarily while agent heartbeats are duplicated."""
    sim.network.duplicated_heartbeats, sim.network.max_duplicate_delay = 0.4, TIMES.lease_s * 1.5
    leader = cluster_leader(sim)
    isolate(sim, leader)
    await trio.sleep(TIMES.lease_s * 0.9)
    sim.network.partitions.clear()
    await trio.sleep(TIMES.lease_s)
