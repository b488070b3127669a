"""Services: replicas run until their job is cancelled, and come back wherever they fall."""

from __future__ import annotations

import json
import random
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
import trio

from pitchtally.api.validation import InvalidSubmission, check_runnable, parse_job
from pitchtally.config import policy
from pitchtally.config.settings import Team
from pitchtally.jobs.index import Job
from pitchtally.jobs.job_record import OPEN, JobRecord, TaskRange
from pitchtally.protocol.cloud_api import MachineType
from pitchtally.scheduling.estimates import Estimates
from pitchtally.scheduling.rebalancing.service_migration import Move, moved_caps, zone_limits
from pitchtally.scheduling.shards.allocations import most_in_zone

from ..harness.cluster_faults import cluster_leader, restart
from ..harness.fault_scenarios import (
    agents_cannot_call,
    all_controllers_down_beyond_lease,
    leader_crash_with_partitioned_agents,
    leader_partitioned_from_store_and_peers,
    slow_store_then_refusal_then_outage,
    ten_failovers_with_store_outage,
    zone_partitioned_beyond_lease,
)
from ..harness.message_scenarios import (
    delayed_commands_and_hung_agents,
    delayed_commits,
    duplicated_heartbeats_after_newer_ones,
)
from ..harness.simulation import TIMES, Simulation, job, run, settings, submission
from ..harness.workload import CANCELLED, users

Trouble = Callable[[Simulation], Awaitable[None]]

# Once troubles are over: a lease that has to end, a failover, and a few reports.
BACK_WITHIN_S = TIMES.lease_s * 2 + TIMES.report_s * 5


def service(number: int, **more: Any) -> dict[str, Any]:
    found = {"cut": "standing", "rank": "production", "rows": 3, "vcpus": 1.0, "ripenS": 0.0}
    return job(number, **{**found, **more})


SERVICES = [
    service(1, rows=4),
    service(2, rows=3, spread=True),
    service(7, rows=2),
    service(10, rows=1),
    service(4, rows=2, oneZone=True, vcpus=2.0),
    service(5, rows=2, crew="tight", gleaning=False),
]
WORK = [
    job(6, rows=40, vcpus=1.0, rank="idle", realS=5.0, ripenS=5.0),
    job(8, cut="gang", rows=3, vcpus=2.0, rank="urgent"),
]


def up(sim: Simulation, id: str) -> int:
    """Replicas of a service that are on machines."""
    return sum(1 for task in sim.world.rules.placements if task.startswith(f"{id}/"))


async def until(check: Callable[[], bool], seconds: float) -> None:
    with trio.fail_after(seconds):
        while not check():
            await trio.sleep(0.1)


async def all_up(sim: Simulation, *specs: dict[str, Any], within: float) -> None:
    await until(lambda: all(up(sim, s["ref"]) == s["rows"] for s in specs), within)


# --- what is taken ---------------------------------------------------------------------------

TYPES = {"big": MachineType("big", cpus=8.0, gpus=2.0, memory=64.0, zones=["a"])}


@pytest.mark.parametrize(
    ("more", "status"),
    [
        ({"rows": 6}, None),
        ({"rows": 7}, 422),  # an array of seven would go on task by task
        ({"rows": 7, "cut": "sweep"}, None),
        ({"rows": 2, "cards": 2.0}, 422),
        ({"rows": 1, "cards": 1.0}, None),
        ({"rows": 1, "vcpus": 9.0}, 422),
        ({"rows": 100_000, "crew": "free"}, None),
    ],
)
def test_all_replicas_together_have_to_be_within_the_teams_limit(
    more: dict[str, Any], status: int | None
) -> None:
    config = settings("n0", teams=[Team("tight", cpus_max=6.0, gpus_max=3.0), Team("free")])
    spec = parse_job(json.dumps(submission(service(1, **{"crew": "tight", **more}))).encode())
    try:
        check_runnable(spec, config, TYPES)
    except InvalidSubmission as error:
        assert error.status == status
    else:
        assert status is None


