"""What a controller may do on old evidence, and how soon a shard goes on after a failover."""

from __future__ import annotations

import pytest
import trio
import trio.testing

from pitchtally.config.settings import Team
from pitchtally.membership.shards import shard_of

from ..harness.cluster_faults import cluster_leader, isolate, restart, revive
from ..harness.simulation import NODES, TIMES, Simulation, job, run

LONG = {"realS": 900.0, "ripenS": 900.0}
SESSION = TIMES.lease_s / 4  # a node's lease in the state store


def cut_zone_with(sim: Simulation, node: str, zone: str) -> None:
    """A controller and a zone's machines hear one another, and nobody else."""
    inside = {node} | {n for n, w in sim.world.agents.items() if w.zone == zone}
    for a in inside:
        for b in {*NODES, "state", "cloud", *sim.world.agents} - inside:
            sim.network.partition(a, b)


def test_no_start_on_evidence_older_than_a_session(monkeypatch: pytest.MonkeyPatch) -> None:
    """An leader that can't have heard of a cancellation began its tasks for much longer."""

    async def day(sim: Simulation) -> None:
        await sim.submit(job(1, rows=600, vcpus=1.0, realS=1.0, ripenS=1.0))
        await trio.sleep(4)
        cut_zone_with(sim, "n0", "a")
        await trio.sleep(0.2)
        await sim.cancel("wk-000001", 1)
        await trio.sleep(TIMES.cancel_s + 2)
        starts = sim.world.rules.starts_after_cancel
        assert max(starts, default=0.0) < SESSION + TIMES.report_s
        sim.network.heal()
        await trio.sleep(TIMES.lease_s)
        sim.check()

    run(monkeypatch, day)


def test_machine_known_to_be_dead_holds_up_no_takeover(monkeypatch: pytest.MonkeyPatch) -> None:
    """inc-b9c5: a new leader counted its silence anew; the shard waited as long again."""

    async def day(sim: Simulation) -> None:
        sim.world.capacity = 4
        await sim.submit(job(1, rows=12, vcpus=1.0, **LONG))
        await trio.sleep(5)
        name = next(n for n in sim.world.agents if shard_of(n, 3) == 0)
        isolate(sim, name)
        # Its lease is over, and it has been silent for nearly as long as a leader bears.
        await trio.sleep(TIMES.lease_s * 1.75)
        assert name not in sim.world.terminated
        sim.kill("n0")
        at = trio.current_time()
        with trio.fail_after(SESSION + TIMES.report_s * 3):
            while name not in sim.world.terminated:
                await trio.sleep(0.1)
        assert trio.current_time() - at > SESSION / 2  # not before a successor was there
        revive(sim, "n0")
        await trio.sleep(5)
        sim.check()

    run(monkeypatch, day)


def test_silent_machine_holds_up_only_what_it_may_run(monkeypatch: pytest.MonkeyPatch) -> None:
    """A job bound to another zone goes on at once after a failover; any other waits."""

    async def day(sim: Simulation) -> None:
        sim.world.capacity = 4
        bound = job(1, rows=200, vcpus=1.0, parcel="a", realS=3.0, ripenS=3.0)
        free = job(2, rows=200, vcpus=1.0, realS=3.0, ripenS=3.0)
        await sim.submit(bound)
        await sim.submit(free)
        await trio.sleep(6)
        silent = [n for n, w in sim.world.agents.items() if w.zone == "b"]
        for name in silent:
            isolate(sim, name)
        await restart(sim, after=0.5)
        await trio.sleep(3)
        waiting = 0
        for controller in sim.controllers.values():
            for shard, work in controller.scheduler.shards.states.items():
                ranges = controller.job_index.jobs[bound["ref"]].record.ranges
                if work.reconciled or not any(p == shard for _, _, p in ranges):
                    continue
                waiting += 1
                assert bound["ref"] not in work.blocked
                assert free["ref"] in work.blocked
                assert work.allocations[bound["ref"]].ranges
        assert waiting
        sim.network.heal()
        await sim.finish([bound["ref"], free["ref"]])

    run(monkeypatch, day)


HAND_OVERS = ["ends", "back_at_once", "cut_from_workers", "back_twice"]


