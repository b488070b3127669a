"""Where troubles meet: the operators' list, each meeting brought about, all rules watched."""

from __future__ import annotations

import random
from typing import Any

import pytest
import trio
import trio.testing

from ..harness.fault_scenarios import SCENARIOS, Scenario
from ..harness.scenario_day import play
from ..harness.simulation import TIMES, Simulation, job, run, submission

SEEDS = (1, 2)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("scenario", SCENARIOS, ids=lambda m: m.__name__)
def test_rules_hold_where_troubles_meet(
    scenario: Scenario, seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def day(sim: Simulation) -> None:
        await play(sim, scenario, 5 + seed % 3)

    run(monkeypatch, day, seed)


# --- random days: any two of them, at any distance --------------------------------------------

RANDOM_DAYS = tuple(range(12))


@pytest.mark.parametrize("seed", RANDOM_DAYS)
def test_rules_hold_on_random_days(seed: int, monkeypatch: pytest.MonkeyPatch) -> None:
    """The rules, and that nothing waits for ever, on days that nobody thought of."""
    luck = random.Random(1000 + seed)
    first, second = luck.sample(SCENARIOS, 2)
    apart, after = luck.uniform(0.0, TIMES.lease_s), luck.uniform(2.0, 8.0)

    async def later(sim: Simulation) -> None:
        await trio.sleep(apart)
        await second(sim)

    async def both(sim: Simulation) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(first, sim)
            nursery.start_soon(later, sim)

    async def day(sim: Simulation) -> None:
        await play(sim, both, after)

    run(monkeypatch, day, 1000 + seed)


# --- an answer that meets the end of the last task -------------------------------------------


async def again(sim: Simulation, node: int, spec: dict[str, Any]) -> None:
    await sim.ask(node, "POST", "/api/jobs", submission(spec), about=spec["ref"], repeat=True)


@pytest.mark.parametrize("before", [0.5, 0.2, 0.05, 0.0, -0.05, -0.15, -0.4, -1.0])
@pytest.mark.parametrize("rows", [1, 3])
def test_requests_meet_the_end_of_the_last_task(
    before: float, rows: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The one conditional write decides; the loser says what the winner wrote."""

    async def day(sim: Simulation) -> None:
        specs = [job(n, rows=rows, vcpus=1.0, realS=4.0) for n in range(1, 5)]
        for spec in specs:
            await sim.submit(spec)
        first = sim.world.rules.first_start
        with trio.fail_after(20):
            while len(first) < len(specs):
                await trio.sleep(0.01)
        end = max(first.values()) + 4.0
        await trio.sleep(max(0.0, end - before - trio.current_time()))
        async with trio.open_nursery() as nursery:
            for turn, spec in enumerate(specs):
                nursery.start_soon(sim.cancel, spec["ref"], turn)
                for node in range(3):
                    nursery.start_soon(sim.poll, spec["ref"], node)
                    nursery.start_soon(again, sim, node, spec)
        await sim.finish([spec["ref"] for spec in specs])
        await trio.sleep(TIMES.cancel_s + 1)
        sim.check()

    run(monkeypatch, day)


# --- what a shard can't end itself goes elsewhere ---------------------------------------------

REST: list[dict[str, Any]] = [
    job(1, rows=4, vcpus=2.0, oneZone=True, realBy=[2.0, 2.0, 60.0, 60.0], ripenS=30.0),
    job(1, rows=6, vcpus=2.0, oneZone=True, realBy=[2.0] + [60.0] * 5, ripenS=30.0),
    job(1, rows=3, vcpus=2.0, cut="gang", oneZone=True, realBy=[3.0, 60.0, 60.0]),
    job(1, rows=4, vcpus=2.0, spread=True, realBy=[2.0, 2.0, 60.0, 60.0], ripenS=30.0),
    # every other task: too many pieces for one record
    job(1, rows=100, vcpus=0.1, oneZone=True, realBy=[2.0, 60.0] * 50, ripenS=30.0),
]


@pytest.mark.parametrize("spec", REST, ids=["array", "wide", "gang", "spread", "pieces"])
def test_rest_of_a_whole_job_goes_on_elsewhere(
    spec: dict[str, Any], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Some tasks are done, then the machines of its zone end and the cloud has no others.

    Its part held the rest for ever, for a zone and a shard once chosen were never left.
    """

    async def day(sim: Simulation) -> None:
        await sim.submit(spec)
        with trio.fail_after(30):
            while not sim.world.rules.done:
                await trio.sleep(0.2)
        await trio.sleep(1.5)
        places = [z for t, (_, z) in sim.world.rules.placements.items()]
        zone = places[0] if places else "a"
        for agent in [w for w in sim.world.agents.values() if w.zone == zone]:
            sim.world.agents.pop(agent.name).terminate()
        sim.world.capacity = len(sim.world.agents)
        for task in range(spec["rows"]):
            spec["realBy"][task] = 5.0
        await sim.finish([spec["ref"]], limit=150.0)
        assert sim.final_stages[spec["ref"]] == "done"

    run(monkeypatch, day)


# --- a stream of small jobs -------------------------------------------------------------------

STREAM_RATE = 4  # jobs a second
STREAM_SECONDS = 120


def test_one_task_jobs_four_a_second_a_quarter_cancelled(monkeypatch: pytest.MonkeyPatch) -> None:
    """For minutes on end, beside a controller that ends; each is known and ends as it should."""

    async def one(sim: Simulation, number: int, luck: random.Random) -> None:
        spec = job(number, rows=1, vcpus=1.0, realS=3.0, ripenS=3.0)
        await sim.submit(spec)
        if number % 4 == 0:
            await trio.sleep(luck.choice([0.0, 0.5, 2.0, 3.0, 4.0]))
            await sim.cancel(spec["ref"], number)

    async def day(sim: Simulation) -> None:
        sim.world.capacity = 12
        luck = random.Random(5)
        count = STREAM_RATE * STREAM_SECONDS
        for number in range(1, count + 1):
            sim.nursery.start_soon(one, sim, number, luck)
            await trio.sleep(1 / STREAM_RATE)
            if number == count // 2:
                sim.kill("n1")
            elif number == count // 2 + STREAM_RATE * 6:
                sim.start("n1")
        await trio.sleep(5)
        ids = [f"wk-{number:06d}" for number in range(1, count + 1)]
        await sim.finish(ids, limit=60)
        withdrawn = [id for id in ids if sim.final_stages[id] == "withdrawn"]
        assert set(withdrawn) <= sim.invariants.cancel_requested
        assert len(withdrawn) >= count // 16
        await trio.sleep(TIMES.cancel_s + 1)
        sim.check()

    run(monkeypatch, day)
