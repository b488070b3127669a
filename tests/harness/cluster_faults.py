"""Finds the leaders of a simulated cluster and injects single faults."""

from __future__ import annotations

import trio

from .simulation import NODES, TIMES, Simulation


def cluster_leader(sim: Simulation) -> str:
    """Return the controller that leads shard 0, or the first one if none does."""
    for name, controller in sim.controllers.items():
        if (
            name not in sim.network.crashed
            and controller.membership.cluster_leader_token is not None
        ):
            return name
    return NODES[0]


def shard_leader(sim: Simulation, agent: str) -> str:
    """Return the controller that commands a machine, or the first one if none does."""
    for name, controller in sim.controllers.items():
        if name not in sim.network.crashed and agent in controller.agents.machines:
            return name
    return NODES[0]


def isolate(sim: Simulation, name: str) -> None:
    """Partition a host from all others."""
    sim.network.partition(name, "*")
    sim.network.partition("*", name)


async def restart(sim: Simulation, *names: str, after: float = 0.2) -> None:
    """Crash controllers, all if none is named, and restart them `after` seconds later."""
    sim.kill(*names)
    await trio.sleep(after)
    for name in names or NODES:
        revive(sim, name)


def revive(sim: Simulation, name: str) -> None:
    """Start a crashed controller, unless another fault has restarted it meanwhile."""
    if name in sim.network.crashed:
        sim.start(name)


async def next_leader(sim: Simulation, old_leader: str) -> str:
    """Wait until a controller other than the old leader leads the cluster, and return it."""
    with trio.fail_after(TIMES.lease_s * 3):
        while True:
            for name, controller in sim.controllers.items():
                if name != old_leader and controller.membership.cluster_leader_token is not None:
                    return name
            await trio.sleep(0.02)


async def refuse_then_outage(sim: Simulation, seconds: float) -> None:
    """Make the state store refuse the cluster leader, and fail for all callers a second later."""
    sim.state_store.refused_callers.add(cluster_leader(sim))
    await trio.sleep(1.0)
    sim.state_store.stop()
    await trio.sleep(seconds)
    sim.state_store.refused_callers.clear()
    sim.state_store.resume()


def isolate_zone_with(sim: Simulation, controller: str, zone: str) -> None:
    """Partition a controller and a zone's machines from all others, but not from each other."""
    inside = {controller} | {
        machine for machine, agent in sim.cloud.agents.items() if agent.zone == zone
    }
    for name in inside:
        for outside_host in {*NODES, "state", "cloud", *sim.cloud.agents} - inside:
            sim.network.partition(name, outside_host)
