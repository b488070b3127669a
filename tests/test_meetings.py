"""Where two troubles meet: the operators' list, each meeting brought about, all rules watched.

Users ask, repeat and cancel all the while, and the oracle sees every place a task is,
every answer a user got, and who waits beside free room once the troubles are over.
"""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
import trio
import trio.testing

from .sim import NODES, TIMES, Sim, job, run, sent

Meeting = Callable[[Sim], Awaitable[None]]
LONG = {"realS": 900.0, "ripenS": 900.0}
CANCELLED = ("wk-000007", "wk-000010")
# The limited team fills its limit with work that lasts; cancelled, it makes room for more.
JOBS: list[dict[str, Any]] = [
    job(1),
    job(2, rows=10, crew="tight", vcpus=1.0),
    job(3, cut="gang", rows=4, vcpus=3.0, ripenS=6.0, realS=6.0),
    job(4, cut="gang", rows=2, oneZone=True, rank="urgent"),
    job(5, rows=5, spread=True, realS=8.0),
    job(6, rows=30, vcpus=1.0, rank="idle", realS=6.0, gleaning=False),
    job(7, rows=6, vcpus=1.0, **LONG),
    job(8, rows=6, vcpus=1.0, oneZone=True, realS=9.0, ripenS=9.0),
    job(9, rows=3, vcpus=1.0, realBy=[2.0, 18.0, 45.0], ripenS=20.0),
    job(10, rows=4, crew="tight", vcpus=1.0, **LONG),
    job(11, rows=4, vcpus=1.0, parcel="a", realS=12.0, ripenS=12.0),
    job(12, rows=2, vcpus=1.0, realBy=[1.0, 50.0], ripenS=25.0, rank="urgent"),
]
IDS = [spec["ref"] for spec in JOBS]


def leader(sim: Sim) -> str:
    for name, controller in sim.controllers.items():
        if name not in sim.network.dead and controller.members.leading is not None:
            return name
    return NODES[0]


def owner(sim: Sim, worker: str) -> str:
    for name, controller in sim.controllers.items():
        if name not in sim.network.dead and worker in controller.workers.machines:
            return name
    return NODES[0]


def isolate(sim: Sim, name: str) -> None:
    sim.network.cut(name, "*")
    sim.network.cut("*", name)


async def restart(sim: Sim, *names: str, after: float = 0.2) -> None:
    sim.kill(*names)
    await trio.sleep(after)
    for name in names or NODES:
        revive(sim, name)


def revive(sim: Sim, name: str) -> None:
    """Started, unless another trouble has ended and started it meanwhile."""
    if name in sim.network.dead:
        sim.start(name)


async def refuse_then_outage(sim: Sim, seconds: float) -> None:
    sim.state.refuses.add(leader(sim))
    await trio.sleep(1.0)
    sim.state.stop()
    await trio.sleep(seconds)
    sim.state.refuses.clear()
    sim.state.resume()


# --- the operators' list ---------------------------------------------------------------------


async def all_away_longer_than_a_lease(sim: Sim) -> None:
    await restart(sim, after=TIMES.lease_s * 1.5)
    await trio.sleep(5)


async def workers_mute(sim: Sim) -> None:
    """They can't open connections to any controller; direct commands still arrive."""
    sim.network.mute |= set(sim.world.workers)
    await trio.sleep(TIMES.lease_s * 1.6)


async def some_workers_mute(sim: Sim) -> None:
    sim.network.mute |= set(list(sim.world.workers)[::2])
    await trio.sleep(TIMES.lease_s * 1.6)


async def cancelled_as_the_leader_is_refused(sim: Sim) -> None:
    for id in CANCELLED:
        sim.nursery.start_soon(sim.cancel, id, 1)
    await refuse_then_outage(sim, TIMES.cancel_s * 1.3)


async def leader_ends_and_machines_cant_be_reached(sim: Sim) -> None:
    for worker in list(sim.world.workers)[::2]:
        isolate(sim, worker)
    sim.kill(leader(sim))
    await trio.sleep(TIMES.lease_s * 0.7)
    sim.network.cuts.clear()
    await trio.sleep(TIMES.lease_s)


async def leader_ends_and_its_successor_isnt_heard(sim: Sim) -> None:
    for worker in list(sim.world.workers)[::2]:
        sim.network.deafen(worker)
    sim.kill(leader(sim))
    await trio.sleep(TIMES.lease_s * 1.6)


async def slow_state_then_refusal_then_outage(sim: Sim) -> None:
    for name in NODES:
        sim.network.slow[(name, "state")] = 0.7
    await trio.sleep(6)
    for id in CANCELLED:
        sim.nursery.start_soon(sim.cancel, id)
    await refuse_then_outage(sim, TIMES.cancel_s * 1.2)