@pytest.mark.parametrize("missing", ["ripenS", "rows", "spread", "crew"])
def test_a_field_that_is_missing_is_told_as_for_any_job(missing: str) -> None:
    body = {k: v for k, v in submission(service(1)).items() if k != missing}
    with pytest.raises(InvalidSubmission) as found:
        parse_job(json.dumps(body).encode())
    assert found.value.status == 400


# --- how they run -----------------------------------------------------------------------------


def test_a_service_runs_until_it_is_cancelled(monkeypatch: pytest.MonkeyPatch) -> None:
    async def day(sim: Simulation) -> None:
        spec = service(1)
        await sim.submit(spec)
        assert await sim.poll(spec["ref"], 0) == "pending"
        await all_up(sim, spec, within=5.0)
        await trio.sleep(120)
        for node in range(3):
            answer = await sim.call(node, "GET", f"/api/jobs/{spec['ref']}")
            view = json.loads(answer.body)
            assert (view["stage"], view["done"], view["running"]) == ("running", 0, 3)
        writes = [key for _, key, _ in sim.state_store.log if key == f"pt/jobs/{spec['ref']}"]
        assert len(writes) <= 2  # its acceptance, and at most one assignment
        await sim.cancel(spec["ref"])
        await trio.sleep(TIMES.cancel_s + 1)
        assert not up(sim, spec["ref"])
        assert sim.world.rules.started == 3
        sim.check()

    run(monkeypatch, day)


