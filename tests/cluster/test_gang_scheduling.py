"""Gangs start in time beside other work, and a failed round of the scheduler is not lost."""

from __future__ import annotations

from typing import Any

import pytest
import trio
import trio.testing

from ..harness.simulation import Simulation, job, run


def test_shard_lost_while_a_gang_is_migrated_does_not_stop_the_round(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The shard is lost during the write; the rest of the scheduling round must go on."""

    async def day(sim: Simulation) -> None:
        sim.world.capacity = 4
        await sim.submit(job(1, rows=16, vcpus=2.0, realS=60.0, ripenS=60.0))
        await trio.sleep(2)
        await sim.submit(job(2, rows=1, cut="gang", vcpus=8.0, oneZone=True))
        faults: list[str] = []
        for controller in sim.controllers.values():
            scheduler = controller.scheduler
            update_allocation = scheduler.shards.update_allocation

            async def write_and_lose_shards(
                *args: Any,
                scheduler: Any = scheduler,
                agents: Any = controller.agents,
                write: Any = scheduler.range_writer.write_ranges,
                **more: Any,
            ) -> bool:
                done: bool = await write(*args, **more)
                for shard in list(scheduler.shards.states):
                    agents.shard_lost(shard)
                return done

            def record_faults(
                job_: Any, shard: int, update_allocation: Any = update_allocation
            ) -> None:
                try:
                    update_allocation(job_, shard)
                except KeyError:
                    faults.append(job_.id)

            monkeypatch.setattr(scheduler.range_writer, "write_ranges", write_and_lose_shards)
            monkeypatch.setattr(scheduler.shards, "update_allocation", record_faults)
        await trio.sleep(30)
        assert not faults

    run(monkeypatch, day)
