"""All invariants hold under listed and random combinations of faults."""

from __future__ import annotations

import random

import pytest
import trio
import trio.testing

from ..harness.fault_scenarios import SCENARIOS, Scenario
from ..harness.scenario_day import run_scenario_day
from ..harness.simulation import TIMES, Simulation, run

SEEDS = (1, 2)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("scenario", SCENARIOS, ids=lambda m: m.__name__)
def test_invariants_hold_under_listed_combinations(
    scenario: Scenario, seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def simulate(sim: Simulation) -> None:
        await run_scenario_day(sim, scenario, 5 + seed % 3)

    run(monkeypatch, simulate, seed)


RANDOM_COMBINATION_SEEDS = tuple(range(12))


@pytest.mark.parametrize("seed", RANDOM_COMBINATION_SEEDS)
def test_invariants_hold_under_random_combinations(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Two scenarios start a random time apart; no job may stay queued forever either."""
    rng = random.Random(1000 + seed)
    first, second = rng.sample(SCENARIOS, 2)
    delay, start_after = rng.uniform(0.0, TIMES.lease_s), rng.uniform(2.0, 8.0)

    async def delayed_second_scenario(sim: Simulation) -> None:
        await trio.sleep(delay)
        await second(sim)

    async def both_scenarios(sim: Simulation) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(first, sim)
            nursery.start_soon(delayed_second_scenario, sim)

    async def simulate(sim: Simulation) -> None:
        await run_scenario_day(sim, both_scenarios, start_after)

    run(monkeypatch, simulate, 1000 + seed)
