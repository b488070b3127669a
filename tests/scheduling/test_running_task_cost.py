"""The work for one change of a job does not depend on how many of its tasks run."""

from __future__ import annotations

import time

import msgspec
import trio
import trio.testing

from pitchtally.controller import Controller
from pitchtally.jobs.job_record import OPEN, JobRecord, TaskRange, encode
from pitchtally.protocol import cloud_api
from pitchtally.scheduling.shards.allocations import ShardAllocation
from pitchtally.scheduling.shards.task_start import next_attempt, place_task
from pitchtally.state_store import keys

from ..harness.single_controller import (
    count_instructions,
    heartbeat_request,
    job_spec,
    leader_of_shard,
)

TOKEN = 50
SHARD = 0
SHARD_COUNT = 3
TASKS = 2_000
TASK_MEMORY_GIB = 0.1
MACHINES = 4
# The same work may differ by this much, in the sizes of numbers and tables.
TOLERANCE = 1.1
ONE_TASK_TYPE = cloud_api.MachineType("small", cpus=64.0, memory=TASK_MEMORY_GIB, zones=["b"])


async def _run_tasks(running: int, *, spread: bool) -> tuple[Controller, ShardAllocation]:
    """Return a leader, and its allocation of an array of which `running` tasks run."""
    leader = leader_of_shard(SHARD, TOKEN)
    leader.autoscaler.catalog.types_by_name["small"] = ONE_TASK_TYPE
    spec = msgspec.structs.replace(
        job_spec(1, 0.01), tasks=TASKS, memory=TASK_MEMORY_GIB, spread=spread
    )
    record = JobRecord(OPEN, TASKS, spec, time.time(), [TaskRange(0, TASKS, SHARD)])
    leader.replica.apply_committed(keys.job(spec.id), encode(record), TOKEN + 1)
    allocation = leader.scheduler.shards.states[SHARD].allocations[spec.id]
    for number in range(MACHINES):
        request = heartbeat_request(number * SHARD_COUNT, 1, TOKEN, [])
        await leader.agents.serve(request)
    machines = list(leader.agents.machines.values())
    for machine in machines:
        machine.recorded = True
    for number in range(running):
        machine = machines[number % MACHINES]
        attempt = next_attempt(leader.agents, SHARD)
        place_task(leader.agents, allocation, allocation.pending.pop(), machine, attempt)
    return leader, allocation


def test_start_of_a_spread_task_does_not_read_all_running_ones() -> None:
    """Guards against `forgotten`: each heartbeat counted the running tasks of a spread array."""

    async def instructions_of_a_start(running: int) -> int:
        leader, allocation = await _run_tasks(running, spread=True)
        number = MACHINES * SHARD_COUNT
        await leader.agents.serve(heartbeat_request(number, 1, TOKEN, [], type="small"))
        leader.agents.machines[f"i-{number:06d}"].recorded = True
        leader.scheduler.survey.survey(SHARD)
        request = heartbeat_request(number, 2, TOKEN, [], type="small")
        instructions = count_instructions(leader.agents.serve(request))
        assert len(allocation.placed) == running + 1
        return instructions

    async def main() -> None:
        few, many = await instructions_of_a_start(50), await instructions_of_a_start(800)
        assert 0 < many <= few * TOLERANCE

    trio.run(main, clock=trio.testing.MockClock())
