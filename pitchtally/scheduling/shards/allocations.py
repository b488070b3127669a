"""What a shard holds: tasks not started, tasks placed, queues of like machines."""

from __future__ import annotations

import trio

from ...agents.machine import Machine, MachineGroupKey, Placement
from ...jobs.index import Job
from ...jobs.resources import Resources, resource_request
from ...protocol import cloud_api, user_api
from ..capacity import RANK
from .lower_price_capacity import GroupCapacity, TaskCapacity

# Machines: a group wholly taken by services still has a queue, if an endless one.
LEAST_WIDTH = 0.05


class PendingTasks:
    """Tasks not started: ranges, so that a wide array costs little."""

    def __init__(self) -> None:
        self.ranges: list[tuple[int, int]] = []
        self.count = 0

    def put(self, first: int, end: int) -> None:
        """Add a range of tasks."""
        if end > first:
            self.ranges.append((first, end))
            self.count += end - first

    def pop(self) -> int:
        """Take one task."""
        first, end = self.ranges[-1]
        if end - first == 1:
            self.ranges.pop()
        else:
            self.ranges[-1] = (first + 1, end)
        self.count -= 1
        return first

    def carve(self, wanted: int) -> list[tuple[int, int]]:
        """Take up to that many tasks off the far end, as ranges."""
        out = []
        while wanted > 0 and self.ranges:
            first, end = self.ranges.pop(0)
            take = min(wanted, end - first)
            out.append((end - take, end))
            if first < end - take:
                self.ranges.insert(0, (first, end - take))
            wanted -= take
            self.count -= take
        return out


def most_in_zone(spec: user_api.JobSpec) -> int:
    """How many tasks of a spread job may be in one zone, all shards together."""
    return (spec.tasks + 1) // 2


class ShardAllocation:
    """The tasks of one job in one shard that this node owns."""

    def __init__(self, job: Job, shard: int, release: float):
        self.job = job
        self.shard = shard
        spec = job.spec
        self.spec = spec
        self.resources = resource_request(spec)
        self.rank = RANK[spec.rank]
        self.gang = spec.kind == user_api.GANG
        self.service = spec.is_service
        self.short_runs = 0  # replicas in a row that ended soon after their start
        self.one_zone = spec.one_zone and spec.tasks > 1
        self.release = release  # acceptance on this node's steady clock
        self.size = 0.0  # w, and what lateness adds: renewed with each survey
        self.late = 0.0
        self.bound = 1e9  # seconds from release, see `Deadlines.bound`
        self.aged = False  # has waited too long for its first start, or the next
        self.groups: dict[MachineGroupKey, bool] = {}  # machines that the job allows
        self.capacity_in: dict[MachineGroupKey, TaskCapacity] = {}  # renewed with each survey
        self.pending = PendingTasks()
        self.placed: dict[int, Placement] = {}
        self.ranges: list[tuple[int, int]] = []
        self.since = trio.current_time()  # waiting for room since
        self.moving = False
        self.allotted_at = -1e9
        self.not_before = -1e9  # after failures on several machines
        self.failed_on: dict[str, float] = {}  # machines, and when
        self.failed_after = 0.0  # the longest that a task ran before it failed
        self.probes = 0  # tries since the job was found at fault
        self.faulty = False  # fails wherever it goes, see `blame`
        self.tried = 0  # the shared attempt that was placed last

    def most_in_zone(self, zone: str) -> int:
        """How many tasks of a spread job this shard may have in a zone."""
        if self.service and self.job.record.caps:
            return sum(n for p, z, n in self.job.record.caps if (p, z) == (self.shard, zone))
        return most_in_zone(self.spec)

    def placed_in(self, zone: str) -> int:
        """How many of its tasks are on machines of a zone, those told to stop included."""
        return sum(1 for p in self.placed.values() if p.machine.zone == zone)

    def rebuild(self) -> None:
        """Everything in the ranges that is neither finished nor placed."""
        self.ranges = [(a, b) for a, b, p in self.job.record.ranges if p == self.shard]
        self.pending = PendingTasks()
        runs = []
        for first, end in self.ranges:
            start: int | None = None
            for task in range(first, end):
                if task in self.placed or self.job.is_finished(task):
                    if start is not None:
                        runs.append((start, task))
                        start = None
                elif start is None:
                    start = task
            if start is not None:
                runs.append((start, end))
        for first, end in reversed(runs):
            self.pending.put(first, end)

    def give_back(self, task: int) -> None:
        """A task is nowhere any more: it waits again, unless it is done or another shard's."""
        if any(a <= task < b for a, b in self.ranges) and not self.job.is_finished(task):
            if self.service and not self.pending.count:
                self.since = trio.current_time()  # all of it ran until now
            self.pending.put(task, task + 1)


class MachineGroup:
    """Machines of a shard that are alike, and the queue that they share evenly.

    A matrix by machine would cost more with every machine; like machines with one
    queue promise the same, since any of them takes the next task.
    """

    def __init__(self, machine_type: cloud_api.MachineType) -> None:
        self.machine_type = machine_type
        self.machines: list[Machine] = []
        self.work: dict[str, float] = {}  # job -> machine-seconds running and queued
        self.ranks: dict[str, int] = {}
        self.level = 0.0  # the least stretch that its queue meets
        self.held = 0.0  # machines' worth of room that services hold

    @property
    def width(self) -> float:
        """Machines that are left to work that ends: services take theirs for good."""
        return max(LEAST_WIDTH, len(self.machines) - self.held)


class ShardState:
    """All that a shard has to do: jobs, queues, and groups of like machines."""

    def __init__(self) -> None:
        self.loaded = False
        self.reconciled = False
        self.blocked: set[str] = set()  # jobs whose tasks an unheard machine may hold
        self.allocations: dict[str, ShardAllocation] = {}
        self.gangs: dict[str, ShardAllocation] = {}  # those of them that are gangs
        # The least CPUs and memory that a waiting task needs, as of the last survey: most
        # machines that report are too full for any.
        self.least: tuple[float, float] = (0.0, 0.0)
        self.known_levels: dict[
            MachineGroupKey, tuple[float, float]
        ] = {}  # machine_group -> (when, its level)
        self.queues: dict[MachineGroupKey, dict[str, int]] = {}  # like machines -> job -> tasks
        self.machine_groups: dict[MachineGroupKey, MachineGroup] = {}
        self.capacities: dict[MachineGroupKey, GroupCapacity] = {}  # as of the last survey
        self.running: list[int] = [0] * len(user_api.RANKS)  # tasks on machines, by rank
        self.ready_gangs: set[str] = set()  # gangs over several shards that have their room here
        self.early: list[Placement] = []  # seen on machines before the shard settled

    def expect(self, resources: Resources) -> None:
        """Such a task waits from now on: see `least`."""
        self.least = (min(self.least[0], resources[0]), min(self.least[1], resources[2]))

    def with_gang(self, victim: Placement) -> list[Placement]:
        """What has to stop with a placement: its whole gang, if it has one."""
        allocation = self.allocations.get(victim.job.id)
        if victim.spec.kind == user_api.GANG and allocation is not None:
            return list(allocation.placed.values())
        return [victim]
