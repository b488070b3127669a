"""Which tasks are on which machines, with the sums that scheduling and quotas rest on.

The sums are kept up with every change: nothing that a heartbeat asks for may cost more with
more machines, jobs or tasks in a shard.
"""

from __future__ import annotations

from typing import NamedTuple

import trio

from ..jobs.resources import Resources
from .machine import MachineGroupKey, Placement

# What a running task is taken to need at least, in seconds.
MIN_REMAINING_S = 0.1


class ResourceUse(NamedTuple):
    """What tasks take of the resources that quotas limit."""

    cpus: float
    gpus: float


NO_USE = ResourceUse(0.0, 0.0)


class GroupLoad:
    """A job's tasks on the machines of one group in a shard.

    Scheduling asks for the sums of thousands of tasks several times a second.
    """

    __slots__ = ("count", "rank", "resources", "running", "running_since_sum")

    def __init__(self, resources: Resources, rank: int):
        self.resources = resources
        self.rank = rank
        self.count = 0
        self.running = 0  # those that have been seen running
        self.running_since_sum = 0.0  # over these, the times since when

    def remaining_seconds(self, seconds: float, now: float) -> float:
        """Machine-seconds that the tasks still need, if each takes `seconds`."""
        # A task that has outrun the estimate counts with a little, as it doesn't end at once.
        running_seconds = max(
            MIN_REMAINING_S * self.running,
            self.running * (seconds - now) + self.running_since_sum,
        )
        return (self.count - self.running) * seconds + running_seconds


class _TeamUse:
    """What a team's tasks take in a shard."""

    __slots__ = ("cpus", "gpus", "tasks")

    def __init__(self) -> None:
        self.cpus = 0.0
        self.gpus = 0.0
        self.tasks = 0

    def add(self, placement: Placement) -> None:
        self.cpus += placement.resources[0]
        self.gpus += placement.resources[1]
        self.tasks += 1

    def subtract(self, placement: Placement) -> None:
        self.cpus -= placement.resources[0]
        self.gpus -= placement.resources[1]
        self.tasks -= 1
        if not self.tasks:
            # Sums of many floats drift: without tasks the use is exactly zero.
            self.cpus = self.gpus = 0.0


GroupLoads = dict[MachineGroupKey, dict[str, GroupLoad]]  # by group, then by job


class Placements:
    """The tasks on the machines of the shards that this node leads."""

    def __init__(self) -> None:
        self.loads: dict[int, GroupLoads] = {}  # by shard
        # Inner dicts serve as ordered sets: runs with the same seed must repeat.
        self._by_job: dict[str, dict[Placement, None]] = {}
        self._team_use: dict[tuple[int, str], _TeamUse] = {}  # by shard and team

    def of_job(self, id: str) -> list[Placement]:
        """Every placement of a job's tasks, earliest first."""
        return list(self._by_job.get(id, ()))

    def put(self, placement: Placement) -> None:
        """Add a placement; another attempt of the same task on the machine makes way."""
        machine = placement.machine
        earlier = machine.placements.get(placement.key)
        if earlier is not None:
            self.drop(earlier)
        machine.placements[placement.key] = placement
        machine.adjust_usage(placement, 1.0)
        self._by_job.setdefault(placement.job.id, {})[placement] = None
        use = self._team_use.get((machine.shard, placement.team))
        if use is None:
            use = self._team_use[(machine.shard, placement.team)] = _TeamUse()
        use.add(placement)
        loads_by_job = self.loads.setdefault(machine.shard, {}).setdefault(machine.group, {})
        load = loads_by_job.get(placement.job.id)
        if load is None:
            load = loads_by_job[placement.job.id] = GroupLoad(placement.resources, placement.rank)
        load.count += 1
        if placement.running_since is not None:
            load.running += 1
            load.running_since_sum += placement.running_since

    def drop(self, placement: Placement) -> bool:
        """Remove a placement; False if it isn't there any more."""
        machine = placement.machine
        if machine.placements.get(placement.key) is not placement:
            return False
        del machine.placements[placement.key]
        machine.adjust_usage(placement, -1.0)
        job_placements = self._by_job.get(placement.job.id)
        if job_placements is not None:
            job_placements.pop(placement, None)
            if not job_placements:
                del self._by_job[placement.job.id]
        self._team_use[(machine.shard, placement.team)].subtract(placement)
        loads_by_job = self.loads[machine.shard][machine.group]
        load = loads_by_job[placement.job.id]
        load.count -= 1
        if placement.running_since is not None:
            load.running -= 1
            load.running_since_sum -= placement.running_since
        if not load.count:
            del loads_by_job[placement.job.id]
        return True

    def mark_running(self, placement: Placement) -> None:
        """Note that the task is seen running for the first time."""
        placement.running_since = trio.current_time()
        load = self.loads[placement.machine.shard][placement.machine.group][placement.job.id]
        load.running += 1
        load.running_since_sum += placement.running_since

    def running(self, shard: int) -> dict[str, int]:
        """By job, how many tasks have been seen running on the shard's machines."""
        running: dict[str, int] = {}
        for loads_by_job in self.loads.get(shard, {}).values():
            for id, load in loads_by_job.items():
                if load.running:
                    running[id] = running.get(id, 0) + load.running
        return running

    def team_use(self, shard: int, team: str) -> ResourceUse:
        """What a team's tasks take in a shard."""
        use = self._team_use.get((shard, team))
        return ResourceUse(use.cpus, use.gpus) if use is not None else NO_USE
