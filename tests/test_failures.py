"""Failures that must leave every rule whole, played against the stand-ins."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import pytest
import trio
import trio.testing

from .sim import NODES, TIMES, Sim, job, run

Fault = Callable[[Sim], Awaitable[None]]


async def nothing(sim: Sim) -> None:
    await trio.sleep(0)


async def kill_one(sim: Sim) -> None:
    sim.kill("n0")
    await trio.sleep(5)
    sim.start("n0")


async def kill_all(sim: Sim) -> None:
    sim.kill()
    await trio.sleep(5)
    sim.start()


async def roll(sim: Sim) -> None:
    for name in NODES:
        sim.kill(name)
        await trio.sleep(4)
        sim.start(name)
        await trio.sleep(4)


async def quick_restart(sim: Sim) -> None:
    """Ended and started within a fraction of a second, also during an election."""
    for _ in range(4):
        sim.kill("n1")
        await trio.sleep(0.2)
        sim.start("n1")
        await trio.sleep(1.1)


async def cut_from_state(sim: Sim) -> None:
    sim.network.cut("n0", "state")
    await trio.sleep(20)


async def cut_from_workers(sim: Sim) -> None:
    for name in list(sim.world.workers):
        sim.network.cut("n0", name)
    await trio.sleep(20)


async def cut_from_peers(sim: Sim) -> None:
    sim.network.cut("n0", "n1")
    sim.network.cut("n0", "n2")
    await trio.sleep(20)


async def cut_from_all(sim: Sim) -> None:
    sim.network.cut("n0", "*")
    sim.network.cut("*", "n0")
    await trio.sleep(20)


async def lost_answers(sim: Sim) -> None:
    for name in NODES:
        for other in ("state", *NODES):
            sim.network.lost[(name, other)] = 0.2
    await trio.sleep(20)


async def late_copies(sim: Sim) -> None:
    """Commands, reports, transactions and hires are carried out a second time, late."""
    for name in NODES:
        for other in ("state", "cloud", *sim.world.workers):
            sim.network.late[(name, other)] = 7.0
    for worker in sim.world.workers:
        for name in NODES:
            sim.network.late[(worker, name)] = 7.0
    await trio.sleep(20)


async def state_outage(sim: Sim) -> None:
    sim.state.stop()
    await trio.sleep(20)
    sim.state.resume()


async def state_and_cloud_outage(sim: Sim) -> None:
    sim.world.down = True
    await state_outage(sim)
    sim.world.down = False


async def crash_in_outage(sim: Sim) -> None:
    sim.state.stop()
    await trio.sleep(3)
    sim.kill("n2")
    await trio.sleep(4)
    sim.start("n2")
    await trio.sleep(6)
    sim.state.resume()


async def machine_cut(sim: Sim) -> None:
    name = next(iter(sim.world.workers))
    sim.network.cut("*", name)
    sim.network.cut(name, "*")
    await trio.sleep(15)


async def machine_dies(sim: Sim) -> None:
    name = next(iter(sim.world.workers))
    sim.world.workers.pop(name).vanish()
    await trio.sleep(5)


async def machine_and_owner(sim: Sim) -> None:
    """The owner ends while one of its machines can't be reached."""
    name = next(iter(sim.world.workers))
    sim.network.cut("*", name)
    sim.network.cut(name, "*")
    sim.kill("n0")
    await trio.sleep(5)
    sim.start("n0")
    await trio.sleep(10)


async def unlisted_machine(sim: Sim) -> None:
    sim.world.add("big", "b")
    await trio.sleep(5)


async def sick_machine(sim: Sim) -> None:
    next(iter(sim.world.workers.values())).sick = True
    await trio.sleep(15)


async def deaf_machine(sim: Sim) -> None:
    """Its reports arrive, but neither answers nor commands reach it."""
    sim.network.deafen(next(iter(sim.world.workers)))
    await trio.sleep(25)


async def deaf_machine_and_takeover(sim: Sim) -> None:
    sim.network.deafen(next(iter(sim.world.workers)))
    sim.kill("n0")
    await trio.sleep(5)
    sim.start("n0")
    await trio.sleep(20)


def _copies(sim: Sim, after: float) -> None:
    for worker in sim.world.workers:
        for name in NODES:
            sim.network.late[(worker, name)] = after


async def copies_within_a_second(sim: Sim) -> None:
    _copies(sim, 0.8)
    await trio.sleep(15)


async def copies_after_takeovers(sim: Sim) -> None:
    """Copies of reports, later than a lease, at owners that never saw the originals."""
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


async def copies_of_lost_machines(sim: Sim) -> None:
    """Copies from machines that are gone, or whose lease is over, still come in."""
    _copies(sim, 9.0)
    names = list(sim.world.workers)
    sim.network.cut("*", names[0])
    sim.network.cut(names[0], "*")
    await trio.sleep(2)
    if names[1] in sim.world.workers:
        sim.world.workers.pop(names[1]).vanish()
    await trio.sleep(25)


