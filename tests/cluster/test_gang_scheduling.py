"""Gangs start in time beside other jobs, and the loss of a shard doesn't end a round."""

from __future__ import annotations

from typing import Any

import pytest
import trio
import trio.testing

from ..harness.cluster_faults import restart
from ..harness.simulation import Simulation, job, run


def test_shard_lost_while_a_gang_is_migrated_does_not_stop_the_round(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The shard is lost during the write; the rest of the scheduling round must continue."""

    async def simulate(sim: Simulation) -> None:
        sim.cloud.capacity = 4
        await sim.submit(job(1, rows=16, vcpus=2.0, realS=60.0, ripenS=60.0))
        await trio.sleep(2)
        await sim.submit(job(2, rows=1, cut="gang", vcpus=8.0, oneZone=True))
        jobs_with_errors: list[str] = []
        for controller in sim.controllers.values():
            scheduler = controller.scheduler
            update_allocation = scheduler.shards.update_allocation

            async def write_and_lose_shards(
                *args: Any,
                scheduler: Any = scheduler,
                agents: Any = controller.agents,
                write: Any = scheduler.range_writer.write_ranges,
                **kwargs: Any,
            ) -> bool:
                written: bool = await write(*args, **kwargs)
                for shard in list(scheduler.shards.states):
                    agents.shard_lost(shard)
                return written

            def record_errors(
                updated_job: Any, shard: int, update_allocation: Any = update_allocation
            ) -> None:
                try:
                    update_allocation(updated_job, shard)
                except KeyError:
                    jobs_with_errors.append(updated_job.id)

            monkeypatch.setattr(scheduler.range_writer, "write_ranges", write_and_lose_shards)
            monkeypatch.setattr(scheduler.shards, "update_allocation", record_errors)
        await trio.sleep(30)
        assert not jobs_with_errors

    run(monkeypatch, simulate)


def test_gang_is_not_starved_by_arrays_of_its_team(monkeypatch: pytest.MonkeyPatch) -> None:
    """Arrays of the team must not take every CPU of its limit that becomes available."""

    async def simulate(sim: Simulation) -> None:
        await sim.submit(job(1, rows=150, crew="tight", vcpus=1.0))
        await trio.sleep(5)
        submitted_at = trio.current_time()
        await sim.submit(job(2, rows=1, cut="gang", crew="tight", vcpus=5.0))
        await trio.sleep(30)
        assert sim.cloud.rules.first_start["wk-000002"] - submitted_at < 20
        sim.check()

    run(monkeypatch, simulate)


def test_gang_is_not_starved_by_arrays_on_full_machines(monkeypatch: pytest.MonkeyPatch) -> None:
    """Arrays of equal rank must not take all capacity that becomes available on large machines."""

    async def simulate(sim: Simulation) -> None:
        sim.cloud.capacity = 4
        await sim.submit(job(1, rows=400, vcpus=1.0))
        await trio.sleep(8)
        submitted_at = trio.current_time()
        await sim.submit(job(2, rows=1, cut="gang", vcpus=8.0))
        await trio.sleep(40)
        assert sim.cloud.rules.first_start["wk-000002"] - submitted_at < 30
        sim.check()

    run(monkeypatch, simulate)


def test_gang_does_not_return_to_a_machine_where_it_failed(monkeypatch: pytest.MonkeyPatch) -> None:
    """The failure counts even if the gang is migrated to another shard and back meanwhile."""

    async def simulate(sim: Simulation) -> None:
        failing = next(iter(sim.cloud.agents.values()))
        failing.fails_tasks = True
        for number in range(1, 5):
            await sim.submit(job(number, rows=1, cut="gang", vcpus=8.0))
        await sim.wait_until_finished([f"wk-{n:06d}" for n in range(1, 5)], limit=60)

    run(monkeypatch, simulate)


def test_late_gang_does_not_make_other_gangs_late(monkeypatch: pytest.MonkeyPatch) -> None:
    """If gangs started in order of acceptance, one backlog would make every later gang late."""
    start_within = 60.0

    async def simulate(sim: Simulation) -> None:
        sim.policy_text = f"start_within = {start_within}"
        await restart(sim, after=0.5)
        sim.cloud.capacity = 4
        accepted_at: dict[str, float] = {}

        async def submit_gang(number: int) -> None:
            # Occupies all four machines for longer than the launch of another one takes.
            spec = job(number, rows=4, cut="gang", vcpus=8.0, realS=11.0, ripenS=11.0)
            await sim.submit(spec)
            accepted_at[spec["ref"]] = trio.current_time()

        for number in range(1, 9):
            await submit_gang(number)
        for number in range(9, 21):
            await trio.sleep(16)
            await submit_gang(number)
        await sim.wait_until_finished(list(accepted_at), limit=300)
        waits = {
            id: sim.cloud.rules.first_start[id] - accepted for id, accepted in accepted_at.items()
        }
        in_time = [id for id, wait in waits.items() if wait < start_within]
        assert len(in_time) > len(accepted_at) * 0.6
        # Late gangs regain priority after a while.
        assert max(waits.values()) < start_within * 4

    run(monkeypatch, simulate)