async def over_and_back_and_one_returns(sim: Sim) -> None:
    for name in ("n0", "n1", "n0"):
        await restart(sim, name, after=0.8)
        await trio.sleep(2.5)
    sim.kill()
    await trio.sleep(0.4)
    revive(sim, "n2")
    await trio.sleep(8)
    revive(sim, "n0")
    revive(sim, "n1")


async def old_reports_after_newer_ones(sim: Sim) -> None:
    sim.network.late_reports, sim.network.late_most = 0.5, TIMES.lease_s * 2.5
    for worker in list(sim.world.workers.values())[:2]:
        await trio.sleep(4)
        worker.restart()
    await restart(sim, "n1", after=3.0)
    await trio.sleep(20)


async def commands_held_and_the_machine_goes_on(sim: Sim) -> None:
    workers = list(sim.world.workers.values())
    for worker in workers[:2]:
        sim.network.hold(owner(sim, worker.name), worker.name)
        sim.nursery.start_soon(worker.hang, 5.0)
    sim.nursery.start_soon(sim.cancel, CANCELLED[0])
    await trio.sleep(8)
    sim.network.deliver()
    for worker in workers[2:]:
        sim.nursery.start_soon(worker.hang, TIMES.lease_s * 0.9)
    await trio.sleep(TIMES.lease_s * 1.5)


async def reports_held_until_the_next_leader_acts(sim: Sim) -> None:
    for worker in sim.world.workers:
        for name in NODES:
            if name != "n2":
                sim.network.held.add((worker, name))
    await trio.sleep(3)
    sim.kill("n0", "n1")
    await trio.sleep(7)
    revive(sim, "n0")
    revive(sim, "n1")
    await trio.sleep(4)
    sim.network.deliver()
    await trio.sleep(10)


async def team_at_its_limit_as_the_leader_changes(sim: Sim) -> None:
    """Machines that can't be asked, and the cancellation of what fills the limit."""
    busy = {m for t, (m, _) in sim.world.rules.places.items() if t.startswith(CANCELLED[1])}
    for worker in sorted(busy)[:2]:
        isolate(sim, worker)
    sim.kill(leader(sim))
    await trio.sleep(1)
    sim.nursery.start_soon(sim.cancel, CANCELLED[1], 1)
    await trio.sleep(TIMES.lease_s * 0.6)
    sim.network.cuts.clear()
    await trio.sleep(TIMES.lease_s)


async def leader_cut_from_state_and_peers(sim: Sim) -> None:
    old = leader(sim)
    for other in ("state", *NODES):
        if other != old:
            sim.network.cut(old, other)
    await trio.sleep(TIMES.lease_s / 2)
    for id in CANCELLED:
        sim.nursery.start_soon(sim.cancel, id, NODES.index(old) + 1)
    await trio.sleep(TIMES.cancel_s * 1.2)


async def more_work_than_room_over_slow_links(sim: Sim) -> None:
    for a in NODES:
        for b in (*NODES, "state", "cloud", *sim.world.workers):
            sim.network.slow[(a, b)] = sim.network.slow[(b, a)] = 0.25
    for number in range(20, 32):
        rank = ("urgent", "idle", "standard")[number % 3]
        sim.nursery.start_soon(sim.submit, job(number, rows=5, rank=rank, realS=5.0))
    await trio.sleep(15)


async def ends_far_apart_over_changes_of_leader(sim: Sim) -> None:
    for _ in range(4):
        await restart(sim, leader(sim), after=1.5)
        await trio.sleep(9)


async def zone_cut_off_longer_than_a_lease(sim: Sim) -> None:
    inside = {"n0"} | {n for n, w in sim.world.workers.items() if w.zone == "a"}
    others = {*NODES, "state", "cloud", *sim.world.workers} - inside
    for a in inside:
        for b in others:
            sim.network.cut(a, b)
    await trio.sleep(2)
    for id in CANCELLED:
        sim.nursery.start_soon(sim.cancel, id, 1)
    await trio.sleep(TIMES.cancel_s * 1.2)


async def late_writes(sim: Sim) -> None:
    sim.network.late_writes = 0.3
    await trio.sleep(10)
    await restart(sim, "n1", after=0.5)
    await trio.sleep(15)


async def zone_loses_its_machines(sim: Sim) -> None:
    """Jobs bound to one zone; the cloud has others there."""
    for _ in range(3):
        found = [w for w in sim.world.workers.values() if w.zone == "a"]
        if found:
            sim.world.workers.pop(found[0].name).vanish()
        await trio.sleep(4)
    await trio.sleep(6)


