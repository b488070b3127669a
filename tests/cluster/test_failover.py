"""After a failover the successor resumes work soon, and terminates no working machine."""

from __future__ import annotations

import pytest
import trio
import trio.testing

from pitchtally.membership.shards import shard_of

from ..harness.cluster_faults import isolate, restart, revive
from ..harness.simulation import SESSION_TTL_S, TIMES, Simulation, job, run
from ..harness.workload import LONG_RUNNING


def test_machine_already_isolated_for_long_does_not_delay_failover(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A new leader counts a machine's recorded time without heartbeats, and doesn't wait again."""

    async def simulate(sim: Simulation) -> None:
        sim.cloud.capacity = 4
        await sim.submit(job(1, rows=12, vcpus=1.0, **LONG_RUNNING))
        await trio.sleep(5)
        name = next(machine for machine in sim.cloud.agents if shard_of(machine, 3) == 0)
        isolate(sim, name)
        # The machine's lease has expired, and its termination is nearly due.
        await trio.sleep(TIMES.lease_s * 1.75)
        assert name not in sim.cloud.terminated
        sim.kill("n0")
        killed_at = trio.current_time()
        with trio.fail_after(SESSION_TTL_S + TIMES.report_s * 3):
            while name not in sim.cloud.terminated:
                await trio.sleep(0.1)
        # The machine was not terminated before there was a successor.
        assert trio.current_time() - killed_at > SESSION_TTL_S / 2
        revive(sim, "n0")
        await trio.sleep(5)
        sim.check()

    run(monkeypatch, simulate)


def test_isolated_machine_blocks_only_jobs_that_it_may_run(monkeypatch: pytest.MonkeyPatch) -> None:
    """After a failover a job bound to another zone continues at once; any other is blocked."""

    async def simulate(sim: Simulation) -> None:
        sim.cloud.capacity = 4
        zone_bound = job(1, rows=200, vcpus=1.0, parcel="a", realS=3.0, ripenS=3.0)
        unbound = job(2, rows=200, vcpus=1.0, realS=3.0, ripenS=3.0)
        await sim.submit(zone_bound)
        await sim.submit(unbound)
        await trio.sleep(6)
        isolated_machines = [n for n, w in sim.cloud.agents.items() if w.zone == "b"]
        for name in isolated_machines:
            isolate(sim, name)
        await restart(sim, after=0.5)
        await trio.sleep(3)
        blocked_shards = 0
        for controller in sim.controllers.values():
            for shard, state in controller.scheduler.shards.states.items():
                ranges = controller.job_index.jobs[zone_bound["ref"]].record.ranges
                if state.reconciled or not any(owner == shard for _, _, owner in ranges):
                    continue
                blocked_shards += 1
                assert zone_bound["ref"] not in state.blocked
                assert unbound["ref"] in state.blocked
                assert state.allocations[zone_bound["ref"]].ranges
        assert blocked_shards
        sim.network.heal()
        await sim.wait_until_finished([zone_bound["ref"], unbound["ref"]])

    run(monkeypatch, simulate)


@pytest.mark.parametrize("cluster_leader", ["n0", "n1"])
def test_failover_terminates_no_working_machine(
    cluster_leader: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A leader that has just acquired a shard must not count its machines as lost."""

    async def simulate(sim: Simulation) -> None:
        await sim.submit(job(1, rows=300, vcpus=1.0))
        for _ in range(2):
            await trio.sleep(8)
            sim.kill(cluster_leader)
            await trio.sleep(5)
            sim.start(cluster_leader)
        await trio.sleep(15)
        assert [n for n in sim.cloud.terminated if n <= "i-000004"] == []
        sim.check()

    run(monkeypatch, simulate)


def test_machine_lost_during_failover_does_not_block_its_shard(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A terminated machine that is still recorded must not delay the shard's reconciliation."""

    async def simulate(sim: Simulation) -> None:
        await sim.submit(job(1, rows=40, vcpus=1.0, realS=3.0))
        await trio.sleep(5)
        for name in list(sim.cloud.agents)[:2]:
            sim.cloud.agents[name].terminate()
        sim.kill("n0")
        await trio.sleep(5)
        sim.start("n0")
        await sim.wait_until_finished(["wk-000001"], limit=90)

    run(monkeypatch, simulate)
