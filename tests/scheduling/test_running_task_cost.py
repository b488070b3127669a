"""The work for one change of a job does not depend on how many of its tasks run."""

from __future__ import annotations

import time

import msgspec
import trio
import trio.testing

from pitchtally.agents.machine import Machine
from pitchtally.controller import Controller
from pitchtally.http import Request
from pitchtally.jobs.job_record import OPEN, JobRecord, TaskRange, encode
from pitchtally.protocol import agent_api, cloud_api, user_api
from pitchtally.scheduling.shards.allocations import ShardAllocation
from pitchtally.scheduling.shards.task_start import next_attempt, place_task
from pitchtally.state_store import keys

from ..harness.single_controller import (
    count_instructions,
    heartbeat_request,
    job_spec,
    leader_of_shard,
)
from ..harness.step_observer import StepObserver

TOKEN = 50
SHARD = 0
SHARD_COUNT = 3
TASK_MEMORY_GIB = 0.1
MACHINES = 4
# The same work may differ by this much, in the sizes of numbers and tables.
TOLERANCE = 1.1
ONE_TASK_TYPE = cloud_api.MachineType("small", cpus=64.0, memory=TASK_MEMORY_GIB, zones=["b"])


async def _run_tasks(
    running: int, tasks: int, *, kind: str = user_api.ARRAY, spread: bool = False
) -> tuple[Controller, ShardAllocation]:
    """Return a leader, and its allocation of a job: `running` of its `tasks` tasks run."""
    leader = leader_of_shard(SHARD, TOKEN)
    leader.autoscaler.catalog.types_by_name["small"] = ONE_TASK_TYPE
    spec = msgspec.structs.replace(
        job_spec(1, 0.01), tasks=tasks, memory=TASK_MEMORY_GIB, kind=kind, spread=spread
    )
    record = JobRecord(OPEN, tasks, spec, time.time(), [TaskRange(0, tasks, SHARD)])
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
        leader, allocation = await _run_tasks(running, 2 * running + 2, spread=True)
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


def _heartbeat_of_all_tasks(machine: Machine, sequence: int, **status: str) -> Request:
    """Return a heartbeat that lists the machine's tasks, all in the same state."""
    number = int(machine.name.removeprefix("i-"))
    rows = [
        {"row": key, "pressing": placement.attempt, **status}
        for key, placement in machine.placements.items()
    ]
    return heartbeat_request(number, sequence, TOKEN, rows)


async def _instructions_of_failures(running: int, kind: str) -> int:
    """Return the instructions for heartbeats that list all tasks of a job as failed."""
    leader, allocation = await _run_tasks(running, running, kind=kind)
    machines = list(leader.agents.machines.values())
    for machine in machines:
        for placement in machine.placements.values():
            placement.start_heartbeat_seq = 1
        await leader.agents.serve(_heartbeat_of_all_tasks(machine, 2, stage=agent_api.RUNNING))
    assert len(allocation.placed) == running
    instructions = 0
    for machine in machines:
        request = _heartbeat_of_all_tasks(machine, 3, stage=agent_api.EXITED, cause=agent_api.ERROR)
        instructions += count_instructions(leader.agents.serve(request))
    assert allocation.faulty
    assert not allocation.placed
    return instructions


def test_tasks_that_fail_together_cost_in_proportion_to_their_number() -> None:
    """Guards against `forgotten`: each task of a faulty array that failed read all running ones."""

    async def main() -> None:
        few = await _instructions_of_failures(100, user_api.ARRAY)
        many = await _instructions_of_failures(400, user_api.ARRAY)
        assert few < many <= few * 4 * TOLERANCE

    trio.run(main, clock=trio.testing.MockClock())


def test_gang_that_ends_costs_in_proportion_to_its_tasks() -> None:
    """Guards against `forgotten`: each task of a gang that ended told all others to stop."""

    async def main() -> None:
        few = await _instructions_of_failures(100, user_api.GANG)
        many = await _instructions_of_failures(400, user_api.GANG)
        assert few < many <= few * 4 * TOLERANCE

    trio.run(main, clock=trio.testing.MockClock())


def test_leases_that_expire_together_are_handled_one_machine_a_step() -> None:
    """Guards against `forgotten`: nothing was answered until all lost tasks were pending again."""

    async def main() -> None:
        running = 200
        leader, allocation = await _run_tasks(running, running)
        lease_s = leader.settings.deployment.workers.lease_s
        await trio.sleep(lease_s * 2)
        leader.replica.verified_at = trio.current_time()
        placed = StepObserver(lambda: len(allocation.placed), start=running)
        trio.lowlevel.add_instrument(placed)
        with trio.move_on_after(lease_s):
            await leader.agents.lease_expiry.run()
        assert placed.values[-1] == 0
        assert placed.largest_change <= running // MACHINES

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
