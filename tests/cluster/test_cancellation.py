"""Tasks of cancelled jobs are stopped in time, whichever controllers fail meanwhile."""

from __future__ import annotations

import pytest
import trio
import trio.testing

from pitchtally.config.settings import Team

from ..harness.cluster_faults import cluster_leader, isolate, isolate_zone_with, restart, revive
from ..harness.simulation import SESSION_TTL_S, TIMES, Simulation, job, run
from ..harness.workload import LONG_RUNNING


@pytest.mark.parametrize("gap", [0.0, 0.5, 2.0])
def test_job_cancelled_between_two_leaders_is_stopped(
    gap: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The former leader has crashed; its successor finds running tasks of a cancelled job."""

    async def simulate(sim: Simulation) -> None:
        # Other jobs keep the machines busy, so that none is terminated as idle.
        for number, team in ((1, "free"), (2, "free"), (3, "tight")):
            await sim.submit(job(number, rows=6, vcpus=1.0, crew=team, realS=400.0, ripenS=400.0))
        with trio.fail_after(10):
            while len(sim.cloud.rules.placements) < 18:
                await trio.sleep(0.1)
        sim.kill("n1", "n2")
        await trio.sleep(gap)
        await sim.cancel("wk-000001")
        await sim.cancel("wk-000003")
        await sim.submit(job(4, rows=6, vcpus=1.0, crew="tight"))
        await trio.sleep(TIMES.cancel_s + 2)
        remaining_jobs = {task.rpartition("/")[0] for task in sim.cloud.rules.placements}
        assert remaining_jobs <= {"wk-000002"}
        sim.check()  # also checks the team's limit of six tasks at once

    run(monkeypatch, simulate)


def test_no_task_of_a_cancelled_job_starts_once_the_session_lease_has_expired(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An isolated leader can't receive the cancellation, so it must stop starting tasks."""

    async def simulate(sim: Simulation) -> None:
        await sim.submit(job(1, rows=600, vcpus=1.0, realS=1.0, ripenS=1.0))
        await trio.sleep(4)
        isolate_zone_with(sim, "n0", "a")
        await trio.sleep(0.2)
        await sim.cancel("wk-000001", 1)
        await trio.sleep(TIMES.cancel_s + 2)
        starts = sim.cloud.rules.starts_after_cancel
        assert max(starts, default=0.0) < SESSION_TTL_S + TIMES.report_s
        sim.network.heal()
        await trio.sleep(TIMES.lease_s)
        sim.check()

    run(monkeypatch, simulate)


LEADER_CHANGES = ["crash", "restart", "partition_from_agents", "restart_twice"]


@pytest.mark.parametrize("change", LEADER_CHANGES)
def test_job_cancelled_at_any_moment_of_a_leader_change_is_stopped(
    change: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A job is cancelled every quarter of a second while a shard changes its leader."""

    async def change_leader(sim: Simulation) -> None:
        if change == "partition_from_agents":
            for agent in list(sim.cloud.agents):
                sim.network.partition("n1", agent)
            await trio.sleep(TIMES.lease_s * 0.7)
            sim.network.partitions.clear()
            return
        for _ in range(2 if change == "restart_twice" else 1):
            sim.kill("n1")
            await trio.sleep(SESSION_TTL_S * 1.6 if change == "crash" else 0.3)
            revive(sim, "n1")
            await trio.sleep(1.5)

    async def simulate(sim: Simulation) -> None:
        sim.cloud.capacity = 8
        ids = []
        for number in range(1, 31):
            spec = job(number, rows=2, vcpus=0.5, **LONG_RUNNING)
            ids.append(spec["ref"])
            sim.nursery.start_soon(sim.submit, spec)
        await trio.sleep(6)
        sim.probes_changes = True
        sim.nursery.start_soon(change_leader, sim)
        for turn, id in enumerate(ids):
            sim.nursery.start_soon(sim.cancel, id, turn)
            await trio.sleep(0.25)
        await trio.sleep(TIMES.cancel_s + 2)
        assert set(sim.final_stages.values()) == {"withdrawn"}
        assert len(sim.final_stages) == len(ids)
        assert not sim.cloud.rules.placements
        sim.check()

    run(monkeypatch, simulate)


FULL_TEAMS = [Team("free", cpus=8.0, cpus_max=16.0), Team("tight", cpus=4.0, cpus_max=6.0)]


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("fault", ["cut", "hang"])
def test_team_limits_hold_as_jobs_are_cancelled_and_the_leader_changes(
    fault: str, seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The quota of cancelled jobs is released only once their tasks can no longer run."""

    async def simulate(sim: Simulation) -> None:
        running_jobs = [
            job(1, rows=8, vcpus=1.0, **LONG_RUNNING),
            job(2, rows=8, vcpus=1.0, **LONG_RUNNING),
            job(3, rows=6, vcpus=1.0, crew="tight", **LONG_RUNNING),
        ]
        for spec in running_jobs:
            await sim.submit(spec)
        with trio.fail_after(20):
            while len(sim.cloud.rules.placements) < 22:
                await trio.sleep(0.2)
        queued_jobs = [
            job(4, rows=20, vcpus=1.0),
            job(5, rows=12, vcpus=1.0, crew="tight"),
            job(6, cut="gang", rows=4, vcpus=1.0),
        ]
        for spec in queued_jobs:
            await sim.submit(spec)
        busy_machines = sorted({machine for machine, _ in sim.cloud.rules.placements.values()})
        for machine_name in busy_machines[:2]:
            if fault == "cut":
                isolate(sim, machine_name)
            else:
                sim.nursery.start_soon(sim.cloud.agents[machine_name].hang, TIMES.lease_s * 0.8)
        for spec in running_jobs:
            sim.nursery.start_soon(sim.cancel, spec["ref"], 1)
        await trio.sleep(0.4)
        await restart(sim, cluster_leader(sim), after=1.0)
        await trio.sleep(TIMES.lease_s * 0.6)
        await restart(sim, cluster_leader(sim), after=3.0)
        await trio.sleep(TIMES.lease_s)
        sim.network.heal()
        await sim.wait_until_finished([spec["ref"] for spec in running_jobs + queued_jobs])
        assert {sim.final_stages[spec["ref"]] for spec in queued_jobs} == {"done"}
        await trio.sleep(TIMES.cancel_s + 1)
        sim.check()

    run(monkeypatch, simulate, seed, teams=FULL_TEAMS)


def test_leader_isolated_for_long_still_receives_cancellations(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Peers resend cancellations without a time limit, however long a leader is isolated."""

    async def simulate(sim: Simulation) -> None:
        await sim.submit(job(1, rows=6, realS=900.0, ripenS=900.0, vcpus=1.0))
        await trio.sleep(4)
        for peer in ("n1", "n2"):
            sim.network.partition("n0", peer)
        sim.state_store.refused_callers.add("n0")
        await sim.cancel("wk-000001")
        await trio.sleep(1.0)
        sim.state_store.stop()
        await trio.sleep(sim.times.cancel_s * 2 + 10)
        sim.network.partitions.clear()  # the peers are reachable again, the state store still down
        await trio.sleep(sim.times.lease_s * 2)
        cancelled_job = sim.controllers["n0"].job_index.jobs["wk-000001"]
        assert not cancelled_job.open
        assert not sim.cloud.rules.placements
        sim.state_store.refused_callers.clear()
        sim.state_store.resume()
        await trio.sleep(5)
        sim.check()

    run(monkeypatch, simulate)
