"""The rules while the state store answers some calls late, among them reads that confirm."""

from __future__ import annotations

import random

import pytest
import trio

from pitchtally.http import Request, Response

from ..harness.simulation import NODES, TIMES, Simulation, job, run

STATE = ("10.2.0.1", 2379)
LATE_SHARE = 0.5
LATE_BY = (0.8, 1.3)  # seconds: about as long as a caller waits
SEEDS = (1, 2, 3, 4)
JOBS = 80
JOBS_PER_S = 4.0
CURIOUS_USERS = 100  # each asks at some node, again and again, while jobs come


def answer_late(sim: Simulation, seed: int) -> None:
    """From now on the state store carries each call out at once and answers some late."""
    name, handle = sim.network.hosts[STATE]
    luck = random.Random(seed)

    async def late(request: Request) -> Response:
        response = await handle(request)
        if luck.random() < LATE_SHARE:
            await trio.sleep(luck.uniform(*LATE_BY))
        return response

    sim.network.hosts[STATE] = (name, late)


async def ask_again_and_again(sim: Simulation, luck: random.Random, ids: list[str]) -> None:
    while True:
        await trio.sleep(luck.uniform(0.05, 0.4))
        if ids:
            await sim.poll(luck.choice(ids[-20:]), luck.randrange(len(NODES)))


async def submit_and_look(sim: Simulation, number: int, ids: list[str]) -> None:
    spec = job(number, rows=1, vcpus=0.5, realS=2.0, ripenS=2.0)
    await sim.submit(spec)
    ids.append(spec["ref"])
    if number % 5 == 0:
        await sim.cancel(spec["ref"], number)


@pytest.mark.parametrize("seed", SEEDS)
def test_rules_hold_while_answers_are_late(seed: int, monkeypatch: pytest.MonkeyPatch) -> None:
    """Jobs come and end while half of the answers is late and many users ask at all nodes.

    On 0.5.0 two to four of these days answered "pending" after "done" or denied a job; which
    ones changed from run to run, as the addresses of objects do.
    """

    async def day(sim: Simulation) -> None:
        answer_late(sim, seed)
        sim.probes_changes = True
        luck = random.Random(seed)
        ids: list[str] = []
        async with trio.open_nursery() as nursery:
            for _ in range(CURIOUS_USERS):
                nursery.start_soon(ask_again_and_again, sim, luck, ids)
            for number in range(1, JOBS + 1):
                sim.nursery.start_soon(submit_and_look, sim, number, ids)
                await trio.sleep(1 / JOBS_PER_S)
            await trio.sleep(10)
            nursery.cancel_scope.cancel()
        await sim.finish([f"wk-{number:06d}" for number in range(1, JOBS + 1)])
        await trio.sleep(TIMES.cancel_s + 1)
        sim.check()
        # And most questions are answered all the same.
        for controller in sim.controllers.values():
            counts = controller.api.read_barrier.counts
            assert counts["confirmed"] > 0.98 * sum(counts.values())

    run(monkeypatch, day, seed)