@pytest.mark.parametrize("way", HAND_OVERS)
def test_cancelled_in_every_moment_of_a_hand_over(
    way: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """One job each quarter of a second while a controller's work changes hands, and back."""

    async def change_hands(sim: Simulation) -> None:
        if way == "cut_from_workers":
            for name in list(sim.world.agents):
                sim.network.partition("n1", name)
            await trio.sleep(TIMES.lease_s * 0.7)
            sim.network.partitions.clear()
            return
        for _ in range(2 if way == "back_twice" else 1):
            sim.kill("n1")
            await trio.sleep(SESSION * 1.6 if way == "ends" else 0.3)
            revive(sim, "n1")
            await trio.sleep(1.5)

    async def day(sim: Simulation) -> None:
        sim.world.capacity = 8
        ids = []
        for number in range(1, 31):
            spec = job(number, rows=2, vcpus=0.5, **LONG)
            ids.append(spec["ref"])
            sim.nursery.start_soon(sim.submit, spec)
        await trio.sleep(6)
        sim.probes_changes = True
        sim.nursery.start_soon(change_hands, sim)
        for turn, id in enumerate(ids):
            sim.nursery.start_soon(sim.cancel, id, turn)
            await trio.sleep(0.25)
        await trio.sleep(TIMES.cancel_s + 2)
        assert set(sim.final_stages.values()) == {"withdrawn"}
        assert len(sim.final_stages) == len(ids)
        assert not sim.world.rules.placements
        sim.check()

    run(monkeypatch, day)


FULL_TEAMS = [Team("free", cpus=8.0, cpus_max=16.0), Team("tight", cpus=4.0, cpus_max=6.0)]


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("trouble", ["cut", "hang"])
def test_every_team_at_its_limit_as_jobs_are_cancelled_and_the_leader_changes(
    trouble: str, seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """What the cancelled jobs held is free for others only once it is known to be gone."""

    async def day(sim: Simulation) -> None:
        filling = [
            job(1, rows=8, vcpus=1.0, **LONG),
            job(2, rows=8, vcpus=1.0, **LONG),
            job(3, rows=6, vcpus=1.0, crew="tight", **LONG),
        ]
        for spec in filling:
            await sim.submit(spec)
        with trio.fail_after(20):
            while len(sim.world.rules.placements) < 22:
                await trio.sleep(0.2)
        waiting = [
            job(4, rows=20, vcpus=1.0),
            job(5, rows=12, vcpus=1.0, crew="tight"),
            job(6, cut="gang", rows=4, vcpus=1.0),
        ]
        for spec in waiting:
            await sim.submit(spec)
        busy = sorted({machine for machine, _ in sim.world.rules.placements.values()})
        for name in busy[:2]:
            if trouble == "cut":
                isolate(sim, name)
            else:
                sim.nursery.start_soon(sim.world.agents[name].hang, TIMES.lease_s * 0.8)
        for spec in filling:
            sim.nursery.start_soon(sim.cancel, spec["ref"], 1)
        await trio.sleep(0.4)
        await restart(sim, cluster_leader(sim), after=1.0)
        await trio.sleep(TIMES.lease_s * 0.6)
        await restart(sim, cluster_leader(sim), after=3.0)
        await trio.sleep(TIMES.lease_s)
        sim.network.heal()
        await sim.finish([spec["ref"] for spec in filling + waiting])
        assert {sim.final_stages[spec["ref"]] for spec in waiting} == {"done"}
        await trio.sleep(TIMES.cancel_s + 1)
        sim.check()

    run(monkeypatch, day, seed, teams=FULL_TEAMS)


@pytest.mark.parametrize("cluster_leader", ["n0", "n1"])
def test_failover_terminates_no_working_machine(
    cluster_leader: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A leader that has just acquired a shard must not count its machines as lost."""

    async def day(sim: Simulation) -> None:
        await sim.submit(job(1, rows=300, vcpus=1.0))
        for _ in range(2):
            await trio.sleep(8)
            sim.kill(cluster_leader)
            await trio.sleep(5)
            sim.start(cluster_leader)
        await trio.sleep(15)
        assert [n for n in sim.world.terminated if n <= "i-000004"] == []
        sim.check()

    run(monkeypatch, day)


def test_machine_lost_during_failover_does_not_block_its_shard(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A terminated machine that is still recorded must not delay the shard's reconciliation."""

    async def day(sim: Simulation) -> None:
        await sim.submit(job(1, rows=40, vcpus=1.0, realS=3.0))
        await trio.sleep(5)
        for name in list(sim.world.agents)[:2]:
            sim.world.agents[name].terminate()
        sim.kill("n0")
        await trio.sleep(5)
        sim.start("n0")
        await sim.finish(["wk-000001"], limit=90)

    run(monkeypatch, day)
