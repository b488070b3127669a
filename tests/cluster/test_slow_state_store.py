"""All invariants hold while some replies of the state store are delayed."""

from __future__ import annotations

import random

import pytest
import trio

from pitchtally.http import Request, Response

from ..harness.simulation import NODES, TIMES, Simulation, job, run

STATE_STORE_ADDRESS = ("10.2.0.1", 2379)
DELAYED_REPLY_SHARE = 0.5
REPLY_DELAY_RANGE_S = (0.8, 1.3)  # about as long as a caller waits for a reply
SEEDS = (1, 2, 3, 4)
JOB_COUNT = 80
JOBS_PER_S = 4.0
POLLING_USER_COUNT = 100  # each polls jobs at some controller while others are submitted


def delay_replies(sim: Simulation, seed: int) -> None:
    """Let the state store execute each call at once, but delay some of its replies."""
    name, handle = sim.network.hosts[STATE_STORE_ADDRESS]
    rng = random.Random(seed)

    async def handle_with_delay(request: Request) -> Response:
        response = await handle(request)
        if rng.random() < DELAYED_REPLY_SHARE:
            await trio.sleep(rng.uniform(*REPLY_DELAY_RANGE_S))
        return response

    sim.network.hosts[STATE_STORE_ADDRESS] = (name, handle_with_delay)


async def poll_repeatedly(sim: Simulation, rng: random.Random, ids: list[str]) -> None:
    while True:
        await trio.sleep(rng.uniform(0.05, 0.4))
        if ids:
            await sim.poll(rng.choice(ids[-20:]), rng.randrange(len(NODES)))


async def submit_and_cancel_some(sim: Simulation, number: int, ids: list[str]) -> None:
    spec = job(number, rows=1, vcpus=0.5, realS=2.0, ripenS=2.0)
    await sim.submit(spec)
    ids.append(spec["ref"])
    if number % 5 == 0:
        await sim.cancel(spec["ref"], number)


@pytest.mark.parametrize("seed", SEEDS)
def test_invariants_hold_while_replies_of_the_state_store_are_delayed(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Jobs are submitted and end while half of the replies are delayed and many users poll.

    A read barrier that treats a delayed reply as fresh would answer "pending" after "done", or
    report an accepted job as unknown.
    """

    async def simulate(sim: Simulation) -> None:
        delay_replies(sim, seed)
        sim.probes_changes = True
        rng = random.Random(seed)
        ids: list[str] = []
        async with trio.open_nursery() as nursery:
            for _ in range(POLLING_USER_COUNT):
                nursery.start_soon(poll_repeatedly, sim, rng, ids)
            for number in range(1, JOB_COUNT + 1):
                sim.nursery.start_soon(submit_and_cancel_some, sim, number, ids)
                await trio.sleep(1 / JOBS_PER_S)
            await trio.sleep(10)
            nursery.cancel_scope.cancel()
        await sim.wait_until_finished([f"wk-{number:06d}" for number in range(1, JOB_COUNT + 1)])
        await trio.sleep(TIMES.cancel_s + 1)
        sim.check()
        # Nearly all reads still pass the barrier.
        for controller in sim.controllers.values():
            counts = controller.api.read_barrier.counts
            assert counts["confirmed"] > 0.98 * sum(counts.values())

    run(monkeypatch, simulate, seed)
