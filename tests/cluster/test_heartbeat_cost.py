"""The work for one agent heartbeat does not depend on the number of machines."""

from __future__ import annotations

import time

import msgspec
import pytest
import trio
import trio.testing

from pitchtally.agents.machine import Placement
from pitchtally.jobs.index import Job
from pitchtally.jobs.job_record import OPEN, JobRecord, TaskRange, encode
from pitchtally.protocol import cloud_api

from ..harness.single_controller import (
    count_calls,
    heartbeat_request,
    job_spec,
    leader_of_shard,
)


def test_heartbeat_cost_does_not_grow_with_machines() -> None:
    async def calls_per_heartbeat(machines: int) -> int:
        leader = leader_of_shard(0, 50)
        for number in range(0, machines * 3, 3):
            await leader.agents.serve(heartbeat_request(number, 1, 50, []))
        assert len(leader.agents.machines) == machines
        return count_calls(leader.agents.serve(heartbeat_request(0, 2, 50, [])))

    async def main() -> None:
        calls_with_100_machines, calls_with_900_machines = (
            await calls_per_heartbeat(100),
            await calls_per_heartbeat(900),
        )
        assert 0 < calls_with_100_machines == calls_with_900_machines

    trio.run(main, clock=trio.testing.MockClock())


EXPENSIVE_TYPE = cloud_api.MachineType("dear", cpus=64.0, memory=256.0, price=9.0, zones=["a"])


@pytest.mark.parametrize("cpus", [60.0, 1.0], ids=["no cheaper room", "much cheaper room"])
def test_heartbeat_cost_beside_pending_jobs_does_not_grow_with_machines(cpus: float) -> None:
    """Scanning the shard's machines on each heartbeat blocked a controller of 4,086 machines."""

    async def calls_per_heartbeat(machines: int) -> int:
        leader = leader_of_shard(0, 50)
        leader.autoscaler.catalog.types_by_name["dear"] = EXPENSIVE_TYPE
        for number in range(0, machines * 3, 3):
            await leader.agents.serve(heartbeat_request(number, 1, 50, []))
        expensive_number = machines * 3
        await leader.agents.serve(heartbeat_request(expensive_number, 1, 50, [], type="dear"))
        running_job = Job("wk-000009", JobRecord(OPEN, 1000, job_spec(9, 10.0)), 1, 10_000)
        for number, machine in enumerate(leader.agents.machines.values()):
            machine.recorded = True
            if machine.type == "big":
                leader.agents.placements.put(Placement(running_job, number, 1, machine))
        for number in range(1, 6):
            spec = msgspec.structs.replace(job_spec(number, cpus), estimate=600.0)
            ranges = [TaskRange(0, spec.tasks, 0)]
            record = JobRecord(OPEN, spec.tasks, spec, time.time(), ranges)
            leader.replica.apply_committed(f"pt/jobs/{spec.id}", encode(record), 60 + number)
        leader.scheduler.shards.shard_loaded(0)
        leader.scheduler.shards.shard_reconciled(0)
        leader.scheduler.survey.survey(0)
        leader.scheduler.allotment.allot(0)
        calls = count_calls(
            leader.agents.serve(heartbeat_request(expensive_number, 2, 50, [], type="dear"))
        )
        assert bool(leader.agents.machines[f"i-{expensive_number:06d}"].placements) == (
            cpus == 60.0
        )
        return calls

    async def main() -> None:
        calls_with_100_machines, calls_with_900_machines = (
            await calls_per_heartbeat(100),
            await calls_per_heartbeat(900),
        )
        assert 0 < calls_with_900_machines <= calls_with_100_machines * 1.1

    trio.run(main, clock=trio.testing.MockClock())