async def alone_with_workers(sim: Sim) -> None:
    """A controller loses the store and its peers, but not its workers."""
    for other in ("state", "n1", "n2"):
        sim.network.cut("n0", other)
    await trio.sleep(30)


async def quick_restarts_in_elections(sim: Sim) -> None:
    """Back within a fraction of a second at every step, also twice in a row."""
    for pause in (0.05, 0.3, 0.6, 1.0, 1.7, 2.6):
        for name in ("n0", "n0", "n2"):
            sim.kill(name)
            await trio.sleep(0.15)
            sim.start(name)
            await trio.sleep(pause)


async def quick_restarts_of_all(sim: Sim) -> None:
    for pause in (0.1, 0.5, 1.5, 3.0):
        sim.kill()
        await trio.sleep(0.1)
        sim.start()
        await trio.sleep(pause)


async def machines_back_at_once(sim: Sim) -> None:
    """Workers that begin a new session within a fraction of a second."""
    for worker in list(sim.world.workers.values()):
        worker.restart()
        await trio.sleep(0.3)
        worker.restart()
    await trio.sleep(5)


async def machines_hang_and_go_on(sim: Sim) -> None:
    """Nothing gets in or out of half of the machines for longer than a lease, twice."""
    names = list(sim.world.workers)[::2]
    for _ in range(2):
        for name in names:
            sim.network.cut(name, "*")
            sim.network.cut("*", name)
        await trio.sleep(TIMES.lease_s * 1.3)
        sim.network.heal()
        await trio.sleep(1.5)


async def machines_hang_and_owner_ends(sim: Sim) -> None:
    """As before, with a takeover in the midst of it, and the old owner back at once."""
    names = list(sim.world.workers)[::2]
    for name in names:
        sim.network.cut(name, "*")
        sim.network.cut("*", name)
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


async def zone_cut_with_a_controller(sim: Sim) -> None:
    """A zone's machines and a controller hear one another, and nobody else."""
    inside = {"n0"} | {n for n, w in sim.world.workers.items() if w.zone == "a"}
    outside = {"n1", "n2", "state", "cloud"} | {
        n for n, w in sim.world.workers.items() if w.zone != "a"
    }
    for a in inside:
        for b in outside:
            sim.network.cut(a, b)
    await trio.sleep(TIMES.lease_s * 1.5)


async def most_machines_die(sim: Sim) -> None:
    for name in list(sim.world.workers)[:-1]:
        sim.world.workers.pop(name).vanish()
    await trio.sleep(5)


async def all_end_twice(sim: Sim) -> None:
    """Again before the first restart has settled, in an outage, with late copies."""
    sim.network.late = {("user", n): 4.0 for n in NODES}
    sim.state.stop()
    sim.kill()
    await trio.sleep(3)
    sim.start()
    sim.state.resume()
    await trio.sleep(2)
    sim.kill()
    await trio.sleep(0.2)
    sim.start()


async def cut_off_with_workers_and_ends(sim: Sim) -> None:
    """Only its workers are left to a controller; then it ends, and is back at once."""
    for other in ("state", "n1", "n2"):
        sim.network.cut("n0", other)
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
    cut_from_workers,
    cut_from_peers,
    cut_from_all,
    lost_answers,
    late_copies,
    state_outage,
    state_and_cloud_outage,
    crash_in_outage,
    machine_cut,
    machine_dies,
    machine_and_owner,
    unlisted_machine,
    sick_machine,
    deaf_machine,
    deaf_machine_and_takeover,
    copies_within_a_second,
    copies_after_takeovers,
    copies_of_lost_machines,
    alone_with_workers,
    quick_restarts_in_elections,
    quick_restarts_of_all,
    machines_back_at_once,
    machines_hang_and_go_on,
    machines_hang_and_owner_ends,
    zone_cut_with_a_controller,
    most_machines_die,
    all_end_twice,
    cut_off_with_workers_and_ends,
]


@pytest.mark.parametrize("fault", FAULTS, ids=lambda f: f.__name__)
def test_rules_hold(fault: Fault, monkeypatch: pytest.MonkeyPatch) -> None:
    async def day(sim: Sim) -> None:
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
        await sim.known([spec["ref"] for spec in jobs], within=30)
        await sim.finish([spec["ref"] for spec in jobs])
        assert sim.final["wk-000007"] == "withdrawn"
        await trio.sleep(26)  # nothing of the cancelled job may be left
        sim.check()
        assert sim.world.rules.started >= sum(s["rows"] for s in jobs[:6])

    run(monkeypatch, day)
