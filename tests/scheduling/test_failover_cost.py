"""The work of a failover is in proportion to the tasks and jobs that are taken over."""

from __future__ import annotations

import time
from typing import Any, NamedTuple

import msgspec
import trio
import trio.testing

from pitchtally.agents.machine_records import RecordedMachine
from pitchtally.controller import Controller
from pitchtally.jobs.job_record import OPEN, JobRecord, TaskRange, encode
from pitchtally.protocol import agent_api
from pitchtally.scheduling.shards.job_unblocking import JobUnblocking
from pitchtally.state_store import keys

from ..harness.single_controller import (
    MACHINE_TYPE,
    count_instructions,
    heartbeat_request,
    job_spec,
    leader_of_shard,
)
from ..harness.step_observer import StepObserver

TOKEN = 50
SHARD = 0
SHARD_COUNT = 3
# Work that grows in proportion may exceed the ratio of the counts by this much, for fixed costs.
TOLERANCE = 1.2
# Running tasks of a shard that may be adopted while heartbeats and requests wait.
MAX_TASKS_WITHOUT_YIELD = 1000


class FailedOver(NamedTuple):
    """The new leader of a shard, and the bytecode instructions that it has spent on it."""

    leader: Controller
    instructions: int


def _listed(job: int, first: int, end: int) -> list[dict[str, Any]]:
    """Return a job's tasks from `first` to `end`, as an agent lists those that run."""
    return [
        {"row": f"wk-{job:06d}/{task}", "pressing": 7, "stage": agent_api.RUNNING}
        for task in range(first, end)
    ]


def _stored(jobs: int, tasks: int, machines: int, memory: float) -> dict[str, bytes]:
    """Return the records of arrays in the shard, and of its machines, by key."""
    records = {}
    for number in range(1, jobs + 1):
        spec = msgspec.structs.replace(job_spec(number, 0.01), tasks=tasks, memory=memory)
        record = JobRecord(OPEN, tasks, spec, time.time(), [TaskRange(0, tasks, SHARD)])
        records[keys.job(spec.id)] = encode(record)
    recorded = {
        f"i-{number * SHARD_COUNT:06d}": RecordedMachine("big", "a", False, "10.1.0.1:9000")
        for number in range(machines)
    }
    records[keys.machines(SHARD, 0)] = msgspec.json.encode(recorded)
    return records


async def _hear_from_machines(
    running: int, *, jobs: int = 1, tasks: int, machines: int = 2
) -> FailedOver:
    """Take over a shard, and handle the first heartbeat of each of its machines.

    Each machine lists `running` tasks of each job, and has no room for more.
    """
    memory = MACHINE_TYPE.memory / (running * jobs)
    leader = leader_of_shard(SHARD, TOKEN, _stored(jobs, tasks, machines, memory))
    instructions = 0
    for number in range(machines):
        listed = [
            row
            for job in range(1, jobs + 1)
            for row in _listed(job, number * running, (number + 1) * running)
        ]
        request = heartbeat_request(number * SHARD_COUNT, 1, TOKEN, listed)
        assert not leader.scheduler.shards.states[SHARD].reconciled
        instructions += count_instructions(leader.agents.serve(request))
    assert leader.scheduler.shards.states[SHARD].reconciled
    return FailedOver(leader, instructions)


async def _step(unblocking: JobUnblocking) -> None:
    unblocking.step()


async def _fail_over(running: int, *, jobs: int = 1, tasks: int, machines: int = 2) -> int:
    """Take over a shard with its jobs, and return the instructions for that."""
    leader, instructions = await _hear_from_machines(
        running, jobs=jobs, tasks=tasks, machines=machines
    )
    unblocking = leader.scheduler.shards.unblocking
    while unblocking.pending:
        instructions += count_instructions(_step(unblocking))
    state = leader.scheduler.shards.states[SHARD]
    for allocation in state.allocations.values():
        assert len(allocation.placed) == running * machines
        assert allocation.pending.count == tasks - running * machines
    assert len(state.allocations) == jobs
    return instructions


def test_failover_beside_a_wide_array_costs_in_proportion_to_its_running_tasks() -> None:
    """Guards against `forgotten`: no controller answered after one crashed beside a wide array."""

    async def main() -> None:
        few_running = await _fail_over(10, tasks=2_000)
        many_running = await _fail_over(40, tasks=2_000)
        wider = await _fail_over(40, tasks=8_000)
        assert few_running < many_running < few_running * 4 * TOLERANCE
        assert wider < many_running * TOLERANCE

    trio.run(main, clock=trio.testing.MockClock())


def test_failover_of_many_jobs_costs_in_proportion_to_their_running_tasks() -> None:
    """Guards against `forgotten`: the search for a job's found tasks read those of all jobs."""

    async def main() -> None:
        few_jobs = await _fail_over(4, jobs=16, tasks=100)
        many_jobs = await _fail_over(4, jobs=64, tasks=100)
        assert few_jobs < many_jobs < few_jobs * 4 * TOLERANCE

    trio.run(main, clock=trio.testing.MockClock())


def test_failover_yields_between_jobs() -> None:
    """Guards against `forgotten`: nothing was answered until all tasks of a shard were adopted."""

    async def main() -> None:
        jobs, running, machines = 60, 40, 2
        leader, _ = await _hear_from_machines(running, jobs=jobs, tasks=100, machines=machines)
        allocations = leader.scheduler.shards.states[SHARD].allocations
        adopted = StepObserver(
            lambda: sum(len(allocation.placed) for allocation in allocations.values()), start=0
        )
        trio.lowlevel.add_instrument(adopted)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(leader.scheduler.shards.unblocking.run)
            while leader.scheduler.shards.unblocking.pending:
                await trio.sleep(0)
            nursery.cancel_scope.cancel()
        assert adopted.values[-1] == jobs * running * machines
        # The first change includes what the last heartbeat adopted at once.
        assert adopted.largest_change <= MAX_TASKS_WITHOUT_YIELD + running * machines

    trio.run(main, clock=trio.testing.MockClock())
