"""Failures that must leave every rule whole, played against the stand-ins."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import pytest
import trio
import trio.testing

from ..harness.simulation import NODES, TIMES, Simulation, job, run

Fault = Callable[[Simulation], Awaitable[None]]


async def nothing(sim: Simulation) -> None:
    await trio.sleep(0)


async def kill_one(sim: Simulation) -> None:
    sim.kill("n0")
    await trio.sleep(5)
    sim.start("n0")


async def kill_all(sim: Simulation) -> None:
    sim.kill()
    await trio.sleep(5)
    sim.start()


async def roll(sim: Simulation) -> None:
    for name in NODES:
        sim.kill(name)
        await trio.sleep(4)
        sim.start(name)
        await trio.sleep(4)


async def quick_restart(sim: Simulation) -> None:
    """Ended and started within a fraction of a second, also during an election."""
    for _ in range(4):
        sim.kill("n1")
        await trio.sleep(0.2)
        sim.start("n1")
        await trio.sleep(1.1)


async def cut_from_state(sim: Simulation) -> None:
    sim.network.partition("n0", "state")
    await trio.sleep(20)


async def cut_from_agents(sim: Simulation) -> None:
    for name in list(sim.world.agents):
        sim.network.partition("n0", name)
    await trio.sleep(20)


async def cut_from_peers(sim: Simulation) -> None:
    sim.network.partition("n0", "n1")
    sim.network.partition("n0", "n2")
    await trio.sleep(20)


async def cut_from_all(sim: Simulation) -> None:
    sim.network.partition("n0", "*")
    sim.network.partition("*", "n0")
    await trio.sleep(20)


async def lost_answers(sim: Simulation) -> None:
    for name in NODES:
        for other in ("state", *NODES):
            sim.network.reply_loss[(name, other)] = 0.2
    await trio.sleep(20)


async def late_copies(sim: Simulation) -> None:
    """Commands, reports, transactions and hires are carried out a second time, late."""
    for name in NODES:
        for other in ("state", "cloud", *sim.world.agents):
            sim.network.duplicate_after[(name, other)] = 7.0
    for agent in sim.world.agents:
        for name in NODES:
            sim.network.duplicate_after[(agent, name)] = 7.0
    await trio.sleep(20)


async def state_outage(sim: Simulation) -> None:
    sim.state_store.stop()
    await trio.sleep(20)
    sim.state_store.resume()


async def state_and_cloud_outage(sim: Simulation) -> None:
    sim.world.down = True
    await state_outage(sim)
    sim.world.down = False


async def crash_in_outage(sim: Simulation) -> None:
    sim.state_store.stop()
    await trio.sleep(3)
    sim.kill("n2")
    await trio.sleep(4)
    sim.start("n2")
    await trio.sleep(6)
    sim.state_store.resume()


async def machine_cut(sim: Simulation) -> None:
    name = next(iter(sim.world.agents))
    sim.network.partition("*", name)
    sim.network.partition(name, "*")
    await trio.sleep(15)


async def machine_dies(sim: Simulation) -> None:
    name = next(iter(sim.world.agents))
    sim.world.agents.pop(name).terminate()
    await trio.sleep(5)


async def machine_and_leader(sim: Simulation) -> None:
    """The leader ends while one of its machines can't be reached."""
    name = next(iter(sim.world.agents))
    sim.network.partition("*", name)
    sim.network.partition(name, "*")
    sim.kill("n0")
    await trio.sleep(5)
    sim.start("n0")
    await trio.sleep(10)


async def unlisted_machine(sim: Simulation) -> None:
    sim.world.add("big", "b")
    await trio.sleep(5)


async def sick_machine(sim: Simulation) -> None:
    next(iter(sim.world.agents.values())).fails_tasks = True
    await trio.sleep(15)


async def deaf_machine(sim: Simulation) -> None:
    """Its reports arrive, but neither answers nor commands reach it."""
    sim.network.partition_inbound(next(iter(sim.world.agents)))
    await trio.sleep(25)


async def deaf_machine_and_takeover(sim: Simulation) -> None:
    sim.network.partition_inbound(next(iter(sim.world.agents)))
    sim.kill("n0")
    await trio.sleep(5)
    sim.start("n0")
    await trio.sleep(20)


def _copies(sim: Simulation, after: float) -> None:
    for agent in sim.world.agents:
        for name in NODES:
            sim.network.duplicate_after[(agent, name)] = after


async def copies_within_a_second(sim: Simulation) -> None:
    _copies(sim, 0.8)
    await trio.sleep(15)


async def copies_after_takeovers(sim: Simulation) -> None:
    """Copies of reports, later than a lease, at leaders that never saw the originals."""
    _copies(sim, 14.0)
    await trio.sleep(3)
    sim.kill("n0")
    await trio.sleep(6)
    sim.start("n0")
    await trio.sleep(6)
    sim.kill("n1")
    await trio.sleep(2)
    sim.start("n1")
    await trio.sleep(10)