async def ten_leaders_also_in_an_outage(sim: Sim) -> None:
    for turn in range(10):
        name = leader(sim)
        if turn % 3 == 1:
            sim.state.refuses.add(name)
            await trio.sleep(6)
            sim.state.refuses.clear()
        else:
            await restart(sim, name, after=(0.1, 1.0, 4.0)[turn % 3])
        if turn == 5:
            sim.state.stop()
            await trio.sleep(8)
            await restart(sim, leader(sim), after=0.3)
            await trio.sleep(4)
            sim.state.resume()
        await trio.sleep(4)


# --- joined further --------------------------------------------------------------------------


async def late_writes_and_old_reports_and_a_takeover(sim: Sim) -> None:
    sim.network.late_writes, sim.network.late_reports = 0.25, 0.4
    await trio.sleep(5)
    await restart(sim, leader(sim), after=5.0)
    await trio.sleep(15)


async def mute_workers_and_an_outage(sim: Sim) -> None:
    sim.network.mute |= set(list(sim.world.workers)[:2])
    sim.state.stop()
    await trio.sleep(TIMES.lease_s * 1.4)
    sim.state.resume()
    await trio.sleep(3)


async def hangs_as_jobs_are_cancelled_and_the_leader_ends(sim: Sim) -> None:
    for worker in list(sim.world.workers.values()):
        sim.nursery.start_soon(worker.hang, TIMES.lease_s * 0.85)
    for id in CANCELLED:
        sim.nursery.start_soon(sim.cancel, id, 1)
    await trio.sleep(0.5)
    sim.kill(leader(sim))
    await trio.sleep(TIMES.lease_s * 2)


async def deaf_and_refused(sim: Sim) -> None:
    for worker in list(sim.world.workers)[1::2]:
        sim.network.deafen(worker)
    for id in CANCELLED:
        sim.nursery.start_soon(sim.cancel, id, 1)
    await refuse_then_outage(sim, TIMES.lease_s * 1.5)


async def stand_and_old_reports(sim: Sim) -> None:
    """A leader cut off from everything for a while, and copies of what it missed."""
    sim.network.late_reports, sim.network.late_most = 0.4, TIMES.lease_s * 1.5
    name = leader(sim)
    isolate(sim, name)
    await trio.sleep(TIMES.lease_s * 0.9)
    sim.network.cuts.clear()
    await trio.sleep(TIMES.lease_s)


MEETINGS: list[Meeting] = [
    all_away_longer_than_a_lease,
    workers_mute,
    some_workers_mute,
    cancelled_as_the_leader_is_refused,
    leader_ends_and_machines_cant_be_reached,
    leader_ends_and_its_successor_isnt_heard,
    slow_state_then_refusal_then_outage,
    over_and_back_and_one_returns,
    old_reports_after_newer_ones,
    commands_held_and_the_machine_goes_on,
    reports_held_until_the_next_leader_acts,
    team_at_its_limit_as_the_leader_changes,
    leader_cut_from_state_and_peers,
    more_work_than_room_over_slow_links,
    ends_far_apart_over_changes_of_leader,
    zone_cut_off_longer_than_a_lease,
    late_writes,
    zone_loses_its_machines,
    ten_leaders_also_in_an_outage,
    late_writes_and_old_reports_and_a_takeover,
    mute_workers_and_an_outage,
    hangs_as_jobs_are_cancelled_and_the_leader_ends,
    deaf_and_refused,
    stand_and_old_reports,
]
SEEDS = (1, 2)


# What no controller may take, whatever else goes on: a field is missing, or it can never run.
ODD: list[dict[str, Any]] = [
    *(
        {k: v for k, v in sent(job(888888)).items() if k != name}
        for name in ("crew", "rows", "vcpus", "cask", "oneZone", "ripenS")
    ),
    sent(job(888888, vcpus=99.0)),
    sent(job(888888, crew="nobody")),
    sent(job(888888, presses=["none"])),
    sent(job(888888, crew="tight", vcpus=7.0)),
]