def test_a_replica_that_ends_runs_again_and_nothing_is_done(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Its end is no result; where replicas end at once again and again, starts get rarer."""

    async def day(sim: Simulation) -> None:
        steady = service(1, realEnds=20.0)
        hasty = service(2, realEnds=0.2)
        await sim.submit(steady)
        await sim.submit(hasty)
        await trio.sleep(200)
        starts = sim.world.rules.starts_of
        assert starts(steady["ref"]) >= 3 * 6
        assert starts(hasty["ref"]) <= 3 * 40
        for id in (steady["ref"], hasty["ref"]):
            assert await sim.poll(id, 0) in ("running", "pending")
            await sim.cancel(id)
        sim.check()

    run(monkeypatch, day)


def test_services_take_room_from_lower_ranks_only(monkeypatch: pytest.MonkeyPatch) -> None:
    """Full machines: idle work makes room at once, another service doesn't."""

    async def day(sim: Simulation) -> None:
        sim.world.capacity = len(sim.world.agents)
        first = service(1, rows=16, vcpus=1.0)
        await sim.submit(first)
        await all_up(sim, first, within=10.0)
        idle = job(2, rows=60, vcpus=1.0, rank="idle", realS=50.0, ripenS=50.0)
        await sim.submit(idle)
        await until(lambda: len(sim.world.rules.placements) == 32, 20)
        second = service(3, rows=8, vcpus=1.0)
        await sim.submit(second)
        await all_up(sim, first, second, within=8.0)
        third = service(4, rows=10, vcpus=1.0)
        await sim.submit(third)
        await trio.sleep(20)
        assert (up(sim, first["ref"]), up(sim, second["ref"])) == (16, 8)
        assert up(sim, third["ref"]) <= 8
        sim.check()

    run(monkeypatch, day)


@pytest.mark.parametrize("seed", range(4))
def test_a_limited_team_s_service_gets_its_share_where_machines_are_full(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Its share of the limit stood in other shards, and moved to free room only: it waited for
    ever, for preemption waited for the share."""

    async def day(sim: Simulation) -> None:
        sim.world.capacity = len(sim.world.agents)
        earlier = service(3, rows=6, crew="tight")  # gathers all shares in one shard
        await sim.submit(earlier)
        await all_up(sim, earlier, within=15.0)
        await sim.submit(job(2, rows=200, vcpus=1.0, rank="idle", realS=90.0, ripenS=90.0))
        await until(lambda: len(sim.world.rules.placements) == 32, 20)
        await sim.cancel(earlier["ref"])
        await until(lambda: len(sim.world.rules.placements) == 32, 20)
        specs = [service(number, rows=2, crew="tight") for number in (4, 5, 6)]
        for spec in specs:
            await sim.submit(spec)
        await all_up(sim, *specs, within=15.0)
        sim.check()

    run(monkeypatch, day, seed)


def test_machines_that_hold_replicas_are_not_returned(monkeypatch: pytest.MonkeyPatch) -> None:
    async def day(sim: Simulation) -> None:
        spec = service(1, rows=4, spread=True)
        await sim.submit(spec)
        await all_up(sim, spec, within=5.0)
        await trio.sleep(120)
        assert sim.world.terminated  # those that held nothing
        assert sim.world.rules.started == 4

    run(monkeypatch, day)


# --- what takes a replica's machine -----------------------------------------------------------


def machine_of(sim: Simulation, id: str) -> Any:
    name = next(w for t, (w, _) in sim.world.rules.placements.items() if t.startswith(f"{id}/"))
    return sim.world.agents[name]


async def released(sim: Simulation, agent: Any) -> None:
    sim.world.agents.pop(agent.name).terminate()


async def noticed(sim: Simulation, agent: Any) -> None:
    agent.preemption_at = trio.current_time() + 6.0
    agent.changed.set()
    await trio.sleep(6.0)
    if agent.name in sim.world.agents:  # not returned before that
        sim.world.agents.pop(agent.name).terminate()


async def restarted(sim: Simulation, agent: Any) -> None:
    agent.restart()


async def hung(sim: Simulation, agent: Any) -> None:
    await agent.hang(TIMES.lease_s * 1.5)


async def cut_off(sim: Simulation, agent: Any) -> None:
    sim.network.partition(agent.name, "*")
    sim.network.partition("*", agent.name)
    await trio.sleep(TIMES.lease_s * 2)
    sim.network.heal()


@pytest.mark.parametrize("loss", [released, noticed, restarted, hung, cut_off])
@pytest.mark.parametrize("more", [{}, {"spread": True}, {"oneZone": True}], ids=str)
def test_replicas_of_a_lost_machine_run_elsewhere(
    loss: Callable[[Simulation, Any], Awaitable[None]],
    more: dict[str, Any],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def day(sim: Simulation) -> None:
        spec = service(1, rows=4, **more)
        await sim.submit(spec)
        await all_up(sim, spec, within=6.0)
        agent = machine_of(sim, spec["ref"])
        async with trio.open_nursery() as nursery:
            nursery.start_soon(loss, sim, agent)
        await all_up(sim, spec, within=BACK_WITHIN_S)
        sim.check()

    run(monkeypatch, day)


def test_a_service_that_can_t_be_whole_in_its_shard_starts_elsewhere(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Its other replicas never end: the one that lacks room would have waited for ever."""

    async def day(sim: Simulation) -> None:
        for zone in ("a", "b"):
            sim.world.add("big", zone)
        sim.world.capacity = 6
        await trio.sleep(3)
        spec = service(1, rows=4, vcpus=4.0, spread=True)
        await sim.submit(spec)
        await all_up(sim, spec, within=8.0)
        shard = int(machine_of(sim, spec["ref"]).name[2:]) % 3
        other = next(w for w in sim.world.agents.values() if int(w.name[2:]) % 3 == shard)
        sim.world.capacity = 5
        sim.world.agents.pop(other.name).terminate()
        await all_up(sim, spec, within=120.0)
        sim.check()

    run(monkeypatch, day)


# --- moves of single replicas -----------------------------------------------------------------


@pytest.mark.parametrize("seed", range(20))
def test_caps_of_moved_replicas_never_exceed_a_zone_s_share(seed: int) -> None:
    """Whatever is lost and moved, and in whichever order, caps leave no zone over its half."""

    async def main() -> None:
        move_at_random(seed)

    trio.run(main)


def move_at_random(seed: int) -> None:
    luck = random.Random(seed)
    spec = parse_job(
        json.dumps(submission(service(1, rows=luck.choice([2, 3, 5, 8]), spread=True))).encode()
    )
    most = most_in_zone(spec)
    record = JobRecord(OPEN, spec.tasks, spec, ranges=[TaskRange(0, spec.tasks, 0)])
    held = {shard: Counter[str]() for shard in range(3)}
    for zone in ("a", "b", "a", "b", "a", "b", "a", "b")[: spec.tasks]:
        held[0][zone] += 1
    for _ in range(30):
        shard = luck.choice([p for p in held if held[p].total()])
        lost = luck.choice(sorted(held[shard].elements()))
        held[shard][lost] -= 1
        to = luck.randrange(3)
        found = Job("wk-1", record, 1, 8)
        placed = {zone: held[shard][zone] for zone in ("a", "b", "c")}
        left = zone_limits(found, placed, shard)
        zone = luck.choice([z for z, n in left.items() if n > 0])
        record.caps = moved_caps(found, placed, shard, Move(to, {zone: 1}))
        held[to][zone] += 1
        for each in placed:
            caps = [n for _, z, n in record.caps if z == each]
            assert sum(caps) <= most
            assert all(n <= cap_of(record, p, each) for p in held for n in [held[p][each]])


def cap_of(record: JobRecord, shard: int, zone: str) -> int:
    return sum(n for p, z, n in record.caps if (p, z) == (shard, zone))


# --- troubles ---------------------------------------------------------------------------------


async def service_cancelled_as_the_leader_ends(sim: Simulation) -> None:
    for id in CANCELLED:
        sim.nursery.start_soon(sim.cancel, id)
    await trio.sleep(0.1)
    await restart(sim, cluster_leader(sim))
    await trio.sleep(3)


async def machines_fail_every_task(sim: Simulation) -> None:
    sick = list(sim.world.agents.values())[:2]
    for agent in sick:
        agent.fails_tasks = True
        agent.restart()
    await trio.sleep(TIMES.lease_s * 3)
    for agent in sick:
        agent.fails_tasks = False


TROUBLES: list[Trouble] = [
    all_controllers_down_beyond_lease,
    delayed_commands_and_hung_agents,
    delayed_commits,
    leader_partitioned_from_store_and_peers,
    leader_crash_with_partitioned_agents,
    machines_fail_every_task,
    duplicated_heartbeats_after_newer_ones,
    service_cancelled_as_the_leader_ends,
    slow_store_then_refusal_then_outage,
    ten_failovers_with_store_outage,
    agents_cannot_call,
    zone_partitioned_beyond_lease,
]


async def play_services(sim: Simulation, trouble: Trouble, *, bound: float) -> None:
    """Services beside other work, a trouble, and the calm in which all must be up again."""
    for spec in [*SERVICES, *WORK]:
        sim.nursery.start_soon(sim.submit, spec)
    sim.nursery.start_soon(users, sim)
    await trio.sleep(8)
    await trouble(sim)
    sim.state_store.refused_callers.clear()
    sim.state_store.down = False
    sim.network.heal()
    for name in sorted(sim.network.crashed):
        sim.start(name)
    calm = trio.current_time()
    for id in CANCELLED:
        if id not in sim.invariants.cancel_requested:
            sim.nursery.start_soon(sim.cancel, id)
    while trio.current_time() - calm < 110:
        await trio.sleep(0.5)
        now = trio.current_time()
        sim.invariants.check_replicas_return(now, calm, bound)
        sim.invariants.check_startable_jobs_start(now, sim.world)
        sim.invariants.check_jobs_answer(now, calm)
        sim.check()
    assert all(sim.final_stages.get(spec["ref"]) == "done" for spec in WORK)
    assert not any(up(sim, id) for id in CANCELLED)


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("trouble", TROUBLES, ids=lambda t: t.__name__)
def test_services_are_up_again_after_troubles(
    trouble: Trouble, seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def day(sim: Simulation) -> None:
        await play_services(sim, trouble, bound=BACK_WITHIN_S)

    run(monkeypatch, day, seed)


def test_the_length_of_a_service_s_replicas_is_never_nothing() -> None:
    """`ripenS` 0 made a service smaller than any task, in the queues and for hiring."""
    spec = parse_job(json.dumps(submission(service(1))).encode())
    figures = policy.parse("", settings("n0"))
    estimates = Estimates(figures.start_within)
    estimates.learn(spec, 0.5)  # nothing is learnt from a replica that ended
    assert estimates.task(spec) == figures.start_within