async def copies_of_lost_machines(sim: Simulation) -> None:
    """Copies from machines that are gone, or whose lease is over, still come in."""
    _copies(sim, 9.0)
    names = list(sim.world.agents)
    sim.network.partition("*", names[0])
    sim.network.partition(names[0], "*")
    await trio.sleep(2)
    if names[1] in sim.world.agents:
        sim.world.agents.pop(names[1]).terminate()
    await trio.sleep(25)


async def alone_with_agents(sim: Simulation) -> None:
    """A controller loses the store and its peers, but not its agents."""
    for other in ("state", "n1", "n2"):
        sim.network.partition("n0", other)
    await trio.sleep(30)


async def quick_restarts_in_elections(sim: Simulation) -> None:
    """Back within a fraction of a second at every step, also twice in a row."""
    for pause in (0.05, 0.3, 0.6, 1.0, 1.7, 2.6):
        for name in ("n0", "n0", "n2"):
            sim.kill(name)
            await trio.sleep(0.15)
            sim.start(name)
            await trio.sleep(pause)


async def quick_restarts_of_all(sim: Simulation) -> None:
    for pause in (0.1, 0.5, 1.5, 3.0):
        sim.kill()
        await trio.sleep(0.1)
        sim.start()
        await trio.sleep(pause)


async def machines_back_at_once(sim: Simulation) -> None:
    """Agents that begin a new session within a fraction of a second."""
    for agent in list(sim.world.agents.values()):
        agent.restart()
        await trio.sleep(0.3)
        agent.restart()
    await trio.sleep(5)


async def machines_hang_and_go_on(sim: Simulation) -> None:
    """Nothing gets in or out of half of the machines for longer than a lease, twice."""
    names = list(sim.world.agents)[::2]
    for _ in range(2):
        for name in names:
            sim.network.partition(name, "*")
            sim.network.partition("*", name)
        await trio.sleep(TIMES.lease_s * 1.3)
        sim.network.heal()
        await trio.sleep(1.5)


async def machines_hang_and_leader_ends(sim: Simulation) -> None:
    """As before, with a failover in the midst of it, and the old leader back at once."""
    names = list(sim.world.agents)[::2]
    for name in names:
        sim.network.partition(name, "*")
        sim.network.partition("*", name)
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


async def zone_cut_with_a_controller(sim: Simulation) -> None:
    """A zone's machines and a controller hear one another, and nobody else."""
    inside = {"n0"} | {n for n, w in sim.world.agents.items() if w.zone == "a"}
    outside = {"n1", "n2", "state", "cloud"} | {
        n for n, w in sim.world.agents.items() if w.zone != "a"
    }
    for a in inside:
        for b in outside:
            sim.network.partition(a, b)
    await trio.sleep(TIMES.lease_s * 1.5)


async def most_machines_die(sim: Simulation) -> None:
    for name in list(sim.world.agents)[:-1]:
        sim.world.agents.pop(name).terminate()
    await trio.sleep(5)


async def all_end_twice(sim: Simulation) -> None:
    """Again before the first restart has settled, in an outage, with late copies."""
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


async def cut_off_with_agents_and_ends(sim: Simulation) -> None:
    """Only its agents are left to a controller; then it ends, and is back at once."""
    for other in ("state", "n1", "n2"):
        sim.network.partition("n0", other)
    await trio.sleep(6)
    sim.kill("n0")
    await trio.sleep(0.2)
    sim.start("n0")
    await trio.sleep(10)


FAULTS: list[Fault] = [
    nothing,
    kill_one,
    kill_all,
    roll,
    quick_restart,
    cut_from_state,
    cut_from_agents,
    cut_from_peers,
    cut_from_all,
    lost_answers,
    late_copies,
    state_outage,
    state_and_cloud_outage,
    crash_in_outage,
    machine_cut,
    machine_dies,
    machine_and_leader,
    unlisted_machine,
    sick_machine,
    deaf_machine,
    deaf_machine_and_takeover,
    copies_within_a_second,
    copies_after_takeovers,
    copies_of_lost_machines,
    alone_with_agents,
    quick_restarts_in_elections,
    quick_restarts_of_all,
    machines_back_at_once,
    machines_hang_and_go_on,
    machines_hang_and_leader_ends,
    zone_cut_with_a_controller,
    most_machines_die,
    all_end_twice,
    cut_off_with_agents_and_ends,
]


@pytest.mark.parametrize("fault", FAULTS, ids=lambda f: f.__name__)
def test_rules_hold(fault: Fault, monkeypatch: pytest.MonkeyPatch) -> None:
    async def day(sim: Simulation) -> None:
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
        await sim.finish([spec["ref"] for spec in jobs])
        assert sim.final_stages["wk-000007"] == "withdrawn"
        await trio.sleep(26)  # nothing of the cancelled job may be left
        sim.check()
        assert sim.world.rules.started >= sum(s["rows"] for s in jobs[:6])

    run(monkeypatch, day)
