"""Unblocks the jobs of an acquired shard in short steps.

An acquired shard may hold a thousand jobs and a hundred thousand running tasks. Heartbeats, the
session lease and users' requests wait while a step runs, so each step handles a bounded number.
"""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

import trio

from ..planning_trigger import PlanningTrigger
from .allocations import ShardState

log = logging.getLogger(__name__)

# Running tasks that one step adopts; a job is never divided.
MAX_TASKS_PER_STEP = 1000
# The work of one allocation, in tasks that are adopted in the same time.
ALLOCATION_WORK_TASKS = 10

# Unblocks a job in a shard, and returns how many of its tasks were running.
UnblockJob = Callable[[int, str], int]


class UnblockableJob(NamedTuple):
    """A job of which no suspect machine can run a task any more."""

    shard: int
    state: ShardState  # identifies the failover: a shard that is acquired anew has another one
    job_id: str


class Progress:
    """What was unblocked since the queue was last empty, for the log."""

    def __init__(self) -> None:
        self._started_at = trio.current_time()
        self._jobs = 0
        self._tasks = 0

    def add(self, tasks: int) -> None:
        """Count a job, of which this many tasks were running."""
        self._jobs += 1
        self._tasks += tasks

    def log(self) -> None:
        """Log the counts, and the time since the first request."""
        took_s = trio.current_time() - self._started_at
        log.info("jobs unblocked jobs=%d tasks=%d took=%.1f", self._jobs, self._tasks, took_s)


class JobUnblocking:
    """Queue of the jobs to be unblocked, and the loop that works it off."""

    def __init__(
        self,
        states: Mapping[int, ShardState],
        unblock: UnblockJob,
        planning_trigger: PlanningTrigger,
    ) -> None:
        self._states = states
        self._unblock = unblock
        self._planning_trigger = planning_trigger
        self._queue: deque[UnblockableJob] = deque()
        self._requested = trio.Event()
        self._progress = Progress()

    @property
    def pending(self) -> bool:
        """Whether any job waits to be unblocked."""
        return bool(self._queue)

    def request(self, shard: int, job_ids: Iterable[str]) -> None:
        """Unblock jobs of a shard: as many as one step may at once, the others by the loop."""
        if not self._queue:
            self._progress = Progress()
        state = self._states[shard]
        self._queue.extend(UnblockableJob(shard, state, id) for id in job_ids)
        self.step()
        if self._queue:
            self._requested.set()

    def step(self) -> None:
        """Unblock the next jobs in the queue, within the bound of one step."""
        if not self._queue:
            return
        work_tasks = 0
        while self._queue and work_tasks < MAX_TASKS_PER_STEP:
            shard, state, job_id = self._queue.popleft()
            if self._states.get(shard) is state:
                tasks = self._unblock(shard, job_id)
                self._progress.add(tasks)
                work_tasks += ALLOCATION_WORK_TASKS + tasks
        if not self._queue:
            self._progress.log()
        self._planning_trigger.set()

    async def run(self) -> None:
        """Work off the queue, and yield before each step, until cancelled."""
        while True:
            if not self._queue:
                await self._requested.wait()
                self._requested = trio.Event()
            await trio.sleep(0)
            self.step()
