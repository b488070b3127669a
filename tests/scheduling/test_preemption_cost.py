"""A planning round that preempts for many jobs lets heartbeats and requests be answered."""

from __future__ import annotations

import itertools
import time

import msgspec
import trio
import trio.testing

from pitchtally.controller import Controller
from pitchtally.jobs.job_record import OPEN, JobRecord, TaskRange, encode
from pitchtally.scheduling.shards.task_start import next_attempt, place_task
from pitchtally.state_store import keys

from ..harness.single_controller import (
    MACHINE_TYPE,
    heartbeat_request,
    job_spec,
    leader_of_shard,
)
from ..harness.step_observer import StepObserver

TOKEN = 50
SHARD = 0
SHARD_COUNT = 3
MACHINES = 100
RUNNING_PER_MACHINE = 64
# Placements that may be read while heartbeats and requests wait, beside those of one job.
MAX_PLACEMENTS_WITHOUT_YIELD = 10_000


def _store_job(leader: Controller, number: int, **fields: object) -> str:
    """Store a job whose tasks all belong to the shard, and return its ID."""
    spec = msgspec.structs.replace(job_spec(number, 1.0), **fields)
    record = JobRecord(OPEN, spec.tasks, spec, time.time(), [TaskRange(0, spec.tasks, SHARD)])
    leader.replica.apply_committed(keys.job(spec.id), encode(record), TOKEN + number)
    return spec.id


async def _full_shard(urgent_jobs: int) -> Controller:
    """Return the leader of a shard full of idle tasks, with urgent jobs that lack room."""
    leader = leader_of_shard(SHARD, TOKEN)
    states = leader.scheduler.shards.states
    memory = MACHINE_TYPE.memory / RUNNING_PER_MACHINE
    idle_tasks = MACHINES * RUNNING_PER_MACHINE
    idle_id = _store_job(leader, 1, rank="idle", tasks=idle_tasks, memory=memory)
    allocation = states[SHARD].allocations[idle_id]
    for number in range(MACHINES):
        await leader.agents.serve(heartbeat_request(number * SHARD_COUNT, 1, TOKEN, []))
    for machine in leader.agents.machines.values():
        machine.recorded = True
        for _ in range(RUNNING_PER_MACHINE):
            attempt = next_attempt(leader.agents, SHARD)
            place_task(leader.agents, allocation, allocation.pending.pop(), machine, attempt)
        for placement in machine.placements.values():
            placement.observed = True
    for number in range(2, 2 + urgent_jobs):
        _store_job(leader, number, rank="urgent", tasks=1, memory=memory)
    for waiting in states[SHARD].allocations.values():
        waiting.pending_since = -1000.0
    leader.scheduler.survey.survey(SHARD)
    return leader


def _stopped(leader: Controller) -> int:
    """Return how many tasks were told to stop."""
    machines = leader.agents.machines.values()
    placements = itertools.chain.from_iterable(m.placements.values() for m in machines)
    return sum(1 for placement in placements if placement.stop_grace is not None)


def test_preemption_for_many_jobs_yields() -> None:
    """Guards against `forgotten`: nothing was answered until victims for all jobs were found."""

    async def main() -> None:
        jobs = 8
        leader = await _full_shard(jobs)
        stopped = StepObserver(lambda: _stopped(leader), start=0)
        trio.lowlevel.add_instrument(stopped)
        await leader.scheduler.preemption.preempt(SHARD)
        await trio.sleep(0)  # ends the last step
        assert stopped.values[-1] == jobs
        placements_of_a_job = MACHINES * RUNNING_PER_MACHINE
        jobs_of_a_step = MAX_PLACEMENTS_WITHOUT_YIELD // placements_of_a_job + 1
        assert stopped.largest_change <= jobs_of_a_step  # each job stops one task

    trio.run(main, clock=trio.testing.MockClock())