async def users(sim: Sim) -> None:
    """They ask after every job, repeat submissions, ask for what nobody sent, send rubbish."""
    luck = random.Random(7)
    while True:
        for spec in [sim.world.rules.specs[id] for id in list(sim.oracle.accepted)]:
            node = luck.randrange(3)
            roll = luck.random()
            if roll < 0.1 and spec["ref"] in sim.oracle.accepted:
                await sim.ask(node, "POST", "/api/jobs", sent(spec), about=spec["ref"], repeat=True)
            elif roll < 0.15:
                await sim.ask(node, "GET", "/api/jobs/wk-999999", about="wk-999999")
            elif roll < 0.2:
                odd = luck.choice(ODD)
                await sim.ask(node, "POST", "/api/jobs", odd, about="wk-888888")
            else:
                with trio.move_on_after(2.0):
                    await sim.poll(spec["ref"], node)
        await trio.sleep(0.7)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("meeting", MEETINGS, ids=lambda m: m.__name__)
def test_rules_hold_where_troubles_meet(
    meeting: Meeting, seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def day(sim: Sim) -> None:
        await play(sim, meeting, 5 + seed % 3)

    run(monkeypatch, day, seed)


async def play(sim: Sim, meeting: Meeting, after: float) -> None:
    """A day of users' jobs, a meeting of troubles in it, and the calm that must follow."""
    for spec in JOBS:
        sim.nursery.start_soon(sim.submit, spec)
    sim.nursery.start_soon(users, sim)
    await trio.sleep(after)
    await meeting(sim)
    sim.state.refuses.clear()
    sim.state.down = False
    sim.network.heal()
    for name in sorted(sim.network.dead):
        sim.start(name)
    calm = trio.current_time()
    for id in CANCELLED:
        if id not in sim.oracle.asked_cancel:
            sim.nursery.start_soon(sim.cancel, id)
    while trio.current_time() - calm < 200:
        await trio.sleep(1.0)
        now = trio.current_time()
        sim.oracle.silent(now, calm)
        sim.oracle.idle(now, sim.world)
        sim.check()
        if all(id in sim.final for id in IDS):
            break
    assert not [id for id in IDS if id not in sim.final]
    assert [sim.final[id] for id in CANCELLED] == ["withdrawn"] * 2
    await trio.sleep(TIMES.cancel_s + 1)  # nothing of what was cancelled may be left
    for node in range(3):
        for id in IDS:
            await sim.poll(id, node)
    sim.check()


# --- random days: any two of them, at any distance --------------------------------------------

RANDOM_DAYS = tuple(range(12))


@pytest.mark.parametrize("seed", RANDOM_DAYS)
def test_rules_hold_on_random_days(seed: int, monkeypatch: pytest.MonkeyPatch) -> None:
    """The rules, and that nothing waits for ever, on days that nobody thought of."""
    luck = random.Random(1000 + seed)
    first, second = luck.sample(MEETINGS, 2)
    apart, after = luck.uniform(0.0, TIMES.lease_s), luck.uniform(2.0, 8.0)

    async def later(sim: Sim) -> None:
        await trio.sleep(apart)
        await second(sim)

    async def both(sim: Sim) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(first, sim)
            nursery.start_soon(later, sim)

    async def day(sim: Sim) -> None:
        await play(sim, both, after)

    run(monkeypatch, day, 1000 + seed)


# --- an answer that meets the end of the last task -------------------------------------------


async def again(sim: Sim, node: int, spec: dict[str, Any]) -> None:
    await sim.ask(node, "POST", "/api/jobs", sent(spec), about=spec["ref"], repeat=True)


@pytest.mark.parametrize("before", [0.5, 0.2, 0.05, 0.0, -0.05, -0.15, -0.4, -1.0])
@pytest.mark.parametrize("rows", [1, 3])
def test_requests_meet_the_end_of_the_last_task(
    before: float, rows: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The one conditional write decides; the loser says what the winner wrote."""

    async def day(sim: Sim) -> None:
        specs = [job(n, rows=rows, vcpus=1.0, realS=4.0) for n in range(1, 5)]
        for spec in specs:
            await sim.submit(spec)
        first = sim.world.rules.first
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


# --- what a part can't end itself goes elsewhere ---------------------------------------------

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

    Its part held the rest for ever, for a zone and a part once chosen were never left.
    """

    async def day(sim: Sim) -> None:
        await sim.submit(spec)
        with trio.fail_after(30):
            while not sim.world.rules.done:
                await trio.sleep(0.2)
        await trio.sleep(1.5)
        places = [z for t, (_, z) in sim.world.rules.places.items()]
        zone = places[0] if places else "a"
        for worker in [w for w in sim.world.workers.values() if w.zone == zone]:
            sim.world.workers.pop(worker.name).vanish()
        sim.world.capacity = len(sim.world.workers)
        for task in range(spec["rows"]):
            spec["realBy"][task] = 5.0
        await sim.finish([spec["ref"]], limit=150.0)
        assert sim.final[spec["ref"]] == "done"

    run(monkeypatch, day)
