"""The tasks placed on each machine, with the totals that scheduling and quotas use.

The totals are updated with every change, so that the cost of handling a heartbeat does not
grow with the number of machines, jobs or tasks in a shard.
"""

from __future__ import annotations

from typing import NamedTuple

import trio

from ..jobs.resources import Resources
from .machine import MachineGroupKey, Placement

# Lower bound on the estimated remaining run time of a running task.
MIN_REMAINING_S = 0.1


class ResourceUse(NamedTuple):
    """The use of the resources that quotas limit."""

    cpus: float
    gpus: float


NO_USE = ResourceUse(0.0, 0.0)


class GroupLoad:
    """Totals of a job's tasks on the machines of one group in a shard.

    Scheduling reads the totals of thousands of tasks several times a second.
    """

    __slots__ = ("count", "rank", "resources", "running", "running_since_sum")

    def __init__(self, resources: Resources, rank: int):
        self.resources = resources
        self.rank = rank
        self.count = 0
        self.running = 0  # tasks whose agent has reported them as running
        self.running_since_sum = 0.0  # sum of the start times of running tasks

    def remaining_seconds(self, seconds: float, now: float) -> float:
        """Return the machine-seconds that the tasks still need if each takes `seconds` in all."""
        # Tasks that exceed the estimate still count with the minimum: they do not end at once.
        running_seconds = max(
            MIN_REMAINING_S * self.running,
            self.running * (seconds - now) + self.running_since_sum,
        )
        return (self.count - self.running) * seconds + running_seconds


class _TeamUse:
    """Running totals of a team's tasks in a shard."""

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
            # Float sums accumulate rounding errors, so a team without tasks resets to zero.
            self.cpus = self.gpus = 0.0


GroupLoads = dict[MachineGroupKey, dict[str, GroupLoad]]  # keyed by group, then by job ID


class Placements:
    """The tasks on the machines of the shards that this node leads."""

    def __init__(self) -> None:
        self.loads: dict[int, GroupLoads] = {}  # keyed by shard
        # Keyed by job ID. The inner dicts are ordered sets, which keeps seeded runs repeatable.
        self._by_job: dict[str, dict[Placement, None]] = {}
        self._team_use: dict[tuple[int, str], _TeamUse] = {}  # keyed by shard and team

    def of_job(self, id: str) -> list[Placement]:
        """Return all placements of a job's tasks, in the order in which they were added."""
        return list(self._by_job.get(id, ()))

    def put(self, placement: Placement) -> None:
        """Add a placement, replacing any other attempt of the same task on the machine."""
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
        """Remove a placement, and return False if it had already been removed."""
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
        """Record that the agent has reported the task as running for the first time."""
        placement.running_since = trio.current_time()
        load = self.loads[placement.machine.shard][placement.machine.group][placement.job.id]
        load.running += 1
        load.running_since_sum += placement.running_since

    def running(self, shard: int) -> dict[str, int]:
        """Return the number of running tasks on a shard's machines, keyed by job ID."""
        running: dict[str, int] = {}
        for loads_by_job in self.loads.get(shard, {}).values():
            for id, load in loads_by_job.items():
                if load.running:
                    running[id] = running.get(id, 0) + load.running
        return running

    def team_use(self, shard: int, team: str) -> ResourceUse:
        """Return the resources that a team's tasks use in a shard."""
        use = self._team_use.get((shard, team))
        return ResourceUse(use.cpus, use.gpus) if use is not None else NO_USE
